package balance_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	. "liftgauge/balance"
)

// TestFullProvesThatTheJobDidNotRun checks that a job may go anywhere after Full, but not after Reset.
func TestFullProvesThatTheJobDidNotRun(t *testing.T) {
	cellmates := []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Zone: 1, Cell: 1, Weight: 1}}
	for _, c := range []struct {
		name    string
		class   int
		late    bool
		again   []WorkerID // where it may be sent next
		refusal bool
	}{
		{"safe, proof", 0, false, []WorkerID{1, 2, 3}, true},
		{"safe, no proof", 0, true, []WorkerID{1, 2, 3}, true},
		{"keyed in a cell, proof", 3, false, []WorkerID{1, 2, 3}, true},
		{"keyed in a cell, no proof", 3, true, []WorkerID{1, 2}, false},
		{"unsafe, proof", 4, false, []WorkerID{1, 2, 3}, true},
		{"unsafe, no proof", 4, true, nil, false},
	} {
		s := settings()
		end := Full
		if c.late {
			end = Reset
		}
		h := newHost(t, s, cellmates...)
		h.job(1, c.class)
		if h.sentFor[1][0] != 1 {
			t.Fatalf("%s: first attempt at %v", c.name, h.sentFor[1])
		}
		from := h.now
		h.end(1, end)
		if c.again == nil && (h.answered[1] != "failed" || h.now != from) {
			t.Errorf("%s: answered %q, want a failure in the same call", c.name, h.answered[1])
		}
		for h.answered[1] == "" && h.now < from+6*time.Second {
			h.run(h.now + 20*ms)
			if n := len(h.sentFor[1]); n > 1 && h.answered[1] == "" {
				h.end(1, end)
			}
		}
		for _, w := range h.sentFor[1][1:] {
			if !slices.Contains(c.again, w) {
				t.Errorf("%s: sent again to worker %d, allowed %v", c.name, w, c.again)
			}
		}
		if len(c.again) > 0 && len(h.sentFor[1]) < 2 {
			t.Errorf("%s: never sent again", c.name)
		}
		if h.answered[1] == "" || h.answered[1] == "refused" && !c.refusal {
			t.Errorf("%s: answered %q", c.name, h.answered[1])
		}
	}
}

// TestAlternatingFailuresExtendTheExclusion checks that a success does not erase a recent failure.
func TestAlternatingFailuresExtendTheExclusion(t *testing.T) {
	h := newHost(t, settings(), fleet(1, 1, 1, 1)...)
	met := []int{0, 0}
	for i := range 800 {
		id := JobID(i + 1)
		h.job(id, 0)
		for n := 0; h.answered[id] == "" && len(h.sentFor[id]) > n; n++ {
			if h.sentFor[id][n] == 2 && met[i/400]%2 == 0 { // every other job
				met[i/400]++
				h.end(id, Errored)
			} else {
				if h.sentFor[id][n] == 2 {
					met[i/400]++
				}
				h.end(id, OK)
			}
		}
		h.run(h.now + 10*ms)
	}
	if met[1] > 75 {
		t.Errorf("a worker that fails half of its jobs got %d and then %d of 400 jobs, want at most 75", met[0], met[1])
	}
}

// TestAbandonedJobIsAnsweredAtOnce checks that the answer is not held back to delay a retry of the client.
func TestAbandonedJobIsAnsweredAtOnce(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	for class, want := range map[int]string{0: "refused", 3: "refused", 4: "failed"} {
		h := newHost(t, s, fleet(1)...)
		h.job(1, class)
		h.end(1, Full)
		if h.answered[1] != want {
			t.Errorf("class %d: answered %q in the call that abandoned it, want %q", class, h.answered[1], want)
		}
	}
}

// TestShortTimeoutIsNotTakenForResubmission checks that a job with less time than its target is sent, not taken for
// late.
func TestShortTimeoutIsNotTakenForResubmission(t *testing.T) {
	s := settings()
	s.Classes[0].LateValue = 0
	for _, marks := range []bool{false, true} {
		s.MarksRetry = marks
		h := newHost(t, s, fleet(1, 1)...)
		h.serve(1, 4)
		h.d.Job(h.now, Job{ID: 50, Left: 150 * ms, Slots: 1})
		if len(h.sentFor[50]) != 1 {
			t.Errorf("marks retries %v: a job with little time was not sent", marks)
		}
	}
}

