package queue

import (
	"maps"
	"slices"
	"time"
)

// Never is the wake-up time of a queue with no pending deadline.
const Never = time.Duration(1<<63 - 1)

// Advance makes due messages ready, presumes overdue deliveries lost, and returns the messages that have ended because of their retention
// or the configuration. The owner writes each end and calls ConfirmEnd.
func (q *Queue) Advance(now time.Duration) []Transition {
	for q.deadlines.len() > 0 && q.deadlines.top().deadline <= now {
		q.presumeOverdue(now, q.deadlines.top())
	}
	for q.expiry.len() > 0 && q.expiry.top().expires <= now {
		if m := q.expiry.pop(); !m.inFlight() { // otherwise its outcome decides
			q.finishLater(m, DeadLetter)
		}
	}
	for q.waiting.len() > 0 && q.waiting.top().readyAt <= now {
		q.schedule(now, q.waiting.top())
	}
	for q.pausedServices.len() > 0 && q.pausedServices.top().pausedUntil <= now {
		q.wake(q.pausedServices.pop())
	}
	ended := q.ended
	q.ended = nil
	return ended
}

// presumeOverdue presumes a delivery lost whose deadline has passed.
func (q *Queue) presumeOverdue(now time.Duration, delivery *pendingDelivery) {
	cause := LostOverdue
	if !delivery.dispatcher.open {
		cause = LostDisconnected
	}
	q.presumeLost(now, delivery, cause)
}

// NextWake returns when Advance must be called next: Never if nothing is pending, and 0 if ends wait to be reported. Call it after Next
// has returned false.
func (q *Queue) NextWake() time.Duration {
	if len(q.ended) > 0 {
		return 0
	}
	wake := Never
	if q.deadlines.len() > 0 {
		wake = min(wake, q.deadlines.top().deadline)
	}
	if q.expiry.len() > 0 {
		wake = min(wake, q.expiry.top().expires)
	}
	if q.waiting.len() > 0 {
		wake = min(wake, q.waiting.top().readyAt)
	}
	if q.pausedServices.len() > 0 {
		wake = min(wake, q.pausedServices.top().pausedUntil)
	}
	return wake
}

// ServiceStats counts the messages of one service.
type ServiceStats struct {
	Service  string
	Ready    int // waiting only for room in the window
	Late     int // ready messages known to be past their target start
	InFlight int // deliveries at dispatchers
	Limit    int // current maximum of InFlight
}

// Stats returns the counts of the services that have messages ready or in flight, ordered by name.
func (q *Queue) Stats() []ServiceStats {
	var stats []ServiceStats
	for _, name := range sortedKeys(q.services) {
		s := q.services[name]
		if ready := s.ready(); ready > 0 || s.inFlight > 0 {
			stats = append(stats, ServiceStats{Service: name, Ready: ready, Late: s.late.len(), InFlight: s.inFlight, Limit: s.allowed()})
		}
	}
	return stats
}

// Backlogged reports whether the window of a reachable service is full and at least another window of messages waits: other stores may
// have room in their windows. It is false for services with Owners, since those dispatchers pace the deliveries.
func (q *Queue) Backlogged(service string) bool {
	s := q.services[service]
	return s != nil && s.recoveryLimit == 0 && s.window.Owners == nil && s.inFlight >= s.window.Total && s.ready() >= s.window.Total
}

// Total returns the number of messages of all partitions.
func (q *Queue) Total() int {
	total := 0
	for _, p := range q.partitions {
		total += len(p.messages)
	}
	return total
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
