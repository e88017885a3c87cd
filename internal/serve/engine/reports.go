package engine

import (
	"time"

	"liftgauge/balance"
)

// Reports on attempts by backends and hosts, and their effect on messages.

// JobState is the state of a job in a host's report.
type JobState uint8

// The states that hosts report.
const (
	Started  JobState = iota // it runs
	Progress                 // completed fraction
	Done                     // served
	Errored                  // failed: it may have run
	Returned                 // returned unstarted
	Lost                     // killed: it may have run
)

// Report is a host's report on a job, identified by the message's key and the host's name.
type Report struct {
	Key, From string
	State     JobState
	Progress  float64
	Result    []byte
	Load      []float32 // of the host, in the settings' order; nil: it reported none
}

// MessageLocation is where a message in a host's report is.
type MessageLocation int

// The locations of a message.
const (
	LocationUnknown MessageLocation = iota // not open here
	LocationLocal
	LocationMoving // in transfer to another process: the host must repeat its report
)

// HandleReport queues a host's report. False means that the queue is full; the host will repeat the report. Otherwise known, if
// set, is called with the message's location, and processed, if set, once the report is processed; neither may block.
func (e *Engine) HandleReport(r Report, known func(MessageLocation), processed func()) bool {
	return e.tryEnqueue(func(now time.Duration) {
		if processed != nil {
			defer processed()
		}
		if known != nil {
			switch {
			case e.byKey[r.Key] != nil:
				known(LocationLocal)
			case e.moving[r.Key] != nil:
				known(LocationMoving)
				return
			default:
				known(LocationUnknown)
			}
		}
		e.applyReport(now, r)
	})
}

// AttemptStarted reports that an attempt was written completely and runs, for backends that learn both at once.
func (e *Engine) AttemptStarted(a *Attempt) {
	e.forwards.Add(1)
	e.enqueue(func(now time.Duration) {
		if a.done {
			return
		}
		a.startedAt = now
		e.dispatcher.Written(now, a.open.jobID, a.index, false)
		e.dispatcher.Started(now, a.open.jobID, a.index)
		e.notifyMessage(a, RunningEvent{})
	})
}

// AttemptEvent passes an event of an attempt to the message's OnEvent. Processed, if set, is called once that is done. Without
// an OnEvent, or after the attempt's end, the event is dropped.
func (e *Engine) AttemptEvent(a *Attempt, payload any, processed func()) {
	if !e.enqueue(func(time.Duration) {
		if processed != nil {
			defer processed()
		}
		e.notifyMessage(a, payload)
	}) && processed != nil {
		processed()
	}
}

// AttemptServed reports that an attempt ended with a result. Processed is as in AttemptEvent.
func (e *Engine) AttemptServed(a *Attempt, result []byte, processed func()) {
	if !e.enqueue(func(now time.Duration) {
		if processed != nil {
			defer processed()
		}
		e.endAttempt(now, a, balance.OK, result)
	}) && processed != nil {
		processed()
	}
}

// AfterQueued calls a function once everything reported before is processed, and the scheduler's decisions on it are carried
// out. It must not block.
func (e *Engine) AfterQueued(f func()) { e.enqueue(func(time.Duration) { f() }) }

// notifyMessage passes an event of an attempt to its message.
func (e *Engine) notifyMessage(a *Attempt, payload any) {
	if msg := a.open; !a.done && !msg.answered && msg.OnEvent != nil {
		msg.OnEvent(payload)
	}
}

// AttemptWritten reports that the last byte of an attempt is written, on a fresh or a reused connection.
func (e *Engine) AttemptWritten(a *Attempt, fresh bool) {
	e.forwards.Add(1)
	e.enqueue(func(now time.Duration) {
		if !a.done {
			e.dispatcher.Written(now, a.open.jobID, a.index, fresh)
		}
	})
}

