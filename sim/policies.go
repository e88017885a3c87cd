package sim

import (
	"math/rand/v2"
	"time"

	"liftgauge/balance"
)

// Plain returns a textbook policy to compare with: a job goes at once to the box that choose names among those that are
// ready and that this policy may use, and waits for nothing. It is tried once; what is turned away is refused.
//
// own counts the policy's own jobs that are out at each of the ready boxes.
func Plain(choose func(rng *rand.Rand, turn int, ready []balance.Worker, own func(balance.WorkerID) int) balance.WorkerID) func(balance.Settings, uint64, balance.Actions) Policy {
	return func(s balance.Settings, seed uint64, do balance.Actions) Policy {
		return &plain{do: do, choose: choose, rng: rand.New(rand.NewPCG(seed, 1)), own: map[balance.WorkerID]int{}}
	}
}

// Random sends each job to any box.
func Random(rng *rand.Rand, _ int, ready []balance.Worker, _ func(balance.WorkerID) int) balance.WorkerID {
	return ready[rng.IntN(len(ready))].ID
}

// RoundRobin sends to one box after another.
func RoundRobin(_ *rand.Rand, turn int, ready []balance.Worker, _ func(balance.WorkerID) int) balance.WorkerID {
	return ready[turn%len(ready)].ID
}

// LeastOutstanding sends to the box with the fewest own jobs out, the first among equals from a turn on.
func LeastOutstanding(_ *rand.Rand, turn int, ready []balance.Worker, own func(balance.WorkerID) int) balance.WorkerID {
	best := ready[turn%len(ready)].ID
	for i := range ready {
		if id := ready[(turn+i)%len(ready)].ID; own(id) < own(best) {
			best = id
		}
	}
	return best
}

// TwoChoices sends to the one of two random boxes with fewer own jobs out.
func TwoChoices(rng *rand.Rand, _ int, ready []balance.Worker, own func(balance.WorkerID) int) balance.WorkerID {
	a, b := ready[rng.IntN(len(ready))].ID, ready[rng.IntN(len(ready))].ID
	if own(b) < own(a) {
		return b
	}
	return a
}

type plain struct {
	do      balance.Actions
	choose  func(*rand.Rand, int, []balance.Worker, func(balance.WorkerID) int) balance.WorkerID
	rng     *rand.Rand
	turn    int
	workers []balance.Worker
	ready   []balance.Worker
	own     map[balance.WorkerID]int
}

func (p *plain) Start(time.Duration) { p.do.Watch() }

func (p *plain) List(_ time.Duration, form balance.ListKind, entries []balance.Worker) {
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

func (p *plain) Job(_ time.Duration, j balance.Job) {
	if len(p.ready) == 0 {
		p.do.Refuse(j.ID, 0)
		return
	}
	id := p.choose(p.rng, p.turn, p.ready, func(id balance.WorkerID) int { return p.own[id] })
	p.turn++
	p.own[id]++
	p.do.Send(j.ID, id, 0)
}

func (p *plain) Outcome(_ time.Duration, o balance.Outcome) {
	p.own[o.Worker]--
	switch {
	case o.Closed:
	case o.Status.NotRun():
		p.do.Refuse(o.Job, 0)
	default:
		p.do.Fail(o.Job)
	}
}

func (p *plain) Written(time.Duration, balance.JobID, int, bool)                   {}
func (p *plain) Started(time.Duration, balance.JobID, int)                         {}
func (p *plain) Probed(time.Duration, balance.WorkerID, balance.Status, []float32) {}
func (p *plain) Timer(time.Duration, uint64)                                       {}
func (p *plain) Left(time.Duration, balance.JobID)                                 {}
