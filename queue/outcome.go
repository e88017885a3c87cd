package queue

import "time"

// The pauses before a retry: the first, and the longest that it doubles to.
const (
	notRunPause     = 20 * time.Millisecond
	maxNotRunPause  = 500 * time.Millisecond
	unclearPause    = 100 * time.Millisecond
	maxUnclearPause = time.Second
	failedPause     = 30 * time.Millisecond
	maxFailedPause  = 500 * time.Millisecond
	maxRetries      = 16 // the pause has long stopped growing
)

// Outcome takes in what became of a hand-out. A success or a refusal counts whenever it comes; any other outcome counts once for each
// hand-out. The message goes out again after retryAfter, or after a pause that grows, unless it has ended.
func (q *Queue) Outcome(now time.Duration, partition uint32, id string, attempt uint32, o Outcome, retryAfter time.Duration) Transition {
	m := q.find(partition, id)
	if m == nil {
		return Transition{Action: Unknown, Partition: partition, ID: id}
	}
	if m.ending {
		return Transition{Action: AlreadyEnding, Partition: partition, ID: id, State: m.state, Attempts: m.attempts}
	}
	h := m.handOut(attempt)
	q.judgeService(now, m, h, o)
	switch o {
	case Succeeded:
		return q.finish(m, Done)
	case Refused, NoRoute:
		return q.finish(m, DeadLetter)
	}
	m.conclude(attempt)
	t := Transition{Action: Ignore, Partition: partition, ID: id, State: Queued, Attempts: m.attempts}
	if h == nil {
		return t
	}
	q.release(h)
	m.forget(h)
	if o == Failed {
		m.attempts++
		t.Action, t.Attempts = Record, m.attempts
		if m.attempts >= m.maxAttempts() {
			return q.finish(m, DeadLetter)
		}
	}
	if m.out() {
		return t
	}
	m.readyAt = max(m.readyAt, now+m.pause(o, retryAfter))
	if q.over(now, m) {
		return q.finish(m, DeadLetter)
	}
	q.schedule(now, m)
	return t
}

// judgeService lets an outcome tell whether the service can be reached.
func (q *Queue) judgeService(now time.Duration, m *message, h *handOut, o Outcome) {
	s := m.service
	if h != nil && h.service != nil {
		s = h.service
	}
	if s == nil {
		return
	}
	q.gates.remove(s) // its place there depends on what changes now
	switch {
	case o == Succeeded || o == Refused || o == Failed:
		s.reachable(now)
	case h == nil:
	case o == ServiceDown:
		s.unreachable(now, h.since)
	case o == NotRun || o == Unclear:
		s.missed(now, h.since)
	}
	q.wake(s)
}

// pause returns how long a message waits after an outcome that is no end.
func (m *message) pause(o Outcome, retryAfter time.Duration) time.Duration {
	if m.lastOutcome != o {
		m.lastOutcome, m.retries = o, 0
	}
	if m.retries < maxRetries {
		m.retries++
	}
	if retryAfter > 0 && (o == NotRun || o == ServiceDown) {
		return retryAfter
	}
	first, longest := time.Duration(0), time.Duration(0)
	switch o {
	case NotRun:
		first, longest = notRunPause, maxNotRunPause
	case Unclear:
		first, longest = unclearPause, maxUnclearPause
	case Failed:
		first, longest = failedPause, maxFailedPause
	}
	return min(first<<(m.retries-1), longest)
}
