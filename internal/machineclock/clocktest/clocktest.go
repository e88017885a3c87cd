// Package clocktest provides the clocks of a machine for tests.
package clocktest

import (
	"sync"
	"time"

	"liftgauge/clustertime"
)

// Clocks are the clocks of a machine: a steady clock that begins anywhere at each boot, and a time of day that may be wrong. They run with the
// time of the test, which may be virtual. They are safe for concurrent use.
type Clocks struct {
	mu         sync.Mutex
	boot       string
	steadyBase time.Duration // steady clock minus the time since 1970
	wallError  time.Duration // time of day minus the time since 1970
}

// Boot begins another boot, whose steady clock now shows the given value.
func (c *Clocks) Boot(name string, steady time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boot, c.steadyBase = name, steady-sinceEpoch()
}

// Step makes the time of day jump.
func (c *Clocks) Step(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallError += by
}

// Read returns what a process on the machine reads.
func (c *Clocks) Read() clustertime.Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := sinceEpoch()
	return clustertime.Reading{Boot: c.boot, Steady: now + c.steadyBase, Wall: now + c.wallError}
}

func sinceEpoch() time.Duration { return time.Duration(time.Now().UnixNano()) }
