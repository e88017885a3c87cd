package replication

import (
	"slices"
	"time"
)

// tenure is what an elector knows as the primary of an installed view.
type tenure struct {
	view      ControlView
	began     time.Duration
	heard     map[MemberID]time.Duration // when each peer of the view was heard of last
	leaving   map[MemberID]bool
	informed  map[MemberID]bool // has the view
	dismissed []Peer            // were in a view before and are not in this one; they are told of it
	foreign   map[MemberID]bool // witnesses that promised a higher epoch to somebody else
	contested time.Duration     // since when they have been too many; zero: they are not
	offered   map[MemberID]bool
	unsettled bool // a change of the view was given up after the replica had left this epoch: another has to follow
	round     uint64
	sentAt    time.Duration
	handedAt  time.Duration
}

func (t *tenure) epoch() uint64 { return t.view.Epoch }

// alive tells whether a process was heard of lately and stays. One that belongs to the view has to answer: it may speak and not hear.
func (t *tenure) alive(e *Elector, id MemberID) bool {
	if id == e.o.Self.Member {
		return true
	}
	at, ok := t.heard[id]
	if intro, introduced := e.introduced[id]; introduced && !ok {
		at, ok = intro.at, true
	}
	return ok && e.now-at < e.o.Silence && !t.leaving[id] && !e.isReplaced(id)
}

func (t *tenure) hearsMajority(e *Elector) bool {
	return hasMajority(t.view.Witnesses, func(id MemberID) bool {
		return id == e.o.Self.Member || e.now-t.heard[id] < e.o.Silence
	})
}

// excuse takes a pause of this process out of the silence of the others.
func (t *tenure) excuse(now, gap time.Duration) {
	for id := range t.heard {
		t.heard[id] = min(now, t.heard[id]+gap)
	}
	if t.contested != 0 {
		t.contested = min(now, t.contested+gap)
	}
}

// establish begins the tenure of a view that a majority has installed.
func (e *Elector) establish(v ControlView) {
	t := &tenure{
		view:     v.Clone(),
		began:    e.now,
		heard:    make(map[MemberID]time.Duration),
		leaving:  make(map[MemberID]bool),
		informed: make(map[MemberID]bool),
		foreign:  make(map[MemberID]bool),
		offered:  make(map[MemberID]bool),
	}
	for _, p := range v.Peers {
		t.heard[p.Member] = e.now
	}
	if c := e.candidacy; c != nil {
		t.dismiss(c.base.Peers)
	}
	if old := e.tenure; old != nil {
		t.dismiss(old.dismissed)
		t.round = old.round
		t.leaving = old.leaving
		for id := range t.heard {
			if at, ok := old.heard[id]; ok {
				t.heard[id] = at
			}
		}
	}
	e.tenure = t
	e.candidacy = nil
	e.decided = v.Clone()
	e.meet(v)
	e.heard = true
	e.lastWord = e.now
	e.writer.changed(e, e.witness.Learn(v))
	e.do(InstallView{View: v.Clone()})
	e.do(BecamePrimary{Epoch: v.Epoch})
	e.beat()
}

// dismiss has those peers told of the view that are not in it: a process that is about to end waits to be left out.
func (t *tenure) dismiss(peers []Peer) {
	for _, p := range peers {
		present := func(other Peer) bool { return other.Member == p.Member || other.Address == p.Address }
		if !slices.ContainsFunc(t.view.Peers, present) && !slices.ContainsFunc(t.dismissed, present) {
			t.dismissed = append(t.dismissed, p)
		}
	}
}

// lose ends the tenure.
func (e *Elector) lose() {
	epoch := e.tenure.epoch()
	e.tenure = nil
	e.lastWord = e.now
	e.nextTry = e.now + e.o.RankDelay + time.Duration(e.o.Random(int64(e.o.RankDelay)))
	if e.candidacy != nil {
		e.candidacy = nil
	}
	e.do(LostPrimary{Epoch: epoch})
	e.failConfirms()
}

// beat tells everybody in the view that the primary is alive, in a new round. Those that are in the view no more are told of it, until they
// answer or have had time enough.
func (e *Elector) beat() {
	t := e.tenure
	t.round++
	t.sentAt = e.now
	for _, p := range t.view.Peers {
		e.tellAlive(p)
	}
	if e.now-t.began >= dismissalPeriod {
		t.dismissed = nil
	}
	for _, p := range t.dismissed {
		if !t.informed[p.Member] {
			e.tellAlive(p)
		}
	}
}

// tellAlive sends word of the primary, with the view where it may not be known.
func (e *Elector) tellAlive(to Peer) {
	t := e.tenure
	m := &Alive{Epoch: t.epoch(), Round: t.round}
	if !t.informed[to.Member] {
		m.View = t.view.Clone()
	}
	e.send(to, m)
}

