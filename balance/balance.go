package balance

// The decisions of a dispatcher. Its interface is api.go, what it goes by estimate.go, its memory state.go.
// The idea, after Boel and van Schuppen (report OS-R8820, sections 3 and 4): the own job count walks an even,
// speed-proportional period of workers; past the threshold a job leaves its scheduled worker for the next
// ready one in fixed order. All else is a departure on a condition; see docs/design.md.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	threshold = 2   // k of the report: own jobs at a worker that tells nothing of its slots
	turns     = 8   // turns in a period for each worker, on average; more only sharpens the proportions
	reach     = 32  // workers looked at past the scheduled one: no job costs a walk over a large fleet
	leaving   = 3   // times the difference in jobs that met queues is the share that leaves a zone,
	crossing  = 0.1 // but for what a crossing takes: some 60 ms of the 0.5 s that a queue costs on average

	memory = 4 * time.Second // so long jobs meet queues more often where one has met one

	// Of the 6 s after which a change counts as told a call that hangs takes 2.5, and the next 2 in turn.
	askAgain = time.Second
	unheard  = 8500 * time.Millisecond // then the old list has to do: a process is to be ready in 10 s
)

// Start begins the dispatcher's work on the list that it last had.
func (d *Dispatcher) Start(now time.Duration) {
	if d.s.ListOnRequest && d.s.ListInherited {
		d.ask(0) // it starts alone, and must not miss what the process before would have heard
	} else if d.s.ListOnRequest { // one service lists for all: those that start together spread their calls
		d.ask(min(2*askAgain, time.Duration(d.s.Dispatchers)*20*time.Millisecond))
	}
	if d.blind = d.s.WaitForList && !d.s.ListInherited; d.blind {
		d.do.Timer(unheard, heardToken)
	}
	d.ticks()
}

// ListComplete notes that discovery has reported its whole list, for which a new process waits.
func (d *Dispatcher) ListComplete(now time.Duration) {
	if d.blind {
		d.blind = false
		d.changed(now)
	}
}

// ask calls for the list at a seeded moment within a time.
func (d *Dispatcher) ask(within time.Duration) {
	d.do.Timer(time.Duration(d.rng.Float64()*float64(within)), watchToken)
}

// List takes the list of workers or changes to it.
func (d *Dispatcher) List(now time.Duration, form ListKind, entries []Worker) {
	if form == ListFailed { // the list held so far holds on
		d.ask(askAgain)
		return
	}
	for _, w := range d.known {
		if form != ListChanges {
			w.State = Removed // those still listed are set right below
		}
	}
	for _, e := range entries {
		e.Weight = number(e.Weight)
		w := d.workers[e.ID]
		if e.State == Removed {
			w.gone()
			continue
		}
		if w == nil || e.Up != w.Up { // new, or its process restarted: nothing known of it holds any more
			w = d.newWorker(e)
		}
		w.Worker, w.nominal = e, e.Weight
	}
	d.changed(now)
}

// SetOffline leaves a worker out at an operator's word, or lets it serve again. Neither the list nor what is
// learnt lifts that word. What is back was perhaps started anew, and the list may be late to tell: it counts
// as cold (from that start if it is listed), nothing known of it holds, and it gets the next job.
func (d *Dispatcher) SetOffline(now time.Duration, id WorkerID, out bool) {
	since := d.offline[id]
	if (since > 0) == out {
		return
	}
	d.offline[id] = now
	if w := d.workers[id]; !out {
		delete(d.offline, id)
		d.back = append(slices.DeleteFunc(d.back, func(b WorkerID) bool { return b == id }), id)
		if w != nil && w.State != Removed {
			e := w.Worker
			n := d.newWorker(e)
			if n.Worker, n.slow, n.slowAt = e, 1, 0; e.Up < since {
				n.lostAt = now
			}
		}
	}
	d.changed(now)
}

// returned is a worker that is back online and has got no job yet, if this one may go there. Its share of
// turns could leave it unused for long. For a second it waits for a job that it can end in time.
func (d *Dispatcher) returned(now time.Duration, r *request) *worker {
	for _, id := range d.back {
		if w := d.workers[id]; w != nil && d.usable(now, r, w, true) &&
			(now-w.lostAt > time.Second || now+d.runs(now, r, w) <= r.aim) {
			return w
		}
	}
	return nil
}

