package balance_test

import (
	"slices"
	"testing"
	"time"

	. "liftgauge/balance"
)

// TestOffline: nothing but the operators' word lifts it, and what is back is cold, has a clean record and soon gets work.
func TestOffline(t *testing.T) {
	all := fleet(1, 1, 1, 1)
	h := newHost(t, settings(), all...)
	out := func(when string) {
		t.Helper()
		if sends := h.serve(len(h.sentFor)+1, 40); slices.Contains(sends, 2) {
			t.Errorf("%s: sent to the worker that is out", when)
		}
	}
	if !slices.Contains(h.serve(1, 40), 2) {
		t.Fatal("worker 2 gets no work")
	}
	h.job(1000, 0)
	for h.sentFor[1000][0] != 2 { // one attempt is out there when the call comes
		h.end(1000, OK)
		delete(h.sentFor, 1000)
		delete(h.answered, 1000)
		h.job(1000, 0)
	}
	h.d.SetOffline(h.now, 2, true)
	h.d.SetOffline(h.now, 2, true)
	out("called out")
	if listed, avoided := h.d.Fleet(h.now); listed != 4 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	h.end(1000, Reset) // it is restarted
	h.probes = nil
	if h.run(h.now + 10*time.Second); slices.Contains(h.probes, 2) {
		t.Error("probed: its answer would not count")
	}
	h.d.Probed(h.now, 2, OK, nil)
	out("after a probe")
	h.d.List(h.now, ListFull, all)
	out("after a list")
	h.d.List(h.now, ListChanges, []Worker{{ID: 2, State: Removed}})
	all[1].Up = h.now
	h.d.List(h.now, ListChanges, all[1:2])
	out("after it left the list and came back anew")

	h.d.SetOffline(h.now, 2, false)
	if h.serve(2000, 1); h.sends[0] != 2 {
		t.Error("back and not the next to be sent to")
	}
	if n := len(slices.DeleteFunc(h.serve(2100, 80), func(w WorkerID) bool { return w != 2 })); n == 0 || n >= 16 {
		t.Errorf("%d of 80 jobs while cold", n)
	}
	h.d.SetOffline(h.now, 3, true) // without a restart: it may have had one all the same
	h.d.SetOffline(h.now, 3, false)
	h.serve(2200, 1)
	if n := len(slices.DeleteFunc(h.serve(2300, 80), func(w WorkerID) bool { return w != 3 })); n == 0 || n >= 16 {
		t.Errorf("%d of 80 jobs while cold by the call alone", n)
	}
	h.run(h.now + 20*time.Second)
	if n := len(slices.DeleteFunc(h.serve(3000, 80), func(w WorkerID) bool { return w != 3 })); n < 16 {
		t.Errorf("%d of 80 jobs when warm again", n)
	}
}

// TestOfflineUnlisted: the word holds for a worker that the list brings later, and its end makes no worker.
func TestOfflineUnlisted(t *testing.T) {
	h := newHost(t, settings(), fleet(1, 1)...)
	h.d.SetOffline(h.now, 3, true)
	h.d.List(h.now, ListFull, fleet(1, 1, 1))
	if slices.Contains(h.serve(1, 60), 3) {
		t.Error("sent to a worker that was out before it was listed")
	}
	h.d.List(h.now, ListFull, fleet(1, 1))
	h.d.SetOffline(h.now, 3, false)
	if slices.Contains(h.serve(100, 60), 3) {
		t.Error("sent to a worker that is not listed")
	}
}

// TestColdInOverload: while most jobs find no room a cold worker takes one at a time, beyond its share of turns. Before,
// jobs waited for seconds while workers that had just started stood idle.
func TestColdInOverload(t *testing.T) {
	all := fleet(1, 1)
	set := settings()
	set.StartCapacity = 0.5 // a job can end in time there
	h := newHost(t, set, all...)
	all[1].Up = h.now
	h.d.List(h.now, ListFull, all)
	for i := range 40 { // they fill worker 1 and wait
		h.job(JobID(i+1), 0)
	}
	h.sends = nil
	for i := range 20 { // no more come; what worker 2 gets ends there
		h.run(h.now + 50*ms)
		var there []JobID
		for id, to := range h.sentFor {
			if h.answered[id] == "" && to[len(to)-1] == 2 {
				there = append(there, id)
			}
		}
		if i > 0 && len(there) > 1 {
			t.Fatalf("%d jobs at the cold worker", len(there))
		}
		for _, id := range there {
			h.end(id, OK)
		}
	}
	if len(h.sends) < 15 {
		t.Errorf("%d jobs in 1 s", len(h.sends))
	}
}
