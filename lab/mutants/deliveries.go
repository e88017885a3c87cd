package mutants

// deliveryMutants break the guarantees of deliveries that wait at dispatchers.
var deliveryMutants = []Mutant{
	{
		Promise: "a delivery that waits for a report does not run in a later view", File: "internal/roles/dispatcher/stores/held.go",
		Old: "\tif isOutdated(redelivery) {", New: "\tif false && isOutdated(redelivery) {",
		Package: "./internal/roles/dispatcher/stores",
	},
	{
		Promise: "a delivery that waits for a report is held", File: "internal/roles/dispatcher/stores/held.go",
		Old: "waiting != nil && !isOutdated(waiting)", New: "waiting != nil && !isOutdated(waiting) && false",
		Package: "./internal/roles/dispatcher/stores",
	},
}