// allowed: the rules and the operators let work go there.
func (d *Dispatcher) allowed(w *worker) bool {
	return !d.blind && w.State == Ready && d.offline[w.ID] == 0
}

const nearPart, wholeFleet, otherZones = 0, 1, 2 // a job is offered to the own zone, to all, or all others

// period returns the ready workers of a class and their turns, in proportion to size and evenly spread.
func (d *Dispatcher) period(class, part int) *period {
	p := d.periodOf(class, part)
	if p.made == d.lists {
		return p
	}
	p.made, p.members = d.lists, p.members[:0]
	sum := 0.0
	for _, w := range d.sorted {
		if d.can(w, class) && (part == wholeFleet || (w.Zone == d.s.Zone) == (part == nearPart)) {
			p.members = append(p.members, w)
			sum += d.size(w)
		}
	}
	// Turn j of q falls at (j+1/2)/q of the period.
	n, share := 0, make([]int, len(p.members))
	for i, w := range p.members {
		share[i] = max(1, int(d.size(w)/max(sum, 1e-9)*float64(turns*len(p.members))+0.5))
		n += share[i]
	}
	wheel := make([][]int, n)
	for i, q := range share {
		for j := range q {
			place := (2*j + 1) * n / (2 * q)
			wheel[place] = append(wheel[place], i)
		}
	}
	p.turns = slices.Concat(wheel...)
	return p
}

// size is what a worker can do: its weight, which, if rough, may leave out the speed its kind shows. Thin
// traffic meets queues unseen, and those of slow workers last longer at equal load: they get fewer turns.
func (d *Dispatcher) size(w *worker) float64 { return math.Pow(w.nominal/w.kind.built, d.bias) }

// runs is the expected running time of a job.
func (d *Dispatcher) runs(now time.Duration, r *request, w *worker) time.Duration {
	return seconds(d.unit[r.class] * r.size * pace(now, w) / d.warmth(now, w))
}

// warmth is the share of its capacity that a worker surely has, by the slowest ramp that the settings allow.
func (d *Dispatcher) warmth(now time.Duration, w *worker) float64 {
	start := max(w.Up, w.lostAt) // what was away may have started anew since, whatever the list says
	age := now - start
	if start == 0 || age >= d.s.WarmWithin {
		return 1
	}
	return d.s.StartCapacity + (1-d.s.StartCapacity)*max(0, age.Seconds()/d.s.WarmWithin.Seconds())
}

// ramp: a cold worker gets a share of its scheduled turns, half of what the rule allows, and no overflow,
// drawn for each turn: nothing saved up meets there. In an overload, where turns come faster, fewer count.
func (d *Dispatcher) ramp(now time.Duration, r *request, w *worker, scheduled bool) bool {
	c := d.warmth(now, w)
	if c >= 1 || slices.Contains(d.back, w.ID) || w.Pulls {
		return true // one job at a time is never more than it can do
	}
	if d.unit[r.class]*r.size*w.kind.slow > c*d.s.OverloadFactor/2*threshold*d.s.OverloadTime.Seconds() {
		return false // alone it is half of what the rule allows a worker that runs k jobs
	}
	draw := d.draw(uint64(w.ID)<<32 ^ uint64(d.count))
	if w.own == 0 && d.placed < 0.5 && draw < 4/float64(d.s.Dispatchers) {
		return true // most jobs wait here
	}
	c *= d.s.OverloadFactor / 2 * max(0.3, d.placed) * (1 - d.turned)
	if d.s.CrossZoneFee > 0 && w.Zone == d.s.Zone { // few may be left of its zone, whose turns are not for it
		near, all := len(d.period(r.class, nearPart).members), len(d.period(r.class, wholeFleet).members)
		c *= min(1, float64(near*max(1, d.s.Zones))/float64(all))
	}
	return scheduled && w.turn != d.count && draw < c && (d.count >= d.calm || d.count-w.turn > len(d.sorted))
}

