package member

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// The next view is decided by single-decree Paxos, whose promises and votes are sets that are gossiped and merged. A ballot
// belongs to one member: position + 1 + round * size. Round 0 is reserved for the first proposer, who may skip the promises: there
// is no lower ballot in which anybody could have voted.

func (r *Round) clone() *Round {
	c := *r
	c.Promises, c.Votes = slices.Clone(r.Promises), slices.Clone(r.Votes)
	return &c
}

// pack returns a copy to send, without empty sets; unpack returns a copy of a received round, with them.
func (r *Round) pack() *Round {
	c := r.clone()
	for _, b := range []*Bits{&c.Failed, &c.Promises, &c.Votes} {
		if b.Count() == 0 {
			*b = nil
		}
	}
	return c
}

func (r *Round) unpack(n int) *Round {
	c := r.clone()
	for _, b := range []*Bits{&c.Failed, &c.Promises, &c.Votes} {
		if len(*b) == 0 {
			*b = newBits(n)
		}
	}
	return c
}

func (v *ViewChange) equal(w *ViewChange) bool {
	if v == nil || w == nil {
		return v == w
	}
	return bytes.Equal(v.Removed, w.Removed) && slices.Equal(v.Joined, w.Joined)
}

// isValid reports whether a received round is possible in a view of n members.
func (r *Round) isValid(n int) bool {
	value := func(v *ViewChange) bool { return v == nil || v.isValid(n) }
	return r.Ballot > 0 && r.Failed.fitsView(n) && r.Promises.fitsView(n) && r.Votes.fitsView(n) && value(r.AcceptedValue) && value(r.Value) &&
		(r.AcceptedBallot == 0) == (r.AcceptedValue == nil)
}

// quorumSize returns how many members must agree: more than half of the view, so that any two quorums share a member; or, where
// too many have failed for that, all that have not. Any live member that has received a decision is then among them, even if those
// that made it are dead.
func quorumSize(n int, failed Bits) int { return min(n/2+1, n-failed.Count()) }

// proposerRank returns the rank of a position in this view's order of proposers, and firstProposer the position of rank 0.
func (m *Member) proposerRank(i int) int {
	n := len(m.view.Members)
	return (i + n - m.firstProposer()) % n
}

func (m *Member) firstProposer() int { return int(m.view.Number * 7919 % uint64(len(m.view.Members))) }

// mergeRound merges the round received from another member.
func (m *Member) mergeRound(r *Round) {
	n := len(m.view.Members)
	if r = r.unpack(n); !r.isValid(n) {
		m.dropped.Malformed++
		return
	}
	switch {
	case m.round == nil || r.Ballot > m.round.Ballot:
		m.round = r
		m.markProgress()
	case r.Ballot < m.round.Ballot:
		return
	default:
		changed := m.round.Promises.merge(r.Promises)
		changed = m.round.Votes.merge(r.Votes) || changed
		if r.AcceptedBallot > m.round.AcceptedBallot {
			m.round.AcceptedBallot, m.round.AcceptedValue, changed = r.AcceptedBallot, r.AcceptedValue, true
		}
		if m.round.Value == nil && r.Value != nil {
			m.round.Value, changed = r.Value, true
		}
		if changed {
			m.markProgress()
		}
	}
	m.advanceRound()
}

// markProgress records a change of the round.
func (m *Member) markProgress() {
	m.roundVersion++
	m.lastProgress = m.now
}

