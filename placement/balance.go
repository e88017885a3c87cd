package placement

import (
	"cmp"
	"math"
	"slices"
)

// fullyReplicated reports whether all live stores reach each other, none of them is leaving, and every partition that does not wait has exactly
// Copies members, all of them permanent.
func (s *state) fullyReplicated() bool {
	if len(s.unreachable) > 0 {
		return false
	}
	for i := range s.stores {
		if s.stores[i].live() && s.stores[i].Leaving {
			return false
		}
	}
	for p := range s.views {
		v := &s.views[p]
		if s.isWaiting(p) {
			continue
		}
		if len(v.members) != s.in.Copies || s.permanentCount(v.members) != s.in.Copies {
			return false
		}
	}
	return true
}

// isWaiting reports whether the partition waits for an unavailable member, or for a source that has lost its disk.
func (s *state) isWaiting(p int) bool {
	return s.liveCount(s.views[p].members) == 0 || s.awaitsLostSource(p)
}

// isStable reports whether the partition has no move in progress and waits for no store.
func (s *state) isStable(p int) bool {
	return len(s.views[p].learners) == 0 && !s.isWaiting(p)
}

// step makes another member of a partition its primary.
type step struct{ partition, to int }

// balancePrimaries balances the number of primaries per store. It transfers primaries between members along the shortest
// chain from a store with many primaries to one with at least two fewer.
func (s *state) balancePrimaries() {
	ledBy := make([][]int, len(s.stores))
	for p := range s.views {
		if i := s.views[p].primary; i != none && s.isStable(p) {
			ledBy[i] = append(ledBy[i], p)
		}
	}
	for moved := 0; moved < s.limit; {
		chain := s.findChain(ledBy)
		if chain == nil || moved > 0 && moved+len(chain) > s.limit {
			return
		}
		for _, c := range chain {
			next := s.views[c.partition]
			from := next.primary
			next.primary, next.changed = c.to, true
			s.replace(c.partition, next)
			ledBy[from] = slices.DeleteFunc(ledBy[from], func(p int) bool { return p == c.partition })
			ledBy[c.to] = append(ledBy[c.to], c.partition)
		}
		moved += len(chain)
	}
}

// colocatePrimaries moves the primary of a partition to the zone with the most copies of the partition, when zones are shared.
func (s *state) colocatePrimaries() {
	if !s.in.SharedZones {
		return
	}
	for p, moved := 0, 0; p < len(s.views) && moved < s.limit; p++ {
		v := s.views[p]
		if v.primary == none || !s.isStable(p) {
			continue
		}
		best := s.bestPrimary(p, s.filter(v.members, (*store).eligible))
		if best == none || s.sameZoneMembers(v.members, best) <= s.sameZoneMembers(v.members, v.primary) {
			continue
		}
		v.primary, v.changed = best, true
		s.replace(p, v)
		moved++
	}
}

// sameZoneMembers counts the other members in the zone of store i. It is 0 unless zones are shared.
func (s *state) sameZoneMembers(members []int, i int) int {
	count := 0
	for _, j := range members {
		if s.in.SharedZones && j != i && s.sameZone(i, j) {
			count++
		}
	}
	return count
}

// findChain searches for a chain of primary transfers, starting with the stores that have the most primaries.
func (s *state) findChain(ledBy [][]int) []step {
	stores := s.eligibleBy(func(i int) int { return -s.primaries[i] })
	if len(stores) == 0 {
		return nil
	}
	fewest := s.primaries[stores[len(stores)-1]]
	for _, i := range stores {
		if s.primaries[i] < fewest+2 {
			return nil
		}
		if chain := s.chainFrom(i, ledBy); chain != nil {
			return chain
		}
	}
	return nil
}

// chainFrom searches breadth-first for a chain that starts at one store.
func (s *state) chainFrom(start int, ledBy [][]int) []step {
	reachedBy := make([]step, len(s.stores))
	reached := make([]bool, len(s.stores))
	reached[start] = true
	queue := []int{start}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		for _, p := range ledBy[i] {
			for _, j := range s.views[p].members {
				if reached[j] || !s.stores[j].eligible() || s.sameZoneMembers(s.views[p].members, j) < s.sameZoneMembers(s.views[p].members, i) {
					continue
				}
				reached[j], reachedBy[j] = true, step{partition: p, to: j}
				if s.primaries[j] <= s.primaries[start]-2 {
					return s.backtrack(start, j, reachedBy)
				}
				queue = append(queue, j)
			}
		}
	}
	return nil
}

func (s *state) backtrack(start, end int, reachedBy []step) []step {
	var chain []step
	for i := end; i != start; i = s.views[reachedBy[i].partition].primary {
		chain = append(chain, reachedBy[i])
	}
	return chain
}

