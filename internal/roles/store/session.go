package store

import (
	"strconv"
	"time"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/queue"
)

// session is one process of a dispatcher.
type session struct {
	name        string // in the queue
	key         string // of the node
	incarnation uint64
	conn        *rpc.Conn // nil while it is not connected
	table       protocol.ItemVersion
	held        []queue.HeldDelivery // by the last Hello
	listed      bool                 // the node table has shown this incarnation
}

func sessionName(key string, incarnation uint64) string {
	return key + "#" + strconv.FormatUint(incarnation, 16)
}

// receiveHello opens or renews the flow of deliveries on a connection.
func (s *store) receiveHello(c *rpc.Conn, body []byte) {
	var m protocol.Hello
	if err := m.Decode(body); err != nil {
		c.Close()
		return
	}
	now := s.now()
	name := sessionName(m.Dispatcher, m.Incarnation)
	one := s.sessions[name]
	if one == nil {
		one = &session{name: name, key: m.Dispatcher, incarnation: m.Incarnation}
		s.sessions[name] = one
	}
	one.table, one.held = m.Table, convertHeld(m.Held)
	if one.conn == c {
		for _, h := range one.held {
			s.queue.MarkHeld(now, h.Partition, h.ID, h.Attempt, name)
		}
		s.queue.Resume(name, m.Zone)
		if s.queue.HasInFlight(name) {
			for _, p := range s.sorted() {
				s.requeueUnlisted(now, one, p)
			}
		}
	} else {
		s.greet(c, one, m.Zone)
		s.reconcileSessions(now, s.view)
	}
	s.queue.SetSlots(name, slotsByService(m.Windows))
}

// greet begins a new connection of a dispatcher: what was sent on the one before and is not held never arrived.
func (s *store) greet(c *rpc.Conn, one *session, zone string) {
	now := s.now()
	if old := one.conn; old != nil {
		old.Close()
		s.queue.DispatcherDisconnected(now, one.name, false)
	}
	one.conn = c
	c.SetTag(one)
	s.queue.Hello(now, one.name, zone, one.held)
	s.windowsStale = true
}

func convertHeld(held []protocol.HeldDelivery) []queue.HeldDelivery {
	list := make([]queue.HeldDelivery, 0, len(held))
	for _, h := range held {
		list = append(list, queue.HeldDelivery{Partition: h.Partition, ID: h.ID, Attempt: h.Attempt})
	}
	return list
}

// requeueUnlisted compares what a dispatcher said by the present epoch of a partition with what was handed out to it.
func (s *store) requeueUnlisted(now time.Duration, one *session, p *partition) {
	if p.leading && p.view.Primary == s.member && !one.table.Less(p.table) {
		s.queue.RequeueUnlisted(now, one.name, p.number, p.view.Epoch, one.held)
	}
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
	if one, ok := c.Tag().(*session); ok && one.conn == c {
		s.queue.Pause(one.name)
	}
}

// lost is told of each connection that ended, on any goroutine.
func (s *store) lost(c *rpc.Conn, _ error) { s.loop.post(func() { s.connectionClosed(c) }) }

// connectionClosed takes note of a lost dispatcher.
func (s *store) connectionClosed(c *rpc.Conn) {
	one, ok := c.Tag().(*session)
	if !ok || one.conn != c {
		return
	}
	one.conn = nil
	s.queue.DispatcherDisconnected(s.now(), one.name, s.replaced(one, s.view))
}

// replaced reports whether the process of a session is known to have ended: the node table shows a later process of the same node.
func (s *store) replaced(one *session, view *agent.View) bool {
	node, found := view.NodeByKey(one.key)
	return found && one.listed && node.Incarnation != one.incarnation
}

// reconcileSessions compares the sessions with the node table.
func (s *store) reconcileSessions(now time.Duration, view *agent.View) {
	for name, one := range s.sessions {
		node, found := view.NodeByKey(one.key)
		if found && node.Incarnation == one.incarnation {
			one.listed = true
			continue
		}
		ended := s.replaced(one, view)
		if ended {
			s.queue.DispatcherDisconnected(now, name, true)
		}
		if one.conn == nil && (ended || !found) {
			delete(s.sessions, name)
		}
	}
}

// allHellosReceived reports whether every live dispatcher has said what it holds by a partition table as new as version.
func (s *store) allHellosReceived(version protocol.ItemVersion) bool {
	for node := range s.view.Each(protocol.RoleDispatcher) {
		one := s.sessions[sessionName(node.Key, node.Incarnation)]
		if one == nil || one.table.Less(version) {
			return false
		}
	}
	return true
}

// markHeld tells the queue what dispatchers have said that they hold of a partition.
func (s *store) markHeld(now time.Duration, partition uint32) {
	for _, one := range s.sessions {
		for _, h := range one.held {
			if h.Partition == partition {
				s.queue.MarkHeld(now, h.Partition, h.ID, h.Attempt, one.name)
			}
		}
	}
}
