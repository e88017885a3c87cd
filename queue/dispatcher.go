package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// disconnectedSlack is added to a route's timeout before a delivery at a disconnected dispatcher is presumed lost.
	disconnectedSlack = 300 * time.Millisecond
	// connectedSlack is the same for a connected dispatcher: the time that it may take to find a worker.
	connectedSlack = 5 * time.Second
)

// dispatcher is the queue's state of a dispatcher process.
type dispatcher struct {
	name    string
	zone    string
	open    bool // deliveries can be sent to it
	pending map[*pendingDelivery]struct{}
	slots   map[string]int // by service; nil if the dispatcher has reported none
}

// hasCapacity reports whether the dispatcher can take one more delivery of the service.
func (d *dispatcher) hasCapacity(s *service) bool {
	limit := max(1, s.window.PerDispatcher)
	if d.slots != nil {
		limit = d.slots[s.name]
	}
	return d.open && s.inFlightAt[d] < limit
}

func (d *dispatcher) sortedPending() []*pendingDelivery {
	return slices.SortedFunc(maps.Keys(d.pending), func(a, b *pendingDelivery) int { return cmp.Compare(a.order, b.order) })
}

// Hello opens a dispatcher on a new connection. held lists all deliveries of this store that the dispatcher holds and whose outcome has not been
// acknowledged to it: an earlier one that is not listed never arrived, so its message is delivered again at once. What is not listed of other stores'
// deliveries shows nothing here: see RequeueUnlisted.
func (q *Queue) Hello(now time.Duration, name, zone string, held []HeldDelivery) {
	d := q.dispatcher(name)
	listed := make(map[HeldDelivery]bool, len(held))
	for _, h := range held {
		listed[h] = true
	}
	for _, delivery := range d.sortedPending() {
		switch {
		case listed[HeldDelivery{delivery.message.partition.number, delivery.message.id, delivery.attempt}]:
		case delivery.foreign:
			q.setDeadline(delivery, now+connectedSlack)
		default:
			delivery.message.removePending(delivery)
			q.presumeLost(now, delivery, LostUnlisted)
		}
	}
	for _, h := range held {
		q.MarkHeld(now, h.Partition, h.ID, h.Attempt, name)
	}
	q.Resume(name, zone)
}

// Resume opens a dispatcher for deliveries.
func (q *Queue) Resume(name, zone string) {
	d := q.dispatcher(name)
	if !d.open || d.zone != zone {
		d.open, d.zone = true, zone
		q.rebuildOpenLists()
	}
	q.wakeAll()
}

// SetSlots limits the deliveries in flight at a dispatcher, by service; services that are not listed get none. With nil, the window of the
// service applies.
func (q *Queue) SetSlots(name string, slots map[string]int) {
	if d := q.dispatchers[name]; d != nil {
		d.slots = slots
		q.wakeAll()
	}
}

// Pause stops deliveries to a dispatcher; those in flight are not affected.
func (q *Queue) Pause(name string) {
	if d := q.dispatchers[name]; d != nil {
		q.closeDispatcher(d)
		q.removeIfIdle(d)
	}
}

// MarkHeld records that a delivery is at a dispatcher, whichever store made it. An unknown message is ignored, and so is a delivery whose
// outcome has been counted meanwhile: no other report of it would follow.
func (q *Queue) MarkHeld(now time.Duration, partition uint32, id string, attempt uint32, name string) {
	m := q.find(partition, id)
	if m == nil || m.ending || slices.Contains(m.concluded, attempt) {
		return
	}
	m.lastAttempt = max(m.lastAttempt, attempt)
	delivery := m.findPending(attempt)
	if delivery == nil {
		q.addPending(now, m, attempt, q.dispatcher(name)).foreign = true
		return
	}
	if delivery.released && !m.inFlight() {
		q.unschedule(m)
		q.countInFlight(delivery, q.dispatcher(name))
	}
	if !delivery.released {
		q.setDeadline(delivery, now+connectedSlack)
	}
}

// HasInFlight reports whether any delivery is in flight at a dispatcher.
func (q *Queue) HasInFlight(name string) bool {
	d := q.dispatchers[name]
	return d != nil && len(d.pending) > 0
}

