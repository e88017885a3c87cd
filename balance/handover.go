package balance

import (
	"slices"
	"time"
)

// What a Dispatcher hands to the one of a process that takes its place, and takes from the one before. Nothing is decided here: the
// decisions go on where they were. Times are ages, as no two processes have one clock.

// AttemptRecord is an attempt of a job that changes hands.
type AttemptRecord struct {
	Worker  Worker        // as it was when the job changed hands
	Sent    time.Duration // ago
	Began   time.Duration // ago, where Started
	Wrote   time.Duration // ago; less than 0: still ahead, 0: not written
	Out     bool
	Started bool
	Clean   bool // known never to have run
	Tells   bool
	Stuck   bool // its worker may have it yet
}

// Release lets go of an open job, as if it had never come, and returns its attempts. False: it is closed or unknown, or one of its
// attempts is being withdrawn, whose end is this dispatcher's to hear.
func (d *Dispatcher) Release(now time.Duration, id JobID) (tries []AttemptRecord, ok bool) {
	r := d.jobs[id]
	if r == nil || r.done || slices.ContainsFunc(r.tries, func(a attempt) bool { return a.out && a.called }) {
		return nil, false
	}
	for i := range r.tries {
		a := &r.tries[i]
		t := AttemptRecord{Worker: a.w.Worker, Sent: now - a.sent, Out: a.out, Started: a.started, Clean: a.clean, Tells: a.tells, Stuck: a.stuck}
		if a.started {
			t.Began = now - a.began
		}
		if a.wrote != 0 {
			t.Wrote = now - a.wrote
		}
		if a.out {
			a.wait(false)
			a.out = false
			r.out--
			d.move(now, a, -r.need)
		}
		tries = append(tries, t)
	}
	d.unhold(r)
	r.done = true
	d.forget(r)
	return tries, true
}

// Adopt takes over a job that came some time ago to another dispatcher, with the attempts that it has made. Job.Left is what was left
// as it came there. A worker that the list does not name any more is kept for the attempt alone.
func (d *Dispatcher) Adopt(now time.Duration, j Job, ago time.Duration, tries []AttemptRecord) {
	r := d.newRequest(now-ago, j)
	for _, t := range tries {
		w := d.workers[t.Worker.ID]
		if w == nil || t.Out && w.Up != t.Worker.Up { // nothing known of the process that is listed holds for that one
			w = &worker{Worker: t.Worker, kind: d.kindOf(t.Worker.Kind), slow: 1, turn: -1, replaced: true}
			w.State = Removed
		}
		a := attempt{w: w, sent: now - t.Sent, out: t.Out, started: t.Started, clean: t.Clean, tells: t.Tells, stuck: t.Stuck}
		if t.Started {
			a.began = now - t.Began
		}
		if t.Wrote != 0 {
			a.wrote = now - t.Wrote
		}
		if r.tries = append(r.tries, a); t.Out {
			r.out++
			d.move(now, &a, r.need)
		}
	}
	d.value(r)
	r.late = now >= d.turnsLate(r)
	if r.out == 0 {
		d.hold(r)
		d.drain(now)
	}
	d.wake(now, r)
}

// move counts an attempt's slots in or out as if it had been this dispatcher's from the send on, or never: reports of load know of it
// by now as far as take lets them know of what was sent so long ago.
func (d *Dispatcher) move(now time.Duration, a *attempt, n float64) {
	d.take(now, a.w, n)
	dt := (now - a.sent).Seconds()
	a.w.lag = max(0, a.w.lag+n*dt/(dt+0.5))
}

// Learned is what a dispatcher has learnt of jobs and workers: nothing in it is a fact, and whoever takes it over corrects it as it
// did.
type Learned struct {
	Mean    float64
	Classes []LearnedClass
	Kinds   []LearnedKind
	Workers []LearnedWorker
}

// LearnedClass is what is known of the jobs of a class.
type LearnedClass struct {
	Unit  float64 // seconds that they run, for each second of hint where hints come
	Jobs  int     // learnt from
	First time.Duration
}

// LearnedKind is what is known of the workers of a kind.
type LearnedKind struct {
	Kind                     int
	Slots, Usual, Room, Slow float64
	Reports, Jobs            int
}

