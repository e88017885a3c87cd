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
	is.Equal(len(e.Receive(ElectionFrame{From: b, Message: &PrepareEpoch{Epoch: 4}}, 0)), 0) // asked again: not on disk yet

	is.Equal(len(e.Persisted(persist.Token, errDiskFull, 0)), 0)
	var again PersistRegister
	for _, a := range e.Tick(0) {
		if p, ok := a.(PersistRegister); ok {
			again = p
		}
	}
	is.Equal(again.Register.Promised, uint64(4))
	answers := e.Persisted(again.Token, nil, 0)
	is.Equal(len(answers), 2) // one for each time it was asked
	answer := answers[0].(SendElection)
	is.Equal(answer.To, b)
	is.True(answer.Frame.Message.(*PrepareAnswer).Granted)
}

func TestWitnessOfALostDiskDoesNotFound(t *testing.T) {
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
	is.True(answer.Granted && !changed) // the same question again
	answer, _ = w.Prepare("b", &PrepareEpoch{Epoch: 5})
	is.True(!answer.Granted) // the same epoch for another
	installed, _ := w.Install("b", &InstallEpoch{View: ControlView{View: View{Epoch: 4, Primary: "b"}}})
	is.True(!installed.Accepted)
	installed, _ = w.Install("a", &InstallEpoch{View: ControlView{View: View{Epoch: 5, Primary: "b"}}})
	is.True(!installed.Accepted) // not the sender's own view
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
	is.True(c.primary() != nil) // two of three
	is.Equal(c.checkCalm(), "") // with the fourth
	c.procs[2].start()
	c.run(2 * time.Second)
	is.Equal(c.checkCalm(), "")
	is.Equal(len(c.primary().elector.View().Witnesses), 4)
}

func TestSeedsWaitForEachOther(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		c := newCluster(seed, 3, 3, 1)
		c.startAll(300 * time.Millisecond)
		c.run(time.Second)
		is.Equal(c.checkCalm(), "")
		is.Equal(c.primary().elector.View().Epoch, uint64(1)) // at the first try, with all
	}
}

// A process that was paused finds old timers due and has heard nothing for long; that is no sign of the primary's end.
func TestPausedProcessDoesNotCampaign(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		c := newRunningCluster(t, seed, 3, 3)
		before := c.primary()
		for _, p := range c.procs {
			if p != before {
				p.pausedTo = c.now + 2*time.Second
			}
		}
		c.run(calm)
		is.Equal(c.checkCalm(), "")
		is.True(c.primary() == before)
	}
}

// A member that does not hear the primary while the others do must not depose it.
func TestMemberBehindAOneWayCutDoesNotDepose(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		c := newRunningCluster(t, seed, 3, 3)
		before := c.primary()
		deaf := c.procs[0]
		if deaf == before {
			deaf = c.procs[1]
		}
		c.block(before, deaf, true)
		c.run(3 * time.Second)
		is.Equal(c.failure, "")
		is.True(c.primary() == before)
		is.True(c.now-c.lastAck < 100*time.Millisecond) // goes on without it
	}
}

// Confirm must not say yes at a primary that others have replaced without its knowledge.
func TestConfirmNeedsAMajority(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, 1, 3, 3)
	old := c.primary()
	c.isolate(old, true, true)
	answers := 0
	old.act(old.elector.Confirm(c.now, func(stands bool) {
		answers++
		is.True(!stands)
	}))
	c.run(confirmDeadline + 100*time.Millisecond)
	is.Equal(answers, 1)
	is.True(old.elector.IsPrimary())                // it cannot know better
	is.True(c.lastAck > c.now-100*time.Millisecond) // another is at work
}

func TestTwoOfFourWitnessesElectNobody(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, 1, 4, 3)
	for _, a := range c.procs[:2] {
		for _, b := range c.procs[2:] {
			c.block(a, b, true)
			c.block(b, a, true)
		}
	}
	c.run(200 * time.Millisecond)
	acked := c.answers
	c.run(5 * time.Second)
	is.Equal(c.answers, acked)
	for _, a := range c.procs[:2] {
		c.isolate(a, false, false)
	}
	c.run(calm)
	is.Equal(c.checkCalm(), "")
}