// spare estimates the free slots of a worker: what it takes, or lately reported, but for the own jobs there.
func (d *Dispatcher) spare(now time.Duration, w *worker) float64 {
	left := cmp.Or(w.Slots, w.kind.slots*d.warmth(now, w), w.kind.room) - w.own - d.others(now, w)
	return left * (1 + 4*w.Slots) // known slots are no guess: no surer sign is wanted
}

// others estimates the slots that other dispatchers' jobs take where workers report their free ones. What was
// seen is drawn back to what is usual for the kind as those jobs end.
func (d *Dispatcher) others(now time.Duration, w *worker) float64 {
	return w.kind.usual + (w.others-w.kind.usual)/(1+(now-w.seenAt).Seconds()/d.mean)
}

// saw corrects the guess of how many jobs a worker takes: one was turned away or waits (full), or began at
// once. So k is learnt per kind: it falls to what ran side by side and grows with each start.
func (d *Dispatcher) saw(w *worker, full bool) {
	if k := w.kind; k.slots > 0 {
		return // reports tell
	} else if full && d.s.ReportsStart {
		k.room += (min(k.room, max(1, w.own-1)) - k.room) * 0.1 // the job that waits does not run
	} else if w.own+1 > k.room {
		k.room = min(threshold+1, k.room+0.1)
	}
}

// usable: a worker that the list and this dispatcher's own experience allow for this attempt.
func (d *Dispatcher) usable(now time.Duration, r *request, w *worker, turn bool) bool {
	if a := r.trace(); a != nil && r.c.Effect == Keyed && r.c.DedupScope != DedupAll &&
		(w.Zone != a.w.Zone || r.c.DedupScope == DedupCell && w.Cell != a.w.Cell) {
		return false
	}
	if d.out(now, w) || !d.allowed(w) || !d.can(w, r.class) || !d.ramp(now, r, w, turn) {
		return false
	}
	for _, a := range r.tries {
		if a.w == w && (a.stuck || (now-a.sent).Seconds() < d.mean) {
			return false // it turned this job away just now, or lost it, or may have it still
		}
	}
	return true
}

// out: this dispatcher avoids the worker by its own experience.
func (d *Dispatcher) out(now time.Duration, w *worker) bool {
	drown := len(d.sick)*2 > len(d.sorted) // the rest would, if all that erred were out
	return w.down || now < w.outTill && (w.cut || !drown)
}

// route follows the period: the scheduled worker, or past k the next ready one in fixed order, wrapping;
// where crossings have a price the own zone's first, that of all past k there. Doubtful workers come last.
func (d *Dispatcher) route(now time.Duration, r *request) *worker {
	want := r.need
	if n := len(r.tries); n > 0 {
		// Surer signs each time: guesses must not use up the attempts. They fade as the k jobs that were met
		// end: what asks for more than a small k gives would wait for ever, and keep all behind it waiting.
		want += 0.5 * max(0, float64(n)-(now-r.tries[n-1].sent).Seconds()/(threshold*d.mean))
	}
	if d.s.ReportsStart {
		want -= 0.5 // a job that waits is seen and mended
	}
	far := reach
	if r.c.Effect == Keyed && r.trace() != nil {
		far, want = len(d.sorted), r.need-1 // few may repeat it: look at all, and let it wait
	}
	if w := d.returned(now, r); w != nil {
		return w
	}
	parts := [2]int{nearPart, wholeFleet}
	if d.s.CrossZoneFee == 0 || len(r.tries) > 1 {
		parts[0] = wholeFleet
	} else if d.leaves(now) {
		parts = [2]int{otherZones, nearPart}
	}
	most := 0.0
	if d.s.FreeSlots >= 0 { // k grows by the slot until a worker is under it: reports are late, but two
		most = 2 // slots more than a job takes are seldom gone since
	}
	for _, sure := range []bool{true, false} {
		for _, part := range parts {
			for more := most; more >= 0; more-- {
				if r.late && r.c.LateValue == 0 && more < most {
					break // it would earn nothing if it is late indeed: no last free slot for it
				}
				if w := d.walk(now, r, part, far, want, more, sure); w != nil {
					return w
				}
			}
		}
	}
	return nil
}

