package queue

import (
	"maps"
	"slices"
	"time"
)

// Never is the wake-up time of a queue that waits for no time.
const Never = time.Duration(1<<63 - 1)

// Advance makes ready what has become due, gives up what is overdue, and returns the messages that have ended by their retention or by the
// configuration. The owner writes each end and calls Settle.
func (q *Queue) Advance(now time.Duration) []Transition {
	for q.deadlines.len() > 0 && q.deadlines.top().deadline <= now {
		q.giveUp(now, q.deadlines.top())
	}
	for q.expiry.len() > 0 && q.expiry.top().expires <= now {
		if m := q.expiry.pop(); !m.out() { // else its outcome decides
			q.finishLater(m, DeadLetter)
		}
	}
	for q.waiting.len() > 0 && q.waiting.top().readyAt <= now {
		q.schedule(now, q.waiting.top())
	}
	for q.gates.len() > 0 && q.gates.top().closedUntil <= now {
		q.wake(q.gates.pop())
	}
	ended := q.ended
	q.ended = nil
	return ended
}

// NextWake returns when Advance has something to do next: Never for nothing, and a time in the past when ends wait to be reported. It is
// asked after Next has said that nothing can go.
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
	if q.gates.len() > 0 {
		wake = min(wake, q.gates.top().closedUntil)
	}
	return wake
}

// ServiceStats counts the messages of one service.
type ServiceStats struct {
	Service  string
	Ready    int // wait for a window only
	Late     int // of the ready ones, known to be past their wanted start
	InFlight int // at dispatchers
	Limit    int // what may be out at once now
}

// Stats returns the figures of the services that have something ready or out, by name.
func (q *Queue) Stats() []ServiceStats {
	var stats []ServiceStats
	for _, name := range sortedKeys(q.services) {
		s := q.services[name]
		if ready := s.ready(); ready > 0 || s.out > 0 {
			stats = append(stats, ServiceStats{Service: name, Ready: ready, Late: s.late.len(), InFlight: s.out, Limit: s.allowed()})
		}
	}
	return stats
}

// Backlogged reports whether more messages of a service wait here than may be out at once, though its workers can be reached: other
// owners may have room in their windows. Services that only some dispatchers deliver for are paced there, and never are.
func (q *Queue) Backlogged(service string) bool {
	s := q.services[service]
	return s != nil && s.limit == 0 && s.window.Owners == nil && s.out >= s.window.Total && s.ready() >= s.window.Total
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
