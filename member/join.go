package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const peersPerChunk = 16 // a chunk of peers with long names still fits a datagram

// seekMembership looks for members that admit this one.
func (m *Member) seekMembership() {
	if m.fetchSource != "" && m.now-m.lastChunkRequest > 4*m.TickInterval {
		m.requestChunks()
	}
	if m.now < m.nextHello {
		return
	}
	self := m.Self()
	// The longer it takes, the more processes are likely to be joining as well.
	interval := min(helloInterval+(m.now-m.outsideSince)/8, maxHelloInterval)
	if m.state == Superseded {
		interval = slowInterval
	}
	m.nextHello = m.now + interval/2 + time.Duration(m.rng.Int64N(int64(interval)))
	sendHello := func(to string) { m.send(to, &Message{Kind: Hello, Peer: &self, SeedRank: m.seedRank()}) }
	// A process that has other addresses spares the few seeds, where all start, for those that have none.
	if len(m.Seeds) > 0 && (len(m.knownAddresses) == 0 || m.rng.IntN(4) == 0) {
		seed := m.Seeds[m.rng.IntN(len(m.Seeds))]
		for attempts := len(m.Seeds); m.now < m.refusedSeeds[seed] && attempts > 0; attempts-- {
			seed = m.Seeds[m.rng.IntN(len(m.Seeds))]
		}
		sendHello(seed)
		if rank := m.seedRank(); rank > 1 { // is a seed of lower rank there?
			sendHello(m.Seeds[m.rng.IntN(rank-1)])
		}
	}
	if len(m.knownAddresses) > 0 {
		sendHello(m.knownAddresses[m.rng.IntN(len(m.knownAddresses))])
	}
	if m.now-m.lastKnownUpdate > 10*m.FoundingDelay { // none of them is there any more
		m.knownAddresses = nil
	}
	if rank := time.Duration(m.seedRank()); rank > 0 && m.state == Outside && m.now-m.outsideSince >= rank*m.FoundingDelay && m.now-m.lowerSeedOutsideAt >= m.FoundingDelay && m.fetchSource == "" && len(m.knownAddresses) == 0 {
		m.installView(&View{Lineage: xxhash.Sum64String(self.ID.Name) ^ self.ID.Incarnation*0x9e3779b97f4a7c15 | 1, Number: 1, LargestSize: 1, Members: []Peer{self}}, "founded")
	}
}

// joinToken returns a token that proves that a process receives messages at an address.
func (m *Member) joinToken(address string, id ID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], m.tokenSecret)
	binary.LittleEndian.PutUint64(b[8:], id.Incarnation)
	return xxhash.Sum64String(address+"\x00"+id.Name+"\x00"+string(b[:])) | 1
}

// handleHello answers a process that wants to join, or a member of another lineage.
func (m *Member) handleHello(from string, msg *Message) {
	if msg.Peer == nil || msg.Peer.ID != msg.From || msg.Peer.Address != from {
		m.dropped.Malformed++ // with a different address it cannot be told from a process that cannot receive
		return
	}
	if m.tokens < float64(m.BytesPerSecond) && msg.SeedRank == 0 { // heartbeats take precedence; the sender will repeat it, or ask another member
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
			for _, address := range m.knownAddresses[:min(2, len(m.knownAddresses))] { // these may be inside
				response.Peers = append(response.Peers, Peer{Address: address})
			}
			m.send(from, response)
		}
		return
	}
	if msg.Lineage == m.view.Lineage && msg.View > 0 {
		return // a member that is behind or ahead: heartbeats bring it up to date
	}
	if msg.Lineage != 0 {
		m.handleOtherLineage(from, msg)
		return
	}
	m.send(from, &Message{Kind: Welcome, Token: m.joinToken(from, msg.From), Hash: m.view.Hash()})
}

// redirect names some members to a process that wants to join: where many join at once, the first members asked cannot serve all.
func (m *Member) redirect(to string) {
	response := &Message{Kind: Redirect}
	for range min(2, len(m.view.Members)) {
		if i := m.rng.IntN(len(m.view.Members)); !m.down.Has(i) && i != m.position {
			response.Peers = append(response.Peers, Peer{Address: m.view.Members[i].Address})
		}
	}
	m.send(to, response)
}

// handleWelcome answers a member's token with a join. A member of a smaller lineage leaves it for the larger one.
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
	m.nextHello = max(m.nextHello, m.now+maxHelloInterval) // a view change takes a second or two
}

