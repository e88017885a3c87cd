package queue

import "time"

// Next returns the next delivery to make now and counts it as in flight, or false if nothing can be delivered.
func (q *Queue) Next(now time.Duration) (Delivery, bool) {
	for len(q.runnable) > 0 {
		s := q.runnable[0]
		q.runnable[0] = nil
		q.runnable = q.runnable[1:]
		s.runnable = false
		if delivery, ok := q.dispatchFrom(now, s); ok {
			q.wake(s)
			return delivery, true
		}
	}
	return Delivery{}, false
}

// dispatchFrom delivers one message of a service, if the service is not paused and its window and a dispatcher's window have room.
func (q *Queue) dispatchFrom(now time.Duration, s *service) (Delivery, bool) {
	if s.pausedUntil > now {
		q.pausedServices.remove(s)
		q.pausedServices.push(s)
		return Delivery{}, false
	}
	if s.inFlight >= s.allowed() {
		return Delivery{}, false
	}
	d := q.chooseDispatcher(s)
	if d == nil {
		return Delivery{}, false
	}
	m := s.next(now)
	if m == nil {
		return Delivery{}, false
	}
	late := m.lateAt <= now
	s.countDispatch(late)
	m.lastAttempt++
	q.addPending(now, m, m.lastAttempt, d).epoch = m.partition.epoch
	return Delivery{
		Partition: m.partition.number, ID: m.id, Host: m.host, URI: m.uri, Key: m.key, Revision: m.revision,
		DueFor: now - m.due, ExpiresIn: m.expires - now, Epoch: m.partition.epoch, Attempt: m.lastAttempt,
		Failed: m.attempts, Dispatcher: d.name, Service: s.name, Late: late,
	}, true
}

// addPending records a delivery of the message as in flight at the dispatcher.
func (q *Queue) addPending(now time.Duration, m *message, attempt uint32, d *dispatcher) *pendingDelivery {
	q.unschedule(m)
	h := &pendingDelivery{message: m, attempt: attempt, dispatchedAt: now, deadlineIndex: notInHeap}
	m.pending = append(m.pending, h)
	q.countInFlight(h, d)
	q.setDeadline(h, now+connectedSlack)
	return h
}

// countInFlight counts the delivery in the windows.
func (q *Queue) countInFlight(h *pendingDelivery, d *dispatcher) {
	q.deliveryCount++
	h.order, h.dispatcher, h.service, h.released = q.deliveryCount, d, h.message.service, false
	d.pending[h] = struct{}{}
	if h.service != nil {
		h.service.inFlight++
		h.service.inFlightAt[d]++
	}
}

// setDeadline sets when the delivery is presumed lost if there is no report of it: the route's timeout after the given time.
func (q *Queue) setDeadline(h *pendingDelivery, from time.Duration) {
	q.deadlines.remove(h)
	h.deadline = from + h.message.route.Timeout
	q.deadlines.push(h)
}

// release removes the delivery from the windows.
func (q *Queue) release(h *pendingDelivery) {
	q.deadlines.remove(h)
	if h.released {
		return
	}
	h.released = true
	delete(h.dispatcher.pending, h)
	q.removeIfIdle(h.dispatcher)
	s := h.service
	if s == nil {
		return
	}
	s.inFlight--
	s.inFlightAt[h.dispatcher]--
	if s.inFlightAt[h.dispatcher] == 0 {
		delete(s.inFlightAt, h.dispatcher)
	}
	q.wake(s)
}

// releaseAll releases and removes all pending deliveries of a message.
func (q *Queue) releaseAll(m *message) {
	for _, h := range m.pending {
		q.release(h)
	}
	m.pending = nil
}

// presumeLost treats a delivery as lost. Its outcome still counts if it arrives.
func (q *Queue) presumeLost(now time.Duration, h *pendingDelivery) {
	q.release(h)
	m := h.message
	if len(m.pending) > maxPending && m.pending[0].released {
		m.removePending(m.pending[0])
	}
	if !m.ending && !m.inFlight() {
		q.requeue(now, m)
	}
}
