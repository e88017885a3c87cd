package balance

import (
	"slices"
	"testing"
	"time"
)

// sendRecorder is a host that records sends, for workers that pull or run some classes only.
type sendRecorder struct {
	sends []WorkerID
	jobs  []JobID
	now   time.Duration
}

func (p *sendRecorder) Send(j JobID, w WorkerID, _ time.Duration) {
	p.sends, p.jobs = append(p.sends, w), append(p.jobs, j)
}
func (p *sendRecorder) Refuse(JobID, time.Duration) {}
func (p *sendRecorder) Fail(JobID)                  {}
func (p *sendRecorder) Cancel(JobID, int)           {}
func (p *sendRecorder) Probe(WorkerID)              {}
func (p *sendRecorder) Watch()                      {}
func (p *sendRecorder) Log(string)                  {}
func (p *sendRecorder) Timer(time.Duration, uint64) {}

func pullSettings() Settings {
	class := Class{TargetLatency: 200 * time.Millisecond, Value: 1, LateValue: 0.5, Limit: 5 * time.Second, Kind: -1}
	other := class
	other.Lane = 1
	return Settings{Classes: []Class{class, other}, Dispatchers: 1, Tick: 2 * time.Millisecond, ReportsStart: true, MaxAttempts: 4,
		ConnectTimeout: 250 * time.Millisecond, FreeSlots: -1, FreeMemory: -1, StartCapacity: 0.3, WarmWithin: 8 * time.Second,
		OverloadFactor: 2.5, OverloadTime: 2 * time.Second}
}

// TestLanesDoNotBlockEachOther checks that jobs that no worker runs do not block those of another lane, and that no job
// goes to a worker that does not run its class.
func TestLanesDoNotBlockEachOther(t *testing.T) {
	p := &sendRecorder{now: time.Hour}
	d := New(pullSettings(), 1, p)
	d.Start(p.now)
	d.List(p.now, ListFull, []Worker{{ID: 1, Weight: 1, Slots: 1, Pulls: true, Runs: []bool{false, true}}, {ID: 2, Weight: 1, Runs: []bool{false, false}}})
	for id := range 40 { // far more than are tried
		d.Job(p.now, Job{ID: JobID(id + 1), Class: 0, Left: 5 * time.Second})
	}
	for id := range 3 {
		d.Job(p.now, Job{ID: JobID(id + 100), Class: 1, Left: 5 * time.Second})
	}
	for n := range 3 {
		if len(p.sends) != n+1 || p.sends[n] != 1 {
			t.Fatalf("sends %v, want %d to worker 1", p.sends, n+1)
		}
		d.Outcome(p.now, Outcome{Job: p.jobs[n], Worker: 1, Status: OK, Took: time.Millisecond})
	}
	if len(p.sends) != 3 {
		t.Errorf("sends %v, want 3", p.sends)
	}
}

// TestColdPullingWorkerGetsOneJobAtOnce checks that a pulling worker that has just joined gets a job immediately,
// although it is cold, and never more than one.
func TestColdPullingWorkerGetsOneJobAtOnce(t *testing.T) {
	p := &sendRecorder{now: time.Hour}
	d := New(pullSettings(), 1, p)
	d.Start(p.now)
	workers := []Worker{{ID: 1, Weight: 1, Slots: 1, Pulls: true, Up: p.now}}
	for id := range 3 {
		workers = append(workers, Worker{ID: WorkerID(id + 2), Weight: 1, Slots: 1, Pulls: true, Up: time.Minute})
	}
	d.List(p.now, ListFull, workers)
	for id := range 50 {
		d.Job(p.now, Job{ID: JobID(id + 1), Class: 0, Left: 5 * time.Second, Hint: 100 * time.Millisecond})
	}
	if slices.Sort(p.sends); !slices.Equal(p.sends, []WorkerID{1, 2, 3, 4}) {
		t.Errorf("sends %v, want one to each", p.sends)
	}
}
