package balance_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	. "liftgauge/balance"
)

// TestAdoptedJobContinuesAndIsAnsweredOnce checks that a job that is handed over still counts at its worker, continues where it was, and is
// answered once.
func TestAdoptedJobContinuesAndIsAnsweredOnce(t *testing.T) {
	old, next := newHost(t, settings(), fleet(1)...), newHost(t, settings(), fleet(1)...)
	for id := JobID(1); id <= 4; id++ { // three run, the fourth is queued
		old.job(id, 3)
	}
	if n := len(old.sentFor[4]); n != 0 {
		t.Fatalf("the fourth job was sent %d times, want 0", n)
	}
	for id := JobID(1); id <= 4; id++ {
		tries, ok := old.d.Release(old.now, id)
		if again, twice := old.d.Release(old.now, id); !ok || twice || again != nil {
			t.Fatalf("released: %v; released again: %v", ok, twice)
		}
		next.d.Adopt(next.now, Job{ID: id, Class: 3, Left: 5 * time.Second, Slots: 1}, time.Second, tries)
		if len(next.sentFor[id]) != 0 {
			t.Errorf("job %d was sent although the adopted attempts fill the worker", id)
		}
	}
	old.job(9, 3) // the released jobs leave room here
	if len(old.sentFor[9]) != 1 {
		t.Error("no room after all jobs were released")
	}
	next.d.Outcome(next.now, Outcome{Job: 1, Worker: 1, Status: OK, Closed: true})
	if len(next.sentFor[4]) != 1 {
		t.Error("the fourth job does not get the slot of the first")
	}
	next.d.Outcome(next.now, Outcome{Job: 2, Worker: 1, Status: Reset}) // keyed by cell, and this is the only worker
	next.run(next.now + 5*time.Second)
	for id := JobID(2); id <= 4; id++ {
		if next.answered[id] == "" {
			t.Errorf("job %d has no answer at its deadline", id)
		}
	}
}

// TestAdoptKeepsAttemptsThatMayStillRun checks that the adopting process knows which worker may still run the job.
func TestAdoptKeepsAttemptsThatMayStillRun(t *testing.T) {
	s := settings()
	s.FreeSlots = -1
	for status, again := range map[Status]int{TimedOut: 0, Cancelled: 1} {
		old, next := newHost(t, s, fleet(1)...), newHost(t, s, fleet(1)...)
		old.job(1, 0)
		old.run(old.now + 10*ms)
		old.end(1, status) // there is no other worker: it is queued
		tries, ok := old.d.Release(old.now, 1)
		if !ok {
			t.Fatal("not released")
		}
		next.d.Adopt(next.now, Job{ID: 1, Left: 5 * time.Second, Slots: 1}, 10*ms, tries)
		if next.run(next.now + 3*time.Second); len(next.sentFor[1]) != again {
			t.Errorf("status %d: %d attempts at the only worker, want %d", status, len(next.sentFor[1]), again)
		}
	}
}

// TestLearnTakesValidEstimatesOnly checks that estimates are taken over completely, and that invalid ones are ignored and break no
// decision.
func TestLearnTakesValidEstimatesOnly(t *testing.T) {
	old, next := newHost(t, settings(), fleet(1, 1)...), newHost(t, settings(), fleet(1, 1)...)
	for id := JobID(1); id <= 20; id++ {
		old.job(id, 0)
		old.run(old.now + 70*ms)
		old.end(id, OK)
	}
	l := old.d.Learned(old.now)
	next.d.Learn(next.now, l)
	if got := next.d.Learned(next.now); !reflect.DeepEqual(got, l) || l.Classes[0].Jobs != 20 || l.Classes[0].Unit > 0.1 {
		t.Errorf("learned %+v\nafter Learn: %+v", l, got)
	}
	for _, x := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
		h := newHost(t, settings(), fleet(1, 1)...)
		before := h.d.Learned(h.now)
		bad := &Learned{Mean: 1, Classes: make([]LearnedClass, len(l.Classes)), Kinds: []LearnedKind{{Slots: x, Room: 1, Slow: 1}, {Room: x, Slow: 1}, {Room: 1, Slow: x}},
			Workers: []LearnedWorker{{ID: 1, Slow: x}, {ID: 2, Slow: 1, Others: x}, {ID: 77, Slow: 1}}}
		for i := range bad.Classes {
			bad.Classes[i] = LearnedClass{Unit: x, Jobs: 5}
		}
		h.d.Learn(h.now, bad)
		h.d.Learn(h.now, &Learned{Mean: x, Classes: l.Classes})
		h.d.Learn(h.now, &Learned{Classes: l.Classes[1:]})
		bad.Mean, before.Mean = 0, 0
		if got := h.d.Learned(h.now); !reflect.DeepEqual(got.Classes, before.Classes) || !reflect.DeepEqual(got.Kinds, before.Kinds) || !reflect.DeepEqual(got.Workers, before.Workers) {
			t.Errorf("invalid value %v was taken over: %+v", x, got)
		}
		if h.job(1, 0); len(h.sentFor[1]) != 1 {
			t.Errorf("%v: no send", x)
		}
	}
}

