package balance_test

import (
	"slices"
	"testing"
	"time"

	. "liftgauge/balance"
)

// reportSettings returns the settings of a deployment whose workers report free slots in every answer but not the start of a job.
func reportSettings() Settings {
	s := settings()
	s.ReportsStart, s.FreeSlots = false, 0
	for i := range s.Classes {
		s.Classes[i].LateValue = 0
	}
	return s
}

// reports delivers a report of free slots from each worker.
func (h *host) reports(free ...float32) {
	for i, f := range free {
		h.d.Probed(h.now, WorkerID(i+1), OK, []float32{f})
	}
}

// TestWorkerWithMostFreeSlotsComesFirst checks that workers with few free slots come last, and that the fixed order holds among the others.
func TestWorkerWithMostFreeSlotsComesFirst(t *testing.T) {
	h := newHost(t, reportSettings(), fleet(1, 1, 1, 1)...)
	h.reports(4, 4, 4, 4) // their number of slots
	for range 6 {
		h.now += 400 * ms
		h.reports(1, 4, 1.1, 0)
	}
	for i := range 7 {
		h.job(JobID(i+1), 0)
	}
	count := map[WorkerID]int{}
	for _, w := range h.sends {
		count[w]++
	}
	if count[2] < 3 || count[4] > 0 || h.sends[0] != 2 || h.sends[1] != 2 {
		t.Errorf("sent to %v; worker 2 had four free slots, 1 and 3 one each, 4 none", h.sends)
	}
}

// TestQueueingTimeIsNotRunningTime guards against a vicious circle where starts are not reported: if the time of a job that had to wait
// counts as its running time, short jobs are expected to be late everywhere and are given up unsent while workers are idle.
func TestQueueingTimeIsNotRunningTime(t *testing.T) {
	h := newHost(t, reportSettings(), fleet(1, 1)...)
	h.reports(4, 4)
	one := func(id JobID, took time.Duration) {
		h.d.Job(h.now, Job{ID: id, Class: 4, Left: 5 * time.Second, Slots: 1, Hint: 100 * ms})
		h.run(h.now + took)
		if len(h.sentFor[id]) == 0 {
			t.Fatalf("job %d of 100 ms was not sent although the fleet has room", id)
		}
		h.end(id, OK)
	}
	for i := range JobID(20) { // as the hint says
		one(1+i, 100*ms)
	}
	for i := range JobID(40) { // at most one slot is free: they wait
		h.reports(1, 1.1)
		one(100+i, 900*ms)
	}
	h.now += 10 * time.Second
	h.reports(4, 4)
	one(200, 100*ms)
}

// TestWrongHintsDoNotExcludeWorker checks that a few jobs that take thirty times as long as their hints do not make a worker look that
// slow: such a worker got no more jobs.
func TestWrongHintsDoNotExcludeWorker(t *testing.T) {
	h := newHost(t, reportSettings(), fleet(1, 1, 1)...)
	h.reports(4, 4, 4)
	serve := func(from JobID, n int, slow WorkerID) (to int) {
		for i := range JobID(n) {
			id := from + i
			h.d.Job(h.now, Job{ID: id, Class: 4, Left: 5 * time.Second, Slots: 1, Hint: 50 * ms})
			w, took := h.sentFor[id][0], 50*ms
			if w == 1 {
				to++
			}
			if w == slow {
				took, slow = 1500*ms, 0
			}
			h.run(h.now + took)
			h.end(id, OK)
			h.reports(4.1, 4, 3.9)
		}
		return to
	}
	serve(1, 60, 0)
	for i := range 5 {
		serve(JobID(1000+100*i), 3, 1)
	}
	if n := serve(2000, 30, 0); n < 5 {
		t.Errorf("%d of 30 jobs to a worker where five took far longer than their hints, want at least 5", n)
	}
}

// TestWorkerWithOldestReportIsProbed checks that the worker with the oldest report is probed when a job arrives, at most once a second for
// each worker, but not if it is offline or if workers report nothing.
func TestWorkerWithOldestReportIsProbed(t *testing.T) {
	h := newHost(t, reportSettings(), fleet(1, 1, 1, 1)...)
	h.reports(4, 4, 4, 4)
	h.d.SetOffline(h.now, 3, true)
	for i := range 40 {
		h.run(h.now + 100*ms)
		h.job(JobID(i+1), 0)
		h.end(JobID(i+1), OK)
	}
	probed := map[WorkerID]int{}
	for _, w := range h.probes {
		probed[w]++
	}
	if len(h.probes) < 9 || len(h.probes) > 12 || probed[3] > 0 || probed[1] < 3 || probed[2] < 3 || probed[4] < 3 {
		t.Errorf("probes by worker %v in 4 s with 40 jobs, want 9 to 12 among three workers", probed)
	}
	s := reportSettings()
	s.FreeSlots = -1
	h = newHost(t, s, fleet(1, 1)...)
	h.run(h.now + 10*time.Second)
	if h.serve(1, 20); len(h.probes) > 0 {
		t.Errorf("%d probes where workers report nothing", len(h.probes))
	}
}

