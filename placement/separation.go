package placement

import "slices"

// The costs of two copies that one loss may take together. Each outweighs any number of the next lower that a view can have.
const (
	sameNodeCost   = 1 << 20
	sameRegionCost = 1 << 10
	sameZoneCost   = 1
	// furtherZoneCost is that of a zone beyond the first, where zones need not be survived.
	furtherZoneCost = 1
)

// pairCost says how badly two copies are separated, zones apart where they are judged for the whole set.
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

// costOf says by how much a store makes the cost of a list worse, one other left out of it.
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

// zonesCost judges the zones of a set where copies may share them: every write crosses once to each zone beyond the first, and no loss that is to be
// borne is survived by that.
func (s *state) zonesCost(list []int) int {
	zones := 0
	for n, i := range list {
		if !slices.ContainsFunc(list[:n], func(j int) bool { return s.sameZone(i, j) }) {
			zones++
		}
	}
	return max(0, zones-1) * furtherZoneCost
}

// totalCost sums the costs of all pairs, and of the zones.
func (s *state) totalCost(list []int) int {
	cost := 0
	for n, i := range list {
		cost += s.costOf(i, list[:n], none)
	}
	return cost
}

// leastCost returns the cost of a well separated set of copies on the stores that may be given something.
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

// roomiestZonesFirst orders stores by the number of machines that their zones have among them, so that a choice that begins with the first needs the
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

// leastUseful returns which of a partition's copies is to go when there are too many: one that cannot stay, else the one
// without which the others are best separated, else the one on the fullest store. A learner goes before a member and a
// member before the primary.
func (s *state) leastUseful(p int, list []int) int {
	worst := none
	for _, i := range list {
		if worst == none || s.removedBefore(p, list, i, worst) {
			worst = i
		}
	}
	return worst
}

func (s *state) removedBefore(p int, list []int, i, j int) bool {
	if a, b := s.stores[i].permanent(), s.stores[j].permanent(); a != b {
		return b
	}
	if a, b := s.costOf(i, list, none), s.costOf(j, list, none); a != b {
		if s.savesZoneOnly(max(a-b, b-a)) && s.overloaded(i) != s.overloaded(j) {
			return s.overloaded(i) // it began to give copies away
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

// standing is 0 for a learner of the present view, 1 for a member, 2 for the primary.
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
