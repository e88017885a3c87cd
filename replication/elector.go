package replication

import (
	"slices"
	"time"
)

// ElectorOptions say who an Elector is and how patient. Zero times take their defaults.
type ElectorOptions struct {
	Self      Peer
	Seeds     []string            // addresses of the processes that may found the group
	Bootstrap bool                // this is the first start of the whole system
	Register  *Register           // as loaded; nil on an empty disk
	Tolerate  int                 // F: how many losses the group survives; a view has F+2 members at most
	Silence   time.Duration       // without word of the primary before a candidacy begins; 600 ms
	RankDelay time.Duration       // more patience for each place in the order of candidates; 150 ms
	Interval  time.Duration       // between two words of the primary; 150 ms
	BlockingPeers   func() []MemberID   // Replica.Blocked
	StalledMembers   func() []MemberID   // Replica.Stalled
	Random    func(n int64) int64 // a random number below n
}

const (
	defaultSilence   = 600 * time.Millisecond
	defaultRankDelay = 150 * time.Millisecond
	defaultInterval  = 150 * time.Millisecond

	pauseGap        = 150 * time.Millisecond // a longer gap between two ticks is a pause of this process
	startPatience   = 100 * time.Millisecond // of the first member after a start
	resendEvery     = 100 * time.Millisecond // of questions without an answer
	gracePeriod     = 100 * time.Millisecond // for the last answers once there is a majority
	introduceEvery  = 300 * time.Millisecond
	introducedFor   = time.Second     // a process that introduced itself counts as alive
	dismissalPeriod = time.Second     // for those that were left out of a view to be told of it
	foundingPeriod  = time.Second     // to wait for all seeds; a majority is enough then
	witnessGoneFor  = 3 * time.Second // before a silent witness is replaced
	unjoinableFor   = 3 * time.Second // a member whose replica did not join is a learner for so long, or until it is equal
	confirmDeadline = 2 * time.Second
)

// Elector is the part of one process in deciding the views of its own group, and its witness. It decides by messages with the others and
// by the times it is told, and answers each call with the actions to do.
//
// A candidate prepares an epoch at a majority of witnesses and learns the last view that was installed. If it is a member of that one, it
// has its replica join and equalise those members that have answered (PrepareView, Prepared), installs the view at a majority of witnesses,
// and is the primary. A primary changes its view in the same way. Only a primary changes the set of witnesses, by one witness in a
// view, and both the old and the new set have to install it by majorities.
type Elector struct {
	o       ElectorOptions
	witness Witness
	writer  registerWriter

	now      time.Duration
	lastTick time.Duration
	started  time.Duration
	ticked   bool
	out      []Action
	loop     []ElectionMessage // to itself

	decided   ControlView   // the newest view known to be decided
	contact   ControlView   // the newest view heard of, by which to find the others
	seen      uint64        // the highest epoch heard of
	heard     bool          // a primary, ever
	lastWord  time.Duration // of the primary
	nextTry   time.Duration // no candidacy of its own accord before
	candidacy *candidacy
	tenure    *tenure
	resigned  bool
	confirms  []confirmation

	founding   founding
	introduced map[MemberID]introduction // processes that are no witnesses, as they tell
	speakers   map[string]MemberID       // who was heard last at an address
	sentIntro  time.Duration
	unjoinable map[MemberID]time.Duration // until when
}

// introduction is what a process told of itself.
type introduction struct {
	peer Peer
	at   time.Duration
}

