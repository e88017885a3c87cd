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
	delivery := &pendingDelivery{message: m, attempt: attempt, dispatchedAt: now, deadlineIndex: notInHeap}
	m.pending = append(m.pending, delivery)
	q.countInFlight(delivery, d)
	q.setDeadline(delivery, now+connectedSlack)
	return delivery
}

// countInFlight counts the delivery in the windows.
func (q *Queue) countInFlight(delivery *pendingDelivery, d *dispatcher) {
	q.deliveryCount++
	delivery.order, delivery.dispatcher, delivery.service, delivery.released = q.deliveryCount, d, delivery.message.service, false
	d.pending[delivery] = struct{}{}
	if delivery.service != nil {
		delivery.service.inFlight++
		delivery.service.inFlightAt[d]++
	}
}

// setDeadline sets when the delivery is presumed lost if there is no report of it: the route's timeout after the given time.
func (q *Queue) setDeadline(delivery *pendingDelivery, from time.Duration) {
	q.deadlines.remove(delivery)
	delivery.deadline = from + delivery.message.route.Timeout
	q.deadlines.push(delivery)
}

// release removes the delivery from the windows.
func (q *Queue) release(delivery *pendingDelivery) {
	q.deadlines.remove(delivery)
	if delivery.released {
		return
	}
	delivery.released = true
	delete(delivery.dispatcher.pending, delivery)
	q.removeIfIdle(delivery.dispatcher)
	s := delivery.service
	if s == nil {
		return
	}
	s.inFlight--
	s.inFlightAt[delivery.dispatcher]--
	if s.inFlightAt[delivery.dispatcher] == 0 {
		delete(s.inFlightAt, delivery.dispatcher)
	}
	q.wake(s)
}

// releaseAll releases and removes all pending deliveries of a message.
func (q *Queue) releaseAll(m *message) {
	for _, delivery := range m.pending {
		q.release(delivery)
	}
	m.pending = nil
}

// presumeLost treats a delivery as lost. Its outcome still counts if it arrives.
func (q *Queue) presumeLost(now time.Duration, delivery *pendingDelivery, cause LossCause) {
	m := delivery.message
	if q.options.PresumedLost != nil {
		q.options.PresumedLost(LostDelivery{
			Partition: m.partition.number, ID: m.id, Attempt: delivery.attempt, Dispatcher: delivery.dispatcher.name, Cause: cause,
			Age: now - delivery.dispatchedAt, Foreign: delivery.foreign,
		})
	}
	q.release(delivery)
	if len(m.pending) > maxPending && m.pending[0].released {
		m.removePending(m.pending[0])
	}
	if !m.ending && !m.inFlight() {
		q.requeue(now, m)
	}
}
