package reconcile

import (
	"slices"
	"sort"
)

// Element is an element of an Index: it belongs to a key and has a version.
type Element interface {
	Hash() uint64 // Hash of the key
	Item() Item
}

const (
	leafElements  = 64 // a leaf with more elements is split
	mergeElements = 16 // an inner node with fewer elements is turned into a leaf
	maxDepth      = hashBits / splitBits
)

// Index is an ordered set of elements, one per key, that computes the digest of any range. An element takes up to 1.25 times its own
// size in memory, plus about five bytes. The zero Index is empty.
type Index[E Element] struct {
	root node[E]
}

// node is a leaf with elements sorted by hash, or an inner node with children.
type node[E Element] struct {
	digest   Digest
	elements []E
	children *[Fanout]*node[E]
}

// Len returns the number of elements.
func (x *Index[E]) Len() int { return int(x.root.digest.Count) }

// Find returns the element of a key, or nil. The pointer is valid until the next change of the index. The caller must not change
// the results of the element's Hash and Item through it.
func (x *Index[E]) Find(hash uint64, key string) *E {
	n := &x.root
	for depth := 0; n.children != nil; depth++ {
		if n = n.children[digit(hash, depth)]; n == nil {
			return nil
		}
	}
	if at, found := n.search(hash, key); found {
		return &n.elements[at]
	}
	return nil
}

// Put sets the element of a key and returns the one it replaces.
func (x *Index[E]) Put(e E) (old E, replaced bool) {
	hash, item := e.Hash(), e.Item()
	var path [maxDepth + 1]*node[E]
	n, depth := x.descend(hash, &path, true)
	at, found := n.search(hash, item.Key)
	change := digestOf(hash, item.Version)
	if found {
		old = n.elements[at]
		change = change.Minus(digestOf(hash, old.Item().Version))
		n.elements[at] = e
	} else {
		n.insert(at, e)
	}
	for _, passed := range path[:depth+1] {
		passed.digest = passed.digest.Plus(change)
	}
	if len(n.elements) > leafElements && depth < maxDepth {
		n.split(depth)
	}
	return old, found
}

// Delete removes the element of a key and returns it.
func (x *Index[E]) Delete(hash uint64, key string) (old E, found bool) {
	var path [maxDepth + 1]*node[E]
	n, depth := x.descend(hash, &path, false)
	if n == nil {
		return old, false
	}
	at, found := n.search(hash, key)
	if !found {
		return old, false
	}
	old = n.elements[at]
	change := digestOf(hash, old.Item().Version)
	n.remove(at)
	for i := depth; i >= 0; i-- {
		path[i].digest = path[i].digest.Minus(change)
		if path[i].digest.Count < mergeElements {
			path[i].merge()
		}
	}
	return old, true
}

// Digest returns the digest of a range.
func (x *Index[E]) Digest(r Range) Digest { return x.root.digestIn(r, 0) }

// Each calls f for the elements of a range, sorted by hash, until f returns false. f must not change the index.
func (x *Index[E]) Each(r Range, f func(E) bool) { x.root.each(r, 0, f) }

// Items returns the items of a range, sorted by hash.
func (x *Index[E]) Items(r Range) []Item {
	var items []Item
	x.Each(r, func(e E) bool {
		items = append(items, e.Item())
		return true
	})
	return items
}

// digit returns the digit of the hash that selects the child of a node at the given depth.
func digit(hash uint64, depth int) int {
	return int(hash >> (hashBits - splitBits*(depth+1)) & (Fanout - 1))
}

// descend walks to the leaf of a hash and stores the visited nodes in path. Without create it returns nil if there is no leaf.
func (x *Index[E]) descend(hash uint64, path *[maxDepth + 1]*node[E], create bool) (leaf *node[E], depth int) {
	n := &x.root
	path[0] = n
	for n.children != nil {
		child := &n.children[digit(hash, depth)]
		if *child == nil {
			if !create {
				return nil, depth
			}
			*child = &node[E]{}
		}
		n = *child
		depth++
		path[depth] = n
	}
	return n, depth
}

// search returns the position of the element of a key in a leaf, or the position at which to insert it.
func (n *node[E]) search(hash uint64, key string) (at int, found bool) {
	at = sort.Search(len(n.elements), func(i int) bool { return n.elements[i].Hash() >= hash })
	for i := at; i < len(n.elements) && n.elements[i].Hash() == hash; i++ {
		if n.elements[i].Item().Key == key {
			return i, true
		}
	}
	return at, false
}

// insert adds an element to a leaf. It grows a full leaf by a quarter: doubling would leave a third of the memory unused.
func (n *node[E]) insert(at int, e E) {
	if size := len(n.elements); size == cap(n.elements) {
		n.elements = resized(n.elements, size+size/4+1)
	}
	n.elements = slices.Insert(n.elements, at, e)
}

// remove deletes an element from a leaf and shrinks the leaf if less than half of its capacity is used.
func (n *node[E]) remove(at int) {
	n.elements = slices.Delete(n.elements, at, at+1)
	if size := len(n.elements); size == 0 {
		n.elements = nil
	} else if size < cap(n.elements)/2 {
		n.elements = resized(n.elements, size+size/4)
	}
}

func resized[E any](elements []E, capacity int) []E {
	return append(make([]E, 0, capacity), elements...)
}

// split turns a leaf into an inner node.
func (n *node[E]) split(depth int) {
	n.children = new([Fanout]*node[E])
	for start := 0; start < len(n.elements); {
		at := digit(n.elements[start].Hash(), depth)
		end := start
		child := &node[E]{}
		for ; end < len(n.elements) && digit(n.elements[end].Hash(), depth) == at; end++ {
			child.digest = child.digest.Plus(digestOf(n.elements[end].Hash(), n.elements[end].Item().Version))
		}
		child.elements = slices.Clone(n.elements[start:end])
		n.children[at] = child
		start = end
	}
	n.elements = nil
	for _, child := range n.children {
		if child != nil && len(child.elements) > leafElements && depth+1 < maxDepth {
			child.split(depth + 1)
		}
	}
}

// merge turns an inner node into a leaf.
func (n *node[E]) merge() {
	if n.children == nil {
		return
	}
	elements := make([]E, 0, n.digest.Count)
	n.each(Range{}, maxDepth, func(e E) bool {
		elements = append(elements, e)
		return true
	})
	n.elements, n.children = elements, nil
}

func (n *node[E]) digestIn(r Range, depth int) Digest {
	if int(r.Bits) <= depth*splitBits {
		return n.digest
	}
	var sum Digest
	if n.children == nil {
		for _, e := range n.elements {
			if hash := e.Hash(); r.Contains(hash) {
				sum = sum.Plus(digestOf(hash, e.Item().Version))
			}
		}
		return sum
	}
	first, last := digit(r.Prefix, depth), digit(r.Last(), depth)
	for _, child := range n.children[first : last+1] {
		if child != nil {
			sum = sum.Plus(child.digestIn(r, depth+1))
		}
	}
	return sum
}

func (n *node[E]) each(r Range, depth int, f func(E) bool) bool {
	if n.children == nil {
		for _, e := range n.elements {
			if r.Contains(e.Hash()) && !f(e) {
				return false
			}
		}
		return true
	}
	first, last := 0, Fanout-1
	if int(r.Bits) > depth*splitBits {
		first, last = digit(r.Prefix, depth), digit(r.Last(), depth)
	}
	for _, child := range n.children[first : last+1] {
		if child != nil && !child.each(r, depth+1, f) {
			return false
		}
	}
	return true
}
