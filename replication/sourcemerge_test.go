package replication

import (
	"testing"

	"github.com/matryer/is"
)

// newSplitGroup returns a group of three nodes, with n0 and n1 as members of the first view and n0 alone of the second: "old" is on n0 and
// n1, "new" on n0 and n2, and "both" in its first version on n1 and in its second on n2. The disk of n0 is then lost.
func newSplitGroup(t *testing.T) *replicaModel {
	is := is.New(t)
	m := newGroup(t, 3, 2, 2)
	old, both := m.put("n0", "old"), m.put("n0", "both")
	m.drain()
	is.NoErr(*old)
	is.NoErr(*both)
	m.nodes["n1"].stop(0)
	m.install(View{Epoch: 2, Primary: "n0", Members: []MemberID{"n0"}, Learners: []MemberID{"n2", "n1"}})
	for _, key := range []string{"aold", "zold"} { // as if the repair had not reached them
		delete(m.nodes["n2"].storage.index[modelGroup], key)
		delete(m.nodes["n2"].storage.durable[modelGroup], key)
	}
	m.allowMerges, m.mergeCount = true, 1
	both, fresh := m.put("n0", "both"), m.put("n0", "new")
	m.drain()
	is.NoErr(*both)
	is.NoErr(*fresh)
	m.nodes["n0"].stop(0)
	m.nodes["n0"].wiped = true
	m.nodes["n1"].start()
	return m
}

func (m *replicaModel) durableVersion(id MemberID, key string) uint64 {
	return m.nodes[id].storage.durable[modelGroup][key].Version
}

func TestPrimaryMergesTheNewestVersionsFromItsSources(t *testing.T) {
	for primary, source := range map[MemberID]MemberID{"n1": "n2", "n2": "n1"} {
		t.Run(primary, func(t *testing.T) {
			is := is.New(t)
			m := newSplitGroup(t)
			newest := m.durableVersion("n2", "aboth")
			is.True(newest > m.durableVersion("n1", "aboth"))
			m.install(View{Epoch: 3, Primary: primary, Members: []MemberID{primary}, Learners: []MemberID{source}, Sources: []MemberID{source}})
			is.True(m.nodes[primary].replica.IsActive())
			for _, id := range []MemberID{primary, source} {
				is.Equal(m.durableVersion(id, "aboth"), newest)
				is.True(m.durableVersion(id, "aold") > 0)
				is.True(m.durableVersion(id, "anew") > 0)
			}
		})
	}
}

func TestWritesAreRejectedBeforeSourcesAreMerged(t *testing.T) {
	is := is.New(t)
	m := newSplitGroup(t)
	m.views = append(m.views, View{Epoch: 3, Primary: "n2", Members: []MemberID{"n2"}, Learners: []MemberID{"n1"}, Sources: []MemberID{"n1"}})
	m.nodes["n2"].learnView(true)
	m.drainNode("n2")
	is.True(!m.nodes["n2"].replica.IsActive())
	is.Equal(*m.put("n2", "early"), ErrNotPrimary)
}

// A primary deletes a record that its source still holds, and then continues in a view that names the source again. A second merge would
// bring the record back.
func TestSourcesAreMergedOnce(t *testing.T) {
	is := is.New(t)
	m := newSplitGroup(t)
	v := View{Epoch: 3, Primary: "n2", Members: []MemberID{"n2"}, Learners: []MemberID{"n1"}, Sources: []MemberID{"n1"}}
	m.install(v)
	m.cut("n1", "n2")
	m.nodes["n2"].replica.Write([]Record{{Key: "aold", Deleted: true}, {Key: "zold", Deleted: true}}, func(error) {})
	m.drainNode("n2")
	is.True(m.durableVersion("n1", "aold") > 0)
	v.Epoch = 4
	m.install(v)
	is.True(m.nodes["n2"].replica.IsActive())
	is.Equal(m.durableVersion("n2", "aold"), uint64(0))
	is.Equal(m.durableVersion("n1", "aold"), uint64(0))
}

// drainNode runs a node's posted functions and syncs, without delivering messages.
func (m *replicaModel) drainNode(id MemberID) {
	n := m.nodes[id]
	for n.runPosted() || n.storage.sync() {
	}
}
