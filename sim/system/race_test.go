//go:build race

package system

// The race detector makes runs several times as long, so there are fewer random ones.
const (
	seeds     = 1
	days      = 1
	crashes   = 2
	faultDays = 1 // seeds of each fault in playEach
	// controlSizes is the number of group sizes in TestControlToleratesLosses: the smallest and the largest. Runs without the detector test all.
	controlSizes = 2
)
