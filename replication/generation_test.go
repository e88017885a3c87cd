package replication

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// foundNewGeneration founds a new generation of the group on the disk of a process, with the records on it, and has the other processes
// join, except those that are down or excluded. The process is restarted as the founder.
func (c *cluster) foundNewGeneration(t *testing.T, founder *process, excluded ...*process) ControlView {
	t.Helper()
	self := Peer{Member: founder.member(), Address: founder.machine}
	view := FirstViewOfGeneration(self, founder.elector.HighestEpoch()+RecoveryEpochGap, founder.elector.Generation()+1)
	for _, p := range c.procs {
		if p == founder || !p.running || slices.Contains(excluded, p) {
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

// loseDisks restarts processes with empty disks.
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

// The disks of a majority are lost: no primary is elected until an operator founds the group anew on a remaining member. The new
// generation has all acknowledged writes, and the processes with empty disks become witnesses and members again.
func TestGroupIsFoundedAnew(t *testing.T) {
	for _, primary := range []bool{true, false} {
		for seed := range uint64(20) {
			c := newRunningCluster(t, seed, 3, 3)
			survivor, lost := c.survivorAndRest(primary)
			c.loseDisks(lost...)
			if !primary {
				c.run(recoveryTime)
				is.New(t).True(c.primary() == nil) // one of three is no majority
			}
			view := c.foundNewGeneration(t, survivor)
			c.run(2 * recoveryTime)
			if problem := c.checkRecovered(); problem != "" {
				t.Fatalf("seed %d, primary survives %v: %s", seed, primary, problem)
			}
			now := c.primary().elector.View()
			is.New(t).True(now.Epoch > view.Epoch)
			is.New(t).Equal(now.Generation, view.Generation)
		}
	}
}

// Old disks that are put back form a majority of the old witnesses, and continue the old generation while they reach no other process.
// Once they reach a process of the next generation, they step down immediately and join it.
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
		founded := c.foundNewGeneration(t, members[0])
		c.run(recoveryTime)
		for _, p := range old {
			for _, q := range rest {
				c.block(p, q, true)
				c.block(q, p, true)
			}
			p.start()
		}
		c.checksOff = true
		answers := c.ackCount
		c.run(recoveryTime) // both generations run: the operator had declared the old disks lost
		is.True(c.ackCount > answers)
		leads := func(p *process) bool { return p.elector.IsPrimary() }
		is.True(slices.ContainsFunc(old, leads))
		is.True(slices.ContainsFunc(rest, leads))
		for _, p := range old {
			for _, q := range rest {
				c.block(p, q, false)
				c.block(q, p, false)
			}
		}
		c.run(2 * recoveryTime)
		c.acked, c.ackedIn, c.initialStates = map[string]uint64{}, map[uint64]map[string]uint64{}, nil // writes acknowledged by the old generation are lost
		c.checksOff = false
		c.run(recoveryTime)
		if problem := c.checkRecovered(); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		for _, p := range c.procs {
			is.Equal(p.elector.Generation(), founded.Generation)
		}
	}
}

// The first view of a generation is adopted regardless of earlier promises, and IsPersisted returns true only once it is on disk.
func TestGenerationOverridesPromises(t *testing.T) {
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

	joined, _ = e.JoinGeneration(FirstViewOfGeneration(founder, 9000, 0), time.Second) // an earlier generation is not joined
	is.True(!joined)
	is.Equal(e.Generation(), uint64(1))
}

// A founder receives its own view from processes that have joined it. It must not start in it before its founding records are written.
func TestFounderDoesNotStartBeforeItsRecordsAreWritten(t *testing.T) {
	is := is.New(t)
	self := Peer{Member: "a/1", Address: "a"}
	e := NewElector(ElectorOptions{Self: self, Seeds: []string{"a"}, Random: func(int64) int64 { return 0 }})
	view := FirstViewOfGeneration(self, 1031, 1)
	e.Receive(ElectionFrame{From: Peer{Member: "b/1", Address: "b"}, Message: &IntroduceAnswer{Installed: view}}, time.Second)
	is.Equal(e.Generation(), uint64(0))
	is.Equal(e.HighestEpoch(), view.Epoch)
	for now := time.Second; now < 10*time.Second; now += 50 * time.Millisecond {
		for _, a := range e.Tick(now) {
			_, prepares := a.(PrepareView)
			is.True(!prepares)
		}
	}
}

// Earlier versions encode views without a generation. Registers and proposals must keep it.
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

func TestFoundedVersionsAreReserved(t *testing.T) {
	is := is.New(t)
	storage := newMemoryStorage()
	view := FirstViewOfGeneration(Peer{Member: "a/1", Address: "a"}, 1031, 1)
	storage.Append(LocalGroup, FoundingRecords(testGroup, view), nil)
	entry, err := loadJoinState(storage, testGroup)
	is.NoErr(err)
	is.True(FoundedVersion(view.Epoch, 1_000_000) <= view.Epoch<<versionNumberBits|entry.Reserved)
	is.True(FoundedVersion(1031, 2) > FoundedVersion(1031, 1))
}
