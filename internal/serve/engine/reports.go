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
func (o *Engine) HandleReport(r Report, known func(MessageLocation), settled func()) bool {
	return o.offer(func(now time.Duration) {
		if settled != nil {
			defer settled()
		}
		if known != nil {
			switch {
			case o.keys[r.Key] != nil:
				known(LocationLocal)
			case o.moving[r.Key] != nil:
				known(LocationMoving)
				return
			default:
				known(LocationUnknown)
			}
		}
		o.reported(now, r)
	})
}

// Assigned says that an attempt was written whole and runs, for sides that know both at once.
func (o *Engine) AttemptStarted(a *Attempt) {
	o.forwards.Add(1)
	o.post(func(now time.Duration) {
		if a.over {
			return
		}
		a.began = now
		o.module.Written(now, a.open.id, a.number, false)
		o.module.Started(now, a.open.id, a.number)
		o.event(a, RunningEvent{})
	})
}

// Passed hands on what an attempt brings forth before its end, to the message's Event. Settled, if it is set, is called
// once that is done. Where there is no Event, or the attempt is over, it is dropped.
func (o *Engine) AttemptEvent(a *Attempt, what any, settled func()) {
	if !o.post(func(time.Duration) {
		if settled != nil {
			defer settled()
		}
		o.event(a, what)
	}) && settled != nil {
		settled()
	}
}

// Served says that an attempt ended with a result. Settled is as in Passed.
func (o *Engine) AttemptServed(a *Attempt, result []byte, settled func()) {
	if !o.post(func(now time.Duration) {
		if settled != nil {
			defer settled()
		}
		o.ended(now, a, balance.OK, result)
	}) && settled != nil {
		settled()
	}
}

// After calls a function once all that was reported before is dealt with, and what the module decided upon it done. It
// must not block.
func (o *Engine) AfterQueued(f func()) { o.post(func(time.Duration) { f() }) }

// event tells a message of what becomes of an attempt.
func (o *Engine) event(a *Attempt, what any) {
	if p := a.open; !a.over && !p.answered && p.OnEvent != nil {
		p.OnEvent(what)
	}
}

// Written says that the last byte of an attempt is on its way, on a fresh connection or on one that had been used.
func (o *Engine) AttemptWritten(a *Attempt, fresh bool) {
	o.forwards.Add(1)
	o.post(func(now time.Duration) {
		if !a.over {
			o.module.Written(now, a.open.id, a.number, fresh)
		}
	})
}

// Ended says how an attempt ended on the way, or that its withdrawal is done.
func (o *Engine) AttemptEnded(a *Attempt, status balance.Status) {
	o.post(func(now time.Duration) { o.ended(now, a, status, nil) })
}

// Probed says how a probe ended, and what the host reported of its load with the answer.
func (o *Engine) ProbeEnded(h Host, status balance.Status, load []float32) {
	o.post(func(now time.Duration) { o.module.Probed(now, h.Worker.ID, status, load) })
}

// timeOut stops waiting for an attempt, and tells the host.
func (o *Engine) timeOut(now time.Duration, a *Attempt) {
	if !a.over {
		a.barred.Store(true)
		a.stop(ErrWithdrawn)
		o.ended(now, a, balance.TimedOut, nil)
	}
}

// reported matches a host's word to the attempt that is out there. What comes late, twice or from a host that has no
// attempt of the message changes nothing.
func (o *Engine) reported(now time.Duration, r Report) {
	p := o.keys[r.Key]
	var a *Attempt
	if p != nil {
		for _, b := range p.attempts {
			if !b.over && b.Host.Name == r.From && b.Host.Backend == nil { // others report by their own side
				a = b
			}
		}
	}
	if a == nil {
		o.Log.Debug("late report", "message", r.Key, "host", r.From, "state", r.State)
		o.counts.LateReports++
		return
	}
	if r.State != Started && r.State != Progress {
		a.Load = r.Load
	}
	switch r.State {
	case Started:
		o.Log.Debug("attempt started", "message", p.Key, "host", a.Host.Name, "took", now-a.sent)
		a.began = now
		o.module.Started(now, p.id, a.number)
		o.event(a, RunningEvent{})
	case Progress:
		o.module.Progress(now, p.id, a.number, r.Progress)
		o.event(a, ProgressEvent(r.Progress))
	case Done:
		o.ended(now, a, balance.OK, r.Result)
	case Errored:
		o.ended(now, a, balance.Errored, nil)
	case Returned:
		// A host repeats a report whose answer it missed. Where it has handed back an earlier attempt of this message,
		// this may be that word again while the new attempt runs: it proves nothing of the new one.
		status := balance.Full
		for _, b := range p.attempts {
			if b != a && b.back && b.host == a.host {
				status = balance.Reset
			}
		}
		a.back = true
		o.ended(now, a, status, nil)
	case Lost:
		o.ended(now, a, balance.Reset, nil)
	}
}

// ended takes an attempt's one outcome: the first that comes. Deadline, withdrawal, the client's leaving and a host's
// word may race; the order in which they reach this goroutine decides.
func (o *Engine) ended(now time.Duration, a *Attempt, status balance.Status, result []byte) {
	if a.over {
		return
	}
	a.over, a.ended, a.status = true, now, status
	a.stop(ErrOutcomeKnown)
	o.wheel.Stop(a.timer)
	p := a.open
	o.Log.Debug("attempt ended", "message", p.Key, "host", a.Host.Name, "status", status, "took", now-a.sent)
	p.out--
	if !status.NotRun() {
		p.mayHave = true
	}
	switch status {
	case balance.OK:
		o.answer(p, Answer{Kind: Served, Result: result})
	case balance.Rejected: // as final as a result
		o.answer(p, Answer{Kind: Failed})
	}
	o.module.Outcome(now, balance.Outcome{Job: p.id, Attempt: a.number, Worker: a.Host.Worker.ID, Status: status,
		Took: now - a.sent, Closed: p.answered, Report: a.Load})
	if !p.answered && p.out == 0 && p.OnEvent != nil {
		p.OnEvent(WaitingEvent{})
	}
	o.settle(p)
}
