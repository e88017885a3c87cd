// Package roles contains what the roles of the system share besides the agent.
package roles

import (
	"liftgauge/clustertime"
	"liftgauge/internal/network"
	"liftgauge/internal/recordlog"
)

// Environment is the network, the disk and the machine's clocks that a process uses. The zero Environment is the real machine; the simulation of
// the system provides its own. The steady clock of the process is not part of it: the simulation runs in a testing/synctest bubble.
type Environment struct {
	Network network.Network            // nil for the system's sockets
	Disk    recordlog.Disk             // nil for the system's files
	Clocks  func() clustertime.Reading // nil for those of the machine
}
