package system

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"liftgauge/internal/protocol"
	"liftgauge/internal/statuspage"
)

// longCut is the duration of the longest cut between control processes.
const longCut = 20 * time.Second

// controlFaults are the worst faults for the control processes, to be injected while operators change and read the configuration. Unlike in
// faults, lost disks coincide with other losses.
var controlFaults = []fault{
	{"halves", func(w *World, random *rand.Rand) error {
		controls := w.shuffled(protocol.RoleControl, random)
		half := len(controls) / 2
		w.cutBetween(controls[:half], controls[half:], 6*time.Second)
		return nil
	}},
	{"primary cut off for long", func(w *World, random *rand.Rand) error {
		primary := w.controlPrimary()
		w.cutBetween([]*Process{primary}, w.others(primary), longCut)
		return nil
	}},
	{"primary cut off one way", func(w *World, random *rand.Rand) error {
		primary := w.controlPrimary()
		for _, other := range w.others(primary) {
			reset := random.IntN(2) == 0
			w.running.Go(func() { w.cutPair(primary.IP, other.IP, false, reset, 4*time.Second) })
		}
		time.Sleep(5 * time.Second)
		return nil
	}},
	{"behind", (*World).leaveControlStale},
	{"replaced one after the other", func(w *World, random *rand.Rand) error {
		controls := w.shuffled(protocol.RoleControl, random)
		for _, p := range append(controls, controls...) {
			if err := w.replaceDiskAndCatchUp(p); err != nil {
				return err
			}
		}
		return nil
	}},
	{"primary replaced again and again", func(w *World, random *rand.Rand) error {
		for range 4 {
			if err := w.replaceDiskAndCatchUp(w.controlPrimary()); err != nil {
				return err
			}
		}
		return nil
	}},
	{"all killed", func(w *World, random *rand.Rand) error {
		var failed error
		for range 3 {
			for _, p := range w.ByRole(protocol.RoleControl) {
				failed = errors.Join(failed, p.Kill())
			}
			time.Sleep(300 * time.Millisecond)
			failed = errors.Join(failed, w.StartAll())
			time.Sleep(3 * time.Second)
		}
		return failed
	}},
	{"a disk lost while all others are dark", func(w *World, random *rand.Rand) error {
		controls := w.shuffled(protocol.RoleControl, random)
		time.Sleep(time.Duration(random.Int64N(int64(400 * time.Millisecond)))) // at a random moment relative to the orders
		var failed error
		for _, p := range w.Processes {
			failed = errors.Join(failed, p.LosePower())
		}
		for _, p := range controls[:w.options.Machines] {
			p.Wipe()
		}
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		failed = errors.Join(failed, w.StartAll())
		time.Sleep(bounds.Contact())
		return failed
	}},
}

// leaveControlStale cuts a member off while changes are made, then empties the disk of another and takes the power of the rest, and heals the cut,
// so that the stale member is among the first that are available again.
func (w *World) leaveControlStale(random *rand.Rand) error {
	controls := w.shuffled(protocol.RoleControl, random)
	behind, replaced, unpowered := controls[0], controls[1], controls[2:]
	w.SetIsolated(behind.IP, true)
	time.Sleep(4 * time.Second) // changes continue meanwhile
	failed := replaced.LosePower()
	replaced.Wipe()
	for _, p := range unpowered {
		failed = errors.Join(failed, p.LosePower())
	}
	w.SetIsolated(behind.IP, false)
	failed = errors.Join(failed, replaced.Start())
	time.Sleep(2 * time.Second)
	failed = errors.Join(failed, w.StartAll())
	time.Sleep(bounds.Contact())
	return failed
}

// replaceDiskAndCatchUp restarts a process with an empty disk and waits for CatchUpS, within which it must have caught up.
func (w *World) replaceDiskAndCatchUp(p *Process) error {
	failed := w.restartWithEmptyDisk(p)
	time.Sleep(seconds(bounds.CatchUpS))
	return failed
}

// restartWithEmptyDisk makes a process lose power and disk, and starts it with an empty disk.
func (w *World) restartWithEmptyDisk(p *Process) error {
	failed := p.LosePower()
	p.Wipe()
	time.Sleep(500 * time.Millisecond)
	return errors.Join(failed, p.Start())
}

// cutBetween cuts all links between two groups of machines for a span.
func (w *World) cutBetween(some, others []*Process, span time.Duration) {
	w.eachPair(some, others, func(a, b string) {
		w.Checker.recordFault("cut between " + a + " and " + b)
		w.Net.Cut(a, b, false)
		w.Net.Cut(b, a, false)
	})
	time.Sleep(span)
	w.eachPair(some, others, func(a, b string) {
		w.Checker.recordFault("joined " + a + " and " + b)
		w.Net.Heal(a, b)
		w.Net.Heal(b, a)
	})
}

func (w *World) eachPair(some, others []*Process, f func(a, b string)) {
	for _, a := range some {
		for _, b := range others {
			if a.IP != b.IP {
				f(a.IP, b.IP)
			}
		}
	}
}

// shuffled returns the processes of a role in random order.
func (w *World) shuffled(role protocol.Role, random *rand.Rand) []*Process {
	list := w.ByRole(role)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// controlPrimary returns the control process that is the active primary, or the first one if there is none.
func (w *World) controlPrimary() *Process {
	host := w.Net.Host(operatorIP)
	controls := w.ByRole(protocol.RoleControl)
	for _, p := range controls {
		_, body := w.get(host, "http://"+hostPort(p.IP, controlPort)+"/status")
		var page struct{ Active bool }
		if json.Unmarshal([]byte(body), &page) == nil && page.Active {
			return p
		}
	}
	return controls[0]
}

// controlFullyReplicated reports whether the active primary has all control processes, each with its current disk, as witnesses, F+2 of them as
// members, and none as learner or blocked.
func (w *World) controlFullyReplicated() bool {
	host := w.Net.Host(operatorIP)
	controls := w.ByRole(protocol.RoleControl)
	var present []string
	var active statuspage.Page
	for _, p := range controls {
		_, body := w.get(host, "http://"+hostPort(p.IP, controlPort)+"/status")
		var page statuspage.Page
		if json.Unmarshal([]byte(body), &page) != nil {
			return false
		}
		present = append(present, page.Member)
		if page.Active {
			active = page
		}
	}
	slices.Sort(present)
	slices.Sort(active.Witnesses)
	members := min(len(controls), w.options.Machines+2)
	return slices.Equal(present, active.Witnesses) && len(active.Members) == members && len(active.Learners)+len(active.Blocked) == 0
}

// others returns the other processes of the same role.
func (w *World) others(p *Process) []*Process {
	return slices.DeleteFunc(w.ByRole(p.Role), func(other *Process) bool { return other == p })
}
