package balance_test

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	. "liftgauge/balance"
)

// TestRetriesFollowClassAndStatus plays every status of a first attempt against every kind of class.
func TestRetriesFollowClassAndStatus(t *testing.T) {
	// Workers by zone and cell. The first attempt goes to worker 1.
	fleet := []Worker{
		{ID: 1, Zone: 0, Cell: 0, Weight: 1}, {ID: 2, Zone: 0, Cell: 0, Weight: 1}, {ID: 3, Zone: 0, Cell: 1, Weight: 1},
		{ID: 4, Zone: 1, Cell: 2, Weight: 1}, {ID: 5, Zone: 1, Cell: 2, Weight: 1},
	}
	classes := []struct {
		name  string
		class int
		group []WorkerID // where a job that may have run may be sent again
	}{
		{"safe", 0, []WorkerID{1, 2, 3, 4, 5}},
		{"keyed, all", 1, []WorkerID{1, 2, 3, 4, 5}},
		{"keyed, zone", 2, []WorkerID{1, 2, 3}},
		{"keyed, cell", 3, []WorkerID{1, 2}},
		{"unsafe", 4, nil},
	}
	for _, c := range classes {
		for _, s := range []Status{Errored, Full, TimedOut, ConnectFailed, Reset, Cancelled, NotSent} {
			for _, copies := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/copies %v", c.name, s, copies), func(t *testing.T) {
					set := settings()
					set.SecondCopies, set.CanProbe = copies, false
					h := newHost(t, set, fleet...)
					h.job(1, c.class)
					if len(h.sentFor[1]) != 1 || h.sentFor[1][0] != 1 {
						t.Fatalf("first attempt at %v", h.sentFor[1])
					}
					h.end(1, s)
					for range 40 { // all further attempts are rejected by the worker
						h.run(h.now + 100*ms)
						if h.answered[1] != "" {
							break
						}
						if n := len(h.sentFor[1]); n > 1 {
							h.end(1, Full)
						}
					}
					h.run(h.now + 5*time.Second)
					allowed := c.group
					if s.NotRun() {
						allowed = []WorkerID{1, 2, 3, 4, 5}
					}
					for _, w := range h.sentFor[1][1:] {
						if !slices.Contains(allowed, w) {
							t.Errorf("sent again to worker %d; allowed %v", w, allowed)
						}
					}
					if len(allowed) > 0 && len(h.sentFor[1]) < 2 {
						t.Error("never sent again")
					}
					if len(h.sentFor[1]) > set.MaxAttempts {
						t.Errorf("%d attempts", len(h.sentFor[1]))
					}
					switch how := h.answered[1]; {
					case how == "":
						t.Error("no final answer")
					case how == "refused" && !s.NotRun() && c.class > 1:
						t.Error("refused though it may have run")
					}
				})
			}
		}
	}
}

func TestKeyedRepeatStaysInsideItsWindow(t *testing.T) {
	h := newHost(t, settings(), fleet(1, 1, 1)...)
	h.job(1, 1)
	h.run(h.now + 2*time.Second) // the window of the class
	h.end(1, Errored)
	h.run(h.now + 4*time.Second)
	if len(h.sentFor[1]) != 1 || h.answered[1] == "" || h.answered[1] == "refused" {
		t.Errorf("sent to %v, answered %q; want one attempt and a failure", h.sentFor[1], h.answered[1])
	}
}

func TestEveryJobIsAnsweredInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		left  time.Duration
		ws    []Worker
		class int
	}{
		{"no worker at all", 5 * time.Second, nil, 0},
		{"no answer from the worker", 5 * time.Second, fleet(1), 4},
		{"almost no time left", ms, nil, 0},
		{"a class outside the settings", 3 * time.Second, nil, 99},
		{"a negative class", 3 * time.Second, fleet(1), -1},
	} {
		h := newHost(t, settings(), c.ws...)
		from := h.now
		h.d.Job(h.now, Job{ID: 1, Class: c.class, Tenant: 77, Left: c.left, Slots: 1})
		for h.answered[1] == "" && h.now < from+c.left {
			h.run(h.now + ms)
		}
		if h.answered[1] == "" || h.now > from+c.left {
			t.Errorf("%s: answered %q after %v", c.name, h.answered[1], h.now-from)
		}
	}
}

