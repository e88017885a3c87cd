package replication

import (
	"slices"
	"time"
)

// syncsPerCatchUp is the number of disk syncs that members are allowed for joining and catching up: one each for the candidate's own join,
// the members' joins and a repair, and for each of them another sync that is under way before it.
const syncsPerCatchUp = 6

type candidacyPhase uint8

const (
	preparing  candidacyPhase = iota // requests promises of the epoch from the witnesses
	catchingUp                       // the replica has the members join and catch up
	installing                       // requests the witnesses to install the view
)

// candidacy is an attempt to become primary of an epoch, or to change the view as primary.
type candidacy struct {
	ballot
	forced      bool
	phase       candidacyPhase
	phaseAt     time.Duration
	sentAt      time.Duration
	majorityAt  time.Duration // since when there is a majority of promises
	hasMajority bool

	known   ControlView // installed view at the start of the candidacy
	answers map[MemberID]*PrepareAnswer
	peers   map[MemberID]Peer // processes that have answered
}

// mayCampaign reports whether this process could become primary: it is a member of the installed view, or may found the group.
func (e *Elector) mayCampaign() bool {
	if e.resigned || e.candidacy != nil || e.primary != nil {
		return false
	}
	installed := e.witness.Register.Installed
	if installed.Epoch == 0 {
		return e.founding.ready
	}
	return installed.IsMember(e.o.Self.Member)
}

// tickFollower starts a candidacy when no heartbeat was received within the election timeout.
func (e *Elector) tickFollower() {
	if !e.mayCampaign() || e.now < e.nextCandidacy {
		return
	}
	if e.now-e.lastHeartbeat >= e.electionTimeout() {
		e.startCandidacy(false)
	}
}

// electionTimeout grows with this member's position in the view, so that candidates rarely compete. After a start, before any heartbeat was
// received, it is short: all processes may have been down, and if not, those that receive heartbeats refuse to promise anything.
func (e *Elector) electionTimeout() time.Duration {
	installed := e.witness.Register.Installed
	if installed.Epoch == 0 {
		return e.founding.rank(e) * e.o.RankDelay
	}
	rank := slices.Index(installed.Members, e.o.Self.Member)
	if !e.hadPrimary {
		return startupElectionTimeout + time.Duration(max(0, rank))*e.o.RankDelay
	}
	if slices.Index(installed.Members, installed.Primary) < rank {
		rank--
	}
	return e.o.ElectionTimeout + time.Duration(max(0, rank))*e.o.RankDelay
}

func (e *Elector) startCandidacy(forced bool) {
	installed := e.witness.Register.Installed.Clone()
	e.highestEpoch = max(e.highestEpoch, e.witness.Register.Promised)
	if e.highestEpoch+1 >= EpochLimit {
		return
	}
	e.highestEpoch++
	e.candidacy = &candidacy{
		ballot: newBallot(e.highestEpoch, installed, len(e.witness.Register.Seeds)),
		forced: forced, phaseAt: e.now, known: installed,
		answers: make(map[MemberID]*PrepareAnswer),
		peers:   make(map[MemberID]Peer),
	}
	e.sendRequests(e.candidacy)
}

// abandon ends a candidacy and delays the next one, so that another candidate may succeed.
func (e *Elector) abandon() {
	c := e.candidacy
	e.candidacy = nil
	e.nextCandidacy = e.now + e.o.RankDelay + time.Duration(e.o.Random(int64(e.o.RankDelay)))
	switch {
	case c.phase == preparing:
	case e.primary != nil:
		e.primary.mustChangeView = true
	default:
		e.emit(LostPrimary{Epoch: c.epoch})
	}
}

// sendRequests sends the request of the current phase to the witnesses that have not answered it.
func (e *Elector) sendRequests(c *candidacy) {
	c.sentAt = e.now
	switch c.phase {
	case preparing:
		for _, p := range e.prepareTargets(c) {
			if c.answers[p.Member] == nil {
				e.send(p, &PrepareEpoch{Epoch: c.epoch, Forced: c.forced, Founding: c.founding})
			}
		}
	case installing:
		for _, id := range union(c.view.Witnesses, c.base.Witnesses) {
			if !c.accepted[id] {
				e.send(e.locate(id, c.view, c.base), &InstallEpoch{View: c.view})
			}
		}
	}
}

// sendPrepareToNewcomer repeats the request for a promise to a process that has just introduced itself: it was down at the first request.
func (e *Elector) sendPrepareToNewcomer(from Peer) {
	c := e.candidacy
	if c == nil || c.phase != preparing || c.answers[from.Member] != nil {
		return
	}
	if slices.ContainsFunc(e.prepareTargets(c), func(p Peer) bool { return p.Member == from.Member }) {
		e.send(from, &PrepareEpoch{Epoch: c.epoch, Forced: c.forced, Founding: c.founding})
	}
}

