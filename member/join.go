package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const peersPerChunk = 16 // a chunk of peers with long names still fits a datagram

// seek looks for members to be let in by.
func (m *Member) seekMembership() {
	if m.fetchSource != "" && m.now-m.lastChunkRequest > 4*m.TickInterval {
		m.requestChunks()
	}
	if m.now < m.nextHello {
		return
	}
	self := m.Self()
	// The longer it takes the more others are likely to want in as well.
	interval := min(helloInterval+(m.now-m.outsideSince)/8, maxHelloInterval)
	if m.state == Superseded {
		interval = slowInterval
	}
	m.nextHello = m.now + interval/2 + time.Duration(m.rng.Int64N(int64(interval)))
	hello := func(to string) { m.send(to, &Message{Kind: Hello, Peer: &self, SeedRank: m.seedRank()}) }
	// Who knows of others leaves the seeds to those that don't: all start there, and few there are.
	if len(m.Seeds) > 0 && (len(m.knownAddresses) == 0 || m.rng.IntN(4) == 0) {
		seed := m.Seeds[m.rng.IntN(len(m.Seeds))]
		for attempts := len(m.Seeds); m.now < m.refusedSeeds[seed] && attempts > 0; attempts-- {
			seed = m.Seeds[m.rng.IntN(len(m.Seeds))]
		}
		hello(seed)
		if rank := m.seedRank(); rank > 1 { // is one before it there?
			hello(m.Seeds[m.rng.IntN(rank-1)])
		}
	}
	if len(m.knownAddresses) > 0 {
		hello(m.knownAddresses[m.rng.IntN(len(m.knownAddresses))])
	}
	if m.now-m.lastKnownUpdate > 10*m.FoundingDelay { // nobody of them is there any more
		m.knownAddresses = nil
	}
	if rank := time.Duration(m.seedRank()); rank > 0 && m.state == Outside && m.now-m.outsideSince >= rank*m.FoundingDelay && m.now-m.lowerSeedOutsideAt >= m.FoundingDelay && m.fetchSource == "" && len(m.knownAddresses) == 0 {
		m.installView(&View{Lineage: xxhash.Sum64String(self.ID.Name) ^ self.ID.Incarnation*0x9e3779b97f4a7c15 | 1, Number: 1, LargestSize: 1, Members: []Peer{self}}, "founded")
	}
}

// token proves that who says it back at an address has heard what was said there.
func (m *Member) joinToken(address string, id ID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], m.tokenSecret)
	binary.LittleEndian.PutUint64(b[8:], id.Incarnation)
	return xxhash.Sum64String(address+"\x00"+id.Name+"\x00"+string(b[:])) | 1
}

// hello answers one that wants in, or looks for another lineage.
func (m *Member) handleHello(from string, msg *Message) {
	if msg.Peer == nil || msg.Peer.ID != msg.From || msg.Peer.Address != from {
		m.dropped.Malformed++ // who says it listens elsewhere cannot be told from who cannot hear
		return
	}
	if m.tokens < float64(m.BytesPerSecond) && msg.SeedRank == 0 { // beats go first; it will ask again, or somebody else
		if m.tokens > 0 && m.view != nil && len(m.view.Members) > m.Watchers {
			m.redirect(from)
		}
		return
	}
	if m.view == nil {
		if m.state == Outside {
			if ownRank := m.seedRank(); msg.SeedRank > 0 && (ownRank == 0 || msg.SeedRank < ownRank) {
				m.lowerSeedOutsideAt = m.now
			}
			response := &Message{Kind: Redirect, SeedRank: m.seedRank()}
			for _, address := range m.knownAddresses[:min(2, len(m.knownAddresses))] { // who may be in
				response.PendingJoins = append(response.PendingJoins, Peer{Address: address})
			}
			m.send(from, response)
		}
		return
	}
	if msg.Lineage == m.view.Lineage && msg.View > 0 {
		return // a member that has missed much, or is ahead: beats see to that
	}
	if msg.Lineage != 0 {
		m.handleOtherLineage(from, msg)
		return
	}
	m.send(from, &Message{Kind: Welcome, Token: m.joinToken(from, msg.From), Hash: m.view.Hash()})
}

