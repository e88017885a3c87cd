package replication

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// foundAnew founds the group of a cluster anew on the disk of a process, with the records that it has, and has the others join, but for
// those that are down or left out. The process is started again as the founder.
func (c *cluster) foundAnew(t *testing.T, founder *process, leftOut ...*process) ControlView {
	t.Helper()
	self := Peer{Member: founder.member(), Address: founder.machine}
	view := FirstViewOfGeneration(self, founder.elector.HighestEpoch()+RecoveryEpochGap, founder.elector.Generation()+1)
	for _, p := range c.procs {
		if p == founder || !p.running || slices.Contains(leftOut, p) {
			continue
		}
		p.do(func() {
			joined, actions := p.elector.JoinGeneration(view, c.now)
			p.act(actions)
			if !joined {
				t.Errorf("%s did not join", p.member())
			}
		})
	}
	founder.stop(false)
	records := []Record{}
	for key, record := range founder.storage.index[testGroup] {
		record.Key, record.Version = key, FoundedVersion(view.Epoch, uint64(len(records)+1))
		records = append(records, record)
	}
	founder.storage.Append(testGroup, records, nil)
	founder.storage.Append(LocalGroup, FoundingRecords(testGroup, view), nil)
	founder.storage.crash(2) // both are synced
	founder.start()
	return view
}

// loseDisks has processes lose their disks and come back empty.
func (c *cluster) loseDisks(lost ...*process) {
	for _, p := range lost {
		p.stop(true)
		p.wipe()
		p.start()
	}
}

// survivorAndRest returns the primary, or another member of the view, and the other processes.
func (c *cluster) survivorAndRest(primary bool) (survivor *process, rest []*process) {
	view := c.primary().elector.View()
	for _, p := range c.procs {
		if survivor == nil && view.IsMember(p.member()) && (p == c.primary()) == primary {
			survivor = p
		} else {
			rest = append(rest, p)
		}
	}
	return survivor, rest
}

// The disks of a majority are lost: nobody is elected until an operator founds the group anew on a member that is left. It goes on with
// everything that was acknowledged, and the empty disks are witnesses and members again.
func TestGroupIsFoundedAnew(t *testing.T) {
	for _, primary := range []bool{true, false} {
		for seed := range uint64(20) {
			c := newRunningCluster(t, seed, 3, 3)
			survivor, lost := c.survivorAndRest(primary)
			c.loseDisks(lost...)
			if !primary {
				c.run(calm)
				is.New(t).True(c.primary() == nil) // one of three is no majority
			}
			view := c.foundAnew(t, survivor)
			c.run(2 * calm)
			if wrong := c.checkCalm(); wrong != "" {
				t.Fatalf("seed %d, primary survives %v: %s", seed, primary, wrong)
			}
			now := c.primary().elector.View()
			is.New(t).True(now.Epoch > view.Epoch)
			is.New(t).Equal(now.Generation, view.Generation)
		}
	}
}

// Disks of before that are put back are a majority of the witnesses of before, and lead their group on while they reach nobody else. Once
// they reach a process of the next generation they give up at once, and join it.
func TestOldDisksJoinTheNextGeneration(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		c := newRunningCluster(t, seed, 5, 3)
		view := c.primary().elector.View()
		members := slices.DeleteFunc(slices.Clone(c.procs), func(p *process) bool { return !view.IsMember(p.member()) })
		old := append([]*process{}, members[1:]...)
		rest := []*process{members[0]}
		for _, p := range c.procs {
			if !slices.Contains(members, p) {
				if len(old) < 3 {
					old = append(old, p)
				} else {
					rest = append(rest, p)
				}
			}
		}
		for _, p := range old {
			p.stop(true)
		}
		c.run(time.Second)
		founded := c.foundAnew(t, members[0])
		c.run(calm)
		for _, p := range old {
			for _, q := range rest {
				c.block(p, q, true)
				c.block(q, p, true)
			}
			p.start()
		}
		c.unjudged = true
		answers := c.answers
		c.run(calm) // both go on: the operator said that these disks are lost
		is.True(c.answers > answers)
		leads := func(p *process) bool { return p.elector.IsPrimary() }
		is.True(slices.ContainsFunc(old, leads))
		is.True(slices.ContainsFunc(rest, leads))
		for _, p := range old {
			for _, q := range rest {
				c.block(p, q, false)
				c.block(q, p, false)
			}
		}
		c.run(2 * calm)
		c.acked, c.epochs, c.started = map[string]uint64{}, map[uint64]map[string]uint64{}, nil // what the old ones took meanwhile is lost
		c.unjudged = false
		c.run(calm)
		if wrong := c.checkCalm(); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for _, p := range c.procs {
			is.Equal(p.elector.Generation(), founded.Generation)
		}
	}
}