// eligibleBy returns the eligible stores in ascending order of a key.
func (s *state) eligibleBy(key func(int) int) []int {
	var out []int
	for i := range s.stores {
		if s.stores[i].eligible() {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(i, j int) int { return cmp.Compare(key(i), key(j)) })
	return out
}

// move replaces one copy of a partition by a copy on another store.
type move struct{ partition, from, to int }

// balanceMembers starts moves of copies: first those that improve the separation of copies, then those that balance the load.
func (s *state) balanceMembers() {
	for s.moving < s.limit {
		m, ok := s.findMove()
		if !ok {
			return
		}
		next := s.views[m.partition]
		next.learners, next.changed = []int{m.to}, true
		s.replace(m.partition, next)
		s.outgoing[m.partition] = m.from
		s.load[m.from]--
		s.moving++
	}
}

func (s *state) findMove() (move, bool) {
	if m, ok := s.separatingMove(); ok {
		return m, true
	}
	return s.loadBalancingMove()
}

// separatingMove returns the move that most improves the separation of the first partition whose separation can be improved.
func (s *state) separatingMove() (move, bool) {
	least := s.leastCost()
	for p := range s.views {
		members := s.views[p].members
		if !s.isStable(p) || s.totalCost(members) <= least {
			continue
		}
		best, gain := move{}, 0
		for _, from := range members {
			for to := range s.stores {
				if !s.stores[to].receives() || slices.Contains(members, to) {
					continue
				}
				g := s.costOf(from, members, none) - s.costOf(to, members, from)
				if s.savesZoneOnly(g) && s.load[to] >= s.loadLimit() {
					continue
				}
				if g > gain || g == gain && g > 0 && s.lessLoaded(p, to, best.to) {
					best, gain = move{p, from, to}, g
				}
			}
		}
		if gain > 0 {
			return best, true
		}
	}
	return move{}, false
}

// loadBalancingMove returns a move to a store that has at least two copies fewer than the source and does not worsen separation.
func (s *state) loadBalancingMove() (move, bool) {
	light := slices.DeleteFunc(s.eligibleBy(func(i int) int { return s.load[i] }), func(i int) bool { return s.stores[i].Full })
	if len(light) == 0 {
		return move{}, false
	}
	heavy := s.eligibleBy(func(i int) int { return -s.load[i] })
	for _, from := range heavy {
		if s.load[from]-s.load[light[0]] < 2 {
			break
		}
		held := s.stablePartitionsOn(from)
		for _, to := range light {
			if s.load[from]-s.load[to] < 2 {
				break
			}
			if p := s.movable(held, from, to); p != none {
				return move{p, from, to}, true
			}
		}
	}
	return move{}, false
}

// stablePartitionsOn returns the stable partitions with a copy on store i. Those for which the store is a backup come first.
func (s *state) stablePartitionsOn(i int) []int {
	var backup, primary []int
	for p := range s.views {
		if !s.isStable(p) || !slices.Contains(s.views[p].members, i) {
			continue
		}
		if s.views[p].primary == i {
			primary = append(primary, p)
		} else {
			backup = append(backup, p)
		}
	}
	return append(backup, primary...)
}

// movable returns the first of the given partitions whose copy may move from one store to the other: the move does not worsen separation, or it
// only adds zones and the first store is overloaded.
func (s *state) movable(held []int, from, to int) int {
	overloaded := s.overloaded(from)
	for _, p := range held {
		members := s.views[p].members
		if slices.Contains(members, to) {
			continue
		}
		worse := s.costOf(to, members, from) - s.costOf(from, members, none)
		if worse <= 0 || overloaded && s.savesZoneOnly(worse) {
			return p
		}
	}
	return none
}

// maxLoadFactor is the multiple of its even share of copies that a store may hold to keep partitions in fewer zones. It leaves room for one
// store in a zone of three or more to be unavailable.
const maxLoadFactor = 1.5

// loadLimit is the number of copies up to which a store may receive more to keep partitions in fewer zones.
func (s *state) loadLimit() int {
	eligible := 0
	for i := range s.stores {
		if s.stores[i].eligible() {
			eligible++
		}
	}
	return int(math.Ceil(maxLoadFactor * float64(s.in.Copies*len(s.views)) / float64(max(1, eligible))))
}

// overloaded reports whether a store exceeds loadLimit, which applies only when zones are shared.
func (s *state) overloaded(i int) bool { return s.in.SharedZones && s.load[i] > s.loadLimit() }

// savesZoneOnly reports whether zones are shared and a difference in cost concerns only the number of zones, which matters for traffic but not for
// fault tolerance.
func (s *state) savesZoneOnly(difference int) bool {
	return s.in.SharedZones && difference > 0 && difference < sameRegionCost
}