// refer names some members to one that wants in: where many do, those that they ask first cannot see to all.
func (m *Member) redirect(to string) {
	response := &Message{Kind: Redirect}
	for range min(2, len(m.view.Members)) {
		if i := m.rng.IntN(len(m.view.Members)); !m.down.Has(i) && i != m.position {
			response.PendingJoins = append(response.PendingJoins, Peer{Address: m.view.Members[i].Address})
		}
	}
	m.send(to, response)
}

// welcome is the answer of a member. One that is in a smaller lineage leaves it for the larger.
func (m *Member) handleWelcome(from string, msg *Message) {
	if m.view != nil {
		m.handleOtherLineage(from, msg)
		return
	}
	if m.state != Outside && m.state != Superseded || m.fetchSource != "" || msg.Token == 0 {
		return
	}
	self := m.Self()
	m.send(from, &Message{Kind: Join, Peer: &self, Token: msg.Token})
	m.nextHello = max(m.nextHello, m.now+maxHelloInterval) // a change takes a second or two
}

// foreign deals with a member of another lineage: of the two that should be one the smaller gives way.
func (m *Member) handleOtherLineage(from string, msg *Message) {
	if msg.Lineage == 0 || msg.Lineage == m.view.Lineage || m.state != Inside {
		return
	}
	if cmp.Or(cmp.Compare(msg.Size, len(m.view.Members)), cmp.Compare(m.view.Lineage, msg.Lineage)) > 0 {
		known := []string{from}
		m.exitView(Outside, "its lineage gives way to a larger one")
		m.knownAddresses = known
		return
	}
	if msg.Kind != Welcome { // that one should know
		m.send(from, &Message{Kind: Welcome, Hash: m.view.Hash()})
	}
}

// join takes the word of one that has said the token back.
func (m *Member) handleJoin(from string, msg *Message) {
	if m.view == nil || msg.Peer == nil || msg.Peer.ID != msg.From || msg.Peer.Address != from || msg.Token != m.joinToken(from, msg.From) {
		m.dropped.Malformed++
		return
	}
	if m.view.Index(msg.From) >= 0 { // it has not heard
		m.send(from, m.joinNotice(nil))
		return
	}
	m.lastContact = m.now // the way there and back is open
	m.sponsored[msg.From] = from
	m.addPendingJoin(*msg.Peer)
}

// wait keeps one that wants in until it is. Of one name the highest incarnation counts.
func (m *Member) addPendingJoin(p Peer) {
	if p.ID.Name == "" || p.Address == "" || m.view.Index(p.ID) >= 0 {
		return
	}
	if i, there := m.view.find(p.ID.Name); there && m.view.Members[i].ID.Incarnation > p.ID.Incarnation {
		return // an older run: it is gone, or will hear that it is
	} else if there && !m.rejoining.Has(i) {
		m.rejoining.Set(i)
		m.deadVersion++
	}
	at, there := slices.BinarySearchFunc(m.pendingJoins, p.ID.Name, func(q Peer, name string) int { return cmp.Compare(q.ID.Name, name) })
	switch {
	case there && m.pendingJoins[at].ID.Incarnation >= p.ID.Incarnation:
		return
	case there:
		m.pendingJoins[at] = p
	default:
		m.pendingJoins = slices.Insert(m.pendingJoins, at, p)
	}
	m.evaluationDue, m.lastChange = true, m.now
}

// notice says that this member is in a view, which it fetches.
func (m *Member) handleJoinNotice(from string, msg *Message) {
	if m.state != Outside && m.state != Superseded || msg.Lineage == 0 || msg.Size <= 0 || m.fetchSource != "" && msg.Lineage == m.wantedView.Lineage && msg.View <= m.wantedView.View {
		return
	}
	m.wantedView, m.fetchSource, m.lastChunk = *msg, from, m.now
	m.chunkSources = m.chunkSources[:0]
	for _, p := range msg.PendingJoins {
		m.chunkSources = append(m.chunkSources, p.Address)
	}
	m.chunks = make([]*Chunk, (min(msg.Size, 1<<16)+peersPerChunk-1)/peersPerChunk)
	m.requestChunks()
}

