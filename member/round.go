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
func (r *Round) good(n int) bool {
	value := func(v *ViewChange) bool { return v == nil || v.good(n) }
	return r.Ballot > 0 && r.Failed.fits(n) && r.Promises.fits(n) && r.Votes.fits(n) && value(r.AcceptedValue) && value(r.Value) &&
		(r.AcceptedBallot == 0) == (r.AcceptedValue == nil)
}

// quorum is how many must agree: more than half of a view, so that any two such sets share a member; or, where so many are gone that this
// cannot be, all that are not gone. A member that lives and has heard of a decision is then among them, though those that made it are dead.
func quorum(n int, gone Bits) int { return min(n/2+1, n-gone.Count()) }

// order is the place of a position in this view's order of proposers, and first who has place 0.
func (m *Member) order(i int) int {
	n := len(m.view.Members)
	return (i + n - m.first()) % n
}

func (m *Member) first() int { return int(m.view.Number * 7919 % uint64(len(m.view.Members))) }

// ballot takes a round as another member has it.
func (m *Member) ballot(r *Round) {
	n := len(m.view.Members)
	if r = r.unpack(n); !r.good(n) {
		m.dropped.Malformed++
		return
	}
	switch {
	case m.round == nil || r.Ballot > m.round.Ballot:
		m.round = r
		m.turned()
	case r.Ballot < m.round.Ballot:
		return
	default:
		changed := m.round.Promises.or(r.Promises)
		changed = m.round.Votes.or(r.Votes) || changed
		if r.AcceptedBallot > m.round.AcceptedBallot {
			m.round.AcceptedBallot, m.round.AcceptedValue, changed = r.AcceptedBallot, r.AcceptedValue, true
		}
		if m.round.Value == nil && r.Value != nil {
			m.round.Value, changed = r.Value, true
		}
		if changed {
			m.turned()
		}
	}
	m.answer()
}

// turned notes news of the vote.
func (m *Member) turned() {
	m.version++
	m.moved = m.now
}

// answer adds this member's promise and vote where it owes them, lets the owner of the ballot go on, and counts.
func (m *Member) answer() {
	r := m.round
	n := len(m.view.Members)
	mine := !r.Failed.Has(m.at) // the gone are left out
	if r.Ballot > m.promised {
		m.promised = r.Ballot
	}
	if r.Ballot == m.promised && r.Value == nil && mine && !r.Promises.Has(m.at) {
		r.Promises.Set(m.at)
		if m.accepted > r.AcceptedBallot {
			r.AcceptedBallot, r.AcceptedValue = m.accepted, m.voted
		}
		m.turned()
	}
	owner := int(r.Ballot-1) % n
	if owner == m.at && r.Value == nil && r.Promises.Count() >= quorum(n, r.Failed) {
		if r.Value = r.AcceptedValue; r.Value == nil {
			r.Value = m.change()
		}
		if r.Value == nil { // what there was to change has gone by: the same members again, which ends the vote
			r.Value = &ViewChange{}
		}
		m.turned()
	}
	if r.Value != nil && r.Ballot == m.promised && mine && !r.Votes.Has(m.at) {
		m.accepted, m.voted = r.Ballot, r.Value
		r.Votes.Set(m.at)
		m.turned()
	}
	if r.Value != nil && r.Votes.Count() >= quorum(n, r.Failed) {
		m.decided(*r.Value)
	}
}

