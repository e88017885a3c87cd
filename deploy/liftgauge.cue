// The settings of our own, for installations that want more than the platform offers. The run line does not use them.
//
// Every field is explained in internal/settings/cuefile/schema.cue; docs/gearman.md is the page for operators.

// capture: folder: "/var/lib/liftgauge/capture"

// membership: { // docs/membership.md
// 	listen: "127.0.0.1:7946"
// 	seeds: ["127.0.0.1:7946", "127.0.0.1:7947"]
// }

// gearman: {
// 	listen: "127.0.0.1:4730"
// 	functions: {
// 		"gauge-reading": {patience: "3s", costPerKiB: "2ms"}
// 		"send-warning": {priority: "high", pools: ["workers"]}
// 	}
// 	classes: "gauge-reading": pools: ["hosts", "workers"]
// 	pools: [{name: "rain", clients: "rain-*"}]
// 	cells: [{name: "couva", clients: "rain-couva-*"}]
// 	limits: openJobs: 5000
// 	timeouts: grab: "2s"
// }
