package member

import (
	"slices"
	"time"
)

// handleGossip takes a heartbeat, ping or pong as a sign of life, and merges its contents.
func (m *Member) handleGossip(from string, msg *Message) {
	if m.view == nil || m.state == Left || m.state == Superseded {
		return
	}
	if msg.Lineage != m.view.Lineage {
		m.handleOtherLineage(from, msg)
		return
	}
	if i := m.view.Index(msg.From); i >= 0 {
		m.lastContact = m.now
		if s := m.subjects[i]; s != nil && msg.Kind != Ping {
			m.markAlive(i, s)
		}
	}
	if msg.View == m.view.Number && m.applyDecisions(msg.Decisions) {
		return // a member that was removed passes on the decision before it leaves the view
	}
	switch {
	case msg.View < m.view.Number:
		// The sender is behind: it gets the decisions it has missed. An unanswered ping would be repeated.
		if msg.Kind != Pong || len(msg.Decisions) == 0 {
			m.sendMissedDecisions(from, msg)
		}
		return
	case msg.View > m.view.Number:
		if !m.applyDecisions(msg.Decisions) {
			m.fetchView(from, msg)
			return
		}
		if m.view == nil || msg.View != m.view.Number {
			return
		}
	}
	n := len(m.view.Members)
	for _, report := range msg.Reports {
		if report.Subject < 0 || report.Subject >= n {
			m.dropped.Malformed++
			return
		}
		m.mergeReport(report)
	}
	if len(msg.Dead)+len(msg.Rejoining) > 0 {
		if !msg.Dead.fitsView(n) || !msg.Rejoining.fitsView(n) {
			m.dropped.Malformed++
			return
		}
		rejoiningChanged := m.rejoining.merge(msg.Rejoining)
		if m.dead.merge(msg.Dead) || rejoiningChanged {
			m.deadVersion++
			m.evaluationDue, m.lastChange = true, m.now
		}
	}
	for _, p := range msg.Peers {
		m.addPendingJoin(p)
	}
	if msg.Round != nil {
		m.mergeRound(msg.Round)
	}
	if r := m.round; r != nil && r.Value == nil && msg.Round != nil && msg.Round.HasValue && m.now-m.lastValueRequest > m.HeartbeatInterval {
		m.lastValueRequest = m.now
		m.send(from, &Message{Kind: Ping, Digest: m.digest})
	}
	if msg.Kind == Ping {
		m.send(from, m.piggyback(&Message{Kind: Pong}, -1))
	}
	if msg.Digest != m.digest && len(msg.Reports) == 0 { // the sender has other reports, and sent none
		m.requeueReports()
	}
}

// markAlive records a sign of life of a subject.
func (m *Member) markAlive(i int, s *subject) {
	if s.reportedAt > 0 { // a false report, or the subject is back: the next report takes longer
		s.refutations++
		s.suppressedUntil = m.now + min(m.SuspicionTimeout<<min(s.refutations, 6), maxBackoff)
		s.reportedAt = 0
		if report := m.reports[i]; report.TimedOut|report.Refused != 0 { // it should receive the report soon, to refute it
			m.enqueueReport(i, false)
		}
	}
	s.lastHeard, s.refusals = m.now, 0
}

// sendHeartbeats sends heartbeats to the watchers in turn.
func (m *Member) sendHeartbeats() {
	targets := m.heartbeatTargets
	if len(targets) == 0 || m.cannotReceive() {
		return
	}
	interval := m.HeartbeatInterval / time.Duration(len(targets))
	if m.nextHeartbeat < m.now-m.HeartbeatInterval { // after a pause and at the start: not all at once
		m.nextHeartbeat = m.now
	}
	for ; m.nextHeartbeat <= m.now; m.nextHeartbeat += interval {
		i := m.nextTarget % len(targets)
		m.nextTarget++
		switch {
		case m.failed.Has(targets[i]):
		case m.down.Has(targets[i]) && m.reports[targets[i]].TimedOut|m.reports[targets[i]].Refused != 0:
			// It needs the report to refute it; other updates would be lost on a member that is down.
			m.send(m.view.Members[targets[i]].Address, &Message{Kind: Heartbeat, Digest: m.digest, Reports: []Report{m.reports[targets[i]]}})
		default:
			m.send(m.view.Members[targets[i]].Address, m.piggyback(&Message{Kind: Heartbeat}, i))
		}
	}
}

