package engine

import (
	"context"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/timerwheel"
)

// Past is what has become of a message so far, as one process of the dispatcher tells it another that takes it over. Times are ages:
// no two processes have one clock.
type Past struct {
	Job      balance.Job // without an id; Left as it was when the message came
	Ago      time.Duration
	Attempts []PastAttempt
}

// PastAttempt is one attempt of such a message. One that is out was taken by its host, whose word on it is yet to come.
type PastAttempt struct {
	Host   string
	Try    balance.AttemptRecord
	Status balance.Status // of one that is over
	Back   bool           // the host handed it back by a report
	Ended  time.Duration  // ago, of one that is over
}

// Resumer is a South that can go on with an attempt that its host had taken from another process.
type Resumer interface {
	// Resume does what Send does once the host has taken the attempt.
	Resume(ctx context.Context, a *Attempt)
}

// Taken says that the host has answered that it took the attempt: what is to come of it comes by a report, to whichever process.
func (a *Attempt) MarkAccepted() { a.accepted.Store(true) }

// Release lets go of a message for another process to take over, and returns its past. From here on until Moved says how that went
// hosts are told to say again what they have to say of it. False: it has its answer, or an attempt is at a point at which only this
// process can go on: on its way to the host, being withdrawn, or carried by a side that has its own connections to its hosts.
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
		if !e.Check.Check(!released || len(records) == len(msg.attempts), "module and owner differ in attempts", "message", m.Key) || !released {
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

// Moved says how a release went on: whether the other process has taken the message over. If it has not this one goes on with it.
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

// Adopt takes over a message with its past from another process. False: it is open here already, or its hosts could not be spoken to;
// nothing has changed then.
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

// adopt makes a message with a past one of this owner's.
func (e *Engine) adopt(now time.Duration, m *Message, past Past) {
	e.lastJobID++
	msg := &openMessage{Message: m, jobID: e.lastJobID, deadline: m.Arrived + past.Job.Left}
	e.jobs[msg.jobID], e.byKey[m.Key] = msg, msg
	msg.timers = append(make([]timerwheel.Timer[timer], 0, 4), e.wheel.Add(max(msg.deadline+DeadlineGrace, now), timer{open: msg}))
	records := make([]balance.AttemptRecord, 0, len(past.Attempts))
	for i, t := range past.Attempts {
		t.Try.Worker.ID = e.workerIDs.id(t.Host)
		h := e.hosts[t.Try.Worker.ID]
		if h == nil { // not on this process's list: there for this attempt alone
			h = &host{Host: Host{Name: t.Host, Worker: t.Try.Worker}}
			h.notReady.Store(true)
		}
		a := &Attempt{Message: m, Host: h.Host, Deadline: msg.deadline, open: msg, index: i, sentAt: now - t.Try.Sent, done: !t.Try.Out, returned: t.Back,
			host: h, status: t.Status}
		a.MaySend = func() bool { return false } // it was sent
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

// Learned returns what the module has learnt.
func (e *Engine) Learned(ctx context.Context) (l *balance.Learned, err error) {
	err = e.runPriority(ctx, func(now time.Duration) { l = e.dispatcher.Learned(now) })
	return l, err
}

// Among says which of how many dispatchers this one is, and how many of them are in its zone, from now on; 0 of 0: as the settings say.
func (e *Engine) SetDispatchers(number, dispatchers, inZone int) {
	e.enqueue(func(now time.Duration) {
		if dispatchers <= 0 {
			number, dispatchers = e.Settings.Number, e.Settings.Dispatchers
			inZone = dispatchers / max(e.Settings.Zones, 1)
		}
		e.dispatcher.SetDispatchers(now, number, dispatchers, inZone)
	})
}
