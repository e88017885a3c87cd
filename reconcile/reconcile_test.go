package reconcile

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// mapSource is a reference implementation of Source that recomputes every digest.
type mapSource map[string]uint64

func (p mapSource) Digest(r Range) (sum Digest) {
	for key, version := range p {
		if r.Contains(Hash(key)) {
			sum = sum.Plus(DigestOf(Item{key, version}))
		}
	}
	return sum
}

func (p mapSource) Items(r Range) (items []Item) {
	for key, version := range p {
		if r.Contains(Hash(key)) {
			items = append(items, Item{key, version})
		}
	}
	slices.SortFunc(items, byHash)
	return items
}

func byHash(a, b Item) int {
	if Hash(a.Key) < Hash(b.Key) {
		return -1
	}
	return 1
}

func drawRange(t *rapid.T) Range {
	bits := rapid.Uint8Range(0, hashBits).Draw(t, "bits")
	if rapid.Bool().Draw(t, "short") {
		bits %= 13
	}
	r := Range{Bits: bits}
	r.Prefix = rapid.Uint64().Draw(t, "prefix") & r.mask()
	return r
}

func TestTreeMatchesMapSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, set := NewTree(), make(mapSource)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range rapid.IntRange(1, 5).Draw(t, "phases") {
			keys := 1 + random.IntN(1500)
			adding := random.IntN(100)
			for range random.IntN(1200) {
				key, version := fmt.Sprint("key", random.IntN(keys)), random.Uint64N(4)
				if random.IntN(100) < adding {
					tree.Add(key, version)
					set[key] = version
					continue
				}
				held, ok := set[key]
				if removed := tree.Remove(key, version); removed != (ok && held == version) {
					t.Fatalf("removed %v of %s@%d: held %v %d", removed, key, version, ok, held)
				} else if removed {
					delete(set, key)
				}
			}
			if tree.Len() != len(set) || tree.Digest(All()) != set.Digest(All()) {
				t.Fatalf("%d %v, want %d %v", tree.Len(), tree.Digest(All()), len(set), set.Digest(All()))
			}
			for range 5 {
				r := drawRange(t)
				if got, want := tree.Digest(r), set.Digest(r); got != want {
					t.Fatalf("%v: %v, want %v", r, got, want)
				}
				if got, want := tree.Items(r), set.Items(r); !slices.Equal(got, want) {
					t.Fatalf("%v: %v, want %v", r, got, want)
				}
			}
			checkNodes(t, &tree.index.root, 0)
		}
		for key, version := range set {
			if held, ok := tree.Version(key); !ok || held != version {
				t.Fatalf("%s: %d %v, want %d", key, held, ok, version)
			}
		}
	})
}

// checkNodes checks the bounds on the size of nodes.
func checkNodes(t *rapid.T, n *node[Item], depth int) {
	if n.children == nil {
		if len(n.elements) > leafElements || cap(n.elements) > 2*len(n.elements)+2 {
			t.Fatalf("leaf at depth %d has %d elements, room for %d", depth, len(n.elements), cap(n.elements))
		}
		return
	}
	if n.digest.Count < mergeElements || len(n.elements) > 0 {
		t.Fatalf("inner node at depth %d with %v and %d elements", depth, n.digest, len(n.elements))
	}
	for _, child := range n.children {
		if child != nil {
			checkNodes(t, child, depth+1)
		}
	}
}

func TestSplitPartsCoverARangeExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRange(t)
		if !r.Valid() {
			t.Fatalf("%v is not valid", r)
		}
		hash := rapid.Uint64().Draw(t, "hash")
		if rapid.Bool().Draw(t, "inside") {
			hash = r.Prefix | hash&^r.mask()
		}
		if inside := hash >= r.Prefix && hash <= r.Last(); r.Contains(hash) != inside {
			t.Fatalf("%v contains %x: %v, want %v", r, hash, r.Contains(hash), inside)
		}
		if !r.CanSplit() {
			return
		}
		count := 0
		for _, part := range r.Split() {
			if !part.Valid() {
				t.Fatalf("%v of %v is not valid", part, r)
			}
			if part.Contains(hash) {
				count++
			}
		}
		if want := map[bool]int{true: 1}[r.Contains(hash)]; count != want {
			t.Fatalf("%x is in %d parts of %v, want %d", hash, count, r, want)
		}
	})
}

