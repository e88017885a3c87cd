package balance

// The decisions of a dispatcher. After Boel and van Schuppen (report OS-R8820, sections 3 and 4), its job
// count steps through an interleaved, speed-proportional period of workers; past the threshold a job goes to
// the next ready worker in fixed order. The rest are exceptions to this; see docs/design.md.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	threshold      = 2   // k of the report: own jobs at a worker that does not report its slots
	turnsPerWorker = 8   // mean turns of a worker in a period; more only refines the proportions
	maxCandidates  = 32  // workers tried per job: its cost must not grow with the fleet
	leaveFactor    = 3   // share of jobs that leave a zone, per difference in shares that met queues
	leaveThreshold = 0.1 // subtracted from it: crossing costs some 60 ms, a queue 0.5 s on average

	queueMemory = 4 * time.Second // how long a queue that a job met makes another likely

	// A change must take effect within 6 s, of which a call that hangs uses 2.5 s and its successor 2 s.
	listRetry   = time.Second
	listTimeout = 8500 * time.Millisecond // then the old list is used: a process must be ready in 10 s
)

// Start begins the work of the dispatcher, on the list that it already holds.
func (d *Dispatcher) Start(now time.Duration) {
	if d.cfg.ListOnRequest && d.cfg.ListInherited {
		d.requestList(0) // it starts alone, and must not miss what its predecessor would receive
	} else if d.cfg.ListOnRequest { // those that start together spread their calls to the one service
		d.requestList(min(2*listRetry, time.Duration(d.cfg.Dispatchers)*20*time.Millisecond))
	}
	if d.awaitingList = d.cfg.WaitForList && !d.cfg.ListInherited; d.awaitingList {
		d.actions.Timer(listTimeout, listTimeoutToken)
	}
	d.scheduleTick()
}

// ListComplete notes that discovery has reported its whole list, for which a new process waits.
func (d *Dispatcher) ListComplete(now time.Duration) {
	if d.awaitingList {
		d.awaitingList = false
		d.listChanged(now)
	}
}

// requestList requests the list at a random time within the given limit.
func (d *Dispatcher) requestList(within time.Duration) {
	d.actions.Timer(time.Duration(d.rng.Float64()*float64(within)), watchToken)
}

// List applies a full list of workers, or changes to it.
func (d *Dispatcher) List(now time.Duration, kind ListKind, entries []Worker) {
	if kind == ListFailed { // the present list stays in use
		d.requestList(listRetry)
		return
	}
	for _, w := range d.all {
		if kind != ListChanges {
			w.State = Removed // listed workers are restored below
		}
	}
	for _, e := range entries {
		e.Weight = validWeight(e.Weight)
		w := d.workers[e.ID]
		if e.State == Removed {
			w.remove()
			continue
		}
		if w == nil || e.Up != w.Up { // new, or restarted: estimates are void
			w = d.newWorker(e)
		}
		w.Worker, w.nominal = e, e.Weight
	}
	d.listChanged(now)
}

// SetOffline excludes a worker on an operator's order, or readmits it. Neither the list nor measurements
// override the order. A readmitted worker may have restarted before the list shows it: it counts as cold
// (since its listed start, if that is new), its estimates are reset, and it gets the next job.
func (d *Dispatcher) SetOffline(now time.Duration, id WorkerID, offline bool) {
	since := d.offlineSince[id]
	if (since > 0) == offline {
		return
	}
	d.offlineSince[id] = now
	if w := d.workers[id]; !offline {
		delete(d.offlineSince, id)
		d.readmitted = append(slices.DeleteFunc(d.readmitted, func(b WorkerID) bool { return b == id }), id)
		if w != nil && w.State != Removed {
			e := w.Worker
			n := d.newWorker(e)
			if n.Worker, n.slowdown, n.slowdownAt = e, 1, 0; e.Up < since {
				n.readmittedAt = now
			}
		}
	}
	d.listChanged(now)
}

// readmittedWorker returns a readmitted worker that has had no job since and may take this one: its turns
// alone could leave it unused for long. In its first second the job must be able to end in time there.
func (d *Dispatcher) readmittedWorker(now time.Duration, r *request) *worker {
	for _, id := range d.readmitted {
		if w := d.workers[id]; w != nil && d.usable(now, r, w, true) &&
			(now-w.readmittedAt > time.Second || now+d.runTime(now, r, w) <= r.target) {
			return w
		}
	}
	return nil
}

