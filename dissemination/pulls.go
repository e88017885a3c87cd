package dissemination

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
)

// maxSources is the maximum number of peers remembered as sources of the newest state of an item.
const maxSources = 8

// PullTracker decides which items to request from which peers. For each item it stores the newest version that a peer is known to have and some
// peers that have it. An item is requested from one peer at a time.
type PullTracker[K, P cmp.Ordered] struct {
	wanted map[K]*wantedItem[P]
}

type wantedItem[P cmp.Ordered] struct {
	version  Version
	sources  []P
	inFlight bool // a pull is in progress
}

// NewPullTracker returns a PullTracker without wanted items.
func NewPullTracker[K, P cmp.Ordered]() *PullTracker[K, P] {
	return &PullTracker[K, P]{wanted: make(map[K]*wantedItem[P])}
}

// AddSource records that a peer has a state that is newer than the local one.
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

// Next chooses a peer and the items to request from it, which count as in flight until EndPull; ok is false if there is nothing to request.
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
	peer = peers[random.IntN(len(peers))] // a peer with more of the wanted items is chosen with a higher probability
	for _, key := range slices.Sorted(maps.Keys(p.wanted)) {
		if w := p.wanted[key]; !w.inFlight && slices.Contains(w.sources, peer) {
			w.inFlight = true
			keys = append(keys, key)
		}
	}
	return peer, keys, true
}

// EndPull ends the pull of keys from a peer. Items that the peer did not deliver are not requested from it again unless AddSource names it
// as a source again. Call Received for the delivered items first.
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

// Received records that the state of that version is available locally.
func (p *PullTracker[K, P]) Received(entry Entry[K]) {
	if w := p.wanted[entry.Key]; w != nil && entry.Version.Compare(w.version) >= 0 {
		delete(p.wanted, entry.Key)
	}
}
