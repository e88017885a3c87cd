package replication

import (
	"slices"
	"time"
)

// syncsOfEqualising is how many syncs of a disk the members are given to join and become equal: the candidate's own join, theirs, and a repair, each with
// another one before it.
const syncsOfEqualising = 6

type candidacyPhase uint8

const (
	preparing  candidacyPhase = iota // asks witnesses to promise the epoch
	equalising                       // the replica joins and equalises members
	installing                       // asks witnesses to install the view
)

// candidacy is the attempt to become primary of an epoch, or to change the view as primary.
type candidacy struct {
	ballot
	forced  bool
	phase   candidacyPhase
	phaseAt time.Duration
	sentAt  time.Duration
	lasting time.Duration // when there was a majority of promises
	enough  bool

	known   ControlView // the view that this process knew of at the beginning
	answers map[MemberID]*PrepareAnswer
	peers   map[MemberID]Peer // who has answered
}

// mayCampaign tells whether this process could become primary: it is a member of the newest view it knows, or founds the group.
func (e *Elector) mayCampaign() bool {
	if e.resigned || e.candidacy != nil || e.tenure != nil {
		return false
	}
	installed := e.witness.Register.Installed
	if installed.Epoch == 0 {
		return e.founding.ready
	}
	return installed.IsMember(e.o.Self.Member)
}

// tickFollower begins a candidacy when there was no word of a primary for long enough.
func (e *Elector) tickFollower() {
	if !e.mayCampaign() || e.now < e.nextTry {
		return
	}
	if e.now-e.lastWord >= e.patience() {
		e.startCandidacy(false)
	}
}

// patience is longer the later this member comes in the order of the view, so that candidates seldom meet. After a start, when no primary
// has been heard yet, it is short: all may have been down, and if not, those who hear the primary refuse to promise anything.
func (e *Elector) patience() time.Duration {
	installed := e.witness.Register.Installed
	if installed.Epoch == 0 {
		return e.founding.rank(e) * e.o.RankDelay
	}
	rank := slices.Index(installed.Members, e.o.Self.Member)
	if !e.heard {
		return startPatience + time.Duration(max(0, rank))*e.o.RankDelay
	}
	if slices.Index(installed.Members, installed.Primary) < rank {
		rank--
	}
	return e.o.Silence + time.Duration(max(0, rank))*e.o.RankDelay
}

func (e *Elector) startCandidacy(forced bool) {
	installed := e.witness.Register.Installed.Clone()
	e.seen = max(e.seen, e.witness.Register.Promised)
	if e.seen+1 >= EpochLimit {
		return
	}
	e.seen++
	e.candidacy = &candidacy{
		ballot: newBallot(e.seen, installed, len(e.witness.Register.Seeds)),
		forced: forced, phaseAt: e.now, known: installed,
		answers: make(map[MemberID]*PrepareAnswer),
		peers:   make(map[MemberID]Peer),
	}
	e.ask(e.candidacy)
}

// abandon gives a candidacy up and waits for a while, so that another may succeed.
func (e *Elector) abandon() {
	c := e.candidacy
	e.candidacy = nil
	e.nextTry = e.now + e.o.RankDelay + time.Duration(e.o.Random(int64(e.o.RankDelay)))
	switch {
	case c.phase == preparing:
	case e.tenure != nil:
		e.tenure.unsettled = true
	default:
		e.do(LostPrimary{Epoch: c.epoch})
	}
}

// ask sends the present question to those witnesses that have not answered it.
func (e *Elector) ask(c *candidacy) {
	c.sentAt = e.now
	switch c.phase {
	case preparing:
		for _, p := range e.electorate(c) {
			if c.answers[p.Member] == nil {
				e.send(p, &PrepareEpoch{Epoch: c.epoch, Forced: c.forced, Founding: c.founding})
			}
		}
	case installing:
		for _, id := range union(c.view.Witnesses, c.base.Witnesses) {
			if !c.accepted[id] {
				e.send(e.find(id, c.view, c.base), &InstallEpoch{View: c.view})
			}
		}
	}
}

// askNewcomer repeats the question for a promise to a process that has just made itself known: it was not there when it was asked.
func (e *Elector) askNewcomer(from Peer) {
	c := e.candidacy
	if c == nil || c.phase != preparing || c.answers[from.Member] != nil {
		return
	}
	if slices.ContainsFunc(e.electorate(c), func(p Peer) bool { return p.Member == from.Member }) {
		e.send(from, &PrepareEpoch{Epoch: c.epoch, Forced: c.forced, Founding: c.founding})
	}
}

