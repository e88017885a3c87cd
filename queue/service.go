package queue

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultTotal         = 4 // window of a service of which the owner has said nothing
	defaultPerDispatcher = 2
	// lateShare is how many hand-outs of messages in time go before one of a late message, when both wait.
	lateShare = 4
	// behindPenalty is how much later a late message counts for each one of its key that waits behind it: where few do, those few and
	// whatever comes next are soon in time again. It is bounded by the number, so that nothing waits for ever.
	behindPenalty = 500 * time.Millisecond
	// probeLimit is the window of a service that cannot be reached.
	probeLimit = 1
	// minMisses is how many hand-outs in a row must come back without an answer, at least, before a service counts as unreachable; a
	// whole window of them must.
	minMisses    = 4
	minGatePause = 50 * time.Millisecond
	maxGatePause = 400 * time.Millisecond
)

// service holds the ready messages of one service and what is out for it.
type service struct {
	name      string
	window    Window
	inTime    []*class // by priority
	late      indexedHeap[*message]
	sinceLate int
	out       int
	outAt     map[*dispatcher]int
	queued    bool // it is among the runnable ones

	misses      int // hand-outs without an answer of a worker in a row
	limit       int // smaller window while the service comes back from being unreachable; 0 for none
	downSince   time.Duration
	gatePause   time.Duration
	closedUntil time.Duration // nothing is handed out before
	gateIndex   int
}

// class holds the ready messages in time of one priority.
type class struct {
	priority int
	messages indexedHeap[*message]
}

func newService(name string) *service {
	return &service{
		name:   name,
		window: Window{Total: defaultTotal, PerDispatcher: defaultPerDispatcher},
		late: indexedHeap[*message]{
			less:  func(a, b *message) bool { return earlier(a, b, a.lateTurn(), b.lateTurn()) },
			place: scheduleIndex,
		},
		outAt:     map[*dispatcher]int{},
		gateIndex: notInHeap,
	}
}

// lateTurn is the place of a late message among the late ones of its service.
func (m *message) lateTurn() time.Duration {
	if m.lane == nil {
		return m.due
	}
	return m.due + time.Duration(len(m.lane.messages)-1)*behindPenalty
}

// add takes in a ready message.
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
			less:  func(a, b *message) bool { return earlier(a, b, a.lateAt, b.lateAt) },
			place: scheduleIndex,
		}}
		s.inTime = slices.Insert(s.inTime, index, c)
	}
	return s.inTime[index]
}

// ready returns the number of messages that wait for the window only.
func (s *service) ready() int {
	ready := s.late.len()
	for _, c := range s.inTime {
		ready += c.messages.len()
	}
	return ready
}

// next returns the message to hand out first, and leaves it where it is.
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

// count keeps the share of late messages.
func (s *service) count(late bool) {
	if late {
		s.sinceLate = 0
	} else if s.sinceLate < lateShare {
		s.sinceLate++
	}
}

// allowed returns how many hand-outs may be out at once.
func (s *service) allowed() int {
	if s.limit > 0 {
		return min(s.limit, s.window.Total)
	}
	return s.window.Total
}

// unreachable shrinks the window to a probe and closes the gate for a pause that grows. A hand-out from before the last such news tells
// nothing new.
func (s *service) unreachable(now, handedOut time.Duration) {
	if s.limit > 0 && handedOut < s.downSince {
		return
	}
	s.limit, s.downSince, s.misses = probeLimit, now, 0
	s.gatePause = min(max(2*s.gatePause, minGatePause), maxGatePause)
	s.closedUntil = now + s.gatePause
}

// missed counts a hand-out that came back without an answer of a worker. One alone says little; when a whole window does, the service
// cannot be reached.
func (s *service) missed(now, handedOut time.Duration) {
	if s.limit > 0 && handedOut < s.downSince {
		return
	}
	s.misses++
	if s.limit > 0 && s.misses >= s.allowed() || s.misses >= max(minMisses, s.window.Total) {
		s.unreachable(now, handedOut)
	}
}

// reachable opens the gate and doubles a shrunken window.
func (s *service) reachable(now time.Duration) {
	s.misses = 0
	if s.limit == 0 {
		return
	}
	s.limit *= 2
	if s.limit >= s.window.Total {
		s.limit = 0
	}
	s.gatePause, s.closedUntil = 0, now
}

func (q *Queue) service(name string) *service {
	s := q.services[name]
	if s == nil {
		s = newService(name)
		q.services[name] = s
	}
	return s
}

// SetWindow sets what may be out at once for a service.
func (q *Queue) SetWindow(service string, w Window) {
	s := q.service(service)
	s.window = w
	q.wake(s)
}

// wake puts the service among the runnable ones if it has something ready.
func (q *Queue) wake(s *service) {
	if !s.queued && s.ready() > 0 {
		s.queued = true
		q.runnable = append(q.runnable, s)
	}
}

// wakeAll wakes every service with something ready, in order of their names.
func (q *Queue) wakeAll() {
	var ready []*service
	for _, s := range q.services {
		if !s.queued && s.ready() > 0 {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	for _, s := range ready {
		q.wake(s)
	}
}
