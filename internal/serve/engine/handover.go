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
func (a *Attempt) MarkAccepted() { a.taken.Store(true) }

// Release lets go of a message for another process to take over, and returns its past. From here on until Moved says how that went
// hosts are told to say again what they have to say of it. False: it has its answer, or an attempt is at a point at which only this
// process can go on: on its way to the host, being withdrawn, or carried by a side that has its own connections to its hosts.
func (o *Engine) Release(ctx context.Context, m *Message) (past Past, ok bool) {
	err := o.ask(ctx, func(now time.Duration) {
		p := o.keys[m.Key]
		if p == nil || p.Message != m || p.answered || p.OnEvent != nil {
			return
		}
		for _, a := range p.attempts {
			if a.Host.Backend != nil || !a.over && (!a.taken.Load() || a.barred.Load()) {
				return
			}
		}
		tries, released := o.module.Release(now, p.id)
		if !o.Check.Check(!released || len(tries) == len(p.attempts), "module and owner differ in attempts", "message", m.Key) || !released {
			return
		}
		past = Past{Job: m.Job, Ago: now - m.Arrived}
		for i, a := range p.attempts {
			t := PastAttempt{Host: a.Host.Name, Try: tries[i], Status: a.status, Back: a.back}
			if a.over {
				t.Ended = now - a.ended
			} else {
				a.over = true
				a.stop(ErrHandedOver)
				o.wheel.Stop(a.timer)
			}
			past.Attempts = append(past.Attempts, t)
		}
		for _, t := range p.timers {
			o.wheel.Stop(t)
		}
		delete(o.jobs, p.id)
		delete(o.keys, m.Key)
		o.moving[m.Key] = p
		ok = true
	})
	return past, ok && err == nil
}

// Moved says how a release went on: whether the other process has taken the message over. If it has not this one goes on with it.
func (o *Engine) CompleteRelease(m *Message, past Past, taken bool) {
	o.post(func(now time.Duration) {
		if o.moving[m.Key] == nil {
			return
		}
		delete(o.moving, m.Key)
		switch {
		case !taken:
			o.adopt(now, m, past)
		case m.OnClosed != nil:
			m.OnClosed()
		}
	})
}

// Adopt takes over a message with its past from another process. False: it is open here already, or its hosts could not be spoken to;
// nothing has changed then.
func (o *Engine) Adopt(ctx context.Context, m *Message, past Past) (ok bool) {
	err := o.ask(ctx, func(now time.Duration) {
		if _, can := o.Backend.(Resumer); can && o.keys[m.Key] == nil && o.moving[m.Key] == nil && len(past.Attempts) <= o.Settings.MaxAttempts {
			m.Job, m.Arrived = past.Job, now-past.Ago
			o.counts.Messages++
			o.adopt(now, m, past)
			ok = true
		}
	})
	return ok && err == nil
}

// adopt makes a message with a past one of this owner's.
func (o *Engine) adopt(now time.Duration, m *Message, past Past) {
	o.last++
	p := &open{Message: m, id: o.last, end: m.Arrived + past.Job.Left}
	o.jobs[p.id], o.keys[m.Key] = p, p
	p.timers = append(make([]timerwheel.Timer[timer], 0, 4), o.wheel.Add(max(p.end+DeadlineGrace, now), timer{open: p}))
	tries := make([]balance.AttemptRecord, 0, len(past.Attempts))
	for i, t := range past.Attempts {
		t.Try.Worker.ID = o.ids.id(t.Host)
		h := o.hosts[t.Try.Worker.ID]
		if h == nil { // not on this process's list: there for this attempt alone
			h = &host{Host: Host{Name: t.Host, Worker: t.Try.Worker}}
			h.shut.Store(true)
		}
		a := &Attempt{Message: m, Host: h.Host, Deadline: p.end, open: p, number: i, sent: now - t.Try.Sent, over: !t.Try.Out, back: t.Back,
			host: h, status: t.Status}
		a.MaySend = func() bool { return false } // it was sent
		if t.Try.Started {
			a.began = now - t.Try.Began
		}
		if a.over {
			a.ended = now - t.Ended
			p.mayHave = p.mayHave || !t.Status.NotRun()
			a.stop = func(error) {}
		} else {
			p.out++
			a.taken.Store(true)
			var ctx context.Context
			ctx, a.stop = context.WithCancelCause(o.ctx)
			o.Backend.(Resumer).Resume(ctx, a)
		}
		p.attempts = append(p.attempts, a)
		tries = append(tries, t.Try)
	}
	job := past.Job
	job.ID = p.id
	o.module.Adopt(now, job, now-m.Arrived, tries)
	o.Log.Debug("adopted", "message", m.Key, "attempts", len(tries), "out", p.out, "age", now-m.Arrived)
}

// Learned returns what the module has learnt.
func (o *Engine) Learned(ctx context.Context) (l *balance.Learned, err error) {
	err = o.ask(ctx, func(now time.Duration) { l = o.module.Learned(now) })
	return l, err
}

// Among says which of how many dispatchers this one is, and how many of them are in its zone, from now on; 0 of 0: as the settings say.
func (o *Engine) SetDispatchers(number, dispatchers, inZone int) {
	o.post(func(now time.Duration) {
		if dispatchers <= 0 {
			number, dispatchers = o.Settings.Number, o.Settings.Dispatchers
			inZone = dispatchers / max(o.Settings.Zones, 1)
		}
		o.module.SetDispatchers(now, number, dispatchers, inZone)
	})
}
