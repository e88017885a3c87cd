package replication

import "liftgauge/reconcile"

// inbound is the stream that a backup or learner receives.
type inbound struct {
	from   MemberID
	epoch  uint64
	stream uint64
	ready  bool   // JoinReply was sent
	broken bool   // no more batches are accepted before another Join
	last   uint64 // sequence number of the last batch applied
	synced sequence
	acking bool // an ack is scheduled
}

// receiveJoin joins the epoch of a primary: lower epochs are rejected from now on. The reply is sent once the join and all records
// applied before are on disk.
func (r *Replica) receiveJoin(from MemberID, m *Join) {
	if m.View.Epoch != m.Epoch || m.View.Primary != from || !m.View.Includes(r.o.Self) || from == r.o.Self || r.dropping {
		return
	}
	r.highestEpoch = max(r.highestEpoch, m.Epoch)
	if m.Epoch < r.fence || m.Epoch == r.joined.Epoch && r.joined.View.Primary != from || r.lead != nil && m.Epoch == r.lead.view.Epoch {
		r.o.Send(from, &JoinReply{Epoch: m.Epoch, Stream: m.Stream, Joined: r.fence})
		return
	}
	if r.lead != nil {
		r.depose()
		if r.disk.closed {
			return
		}
	}
	if r.stream != nil && r.stream.epoch == m.Epoch && m.Stream <= r.stream.stream {
		return
	}
	s := &inbound{from: from, epoch: m.Epoch, stream: m.Stream}
	r.stream = s
	r.fence = m.Epoch
	r.disk.rewriteFailed()
	if r.joined.Epoch != m.Epoch {
		r.persist(joinState{Epoch: m.Epoch, View: m.View})
	}
	r.disk.afterSyncs(func() {
		if r.stream != s || s.broken {
			return
		}
		if r.joined.Epoch != s.epoch || !r.disk.isConsistent() {
			s.broken = true
			r.o.Send(from, &JoinReply{Epoch: s.epoch, Stream: s.stream})
			return
		}
		s.ready = true
		local := localRecords{storage: r.o.Storage, group: r.o.Group}
		r.o.Send(from, &JoinReply{Epoch: s.epoch, Stream: s.stream, OK: true, Joined: s.epoch, Digest: local.Digest(reconcile.All())})
	})
}

// currentStream returns the stream that a primary's message belongs to, or nil if that is not the current one.
func (r *Replica) currentStream(from MemberID, epoch, stream uint64) *inbound {
	s := r.stream
	if s == nil || !s.ready || s.broken || s.from != from || s.epoch != epoch || s.stream != stream {
		return nil
	}
	return s
}

// receiveAppend applies the next batch and acknowledges it once it is synced.
func (r *Replica) receiveAppend(from MemberID, m *Append) {
	if m.Epoch < r.fence {
		r.o.Send(from, &AppendAck{Epoch: m.Epoch, Stream: m.Stream, Joined: r.fence})
		return
	}
	s := r.currentStream(from, m.Epoch, m.Stream)
	if s == nil {
		return
	}
	if m.Seq != s.last+1 {
		r.breakStream(s)
		return
	}
	s.last = m.Seq
	s.synced.begin()
	r.disk.append(r.o.Group, m.Records, func(err error) {
		if r.stream != s || s.broken {
			return
		}
		if err != nil {
			r.breakStream(s)
			return
		}
		s.synced.finish(m.Seq)
		r.acknowledge(s)
	})
	r.o.Events.Applied(m.Records)
}

// acknowledge sends one ack for all batches whose syncs are reported together.
func (r *Replica) acknowledge(s *inbound) {
	if s.acking {
		return
	}
	s.acking = true
	r.o.Post(func() {
		s.acking = false
		if r.stream == s && !s.broken && !r.disk.closed {
			r.o.Send(s.from, &AppendAck{Epoch: s.epoch, Stream: s.stream, Seq: s.synced.floor})
		}
	})
}

// breakStream requests the primary to restart the stream: a batch is missing or could not be stored.
func (r *Replica) breakStream(s *inbound) {
	s.broken = true
	r.o.Send(s.from, &AppendAck{Epoch: s.epoch, Stream: s.stream, Failed: true})
}

// receiveRangeQuery answers with the content of the index at this position of the stream.
func (r *Replica) receiveRangeQuery(from MemberID, m *RangeQuery) {
	s := r.currentStream(from, m.Epoch, m.Stream)
	if s == nil {
		return
	}
	local := localRecords{storage: r.o.Storage, group: r.o.Group}
	reply := &RangeReply{Epoch: m.Epoch, Stream: m.Stream}
	for _, v := range m.Digests {
		reply.Digests = append(reply.Digests, RangeDigest{Range: v, Digest: local.Digest(v)})
	}
	for _, v := range m.Items {
		reply.Items = append(reply.Items, RangeItems{Range: v, Items: local.Items(v)})
	}
	r.o.Send(from, reply)
}
