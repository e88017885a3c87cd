package placement

import "slices"

// listed returns all stores that the current view of a partition refers to.
func (s *state) listed(p int) []int {
	v := &s.views[p]
	return slices.Concat(v.members, v.learners, v.holders)
}

// holders returns the stores of the current view that are neither members nor learners of the next one, if that has fewer than Copies members:
// without the disks of the members, only all of these together are certain to hold every acknowledged record. Stores with lost disks stay on the
// list, because merge counts them.
func (s *state) holders(p int, members, learners []int) []int {
	if len(members) >= s.in.Copies {
		return nil
	}
	return slices.DeleteFunc(s.listed(p), func(i int) bool { return slices.Contains(members, i) || slices.Contains(learners, i) })
}

// remainingSources returns the sources that the primary of the next view has yet to fetch records from. There are none once a learner was
// offered, because a primary offers learners only after it has fetched everything. If a source has lost its disk and the partition can proceed
// without the lost disks, all other listed stores replace it: one that had been abandoned or superseded may be back and hold records that
// otherwise only the source had. If the partition cannot proceed, it waits for the source.
func (s *state) remainingSources(p int) []int {
	v := &s.views[p]
	switch {
	case len(s.offered[p]) > 0:
		return nil
	case len(s.filter(v.sources, (*store).lost)) == 0 || !s.canProceedWithoutLost(p):
		return slices.Clone(v.sources)
	}
	return slices.DeleteFunc(s.listed(p), func(i int) bool { return s.stores[i].lost() || slices.Contains(v.members, i) })
}

// awaitsLostSource reports whether the primary of a partition has yet to fetch records from a lost disk and cannot proceed without it.
func (s *state) awaitsLostSource(p int) bool {
	v := &s.views[p]
	return len(s.offered[p]) == 0 && len(s.filter(v.sources, (*store).lost)) > 0 && !s.canProceedWithoutLost(p)
}

// canProceedWithoutLost reports whether a partition can proceed without the lost disks among those listed: they are fewer than Copies, so every
// acknowledged record is on another disk, or the operator has abandoned each of them.
func (s *state) canProceedWithoutLost(p int) bool {
	lost := s.filter(s.listed(p), (*store).lost)
	return len(lost) < s.in.Copies || s.allAbandoned(lost)
}

func (s *state) allAbandoned(list []int) bool {
	return len(s.filter(list, (*store).abandoned)) == len(list)
}

// union appends the elements of other that list lacks.
func union(list, other []int) []int {
	for _, i := range other {
		if !slices.Contains(list, i) {
			list = append(list, i)
		}
	}
	return list
}

// merge handles a partition whose members have all lost their disks: it chooses a primary that merges the records of the other listed stores. It
// waits until all of these are live. If Copies or more disks are lost, it does nothing until the operator has abandoned all of them, because an
// old disk may be put back.
func (s *state) merge(p int) {
	v := &s.views[p]
	var survivors []int
	for _, i := range s.listed(p) {
		switch {
		case s.stores[i].lost():
		case slices.Contains(v.members, i) || !s.stores[i].live():
			return
		default:
			survivors = append(survivors, i)
		}
	}
	switch {
	case len(survivors) > 0 && s.canProceedWithoutLost(p):
		primary := s.bestPrimary(p, survivors)
		s.startWithPrimary(p, primary, slices.DeleteFunc(survivors, func(i int) bool { return i == primary }))
	case len(survivors) == 0 && s.allAbandoned(s.listed(p)):
		if primary := s.candidate(p, nil, nil, false); primary != none {
			s.startWithPrimary(p, primary, nil)
		}
	}
}

// startWithPrimary gives a partition that has lost all members a new primary, which fetches the records of the sources.
func (s *state) startWithPrimary(p, primary int, sources []int) {
	members := []int{primary}
	learners := s.attach(p, members, slices.Clone(sources))
	next := view{
		primary: primary, members: members, learners: learners,
		sources: sources, holders: s.holders(p, members, learners), changed: true,
	}
	s.cancelExpectedRemoval(p)
	s.replace(p, next)
	s.expectRemoval(p)
}