func TestWitnessThatIsGoneIsReplacedOnlyWhereThatHelps(t *testing.T) {
	is := is.New(t)
	c := newRunningCluster(t, 1, 4, 3)
	gone := c.procs[3]
	if c.primary() == gone {
		gone = c.procs[2]
	}
	gone.stop(true)
	c.run(6 * time.Second)
	is.Equal(c.checkCalm(), "")
	is.Equal(len(c.primary().elector.View().Witnesses), 3) // of four with one gone, no other could be lost
	for _, p := range c.procs {
		if p.running && p != c.primary() {
			p.stop(true)
			break
		}
	}
	c.run(6 * time.Second)
	is.Equal(len(c.primary().elector.View().Witnesses), 3) // of three with one gone, two would not be better
	gone.start()
	c.run(6 * time.Second)
	is.Equal(c.checkCalm(), "")
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
	e.run(0, func() { e.establish(v) })
	return e, v
}

func TestConfirmCountsOnlyAnswersToLaterQuestions(t *testing.T) {
	is := is.New(t)
	e, v := newPrimary()
	asked := e.tenure.round
	e.Confirm(0, nil)
	answer := func(from int, m AliveAnswer) []Action {
		m.Epoch = 7
		return e.Receive(ElectionFrame{From: v.Peers[from], Message: &m}, 0)
	}
	is.Equal(len(answer(1, AliveAnswer{Round: asked, Stands: true})), 0)      // was on its way already
	is.Equal(len(answer(2, AliveAnswer{Round: asked + 1, Stands: false})), 0) // knows of another
	actions := answer(1, AliveAnswer{Round: asked + 1, Stands: true})
	is.Equal(len(actions), 1) // a majority with the own witness
	is.True(actions[0].(ConfirmResult).Confirmed)
}

// Witnesses of two views are not counted together: neither may have a majority.
func TestConfirmBeginsAnewWithEachView(t *testing.T) {
	is := is.New(t)
	e, v := newPrimary()
	v.Epoch, v.Witnesses = 8, []MemberID{"a", "b", "c", "d", "e"}
	v.Peers = append(v.Peers, Peer{"d", "md"}, Peer{"e", "me"})
	e.run(0, func() { e.establish(v) })
	e.Confirm(0, nil)
	answer := func(from int, epoch uint64) int {
		confirmed := 0
		for _, a := range e.Receive(ElectionFrame{From: v.Peers[from], Message: &AliveAnswer{Epoch: epoch, Round: e.tenure.round, Stands: true}}, 0) {
			if _, ok := a.(ConfirmResult); ok {
				confirmed++
			}
		}
		return confirmed
	}
	is.Equal(answer(1, 8), 0) // with the own witness two of five
	v.Epoch = 9
	e.run(0, func() { e.establish(v) })
	is.Equal(answer(2, 9), 0)
	is.Equal(answer(3, 9), 1) // three of five of this view, the one of before not among them
}

func TestLossesBorne(t *testing.T) {
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

// A witness goes into the set and another out by majorities of both sets.
func TestViewNeedsMajoritiesOfBothSetsOfWitnesses(t *testing.T) {
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
		is.Equal(b.decided(), c.decided)
	}
}

// A candidate that learns of a view in which it is a witness only has not what was acknowledged there: it leaves the field to a member.
func TestCandidateThatWasLeftOutYields(t *testing.T) {
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
			t.Errorf("prepares %v, without what was acknowledged in %v", a.View, later)
		case SendElection:
			if _, ok := a.Frame.Message.(*Campaign); ok {
				campaigns++
			}
		}
	}
	is.Equal(campaigns, 1)
	is.True(e.candidacy == nil)
}

// An old primary that reaches the others again must not be told that it stands, although it has not heard of the new one yet.

func TestConfirmOfAReplacedPrimary(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		c := newRunningCluster(t, seed, 3, 3)
		old := c.primary()
		c.isolate(old, true, true)
		c.run(1500 * time.Millisecond)
		is.True(c.primary() == nil) // two think that they are
		c.isolate(old, false, false)
		old.act(old.elector.Confirm(c.now, func(stands bool) { is.True(!stands) }))
		c.run(calm)
		is.Equal(c.checkCalm(), "")
	}
}

// When a change of the view is given up after the replica has joined the new epoch, it can answer no more writes in the old one. Another
// change has to follow, also if nothing is to be changed any more.
func TestViewChangeThatWasGivenUpIsTakenUpAgain(t *testing.T) {
	is := is.New(t)
	e, _ := newPrimary()
	e.run(0, func() {
		e.startCandidacy(false)
		e.candidacy.propose(e.desired(), "a")
		e.candidacy.phase = equalising
		e.abandon()
	})
	is.True(e.candidacy == nil)
	for now := time.Duration(0); now < time.Second && e.candidacy == nil; now += 50 * time.Millisecond {
		e.Tick(now)
		e.tenure.heard["b"], e.tenure.heard["c"] = now, now
	}
	is.True(e.candidacy != nil)
}

