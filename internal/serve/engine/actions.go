package engine

import (
	"context"
	"log/slog"
	"time"

	"liftgauge/balance"
)

// actions carries out the scheduler's decisions. Its methods are called from within the scheduler, so they defer the events
// that call it back.
type actions struct{ engine *Engine }

var _ balance.Actions = actions{}

// Send starts the message's next attempt.
func (c actions) Send(job balance.JobID, worker balance.WorkerID, timeout time.Duration) {
	e := c.engine
	msg, h := e.jobs[job], e.hosts[worker]
	if !e.Check.Check(msg != nil && h != nil, "send of an unknown message or to an unknown host", "job", job, "worker", worker) {
		return
	}
	end := msg.deadline
	if now := e.Now(); timeout > 0 {
		end = min(end, now+timeout)
	}
	a := &Attempt{Message: msg.Message, Host: h.Host, Deadline: end, open: msg, index: len(msg.attempts), sentAt: e.Now(), host: h}
	a.SendDeadline = e.sendDeadline(msg)
	a.MaySend = func() bool { return a.maySend(e.Now()) }
	ctx, stop := context.WithCancelCause(e.ctx)
	a.cancel = stop
	msg.attempts = append(msg.attempts, a)
	msg.outstanding++
	e.counts.Attempts++
	if !e.Check.Check(!msg.answered && a.index < e.Settings.MaxAttempts && !c.hasAttemptAt(msg, h, a), "send past what the rules allow", "message", msg.Key) {
		e.deferred = append(e.deferred, func(now time.Duration) { e.endAttempt(now, a, balance.NotSent, nil) })
		return
	}
	if end < msg.deadline {
		a.timer = e.wheel.Add(end, timer{attempt: a})
	}
	if e.Log.Enabled(e.ctx, slog.LevelDebug) {
		w := a.Host.Worker
		fields := []any{"message", msg.Key, "host", a.Host.Name, "kind", w.Kind, "zone", w.Zone, "cell", w.Cell, "waited", a.sentAt - msg.Arrived}
		if w.Up > 0 { // how long ago the host started, if listed
			fields = append(fields, "age", a.sentAt-w.Up)
		}
		e.Log.Debug("attempt", fields...)
	}
	e.backendFor(a.Host).Send(ctx, a)
}

// sendDeadline is when nothing more of a message may be sent: the window of a keyed one starts at its first attempt that may have run.
// The scheduler applies the same rule, but a connection may have to be opened between its decision and the first byte.
func (e *Engine) sendDeadline(msg *openMessage) time.Duration {
	class := msg.Job.Class
	if class < 0 || class >= len(e.Settings.Classes) || e.Settings.Classes[class].Effect != balance.Keyed {
		return 0
	}
	for _, b := range msg.attempts {
		if !b.done || !b.status.NotRun() {
			return b.sentAt + e.Settings.Classes[class].Window - 2*e.Settings.Tick
		}
	}
	return 0
}

// hasAttemptAt reports whether a host has another outstanding attempt of the message: there may be one at a time.
func (c actions) hasAttemptAt(msg *openMessage, h *host, but *Attempt) bool {
	for _, a := range msg.attempts {
		if a != but && !a.done && a.host == h {
			return true
		}
	}
	return false
}

// Refuse gives a back-off answer.
func (c actions) Refuse(job balance.JobID, wait time.Duration) {
	if msg := c.engine.jobs[job]; msg != nil {
		c.engine.answer(msg, Answer{Kind: BackOff, RetryAfter: wait})
	}
}

// Fail answers that the message failed.
func (c actions) Fail(job balance.JobID) {
	if msg := c.engine.jobs[job]; msg != nil {
		c.engine.answer(msg, Answer{Kind: Failed})
	}
}

// Cancel withdraws an attempt. Its outcome is what comes first: the host's report or the end of the withdrawal.
func (c actions) Cancel(job balance.JobID, attempt int) {
	msg := c.engine.jobs[job]
	if msg == nil || !c.engine.Check.Check(attempt >= 0 && attempt < len(msg.attempts), "withdrawal of an unknown attempt") {
		return
	}
	if a := msg.attempts[attempt]; !a.done {
		a.withdrawn.Store(true)
		a.cancel(ErrWithdrawn)
	}
}

// Probe checks a host's health.
func (c actions) Probe(worker balance.WorkerID) {
	if h := c.engine.hosts[worker]; c.engine.Check.Check(h != nil, "probe of an unknown host", "worker", worker) {
		c.engine.backendFor(h.Host).Probe(h.Host)
	}
}

// Timer adds a token to the wheel.
func (c actions) Timer(after time.Duration, token uint64) {
	t := c.engine.wheel.Add(c.engine.Now()+after, timer{token: token})
	if id, ok := balance.JobOf(token); ok {
		if msg := c.engine.jobs[id]; msg != nil {
			msg.timers = append(msg.timers, t)
		}
	}
}

// Watch requests the inventory's changes.
func (c actions) Watch() { c.engine.Inventory.Watch() }

// Log logs a line of the scheduler.
func (c actions) Log(line string) { c.engine.Log.Info("module", "line", line) }
