package control

import (
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/session"
)

// The time without heartbeats, which are sent five times a second, after which a session expires. It is shortest for a store, whose messages wait
// for another primary. It is longer than the lease of a store, so that the next primary need not wait for the lease as well.
const (
	storeExpiry      = 700 * time.Millisecond
	controlExpiry    = 1000 * time.Millisecond
	dispatcherExpiry = 1500 * time.Millisecond
)

// newSessions returns a table with the sessions of the model, whose deadlines start now.
func newSessions(now time.Duration, m *model) *session.Table {
	table := session.New(session.Options{Expiry: map[uint8]time.Duration{
		uint8(protocol.RoleStore):      storeExpiry,
		uint8(protocol.RoleControl):    controlExpiry,
		uint8(protocol.RoleDispatcher): dispatcherExpiry,
	}})
	nodes := make([]session.Node, 0, len(m.nodes))
	for _, n := range m.nodes {
		nodes = append(nodes, sessionNode(n))
	}
	table.Load(now, nodes)
	return table
}

func sessionNode(n protocol.Node) session.Node {
	return session.Node{
		Key: n.Key, Name: n.Name, Role: uint8(n.Role), Incarnation: n.Incarnation, Member: n.Member, Zone: n.Zone, Region: n.Region,
		Address: n.Address, ControlPlane: n.ControlPlane, Leaving: n.Leaving, CountsForQuorum: n.CountsForQuorum,
	}
}

func protocolNode(n session.Node) protocol.Node {
	return protocol.Node{
		Key: n.Key, Name: n.Name, Role: protocol.Role(n.Role), Incarnation: n.Incarnation, Member: n.Member, Zone: n.Zone, Region: n.Region,
		Address: n.Address, ControlPlane: n.ControlPlane, Leaving: n.Leaving, CountsForQuorum: n.CountsForQuorum,
	}
}

// heartbeat opens or renews a session and reports whether it was accepted.
func (p *primary) heartbeat(now time.Duration, h *protocol.Heartbeat) bool {
	events, accepted := p.sessions.Renew(now, sessionNode(h.Node))
	p.applySessionEvents(now, events)
	if !accepted {
		return false
	}
	switch h.Node.Role {
	case protocol.RoleStore:
		p.placement.takeOffers(p.model.partitions, h)
		if p.placement.faults.heartbeat(now, h) {
			p.placement.planWanted = true
		}
	case protocol.RoleControl:
		p.duty.heartbeat(now, h.Node, h.WorkerListStale)
	}
	return true
}

// leave handles the notification of a process that its planned shutdown begins or has ended.
func (p *primary) leave(now time.Duration, l *protocol.Leave) {
	p.applySessionEvents(now, p.sessions.Leave(now, l.Key, l.Incarnation, l.EndSession))
}

func (p *primary) tickSessions(now time.Duration) {
	if p.sessions.Tick(now) {
		p.daemon.logger.Info("control: this process was paused; extending all sessions by the duration of the pause")
	}
	if !p.awaitsTakeOver(now) {
		p.applySessionEvents(now, p.sessions.Expire(now))
	}
}

// applySessionEvents writes the changes of the session table to the model.
func (p *primary) applySessionEvents(now time.Duration, events []session.Event) {
	for _, e := range events {
		node := protocolNode(e.Node)
		switch e.Kind {
		case session.Ended:
			p.sessionEnded(now, node, e)
		default:
			p.sessionChanged(now, node, e)
		}
	}
}

func (p *primary) sessionChanged(now time.Duration, node protocol.Node, e session.Event) {
	p.put(nodeRecord(node))
	p.items.mark(protocol.ItemNodes, node.Role != protocol.RoleDispatcher)
	if e.Kind == session.Opened {
		p.daemon.logger.Info("control: session opened", zap.String("node", node.Key), zap.Uint64("incarnation", node.Incarnation))
	}
	switch node.Role {
	case protocol.RoleStore:
		p.storeChanged(now, node)
	case protocol.RoleControl:
		if node.Leaving {
			p.duty.resign(node)
		}
	}
}

func (p *primary) sessionEnded(now time.Duration, node protocol.Node, e session.Event) {
	p.daemon.logger.Info("control: session ended", zap.String("node", node.Key), zap.Uint64("incarnation", node.Incarnation),
		zap.Bool("certain", e.ProcessStopped()))
	p.put(deletion(prefixNode + node.Key))
	p.items.mark(protocol.ItemNodes, true)
	switch node.Role {
	case protocol.RoleStore:
		p.storeDown(now, node)
	case protocol.RoleControl:
		p.duty.sessionEnded(node)
	}
}
