package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "liftgauge/balance"
)

// largeFleet returns a fleet of n workers of one kind in two zones.
func largeFleet(n int) []Worker {
	var ws []Worker
	for i := range n {
		ws = append(ws, Worker{ID: WorkerID(i + 1), Weight: 1, Zone: i % 2, Cell: i % 8})
	}
	return ws
}

// countingHost is a host that only counts sends.
type countingHost struct{ sends map[WorkerID]int }

func (q countingHost) Send(_ JobID, w WorkerID, _ time.Duration) { q.sends[w]++ }
func (countingHost) Refuse(JobID, time.Duration)                 {}
func (countingHost) Fail(JobID)                                  {}
func (countingHost) Cancel(JobID, int)                           {}
func (countingHost) Probe(WorkerID)                              {}
func (countingHost) Watch()                                      {}
func (countingHost) Log(string)                                  {}
func (countingHost) Timer(time.Duration, uint64)                 {}

// TestColdWorkerAmongHundredsOfDispatchers checks that all dispatchers together, each with few jobs, use the ramp of a
// cold worker and do not exceed it.
func TestColdWorkerAmongHundredsOfDispatchers(t *testing.T) {
	for _, fee := range []float64{0, 0.02} {
		s := settings()
		s.Dispatchers, s.CrossZoneFee = 400, fee
		s.Classes[0].RuntimeFactor = 20 // so that slowness alone excludes no worker
		now := 1000 * time.Second
		ws := largeFleet(200)
		ws[77].Up = now // has just started
		q := countingHost{sends: map[WorkerID]int{}}
		const jobs = 50
		for n := range s.Dispatchers {
			s.Number, s.Zone = n, n%2
			d := New(s, uint64(n)*0x9e3779b97f4a7c15, q)
			d.Start(now)
			d.List(now, ListCached, ws)
			for i := range jobs {
				id := JobID(n*jobs + i)
				d.Job(now, Job{ID: id, Left: 5 * time.Second, Slots: 1})
				d.Outcome(now, Outcome{Job: id, Status: OK, Closed: true})
			}
		}
		share := float64(jobs*s.Dispatchers) / float64(len(ws))
		got, most := float64(q.sends[78]), 0.7*s.OverloadFactor*s.StartCapacity*share
		if got > most || got < 0.3*s.StartCapacity*share {
			t.Errorf("fee %v: %.0f jobs to the cold worker; a warm one has %.0f, %.0f fit the ramp", fee, got, share, most)
		}
	}
}

// TestTurnsOfHundredsOfDispatchersAreEven checks that the offset alone spreads the first jobs of all dispatchers.
func TestTurnsOfHundredsOfDispatchersAreEven(t *testing.T) {
	s := settings()
	s.Dispatchers = 400
	q := countingHost{sends: map[WorkerID]int{}}
	for n := range s.Dispatchers {
		s.Number = n
		d := New(s, uint64(n), q)
		d.List(0, ListCached, largeFleet(100))
		d.Job(0, Job{ID: 1, Left: time.Second, Slots: 1})
	}
	for w, n := range q.sends {
		if n != 4 {
			t.Errorf("worker %d got %d first jobs of 400 dispatchers, want 4", w, n)
		}
	}
}

// TestJobPathDoesNotAllocate checks that a job and its outcome allocate nothing, with a small and with a large fleet.
func TestJobPathDoesNotAllocate(t *testing.T) {
	for _, n := range []int{10, 300} {
		play := jobPath(n)
		for range 4 * n {
			play()
		}
		if a := testing.AllocsPerRun(1000, play); a > 0 {
			t.Errorf("%d workers: %.1f allocations for a job", n, a)
		}
	}
}

// jobPath returns a function that plays one job and its outcome with a fleet of n workers.
func jobPath(n int) func() {
	s := settings()
	s.Dispatchers, s.CrossZoneFee = 400, 0.02
	d := New(s, 7, countingHost{sends: map[WorkerID]int{}})
	now := 1000 * time.Second
	d.Start(now)
	d.List(now, ListCached, largeFleet(n))
	id := JobID(0)
	report := []float32{2}
	return func() {
		id++
		now += 10 * ms
		d.Job(now, Job{ID: id, Left: 5 * time.Second, Slots: 1})
		now += 10 * ms
		report[0] = float32(id % 4)
		d.Outcome(now, Outcome{Job: id, Status: OK, Closed: true, Report: report})
	}
}

func BenchmarkJob(b *testing.B) {
	for _, n := range []int{10, 300} {
		b.Run(fmt.Sprint(n, " workers"), func(b *testing.B) {
			play := jobPath(n)
			b.ReportAllocs()
			for b.Loop() {
				play()
			}
		})
	}
}

