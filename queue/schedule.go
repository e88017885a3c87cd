package queue

import "time"

// routeMessage matches a message against the current configuration, and puts it into its lane and schedule. Without a route it ends if
// the configuration is at least as new as the one under which it was accepted; otherwise it waits for that configuration.
func (q *Queue) routeMessage(now time.Duration, m *message) {
	if m.ending {
		return
	}
	route, found := q.options.Match(m.host, m.uri)
	m.routed = found
	if !found {
		q.unschedule(m)
		m.service = nil
		if !m.inFlight() && q.endsUndelivered(now, m) {
			q.finishLater(m, DeadLetter)
		}
		return
	}
	m.route, m.lateAt = route, m.due+route.TargetStart
	q.enterLane(now, m)
	q.unschedule(m)
	m.service = q.service(route.Service)
	q.schedule(now, m)
}

// enterLane moves the message into the lane that its route and key determine.
func (q *Queue) enterLane(now time.Duration, m *message) {
	key := laneKey{m.partition.number, m.route.Name, m.key}
	wanted := m.route.Fifo && m.key != ""
	if m.lane != nil {
		if wanted && m.lane.key == key {
			return
		}
		q.leaveLane(now, m)
	}
	if !wanted {
		return
	}
	l := q.lanes[key]
	if l == nil {
		l = &lane{key: key}
		q.lanes[key] = l
	}
	m.lane = l
	l.insert(m)
	l.head().reposition()
	if l.head() == m && len(l.messages) > 1 {
		q.unschedule(l.messages[1])
	}
}

// leaveLane removes the message from its lane and schedules the next one of its key.
func (q *Queue) leaveLane(now time.Duration, m *message) {
	l := m.lane
	if l == nil {
		return
	}
	m.lane = nil
	l.remove(m)
	if len(l.messages) == 0 {
		delete(q.lanes, l.key)
		return
	}
	q.schedule(now, l.head())
}

// schedule puts a message where its state requires: among the ready messages of its service, among the messages that wait for a time, or
// in no heap.
func (q *Queue) schedule(now time.Duration, m *message) {
	q.unschedule(m)
	switch {
	case !m.partition.open, !m.routed, m.ending, m.service == nil, m.lane != nil && m.lane.head() != m, m.inFlight():
	case m.readyAt > now:
		m.heap = &q.waiting
		q.waiting.push(m)
	default:
		m.service.add(now, m)
		q.wake(m.service)
	}
}

// reposition restores the heap position of a scheduled message after its sort key has changed.
func (m *message) reposition() {
	if h := m.heap; h != nil {
		h.remove(m)
		h.push(m)
	}
}

func (q *Queue) unschedule(m *message) {
	if m.heap != nil {
		m.heap.remove(m)
		m.heap = nil
	}
}

// finish marks the message as ended. The owner writes the end and calls ConfirmEnd.
func (q *Queue) finish(m *message, state State) Transition {
	q.unschedule(m)
	q.releaseAll(m)
	q.expiry.remove(m)
	m.ending, m.state = true, state
	return Transition{Action: End, Partition: m.partition.number, ID: m.id, State: state, Attempts: m.attempts}
}

// finishLater marks the message as ended for a reason other than an outcome; Advance reports it.
func (q *Queue) finishLater(m *message, state State) {
	q.ended = append(q.ended, q.finish(m, state))
}

// endsUndelivered reports whether a message that is not in flight must end: its retention has expired or its route was removed.
func (q *Queue) endsUndelivered(now time.Duration, m *message) bool {
	return m.expires <= now || !m.routed && !q.revision.Before(m.revision)
}

// requeue schedules a message that is no longer in flight.
func (q *Queue) requeue(now time.Duration, m *message) {
	if q.endsUndelivered(now, m) {
		q.finishLater(m, DeadLetter)
		return
	}
	q.schedule(now, m)
}