func TestNoActionAfterTheFinalAnswer(t *testing.T) {
	h := newHost(t, settings(), fleet(1, 1)...)
	h.job(1, 0)
	h.answered[1] = "left"
	h.d.Disconnected(h.now, 1)
	h.end(1, Errored) // host fails the test if anything is sent or answered now
	h.d.Disconnected(h.now, 1)
	h.d.Started(h.now, 1, 0)
	h.d.Progress(h.now, 1, 0, 0.5)
	h.run(h.now + 10*time.Second)
	if !slices.Contains(h.actions, "cancel 1 0") {
		t.Error("the attempt of a disconnected client was not withdrawn")
	}
}

func TestNoJobsToDrainingOrRemovedWorkers(t *testing.T) {
	for _, change := range []struct {
		name string
		kind ListKind
		list []Worker
	}{
		{"draining", ListChanges, []Worker{{ID: 1, State: Draining, Weight: 1}}},
		{"removed", ListChanges, []Worker{{ID: 1, State: Removed, Weight: 1}}},
		{"missing from a full list", ListFull, []Worker{{ID: 2, Weight: 1}}},
	} {
		h := newHost(t, settings(), fleet(1, 1)...)
		h.serve(1, 4)
		h.d.List(h.now, change.kind, change.list)
		for _, w := range h.serve(10, 20) {
			if w == 1 {
				t.Errorf("%s: job sent to worker 1", change.name)
			}
		}
		// Ready again.
		h.d.List(h.now, ListChanges, []Worker{{ID: 1, Weight: 1}})
		if !slices.Contains(h.serve(40, 20), 1) {
			t.Errorf("%s: worker 1 gets no jobs after its return", change.name)
		}
	}
}

func TestColdWorkerGetsItsShareOfTheRampOnly(t *testing.T) {
	s := settings()
	s.Classes[0].RuntimeFactor = 10 // so that slowness alone excludes no worker
	for _, age := range []time.Duration{0, 2 * time.Second, 5 * time.Second} {
		ws := fleet(1, 1, 1, 1)
		h := newHost(t, s, ws...)
		ws[3].Up = h.now - age
		h.d.List(h.now, ListFull, ws)
		h.run(h.now)
		const n = 400
		got := 0
		for _, w := range h.serve(1, n) {
			if w == 4 {
				got++
			}
		}
		warmth := s.StartCapacity + (1-s.StartCapacity)*age.Seconds()/s.WarmWithin.Seconds()
		if most := n/4*warmth*s.OverloadFactor/2 + 10; float64(got) > most || got == 0 {
			t.Errorf("age %v: cold worker got %d of %d jobs, at most %.0f fit the ramp", age, got, n, most)
		}
	}
}

func TestColdWorkersAreNotFloodedWhenAllAreCold(t *testing.T) {
	s := settings()
	s.Classes[0].RuntimeFactor = 10 // so that slowness alone excludes no worker
	h := newHost(t, s, fleet(1, 1, 1, 1)...)
	var cold []Worker
	for i := range 4 {
		cold = append(cold, Worker{ID: WorkerID(11 + i), Weight: 1, Up: h.now})
	}
	h.d.List(h.now, ListFull, cold)
	for i := range 200 {
		h.job(JobID(i+1), 0)
		if len(h.sentFor[JobID(i+1)]) > 0 {
			h.end(JobID(i+1), OK)
		}
	}
	if len(h.sends) < 5 {
		t.Errorf("only %d of 200 jobs sent to a fleet that is all cold", len(h.sends))
	}
	if most := 200*s.StartCapacity*s.OverloadFactor/2 + 10; float64(len(h.sends)) > most {
		t.Errorf("%d jobs sent to a fleet that is all cold, at most %.0f fit the ramp", len(h.sends), most)
	}
}

func TestDownWorkerIsExcludedUntilAProbeSucceeds(t *testing.T) {
	h := newHost(t, settings(), fleet(1, 1)...)
	h.job(1, 0)
	first := h.sentFor[1][0]
	h.end(1, ConnectFailed)
	if len(h.sentFor[1]) != 2 || h.sentFor[1][1] == first {
		t.Fatalf("after a failed connection the job went to %v", h.sentFor[1])
	}
	h.end(1, OK)
	for _, w := range h.serve(10, 10) {
		if w == first {
			t.Fatal("a worker that could not be reached got a job")
		}
	}
	h.run(h.now + time.Second)
	if !slices.Contains(h.probes, first) {
		t.Fatal("no probe")
	}
	h.d.Probed(h.now, first, ConnectFailed, nil)
	if slices.Contains(h.serve(30, 10), first) {
		t.Fatal("a failed probe ended the exclusion")
	}
	h.d.Probed(h.now, first, OK, nil)
	if !slices.Contains(h.serve(50, 10), first) {
		t.Fatal("a successful probe did not end the exclusion")
	}
}

