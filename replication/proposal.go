package replication

import "slices"

// proposal makes the view of a candidacy: without its epoch and primary.
func (e *Elector) proposal(c *candidacy) ControlView {
	if e.tenure != nil && c.base.Epoch == e.tenure.epoch() {
		return e.desired()
	}
	if c.founding {
		return e.foundingView(c)
	}
	// Members that have answered stay, and nothing else may change before this process is the primary. Those whose replicas did not join
	// lately are learners: nobody waits for these, and without them there may be too few copies.
	answered := func(id MemberID) bool {
		a := c.answers[id]
		return id == e.o.Self.Member || a != nil && !a.Leaving
	}
	joinable := func(id MemberID) bool { return answered(id) && !e.leftOut(id) }
	b := viewBuilder{self: e.o.Self, limit: e.o.Tolerate + 2}
	b.witnesses = slices.Clone(c.base.Witnesses)
	b.addMembers(c.base.Members, joinable)
	for _, fit := range []func(MemberID) bool{joinable, answered} {
		b.addLearners(c.base.Learners, fit)
		b.addLearners(c.base.Witnesses, fit)
	}
	return b.build(func(id MemberID) Peer { return e.find(id, c.base) })
}

// leftOut tells whether a member's replica did not join lately, so that it may be a learner only.
func (e *Elector) leftOut(id MemberID) bool { return e.now < e.unjoinable[id] }

// viewBuilder puts a view together, the own process first.
type viewBuilder struct {
	self      Peer
	limit     int // of members and learners together
	members   []MemberID
	learners  []MemberID
	witnesses []MemberID
}

func (b *viewBuilder) addMembers(ids []MemberID, fit func(MemberID) bool) {
	if len(b.members) == 0 {
		b.members = append(b.members, b.self.Member)
	}
	for _, id := range ids {
		if len(b.members) < b.limit && !slices.Contains(b.members, id) && fit(id) {
			b.members = append(b.members, id)
		}
	}
}

func (b *viewBuilder) addLearners(ids []MemberID, fit func(MemberID) bool) {
	for _, id := range ids {
		if len(b.members)+len(b.learners) < b.limit && !slices.Contains(b.members, id) && !slices.Contains(b.learners, id) && fit(id) {
			b.learners = append(b.learners, id)
		}
	}
}

func (b *viewBuilder) build(find func(MemberID) Peer) ControlView {
	v := ControlView{View: View{Members: b.members, Learners: b.learners}, Witnesses: b.witnesses}
	for _, id := range union(union(b.witnesses, b.members), b.learners) {
		v.Peers = append(v.Peers, find(id))
	}
	return v
}

// desired returns the view that this primary wants now: with the members that are alive, learners that are equal as members, others as
// learners, and at most one witness more or less.
func (e *Elector) desired() ControlView {
	t := e.tenure
	alive := func(id MemberID) bool { return id == e.o.Self.Member || t.alive(e, id) }
	joinable := func(id MemberID) bool { return alive(id) && !e.leftOut(id) }
	b := viewBuilder{self: e.o.Self, limit: e.o.Tolerate + 2}
	b.witnesses = e.desiredWitnesses()
	present := func(id MemberID) bool { return slices.Contains(b.witnesses, id) && joinable(id) }
	b.addMembers(t.view.Members, present)
	b.addMembers(t.view.Learners, func(id MemberID) bool { return t.offered[id] && present(id) })
	for _, fit := range []func(MemberID) bool{joinable, alive} {
		b.addLearners(t.view.Learners, fit)
		b.addLearners(b.witnesses, fit)
		b.addLearners(e.applicants(), fit)
	}
	return b.build(func(id MemberID) Peer {
		if intro, ok := e.introduced[id]; ok {
			return intro.peer
		}
		return e.find(id, t.view)
	})
}

// applicants lists the processes that may become witnesses or learners, in a fixed order: those that have introduced themselves lately and are
// not about to end, and this primary itself, which introduces itself to nobody. It may have been left out as a witness when it was about to
// end, and have started again as the only member that holds the records.
func (e *Elector) applicants() []MemberID {
	var ids []MemberID
	if !e.resigned {
		ids = append(ids, e.o.Self.Member)
	}
	for id, intro := range e.introduced {
		if id != e.o.Self.Member && e.now-intro.at < introducedFor && !e.tenure.leaving[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// desiredWitnesses changes the set by one witness at most: one whose disk is known to be lost goes first, then one that leaves, and such that
// are gone, where the group survives more without them; a new one comes where the group survives no less with it.
func (e *Elector) desiredWitnesses() []MemberID {
	t := e.tenure
	for _, id := range t.view.Witnesses {
		if e.isReplaced(id) {
			return without(t.view.Witnesses, id)
		}
	}
	var gone []MemberID
	for _, id := range t.view.Witnesses {
		if id != e.o.Self.Member && e.now-t.heard[id] >= witnessGoneFor {
			gone = append(gone, id)
		}
	}
	n := len(t.view.Witnesses)
	for _, id := range t.view.Witnesses {
		if t.leaving[id] && !slices.Contains(gone, id) && mayLeave(n) {
			return without(t.view.Witnesses, id)
		}
	}
	for k := 1; k <= len(gone); k++ {
		if spare(n-k, len(gone)-k) > spare(n, len(gone)) {
			return without(t.view.Witnesses, gone[0])
		}
	}
	for _, id := range e.applicants() {
		if !t.view.IsWitness(id) && spare(n+1, len(gone)) >= spare(n, len(gone)) {
			return append(slices.Clone(t.view.Witnesses), id)
		}
	}
	return slices.Clone(t.view.Witnesses)
}

// mayLeave tells whether a set of n witnesses survives more without one of them than with that one gone. One witness alone is no set to be left to.
func mayLeave(n int) bool { return n > 2 && spare(n-1, 0) > spare(n, 1) }

// spare returns how many more witnesses may be lost of n when some are gone already, before there is no majority.
func spare(n, gone int) int { return n - gone - majority(n) }

func without(ids []MemberID, id MemberID) []MemberID {
	return slices.DeleteFunc(slices.Clone(ids), func(other MemberID) bool { return other == id })
}

// isReplaced tells whether another member was heard last at the address of this one: the process there began with an empty disk, and the
// disk of before is no more.
func (e *Elector) isReplaced(id MemberID) bool {
	present, known := e.speakers[e.tenure.view.Address(id)]
	return known && present != id
}

// sameComposition tells whether two views differ at most in their epoch and order.
func sameComposition(a, b ControlView) bool {
	moved := slices.ContainsFunc(a.Peers, func(p Peer) bool { return p.Address != b.Address(p.Member) })
	return !moved && sameSet(a.Members, b.Members) && sameSet(a.Learners, b.Learners) && sameSet(a.Witnesses, b.Witnesses)
}

func sameSet(a, b []MemberID) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}
