package placement

import (
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// none is used as an index to represent the absence of a store or partition.
const none = -1

// store is a Store with derived values.
type store struct {
	Store
	node string
	hash uint64
	// known is false for a member that the input has no Store for.
	known bool
	// superseded is set if the node is live with another disk.
	superseded bool
}

func (s *store) live() bool { return s.known && s.DownFor == 0 && !s.Stalled }

// permanent reports whether a copy on the store may stay: the store is live and not retiring.
func (s *store) permanent() bool { return s.live() && !s.Retiring }

// eligible reports whether the store may be assigned primaries, and new copies if it has room.
func (s *store) eligible() bool { return s.permanent() && !s.Leaving }

// receives reports whether the store may be assigned new copies.
func (s *store) receives() bool { return s.eligible() && !s.Full }

// lost reports whether the disk is known to be lost: the node is live with another disk, or the operator has abandoned it.
func (s *store) lost() bool { return s.superseded || s.abandoned() }

// abandoned reports whether the operator has given up the disk of an unavailable store.
func (s *store) abandoned() bool { return s.Abandoned && !s.live() }

// mayReturn reports whether an unavailable store is worth keeping as a learner.
func (s *store) mayReturn() bool { return s.known && !s.Retiring && !s.lost() }

// view is a View with indices of stores instead of names.
type view struct {
	primary           int
	members, learners []int
	sources, holders  []int
	changed           bool
}

// state is the working state of a plan.
type state struct {
	in     Input
	limit  int
	stores []store
	index  map[string]int
	views  []view
	// offered holds the offered learners of each partition.
	offered [][]int
	// load is the number of copies of each store after completion of the moves in progress; primaries is the number of
	// partitions that each store is primary of.
	load, primaries []int
	// outgoing holds, for each partition with a move in progress, the store that is expected to lose its copy.
	outgoing []int
	// unreachable holds the pairs of live stores that cannot reach each other, in both orders; unreachableCount counts them per store.
	unreachable      map[[2]int]bool
	unreachableCount []int
	// moving is the number of partitions that are being moved for balance or retirement.
	moving int
}

func newState(in Input) *state {
	in.Copies = max(in.Copies, 1)
	s := &state{in: in, limit: in.MoveLimit, index: map[string]int{}}
	if s.limit <= 0 {
		s.limit = DefaultMoveLimit
	}
	s.addStores()
	s.addViews()
	s.addBlocked()
	s.load = make([]int, len(s.stores))
	s.primaries = make([]int, len(s.stores))
	s.outgoing = make([]int, len(s.views))
	for p := range s.views {
		s.outgoing[p] = none
		s.adjustLoad(p, 1)
		if s.isMoving(p) {
			s.moving++
		}
	}
	for p := range s.views {
		s.expectRemoval(p)
	}
	return s
}

func (s *state) addStores() {
	sorted := slices.Clone(s.in.Stores)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Member < sorted[j].Member })
	live := map[string]bool{}
	for _, st := range sorted {
		s.add(st, true)
		if st.DownFor == 0 && !st.Stalled {
			live[NodeName(st.Member)] = true
		}
	}
	for i := range s.stores {
		s.stores[i].superseded = !s.stores[i].live() && live[s.stores[i].node]
	}
}

func (s *state) add(st Store, known bool) int {
	if i, ok := s.index[st.Member]; ok {
		return i
	}
	i := len(s.stores)
	s.index[st.Member] = i
	s.stores = append(s.stores, store{Store: st, node: NodeName(st.Member), hash: xxhash.Sum64String(st.Member), known: known})
	return i
}

func (s *state) addViews() {
	s.views = make([]view, len(s.in.Partitions))
	s.offered = make([][]int, len(s.in.Partitions))
	for p, v := range s.in.Partitions {
		s.views[p] = view{primary: none, members: s.indices(v.Members), learners: s.indices(v.Learners), sources: s.indices(v.Sources), holders: s.indices(v.Holders)}
		if v.Primary != "" {
			s.views[p].primary = s.indices([]string{v.Primary})[0]
		}
		for _, i := range s.views[p].learners {
			if contains(s.in.Offers[p], s.stores[i].Member) {
				s.offered[p] = append(s.offered[p], i)
			}
		}
	}
}

