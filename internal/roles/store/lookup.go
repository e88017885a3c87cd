package store

import (
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// receiveLookup answers with the state of a message if this store certainly is the acting primary.
func (s *store) receiveLookup(body []byte, reply replyFunc) {
	var m protocol.Lookup
	if err := m.Decode(body); err != nil {
		reply(nil, rpc.Errorf(protocol.CodeInvalid, "%v", err))
		return
	}
	p := s.partitions[m.Partition]
	if p == nil || !p.mayAct(s.now()) {
		reply(nil, rpc.Errorf(protocol.CodeNotPrimary, "not the acting primary of partition %d", m.Partition))
		return
	}
	found, err := p.lookup(&m)
	if err != nil {
		reply(nil, rpc.Errorf(protocol.CodeUnavailable, "%v", err))
		return
	}
	reply(found.Append(nil), nil)
}

func (p *partition) lookup(m *protocol.Lookup) (*protocol.LookupReply, error) {
	state, found, err := p.state(m.ID)
	if err != nil || !found {
		return &protocol.LookupReply{}, err
	}
	answer := &protocol.LookupReply{Found: true, State: state.State, Signature: state.Signature}
	if !m.WantBody || state.State == protocol.StateSucceeded {
		return answer, nil
	}
	request, found, err := p.body(m.ID)
	if err != nil {
		return nil, err
	}
	answer.Body, answer.HasBody = request.Body, found
	return answer, nil
}

// state reads the state record of a message.
func (p *partition) state(id string) (state messageState, found bool, err error) {
	record, found, err := p.store.storage.Get(groupOf(p.number), stateKey(id))
	if err != nil || !found {
		return state, false, err
	}
	err = state.decode(record.Value)
	return state, err == nil, err
}

// body reads the body record of a message.
func (p *partition) body(id string) (request protocol.Accept, found bool, err error) {
	record, found, err := p.store.storage.Get(groupOf(p.number), bodyKey(id))
	if err != nil || !found {
		return request, false, err
	}
	err = request.Decode(record.Value)
	return request, err == nil, err
}
