package control

import (
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// handle processes the frames that the agent does not handle itself; it runs on the read goroutines of connections.
func (d *daemon) handle(c *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
	switch kind {
	case protocol.KindHeartbeat:
		var h protocol.Heartbeat
		if err := h.Decode(body); err != nil {
			reply(nil, rpc.Errorf(protocol.CodeInvalid, "heartbeat: %v", err))
			return
		}
		tagStore(c, &h.Node)
		d.loop.post(func() { d.receiveHeartbeat(&h, reply) })
	case protocol.KindLeave:
		var l protocol.Leave
		if err := l.Decode(body); err != nil {
			reply(nil, rpc.Errorf(protocol.CodeInvalid, "leave: %v", err))
			return
		}
		d.loop.post(func() { d.receiveLeave(&l, reply) })
	case protocol.KindWitness:
		f, err := decodeFrame(body)
		if err != nil {
			c.Close()
			return
		}
		d.loop.post(func() { d.receiveFrame(f) })
	case protocol.KindReplication:
		var f protocol.ReplicationFrame
		if err := f.Decode(body); err != nil {
			c.Close()
			return
		}
		d.loop.post(func() { d.receiveReplication(c, f) })
	default:
		if reply != nil {
			reply(nil, rpc.Errorf(protocol.CodeUnknownKind, "control has no handler for kind %d", kind))
		}
	}
}

func (d *daemon) receiveFrame(f frame) {
	switch f.kind {
	case frameElection:
		d.receiveElection(f)
	case frameDuty:
		if notice, err := decodeDutyNotice(f.body); err == nil {
			d.acceptDuty(notice)
		}
	}
}

// receiveHeartbeat replies to a heartbeat; the reply names the address of the primary.
func (d *daemon) receiveHeartbeat(h *protocol.Heartbeat, reply func([]byte, error)) {
	d.agent.HandleDigest(h.Digest)
	var r protocol.HeartbeatReply
	if p := d.primary; p != nil {
		r.Accepted = p.heartbeat(d.now(), h)
		p.reportTime(d.now(), h)
		if p.settlement.settled {
			r.ClusterTime = int64(d.agent.TimeEstimate().Time)
		}
	}
	r.Primary, _ = d.primaryAddress()
	r.Digest = d.agent.Digest()
	reply(r.Append(nil), nil)
}

// receiveLeave replies once the announced departure is durable.
func (d *daemon) receiveLeave(l *protocol.Leave, reply func([]byte, error)) {
	p := d.primary
	if p == nil {
		address, _ := d.primaryAddress()
		reply(nil, rpc.Errorf(protocol.CodeNotPrimary, "the primary is at %q", address))
		return
	}
	p.leave(d.now(), l)
	p.writer.onDurable(func(err error) {
		if err != nil {
			err = rpc.Errorf(protocol.CodeOutcomeUnknown, "%v", err)
		}
		reply(nil, err)
	})
}
