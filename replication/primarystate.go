package replication

import (
	"slices"
	"time"
)

// primaryState is the state of an elector that is the primary of an installed view.
type primaryState struct {
	view              ControlView
	startedAt         time.Duration
	lastHeard         map[MemberID]time.Duration // time of the last answer of each peer of the view
	leaving           map[MemberID]bool
	hasView           map[MemberID]bool // peers that have the view
	removed           []Peer            // peers of earlier views that are not in this one; they are notified of it
	promisedElsewhere map[MemberID]bool // witnesses that promised a higher epoch to another candidate
	contestedSince    time.Duration     // since when the other witnesses are no majority; zero while they are one
	offered           map[MemberID]bool
	mustChangeView    bool // a view change was abandoned after the replica had left this epoch, so another one must follow
	round             uint64
	sentAt            time.Duration
	handedOverAt      time.Duration
}

func (s *primaryState) epoch() uint64 { return s.view.Epoch }

// isLive reports whether a process was heard from recently and is not shutting down. A process of the view must have answered, since it may
// be able to send and not to receive.
func (s *primaryState) isLive(e *Elector, id MemberID) bool {
	if id == e.o.Self.Member {
		return true
	}
	at, ok := s.lastHeard[id]
	if intro, introduced := e.introduced[id]; introduced && !ok {
		at, ok = intro.at, true
	}
	return ok && e.now-at < e.o.ElectionTimeout && !s.leaving[id] && !e.isDiskReplaced(id)
}

func (s *primaryState) hearsFromMajority(e *Elector) bool {
	return hasMajority(s.view.Witnesses, func(id MemberID) bool {
		return id == e.o.Self.Member || e.now-s.lastHeard[id] < e.o.ElectionTimeout
	})
}

// discountPause excludes a pause of this process from the time in which peers have not been heard from.
func (s *primaryState) discountPause(now, gap time.Duration) {
	for id := range s.lastHeard {
		s.lastHeard[id] = min(now, s.lastHeard[id]+gap)
	}
	if s.contestedSince != 0 {
		s.contestedSince = min(now, s.contestedSince+gap)
	}
}

// becomePrimary makes this process the primary of a view that a majority has installed.
func (e *Elector) becomePrimary(v ControlView) {
	primary := &primaryState{
		view:              v.Clone(),
		startedAt:         e.now,
		lastHeard:         make(map[MemberID]time.Duration),
		leaving:           make(map[MemberID]bool),
		hasView:           make(map[MemberID]bool),
		promisedElsewhere: make(map[MemberID]bool),
		offered:           make(map[MemberID]bool),
	}
	for _, p := range v.Peers {
		primary.lastHeard[p.Member] = e.now
	}
	if c := e.candidacy; c != nil {
		primary.noteRemoved(c.base.Peers)
	}
	if previous := e.primary; previous != nil {
		primary.noteRemoved(previous.removed)
		primary.round = previous.round
		primary.leaving = previous.leaving
		for id := range primary.lastHeard {
			if at, ok := previous.lastHeard[id]; ok {
				primary.lastHeard[id] = at
			}
		}
	}
	e.primary = primary
	e.candidacy = nil
	e.decided = v.Clone()
	e.noteView(v)
	e.hadPrimary = true
	e.lastHeartbeat = e.now
	e.writer.changed(e, e.witness.Learn(v))
	e.emit(InstallView{View: v.Clone()})
	e.emit(BecamePrimary{Epoch: v.Epoch})
	e.sendHeartbeats()
}

// noteRemoved schedules notifications for the given peers that are not in the view: a process that is shutting down waits for its removal.
func (s *primaryState) noteRemoved(peers []Peer) {
	for _, p := range peers {
		present := func(other Peer) bool { return other.Member == p.Member || other.Address == p.Address }
		if !slices.ContainsFunc(s.view.Peers, present) && !slices.ContainsFunc(s.removed, present) {
			s.removed = append(s.removed, p)
		}
	}
}

// stepDown ends the primary role.
func (e *Elector) stepDown() {
	epoch := e.primary.epoch()
	e.primary = nil
	e.lastHeartbeat = e.now
	e.nextCandidacy = e.now + e.o.RankDelay + time.Duration(e.o.Random(int64(e.o.RankDelay)))
	if e.candidacy != nil {
		e.candidacy = nil
	}
	e.emit(LostPrimary{Epoch: epoch})
	e.failConfirmations()
}

// sendHeartbeats starts a new round of heartbeats to all peers of the view. Removed peers get them too, until they answer or the removal
// notice period is over.
func (e *Elector) sendHeartbeats() {
	primary := e.primary
	primary.round++
	primary.sentAt = e.now
	for _, p := range primary.view.Peers {
		e.sendHeartbeat(p)
	}
	if e.now-primary.startedAt >= removalNoticePeriod {
		primary.removed = nil
	}
	for _, p := range primary.removed {
		if !primary.hasView[p.Member] {
			e.sendHeartbeat(p)
		}
	}
}

// sendHeartbeat sends a heartbeat, with the view if the peer may not have it.
func (e *Elector) sendHeartbeat(to Peer) {
	primary := e.primary
	m := &Heartbeat{Epoch: primary.epoch(), Round: primary.round}
	if !primary.hasView[to.Member] {
		m.View = primary.view.Clone()
	}
	e.send(to, m)
}

