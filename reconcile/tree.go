package reconcile

// Hash returns the hash of the item's key.
func (i Item) Hash() uint64 { return Hash(i.Key) }

// Item returns the item itself, so that Item implements Element.
func (i Item) Item() Item { return i }

// Tree is a set of items that computes the digest of any range.
type Tree struct {
	index Index[Item]
}

// NewTree returns an empty tree.
func NewTree() *Tree { return &Tree{} }

// Add sets the version of a key.
func (t *Tree) Add(key string, version uint64) { t.index.Put(Item{key, version}) }

// Remove deletes a key if it has this version, and reports whether it did.
func (t *Tree) Remove(key string, version uint64) bool {
	hash := Hash(key)
	if held := t.index.Find(hash, key); held == nil || held.Version != version {
		return false
	}
	t.index.Delete(hash, key)
	return true
}

// Version returns the version of a key.
func (t *Tree) Version(key string) (version uint64, held bool) {
	if item := t.index.Find(Hash(key), key); item != nil {
		return item.Version, true
	}
	return 0, false
}

// Len returns the number of keys.
func (t *Tree) Len() int { return t.index.Len() }

// Digest returns the digest of a range.
func (t *Tree) Digest(r Range) Digest { return t.index.Digest(r) }

// Items returns the items of a range, sorted by hash.
func (t *Tree) Items(r Range) []Item { return t.index.Items(r) }
