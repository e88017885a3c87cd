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
		return w.lose(w.Processes, random, (*Process).Kill)
	}},
	{"power", func(w *World, random *rand.Rand) error {
		return w.lose(w.Processes, random, (*Process).LosePower)
	}},
	{"planned end", func(w *World, random *rand.Rand) error {
		return w.lose(w.Processes, random, func(p *Process) error {
			_, _, err := p.Terminate()
			return err
		})
	}},
	{"disk lost", func(w *World, random *rand.Rand) error {
		return w.lose(w.withDisk(), random, func(p *Process) error {
			err := p.LosePower()
			p.Wipe()
			return err
		})
	}},
	{"cut off", func(w *World, random *rand.Rand) error {
		p := w.any(random)
		w.CutOff(p.IP, true)
		time.Sleep(faultSpan(random))
		w.CutOff(p.IP, false)
		return nil
	}},
	{"link cut", func(w *World, random *rand.Rand) error {
		w.cutPair(w.any(random).IP, w.any(random).IP, random.IntN(2) == 0, false, faultSpan(random))
		return nil
	}},
	{"link reset", func(w *World, random *rand.Rand) error {
		w.cutPair(w.any(random).IP, w.any(random).IP, random.IntN(2) == 0, true, faultSpan(random))
		return nil
	}},
	{"disk stalls", diskFault(virtualdisk.Trouble{Stalled: true})},
	{"disk slow", diskFault(virtualdisk.Trouble{Slower: slowSync})},
	{"disk full", diskFault(virtualdisk.Trouble{Refusal: syscall.ENOSPC})},
	{"disk refuses", diskFault(virtualdisk.Trouble{Refusal: syscall.EIO})},
	{"disk refuses once", diskFault(virtualdisk.Trouble{Refusal: syscall.EIO, Once: true})},
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
		time.Sleep(faultSpan(random))
		w.Platform.SetDown(false)
		return nil
	}},
}

func faultSpan(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(longestFault)))
}

// any draws a process.
func (w *World) any(random *rand.Rand) *Process { return w.Processes[random.IntN(len(w.Processes))] }

// withDisk lists the processes that keep state.
func (w *World) withDisk() []*Process {
	return append(w.Of(protocol.RoleControl), w.Of(protocol.RoleStore)...)
}

// held is the set of processes that faults have hold of: no two lose the same one at a time.
type held struct {
	mu        sync.Mutex
	processes map[*Process]bool
}

// take draws a process that no other fault has hold of. There must be one.
func (h *held) take(random *rand.Rand, among []*Process) *Process {
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

func (h *held) release(p *Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.processes, p)
}

// lose loses one of some processes for a while, and returns when it counts as back.
func (w *World) lose(among []*Process, random *rand.Rand, how func(p *Process) error) error {
	p := w.taken.take(random, among)
	defer w.taken.release(p)
	err := how(p)
	time.Sleep(faultSpan(random))
	err = errors.Join(err, p.Start())
	w.catchUp(p)
	return err
}

// catchUp waits until a process counts as whole again.
func (w *World) catchUp(p *Process) {
	if p.Role == protocol.RoleStore {
		time.Sleep(seconds(bounds.CatchUpS))
	}
}

// diskFault is a fault of one disk for a while.
func diskFault(trouble virtualdisk.Trouble) func(w *World, random *rand.Rand) error {
	return func(w *World, random *rand.Rand) error {
		p := w.taken.take(random, w.withDisk())
		defer w.taken.release(p)
		disk := p.disk
		w.Judge.trouble("disk of " + p.Name + "/" + p.Role.String())
		disk.SetTrouble(trouble)
		time.Sleep(faultSpan(random))
		w.Judge.trouble("disk in order again")
		disk.SetTrouble(virtualdisk.Trouble{})
		w.catchUp(p)
		return nil
	}
}
