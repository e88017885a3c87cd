package sim

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"liftgauge/balance"
)

// attempt is one delivery of a job to a box, including the time it is in transit.
type attempt struct {
	dispatcher  *dispatcher
	job         *job
	number      int // among the job's attempts, from 0
	box         *box
	incarnation int // of the box when the attempt arrived
	arrivedAt   time.Duration
	remaining   float64
	work        float64 // total, in seconds at speed 1
	slots       int
	running     bool
	begun       bool
	abandoned   bool // its dispatcher no longer waits for it
	done        bool // its dispatcher has received the outcome
}

// box is the run-time state of a Box. Running jobs share its cores: each runs at the speed of one core, or, when there are
// more jobs than cores, at an equal share of all cores, reduced by the crowding penalty.
type box struct {
	Box
	r            *run
	kind         Kind
	id           balance.WorkerID
	state        balance.State
	up           bool // its process is running
	unresponsive bool // nothing is received from it, whether or not it is up
	incarnation  int  // counts restarts
	startedAt    time.Duration
	cold         bool // may still be warming up
	running      []*attempt
	waiting      []*attempt
	advancedTo   time.Duration // time up to which work was subtracted from running jobs
	completion   int           // number of the scheduled completion; earlier ones are void
	busy         float64       // core-seconds in use
	recent       []sentWork    // work sent to a cold box within Rules.OverloadTime
	used         int           // slots of running jobs
	stalled      int           // number of stalls in effect
	samples      []loadSample  // most recent load samples
	meanRuntime  float64       // moving average, in seconds
	errorLevel   float64       // errors per second at lastErrorAt
	lastErrorAt  time.Duration
	connections  int // open, in use or idle
	result       *BoxResult

	probes, connects perSecond
}

// sentWork is the work of an attempt that was sent to a cold box.
type sentWork struct {
	at          time.Duration
	work        float64
	startListed bool // the sending dispatcher's list contained the box's last start
}

// warmUpFactor returns the share of its full speed that the box has reached.
func (b *box) warmUpFactor(now time.Duration) float64 {
	rules := b.r.Rules
	warmUpTime, coldSpeed := cmp.Or(b.kind.WarmUpTime, rules.WarmWithin), cmp.Or(b.kind.ColdSpeed, rules.StartCapacity)
	if !b.cold || warmUpTime <= 0 {
		return 1
	}
	age := float64(now-b.startedAt) / float64(warmUpTime)
	if age >= 1 {
		b.cold = false
		return 1
	}
	return coldSpeed + (1-coldSpeed)*age
}

// jobSpeed returns the speed of each running job.
func (b *box) jobSpeed() float64 {
	n := float64(b.used)
	if n == 0 || b.stalled > 0 {
		return 0
	}
	cores := float64(b.kind.Cores)
	rate := b.Speed * b.warmUpFactor(b.r.now) * b.r.speedFactor
	if n > cores {
		rate *= cores / n / (1 + b.kind.Crowding*(n-cores)/cores)
	}
	return rate
}

// advance subtracts the work done since the last call from the running jobs.
func (b *box) advance() {
	dt := (b.r.now - b.advancedTo).Seconds()
	b.advancedTo = b.r.now
	if dt <= 0 || len(b.running) == 0 {
		return
	}
	rate := b.jobSpeed()
	for _, a := range b.running {
		a.remaining -= rate * dt
	}
	b.busy += min(float64(b.used), float64(b.kind.Cores)) * dt
	b.r.result.zoneSecond(b.r.now, b.Station).Running += float64(len(b.running)) * dt
}

// waitThreshold is the queueing time above which Result.Zones counts an attempt as waited: after it even a very short job is
// late.
const waitThreshold = 200 * time.Millisecond

const coldInterval = 100 * time.Millisecond // how often the speed of a cold box is updated

// scheduleCompletion schedules an update at the next completion and voids the previous one.
func (b *box) scheduleCompletion() {
	b.completion++
	if len(b.running) == 0 || b.stalled > 0 {
		return
	}
	least := math.Inf(1)
	for _, a := range b.running {
		least = min(least, a.remaining)
	}
	after := time.Duration(math.Ceil(max(least, 0) / b.jobSpeed() * float64(time.Second)))
	if b.cold {
		after = min(after, coldInterval)
	}
	completion := b.completion
	b.r.after(after, func() {
		if b.completion == completion {
			b.update()
		}
	})
}

