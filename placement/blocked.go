package placement

import "slices"

// addBlocked notes which pairs of live stores cannot reach each other. What is gone is no matter: it is left out anyway.
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

// reachesAll reports whether a store reaches all of a list.
func (s *state) reachesAll(i int, list []int) bool {
	return !slices.ContainsFunc(list, func(j int) bool { return s.unreachable[[2]int{i, j}] })
}

// connected leaves holders out until all that are left reach each other: first the one that is cut off from the most stores, else
// any but the present primary. Where the rest could not have Copies with the other live stores that it reaches, nobody is left out:
// writes would wait all the same.
func (s *state) mutuallyReachable(p int, holders []int) []int {
	rest := slices.Clone(holders)
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
	if len(rest) < len(holders) && s.reachableBy(rest) < s.in.Copies {
		return holders
	}
	return rest
}

func (s *state) excludedBefore(p, i, j int) bool {
	if s.unreachableCount[i] != s.unreachableCount[j] {
		return s.unreachableCount[i] > s.unreachableCount[j]
	}
	return s.views[p].primary == j
}

// reachableBy counts the live stores that reach all of a list, with the list itself.
func (s *state) reachableBy(list []int) int {
	n := 0
	for i := range s.stores {
		if s.stores[i].live() && s.reachesAll(i, list) {
			n++
		}
	}
	return n
}