func TestInstantErrorsExcludeWorkersButNeverTooMany(t *testing.T) {
	s := settings()
	h := newHost(t, s, fleet(1, 1, 1, 1)...)
	play := func(from, n int, bad ...WorkerID) (wrong int) {
		for i := range n {
			id := JobID(from + i)
			h.job(id, 0)
			for done := 0; h.answered[id] == "" && len(h.sentFor[id]) > done; done++ {
				if slices.Contains(bad, h.sentFor[id][len(h.sentFor[id])-1]) {
					wrong++
					h.end(id, Errored)
				} else {
					h.end(id, OK)
				}
			}
			h.run(h.now + 5*ms)
		}
		return wrong
	}
	if n := play(1, 40, 2); n > 8 {
		t.Errorf("%d of 40 jobs were sent to a worker that fails at once, want at most 8", n)
	}
	h.run(h.now + 10*time.Second)
	h.sends = nil
	play(100, 40)
	if !slices.Contains(h.sends, 2) {
		t.Error("a recovered worker got no job")
	}
	// All fail: some must still be tried.
	h.sends = nil
	play(200, 40, 1, 2, 3, 4)
	if len(h.sends) < 10 {
		t.Errorf("only %d attempts of 40 jobs when all fail", len(h.sends))
	}
}

func TestQueuedJobIsSentWhenRoomAppears(t *testing.T) {
	h := newHost(t, settings(), fleet(1)...)
	for id := range JobID(4) {
		h.job(1+id, 0)
	}
	if len(h.sentFor[4]) != 0 {
		t.Fatal("a job was sent past k")
	}
	h.end(1, OK)
	if len(h.sentFor[4]) != 1 {
		t.Error("room was not used")
	}
}

func TestHopelessJobIsRefusedEarly(t *testing.T) {
	s := settings()
	s.Classes[0].LateValue = 0
	h := newHost(t, s)
	from := h.now
	h.job(1, 0)
	for h.answered[1] == "" {
		h.run(h.now + ms)
	}
	if h.answered[1] != "refused" || h.now-from > 600*ms {
		t.Errorf("%s after %v", h.answered[1], h.now-from)
	}
}

func TestWaitingJobIsWithdrawn(t *testing.T) {
	h := newHost(t, settings(), fleet(1, 1)...)
	h.d.Probed(h.now, 1, OK, []float32{2})
	h.d.Probed(h.now, 2, OK, []float32{2})
	h.job(1, 0)
	h.run(h.now + 50*ms)
	if !slices.Contains(h.actions, "cancel 1 0") {
		t.Fatalf("a job that does not start while another worker has room is not withdrawn: %v", h.actions)
	}
	h.end(1, Cancelled)
	if len(h.sentFor[1]) != 2 || h.sentFor[1][0] == h.sentFor[1][1] {
		t.Errorf("sent to %v", h.sentFor[1])
	}
}

func TestWorkerWithoutReportedFreeSlotsGetsNoJobs(t *testing.T) {
	h := newHost(t, settings(), fleet(1, 1)...)
	h.d.Probed(h.now, 1, OK, []float32{4})
	for _, free := range []float32{0, 0.1, 0, 0.1, 0, 0.1, 0, 0.1} { // also of four slots: they are of one kind
		h.d.Probed(h.now, 2, OK, []float32{free})
	}
	for id := range JobID(3) {
		h.job(1+id, 0)
	}
	for _, w := range h.sends {
		if w != 1 {
			t.Errorf("sent to worker %d, which reports no free slot", w)
		}
	}
}

func TestFailedListRequestIsRepeated(t *testing.T) {
	s := settings()
	s.ListOnRequest = true
	h := newHost(t, s, fleet(1)...)
	h.run(h.now + s.Tick + 20*ms) // a single dispatcher does not delay its call
	if h.watches != 1 {
		t.Fatalf("%d calls at start", h.watches)
	}
	for i := range 5 {
		h.d.List(h.now, ListFailed, nil)
		h.run(h.now + 5*time.Second)
		if h.watches != 2+i {
			t.Fatalf("%d calls after %d failures", h.watches, i+1)
		}
	}
	if got := h.serve(1, 1); len(got) != 1 {
		t.Error("the present list is not used after a failure")
	}
}

