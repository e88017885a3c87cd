package replication

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func noRandom(int64) int64 { return 0 }

func TestAnswersWaitUntilTheRegisterIsOnDisk(t *testing.T) {
	is := is.New(t)
	register := Register{Promised: 3, Candidate: "b", Installed: ControlView{View: View{Epoch: 3, Primary: "b", Members: []MemberID{"a", "b"}}, Witnesses: []MemberID{"a", "b"}}}
	e := NewElector(ElectorOptions{Self: Peer{"a", "ma"}, Register: &register, Tolerate: 1, Random: noRandom})
	b := Peer{"b", "mb"}
	actions := e.Receive(ElectionFrame{From: b, Message: &PrepareEpoch{Epoch: 4}}, 0)
	is.Equal(len(actions), 1)
	persist := actions[0].(PersistRegister)
	is.Equal(persist.Register.Promised, uint64(4))
	is.Equal(len(e.Receive(ElectionFrame{From: b, Message: &PrepareEpoch{Epoch: 4}}, 0)), 0) // repeated request: not on disk yet

	is.Equal(len(e.Persisted(persist.Token, errDiskFull, 0)), 0)
	var again PersistRegister
	for _, a := range e.Tick(0) {
		if p, ok := a.(PersistRegister); ok {
			again = p
		}
	}
	is.Equal(again.Register.Promised, uint64(4))
	answers := e.Persisted(again.Token, nil, 0)
	is.Equal(len(answers), 2) // one for each request
	answer := answers[0].(SendElection)
	is.Equal(answer.To, b)
	is.True(answer.Frame.Message.(*PrepareAnswer).Granted)
}

func TestSeedThatLostItsDiskDoesNotPromiseToAFounder(t *testing.T) {
	is := is.New(t)
	w := Witness{}
	answer, changed := w.Prepare("a", &PrepareEpoch{Epoch: 1, Founding: true})
	is.True(!answer.Granted && !changed)
	w.Register.Founder = true
	answer, changed = w.Prepare("a", &PrepareEpoch{Epoch: 1, Founding: true})
	is.True(answer.Granted && changed)
}

func TestWitnessKeepsItsPromise(t *testing.T) {
	is := is.New(t)
	w := Witness{}
	answer, _ := w.Prepare("a", &PrepareEpoch{Epoch: 5})
	is.True(answer.Granted)
	answer, changed := w.Prepare("a", &PrepareEpoch{Epoch: 5})
	is.True(answer.Granted && !changed) // repeated request
	answer, _ = w.Prepare("b", &PrepareEpoch{Epoch: 5})
	is.True(!answer.Granted) // the same epoch for another candidate
	installed, _ := w.Install("b", &InstallEpoch{View: ControlView{View: View{Epoch: 4, Primary: "b"}}})
	is.True(!installed.Accepted)
	installed, _ = w.Install("a", &InstallEpoch{View: ControlView{View: View{Epoch: 5, Primary: "b"}}})
	is.True(!installed.Accepted) // the sender is not its primary
	installed, changed = w.Install("a", &InstallEpoch{View: ControlView{View: View{Epoch: 5, Primary: "a"}}})
	is.True(installed.Accepted && changed)
}

func TestNothingIsFoundedWithoutBootstrap(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 3, 3, 1)
	c.procs[1].bootstrap = false
	c.procs[2].bootstrap = false
	c.startAll(0)
	c.run(10 * time.Second)
	is.Equal(c.failure, "")
	is.True(c.primary() == nil)
}

func TestFoundingNeedsAMajorityOfTheSeeds(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 4, 3, 1)
	c.procs[0].start()
	c.procs[3].start() // no seed
	c.run(5 * time.Second)
	is.True(c.primary() == nil)
	c.procs[1].start()
	c.run(2 * time.Second)
	is.True(c.primary() != nil)      // two of three
	is.Equal(c.checkRecovered(), "") // with the fourth
	c.procs[2].start()
	c.run(2 * time.Second)
	is.Equal(c.checkRecovered(), "")
	is.Equal(len(c.primary().elector.View().Witnesses), 4)
}

