package placement

import "slices"

// listed returns all stores that the present view of a partition names.
func (s *state) listed(p int) []int {
	v := &s.views[p]
	return slices.Concat(v.members, v.learners, v.holders)
}

// holders lists the stores of the present view that are neither members nor learners of the next, where that has fewer than Copies members: only
// all of them together are sure to hold what was acknowledged without the members' disks. Those whose disks are lost are counted on, see merge.
func (s *state) holders(p int, members, learners []int) []int {
	if len(members) >= s.in.Copies {
		return nil
	}
	return slices.DeleteFunc(s.listed(p), func(i int) bool { return slices.Contains(members, i) || slices.Contains(learners, i) })
}

// sourcesLeft returns the sources that the primary of the next view has to take from: none once a learner was offered, as an active primary
// has taken everything. Where one has lost its disk, and the partition may do without what is lost, all others that are listed take its place:
// one that was given up, or had another disk in its machine, may be back and hold what only the source had. Else the source is waited for.
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

// awaitsSource reports whether the primary of a partition has still to take what is on a disk that is lost, and cannot do without.
func (s *state) awaitsLostSource(p int) bool {
	v := &s.views[p]
	return len(s.offered[p]) == 0 && len(s.filter(v.sources, (*store).lost)) > 0 && !s.canProceedWithoutLost(p)
}

// mayDoWithout reports whether a partition may go on without those of the listed disks that are lost: they are fewer than Copies, so what was
// acknowledged is on another, or the operator has given up each of them.
func (s *state) canProceedWithoutLost(p int) bool {
	lost := s.filter(s.listed(p), (*store).lost)
	return len(lost) < s.in.Copies || s.allAbandoned(lost)
}

func (s *state) allAbandoned(list []int) bool {
	return len(s.filter(list, (*store).abandoned)) == len(list)
}

// union appends to a list what it lacks of another.
func union(list, other []int) []int {
	for _, i := range other {
		if !slices.Contains(list, i) {
			list = append(list, i)
		}
	}
	return list
}

// merge gives a partition all of whose members' disks are lost a primary that puts together what the others hold. It waits for all of these,
// and does nothing where more disks are lost than the copies allow for, as an old disk may be put back, until the operator has given them up.
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

// beginWith gives a partition without members a primary, which takes what the sources hold.
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
