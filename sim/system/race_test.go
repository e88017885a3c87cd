//go:build race

package system

// The race detector makes runs several times as long: there are fewer of the drawn ones.
const (
	seeds     = 1
	days      = 1
	crashes   = 2
	faultDays = 1 // of each fault alone
	// controlSizes of the groups of TestControlToleratesLosses: the smallest and the largest. Plain runs play all of them.
	controlSizes = 2
)
