package replication

import (
	"slices"

	"liftgauge/reconcile"
)

// keysInAQuery bounds a RecordQuery.
const keysInAQuery = 256

// toAbsorb returns the sources of a view that this replica has still to absorb as its primary. One that has absorbed all of them in an
// epoch before, and led since, has nothing more to take.
func (r *Replica) toAbsorb(v View) map[MemberID]bool {
	sources := make(map[MemberID]bool)
	if l := r.lead; l != nil && len(l.view.Sources) > 0 && len(l.sources) == 0 {
		return sources
	}
	for _, id := range v.Sources {
		if id != r.o.Self {
			sources[id] = true
		}
	}
	return sources
}

// absorb asks a source for the records that differ. What was acknowledged is at this primary or at a source, and of each record the highest
// version is the newest one; a record that was deleted since at one of them may come back.
func (r *Replica) absorb(p *outbound, found reconcile.Difference) {
	p.state = peerAbsorbing
	p.wanted = sortedKeys(slices.Concat(found.Changed, found.Extra))
	r.askRecords(p)
}

// askRecords asks for the next records of a source, or ends its absorption after the last.
func (r *Replica) askRecords(p *outbound) {
	if len(p.wanted) == 0 {
		r.absorbed(p)
		return
	}
	keys := p.wanted[:min(len(p.wanted), keysInAQuery)]
	r.o.Send(p.id, &RecordQuery{Epoch: r.lead.view.Epoch, Stream: p.stream, Keys: keys})
}

// receiveRecordQuery answers with the records of as many keys as a slice of a repair takes.
func (r *Replica) receiveRecordQuery(from MemberID, m *RecordQuery) {
	if r.current(from, m.Epoch, m.Stream) == nil {
		return
	}
	reply := &RecordReply{Epoch: m.Epoch, Stream: m.Stream}
	size := 0
	for _, key := range m.Keys {
		if size >= r.limits.slice {
			break
		}
		record, found, err := r.o.Storage.Get(r.o.Group, key)
		if err != nil {
			break // asked again from here
		}
		reply.Covered++
		if found {
			reply.Records = append(reply.Records, record)
			size += record.size()
		}
	}
	r.o.Send(from, reply)
}

// receiveRecordReply stores the records that are newer than the own ones, and goes on once they are on disk.
func (r *Replica) receiveRecordReply(from MemberID, m *RecordReply) {
	p := r.peerOf(from, m.Epoch, m.Stream)
	if p == nil || p.state != peerAbsorbing || m.Covered > uint64(len(p.wanted)) {
		return
	}
	newer, err := r.newerThanOwn(m.Records)
	if err != nil || m.Covered == 0 {
		p.fail()
		return
	}
	p.wanted = p.wanted[m.Covered:]
	if len(newer) == 0 {
		r.askRecords(p)
		return
	}
	stream := p.stream
	r.disk.append(r.o.Group, newer, func(err error) {
		p := r.peerOf(from, m.Epoch, stream)
		if p == nil || p.state != peerAbsorbing {
			return
		}
		if err != nil {
			p.fail()
			return
		}
		r.askRecords(p)
	})
}

func (r *Replica) newerThanOwn(records []Record) ([]Record, error) {
	var newer []Record
	for _, record := range records {
		own, found, err := r.o.Storage.Get(r.o.Group, record.Key)
		if err != nil {
			return nil, err
		}
		if !found || own.Version < record.Version {
			newer = append(newer, record)
		}
	}
	return newer, nil
}

// absorbed notes that a source holds nothing newer. After the last one, all peers are begun with, the sources anew.
func (r *Replica) absorbed(p *outbound) {
	l := r.lead
	delete(l.sources, p.id)
	p.reset()
	if len(l.sources) > 0 {
		return
	}
	for _, id := range l.order {
		if r.linked[id] {
			r.begin(l.peers[id])
		}
	}
	r.advance()
}