// After a pause, the time of the pause does not count as silence of the primary; the time behind it does.
func TestSilenceDuringAPauseDoesNotCount(t *testing.T) {
	is := is.New(t)
	_, v := newPrimary()
	e := NewElector(ElectorOptions{Self: v.Peers[1], Tolerate: 1, Random: noRandom, Register: &Register{Promised: 7, Candidate: "a", Installed: v}})
	e.Tick(0)
	e.Receive(ElectionFrame{From: v.Peers[0], Message: &Alive{Epoch: 7}}, 0)
	e.Tick(50 * time.Millisecond)
	now := 10 * time.Second
	e.Tick(now)
	is.True(e.candidacy == nil)
	for ; e.candidacy == nil; now += 50 * time.Millisecond {
		e.Tick(now)
	}
	is.True(now >= 10*time.Second+defaultSilence-pauseGap-100*time.Millisecond)
	is.True(now <= 10*time.Second+defaultSilence+100*time.Millisecond)
}

// Members whose replicas did not join are learners, for whom nobody waits, and members again as soon as they are equal.
func TestMembersThatDidNotJoinAreLearners(t *testing.T) {
	is := is.New(t)
	e, v := newPrimary()
	e.unjoinable["b"], e.unjoinable["c"] = unjoinableFor, unjoinableFor
	wanted := e.desired()
	is.Equal(wanted.Members, []MemberID{"a"})
	is.Equal(wanted.Learners, []MemberID{"b", "c"})
	wanted.Epoch, wanted.Primary = 8, "a"
	e.run(0, func() { e.establish(wanted) })
	e.Offered(8, "c", 0)
	wanted = e.desired()
	is.Equal(wanted.Members, []MemberID{"a", "c"})
	is.Equal(wanted.Learners, []MemberID{"b"})

	// A candidate does the same with those that have promised.
	e = NewElector(ElectorOptions{Self: v.Peers[0], Tolerate: 1, Random: noRandom, Register: &Register{Promised: 7, Candidate: "b", Installed: v}})
	e.Tick(0)
	e.unjoinable["b"] = unjoinableFor
	e.run(0, func() {
		e.startCandidacy(false)
		e.candidacy.answers["b"] = &PrepareAnswer{Granted: true}
		e.candidacy.answers["c"] = &PrepareAnswer{Granted: true}
		wanted = e.proposal(e.candidacy)
	})
	is.Equal(wanted.Members, []MemberID{"a", "c"})
	is.Equal(wanted.Learners, []MemberID{"b"})
}

// A primary that was left out as a witness when it was about to end, and could not be replaced, becomes a witness again after its restart.
func TestPrimaryThatIsNoWitnessBecomesOne(t *testing.T) {
	is := is.New(t)
	v := ControlView{View: View{Epoch: 7, Primary: "a", Members: []MemberID{"a"}}, Witnesses: []MemberID{"b", "c", "d"}}
	for _, id := range []MemberID{"a", "b", "c", "d"} {
		v.Peers = append(v.Peers, Peer{Member: id, Address: "m" + id})
	}
	e := NewElector(ElectorOptions{
		Self: v.Peers[0], Tolerate: 1, Random: noRandom, Register: &Register{Promised: 7, Candidate: "a", Installed: v},
	})
	e.run(0, func() { e.establish(v) })
	is.Equal(e.desired().Witnesses, []MemberID{"b", "c", "d", "a"})
	e.Tick(0)
	is.True(e.candidacy != nil)

	e.resigned = true // not while it is about to end
	is.Equal(e.desired().Witnesses, []MemberID{"b", "c", "d"})
}

func TestMemberAtAnotherAddressIsTakenThere(t *testing.T) {
	is := is.New(t)
	e, _ := newPrimary()
	e.Tick(0)
	is.True(e.candidacy == nil)
	e.Receive(ElectionFrame{From: Peer{Member: "b", Address: "elsewhere"}, Message: &Introduce{}}, 0)
	e.Tick(0)
	is.True(e.candidacy != nil)
	is.Equal(e.desired().Address("b"), "elsewhere")
	is.Equal(len(e.desired().Members), 3)
}
