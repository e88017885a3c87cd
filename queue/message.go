package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// message is one message of the queue.
type message struct {
	partition *partition
	id        string
	key       string
	host, uri string
	sequence  uint64
	revision  Revision
	due       time.Duration
	expires   time.Duration
	readyAt   time.Duration // not delivered before: end of the delay or of the pause after an attempt
	lateAt    time.Duration // target start
	route     Route
	routed    bool
	lane      *lane
	service   *service

	attempts    int // failed attempts
	lastAttempt uint32
	retries     uint8 // consecutive outcomes of the same kind, which determine the retry pause
	lastOutcome Outcome
	ending      bool // its end is being written
	state       State
	pending     []*pendingDelivery
	concluded   []uint32 // the last deliveries whose outcome was counted without ending the message

	heap        *indexedHeap[*message] // the heap that the message is scheduled in, if any
	heapIndex   int
	expiryIndex int
}

// pendingDelivery is a delivery whose outcome is not known.
type pendingDelivery struct {
	message       *message
	attempt       uint32
	dispatcher    *dispatcher
	service       *service
	dispatchedAt  time.Duration
	epoch         uint64 // of the partition at the time of the delivery; 0 if it is foreign
	foreign       bool   // made by another store
	order         uint64 // number among all deliveries, for a deterministic order
	deadline      time.Duration
	deadlineIndex int
	released      bool // it no longer counts in the windows: it may be lost, and the message may be delivered again; its outcome still counts
}

const (
	// maxPending bounds the number of remembered deliveries per message whose outcome is unknown.
	maxPending = 4
	// maxConcluded bounds the number of remembered deliveries per message whose outcome was counted.
	maxConcluded = 8
)

func (m *message) maxAttempts() int { return max(1, m.route.MaxAttempts) }

// inFlight reports whether the message is at a dispatcher.
func (m *message) inFlight() bool {
	return slices.ContainsFunc(m.pending, func(delivery *pendingDelivery) bool { return !delivery.released })
}

// inFlightBeside reports whether the message is at a dispatcher in another delivery than the given one.
func (m *message) inFlightBeside(attempt uint32) bool {
	return slices.ContainsFunc(m.pending, func(delivery *pendingDelivery) bool {
		return !delivery.released && delivery.attempt != attempt
	})
}

func (m *message) findPending(attempt uint32) *pendingDelivery {
	for _, delivery := range m.pending {
		if delivery.attempt == attempt {
			return delivery
		}
	}
	return nil
}

func (m *message) removePending(delivery *pendingDelivery) {
	if index := slices.Index(m.pending, delivery); index >= 0 {
		m.pending = slices.Delete(m.pending, index, index+1)
	}
}

// conclude records that the outcome of a delivery was counted. A dispatcher may still list the delivery in a Hello that it sent before
// it received the acknowledgement.
func (m *message) conclude(attempt uint32) {
	if slices.Contains(m.concluded, attempt) {
		return
	}
	if len(m.concluded) >= maxConcluded {
		m.concluded = slices.Delete(m.concluded, 0, 1)
	}
	m.concluded = append(m.concluded, attempt)
}

// laneKey identifies a lane.
type laneKey struct {
	partition  uint32
	route, key string
}

// lane holds the messages of one ordering key in the order of their acceptance.
type lane struct {
	key      laneKey
	messages []*message
}

func (l *lane) head() *message { return l.messages[0] }

func (l *lane) search(sequence uint64) int {
	index, _ := slices.BinarySearchFunc(l.messages, sequence, func(m *message, sequence uint64) int {
		return cmp.Compare(m.sequence, sequence)
	})
	return index
}

func (l *lane) insert(m *message) {
	if last := len(l.messages); last == 0 || l.messages[last-1].sequence < m.sequence {
		l.messages = append(l.messages, m)
		return
	}
	l.messages = slices.Insert(l.messages, l.search(m.sequence), m)
}

func (l *lane) remove(m *message) {
	if l.messages[0] == m {
		l.messages[0] = nil
		l.messages = l.messages[1:]
		return
	}
	for index := l.search(m.sequence); index < len(l.messages); index++ {
		if l.messages[index] == m {
			l.messages = slices.Delete(l.messages, index, index+1)
			return
		}
	}
}

// partition holds the messages of one partition.
type partition struct {
	number   uint32
	open     bool // deliveries are allowed
	epoch    uint64
	messages map[string]*message
}

// sorted returns the messages in the order of their acceptance.
func (p *partition) sorted() []*message {
	return slices.SortedFunc(maps.Values(p.messages), func(a, b *message) int {
		return cmp.Or(cmp.Compare(a.sequence, b.sequence), cmp.Compare(a.id, b.id))
	})
}
