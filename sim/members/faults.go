package members

import (
	"time"
)

// faults is what is wrong with the net and the processes of a run.
type faults struct {
	kind    string
	loss    float64
	marked  []bool // members that the fault is about
	cut     time.Duration
	pauseAt []time.Duration
	back    map[int]time.Duration
	next    time.Duration
	done    bool
}

// newFaults begins the run's fault.
func newFaults(w *World) faults {
	f := faults{kind: w.Fault, marked: make([]bool, w.Members), pauseAt: make([]time.Duration, w.Members), back: map[int]time.Duration{}}
	some := func(share float64) []int {
		n := max(1, int(share*float64(w.Members)+0.5))
		order := w.rng.Perm(w.Members)[:min(n, w.Members)]
		for _, i := range order {
			f.marked[i] = true
		}
		return order
	}
	switch f.kind {
	case "loss":
		f.loss = 0.3
	case "lossy-tenth", "deaf", "unheard":
		some(0.1)
	case "pauses", "long-pauses":
		for _, i := range some(0.1) {
			f.pauseAt[i] = w.now + time.Duration(w.rng.Int64N(int64(10*time.Second)))
		}
	case "crash", "vanish":
		for _, i := range some(0)[:1] {
			w.kill(i, f.kind == "vanish")
		}
	case "kill-30", "vanish-30":
		for _, i := range some(0.3) {
			w.kill(i, f.kind == "vanish-30")
		}
	case "kill-70":
		for _, i := range some(0.7) {
			w.kill(i, false)
		}
	case "halves":
		for i := range f.marked {
			f.marked[i] = i%2 == 0
		}
		f.cut = w.now + min(time.Minute, w.Length/2)
	case "return":
		for _, i := range some(0.1) {
			w.kill(i, false)
			f.back[i] = w.now + 3*time.Second
		}
	case "flap":
		some(0)
	}
	return f
}

// kill ends a process, or its machine.
func (w *World) kill(i int, silent bool) {
	p := w.procs[i]
	p.up, p.silent, p.died, p.inbox = false, silent, w.now, nil
	w.dead[i] = w.now
	for _, q := range w.procs {
		delete(q.known, i)
	}
}

// lost says whether a datagram gets lost on its way.
func (f *faults) lost(w *World, from, to int) bool {
	if f.marked == nil {
		return false
	}
	switch f.kind {
	case "loss":
		return w.rng.Float64() < f.loss
	case "lossy-tenth":
		return (f.marked[from] || f.marked[to]) && w.rng.Float64() < 0.3
	case "deaf":
		return f.marked[to]
	case "unheard":
		return f.marked[from]
	case "halves":
		return w.now < f.cut && f.marked[from] != f.marked[to]
	}
	return false
}

// sound: a member that nothing is wrong with, or nothing that it should be removed for.
func (f *faults) sound(w *World, i int) bool {
	if f.marked != nil && f.kind == "halves" { // the smaller one, if one is, is removed
		return f.marked[i] || w.Members%2 == 0
	}
	if f.marked == nil || !f.marked[i] {
		return true
	}
	switch f.kind {
	case "deaf", "unheard", "flap", "long-pauses", "return":
		return false
	}
	return true
}

// act goes on with the fault.
func (f *faults) act(w *World) {
	switch f.kind {
	case "pauses", "long-pauses":
		longest := 4 * time.Second
		if f.kind == "long-pauses" {
			longest = 9 * time.Second
		}
		for i, at := range f.pauseAt {
			if at > 0 && w.now >= at {
				w.procs[i].paused = w.now + time.Second + time.Duration(w.rng.Int64N(int64(longest)))
				f.pauseAt[i] = w.procs[i].paused + time.Second + time.Duration(w.rng.Int64N(int64(20*time.Second)))
				w.ended = max(w.ended, w.procs[i].paused)
			}
		}
	case "halves":
		if !f.done && w.now >= f.cut {
			f.done, w.ended = true, w.now
		}
	case "return":
		for i := range w.Members { // in order: a start draws
			if at, due := f.back[i]; due && w.now >= at {
				delete(f.back, i)
				w.start(i)
				w.ended = w.now
			}
		}
	case "flap":
		for i, marked := range f.marked {
			if !marked || w.now-w.began > w.Length/2 {
				continue
			}
			if p := w.procs[i]; p.up && w.now >= f.next {
				w.kill(i, false)
				f.next = w.now + 2*time.Second
			} else if !p.up && w.now >= f.next {
				w.start(i)
				f.next = w.now + 4*time.Second
				w.ended = w.now
			}
		}
	}
}
