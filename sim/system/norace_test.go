//go:build !race

package system

const (
	seeds     = 4  // of each loss of all power
	days      = 6  // drawn
	crashes   = 40 // points of each role
	faultDays = 2  // of each fault alone
	// controlSizes of the groups of TestControlToleratesLosses
	controlSizes = 4
)
