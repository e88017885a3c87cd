package placement

import (
	"maps"
	"slices"
)

// Abandonment counts the partitions that refer to abandoned stores, by the outcome of giving up the disks of these stores.
type Abandonment struct {
	Kept       int // continue from a member that has all records
	Merged     int // are merged from the records on other stores, which include every acknowledged record
	Incomplete int // are merged from the records on other stores; records that only lost disks held are lost
	Emptied    int // have no disk left: all of their records are lost
	Waiting    int // still wait for another disk
}

// PreviewAbandonment returns the effect of abandoning the disks of unavailable stores. It modifies nothing.
func PreviewAbandonment(in Input, members []string) (a Abandonment) {
	in.Stores = slices.Clone(in.Stores)
	for i := range in.Stores {
		in.Stores[i].Abandoned = in.Stores[i].Abandoned || slices.Contains(members, in.Stores[i].Member)
	}
	s := newState(in)
	for p, v := range in.Partitions {
		refersTo := func(member string) bool {
			return v.Primary == member || slices.Contains(slices.Concat(v.Members, v.Learners, v.Holders), member)
		}
		if slices.ContainsFunc(members, refersTo) {
			*s.outcome(p, &a)++
		}
	}
	return a
}

// outcome returns the counter in a that a partition belongs to.
func (s *state) outcome(p int, a *Abandonment) *int {
	v := &s.views[p]
	lost := s.filter(s.listed(p), (*store).lost)
	hasAllRecords := len(s.filter(v.members, (*store).live))+len(s.filter(s.offered[p], (*store).live)) > 0
	switch {
	case hasAllRecords && (len(s.filter(v.sources, (*store).lost)) == 0 || len(s.offered[p]) > 0):
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

// awaitedDisks returns the stores whose disks a partition needs before it can serve requests: it has no live primary, or its primary has yet
// to fetch the records on them.
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

// AwaitedMembers returns the members whose disks partitions wait for, sorted, and the number of partitions that wait. The operator resolves
// this by starting these stores, putting their disks back, or abandoning them.
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
