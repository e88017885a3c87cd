package replication

// settling is a caller that waits until everything written so far is on enough disks.
type settling struct {
	index uint64 // of the last write before
	done  func(error)
}

// AwaitCommit calls done(nil) once all records as they are now, with the writes under way, are on Copies disks: the own one, and those of peers
// that are equal. A primary with fewer members may be active before: it has what was acknowledged, and it may have more, which a loss of
// its disk would take away. ErrNotPrimary comes at once; after ErrDeposed nothing is known. done is called on the owner's loop.
func (r *Replica) AwaitCommit(done func(error)) {
	if r.lead == nil || r.disk.closed {
		done(ErrNotPrimary)
		return
	}
	r.writes.settling = append(r.writes.settling, settling{index: r.writes.last(), done: done})
	r.completeSettling()
}

// completeSettling answers the callers whose writes are on enough disks, in order.
func (r *Replica) completeSettling() {
	for r.lead != nil && r.lead.installed && len(r.writes.settling) > 0 {
		first := r.writes.settling[0]
		if !r.isSettled(first.index) {
			return
		}
		r.writes.settling = r.writes.settling[1:]
		first.done(nil)
	}
}

// isSettled tells whether all writes up to an index, and all records from before, are on the disks of everybody that writes wait for, and on
// enough.
func (r *Replica) isSettled(index uint64) bool {
	if !r.lead.membersEqual() || r.writes.synced.floor < index || !r.disk.sound() {
		return false
	}
	copies := 1
	for _, id := range r.lead.order {
		p := r.lead.peers[id]
		switch {
		case p.state == peerEqual && p.holds(index):
			copies++
		case r.lead.mustHave(id):
			return false
		}
	}
	return copies >= r.o.Copies
}