// LearnedWorker is what is known of one process of a worker.
type LearnedWorker struct {
	ID       WorkerID
	Up       time.Duration // of that process
	Slow     float64
	SlowAt   time.Duration // ago
	Others   float64
	SeenAt   time.Duration // ago
	Errors   float64
	ErrorsAt time.Duration // ago
}

// Learned returns what this dispatcher has learnt.
func (d *Dispatcher) Learned(now time.Duration) *Learned {
	l := &Learned{Mean: d.mean}
	for i, n := range d.served {
		l.Classes = append(l.Classes, LearnedClass{Unit: d.unit[i], Jobs: n, First: d.first[i]})
	}
	for n, k := range d.kinds {
		l.Kinds = append(l.Kinds, LearnedKind{Kind: n, Slots: k.slots, Usual: k.usual, Room: k.room, Slow: k.slow, Reports: k.seen, Jobs: k.served})
	}
	slices.SortFunc(l.Kinds, func(a, b LearnedKind) int { return a.Kind - b.Kind })
	for _, w := range d.known {
		l.Workers = append(l.Workers, LearnedWorker{ID: w.ID, Up: w.Up, Slow: w.slow, SlowAt: now - w.slowAt, Others: w.others,
			SeenAt: now - w.seenAt, Errors: w.errs.share, ErrorsAt: now - w.errs.at})
	}
	return l
}

// Learn starts from what another dispatcher has learnt of the same settings; it comes after the first list and before any job. What
// does not fit the settings, or cannot have been learnt, is left aside.
func (d *Dispatcher) Learn(now time.Duration, l *Learned) {
	good := func(xs ...float64) bool { // shares and ratios of times: no more than the settings' own span of numbers
		return !slices.ContainsFunc(xs, func(x float64) bool { return !(x >= 0 && x < 1e6) })
	}
	if len(l.Classes) != len(d.served) || !good(l.Mean) {
		return
	}
	if l.Mean > 0 {
		d.mean = l.Mean
	}
	for i, c := range l.Classes {
		if good(c.Unit) && c.Unit > 0 && c.Jobs > 0 {
			d.unit[i], d.served[i], d.first[i] = c.Unit, c.Jobs, max(0, c.First)
		}
	}
	for _, k := range l.Kinds {
		if !good(k.Slots, k.Usual, k.Room, k.Slow) || k.Slow == 0 || k.Room == 0 || k.Jobs < 0 || k.Reports < 0 {
			continue
		}
		to := d.kindOf(k.Kind)
		to.slots, to.usual, to.room, to.slow, to.seen, to.served = k.Slots, k.Usual, k.Room, k.Slow, k.Reports, k.Jobs
		if d.s.RoughWeights {
			to.built = k.Slow
		}
	}
	for _, e := range l.Workers {
		w := d.workers[e.ID]
		if w == nil || w.Up != e.Up || !good(e.Slow, e.Others, e.Errors, e.SlowAt.Seconds(), e.SeenAt.Seconds(), e.ErrorsAt.Seconds()) || e.Slow == 0 {
			continue
		}
		w.slow, w.slowAt = e.Slow, now-e.SlowAt
		w.others, w.seenAt = e.Others, now-e.SeenAt
		w.errs = way{share: min(e.Errors, 1), at: now - e.ErrorsAt}
	}
	d.lists++ // turns go by what the kinds show
}

// SetDispatchers says which of how many dispatchers this one is from now on, and how many of them are in its zone, where that is known otherwise than
// by the settings. The walk goes on elsewhere in the period: for as long as a period a cold worker has no second turn within a round.
func (d *Dispatcher) SetDispatchers(now time.Duration, number, dispatchers, inZone int) {
	d.s.Dispatchers = min(max(dispatchers, 1), 1<<16)
	d.s.Number = max(number, 0) % d.s.Dispatchers
	share := d.s.Dispatchers
	if d.s.CrossZoneFee > 0 {
		share = inZone
	}
	d.crowd(share)
	d.calm = d.count + turns*len(d.sorted)
	d.lists++ // sizes may count to another power
}