func TestUnexpectedEventsAreHandled(t *testing.T) {
	h := newHost(t, Settings{}) // no settings: safe defaults
	h.d.Outcome(h.now, Outcome{Job: 9, Attempt: 3, Status: OK})
	h.d.Probed(h.now, 5, OK, []float32{1, 2, 3})
	h.d.Started(h.now, 9, 1)
	h.d.Progress(h.now, 9, 1, 0.5)
	h.d.Accepted(h.now, 9, 0)
	h.d.Timer(h.now, 12345)
	h.job(1, 0)
	h.run(h.now + 6*time.Second)
	if h.answered[1] == "" {
		t.Error("no answer without any settings")
	}
	h.d.List(h.now, ListFull, []Worker{{ID: 3, Kind: 900, Zone: 90, Weight: -4}, {ID: 3, Weight: 0}})
	h.job(2, 0)
	h.d.Outcome(h.now, Outcome{Job: 2, Attempt: -1, Status: OK})
	h.d.Outcome(h.now, Outcome{Job: 2, Attempt: 200, Status: 99})
	h.run(h.now + 6*time.Second)
	if h.answered[2] == "" {
		t.Error("no answer")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() []string {
		h := newHost(t, settings(), fleet(3, 1, 2, 5, 1, 1)...)
		for i := range 60 {
			h.job(JobID(i+1), i%5)
			h.run(h.now + 7*ms)
			if i%3 == 0 && len(h.sentFor[JobID(i/2+1)]) == 1 && h.answered[JobID(i/2+1)] == "" {
				h.end(JobID(i/2+1), Status(i%7+1))
			}
		}
		h.run(h.now + 6*time.Second)
		return h.actions
	}
	if a, b := play(), play(); !slices.Equal(a, b) {
		t.Error("two runs on the same events differ")
	}
}

// TestNoLargeJobToColdWorker checks that a job that alone is half of what the overload rule allows a worker of k slots
// does not go to a cold one, however late it is, while a smaller one does.
func TestNoLargeJobToColdWorker(t *testing.T) {
	for hint, want := range map[time.Duration]bool{time.Second: true, 20 * time.Second: false} { // a hinted second takes 0.2 s at first
		s := settings() // 0.2 of its capacity, three times that for 2 s, two slots: 1.2 s of work
		s.FreeSlots = -1
		sent := false
		for id := JobID(1); id <= 40; id++ {
			h := newHost(t, s, Worker{ID: 1, Weight: 1, Up: 1000 * time.Second})
			for range id {
				h.d.Job(h.now, Job{ID: id, Left: 60 * time.Second, Slots: 1, Hint: hint})
			}
			h.run(h.now + 300*ms)
			sent = sent || len(h.sentFor[id]) > 0
		}
		if sent != want {
			t.Errorf("a job of %v: sent %v, want %v", hint, sent, want)
		}
	}
}

// TestExtremeDispatcherNumbersAreHandled checks that no number of dispatchers, and no number of this one, breaks a time
// or a turn, and that failed calls are repeated.
func TestExtremeDispatcherNumbersAreHandled(t *testing.T) {
	for _, n := range []int{math.MinInt, -1, 0, 1, 1 << 40, math.MaxInt} {
		for _, number := range []int{math.MinInt, -1, 0, 5, math.MaxInt} {
			s := settings()
			s.FreeSlots, s.Dispatchers, s.Number, s.ListOnRequest, s.AskWithin = -1, n, number, true, 10*time.Second
			h := newHost(t, s, fleet(1, 1, 1)...)
			h.run(h.now + 10*time.Second)
			h.d.List(h.now, ListFailed, nil)
			requested := h.watches
			h.run(h.now + 21*time.Second) // twice AskWithin at most
			h.job(1, 0)
			h.end(1, ConnectFailed)
			h.end(1, OK)
			if requested < 1 || h.watches <= requested || h.answered[1] != "served" {
				t.Errorf("number %d of %d: list requested %d times, then %d, answer %q", number, n, requested, h.watches, h.answered[1])
			}
		}
	}
}

// TestNoSecondAttemptWhereTheFirstMayStillRun checks that a job goes to other workers only, for any time, if its
// withdrawal may not have reached the worker; after a confirmed withdrawal the worker may get it again.
func TestNoSecondAttemptWhereTheFirstMayStillRun(t *testing.T) {
	for status, again := range map[Status]int{TimedOut: 1, Cancelled: 2} {
		s := settings()
		s.FreeSlots = -1
		h := newHost(t, s, fleet(1)...)
		h.job(1, 0)
		h.run(h.now + 10*ms)
		h.end(1, status)
		if h.run(h.now + 4*time.Second); len(h.sentFor[1]) != again {
			t.Errorf("status %d: %d attempts at the only worker, want %d", status, len(h.sentFor[1]), again)
		}
	}
}

// TestFailedListRequestIsRepeatedWithinASecond checks this for any number of dispatchers: a change must take effect
// within 6 s of the time at which discovery could be reached.
func TestFailedListRequestIsRepeatedWithinASecond(t *testing.T) {
	for _, n := range []int{1, 20, 300} {
		s := settings()
		s.FreeSlots, s.Dispatchers, s.ListOnRequest, s.AskWithin = -1, n, true, 10*time.Second
		h := newHost(t, s, fleet(1, 1)...)
		if h.run(h.now + 2*time.Second); h.watches != 1 {
			t.Errorf("%d dispatchers: list requested %d times in the first 2 s", n, h.watches)
		}
		for range 20 {
			before := h.watches
			h.d.List(h.now, ListFailed, nil)
			if h.run(h.now + time.Second); h.watches != before+1 {
				t.Errorf("%d dispatchers: list requested %d times within a second of a failure", n, h.watches-before)
			}
		}
	}
}

// TestNoJobsBeforeTheList checks that a process that has just started, whose list may be old, sends nothing before
// discovery has reported its list, or for 8.5 s if discovery does not answer, and that each job still gets its answer.
func TestNoJobsBeforeTheList(t *testing.T) {
	s := settings()
	s.FreeSlots, s.ListOnRequest, s.WaitForList = -1, true, true
	start := func() *host {
		h := newHost(t, s, fleet(1, 1)...)
		h.job(1, 0)
		h.d.Job(h.now, Job{ID: 2, Class: 4, Left: 300 * ms, Slots: 1})
		h.run(h.now + 2*time.Second)
		h.d.List(h.now, ListFailed, nil)
		if len(h.sends) > 0 || h.d.HasList() || h.answered[1] != "" || h.answered[2] != "failed" {
			t.Errorf("before the list: sent to %v, has list %v, answers %v", h.sends, h.d.HasList(), h.answered)
		}
		return h
	}
	h := start()
	h.d.List(h.now, ListChanges, []Worker{{ID: 1, Weight: 1, State: Draining}})
	h.d.ListComplete(h.now)
	if !reflect.DeepEqual(h.sends, []WorkerID{2}) || !h.d.HasList() {
		t.Errorf("after the list: sent to %v, has list %v", h.sends, h.d.HasList())
	}
	h = start()
	h.run(1008 * time.Second)
	h.job(3, 0)
	if len(h.sends) > 0 {
		t.Errorf("sent to %v before 8.5 s", h.sends)
	}
	if h.run(1008*time.Second + 501*ms); len(h.sends) != 1 || !h.d.HasList() {
		t.Errorf("after 8.5 s: sent to %v, has list %v", h.sends, h.d.HasList())
	}
	s.ListInherited = true // it has the list of the process that it replaces
	if h = newHost(t, s, fleet(1, 1)...); !h.d.HasList() {
		t.Error("a process with an inherited list waits for a new one")
	}
}

// TestProbeRateIsSharedByDispatchers checks that a dispatcher probes an excluded worker after 0.1 s for each dispatcher
// there is, also while probes keep failing, and not every quarter of a second regardless of their number.
func TestProbeRateIsSharedByDispatchers(t *testing.T) {
	for n, most := range map[int]int{1: 60, 80: 6} { // in 30 s
		s := settings()
		s.FreeSlots, s.Dispatchers = -1, n
		h := newHost(t, s, fleet(1, 1)...)
		h.job(1, 0)
		h.end(1, ConnectFailed)
		for till := h.now + 30*time.Second; h.now < till; {
			before := len(h.probes)
			if h.run(h.now + 50*ms); len(h.probes) > before {
				h.d.Probed(h.now, h.probes[before], ConnectFailed, nil)
			}
		}
		if got := len(h.probes); got > most || got < 2 {
			t.Errorf("%d dispatchers: %d probes in 30 s", n, got)
		}
	}
}