// AttemptEnded reports how an attempt ended before its host accepted it, or that its withdrawal is done.
func (e *Engine) AttemptEnded(a *Attempt, status balance.Status) {
	e.enqueue(func(now time.Duration) { e.endAttempt(now, a, status, nil) })
}

// ProbeEnded reports the outcome of a probe, and the load that the host reported with it.
func (e *Engine) ProbeEnded(h Host, status balance.Status, load []float32) {
	e.enqueue(func(now time.Duration) { e.dispatcher.Probed(now, h.Worker.ID, status, load) })
}

// timeOutAttempt stops waiting for an attempt and withdraws it.
func (e *Engine) timeOutAttempt(now time.Duration, a *Attempt) {
	if !a.done {
		a.withdrawn.Store(true)
		a.cancel(ErrWithdrawn)
		e.endAttempt(now, a, balance.TimedOut, nil)
	}
}

// applyReport matches a host's report to its outstanding attempt. Late and repeated reports, and those from a host without an
// attempt of the message, have no effect.
func (e *Engine) applyReport(now time.Duration, r Report) {
	msg := e.byKey[r.Key]
	var a *Attempt
	if msg != nil {
		for _, b := range msg.attempts {
			if !b.done && b.Host.Name == r.From && b.Host.Backend == nil { // others report by their own backend
				a = b
			}
		}
	}
	if a == nil {
		e.Log.Debug("late report", "message", r.Key, "host", r.From, "state", r.State)
		e.counts.LateReports++
		return
	}
	if r.State != Started && r.State != Progress {
		a.Load = r.Load
	}
	switch r.State {
	case Started:
		e.Log.Debug("attempt started", "message", msg.Key, "host", a.Host.Name, "took", now-a.sentAt)
		a.startedAt = now
		e.dispatcher.Started(now, msg.jobID, a.index)
		e.notifyMessage(a, RunningEvent{})
	case Progress:
		e.dispatcher.Progress(now, msg.jobID, a.index, r.Progress)
		e.notifyMessage(a, ProgressEvent(r.Progress))
	case Done:
		e.endAttempt(now, a, balance.OK, r.Result)
	case Errored:
		e.endAttempt(now, a, balance.Errored, nil)
	case Returned:
		// A host repeats a report whose answer it missed. If it has returned an earlier attempt of this message, this may be
		// that report again while the new attempt runs: it does not prove that the new one has not run.
		status := balance.Full
		for _, b := range msg.attempts {
			if b != a && b.returned && b.host == a.host {
				status = balance.Reset
			}
		}
		a.returned = true
		e.endAttempt(now, a, status, nil)
	case Lost:
		e.endAttempt(now, a, balance.Reset, nil)
	}
}

// endAttempt applies an attempt's outcome: the first one counts. Deadline, withdrawal, the client's disconnecting and a host's
// report may race; the order in which they reach this goroutine decides.
func (e *Engine) endAttempt(now time.Duration, a *Attempt, status balance.Status, result []byte) {
	if a.done {
		return
	}
	a.done, a.endedAt, a.status = true, now, status
	a.cancel(ErrOutcomeKnown)
	e.wheel.Stop(a.timer)
	msg := a.open
	e.Log.Debug("attempt ended", "message", msg.Key, "host", a.Host.Name, "status", status, "took", now-a.sentAt)
	msg.outstanding--
	if !status.NotRun() {
		msg.mayHaveRun = true
	}
	switch status {
	case balance.OK:
		e.answer(msg, Answer{Kind: Served, Result: result})
	case balance.Rejected: // as final as a result
		e.answer(msg, Answer{Kind: Failed})
	}
	e.dispatcher.Outcome(now, balance.Outcome{Job: msg.jobID, Attempt: a.index, Worker: a.Host.Worker.ID, Status: status,
		Took: now - a.sentAt, Closed: msg.answered, Report: a.Load})
	if !msg.answered && msg.outstanding == 0 && msg.OnEvent != nil {
		msg.OnEvent(WaitingEvent{})
	}
	e.closeIfDone(msg)
}