func (s *state) indices(members []string) []int {
	out := make([]int, 0, len(members))
	for _, m := range members {
		if i := s.add(Store{Member: m}, false); !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

// adjustLoad adds the copies and the primary of a partition to the load counters, weighted by n.
func (s *state) adjustLoad(p, n int) {
	v := &s.views[p]
	for _, i := range v.members {
		s.load[i] += n
	}
	for _, i := range v.learners {
		if s.stores[i].live() {
			s.load[i] += n
		}
	}
	if v.primary != none {
		s.primaries[v.primary] += n
	}
}

// isMoving reports whether the partition has enough copies and yet a live learner: a move for balance or retirement.
func (s *state) isMoving(p int) bool {
	v := &s.views[p]
	return s.liveCount(v.members) >= s.in.Copies && s.liveCount(v.learners) > 0
}

// expectRemoval subtracts from the load the copy that will be removed when the move in progress completes.
func (s *state) expectRemoval(p int) {
	if !s.isMoving(p) {
		return
	}
	v := &s.views[p]
	all := append(s.filter(v.members, (*store).live), s.filter(v.learners, (*store).live)...)
	if i := s.leastUseful(p, all); i != none {
		s.outgoing[p] = i
		s.load[i]--
	}
}

// cancelExpectedRemoval reverts expectRemoval.
func (s *state) cancelExpectedRemoval(p int) {
	if i := s.outgoing[p]; i != none {
		s.load[i]++
		s.outgoing[p] = none
	}
}

// changes returns the views that the plan has changed, ordered by partition.
func (s *state) changes() []Change {
	var out []Change
	for p := range s.views {
		if !s.views[p].changed {
			continue
		}
		out = append(out, Change{Partition: p, View: s.export(p, s.in.Partitions[p].Epoch+1)})
	}
	return out
}

func (s *state) export(p int, epoch uint64) View {
	v := &s.views[p]
	return View{
		Epoch: epoch, Primary: s.stores[v.primary].Member,
		Members: s.names(v.members), Learners: s.names(v.learners), Sources: s.names(v.sources), Holders: s.names(v.holders),
	}
}

func (s *state) names(list []int) []string {
	var out []string
	for _, i := range list {
		out = append(out, s.stores[i].Member)
	}
	return out
}

func (s *state) liveCount(list []int) int {
	n := 0
	for _, i := range list {
		if s.stores[i].live() {
			n++
		}
	}
	return n
}

func (s *state) permanentCount(list []int) int {
	n := 0
	for _, i := range list {
		if s.stores[i].permanent() {
			n++
		}
	}
	return n
}

func (s *state) filter(list []int, keep func(*store) bool) []int {
	out := make([]int, 0, len(list)+1)
	for _, i := range list {
		if keep(&s.stores[i]) {
			out = append(out, i)
		}
	}
	return out
}

// tieBreaker returns the sort key of a fixed order of the stores that differs between partitions, so that ties do not always favor the same
// store.
func (s *state) tieBreaker(p, i int) uint64 {
	x := s.stores[i].hash ^ (uint64(p)+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// noRecentLoss reports whether no store that may return has become unavailable within RebalanceDelay.
func (s *state) noRecentLoss() bool {
	for i := range s.stores {
		st := &s.stores[i]
		if st.known && !st.live() && st.mayReturn() && st.DownFor < RebalanceDelay {
			return false
		}
	}
	return true
}

// NodeName returns the NodeName part of a member, which is NodeName/DiskID.
func NodeName(member string) string {
	if i := strings.LastIndexByte(member, '/'); i >= 0 {
		return member[:i]
	}
	return member
}

func contains(list []string, s string) bool { return slices.Contains(list, s) }
