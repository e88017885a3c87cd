// Package stores connects a dispatcher to all stores: it takes their deliveries, and reports what became of each to the present primary
// of its partition until that has it on disk.
package stores

import (
	"slices"
	"sync"
	"time"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// messageKey names a message.
type messageKey struct {
	partition uint32
	id        string
}

// held is a delivery that this dispatcher has: from its arrival until its outcome is on disk.
type heldDelivery struct {
	key        messageKey
	store      string // key of the store that handed it out last
	arrived    time.Time
	confirmed  time.Time         // when a store last heard that it is here
	attempt    uint32            // the newest that was handed out before the run ended
	finished   bool              // the run is over; the outcome is being reported
	redelivery *protocol.Deliver // handed out again after that
}

// heldSet is all that this dispatcher has, and the connections on which it takes more. A delivery is either in a Hello or refused: both
// happen under one lock.
type heldSet struct {
	mu         sync.Mutex
	deliveries map[messageKey]*heldDelivery
	conns      map[*rpc.Conn]string // keys of stores, by the connection that was greeted last
}

func newHeldSet() *heldSet {
	return &heldSet{deliveries: map[messageKey]*heldDelivery{}, conns: map[*rpc.Conn]string{}}
}

// greet makes conn the only connection on which deliveries of the store are taken, and returns what is held of the partitions that it
// leads, or has come from it.
func (s *heldSet) activate(conn *rpc.Conn, store string, now time.Time, leads func(partition uint32) bool) []protocol.HeldDelivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, key := range s.conns {
		if key == store && other != conn {
			delete(s.conns, other)
		}
	}
	s.conns[conn] = store
	var list []protocol.HeldDelivery
	for key, h := range s.deliveries {
		if h.store == store || leads(key.partition) {
			h.confirmed = now
			list = append(list, protocol.HeldDelivery{Partition: key.partition, ID: key.id, Attempt: h.attempt})
		}
	}
	slices.SortFunc(list, compareHeld)
	return list
}

// part ends the taking of deliveries on a connection.
func (s *heldSet) deactivate(conn *rpc.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// partAll ends the taking of deliveries on all connections, and returns them.
func (s *heldSet) deactivateAll() []*rpc.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*rpc.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	clear(s.conns)
	return conns
}

// taking is what became of a delivery that came.
type takeResult uint8

const (
	takeRun       takeResult = iota + 1
	takeDuplicate            // the message is here already; the newest attempt is remembered
	takeInactive             // it came on a connection that was not greeted
	takeOutdated             // its partition has a later view
)

// take notes a delivery. It returns what is held if there is something to run. late says that the delivery is of an earlier view; it is asked
// under the lock, because a Hello by the later view may have been written meanwhile.
func (s *heldSet) take(conn *rpc.Conn, m *protocol.Deliver, now time.Time, isOutdated func() bool) (*heldDelivery, takeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	store, active := s.conns[conn]
	if !active {
		return nil, takeInactive
	}
	if isOutdated() {
		return nil, takeOutdated
	}
	key := messageKey{m.Partition, m.ID}
	h := s.deliveries[key]
	switch {
	case h == nil:
		h = &heldDelivery{key: key, store: store, arrived: now, confirmed: now, attempt: m.Attempt}
		s.deliveries[key] = h
		return h, takeRun
	case !h.finished:
		h.store, h.attempt = store, max(h.attempt, m.Attempt)
	case m.Attempt > h.attempt && (h.redelivery == nil || m.Attempt > h.redelivery.Attempt):
		h.store, h.redelivery = store, m
	}
	return nil, takeDuplicate
}

// finish notes the end of the run and returns the attempt to report it for: later ones were handed out for another run.
func (s *heldSet) finish(h *heldDelivery) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.finished = true
	return h.attempt
}

// reported notes that the outcome is on disk. It returns a delivery that was handed out meanwhile; without one nothing is held any more.
func (s *heldSet) reported(h *heldDelivery, now time.Time) *protocol.Deliver {
	s.mu.Lock()
	defer s.mu.Unlock()
	redelivery := h.redelivery
	if redelivery == nil {
		delete(s.deliveries, h.key)
		return nil
	}
	h.redelivery, h.finished, h.attempt, h.arrived, h.confirmed = nil, false, redelivery.Attempt, now, now
	return redelivery
}

// count is how many deliveries are held.
func (s *heldSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.deliveries)
}

// untold calls f for each delivery that no store has heard of since a moment.
func (s *heldSet) eachUnconfirmed(since time.Time, f func(store string, partition uint32)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, h := range s.deliveries {
		if !h.confirmed.After(since) {
			f(h.store, key.partition)
		}
	}
}
