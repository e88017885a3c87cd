package replication

import (
	"slices"

	"liftgauge/reconcile"
)

// keysPerQuery bounds the number of keys in a RecordQuery.
const keysPerQuery = 256

// sourcesToMerge returns the sources of a view that this replica has yet to merge as its primary. A replica that merged all of them in
// an earlier epoch, and has been primary since, has nothing left to merge.
func (r *Replica) sourcesToMerge(v View) map[MemberID]bool {
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

// mergeSource requests the records that differ from a source. All acknowledged writes are at this primary or at a source, and the highest
// version of each record is the newest one. A record that was deleted at only some of them may reappear.
func (r *Replica) mergeSource(p *outbound, found reconcile.Difference) {
	p.state = peerMerging
	p.missing = sortedKeys(slices.Concat(found.Changed, found.Extra))
	r.requestRecords(p)
}

// requestRecords requests the next records from a source, or ends its merge after the last one.
func (r *Replica) requestRecords(p *outbound) {
	if len(p.missing) == 0 {
		r.sourceMerged(p)
		return
	}
	keys := p.missing[:min(len(p.missing), keysPerQuery)]
	r.o.Send(p.id, &RecordQuery{Epoch: r.lead.view.Epoch, Stream: p.stream, Keys: keys})
}

// receiveRecordQuery answers with the records of as many keys as fit into one repair message.
func (r *Replica) receiveRecordQuery(from MemberID, m *RecordQuery) {
	if r.currentStream(from, m.Epoch, m.Stream) == nil {
		return
	}
	reply := &RecordReply{Epoch: m.Epoch, Stream: m.Stream}
	size := 0
	for _, key := range m.Keys {
		if size >= r.limits.messageSize {
			break
		}
		record, found, err := r.o.Storage.Get(r.o.Group, key)
		if err != nil {
			break // the primary requests the rest again
		}
		reply.Covered++
		if found {
			reply.Records = append(reply.Records, record)
			size += record.size()
		}
	}
	r.o.Send(from, reply)
}

// receiveRecordReply stores the records that are newer than the local ones, and continues once they are on disk.
func (r *Replica) receiveRecordReply(from MemberID, m *RecordReply) {
	p := r.streamOf(from, m.Epoch, m.Stream)
	if p == nil || p.state != peerMerging || m.Covered > uint64(len(p.missing)) {
		return
	}
	newer, err := r.newerThanLocal(m.Records)
	if err != nil || m.Covered == 0 {
		p.fail()
		return
	}
	p.missing = p.missing[m.Covered:]
	if len(newer) == 0 {
		r.requestRecords(p)
		return
	}
	stream := p.stream
	r.disk.append(r.o.Group, newer, func(err error) {
		p := r.streamOf(from, m.Epoch, stream)
		if p == nil || p.state != peerMerging {
			return
		}
		if err != nil {
			p.fail()
			return
		}
		r.requestRecords(p)
	})
}

func (r *Replica) newerThanLocal(records []Record) ([]Record, error) {
	var newer []Record
	for _, record := range records {
		local, found, err := r.o.Storage.Get(r.o.Group, record.Key)
		if err != nil {
			return nil, err
		}
		if !found || local.Version < record.Version {
			newer = append(newer, record)
		}
	}
	return newer, nil
}

// sourceMerged marks a source as merged. After the last one, streams to all peers are started, including new ones to the sources.
func (r *Replica) sourceMerged(p *outbound) {
	l := r.lead
	delete(l.sources, p.id)
	p.reset()
	if len(l.sources) > 0 {
		return
	}
	for _, id := range l.order {
		if r.linked[id] {
			r.beginStream(l.peers[id])
		}
	}
	r.advance()
}
