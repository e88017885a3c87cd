package control

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// A store whose connection broke is dialed refusalDials times, refusalDialInterval apart. If its address refuses each dial, no process listens there.
const (
	refusalDials        = 2
	refusalDialInterval = 20 * time.Millisecond
	refusalDialTimeout  = 100 * time.Millisecond
	// startupPeriod is how long a process may be a newcomer beside others that start at the same time.
	startupPeriod = time.Second
)

// heartbeatSender is who sent heartbeats over a connection; it is the connection's tag.
type heartbeatSender struct {
	key         string
	incarnation uint64
	address     string
}

// tagStore notes that a connection is a store's.
func tagStore(c *rpc.Conn, n *protocol.Node) {
	if n.Role == protocol.RoleStore && c.Tag() == nil {
		c.SetTag(heartbeatSender{key: n.Key, incarnation: n.Incarnation, address: n.Address})
	}
}

// connectionClosed is called when a connection of this process is over. A store that was killed leaves an address that refuses connections:
// its session is ended then, long before it would expire, so that its partitions get other primaries.
func (d *daemon) connectionClosed(c *rpc.Conn, _ error) {
	s, isStore := c.Tag().(heartbeatSender)
	if !isStore {
		return
	}
	d.loop.post(func() {
		if d.primary != nil && d.primary.sessions.HasSession(s.key, s.incarnation) {
			go d.endIfRefused(s)
		}
	})
}

// endIfRefused ends the session of a store if its address refuses connections.
func (d *daemon) endIfRefused(s heartbeatSender) {
	if d.refusesConnections(s.address) {
		d.loop.post(func() { d.storeRefused(s) })
	}
}

// probeStores dials every store that has a session once: one that was killed together with the primary before has broken no connection to this
// process. After a start of this process nothing is done: all stores may be starting as well, and refuse until they listen.
func (d *daemon) probeStores(p *primary) {
	if d.now()-d.startedAt < startupPeriod {
		return
	}
	for key, node := range p.model.nodes {
		if node.Role == protocol.RoleStore {
			go d.endIfRefused(heartbeatSender{key: key, incarnation: node.Incarnation, address: node.Address})
		}
	}
}

// refusesConnections tells whether an address refusesConnections connections again and again. Silence is no refusal.
func (d *daemon) refusesConnections(address string) bool {
	for i := range refusalDials {
		if i > 0 {
			pause := time.NewTimer(refusalDialInterval)
			select {
			case <-d.stopped:
				pause.Stop()
				return false
			case <-pause.C:
			}
		}
		if !d.refusesOnce(address) {
			return false
		}
	}
	return true
}

func (d *daemon) refusesOnce(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusalDialTimeout)
	defer cancel()
	dial := (&net.Dialer{}).DialContext
	if n := d.environment.Network; n != nil {
		dial = n.DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// storeRefused ends the session of a store whose address refuses connections. The process may run all the same, behind a network that refuses for
// it: the end is not certain, so all that was granted to it holds until it is over, and its next heartbeat opens a session again.
func (d *daemon) storeRefused(s heartbeatSender) {
	p := d.primary
	if p == nil {
		return
	}
	events := p.sessions.ConnectionRefused(d.now(), s.key, s.incarnation)
	if len(events) > 0 {
		d.logger.Info("control: a store's address refuses connections; its session ends", zap.String("node", s.key))
	}
	p.applySessionEvents(d.now(), events)
}
