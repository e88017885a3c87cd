package system

import (
	"math/rand/v2"
	"time"
)

// longestUptime bounds the steady clock of a machine at its boot.
const longestUptime = 30 * time.Hour

// boot begins another steady clock on the machine of the process, as a loss of power does. The boots have no names, as on a platform that does not
// tell them apart.
func (p *Process) boot() {
	p.clocks.Boot("", time.Duration(rand.New(rand.NewPCG(p.world.options.Seed, hash(p.folder))).Int64N(int64(longestUptime))))
}

// StepClocks makes the time of day of some processes' machines jump.
func (w *World) StepClocks(processes []*Process, by time.Duration) {
	for _, p := range processes {
		w.Checker.recordFault("clock step of " + by.String() + " at " + p.Name + "/" + p.Role.String())
		p.clocks.Step(by)
	}
}