func TestSeedsWaitForEachOther(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		c := newCluster(seed, 3, 3, 1)
		c.startAll(300 * time.Millisecond)
		c.run(time.Second)
		is.Equal(c.checkRecovered(), "")
		is.Equal(c.primary().elector.View().Epoch, uint64(1)) // in the first attempt, with all seeds
	}
}

// A process resumes after a pause with its timers expired and no recent heartbeats. That must not count as a failure of the primary.
func TestPausedProcessDoesNotCampaign(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		c := newRunningCluster(t, seed, 3, 3)
		before := c.primary()
		for _, p := range c.procs {
			if p != before {
				p.pausedUntil = c.now + 2*time.Second
			}
		}
		c.run(recoveryTime)
		is.Equal(c.checkRecovered(), "")
		is.True(c.primary() == before)
	}
}

// A member that receives no heartbeats while the others do must not depose the primary.
func TestMemberBehindAOneWayCutDoesNotDepose(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		c := newRunningCluster(t, seed, 3, 3)
		before := c.primary()
		isolated := c.procs[0]
		if isolated == before {
			isolated = c.procs[1]
		}
		c.block(before, isolated, true)
		c.run(3 * time.Second)
		is.Equal(c.failure, "")
		is.True(c.primary() == before)
		is.True(c.now-c.lastAck < 100*time.Millisecond) // writes continue without it
	}
}

// Confirm must fail at a primary that was replaced without its knowledge.
func TestConfirmNeedsAMajority(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, 1, 3, 3)
	old := c.primary()
	c.isolate(old, true, true)
	answers := 0
	old.act(old.elector.Confirm(c.now, func(confirmed bool) {
		answers++
		is.True(!confirmed)
	}))
	c.run(confirmDeadline + 100*time.Millisecond)
	is.Equal(answers, 1)
	is.True(old.elector.IsPrimary())                // it is not aware of its replacement
	is.True(c.lastAck > c.now-100*time.Millisecond) // another primary acknowledges writes
}

func TestTwoOfFourWitnessesElectNoPrimary(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, 1, 4, 3)
	for _, a := range c.procs[:2] {
		for _, b := range c.procs[2:] {
			c.block(a, b, true)
			c.block(b, a, true)
		}
	}
	c.run(200 * time.Millisecond)
	acked := c.ackCount
	c.run(5 * time.Second)
	is.Equal(c.ackCount, acked)
	for _, a := range c.procs[:2] {
		c.isolate(a, false, false)
	}
	c.run(recoveryTime)
	is.Equal(c.checkRecovered(), "")
}

func TestLostWitnessIsRemovedOnlyIfThatHelps(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, 1, 4, 3)
	lost := c.procs[3]
	if c.primary() == lost {
		lost = c.procs[2]
	}
	lost.stop(true)
	c.run(6 * time.Second)
	is.Equal(c.checkRecovered(), "")
	is.Equal(len(c.primary().elector.View().Witnesses), 3) // four witnesses with one lost tolerate no other loss
	for _, p := range c.procs {
		if p.running && p != c.primary() {
			p.stop(true)
			break
		}
	}
	c.run(6 * time.Second)
	is.Equal(len(c.primary().elector.View().Witnesses), 3) // with one of three lost, a set of two would not be better
	lost.start()
	c.run(6 * time.Second)
	is.Equal(c.checkRecovered(), "")
}

// newPrimary returns the elector of a primary "a" with two other witnesses, and its view.
func newPrimary() (*Elector, ControlView) {
	ids := []MemberID{"a", "b", "c"}
	v := ControlView{View: View{Epoch: 7, Primary: "a", Members: ids}, Witnesses: ids}
	for _, id := range ids {
		v.Peers = append(v.Peers, Peer{Member: id, Address: "m" + id})
	}
	e := NewElector(ElectorOptions{
		Self: v.Peers[0], Tolerate: 1, Random: noRandom,
		Register: &Register{Promised: 7, Candidate: "a", Installed: v},
	})
	e.run(0, func() { e.becomePrimary(v) })
	return e, v
}