// leaves: the own zone is a station past its k. The more jobs met queues here than elsewhere, the more leave.
// The golden ratio spreads those over the job count evenly, whatever their share.
func (d *Dispatcher) leaves(now time.Duration) bool {
	_, at := math.Modf(float64(d.count) * math.Phi)
	return d.thin && at < min(0.9, leaving*(d.queues[0].lost(now)-d.queues[1].lost(now)-crossing))
}

// walk looks for room from the scheduled worker of a period on, where sure without those that are doubtful.
func (d *Dispatcher) walk(now time.Duration, r *request, part, far int, want, more float64,
	sure bool) *worker {
	p := d.period(r.class, part)
	n := len(p.turns)
	if n == 0 {
		return nil
	}
	count := d.count
	if part == otherZones {
		count %= turns // a few workers, for new connections take long; other dispatchers have others
	}
	at := p.turns[(count+d.s.Number*(n+turns)/d.s.Dispatchers)%n] // turns: out of step with the rounds
	for i := range min(far, len(p.members)) {
		w := p.members[(at+i)%len(p.members)]
		// More is lost on the way there than here: pass by, but for some trials; no worker is at fault.
		loss := d.ways[w.Zone&255].lost(now) - d.ways[d.s.Zone&255].lost(now)
		if d.draw(uint64(r.ID)<<8^uint64(w.Zone)) < min(0.9, 10*loss) || sure && w.doubtful(now, r) {
			continue
		}
		// A worker of the own zone has its turn in that zone's period alone, where there is one.
		turn := i == 0 && len(r.tries) == 0 &&
			(part == nearPart || d.s.CrossZoneFee == 0 || w.Zone != d.s.Zone)
		if d.usable(now, r, w, turn) && d.spare(now, w) >= want+more*min(w.kind.slots, 1) &&
			(d.thin || r.late || now+d.runs(now, r, w) <= r.aim) {
			return w
		}
	}
	return nil
}

// place sends the job if a worker has room. Past k everywhere it waits here, ordered by worth.
func (d *Dispatcher) place(now time.Duration, r *request) bool {
	var w *worker
	if r.out == 0 && !d.spent(now, r) {
		w = d.route(now, r)
	}
	if w == nil {
		return false
	}
	w.turn = d.count
	d.back = slices.DeleteFunc(d.back, func(b WorkerID) bool { return b == w.ID })
	// Where starts are untold it tells of running times only if it surely began at once.
	tells := d.s.ReportsStart || d.spare(now, w) >= r.need+1
	r.tries = append(r.tries, attempt{w: w, sent: now, out: true, tells: tells})
	if !d.s.ReportsWritten {
		r.tries[len(r.tries)-1].wrote = now
	}
	r.out++
	d.take(now, w, r.need)
	d.do.Send(r.ID, w.ID, 0)
	d.unhold(r)
	d.wake(now, r)
	return true
}

// value sets by when an answer is in time and what it is worth.
func (d *Dispatcher) value(r *request) {
	// A later try has less patience left than a first one; the aim counts from the first. One with less than
	// its aim comes rather from a client with little time: to err costs a slot, else a job's whole worth.
	d.first[r.class] = max(d.first[r.class], r.Left)
	work := d.unit[r.class] // the aim grows by the work itself, at speed 1: the hint, where there is one
	if r.Hint > 0 {
		work = r.size
	}
	aim := r.c.TargetLatency + seconds(r.c.RuntimeFactor*work)
	if r.aim = r.came + aim; r.Again || !d.s.MarksRetry && r.Left >= aim {
		r.aim -= d.first[r.class] - r.Left
	}
	r.aim = min(r.aim, r.end)
	r.worth = r.c.Value * cmp.Or(r.Weight, 1)
	if !d.s.ValuePerWork {
		r.worth /= d.unit[r.class]
	}
}