// The first view of a generation is taken whatever was promised before, and is on disk before that is said.
func TestGenerationGoesBeforePromises(t *testing.T) {
	is := is.New(t)
	self, founder := Peer{Member: "a/1", Address: "a"}, Peer{Member: "b/2", Address: "b"}
	promised := Register{Promised: 5000, Candidate: "c/1", Installed: ControlView{View: View{Epoch: 7, Primary: "c/1", Members: []MemberID{"c/1"}},
		Witnesses: []MemberID{"a/1", "c/1", "d/1"}}}
	e := NewElector(ElectorOptions{Self: self, Register: &promised, Random: func(int64) int64 { return 0 }})
	view := FirstViewOfGeneration(founder, 1031, 1)
	joined, actions := e.JoinGeneration(view, time.Second)
	is.True(joined)
	is.True(!e.IsPersisted())
	var register PersistRegister
	for _, a := range actions {
		if persist, ok := a.(PersistRegister); ok {
			register = persist
		}
	}
	is.Equal(register.Register.Installed, view)
	e.Persisted(register.Token, nil, time.Second)
	is.True(e.IsPersisted())

	joined, _ = e.JoinGeneration(FirstViewOfGeneration(founder, 9000, 0), time.Second) // an earlier one is not joined
	is.True(!joined)
	is.Equal(e.Generation(), uint64(1))
}

// A founder hears of its own view from those that have joined it: it does not begin before its records are written.
func TestFounderDoesNotBeginByHearsay(t *testing.T) {
	is := is.New(t)
	self := Peer{Member: "a/1", Address: "a"}
	e := NewElector(ElectorOptions{Self: self, Seeds: []string{"a"}, Random: func(int64) int64 { return 0 }})
	view := FirstViewOfGeneration(self, 1031, 1)
	e.Receive(ElectionFrame{From: Peer{Member: "b/1", Address: "b"}, Message: &Introduced{Installed: view}}, time.Second)
	is.Equal(e.Generation(), uint64(0))
	is.Equal(e.HighestEpoch(), view.Epoch)
	for now := time.Second; now < 10*time.Second; now += 50 * time.Millisecond {
		for _, a := range e.Tick(now) {
			_, prepares := a.(PrepareView)
			is.True(!prepares)
		}
	}
}

// An earlier version writes views without a generation; a later one must be able to read its own.
func TestGenerationIsKeptInViews(t *testing.T) {
	is := is.New(t)
	view := FirstViewOfGeneration(Peer{Member: "a/1", Address: "a"}, 1031, 3)
	register := Register{Promised: 1031, Candidate: "a/1", Installed: view}
	var read Register
	is.NoErr(read.Decode(register.Append(nil)))
	is.Equal(read.Installed, view)

	b := newBallot(1032, view, 3)
	b.propose(ControlView{View: View{Members: view.Members}, Witnesses: view.Witnesses}, "a/1")
	is.Equal(b.view.Generation, uint64(3))
}

func TestFoundedVersionsAreNotDrawnAgain(t *testing.T) {
	is := is.New(t)
	storage := newMemoryStorage()
	view := FirstViewOfGeneration(Peer{Member: "a/1", Address: "a"}, 1031, 1)
	storage.Append(LocalGroup, FoundingRecords(testGroup, view), nil)
	entry, err := loadJoined(storage, testGroup)
	is.NoErr(err)
	is.True(FoundedVersion(view.Epoch, 1_000_000) <= view.Epoch<<versionNumberBits|entry.Reserved)
	is.True(FoundedVersion(1031, 2) > FoundedVersion(1031, 1))
}
