package replication

// write is a batch that is not done.
type write struct {
	index  uint64 // counts up through all epochs in which this replica is primary without a break
	done   func(error)
	failed error // the own storage failed
}

// writeQueue holds the writes that are not done, in order.
type writeQueue struct {
	pending  []*write
	settling []settling
	synced   sequence // on the own disk
}

// last returns the index of the newest write.
func (q *writeQueue) last() uint64 { return q.synced.begun }

func (q *writeQueue) len() int { return len(q.pending) }

func (q *writeQueue) first() *write {
	if len(q.pending) == 0 {
		return nil
	}
	return q.pending[0]
}

func (q *writeQueue) pop() {
	q.pending[0] = nil
	q.pending = q.pending[1:]
}

// fail answers all pending writes with an error.
func (q *writeQueue) fail(err error) {
	failed, settling := q.pending, q.settling
	q.pending, q.settling = nil, nil
	for _, w := range failed {
		w.done(err)
	}
	for _, s := range settling {
		s.done(err)
	}
}

// Write replicates the records as one batch. done(nil) is called when it is on the own disk, on those of all members and of all
// joined learners, and on Copies disks at least. ErrNotPrimary comes at once and means that nothing was written, also because there are
// sources to absorb; after any other
// error the fate is unknown. done is called on the owner's loop. Versions are drawn here and written into records.
func (r *Replica) Write(records []Record, done func(error)) {
	if r.lead == nil || r.disk.closed || !r.versions.ready() || len(r.lead.sources) > 0 {
		done(ErrNotPrimary)
		return
	}
	version := r.versions.draw()
	for i := range records {
		records[i].Version = version
	}
	if r.lead.joined && r.versions.low() {
		r.reserve()
	}
	w := &write{index: r.writes.synced.begin(), done: done}
	r.writes.pending = append(r.writes.pending, w)
	r.disk.append(r.o.Group, records, func(err error) {
		if err != nil {
			w.failed = ErrStorage
		}
		r.writes.synced.finish(w.index)
		r.complete()
	})
	for _, id := range r.lead.order {
		if p := r.lead.peers[id]; p.streaming() {
			r.sendWrite(p, w.index, records)
		}
	}
}