// Job takes a new job.
func (d *Dispatcher) Job(now time.Duration, j Job) {
	r := d.newRequest(now, j)
	d.value(r)
	if j.Left <= 3*d.s.Tick { // a last try with hardly any patience left must not wait for its timer
		d.look(now, r)
		d.forget(r)
		return
	}
	d.hold(r)
	d.drain(now)
	d.wake(now, r)
	d.count++
	if d.placed *= 0.95; !r.held {
		d.placed += 0.05
	}
	if d.s.FreeSlots >= 0 && d.s.CanProbe && len(d.sorted) > 0 {
		d.inquire(now)
	}
}

// inquire asks the worker whose report is oldest for its load, once with each job at most. A second: reports
// are late by about as much, and the next job of this dispatcher's may tell by then.
func (d *Dispatcher) inquire(now time.Duration) {
	w := slices.MinFunc(d.sorted, func(a, b *worker) int { return cmp.Compare(a.heardAt, b.heardAt) })
	if now-w.heardAt >= time.Second && !w.down {
		w.heardAt = now
		d.do.Probe(w.ID)
	}
}

// drain sends what waits here and finds room. After a few that find none the rest would not either.
func (d *Dispatcher) drain(now time.Duration) {
	for n := range d.lanes { // none goes first for ever where lanes share workers
		lane := &d.lanes[(d.count+n)%len(d.lanes)]
		for i, misses := 0, 0; i < len(*lane) && misses < 8; {
			if !d.place(now, (*lane)[i]) {
				misses, i = misses+1, i+1
			}
		}
	}
}

// Written notes that an attempt is on its way. Its start is due only from here on, and three ways there and
// back later on a new connection, which takes time: that is no sign of a queue.
func (d *Dispatcher) Written(now time.Duration, id JobID, n int, fresh bool) {
	if r, a := d.find(id, n); a != nil && a.out {
		if a.wrote = now; fresh {
			a.wrote += 3 * d.patience
		}
		d.wake(now, r)
	}
}

// Started notes that an attempt runs. One that did so at once had room.
func (d *Dispatcher) Started(now time.Duration, id JobID, n int) {
	if _, a := d.find(id, n); a != nil {
		a.wait(false)
		if a.started, a.began = true, now; a.wrote == 0 || now-a.wrote < d.patience {
			d.saw(a.w, false)
			d.met(now, a.w, false)
			a.w.fullTill = 0
		}
	}
}

// Outcome takes the end of an attempt.
func (d *Dispatcher) Outcome(now time.Duration, o Outcome) {
	r, a := d.find(o.Job, o.Attempt)
	if r == nil || !a.out {
		return
	}
	w := a.w
	a.out, a.clean, a.stuck = false, o.Status.NotRun(), o.Status == TimedOut
	r.out--
	d.take(now, w, -r.need)
	d.report(now, w, o.Report)
	d.turned *= 0.98
	a.wait(false)
	d.ways[w.Zone&255].saw(now, o.Status == TimedOut || o.Status == ConnectFailed, 0.05, 0.1)
	w.errs.saw(now, o.Status == TimedOut || o.Status == Errored || o.Status == Reset, 0.2, 1)
	if o.Status == Full || o.Status == ConnectFailed {
		d.met(now, w, true)
	}
	switch o.Status {
	case OK:
		w.fails, w.failedAt, w.down = w.recent(now)/2, now, false
		d.learn(now, r, a)
	case Full:
		d.turned += 0.02
		d.saw(w, true)
	case Errored, ConnectFailed, Reset:
		d.failed(now, w, o.Status != Errored)
	}
	switch {
	case o.Closed || o.Status == OK:
		d.close(r)
	case !r.done && r.out == 0 && d.spent(now, r):
		d.giveUp(r)
	case !r.done && r.out == 0 && !d.place(now, r):
		d.hold(r)
		d.wake(now, r)
	}
	d.forget(r)
	d.drain(now)
}