// fetch gets the view of a member that is too far ahead to be followed.
func (m *Member) fetchView(from string, msg *Message) {
	if m.fetchSource != "" && m.now-m.lastChunkRequest < 4*m.TickInterval || msg.Size <= 0 {
		return
	}
	if m.fetchSource == "" || msg.View > m.wantedView.View {
		if msg.Hash == 0 { // a beat does not say it
			m.send(from, &Message{Kind: Ping, Digest: m.digest})
			return
		}
		m.wantedView, m.fetchSource, m.lastChunk, m.chunkSources = *msg, from, m.now, nil
		m.chunks = make([]*Chunk, (min(msg.Size, 1<<16)+peersPerChunk-1)/peersPerChunk)
	}
	m.requestChunks()
}

// pullMore asks for chunks that are missing, a few at a time.
func (m *Member) requestChunks() {
	m.lastChunkRequest = m.now
	requested := 0
	sources := slices.Clone(m.chunkSources) // and those that are in it by what came already: one member alone cannot serve all that join
	for _, c := range m.chunks {
		if c != nil {
			for _, p := range c.Members {
				sources = append(sources, p.Address)
			}
		}
	}
	for i, c := range m.chunks {
		if c == nil && requested < 4 {
			to := m.fetchSource
			if len(sources) > 0 && m.rng.IntN(4) > 0 {
				to = sources[m.rng.IntN(len(sources))]
			}
			m.send(to, &Message{Kind: ChunkRequest, Token: m.wantedView.View, Hash: m.wantedView.Hash, Chunk: &Chunk{Index: i}})
			requested++
		}
	}
	if m.now-m.lastChunk > m.SuspicionTimeout { // whoever it was, it says nothing more
		m.fetchSource, m.chunks = "", nil
	}
}

// pull hands out a chunk.
func (m *Member) handleChunkRequest(from string, msg *Message) {
	if m.view == nil || msg.Chunk == nil || msg.Chunk.Index < 0 || m.tokens < -float64(m.BytesPerSecond) {
		return
	}
	at := slices.IndexFunc(m.recentViews, func(v *View) bool { return v.Number == msg.Token && v.Hash() == msg.Hash })
	if at < 0 { // it is too old
		m.send(from, m.joinNotice(nil))
		return
	}
	v := m.recentViews[at]
	first := msg.Chunk.Index * peersPerChunk
	if first >= len(v.Members) {
		return
	}
	m.send(from, &Message{Kind: ChunkResponse, Token: v.Number, Hash: msg.Hash, Chunk: &Chunk{Index: msg.Chunk.Index, Count: (len(v.Members) + peersPerChunk - 1) / peersPerChunk, LargestSize: v.LargestSize,
		Members: v.Members[first:min(first+peersPerChunk, len(v.Members))]}})
}

// part takes a chunk, and with the last one the view.
func (m *Member) handleChunkResponse(from string, msg *Message) {
	if m.fetchSource == "" || msg.Chunk == nil || msg.Lineage != m.wantedView.Lineage || msg.Token != m.wantedView.View || msg.Hash != m.wantedView.Hash ||
		msg.Chunk.Count != len(m.chunks) || msg.Chunk.Index < 0 || msg.Chunk.Index >= len(m.chunks) {
		return
	}
	m.lastChunk = m.now
	m.chunks[msg.Chunk.Index] = msg.Chunk
	if slices.Contains(m.chunks, nil) {
		if m.now-m.lastChunkRequest > m.TickInterval {
			m.requestChunks()
		}
		return
	}
	v := &View{Lineage: m.wantedView.Lineage, Number: m.wantedView.View}
	for _, c := range m.chunks {
		v.LargestSize = c.LargestSize
		v.Members = append(v.Members, c.Members...)
	}
	m.fetchSource, m.chunks = "", nil
	if v.Hash() != m.wantedView.Hash || !slices.IsSortedFunc(v.Members, func(a, b Peer) int { return cmp.Compare(a.ID.Name, b.ID.Name) }) {
		m.dropped.Malformed++
		return
	}
	if m.view != nil && (m.view.Lineage != v.Lineage || m.view.Number >= v.Number) {
		return
	}
	if v.Index(m.Self().ID) < 0 {
		if m.view != nil { // else it is not in any more, and asks again
			m.handleExclusion(v)
		}
		return
	}
	m.history = nil
	m.installView(v, "let in")
}
