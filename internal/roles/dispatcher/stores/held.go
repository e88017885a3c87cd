// Package stores connects a dispatcher to all stores: it receives their deliveries, and reports the outcome of each to the current primary
// of its partition until that primary has written it to disk.
package stores

import (
	"slices"
	"sync"
	"time"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// messageKey identifies a message.
type messageKey struct {
	partition uint32
	id        string
}

// heldDelivery is a delivery that this dispatcher holds, from its arrival until its outcome is on disk.
type heldDelivery struct {
	key        messageKey
	store      string // key of the store that sent it last
	arrived    time.Time
	confirmed  time.Time         // when it was last listed in a Hello
	attempt    uint32            // the newest that arrived before the run ended
	finished   bool              // the run has ended; the outcome is being reported
	redelivery *protocol.Deliver // a later attempt that arrived after that
}

// heldSet holds all deliveries of this dispatcher and the active connections, on which it accepts more. A connection is activated, and the
// deliveries for its Hello are listed, under the same lock as a delivery is accepted: each delivery is either in the Hello or refused.
type heldSet struct {
	mu         sync.Mutex
	deliveries map[messageKey]*heldDelivery
	conns      map[*rpc.Conn]string // active connections, with the key of the store of each
}

func newHeldSet() *heldSet {
	return &heldSet{deliveries: map[messageKey]*heldDelivery{}, conns: map[*rpc.Conn]string{}}
}

// activate makes conn the only connection on which deliveries of the store are accepted. It returns the held deliveries that came from the
// store or belong to partitions of which it is the primary. A redelivery that waits is held as well, unless isOutdated reports that it is of an
// earlier view than the Hello: it will not run then.
func (s *heldSet) activate(conn *rpc.Conn, store string, now time.Time, isPrimary func(partition uint32) bool,
	isOutdated func(m *protocol.Deliver) bool) []protocol.HeldDelivery {
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
		if h.store == store || isPrimary(key.partition) {
			h.confirmed = now
			list = append(list, protocol.HeldDelivery{Partition: key.partition, ID: key.id, Attempt: h.attempt})
			if waiting := h.redelivery; waiting != nil && !isOutdated(waiting) {
				list = append(list, protocol.HeldDelivery{Partition: key.partition, ID: key.id, Attempt: waiting.Attempt})
			}
		}
	}
	slices.SortFunc(list, compareHeld)
	return list
}

// deactivate stops accepting deliveries on a connection.
func (s *heldSet) deactivate(conn *rpc.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// deactivateAll stops accepting deliveries on all connections, and returns them.
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

// takeResult is the decision on a delivery that arrived.
type takeResult uint8

const (
	takeRun       takeResult = iota + 1
	takeDuplicate            // the message is already held; its newest attempt is recorded
	takeInactive             // it arrived on a connection that is not active
	takeOutdated             // its partition has a later view
)

// take records a delivery. It returns the held delivery if it is to be run. isOutdated reports whether the delivery is of an earlier view; it is
// called under the lock, because a Hello for the later view may have been written meanwhile.
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
	case !h.finished && m.Attempt > h.attempt: // a delivery of an earlier primary may arrive late
		h.store, h.attempt = store, m.Attempt
	case h.finished && m.Attempt > h.attempt && (h.redelivery == nil || m.Attempt > h.redelivery.Attempt):
		h.store, h.redelivery = store, m
	}
	return nil, takeDuplicate
}

// finish records the end of the run and returns the attempt number to report: later attempts are for another run.
func (s *heldSet) finish(h *heldDelivery) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.finished = true
	return h.attempt
}

// reported records that the outcome is on disk. next is the delivery of the message that arrived meanwhile; without one the message is no longer
// held. One that isOutdated reports to be of an earlier view by now is returned as dropped instead: the primary of the later view does not know of
// it, and may have made another delivery. isOutdated is called under the lock, because a Hello for the later view may have been written meanwhile.
func (s *heldSet) reported(h *heldDelivery, now time.Time, isOutdated func(m *protocol.Deliver) bool) (next, dropped *protocol.Deliver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	redelivery := h.redelivery
	if redelivery == nil {
		delete(s.deliveries, h.key)
		return nil, nil
	}
	if isOutdated(redelivery) {
		delete(s.deliveries, h.key)
		return nil, redelivery
	}
	h.redelivery, h.finished, h.attempt, h.arrived, h.confirmed = nil, false, redelivery.Attempt, now, now
	return redelivery, nil
}

// count returns the number of held deliveries.
func (s *heldSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.deliveries)
}

// eachUnconfirmed calls f for each delivery that has not been confirmed since the given time.
func (s *heldSet) eachUnconfirmed(since time.Time, f func(store string, partition uint32)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, h := range s.deliveries {
		if !h.confirmed.After(since) {
			f(h.store, key.partition)
		}
	}
}