// learn takes the running time of a served attempt into the typical time of its class and the worker's pace.
func (d *Dispatcher) learn(now time.Duration, r *request, a *attempt) {
	from := a.sent
	if a.started {
		from = a.began
	}
	w, took := a.w, max((now-from).Seconds(), 1e-6)/r.size
	g := gain(&d.served[r.class], 0.02)
	d.mean += (took*r.size - d.mean) * g
	if !a.tells {
		return
	}
	d.unit[r.class] *= math.Pow(took/d.unit[r.class], g)
	ratio, p, k := took/d.unit[r.class], pace(now, w), w.kind
	off := ratio * d.warmth(now, w) / p
	// Three times as long says no more than that: its hint may be far off, or it waited.
	w.slow, w.slowAt = p*math.Pow(min(off, 3), 0.1), now
	k.slow *= math.Pow(ratio/k.slow, gain(&k.served, 0.05))
	if off = k.slow / k.built; d.s.RoughWeights && (off > 1.15 || off < 1/1.15) {
		k.built, d.lists = k.slow, d.lists+1
	}
}

// failed leaves a worker out for a time, doubled by recent failures; if down, till a probe is answered.
func (d *Dispatcher) failed(now time.Duration, w *worker, down bool) {
	if now < w.outTill {
		return // what was sent before tells nothing new
	}
	pause, least := max(seconds(d.mean), d.tick), time.Duration(0)
	if down { // all dispatchers together probe it ten times a second at most
		pause, least = d.s.ConnectTimeout/4, time.Duration(d.s.Dispatchers)*100*time.Millisecond
	}
	w.fails, w.failedAt, w.cut, w.down = min(w.recent(now)+1, 6), now, down, down && d.s.CanProbe
	out := min(seconds(pause.Seconds()*math.Exp2(w.fails)), cmp.Or(d.s.MaxExclusion, math.MaxInt64))
	w.outTill = now + d.around(max(least, out))
	if !w.sick {
		w.sick = true
		d.sick = append(d.sick, w)
		d.ticks()
	}
}

// health looks after the workers that are out.
func (d *Dispatcher) health(now time.Duration) {
	kept := d.sick[:0]
	for _, w := range d.sick {
		if w.down && now >= w.outTill && d.allowed(w) {
			d.do.Probe(w.ID)
			w.outTill = now + d.around(d.s.ConnectTimeout<<int(w.fails))
		}
		if w.sick = d.allowed(w) && (w.down || now < w.outTill); w.sick {
			kept = append(kept, w)
		}
	}
	clear(d.sick[len(kept):])
	d.sick = kept
}

// Probed takes the answer to a probe.
func (d *Dispatcher) Probed(now time.Duration, id WorkerID, status Status, rep []float32) {
	switch w := d.workers[id]; {
	case w == nil:
	case status == OK:
		if w.down {
			w.down, w.outTill = false, 0
		}
		d.report(now, w, rep)
		d.drain(now)
	case status == ConnectFailed || status == Reset || status == Full: // full: it says that it is not well
		w.outTill = min(w.outTill, now)
		d.failed(now, w, true)
	}
}

// report takes a worker's load report: what is not free and not own is taken by others.
func (d *Dispatcher) report(now time.Duration, w *worker, rep []float32) {
	i, k := d.s.FreeSlots, w.kind
	if i < 0 || i >= len(rep) || !(rep[i] >= 0 && rep[i] < 1e6) ||
		rep[i] == w.last && (now-w.heardAt).Seconds() < d.mean {
		return // none, no number, or an old one; but a full worker says 0 for long
	}
	w.last, w.heardAt = rep[i], now
	d.met(now, w, rep[i] < 0.5) // whose job comes next waits
	x := float64(rep[i])
	k.slots = max(k.slots, float64(int(x/1.05+0.5))) // reports are noisy: not the very highest
	others := max(0, k.slots-x-w.lag)
	w.others, w.seenAt = (others+d.others(now, w))/2, now
	k.usual += (others - k.usual) * gain(&k.seen, 0.02)
}

// spent: no further attempt can be made, now or later.
func (d *Dispatcher) spent(now time.Duration, r *request) bool {
	if len(r.tries) >= d.s.MaxAttempts {
		return true
	}
	a := r.trace()
	return a != nil && (r.c.Effect == Unsafe || r.c.Effect == Keyed && now+2*d.s.Tick >= a.sent+r.c.Window)
}

