package placement

import (
	"maps"
	"slices"
)

// Abandonment counts what becomes of the partitions that name some stores once the operator has given up the disks of these.
type Abandonment struct {
	Kept       int // go on from a member that has everything
	Merged     int // are put together from what other stores hold, which is everything that was acknowledged
	Incomplete int // are put together from what other stores hold; what only lost disks had is gone
	Emptied    int // have no disk left: everything in them is gone
	Waiting    int // wait for yet another disk
}

// PreviewAbandonment tells what it would mean to give up the disks of stores that are gone. It changes nothing.
func PreviewAbandonment(in Input, members []string) (a Abandonment) {
	in.Stores = slices.Clone(in.Stores)
	for i := range in.Stores {
		in.Stores[i].Abandoned = in.Stores[i].Abandoned || slices.Contains(members, in.Stores[i].Member)
	}
	s := newState(in)
	for p, v := range in.Partitions {
		named := func(member string) bool {
			return v.Primary == member || slices.Contains(slices.Concat(v.Members, v.Learners, v.Holders), member)
		}
		if slices.ContainsFunc(members, named) {
			*s.outcome(p, &a)++
		}
	}
	return a
}

// outcome returns the count that a partition belongs to.
func (s *state) outcome(p int, a *Abandonment) *int {
	v := &s.views[p]
	lost := s.filter(s.listed(p), (*store).lost)
	hasEverything := len(s.filter(v.members, (*store).live))+len(s.filter(s.offered[p], (*store).live)) > 0
	switch {
	case hasEverything && (len(s.filter(v.sources, (*store).lost)) == 0 || len(s.offered[p]) > 0):
		return &a.Kept
	case len(s.awaitedDisks(p)) > 0:
		return &a.Waiting
	case len(lost) == len(s.listed(p)):
		return &a.Emptied
	case len(lost) < s.in.Copies:
		return &a.Merged
	}
	return &a.Incomplete
}

// waitsFor returns the disks without which a partition rests: nobody leads it, or its primary has still to take what they hold.
func (s *state) awaitedDisks(p int) []int {
	v := &s.views[p]
	lost := s.filter(s.listed(p), (*store).lost)
	if len(s.filter(v.members, (*store).live))+len(s.filter(s.offered[p], (*store).live)) > 0 {
		if s.awaitsLostSource(p) {
			return s.notAbandoned(lost)
		}
		return s.filter(s.remainingSources(p), func(st *store) bool { return !st.live() })
	}
	missing := s.filter(s.listed(p), func(st *store) bool { return !st.live() && !st.lost() })
	if len(lost) == len(s.listed(p)) || !s.canProceedWithoutLost(p) {
		missing = append(missing, s.notAbandoned(lost)...)
	}
	return missing
}

func (s *state) notAbandoned(list []int) []int {
	return s.filter(list, func(st *store) bool { return !st.abandoned() })
}

// AwaitedMembers returns the members whose disks partitions wait for, in order, and how many partitions rest for that. The operator starts these
// stores, puts their disks back, or gives them up.
func AwaitedMembers(in Input) (members []string, partitions int) {
	s := newState(in)
	found := map[string]bool{}
	for p := range s.views {
		missing := s.awaitedDisks(p)
		if len(missing) > 0 {
			partitions++
		}
		for _, i := range missing {
			found[s.stores[i].Member] = true
		}
	}
	return slices.Sorted(maps.Keys(found)), partitions
}
