package member

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// The vote on the view after this one: single-decree Paxos, whose promises and votes travel as sets that everybody merges. A ballot is
// owned by one member: position + 1 + round * size. Round 0 is for the first in the order alone, who may skip the promises: no lower ballot
// exists that anybody could have voted in.

func (r *Round) clone() *Round {
	c := *r
	c.Promises, c.Votes = slices.Clone(r.Promises), slices.Clone(r.Votes)
	return &c
}

// pack is a copy to be sent, in which an empty set is left out, and unpack one of what came.
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

// good: a round from elsewhere can be of this view.
func (r *Round) isValid(n int) bool {
	value := func(v *ViewChange) bool { return v == nil || v.isValid(n) }
	return r.Ballot > 0 && r.Failed.fitsView(n) && r.Promises.fitsView(n) && r.Votes.fitsView(n) && value(r.AcceptedValue) && value(r.Value) &&
		(r.AcceptedBallot == 0) == (r.AcceptedValue == nil)
}

// quorum is how many must agree: more than half of a view, so that any two such sets share a member; or, where so many are gone that this
// cannot be, all that are not gone. A member that lives and has heard of a decision is then among them, though those that made it are dead.
func quorumSize(n int, gone Bits) int { return min(n/2+1, n-gone.Count()) }

// order is the place of a position in this view's order of proposers, and first who has place 0.
func (m *Member) proposerRank(i int) int {
	n := len(m.view.Members)
	return (i + n - m.firstProposer()) % n
}

func (m *Member) firstProposer() int { return int(m.view.Number * 7919 % uint64(len(m.view.Members))) }

// ballot takes a round as another member has it.
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

// turned notes news of the vote.
func (m *Member) markProgress() {
	m.roundVersion++
	m.lastProgress = m.now
}

// answer adds this member's promise and vote where it owes them, lets the owner of the ballot go on, and counts.
func (m *Member) advanceRound() {
	r := m.round
	n := len(m.view.Members)
	included := !r.Failed.Has(m.position) // the gone are left out
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
		if r.Value == nil { // what there was to change has gone by: the same members again, which ends the vote
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

// change is what this member would have change: nil if nothing.
func (m *Member) nextChange() *ViewChange {
	m.evaluate()
	v := &ViewChange{Removed: slices.Clone(m.down)}
	size := 0
	if m.now-m.lastChange < m.ProposalDelay+m.BallotTimeout { // who is only silent may speak yet: where a cut ends, or shows, there is news all the time
		for i, c := range m.reports {
			if m.down.Has(i) && !m.failed.Has(i) && !c.Left && !m.isRejoining(i) {
				v.Removed[i/8] &^= 1 << (i % 8)
			}
		}
	}
	for _, p := range m.pendingJoins {
		if f := m.removals[p.ID.Name]; f != nil && m.now < f.rejoinAfter {
			continue
		}
		if i, there := m.view.find(p.ID.Name); there && !m.down.Has(i) {
			continue
		}
		// No more than were there: these alone are a quorum, while the others still fetch the view.
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

// vote starts a ballot where that is this member's turn.
func (m *Member) startBallot() {
	if m.view == nil || m.cannotReceive() {
		return
	}
	m.evaluate()
	n := len(m.view.Members)
	rank := 0 // of those that may propose
	for i := range n {
		if !m.down.Has(i) && m.proposerRank(i) < m.proposerRank(m.position) {
			rank++
		}
	}
	if m.down.Has(m.position) { // who leaves votes, and lets others propose
		return
	}
	if m.lacksQuorum() { // nobody to do it with; and when there is, the accused should speak first
		m.lastChange, m.pendingSince = m.now+m.BallotTimeout, 0
		return
	}
	quiet := m.now - m.lastChange
	if m.nextChange() == nil {
		m.pendingSince = 0
	} else if m.pendingSince == 0 {
		m.pendingSince = m.now
	} else if pendingShare := (m.now - m.pendingSince) / 3; pendingShare > quiet && !m.hasUnconfirmedReports() && !m.hasUnresponsiveDown() { // there is always something new where many come
		quiet = pendingShare
	}
	delay := m.ProposalDelay + time.Duration(rank)*m.BallotTimeout
	if len(m.pendingJoins)*m.Self().bytes() > maxJoinBytes { // more than one change takes: no use to wait for more
		delay -= m.ProposalDelay
	}
	if m.hasUnconfirmedReports() || m.hasUnresponsiveDown() { // more is likely to come: a cut shows one by one
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
		return // nothing to do
	}
	m.round = &Round{Ballot: ballot, Failed: slices.Clone(m.failed), Promises: newBits(n), Votes: newBits(n)}
	if ballot <= uint32(n) {
		m.round.Value = value
	}
	m.markProgress()
	m.advanceRound()
}

// decided goes on to the next view.
func (m *Member) applyDecision(v ViewChange) {
	step := Decision{From: m.view.Number, Change: v}
	m.history = append(m.history, step)
	if len(m.history) > maxHistory {
		m.history = slices.Delete(m.history, 0, len(m.history)-maxHistory)
	}
	m.enterNextView(step)
}

// apply makes the view after a change this member's.
func (m *Member) enterNextView(s Decision) {
	next := m.view.next(&s.Change)
	removed := s.Change.Removed.Count()
	for i, p := range m.view.Members {
		// Who left, or has another process in its place, did not flap.
		if s.Change.Removed.Has(i) && !m.reports[i].Left && !slices.ContainsFunc(s.Change.Joined, func(j Peer) bool { return j.ID.Name == p.ID.Name }) {
			m.delayRejoin(p.ID.Name)
		}
	}
	if next.Index(m.Self().ID) < 0 {
		for _, w := range m.heartbeatTargets { // the one vote that was missing may have been this one's, and nobody else knows
			m.send(m.view.Members[w].Address, &Message{Kind: Heartbeat, Decisions: []Decision{s}})
		}
		m.handleExclusion(next)
		return
	}
	m.installView(next, changeReason(removed, len(s.Change.Joined)))
}

// without takes this member out of a view that it is not in.
func (m *Member) handleExclusion(v *View) {
	_, nameTaken := v.find(m.Self().ID.Name)
	switch {
	case nameTaken:
		m.exitView(Superseded, "another process of this name is in")
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

// follow takes changes that lead on from this member's view, and reports whether there were any.
func (m *Member) applyDecisions(steps []Decision) (moved bool) {
	for _, s := range steps {
		if m.view == nil || s.From != m.view.Number {
			continue
		}
		if !s.Change.isValid(len(m.view.Members)) {
			m.dropped.Malformed++
			return moved
		}
		m.applyDecision(s.Change)
		moved = true
	}
	return moved
}

// catchUp tells a member that is behind what it has missed, as far as it is remembered; if it is not, that one fetches the view.
func (m *Member) sendMissedDecisions(to string, msg *Message) {
	if m.tokens < 0 {
		return // it will ask again
	}
	response := &Message{Kind: Pong, Digest: m.digest}
	room := MaxBytes - response.EncodedSize() - 40
	at, ok := slices.BinarySearchFunc(m.history, msg.View, func(s Decision, number uint64) int { return cmp.Compare(s.From, number) })
	if ok {
		for _, s := range m.history[at:] {
			if size := 12 + s.Change.bytes(); size <= room {
				response.Decisions = append(response.Decisions, s)
				room -= size
				continue
			}
			break
		}
	}
	response.Hash = m.view.Hash()
	m.send(to, response)
}
