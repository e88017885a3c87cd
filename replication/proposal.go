package replication

import "slices"

// proposeView returns the view of a candidacy, without its epoch and primary.
func (e *Elector) proposeView(c *candidacy) ControlView {
	if e.primary != nil && c.base.Epoch == e.primary.epoch() {
		return e.desiredView()
	}
	if c.founding {
		return e.foundingView(c)
	}
	// Members that have answered stay, and no other change is allowed before this process is the primary. Members whose replicas failed
	// to join recently become learners: writes do not wait for them, and without them there may be too few copies.
	answered := func(id MemberID) bool {
		a := c.answers[id]
		return id == e.o.Self.Member || a != nil && !a.Leaving
	}
	joinable := func(id MemberID) bool { return answered(id) && !e.isUnjoinable(id) }
	b := viewBuilder{self: e.o.Self, limit: e.o.Tolerate + 2}
	b.witnesses = slices.Clone(c.base.Witnesses)
	b.addMembers(c.base.Members, joinable)
	for _, eligible := range []func(MemberID) bool{joinable, answered} {
		b.addLearners(c.base.Learners, eligible)
		b.addLearners(c.base.Witnesses, eligible)
	}
	return b.build(func(id MemberID) Peer { return e.locate(id, c.base) })
}

// isUnjoinable reports whether a member's replica recently failed to join or stalled, so that it may only be a learner.
func (e *Elector) isUnjoinable(id MemberID) bool { return e.now < e.unjoinable[id] }

// viewBuilder assembles a view, with the local process first.
type viewBuilder struct {
	self      Peer
	limit     int // maximum number of members and learners together
	members   []MemberID
	learners  []MemberID
	witnesses []MemberID
}

func (b *viewBuilder) addMembers(ids []MemberID, eligible func(MemberID) bool) {
	if len(b.members) == 0 {
		b.members = append(b.members, b.self.Member)
	}
	for _, id := range ids {
		if len(b.members) < b.limit && !slices.Contains(b.members, id) && eligible(id) {
			b.members = append(b.members, id)
		}
	}
}

func (b *viewBuilder) addLearners(ids []MemberID, eligible func(MemberID) bool) {
	for _, id := range ids {
		if len(b.members)+len(b.learners) < b.limit && !slices.Contains(b.members, id) && !slices.Contains(b.learners, id) && eligible(id) {
			b.learners = append(b.learners, id)
		}
	}
}

func (b *viewBuilder) build(locate func(MemberID) Peer) ControlView {
	v := ControlView{View: View{Members: b.members, Learners: b.learners}, Witnesses: b.witnesses}
	for _, id := range union(union(b.witnesses, b.members), b.learners) {
		v.Peers = append(v.Peers, locate(id))
	}
	return v
}

// desiredView returns the view that this primary should change to: live members stay, learners in sync become members, other live
// processes become learners, and at most one witness is added or removed.
func (e *Elector) desiredView() ControlView {
	primary := e.primary
	live := func(id MemberID) bool { return id == e.o.Self.Member || primary.isLive(e, id) }
	joinable := func(id MemberID) bool { return live(id) && !e.isUnjoinable(id) }
	b := viewBuilder{self: e.o.Self, limit: e.o.Tolerate + 2}
	b.witnesses = e.desiredWitnesses()
	present := func(id MemberID) bool { return slices.Contains(b.witnesses, id) && joinable(id) }
	b.addMembers(primary.view.Members, present)
	b.addMembers(primary.view.Learners, func(id MemberID) bool { return primary.offered[id] && present(id) })
	for _, eligible := range []func(MemberID) bool{joinable, live} {
		b.addLearners(primary.view.Learners, eligible)
		b.addLearners(b.witnesses, eligible)
		b.addLearners(e.applicants(), eligible)
	}
	return b.build(func(id MemberID) Peer {
		if intro, ok := e.introduced[id]; ok {
			return intro.peer
		}
		return e.locate(id, primary.view)
	})
}

// applicants lists, in a fixed order, the processes that may become witnesses or learners: those that have introduced themselves recently
// and are not shutting down, and this primary, which sends no introductions. It may have been removed as a witness when it was shutting
// down, and have restarted as the only member that holds the records.
func (e *Elector) applicants() []MemberID {
	var ids []MemberID
	if !e.resigned {
		ids = append(ids, e.o.Self.Member)
	}
	for id, intro := range e.introduced {
		if id != e.o.Self.Member && e.now-intro.at < introductionTTL && !e.primary.leaving[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// desiredWitnesses changes the set by at most one witness. It removes, in this order, one whose disk is known to be lost, one that is
// shutting down, or one that is unresponsive, the latter two only if the group tolerates more failures without it. Otherwise it adds a new
// one if the group tolerates no fewer failures with it.
func (e *Elector) desiredWitnesses() []MemberID {
	primary := e.primary
	for _, id := range primary.view.Witnesses {
		if e.isDiskReplaced(id) {
			return without(primary.view.Witnesses, id)
		}
	}
	var lost []MemberID
	for _, id := range primary.view.Witnesses {
		if id != e.o.Self.Member && e.now-primary.lastHeard[id] >= witnessLostTimeout {
			lost = append(lost, id)
		}
	}
	n := len(primary.view.Witnesses)
	for _, id := range primary.view.Witnesses {
		if primary.leaving[id] && !slices.Contains(lost, id) && mayRemoveLeaving(n) {
			return without(primary.view.Witnesses, id)
		}
	}
	for k := 1; k <= len(lost); k++ {
		if spare(n-k, len(lost)-k) > spare(n, len(lost)) {
			return without(primary.view.Witnesses, lost[0])
		}
	}
	for _, id := range e.applicants() {
		if !primary.view.IsWitness(id) && spare(n+1, len(lost)) >= spare(n, len(lost)) {
			return append(slices.Clone(primary.view.Witnesses), id)
		}
	}
	return slices.Clone(primary.view.Witnesses)
}

// mayRemoveLeaving reports whether n-1 witnesses tolerate more failures than n with one of them lost. A set of two is never reduced to one.
func mayRemoveLeaving(n int) bool { return n > 2 && spare(n-1, 0) > spare(n, 1) }

// spare returns how many more of n witnesses, some of which are lost already, may be lost while the rest is a majority.
func spare(n, lost int) int { return n - lost - majority(n) }

func without(ids []MemberID, id MemberID) []MemberID {
	return slices.DeleteFunc(slices.Clone(ids), func(other MemberID) bool { return other == id })
}

// isDiskReplaced reports whether the last message from the address of this member came from another member: the process there has started
// with an empty disk, and the previous disk is lost.
func (e *Elector) isDiskReplaced(id MemberID) bool {
	present, known := e.memberAt[e.primary.view.Address(id)]
	return known && present != id
}

// sameComposition reports whether two views differ in nothing but their epoch, primary, generation and order.
func sameComposition(a, b ControlView) bool {
	moved := slices.ContainsFunc(a.Peers, func(p Peer) bool { return p.Address != b.Address(p.Member) })
	return !moved && sameSet(a.Members, b.Members) && sameSet(a.Learners, b.Learners) && sameSet(a.Witnesses, b.Witnesses)
}

func sameSet(a, b []MemberID) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}
