package placement

import "slices"

// repair brings one partition nearer to Copies members that may stay, and gives it a primary that may stay. A partition of
// which no copy that holds all records is live is left as it is, or put together from what is left.
func (s *state) repair(p int) {
	v := s.views[p]
	live := (*store).live
	holders := append(s.filter(v.members, live), s.filter(s.offered[p], live)...)
	if len(holders) == 0 {
		s.merge(p)
		return
	}
	s.cancelExpectedRemoval(p)
	members := s.trim(p, s.mutuallyReachable(p, holders))
	learners := s.keptLearners(p, members)
	sources := s.remainingSources(p)
	learners = union(s.attach(p, members, learners), sources)
	next := view{
		primary: s.choosePrimary(p, members), members: members, learners: learners,
		sources: sources, holders: s.holders(p, members, learners), changed: true,
	}
	if s.worthwhile(p, next) {
		s.replace(p, next)
	}
	s.expectRemoval(p)
}

// replace installs a view of the plan and keeps the counts.
func (s *state) replace(p int, next view) {
	s.adjustLoad(p, -1)
	s.views[p] = next
	s.adjustLoad(p, 1)
}

// trim takes copies away until no more than Copies are left.
func (s *state) trim(p int, holders []int) []int {
	for len(holders) > s.in.Copies {
		i := s.leastUseful(p, holders)
		holders = slices.DeleteFunc(holders, func(j int) bool { return i == j })
	}
	return holders
}

// keptLearners returns the learners of the present view, and the members that it loses, that stay as learners.
func (s *state) keptLearners(p int, members []int) []int {
	v := &s.views[p]
	if s.permanentCount(members) >= s.in.Copies {
		return s.moveUnderWay(p, members)
	}
	var kept, down []int
	for _, i := range slices.Concat(v.members, v.learners) {
		st := &s.stores[i]
		switch {
		case slices.Contains(members, i):
		case st.live():
			if slices.Contains(v.learners, i) && !slices.Contains(s.offered[p], i) && s.reachesAll(i, members) {
				kept = append(kept, i)
			}
		case st.mayReturn():
			down = append(down, i)
		}
	}
	slices.SortStableFunc(down, func(i, j int) int { return int(s.stores[i].DownFor - s.stores[j].DownFor) })
	return append(kept, down[:min(len(down), s.in.Copies)]...)
}

// moveUnderWay returns the learner that is to replace a member of a partition that lacks nothing, if there is one. Other
// learners of such a partition have stood in for somebody and are not needed any more.
func (s *state) moveUnderWay(p int, members []int) []int {
	v := &s.views[p]
	if !sameSet(members, v.members) {
		return nil
	}
	for _, i := range v.learners {
		if s.stores[i].permanent() && !slices.Contains(s.offered[p], i) && s.reachesAll(i, members) {
			return []int{i}
		}
	}
	return nil
}

// attach adds learners while live copies are missing, and, as far as the limit goes, for copies that cannot stay.
func (s *state) attach(p int, members, learners []int) []int {
	live := s.liveCount(members) + s.liveCount(learners)
	permanent := s.permanentCount(members) + s.permanentCount(learners)
	for ; live < s.in.Copies; live++ {
		i := s.candidate(p, members, learners, false)
		if i == none {
			i = s.unreachedCandidate(p, members, learners)
		}
		if i == none {
			break
		}
		if s.stores[i].permanent() {
			permanent++
		}
		learners = append(learners, i)
	}
	for ; permanent < s.in.Copies && s.moving < s.limit; permanent++ {
		i := s.candidate(p, members, learners, true)
		if i == none {
			break
		}
		learners = append(learners, i)
		s.moving++
	}
	return learners
}

// candidate returns the store that is best given a copy: one that may be given something, else, unless strict, one that
// leaves, else one that retires; well separated from the copies that stay; of little load. It reaches all members.
func (s *state) candidate(p int, members, learners []int, strict bool) int {
	return s.bestCandidate(p, members, learners, func(i int) bool {
		return s.reachesAll(i, members) && (!strict || s.rank(i) == 0)
	})
}

