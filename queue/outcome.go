package queue

import (
	"slices"
	"time"
)

// The pauses before a retry: the initial value, and the maximum up to which it doubles.
const (
	notRunPause     = 20 * time.Millisecond
	maxNotRunPause  = 500 * time.Millisecond
	unclearPause    = 100 * time.Millisecond
	maxUnclearPause = time.Second
	failedPause     = 30 * time.Millisecond
	maxFailedPause  = 500 * time.Millisecond
	maxRetries      = 16 // bounds the exponent; every pause has reached its maximum by then
)

// EndsMessage reports whether the outcome ends its message whenever it arrives, whichever store made the delivery.
func (o Outcome) EndsMessage() bool { return o == Succeeded || o == Refused || o == NoRoute }

// KnowsDelivery reports whether the outcome of a delivery is expected, or was counted before. It is false for a delivery that another store made and
// that no dispatcher has listed.
func (q *Queue) KnowsDelivery(partition uint32, id string, attempt uint32) bool {
	m := q.find(partition, id)
	return m != nil && (m.ending || m.findPending(attempt) != nil || slices.Contains(m.concluded, attempt))
}

// Outcome processes the outcome of a delivery. A success or a refusal counts whenever it arrives; any other outcome counts once per
// delivery. Unless it has ended, the message is delivered again after retryAfter or after a growing pause.
func (q *Queue) Outcome(now time.Duration, partition uint32, id string, attempt uint32, o Outcome, retryAfter time.Duration) Transition {
	m := q.find(partition, id)
	if m == nil {
		return Transition{Action: Unknown, Partition: partition, ID: id}
	}
	if m.ending {
		return Transition{Action: AlreadyEnding, Partition: partition, ID: id, State: m.state, Attempts: m.attempts}
	}
	delivery := m.findPending(attempt)
	q.updateReachability(now, m, delivery, o)
	switch o {
	case Succeeded:
		again := m.inFlightBeside(attempt)
		t := q.finish(m, Done)
		t.DeliveredAgain = again
		return t
	case Refused, NoRoute:
		return q.finish(m, DeadLetter)
	}
	m.conclude(attempt)
	t := Transition{Action: Ignore, Partition: partition, ID: id, State: Queued, Attempts: m.attempts}
	if delivery == nil {
		return t
	}
	q.release(delivery)
	m.removePending(delivery)
	if o == Failed {
		m.attempts++
		t.Action, t.Attempts = Record, m.attempts
		if m.attempts >= m.maxAttempts() {
			return q.finish(m, DeadLetter)
		}
	}
	if m.inFlight() {
		return t
	}
	m.readyAt = max(m.readyAt, now+m.retryPause(o, retryAfter))
	if q.endsUndelivered(now, m) {
		return q.finish(m, DeadLetter)
	}
	q.schedule(now, m)
	return t
}

// updateReachability updates the reachability of the service by an outcome.
func (q *Queue) updateReachability(now time.Duration, m *message, delivery *pendingDelivery, o Outcome) {
	s := m.service
	if delivery != nil && delivery.service != nil {
		s = delivery.service
	}
	if s == nil {
		return
	}
	q.pausedServices.remove(s) // its position in the heap depends on fields that change below
	switch {
	case o == Succeeded || o == Refused || o == Failed:
		s.markReachable(now)
	case delivery == nil:
	case o == ServiceDown:
		s.markUnreachable(now, delivery.dispatchedAt)
	case o == NotRun || o == Unclear:
		s.countUnanswered(now, delivery.dispatchedAt)
	}
	q.wake(s)
}

// retryPause returns how long a message waits after an outcome that does not end it.
func (m *message) retryPause(o Outcome, retryAfter time.Duration) time.Duration {
	if m.lastOutcome != o {
		m.lastOutcome, m.retries = o, 0
	}
	if m.retries < maxRetries {
		m.retries++
	}
	if retryAfter > 0 && (o == NotRun || o == ServiceDown) {
		return retryAfter
	}
	initial, longest := time.Duration(0), time.Duration(0)
	switch o {
	case NotRun:
		initial, longest = notRunPause, maxNotRunPause
	case Unclear:
		initial, longest = unclearPause, maxUnclearPause
	case Failed:
		initial, longest = failedPause, maxFailedPause
	}
	return min(initial<<(m.retries-1), longest)
}
