package placement

import "slices"

// repair brings one partition closer to Copies permanent members and gives it a primary that may stay. A partition without a
// live copy that holds all records is left unchanged, or merged from the remaining records.
func (s *state) repair(p int) {
	v := s.views[p]
	live := (*store).live
	complete := append(s.filter(v.members, live), s.filter(s.offered[p], live)...)
	if len(complete) == 0 {
		s.merge(p)
		return
	}
	s.cancelExpectedRemoval(p)
	members := s.trim(p, s.mutuallyReachable(p, complete))
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

// replace sets the planned view of a partition and updates the load counters.
func (s *state) replace(p int, next view) {
	s.adjustLoad(p, -1)
	s.views[p] = next
	s.adjustLoad(p, 1)
}

// trim removes the least useful stores until at most Copies are left.
func (s *state) trim(p int, complete []int) []int {
	for len(complete) > s.in.Copies {
		i := s.leastUseful(p, complete)
		complete = slices.DeleteFunc(complete, func(j int) bool { return i == j })
	}
	return complete
}

// keptLearners returns the learners and dropped members of the current view that are learners of the next one.
func (s *state) keptLearners(p int, members []int) []int {
	v := &s.views[p]
	if s.permanentCount(members) >= s.in.Copies {
		return s.moveInProgress(p, members)
	}
	var kept, down []int
	for _, i := range slices.Concat(v.members, v.learners) {
		st := &s.stores[i]
		switch {
		case slices.Contains(members, i):
		case st.live():
			if slices.Contains(v.learners, i) && !slices.Contains(s.offered[p], i) && s.reachesAll(i, members) && !s.stuck(p, i, members) {
				kept = append(kept, i)
			}
		case st.mayReturn():
			down = append(down, i)
		}
	}
	slices.SortStableFunc(down, func(i, j int) int { return int(s.stores[i].DownFor - s.stores[j].DownFor) })
	return append(kept, down[:min(len(down), s.in.Copies)]...)
}

// moveInProgress returns the learner that is to replace a member of a partition with enough copies, if there is one. Other
// learners of such a partition were temporary replacements and are no longer needed.
func (s *state) moveInProgress(p int, members []int) []int {
	v := &s.views[p]
	if !sameSet(members, v.members) {
		return nil
	}
	for _, i := range v.learners {
		if s.stores[i].permanent() && !s.stores[i].Full && !slices.Contains(s.offered[p], i) && s.reachesAll(i, members) {
			return []int{i}
		}
	}
	return nil
}

// stuck reports whether a learner cannot complete its copy because its store is full, while another store has room for one.
func (s *state) stuck(p, learner int, members []int) bool {
	return s.stores[learner].Full && s.candidate(p, members, nil, true) != none
}

// attach adds learners for missing live copies and, within the move limit, for copies that are not permanent.
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

// candidate returns the best store for a further copy, among those that reach all members: an eligible one or, unless strict,
// a leaving one, or else a retiring one; then the one best separated from the permanent copies; then the least loaded.
func (s *state) candidate(p int, members, learners []int, strict bool) int {
	return s.bestCandidate(p, members, learners, func(i int) bool {
		return s.reachesAll(i, members) && (!strict || s.rank(i) == 0)
	})
}

// unreachedCandidate is used instead of candidate if no remaining store is known to reach all members. No write waits for a learner, so trying
// a disconnected store costs nothing, while with fewer than Copies disks no write can succeed: the link may have recovered. It prefers current
// learners.
func (s *state) unreachedCandidate(p int, members, learners []int) int {
	current := s.views[p].learners
	if i := s.bestCandidate(p, members, learners, func(i int) bool { return slices.Contains(current, i) }); i != none {
		return i
	}
	return s.bestCandidate(p, members, learners, func(int) bool { return true })
}

// bestCandidate returns the best live store that has room, has no copy and matches, or none.
func (s *state) bestCandidate(p int, members, learners []int, matches func(i int) bool) int {
	permanent := append(s.filter(members, (*store).permanent), s.filter(learners, (*store).permanent)...)
	best, bestRank, bestCost := none, 0, 0
	for i := range s.stores {
		if !s.stores[i].live() || s.stores[i].Full || slices.Contains(members, i) || slices.Contains(learners, i) || !matches(i) {
			continue
		}
		rank := s.rank(i)
		cost := s.costOf(i, permanent, none)
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

// rank is 0 for an eligible store, 1 for a leaving one, 2 for a retiring one.
func (s *state) rank(i int) int {
	switch {
	case s.stores[i].Retiring:
		return 2
	case s.stores[i].Leaving:
		return 1
	}
	return 0
}

// lessLoaded reports whether store i has fewer copies than store j; ties are broken per partition.
func (s *state) lessLoaded(p, i, j int) bool {
	if s.load[i] != s.load[j] {
		return s.load[i] < s.load[j]
	}
	return s.tieBreaker(p, i) < s.tieBreaker(p, j)
}

// choosePrimary returns the current primary unless it is leaving or retiring and a better member exists, else the best member.
func (s *state) choosePrimary(p int, members []int) int {
	best := s.bestPrimary(p, members)
	if current := s.views[p].primary; slices.Contains(members, current) && s.primaryRank(current) <= s.primaryRank(best) {
		return current
	}
	return best
}

// bestPrimary returns the member that is best suited as primary, regardless of the current one.
func (s *state) bestPrimary(p int, members []int) int {
	best := none
	for _, i := range members {
		if best == none || s.betterPrimary(p, members, i, best) {
			best = i
		}
	}
	return best
}

// primaryRank is lowest for stores that may stay primary. A leaving store ranks worst because it stops sooner than a retiring one.
func (s *state) primaryRank(i int) int {
	switch {
	case s.stores[i].Leaving:
		return 2
	case s.stores[i].Retiring:
		return 1
	}
	return 0
}

// betterPrimary reports whether member i is better suited as primary than member j.
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

// worthwhile reports whether the next view justifies a new epoch. It does not if it only drops unavailable learners that no
// write waits for, in a partition that will need another view anyway.
func (s *state) worthwhile(p int, next view) bool {
	v := &s.views[p]
	if next.primary != v.primary || !sameSet(next.members, v.members) || len(s.offered[p]) == 0 && !sameSet(next.sources, v.sources) {
		return true
	}
	if sameSet(next.learners, v.learners) {
		// Writes wait for an offered learner until the next view, even if it is unavailable.
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
