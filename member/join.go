package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const chunkPeers = 16 // a chunk of peers with long names still fits a datagram

// seek looks for members to be let in by.
func (m *Member) seek() {
	if m.wantFrom != "" && m.now-m.pulled > 4*m.TickInterval {
		m.pullMore()
	}
	if m.now < m.helloAt {
		return
	}
	self := m.Self()
	// The longer it takes the more others are likely to want in as well.
	every := min(helloEvery+(m.now-m.since)/8, helloMost)
	if m.state == Superseded {
		every = strayEvery
	}
	m.helloAt = m.now + every/2 + time.Duration(m.rng.Int64N(int64(every)))
	hello := func(to string) { m.send(to, &Message{Kind: Hello, Peer: &self, SeedRank: m.rank()}) }
	// Who knows of others leaves the seeds to those that don't: all start there, and few there are.
	if len(m.Seeds) > 0 && (len(m.known) == 0 || m.rng.IntN(4) == 0) {
		seed := m.Seeds[m.rng.IntN(len(m.Seeds))]
		for tries := len(m.Seeds); m.now < m.shut[seed] && tries > 0; tries-- {
			seed = m.Seeds[m.rng.IntN(len(m.Seeds))]
		}
		hello(seed)
		if rank := m.rank(); rank > 1 { // is one before it there?
			hello(m.Seeds[m.rng.IntN(rank-1)])
		}
	}
	if len(m.known) > 0 {
		hello(m.known[m.rng.IntN(len(m.known))])
	}
	if m.now-m.knownAt > 10*m.FoundingDelay { // nobody of them is there any more
		m.known = nil
	}
	if rank := time.Duration(m.rank()); rank > 0 && m.state == Outside && m.now-m.since >= rank*m.FoundingDelay && m.now-m.lowerOut >= m.FoundingDelay && m.wantFrom == "" && len(m.known) == 0 {
		m.install(&View{Lineage: xxhash.Sum64String(self.ID.Name) ^ self.ID.Incarnation*0x9e3779b97f4a7c15 | 1, Number: 1, LargestSize: 1, Members: []Peer{self}}, "founded")
	}
}

// token proves that who says it back at an address has heard what was said there.
func (m *Member) token(address string, id ID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], m.secret)
	binary.LittleEndian.PutUint64(b[8:], id.Incarnation)
	return xxhash.Sum64String(address+"\x00"+id.Name+"\x00"+string(b[:])) | 1
}

// hello answers one that wants in, or looks for another lineage.
func (m *Member) hello(from string, msg *Message) {
	if msg.Peer == nil || msg.Peer.ID != msg.From || msg.Peer.Address != from {
		m.dropped.Malformed++ // who says it listens elsewhere cannot be told from who cannot hear
		return
	}
	if m.fill < float64(m.BytesPerSecond) && msg.SeedRank == 0 { // beats go first; it will ask again, or somebody else
		if m.fill > 0 && m.view != nil && len(m.view.Members) > m.Watchers {
			m.refer(from)
		}
		return
	}
	if m.view == nil {
		if m.state == Outside {
			if own := m.rank(); msg.SeedRank > 0 && (own == 0 || msg.SeedRank < own) {
				m.lowerOut = m.now
			}
			out := &Message{Kind: Redirect, SeedRank: m.rank()}
			for _, address := range m.known[:min(2, len(m.known))] { // who may be in
				out.PendingJoins = append(out.PendingJoins, Peer{Address: address})
			}
			m.send(from, out)
		}
		return
	}
	if msg.Lineage == m.view.Lineage && msg.View > 0 {
		return // a member that has missed much, or is ahead: beats see to that
	}
	if msg.Lineage != 0 {
		m.foreign(from, msg)
		return
	}
	m.send(from, &Message{Kind: Welcome, Token: m.token(from, msg.From), Hash: m.view.Hash()})
}

