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

// fault does one thing to the system and undoes it. Of disks it loses no more at a time than FaultTolerance allows; those in faults lose no more
// than one machine.
type fault struct {
	name string
	play func(w *World, random *rand.Rand) error
}

const (
	longestFault = 3 * time.Second
	slowSync     = 120 * time.Millisecond // more than a sync of a disk in order takes
)

// faults are all that days are made of.
var faults = []fault{
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
		w.Platform.Drain(w.Platform.Workers("svc-b")[random.IntN(2)]) // half of them stay
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

// any draws a process.
func (w *World) randomProcess(random *rand.Rand) *Process {
	return w.Processes[random.IntN(len(w.Processes))]
}

// withDisk lists the processes that keep state.
func (w *World) withDisk() []*Process {
	return append(w.ByRole(protocol.RoleControl), w.ByRole(protocol.RoleStore)...)
}

// held is the set of processes that faults have hold of: no two lose the same one at a time.
type processClaims struct {
	mu        sync.Mutex
	processes map[*Process]bool
}

// take draws a process that no other fault has hold of. There must be one.
func (h *processClaims) claim(random *rand.Rand, among []*Process) *Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		p := among[random.IntN(len(among))]
		if h.processes[p] {
			continue
		}
		if h.processes == nil {
			h.processes = map[*Process]bool{}
		}
		h.processes[p] = true
		return p
	}
}

func (h *processClaims) release(p *Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.processes, p)
}

// lose loses one of some processes for a while, and returns when it counts as back.
func (w *World) loseTemporarily(among []*Process, random *rand.Rand, how func(p *Process) error) error {
	p := w.claimed.claim(random, among)
	defer w.claimed.release(p)
	err := how(p)
	time.Sleep(faultDuration(random))
	err = errors.Join(err, p.Start())
	w.awaitCatchUp(p)
	return err
}

// catchUp waits until a process counts as whole again.
func (w *World) awaitCatchUp(p *Process) {
	if p.Role == protocol.RoleStore {
		time.Sleep(seconds(bounds.CatchUpS))
	}
}

// diskFault is a fault of one disk for a while.
func diskFault(trouble virtualdisk.Fault) func(w *World, random *rand.Rand) error {
	return func(w *World, random *rand.Rand) error {
		p := w.claimed.claim(random, w.withDisk())
		defer w.claimed.release(p)
		disk := p.disk
		w.Checker.recordFault("disk of " + p.Name + "/" + p.Role.String())
		disk.SetFault(trouble)
		time.Sleep(faultDuration(random))
		w.Checker.recordFault("disk in order again")
		disk.SetFault(virtualdisk.Fault{})
		w.awaitCatchUp(p)
		return nil
	}
}
