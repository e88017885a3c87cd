package engine

import (
	"context"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/timerwheel"
)

// Past is the history of a message, which one process of the dispatcher sends to another that takes the message over. Times are
// ages: the processes have no common clock.
type Past struct {
	Job      balance.Job // without an id; Left as on the message's arrival
	Ago      time.Duration
	Attempts []PastAttempt
}

// PastAttempt is one attempt of such a message. An outstanding one was accepted by its host, which has yet to report its outcome.
type PastAttempt struct {
	Host   string
	Try    balance.AttemptRecord
	Status balance.Status // of an ended one
	Back   bool           // the host returned it unstarted by a report
	Ended  time.Duration  // ago, of an ended one
}

// Resumer is a Backend that can continue an attempt that its host has accepted from another process.
type Resumer interface {
	// Resume does what Send does once the host has accepted the attempt.
	Resume(ctx context.Context, a *Attempt)
}

// MarkAccepted notes that the host has accepted the attempt: its outcome comes by a report, to any process of the dispatcher.
func (a *Attempt) MarkAccepted() { a.accepted.Store(true) }

// Release removes a message for another process to take over, and returns its past. Until CompleteRelease hosts are asked to repeat
// their reports on it. False: it is answered, or it has an attempt that only this process can continue: on its way to the host, being
// withdrawn, or carried by a backend with connections of its own.
func (e *Engine) Release(ctx context.Context, m *Message) (past Past, ok bool) {
	err := e.runPriority(ctx, func(now time.Duration) {
		msg := e.byKey[m.Key]
		if msg == nil || msg.Message != m || msg.answered || msg.OnEvent != nil {
			return
		}
		for _, a := range msg.attempts {
			if a.Host.Backend != nil || !a.done && (!a.accepted.Load() || a.withdrawn.Load()) {
				return
			}
		}
		records, released := e.dispatcher.Release(now, msg.jobID)
		if !e.Check.Check(!released || len(records) == len(msg.attempts), "scheduler and engine differ in attempts", "message", m.Key) || !released {
			return
		}
		past = Past{Job: m.Job, Ago: now - m.Arrived}
		for i, a := range msg.attempts {
			t := PastAttempt{Host: a.Host.Name, Try: records[i], Status: a.status, Back: a.returned}
			if a.done {
				t.Ended = now - a.endedAt
			} else {
				a.done = true
				a.cancel(ErrHandedOver)
				e.wheel.Stop(a.timer)
			}
			past.Attempts = append(past.Attempts, t)
		}
		for _, t := range msg.timers {
			e.wheel.Stop(t)
		}
		delete(e.jobs, msg.jobID)
		delete(e.byKey, m.Key)
		e.moving[m.Key] = msg
		ok = true
	})
	return past, ok && err == nil
}

// CompleteRelease reports whether the other process has taken a released message over. If it has not, this one continues with it.
func (e *Engine) CompleteRelease(m *Message, past Past, taken bool) {
	e.enqueue(func(now time.Duration) {
		if e.moving[m.Key] == nil {
			return
		}
		delete(e.moving, m.Key)
		switch {
		case !taken:
			e.adopt(now, m, past)
		case m.OnClosed != nil:
			m.OnClosed()
		}
	})
}

// Adopt takes over a message with its past from another process. False: it is open here already, or the backend cannot resume
// attempts; nothing has changed then.
func (e *Engine) Adopt(ctx context.Context, m *Message, past Past) (ok bool) {
	err := e.runPriority(ctx, func(now time.Duration) {
		if _, can := e.Backend.(Resumer); can && e.byKey[m.Key] == nil && e.moving[m.Key] == nil && len(past.Attempts) <= e.Settings.MaxAttempts {
			m.Job, m.Arrived = past.Job, now-past.Ago
			e.counts.Messages++
			e.adopt(now, m, past)
			ok = true
		}
	})
	return ok && err == nil
}

// adopt opens a message that has a past.
func (e *Engine) adopt(now time.Duration, m *Message, past Past) {
	e.lastJobID++
	msg := &openMessage{Message: m, jobID: e.lastJobID, deadline: m.Arrived + past.Job.Left}
	e.jobs[msg.jobID], e.byKey[m.Key] = msg, msg
	msg.timers = append(make([]timerwheel.Timer[timer], 0, 4), e.wheel.Add(max(msg.deadline+DeadlineGrace, now), timer{open: msg}))
	records := make([]balance.AttemptRecord, 0, len(past.Attempts))
	for i, t := range past.Attempts {
		t.Try.Worker.ID = e.workerIDs.id(t.Host)
		h := e.hosts[t.Try.Worker.ID]
		if h == nil { // not on this process's list: used for this attempt only
			h = &host{Host: Host{Name: t.Host, Worker: t.Try.Worker}}
			h.notReady.Store(true)
		}
		a := &Attempt{Message: m, Host: h.Host, Deadline: msg.deadline, open: msg, index: i, sentAt: now - t.Try.Sent, done: !t.Try.Out, returned: t.Back,
			host: h, status: t.Status}
		a.MaySend = func() bool { return false } // it was sent already
		if t.Try.Started {
			a.startedAt = now - t.Try.Began
		}
		if a.done {
			a.endedAt = now - t.Ended
			msg.mayHaveRun = msg.mayHaveRun || !t.Status.NotRun()
			a.cancel = func(error) {}
		} else {
			msg.outstanding++
			a.accepted.Store(true)
			var ctx context.Context
			ctx, a.cancel = context.WithCancelCause(e.ctx)
			e.Backend.(Resumer).Resume(ctx, a)
		}
		msg.attempts = append(msg.attempts, a)
		records = append(records, t.Try)
	}
	job := past.Job
	job.ID = msg.jobID
	e.dispatcher.Adopt(now, job, now-m.Arrived, records)
	e.Log.Debug("adopted", "message", m.Key, "attempts", len(records), "out", msg.outstanding, "age", now-m.Arrived)
}

// Learned returns the scheduler's learned estimates.
func (e *Engine) Learned(ctx context.Context) (l *balance.Learned, err error) {
	err = e.runPriority(ctx, func(now time.Duration) { l = e.dispatcher.Learned(now) })
	return l, err
}

// SetDispatchers sets this dispatcher's number, how many dispatchers there are, and how many of them are in its zone; 0 of 0: as in
// the settings.
func (e *Engine) SetDispatchers(number, dispatchers, inZone int) {
	e.enqueue(func(now time.Duration) {
		if dispatchers <= 0 {
			number, dispatchers = e.Settings.Number, e.Settings.Dispatchers
			inZone = dispatchers / max(e.Settings.Zones, 1)
		}
		e.dispatcher.SetDispatchers(now, number, dispatchers, inZone)
	})
}