// TestSetDispatchersKeepsSharesOfWorkers changes the number of dispatchers during traffic, so that it becomes sparse and dense again. A
// cold worker must not get a second turn within a round because of that, and the shares of the workers stay.
func TestSetDispatchersKeepsSharesOfWorkers(t *testing.T) {
	set := settings()
	set.Dispatchers, set.Number, set.OverloadFactor = 3, 1, 1e6 // a cold worker takes every turn that it may
	ws := fleet(1, 1, 1, 1, 1, 1, 1, 1)
	h := newHost(t, set, ws...)
	cold := ws[3]
	cold.Up = h.now
	h.d.List(h.now, ListChanges, []Worker{cold})
	id, lastTurn := JobID(0), -100
	for round := range 60 {
		if round%3 == 0 {
			n := []int{3, 10, 40, 2, 300, 1}[round/3%6]
			h.d.SetDispatchers(h.now, round%n, n, n)
		}
		for range 1 + round%4 {
			id++
			h.job(id, 0)
			if len(h.sentFor[id]) == 0 {
				t.Fatalf("job %d was not sent", id)
			}
			if h.sentFor[id][0] == cold.ID {
				if gap := int(id) - lastTurn; gap < len(ws)/2 {
					t.Errorf("two turns of the cold worker %d jobs apart", gap)
				}
				lastTurn = int(id)
			}
			h.end(id, OK)
		}
	}
	got := map[WorkerID]int{}
	for range 800 {
		id++
		h.job(id, 0)
		got[h.sentFor[id][0]]++
		h.end(id, OK)
	}
	for _, w := range ws {
		if w.ID != cold.ID && (got[w.ID] < 60 || got[w.ID] > 160) {
			t.Errorf("worker %d got %d of 800 jobs", w.ID, got[w.ID])
		}
	}
	h.d.SetDispatchers(h.now, -5, -1, 0) // invalid numbers are replaced
	id++
	if h.job(id, 0); len(h.sentFor[id]) != 1 {
		t.Error("no send after invalid numbers")
	}
}

// TestSetDispatchersKeepsShareOfNewWorkers checks that one of many dispatchers, with few jobs on a large fleet, gives workers that have
// just started their share although the number of dispatchers changed: the first turn of a worker is never taken for a second one.
func TestSetDispatchersKeepsShareOfNewWorkers(t *testing.T) {
	set := settings()
	set.Dispatchers, set.OverloadFactor = 300, 1e6 // a cold worker takes every turn that it may
	var ws []Worker
	for i := range 100 {
		ws = append(ws, Worker{ID: WorkerID(i + 1), Weight: 1, Cell: i / 4})
	}
	h := newHost(t, set, ws...)
	h.d.SetDispatchers(h.now, 7, 90, 90)
	for i := 0; i < len(ws); i += 2 {
		ws[i].Up = h.now
	}
	h.d.List(h.now, ListFull, ws)
	cold := 0
	for id := JobID(1); id <= 60; id++ {
		h.job(id, 0)
		if len(h.sentFor[id]) > 0 {
			cold += int(h.sentFor[id][0]) % 2
			h.end(id, OK)
		}
	}
	if cold < 15 {
		t.Errorf("%d of 60 jobs went to the restarted half, want at least 15", cold)
	}
}
