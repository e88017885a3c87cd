package engine

import (
	"time"

	"liftgauge/balance"
	"liftgauge/internal/timerwheel"
)

// The lifecycle of a message from its arrival to its answer.

func (e *Engine) accept(now time.Duration, m *Message) {
	if e.byKey[m.Key] != nil || e.moving[m.Key] != nil {
		// A duplicate id: the first message may be running, so this one is not run, and a retry is not said to be safe.
		m.Reply(Answer{Kind: Failed})
		if m.OnClosed != nil {
			m.OnClosed()
		}
		return
	}
	e.counts.Messages++
	e.lastJobID++
	msg := &openMessage{Message: m, jobID: e.lastJobID, deadline: m.Arrived + m.Job.Left}
	e.jobs[msg.jobID], e.byKey[m.Key] = msg, msg
	msg.timers = append(make([]timerwheel.Timer[timer], 0, 4), e.wheel.Add(msg.deadline+DeadlineGrace, timer{open: msg}))
	job := m.Job
	job.ID, job.Left = msg.jobID, max(0, msg.deadline-now)
	e.dispatcher.Job(now, job)
}

// answer gives the final answer, at most once.
func (e *Engine) answer(msg *openMessage, a Answer) {
	if msg.answered {
		return
	}
	// A back-off answer means that a retry is safe. It is never given if an attempt has run or may still run, except for a class whose
	// jobs may be repeated freely.
	if a.Kind == BackOff && !e.Check.Check(!msg.mayHaveRun && msg.outstanding == 0 || e.isRepeatable(msg), "back-off answer for what may have run", "message", msg.Key) {
		a = Answer{Kind: Failed}
	}
	msg.answered, msg.answerKind, msg.answeredAt = true, a.Kind, e.Now()
	e.Log.Debug("answered", "message", msg.Key, "class", msg.Job.Class, "kind", a.Kind, "hint", msg.Job.Hint, "took", e.Now()-msg.Arrived)
	switch a.Kind {
	case Served:
		e.counts.Served++
	case BackOff:
		e.counts.BackOffs++
	default:
		e.counts.Failures++
	}
	msg.Reply(a)
	e.closeIfDone(msg)
}

// isRepeatable reports whether jobs of the message's class may be repeated freely.
func (e *Engine) isRepeatable(msg *openMessage) bool {
	class := msg.Job.Class
	return class >= 0 && class < len(e.Settings.Classes) && e.Settings.Classes[class].Effect == balance.Safe
}

// closeIfDone drops a message that is answered and has no outstanding attempt. Its timers are stopped: left on the wheel they
// would keep it in memory, with its payload, until its deadline.
func (e *Engine) closeIfDone(msg *openMessage) {
	if msg.answered && msg.outstanding == 0 && e.jobs[msg.jobID] == msg {
		delete(e.jobs, msg.jobID)
		delete(e.byKey, msg.Key)
		for _, t := range msg.timers {
			e.wheel.Stop(t)
		}
		if e.OnMessageClosed != nil {
			e.OnMessageClosed(msg.Message, msg.answerKind, !msg.clientLeft, msg.answeredAt, msg.attempts)
		}
		if msg.OnClosed != nil {
			msg.OnClosed()
		}
	}
}

func (e *Engine) fireTimer(now time.Duration, t timer) {
	switch {
	case t.logCounts:
		e.logCounts()
		e.wheel.Add(now+countsLogInterval, t)
		return
	case t.publishHosts:
		e.publishHostCounts(now)
		e.wheel.Add(now+hostCountsInterval, t)
		return
	case t.attempt != nil:
		e.timeOutAttempt(now, t.attempt)
		return
	case t.open == nil:
		e.dispatcher.Timer(now, t.token)
		return
	}
	msg := t.open
	for _, a := range msg.attempts {
		e.timeOutAttempt(now, a)
	}
	if !msg.answered {
		e.Log.Warn("no final answer from the scheduler by the deadline", "message", msg.Key)
		msg.disconnected = true
		e.answer(msg, Answer{Kind: Failed})
		e.dispatcher.Disconnected(now, msg.jobID)
	}
}