// giveUp answers a job that will not be served: with a refusal only where trying again is harmless.
func (d *Dispatcher) giveUp(r *request) {
	if r.c.Effect == Safe || r.c.Effect == Keyed && r.trace() == nil {
		// The more is held here the later; drawn, so that those sent away do not return together.
		wait := seconds(d.mean * float64(1+d.held) * (0.5 + d.rng.Float64()))
		d.do.Refuse(r.ID, min(d.s.MaxRetryAfter, wait))
	} else {
		d.do.Fail(r.ID)
	}
	d.close(r)
}

// Timer takes a timer that fell due.
func (d *Dispatcher) Timer(now time.Duration, token uint64) {
	switch token & (1<<tokenBits - 1) {
	case watchToken:
		d.do.Watch()
	case heardToken:
		d.ListComplete(now)
	case tickToken:
		d.ticking = false
		d.health(now)
		d.drain(now)
		d.ticks()
	case jobToken:
		r := d.jobs[JobID(token>>tokenBits)]
		if r != nil && !r.done && now+d.s.Tick > r.due { // clocks are coarse
			r.due = 0
			d.look(now, r)
			d.forget(r)
		}
	}
}

// wake asks for a look at an open job when the next decision on it falls due.
func (d *Dispatcher) wake(now time.Duration, r *request) {
	at := r.end - 2*d.s.Tick
	if !r.late {
		at = min(at, d.turnsLate(r))
	} else if r.c.LateValue == 0 && r.out == 0 {
		at = min(at, d.hopeless(r))
	}
	if i := len(r.tries) - 1; r.out > 0 && d.s.ReportsStart && r.tries[i].wrote > 0 &&
		!r.tries[i].started && !r.tries[i].called {
		at = min(at, max(r.tries[i].wrote+d.patience, now+d.tick))
	}
	if at = max(at, now+d.s.Tick); r.due == 0 || at < r.due { // a look already asked for stays
		r.due = at
		d.do.Timer(at-now, uint64(r.ID)<<tokenBits|jobToken)
	}
}

// turnsLate is when a job that does not run can no longer end in time: fast workers take 0.6 of the usual.
func (d *Dispatcher) turnsLate(r *request) time.Duration {
	return r.aim - seconds(d.unit[r.class]*r.size*0.6)
}

// hopeless is when a job cannot end in time even if it is larger than its hint says, and its aim later.
func (d *Dispatcher) hopeless(r *request) time.Duration {
	if d.s.FreeSlots < 0 || r.Hint == 0 {
		return d.turnsLate(r)
	}
	return r.aim + seconds(d.unit[r.class]*r.size)
}

// look decides on one open job whose time has come.
func (d *Dispatcher) look(now time.Duration, r *request) {
	if now+3*d.s.Tick >= r.end {
		d.do.Fail(r.ID)
		d.close(r)
		return
	}
	if !r.late && now >= d.turnsLate(r) {
		r.late = true
	}
	if r.out == 0 && (r.late && r.c.LateValue == 0 && now >= d.hopeless(r) || d.spent(now, r)) {
		d.giveUp(r)
		return
	}
	i := len(r.tries) - 1
	if r.out > 0 && d.s.ReportsStart && r.tries[i].wrote > 0 && !r.tries[i].started &&
		now-r.tries[i].wrote >= d.patience {
		// It waits there. A safe job is taken back if another has room, but for the last two attempts (it may
		// run on), and not where many are turned away. In thin traffic a keyed one too, but for the last.
		a := &r.tries[i]
		if !a.waits {
			d.met(now, a.w, true)
		}
		a.wait(true)
		d.saw(a.w, true)
		if d.thin {
			a.w.fullTill = now + memory
		}
		if r.late && r.c.LateValue == 0 { // it holds a place in the queue for nothing: others go late by it
			d.giveUp(r)
			return
		}
		more := d.s.MaxAttempts - i - 1
		if (r.c.Effect == Safe && more > 1 || d.thin && r.c.Effect != Unsafe && more > 0) &&
			d.s.CanCancel && !a.called && d.turned < 0.05 && d.route(now, r) != nil {
			a.called = true
			d.do.Cancel(r.ID, i)
		}
	}
	d.wake(now, r)
}