// change is what this member would have change: nil if nothing.
func (m *Member) change() *ViewChange {
	m.judge()
	v := &ViewChange{Removed: slices.Clone(m.down)}
	size := 0
	if m.now-m.changed < m.ProposalDelay+m.BallotTimeout { // who is only silent may speak yet: where a cut ends, or shows, there is news all the time
		for i, c := range m.charges {
			if m.down.Has(i) && !m.gone.Has(i) && !c.Left && !m.replaced(i) {
				v.Removed[i/8] &^= 1 << (i % 8)
			}
		}
	}
	for _, p := range m.joins {
		if f := m.flaps[p.ID.Name]; f != nil && m.now < f.until {
			continue
		}
		if i, there := m.view.find(p.ID.Name); there && !m.down.Has(i) {
			continue
		}
		// No more than were there: these alone are a quorum, while the others still fetch the view.
		if size += p.bytes(); size <= joinRoom && len(v.Joined) < max(1, len(m.view.Members)-1) {
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
func (m *Member) vote() {
	if m.view == nil || m.deaf() {
		return
	}
	m.judge()
	n := len(m.view.Members)
	rank := 0 // of those that may propose
	for i := range n {
		if !m.down.Has(i) && m.order(i) < m.order(m.at) {
			rank++
		}
	}
	if m.down.Has(m.at) { // who leaves votes, and lets others propose
		return
	}
	if m.alone() { // nobody to do it with; and when there is, the accused should speak first
		m.changed, m.pending = m.now+m.BallotTimeout, 0
		return
	}
	quiet := m.now - m.changed
	if m.change() == nil {
		m.pending = 0
	} else if m.pending == 0 {
		m.pending = m.now
	} else if waited := (m.now - m.pending) / 3; waited > quiet && !m.unsure() && !m.silentOnes() { // there is always something new where many come
		quiet = waited
	}
	patience := m.ProposalDelay + time.Duration(rank)*m.BallotTimeout
	if len(m.joins)*m.Self().bytes() > joinRoom { // more than one change takes: no use to wait for more
		patience -= m.ProposalDelay
	}
	if m.unsure() || m.silentOnes() { // more is likely to come: a cut shows one by one
		patience += m.BallotTimeout
	}
	var ballot uint32
	switch {
	case m.round == nil && quiet >= patience && m.order(m.at) == 0 && m.promised == 0:
		ballot = uint32(m.at) + 1
	case m.round == nil && quiet >= patience && m.order(m.at) > 0,
		m.round != nil && m.now-m.moved >= m.BallotTimeout*time.Duration(1+rank):
		ballot = uint32(m.at) + 1 + uint32(n)
		for ballot <= m.promised || m.round != nil && ballot <= m.round.Ballot {
			ballot += uint32(n)
		}
	default:
		return
	}
	value := m.change()
	if m.round == nil && value == nil {
		return // nothing to do
	}
	m.round = &Round{Ballot: ballot, Failed: slices.Clone(m.gone), Promises: newBits(n), Votes: newBits(n)}
	if ballot <= uint32(n) {
		m.round.Value = value
	}
	m.turned()
	m.answer()
}

// decided goes on to the next view.
func (m *Member) decided(v ViewChange) {
	step := Decision{From: m.view.Number, Change: v}
	m.history = append(m.history, step)
	if len(m.history) > historyLen {
		m.history = slices.Delete(m.history, 0, len(m.history)-historyLen)
	}
	m.apply(step)
}

// apply makes the view after a change this member's.
func (m *Member) apply(s Decision) {
	next := m.view.next(&s.Change)
	removed := s.Change.Removed.Count()
	for i, p := range m.view.Members {
		// Who left, or has another process in its place, did not flap.
		if s.Change.Removed.Has(i) && !m.charges[i].Left && !slices.ContainsFunc(s.Change.Joined, func(j Peer) bool { return j.ID.Name == p.ID.Name }) {
			m.penalty(p.ID.Name)
		}
	}
	if next.Index(m.Self().ID) < 0 {
		for _, w := range m.targets { // the one vote that was missing may have been this one's, and nobody else knows
			m.send(m.view.Members[w].Address, &Message{Kind: Heartbeat, Decisions: []Decision{s}})
		}
		m.without(next)
		return
	}
	m.install(next, reason(removed, len(s.Change.Joined)))
}

// without takes this member out of a view that it is not in.
func (m *Member) without(v *View) {
	_, same := v.find(m.Self().ID.Name)
	switch {
	case same:
		m.away(Superseded, "another process of this name is in")
	case m.state == Leaving:
		m.away(Left, "left")
	default:
		m.away(Outside, "removed by the others")
	}
}

func reason(removed, joined int) string {
	switch {
	case removed == 0:
		return "joined"
	case joined == 0:
		return "removed"
	}
	return "removed and joined"
}

// follow takes changes that lead on from this member's view, and reports whether there were any.
func (m *Member) follow(steps []Decision) (moved bool) {
	for _, s := range steps {
		if m.view == nil || s.From != m.view.Number {
			continue
		}
		if !s.Change.good(len(m.view.Members)) {
			m.dropped.Malformed++
			return moved
		}
		m.decided(s.Change)
		moved = true
	}
	return moved
}

// catchUp tells a member that is behind what it has missed, as far as it is remembered; if it is not, that one fetches the view.
func (m *Member) catchUp(to string, msg *Message) {
	if m.fill < 0 {
		return // it will ask again
	}
	answer := &Message{Kind: Pong, Digest: m.digest}
	room := MaxBytes - answer.EncodedSize() - 40
	at, ok := slices.BinarySearchFunc(m.history, msg.View, func(s Decision, number uint64) int { return cmp.Compare(s.From, number) })
	if ok {
		for _, s := range m.history[at:] {
			if size := 12 + s.Change.bytes(); size <= room {
				answer.Decisions = append(answer.Decisions, s)
				room -= size
				continue
			}
			break
		}
	}
	answer.Hash = m.view.Hash()
	m.send(to, answer)
}