// advanceRound adds this member's promise and vote where they are due, sets the value of its own ballot, and counts the votes.
func (m *Member) advanceRound() {
	r := m.round
	n := len(m.view.Members)
	included := !r.Failed.Has(m.position) // failed members are not part of the quorum
	if r.Ballot > m.promised {
		m.promised = r.Ballot
	}
	if r.Ballot == m.promised && r.Value == nil && included && !r.Promises.Has(m.position) {
		r.Promises.Set(m.position)
		if m.acceptedBallot > r.AcceptedBallot {
			r.AcceptedBallot, r.AcceptedValue = m.acceptedBallot, m.acceptedValue
		}
		m.markProgress()
	}
	owner := int(r.Ballot-1) % n
	if owner == m.position && r.Value == nil && r.Promises.Count() >= quorumSize(n, r.Failed) {
		if r.Value = r.AcceptedValue; r.Value == nil {
			r.Value = m.nextChange()
		}
		if r.Value == nil { // the change is obsolete: an empty one keeps the same members and ends the ballot
			r.Value = &ViewChange{}
		}
		m.markProgress()
	}
	if r.Value != nil && r.Ballot == m.promised && included && !r.Votes.Has(m.position) {
		m.acceptedBallot, m.acceptedValue = r.Ballot, r.Value
		r.Votes.Set(m.position)
		m.markProgress()
	}
	if r.Value != nil && r.Votes.Count() >= quorumSize(n, r.Failed) {
		m.applyDecision(*r.Value)
	}
}

// nextChange returns the change that this member would propose, or nil.
func (m *Member) nextChange() *ViewChange {
	m.evaluate()
	v := &ViewChange{Removed: slices.Clone(m.down)}
	size := 0
	if m.now-m.lastChange < m.ProposalDelay+m.BallotTimeout {
		// Unresponsive members may still refute: where a partition begins or ends, reports change all the time.
		for i, report := range m.reports {
			if m.down.Has(i) && !m.failed.Has(i) && !report.Left && !m.isRejoining(i) {
				v.Removed[i/8] &^= 1 << (i % 8)
			}
		}
	}
	for _, p := range m.pendingJoins {
		if record := m.removals[p.ID.Name]; record != nil && m.now < record.rejoinAfter {
			continue
		}
		if i, found := m.view.find(p.ID.Name); found && !m.down.Has(i) {
			continue
		}
		// Fewer than the present members, who form a quorum on their own while the new ones still fetch the view.
		if size += p.bytes(); size <= maxJoinBytes && len(v.Joined) < max(1, len(m.view.Members)-1) {
			v.Joined = append(v.Joined, p)
		}
	}
	switch v.Removed.Count() {
	case len(m.view.Members):
		return nil
	case 0:
		if v.Removed = nil; len(v.Joined) == 0 {
			return nil
		}
	}
	return v
}

// startBallot starts a ballot when it is this member's turn.
func (m *Member) startBallot() {
	if m.view == nil || m.cannotReceive() {
		return
	}
	m.evaluate()
	n := len(m.view.Members)
	rank := 0 // among the members that may propose
	for i := range n {
		if !m.down.Has(i) && m.proposerRank(i) < m.proposerRank(m.position) {
			rank++
		}
	}
	if m.down.Has(m.position) { // a departing member votes, but lets others propose
		return
	}
	if m.lacksQuorum() { // nothing can be agreed; once it can, reported members should refute first
		m.lastChange, m.pendingSince = m.now+m.BallotTimeout, 0
		return
	}
	quiet := m.now - m.lastChange
	if m.nextChange() == nil {
		m.pendingSince = 0
	} else if m.pendingSince == 0 {
		m.pendingSince = m.now
	} else if pendingShare := (m.now - m.pendingSince) / 3; pendingShare > quiet && !m.hasUnconfirmedReports() && !m.hasUnresponsiveDown() {
		// Where many join, changes never cease: a third of the time waited counts as quiet.
		quiet = pendingShare
	}
	delay := m.ProposalDelay + time.Duration(rank)*m.BallotTimeout
	if len(m.pendingJoins)*m.Self().bytes() > maxJoinBytes { // more than one change can hold: waiting for more is useless
		delay -= m.ProposalDelay
	}
	if m.hasUnconfirmedReports() || m.hasUnresponsiveDown() { // more reports are likely: a partition is detected member by member
		delay += m.BallotTimeout
	}
	var ballot uint32
	switch {
	case m.round == nil && quiet >= delay && m.proposerRank(m.position) == 0 && m.promised == 0:
		ballot = uint32(m.position) + 1
	case m.round == nil && quiet >= delay && m.proposerRank(m.position) > 0,
		m.round != nil && m.now-m.lastProgress >= m.BallotTimeout*time.Duration(1+rank):
		ballot = uint32(m.position) + 1 + uint32(n)
		for ballot <= m.promised || m.round != nil && ballot <= m.round.Ballot {
			ballot += uint32(n)
		}
	default:
		return
	}
	value := m.nextChange()
	if m.round == nil && value == nil {
		return
	}
	m.round = &Round{Ballot: ballot, Failed: slices.Clone(m.failed), Promises: newBits(n), Votes: newBits(n)}
	if ballot <= uint32(n) {
		m.round.Value = value
	}
	m.markProgress()
	m.advanceRound()
}

