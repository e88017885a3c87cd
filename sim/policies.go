package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"liftgauge/balance"
)

// SimplePolicy returns a textbook policy for comparison: a job is sent at once to the ready box that choose returns and is never
// queued. There is one attempt for each job; if a box turns it away, the job is refused.
//
// outstanding returns the number of this policy's own unfinished jobs at a box.
func SimplePolicy(choose func(rng *rand.Rand, turn int, ready []balance.Worker, outstanding func(balance.WorkerID) int) balance.WorkerID) func(balance.Settings, uint64, balance.Actions) Policy {
	return func(s balance.Settings, seed uint64, actions balance.Actions) Policy {
		first := 0 // without an offset all dispatchers would send to the same boxes in step
		if s.Dispatchers > 0 {
			first = s.Number << 20 / s.Dispatchers
		}
		return &simplePolicy{actions: actions, choose: choose, rng: rand.New(rand.NewPCG(seed, 1)), outstanding: map[balance.WorkerID]int{}, turn: first}
	}
}

// Random sends each job to a random box.
func Random(rng *rand.Rand, _ int, ready []balance.Worker, _ func(balance.WorkerID) int) balance.WorkerID {
	return ready[rng.IntN(len(ready))].ID
}

// RoundRobin sends to the boxes in turn.
func RoundRobin(_ *rand.Rand, turn int, ready []balance.Worker, _ func(balance.WorkerID) int) balance.WorkerID {
	return ready[turn%len(ready)].ID
}

// LeastOutstanding sends to the box with the fewest outstanding jobs of this dispatcher. Ties go to the first box from the turn on.
func LeastOutstanding(_ *rand.Rand, turn int, ready []balance.Worker, outstanding func(balance.WorkerID) int) balance.WorkerID {
	best := ready[turn%len(ready)].ID
	for i := range ready {
		if id := ready[(turn+i)%len(ready)].ID; outstanding(id) < outstanding(best) {
			best = id
		}
	}
	return best
}

// TwoChoices sends to the one of two random boxes that has fewer outstanding jobs of this dispatcher.
func TwoChoices(rng *rand.Rand, _ int, ready []balance.Worker, outstanding func(balance.WorkerID) int) balance.WorkerID {
	a, b := ready[rng.IntN(len(ready))].ID, ready[rng.IntN(len(ready))].ID
	if outstanding(b) < outstanding(a) {
		return b
	}
	return a
}

// PolicyNames are the names that PolicyByName accepts.
var PolicyNames = []string{"module", "members", "random", "rounds", "two-choices", "late-truth"}

// PolicyByName returns the policy with a name, or nil if there is none.
func PolicyByName(name string) func(balance.Settings, uint64, balance.Actions) Policy {
	switch name {
	case "module", "members": // with "members" the caller also sets World.MembershipDelay
		return Module
	case "random":
		return SimplePolicy(Random)
	case "rounds":
		return SimplePolicy(RoundRobin)
	case "two-choices":
		return SimplePolicy(TwoChoices)
	case "late-truth":
		return DelayedOracle
	}
	return nil
}

// DelayedOracle is a reference policy that no real dispatcher can implement: it sees how many jobs every box holds, half a
// second late, and adds the jobs that it sent itself since then. Each job goes to the least loaded of a few boxes drawn at
// random: if all boxes were compared, hundreds of dispatchers would choose the same one until the samples show it. It does
// not see failures.
func DelayedOracle(_ balance.Settings, seed uint64, actions balance.Actions) Policy {
	d := actions.(*dispatcher)
	d.r.sampleLoads()
	p := &delayedOracle{d: d, sent: make([][]time.Duration, len(d.r.boxes))}
	p.simplePolicy = simplePolicy{actions: actions, rng: rand.New(rand.NewPCG(seed, 1)), outstanding: map[balance.WorkerID]int{}, choose: p.leastLoaded}
	return p
}

const (
	sampleInterval = 100 * time.Millisecond
	sampleDelay    = 5 // samples
	boxChoices     = 5 // boxes compared for each job
)

