package replication

// leadership is the state of a replica that is the primary of an epoch, or the candidate for it.
type leadership struct {
	view       View
	installed  bool // the view is decided
	resumed    bool // this member was the epoch's primary before its process restarted, and may have offered any of the learners
	joined     bool // the epoch is joined on the local disk
	joinFailed bool
	active     bool
	ready      func(epoch uint64) // callback of a candidate; nil once called
	peers      map[MemberID]*outbound
	order      []MemberID // IDs of peers in the order of the view
	offered    map[MemberID]bool
	sources    map[MemberID]bool // not merged yet
	lastStream uint64            // number of the last stream
}

// isRequired reports whether no write commits without this peer: it is a member, or a learner that the next view may promote.
func (l *leadership) isRequired(id MemberID) bool {
	return l.view.IsMember(id) || l.offered[id] || l.resumed
}

// membersInSync reports whether this primary has all acknowledged writes, and all members have joined and are in sync.
func (l *leadership) membersInSync() bool {
	if !l.joined || len(l.sources) > 0 {
		return false
	}
	for _, id := range l.order {
		if l.view.IsMember(id) && l.peers[id].state != peerInSync {
			return false
		}
	}
	return true
}

// startLeadership starts an epoch as its primary or candidate. Writes pending from an earlier epoch continue in this one.
func (r *Replica) startLeadership(v View, installed bool, ready func(uint64)) {
	v = v.Clone()
	l := &leadership{
		view: v, installed: installed, ready: ready,
		resumed: v.Epoch == r.loaded.Epoch && r.loaded.View.Primary == r.o.Self,
		peers:   make(map[MemberID]*outbound),
		offered: make(map[MemberID]bool),
		sources: r.sourcesToMerge(v),
		order:   sortedPeers(v, r.o.Self),
	}
	for _, id := range l.order {
		l.peers[id] = &outbound{id: id}
	}
	r.lead = l
	r.stream = nil
	r.fence = v.Epoch
	r.highestEpoch = max(r.highestEpoch, v.Epoch)
	r.joinOwnEpoch()
}

// joinOwnEpoch writes the new epoch to the local disk, together with a block of version numbers, before other members are requested
// to join.
func (r *Replica) joinOwnEpoch() {
	l := r.lead
	l.joinFailed = false
	var used uint64
	if r.joined.Epoch == l.view.Epoch {
		used = r.joined.Reserved
	}
	r.disk.rewriteFailed()
	r.persist(joinState{Epoch: l.view.Epoch, Reserved: used + versionBlock, View: l.view})
	r.disk.afterSyncs(func() {
		if r.lead != l {
			return
		}
		if r.joined.Epoch != l.view.Epoch || r.joined.Reserved != used+versionBlock || !r.disk.isConsistent() {
			l.joinFailed = true
			return
		}
		l.joined = true
		l.lastStream = used >> versionBlockBits << streamsPerBlockBits
		r.versions = versions{epoch: l.view.Epoch, last: used, reserved: r.joined.Reserved}
		for _, id := range l.order {
			if r.linked[id] {
				r.beginStream(l.peers[id])
			}
		}
		r.advance()
	})
}

// reserveVersions writes the reservation of another block of version numbers to disk while the current block is not used up.
func (r *Replica) reserveVersions() {
	l := r.lead
	r.versions.reserving = true
	r.persist(joinState{Epoch: l.view.Epoch, Reserved: r.versions.reserved + versionBlock, View: l.view})
	r.disk.afterSyncs(func() {
		if r.lead == l {
			r.versions.reserving = false
			r.versions.reserved = r.joined.Reserved
		}
	})
}

// depose ends the role of primary or candidate.
func (r *Replica) depose() {
	epoch := r.lead.view.Epoch
	r.lead = nil
	r.versions = versions{}
	r.writes.fail(ErrDeposed)
	r.o.Events.Deposed(epoch)
}

// noteHigherEpoch records the epoch that another member has joined. A higher one than the primary's own deposes it.
func (r *Replica) noteHigherEpoch(joined uint64) {
	r.highestEpoch = max(r.highestEpoch, joined)
	if r.lead != nil && joined > r.lead.view.Epoch {
		r.depose()
	}
}

// advance performs all transitions that have become possible: a candidate becomes ready, a primary becomes active, learners are
// offered, writes commit.
func (r *Replica) advance() {
	l := r.lead
	if l == nil {
		return
	}
	if l.ready != nil && l.membersInSync() {
		ready := l.ready
		l.ready = nil
		ready(l.view.Epoch)
	}
	if r.lead == l && l.installed && !l.active && l.membersInSync() {
		l.active = true
		r.o.Events.Active(l.view.Epoch)
	}
	if r.lead == l && l.installed {
		r.offerLearners(l)
	}
	r.completeWrites()
}

// offerLearners reports learners that are in sync. Writes wait for a learner from before its offer can be acted upon.
func (r *Replica) offerLearners(l *leadership) {
	for _, id := range l.order {
		if l.view.IsLearner(id) && l.peers[id].state == peerInSync && !l.offered[id] {
			l.offered[id] = true
			r.o.Events.Offer(l.view.Epoch, id)
			if r.lead != l {
				return
			}
		}
	}
}

// completeWrites completes the committed writes in order.
func (r *Replica) completeWrites() {
	for r.lead != nil && r.lead.installed && r.lead.joined {
		w := r.writes.first()
		if w == nil || !r.isCommitted(w) {
			break
		}
		r.writes.pop()
		w.done(w.err)
	}
	r.completeCommitWaiters()
}

// isCommitted reports whether a write is on the local disk, on the disks of all required peers, and on at least Copies disks. A write
// that failed locally counts as well: it completes with its error.
func (r *Replica) isCommitted(w *write) bool {
	if r.writes.synced.floor < w.index {
		return false
	}
	if w.err != nil {
		return true
	}
	copies := 1
	for _, id := range r.lead.order {
		p := r.lead.peers[id]
		switch {
		case p.holds(w.index):
			copies++
		case r.lead.isRequired(id) || p.isUnsynced(w.index):
			return false
		}
	}
	return copies >= r.o.Copies
}