// refer names some members to one that wants in: where many do, those that they ask first cannot see to all.
func (m *Member) refer(to string) {
	out := &Message{Kind: Redirect}
	for range min(2, len(m.view.Members)) {
		if i := m.rng.IntN(len(m.view.Members)); !m.down.Has(i) && i != m.at {
			out.PendingJoins = append(out.PendingJoins, Peer{Address: m.view.Members[i].Address})
		}
	}
	m.send(to, out)
}

// welcome is the answer of a member. One that is in a smaller lineage leaves it for the larger.
func (m *Member) welcome(from string, msg *Message) {
	if m.view != nil {
		m.foreign(from, msg)
		return
	}
	if m.state != Outside && m.state != Superseded || m.wantFrom != "" || msg.Token == 0 {
		return
	}
	self := m.Self()
	m.send(from, &Message{Kind: Join, Peer: &self, Token: msg.Token})
	m.helloAt = max(m.helloAt, m.now+helloMost) // a change takes a second or two
}

// foreign deals with a member of another lineage: of the two that should be one the smaller gives way.
func (m *Member) foreign(from string, msg *Message) {
	if msg.Lineage == 0 || msg.Lineage == m.view.Lineage || m.state != Inside {
		return
	}
	if cmp.Or(cmp.Compare(msg.Size, len(m.view.Members)), cmp.Compare(m.view.Lineage, msg.Lineage)) > 0 {
		known := []string{from}
		m.away(Outside, "its lineage gives way to a larger one")
		m.known = known
		return
	}
	if msg.Kind != Welcome { // that one should know
		m.send(from, &Message{Kind: Welcome, Hash: m.view.Hash()})
	}
}

// join takes the word of one that has said the token back.
func (m *Member) join(from string, msg *Message) {
	if m.view == nil || msg.Peer == nil || msg.Peer.ID != msg.From || msg.Peer.Address != from || msg.Token != m.token(from, msg.From) {
		m.dropped.Malformed++
		return
	}
	if m.view.Index(msg.From) >= 0 { // it has not heard
		m.send(from, m.invite(nil))
		return
	}
	m.anybody = m.now // the way there and back is open
	m.sponsor[msg.From] = from
	m.wait(*msg.Peer)
}

// wait keeps one that wants in until it is. Of one name the highest incarnation counts.
func (m *Member) wait(p Peer) {
	if p.ID.Name == "" || p.Address == "" || m.view.Index(p.ID) >= 0 {
		return
	}
	if i, there := m.view.find(p.ID.Name); there && m.view.Members[i].ID.Incarnation > p.ID.Incarnation {
		return // an older run: it is gone, or will hear that it is
	} else if there && !m.again.Has(i) {
		m.again.Set(i)
		m.deaths++
	}
	at, there := slices.BinarySearchFunc(m.joins, p.ID.Name, func(q Peer, name string) int { return cmp.Compare(q.ID.Name, name) })
	switch {
	case there && m.joins[at].ID.Incarnation >= p.ID.Incarnation:
		return
	case there:
		m.joins[at] = p
	default:
		m.joins = slices.Insert(m.joins, at, p)
	}
	m.news, m.changed = true, m.now
}

// notice says that this member is in a view, which it fetches.
func (m *Member) notice(from string, msg *Message) {
	if m.state != Outside && m.state != Superseded || msg.Lineage == 0 || msg.Size <= 0 || m.wantFrom != "" && msg.Lineage == m.want.Lineage && msg.View <= m.want.View {
		return
	}
	m.want, m.wantFrom, m.fetched = *msg, from, m.now
	m.sources = m.sources[:0]
	for _, p := range msg.PendingJoins {
		m.sources = append(m.sources, p.Address)
	}
	m.chunks = make([]*Chunk, (min(msg.Size, 1<<16)+chunkPeers-1)/chunkPeers)
	m.pullMore()
}