// applyDecision records a decided change and enters the next view.
func (m *Member) applyDecision(change ViewChange) {
	decision := Decision{From: m.view.Number, Change: change}
	m.history = append(m.history, decision)
	if len(m.history) > maxHistory {
		m.history = slices.Delete(m.history, 0, len(m.history)-maxHistory)
	}
	m.enterNextView(decision)
}

// enterNextView installs the view after a decision.
func (m *Member) enterNextView(decision Decision) {
	next := m.view.next(&decision.Change)
	removed := decision.Change.Removed.Count()
	for i, p := range m.view.Members {
		// Members that left or were replaced by a process of the same name did not flap.
		if decision.Change.Removed.Has(i) && !m.reports[i].Left && !slices.ContainsFunc(decision.Change.Joined, func(j Peer) bool { return j.ID.Name == p.ID.Name }) {
			m.delayRejoin(p.ID.Name)
		}
	}
	if next.Index(m.Self().ID) < 0 {
		for _, w := range m.heartbeatTargets { // this member's vote may have been the deciding one, and no other member has the decision
			m.send(m.view.Members[w].Address, &Message{Kind: Heartbeat, Decisions: []Decision{decision}})
		}
		m.handleExclusion(next)
		return
	}
	m.installView(next, changeReason(removed, len(decision.Change.Joined)))
}

// handleExclusion takes this member out of a view that no longer lists it.
func (m *Member) handleExclusion(v *View) {
	_, nameTaken := v.find(m.Self().ID.Name)
	switch {
	case nameTaken:
		m.exitView(Superseded, "another process of this name is a member")
	case m.state == Leaving:
		m.exitView(Left, "left")
	default:
		m.exitView(Outside, "removed by the others")
	}
}

func changeReason(removed, joined int) string {
	switch {
	case removed == 0:
		return "joined"
	case joined == 0:
		return "removed"
	}
	return "removed and joined"
}

// applyDecisions applies decisions that lead on from the current view, and reports whether there were any.
func (m *Member) applyDecisions(decisions []Decision) (moved bool) {
	for _, decision := range decisions {
		if m.view == nil || decision.From != m.view.Number {
			continue
		}
		if !decision.Change.isValid(len(m.view.Members)) {
			m.dropped.Malformed++
			return moved
		}
		m.applyDecision(decision.Change)
		moved = true
	}
	return moved
}

// sendMissedDecisions sends a member that is behind the decisions it has missed, if they are still in the history; otherwise it
// fetches the view.
func (m *Member) sendMissedDecisions(to string, msg *Message) {
	if m.tokens < 0 {
		return // it will ask again
	}
	response := &Message{Kind: Pong, Digest: m.digest}
	room := MaxBytes - response.EncodedSize() - 40
	at, ok := slices.BinarySearchFunc(m.history, msg.View, func(decision Decision, number uint64) int { return cmp.Compare(decision.From, number) })
	if ok {
		for _, decision := range m.history[at:] {
			if size := 12 + decision.Change.bytes(); size <= room {
				response.Decisions = append(response.Decisions, decision)
				room -= size
				continue
			}
			break
		}
	}
	response.Hash = m.view.Hash()
	m.send(to, response)
}
