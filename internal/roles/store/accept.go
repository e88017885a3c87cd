package store

import (
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/replication"
)

const (
	// maxPendingBytes limits the total size of bodies whose writes are pending.
	maxPendingBytes = 16 << 20
	fullRetryAfter  = 500 * time.Millisecond
	busyRetryAfter  = 100 * time.Millisecond
	// backlogRetryAfter is how long dispatchers should prefer other stores after storing a message here for a service whose window is full.
	backlogRetryAfter = 500 * time.Millisecond
)

// replyFunc replies to a call.
type replyFunc func(body []byte, err error)

// pendingAccept is a message whose records are being written, with the calls that wait for the write.
type pendingAccept struct {
	replies []replyFunc
}

func replyAccept(reply replyFunc, status protocol.AcceptStatus, retryAfter time.Duration) {
	m := protocol.AcceptReply{Status: status, RetryAfter: retryAfter}
	reply(m.Append(nil), nil)
}

// receiveAccept stores a message. It is refused with a definite status only if nothing was written.
func (s *store) receiveAccept(body []byte, reply replyFunc) {
	var m protocol.Accept
	if err := m.Decode(body); err != nil {
		reply(nil, rpc.Errorf(protocol.CodeInvalid, "%v", err))
		return
	}
	p := s.partitions[m.Partition]
	switch {
	case p == nil || !p.leading:
		replyAccept(reply, protocol.AcceptNotPrimary, 0)
	case p.hasMessage(m.ID):
		p.acceptDuplicate(reply)
	case p.pending[m.ID] != nil:
		p.pending[m.ID].replies = append(p.pending[m.ID].replies, reply)
	default:
		s.acceptNew(p, &m, reply)
	}
}

// hasMessage reports whether a message has been accepted by this or an earlier primary.
func (p *partition) hasMessage(id string) bool {
	_, ended := p.ended[id]
	return ended || p.store.queue.Has(p.number, id)
}

// acceptDuplicate answers for a message that already has a record. The primary that wrote it may have failed before the backups had it, so
// the answer waits until all local records are on enough disks.
func (p *partition) acceptDuplicate(reply replyFunc) {
	p.replica.AwaitCommit(func(err error) {
		status := protocol.AcceptStored
		if err != nil {
			status = protocol.AcceptUnknown
		}
		replyAccept(reply, status, 0)
	})
}

func (s *store) acceptNew(p *partition, m *protocol.Accept, reply replyFunc) {
	switch {
	case s.diskStalled || s.configuration == nil || p.writesSlow(s.now()) || s.pendingBytes+len(m.Body) > maxPendingBytes:
		replyAccept(reply, protocol.AcceptFull, busyRetryAfter)
		return
	case !s.hasRoom(p, m):
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

func (s *store) writeAccept(p *partition, m *protocol.Accept, state *messageState, service string, reply replyFunc) {
	id, size := m.ID, len(m.Body)
	records := []replication.Record{
		{Key: bodyKey(id), Value: bodyRecord(m)},
		{Key: stateKey(id), Value: state.append(nil)},
	}
	p.useRoom(m)
	accept := &pendingAccept{replies: []replyFunc{reply}}
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
		for _, reply := range accept.replies {
			replyAccept(reply, status, retryAfter)
		}
	})
}

// bodyRecord returns the value of the body record: the request as it arrived, without the fields that are in the state record.
func bodyRecord(m *protocol.Accept) []byte {
	request := protocol.Accept{RequestID: m.RequestID, Method: m.Method, Headers: m.Headers, Body: m.Body}
	return request.Append(nil)
}