// fetch gets the view of a member that is too far ahead to be followed.
func (m *Member) fetch(from string, msg *Message) {
	if m.wantFrom != "" && m.now-m.pulled < 4*m.TickInterval || msg.Size <= 0 {
		return
	}
	if m.wantFrom == "" || msg.View > m.want.View {
		if msg.Hash == 0 { // a beat does not say it
			m.send(from, &Message{Kind: Ping, Digest: m.digest})
			return
		}
		m.want, m.wantFrom, m.fetched, m.sources = *msg, from, m.now, nil
		m.chunks = make([]*Chunk, (min(msg.Size, 1<<16)+chunkPeers-1)/chunkPeers)
	}
	m.pullMore()
}

// pullMore asks for chunks that are missing, a few at a time.
func (m *Member) pullMore() {
	m.pulled = m.now
	asked := 0
	from := slices.Clone(m.sources) // and those that are in it by what came already: one member alone cannot serve all that join
	for _, c := range m.chunks {
		if c != nil {
			for _, p := range c.Members {
				from = append(from, p.Address)
			}
		}
	}
	for i, c := range m.chunks {
		if c == nil && asked < 4 {
			to := m.wantFrom
			if len(from) > 0 && m.rng.IntN(4) > 0 {
				to = from[m.rng.IntN(len(from))]
			}
			m.send(to, &Message{Kind: ChunkRequest, Token: m.want.View, Hash: m.want.Hash, Chunk: &Chunk{Index: i}})
			asked++
		}
	}
	if m.now-m.fetched > m.SuspicionTimeout { // whoever it was, it says nothing more
		m.wantFrom, m.chunks = "", nil
	}
}

// pull hands out a chunk.
func (m *Member) pull(from string, msg *Message) {
	if m.view == nil || msg.Chunk == nil || msg.Chunk.Index < 0 || m.fill < -float64(m.BytesPerSecond) {
		return
	}
	at := slices.IndexFunc(m.lately, func(v *View) bool { return v.Number == msg.Token && v.Hash() == msg.Hash })
	if at < 0 { // it is too old
		m.send(from, m.invite(nil))
		return
	}
	v := m.lately[at]
	first := msg.Chunk.Index * chunkPeers
	if first >= len(v.Members) {
		return
	}
	m.send(from, &Message{Kind: ChunkResponse, Token: v.Number, Hash: msg.Hash, Chunk: &Chunk{Index: msg.Chunk.Index, Count: (len(v.Members) + chunkPeers - 1) / chunkPeers, LargestSize: v.LargestSize,
		Members: v.Members[first:min(first+chunkPeers, len(v.Members))]}})
}

// part takes a chunk, and with the last one the view.
func (m *Member) part(from string, msg *Message) {
	if m.wantFrom == "" || msg.Chunk == nil || msg.Lineage != m.want.Lineage || msg.Token != m.want.View || msg.Hash != m.want.Hash ||
		msg.Chunk.Count != len(m.chunks) || msg.Chunk.Index < 0 || msg.Chunk.Index >= len(m.chunks) {
		return
	}
	m.fetched = m.now
	m.chunks[msg.Chunk.Index] = msg.Chunk
	if slices.Contains(m.chunks, nil) {
		if m.now-m.pulled > m.TickInterval {
			m.pullMore()
		}
		return
	}
	v := &View{Lineage: m.want.Lineage, Number: m.want.View}
	for _, c := range m.chunks {
		v.LargestSize = c.LargestSize
		v.Members = append(v.Members, c.Members...)
	}
	m.wantFrom, m.chunks = "", nil
	if v.Hash() != m.want.Hash || !slices.IsSortedFunc(v.Members, func(a, b Peer) int { return cmp.Compare(a.ID.Name, b.ID.Name) }) {
		m.dropped.Malformed++
		return
	}
	if m.view != nil && (m.view.Lineage != v.Lineage || m.view.Number >= v.Number) {
		return
	}
	if v.Index(m.Self().ID) < 0 {
		if m.view != nil { // else it is not in any more, and asks again
			m.without(v)
		}
		return
	}
	m.history = nil
	m.install(v, "let in")
}