// TestFalseReportsAreHandled plays frozen and invalid reports, and outcomes of workers that were removed from the list.
func TestFalseReportsAreHandled(t *testing.T) {
	s := settings()
	s.FreeSlots = 0
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, rep := range [][]float32{{4, 0}, {nan, 0}, {2, nan}, {inf, 0}, {2, inf}, {-3, 2}, {0, 0}, {}, {1}} {
		h := newHost(t, s, fleet(1, 1)...)
		for i := range 60 {
			id := JobID(i + 1)
			h.job(id, 0)
			if i == 30 {
				h.d.List(h.now, ListFull, nil)
			}
			if n := len(h.sentFor[id]); n > 0 {
				h.final(id, "served")
				h.d.Outcome(h.now, Outcome{Job: id, Attempt: n - 1, Status: OK, Closed: true, Report: rep})
			}
			h.run(h.now + 30*ms)
		}
		h.run(h.now + 6*time.Second)
		for id := JobID(1); id <= 30; id++ {
			if h.answered[id] == "" {
				t.Fatalf("report %v: job %d has no answer", rep, id)
			}
		}
		h.d.List(h.now, ListFull, fleet(1, 1))
		if h.sends = nil; len(h.serve(200, 1)) != 1 {
			t.Errorf("report %v: no more jobs are sent", rep)
		}
	}
}

// TestLossyZoneGetsFewerJobs checks that a zone to which attempts are lost gets fewer jobs for a while, without blame
// on its workers, and its full share again when the network recovers.
func TestLossyZoneGetsFewerJobs(t *testing.T) {
	s := settings()
	s.CanProbe = false
	h := newHost(t, s, largeFleet(40)...)
	play := func(from, n int, lost bool) (far int) {
		for i := range n {
			id := JobID(from + i)
			h.job(id, 4)
			if w := h.sentFor[id][0]; w%2 == 0 { // zone 1
				far++
				if lost {
					h.end(id, TimedOut)
					continue
				}
			}
			h.end(id, OK)
			h.run(h.now + 10*ms)
		}
		return far
	}
	before, during := play(1, 400, false), play(1000, 400, true)
	play(2000, 4000, false)
	after := play(10000, 400, false)
	if before < 150 || during > before/2 || during < 10 || after < 150 {
		t.Errorf("jobs of 400 to the other zone: %d before, %d while all is lost, %d after", before, during, after)
	}
}

// TestWorkerThatLostJobsGetsNoUnsafeJobs checks that a worker that answers probes but loses jobs gets no unsafe ones
// while others have room, but keyed ones all along, and unsafe ones again as its losses decay.
func TestWorkerThatLostJobsGetsNoUnsafeJobs(t *testing.T) {
	s := settings()
	s.FreeSlots = -1
	h := newHost(t, s, fleet(1, 1)...)
	met := func(from JobID, class int) (n int) {
		for id := from; id < from+20; id++ {
			h.job(id, class)
			if h.sentFor[id][0] == 1 {
				n++
			}
			h.end(id, OK)
		}
		return n
	}
	for h.job(1, 1); h.sentFor[1][0] != 1; h.job(1, 1) {
		h.end(1, OK)
		delete(h.answered, 1)
		delete(h.sentFor, 1)
	}
	h.end(1, Reset)
	h.end(1, OK) // at the other one
	h.run(h.now + 500*ms)
	h.d.Probed(h.now, 1, OK, nil)
	h.run(h.now + 500*ms)
	if n := met(100, 4); n > 0 {
		t.Errorf("%d of 20 unsafe jobs went to a worker that had just lost one", n)
	}
	if n := met(200, 1); n < 5 {
		t.Errorf("%d of 20 keyed jobs went there", n)
	}
	h.run(h.now + 40*time.Second)
	if n := met(300, 4); n < 5 {
		t.Errorf("%d of 20 unsafe jobs went there after 40 s", n)
	}
}

