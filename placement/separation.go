package placement

import "slices"

// The costs of two copies that a single failure may affect together. Each outweighs any number of the next lower ones that a view can have.
const (
	sameNodeCost   = 1 << 20
	sameRegionCost = 1 << 10
	sameZoneCost   = 1
	// furtherZoneCost is the cost of each zone beyond the first when zones are shared.
	furtherZoneCost = 1
)

// pairCost is the cost of two copies that are not fully separated. With shared zones it excludes zones, which zonesCost covers for the whole set.
func (s *state) pairCost(i, j int) int {
	a, b := &s.stores[i], &s.stores[j]
	cost := 0
	if a.node == b.node {
		cost += sameNodeCost
	}
	if s.in.SpreadRegions && a.Region == b.Region {
		cost += sameRegionCost
	}
	if !s.in.SharedZones && s.sameZone(i, j) {
		cost += sameZoneCost
	}
	return cost
}

func (s *state) sameZone(i, j int) bool {
	a, b := &s.stores[i], &s.stores[j]
	return a.Region == b.Region && a.Zone == b.Zone
}

// costOf is the cost that store i adds to a list of stores, of which the store without is left out.
func (s *state) costOf(i int, list []int, without int) int {
	cost := 0
	others := make([]int, 0, len(list)+1)
	for _, j := range list {
		if j != i && j != without {
			cost += s.pairCost(i, j)
			others = append(others, j)
		}
	}
	if s.in.SharedZones {
		cost -= s.zonesCost(others)
		cost += s.zonesCost(append(others, i))
	}
	return cost
}

// zonesCost is the cost of the zones of a set when zones are shared: each write is sent once to every zone beyond the first, and the additional
// zones are not needed for fault tolerance.
func (s *state) zonesCost(list []int) int {
	zones := 0
	for n, i := range list {
		if !slices.ContainsFunc(list[:n], func(j int) bool { return s.sameZone(i, j) }) {
			zones++
		}
	}
	return max(0, zones-1) * furtherZoneCost
}

// totalCost is the sum of the costs of all pairs and of the zones.
func (s *state) totalCost(list []int) int {
	cost := 0
	for n, i := range list {
		cost += s.costOf(i, list[:n], none)
	}
	return cost
}

// leastCost returns the cost of a well-separated set of copies on the eligible stores.
func (s *state) leastCost() int {
	var chosen []int
	candidates := s.eligibleBy(func(int) int { return 0 })
	if s.in.SharedZones {
		candidates = s.largestZonesFirst(candidates)
	}
	for range s.in.Copies {
		best, bestCost := none, 0
		for _, i := range candidates {
			if slices.Contains(chosen, i) {
				continue
			}
			if cost := s.costOf(i, chosen, none); best == none || cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if best == none {
			break
		}
		chosen = append(chosen, best)
	}
	return s.totalCost(chosen)
}

// largestZonesFirst sorts stores by the number of machines in their zone, in descending order, so that a selection from the front needs the
// fewest zones.
func (s *state) largestZonesFirst(stores []int) []int {
	type zone struct{ region, name string }
	zoneOf := func(i int) zone { return zone{s.stores[i].Region, s.stores[i].Zone} }
	machines := map[zone]map[string]bool{}
	for _, i := range stores {
		in := zoneOf(i)
		if machines[in] == nil {
			machines[in] = map[string]bool{}
		}
		machines[in][s.stores[i].node] = true
	}
	ordered := slices.Clone(stores)
	slices.SortStableFunc(ordered, func(i, j int) int { return len(machines[zoneOf(j)]) - len(machines[zoneOf(i)]) })
	return ordered
}

// leastUseful returns the copy of a partition to remove when there are too many: one that is not permanent, else the one
// without which the others are best separated, else the one on the most loaded store. A learner is removed before a member
// and a member before the primary.
func (s *state) leastUseful(p int, list []int) int {
	worst := none
	for _, i := range list {
		if worst == none || s.removedBefore(p, list, i, worst) {
			worst = i
		}
	}
	return worst
}

// removedBefore reports whether the copy on store i is to be removed rather than the one on store j.
func (s *state) removedBefore(p int, list []int, i, j int) bool {
	if a, b := s.stores[i].permanent(), s.stores[j].permanent(); a != b {
		return b
	}
	if a, b := s.costOf(i, list, none), s.costOf(j, list, none); a != b {
		if s.savesZoneOnly(max(a-b, b-a)) && s.overloaded(i) != s.overloaded(j) {
			return s.overloaded(i) // a move away from it is in progress
		}
		return a > b
	}
	if s.load[i] != s.load[j] {
		return s.load[i] > s.load[j]
	}
	if a, b := s.memberRank(p, i), s.memberRank(p, j); a != b {
		return a < b
	}
	return s.tieBreaker(p, i) > s.tieBreaker(p, j)
}

// memberRank is 0 for a learner of the current view, 1 for a member, 2 for the primary.
func (s *state) memberRank(p, i int) int {
	v := &s.views[p]
	switch {
	case v.primary == i:
		return 2
	case slices.Contains(v.members, i):
		return 1
	}
	return 0
}
