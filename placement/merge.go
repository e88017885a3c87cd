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
// has taken everything.
func (s *state) sourcesLeft(p int) []int {
	if len(s.offered[p]) > 0 {
		return nil
	}
	return s.filter(s.views[p].sources, func(st *store) bool { return !st.lost() })
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
// and does nothing where more disks are lost than the copies allow for: an old disk may be put back.
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
	if len(survivors) == 0 || len(s.listed(p))-len(survivors) >= s.in.Copies {
		return
	}
	primary := s.bestPrimary(p, survivors)
	members := []int{primary}
	sources := slices.DeleteFunc(survivors, func(i int) bool { return i == primary })
	learners := s.attach(p, members, slices.Clone(sources))
	next := view{
		primary: primary, members: members, learners: learners,
		sources: sources, holders: s.holders(p, members, learners), changed: true,
	}
	s.unexpect(p)
	s.replace(p, next)
	s.expect(p)
}
