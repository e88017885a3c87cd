package engine

import (
	"time"

	"liftgauge/balance"
	"liftgauge/internal/timerwheel"
)

// The life of a message from its arrival to its answer.

func (o *Engine) take(now time.Duration, m *Message) {
	if o.keys[m.Key] != nil || o.moving[m.Key] != nil {
		// The same id twice at once: the first may be running, so this one is neither run nor called harmless.
		m.Reply(Answer{Kind: Failed})
		if m.OnClosed != nil {
			m.OnClosed()
		}
		return
	}
	o.counts.Messages++
	o.last++
	p := &open{Message: m, id: o.last, end: m.Arrived + m.Job.Left}
	o.jobs[p.id], o.keys[m.Key] = p, p
	p.timers = append(make([]timerwheel.Timer[timer], 0, 4), o.wheel.Add(p.end+DeadlineGrace, timer{open: p}))
	job := m.Job
	job.ID, job.Left = p.id, max(0, p.end-now)
	o.module.Job(now, job)
}

// answer gives the final answer, once.
func (o *Engine) answer(p *open, a Answer) {
	if p.answered {
		return
	}
	// A back-off answer says that trying again is harmless: never where an attempt may have run, or still may, but for a class that may be
	// repeated at will.
	if a.Kind == BackOff && !o.Check.Check(!p.mayHave && p.out == 0 || o.repeats(p), "back-off answer for what may have run", "message", p.Key) {
		a = Answer{Kind: Failed}
	}
	p.answered, p.kind, p.at = true, a.Kind, o.Now()
	o.Log.Debug("answered", "message", p.Key, "class", p.Job.Class, "kind", a.Kind, "hint", p.Job.Hint, "took", o.Now()-p.Arrived)
	switch a.Kind {
	case Served:
		o.counts.Served++
	case BackOff:
		o.counts.BackOffs++
	default:
		o.counts.Failures++
	}
	p.Reply(a)
	o.settle(p)
}

// repeats: its class may be repeated at will.
func (o *Engine) repeats(p *open) bool {
	class := p.Job.Class
	return class >= 0 && class < len(o.Settings.Classes) && o.Settings.Classes[class].Effect == balance.Safe
}

// settle forgets a message that is answered and has no attempt out. Its timers go with it: left on the wheel they would
// hold it, with all that the client sent, until its patience is over.
func (o *Engine) settle(p *open) {
	if p.answered && p.out == 0 && o.jobs[p.id] == p {
		delete(o.jobs, p.id)
		delete(o.keys, p.Key)
		for _, t := range p.timers {
			o.wheel.Stop(t)
		}
		if o.OnMessageClosed != nil {
			o.OnMessageClosed(p.Message, p.kind, !p.left, p.at, p.attempts)
		}
		if p.OnClosed != nil {
			p.OnClosed()
		}
	}
}

func (o *Engine) due(now time.Duration, t timer) {
	switch {
	case t.tell:
		o.tell()
		o.wheel.Add(now+tellEvery, t)
		return
	case t.show:
		o.show(now)
		o.wheel.Add(now+showEvery, t)
		return
	case t.attempt != nil:
		o.timeOut(now, t.attempt)
		return
	case t.open == nil:
		o.module.Timer(now, t.token)
		return
	}
	p := t.open
	for _, a := range p.attempts {
		o.timeOut(now, a)
	}
	if !p.answered {
		o.Log.Warn("no final answer from the module by the deadline", "message", p.Key)
		p.gone = true
		o.answer(p, Answer{Kind: Failed})
		o.module.Disconnected(now, p.id)
	}
}
