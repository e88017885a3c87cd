package replication

// commitWaiter is a caller that waits until everything written so far is on enough disks.
type commitWaiter struct {
	index uint64 // of the last write before the call
	done  func(error)
}

// AwaitCommit calls done(nil) once all current records, including pending writes, are on Copies disks: the local one and those of peers
// in sync. A primary with fewer members may be active before that: it has all acknowledged writes, but possibly also others, which would
// be lost with its disk. ErrNotPrimary is returned immediately; after ErrDeposed the outcome is unknown. done is called on the owner's
// loop.
func (r *Replica) AwaitCommit(done func(error)) {
	if r.lead == nil || r.disk.closed {
		done(ErrNotPrimary)
		return
	}
	r.writes.waiters = append(r.writes.waiters, commitWaiter{index: r.writes.last(), done: done})
	r.completeCommitWaiters()
}

// completeCommitWaiters calls back, in order, the callers whose writes are on enough disks.
func (r *Replica) completeCommitWaiters() {
	for r.lead != nil && r.lead.installed && len(r.writes.waiters) > 0 {
		first := r.writes.waiters[0]
		if !r.allCommitted(first.index) {
			return
		}
		r.writes.waiters = r.writes.waiters[1:]
		first.done(nil)
	}
}

// allCommitted reports whether all writes up to an index, and all earlier records, are on the disks of all required peers and on at
// least Copies disks.
func (r *Replica) allCommitted(index uint64) bool {
	if !r.lead.membersInSync() || r.writes.synced.floor < index || !r.disk.isConsistent() {
		return false
	}
	copies := 1
	for _, id := range r.lead.order {
		p := r.lead.peers[id]
		switch {
		case p.state == peerInSync && p.holds(index):
			copies++
		case r.lead.isRequired(id):
			return false
		}
	}
	return copies >= r.o.Copies
}