// TestUnhealthyWorkerIsExcluded checks that a worker that answers a probe as unhealthy gets no jobs until it answers one as healthy. A
// worker that fails every job at once would otherwise keep its short queue, its turns and its good report.
func TestUnhealthyWorkerIsExcluded(t *testing.T) {
	h := newHost(t, reportSettings(), fleet(1, 1, 1)...)
	h.reports(4, 4, 4)
	h.d.Probed(h.now, 2, Full, []float32{4})
	for range 3 {
		if slices.Contains(h.serve(1+len(h.answered), 30), 2) {
			t.Fatal("sent to a worker that reports itself unhealthy")
		}
		h.probes = nil
		h.run(h.now + time.Second)
		if !slices.Contains(h.probes, 2) {
			t.Fatal("not probed again")
		}
		h.d.Probed(h.now, 2, Full, nil)
	}
	h.run(h.now + 4*time.Second)
	h.d.Probed(h.now, 2, OK, []float32{4})
	if !slices.Contains(h.serve(1000, 30), 2) {
		t.Error("no job for a worker that is healthy again")
	}
}

// TestSparseTrafficLeavesFullZone checks that in sparse traffic without reported starts, workers that report no free slot show that the own
// zone is crowded. Otherwise each of many dispatchers takes a worker without a recent report for one with room, and no job leaves the zone.
func TestSparseTrafficLeavesFullZone(t *testing.T) {
	for _, c := range []struct {
		here, there float32
		least, most int
	}{{0, 3, 20, 100}, {3, 3, 0, 5}, {0, 0, 0, 5}} {
		s := reportSettings()
		s.Dispatchers, s.Zones, s.CrossZoneFee = 40, 2, 0.08
		h := newHost(t, s, fleet(1, 1, 1, 1, 1, 1)...) // alternately in zone 0, the own one, and 1
		h.reports(4, 4, 4, 4, 4, 4)
		left := 0
		for i := range 100 {
			h.run(h.now + 700*ms)
			at := WorkerID(i%6 + 1)
			free := []float32{c.there, c.here}[at%2] // one report for each job, as in sparse traffic
			h.d.Probed(h.now, at, OK, []float32{free + float32(i%3)/100})
			id := JobID(i + 1)
			h.d.Job(h.now, Job{ID: id, Class: 4, Left: 5 * time.Second, Slots: 1, Hint: 300 * ms})
			if len(h.sentFor[id]) == 0 {
				continue
			}
			if h.sentFor[id][0]%2 == 0 {
				left++
			}
			h.end(id, OK)
		}
		if left < c.least || left > c.most {
			t.Errorf("%v slots free here and %v there: %d of 100 jobs left the zone, want %d to %d", c.here, c.there, left, c.least, c.most)
		}
	}
}

// TestLateJobDoesNotTakeLastSlot checks that a job that is late by its hint, which may be wrong, is not given up at once: it is sent where
// several slots are free, but not where it would take the last one.
func TestLateJobDoesNotTakeLastSlot(t *testing.T) {
	for _, c := range []struct {
		free float32
		sent int
	}{{1, 0}, {4, 1}} {
		h := newHost(t, reportSettings(), fleet(1)...)
		h.reports(4)
		for range 8 {
			h.now += 300 * ms
			h.reports(0) // no room
			h.now += 300 * ms
			h.reports(0.01)
		}
		h.d.Job(h.now, Job{ID: 1, Class: 4, Left: 5 * time.Second, Slots: 1, Hint: time.Second})
		h.run(h.now + 1800*ms) // its target is 2.2 s, and it would take 1 s
		if len(h.sentFor[1]) > 0 || h.answered[1] != "" {
			t.Fatalf("sent %v, answered %q before there was room", h.sentFor[1], h.answered[1])
		}
		for i := range 8 {
			h.reports(c.free + float32(i%2)/100)
			h.run(h.now + 50*ms)
		}
		if len(h.sentFor[1]) != c.sent {
			t.Errorf("%v slots free: late job sent %d times, want %d", c.free, len(h.sentFor[1]), c.sent)
		}
		if h.run(h.now + 4*time.Second); c.sent == 0 && h.answered[1] != "failed" {
			t.Errorf("late job answered %q", h.answered[1])
		}
	}
}
