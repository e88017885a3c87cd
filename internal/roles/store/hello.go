package store

import (
	"iter"
	"slices"
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/queue"
)

// A dispatcher's Hello to a store lists the deliveries that it holds, as far as the store made them or is the primary of their partition by the
// dispatcher's partition table. What a Hello does not list is lost only where its list is complete: see listsCompletely.

const (
	// helloTimeout is how long a new primary waits for the Hello of all live dispatchers if the previous primary was lost.
	helloTimeout = 500 * time.Millisecond
	// plannedHelloTimeout is the same if the previous primary is still a member or has a session: nothing was lost, so no message
	// should run twice.
	plannedHelloTimeout = 1500 * time.Millisecond
)

// receiveHello starts or renews deliveries on a connection.
func (s *store) receiveHello(c *rpc.Conn, body []byte) {
	var m protocol.Hello
	if err := m.Decode(body); err != nil {
		c.Close()
		return
	}
	now := s.now()
	name := sessionName(m.Dispatcher, m.Incarnation)
	sess := s.sessions[name]
	if sess == nil {
		sess = &session{name: name, key: m.Dispatcher, incarnation: m.Incarnation}
		s.sessions[name] = sess
	}
	sess.tableVersion, sess.held = m.Table, convertHeld(m.Held)
	if sess.conn == c {
		for _, h := range sess.held {
			s.queue.MarkHeld(now, h.Partition, h.ID, h.Attempt, name)
		}
		s.queue.Resume(name, m.Zone)
	} else {
		s.attachConnection(c, sess, m.Zone)
		s.reconcileSessions(now, s.view)
	}
	s.reviewHello(now, sess)
	s.queue.SetSlots(name, slotsByService(m.Windows))
}

func convertHeld(held []protocol.HeldDelivery) []queue.HeldDelivery {
	list := make([]queue.HeldDelivery, 0, len(held))
	for _, h := range held {
		list = append(list, queue.HeldDelivery{Partition: h.Partition, ID: h.ID, Attempt: h.Attempt})
	}
	return list
}

func slotsByService(windows []protocol.ServiceWindow) map[string]int {
	if len(windows) == 0 {
		return nil
	}
	slots := make(map[string]int, len(windows))
	for _, w := range windows {
		slots[w.Service] = int(w.Slots)
	}
	return slots
}

// listsCompletely reports whether the last Hello of a session lists all deliveries of a partition that its dispatcher holds. That is so if this store
// is the primary by the table of the Hello, which is known for the tables from the one that contained the present view up to the installed one.
func (s *store) listsCompletely(sess *session, p *partition) bool {
	return p.view.Primary == s.member && !sess.tableVersion.Less(p.tableVersion) && !s.tableVersion.Less(sess.tableVersion)
}

// reviewHello applies what the last Hello of a session shows by not listing it: deliveries of earlier epochs that the dispatcher does not hold are
// requeued, and a new primary need not wait for this dispatcher any more.
func (s *store) reviewHello(now time.Duration, sess *session) {
	holdsAny := s.queue.HasInFlight(sess.name)
	for _, p := range s.sortedPartitions() {
		if !s.listsCompletely(sess, p) {
			continue
		}
		if !p.hellosComplete {
			p.listed[sess.name] = heldOfPartition(sess.held, p.number)
		}
		if p.leading && holdsAny {
			s.queue.RequeueUnlisted(now, sess.name, p.number, p.view.Epoch, sess.held)
		}
	}
}

// reviewHellos reviews the Hellos that were based on a newer table than the one installed before, and on none newer than the present one.
func (s *store) reviewHellos(now time.Duration, before protocol.ItemVersion) {
	for _, sess := range s.sessions {
		if before.Less(sess.tableVersion) && !s.tableVersion.Less(sess.tableVersion) {
			s.reviewHello(now, sess)
		}
	}
}

func heldOfPartition(held []queue.HeldDelivery, partition uint32) []queue.HeldDelivery {
	var list []queue.HeldDelivery
	for _, h := range held {
		if h.Partition == partition {
			list = append(list, h)
		}
	}
	return list
}

// unlisted yields the names of the dispatchers that have not listed all deliveries of the partition that they hold: of those that are live by the node
// table, and of those that are connected and may not be in it yet, or no more.
func (s *store) unlisted(p *partition) iter.Seq[string] {
	return func(yield func(string) bool) {
		for node := range s.view.Each(protocol.RoleDispatcher) {
			name := sessionName(node.Key, node.Incarnation)
			if _, listed := p.listed[name]; !listed && !yield(name) {
				return
			}
		}
		for name, sess := range s.sessions {
			if _, listed := p.listed[name]; !listed && s.connectedBesideTable(sess) && !yield(name) {
				return
			}
		}
	}
}

// connectedBesideTable reports whether the dispatcher of a session is connected, although the node table does not contain its process, and is not
// known to have ended.
func (s *store) connectedBesideTable(sess *session) bool {
	node, found := s.view.NodeByKey(sess.key)
	inTable := found && node.Incarnation == sess.incarnation
	return sess.conn != nil && !inTable && !s.processReplaced(sess, s.view)
}

// allListed reports whether every dispatcher has listed all deliveries of the partition that it holds.
func (s *store) allListed(p *partition) bool {
	for range s.unlisted(p) {
		return false
	}
	return true
}

// markHeld marks the deliveries of a partition as held that dispatchers listed in their last Hello, or in the last one that listed them all.
func (s *store) markHeld(now time.Duration, p *partition) {
	for _, sess := range s.sessions {
		lists := slices.Concat(heldOfPartition(sess.held, p.number), p.listed[sess.name])
		for _, h := range lists {
			s.queue.MarkHeld(now, h.Partition, h.ID, h.Attempt, sess.name)
		}
	}
}

// helloTimeout returns how long a new primary waits for the Hello of dispatchers.
func (p *partition) helloTimeout() time.Duration {
	if p.plannedTakeover {
		return plannedHelloTimeout
	}
	return helloTimeout
}

// awaitHellos checks whether all dispatchers have listed what they hold, or the time for that is over.
func (p *partition) awaitHellos(now time.Duration) {
	switch {
	case p.store.allListed(p):
	case now >= p.helloDeadline:
		p.logMissingHellos()
	default:
		return
	}
	p.hellosComplete, p.listed = true, nil
}

// restartHellos makes this store, if it is the next primary, wait until all dispatchers have listed what they hold.
func (p *partition) restartHellos() {
	p.hellosComplete, p.listed = false, map[string][]queue.HeldDelivery{}
}

// logMissingHellos logs the dispatchers that have not listed their deliveries in time: what they hold may run twice.
func (p *partition) logMissingHellos() {
	p.store.logger.Warn("a partition is delivered before all dispatchers have listed what they hold",
		zap.Uint32("partition", p.number), zap.Uint64("epoch", p.view.Epoch), zap.Bool("planned", p.plannedTakeover),
		zap.Strings("missing", slices.Sorted(p.store.unlisted(p))))
}
