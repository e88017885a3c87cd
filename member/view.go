package member

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ID names one run of a member: a process that returns under its name has a higher incarnation.
type ID struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// Peer is a member as a view lists it.
type Peer struct {
	_       struct{} `cbor:",toarray"`
	ID      ID
	Address string
	Zone    int
	Number  int // as its settings say
}

// View is what members agree on: who is one. Views of one lineage follow each other without gaps.
type View struct {
	Lineage     uint64
	Number      uint64
	LargestSize int    // members that any view of the lineage had so far
	Members     []Peer // by name

	hash uint64
}

// Place is a member's rank among all by number and name, and how many there are. -1: it is none of them.
func (v *View) Rank(id ID) (place, count int) {
	return v.rankAmong(id, func(Peer) bool { return true })
}

// PlaceIn is the same among those of a zone.
func (v *View) RankInZone(id ID, zone int) (place, count int) {
	return v.rankAmong(id, func(p Peer) bool { return p.Zone == zone })
}

func (v *View) rankAmong(id ID, counts func(Peer) bool) (place, count int) {
	at := v.Index(id)
	if at < 0 {
		return -1, 0
	}
	self := v.Members[at]
	for _, p := range v.Members {
		if counts(p) {
			count++
			if cmp.Or(cmp.Compare(p.Number, self.Number), cmp.Compare(p.ID.Name, self.ID.Name)) < 0 {
				place++
			}
		}
	}
	return place, count
}

// Index is where a member stands in Members, or -1.
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

// Hash tells views of one number apart.
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

// Set adds a position within the size that it was made for.
func (b Bits) Set(i int) {
	if i >= 0 && i/8 < len(b) {
		b[i/8] |= 1 << (i % 8)
	}
}

// Count is how many are in it.
func (b Bits) Count() (n int) {
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// or adds another set, and reports whether that changed anything.
func (b Bits) merge(other Bits) (changed bool) {
	for i := range min(len(b), len(other)) {
		if merged := b[i] | other[i]; merged != b[i] {
			b[i], changed = merged, true
		}
	}
	return changed
}

// fits: a set from elsewhere is of a view's size and has nothing beyond it.
func (b Bits) fitsView(n int) bool {
	return len(b) == (n+7)/8 && (n%8 == 0 || b[len(b)-1]>>(n%8) == 0)
}

// rings are who watches whom in a view. They follow from it alone.
type rings struct {
	watchers      [][]int // of each member, without doubles: the position in it is its bit in a charge
	subjects      [][]int // the same the other way round
	ringOf        [][]int // by member and bit: the ring; empty where everybody watches everybody
	membersOnRing [][]int // by ring: members in its order
	placeOnRing   [][]int // by ring and member: where that is
}

// stand is who stands in for a watcher that is out: the first before it on the ring that is not. The watcher itself, where there is none.
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

// Shared is what members in one process may share: the rings of a view are the same for all of them. It is not safe for concurrent use.
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
		if len(s.rings) > 64 || s.rings == nil { // of old views
			s.rings, s.views = map[uint64]*rings{}, map[uint64]*View{}
		}
		r = buildRings(v, watchers)
		s.rings[v.Hash()] = r
	}
	return r
}

// one returns a view that is shared by all that have the same.
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

// weave lays so many rings through a view, each in an order of its own, and has each member watched by the one before it on each.
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

// Value is a change from one view to the next.
type ViewChange struct {
	Removed Bits   `cbor:"1,keyasint,omitempty"` // positions in the view before; empty: none
	Joined  []Peer `cbor:"2,keyasint,omitempty"`
}

// good: a change from elsewhere can be one of a view of n.
func (v *ViewChange) isValid(n int) bool {
	size := 0
	for _, p := range v.Joined {
		if size += p.bytes(); p.ID.Name == "" {
			return false
		}
	}
	return (len(v.Removed) == 0 || v.Removed.fitsView(n)) && size <= maxJoinBytes
}

// next is the view after a change.
func (v *View) next(c *ViewChange) *View {
	n := &View{Lineage: v.Lineage, Number: v.Number + 1}
	for i, p := range v.Members {
		if !c.Removed.Has(i) {
			n.Members = append(n.Members, p)
		}
	}
	for _, p := range c.Joined {
		if i, there := n.find(p.ID.Name); !there {
			n.Members = slices.Insert(n.Members, i, p)
		}
	}
	n.LargestSize = max(v.LargestSize, len(n.Members))
	return n
}