// update ends the attempts whose work is done and starts waiting ones in the free slots.
func (b *box) update() {
	b.advance()
	if b.stalled > 0 {
		return
	}
	kept := b.running[:0]
	var ended []*attempt
	for _, a := range b.running {
		if a.remaining <= 1e-9 {
			ended = append(ended, a)
		} else {
			kept = append(kept, a)
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
	for _, a := range ended {
		a.running = false
		b.used -= a.slots
		b.result.Served++
		b.meanRuntime += (a.work/b.Speed/b.warmUpFactor(b.r.now) - b.meanRuntime) * 0.1
		status := balance.OK
		if b.ErrorShare > 0 && b.r.errorRand.Float64() < b.ErrorShare {
			status = balance.Errored
			b.errorLevel, b.lastErrorAt = b.errorRate()+0.1, b.r.now
		}
		if b.r.lostReplyShare > 0 && b.r.errorRand.Float64() < b.r.lostReplyShare {
			continue // the reply is lost; its dispatcher waits until the deadline
		}
		if a.abandoned { // it was cancelled and kept running
			b.result.Wasted += a.work
		}
		b.reportOutcome(a, status)
	}
	for len(b.waiting) > 0 && b.hasSlots(b.waiting[0]) {
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.begin(a)
	}
	b.scheduleCompletion()
}

// countWait counts an attempt that starts or leaves the queue, in the second in which it arrived.
func (b *box) countWait(a *attempt) {
	if b.r.now-a.arrivedAt > waitThreshold {
		b.r.result.zoneSecond(a.arrivedAt, b.Station).Waited++
	}
}

// begin starts an attempt.
func (b *box) begin(a *attempt) {
	a.running, a.begun = true, true
	b.running = append(b.running, a)
	b.used += a.slots
	b.countWait(a)
	b.r.countRun(a)
	b.scheduleProgress(a)
	if b.r.NoStartReports {
		return
	}
	b.notify(a, func() {
		if !a.done && !a.dispatcher.dead {
			a.dispatcher.policy.Started(a.dispatcher.clock(), a.job.id, a.number)
		}
	})
}

// notify sends a message to the attempt's dispatcher. While the network is cut it is resent until it gets through.
func (b *box) notify(a *attempt, deliver func()) {
	incarnation := b.incarnation
	d, ok := b.r.delay(b.Station, a.dispatcher.station)
	if b.unresponsive || !ok {
		b.r.after(coldInterval, func() {
			if b.incarnation == incarnation && b.up {
				b.notify(a, deliver)
			}
		})
		return
	}
	b.r.after(d, deliver)
}

// receive handles an attempt whose last byte has arrived.
func (b *box) receive(a *attempt) {
	if a.abandoned {
		return
	}
	a.incarnation, a.arrivedAt = b.incarnation, b.r.now
	b.advance()
	b.result.Sent++
	b.r.result.zoneSecond(b.r.now, b.Station).Sent++
	if b.overloaded(a) {
		b.r.result.Falls++
		b.result.Falls++
		b.terminate(false, b.r.Rules.RestartAfter)
		return
	}
	if b.stalled == 0 && (b.state != balance.Ready || !b.hasSlots(a) && len(b.waiting) >= b.kind.Queue) {
		a.abandoned = true
		b.result.Turned++
		b.reportOutcome(a, balance.Full)
		return
	}
	if b.stalled == 0 && len(b.waiting) == 0 && b.hasSlots(a) {
		b.begin(a)
		b.scheduleCompletion()
		return
	}
	b.waiting = append(b.waiting, a)
	b.result.Longest = max(b.result.Longest, len(b.waiting))
}

// overloaded reports whether a cold box has been sent more work than it survives.
func (b *box) overloaded(a *attempt) bool {
	rules := b.r.Rules
	factor := b.warmUpFactor(b.r.now)
	if !b.cold || rules.OverloadFactor <= 0 || rules.OverloadTime <= 0 {
		return false
	}
	sum, informed, kept := 0.0, 0.0, b.recent[:0]
	// A job counts for at most what one core does within OverloadTime.
	work := min(a.job.work, b.Speed*rules.OverloadTime.Seconds())
	for _, s := range append(b.recent, sentWork{b.r.now, work, a.dispatcher.startListed(b)}) {
		if b.r.now-s.at < rules.OverloadTime {
			kept = append(kept, s)
			if sum += s.work; s.startListed {
				informed += s.work
			}
		}
	}
	b.recent = kept
	limit := rules.OverloadFactor * factor * b.Speed * float64(b.kind.Cores) * rules.OverloadTime.Seconds()
	b.r.result.Margin = min(b.r.result.Margin, 1-sum/limit)
	if sum > limit && informed*3 >= sum*2 {
		b.r.result.Breaches++
	}
	return sum > limit
}

// remove removes an attempt from the box. It returns false if the attempt is not there.
func (b *box) remove(a *attempt) bool {
	for _, list := range []*[]*attempt{&b.running, &b.waiting} {
		for i, x := range *list {
			if x == a && a.running && b.kind.IgnoresCancel {
				return true
			}
			if x == a {
				b.advance()
				*list = append((*list)[:i], (*list)[i+1:]...)
				if !a.running {
					b.countWait(a)
				} else {
					b.used -= a.slots
					b.result.Wasted += a.work - max(a.remaining, 0)
				}
				b.update()
				return true
			}
		}
	}
	return false
}

// terminate ends the process. Connections are reset unless it becomes unresponsive. It restarts cold after restartAfter; 0 means
// never.
func (b *box) terminate(unresponsive bool, restartAfter time.Duration) {
	if !b.up {
		return
	}
	b.advance()
	all := append(append([]*attempt(nil), b.running...), b.waiting...)
	b.running, b.waiting, b.recent, b.connections, b.used, b.stalled = nil, nil, nil, 0, 0, 0
	if !unresponsive {
		for _, d := range b.r.dispatchers {
			d.idle[b.id-1] = 0
		}
	}
	b.completion++
	b.incarnation++
	b.up, b.unresponsive = false, unresponsive
	for _, a := range all {
		if a.running {
			b.result.Wasted += a.work - max(a.remaining, 0)
		}
		if a.running = false; !unresponsive {
			if d, ok := b.r.delay(b.Station, a.dispatcher.station); ok {
				b.r.after(d, func() { a.dispatcher.outcome(a, balance.Reset) })
			}
		}
	}
	b.announce(balance.Removed)
	if restartAfter > 0 {
		b.r.after(restartAfter, b.restart)
	}
}

// restart starts the process cold.
func (b *box) restart() {
	if b.up {
		return
	}
	b.up, b.unresponsive, b.cold, b.startedAt, b.advancedTo = true, false, true, b.r.now, b.r.now
	b.incarnation++
	b.announce(balance.Ready)
}

// partition cuts the box off from the network for a time; running jobs continue.
func (b *box) partition(d time.Duration) {
	if !b.up || b.unresponsive {
		return
	}
	b.unresponsive = true
	incarnation := b.incarnation
	b.r.after(d, func() {
		if b.incarnation == incarnation {
			b.unresponsive = false
		}
	})
}

// drain lets the box finish its jobs and then restarts it.
func (b *box) drain(restartAfter time.Duration) {
	if !b.up || b.state == balance.Draining {
		return
	}
	b.announce(balance.Draining)
	incarnation := b.incarnation
	var wait func()
	wait = func() {
		if b.incarnation != incarnation {
			return
		}
		if len(b.running)+len(b.waiting) > 0 {
			b.r.after(coldInterval, wait)
			return
		}
		b.terminate(false, restartAfter)
	}
	b.r.after(2*b.r.Lag+time.Second, wait)
}

// announce has discovery report the box's state to the dispatchers after the list lag.
func (b *box) announce(state balance.State) {
	if b.state = state; state != balance.Draining {
		b.state = balance.Ready // a removed box accepts no jobs because its process is not up
	}
	w, lag := b.listEntry(state), b.r.Lag
	if b.unresponsive && state == balance.Removed {
		lag = cmp.Or(b.r.UnresponsiveLag, lag)
	}
	b.r.after(time.Duration(b.r.lagFactor*float64(lag)), func() {
		for _, d := range b.r.dispatchers {
			d.listChanged(w)
		}
	})
}

// listEntry returns the box's entry in the worker list.
func (b *box) listEntry(state balance.State) balance.Worker {
	w := balance.Worker{ID: b.id, Zone: b.Station, Kind: b.Box.Kind, Cell: b.Cell, State: state, Weight: b.kind.Speed * float64(b.kind.Cores)}
	if b.startedAt > 0 {
		w.Up = epoch + b.startedAt
	}
	return w
}

// hasSlots reports whether there are free slots for an attempt.
func (b *box) hasSlots(a *attempt) bool { return b.used+a.slots <= max(b.kind.Slots, a.slots) }

// reportOutcome sends the outcome of an attempt to its dispatcher, with the box's load report.
func (b *box) reportOutcome(a *attempt, status balance.Status) {
	report := b.report()
	b.notify(a, func() { a.dispatcher.outcomeWith(a, status, report) })
}

// scheduleProgress reports the progress of a running attempt at regular intervals.
func (b *box) scheduleProgress(a *attempt) {
	if b.r.Progress <= 0 {
		return
	}
	incarnation := b.incarnation
	b.r.after(b.r.Progress, func() {
		if b.incarnation != incarnation || !a.running || a.abandoned {
			return
		}
		if b.stalled == 0 {
			b.advance()
			share := 1 - max(a.remaining, 0)/max(a.work, 1e-9)
			b.notify(a, func() {
				if !a.done && !a.dispatcher.dead {
					a.dispatcher.policy.Progress(a.dispatcher.clock(), a.job.id, a.number, share)
				}
			})
		}
		b.scheduleProgress(a)
	})
}

// stall pauses the box for a time. What arrives in the meantime is handled afterwards.
func (b *box) stall(d time.Duration) {
	if !b.up || d <= 0 {
		return
	}
	b.advance()
	b.stalled++
	incarnation := b.incarnation
	b.r.after(d, func() {
		if b.incarnation != incarnation {
			return
		}
		b.advance()
		if b.stalled--; b.stalled == 0 {
			b.update()
		}
	})
}

// scheduleStalls stalls the box at random intervals.
func (b *box) scheduleStalls(rng *rand.Rand) {
	if b.kind.StallEvery <= 0 || b.kind.StallFor <= 0 {
		return
	}
	b.r.after(time.Duration(rng.ExpFloat64()*float64(b.kind.StallEvery)), func() {
		b.stall(time.Duration(float64(b.kind.StallFor) * 2 * rng.Float64()))
		b.scheduleStalls(rng)
	})
}

// loadSample is a box's measurement of its own load.
type loadSample struct {
	at     time.Duration
	values []float32
}

// sampleLoad measures the load now and at each report interval from then on.
func (b *box) sampleLoad() {
	rep := b.r.Report
	if rep == nil {
		return
	}
	noise := func() float64 { return 1 + rep.Noise*b.r.reportRand.NormFloat64() }
	values := make([]float32, len(rep.Fields))
	for i, field := range rep.Fields {
		x := 0.0
		switch field {
		case "free slots":
			x = float64(max(b.kind.Slots-b.used, 0))
		case "queue":
			x = float64(len(b.waiting))
		case "latency_ms":
			x = b.meanRuntime * 1000
		case "eps":
			x = b.errorRate()
		case "util":
			x = min(1, float64(b.used)/float64(b.kind.Cores))
		}
		values[i] = float32(max(0, x*noise()))
	}
	if b.samples = append(b.samples, loadSample{b.r.now, values}); len(b.samples) > 8 {
		b.samples = b.samples[1:]
	}
	b.r.after(rep.Interval, b.sampleLoad)
}

// errorRate returns the recent errors per second. It decays with a half-life of about seven seconds.
func (b *box) errorRate() float64 {
	return b.errorLevel * math.Exp(-(b.r.now-b.lastErrorAt).Seconds()/10)
}

// report returns the newest sample that is at least as old as the report delay.
func (b *box) report() []float32 {
	if b.r.Report == nil {
		return nil
	}
	for i := len(b.samples) - 1; i >= 0; i-- {
		if b.samples[i].at <= b.r.now-b.r.Report.Delay {
			return b.samples[i].values
		}
	}
	return nil
}
