package engine

import (
	"context"
	"log/slog"
	"time"

	"liftgauge/balance"
)

// actions carries out what the module decides. Its methods are called from within the module, so what answers it goes
// to later.
type actions struct{ o *Engine }

var _ balance.Actions = actions{}

// Send starts the message's next attempt.
func (c actions) Send(job balance.JobID, worker balance.WorkerID, timeout time.Duration) {
	o := c.o
	p, h := o.jobs[job], o.hosts[worker]
	if !o.Check.Check(p != nil && h != nil, "send of an unknown message or to an unknown host", "job", job, "worker", worker) {
		return
	}
	end := p.end
	if now := o.Now(); timeout > 0 {
		end = min(end, now+timeout)
	}
	a := &Attempt{Message: p.Message, Host: h.Host, Deadline: end, open: p, number: len(p.attempts), sent: o.Now(), host: h}
	a.SendDeadline = o.until(p)
	a.MaySend = func() bool { return a.clear(o.Now()) }
	ctx, stop := context.WithCancelCause(o.ctx)
	a.stop = stop
	p.attempts = append(p.attempts, a)
	p.out++
	o.counts.Attempts++
	if !o.Check.Check(!p.answered && a.number < o.Settings.MaxAttempts && !c.busy(p, h, a), "send past what the rules allow", "message", p.Key) {
		o.later = append(o.later, func(now time.Duration) { o.ended(now, a, balance.NotSent, nil) })
		return
	}
	if end < p.end {
		a.timer = o.wheel.Add(end, timer{attempt: a})
	}
	if o.Log.Enabled(o.ctx, slog.LevelDebug) {
		w := a.Host.Worker
		fields := []any{"message", p.Key, "host", a.Host.Name, "kind", w.Kind, "zone", w.Zone, "cell", w.Cell, "waited", a.sent - p.Arrived}
		if w.Up > 0 { // how long ago it started, where the list tells
			fields = append(fields, "age", a.sent-w.Up)
		}
		o.Log.Debug("attempt", fields...)
	}
	o.south(a.Host).Send(ctx, a)
}

// until is when nothing more of a message may be sent: the window of a keyed one counts from its first attempt that may have run. The
// module decides by the same; but from its decision to the first byte a connection may have to come up.
func (o *Engine) until(p *open) time.Duration {
	class := p.Job.Class
	if class < 0 || class >= len(o.Settings.Classes) || o.Settings.Classes[class].Effect != balance.Keyed {
		return 0
	}
	for _, b := range p.attempts {
		if !b.over || !b.status.NotRun() {
			return b.sent + o.Settings.Classes[class].Window - 2*o.Settings.Tick
		}
	}
	return 0
}

// busy: one host gets one attempt of a message at a time.
func (c actions) busy(p *open, h *host, but *Attempt) bool {
	for _, a := range p.attempts {
		if a != but && !a.over && a.host == h {
			return true
		}
	}
	return false
}

// Refuse gives a back-off answer.
func (c actions) Refuse(job balance.JobID, wait time.Duration) {
	if p := c.o.jobs[job]; p != nil {
		c.o.answer(p, Answer{Kind: BackOff, RetryAfter: wait})
	}
}

// Fail answers that the message failed.
func (c actions) Fail(job balance.JobID) {
	if p := c.o.jobs[job]; p != nil {
		c.o.answer(p, Answer{Kind: Failed})
	}
}

// Cancel withdraws an attempt. Its outcome is what comes first: the host's word or the end of the withdrawal.
func (c actions) Cancel(job balance.JobID, attempt int) {
	p := c.o.jobs[job]
	if p == nil || !c.o.Check.Check(attempt >= 0 && attempt < len(p.attempts), "withdrawal of an unknown attempt") {
		return
	}
	if a := p.attempts[attempt]; !a.over {
		a.barred.Store(true)
		a.stop(ErrWithdrawn)
	}
}

// Probe asks a host for its health.
func (c actions) Probe(worker balance.WorkerID) {
	if h := c.o.hosts[worker]; c.o.Check.Check(h != nil, "probe of an unknown host", "worker", worker) {
		c.o.south(h.Host).Probe(h.Host)
	}
}

// Timer keeps a token on the wheel.
func (c actions) Timer(after time.Duration, token uint64) {
	t := c.o.wheel.Add(c.o.Now()+after, timer{token: token})
	if id, ok := balance.JobOf(token); ok {
		if p := c.o.jobs[id]; p != nil {
			p.timers = append(p.timers, t)
		}
	}
}

// Watch asks for the inventory's changes.
func (c actions) Watch() { c.o.Inventory.Watch() }

// Log reports a line of the module.
func (c actions) Log(line string) { c.o.Log.Info("module", "line", line) }
