package sim

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"liftgauge/balance"
)

// attempt is a job at a box, or on the way there or back.
type attempt struct {
	d     *dispatcher
	job   *job
	n     int
	box   *box
	life  int // of the box when it came there
	came  time.Duration
	left  float64
	work  float64 // in all
	slots int
	runs  bool
	begun bool
	gone  bool // given up, ended, or forgotten by its dispatcher
	done  bool // its dispatcher has its outcome
}

// box is a box under way. Jobs that run share its cores: each has the speed of a core, or an equal part where there are more
// jobs than cores, and what crowding leaves of it.
type box struct {
	Box
	r       *run
	kind    Kind
	id      balance.WorkerID
	phase   balance.State
	up      bool // its process is there
	silent  bool // it is, or is not, but says nothing
	life    int  // counts restarts
	since   time.Duration
	cold    bool // since its start it may still be
	running []*attempt
	waiting []*attempt
	moved   time.Duration // until when the work of those that run is taken off
	plan    int           // the completion that is planned now; older ones are void
	busy    float64       // core-seconds of work, as a share of all cores
	recent  []sent        // to a cold box, within FallTime
	used    int           // slots of those that run
	stalled int           // what keeps it standing still now
	looks   []look        // its last reports
	service float64       // recent running time, seconds
	errs    float64       // recent errors a second
	erredAt time.Duration
	conns   int // open, in use or idle
	result  *BoxResult

	probes, connects perSecond
}

type sent struct {
	at   time.Duration
	work float64
	told bool // by a dispatcher that knew of the start
}

// warmth is the share of its speed that a box has.
func (b *box) warmth(now time.Duration) float64 {
	rules := b.r.Rules
	within, from := cmp.Or(b.kind.WarmUpTime, rules.WarmWithin), cmp.Or(b.kind.ColdSpeed, rules.StartCapacity)
	if !b.cold || within <= 0 {
		return 1
	}
	age := float64(now-b.since) / float64(within)
	if age >= 1 {
		b.cold = false
		return 1
	}
	return from + (1-from)*age
}

// rate is the speed of each job that runs.
func (b *box) rate() float64 {
	n := float64(b.used)
	if n == 0 || b.stalled > 0 {
		return 0
	}
	cores := float64(b.kind.Cores)
	rate := b.Speed * b.warmth(b.r.now) * b.r.slow
	if n > cores {
		rate *= cores / n / (1 + b.kind.Crowding*(n-cores)/cores)
	}
	return rate
}

// advance takes off the work that was done since the last time.
func (b *box) advance() {
	dt := (b.r.now - b.moved).Seconds()
	b.moved = b.r.now
	if dt <= 0 || len(b.running) == 0 {
		return
	}
	rate := b.rate()
	for _, a := range b.running {
		a.left -= rate * dt
	}
	b.busy += min(float64(b.used), float64(b.kind.Cores)) * dt
	b.r.result.zone(b.r.now, b.Station).Running += float64(len(b.running)) * dt
}

// waitSeen is the wait that Zones counts: a job that waits as long is late if it has no work to speak of.
const waitSeen = 200 * time.Millisecond

const coldStep = 100 * time.Millisecond // how often a cold box's speed is looked at

// replan plans the next completion.
func (b *box) replan() {
	b.plan++
	if len(b.running) == 0 || b.stalled > 0 {
		return
	}
	least := math.Inf(1)
	for _, a := range b.running {
		least = min(least, a.left)
	}
	after := time.Duration(math.Ceil(max(least, 0) / b.rate() * float64(time.Second)))
	if b.cold {
		after = min(after, coldStep)
	}
	plan := b.plan
	b.r.after(after, func() {
		if b.plan == plan {
			b.step()
		}
	})
}

