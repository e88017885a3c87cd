package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options are the fixed parameters of a Queue.
type Options struct {
	// Match finds the route of a message in the current configuration.
	Match func(host, uri string) (Route, bool)
	// Revision is the revision of the current configuration.
	Revision Revision
	// Zone is the zone of the store; dispatchers of the same zone are preferred.
	Zone string
	// PresumedLost is called for each delivery that is presumed lost, before its message is delivered again; nil for no calls.
	PresumedLost func(LostDelivery)
}

// Queue holds the messages of the partitions that a store is primary of. It is not safe for concurrent use.
type Queue struct {
	options              Options
	revision             Revision
	partitions           map[uint32]*partition
	lanes                map[laneKey]*lane
	services             map[string]*service
	dispatchers          map[string]*dispatcher
	sameZone, otherZones []*dispatcher // open dispatchers of the store's zone and of other zones, in order of their names
	runnable             []*service    // services that may have a message to deliver, without duplicates
	waiting              indexedHeap[*message]
	expiry               indexedHeap[*message]
	deadlines            indexedHeap[*pendingDelivery]
	pausedServices       indexedHeap[*service]
	ended                []Transition // ends that Advance has yet to report
	deliveryCount        uint64       // deliveries made so far
	rotation             int
}

// New returns an empty queue.
func New(o Options) *Queue {
	return &Queue{
		options:     o,
		revision:    o.Revision,
		partitions:  map[uint32]*partition{},
		lanes:       map[laneKey]*lane{},
		services:    map[string]*service{},
		dispatchers: map[string]*dispatcher{},
		waiting: indexedHeap[*message]{
			less:    func(a, b *message) bool { return earlier(a, b, a.readyAt, b.readyAt) },
			indexOf: scheduleIndex,
		},
		expiry: indexedHeap[*message]{
			less:    func(a, b *message) bool { return earlier(a, b, a.expires, b.expires) },
			indexOf: func(m *message) *int { return &m.expiryIndex },
		},
		deadlines: indexedHeap[*pendingDelivery]{
			less: func(a, b *pendingDelivery) bool {
				return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.order, b.order)) < 0
			},
			indexOf: func(delivery *pendingDelivery) *int { return &delivery.deadlineIndex },
		},
		pausedServices: indexedHeap[*service]{
			less: func(a, b *service) bool {
				return cmp.Or(cmp.Compare(a.pausedUntil, b.pausedUntil), cmp.Compare(a.name, b.name)) < 0
			},
			indexOf: func(s *service) *int { return &s.pausedIndex },
		},
	}
}

func scheduleIndex(m *message) *int { return &m.heapIndex }

// earlier orders two messages by a time, and by their acceptance if the times are equal, so that the order is total.
func earlier(a, b *message, at, bt time.Duration) bool {
	return cmp.Or(cmp.Compare(at, bt), cmp.Compare(a.sequence, b.sequence), cmp.Compare(a.partition.number, b.partition.number)) < 0
}

// Add adds a message whose acceptance is durable. It returns false if the queue holds it already.
func (q *Queue) Add(now time.Duration, e Entry) bool {
	p := q.partition(e.Partition)
	if p.messages[e.ID] != nil {
		return false
	}
	m := &message{
		partition: p, id: e.ID, key: e.Key, host: e.Host, uri: e.URI, sequence: e.Sequence, revision: e.Revision,
		due: now + e.DueIn, expires: now + e.ExpiresIn, readyAt: now + e.DueIn, attempts: e.Attempts, lastAttempt: e.LastAttempt,
		concluded: slices.Clone(e.CountedDeliveries),
		heapIndex: notInHeap, expiryIndex: notInHeap,
	}
	p.messages[e.ID] = m
	q.expiry.push(m)
	q.routeMessage(now, m)
	return true
}

// Has reports whether the queue holds the message.
func (q *Queue) Has(partition uint32, id string) bool { return q.find(partition, id) != nil }

// Len returns the number of messages of a partition.
func (q *Queue) Len(partition uint32) int {
	if p := q.partitions[partition]; p != nil {
		return len(p.messages)
	}
	return 0
}

// SetOpen allows or stops deliveries from a partition. A partition is closed at first, so that messages can be added and held deliveries
// reported before anything is delivered. Deliveries in flight are not affected.
func (q *Queue) SetOpen(now time.Duration, partition uint32, open bool) {
	p := q.partition(partition)
	if p.open == open {
		return
	}
	p.open = open
	for _, m := range p.sorted() {
		q.schedule(now, m)
	}
}

// SetEpoch sets the epoch of subsequent deliveries from a partition.
func (q *Queue) SetEpoch(partition uint32, epoch uint64) { q.partition(partition).epoch = epoch }

// Drop removes all messages of a partition.
func (q *Queue) Drop(partition uint32) {
	p := q.partitions[partition]
	if p == nil {
		return
	}
	p.open = false
	for _, m := range p.sorted() {
		q.unschedule(m)
		q.releaseAll(m)
		q.expiry.remove(m)
		if m.lane != nil {
			delete(q.lanes, m.lane.key)
		}
	}
	delete(q.partitions, partition)
}

// ConfirmEnd reports that the end of a message is on disk on all replicas: the message is removed, and the next one of its key may be
// delivered.
func (q *Queue) ConfirmEnd(now time.Duration, partition uint32, id string) {
	m := q.find(partition, id)
	if m == nil || !m.ending {
		return
	}
	q.unschedule(m)
	q.releaseAll(m)
	q.expiry.remove(m)
	delete(m.partition.messages, id)
	q.leaveLane(now, m)
}

// Reconfigure matches every message again: routes, timeouts and services of queued messages follow the current configuration. Messages
// whose route was removed end; Advance reports them.
func (q *Queue) Reconfigure(now time.Duration, revision Revision) {
	q.revision = revision
	for _, number := range slices.Sorted(maps.Keys(q.partitions)) {
		for _, m := range q.partitions[number].sorted() {
			q.routeMessage(now, m)
		}
	}
}

func (q *Queue) partition(number uint32) *partition {
	p := q.partitions[number]
	if p == nil {
		p = &partition{number: number, messages: map[string]*message{}}
		q.partitions[number] = p
	}
	return p
}

func (q *Queue) find(partition uint32, id string) *message {
	if p := q.partitions[partition]; p != nil {
		return p.messages[id]
	}
	return nil
}
