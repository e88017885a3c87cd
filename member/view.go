package member

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ID identifies one run of a member: a process that returns under the same name has a higher incarnation.
type ID struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// Peer is a member as listed in a view.
type Peer struct {
	_       struct{} `cbor:",toarray"`
	ID      ID
	Address string
	Zone    int
	Number  int // from the member's settings
}

// View is the agreed list of members. The views of a lineage are numbered without gaps.
type View struct {
	Lineage     uint64
	Number      uint64
	LargestSize int    // largest number of members of any view of the lineage so far
	Members     []Peer // sorted by name

	hash uint64
}

// Rank returns a member's rank among all by number and name, and their count; rank -1 if it is not in the view.
func (v *View) Rank(id ID) (rank, count int) {
	return v.rankAmong(id, func(Peer) bool { return true })
}

// RankInZone returns the same among the members of a zone.
func (v *View) RankInZone(id ID, zone int) (rank, count int) {
	return v.rankAmong(id, func(p Peer) bool { return p.Zone == zone })
}

func (v *View) rankAmong(id ID, included func(Peer) bool) (rank, count int) {
	at := v.Index(id)
	if at < 0 {
		return -1, 0
	}
	self := v.Members[at]
	for _, p := range v.Members {
		if included(p) {
			count++
			if cmp.Or(cmp.Compare(p.Number, self.Number), cmp.Compare(p.ID.Name, self.ID.Name)) < 0 {
				rank++
			}
		}
	}
	return rank, count
}

// Index returns a member's position in Members, or -1.
func (v *View) Index(id ID) int {
	i, ok := v.find(id.Name)
	if !ok || v.Members[i].ID != id {
		return -1
	}
	return i
}

func (v *View) find(name string) (int, bool) {
	return slices.BinarySearchFunc(v.Members, name, func(p Peer, name string) int { return cmp.Compare(p.ID.Name, name) })
}

// Hash distinguishes views of the same number.
func (v *View) Hash() uint64 {
	if v.hash != 0 {
		return v.hash
	}
	h := xxhash.New()
	var b [8]byte
	put := func(x uint64) {
		binary.LittleEndian.PutUint64(b[:], x)
		h.Write(b[:])
	}
	put(v.Lineage)
	put(v.Number)
	put(uint64(v.LargestSize))
	for _, p := range v.Members {
		h.WriteString(p.ID.Name)
		put(p.ID.Incarnation)
	}
	v.hash = h.Sum64() | 1
	return v.hash
}

// Bits is a set of positions in a view.
type Bits []byte

func newBits(n int) Bits { return make(Bits, (n+7)/8) }

