package balance

import (
	"slices"
	"time"
)

// The state that a Dispatcher hands over to the one of the process that replaces it. Nothing is decided here: decisions continue where they
// were. Times are ages, as two processes have no common clock.

// AttemptRecord is an attempt of a job that is handed over.
type AttemptRecord struct {
	Worker  Worker        // as it was when the job was handed over
	Sent    time.Duration // ago
	Began   time.Duration // ago, where Started
	Wrote   time.Duration // ago; negative: in the future, 0: not written
	Out     bool
	Started bool
	Clean   bool // known never to have run
	Tells   bool
	Stuck   bool // its worker may still run it
}

// Release removes an open job, as if it had never arrived, and returns its attempts. It returns false if the job is closed or unknown, or
// if one of its attempts is being withdrawn: this dispatcher has to wait for the end of that one.
func (d *Dispatcher) Release(now time.Duration, id JobID) (attempts []AttemptRecord, ok bool) {
	r := d.jobs[id]
	if r == nil || r.answered || slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.active && a.cancelled }) {
		return nil, false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		t := AttemptRecord{Worker: a.w.Worker, Sent: now - a.sentAt, Out: a.active, Started: a.started, Clean: a.notRun, Tells: a.measurable, Stuck: a.mayStillRun}
		if a.started {
			t.Began = now - a.startedAt
		}
		if a.writtenAt != 0 {
			t.Wrote = now - a.writtenAt
		}
		if a.active {
			a.setOverdue(false)
			a.active = false
			r.active--
			d.shiftSlots(now, a, -r.slotsNeeded)
		}
		attempts = append(attempts, t)
	}
	d.dequeue(r)
	r.answered = true
	d.recycle(r)
	return attempts, true
}

// Adopt takes over a job that arrived at another dispatcher some time ago, with the attempts that it has made. Job.Left is the time that
// was left at its arrival there. A worker that is no longer listed is kept for the attempt alone.
func (d *Dispatcher) Adopt(now time.Duration, j Job, ago time.Duration, attempts []AttemptRecord) {
	r := d.newRequest(now-ago, j)
	for _, t := range attempts {
		w := d.workers[t.Worker.ID]
		if w == nil || t.Out && w.Up != t.Worker.Up { // the state of the listed process does not apply to that one
			w = &worker{Worker: t.Worker, kind: d.kindOf(t.Worker.Kind), slowdown: 1, lastColdTurn: -1, replaced: true}
			w.State = Removed
		}
		a := attempt{w: w, sentAt: now - t.Sent, active: t.Out, started: t.Started, notRun: t.Clean, measurable: t.Tells, mayStillRun: t.Stuck}
		if t.Started {
			a.startedAt = now - t.Began
		}
		if t.Wrote != 0 {
			a.writtenAt = now - t.Wrote
		}
		if r.attempts = append(r.attempts, a); t.Out {
			r.active++
			d.shiftSlots(now, &a, r.slotsNeeded)
		}
	}
	d.setTarget(r)
	r.late = now >= d.lateAt(r)
	if r.active == 0 {
		d.enqueue(r)
		d.placeQueued(now)
	}
	d.scheduleCheck(now, r)
}

// shiftSlots adds or removes the slots of an attempt as if it had been this dispatcher's since it was sent, or never: load reports include
// it by now as far as addSlots assumes for an attempt of that age.
func (d *Dispatcher) shiftSlots(now time.Duration, a *attempt, n float64) {
	d.addSlots(now, a.w, n)
	dt := (now - a.sentAt).Seconds()
	a.w.ownDelayed = max(0, a.w.ownDelayed+n*dt/(dt+0.5))
}

// Learned holds the estimates that a dispatcher has made of jobs and workers. A dispatcher that takes them over keeps correcting them.
type Learned struct {
	Mean    float64
	Classes []LearnedClass
	Kinds   []LearnedKind
	Workers []LearnedWorker
}

// LearnedClass holds the estimates for the jobs of a class.
type LearnedClass struct {
	Unit  float64 // running time in seconds, per second of hint where hints are given
	Jobs  int     // number of jobs in the estimate
	First time.Duration
}

// LearnedKind holds the estimates for the workers of a kind.
type LearnedKind struct {
	Kind                     int
	Slots, Usual, Room, Slow float64
	Reports, Jobs            int
}