// allowed reports whether the list and the operators let jobs go to the worker.
func (d *Dispatcher) allowed(w *worker) bool {
	return !d.awaitingList && w.State == Ready && d.offlineSince[w.ID] == 0
}

const ownZone, wholeFleet, otherZones = 0, 1, 2 // scopes of a period: the workers that take part

// period returns the ready workers that run a class, with interleaved turns in proportion to their size.
func (d *Dispatcher) period(class, scope int) *period {
	p := d.periodOf(class, scope)
	if p.listVersion == d.listVersion {
		return p
	}
	p.listVersion, p.members = d.listVersion, p.members[:0]
	sum := 0.0
	for _, w := range d.ready {
		if d.runsClass(w, class) && (scope == wholeFleet || (w.Zone == d.cfg.Zone) == (scope == ownZone)) {
			p.members = append(p.members, w)
			sum += d.size(w)
		}
	}
	// Turn j of q falls at (j+1/2)/q of the period.
	n, share := 0, make([]int, len(p.members))
	for i, w := range p.members {
		share[i] = max(1, int(d.size(w)/max(sum, 1e-9)*float64(turnsPerWorker*len(p.members))+0.5))
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

// size returns a worker's relative capacity: its weight, corrected by its kind's measured speed if weights
// are rough. Sparse traffic does not see queues, which last longer at slow workers: those get fewer turns.
func (d *Dispatcher) size(w *worker) float64 {
	return math.Pow(w.nominal/w.kind.periodSlowdown, d.sizeExponent)
}

func (d *Dispatcher) runTime(now time.Duration, r *request, w *worker) time.Duration {
	return seconds(d.unitTime[r.class] * r.work * currentSlowdown(now, w) / d.warmth(now, w))
}

// warmth returns the share of its capacity that a worker has at least, at the slowest warm-up allowed.
func (d *Dispatcher) warmth(now time.Duration, w *worker) float64 {
	start := max(w.Up, w.readmittedAt) // a readmitted worker may have restarted, even if not listed so
	age := now - start
	if start == 0 || age >= d.cfg.WarmWithin {
		return 1
	}
	return d.cfg.StartCapacity + (1-d.cfg.StartCapacity)*max(0, age.Seconds()/d.cfg.WarmWithin.Seconds())
}

// rampAllows limits a cold worker to half of what the overload rule allows, in scheduled turns only. They are
// drawn at random, as saved-up turns would coincide; under overload turns come faster and fewer count.
func (d *Dispatcher) rampAllows(now time.Duration, r *request, w *worker, scheduled bool) bool {
	c := d.warmth(now, w)
	if c >= 1 || slices.Contains(d.readmitted, w.ID) || w.Pulls {
		return true // one job at a time cannot overload it
	}
	if d.unitTime[r.class]*r.work*w.kind.slowdown >
		c*d.cfg.OverloadFactor/2*threshold*d.cfg.OverloadTime.Seconds() {
		return false // alone it is half of what the rule allows a worker that runs k jobs
	}
	draw := d.draw(uint64(w.ID)<<32 ^ uint64(d.jobCount))
	if w.ownSlots == 0 && d.placedShare < 0.5 && draw < 4/float64(d.cfg.Dispatchers) {
		return true // most jobs are queued here
	}
	c *= d.cfg.OverloadFactor / 2 * max(0.3, d.placedShare) * (1 - d.rejectedShare)
	if d.cfg.CrossZoneFee > 0 && w.Zone == d.cfg.Zone { // a zone's last workers must not get all its turns
		near, all := len(d.period(r.class, ownZone).members), len(d.period(r.class, wholeFleet).members)
		c *= min(1, float64(near*max(1, d.cfg.Zones))/float64(all))
	}
	return scheduled && w.lastColdTurn != d.jobCount && draw < c &&
		(d.jobCount >= d.evenFrom || d.jobCount-w.lastColdTurn > len(d.ready))
}

// freeSlots estimates a worker's free slots: its known or estimated slots, less those in use.
func (d *Dispatcher) freeSlots(now time.Duration, w *worker) float64 {
	left := cmp.Or(w.Slots, w.kind.maxFree*d.warmth(now, w), w.kind.capacity) - w.ownSlots - d.others(now, w)
	return left * (1 + 4*w.Slots) // known slots need no safety margin
}

// others estimates the slots in use by other dispatchers, where workers report free slots. The last reported
// value decays to the mean of the kind as those jobs end.
func (d *Dispatcher) others(now time.Duration, w *worker) float64 {
	return w.kind.meanOthers + (w.otherSlots-w.kind.meanOthers)/(1+(now-w.otherSlotsAt).Seconds()/d.meanTime)
}

// learnCapacity adjusts the k of a kind: down to what ran in parallel when a job was rejected or waits
// (full), up with each job that starts at once.
func (d *Dispatcher) learnCapacity(w *worker, full bool) {
	if k := w.kind; k.maxFree > 0 {
		return // reports give it
	} else if full && d.cfg.ReportsStart {
		k.capacity += (min(k.capacity, max(1, w.ownSlots-1)) - k.capacity) * 0.1 // what waits does not run
	} else if w.ownSlots+1 > k.capacity {
		k.capacity = min(threshold+1, k.capacity+0.1)
	}
}

// usable reports whether the list and this dispatcher's own experience allow the worker for this attempt.
func (d *Dispatcher) usable(now time.Duration, r *request, w *worker, scheduled bool) bool {
	if a := r.firstMayHaveRun(); a != nil && r.rules.Effect == Keyed && r.rules.DedupScope != DedupAll &&
		(w.Zone != a.w.Zone || r.rules.DedupScope == DedupCell && w.Cell != a.w.Cell) {
		return false
	}
	if d.avoided(now, w) || !d.allowed(w) || !d.runsClass(w, r.class) || !d.rampAllows(now, r, w, scheduled) {
		return false
	}
	for _, a := range r.attempts {
		if a.w == w && (a.mayStillRun || (now-a.sentAt).Seconds() < d.meanTime) {
			return false // it just rejected or lost the job, or may still run it
		}
	}
	return true
}

func (d *Dispatcher) avoided(now time.Duration, w *worker) bool {
	overload := len(d.excluded)*2 > len(d.ready) // of the rest, if all that erred were excluded
	return w.down || now < w.excludedUntil && (w.unreachable || !overload)
}

// chooseWorker follows the period: the scheduled worker or, past k, the next ready one in fixed order,
// wrapping around. If crossings cost, the own zone's period goes first. Suspected workers come last.
func (d *Dispatcher) chooseWorker(now time.Duration, r *request) *worker {
	want := r.slotsNeeded
	if n := len(r.attempts); n > 0 {
		// The margin grows, as wrong estimates must not use up the attempts, and decays as the k jobs found
		// there end: with a small k the job would wait for ever and block the queue.
		want += 0.5 * max(0, float64(n)-(now-r.attempts[n-1].sentAt).Seconds()/(threshold*d.meanTime))
	}
	if d.cfg.ReportsStart {
		want -= 0.5 // a job that waits there is detected and moved
	}
	limit := maxCandidates
	if r.rules.Effect == Keyed && r.firstMayHaveRun() != nil {
		limit, want = len(d.ready), r.slotsNeeded-1 // few workers may repeat it: try all, and let it wait
	}
	if w := d.readmittedWorker(now, r); w != nil {
		return w
	}
	scopes := [2]int{ownZone, wholeFleet}
	if d.cfg.CrossZoneFee == 0 || len(r.attempts) > 1 {
		scopes[0] = wholeFleet
	} else if d.leavesZone(now) {
		scopes = [2]int{otherZones, ownZone}
	}
	maxMargin := 0.0
	if d.cfg.FreeSlots >= 0 { // reports are late, but two slots more than needed are
		maxMargin = 2 // seldom taken since; then the margin falls by one at a time
	}
	for _, trustedOnly := range []bool{true, false} {
		for _, scope := range scopes {
			for margin := maxMargin; margin >= 0; margin-- {
				if r.late && r.rules.LateValue == 0 && margin < maxMargin {
					break // if late it is worthless: not the last free slot
				}
				if w := d.scan(now, r, scope, limit, want, margin, trustedOnly); w != nil {
					return w
				}
			}
		}
	}
	return nil
}

// leavesZone reports whether a job tries other zones first: more do the more jobs met queues here than there.
// The golden ratio spreads those evenly over the job count.
func (d *Dispatcher) leavesZone(now time.Duration) bool {
	_, position := math.Modf(float64(d.jobCount) * math.Phi)
	return d.sparse && position < min(0.9,
		leaveFactor*(d.queueRates[0].current(now)-d.queueRates[1].current(now)-leaveThreshold))
}

// scan looks for room from the scheduled worker of a period on; if trustedOnly, it skips suspected ones.
func (d *Dispatcher) scan(now time.Duration, r *request, scope, limit int, want, margin float64,
	trustedOnly bool) *worker {
	p := d.period(r.class, scope)
	n := len(p.turns)
	if n == 0 {
		return nil
	}
	count := d.jobCount
	if scope == otherZones {
		count %= turnsPerWorker // only a few workers, as connecting is slow; other dispatchers use others
	}
	start := p.turns[(count+d.cfg.Number*(n+turnsPerWorker)/d.cfg.Dispatchers)%n] // offset: not in lockstep
	for i := range min(limit, len(p.members)) {
		w := p.members[(start+i)%len(p.members)]
		// More attempts are lost on the way there than here: skip most jobs; no worker is at fault.
		loss := d.zoneLosses[w.Zone&255].current(now) - d.zoneLosses[d.cfg.Zone&255].current(now)
		if d.draw(uint64(r.ID)<<8^uint64(w.Zone)) < min(0.9, 10*loss) || trustedOnly && w.suspected(now, r) {
			continue
		}
		// Workers of the own zone have turns in that zone's period only, if there is one.
		scheduled := i == 0 && len(r.attempts) == 0 &&
			(scope == ownZone || d.cfg.CrossZoneFee == 0 || w.Zone != d.cfg.Zone)
		if d.usable(now, r, w, scheduled) && d.freeSlots(now, w) >= want+margin*min(w.kind.maxFree, 1) &&
			(d.sparse || r.late || now+d.runTime(now, r, w) <= r.target) {
			return w
		}
	}
	return nil
}

// place sends the job if a worker has room; otherwise the job stays queued, ordered by value.
func (d *Dispatcher) place(now time.Duration, r *request) bool {
	var w *worker
	if r.active == 0 && !d.exhausted(now, r) {
		w = d.chooseWorker(now, r)
	}
	if w == nil {
		return false
	}
	w.lastColdTurn = d.jobCount
	d.readmitted = slices.DeleteFunc(d.readmitted, func(b WorkerID) bool { return b == w.ID })
	// If starts are not reported, it measures the running time only if it surely started at once.
	measurable := d.cfg.ReportsStart || d.freeSlots(now, w) >= r.slotsNeeded+1
	r.attempts = append(r.attempts, attempt{w: w, sentAt: now, active: true, measurable: measurable})
	if !d.cfg.ReportsWritten {
		r.attempts[len(r.attempts)-1].writtenAt = now
	}
	r.active++
	d.addSlots(now, w, r.slotsNeeded)
	d.actions.Send(r.ID, w.ID, 0)
	d.dequeue(r)
	d.scheduleCheck(now, r)
	return true
}

// setTarget sets when an answer becomes late, and what it is worth.
func (d *Dispatcher) setTarget(r *request) {
	// A resubmission has less time left than the first submission, from which the target counts. A job with
	// less than its target is taken for the first one of a hurried client: the error costs a slot, the
	// opposite error a job's whole value.
	d.longestLeft[r.class] = max(d.longestLeft[r.class], r.Left)
	work := d.unitTime[r.class] // the target grows with the work at speed 1: the hint, if any
	if r.Hint > 0 {
		work = r.work
	}
	target := r.rules.TargetLatency + seconds(r.rules.RuntimeFactor*work)
	if r.target = r.came + target; r.Again || !d.cfg.MarksRetry && r.Left >= target {
		r.target -= d.longestLeft[r.class] - r.Left
	}
	r.target = min(r.target, r.deadline)
	r.value = r.rules.Value * cmp.Or(r.Weight, 1)
	if !d.cfg.ValuePerWork {
		r.value /= d.unitTime[r.class]
	}
}

// Job takes a new job.
func (d *Dispatcher) Job(now time.Duration, j Job) {
	r := d.newRequest(now, j)
	d.setTarget(r)
	if j.Left <= 3*d.cfg.Tick { // almost out of time: must not wait for its timer
		d.check(now, r)
		d.recycle(r)
		return
	}
	d.enqueue(r)
	d.placeQueued(now)
	d.scheduleCheck(now, r)
	d.jobCount++
	if d.placedShare *= 0.95; !r.queued {
		d.placedShare += 0.05
	}
	if d.cfg.FreeSlots >= 0 && d.cfg.CanProbe && len(d.ready) > 0 {
		d.probeStalest(now)
	}
}

// probeStalest probes the worker with the oldest load report, one at most for each job. Reports are late by
// about a second, within which the answer to another job may bring a newer one.
func (d *Dispatcher) probeStalest(now time.Duration) {
	w := slices.MinFunc(d.ready, func(a, b *worker) int { return cmp.Compare(a.reportedAt, b.reportedAt) })
	if now-w.reportedAt >= time.Second && !w.down {
		w.reportedAt = now
		d.actions.Probe(w.ID)
	}
}

// placeQueued sends queued jobs that find room. After a few misses the rest would find none either.
func (d *Dispatcher) placeQueued(now time.Duration) {
	for offset := range d.lanes { // rotating, as lanes may share workers
		lane := &d.lanes[(d.jobCount+offset)%len(d.lanes)]
		for i, misses := 0, 0; i < len(*lane) && misses < 8; {
			if !d.place(now, (*lane)[i]) {
				misses, i = misses+1, i+1
			}
		}
	}
}

// Written notes that an attempt was sent to its worker. The timeout of its start begins now, or three
// timeouts later on a new connection, whose setup takes time: that is no sign of a queue.
func (d *Dispatcher) Written(now time.Duration, id JobID, number int, fresh bool) {
	if r, a := d.findAttempt(id, number); a != nil && a.active {
		if a.writtenAt = now; fresh {
			a.writtenAt += 3 * d.startTimeout
		}
		d.scheduleCheck(now, r)
	}
}

// Started notes that an attempt runs. If it started at once, the worker had room.
func (d *Dispatcher) Started(now time.Duration, id JobID, number int) {
	if _, a := d.findAttempt(id, number); a != nil {
		a.setOverdue(false)
		if a.started, a.startedAt = true, now; a.writtenAt == 0 || now-a.writtenAt < d.startTimeout {
			d.learnCapacity(a.w, false)
			d.recordQueue(now, a.w, false)
			a.w.queueUntil = 0
		}
	}
}

// Outcome handles the end of an attempt.
func (d *Dispatcher) Outcome(now time.Duration, o Outcome) {
	r, a := d.findAttempt(o.Job, o.Attempt)
	if r == nil || !a.active {
		return
	}
	w := a.w
	a.active, a.notRun, a.mayStillRun = false, o.Status.NotRun(), o.Status == TimedOut
	r.active--
	d.addSlots(now, w, -r.slotsNeeded)
	d.recordReport(now, w, o.Report)
	d.rejectedShare *= 0.98
	a.setOverdue(false)
	d.zoneLosses[w.Zone&255].observe(now, o.Status == TimedOut || o.Status == ConnectFailed, 0.05, 0.1)
	w.losses.observe(now, o.Status == TimedOut || o.Status == Errored || o.Status == Reset, 0.2, 1)
	if o.Status == Full || o.Status == ConnectFailed {
		d.recordQueue(now, w, true)
	}
	switch o.Status {
	case OK:
		w.failures, w.failedAt, w.down = w.recent(now)/2, now, false
		d.learnRunTime(now, r, a)
	case Full:
		d.rejectedShare += 0.02
		d.learnCapacity(w, true)
	case Errored, ConnectFailed, Reset:
		d.exclude(now, w, o.Status != Errored)
	}
	switch {
	case o.Closed || o.Status == OK:
		d.close(r)
	case !r.answered && r.active == 0 && d.exhausted(now, r):
		d.giveUp(r)
	case !r.answered && r.active == 0 && !d.place(now, r):
		d.enqueue(r)
		d.scheduleCheck(now, r)
	}
	d.recycle(r)
	d.placeQueued(now)
}

// learnRunTime updates the running time of the class and the slowdown of the worker from a served attempt.
func (d *Dispatcher) learnRunTime(now time.Duration, r *request, a *attempt) {
	start := a.sentAt
	if a.started {
		start = a.startedAt
	}
	w, took := a.w, max((now-start).Seconds(), 1e-6)/r.work
	g := sampleWeight(&d.learnedJobs[r.class], 0.02)
	d.meanTime += (took*r.work - d.meanTime) * g
	if !a.measurable {
		return
	}
	d.unitTime[r.class] *= math.Pow(took/d.unitTime[r.class], g)
	ratio, slowdown, k := took/d.unitTime[r.class], currentSlowdown(now, w), w.kind
	excess := ratio * d.warmth(now, w) / slowdown
	// Capped at three times: beyond that its hint may be far off, or it waited.
	w.slowdown, w.slowdownAt = slowdown*math.Pow(min(excess, 3), 0.1), now
	k.slowdown *= math.Pow(ratio/k.slowdown, sampleWeight(&k.jobs, 0.05))
	if excess = k.slowdown / k.periodSlowdown; d.cfg.RoughWeights && (excess > 1.15 || excess < 1/1.15) {
		k.periodSlowdown, d.listVersion = k.slowdown, d.listVersion+1
	}
}

// exclude avoids a worker for a time that doubles with recent failures; if down, until a probe succeeds.
func (d *Dispatcher) exclude(now time.Duration, w *worker, down bool) {
	if now < w.excludedUntil {
		return // attempts sent earlier give no new information
	}
	pause, minimum := max(seconds(d.meanTime), d.tickInterval), time.Duration(0)
	if down { // all dispatchers together probe it ten times a second at most
		pause, minimum = d.cfg.ConnectTimeout/4, time.Duration(d.cfg.Dispatchers)*100*time.Millisecond
	}
	w.failures, w.failedAt, w.unreachable, w.down = min(w.recent(now)+1, 6), now, down, down && d.cfg.CanProbe
	duration := min(seconds(pause.Seconds()*math.Exp2(w.failures)), cmp.Or(d.cfg.MaxExclusion, math.MaxInt64))
	w.excludedUntil = now + d.jitter(max(minimum, duration))
	if !w.tracked {
		w.tracked = true
		d.excluded = append(d.excluded, w)
		d.scheduleTick()
	}
}

// checkExcluded probes the workers that are down and ends expired exclusions.
func (d *Dispatcher) checkExcluded(now time.Duration) {
	kept := d.excluded[:0]
	for _, w := range d.excluded {
		if w.down && now >= w.excludedUntil && d.allowed(w) {
			d.actions.Probe(w.ID)
			w.excludedUntil = now + d.jitter(d.cfg.ConnectTimeout<<int(w.failures))
		}
		if w.tracked = d.allowed(w) && (w.down || now < w.excludedUntil); w.tracked {
			kept = append(kept, w)
		}
	}
	clear(d.excluded[len(kept):])
	d.excluded = kept
}

// Probed handles the result of a probe.
func (d *Dispatcher) Probed(now time.Duration, id WorkerID, status Status, rep []float32) {
	switch w := d.workers[id]; {
	case w == nil:
	case status == OK:
		if w.down {
			w.down, w.excludedUntil = false, 0
		}
		d.recordReport(now, w, rep)
		d.placeQueued(now)
	case status == ConnectFailed || status == Reset || status == Full: // full: it reports itself unhealthy
		w.excludedUntil = min(w.excludedUntil, now)
		d.exclude(now, w, true)
	}
}

// recordReport takes a worker's load report: slots neither free nor own are in use by other dispatchers.
func (d *Dispatcher) recordReport(now time.Duration, w *worker, values []float32) {
	i, k := d.cfg.FreeSlots, w.kind
	if i < 0 || i >= len(values) || !(values[i] >= 0 && values[i] < 1e6) ||
		values[i] == w.lastReport && (now-w.reportedAt).Seconds() < d.meanTime {
		return // absent, invalid or old; but a full worker repeats 0 for long
	}
	w.lastReport, w.reportedAt = values[i], now
	d.recordQueue(now, w, values[i] < 0.5) // the next job there waits
	free := float64(values[i])
	k.maxFree = max(k.maxFree, float64(int(free/1.05+0.5))) // reports are noisy: not the very maximum
	others := max(0, k.maxFree-free-w.ownDelayed)
	w.otherSlots, w.otherSlotsAt = (others+d.others(now, w))/2, now
	k.meanOthers += (others - k.meanOthers) * sampleWeight(&k.reports, 0.02)
}

// exhausted reports whether no further attempt is possible, now or later.
func (d *Dispatcher) exhausted(now time.Duration, r *request) bool {
	if len(r.attempts) >= d.cfg.MaxAttempts {
		return true
	}
	a := r.firstMayHaveRun()
	return a != nil && (r.rules.Effect == Unsafe ||
		r.rules.Effect == Keyed && now+2*d.cfg.Tick >= a.sentAt+r.rules.Window)
}

// giveUp answers a job that will not be served: with a refusal only where a retry is harmless.
func (d *Dispatcher) giveUp(r *request) {
	if r.rules.Effect == Safe || r.rules.Effect == Keyed && r.firstMayHaveRun() == nil {
		// Longer with more queued jobs; randomized, so that refused clients do not return together.
		wait := seconds(d.meanTime * float64(1+d.queued) * (0.5 + d.rng.Float64()))
		d.actions.Refuse(r.ID, min(d.cfg.MaxRetryAfter, wait))
	} else {
		d.actions.Fail(r.ID)
	}
	d.close(r)
}

// Timer handles a timer that has expired.
func (d *Dispatcher) Timer(now time.Duration, token uint64) {
	switch token & (1<<tokenBits - 1) {
	case watchToken:
		d.actions.Watch()
	case listTimeoutToken:
		d.ListComplete(now)
	case tickToken:
		d.tickPending = false
		d.checkExcluded(now)
		d.placeQueued(now)
		d.scheduleTick()
	case jobToken:
		r := d.jobs[JobID(token>>tokenBits)]
		if r != nil && !r.answered && now+d.cfg.Tick > r.timerAt { // clocks are coarse
			r.timerAt = 0
			d.check(now, r)
			d.recycle(r)
		}
	}
}

func (d *Dispatcher) scheduleCheck(now time.Duration, r *request) {
	at := r.deadline - 2*d.cfg.Tick
	if !r.late {
		at = min(at, d.lateAt(r))
	} else if r.rules.LateValue == 0 && r.active == 0 {
		at = min(at, d.hopelessAt(r))
	}
	if i := len(r.attempts) - 1; r.active > 0 && d.cfg.ReportsStart && r.attempts[i].writtenAt > 0 &&
		!r.attempts[i].started && !r.attempts[i].cancelled {
		at = min(at, max(r.attempts[i].writtenAt+d.startTimeout, now+d.tickInterval))
	}
	if at = max(at, now+d.cfg.Tick); r.timerAt == 0 || at < r.timerAt { // an earlier timer stays
		r.timerAt = at
		d.actions.Timer(at-now, uint64(r.ID)<<tokenBits|jobToken)
	}
}

// lateAt returns when a job not yet running can no longer end in time: fast workers take 0.6 of the mean.
func (d *Dispatcher) lateAt(r *request) time.Duration {
	return r.target - seconds(d.unitTime[r.class]*r.work*0.6)
}

// hopelessAt returns when a job cannot end in time even if its hint, and so its target, is too small.
func (d *Dispatcher) hopelessAt(r *request) time.Duration {
	if d.cfg.FreeSlots < 0 || r.Hint == 0 {
		return d.lateAt(r)
	}
	return r.target + seconds(d.unitTime[r.class]*r.work)
}

func (d *Dispatcher) check(now time.Duration, r *request) {
	if now+3*d.cfg.Tick >= r.deadline {
		d.actions.Fail(r.ID)
		d.close(r)
		return
	}
	if !r.late && now >= d.lateAt(r) {
		r.late = true
	}
	if r.active == 0 && (r.late && r.rules.LateValue == 0 && now >= d.hopelessAt(r) || d.exhausted(now, r)) {
		d.giveUp(r)
		return
	}
	i := len(r.attempts) - 1
	if r.active > 0 && d.cfg.ReportsStart && r.attempts[i].writtenAt > 0 && !r.attempts[i].started &&
		now-r.attempts[i].writtenAt >= d.startTimeout {
		// It waits there. A safe job is withdrawn if another worker has room, except the last two attempts
		// (they may run on) and while many are rejected; in sparse traffic a keyed one too, except the last.
		a := &r.attempts[i]
		if !a.overdue {
			d.recordQueue(now, a.w, true)
		}
		a.setOverdue(true)
		d.learnCapacity(a.w, true)
		if d.sparse {
			a.w.queueUntil = now + queueMemory
		}
		if r.late && r.rules.LateValue == 0 { // its place in the queue only delays others
			d.giveUp(r)
			return
		}
		more := d.cfg.MaxAttempts - i - 1
		if (r.rules.Effect == Safe && more > 1 || d.sparse && r.rules.Effect != Unsafe && more > 0) &&
			d.cfg.CanCancel && !a.cancelled && d.rejectedShare < 0.05 && d.chooseWorker(now, r) != nil {
			a.cancelled = true
			d.actions.Cancel(r.ID, i)
		}
	}
	d.scheduleCheck(now, r)
}