func TestConfirmCountsOnlyAnswersToLaterRounds(t *testing.T) {
	is := is.New(t)
	e, v := newPrimary()
	currentRound := e.primary.round
	e.Confirm(0, nil)
	answer := func(from int, m HeartbeatAnswer) []Action {
		m.Epoch = 7
		return e.Receive(ElectionFrame{From: v.Peers[from], Message: &m}, 0)
	}
	is.Equal(len(answer(1, HeartbeatAnswer{Round: currentRound, StillPrimary: true})), 0)      // answers a heartbeat sent before
	is.Equal(len(answer(2, HeartbeatAnswer{Round: currentRound + 1, StillPrimary: false})), 0) // has promised or installed another primary
	actions := answer(1, HeartbeatAnswer{Round: currentRound + 1, StillPrimary: true})
	is.Equal(len(actions), 1) // a majority, including the local witness
	is.True(actions[0].(ConfirmResult).Confirmed)
}

// Answers in two views are not counted together: in neither view may there be a majority.
func TestConfirmRestartsWithEachView(t *testing.T) {
	is := is.New(t)
	e, v := newPrimary()
	v.Epoch, v.Witnesses = 8, []MemberID{"a", "b", "c", "d", "e"}
	v.Peers = append(v.Peers, Peer{"d", "md"}, Peer{"e", "me"})
	e.run(0, func() { e.becomePrimary(v) })
	e.Confirm(0, nil)
	answer := func(from int, epoch uint64) int {
		confirmed := 0
		for _, a := range e.Receive(ElectionFrame{From: v.Peers[from], Message: &HeartbeatAnswer{Epoch: epoch, Round: e.primary.round, StillPrimary: true}}, 0) {
			if _, ok := a.(ConfirmResult); ok {
				confirmed++
			}
		}
		return confirmed
	}
	is.Equal(answer(1, 8), 0) // two of five, including the local witness
	v.Epoch = 9
	e.run(0, func() { e.becomePrimary(v) })
	is.Equal(answer(2, 9), 0)
	is.Equal(answer(3, 9), 1) // three of five in this view, without the answer in the previous one
}

func TestToleratedLosses(t *testing.T) {
	is := is.New(t)
	for n, want := range []int{0, 0, 0, 1, 1, 2, 2, 3} {
		is.Equal(ControlView{Witnesses: make([]MemberID, n)}.ToleratedLosses(), want)
	}
	for losses := range 5 {
		is.Equal(ControlView{Witnesses: make([]MemberID, WitnessesFor(losses))}.ToleratedLosses(), losses)
	}
}

func TestUsefulCopies(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ witnesses, wanted, useful int }{
		{0, 2, 2}, {1, 2, 2}, {1, 1, 1}, {2, 3, 2}, {3, 2, 2}, {3, 3, 2}, {4, 3, 3}, {4, 2, 2}, {5, 3, 3}, {9, 3, 3},
	} {
		v := ControlView{Witnesses: make([]MemberID, c.witnesses)}
		is.Equal(v.UsefulCopies(c.wanted), c.useful)
	}
}

