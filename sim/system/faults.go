package system

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualdisk"
)

// fault injects one fault into the system and undoes it. It never loses more disks at a time than FaultTolerance allows; those in faults lose at
// most one machine.
type fault struct {
	name string
	play func(w *World, random *rand.Rand) error
}

const (
	longestFault = 3 * time.Second
	slowSync     = 120 * time.Millisecond // longer than a sync of a healthy disk takes
)

// faults are those that Day chooses from.
var faults = append(systemFaults, workerFaults()...)

var systemFaults = []fault{
	{"kill", func(w *World, random *rand.Rand) error {
		return w.loseTemporarily(w.Processes, random, (*Process).Kill)
	}},
	{"power", func(w *World, random *rand.Rand) error {
		return w.loseTemporarily(w.Processes, random, (*Process).LosePower)
	}},
	{"planned end", func(w *World, random *rand.Rand) error {
		return w.loseTemporarily(w.Processes, random, func(p *Process) error {
			_, _, err := p.Terminate()
			return err
		})
	}},
	{"disk lost", func(w *World, random *rand.Rand) error {
		return w.loseTemporarily(w.withDisk(), random, func(p *Process) error {
			err := p.LosePower()
			p.Wipe()
			return err
		})
	}},
	{"cut off", func(w *World, random *rand.Rand) error {
		p := w.randomProcess(random)
		w.SetIsolated(p.IP, true)
		time.Sleep(faultDuration(random))
		w.SetIsolated(p.IP, false)
		return nil
	}},
	{"link cut", func(w *World, random *rand.Rand) error {
		w.cutPair(w.randomProcess(random).IP, w.randomProcess(random).IP, random.IntN(2) == 0, false, faultDuration(random))
		return nil
	}},
	{"link reset", func(w *World, random *rand.Rand) error {
		w.cutPair(w.randomProcess(random).IP, w.randomProcess(random).IP, random.IntN(2) == 0, true, faultDuration(random))
		return nil
	}},
	{"disk stalls", diskFault(virtualdisk.Fault{Stalled: true})},
	{"disk slow", diskFault(virtualdisk.Fault{ExtraSyncTime: slowSync})},
	{"disk full", diskFault(virtualdisk.Fault{WriteError: syscall.ENOSPC})},
	{"disk refuses", diskFault(virtualdisk.Fault{WriteError: syscall.EIO})},
	{"disk refuses once", diskFault(virtualdisk.Fault{WriteError: syscall.EIO, Once: true})},
	{"configuration", func(w *World, random *rand.Rand) error {
		newest := w.Operator.Newest()
		next := newest
		next.Revision += 1 + random.IntN(4)
		_, err := w.Operator.Replace(newest.Revision, next, 15*time.Second)
		return err
	}},
	{"worker leaves", func(w *World, random *rand.Rand) error {
		if worker := w.Platform.claimWorker(random, "svc-b", minReadyWorkers); worker != nil {
			w.Platform.Drain(worker)
		}
		return nil
	}},
	{"list away", func(w *World, random *rand.Rand) error {
		w.Platform.SetDown(true)
		time.Sleep(faultDuration(random))
		w.Platform.SetDown(false)
		return nil
	}},
}

func faultDuration(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(longestFault)))
}

// randomProcess returns a random process.
func (w *World) randomProcess(random *rand.Rand) *Process {
	return w.Processes[random.IntN(len(w.Processes))]
}

// withDisk returns the processes that have a disk.
func (w *World) withDisk() []*Process {
	return append(w.ByRole(protocol.RoleControl), w.ByRole(protocol.RoleStore)...)
}

// processClaims is the set of processes that faults are acting on, so that no two faults act on the same process at a time.
type processClaims struct {
	mu        sync.Mutex
	processes map[*Process]bool
}

// claim returns a random process that no other fault has claimed. There must be one.
func (c *processClaims) claim(random *rand.Rand, among []*Process) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		p := among[random.IntN(len(among))]
		if c.processes[p] {
			continue
		}
		if c.processes == nil {
			c.processes = map[*Process]bool{}
		}
		c.processes[p] = true
		return p
	}
}

func (c *processClaims) release(p *Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.processes, p)
}

// loseTemporarily takes one of the given processes down for a random time, and returns when it has caught up after its restart.
func (w *World) loseTemporarily(among []*Process, random *rand.Rand, how func(p *Process) error) error {
	p := w.claimed.claim(random, among)
	defer w.claimed.release(p)
	err := how(p)
	time.Sleep(faultDuration(random))
	err = errors.Join(err, p.Start())
	w.awaitCatchUp(p)
	return err
}

// awaitCatchUp waits until a restarted store must have caught up.
func (w *World) awaitCatchUp(p *Process) {
	if p.Role == protocol.RoleStore {
		time.Sleep(seconds(bounds.CatchUpS))
	}
}

// diskFault returns a fault that affects one disk for a random time.
func diskFault(state virtualdisk.Fault) func(w *World, random *rand.Rand) error {
	return func(w *World, random *rand.Rand) error {
		p := w.claimed.claim(random, w.withDisk())
		defer w.claimed.release(p)
		disk := p.disk
		w.Checker.recordFault("disk of " + p.Name + "/" + p.Role.String())
		disk.SetFault(state)
		time.Sleep(faultDuration(random))
		w.Checker.recordFault("disk in order again")
		disk.SetFault(virtualdisk.Fault{})
		w.awaitCatchUp(p)
		return nil
	}
}
