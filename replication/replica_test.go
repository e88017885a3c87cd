package replication

import (
	"testing"

	"github.com/matryer/is"
)

// newGroup returns a converged group of nodes n0, n1, ... whose first view has the given number of members.
func newGroup(t *testing.T, nodes, members, copies int) *replicaModel {
	m := newReplicaModel(t, 1, nodes, members, copies)
	m.joinAll()
	m.drain()
	return m
}

// put writes a key at a node and returns a pointer to its result.
func (m *replicaModel) put(id MemberID, key string) *error {
	answer := new(error)
	*answer = errNoAnswer
	m.nodes[id].replica.Write([]Record{{Key: "a" + key, Value: []byte(key)}, {Key: "z" + key, Value: []byte(key)}}, func(err error) { *answer = err })
	return answer
}

var errNoAnswer = ErrMalformed

func (m *replicaModel) install(v View) {
	m.views = append(m.views, v)
	m.drain()
}

func TestWriteAtABackupIsRejectedImmediately(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 2, 2)
	is.Equal(*m.put("n1", "k"), ErrNotPrimary)
	is.Equal(*m.put("n0", "k"), errNoAnswer) // waits for the syncs
}

func TestWriteNeedsCopies(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 1, 2)
	answer := m.put("n0", "k")
	m.drain()
	is.Equal(*answer, errNoAnswer) // only one disk has it
	m.install(View{Epoch: 2, Primary: "n0", Members: []MemberID{"n0"}, Learners: []MemberID{"n1"}})
	is.Equal(*answer, nil) // continued in the new epoch
	is.Equal(m.nodes["n1"].storage.durable[modelGroup]["ak"].Value, []byte("k"))
}

func TestFewerCopiesUnblockWrites(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 1, 2)
	answer := m.put("n0", "k")
	m.drain()
	is.Equal(*answer, errNoAnswer)
	m.nodes["n0"].replica.SetCopies(1)
	m.install(View{Epoch: 2, Primary: "n0", Members: []MemberID{"n0"}})
	is.Equal(*answer, nil)
}

// awaitCommitAt calls AwaitCommit at a node and returns a pointer to its result.
func (m *replicaModel) awaitCommitAt(id MemberID) *error {
	answer := new(error)
	*answer = errNoAnswer
	m.nodes[id].replica.AwaitCommit(func(err error) { *answer = err })
	return answer
}

// A primary that is active with fewer members than Copies may hold writes that no other node has. They are committed once a learner is in
// sync, not already when a learner has stored a later write.
func TestAwaitCommitWaitsForEnoughCopies(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 1, 2)
	is.True(m.nodes["n0"].replica.IsActive())
	m.put("n0", "k")
	answer := m.awaitCommitAt("n0")
	m.drain()
	is.Equal(*answer, errNoAnswer) // one disk has it
	is.Equal(*m.awaitCommitAt("n1"), ErrNotPrimary)

	m.install(View{Epoch: 2, Primary: "n0", Members: []MemberID{"n0"}, Learners: []MemberID{"n1"}})
	is.Equal(*answer, nil)
	is.Equal(m.nodes["n1"].storage.durable[modelGroup]["ak"].Value, []byte("k"))
	is.Equal(*m.awaitCommitAt("n0"), nil) // fully replicated: immediately

	m.cut("n0", "n1")
	answer = m.awaitCommitAt("n0")
	m.nodes["n0"].replica.Install(View{Epoch: 3, Primary: "n1", Members: []MemberID{"n1"}})
	is.Equal(*answer, ErrDeposed)
}

func TestLostMemberBlocksWritesUntilAViewWithoutIt(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 3, 3, 2)
	m.nodes["n2"].stop(0)
	answer := m.put("n0", "k")
	m.drain()
	is.Equal(*answer, errNoAnswer)
	is.Equal(m.nodes["n0"].replica.BlockingPeers(), []MemberID{"n2"})
	m.install(View{Epoch: 2, Primary: "n0", Members: []MemberID{"n0", "n1"}})
	is.Equal(*answer, nil)
}