// TestEarlyTimerIsNotLost checks that a timer may fire slightly early, as the clock of a host may be coarse.
func TestEarlyTimerIsNotLost(t *testing.T) {
	h := newHost(t, settings())
	h.job(1, 4)
	for range 10000 {
		if h.answered[1] != "" || len(h.timers) == 0 {
			break
		}
		next := h.timers[0]
		for i, x := range h.timers {
			if x.at < next.at {
				next, h.timers[0], h.timers[i] = x, x, h.timers[0]
			}
		}
		h.timers = h.timers[1:]
		h.now = max(h.now, next.at-90)
		h.d.Timer(h.now, next.token)
	}
	if h.answered[1] == "" {
		t.Error("the job was never answered")
	}
}

func TestLastAttemptsAreNotWithdrawn(t *testing.T) {
	for _, most := range []int{1, 2} {
		lastAttemptsAreNotWithdrawn(t, most)
	}
}

func lastAttemptsAreNotWithdrawn(t *testing.T, most int) {
	s := settings()
	s.MaxAttempts = most
	h := newHost(t, s, fleet(1, 1)...)
	h.d.Probed(h.now, 1, OK, []float32{2})
	h.d.Probed(h.now, 2, OK, []float32{2})
	h.job(1, 0)
	h.run(h.now + 300*ms)
	for _, a := range h.actions {
		if a == "cancel 1 0" {
			t.Error("the last attempt was withdrawn: the job can only be refused then")
		}
	}
}

// TestRoughWeightsAreCorrectedByMeasuredSpeed checks that the turns follow the speed, which rough weights leave out.
func TestRoughWeightsAreCorrectedByMeasuredSpeed(t *testing.T) {
	s := settings()
	s.RoughWeights = true
	s.Classes[0].TargetLatency = 2 * time.Second
	ws := largeFleet(10)
	for i := range ws {
		ws[i].Kind = i % 2
	}
	h := newHost(t, s, ws...)
	sent := [2]int{}
	for id := JobID(1); id <= 400; id++ {
		h.job(id, 0)
		kind := int(h.sentFor[id][0]-1) % 2
		h.now += time.Duration(1+3*kind) * 100 * ms // kind 1 is four times slower
		h.end(id, OK)
		if id > 100 {
			sent[kind]++
		}
	}
	if ratio := float64(sent[0]) / float64(sent[1]); ratio < 2.5 || ratio > 6 {
		t.Errorf("jobs by kind %v, want about four to one", sent)
	}
}

// TestRepeatedZeroReportCounts checks that the report of a full worker, which stays 0 for long, is not taken for an old
// one.
func TestRepeatedZeroReportCounts(t *testing.T) {
	s := settings()
	s.ReportsStart = false // where starts are reported, waiting jobs are detected and a trial costs little
	h := newHost(t, s, fleet(1, 1)...)
	h.d.Probed(h.now, 1, OK, []float32{4})
	h.d.Probed(h.now, 2, OK, []float32{4})
	for range 20 {
		h.now += time.Second
		h.d.Probed(h.now, 2, OK, []float32{0})
	}
	h.now += 300 * ms
	h.job(1, 0)
	h.job(2, 0)
	for _, w := range h.sends {
		if w == 2 {
			t.Error("sent to a worker that has reported no free slot for 20 s")
		}
	}
}

func TestInvalidSettingsAndListsAreHandled(t *testing.T) {
	for _, n := range []int{-1, 0, 1, 100_000} {
		for _, number := range []int{-5, 0, 99_999_999} {
			s := settings()
			s.Dispatchers, s.Number = n, number
			h := newHost(t, s, largeFleet(5000)...)
			nan := math.NaN()
			h.d.List(h.now, ListChanges, []Worker{{ID: 1, Weight: nan}, {ID: 2, Weight: -1}, {ID: 3, Weight: math.Inf(1)},
				{ID: 4}, {ID: 5, Zone: -7, Kind: -9, State: 77}})
			h.d.Probed(h.now, 2, OK, []float32{float32(nan)})
			h.d.Probed(h.now, 2, OK, []float32{float32(math.Inf(1)), 1, 2, 3})
			h.d.Probed(h.now, 2, OK, nil)
			for id := range JobID(20) {
				h.job(id+1, int(id)%5)
			}
			h.d.List(h.now, ListFull, nil)
			h.run(h.now + 6*time.Second)
			for id := range JobID(20) {
				if h.answered[id+1] == "" {
					t.Errorf("%d dispatchers, number %d: job %d has no answer", n, number, id+1)
				}
			}
		}
	}
}

// TestWorthlessWaitingJobIsWithdrawn checks that a job that waits until its answer is worthless does not delay others.
func TestWorthlessWaitingJobIsWithdrawn(t *testing.T) {
	s := settings()
	s.Classes[0].LateValue = 0
	h := newHost(t, s, fleet(1)...)
	h.job(1, 0)
	h.run(h.now + 700*ms)
	if h.answered[1] != "refused" || h.actions[len(h.actions)-1] != "cancel 1 0" {
		t.Errorf("%v, want a refusal and the attempt withdrawn", h.actions)
	}
}