// exchange runs a comparison with the other side for at most limit+1 requests, and returns the difference and the numbers of requested digests and
// items.
func exchange(c *Comparison, other Source, limit int) (found Difference, digests, items int) {
	for !c.Done() {
		request := c.Next()
		digests += len(request.Digests)
		for _, r := range request.Digests {
			c.HandleDigest(r, other.Digest(r))
		}
		for _, r := range request.Items {
			answer := other.Items(r)
			items += len(answer)
			c.HandleItems(r, answer)
		}
		part := c.TakeDifference()
		found.Changed = append(found.Changed, part.Changed...)
		found.Extra = append(found.Extra, part.Extra...)
		if limit--; limit < 0 {
			break
		}
	}
	return found, digests, items
}

func TestComparisonFindsExactlyTheDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		local, other := NewTree(), make(mapSource)
		want := make(map[Item]bool)  // local items that the other side needs
		extra := make(map[Item]bool) // items that only the other side has
		differing := random.IntN(100)
		for i := range random.IntN(1500) {
			item := Item{fmt.Sprint("key", i), random.Uint64N(9)}
			switch kind := random.IntN(300); {
			case kind >= differing:
				local.Add(item.Key, item.Version)
				other[item.Key] = item.Version
			case kind%3 == 0:
				local.Add(item.Key, item.Version)
				want[item] = true
			case kind%3 == 1:
				other[item.Key] = item.Version
				extra[item] = true
			default:
				local.Add(item.Key, item.Version)
				other[item.Key] = item.Version + 1 + random.Uint64N(3)
				want[item] = true
			}
		}
		limits := Limits{Items: rapid.IntRange(0, 200).Draw(t, "items"), Ranges: rapid.IntRange(0, 40).Draw(t, "ranges")}
		c := NewComparison(local, limits)
		found, _, _ := exchange(c, other, 100000)
		for _, item := range found.Changed {
			if !want[item] {
				t.Fatalf("changed %v, which is equal or was already found", item)
			}
			delete(want, item)
		}
		for _, item := range found.Extra {
			if !extra[item] {
				t.Fatalf("extra %v, which is known or was already found", item)
			}
			delete(extra, item)
		}
		if len(want) > 0 || len(extra) > 0 || !c.Next().Empty() {
			t.Fatalf("not found: %v %v", want, extra)
		}
	})
}

func TestComparisonOfEqualSetsNeedsOneRequest(t *testing.T) {
	is := is.New(t)
	local, other := NewTree(), NewTree()
	for i := range 100000 {
		local.Add(fmt.Sprint(i), 1)
		other.Add(fmt.Sprint(i), 1)
	}
	found, digests, items := exchange(NewComparison(local, Limits{}), other, 100)
	is.Equal(digests, 1)
	is.Equal(items, 0)
	is.Equal(len(found.Changed)+len(found.Extra), 0)

	other.Add("5", 2)
	found, digests, items = exchange(NewComparison(local, Limits{}), other, 100)
	is.Equal(found.Changed, []Item{{"5", 1}})
	is.True(digests <= 1+4*Fanout)
	is.True(items <= defaultItems)

	found, digests, _ = exchange(NewComparison(local, Limits{}), NewTree(), 100)
	is.Equal(digests, 1)
	is.Equal(len(found.Changed), 100000)
}

func TestUnrequestedResponsesAreIgnored(t *testing.T) {
	is := is.New(t)
	local := NewTree()
	local.Add("a", 1)
	c := NewComparison(local, Limits{})
	c.HandleDigest(All(), Digest{})
	c.HandleItems(All(), nil)
	is.Equal(len(c.TakeDifference().Changed), 0)
	is.True(!c.Done())
	is.Equal(len(c.Next().Digests), 1)
	is.True(!c.Done())
	c.HandleDigest(All(), Digest{})
	is.Equal(len(c.TakeDifference().Changed), 1)
	c.HandleDigest(All(), Digest{})
	is.Equal(len(c.TakeDifference().Changed), 0)
	is.True(c.Done())
}

// collision is an element with an arbitrary hash.
type collision struct {
	hash uint64
	item Item
}

func (c collision) Hash() uint64 { return c.hash }
func (c collision) Item() Item   { return c.item }

func TestHashCollisions(t *testing.T) {
	is := is.New(t)
	var x Index[collision]
	for i := range 500 {
		_, replaced := x.Put(collision{42, Item{fmt.Sprint(i), 1}})
		is.True(!replaced)
	}
	is.Equal(x.Len(), 500)
	old, replaced := x.Put(collision{42, Item{"7", 2}})
	is.True(replaced)
	is.Equal(old.item.Version, uint64(1))
	is.Equal(x.Find(42, "7").item.Version, uint64(2))
	is.True(x.Find(42, "none") == nil)
	for i := range 500 {
		_, found := x.Delete(42, fmt.Sprint(i))
		is.True(found)
	}
	is.Equal(x.root.digest, Digest{})
}
