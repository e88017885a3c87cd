package replication

// write is a batch that is not committed yet.
type write struct {
	index uint64 // continues across consecutive epochs with this replica as primary
	done  func(error)
	err   error // failure of the local storage
}

// writeQueue holds the uncommitted writes in order.
type writeQueue struct {
	pending []*write
	waiters []commitWaiter
	synced  sequence // on the local disk
}

// last returns the index of the newest write.
func (q *writeQueue) last() uint64 { return q.synced.last }

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

// fail completes all pending writes and commit waiters with an error.
func (q *writeQueue) fail(err error) {
	failed, waiters := q.pending, q.waiters
	q.pending, q.waiters = nil, nil
	for _, w := range failed {
		w.done(err)
	}
	for _, s := range waiters {
		s.done(err)
	}
}

// Write replicates the records as one batch. done(nil) is called when the batch is on the local disk, on the disks of all members and
// of all learners that have joined, and on at least Copies disks. ErrNotPrimary is returned immediately and means that nothing was
// written, also when there are sources left to merge; after any other error the outcome is unknown. done is called on the owner's
// loop. Write assigns the versions and stores them in records.
func (r *Replica) Write(records []Record, done func(error)) {
	if r.lead == nil || r.disk.closed || !r.versions.canAssign() || len(r.lead.sources) > 0 {
		done(ErrNotPrimary)
		return
	}
	version := r.versions.next()
	for i := range records {
		records[i].Version = version
	}
	if r.lead.joined && r.versions.needsReservation() {
		r.reserveVersions()
	}
	w := &write{index: r.writes.synced.begin(), done: done}
	r.writes.pending = append(r.writes.pending, w)
	r.disk.append(r.o.Group, records, func(err error) {
		if err != nil {
			w.err = ErrStorage
		}
		r.writes.synced.finish(w.index)
		r.completeWrites()
	})
	for _, id := range r.lead.order {
		if p := r.lead.peers[id]; p.streaming() {
			r.sendWrite(p, w.index, records)
		}
	}
}
