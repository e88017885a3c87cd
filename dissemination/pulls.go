package dissemination

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
)

// maxSources bounds how many peers are remembered as having the newest state of an item.
const maxSources = 8

// PullTracker says what to ask of whom. For each item it remembers the newest version that was heard of and some peers that have it; an item is
// asked for at one peer at a time.
type PullTracker[K, P cmp.Ordered] struct {
	wanted map[K]*wantedItem[P]
}

type wantedItem[P cmp.Ordered] struct {
	version  Version
	sources  []P
	inFlight bool // a pull is under way
}

// NewPullTracker returns a Pulls that wants nothing.
func NewPullTracker[K, P cmp.Ordered]() *PullTracker[K, P] {
	return &PullTracker[K, P]{wanted: make(map[K]*wantedItem[P])}
}

// AddSource notes that a peer has a state that is newer than the own one.
func (p *PullTracker[K, P]) AddSource(entry Entry[K], peer P) {
	w := p.wanted[entry.Key]
	if w == nil {
		w = &wantedItem[P]{}
		p.wanted[entry.Key] = w
	}
	switch c := entry.Version.Compare(w.version); {
	case c > 0:
		w.version, w.sources = entry.Version, []P{peer}
	case c == 0 && len(w.sources) < maxSources && !slices.Contains(w.sources, peer):
		w.sources = append(w.sources, peer)
	}
}

// Next chooses a peer and what to ask of it, and counts these items as asked for until Ended; ok is false if there is nothing to ask.
func (p *PullTracker[K, P]) Next(random *rand.Rand) (peer P, keys []K, ok bool) {
	var peers []P
	for _, key := range slices.Sorted(maps.Keys(p.wanted)) {
		if w := p.wanted[key]; !w.inFlight {
			peers = append(peers, w.sources...)
		}
	}
	if len(peers) == 0 {
		return peer, nil, false
	}
	peer = peers[random.IntN(len(peers))] // who has more of what is wanted is the likelier
	for _, key := range slices.Sorted(maps.Keys(p.wanted)) {
		if w := p.wanted[key]; !w.inFlight && slices.Contains(w.sources, peer) {
			w.inFlight = true
			keys = append(keys, key)
		}
	}
	return peer, keys, true
}

// EndPull ends the pull of keys from a peer. What the peer did not deliver although it had it is not asked of it again, unless it is heard
// of again; call Got for what it delivered before.
func (p *PullTracker[K, P]) EndPull(peer P, keys []K) {
	for _, key := range keys {
		w := p.wanted[key]
		if w == nil {
			continue
		}
		w.inFlight = false
		w.sources = slices.DeleteFunc(w.sources, func(source P) bool { return source == peer })
		if len(w.sources) == 0 {
			delete(p.wanted, key)
		}
	}
}

// Received notes that the state of that version is here now.
func (p *PullTracker[K, P]) Received(entry Entry[K]) {
	if w := p.wanted[entry.Key]; w != nil && entry.Version.Compare(w.version) >= 0 {
		delete(p.wanted, entry.Key)
	}
}