func TestOfferedLearnerBlocksWritesUntilTheNextView(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 3, 2, 2)
	m.install(View{Epoch: 2, Primary: "n0", Members: []MemberID{"n0", "n1"}, Learners: []MemberID{"n2"}})
	is.True(m.offers["n2"])
	m.nodes["n2"].stop(0)
	answer := m.put("n0", "k")
	m.drain()
	is.Equal(*answer, errNoAnswer)
	m.install(View{Epoch: 3, Primary: "n0", Members: []MemberID{"n0", "n1"}})
	is.Equal(*answer, nil)
}

func TestPendingWritesOfADeposedPrimaryFail(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 2, 2)
	m.cut("n0", "n1")
	answer := m.put("n0", "k")
	v := View{Epoch: 2, Primary: "n1", Members: []MemberID{"n1", "n0"}}
	m.nodes["n0"].replica.Install(v)
	is.Equal(*answer, ErrDeposed)
	is.Equal(*m.put("n0", "k"), ErrNotPrimary)
	m.install(v)
	is.True(m.nodes["n1"].replica.IsActive())
	is.Equal(len(m.nodes["n0"].storage.durable[modelGroup]), 0) // records that the new primary lacks are deleted
}

// A prepared view is not decided: another member of the previous view may still become primary without the writes made now.
func TestPreparedViewAcknowledgesNoWrites(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 3, 3, 2)
	answer := m.put("n0", "k")
	ready := uint64(0)
	v := View{Epoch: 2, Primary: "n0", Members: []MemberID{"n0", "n1"}}
	m.nodes["n0"].replica.Prepare(v, func(epoch uint64) { ready = epoch })
	m.drain()
	is.Equal(ready, uint64(2)) // the other members have joined and are in sync
	is.Equal(*answer, errNoAnswer)
	is.True(!m.nodes["n0"].replica.IsActive())
	m.nodes["n0"].replica.Install(v)
	is.Equal(*answer, nil)
	is.True(m.nodes["n0"].replica.IsActive())
}

func TestPrepareOfAnOldEpochIsDeposed(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 2, 2)
	m.install(View{Epoch: 5, Primary: "n0", Members: []MemberID{"n0", "n1"}})
	r := m.nodes["n1"].replica
	r.Prepare(View{Epoch: 4, Primary: "n1", Members: []MemberID{"n1", "n0"}}, func(uint64) { t.Fatal("ready in an obsolete epoch") })
	m.drain()
	is.Equal(r.HighestEpoch(), uint64(5))
	is.True(m.nodes["n0"].replica.IsActive())
}

// Without the newer epoch on its disk, a member that has dropped its records could receive an old view in which it is the only member, and
// become primary without records.
func TestDropJoinsTheEpochWithoutThisMember(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 1, 1)
	m.put("n0", "k")
	m.drain()
	m.install(View{Epoch: 2, Primary: "n0", Members: []MemberID{"n0"}, Learners: []MemberID{"n1"}})
	m.install(View{Epoch: 3, Primary: "n1", Members: []MemberID{"n1"}})
	m.drop(m.nodes["n0"])
	m.drain()
	is.Equal(len(m.nodes["n0"].storage.durable[modelGroup]), 0)
	m.nodes["n0"].stop(0)
	m.nodes["n0"].start()
	m.nodes["n0"].replica.Install(m.views[1])
	for m.nodes["n0"].runPosted() || m.nodes["n0"].storage.sync() {
	}
	is.True(!m.nodes["n0"].replica.IsActive())
	is.True(m.nodes["n1"].replica.IsActive())
	is.Equal(m.nodes["n1"].storage.durable[modelGroup]["ak"].Value, []byte("k"))
}

func TestDropOfAMemberIsRefused(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 2, 2)
	var got error
	m.nodes["n1"].replica.Drop(func(err error) { got = err })
	m.drain()
	is.Equal(got, ErrStillMember)
}