// TestUnresponsiveWorkerHoldsFewJobs checks that a worker that takes a job and does not start it comes after all
// others, until it starts.
func TestUnresponsiveWorkerHoldsFewJobs(t *testing.T) {
	s := settings()
	s.FreeSlots, s.CanCancel = -1, false
	h := newHost(t, s, fleet(1, 1)...)
	unstarted, unstartedJob := 0, JobID(0)
	for id := JobID(1); id <= 40; id++ {
		h.job(id, 4)
		h.run(h.now + 20*ms)
		if h.sentFor[id][0] == 1 {
			unstarted, unstartedJob = unstarted+1, id
			continue
		}
		h.d.Started(h.now, id, 0)
		h.end(id, OK)
	}
	if unstarted != 1 {
		t.Errorf("%d of 40 jobs went to a worker that starts none, want 1", unstarted)
	}
	h.d.Started(h.now, unstartedJob, 0)
	h.end(unstartedJob, OK)
	h.serve(100, 20)
	if !slices.Contains(h.sends, 1) {
		t.Error("the worker gets no job although it has started the one that it had")
	}
}

// TestNewConnectionIsNotTakenForQueue checks that the start of an attempt is due later on a new connection than on a
// kept one, and not at all before the attempt is written.
func TestNewConnectionIsNotTakenForQueue(t *testing.T) {
	s := settings()
	s.FreeSlots, s.ReportsWritten = -1, true
	for _, c := range []struct{ written, fresh, waits bool }{{false, false, false}, {true, true, false}, {true, false, true}} {
		h := newHost(t, s, fleet(1, 1)...)
		h.job(1, 0) // safe: it is withdrawn if it waits
		if c.written {
			h.d.Written(h.now, 1, 0, c.fresh)
		}
		h.run(h.now + 50*ms) // three times startTimeout
		if waits := slices.Contains(h.actions, "cancel 1 0"); waits != c.waits {
			t.Errorf("written %v, fresh %v: waits %v", c.written, c.fresh, waits)
		}
		h.run(h.now + 50*ms)
		if waits := slices.Contains(h.actions, "cancel 1 0"); waits != c.written {
			t.Errorf("written %v, fresh %v: waits %v in the end", c.written, c.fresh, waits)
		}
	}
}

// TestKeyedJobReturnsToTheOnlyWorkerOfItsCell: in a cell of one worker, a job that may have run can go nowhere else.
func TestKeyedJobReturnsToTheOnlyWorkerOfItsCell(t *testing.T) {
	h := newHost(t, settings(), Worker{ID: 1, Weight: 1}, Worker{ID: 2, Weight: 1, Cell: 1})
	h.job(1, 3)
	h.end(1, Reset)
	h.run(h.now + 100*ms)
	h.d.Probed(h.now, h.sentFor[1][0], OK, nil)
	h.run(h.now + time.Second)
	if len(h.sentFor[1]) < 2 || h.sentFor[1][1] != h.sentFor[1][0] {
		t.Errorf("sent to %v", h.sentFor[1])
	}
}

// TestTargetGrowsWithTheHint checks that the target grows by the work itself, not by the time that slow workers take
// for it.
func TestTargetGrowsWithTheHint(t *testing.T) {
	s := settings()
	s.FreeSlots, s.Classes[0].LateValue = -1, 0
	h := newHost(t, s, fleet(1, 1)...)
	job := func(id JobID) { h.d.Job(h.now, Job{ID: id, Left: 5 * time.Second, Slots: 1, Hint: time.Second}) }
	for id := JobID(1); id <= 20; id++ {
		job(id)
		h.d.Started(h.now, id, 0)
		h.run(h.now + 2*time.Second)
		h.end(id, OK)
	}
	h.d.List(h.now, ListFull, nil)
	from := h.now
	for job(100); h.answered[100] == ""; {
		h.run(h.now + 10*ms)
	}
	// 0.2 s and twice the second of work, less the 1.2 s that a fast worker would take
	if took := h.now - from; took < 900*ms || took > 1100*ms {
		t.Errorf("given up after %v", took)
	}
}

