package balance_test

import (
	"slices"
	"testing"
	"time"

	. "liftgauge/balance"
)

// TestOfflineWorkerReturnsByOrderOnly checks that only an operator's order readmits a worker, which then is cold, has
// no recorded failures and soon gets a job.
func TestOfflineWorkerReturnsByOrderOnly(t *testing.T) {
	all := fleet(1, 1, 1, 1)
	h := newHost(t, settings(), all...)
	out := func(when string) {
		t.Helper()
		if sends := h.serve(len(h.sentFor)+1, 40); slices.Contains(sends, 2) {
			t.Errorf("%s: sent to the offline worker", when)
		}
	}
	if !slices.Contains(h.serve(1, 40), 2) {
		t.Fatal("worker 2 gets no work")
	}
	h.job(1000, 0)
	for h.sentFor[1000][0] != 2 { // one attempt is active there when the order comes
		h.end(1000, OK)
		delete(h.sentFor, 1000)
		delete(h.answered, 1000)
		h.job(1000, 0)
	}
	h.d.SetOffline(h.now, 2, true)
	h.d.SetOffline(h.now, 2, true)
	out("after the order")
	if listed, avoided := h.d.Fleet(h.now); listed != 4 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	h.end(1000, Reset) // the worker restarts
	h.probes = nil
	if h.run(h.now + 10*time.Second); slices.Contains(h.probes, 2) {
		t.Error("offline worker was probed")
	}
	h.d.Probed(h.now, 2, OK, nil)
	out("after a probe")
	h.d.List(h.now, ListFull, all)
	out("after a list")
	h.d.List(h.now, ListChanges, []Worker{{ID: 2, State: Removed}})
	all[1].Up = h.now
	h.d.List(h.now, ListChanges, all[1:2])
	out("after it was removed from the list and listed again with a new start")

	h.d.SetOffline(h.now, 2, false)
	if h.serve(2000, 1); h.sends[0] != 2 {
		t.Error("readmitted worker did not get the next job")
	}
	if n := len(slices.DeleteFunc(h.serve(2100, 80), func(w WorkerID) bool { return w != 2 })); n == 0 || n >= 16 {
		t.Errorf("%d of 80 jobs while cold, want 1 to 15", n)
	}
	h.d.SetOffline(h.now, 3, true) // not listed as restarted, but it may have been
	h.d.SetOffline(h.now, 3, false)
	h.serve(2200, 1)
	if n := len(slices.DeleteFunc(h.serve(2300, 80), func(w WorkerID) bool { return w != 3 })); n == 0 || n >= 16 {
		t.Errorf("%d of 80 jobs while cold since its readmission, want 1 to 15", n)
	}
	h.run(h.now + 20*time.Second)
	if n := len(slices.DeleteFunc(h.serve(3000, 80), func(w WorkerID) bool { return w != 3 })); n < 16 {
		t.Errorf("%d of 80 jobs when warm again, want at least 16", n)
	}
}

// TestOfflineOrderAppliesToUnlistedWorker checks that the order applies to a worker that is listed later, and that its
// end adds no worker.
func TestOfflineOrderAppliesToUnlistedWorker(t *testing.T) {
	h := newHost(t, settings(), fleet(1, 1)...)
	h.d.SetOffline(h.now, 3, true)
	h.d.List(h.now, ListFull, fleet(1, 1, 1))
	if slices.Contains(h.serve(1, 60), 3) {
		t.Error("sent to a worker that was offline before it was listed")
	}
	h.d.List(h.now, ListFull, fleet(1, 1))
	h.d.SetOffline(h.now, 3, false)
	if slices.Contains(h.serve(100, 60), 3) {
		t.Error("sent to a worker that is not listed")
	}
}

// TestColdWorkerRunsOneJobAtATimeUnderOverload checks that a cold worker gets one job at a time, beyond its share of
// turns, while most jobs find no room. Otherwise jobs wait for seconds while workers that have just started are idle.
func TestColdWorkerRunsOneJobAtATimeUnderOverload(t *testing.T) {
	all := fleet(1, 1)
	set := settings()
	set.StartCapacity = 0.5 // a job can end in time there
	h := newHost(t, set, all...)
	all[1].Up = h.now
	h.d.List(h.now, ListFull, all)
	for i := range 40 { // they fill worker 1 and are queued
		h.job(JobID(i+1), 0)
	}
	h.sends = nil
	for i := range 20 { // no more arrive; jobs at worker 2 end
		h.run(h.now + 50*ms)
		var there []JobID
		for id, to := range h.sentFor {
			if h.answered[id] == "" && to[len(to)-1] == 2 {
				there = append(there, id)
			}
		}
		if i > 0 && len(there) > 1 {
			t.Fatalf("%d jobs at the cold worker, want at most 1", len(there))
		}
		for _, id := range there {
			h.end(id, OK)
		}
	}
	if len(h.sends) < 15 {
		t.Errorf("%d jobs were sent in 1 s, want at least 15", len(h.sends))
	}
}
