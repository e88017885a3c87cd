package member

import (
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// merge takes a charge: a later generation of the subject's clears what was said of the one before, and of one generation all bits count.
func (m *Member) merge(c Report) {
	have := &m.charges[c.Subject]
	valid := uint16(1)<<len(m.rings.watchers[c.Subject]) - 1
	c.TimedOut &= valid
	c.Refused &= valid
	next := *have
	if c.Generation > next.Generation {
		next = Report{Subject: c.Subject, Generation: c.Generation, Left: next.Left}
	}
	if c.Generation == next.Generation {
		next.TimedOut |= c.TimedOut
		next.Refused |= c.Refused
	}
	next.Left = next.Left || c.Left
	if next == *have {
		return
	}
	raised := next.Generation > have.Generation || next.Left && !have.Left
	*have = next
	m.news, m.changed = true, m.now
	if raised || !m.dead.Has(c.Subject) { // of the dead nothing more is news
		m.heat(c.Subject, raised)
	}
	if c.Subject == m.at && next.TimedOut|next.Refused != 0 && m.state == Inside && m.Disabled&Refutation == 0 { // the accused speaks
		m.merge(Report{Subject: m.at, Generation: next.Generation + 1})
	}
}

// mix is a charge's part of the digest; 0 for one that says nothing.
func mix(c Report) uint32 {
	if c.Generation == 0 && c.TimedOut|c.Refused == 0 && !c.Left {
		return 0
	}
	x := uint64(c.Subject+1)*0x9e3779b97f4a7c15 ^ uint64(c.Generation)<<33 ^ uint64(c.TimedOut)<<16 ^ uint64(c.Refused)
	if c.Left {
		x ^= 1 << 62
	}
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return uint32(x >> 32)
}

// heat has a charge passed on.
func (m *Member) heat(subject int, first bool) {
	// Half of the watchers are enough for all to hear of it, even where a third gets lost; what that misses the digests show.
	times := (len(m.toldOf) + 1) / 2
	i := slices.IndexFunc(m.hot, func(h hot) bool { return h.subject == subject })
	if first { // the accused's own word goes before all charges, and twice as often
		if i >= 0 {
			m.hot = slices.Delete(m.hot, i, i+1)
		}
		m.hot = slices.Insert(m.hot, 0, hot{subject, 2 * times})
		return
	}
	if i >= 0 {
		m.hot[i].left = max(m.hot[i].left, times)
		return
	}
	m.hot = append(m.hot, hot{subject, times})
}

// reheat has all charges passed on once: somebody has missed some.
func (m *Member) reheat() {
	if len(m.hot) > 0 || m.now-m.reheated < m.BallotTimeout {
		return
	}
	m.reheated = m.now
	for i := range m.toldDead {
		m.toldDead[i] = -1
	}
	for i, c := range m.charges {
		if mix(c) != 0 && !m.dead.Has(i) {
			m.hot = append(m.hot, hot{i, 1})
		}
	}
}

// watch asks the subjects that are silent, and charges those that stay so.
func (m *Member) watch() {
	doubts := m.doubts()
	for i := range m.view.Members { // in order: what is sent must not hang on a map's
		s := m.subjects[i]
		if s == nil || m.bits[i] == 0 {
			continue
		}
		silence := m.now - s.heard
		if silence <= m.PingAfter {
			continue
		}
		every := max(m.PingAfter/4, silence/4)
		if m.gone.Has(i) { // seldom: another process may be there, of another lineage
			every = max(every, strayEvery)
		}
		if m.now-s.asked >= every { // more than the two asks that are wanted in as long again, then fewer and fewer
			s.asked = m.now
			// What is new would be lost on the dead, but the accused should know.
			m.send(m.view.Members[i].Address, &Message{Kind: Ping, Digest: m.digest, Reports: []Report{m.charges[i]}})
		}
		c := m.charges[i]
		bit := m.bits[i]
		if m.now < s.until || m.deaf() {
			continue
		}
		if s.refusals >= asks && c.Refused&bit != bit {
			s.charged = m.now
			m.merge(Report{Subject: i, Generation: c.Generation, Refused: bit})
		} else if silence > m.SuspicionTimeout && c.TimedOut&bit != bit && !doubts {
			s.charged = m.now
			m.merge(Report{Subject: i, Generation: c.Generation, TimedOut: bit})
		}
	}
}

// doubts: so many of its subjects are silent, and none of these is proven dead, that this member is the likelier one to be cut off.
func (m *Member) doubts() bool {
	if m.Disabled&SelfSuspicion != 0 {
		return false
	}
	silent := 0
	for i, s := range m.subjects {
		if m.now-s.heard > 2*m.PingAfter && s.refusals < asks && !m.replaced(i) {
			silent++
		}
	}
	return silent > 1 && float64(silent) > doubt*float64(len(m.subjects))
}

// deaf: it has heard nobody for so long that the others should not take it for one that hears them.
func (m *Member) deaf() bool {
	return m.Disabled&SelfSuspicion == 0 && len(m.view.Members) > 2 && m.now-m.anybody > m.SuspicionTimeout
}

// judge works out who is down and who is gone, if there is news.
func (m *Member) judge() {
	if !m.news {
		return
	}
	m.news = false
	before := m.gone.Count()
	defer func() {
		if m.gone.Count() != before {
			m.standIn()
		}
	}()
	clear(m.down)
	clear(m.gone)
	m.willing = 0
	for i, c := range m.charges {
		if c.Left || m.replaced(i) { // it may have voted, and lives: not gone for that
			m.down.Set(i)
			if c.TimedOut|c.Refused == 0 {
				m.willing++
			}
		}
	}
	// A refusal is a proof and not a doubt: two watchers are enough, against a mistaken address, or one where no other is left. The
	// watchers of one that died may be dead as well, so all that were refused are taken for gone at first.
	for i, c := range m.charges {
		if c.Refused != 0 {
			m.gone.Set(i)
		}
	}
	for more := true; more; {
		more = false
		for i, c := range m.charges {
			if m.gone.Has(i) && bits.OnesCount16(c.Refused) < max(1, min(2, m.left(i, m.gone))) {
				m.gone[i/8] &^= 1 << (i % 8)
				more = true
			}
		}
	}
	// What others have worked out so counts as well: where hundreds died all single charges would take long to go round.
	for i, c := range m.charges {
		if c.Generation > 0 { // it has spoken since
			if m.dead.Has(i) {
				m.dead[i/8] &^= 1 << (i % 8)
			}
		} else if m.dead.Has(i) {
			m.gone.Set(i)
		}
	}
	if m.dead.or(m.gone) {
		m.deaths++
		m.changed = m.now
	}
	// The digest leaves out what was said of the dead: it is not passed on any more.
	m.digest = uint32(xxhash.Sum64(m.dead))
	for i, c := range m.charges {
		if !m.dead.Has(i) {
			m.digest ^= mix(c)
		}
	}
	m.down.or(m.gone)
	// Silence proves nothing: a member is down when those charge it that are not. Watchers that are down say nothing, and what they said
	// before counts for nothing: each that goes may make others go.
	for more := true; more; {
		more = false
		for i, c := range m.charges {
			if c.TimedOut|c.Refused != 0 && !m.down.Has(i) && m.enough(i, c.TimedOut|c.Refused, m.down) {
				m.down.Set(i)
				more = true
			}
		}
	}
	// Who is charged by some watchers and not by enough may be beyond a cut that other watchers are beyond as well. Where a quarter of all
	// are charged by anybody that is likelier than that so many watchers err: then a single one counts.
	m.beyond = 0
	some := 0
	for i, c := range m.charges {
		n := m.charged(i, c.TimedOut|c.Refused, m.down)
		if m.down.Has(i) || n == 0 {
			continue
		}
		if some++; n >= int(math.Ceil(low*float64(m.left(i, m.down)))) {
			m.beyond++
		}
	}
	if 4*some > len(m.charges) { // and a few of them have no watcher here at all
		m.beyond = some + some/16 + 1
	}
	for i := range m.charges {
		if c := m.charges[i]; c.TimedOut|c.Refused != 0 && m.replaced(i) && m.enough(i, c.TimedOut|c.Refused, m.down) {
			m.gone.Set(i)
		}
	}
}

// left is how many of a subject's watchers are not out.
func (m *Member) left(subject int, out Bits) (n int) {
	for _, w := range m.rings.watchers[subject] {
		if !out.Has(w) {
			n++
		}
	}
	return n
}

// charged is how many of a subject's watchers that are not out say it.
func (m *Member) charged(subject int, said uint16, out Bits) (n int) {
	for bit, w := range m.rings.watchers[subject] {
		if !out.Has(w) && said>>bit&1 != 0 {
			n++
		}
	}
	return n
}

// enough: so many of a subject's watchers that are not out themselves say it.
func (m *Member) enough(subject int, said uint16, out Bits) bool {
	need := max(1, int(math.Ceil(high*float64(m.left(subject, out)))))
	if m.Disabled&Watermarks != 0 {
		need = 1
	}
	return m.charged(subject, said, out) >= need
}

// standIn has this member watch for watchers that are gone, and beat to those that stand in for its own. Where most are dead the watchers
// of some would all be, and nobody would say so.
func (m *Member) standIn() {
	m.bits = map[int]uint16{}
	for _, i := range m.rings.subjects[m.at] {
		m.bits[i] = 1 << slices.Index(m.rings.watchers[i], m.at)
	}
	for bit := range m.targets {
		m.targets[bit] = m.rings.stand(m.at, bit, m.gone)
	}
	if m.gone.Count() == 0 {
		return
	}
	for i := range m.view.Members {
		if i == m.at || m.gone.Has(i) {
			continue
		}
		for bit, w := range m.rings.watchers[i] {
			if m.gone.Has(w) && m.rings.stand(i, bit, m.gone) == m.at {
				if m.bits[i] |= 1 << bit; m.subjects[i] == nil {
					m.subjects[i] = &subject{heard: m.now}
				}
			}
		}
	}
}

// alone: with those that are down, and those that may be beyond a cut, too few are left to agree on anything.
func (m *Member) alone() bool {
	n := len(m.view.Members)
	return n-m.down.Count()+m.willing-m.beyond < quorum(n, m.gone) || m.doubts()
}

// replaced: a later process of the same name wants in.
func (m *Member) replaced(i int) bool { return m.again.Has(i) }

// unsure: some are charged, and not by enough.
func (m *Member) unsure() bool {
	for i, c := range m.charges {
		if c.TimedOut|c.Refused != 0 && !m.down.Has(i) {
			return true
		}
	}
	return false
}

// silentOnes: some are down and not by proof or their own word.
func (m *Member) silentOnes() bool {
	for i, c := range m.charges {
		if m.down.Has(i) && !m.gone.Has(i) && !c.Left && !m.replaced(i) {
			return true
		}
	}
	return false
}

// penalty notes that a name was removed without its will, and is not let in for a while.
func (m *Member) penalty(name string) {
	f := m.flaps[name]
	if f == nil {
		f = &flap{}
		m.flaps[name] = f
	}
	if m.now-f.at > flapFades {
		f.n = 0
	}
	f.n, f.at = f.n+1, m.now
	f.until = m.now + min(m.RejoinDelay<<min(f.n-1, 8), flapMost)
	for name, f := range m.flaps {
		if m.now-f.at > flapFades {
			delete(m.flaps, name)
		}
	}
}