// piggyback adds updates to a message, as far as the token bucket allows. A watcher gets each version of the round once, other
// receivers (watcher < 0) get it always.
func (m *Member) piggyback(msg *Message, watcher int) *Message {
	msg.Digest = m.digest
	room := min(MaxBytes, int(m.tokens)+80) - msg.EncodedSize() - 8
	if r := m.round; r != nil && (watcher < 0 || m.sentRoundVersion[watcher] != m.roundVersion) {
		round := r.pack()
		if round.HasValue = r.Value != nil; round.HasValue {
			// With a value the promises have served their purpose, and both together would not fit a datagram.
			round.Promises, round.AcceptedValue, round.AcceptedBallot = nil, nil, 0
		}
		// The value is long where many join: one watcher in five gets it unrequested and once, the others request it.
		if watcher >= 0 && (watcher%5 != int(r.Ballot)%5 && len(m.sentRoundVersion) > 4 || m.sentValueBallot[watcher] == r.Ballot) {
			round.Value, round.AcceptedValue, round.AcceptedBallot = nil, nil, 0
		}
		if round.bytes() <= room || round.Value != nil && round.bytes() <= MaxBytes-msg.EncodedSize() && m.tokens > -2*float64(m.BytesPerSecond) {
			// The value takes precedence over everything else.
			msg.Round = round
			room -= round.bytes()
			if watcher >= 0 {
				m.sentRoundVersion[watcher] = m.roundVersion
				if round.Value != nil {
					m.sentValueBallot[watcher] = r.Ballot
				}
			}
		}
	}
	if m.deadVersion > 0 && (watcher < 0 || m.sentDeadVersion[watcher] != m.deadVersion) && 8+2*len(m.dead) <= room {
		msg.Dead, msg.Rejoining = slices.Clone(m.dead), slices.Clone(m.rejoining)
		room -= 8 + 2*len(m.dead)
		if watcher >= 0 {
			m.sentDeadVersion[watcher] = m.deadVersion
		}
	}
	if n := len(m.history); m.decisionSendsLeft > 0 && n > 0 && 12+m.history[n-1].Change.bytes() <= room {
		msg.Decisions = m.history[n-1:]
		room -= 12 + m.history[n-1].Change.bytes()
		m.decisionSendsLeft--
	}
	kept := m.reportQueue[:0]
	for _, queued := range m.reportQueue {
		if room >= 14 {
			msg.Reports = append(msg.Reports, m.reports[queued.subject])
			room -= 14
			queued.sendsLeft--
		}
		if queued.sendsLeft > 0 {
			kept = append(kept, queued)
		}
	}
	m.reportQueue = kept
	if len(msg.Reports) > 0 && len(m.reportQueue) > 1 { // reports that did not fit go first next time
		cut := min(len(msg.Reports), len(m.reportQueue))
		m.reportQueue = append(slices.Clone(m.reportQueue[cut:]), m.reportQueue[:cut]...)
	}
	return msg
}

// forwardJoins sends joins that this member sponsors to the first two proposers. All others receive them as part of the change.
func (m *Member) forwardJoins() {
	if m.view == nil || len(m.sponsored) == 0 || m.now-m.lastJoinForward < m.HeartbeatInterval || m.lastJoinForward > 0 && (m.now-m.lastJoinForward < m.BallotTimeout || m.tokens < -float64(m.BytesPerSecond)) {
		return
	}
	m.lastJoinForward = m.now
	var joins []Peer
	size := 0
	for _, p := range m.pendingJoins {
		if size += p.bytes(); m.sponsored[p.ID] != "" && size <= maxJoinBytes {
			joins = append(joins, p)
		}
	}
	if len(joins) == 0 {
		return
	}
	sent := 0
	for rank := range m.view.Members {
		i := (m.firstProposer() + rank) % len(m.view.Members)
		if m.down.Has(i) {
			continue
		}
		if i != m.position {
			m.send(m.view.Members[i].Address, &Message{Kind: Heartbeat, Digest: m.digest, Peers: joins})
		}
		if sent++; sent == 2 {
			return
		}
	}
}