// NewElector returns the elector of a process that just started.
func NewElector(o ElectorOptions) *Elector {
	setDefault(&o.Silence, defaultSilence)
	setDefault(&o.RankDelay, defaultRankDelay)
	setDefault(&o.Interval, defaultInterval)
	e := &Elector{
		o:          o,
		introduced: make(map[MemberID]introduction),
		speakers:   make(map[string]MemberID),
		unjoinable: make(map[MemberID]time.Duration),
	}
	if o.Register != nil {
		e.witness.Register = *o.Register
	} else if o.Bootstrap && slices.Contains(o.Seeds, o.Self.Address) {
		e.witness.Register = Register{Founder: true, Seeds: slices.Clone(o.Seeds)}
		e.writer.stale = true
	}
	e.seen = e.witness.Register.Promised
	e.contact = e.witness.Register.Installed
	return e
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Tick drives everything that depends on time. Call it every 50 ms or so.
func (e *Elector) Tick(now time.Duration) []Action {
	return e.run(now, func() {
		e.guardPause()
		e.writer.persistIfStale(e)
		e.tickIntroduction()
		e.tickConfirms()
		switch {
		case e.candidacy != nil:
			e.tickCandidacy()
		case e.tenure != nil:
			e.tickTenureChange()
		default:
			e.tickFollower()
		}
		if e.tenure != nil {
			e.tickTenure()
		}
	})
}

// Receive takes a frame of another process.
func (e *Elector) Receive(f ElectionFrame, now time.Duration) []Action {
	return e.run(now, func() { e.receive(f.From, f.Message) })
}

// Persisted tells that the register of a PersistRegister action is on disk, or that writing it failed.
func (e *Elector) Persisted(token uint64, err error, now time.Duration) []Action {
	return e.run(now, func() { e.writer.persisted(e, token, err) })
}

// Prepared tells that Replica.Prepare has joined and equalised all members of the epoch's view.
func (e *Elector) Prepared(epoch uint64, now time.Duration) []Action {
	return e.run(now, func() {
		if c := e.candidacy; c != nil && c.epoch == epoch && c.phase == equalising {
			e.beginInstalling(c)
		}
	})
}

// Deposed hands on Events.Deposed of the replica, with Replica.Highest.
func (e *Elector) Deposed(epoch, highest uint64, now time.Duration) []Action {
	return e.run(now, func() {
		e.seen = max(e.seen, highest)
		if c := e.candidacy; c != nil && c.epoch == epoch {
			e.abandon()
		}
		if e.tenure != nil && e.tenure.epoch() == epoch {
			e.lose()
		}
	})
}

// Offered hands on Events.Offer of the replica.
func (e *Elector) Offered(epoch uint64, learner MemberID, now time.Duration) []Action {
	return e.run(now, func() {
		if e.tenure != nil && e.tenure.epoch() == epoch {
			e.tenure.offered[learner] = true
			delete(e.unjoinable, learner) // it has joined
		}
	})
}

// Resign gives up for a planned end: a primary asks another member to become candidate at once, others ask to be left out of the view. It
// goes on with its duties until it is replaced.
func (e *Elector) Resign(now time.Duration) []Action {
	return e.run(now, func() {
		e.resigned = true
		if e.tenure != nil {
			e.handOver()
		} else if id := e.decided.Primary; id != "" && id != e.o.Self.Member {
			e.send(Peer{Member: id, Address: e.decided.Address(id)}, e.aliveAnswer(id, e.decided.Epoch, 0))
		}
	})
}

// HandOver asks another member to take over from this primary, which goes on until one does. It may be called again and again.
func (e *Elector) HandOver(now time.Duration) []Action {
	return e.run(now, func() {
		if e.tenure != nil && e.now-e.tenure.handedAt >= introduceEvery {
			e.handOver()
		}
	})
}

// IsNeeded tells whether a process that has resigned is still waited for: as a member of the view, unless it is the only one, or as a witness that the
// primary is to leave out. To end before would take a vote away that another loss may need.
func (e *Elector) IsNeeded() bool {
	v, self := e.decided, e.o.Self.Member
	if v.Epoch == 0 || len(v.Members) == 1 && v.Includes(self) {
		return false
	}
	return v.Includes(self) || v.IsWitness(self) && mayLeave(len(v.Witnesses))
}

// Confirm has f called with true when a majority of witnesses has answered, after this call, that no other primary was decided; with false
// when this process is not the primary or gets no such answers.
func (e *Elector) Confirm(now time.Duration, f func(stands bool)) []Action {
	return e.run(now, func() { e.confirm(f) })
}

// IsPrimary tells whether this process is the primary of the newest view it knows.
func (e *Elector) IsPrimary() bool { return e.tenure != nil }

// View returns the newest view known here to be decided; its epoch is zero before there is one.
func (e *Elector) View() ControlView { return e.decided }

// run does f and what this process has to tell itself, and returns the actions.
func (e *Elector) run(now time.Duration, f func()) []Action {
	e.now = max(e.now, now)
	f()
	for len(e.loop) > 0 {
		m := e.loop[0]
		e.loop = e.loop[1:]
		e.receive(e.o.Self, m)
	}
	actions := e.out
	e.out = nil
	return actions
}

func (e *Elector) do(a Action) { e.out = append(e.out, a) }

func (e *Elector) send(to Peer, m ElectionMessage) {
	if to.Member == e.o.Self.Member {
		e.loop = append(e.loop, m)
		return
	}
	if to.Address != "" && to.Address != e.o.Self.Address {
		e.do(SendElection{To: to, Frame: ElectionFrame{From: e.o.Self, Message: m}})
	}
}

// guardPause takes a gap in the own ticks out of all patience: what was not heard meanwhile is no sign of anything.
func (e *Elector) guardPause() {
	first := !e.ticked
	gap := e.now - e.lastTick
	e.ticked, e.lastTick = true, e.now
	switch {
	case first:
		e.started = e.now
		e.lastWord = e.now
	case gap > pauseGap:
		excess := gap - pauseGap
		e.lastWord = min(e.now, e.lastWord+excess)
		if e.candidacy != nil {
			e.candidacy.phaseAt += excess
		}
		if e.tenure != nil {
			e.tenure.excuse(e.now, excess)
		}
	}
}

func (e *Elector) receive(from Peer, m ElectionMessage) {
	if from.Member == "" {
		return
	}
	e.speakers[from.Address] = from.Member
	switch m := m.(type) {
	case *PrepareEpoch:
		e.receivePrepare(from, m)
	case *PrepareAnswer:
		e.receivePrepareAnswer(from, m)
	case *InstallEpoch:
		e.receiveInstall(from, m)
	case *InstallAnswer:
		e.receiveInstallAnswer(from, m)
	case *Alive:
		e.receiveAlive(from, m)
	case *AliveAnswer:
		e.receiveAliveAnswer(from, m)
	case *Introduce:
		e.receiveIntroduce(from, m)
	case *Introduced:
		e.receiveIntroduced(from, m)
	case *Campaign:
		if m.Epoch == e.witness.Register.Installed.Epoch && e.mayCampaign() {
			e.startCandidacy(true)
		}
	}
}

// receivePrepare answers for the own witness once its register is on disk. While the primary is alive, nobody needs another.
func (e *Elector) receivePrepare(from Peer, m *PrepareEpoch) {
	e.seen = max(e.seen, m.Epoch)
	if !m.Forced && e.primaryIsAlive() && from.Member != e.decided.Primary {
		e.writer.answer(e, from, &PrepareAnswer{
			Epoch: m.Epoch, Busy: true, Promised: e.witness.Register.Promised,
			Installed: e.witness.Register.Installed.Clone(), Leaving: e.resigned,
		})
		return
	}
	answer, changed := e.witness.Prepare(from.Member, m)
	answer.Leaving = e.resigned
	if answer.Granted && from.Member != e.o.Self.Member {
		patience := max(e.o.Silence/2, syncsOfEqualising*e.writer.syncTime)
		e.nextTry = max(e.nextTry, e.now+patience) // the candidate gets time to finish
	}
	e.writer.changed(e, changed)
	e.writer.answer(e, from, answer)
}

// primaryIsAlive tells whether the primary was heard of lately, or is this process and hears a majority.
func (e *Elector) primaryIsAlive() bool {
	if e.tenure != nil {
		return e.tenure.hearsMajority(e)
	}
	return e.heard && e.now-e.lastWord < e.o.Silence*2/3
}

func (e *Elector) receiveInstall(from Peer, m *InstallEpoch) {
	e.seen = max(e.seen, m.View.Epoch)
	answer, changed := e.witness.Install(from.Member, m)
	if changed {
		e.meet(m.View)
	}
	e.writer.changed(e, changed)
	e.writer.answer(e, from, answer)
}

// meet notes a view by which others can be found. One of a later generation is taken for the own, unless this process is to found it: it
// begins with the records that are written for it, and not before.
func (e *Elector) meet(v ControlView) {
	if v.Generation > e.witness.Register.Installed.Generation && v.Primary != e.o.Self.Member {
		e.adoptGeneration(v)
	}
	if v.Epoch > e.contact.Epoch {
		e.contact = v.Clone()
	}
	e.seen = max(e.seen, v.Epoch)
}
