package balance

// What the decisions in balance.go rest on: estimates of workers, ways and jobs, and the order of what waits.

import (
	"cmp"
	"slices"
	"time"
)

// lost is the share as it counts now: half after ten seconds.
func (y *way) lost(now time.Duration) float64 { return y.share / (1 + (now-y.at).Seconds()/10) }

func (y *way) saw(now time.Duration, lost bool, gain, most float64) {
	y.share, y.at = y.lost(now)*(1-gain), now
	if lost {
		y.share = min(most, y.share+gain)
	}
}

// met notes whether a job met a queue, here or elsewhere.
func (d *Dispatcher) met(now time.Duration, w *worker, queue bool) {
	zone := &d.queues[0]
	if w.Zone != d.s.Zone {
		zone = &d.queues[1]
	}
	zone.saw(now, queue, 0.15, 1)
}

// doubtful: a job of this dispatcher waits there (in thin traffic: or did), or some were lost and this one
// must not be. It comes after all others: one that is silent holds few jobs, and serves when needed.
func (w *worker) doubtful(now time.Duration, r *request) bool {
	return w.waits > 0 || now < w.fullTill || r.c.Effect == Unsafe && w.errs.lost(now) > 0.05
}

// around draws from around a time: dispatchers that saw the same thing must not all act at one moment.
func (d *Dispatcher) around(t time.Duration) time.Duration {
	return seconds(t.Seconds() * (0.75 + d.rng.Float64()/2))
}

// recent is what is left of a worker's failures: half after ten seconds.
func (w *worker) recent(now time.Duration) float64 {
	return w.fails / (1 + (now-w.failedAt).Seconds()/10)
}

// take moves the slots that own attempts hold at a worker, and lag behind them, by the age of a report: it is
// made a few times a second and comes late, half a second in all.
func (d *Dispatcher) take(now time.Duration, w *worker, n float64) {
	dt := (now - w.lagAt).Seconds()
	w.lag += (w.own - w.lag) * dt / (dt + 0.5)
	w.own, w.lagAt = max(0, w.own+n), now
}

// close marks a job that has its final answer and withdraws what is still out.
func (d *Dispatcher) close(r *request) {
	for i := range r.tries {
		if r.tries[i].out && !r.done && d.s.CanCancel {
			d.do.Cancel(r.ID, i)
		}
	}
	d.unhold(r)
	r.done = true
}

// pace is the running time at a worker over the usual one, forgotten in some 20 s: a slow one gets a trial.
func pace(now time.Duration, w *worker) float64 {
	return 1 + (w.slow-1)/(1+(now-w.slowAt).Seconds()/20)
}

// hold keeps the held jobs in the order in which they go: most worth first, among equals the newest.
func (d *Dispatcher) hold(r *request) {
	if r.held {
		return
	}
	r.held = true
	d.held++
	lane := &d.lanes[r.c.Lane]
	at, _ := slices.BinarySearchFunc(*lane, r, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(b.came, a.came), cmp.Compare(b.ID, a.ID))
	})
	*lane = slices.Insert(*lane, at, r)
	d.ticks()
}

// assume sets what jobs take until that is learnt, and what follows from it.
func (d *Dispatcher) assume() {
	// A job of a class outside the settings is handled with the most care: as unsafe.
	d.s.Classes = append(slices.Clone(d.s.Classes), Class{TargetLatency: time.Second, Value: 1, Kind: -1})
	d.tick = 100 * time.Millisecond
	for _, c := range d.s.Classes {
		d.unit = append(d.unit, max(c.TargetLatency, time.Millisecond).Seconds())
		d.tick = min(d.tick, c.TargetLatency/10)
		d.mean = max(d.mean, c.TargetLatency.Seconds(), 0.001)
	}
	d.tick = max(d.tick, d.s.Tick)
	d.patience = d.s.ConnectTimeout / 6
	share := d.s.Dispatchers // of those that mostly use the same workers
	if d.s.CrossZoneFee > 0 {
		share /= max(d.s.Zones, 1)
	}
	d.crowd(share)
}

// crowd sets what follows from how many mostly use the same workers: under half a job each of all that a
// worker takes is thin.
func (d *Dispatcher) crowd(share int) {
	if d.thin, d.bias = share > 2*(threshold+1), 1; d.thin {
		d.bias = 2
	}
}