// Adding or removing a witness needs majorities of both the old and the new set.
func TestViewNeedsMajoritiesOfBothWitnessSets(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		before, after, accepted []MemberID
		decided                 bool
	}{
		{[]MemberID{"a", "b", "c", "d"}, []MemberID{"a", "b", "c"}, []MemberID{"a", "b"}, false},
		{[]MemberID{"a", "b", "c", "d"}, []MemberID{"a", "b", "c"}, []MemberID{"a", "b", "d"}, true},
		{[]MemberID{"a", "b", "c"}, []MemberID{"a", "b", "c", "d"}, []MemberID{"a", "b"}, false},
		{[]MemberID{"a", "b", "c"}, []MemberID{"a", "b", "c", "d"}, []MemberID{"a", "b", "d"}, true},
		{[]MemberID{"a", "b", "c"}, []MemberID{"a", "b", "d"}, []MemberID{"a", "d"}, false},
	} {
		b := newBallot(9, ControlView{View: View{Epoch: 8}, Witnesses: c.before}, 3)
		b.propose(ControlView{Witnesses: c.after}, "a")
		for _, id := range c.accepted {
			b.accepted[id] = true
		}
		is.Equal(b.isDecided(), c.decided)
	}
}

// A candidate that learns of a view in which it is only a witness lacks the writes acknowledged there, so it yields to a member.
func TestCandidateThatIsNotAMemberYields(t *testing.T) {
	is := is.New(t)
	_, v := newPrimary()
	e := NewElector(ElectorOptions{Self: v.Peers[0], Tolerate: 1, Random: noRandom, Register: &Register{Promised: 7, Candidate: "b", Installed: v}})
	e.Tick(0)
	e.run(0, func() { e.startCandidacy(false) })
	epoch := e.candidacy.epoch
	later := v.Clone()
	later.Epoch, later.Primary, later.Members = 8, "b", []MemberID{"b", "c"}
	var actions []Action
	for _, from := range v.Peers[1:] {
		answer := &PrepareAnswer{Epoch: epoch, Granted: true, Promised: epoch, Installed: later}
		actions = append(actions, e.Receive(ElectionFrame{From: from, Message: answer}, 0)...)
	}
	actions = append(actions, e.Tick(2*gracePeriod)...)
	campaigns := 0
	for _, a := range actions {
		switch a := a.(type) {
		case PrepareView:
			t.Errorf("prepares %v without the writes acknowledged in %v", a.View, later)
		case SendElection:
			if _, ok := a.Frame.Message.(*Campaign); ok {
				campaigns++
			}
		}
	}
	is.Equal(campaigns, 1)
	is.True(e.candidacy == nil)
}

// A replaced primary that reaches its peers again must not be confirmed, although it has not learned of its replacement yet.

func TestReplacedPrimaryIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		c := newRunningCluster(t, seed, 3, 3)
		old := c.primary()
		c.isolate(old, true, true)
		c.run(1500 * time.Millisecond)
		is.True(c.primary() == nil) // two processes consider themselves primary
		c.isolate(old, false, false)
		old.act(old.elector.Confirm(c.now, func(confirmed bool) { is.True(!confirmed) }))
		c.run(recoveryTime)
		is.Equal(c.checkRecovered(), "")
	}
}

// When a view change is abandoned after the replica has joined the new epoch, it cannot acknowledge writes in the old epoch any more.
// Another view change must follow, even if the desired view is the same as the current one.
func TestAbandonedViewChangeIsRetried(t *testing.T) {
	is := is.New(t)
	e, _ := newPrimary()
	e.run(0, func() {
		e.startCandidacy(false)
		e.candidacy.propose(e.desiredView(), "a")
		e.candidacy.phase = catchingUp
		e.abandon()
	})
	is.True(e.candidacy == nil)
	for now := time.Duration(0); now < time.Second && e.candidacy == nil; now += 50 * time.Millisecond {
		e.Tick(now)
		e.primary.lastHeard["b"], e.primary.lastHeard["c"] = now, now
	}
	is.True(e.candidacy != nil)
}

