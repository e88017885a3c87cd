//go:build !race

package system

const (
	seeds     = 4  // of the tests with a power loss of all machines
	days      = 6  // of TestDays
	crashes   = 40 // crash points of each role
	faultDays = 2  // seeds of each fault in playEach
	// controlSizes is the number of group sizes in TestControlToleratesLosses.
	controlSizes = 4
)
