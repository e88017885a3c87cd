// Package dissemination implements gossip of the states of a few items among many processes: which state is newer, which states two
// processes exchange, which peers to push to, and which peers to pull from.
//
// Each item has a version. A process accepts a state only if its version is higher than the local one, so that the version of an item never
// decreases within a process. Updates are pushed to a few random peers. Digests (versions without bodies) are exchanged with a random
// peer at intervals, which repairs missed pushes (anti-entropy).
//
// The package does no I/O, reads no clock and starts no goroutines. Its types are not safe for concurrent use.
package dissemination

import (
	"cmp"
	"maps"
	"slices"
)

// Version orders the states of an item: by Term, then by Number. The zero version is older than all others.
type Version struct {
	Term   uint64
	Number uint64
}

// Compare is negative if v is older than w, zero if they are equal, positive if v is newer.
func (v Version) Compare(w Version) int {
	if byTerm := cmp.Compare(v.Term, w.Term); byTerm != 0 {
		return byTerm
	}
	return cmp.Compare(v.Number, w.Number)
}

// Item is one state of the item named by Key.
type Item[K cmp.Ordered] struct {
	Key     K
	Version Version
	Body    []byte
}

// Entry identifies a state of an item without its body.
type Entry[K cmp.Ordered] struct {
	Key     K
	Version Version
}

// State holds the newest known state of each item.
type State[K cmp.Ordered] struct {
	items map[K]Item[K]
}

// NewState returns a State without items.
func NewState[K cmp.Ordered]() *State[K] {
	return &State[K]{items: make(map[K]Item[K])}
}

// Apply stores a state if it is newer than the known one, and reports whether it was.
func (s *State[K]) Apply(item Item[K]) bool {
	if item.Version.Compare(s.items[item.Key].Version) <= 0 {
		return false
	}
	s.items[item.Key] = item
	return true
}

// Get returns the newest state of an item; ok is false if none is known.
func (s *State[K]) Get(key K) (item Item[K], ok bool) {
	item, ok = s.items[key]
	return item, ok
}

// Version returns the version of the newest known state of an item, zero if none is known.
func (s *State[K]) Version(key K) Version { return s.items[key].Version }

// Digest lists the versions of all items, sorted by key.
func (s *State[K]) Digest() []Entry[K] {
	entries := make([]Entry[K], 0, len(s.items))
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		entries = append(entries, Entry[K]{Key: key, Version: s.items[key].Version})
	}
	return entries
}

// Compare compares the digest of another process with the local states: pull holds the entries of theirs that are newer, push the
// keys for which they have no state or an older one. Both are sorted.
func (s *State[K]) Compare(theirs []Entry[K]) (pull []Entry[K], push []K) {
	remote := make(map[K]Version, len(theirs))
	for _, entry := range theirs {
		if entry.Version.Compare(remote[entry.Key]) > 0 {
			remote[entry.Key] = entry.Version
		}
	}
	for key, version := range remote {
		if version.Compare(s.items[key].Version) > 0 {
			pull = append(pull, Entry[K]{Key: key, Version: version})
		}
	}
	for key, item := range s.items {
		if item.Version.Compare(remote[key]) > 0 {
			push = append(push, key)
		}
	}
	slices.SortFunc(pull, func(a, b Entry[K]) int { return cmp.Compare(a.Key, b.Key) })
	slices.Sort(push)
	return pull, push
}