func (e *Elector) tickTenure() {
	t := e.tenure
	if e.now-t.sentAt >= e.o.Interval {
		e.beat()
	}
	if (e.leaveOutStalled() || e.resigned) && e.now-t.handedAt >= introduceEvery {
		e.handOver()
	}
}

// leaveOutStalled has members that hold up all writes be learners, as long as enough others are left to write to. It tells whether this
// primary's own disk is what holds them up.
func (e *Elector) leaveOutStalled() (own bool) {
	if e.o.StalledMembers == nil {
		return false
	}
	stalled := e.o.StalledMembers()
	v := &e.tenure.view
	if slices.Contains(stalled, e.o.Self.Member) {
		return true
	}
	left := 0
	for _, id := range v.Members {
		if !slices.Contains(stalled, id) {
			left++
		}
	}
	if left < v.UsefulCopies(e.o.Tolerate+1) {
		return false
	}
	for _, id := range stalled {
		e.unjoinable[id] = e.now + unjoinableFor
	}
	return false
}

// handOver asks the member that was heard of last to become candidate.
func (e *Elector) handOver() {
	t := e.tenure
	t.handedAt = e.now
	var best MemberID
	for _, id := range t.view.Members {
		if id != e.o.Self.Member && t.alive(e, id) && !e.leftOut(id) && (best == "" || t.heard[id] > t.heard[best]) {
			best = id
		}
	}
	if best != "" {
		e.send(e.find(best, t.view), &Campaign{Epoch: t.epoch()})
	}
}

// tickTenureChange begins a change of the view where another is wanted, or where others have promised a higher epoch and nothing came of it.
func (e *Elector) tickTenureChange() {
	t := e.tenure
	if e.resigned || e.now < e.nextTry {
		return
	}
	if e.isContested() {
		if t.contested == 0 {
			t.contested = e.now
		} else if e.now-t.contested >= e.o.Silence {
			e.startCandidacy(true)
		}
		return
	}
	t.contested = 0
	if t.hearsMajority(e) && (t.unsettled || !sameComposition(e.desired(), t.view)) {
		e.startCandidacy(false)
	}
}

// isContested tells whether there is no majority left that has not promised a higher epoch to somebody else.
func (e *Elector) isContested() bool {
	return !hasMajority(e.tenure.view.Witnesses, func(id MemberID) bool { return !e.tenure.foreign[id] })
}

// receiveAlive takes word of a primary.
func (e *Elector) receiveAlive(from Peer, m *Alive) {
	e.seen = max(e.seen, m.Epoch)
	if from.Member == e.o.Self.Member {
		e.send(from, e.aliveAnswer(from.Member, m.Epoch, m.Round))
		return
	}
	installed := e.witness.Register.Installed
	switch {
	case m.Epoch <= e.decided.Epoch:
	case m.View.Epoch == m.Epoch && m.View.Primary == from.Member:
		e.follow(m.View)
	case installed.Epoch == m.Epoch && installed.Primary == from.Member:
		e.follow(installed)
	}
	if m.Epoch == e.decided.Epoch && from.Member == e.decided.Primary {
		e.heard, e.lastWord = true, e.now
		if c := e.candidacy; c != nil && !c.forced && c.phase == preparing && e.tenure == nil {
			e.abandon()
		}
	}
	e.writer.answer(e, from, e.aliveAnswer(from.Member, m.Epoch, m.Round))
	if m.Epoch < installed.Epoch && installed.Generation > 0 {
		e.tellGeneration(from)
	}
}

// follow takes a decided view of another primary.
func (e *Elector) follow(v ControlView) {
	e.decided = v.Clone()
	e.meet(v)
	if e.candidacy != nil && e.candidacy.epoch <= v.Epoch {
		e.abandon()
	}
	if e.tenure != nil {
		e.lose()
	}
	e.writer.changed(e, e.witness.Learn(v))
	e.do(InstallView{View: v.Clone()})
}

func (e *Elector) aliveAnswer(primary MemberID, epoch, round uint64) *AliveAnswer {
	g := &e.witness.Register
	return &AliveAnswer{
		Epoch: epoch, Round: round, Promised: g.Promised, Leaving: e.resigned,
		Stands:    e.witness.stands(primary, epoch),
		Foreign:   g.Promised > epoch && g.Candidate != primary,
		Installed: max(e.decided.Epoch, g.Installed.Epoch),
	}
}

func (e *Elector) receiveAliveAnswer(from Peer, m *AliveAnswer) {
	e.seen = max(e.seen, m.Promised)
	t := e.tenure
	if t == nil || m.Epoch != t.epoch() {
		return
	}
	if t.view.Address(from.Member) != "" { // what others say of themselves is no sign that they hear
		t.heard[from.Member] = e.now
	}
	t.leaving[from.Member] = m.Leaving
	t.informed[from.Member] = m.Installed == m.Epoch
	t.foreign[from.Member] = m.Foreign
	if m.Stands {
		e.countConfirms(from.Member, m.Round)
	}
}
