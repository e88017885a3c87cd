package balance

// Estimates of workers, paths and jobs behind the decisions in balance.go, and the order of queued jobs.

import (
	"cmp"
	"slices"
	"time"
)

// current returns the decayed share: half after ten seconds.
func (r *rate) current(now time.Duration) float64 { return r.share / (1 + (now-r.at).Seconds()/10) }

func (r *rate) observe(now time.Duration, lost bool, gain, maximum float64) {
	r.share, r.at = r.current(now)*(1-gain), now
	if lost {
		r.share = min(maximum, r.share+gain)
	}
}

func (d *Dispatcher) recordQueue(now time.Duration, w *worker, queue bool) {
	zone := &d.queueRates[0]
	if w.Zone != d.cfg.Zone {
		zone = &d.queueRates[1]
	}
	zone.observe(now, queue, 0.15, 1)
}

// suspected reports whether a job of this dispatcher waits there (in sparse traffic: or lately did), or jobs
// were lost and this one must not be. Such workers come last: an unresponsive one holds few jobs.
func (w *worker) suspected(now time.Duration, r *request) bool {
	return w.overdue > 0 || now < w.queueUntil || r.rules.Effect == Unsafe && w.losses.current(now) > 0.05
}

// jitter spreads a time by a quarter: dispatchers that saw the same event must not act at the same moment.
func (d *Dispatcher) jitter(t time.Duration) time.Duration {
	return seconds(t.Seconds() * (0.75 + d.rng.Float64()/2))
}

// recent returns the decayed number of recent failures: half after ten seconds.
func (w *worker) recent(now time.Duration) float64 {
	return w.failures / (1 + (now-w.failedAt).Seconds()/10)
}

// addSlots changes the slots of own attempts at a worker. ownDelayed follows with the delay of its reports:
// half a second, as they are made a few times a second and arrive late.
func (d *Dispatcher) addSlots(now time.Duration, w *worker, n float64) {
	dt := (now - w.ownDelayedAt).Seconds()
	w.ownDelayed += (w.ownSlots - w.ownDelayed) * dt / (dt + 0.5)
	w.ownSlots, w.ownDelayedAt = max(0, w.ownSlots+n), now
}

// close marks a job that has its final answer, and cancels its active attempts.
func (d *Dispatcher) close(r *request) {
	for i := range r.attempts {
		if r.attempts[i].active && !r.answered && d.cfg.CanCancel {
			d.actions.Cancel(r.ID, i)
		}
	}
	d.dequeue(r)
	r.answered = true
}

// currentSlowdown returns the slowdown, which decays in some 20 s so that a slow worker gets another trial.
func currentSlowdown(now time.Duration, w *worker) float64 {
	return 1 + (w.slowdown-1)/(1+(now-w.slowdownAt).Seconds()/20)
}

// enqueue queues a job in its lane: highest value first, among equals the newest.
func (d *Dispatcher) enqueue(r *request) {
	if r.queued {
		return
	}
	r.queued = true
	d.queued++
	lane := &d.lanes[r.rules.Lane]
	at, _ := slices.BinarySearchFunc(*lane, r, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(b.came, a.came), cmp.Compare(b.ID, a.ID))
	})
	*lane = slices.Insert(*lane, at, r)
	d.scheduleTick()
}

// setDefaults sets running times until they are measured, and what is derived from them.
func (d *Dispatcher) setDefaults() {
	// A job of an unconfigured class is handled as unsafe, the most careful way.
	d.cfg.Classes = append(slices.Clone(d.cfg.Classes), Class{TargetLatency: time.Second, Value: 1, Kind: -1})
	d.tickInterval = 100 * time.Millisecond
	for _, c := range d.cfg.Classes {
		d.unitTime = append(d.unitTime, max(c.TargetLatency, time.Millisecond).Seconds())
		d.tickInterval = min(d.tickInterval, c.TargetLatency/10)
		d.meanTime = max(d.meanTime, c.TargetLatency.Seconds(), 0.001)
	}
	d.tickInterval = max(d.tickInterval, d.cfg.Tick)
	d.startTimeout = d.cfg.ConnectTimeout / 6
	share := d.cfg.Dispatchers // of dispatchers that mostly use the same workers
	if d.cfg.CrossZoneFee > 0 {
		share /= max(d.cfg.Zones, 1)
	}
	d.setShare(share)
}

// setShare takes how many dispatchers mostly share workers; under half a job at each worker is sparse.
func (d *Dispatcher) setShare(share int) {
	if d.sparse, d.sizeExponent = share > 2*(threshold+1), 1; d.sparse {
		d.sizeExponent = 2
	}
}