// step ends what is done and lets in what waits.
func (b *box) step() {
	b.advance()
	if b.stalled > 0 {
		return
	}
	kept := b.running[:0]
	var ended []*attempt
	for _, a := range b.running {
		if a.left <= 1e-9 {
			ended = append(ended, a)
		} else {
			kept = append(kept, a)
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
	for _, a := range ended {
		a.runs = false
		b.used -= a.slots
		b.result.Served++
		b.service += (a.work/b.Speed/b.warmth(b.r.now) - b.service) * 0.1
		status := balance.OK
		if b.ErrorShare > 0 && b.r.errors.Float64() < b.ErrorShare {
			status = balance.Errored
			b.errs, b.erredAt = b.erring()+0.1, b.r.now
		}
		if b.r.unheard > 0 && b.r.errors.Float64() < b.r.unheard {
			continue // its dispatcher waits until it gives up
		}
		if a.gone { // it was withdrawn and ran on
			b.result.Wasted += a.work
		}
		b.ends(a, status)
	}
	for len(b.waiting) > 0 && b.fits(b.waiting[0]) {
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.begin(a)
	}
	b.replan()
}

// waited counts an attempt that leaves the queue, or never was in it, by when it came.
func (b *box) waited(a *attempt) {
	if b.r.now-a.came > waitSeen {
		b.r.result.zone(a.came, b.Station).Waited++
	}
}

// begin runs an attempt.
func (b *box) begin(a *attempt) {
	a.runs, a.begun = true, true
	b.running = append(b.running, a)
	b.used += a.slots
	b.waited(a)
	b.r.began(a)
	b.progress(a)
	if b.r.NoStartReports {
		return
	}
	b.tell(a, func() {
		if !a.done && !a.d.dead {
			a.d.policy.Started(a.d.clock(), a.job.id, a.n)
		}
	})
}

// tell sends a word back to the dispatcher. A word that is lost on a cut way is said again until the way is there.
func (b *box) tell(a *attempt, word func()) {
	life := b.life
	d, ok := b.r.way(b.Station, a.d.station)
	if b.silent || !ok {
		b.r.after(coldStep, func() {
			if b.life == life && b.up {
				b.tell(a, word)
			}
		})
		return
	}
	b.r.after(d, word)
}

// take is an attempt whose last byte has come.
func (b *box) take(a *attempt) {
	if a.gone {
		return
	}
	a.life, a.came = b.life, b.r.now
	b.advance()
	b.result.Sent++
	b.r.result.zone(b.r.now, b.Station).Sent++
	if b.overrun(a) {
		b.r.result.Falls++
		b.result.Falls++
		b.die(false, b.r.Rules.RestartAfter)
		return
	}
	if b.stalled == 0 && (b.phase != balance.Ready || !b.fits(a) && len(b.waiting) >= b.kind.Queue) {
		a.gone = true
		b.result.Turned++
		b.ends(a, balance.Full)
		return
	}
	if b.stalled == 0 && len(b.waiting) == 0 && b.fits(a) {
		b.begin(a)
		b.replan()
		return
	}
	b.waiting = append(b.waiting, a)
	b.result.Longest = max(b.result.Longest, len(b.waiting))
}

// overrun says whether a cold box has been sent more than it can bear.
func (b *box) overrun(a *attempt) bool {
	rules := b.r.Rules
	c := b.warmth(b.r.now)
	if !b.cold || rules.OverloadFactor <= 0 || rules.OverloadTime <= 0 {
		return false
	}
	sum, told, kept := 0.0, 0.0, b.recent[:0]
	// A job takes no more of the time in question than a core can give it then.
	work := min(a.job.work, b.Speed*rules.OverloadTime.Seconds())
	for _, s := range append(b.recent, sent{b.r.now, work, a.d.knows(b)}) {
		if b.r.now-s.at < rules.OverloadTime {
			kept = append(kept, s)
			if sum += s.work; s.told {
				told += s.work
			}
		}
	}
	b.recent = kept
	bears := rules.OverloadFactor * c * b.Speed * float64(b.kind.Cores) * rules.OverloadTime.Seconds()
	b.r.result.Margin = min(b.r.result.Margin, 1-sum/bears)
	if sum > bears && told*3 >= sum*2 {
		b.r.result.Breaches++
	}
	return sum > bears
}

// remove takes an attempt out. False: it is not here any more.
func (b *box) remove(a *attempt) bool {
	for _, list := range []*[]*attempt{&b.running, &b.waiting} {
		for i, x := range *list {
			if x == a && a.runs && b.kind.IgnoresCancel {
				return true
			}
			if x == a {
				b.advance()
				*list = append((*list)[:i], (*list)[i+1:]...)
				if !a.runs {
					b.waited(a)
				} else {
					b.used -= a.slots
					b.result.Wasted += a.work - max(a.left, 0)
				}
				b.step()
				return true
			}
		}
	}
	return false
}

// die ends the process. Loud: connections are reset. It comes back cold after a time, unless that is 0.
func (b *box) die(silent bool, back time.Duration) {
	if !b.up {
		return
	}
	b.advance()
	all := append(append([]*attempt(nil), b.running...), b.waiting...)
	b.running, b.waiting, b.recent, b.conns, b.used, b.stalled = nil, nil, nil, 0, 0, 0
	if !silent {
		for _, d := range b.r.dispatchers {
			d.idle[b.id-1] = 0
		}
	}
	b.plan++
	b.life++
	b.up, b.silent = false, silent
	for _, a := range all {
		if a.runs {
			b.result.Wasted += a.work - max(a.left, 0)
		}
		if a.runs = false; !silent {
			if d, ok := b.r.way(b.Station, a.d.station); ok {
				b.r.after(d, func() { a.d.outcome(a, balance.Reset) })
			}
		}
	}
	b.list(balance.Removed)
	if back > 0 {
		b.r.after(back, b.restart)
	}
}

// restart starts the process, cold.
func (b *box) restart() {
	if b.up {
		return
	}
	b.up, b.silent, b.cold, b.since, b.moved = true, false, true, b.r.now, b.r.now
	b.life++
	b.list(balance.Ready)
}

// hush has nothing pass to and from the box for a time; what it runs goes on.
func (b *box) hush(d time.Duration) {
	if !b.up || b.silent {
		return
	}
	b.silent = true
	life := b.life
	b.r.after(d, func() {
		if b.life == life {
			b.silent = false
		}
	})
}

// drain has the box finish what it has, and then restart.
func (b *box) drain(back time.Duration) {
	if !b.up || b.phase == balance.Draining {
		return
	}
	b.list(balance.Draining)
	life := b.life
	var wait func()
	wait = func() {
		if b.life != life {
			return
		}
		if len(b.running)+len(b.waiting) > 0 {
			b.r.after(coldStep, wait)
			return
		}
		b.die(false, back)
	}
	b.r.after(2*b.r.Lag+time.Second, wait)
}

// list has discovery tell of a change.
func (b *box) list(phase balance.State) {
	if b.phase = phase; phase != balance.Draining {
		b.phase = balance.Ready // whether it takes jobs is for the process; a dead one takes none
	}
	w, lag := b.listed(phase), b.r.Lag
	if b.silent && phase == balance.Removed {
		lag = cmp.Or(b.r.UnresponsiveLag, lag)
	}
	b.r.after(time.Duration(b.r.late*float64(lag)), func() {
		for _, d := range b.r.dispatchers {
			d.told(w)
		}
	})
}

// listed is how discovery lists the box.
func (b *box) listed(phase balance.State) balance.Worker {
	w := balance.Worker{ID: b.id, Zone: b.Station, Kind: b.Box.Kind, Cell: b.Cell, State: phase, Weight: b.kind.Speed * float64(b.kind.Cores)}
	if b.since > 0 {
		w.Up = epoch + b.since
	}
	return w
}

// fits says whether there are slots for an attempt now.
func (b *box) fits(a *attempt) bool { return b.used+a.slots <= max(b.kind.Slots, a.slots) }

// ends tells a dispatcher how an attempt ended, with what the box reports of its load now.
func (b *box) ends(a *attempt, status balance.Status) {
	report := b.report()
	b.tell(a, func() { a.d.outcomeWith(a, status, report) })
}

// progress tells every so often how far an attempt has come that runs.
func (b *box) progress(a *attempt) {
	if b.r.Progress <= 0 {
		return
	}
	life := b.life
	b.r.after(b.r.Progress, func() {
		if b.life != life || !a.runs || a.gone {
			return
		}
		if b.stalled == 0 {
			b.advance()
			share := 1 - max(a.left, 0)/max(a.work, 1e-9)
			b.tell(a, func() {
				if !a.done && !a.d.dead {
					a.d.policy.Progress(a.d.clock(), a.job.id, a.n, share)
				}
			})
		}
		b.progress(a)
	})
}

// stall has the box stand still for a time. What came meanwhile it deals with afterwards.
func (b *box) stall(d time.Duration) {
	if !b.up || d <= 0 {
		return
	}
	b.advance()
	b.stalled++
	life := b.life
	b.r.after(d, func() {
		if b.life != life {
			return
		}
		b.advance()
		if b.stalled--; b.stalled == 0 {
			b.step()
		}
	})
}

// stalls has the box stand still now and then.
func (b *box) stalls(rng *rand.Rand) {
	if b.kind.StallEvery <= 0 || b.kind.StallFor <= 0 {
		return
	}
	b.r.after(time.Duration(rng.ExpFloat64()*float64(b.kind.StallEvery)), func() {
		b.stall(time.Duration(float64(b.kind.StallFor) * 2 * rng.Float64()))
		b.stalls(rng)
	})
}

// look is what a box saw of its own load.
type look struct {
	at     time.Duration
	values []float32
}

// look has the box look at its load now and from now on.
func (b *box) look() {
	rep := b.r.Report
	if rep == nil {
		return
	}
	noise := func() float64 { return 1 + rep.Noise*b.r.reports.NormFloat64() }
	values := make([]float32, len(rep.Fields))
	for i, field := range rep.Fields {
		x := 0.0
		switch field {
		case "free slots":
			x = float64(max(b.kind.Slots-b.used, 0))
		case "queue":
			x = float64(len(b.waiting))
		case "latency_ms":
			x = b.service * 1000
		case "eps":
			x = b.erring()
		case "util":
			x = min(1, float64(b.used)/float64(b.kind.Cores))
		}
		values[i] = float32(max(0, x*noise()))
	}
	if b.looks = append(b.looks, look{b.r.now, values}); len(b.looks) > 8 {
		b.looks = b.looks[1:]
	}
	b.r.after(rep.Interval, b.look)
}

// erring is how many errors a second there were of late: half after some seven seconds.
func (b *box) erring() float64 {
	return b.errs * math.Exp(-(b.r.now-b.erredAt).Seconds()/10)
}

// report is the newest look that can be seen.
func (b *box) report() []float32 {
	if b.r.Report == nil {
		return nil
	}
	for i := len(b.looks) - 1; i >= 0; i-- {
		if b.looks[i].at <= b.r.now-b.r.Report.Delay {
			return b.looks[i].values
		}
	}
	return nil
}