// The time of a pause does not count towards the election timeout; the time after it does.
func TestPauseDoesNotCountTowardsTheElectionTimeout(t *testing.T) {
	is := is.New(t)
	_, v := newPrimary()
	e := NewElector(ElectorOptions{Self: v.Peers[1], Tolerate: 1, Random: noRandom, Register: &Register{Promised: 7, Candidate: "a", Installed: v}})
	e.Tick(0)
	e.Receive(ElectionFrame{From: v.Peers[0], Message: &Heartbeat{Epoch: 7}}, 0)
	e.Tick(50 * time.Millisecond)
	now := 10 * time.Second
	e.Tick(now)
	is.True(e.candidacy == nil)
	for ; e.candidacy == nil; now += 50 * time.Millisecond {
		e.Tick(now)
	}
	is.True(now >= 10*time.Second+defaultElectionTimeout-pauseGap-100*time.Millisecond)
	is.True(now <= 10*time.Second+defaultElectionTimeout+100*time.Millisecond)
}

// Members whose replicas did not join become learners, which writes do not wait for, and are members again as soon as they are in sync.
func TestMembersThatFailToJoinBecomeLearners(t *testing.T) {
	is := is.New(t)
	e, v := newPrimary()
	e.unjoinable["b"], e.unjoinable["c"] = unjoinablePeriod, unjoinablePeriod
	wanted := e.desiredView()
	is.Equal(wanted.Members, []MemberID{"a"})
	is.Equal(wanted.Learners, []MemberID{"b", "c"})
	wanted.Epoch, wanted.Primary = 8, "a"
	e.run(0, func() { e.becomePrimary(wanted) })
	e.Offered(8, "c", 0)
	wanted = e.desiredView()
	is.Equal(wanted.Members, []MemberID{"a", "c"})
	is.Equal(wanted.Learners, []MemberID{"b"})

	// A candidate does the same with those that have promised.
	e = NewElector(ElectorOptions{Self: v.Peers[0], Tolerate: 1, Random: noRandom, Register: &Register{Promised: 7, Candidate: "b", Installed: v}})
	e.Tick(0)
	e.unjoinable["b"] = unjoinablePeriod
	e.run(0, func() {
		e.startCandidacy(false)
		e.candidacy.answers["b"] = &PrepareAnswer{Granted: true}
		e.candidacy.answers["c"] = &PrepareAnswer{Granted: true}
		wanted = e.proposeView(e.candidacy)
	})
	is.Equal(wanted.Members, []MemberID{"a", "c"})
	is.Equal(wanted.Learners, []MemberID{"b"})
}

// A primary that was removed as a witness when it was shutting down, and could not be replaced, becomes a witness again after its restart.
func TestPrimaryThatIsNotAWitnessBecomesOne(t *testing.T) {
	is := is.New(t)
	v := ControlView{View: View{Epoch: 7, Primary: "a", Members: []MemberID{"a"}}, Witnesses: []MemberID{"b", "c", "d"}}
	for _, id := range []MemberID{"a", "b", "c", "d"} {
		v.Peers = append(v.Peers, Peer{Member: id, Address: "m" + id})
	}
	e := NewElector(ElectorOptions{
		Self: v.Peers[0], Tolerate: 1, Random: noRandom, Register: &Register{Promised: 7, Candidate: "a", Installed: v},
	})
	e.run(0, func() { e.becomePrimary(v) })
	is.Equal(e.desiredView().Witnesses, []MemberID{"b", "c", "d", "a"})
	e.Tick(0)
	is.True(e.candidacy != nil)

	e.resigned = true // not while it is shutting down
	is.Equal(e.desiredView().Witnesses, []MemberID{"b", "c", "d"})
}

func TestNewAddressOfAMemberChangesTheView(t *testing.T) {
	is := is.New(t)
	e, _ := newPrimary()
	e.Tick(0)
	is.True(e.candidacy == nil)
	e.Receive(ElectionFrame{From: Peer{Member: "b", Address: "elsewhere"}, Message: &Introduce{}}, 0)
	e.Tick(0)
	is.True(e.candidacy != nil)
	is.Equal(e.desiredView().Address("b"), "elsewhere")
	is.Equal(len(e.desiredView().Members), 3)
}