// LearnedWorker holds the estimates for one process of a worker.
type LearnedWorker struct {
	ID       WorkerID
	Up       time.Duration // start of that process
	Slow     float64
	SlowAt   time.Duration // ago
	Others   float64
	SeenAt   time.Duration // ago
	Errors   float64
	ErrorsAt time.Duration // ago
}

// Learned returns the estimates of this dispatcher.
func (d *Dispatcher) Learned(now time.Duration) *Learned {
	l := &Learned{Mean: d.meanTime}
	for i, n := range d.learnedJobs {
		l.Classes = append(l.Classes, LearnedClass{Unit: d.unitTime[i], Jobs: n, First: d.longestLeft[i]})
	}
	for n, k := range d.kinds {
		l.Kinds = append(l.Kinds, LearnedKind{Kind: n, Slots: k.maxFree, Usual: k.meanOthers, Room: k.capacity, Slow: k.slowdown, Reports: k.reports, Jobs: k.jobs})
	}
	slices.SortFunc(l.Kinds, func(a, b LearnedKind) int { return a.Kind - b.Kind })
	for _, w := range d.all {
		l.Workers = append(l.Workers, LearnedWorker{ID: w.ID, Up: w.Up, Slow: w.slowdown, SlowAt: now - w.slowdownAt, Others: w.otherSlots,
			SeenAt: now - w.otherSlotsAt, Errors: w.losses.share, ErrorsAt: now - w.losses.at})
	}
	return l
}

// Learn takes over the estimates of another dispatcher with the same settings. It is called after the first list and before any job.
// Estimates that do not fit the settings, or are out of range, are ignored.
func (d *Dispatcher) Learn(now time.Duration, l *Learned) {
	valid := func(xs ...float64) bool { // shares and ratios of times, within the range of numbers that the settings allow
		return !slices.ContainsFunc(xs, func(x float64) bool { return !(x >= 0 && x < 1e6) })
	}
	if len(l.Classes) != len(d.learnedJobs) || !valid(l.Mean) {
		return
	}
	if l.Mean > 0 {
		d.meanTime = l.Mean
	}
	for i, c := range l.Classes {
		if valid(c.Unit) && c.Unit > 0 && c.Jobs > 0 {
			d.unitTime[i], d.learnedJobs[i], d.longestLeft[i] = c.Unit, c.Jobs, max(0, c.First)
		}
	}
	for _, k := range l.Kinds {
		if !valid(k.Slots, k.Usual, k.Room, k.Slow) || k.Slow == 0 || k.Room == 0 || k.Jobs < 0 || k.Reports < 0 {
			continue
		}
		to := d.kindOf(k.Kind)
		to.maxFree, to.meanOthers, to.capacity, to.slowdown, to.reports, to.jobs = k.Slots, k.Usual, k.Room, k.Slow, k.Reports, k.Jobs
		if d.cfg.RoughWeights {
			to.periodSlowdown = k.Slow
		}
	}
	for _, e := range l.Workers {
		w := d.workers[e.ID]
		if w == nil || w.Up != e.Up || !valid(e.Slow, e.Others, e.Errors, e.SlowAt.Seconds(), e.SeenAt.Seconds(), e.ErrorsAt.Seconds()) || e.Slow == 0 {
			continue
		}
		w.slowdown, w.slowdownAt = e.Slow, now-e.SlowAt
		w.otherSlots, w.otherSlotsAt = e.Others, now-e.SeenAt
		w.losses = rate{share: min(e.Errors, 1), at: now - e.ErrorsAt}
	}
	d.listVersion++ // turns depend on the slowdown of the kinds
}

// SetDispatchers sets the index of this dispatcher, how many dispatchers there are and how many of them are in its zone, where that is
// known other than by the settings. Turns continue elsewhere in the period: for one period a cold worker gets no second turn within a
// round.
func (d *Dispatcher) SetDispatchers(now time.Duration, number, dispatchers, inZone int) {
	d.cfg.Dispatchers = min(max(dispatchers, 1), 1<<16)
	d.cfg.Number = max(number, 0) % d.cfg.Dispatchers
	share := d.cfg.Dispatchers
	if d.cfg.CrossZoneFee > 0 {
		share = inZone
	}
	d.setShare(share)
	d.evenFrom = d.jobCount + turnsPerWorker*len(d.ready)
	d.listVersion++ // sizeExponent may have changed
}