// electorate lists whom to ask for promises.
func (e *Elector) electorate(c *candidacy) []Peer {
	if c.founding {
		return e.founding.peers(e)
	}
	var peers []Peer
	for _, id := range union(c.base.Witnesses, c.known.Witnesses) {
		peers = append(peers, e.find(id, c.base, c.known))
	}
	return peers
}

func (e *Elector) find(id MemberID, views ...ControlView) Peer {
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
	if e.now-c.sentAt >= resendEvery {
		e.ask(c)
	}
	switch c.phase {
	case preparing:
		e.checkPromises(c)
	case equalising:
		if e.now-c.phaseAt >= max(2*e.o.Silence, syncsOfEqualising*e.writer.syncTime) {
			e.leaveOutBlocked()
			e.abandon()
			e.nextTry = e.now
		}
	}
}

// leaveOutBlocked notes the members whose replicas did not join, so that the next view does without them.
func (e *Elector) leaveOutBlocked() {
	if e.o.BlockingPeers == nil {
		return
	}
	for _, id := range e.o.BlockingPeers() {
		e.unjoinable[id] = e.now + unjoinableFor
	}
}

func (e *Elector) receivePrepareAnswer(from Peer, m *PrepareAnswer) {
	e.seen = max(e.seen, m.Promised)
	e.meet(m.Installed)
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
	if c.promise(from.Member, m.Installed) {
		e.ask(c)
	}
	e.checkPromises(c)
}

// mayAnswer tells whether an answer is worth waiting for: not from a primary whose silence led to the candidacy, and not to a primary from
// those that it does not hear.
func (e *Elector) mayAnswer(c *candidacy, id MemberID) bool {
	if e.tenure != nil {
		return e.tenure.alive(e, id)
	}
	return c.forced || !e.heard || id != c.known.Primary
}

// checkPromises goes on to equalising once there is a majority of promises and the other answers are there or late.
func (e *Elector) checkPromises(c *candidacy) {
	if !c.prepared() {
		c.enough = false
		return
	}
	if !c.enough {
		c.enough, c.lasting = true, e.now
	}
	if e.now-c.lasting < gracePeriod && e.awaitsMore(c) {
		return
	}
	if !c.founding && !c.base.IsMember(e.o.Self.Member) {
		e.yield(c)
		return
	}
	c.propose(e.proposal(c), e.o.Self.Member)
	c.phase, c.phaseAt = equalising, e.now
	e.do(PrepareView{View: c.view.Clone()})
}

// awaitsMore tells whether an answer that is worth waiting for is missing: one of a member or learner of the view before, which would be
// left out of the next without it. A process that is only a witness has nothing to add to a majority.
func (e *Elector) awaitsMore(c *candidacy) bool {
	return slices.ContainsFunc(e.electorate(c), func(p Peer) bool {
		holds := c.founding || c.base.IsMember(p.Member) || slices.Contains(c.base.Learners, p.Member)
		return holds && c.answers[p.Member] == nil && e.mayAnswer(c, p.Member)
	})
}

// yield leaves the field to the members of a view that this process is not one of, and asks one of them to take it: several would get in
// each other's way. Those that do not hear of it become candidates of their own accord.
func (e *Elector) yield(c *candidacy) {
	e.abandon()
	e.nextTry = e.now + 2*e.o.Silence
	for _, id := range c.base.Members {
		if a := c.answers[id]; a != nil && !a.Leaving {
			e.send(e.find(id, c.base), &Campaign{Epoch: c.base.Epoch})
			return
		}
	}
}

func (e *Elector) beginInstalling(c *candidacy) {
	c.phase, c.phaseAt = installing, e.now
	e.ask(c)
}

func (e *Elector) receiveInstallAnswer(from Peer, m *InstallAnswer) {
	e.seen = max(e.seen, m.Promised)
	c := e.candidacy
	if c == nil || c.epoch != m.Epoch || c.phase != installing {
		return
	}
	if !m.Accepted {
		e.abandon()
		return
	}
	c.accepted[from.Member] = true
	if c.decided() {
		e.establish(c.view)
	}
}
