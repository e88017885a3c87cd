package replication

import (
	"slices"
	"time"
)

// ElectorOptions configures an Elector. Zero durations are replaced by their defaults.
type ElectorOptions struct {
	Self              Peer
	Seeds             []string            // addresses of the processes that may found the group
	Bootstrap         bool                // first start of the whole system
	Register          *Register           // as loaded; nil on an empty disk
	Tolerate          int                 // F: number of failures that the group tolerates; a view has at most F+2 members
	ElectionTimeout   time.Duration       // time without heartbeats before a candidacy starts; 600 ms
	RankDelay         time.Duration       // added to the election timeout for each position in the order of candidates; 150 ms
	HeartbeatInterval time.Duration       // between heartbeats of the primary; 150 ms
	BlockingPeers     func() []MemberID   // Replica.BlockingPeers
	StalledMembers    func() []MemberID   // Replica.StalledMembers
	Random            func(n int64) int64 // a random number below n
}

const (
	defaultElectionTimeout   = 600 * time.Millisecond
	defaultRankDelay         = 150 * time.Millisecond
	defaultHeartbeatInterval = 150 * time.Millisecond

	pauseGap               = 150 * time.Millisecond // a longer gap between two ticks is a pause of this process
	startupElectionTimeout = 100 * time.Millisecond // of the first member, after a start
	resendInterval         = 100 * time.Millisecond // of unanswered requests
	gracePeriod            = 100 * time.Millisecond // to wait for the remaining answers once there is a majority
	introduceInterval      = 300 * time.Millisecond
	introductionTTL        = time.Second     // how long a process that introduced itself counts as live
	removalNoticePeriod    = time.Second     // how long peers that were removed from a view are notified of it
	foundingPeriod         = time.Second     // to wait for all seeds before enough of them may found the group
	witnessLostTimeout     = 3 * time.Second // before an unresponsive witness may be removed
	unjoinablePeriod       = 3 * time.Second // how long a member that did not join or stalled is only a learner, unless it catches up earlier
	confirmDeadline        = 2 * time.Second
)

// Elector takes part in deciding the views of the control group on behalf of one process, and contains its witness. It is driven by the
// messages of its peers and by the times passed to it, and returns the actions to execute from each call.
//
// A candidate prepares an epoch at a majority of witnesses and learns the last installed view. If it is a member of that view, it has its
// replica join and synchronise the members that have answered (PrepareView, Prepared), installs the new view at a majority of witnesses,
// and becomes primary. A primary changes its view in the same way. Only a primary changes the set of witnesses, by one witness per view,
// and majorities of both the old and the new set must install that view.
type Elector struct {
	o       ElectorOptions
	witness Witness
	writer  registerWriter

	now          time.Duration
	lastTick     time.Duration
	started      time.Duration
	ticked       bool
	actions      []Action
	selfMessages []ElectionMessage // messages of this process to itself

	decided       ControlView   // newest view known to be decided
	newestView    ControlView   // newest view seen, decided or not; locates the peers
	highestEpoch  uint64        // highest epoch seen
	hadPrimary    bool          // a primary was heard from since the start
	lastHeartbeat time.Duration // time of the last heartbeat from the primary, or of a later restart of the election timeout
	nextCandidacy time.Duration // earliest time of the next candidacy that is not requested by a peer
	candidacy     *candidacy
	primary       *primaryState
	resigned      bool
	confirmations []confirmation

	founding         founding
	introduced       map[MemberID]introduction // processes that have introduced themselves, which are not witnesses
	memberAt         map[string]MemberID       // sender of the last message from an address
	lastIntroduction time.Duration
	unjoinable       map[MemberID]time.Duration // until when a member may only be a learner
}

// introduction is the last Introduce of a process.
type introduction struct {
	peer Peer
	at   time.Duration
}

