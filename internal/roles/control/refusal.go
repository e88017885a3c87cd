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

// A store whose connection broke is dialed refusalDials times, refusalDialInterval apart. If its address refuses each dial, no process is listening
// there.
const (
	refusalDials        = 2
	refusalDialInterval = 20 * time.Millisecond
	refusalDialTimeout  = 100 * time.Millisecond
	// startupPeriod is how long after the start of this process other processes may still be starting as well.
	startupPeriod = time.Second
)

// heartbeatSender is the store that sends heartbeats over a connection. It is the tag of the connection.
type heartbeatSender struct {
	key         string
	incarnation uint64
	address     string
}

// tagStore tags a connection that belongs to a store.
func tagStore(c *rpc.Conn, n *protocol.Node) {
	if n.Role == protocol.RoleStore && c.Tag() == nil {
		c.SetTag(heartbeatSender{key: n.Key, incarnation: n.Incarnation, address: n.Address})
	}
}

// connectionClosed is called when a connection of this process is closed. The address of a store that was killed refuses connections: its session
// is then ended, long before it would expire, so that its partitions get other primaries.
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

// probeStores dials every store that has a session, because the loss of a store that was killed together with the previous primary closed no
// connection to this process. Right after the start of this process it does nothing: all stores may be starting as well, and refuse connections
// until they listen.
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

// refusesConnections reports whether an address refuses connections repeatedly. A dial that times out is not a refusal.
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

// storeRefused ends the session of a store whose address refuses connections. The process may still run, behind a network that refuses connections
// on its behalf. It is therefore not certain to have stopped: everything granted to it stays valid until it expires, and its next heartbeat opens
// a session again.
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