// Has reports whether a position is in the set.
func (b Bits) Has(i int) bool { return i >= 0 && i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set adds a position; positions outside the size of the set are ignored.
func (b Bits) Set(i int) {
	if i >= 0 && i/8 < len(b) {
		b[i/8] |= 1 << (i % 8)
	}
}

// Count returns the number of positions in the set.
func (b Bits) Count() (n int) {
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// merge adds another set, and reports whether that changed anything.
func (b Bits) merge(other Bits) (changed bool) {
	for i := range min(len(b), len(other)) {
		if merged := b[i] | other[i]; merged != b[i] {
			b[i], changed = merged, true
		}
	}
	return changed
}

// fitsView reports whether a received set has the size for a view of n members and no positions beyond it.
func (b Bits) fitsView(n int) bool {
	return len(b) == (n+7)/8 && (n%8 == 0 || b[len(b)-1]>>(n%8) == 0)
}

// rings defines who watches whom in a view. It is derived from the view alone.
type rings struct {
	watchers      [][]int // by member, without duplicates; an index here is the watcher's bit in a report
	subjects      [][]int // the inverse
	ringOf        [][]int // by member and bit: the ring; empty where all members watch each other
	membersOnRing [][]int // by ring: members in ring order
	placeOnRing   [][]int // by ring and member: position on the ring
}

// substitute returns the member that stands in for an excluded watcher: its nearest predecessor on the ring that is not excluded,
// or the watcher itself if there is none.
func (r *rings) substitute(subject, bit int, excluded Bits) int {
	w := r.watchers[subject][bit]
	if len(r.ringOf) == 0 || !excluded.Has(w) {
		return w
	}
	order, at := r.membersOnRing[r.ringOf[subject][bit]], r.placeOnRing[r.ringOf[subject][bit]][w]
	for range order {
		at = (at + len(order) - 1) % len(order)
		if candidate := order[at]; candidate != subject && !excluded.Has(candidate) {
			return candidate
		}
	}
	return w
}

// Shared lets members in one process share rings and views, which are equal for all of them. It is not safe for concurrent use.
type Shared struct {
	rings map[uint64]*rings
	views map[uint64]*View
}

func (s *Shared) ringsOf(v *View, watchers int) *rings {
	if s == nil {
		return buildRings(v, watchers)
	}
	r := s.rings[v.Hash()]
	if r == nil {
		if len(s.rings) > 64 || s.rings == nil { // entries of old views
			s.rings, s.views = map[uint64]*rings{}, map[uint64]*View{}
		}
		r = buildRings(v, watchers)
		s.rings[v.Hash()] = r
	}
	return r
}

// canonical returns one instance for all equal views.
func (s *Shared) canonical(v *View) *View {
	if s == nil {
		return v
	}
	if s.views == nil {
		s.rings, s.views = map[uint64]*rings{}, map[uint64]*View{}
	}
	if have := s.views[v.Hash()]; have != nil {
		return have
	}
	s.views[v.Hash()] = v
	return v
}

// buildRings arranges the members of a view on the given number of rings, each in its own order. A member is watched by its
// predecessor on each ring.
func buildRings(v *View, watchers int) *rings {
	n := len(v.Members)
	r := &rings{watchers: make([][]int, n), subjects: make([][]int, n)}
	watch := func(watcher, subject int) bool {
		if watcher == subject || slices.Contains(r.watchers[subject], watcher) {
			return false
		}
		r.watchers[subject] = append(r.watchers[subject], watcher)
		r.subjects[watcher] = append(r.subjects[watcher], subject)
		return true
	}
	if n-1 <= watchers {
		for subject := range n {
			for watcher := range n {
				watch(watcher, subject)
			}
		}
		return r
	}
	type place struct {
		hash uint64
		i    int
	}
	r.ringOf = make([][]int, n)
	order := make([]place, n)
	for ring := range watchers {
		for i, p := range v.Members {
			var b [24]byte
			binary.LittleEndian.PutUint64(b[:], uint64(ring))
			binary.LittleEndian.PutUint64(b[8:], p.ID.Incarnation)
			binary.LittleEndian.PutUint64(b[16:], xxhash.Sum64String(p.ID.Name))
			order[i] = place{xxhash.Sum64(b[:]), i}
		}
		slices.SortFunc(order, func(a, b place) int { return cmp.Or(cmp.Compare(a.hash, b.hash), a.i-b.i) })
		places, members := make([]int, n), make([]int, n)
		for at, p := range order {
			places[p.i], members[at] = at, p.i
			if watch(order[(at+n-1)%n].i, p.i) {
				r.ringOf[p.i] = append(r.ringOf[p.i], ring)
			}
		}
		r.membersOnRing, r.placeOnRing = append(r.membersOnRing, members), append(r.placeOnRing, places)
	}
	return r
}

// ViewChange is a change from one view to the next.
type ViewChange struct {
	Removed Bits   `cbor:"1,keyasint,omitempty"` // positions in the previous view; empty: none
	Joined  []Peer `cbor:"2,keyasint,omitempty"`
}

// isValid reports whether a received change is possible for a view of n members.
func (v *ViewChange) isValid(n int) bool {
	size := 0
	for _, p := range v.Joined {
		if size += p.bytes(); p.ID.Name == "" {
			return false
		}
	}
	return (len(v.Removed) == 0 || v.Removed.fitsView(n)) && size <= maxJoinBytes
}

// next returns the view after a change.
func (v *View) next(change *ViewChange) *View {
	n := &View{Lineage: v.Lineage, Number: v.Number + 1}
	for i, p := range v.Members {
		if !change.Removed.Has(i) {
			n.Members = append(n.Members, p)
		}
	}
	for _, p := range change.Joined {
		if i, found := n.find(p.ID.Name); !found {
			n.Members = slices.Insert(n.Members, i, p)
		}
	}
	n.LargestSize = max(v.LargestSize, len(n.Members))
	return n
}