// prepareTargets lists the processes to request promises from.
func (e *Elector) prepareTargets(c *candidacy) []Peer {
	if c.founding {
		return e.founding.peers(e)
	}
	var peers []Peer
	for _, id := range union(c.base.Witnesses, c.known.Witnesses) {
		peers = append(peers, e.locate(id, c.base, c.known))
	}
	return peers
}

func (e *Elector) locate(id MemberID, views ...ControlView) Peer {
	if id == e.o.Self.Member {
		return e.o.Self
	}
	for _, v := range views {
		if address := v.Address(id); address != "" {
			return Peer{Member: id, Address: address}
		}
	}
	return Peer{Member: id}
}

func union(a, b []MemberID) []MemberID {
	all := slices.Clone(a)
	for _, id := range b {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

func (e *Elector) tickCandidacy() {
	c := e.candidacy
	if e.now-c.sentAt >= resendInterval {
		e.sendRequests(c)
	}
	switch c.phase {
	case preparing:
		e.checkPromises(c)
	case catchingUp:
		if e.now-c.phaseAt >= max(2*e.o.ElectionTimeout, syncsPerCatchUp*e.writer.syncTime) {
			e.demoteBlocking()
			e.abandon()
			e.nextCandidacy = e.now
		}
	}
}

// demoteBlocking marks the members whose replicas did not join, so that the next view has them as learners only.
func (e *Elector) demoteBlocking() {
	if e.o.BlockingPeers == nil {
		return
	}
	for _, id := range e.o.BlockingPeers() {
		e.unjoinable[id] = e.now + unjoinablePeriod
	}
}

func (e *Elector) receivePrepareAnswer(from Peer, m *PrepareAnswer) {
	e.highestEpoch = max(e.highestEpoch, m.Promised)
	e.noteView(m.Installed)
	c := e.candidacy
	if c == nil || c.epoch != m.Epoch || c.phase != preparing {
		return
	}
	if !m.Granted {
		if m.Busy || m.Promised >= c.epoch {
			e.abandon()
		}
		return
	}
	c.answers[from.Member] = m
	c.peers[from.Member] = from
	if c.addPromise(from.Member, m.Installed) {
		e.sendRequests(c)
	}
	e.checkPromises(c)
}

// isExpectedToAnswer reports whether an answer is worth waiting for. A candidate does not wait for the primary whose missing heartbeats led
// to the candidacy, and a primary does not wait for peers that are not live.
func (e *Elector) isExpectedToAnswer(c *candidacy, id MemberID) bool {
	if e.primary != nil {
		return e.primary.isLive(e, id)
	}
	return c.forced || !e.hadPrimary || id != c.known.Primary
}

// checkPromises proceeds to catchingUp once there is a majority of promises, and the other expected answers have arrived or the grace period
// is over.
func (e *Elector) checkPromises(c *candidacy) {
	if !c.isPrepared() {
		c.hasMajority = false
		return
	}
	if !c.hasMajority {
		c.hasMajority, c.majorityAt = true, e.now
	}
	if e.now-c.majorityAt < gracePeriod && e.awaitsAnswers(c) {
		return
	}
	if !c.founding && !c.base.IsMember(e.o.Self.Member) {
		e.yieldToMember(c)
		return
	}
	c.propose(e.proposeView(c), e.o.Self.Member)
	c.phase, c.phaseAt = catchingUp, e.now
	e.emit(PrepareView{View: c.view.Clone()})
}

// awaitsAnswers reports whether an expected answer is missing: one of a member or learner of the base view, which the next view would leave
// out without it. The answer of a process that is only a witness adds nothing to a majority.
func (e *Elector) awaitsAnswers(c *candidacy) bool {
	return slices.ContainsFunc(e.prepareTargets(c), func(p Peer) bool {
		holds := c.founding || c.base.IsMember(p.Member) || slices.Contains(c.base.Learners, p.Member)
		return holds && c.answers[p.Member] == nil && e.isExpectedToAnswer(c, p.Member)
	})
}

// yieldToMember abandons the candidacy of a process that is not a member of the base view, and requests one member to campaign instead. It
// requests only one, since several candidates would compete. If the message is lost, members become candidates by their own timeouts.
func (e *Elector) yieldToMember(c *candidacy) {
	e.abandon()
	e.nextCandidacy = e.now + 2*e.o.ElectionTimeout
	for _, id := range c.base.Members {
		if a := c.answers[id]; a != nil && !a.Leaving {
			e.send(e.locate(id, c.base), &Campaign{Epoch: c.base.Epoch})
			return
		}
	}
}

func (e *Elector) beginInstalling(c *candidacy) {
	c.phase, c.phaseAt = installing, e.now
	e.sendRequests(c)
}

func (e *Elector) receiveInstallAnswer(from Peer, m *InstallAnswer) {
	e.highestEpoch = max(e.highestEpoch, m.Promised)
	c := e.candidacy
	if c == nil || c.epoch != m.Epoch || c.phase != installing {
		return
	}
	if !m.Accepted {
		e.abandon()
		return
	}
	c.accepted[from.Member] = true
	if c.isDecided() {
		e.becomePrimary(c.view)
	}
}
