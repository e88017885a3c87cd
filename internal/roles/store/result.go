package store

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/queue"
	"liftgauge/replication"
)

// writeRetry is the pause before a write that the local disk failed is attempted again.
const writeRetry = 200 * time.Millisecond

// ending is the final state of a message that is being written, with the calls that wait for the write.
type ending struct {
	state   messageState
	replies []replyFunc
}

var outcomes = map[protocol.Outcome]queue.Outcome{
	protocol.OutcomeSucceeded: queue.Succeeded,
	protocol.OutcomeFailed:    queue.Failed,
	protocol.OutcomeRefused:   queue.Refused,
	protocol.OutcomeNotRun:    queue.NotRun,
	protocol.OutcomeUnknown:   queue.Unclear,
	protocol.OutcomeNoRoute:   queue.NoRoute,
}

func notPrimary(partition uint32) error {
	return rpc.Errorf(protocol.CodeNotPrimary, "not the primary of partition %d", partition)
}

// receiveResult handles the outcome of a delivery and replies once it is durable.
func (s *store) receiveResult(body []byte, reply replyFunc) {
	var m protocol.Result
	if err := m.Decode(body); err != nil {
		reply(nil, rpc.Errorf(protocol.CodeInvalid, "%v", err))
		return
	}
	outcome, known := outcomes[m.Outcome]
	if !known {
		reply(nil, rpc.Errorf(protocol.CodeInvalid, "unknown outcome %d", m.Outcome))
		return
	}
	p := s.partitions[m.Partition]
	if p == nil || !p.leading || s.mayBeOfSuccessor(p, &m, outcome) {
		reply(nil, notPrimary(m.Partition))
		return
	}
	t := s.queue.Outcome(s.now(), m.Partition, m.ID, m.Attempt, outcome, m.RetryAfter)
	if t.DeliveredAgain {
		s.logger.Warn("a worker succeeded with a message that was delivered again meanwhile: it may run twice", zap.String("id", m.ID),
			zap.Uint32("attempt", m.Attempt), zap.String("dispatcher", m.Dispatcher), zap.Duration("held", m.Elapsed))
	}
	switch t.Action {
	case queue.Ignore, queue.Unknown:
		reply(nil, nil) // nothing to write: counted before, ended, or delivered again
	case queue.AlreadyEnding:
		s.joinEnding(p, m.ID, reply)
	case queue.Record:
		p.writeAttempts(t, m.Attempt, reply)
	case queue.End:
		p.end(t, m.Signature, reply)
	}
}

// mayBeOfSuccessor reports whether an outcome may be of a delivery, or of a message, that a later primary has made: this one does not know it, and holds no
// leases that would show that there is no later primary.
func (s *store) mayBeOfSuccessor(p *partition, m *protocol.Result, outcome queue.Outcome) bool {
	_, ended := p.ended[m.ID]
	switch {
	case ended || p.mayAct(s.now()):
		return false
	case outcome.EndsMessage():
		return !s.queue.Has(p.number, m.ID)
	}
	return !s.queue.KnowsDelivery(p.number, m.ID, m.Attempt)
}

// joinEnding replies once the end of a message is durable. If the message has ended within this batch of events, its write is started first.
func (s *store) joinEnding(p *partition, id string, reply replyFunc) {
	if p.endings[id] == nil {
		s.writeEnds(s.now())
	}
	e := p.endings[id]
	if e == nil {
		reply(nil, notPrimary(p.number))
		return
	}
	e.replies = append(e.replies, reply)
}

// writeAttempts records the number of failed attempts and the number of the last one: its dispatcher may not receive the reply, and report
// it again to the next primary.
func (p *partition) writeAttempts(t queue.Transition, attempt uint32, reply replyFunc) {
	state, found, err := p.state(t.ID)
	if err != nil || !found {
		reply(nil, rpc.Errorf(protocol.CodeUnavailable, "state of %s cannot be read: %v", t.ID, err))
		return
	}
	state.Attempts = uint64(t.Attempts)
	state.countFailure(attempt)
	p.write([]replication.Record{{Key: stateKey(t.ID), Value: state.append(nil)}}, func(err error) {
		replyWritten(reply, p.number, err)
	})
}

func replyWritten(reply replyFunc, partition uint32, err error) {
	switch {
	case err == nil:
		reply(nil, nil)
	case errors.Is(err, replication.ErrNotPrimary):
		reply(nil, notPrimary(partition))
	default:
		reply(nil, rpc.Errorf(protocol.CodeOutcomeUnknown, "%v", err))
	}
}

// end writes the final state of a message. reply may be nil.
func (p *partition) end(t queue.Transition, signature string, reply replyFunc) {
	state, found, err := p.state(t.ID)
	if err != nil || !found {
		p.store.logger.Error("the state of an ending message cannot be read", zap.String("id", t.ID), zap.Error(err))
	}
	state.State, state.Signature = protocol.StateDeadLetter, ""
	if t.State == queue.Done {
		state.State, state.Signature = protocol.StateSucceeded, signature
	}
	state.Attempts, state.EndedAt = uint64(t.Attempts), p.store.clusterNow()
	e := &ending{state: state}
	if reply != nil {
		e.replies = append(e.replies, reply)
	}
	p.endings[t.ID] = e
	p.store.bodies.take(messageKey{p.number, t.ID})
	p.writeEnd(t.ID, e)
}

// writeEnd writes the final state, and retries until it is durable or this store is no longer primary. The body of a dead letter is kept,
// since lookups may request it.
func (p *partition) writeEnd(id string, e *ending) {
	records := []replication.Record{{Key: stateKey(id), Value: e.state.append(nil)}}
	if e.state.State == protocol.StateSucceeded {
		records = append(records, replication.Record{Key: bodyKey(id), Deleted: true})
	}
	s := p.store
	p.write(records, func(err error) {
		switch {
		case p.endings[id] != e:
		case errors.Is(err, replication.ErrStorage):
			time.AfterFunc(writeRetry, func() {
				s.loop.post(func() {
					if p.endings[id] == e {
						p.writeEnd(id, e)
					}
				})
			})
			return
		case err == nil:
			delete(p.endings, id)
			p.addEnded(id, e.state.EndedAt)
			s.queue.ConfirmEnd(s.now(), p.number, id)
		}
		for _, reply := range e.replies {
			replyWritten(reply, p.number, err)
		}
		e.replies = nil
	})
}

// refuseEndings replies "not primary" to the calls that wait for an end, which the new primary has to decide.
func (p *partition) refuseEndings() {
	for _, e := range p.endings {
		for _, reply := range e.replies {
			reply(nil, notPrimary(p.number))
		}
		e.replies = nil
	}
}