func (e *Elector) tickPrimary() {
	primary := e.primary
	if e.now-primary.sentAt >= e.o.HeartbeatInterval {
		e.sendHeartbeats()
	}
	if (e.demoteStalled() || e.resigned) && e.now-primary.handedOverAt >= introduceInterval {
		e.handOver()
	}
}

// demoteStalled marks members that stall all writes as learners, if enough other members remain to write to. It reports whether this
// primary's own disk is the stalled one.
func (e *Elector) demoteStalled() (ownDisk bool) {
	if e.o.StalledMembers == nil {
		return false
	}
	stalled := e.o.StalledMembers()
	v := &e.primary.view
	if slices.Contains(stalled, e.o.Self.Member) {
		return true
	}
	remaining := 0
	for _, id := range v.Members {
		if !slices.Contains(stalled, id) {
			remaining++
		}
	}
	if remaining < v.UsefulCopies(e.o.Tolerate+1) {
		return false
	}
	for _, id := range stalled {
		e.unjoinable[id] = e.now + unjoinablePeriod
	}
	return false
}

// handOver requests the live member that was heard from last to campaign.
func (e *Elector) handOver() {
	primary := e.primary
	primary.handedOverAt = e.now
	var successor MemberID
	for _, id := range primary.view.Members {
		if id != e.o.Self.Member && primary.isLive(e, id) && !e.isUnjoinable(id) && (successor == "" || primary.lastHeard[id] > primary.lastHeard[successor]) {
			successor = id
		}
	}
	if successor != "" {
		e.send(e.locate(successor, primary.view), &Campaign{Epoch: primary.epoch()})
	}
}

// tickViewChange starts a view change if another view is desired, or if too many witnesses have promised a higher epoch to other candidates
// and none of these became primary within the election timeout.
func (e *Elector) tickViewChange() {
	primary := e.primary
	if e.resigned || e.now < e.nextCandidacy {
		return
	}
	if e.isContested() {
		if primary.contestedSince == 0 {
			primary.contestedSince = e.now
		} else if e.now-primary.contestedSince >= e.o.ElectionTimeout {
			e.startCandidacy(true)
		}
		return
	}
	primary.contestedSince = 0
	if primary.hearsFromMajority(e) && (primary.mustChangeView || !sameComposition(e.desiredView(), primary.view)) {
		e.startCandidacy(false)
	}
}

// isContested reports whether no majority of witnesses remains that has not promised a higher epoch to another candidate.
func (e *Elector) isContested() bool {
	return !hasMajority(e.primary.view.Witnesses, func(id MemberID) bool { return !e.primary.promisedElsewhere[id] })
}

// receiveHeartbeat handles the heartbeat of a primary.
func (e *Elector) receiveHeartbeat(from Peer, m *Heartbeat) {
	e.highestEpoch = max(e.highestEpoch, m.Epoch)
	if from.Member == e.o.Self.Member {
		e.send(from, e.heartbeatAnswer(from.Member, m.Epoch, m.Round))
		return
	}
	installed := e.witness.Register.Installed
	switch {
	case m.Epoch <= e.decided.Epoch:
	case m.View.Epoch == m.Epoch && m.View.Primary == from.Member:
		e.followPrimary(m.View)
	case installed.Epoch == m.Epoch && installed.Primary == from.Member:
		e.followPrimary(installed)
	}
	if m.Epoch == e.decided.Epoch && from.Member == e.decided.Primary {
		e.hadPrimary, e.lastHeartbeat = true, e.now
		if c := e.candidacy; c != nil && !c.forced && c.phase == preparing && e.primary == nil {
			e.abandon()
		}
	}
	e.writer.answer(e, from, e.heartbeatAnswer(from.Member, m.Epoch, m.Round))
	if m.Epoch < installed.Epoch && installed.Generation > 0 {
		e.notifyNewGeneration(from)
	}
}

// followPrimary installs a decided view of another primary.
func (e *Elector) followPrimary(v ControlView) {
	e.decided = v.Clone()
	e.noteView(v)
	if e.candidacy != nil && e.candidacy.epoch <= v.Epoch {
		e.abandon()
	}
	if e.primary != nil {
		e.stepDown()
	}
	e.writer.changed(e, e.witness.Learn(v))
	e.emit(InstallView{View: v.Clone()})
}

func (e *Elector) heartbeatAnswer(primary MemberID, epoch, round uint64) *HeartbeatAnswer {
	register := &e.witness.Register
	return &HeartbeatAnswer{
		Epoch: epoch, Round: round, Promised: register.Promised, Leaving: e.resigned,
		StillPrimary:      e.witness.isStillPrimary(primary, epoch),
		PromisedElsewhere: register.Promised > epoch && register.Candidate != primary,
		Installed:         max(e.decided.Epoch, register.Installed.Epoch),
	}
}

func (e *Elector) receiveHeartbeatAnswer(from Peer, m *HeartbeatAnswer) {
	e.highestEpoch = max(e.highestEpoch, m.Promised)
	primary := e.primary
	if primary == nil || m.Epoch != primary.epoch() {
		return
	}
	if primary.view.Address(from.Member) != "" { // messages of other processes do not show that they receive heartbeats
		primary.lastHeard[from.Member] = e.now
	}
	primary.leaving[from.Member] = m.Leaving
	primary.hasView[from.Member] = m.Installed == m.Epoch
	primary.promisedElsewhere[from.Member] = m.PromisedElsewhere
	if m.StillPrimary {
		e.countConfirmation(from.Member, m.Round)
	}
}
