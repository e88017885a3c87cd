package store

import (
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/replication"
)

const (
	// maxPendingBytes bounds the bodies whose writes are under way.
	maxPendingBytes = 16 << 20
	fullRetryAfter  = 500 * time.Millisecond
	busyRetryAfter  = 100 * time.Millisecond
	// backlogRetryAfter is how long dispatchers should rather hand messages to others, after one for a service whose window is full here.
	backlogRetryAfter = 500 * time.Millisecond
)

// answer is the reply function of a call.
type answer func(body []byte, err error)

// pendingAccept is a message whose acceptance is being written, and all who wait for it.
type pendingAccept struct {
	answers []answer
}

func replyAccept(reply answer, status protocol.AcceptStatus, retryAfter time.Duration) {
	m := protocol.AcceptReply{Status: status, RetryAfter: retryAfter}
	reply(m.Append(nil), nil)
}

// receiveAccept stores a message. A clear no is only ever answered when nothing was written.
func (s *store) receiveAccept(body []byte, reply answer) {
	var m protocol.Accept
	if err := m.Decode(body); err != nil {
		reply(nil, rpc.Errorf(protocol.CodeInvalid, "%v", err))
		return
	}
	p := s.partitions[m.Partition]
	switch {
	case p == nil || !p.leading:
		replyAccept(reply, protocol.AcceptNotPrimary, 0)
	case p.knows(m.ID):
		p.acceptDuplicate(reply)
	case p.pending[m.ID] != nil:
		p.pending[m.ID].answers = append(p.pending[m.ID].answers, reply)
	default:
		s.acceptNew(p, &m, reply)
	}
}

// knows reports whether a message has been accepted, by this primary or by one before.
func (p *partition) knows(id string) bool {
	_, ended := p.ended[id]
	return ended || p.store.queue.Has(p.number, id)
}

// acceptDuplicate answers for a message that has a record already. The primary that wrote it may have ended before the others had it, so the
// answer waits until all that is here is on enough disks.
func (p *partition) acceptDuplicate(reply answer) {
	p.replica.AwaitCommit(func(err error) {
		status := protocol.AcceptStored
		if err != nil {
			status = protocol.AcceptUnknown
		}
		replyAccept(reply, status, 0)
	})
}

func (s *store) acceptNew(p *partition, m *protocol.Accept, reply answer) {
	switch {
	case s.stalled || s.configuration == nil || p.slow(s.now()) || s.pendingBytes+len(m.Body) > maxPendingBytes:
		replyAccept(reply, protocol.AcceptFull, busyRetryAfter)
		return
	case s.log.Full():
		replyAccept(reply, protocol.AcceptFull, fullRetryAfter)
		return
	}
	route, found := s.configuration.Match(m.Host, m.URI)
	if !found {
		replyAccept(reply, protocol.AcceptNoRoute, busyRetryAfter)
		return
	}
	now := s.clusterNow()
	state := messageState{
		State: protocol.StateQueued, Sequence: p.nextSequence(), AcceptedAt: now, DueAt: now + int64(m.Delay),
		ExpiresAt: now + int64(route.Retention), Configuration: s.configurationVersion, Host: m.Host, URI: m.URI, Key: m.Key,
	}
	s.writeAccept(p, m, &state, route.Service, reply)
}

func (s *store) writeAccept(p *partition, m *protocol.Accept, state *messageState, service string, reply answer) {
	id, size := m.ID, len(m.Body)
	records := []replication.Record{
		{Key: bodyKey(id), Value: bodyRecord(m)},
		{Key: stateKey(id), Value: state.append(nil)},
	}
	accept := &pendingAccept{answers: []answer{reply}}
	p.pending[id] = accept
	s.pendingBytes += size
	p.write(records, func(err error) {
		s.pendingBytes -= size
		if p.pending[id] == accept {
			delete(p.pending, id)
		}
		status, retryAfter := protocol.AcceptStored, busyRetryAfter
		switch {
		case errors.Is(err, replication.ErrNotPrimary):
			status = protocol.AcceptNotPrimary
		case err != nil:
			status = protocol.AcceptUnknown
		default:
			s.queue.Add(s.now(), p.entry(id, state, s.clusterNow()))
			s.bodies.put(messageKey{p.number, id}, records[0].Value)
			retryAfter = 0
			if s.queue.Backlogged(service) {
				retryAfter = backlogRetryAfter
			}
		}
		for _, reply := range accept.answers {
			replyAccept(reply, status, retryAfter)
		}
	})
}

// bodyRecord is the request as it arrived, without what the state record has.
func bodyRecord(m *protocol.Accept) []byte {
	kept := protocol.Accept{RequestID: m.RequestID, Method: m.Method, Headers: m.Headers, Body: m.Body}
	return kept.Append(nil)
}
