package queue

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultTotal         = 4 // window of a service for which the owner has set none
	defaultPerDispatcher = 2
	// lateShare is the number of deliveries of on-time messages per delivery of a late message, when both kinds wait.
	lateShare = 4
	// followerPenalty is added to the due time of a late message for each message of its key that waits behind it. Keys with few waiting
	// messages go first, so that they and their next messages are soon on time again. As the number of followers is finite, no message
	// waits for ever.
	followerPenalty = 500 * time.Millisecond
	// probeLimit is the window of an unreachable service.
	probeLimit = 1
	// minUnanswered is the minimum number of consecutive deliveries without an answer from a worker before a service counts as
	// unreachable; if its window is larger, a whole window of them is required.
	minUnanswered   = 4
	minServicePause = 50 * time.Millisecond
	maxServicePause = 400 * time.Millisecond
)

// service holds the ready messages of one service and counts its deliveries in flight.
type service struct {
	name       string
	window     Window
	inTime     []*class // by priority
	late       indexedHeap[*message]
	sinceLate  int
	inFlight   int
	inFlightAt map[*dispatcher]int
	runnable   bool // it is in Queue.runnable

	unanswered          int // consecutive deliveries without an answer from a worker
	recoveryLimit       int // smaller window while the service is unreachable or recovering; 0 for none
	markedUnreachableAt time.Duration
	pause               time.Duration
	pausedUntil         time.Duration // no deliveries before this time
	pausedIndex         int
}

// class holds the ready on-time messages of one priority.
type class struct {
	priority int
	messages indexedHeap[*message]
}

func newService(name string) *service {
	return &service{
		name:   name,
		window: Window{Total: defaultTotal, PerDispatcher: defaultPerDispatcher},
		late: indexedHeap[*message]{
			less:    func(a, b *message) bool { return earlier(a, b, a.lateOrder(), b.lateOrder()) },
			indexOf: scheduleIndex,
		},
		inFlightAt:  map[*dispatcher]int{},
		pausedIndex: notInHeap,
	}
}

// lateOrder is the sort key of a late message among the late messages of its service.
func (m *message) lateOrder() time.Duration {
	if m.lane == nil {
		return m.due
	}
	return m.due + time.Duration(len(m.lane.messages)-1)*followerPenalty
}

// add inserts a ready message.
func (s *service) add(now time.Duration, m *message) {
	m.heap = &s.late
	if now < m.lateAt {
		m.heap = &s.class(m.route.Priority).messages
	}
	m.heap.push(m)
}

func (s *service) class(priority int) *class {
	index, found := slices.BinarySearchFunc(s.inTime, priority, func(c *class, priority int) int { return c.priority - priority })
	if !found {
		c := &class{priority: priority, messages: indexedHeap[*message]{
			less:    func(a, b *message) bool { return earlier(a, b, a.lateAt, b.lateAt) },
			indexOf: scheduleIndex,
		}}
		s.inTime = slices.Insert(s.inTime, index, c)
	}
	return s.inTime[index]
}

// ready returns the number of messages that wait only for room in the window.
func (s *service) ready() int {
	ready := s.late.len()
	for _, c := range s.inTime {
		ready += c.messages.len()
	}
	return ready
}

// next returns the message to deliver next without removing it.
func (s *service) next(now time.Duration) *message {
	var inTime *message
	for _, c := range s.inTime {
		for c.messages.len() > 0 && c.messages.top().lateAt <= now {
			m := c.messages.pop()
			m.heap = &s.late
			s.late.push(m)
		}
		if inTime == nil && c.messages.len() > 0 {
			inTime = c.messages.top()
		}
	}
	switch {
	case s.late.len() == 0:
		return inTime
	case inTime == nil || s.sinceLate >= lateShare:
		return s.late.top()
	}
	return inTime
}

// countDispatch counts a delivery towards the share of late messages.
func (s *service) countDispatch(late bool) {
	if late {
		s.sinceLate = 0
	} else if s.sinceLate < lateShare {
		s.sinceLate++
	}
}

// allowed returns the maximum number of deliveries in flight.
func (s *service) allowed() int {
	if s.recoveryLimit > 0 {
		return min(s.recoveryLimit, s.window.Total)
	}
	return s.window.Total
}

// markUnreachable shrinks the window to probeLimit and stops deliveries for a pause that grows. Outcomes of deliveries that were
// dispatched before the service was last marked carry no new information and are ignored.
func (s *service) markUnreachable(now, dispatchedAt time.Duration) {
	if s.recoveryLimit > 0 && dispatchedAt < s.markedUnreachableAt {
		return
	}
	s.recoveryLimit, s.markedUnreachableAt, s.unanswered = probeLimit, now, 0
	s.pause = min(max(2*s.pause, minServicePause), maxServicePause)
	s.pausedUntil = now + s.pause
}

// countUnanswered counts a delivery without an answer from a worker. A single one is not significant; a whole window of them in a row
// marks the service as unreachable.
func (s *service) countUnanswered(now, dispatchedAt time.Duration) {
	if s.recoveryLimit > 0 && dispatchedAt < s.markedUnreachableAt {
		return
	}
	s.unanswered++
	if s.recoveryLimit > 0 && s.unanswered >= s.allowed() || s.unanswered >= max(minUnanswered, s.window.Total) {
		s.markUnreachable(now, dispatchedAt)
	}
}

// markReachable ends the pause and doubles a reduced window.
func (s *service) markReachable(now time.Duration) {
	s.unanswered = 0
	if s.recoveryLimit == 0 {
		return
	}
	s.recoveryLimit *= 2
	if s.recoveryLimit >= s.window.Total {
		s.recoveryLimit = 0
	}
	s.pause, s.pausedUntil = 0, now
}

func (q *Queue) service(name string) *service {
	s := q.services[name]
	if s == nil {
		s = newService(name)
		q.services[name] = s
	}
	return s
}

// SetWindow sets the limits of the deliveries in flight for a service.
func (q *Queue) SetWindow(service string, w Window) {
	s := q.service(service)
	s.window = w
	q.wake(s)
}

// wake makes the service runnable if it has ready messages.
func (q *Queue) wake(s *service) {
	if !s.runnable && s.ready() > 0 {
		s.runnable = true
		q.runnable = append(q.runnable, s)
	}
}

// wakeAll wakes every service that has ready messages, in order of their names.
func (q *Queue) wakeAll() {
	var ready []*service
	for _, s := range q.services {
		if !s.runnable && s.ready() > 0 {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	for _, s := range ready {
		q.wake(s)
	}
}