// NewElector returns the elector of a process that has just started.
func NewElector(o ElectorOptions) *Elector {
	setDefault(&o.ElectionTimeout, defaultElectionTimeout)
	setDefault(&o.RankDelay, defaultRankDelay)
	setDefault(&o.HeartbeatInterval, defaultHeartbeatInterval)
	e := &Elector{
		o:          o,
		introduced: make(map[MemberID]introduction),
		memberAt:   make(map[string]MemberID),
		unjoinable: make(map[MemberID]time.Duration),
	}
	if o.Register != nil {
		e.witness.Register = *o.Register
	} else if o.Bootstrap && slices.Contains(o.Seeds, o.Self.Address) {
		e.witness.Register = Register{Founder: true, Seeds: slices.Clone(o.Seeds)}
		e.writer.dirty = true
	}
	e.highestEpoch = e.witness.Register.Promised
	e.newestView = e.witness.Register.Installed
	return e
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Tick handles all time-outs and periodic messages. It should be called about every 50 ms.
func (e *Elector) Tick(now time.Duration) []Action {
	return e.run(now, func() {
		e.discountPause()
		e.writer.persistIfDirty(e)
		e.tickIntroduction()
		e.expireConfirmations()
		switch {
		case e.candidacy != nil:
			e.tickCandidacy()
		case e.primary != nil:
			e.tickViewChange()
		default:
			e.tickFollower()
		}
		if e.primary != nil {
			e.tickPrimary()
		}
	})
}

// Receive handles a frame from another process.
func (e *Elector) Receive(f ElectionFrame, now time.Duration) []Action {
	return e.run(now, func() { e.receive(f.From, f.Message) })
}

// Persisted reports that the register of a PersistRegister action is on disk, or that writing it failed.
func (e *Elector) Persisted(token uint64, err error, now time.Duration) []Action {
	return e.run(now, func() { e.writer.persisted(e, token, err) })
}

// Prepared reports that Replica.Prepare has completed: all members of the epoch's view have joined and are in sync.
func (e *Elector) Prepared(epoch uint64, now time.Duration) []Action {
	return e.run(now, func() {
		if c := e.candidacy; c != nil && c.epoch == epoch && c.phase == catchingUp {
			e.beginInstalling(c)
		}
	})
}

// Deposed forwards Events.Deposed of the replica, with Replica.HighestEpoch.
func (e *Elector) Deposed(epoch, highest uint64, now time.Duration) []Action {
	return e.run(now, func() {
		e.highestEpoch = max(e.highestEpoch, highest)
		if c := e.candidacy; c != nil && c.epoch == epoch {
			e.abandon()
		}
		if e.primary != nil && e.primary.epoch() == epoch {
			e.stepDown()
		}
	})
}

// Offered forwards Events.Offer of the replica.
func (e *Elector) Offered(epoch uint64, learner MemberID, now time.Duration) []Action {
	return e.run(now, func() {
		if e.primary != nil && e.primary.epoch() == epoch {
			e.primary.offered[learner] = true
			delete(e.unjoinable, learner) // it has joined
		}
	})
}

// Resign prepares for a planned shutdown: a primary requests another member to campaign immediately, other processes request to be removed
// from the view. The process continues in its roles until it is replaced.
func (e *Elector) Resign(now time.Duration) []Action {
	return e.run(now, func() {
		e.resigned = true
		if e.primary != nil {
			e.handOver()
		} else if id := e.decided.Primary; id != "" && id != e.o.Self.Member {
			e.send(Peer{Member: id, Address: e.decided.Address(id)}, e.heartbeatAnswer(id, e.decided.Epoch, 0))
		}
	})
}

// HandOver requests another member to take over from this primary, which continues until one does. It may be called repeatedly.
func (e *Elector) HandOver(now time.Duration) []Action {
	return e.run(now, func() {
		if e.primary != nil && e.now-e.primary.handedOverAt >= introduceInterval {
			e.handOver()
		}
	})
}

// IsNeeded reports whether a process that has resigned must keep running: as a member of the view, unless it is the only one, or as a
// witness that the primary has yet to remove. Ending earlier would take away a vote that may be needed when another witness is lost.
func (e *Elector) IsNeeded() bool {
	v, self := e.decided, e.o.Self.Member
	if v.Epoch == 0 || len(v.Members) == 1 && v.Includes(self) {
		return false
	}
	return v.Includes(self) || v.IsWitness(self) && mayRemoveLeaving(len(v.Witnesses))
}

// Confirm calls f with true once a majority of witnesses has answered, after this call, that no other primary was decided, and with false
// if this process is not the primary or receives no such majority in time.
func (e *Elector) Confirm(now time.Duration, f func(confirmed bool)) []Action {
	return e.run(now, func() { e.confirm(f) })
}

// IsPrimary reports whether this process is the primary of the newest view it knows.
func (e *Elector) IsPrimary() bool { return e.primary != nil }

// View returns the newest view known to be decided; its epoch is zero if there is none.
func (e *Elector) View() ControlView { return e.decided }

// run executes f, delivers the messages of this process to itself, and returns the resulting actions.
func (e *Elector) run(now time.Duration, f func()) []Action {
	e.now = max(e.now, now)
	f()
	for len(e.selfMessages) > 0 {
		m := e.selfMessages[0]
		e.selfMessages = e.selfMessages[1:]
		e.receive(e.o.Self, m)
	}
	actions := e.actions
	e.actions = nil
	return actions
}

func (e *Elector) emit(a Action) { e.actions = append(e.actions, a) }

func (e *Elector) send(to Peer, m ElectionMessage) {
	if to.Member == e.o.Self.Member {
		e.selfMessages = append(e.selfMessages, m)
		return
	}
	if to.Address != "" && to.Address != e.o.Self.Address {
		e.emit(SendElection{To: to, Frame: ElectionFrame{From: e.o.Self, Message: m}})
	}
}

// discountPause excludes a gap in this process's ticks from all time-outs: messages that it did not receive meanwhile prove nothing.
func (e *Elector) discountPause() {
	first := !e.ticked
	gap := e.now - e.lastTick
	e.ticked, e.lastTick = true, e.now
	switch {
	case first:
		e.started = e.now
		e.lastHeartbeat = e.now
	case gap > pauseGap:
		excess := gap - pauseGap
		e.lastHeartbeat = min(e.now, e.lastHeartbeat+excess)
		if e.candidacy != nil {
			e.candidacy.phaseAt += excess
		}
		if e.primary != nil {
			e.primary.discountPause(e.now, excess)
		}
	}
}

func (e *Elector) receive(from Peer, m ElectionMessage) {
	if from.Member == "" {
		return
	}
	e.memberAt[from.Address] = from.Member
	switch m := m.(type) {
	case *PrepareEpoch:
		e.receivePrepare(from, m)
	case *PrepareAnswer:
		e.receivePrepareAnswer(from, m)
	case *InstallEpoch:
		e.receiveInstall(from, m)
	case *InstallAnswer:
		e.receiveInstallAnswer(from, m)
	case *Heartbeat:
		e.receiveHeartbeat(from, m)
	case *HeartbeatAnswer:
		e.receiveHeartbeatAnswer(from, m)
	case *Introduce:
		e.receiveIntroduce(from, m)
	case *IntroduceAnswer:
		e.receiveIntroduceAnswer(from, m)
	case *Campaign:
		if m.Epoch == e.witness.Register.Installed.Epoch && e.mayCampaign() {
			e.startCandidacy(true)
		}
	}
}

// receivePrepare answers for the local witness once its register is on disk. While the primary is live, it refuses other candidates, unless
// their request is forced.
func (e *Elector) receivePrepare(from Peer, m *PrepareEpoch) {
	e.highestEpoch = max(e.highestEpoch, m.Epoch)
	if !m.Forced && e.isPrimaryLive() && from.Member != e.decided.Primary {
		e.writer.answer(e, from, &PrepareAnswer{
			Epoch: m.Epoch, Busy: true, Promised: e.witness.Register.Promised,
			Installed: e.witness.Register.Installed.Clone(), Leaving: e.resigned,
		})
		return
	}
	answer, changed := e.witness.Prepare(from.Member, m)
	answer.Leaving = e.resigned
	if answer.Granted && from.Member != e.o.Self.Member {
		timeout := max(e.o.ElectionTimeout/2, syncsPerCatchUp*e.writer.syncTime)
		e.nextCandidacy = max(e.nextCandidacy, e.now+timeout) // the candidate gets time to finish
	}
	e.writer.changed(e, changed)
	e.writer.answer(e, from, answer)
}

// isPrimaryLive reports whether a heartbeat was received recently, or this process is the primary and hears from a majority.
func (e *Elector) isPrimaryLive() bool {
	if e.primary != nil {
		return e.primary.hearsFromMajority(e)
	}
	return e.hadPrimary && e.now-e.lastHeartbeat < e.o.ElectionTimeout*2/3
}

func (e *Elector) receiveInstall(from Peer, m *InstallEpoch) {
	e.highestEpoch = max(e.highestEpoch, m.View.Epoch)
	answer, changed := e.witness.Install(from.Member, m)
	if changed {
		e.noteView(m.View)
	}
	e.writer.changed(e, changed)
	e.writer.answer(e, from, answer)
}

// noteView records a view, which locates the peers. It adopts a view of a later generation, unless this process is its founder: a founder
// starts in it only once its founding records are written.
func (e *Elector) noteView(v ControlView) {
	if v.Generation > e.witness.Register.Installed.Generation && v.Primary != e.o.Self.Member {
		e.adoptGeneration(v)
	}
	if v.Epoch > e.newestView.Epoch {
		e.newestView = v.Clone()
	}
	e.highestEpoch = max(e.highestEpoch, v.Epoch)
}