func TestGapInAStreamRestartsIt(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 2, 2)
	answer := m.put("n0", "lost")
	m.queues[link{"n0", "n1"}] = nil
	second := m.put("n0", "k")
	m.drain()
	is.Equal(*answer, nil)
	is.Equal(*second, nil)
	is.Equal(len(m.nodes["n1"].storage.durable[modelGroup]), 4)
}

// The primary is notified of a gap with the next batch, and does not wait for acks until a time-out.
func TestGapInAStreamIsReportedImmediately(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 2, 2)
	m.put("n0", "lost")
	m.queues[link{"n0", "n1"}] = nil
	m.put("n0", "k")
	is.True(m.deliver(link{"n0", "n1"}))
	is.True(m.deliver(link{"n1", "n0"}))
	is.Equal(m.nodes["n0"].replica.lead.peers["n1"].state, peerFailed)
}

// A primary that restarts in its epoch does not know which learners it offered before: the next view may promote any of them.
func TestResumedPrimaryWaitsForEveryLearner(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 3, 2, 2)
	m.install(View{Epoch: 2, Primary: "n0", Members: []MemberID{"n0", "n1"}, Learners: []MemberID{"n2"}})
	is.True(m.offers["n2"])
	m.nodes["n2"].stop(0)
	m.nodes["n0"].stop(0)
	m.nodes["n0"].start()
	m.drain()
	is.True(m.nodes["n0"].replica.IsActive())
	answer := m.put("n0", "k")
	m.drain()
	is.Equal(*answer, errNoAnswer) // two disks have it, but n2 may become primary
	m.nodes["n2"].start()
	m.drain()
	is.Equal(*answer, nil)
}

// countMessages runs two nodes until nothing is pending, and counts the messages between them.
func (m *replicaModel) countMessages(a, b MemberID) int {
	count := 0
	for moved := true; moved; {
		moved = false
		for _, l := range []link{{a, b}, {b, a}} {
			for m.deliver(l) {
				count++
				moved = true
			}
		}
		for _, id := range []MemberID{a, b} {
			for m.nodes[id].runPosted() || m.nodes[id].storage.sync() {
				moved = true
			}
		}
	}
	return count
}

func TestMemberInSyncRejoinsInOneRoundTrip(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 2, 2, 2)
	for _, key := range []string{"1", "2", "3"} {
		m.put("n0", key)
	}
	m.drain()
	m.cut("n0", "n1")
	m.join("n0", "n1")
	is.Equal(m.countMessages("n0", "n1"), 2) // Join and its reply
	is.Equal(m.nodes["n0"].replica.BlockingPeers(), nil)
}

func TestVersionNumbersAreReservedInTime(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 1, 1, 1)
	r := m.nodes["n0"].replica
	r.versions.last = r.versions.reserved - versionBlock/2
	reserved := r.versions.reserved
	m.put("n0", "k")
	m.drain()
	is.Equal(r.versions.reserved, reserved+versionBlock)
	j, err := loadJoinState(m.nodes["n0"].storage, modelGroup)
	is.NoErr(err)
	is.Equal(j.Reserved, reserved+versionBlock)

	r.versions.last = r.versions.reserved
	is.Equal(*m.put("n0", "k"), ErrNotPrimary) // a number that is not reserved must not be used
}

func TestResumedPrimaryAssignsNewVersions(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, 1, 1, 1)
	n := m.nodes["n0"]
	m.put("n0", "k")
	m.drain()
	first := n.storage.durable[modelGroup]["ak"].Version
	n.stop(0)
	n.start()
	m.drain()
	is.True(n.replica.IsActive()) // in the same epoch
	m.put("n0", "l")
	m.drain()
	second := n.storage.durable[modelGroup]["al"].Version
	is.Equal(first>>versionNumberBits, second>>versionNumberBits)
	is.Equal(second-first, versionBlock)
}