// sampleLoads samples the loads of all boxes from now on.
func (r *run) sampleLoads() {
	if r.loads != nil {
		return
	}
	r.loads = [][]float64{}
	var next func()
	next = func() {
		loads := make([]float64, len(r.boxes))
		for i, b := range r.boxes {
			loads[i] = float64(len(b.running) + len(b.waiting))
		}
		if r.loads = append(r.loads, loads); len(r.loads) > sampleDelay {
			r.loads = r.loads[1:]
		}
		r.after(sampleInterval, next)
	}
	next()
}

type delayedOracle struct {
	simplePolicy
	d    *dispatcher
	sent [][]time.Duration // by box: send times of jobs that the samples may not show yet
}

func (p *delayedOracle) leastLoaded(rng *rand.Rand, _ int, ready []balance.Worker, _ func(balance.WorkerID) int) balance.WorkerID {
	var best balance.WorkerID
	least := math.Inf(1)
	for range boxChoices {
		w := &ready[rng.IntN(len(ready))]
		n := w.ID - 1
		for len(p.sent[n]) > 0 && p.sent[n][0] < p.d.r.now-sampleDelay*sampleInterval {
			p.sent[n] = p.sent[n][1:]
		}
		held := p.d.r.loads[0][n] + float64(len(p.sent[n]))
		b := p.d.r.boxes[n]
		if cost := max(held+1, float64(b.kind.Cores)) / (b.Speed * b.warmUpFactor(p.d.r.now)); cost < least {
			best, least = w.ID, cost
		}
	}
	p.sent[best-1] = append(p.sent[best-1], p.d.r.now)
	return best
}

type simplePolicy struct {
	actions     balance.Actions
	choose      func(*rand.Rand, int, []balance.Worker, func(balance.WorkerID) int) balance.WorkerID
	rng         *rand.Rand
	turn        int
	workers     []balance.Worker
	ready       []balance.Worker
	outstanding map[balance.WorkerID]int
}

func (p *simplePolicy) Start(time.Duration) { p.actions.Watch() }

func (p *simplePolicy) List(_ time.Duration, form balance.ListKind, entries []balance.Worker) {
	if form == balance.ListFull || form == balance.ListCached {
		p.workers = append(p.workers[:0:0], entries...)
	} else {
		for _, e := range entries {
			found := false
			for i := range p.workers {
				if found = p.workers[i].ID == e.ID; found {
					p.workers[i] = e
					break
				}
			}
			if !found {
				p.workers = append(p.workers, e)
			}
		}
	}
	p.ready = p.ready[:0]
	for _, w := range p.workers {
		if w.State == balance.Ready {
			p.ready = append(p.ready, w)
		}
	}
}

func (p *simplePolicy) Job(_ time.Duration, j balance.Job) {
	if len(p.ready) == 0 {
		p.actions.Refuse(j.ID, 0)
		return
	}
	id := p.choose(p.rng, p.turn, p.ready, func(id balance.WorkerID) int { return p.outstanding[id] })
	p.turn++
	p.outstanding[id]++
	p.actions.Send(j.ID, id, 0)
}

func (p *simplePolicy) Outcome(_ time.Duration, o balance.Outcome) {
	p.outstanding[o.Worker]--
	switch {
	case o.Closed:
	case o.Status.NotRun():
		p.actions.Refuse(o.Job, 0)
	default:
		p.actions.Fail(o.Job)
	}
}

func (p *simplePolicy) Written(time.Duration, balance.JobID, int, bool)                   {}
func (p *simplePolicy) Started(time.Duration, balance.JobID, int)                         {}
func (p *simplePolicy) Progress(time.Duration, balance.JobID, int, float64)               {}
func (p *simplePolicy) Probed(time.Duration, balance.WorkerID, balance.Status, []float32) {}
func (p *simplePolicy) Timer(time.Duration, uint64)                                       {}
func (p *simplePolicy) Disconnected(time.Duration, balance.JobID)                         {}