// TestSparseTrafficWithdrawsKeyedJobs: one of many dispatchers detects a queue only by a job of its own that waits
// there. It withdraws a keyed job and sends it to another worker of its cell, except on the last attempt. One of a few
// dispatchers does not, and an unsafe job is never withdrawn.
func TestSparseTrafficWithdrawsKeyedJobs(t *testing.T) {
	for _, c := range []struct {
		dispatchers, class int
		want               []string
	}{{80, 3, []string{"cancel 1 0", "cancel 1 1"}}, {2, 3, nil}, {80, 4, nil}} {
		s := settings()
		s.FreeSlots, s.Dispatchers, s.MaxAttempts = -1, c.dispatchers, 3
		h := newHost(t, s, []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}}...)
		h.job(1, c.class)
		for range s.MaxAttempts {
			h.run(h.now + 50*ms) // its start is due after 17 ms
			if n := len(h.sentFor[1]); len(h.actions) > 0 && h.actions[len(h.actions)-1] == fmt.Sprintf("cancel 1 %d", n-1) {
				h.end(1, Cancelled)
			}
		}
		got := slices.DeleteFunc(slices.Clone(h.actions), func(a string) bool { return !strings.HasPrefix(a, "cancel") })
		if !slices.Equal(got, c.want) {
			t.Errorf("%d dispatchers, class %d: %q, want %q", c.dispatchers, c.class, got, c.want)
		}
	}
}

// TestSparseTrafficRemembersQueues: one of many dispatchers that met a queue sends elsewhere for a while, to the next
// worker in order or to another zone, until a job starts there at once. One of a few dispatchers relies on its own job
// count.
func TestSparseTrafficRemembersQueues(t *testing.T) {
	for _, c := range []struct{ dispatchers, soon, later int }{{80, 0, 8}, {2, 8, 8}} {
		s := settings()
		s.FreeSlots, s.Dispatchers, s.CrossZoneFee = -1, c.dispatchers, 0.02
		h := newHost(t, s, Worker{ID: 1, Weight: 1}, Worker{ID: 2, Weight: 1, Zone: 1})
		h.job(1, 4)
		h.run(h.now + 50*ms) // its start is due after 17 ms
		h.end(1, OK)
		met := func(from JobID) (n int) {
			for id := from; id < from+8; id++ {
				h.job(id, 4)
				h.d.Started(h.now, id, 0)
				if h.end(id, OK); h.sentFor[id][0] == 1 {
					n++
				}
			}
			return n
		}
		soon := met(10)
		h.run(h.now + 5*time.Second)
		if later := met(20); soon != c.soon || later != c.later {
			t.Errorf("%d dispatchers: %d of 8 went to the own zone's worker after a queue there, %d after 5 s; want %d and %d", c.dispatchers, soon, later, c.soon, c.later)
		}
	}
}

// TestSparseTrafficFavoursFastWorkers checks that turns are proportional to the square of the size with more than six
// dispatchers, and to the size with fewer.
func TestSparseTrafficFavoursFastWorkers(t *testing.T) {
	for dispatchers, want := range map[int]int{6: 40, 7: 48} {
		s := settings()
		s.Dispatchers = dispatchers
		n := 0
		for _, w := range newHost(t, s, fleet(1, 2)...).serve(1, 60) {
			n += int(w) - 1
		}
		if n < want-2 || n > want+2 {
			t.Errorf("%d dispatchers: %d of 60 turns for a worker twice as large, want %d", dispatchers, n, want)
		}
	}
}

// TestIdleWorkerGetsRejectedJobs checks that, with a learnt k of one job, jobs that were rejected twice still go to a
// worker without jobs of this dispatcher. Otherwise they wait until their deadlines and block the queue.
func TestIdleWorkerGetsRejectedJobs(t *testing.T) {
	s := settings()
	s.FreeSlots = -1
	h := newHost(t, s, fleet(1, 1)...)
	served := 0
	for id := JobID(1); id <= 30; id++ {
		h.job(id, 0)
	}
	for until := h.now + 4*time.Second; h.now < until; h.run(h.now + 50*ms) { // the same worker again only after the mean running time
		for id := JobID(1); id <= 30; id++ {
			switch n := len(h.sentFor[id]); {
			case h.answered[id] != "" || h.ended[id] == n:
			case n > 2:
				h.end(id, OK)
				served++
			default:
				h.end(id, Full)
			}
		}
	}
	if served != 30 {
		t.Errorf("%d of 30 jobs served by idle workers", served)
	}
}
