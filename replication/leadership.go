package replication

// leadership is what a replica knows as the primary of an epoch, or as the candidate for it.
type leadership struct {
	view       View
	installed  bool // the view is decided
	resumed    bool // this member was the epoch's primary before its process restarted, and may have offered any learner
	joined     bool // the own join is on disk
	joinFailed bool
	active     bool
	ready      func(epoch uint64) // of a candidate, until called
	peers      map[MemberID]*outbound
	order      []MemberID // of peers
	offered    map[MemberID]bool
	sources    map[MemberID]bool // not absorbed yet
	streams    uint64            // the last number of a stream
}

// mustHave tells whether no write is done without this peer: members, and learners that may become members without asking again.
func (l *leadership) mustHave(id MemberID) bool {
	return l.view.IsMember(id) || l.offered[id] || l.resumed
}

// membersEqual tells whether this primary holds everything, and all members have joined and are equal.
func (l *leadership) membersEqual() bool {
	if !l.joined || len(l.sources) > 0 {
		return false
	}
	for _, id := range l.order {
		if l.view.IsMember(id) && l.peers[id].state != peerEqual {
			return false
		}
	}
	return true
}

// takeLead begins an epoch as its primary or candidate. Writes that are pending from an epoch before go on in this one.
func (r *Replica) takeLead(v View, installed bool, ready func(uint64)) {
	v = v.Clone()
	l := &leadership{
		view: v, installed: installed, ready: ready,
		resumed: v.Epoch == r.loaded.Epoch && r.loaded.View.Primary == r.o.Self,
		peers:   make(map[MemberID]*outbound),
		offered: make(map[MemberID]bool),
		sources: r.toAbsorb(v),
		order:   sortedPeers(v, r.o.Self),
	}
	for _, id := range l.order {
		l.peers[id] = &outbound{id: id}
	}
	r.lead = l
	r.stream = nil
	r.fence = v.Epoch
	r.highest = max(r.highest, v.Epoch)
	r.joinSelf()
}

// joinSelf puts the own epoch on disk, together with a block of version numbers, before anybody else is asked to join.
func (r *Replica) joinSelf() {
	l := r.lead
	l.joinFailed = false
	var used uint64
	if r.joined.Epoch == l.view.Epoch {
		used = r.joined.Reserved
	}
	r.disk.heal()
	r.persist(joined{Epoch: l.view.Epoch, Reserved: used + versionBlock, View: l.view})
	r.disk.afterSyncs(func() {
		if r.lead != l {
			return
		}
		if r.joined.Epoch != l.view.Epoch || r.joined.Reserved != used+versionBlock || !r.disk.sound() {
			l.joinFailed = true
			return
		}
		l.joined = true
		l.streams = used >> versionBlockBits << streamsPerBlockLog
		r.versions = versions{epoch: l.view.Epoch, last: used, reserved: r.joined.Reserved}
		for _, id := range l.order {
			if r.linked[id] {
				r.begin(l.peers[id])
			}
		}
		r.advance()
	})
}

// reserve puts another block of version numbers on disk while there are some left.
func (r *Replica) reserve() {
	l := r.lead
	r.versions.extended = true
	r.persist(joined{Epoch: l.view.Epoch, Reserved: r.versions.reserved + versionBlock, View: l.view})
	r.disk.afterSyncs(func() {
		if r.lead == l {
			r.versions.extended = false
			r.versions.reserved = r.joined.Reserved
		}
	})
}

// depose ends being primary or candidate.
func (r *Replica) depose() {
	epoch := r.lead.view.Epoch
	r.lead = nil
	r.versions = versions{}
	r.writes.fail(ErrDeposed)
	r.o.Events.Deposed(epoch)
}

// refused notes that another member has joined a higher epoch, which ends being primary.
func (r *Replica) refused(joined uint64) {
	r.highest = max(r.highest, joined)
	if r.lead != nil && joined > r.lead.view.Epoch {
		r.depose()
	}
}

// advance does what has become possible: a candidate is ready, a primary active, learners are offered, writes done.
func (r *Replica) advance() {
	l := r.lead
	if l == nil {
		return
	}
	if l.ready != nil && l.membersEqual() {
		ready := l.ready
		l.ready = nil
		ready(l.view.Epoch)
	}
	if r.lead == l && l.installed && !l.active && l.membersEqual() {
		l.active = true
		r.o.Events.Active(l.view.Epoch)
	}
	if r.lead == l && l.installed {
		r.offer(l)
	}
	r.complete()
}

// offer tells of learners that are equal. From then on writes wait for them, before anybody else can know.
func (r *Replica) offer(l *leadership) {
	for _, id := range l.order {
		if l.view.IsLearner(id) && l.peers[id].state == peerEqual && !l.offered[id] {
			l.offered[id] = true
			r.o.Events.Offer(l.view.Epoch, id)
			if r.lead != l {
				return
			}
		}
	}
}

// complete answers the writes that are on all disks they need, in order.
func (r *Replica) complete() {
	for r.lead != nil && r.lead.installed && r.lead.joined {
		w := r.writes.first()
		if w == nil || !r.isDone(w) {
			break
		}
		r.writes.pop()
		w.done(w.failed)
	}
	r.completeSettling()
}

// isDone tells whether a write is on the own disk, on those of everybody it must wait for, and on enough.
func (r *Replica) isDone(w *write) bool {
	if r.writes.synced.floor < w.index {
		return false
	}
	if w.failed != nil {
		return true
	}
	copies := 1
	for _, id := range r.lead.order {
		p := r.lead.peers[id]
		switch {
		case p.holds(w.index):
			copies++
		case r.lead.mustHave(id) || p.owes(w.index):
			return false
		}
	}
	return copies >= r.o.Copies
}
