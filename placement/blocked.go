package placement

import "slices"

// addBlocked records the pairs of live stores that cannot reach each other. Unavailable stores are ignored: they are excluded anyway.
func (s *state) addBlocked() {
	s.unreachable = map[[2]int]bool{}
	s.unreachableCount = make([]int, len(s.stores))
	for _, pair := range s.in.Blocked {
		i, foundFirst := s.index[pair[0]]
		j, foundSecond := s.index[pair[1]]
		if !foundFirst || !foundSecond || i == j || s.unreachable[[2]int{i, j}] || !s.stores[i].live() || !s.stores[j].live() {
			continue
		}
		s.unreachable[[2]int{i, j}], s.unreachable[[2]int{j, i}] = true, true
		s.unreachableCount[i]++
		s.unreachableCount[j]++
	}
}

// reachesAll reports whether store i reaches every store in the list.
func (s *state) reachesAll(i int, list []int) bool {
	return !slices.ContainsFunc(list, func(j int) bool { return s.unreachable[[2]int{i, j}] })
}

// mutuallyReachable excludes stores, of those with all records, until the remaining ones all reach each other. It excludes the one that is
// unreachable from the most stores first, and on a tie any other than the current primary. If the remaining stores cannot reach enough live
// stores for Copies copies, it excludes none: writes would be blocked either way.
func (s *state) mutuallyReachable(p int, complete []int) []int {
	rest := slices.Clone(complete)
	for {
		worst := none
		for _, i := range rest {
			if !s.reachesAll(i, rest) && (worst == none || s.excludedBefore(p, i, worst)) {
				worst = i
			}
		}
		if worst == none {
			break
		}
		rest = slices.DeleteFunc(rest, func(i int) bool { return i == worst })
	}
	if len(rest) < len(complete) && s.reachableBy(rest) < s.in.Copies {
		return complete
	}
	return rest
}

// excludedBefore reports whether store i is to be excluded rather than store j.
func (s *state) excludedBefore(p, i, j int) bool {
	if s.unreachableCount[i] != s.unreachableCount[j] {
		return s.unreachableCount[i] > s.unreachableCount[j]
	}
	return s.views[p].primary == j
}

// reachableBy counts the live stores that reach every store in the list, including those in the list.
func (s *state) reachableBy(list []int) int {
	n := 0
	for i := range s.stores {
		if s.stores[i].live() && s.reachesAll(i, list) {
			n++
		}
	}
	return n
}