// handleOtherLineage handles a message of a member of another lineage: of two lineages the smaller one gives way.
func (m *Member) handleOtherLineage(from string, msg *Message) {
	if msg.Lineage == 0 || msg.Lineage == m.view.Lineage || m.state != Inside {
		return
	}
	if cmp.Or(cmp.Compare(msg.Size, len(m.view.Members)), cmp.Compare(m.view.Lineage, msg.Lineage)) > 0 {
		addresses := []string{from}
		m.exitView(Outside, "its lineage gives way to a larger one")
		m.knownAddresses = addresses
		return
	}
	if msg.Kind != Welcome { // the sender's lineage is to give way
		m.send(from, &Message{Kind: Welcome, Hash: m.view.Hash()})
	}
}

// handleJoin accepts a join with a valid token.
func (m *Member) handleJoin(from string, msg *Message) {
	if m.view == nil || msg.Peer == nil || msg.Peer.ID != msg.From || msg.Peer.Address != from || msg.Token != m.joinToken(from, msg.From) {
		m.dropped.Malformed++
		return
	}
	if m.view.Index(msg.From) >= 0 { // it has not received the notice
		m.send(from, m.joinNotice(nil))
		return
	}
	m.lastContact = m.now // both directions work
	m.sponsored[msg.From] = from
	m.addPendingJoin(*msg.Peer)
}

// addPendingJoin keeps a join until it is decided. Of one name the highest incarnation counts.
func (m *Member) addPendingJoin(p Peer) {
	if p.ID.Name == "" || p.Address == "" || m.view.Index(p.ID) >= 0 {
		return
	}
	if i, found := m.view.find(p.ID.Name); found && m.view.Members[i].ID.Incarnation > p.ID.Incarnation {
		return // an earlier run: it has ended, or will learn that it is superseded
	} else if found && !m.rejoining.Has(i) {
		m.rejoining.Set(i)
		m.deadVersion++
	}
	at, found := slices.BinarySearchFunc(m.pendingJoins, p.ID.Name, func(q Peer, name string) int { return cmp.Compare(q.ID.Name, name) })
	switch {
	case found && m.pendingJoins[at].ID.Incarnation >= p.ID.Incarnation:
		return
	case found:
		m.pendingJoins[at] = p
	default:
		m.pendingJoins = slices.Insert(m.pendingJoins, at, p)
	}
	m.evaluationDue, m.lastChange = true, m.now
}

// handleJoinNotice starts to fetch the view that this member has been admitted to.
func (m *Member) handleJoinNotice(from string, msg *Message) {
	if m.state != Outside && m.state != Superseded || msg.Lineage == 0 || msg.Size <= 0 || m.fetchSource != "" && msg.Lineage == m.wantedView.Lineage && msg.View <= m.wantedView.View {
		return
	}
	m.wantedView, m.fetchSource, m.lastChunk = *msg, from, m.now
	m.chunkSources = m.chunkSources[:0]
	for _, p := range msg.Peers {
		m.chunkSources = append(m.chunkSources, p.Address)
	}
	m.chunks = make([]*Chunk, (min(msg.Size, 1<<16)+peersPerChunk-1)/peersPerChunk)
	m.requestChunks()
}

// fetchView fetches the view of a member that is too far ahead for its decisions to be followed.
func (m *Member) fetchView(from string, msg *Message) {
	if m.fetchSource != "" && m.now-m.lastChunkRequest < 4*m.TickInterval || msg.Size <= 0 {
		return
	}
	if m.fetchSource == "" || msg.View > m.wantedView.View {
		if msg.Hash == 0 { // heartbeats have no hash
			m.send(from, &Message{Kind: Ping, Digest: m.digest})
			return
		}
		m.wantedView, m.fetchSource, m.lastChunk, m.chunkSources = *msg, from, m.now, nil
		m.chunks = make([]*Chunk, (min(msg.Size, 1<<16)+peersPerChunk-1)/peersPerChunk)
	}
	m.requestChunks()
}

// requestChunks requests a few of the missing chunks.
func (m *Member) requestChunks() {
	m.lastChunkRequest = m.now
	requested := 0
	// Members named in the chunks received so far have the view as well: a single member cannot serve all that join.
	sources := slices.Clone(m.chunkSources)
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
	if m.now-m.lastChunk > m.SuspicionTimeout { // the source does not answer any more
		m.fetchSource, m.chunks = "", nil
	}
}

// handleChunkRequest sends a chunk of a recent view.
func (m *Member) handleChunkRequest(from string, msg *Message) {
	if m.view == nil || msg.Chunk == nil || msg.Chunk.Index < 0 || m.tokens < -float64(m.BytesPerSecond) {
		return
	}
	at := slices.IndexFunc(m.recentViews, func(v *View) bool { return v.Number == msg.Token && v.Hash() == msg.Hash })
	if at < 0 { // no longer among the recent views
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

// handleChunkResponse stores a chunk, and installs the view when it is complete.
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
		if m.view != nil { // without a view, this process requests admission again
			m.handleExclusion(v)
		}
		return
	}
	m.history = nil
	m.installView(v, "admitted")
}
