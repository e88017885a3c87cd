package member

import (
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// merge takes a charge: a later generation of the subject's clears what was said of the one before, and of one generation all bits count.
func (m *Member) mergeReport(c Report) {
	have := &m.reports[c.Subject]
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
	m.evaluationDue, m.lastChange = true, m.now
	if raised || !m.dead.Has(c.Subject) { // of the dead nothing more is news
		m.enqueueReport(c.Subject, raised)
	}
	if c.Subject == m.position && next.TimedOut|next.Refused != 0 && m.state == Inside && m.Disabled&Refutation == 0 { // the accused speaks
		m.mergeReport(Report{Subject: m.position, Generation: next.Generation + 1})
	}
}

// mix is a charge's part of the digest; 0 for one that says nothing.
func reportDigest(c Report) uint32 {
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
func (m *Member) enqueueReport(subject int, first bool) {
	// Half of the watchers are enough for all to hear of it, even where a third gets lost; what that misses the digests show.
	times := (len(m.sentRoundVersion) + 1) / 2
	i := slices.IndexFunc(m.reportQueue, func(h queuedReport) bool { return h.subject == subject })
	if first { // the accused's own word goes before all charges, and twice as often
		if i >= 0 {
			m.reportQueue = slices.Delete(m.reportQueue, i, i+1)
		}
		m.reportQueue = slices.Insert(m.reportQueue, 0, queuedReport{subject, 2 * times})
		return
	}
	if i >= 0 {
		m.reportQueue[i].sendsLeft = max(m.reportQueue[i].sendsLeft, times)
		return
	}
	m.reportQueue = append(m.reportQueue, queuedReport{subject, times})
}

// reheat has all charges passed on once: somebody has missed some.
func (m *Member) requeueReports() {
	if len(m.reportQueue) > 0 || m.now-m.lastRequeue < m.BallotTimeout {
		return
	}
	m.lastRequeue = m.now
	for i := range m.sentDeadVersion {
		m.sentDeadVersion[i] = -1
	}
	for i, c := range m.reports {
		if reportDigest(c) != 0 && !m.dead.Has(i) {
			m.reportQueue = append(m.reportQueue, queuedReport{i, 1})
		}
	}
}

// watch asks the subjects that are silent, and charges those that stay so.
func (m *Member) probeSubjects() {
	selfSuspected := m.suspectsSelf()
	for i := range m.view.Members { // in order: what is sent must not hang on a map's
		s := m.subjects[i]
		if s == nil || m.watcherBits[i] == 0 {
			continue
		}
		silence := m.now - s.lastHeard
		if silence <= m.PingAfter {
			continue
		}
		interval := max(m.PingAfter/4, silence/4)
		if m.failed.Has(i) { // seldom: another process may be there, of another lineage
			interval = max(interval, slowInterval)
		}
		if m.now-s.lastPing >= interval { // more than the two asks that are wanted in as long again, then fewer and fewer
			s.lastPing = m.now
			// What is new would be lost on the dead, but the accused should know.
			m.send(m.view.Members[i].Address, &Message{Kind: Ping, Digest: m.digest, Reports: []Report{m.reports[i]}})
		}
		c := m.reports[i]
		bit := m.watcherBits[i]
		if m.now < s.suppressedUntil || m.cannotReceive() {
			continue
		}
		if s.refusals >= refusalsForProof && c.Refused&bit != bit {
			s.reportedAt = m.now
			m.mergeReport(Report{Subject: i, Generation: c.Generation, Refused: bit})
		} else if silence > m.SuspicionTimeout && c.TimedOut&bit != bit && !selfSuspected {
			s.reportedAt = m.now
			m.mergeReport(Report{Subject: i, Generation: c.Generation, TimedOut: bit})
		}
	}
}

// doubts: so many of its subjects are silent, and none of these is proven dead, that this member is the likelier one to be cut off.
func (m *Member) suspectsSelf() bool {
	if m.Disabled&SelfSuspicion != 0 {
		return false
	}
	silent := 0
	for i, s := range m.subjects {
		if m.now-s.lastHeard > 2*m.PingAfter && s.refusals < refusalsForProof && !m.isRejoining(i) {
			silent++
		}
	}
	return silent > 1 && float64(silent) > selfSuspicionShare*float64(len(m.subjects))
}

// deaf: it has heard nobody for so long that the others should not take it for one that hears them.
func (m *Member) cannotReceive() bool {
	return m.Disabled&SelfSuspicion == 0 && len(m.view.Members) > 2 && m.now-m.lastContact > m.SuspicionTimeout
}

// judge works out who is down and who is gone, if there is news.
func (m *Member) evaluate() {
	if !m.evaluationDue {
		return
	}
	m.evaluationDue = false
	before := m.failed.Count()
	defer func() {
		if m.failed.Count() != before {
			m.assignSubstitutes()
		}
	}()
	clear(m.down)
	clear(m.failed)
	m.downVoters = 0
	for i, c := range m.reports {
		if c.Left || m.isRejoining(i) { // it may have voted, and lives: not gone for that
			m.down.Set(i)
			if c.TimedOut|c.Refused == 0 {
				m.downVoters++
			}
		}
	}
	// A refusal is a proof and not a doubt: two watchers are enough, against a mistaken address, or one where no other is left. The
	// watchers of one that died may be dead as well, so all that were refused are taken for gone at first.
	for i, c := range m.reports {
		if c.Refused != 0 {
			m.failed.Set(i)
		}
	}
	for changed := true; changed; {
		changed = false
		for i, c := range m.reports {
			if m.failed.Has(i) && bits.OnesCount16(c.Refused) < max(1, min(2, m.watchersOutside(i, m.failed))) {
				m.failed[i/8] &^= 1 << (i % 8)
				changed = true
			}
		}
	}
	// What others have worked out so counts as well: where hundreds died all single charges would take long to go round.
	for i, c := range m.reports {
		if c.Generation > 0 { // it has spoken since
			if m.dead.Has(i) {
				m.dead[i/8] &^= 1 << (i % 8)
			}
		} else if m.dead.Has(i) {
			m.failed.Set(i)
		}
	}
	if m.dead.merge(m.failed) {
		m.deadVersion++
		m.lastChange = m.now
	}
	// The digest leaves out what was said of the dead: it is not passed on any more.
	m.digest = uint32(xxhash.Sum64(m.dead))
	for i, c := range m.reports {
		if !m.dead.Has(i) {
			m.digest ^= reportDigest(c)
		}
	}
	m.down.merge(m.failed)
	// Silence proves nothing: a member is down when those charge it that are not. Watchers that are down say nothing, and what they said
	// before counts for nothing: each that goes may make others go.
	for changed := true; changed; {
		changed = false
		for i, c := range m.reports {
			if c.TimedOut|c.Refused != 0 && !m.down.Has(i) && m.reachesHighWatermark(i, c.TimedOut|c.Refused, m.down) {
				m.down.Set(i)
				changed = true
			}
		}
	}
	// Who is charged by some watchers and not by enough may be beyond a cut that other watchers are beyond as well. Where a quarter of all
	// are charged by anybody that is likelier than that so many watchers err: then a single one counts.
	m.possiblyPartitioned = 0
	reported := 0
	for i, c := range m.reports {
		n := m.reportingWatchers(i, c.TimedOut|c.Refused, m.down)
		if m.down.Has(i) || n == 0 {
			continue
		}
		if reported++; n >= int(math.Ceil(lowWatermark*float64(m.watchersOutside(i, m.down)))) {
			m.possiblyPartitioned++
		}
	}
	if 4*reported > len(m.reports) { // and a few of them have no watcher here at all
		m.possiblyPartitioned = reported + reported/16 + 1
	}
	for i := range m.reports {
		if c := m.reports[i]; c.TimedOut|c.Refused != 0 && m.isRejoining(i) && m.reachesHighWatermark(i, c.TimedOut|c.Refused, m.down) {
			m.failed.Set(i)
		}
	}
}

// left is how many of a subject's watchers are not out.
func (m *Member) watchersOutside(subject int, excluded Bits) (n int) {
	for _, w := range m.rings.watchers[subject] {
		if !excluded.Has(w) {
			n++
		}
	}
	return n
}

// charged is how many of a subject's watchers that are not out say it.
func (m *Member) reportingWatchers(subject int, reports uint16, excluded Bits) (n int) {
	for bit, w := range m.rings.watchers[subject] {
		if !excluded.Has(w) && reports>>bit&1 != 0 {
			n++
		}
	}
	return n
}

// enough: so many of a subject's watchers that are not out themselves say it.
func (m *Member) reachesHighWatermark(subject int, reports uint16, excluded Bits) bool {
	need := max(1, int(math.Ceil(highWatermark*float64(m.watchersOutside(subject, excluded)))))
	if m.Disabled&Watermarks != 0 {
		need = 1
	}
	return m.reportingWatchers(subject, reports, excluded) >= need
}

// standIn has this member watch for watchers that are gone, and beat to those that stand in for its own. Where most are dead the watchers
// of some would all be, and nobody would say so.
func (m *Member) assignSubstitutes() {
	m.watcherBits = map[int]uint16{}
	for _, i := range m.rings.subjects[m.position] {
		m.watcherBits[i] = 1 << slices.Index(m.rings.watchers[i], m.position)
	}
	for bit := range m.heartbeatTargets {
		m.heartbeatTargets[bit] = m.rings.substitute(m.position, bit, m.failed)
	}
	if m.failed.Count() == 0 {
		return
	}
	for i := range m.view.Members {
		if i == m.position || m.failed.Has(i) {
			continue
		}
		for bit, w := range m.rings.watchers[i] {
			if m.failed.Has(w) && m.rings.substitute(i, bit, m.failed) == m.position {
				if m.watcherBits[i] |= 1 << bit; m.subjects[i] == nil {
					m.subjects[i] = &subject{lastHeard: m.now}
				}
			}
		}
	}
}

// alone: with those that are down, and those that may be beyond a cut, too few are left to agree on anything.
func (m *Member) lacksQuorum() bool {
	n := len(m.view.Members)
	return n-m.down.Count()+m.downVoters-m.possiblyPartitioned < quorumSize(n, m.failed) || m.suspectsSelf()
}

// replaced: a later process of the same name wants in.
func (m *Member) isRejoining(i int) bool { return m.rejoining.Has(i) }

// unsure: some are charged, and not by enough.
func (m *Member) hasUnconfirmedReports() bool {
	for i, c := range m.reports {
		if c.TimedOut|c.Refused != 0 && !m.down.Has(i) {
			return true
		}
	}
	return false
}

// silentOnes: some are down and not by proof or their own word.
func (m *Member) hasUnresponsiveDown() bool {
	for i, c := range m.reports {
		if m.down.Has(i) && !m.failed.Has(i) && !c.Left && !m.isRejoining(i) {
			return true
		}
	}
	return false
}

// penalty notes that a name was removed without its will, and is not let in for a while.
func (m *Member) delayRejoin(name string) {
	record := m.removals[name]
	if record == nil {
		record = &removalRecord{}
		m.removals[name] = record
	}
	if m.now-record.last > removalMemory {
		record.count = 0
	}
	record.count, record.last = record.count+1, m.now
	record.rejoinAfter = m.now + min(m.RejoinDelay<<min(record.count-1, 8), maxBackoff)
	for name, record := range m.removals {
		if m.now-record.last > removalMemory {
			delete(m.removals, name)
		}
	}
}
