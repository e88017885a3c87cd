package placement

import "slices"

// firstEpoch is the epoch of the initial view of a partition.
const firstEpoch = 1

// InitialViews returns the initial views of a number of partitions, or nil if there are fewer eligible stores than copies.
func InitialViews(stores []Store, partitions, copies int) []View {
	return InitialViewsFor(Input{Stores: stores, Copies: copies}, partitions)
}

// InitialViewsFor is InitialViews with the stores, copies and separation rules of an input.
func InitialViewsFor(in Input, partitions int) []View {
	in.Partitions, in.Offers = make([]View, partitions), nil
	s := newState(in)
	if len(s.eligibleBy(func(int) int { return 0 })) < s.in.Copies {
		return nil
	}
	shared := make([][]int, len(s.stores))
	for i := range shared {
		shared[i] = make([]int, len(s.stores))
	}
	for p := range s.views {
		members := s.firstMembers(p, shared)
		s.replace(p, view{primary: s.choosePrimary(p, members), members: members})
	}
	s.balanceInPlace()
	out := make([]View, partitions)
	for p := range out {
		out[p] = s.export(p, firstEpoch)
	}
	return out
}

// firstMembers chooses the stores of a new partition: well separated, lightly loaded, and sharing few partitions with each
// other so far, so that the repair work after a loss is spread over many stores. shared counts the common partitions of each pair of stores.
func (s *state) firstMembers(p int, shared [][]int) []int {
	var members []int
	for len(members) < s.in.Copies {
		best := none
		for i := range s.stores {
			if !s.stores[i].eligible() || slices.Contains(members, i) {
				continue
			}
			if best == none || s.betterMember(p, members, shared, i, best) {
				best = i
			}
		}
		members = append(members, best)
	}
	for _, i := range members {
		for _, j := range members {
			shared[i][j]++
		}
	}
	return members
}

// betterMember reports whether store i is a better addition to the members of a new partition than store j.
func (s *state) betterMember(p int, members []int, shared [][]int, i, j int) bool {
	if a, b := s.costOf(i, members, none), s.costOf(j, members, none); a != b {
		return a < b
	}
	if s.load[i] != s.load[j] {
		return s.load[i] < s.load[j]
	}
	a, b := 0, 0
	for _, m := range members {
		a += shared[i][m]
		b += shared[j][m]
	}
	if a != b {
		return a < b
	}
	return s.tieBreaker(p, i) < s.tieBreaker(p, j)
}

// balanceInPlace applies moves of copies and of primaries directly to the views until no move is left.
func (s *state) balanceInPlace() {
	for {
		m, ok := s.findMove()
		if !ok {
			break
		}
		next := s.views[m.partition]
		next.members = append(slices.DeleteFunc(slices.Clone(next.members), func(i int) bool { return i == m.from }), m.to)
		if next.primary == m.from {
			next.primary = m.to
		}
		s.replace(m.partition, next)
	}
	s.limit = len(s.views) * (len(s.stores) + 1)
	s.colocatePrimaries()
	s.balancePrimaries()
}
