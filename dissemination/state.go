// Package dissemination decides how the states of a few items spread among many processes: which state is newer, what two processes
// should give each other, whom to tell, and whom to ask.
//
// Each item has a version. A process takes a state only if its version is higher than the one it has, so that no item ever goes back
// within a process. News is pushed to a few peers chosen at random; digests (the versions without the bodies) are exchanged with one
// peer at random at intervals, which mends what a push missed.
//
// The package has no I/O, clock or goroutine. Its types are not safe for use by several goroutines.
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

// Entry names the state of an item without its body.
type Entry[K cmp.Ordered] struct {
	Key     K
	Version Version
}

// State holds the newest state known of each item.
type State[K cmp.Ordered] struct {
	items map[K]Item[K]
}

// NewState returns a State without items.
func NewState[K cmp.Ordered]() *State[K] {
	return &State[K]{items: make(map[K]Item[K])}
}

// Apply takes a state if it is newer than what is known, and says whether it was.
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

// Version is that of the newest state known of an item, zero if none is.
func (s *State[K]) Version(key K) Version { return s.items[key].Version }

// Digest lists what is known, in order of the keys.
func (s *State[K]) Digest() []Entry[K] {
	entries := make([]Entry[K], 0, len(s.items))
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		entries = append(entries, Entry[K]{Key: key, Version: s.items[key].Version})
	}
	return entries
}

// Compare holds the digest of another process against what is known here: pull are the entries of theirs that are newer, push the
// keys of which they have nothing or something older. Both are in order.
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