// RequeueUnlisted requeues the messages of a partition whose deliveries a dispatcher does not list as held, if they were made in a lower
// epoch. held must list all deliveries of the partition that it holds, whichever store made them. The dispatcher has received the given
// epoch of the partition and drops deliveries of lower epochs that arrive later. A delivery of another store that it once held and does
// not list has ended there.
func (q *Queue) RequeueUnlisted(now time.Duration, name string, partition uint32, epoch uint64, held []HeldDelivery) {
	d := q.dispatchers[name]
	if d == nil {
		return
	}
	for _, delivery := range d.sortedPending() {
		m := delivery.message
		if m.partition.number == partition && delivery.epoch < epoch && !slices.Contains(held, HeldDelivery{partition, m.id, delivery.attempt}) {
			m.removePending(delivery)
			q.presumeLost(now, delivery, LostUnlistedInEpoch)
		}
	}
}

// DispatcherDisconnected reports that the connection to a dispatcher is lost. If its process is known to have ended, all its messages are
// requeued at once; otherwise each delivery is presumed lost once the route's timeout and disconnectedSlack have passed since it was made.
func (q *Queue) DispatcherDisconnected(now time.Duration, name string, ended bool) {
	d := q.dispatchers[name]
	if d == nil {
		return
	}
	q.closeDispatcher(d)
	for _, delivery := range d.sortedPending() {
		if ended {
			q.presumeLost(now, delivery, LostProcessEnded)
			continue
		}
		q.setDeadline(delivery, delivery.dispatchedAt+disconnectedSlack)
	}
	q.removeIfIdle(d)
}

func (q *Queue) dispatcher(name string) *dispatcher {
	d := q.dispatchers[name]
	if d == nil {
		d = &dispatcher{name: name, pending: map[*pendingDelivery]struct{}{}}
		q.dispatchers[name] = d
	}
	return d
}

func (q *Queue) closeDispatcher(d *dispatcher) {
	if d.open {
		d.open = false
		q.rebuildOpenLists()
	}
}

func (q *Queue) rebuildOpenLists() {
	q.sameZone, q.otherZones = q.sameZone[:0], q.otherZones[:0]
	for _, name := range sortedKeys(q.dispatchers) {
		switch d := q.dispatchers[name]; {
		case !d.open:
		case d.zone == q.options.Zone:
			q.sameZone = append(q.sameZone, d)
		default:
			q.otherZones = append(q.otherZones, d)
		}
	}
}

func (q *Queue) removeIfIdle(d *dispatcher) {
	if !d.open && len(d.pending) == 0 {
		delete(q.dispatchers, d.name)
	}
}

// chooseDispatcher returns the dispatcher with capacity that has the fewest deliveries of the service in flight, preferably in the store's
// zone.
func (q *Queue) chooseDispatcher(s *service) *dispatcher {
	q.rotation++
	if s.window.Owners != nil {
		return q.chooseOwner(s)
	}
	if d := q.leastLoaded(s, q.sameZone); d != nil {
		return d
	}
	return q.leastLoaded(s, q.otherZones)
}

// chooseOwner chooses among the few dispatchers that the service is assigned to.
func (q *Queue) chooseOwner(s *service) *dispatcher {
	var sameZone, otherZones []*dispatcher
	for _, name := range s.window.Owners {
		switch d := q.dispatchers[name]; {
		case d == nil:
		case d.zone == q.options.Zone:
			sameZone = append(sameZone, d)
		default:
			otherZones = append(otherZones, d)
		}
	}
	if d := q.leastLoaded(s, sameZone); d != nil {
		return d
	}
	return q.leastLoaded(s, otherZones)
}

// leastLoaded returns the dispatcher of a list that has capacity and the fewest deliveries of the service in flight, rotating among equals.
// A dispatcher with none in flight is returned without checking the others: with more dispatchers than deliveries, the usual case, the
// cost does not grow with the number of dispatchers.
func (q *Queue) leastLoaded(s *service, list []*dispatcher) *dispatcher {
	var best *dispatcher
	fewest := 0
	for index := range list {
		d := list[(index+q.rotation)%len(list)]
		if !d.hasCapacity(s) {
			continue
		}
		inFlight := s.inFlightAt[d]
		if inFlight == 0 {
			return d
		}
		if best == nil || inFlight < fewest {
			best, fewest = d, inFlight
		}
	}
	return best
}
