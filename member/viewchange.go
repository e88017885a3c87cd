package member

import "slices"

// installView replaces the current view.
func (m *Member) installView(v *View, reason string) {
	previous, previousSubjects := m.view, m.subjects
	if m.recentViews = append(m.recentViews, v); len(m.recentViews) > maxRecentViews {
		m.recentViews = slices.Delete(m.recentViews, 0, 1)
	}
	v = m.Shared.canonical(v)
	m.view, m.position = v, v.Index(m.Self().ID)
	m.rings = m.Shared.ringsOf(v, m.Watchers)
	m.reports = make([]Report, len(v.Members))
	for i := range m.reports {
		m.reports[i].Subject = i
	}
	m.digest, m.reportQueue = 0, nil
	m.round, m.promised, m.acceptedBallot, m.acceptedValue, m.roundVersion = nil, 0, 0, nil, 1
	m.down, m.failed = newBits(len(v.Members)), newBits(len(v.Members))
	m.sentRoundVersion = make([]int, len(m.rings.watchers[m.position]))
	m.sentValueBallot, m.sentDeadVersion = make([]uint32, len(m.sentRoundVersion)), make([]int, len(m.sentRoundVersion))
	m.dead, m.rejoining, m.deadVersion = newBits(len(v.Members)), newBits(len(v.Members)), 0
	m.lastChange, m.lastProgress, m.evaluationDue, m.pendingSince = m.now, m.now, true, 0
	m.subjects = map[int]*subject{}
	m.heartbeatTargets = slices.Clone(m.rings.watchers[m.position])
	for _, i := range m.rings.subjects[m.position] {
		s := &subject{lastHeard: m.now}
		if previous != nil { // silent members remain silent, and new ones have yet to learn of the view
			if j := previous.Index(v.Members[i].ID); j < 0 {
				s.lastHeard += m.SuspicionTimeout
			} else if previousSubjects[j] != nil {
				s = previousSubjects[j]
				s.reportedAt = 0
			}
		}
		m.subjects[i] = s
	}
	m.assignSubstitutes()
	if m.state != Leaving {
		m.state = Inside
	} else {
		m.mergeReport(Report{Subject: m.position, Left: true})
	}
	kept := m.pendingJoins[:0]
	for _, p := range m.pendingJoins {
		if i, found := v.find(p.ID.Name); !found || v.Members[i].ID.Incarnation < p.ID.Incarnation {
			kept = append(kept, p)
		}
	}
	m.pendingJoins, m.decisionSendsLeft, m.lastJoinForward = kept, min(2, len(m.sentRoundVersion)), 0
	m.knownAddresses = m.knownAddresses[:0]
	for _, p := range v.Members {
		m.knownAddresses = append(m.knownAddresses, p.Address)
	}
	for _, p := range kept {
		if i, found := v.find(p.ID.Name); found {
			m.rejoining.Set(i)
			m.deadVersion++
		}
	}
	for _, p := range v.Members {
		if address, ok := m.sponsored[p.ID]; ok {
			m.send(address, m.joinNotice(previous))
			delete(m.sponsored, p.ID)
		}
	}
	m.emit(Event{View: v, Reason: reason})
}

// joinNotice announces the view to a joiner, with the addresses of some members that have it: a member that sponsors many cannot
// serve all.
func (m *Member) joinNotice(previous *View) *Message {
	msg := &Message{Kind: JoinNotice, Hash: m.view.Hash()}
	if previous == nil {
		previous = m.view
	}
	for range min(4, len(previous.Members)) {
		if p := previous.Members[m.rng.IntN(len(previous.Members))]; m.view.Index(p.ID) >= 0 && p.ID != m.Self().ID {
			msg.Peers = append(msg.Peers, Peer{Address: p.Address})
		}
	}
	return msg
}

// exitView takes this member out of its view. It rejoins with a higher incarnation unless it left or was superseded.
func (m *Member) exitView(state State, reason string) {
	m.view, m.rings, m.subjects, m.reports, m.round, m.reportQueue = nil, nil, nil, nil, nil, nil
	m.state, m.outsideSince, m.nextHello, m.chunks, m.pendingJoins, m.fetchSource = state, m.now, m.now, nil, nil, ""
	m.history, m.recentViews, m.lastKnownUpdate = nil, nil, m.now
	clear(m.sponsored)
	if state == Outside {
		m.Config.Self.ID.Incarnation++
	}
	m.emit(Event{Reason: reason})
}
