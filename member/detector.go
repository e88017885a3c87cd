package member

import (
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mergeReport merges a report: a later generation of the subject clears the reports on earlier ones, and within one generation all
// bits are combined.
func (m *Member) mergeReport(report Report) {
	have := &m.reports[report.Subject]
	valid := uint16(1)<<len(m.rings.watchers[report.Subject]) - 1
	report.TimedOut &= valid
	report.Refused &= valid
	next := *have
	if report.Generation > next.Generation {
		next = Report{Subject: report.Subject, Generation: report.Generation, Left: next.Left}
	}
	if report.Generation == next.Generation {
		next.TimedOut |= report.TimedOut
		next.Refused |= report.Refused
	}
	next.Left = next.Left || report.Left
	if next == *have {
		return
	}
	raised := next.Generation > have.Generation || next.Left && !have.Left
	*have = next
	m.evaluationDue, m.lastChange = true, m.now
	if raised || !m.dead.Has(report.Subject) { // reports on the dead are not gossiped any more
		m.enqueueReport(report.Subject, raised)
	}
	if report.Subject == m.position && next.TimedOut|next.Refused != 0 && m.state == Inside && m.Disabled&Refutation == 0 {
		// The reported member refutes.
		m.mergeReport(Report{Subject: m.position, Generation: next.Generation + 1})
	}
}

// reportDigest returns a report's share of the digest; 0 for an empty report.
func reportDigest(report Report) uint32 {
	if report.Generation == 0 && report.TimedOut|report.Refused == 0 && !report.Left {
		return 0
	}
	x := uint64(report.Subject+1)*0x9e3779b97f4a7c15 ^ uint64(report.Generation)<<33 ^ uint64(report.TimedOut)<<16 ^ uint64(report.Refused)
	if report.Left {
		x ^= 1 << 62
	}
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return uint32(x >> 32)
}

// enqueueReport queues a report for gossip.
func (m *Member) enqueueReport(subject int, refutation bool) {
	// Half of the watchers suffice to reach all members even if a third of the messages is lost; digests reveal what was missed.
	times := (len(m.sentRoundVersion) + 1) / 2
	i := slices.IndexFunc(m.reportQueue, func(queued queuedReport) bool { return queued.subject == subject })
	if refutation { // a refutation precedes all reports and is sent twice as often
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

// requeueReports queues all reports once more: some member has missed some.
func (m *Member) requeueReports() {
	if len(m.reportQueue) > 0 || m.now-m.lastRequeue < m.BallotTimeout {
		return
	}
	m.lastRequeue = m.now
	for i := range m.sentDeadVersion {
		m.sentDeadVersion[i] = -1
	}
	for i, report := range m.reports {
		if reportDigest(report) != 0 && !m.dead.Has(i) {
			m.reportQueue = append(m.reportQueue, queuedReport{i, 1})
		}
	}
}

// probeSubjects pings silent subjects and reports those that remain silent.
func (m *Member) probeSubjects() {
	selfSuspected := m.suspectsSelf()
	for i := range m.view.Members { // not in map order: what is sent must be deterministic
		s := m.subjects[i]
		if s == nil || m.watcherBits[i] == 0 {
			continue
		}
		silence := m.now - s.lastHeard
		if silence <= m.PingAfter {
			continue
		}
		interval := max(m.PingAfter/4, silence/4)
		if m.failed.Has(i) { // rarely: a process of another lineage may be there
			interval = max(interval, slowInterval)
		}
		if m.now-s.lastPing >= interval { // more than the required two pings in another PingAfter, then at growing intervals
			s.lastPing = m.now
			// A failed member would lose other updates, but a reported one needs the report to refute it.
			m.send(m.view.Members[i].Address, &Message{Kind: Ping, Digest: m.digest, Reports: []Report{m.reports[i]}})
		}
		report := m.reports[i]
		bit := m.watcherBits[i]
		if m.now < s.suppressedUntil || m.cannotReceive() {
			continue
		}
		if s.refusals >= refusalsForProof && report.Refused&bit != bit {
			s.reportedAt = m.now
			m.mergeReport(Report{Subject: i, Generation: report.Generation, Refused: bit})
		} else if silence > m.SuspicionTimeout && report.TimedOut&bit != bit && !selfSuspected {
			s.reportedAt = m.now
			m.mergeReport(Report{Subject: i, Generation: report.Generation, TimedOut: bit})
		}
	}
}

// suspectsSelf reports whether so many subjects are silent, without being proven dead, that this member is more likely to be
// partitioned.
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

// cannotReceive reports whether this member has received nothing for so long that others should not assume that it receives
// anything.
func (m *Member) cannotReceive() bool {
	return m.Disabled&SelfSuspicion == 0 && len(m.view.Members) > 2 && m.now-m.lastContact > m.SuspicionTimeout
}

// evaluate computes which members are down and which have failed, if reports or joins have changed.
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
	for i, report := range m.reports {
		if report.Left || m.isRejoining(i) { // it is alive and may have voted, so it has not failed
			m.down.Set(i)
			if report.TimedOut|report.Refused == 0 {
				m.downVoters++
			}
		}
	}
	// A refusal is proof, unlike a time-out: two watchers suffice, which guards against a wrong address, or one if no other is
	// left. The watchers of a dead member may be dead as well, so all refused members are assumed to have failed at first.
	for i, report := range m.reports {
		if report.Refused != 0 {
			m.failed.Set(i)
		}
	}
	for changed := true; changed; {
		changed = false
		for i, report := range m.reports {
			if m.failed.Has(i) && bits.OnesCount16(report.Refused) < max(1, min(2, m.remainingWatchers(i, m.failed))) {
				m.failed[i/8] &^= 1 << (i % 8)
				changed = true
			}
		}
	}
	// Results of other members count as well: after hundreds of failures single reports would take long to spread.
	for i, report := range m.reports {
		if report.Generation > 0 { // it has refuted since
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
	// The digest omits reports on the dead, which are no longer gossiped.
	m.digest = uint32(xxhash.Sum64(m.dead))
	for i, report := range m.reports {
		if !m.dead.Has(i) {
			m.digest ^= reportDigest(report)
		}
	}
	m.down.merge(m.failed)
	// A time-out proves nothing: a member is down when enough of its watchers report it that are not down themselves. Reports of
	// watchers that are down do not count, so each member that goes down may bring others down.
	for changed := true; changed; {
		changed = false
		for i, report := range m.reports {
			if report.TimedOut|report.Refused != 0 && !m.down.Has(i) && m.reachesHighWatermark(i, report.TimedOut|report.Refused, m.down) {
				m.down.Set(i)
				changed = true
			}
		}
	}
	// A member with some reports, but not enough, may be partitioned together with its other watchers. Where more than a quarter
	// of all members are reported by any watcher, a partition is more likely than so many wrong reports: then a single report
	// counts.
	m.possiblyPartitioned = 0
	reported := 0
	for i, report := range m.reports {
		n := m.reportingWatchers(i, report.TimedOut|report.Refused, m.down)
		if m.down.Has(i) || n == 0 {
			continue
		}
		if reported++; n >= int(math.Ceil(lowWatermark*float64(m.remainingWatchers(i, m.down)))) {
			m.possiblyPartitioned++
		}
	}
	if 4*reported > len(m.reports) { // a few of the partitioned members have no watcher on this side
		m.possiblyPartitioned = reported + reported/16 + 1
	}
	for i := range m.reports {
		if report := m.reports[i]; report.TimedOut|report.Refused != 0 && m.isRejoining(i) && m.reachesHighWatermark(i, report.TimedOut|report.Refused, m.down) {
			m.failed.Set(i)
		}
	}
}

// watchersOutside returns the number of a subject's watchers that are not excluded.
func (m *Member) remainingWatchers(subject int, excluded Bits) (n int) {
	for _, w := range m.rings.watchers[subject] {
		if !excluded.Has(w) {
			n++
		}
	}
	return n
}

// reportingWatchers returns the number of a subject's watchers that report it and are not excluded.
func (m *Member) reportingWatchers(subject int, reports uint16, excluded Bits) (n int) {
	for bit, w := range m.rings.watchers[subject] {
		if !excluded.Has(w) && reports>>bit&1 != 0 {
			n++
		}
	}
	return n
}

// reachesHighWatermark reports whether enough of a subject's watchers, not excluded themselves, report it.
func (m *Member) reachesHighWatermark(subject int, reports uint16, excluded Bits) bool {
	need := max(1, int(math.Ceil(highWatermark*float64(m.remainingWatchers(subject, excluded)))))
	if m.Disabled&Watermarks != 0 {
		need = 1
	}
	return m.reportingWatchers(subject, reports, excluded) >= need
}

// assignSubstitutes lets this member watch in place of failed watchers, and send heartbeats to the substitutes of its own. Where
// most members are dead, all watchers of some would be, and nobody would report them.
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

// lacksQuorum reports whether too few members remain to agree, without those that are down or possibly partitioned.
func (m *Member) lacksQuorum() bool {
	n := len(m.view.Members)
	return n-m.down.Count()+m.downVoters-m.possiblyPartitioned < quorumSize(n, m.failed) || m.suspectsSelf()
}

// isRejoining reports whether a later process of the same name requests to join.
func (m *Member) isRejoining(i int) bool { return m.rejoining.Has(i) }

// hasUnconfirmedReports reports whether members are reported by too few watchers.
func (m *Member) hasUnconfirmedReports() bool {
	for i, report := range m.reports {
		if report.TimedOut|report.Refused != 0 && !m.down.Has(i) {
			return true
		}
	}
	return false
}

// hasUnresponsiveDown reports whether members are down because of time-outs alone, neither by proof nor by their own announcement.
func (m *Member) hasUnresponsiveDown() bool {
	for i, report := range m.reports {
		if m.down.Has(i) && !m.failed.Has(i) && !report.Left && !m.isRejoining(i) {
			return true
		}
	}
	return false
}

// delayRejoin records that a name was removed against its will, and delays its next admission.
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
