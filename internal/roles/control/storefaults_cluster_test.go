package control

import (
	"slices"
	"testing"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
)

// noPartition reports whether there are partitions, and none has a view for which fits is true.
func noPartition(v *agent.View, fits func(p *protocol.PartitionView) bool) bool {
	for i := range v.Partitions.Partitions {
		if fits(&v.Partitions.Partitions[i]) {
			return false
		}
	}
	return len(v.Partitions.Partitions) > 0
}

func TestStoresThatCannotReachEachOtherShareNoPartition(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	var stores []*fakeStore
	var members []string
	for host := 30; host < 34; host++ {
		stores = append(stores, c.startStore(host, "disk"))
		members = append(members, stores[host-30].member)
	}
	last := stores[3]
	c.await(last.Agent, "the first table", func(v *agent.View) bool { return placed(v, members...) })
	stores[0].setFaults(false, members[1])
	stores[1].setFaults(false, members[0])
	c.await(last.Agent, "a complete table in which the two share no partition", func(v *agent.View) bool {
		return placed(v, members...) && noPartition(v, func(p *protocol.PartitionView) bool {
			return slices.Contains(p.Members, members[0]) && slices.Contains(p.Members, members[1])
		})
	})
}

func TestStalledStoreLosesItsPartitionsUntilItRecovers(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	stores := []*fakeStore{c.startStore(30, "disk"), c.startStore(31, "disk"), c.startStore(32, "disk")}
	members := []string{stores[0].member, stores[1].member, stores[2].member}
	c.await(stores[2].Agent, "the first table", func(v *agent.View) bool { return placed(v, members...) })
	stores[0].setFaults(true)
	c.await(stores[2].Agent, "a table without the stalled store", func(v *agent.View) bool {
		return noPartition(v, func(p *protocol.PartitionView) bool { return slices.Contains(p.Members, members[0]) })
	})
	stores[0].setFaults(false)
	c.await(stores[2].Agent, "the store among the members again", func(v *agent.View) bool {
		return !noPartition(v, func(p *protocol.PartitionView) bool { return slices.Contains(p.Members, members[0]) })
	})
}