// unreachedCandidate is candidate where no store is left that is known to reach all members. Nobody waits for a learner, so to try one that
// was cut off costs nothing, and with fewer than Copies disks nothing can be written at all: the link may be whole again.
func (s *state) unreachedCandidate(p int, members, learners []int) int {
	present := s.views[p].learners
	if i := s.bestCandidate(p, members, learners, func(i int) bool { return slices.Contains(present, i) }); i != none {
		return i
	}
	return s.bestCandidate(p, members, learners, func(int) bool { return true })
}

// bestCandidate returns the best store among the live ones that have no copy and fit, or none.
func (s *state) bestCandidate(p int, members, learners []int, matches func(i int) bool) int {
	stay := append(s.filter(members, (*store).permanent), s.filter(learners, (*store).permanent)...)
	best, bestRank, bestCost := none, 0, 0
	for i := range s.stores {
		if !s.stores[i].live() || slices.Contains(members, i) || slices.Contains(learners, i) || !matches(i) {
			continue
		}
		rank := s.rank(i)
		cost := s.costOf(i, stay, none)
		if best != none {
			if rank > bestRank || rank == bestRank && cost > bestCost {
				continue
			}
			if rank == bestRank && cost == bestCost && !s.lessLoaded(p, i, best) {
				continue
			}
		}
		best, bestRank, bestCost = i, rank, cost
	}
	return best
}

// rank is 0 for a store that may be given something, 1 for one that leaves, 2 for one that retires.
func (s *state) rank(i int) int {
	switch {
	case s.stores[i].Retiring:
		return 2
	case s.stores[i].Leaving:
		return 1
	}
	return 0
}

func (s *state) lessLoaded(p, i, j int) bool {
	if s.load[i] != s.load[j] {
		return s.load[i] < s.load[j]
	}
	return s.tieBreaker(p, i) < s.tieBreaker(p, j)
}

// choosePrimary returns the present primary if no other member is better, else the best one with the fewest primaries.
func (s *state) choosePrimary(p int, members []int) int {
	best := s.bestPrimary(p, members)
	if now := s.views[p].primary; slices.Contains(members, now) && s.primaryRank(now) <= s.primaryRank(best) {
		return now
	}
	return best
}

// bestPrimary returns the member that should lead if none did.
func (s *state) bestPrimary(p int, members []int) int {
	best := none
	for _, i := range members {
		if best == none || s.betterPrimary(p, members, i, best) {
			best = i
		}
	}
	return best
}

// primaryRank is lowest for stores that may stay primary. One that leaves ends sooner than one that retires.
func (s *state) primaryRank(i int) int {
	switch {
	case s.stores[i].Leaving:
		return 2
	case s.stores[i].Retiring:
		return 1
	}
	return 0
}

func (s *state) betterPrimary(p int, members []int, i, j int) bool {
	if a, b := s.primaryRank(i), s.primaryRank(j); a != b {
		return a < b
	}
	if a, b := s.sameZoneMembers(members, i), s.sameZoneMembers(members, j); a != b {
		return a > b
	}
	if s.primaries[i] != s.primaries[j] {
		return s.primaries[i] < s.primaries[j]
	}
	return s.tieBreaker(p, i) < s.tieBreaker(p, j)
}

// worthwhile reports whether the next view is worth a new epoch. It is not when it only forgets learners that are gone and
// that nobody waits for, in a partition that will need another view anyway.
func (s *state) worthwhile(p int, next view) bool {
	v := &s.views[p]
	if next.primary != v.primary || !sameSet(next.members, v.members) || len(s.offered[p]) == 0 && !sameSet(next.sources, v.sources) {
		return true
	}
	if sameSet(next.learners, v.learners) {
		// Writes wait for an offered learner until the next view, also when it is gone.
		return len(s.offered[p]) > s.liveCount(s.offered[p])
	}
	if len(s.offered[p]) > 0 || s.permanentCount(next.members) >= s.in.Copies {
		return true
	}
	live := (*store).live
	return !sameSet(s.filter(next.learners, live), s.filter(v.learners, live))
}

func sameSet(a, b []int) bool {
	if len(a) != len(b) {
		return false
	}
	for _, i := range a {
		if !slices.Contains(b, i) {
			return false
		}
	}
	return true
}
