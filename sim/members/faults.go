package members

import (
	"time"
)

// faults is the state of the fault that a run injects.
type faults struct {
	kind         string
	loss         float64
	affected     []bool // members that the fault applies to
	partitionEnd time.Duration
	nextPause    []time.Duration
	restartAt    map[int]time.Duration
	nextFlap     time.Duration
	healed       bool
}

// newFaults starts the fault of a run.
func newFaults(w *World) faults {
	f := faults{kind: w.Fault, affected: make([]bool, w.Members), nextPause: make([]time.Duration, w.Members), restartAt: map[int]time.Duration{}}
	affect := func(share float64) []int {
		n := max(1, int(share*float64(w.Members)+0.5))
		order := w.rng.Perm(w.Members)[:min(n, w.Members)]
		for _, i := range order {
			f.affected[i] = true
		}
		return order
	}
	switch f.kind {
	case "loss":
		f.loss = 0.3
	case "lossy-tenth", "deaf", "unheard":
		affect(0.1)
	case "pauses", "long-pauses":
		for _, i := range affect(0.1) {
			f.nextPause[i] = w.now + time.Duration(w.rng.Int64N(int64(10*time.Second)))
		}
	case "crash", "vanish":
		for _, i := range affect(0)[:1] {
			w.kill(i, f.kind == "vanish")
		}
	case "kill-30", "vanish-30":
		for _, i := range affect(0.3) {
			w.kill(i, f.kind == "vanish-30")
		}
	case "kill-70":
		for _, i := range affect(0.7) {
			w.kill(i, false)
		}
	case "halves":
		for i := range f.affected {
			f.affected[i] = i%2 == 0
		}
		f.partitionEnd = w.now + min(time.Minute, w.Length/2)
	case "return":
		for _, i := range affect(0.1) {
			w.kill(i, false)
			f.restartAt[i] = w.now + 3*time.Second
		}
	case "flap":
		affect(0)
	}
	return f
}

// kill ends a process, or its machine if it vanishes.
func (w *World) kill(i int, vanished bool) {
	p := w.procs[i]
	p.up, p.vanished, p.diedAt, p.inbox = false, vanished, w.now, nil
	w.deadSince[i] = w.now
	for _, q := range w.procs {
		delete(q.deathKnownAt, i)
	}
}

// drops reports whether the network loses a datagram.
func (f *faults) drops(w *World, from, to int) bool {
	if f.affected == nil {
		return false
	}
	switch f.kind {
	case "loss":
		return w.rng.Float64() < f.loss
	case "lossy-tenth":
		return (f.affected[from] || f.affected[to]) && w.rng.Float64() < 0.3
	case "deaf":
		return f.affected[to]
	case "unheard":
		return f.affected[from]
	case "halves":
		return w.now < f.partitionEnd && f.affected[from] != f.affected[to]
	}
	return false
}

// mustStay reports whether a member has no fault that justifies its removal.
func (f *faults) mustStay(w *World, i int) bool {
	if f.affected != nil && f.kind == "halves" { // the smaller half, if there is one, is removed
		return f.affected[i] || w.Members%2 == 0
	}
	if f.affected == nil || !f.affected[i] {
		return true
	}
	switch f.kind {
	case "deaf", "unheard", "flap", "long-pauses", "return":
		return false
	}
	return true
}

// advance continues the fault.
func (f *faults) advance(w *World) {
	switch f.kind {
	case "pauses", "long-pauses":
		longest := 4 * time.Second
		if f.kind == "long-pauses" {
			longest = 9 * time.Second
		}
		for i, at := range f.nextPause {
			if at > 0 && w.now >= at {
				w.procs[i].pausedUntil = w.now + time.Second + time.Duration(w.rng.Int64N(int64(longest)))
				f.nextPause[i] = w.procs[i].pausedUntil + time.Second + time.Duration(w.rng.Int64N(int64(20*time.Second)))
				w.lastFaultEnd = max(w.lastFaultEnd, w.procs[i].pausedUntil)
			}
		}
	case "halves":
		if !f.healed && w.now >= f.partitionEnd {
			f.healed, w.lastFaultEnd = true, w.now
		}
	case "return":
		for i := range w.Members { // not in map order: a start draws random numbers
			if at, due := f.restartAt[i]; due && w.now >= at {
				delete(f.restartAt, i)
				w.start(i)
				w.lastFaultEnd = w.now
			}
		}
	case "flap":
		for i, affected := range f.affected {
			if !affected || w.now-w.faultBegan > w.Length/2 {
				continue
			}
			if p := w.procs[i]; p.up && w.now >= f.nextFlap {
				w.kill(i, false)
				f.nextFlap = w.now + 2*time.Second
			} else if !p.up && w.now >= f.nextFlap {
				w.start(i)
				f.nextFlap = w.now + 4*time.Second
				w.lastFaultEnd = w.now
			}
		}
	}
}
