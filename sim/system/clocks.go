package system

import (
	"math/rand/v2"
	"sync"
	"time"

	"liftgauge/clustertime"
)

// longestUptime bounds the steady clock of a machine at its boot.
const longestUptime = 30 * time.Hour

// machineClocks are the clocks of the machine of a process. Its steady clock begins anywhere at each boot, and the boots have no names: this is
// the least that a platform may offer.
type machineClocks struct {
	mu         sync.Mutex
	steadyBase time.Duration // steady clock minus the virtual time since 1970
	wallError  time.Duration // time of day minus virtual time
}

// boot begins another steady clock, as a loss of power does.
func (c *machineClocks) boot(random *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steadyBase = time.Duration(random.Int64N(int64(longestUptime))) - time.Duration(time.Now().UnixNano())
}

// step makes the time of day jump.
func (c *machineClocks) step(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallError += by
}

// read returns what the process reads.
func (c *machineClocks) read() clustertime.Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Duration(time.Now().UnixNano())
	return clustertime.Reading{Steady: now + c.steadyBase, Wall: now + c.wallError}
}

// StepClocks makes the time of day of some processes' machines jump.
func (w *World) StepClocks(processes []*Process, by time.Duration) {
	for _, p := range processes {
		w.Checker.recordFault("clock step of " + by.String() + " at " + p.Name + "/" + p.Role.String())
		p.clocks.step(by)
	}
}
