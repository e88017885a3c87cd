package store

import (
	"iter"
	"slices"
	"strconv"
	"time"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/queue"
)

// session is the state of one dispatcher process.
type session struct {
	name         string // the dispatcher's name in the queue
	key          string // key of the node
	incarnation  uint64
	conn         *rpc.Conn            // nil while it is not connected
	tableVersion protocol.ItemVersion // of the partition table that the last Hello was based on
	held         []queue.HeldDelivery // according to the last Hello
	listed       bool                 // the node table has contained this incarnation
}

func sessionName(key string, incarnation uint64) string {
	return key + "#" + strconv.FormatUint(incarnation, 16)
}

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

// attachConnection sets the connection of a dispatcher. Deliveries that were sent on the previous one and are not held never arrived.
func (s *store) attachConnection(c *rpc.Conn, sess *session, zone string) {
	now := s.now()
	if old := sess.conn; old != nil {
		old.Close()
		s.queue.DispatcherDisconnected(now, sess.name, false)
	}
	sess.conn = c
	c.SetTag(sess)
	s.queue.Hello(now, sess.name, zone, sess.held)
	s.windowsStale = true
}

func convertHeld(held []protocol.HeldDelivery) []queue.HeldDelivery {
	list := make([]queue.HeldDelivery, 0, len(held))
	for _, h := range held {
		list = append(list, queue.HeldDelivery{Partition: h.Partition, ID: h.ID, Attempt: h.Attempt})
	}
	return list
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

// receivePause stops deliveries on a connection.
func (s *store) receivePause(c *rpc.Conn) {
	if sess, ok := c.Tag().(*session); ok && sess.conn == c {
		s.queue.Pause(sess.name)
	}
}

// handleClose is called for each closed connection, on any goroutine.
func (s *store) handleClose(c *rpc.Conn, _ error) { s.loop.post(func() { s.connectionClosed(c) }) }

// connectionClosed handles the lost connection of a dispatcher.
func (s *store) connectionClosed(c *rpc.Conn) {
	sess, ok := c.Tag().(*session)
	if !ok || sess.conn != c {
		return
	}
	sess.conn = nil
	s.queue.DispatcherDisconnected(s.now(), sess.name, s.processReplaced(sess, s.view))
}

// processReplaced reports whether the process of a session is known to have ended: the node table contains a later process of the same node.
func (s *store) processReplaced(sess *session, view *agent.View) bool {
	node, found := view.NodeByKey(sess.key)
	return found && sess.listed && node.Incarnation != sess.incarnation
}

// reconcileSessions compares the sessions with the node table: it returns the deliveries of replaced processes to the queue and removes
// disconnected sessions that the table does not contain.
func (s *store) reconcileSessions(now time.Duration, view *agent.View) {
	for name, sess := range s.sessions {
		node, found := view.NodeByKey(sess.key)
		if found && node.Incarnation == sess.incarnation {
			sess.listed = true
			continue
		}
		ended := s.processReplaced(sess, view)
		if ended {
			s.queue.DispatcherDisconnected(now, name, true)
		}
		if sess.conn == nil && (ended || !found) {
			delete(s.sessions, name)
		}
	}
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
