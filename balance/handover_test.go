package balance_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	. "liftgauge/balance"
)

// TestReleaseAdopt: a job that changes hands counts at its worker there as it did here, goes on where it was, and is answered once.
func TestReleaseAdopt(t *testing.T) {
	old, next := newHost(t, settings(), fleet(1)...), newHost(t, settings(), fleet(1)...)
	for id := JobID(1); id <= 4; id++ { // three run, the fourth waits for room
		old.job(id, 3)
	}
	if n := len(old.sentFor[4]); n != 0 {
		t.Fatalf("%d sends of the fourth", n)
	}
	for id := JobID(1); id <= 4; id++ {
		tries, ok := old.d.Release(old.now, id)
		if again, twice := old.d.Release(old.now, id); !ok || twice || again != nil {
			t.Fatalf("released %v, again %v", ok, twice)
		}
		next.d.Adopt(next.now, Job{ID: id, Class: 3, Left: 5 * time.Second, Slots: 1}, time.Second, tries)
		if len(next.sentFor[id]) != 0 {
			t.Errorf("job %d was sent: the worker is full of what came with it", id)
		}
	}
	old.job(9, 3) // what has left leaves room here
	if len(old.sentFor[9]) != 1 {
		t.Error("no room after all has gone")
	}
	next.d.Outcome(next.now, Outcome{Job: 1, Worker: 1, Status: OK, Closed: true})
	if len(next.sentFor[4]) != 1 {
		t.Error("the fourth does not get the room that the first had")
	}
	next.d.Outcome(next.now, Outcome{Job: 2, Worker: 1, Status: Reset}) // keyed by cell, and this worker is all there is
	next.run(next.now + 5*time.Second)
	for id := JobID(2); id <= 4; id++ {
		if next.answered[id] == "" {
			t.Errorf("job %d has no answer at the end of its patience", id)
		}
	}
}

// TestStuckChangesHands: that a worker may have a job yet is known to the process that takes the job over, too.
func TestStuckChangesHands(t *testing.T) {
	s := settings()
	s.FreeSlots = -1
	for status, again := range map[Status]int{TimedOut: 0, Cancelled: 1} {
		old, next := newHost(t, s, fleet(1)...), newHost(t, s, fleet(1)...)
		old.job(1, 0)
		old.run(old.now + 10*ms)
		old.end(1, status) // no other worker is there: it waits
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

// TestLearn: what was learnt comes over whole; what cannot have been learnt is left aside, and nothing of it breaks a decision.
func TestLearn(t *testing.T) {
	old, next := newHost(t, settings(), fleet(1, 1)...), newHost(t, settings(), fleet(1, 1)...)
	for id := JobID(1); id <= 20; id++ {
		old.job(id, 0)
		old.run(old.now + 70*ms)
		old.end(id, OK)
	}
	l := old.d.Learned(old.now)
	next.d.Learn(next.now, l)
	if got := next.d.Learned(next.now); !reflect.DeepEqual(got, l) || l.Classes[0].Jobs != 20 || l.Classes[0].Unit > 0.1 {
		t.Errorf("told %+v\ntook %+v", l, got)
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
			t.Errorf("%v was taken: %+v", x, got)
		}
		if h.job(1, 0); len(h.sentFor[1]) != 1 {
			t.Errorf("%v: no send", x)
		}
	}
}

// TestAmong: the number of this dispatcher and how many there are change in the midst of traffic. A cold worker gets no second turn within a
// round for that, thin traffic begins and ends, and the share of jobs that each worker gets stays what it was.
func TestAmong(t *testing.T) {
	set := settings()
	set.Dispatchers, set.Number, set.OverloadFactor = 3, 1, 1e6 // every turn that a cold worker may take it takes
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
	h.d.SetDispatchers(h.now, -5, -1, 0) // an absurd word is none
	id++
	if h.job(id, 0); len(h.sentFor[id]) != 1 {
		t.Error("no send after an absurd word")
	}
}

// TestAmongNewWorkers: one of many dispatchers, with few jobs on a large fleet, gives workers that have just started their share though the
// count of dispatchers has changed: what never had a turn can have no second one.
func TestAmongNewWorkers(t *testing.T) {
	set := settings()
	set.Dispatchers, set.OverloadFactor = 300, 1e6 // every turn that a cold worker may take it takes
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
		t.Errorf("%d of 60 jobs went to the half that is new", cold)
	}
}
