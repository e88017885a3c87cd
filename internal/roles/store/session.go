package store

import (
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
