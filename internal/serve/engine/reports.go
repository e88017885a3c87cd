package engine

import (
	"time"

	"liftgauge/balance"
)

// What the sides report of attempts, and how it reaches the messages.

// State is what a host says of a job.
type JobState uint8

// The states that hosts tell.
const (
	Started  JobState = iota // it runs
	Progress                 // how far it has come
	Done                     // served
	Errored                  // failed: it may have run
	Returned                 // handed back unstarted
	Lost                     // killed: it may have run
)

// Report is a host's word on a job, by the ids that both sides know.
type Report struct {
	Key, From string
	State     JobState
	Progress  float64
	Result    []byte
	Load      []float32 // of the host, in the settings' order; nil: it reported none
}

// Standing is where a message is that a host speaks of.
type MessageLocation int

// Where it is.
const (
	LocationUnknown MessageLocation = iota // not open here
	LocationLocal
	LocationMoving // on its way to another process: the host has to say it again
)

// Reported takes a host's word. False says that the queue is full; the host will say it again. Else known, if it is
// set, is told where the message is, and settled, if it is set, once the word is dealt with; neither may block.
func (e *Engine) HandleReport(r Report, known func(MessageLocation), settled func()) bool {
	return e.tryEnqueue(func(now time.Duration) {
		if settled != nil {
			defer settled()
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

// Assigned says that an attempt was written whole and runs, for sides that know both at once.
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

// Passed hands on what an attempt brings forth before its end, to the message's Event. Settled, if it is set, is called
// once that is done. Where there is no Event, or the attempt is over, it is dropped.
func (e *Engine) AttemptEvent(a *Attempt, what any, settled func()) {
	if !e.enqueue(func(time.Duration) {
		if settled != nil {
			defer settled()
		}
		e.notifyMessage(a, what)
	}) && settled != nil {
		settled()
	}
}

// Served says that an attempt ended with a result. Settled is as in Passed.
func (e *Engine) AttemptServed(a *Attempt, result []byte, settled func()) {
	if !e.enqueue(func(now time.Duration) {
		if settled != nil {
			defer settled()
		}
		e.endAttempt(now, a, balance.OK, result)
	}) && settled != nil {
		settled()
	}
}

// After calls a function once all that was reported before is dealt with, and what the module decided upon it done. It
// must not block.
func (e *Engine) AfterQueued(f func()) { e.enqueue(func(time.Duration) { f() }) }

// event tells a message of what becomes of an attempt.
func (e *Engine) notifyMessage(a *Attempt, what any) {
	if msg := a.open; !a.done && !msg.answered && msg.OnEvent != nil {
		msg.OnEvent(what)
	}
}

// Written says that the last byte of an attempt is on its way, on a fresh connection or on one that had been used.
func (e *Engine) AttemptWritten(a *Attempt, fresh bool) {
	e.forwards.Add(1)
	e.enqueue(func(now time.Duration) {
		if !a.done {
			e.dispatcher.Written(now, a.open.jobID, a.index, fresh)
		}
	})
}

// Ended says how an attempt ended on the way, or that its withdrawal is done.
func (e *Engine) AttemptEnded(a *Attempt, status balance.Status) {
	e.enqueue(func(now time.Duration) { e.endAttempt(now, a, status, nil) })
}

// Probed says how a probe ended, and what the host reported of its load with the answer.
func (e *Engine) ProbeEnded(h Host, status balance.Status, load []float32) {
	e.enqueue(func(now time.Duration) { e.dispatcher.Probed(now, h.Worker.ID, status, load) })
}

// timeOut stops waiting for an attempt, and tells the host.
func (e *Engine) timeOutAttempt(now time.Duration, a *Attempt) {
	if !a.done {
		a.withdrawn.Store(true)
		a.cancel(ErrWithdrawn)
		e.endAttempt(now, a, balance.TimedOut, nil)
	}
}

// reported matches a host's word to the attempt that is out there. What comes late, twice or from a host that has no
// attempt of the message changes nothing.
func (e *Engine) applyReport(now time.Duration, r Report) {
	msg := e.byKey[r.Key]
	var a *Attempt
	if msg != nil {
		for _, b := range msg.attempts {
			if !b.done && b.Host.Name == r.From && b.Host.Backend == nil { // others report by their own side
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
		// A host repeats a report whose answer it missed. Where it has handed back an earlier attempt of this message,
		// this may be that word again while the new attempt runs: it proves nothing of the new one.
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

// ended takes an attempt's one outcome: the first that comes. Deadline, withdrawal, the client's leaving and a host's
// word may race; the order in which they reach this goroutine decides.
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
