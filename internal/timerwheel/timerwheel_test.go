package timerwheel

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestAgainstModel checks the wheel against a list, with random times, some more than a turn away, with timers stopped at
// random, also from within others of the same tick, and with handles of old timers.
func TestAgainstModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	const step = 2 * time.Millisecond
	now := 1_800_000_000 * time.Second
	type item struct {
		id int
		at time.Duration
	}
	w := New[item](step, now)
	var model []item
	var handles []Timer[item] // of all timers so far, by id
	stop := func() {
		if len(handles) == 0 {
			return
		}
		id := rng.IntN(len(handles))
		i := slices.IndexFunc(model, func(m item) bool { return m.id == id })
		if w.Stop(handles[id]) != (i >= 0) {
			t.Fatalf("stop of %d, held: %v", id, i >= 0)
		}
		if i >= 0 {
			model = slices.Delete(model, i, i+1)
		}
	}
	for range 5000 {
		for range rng.IntN(4) {
			it := item{len(handles), now + time.Duration(rng.Int64N(int64(20*time.Second)))}
			if rng.IntN(4) == 0 { // many in a few ticks
				it.at = now + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
			}
			handles, model = append(handles, w.Add(it.at, it)), append(model, it)
		}
		for range rng.IntN(3) {
			stop()
		}
		first := time.Duration(1 << 62)
		for _, m := range model {
			first = min(first, m.at)
		}
		if at, any := w.Next(); any != (len(model) > 0) || any && at > first+step {
			t.Fatalf("next %v %v, the first of %d is %v", at, any, len(model), first)
		}
		now += time.Duration(rng.Int64N(int64(50 * time.Millisecond)))
		w.Advance(now, func(it item) {
			i := slices.Index(model, it)
			if i < 0 || it.at > now {
				t.Fatalf("%v ran at %v, known: %v", it, now, i >= 0)
			}
			model = slices.Delete(model, i, i+1)
			if rng.IntN(4) == 0 {
				stop()
			}
		})
		for _, m := range model {
			if m.at+step <= now {
				t.Fatalf("%v has not run at %v", m, now)
			}
		}
		if w.Len() != len(model) {
			t.Fatalf("%d held, want %d", w.Len(), len(model))
		}
	}
}

// TestStopReleasesValue guards against a stopped or run timer that keeps its value: at 9,000 messages a second that exceeded the
// program's memory limit.
func TestStopReleasesValue(t *testing.T) {
	w := New[*int](time.Millisecond, 0)
	stopped, ran := w.Add(time.Second, new(int)), w.Add(2*time.Millisecond, new(int))
	w.Stop(stopped)
	w.Advance(2*time.Millisecond, func(*int) {})
	if stopped.entry.value != nil || ran.entry.value != nil || w.Len() != 0 {
		t.Error("the value is still held")
	}
}

// TestAddWhileRunning guards against a timer that adds itself again at the present time, so that Advance never returns.
func TestAddWhileRunning(t *testing.T) {
	w := New[int](2*time.Millisecond, 0)
	w.Add(0, 1)
	runs := 0
	w.Advance(2*time.Millisecond, func(int) { runs++; w.Add(0, 1) })
	if runs != 1 || w.Len() != 1 {
		t.Errorf("%d runs, %d held", runs, w.Len())
	}
}
