// Package roles contains what the roles of the system share besides the agent.
package roles

import (
	"liftgauge/internal/network"
	"liftgauge/internal/recordlog"
)

// Environment is the network and disk that a process uses. The zero Environment is the real machine; the simulation of the system
// provides its own. Time is not part of it: the simulation runs in a testing/synctest bubble.
type Environment struct {
	Network network.Network // nil for the system's sockets
	Disk    recordlog.Disk  // nil for the system's files
}
