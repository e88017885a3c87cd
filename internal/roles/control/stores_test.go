package control

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
)

func TestPartitionCount(t *testing.T) {
	is := is.New(t)
	for stores, wanted := range map[int]int{1: 64, 4: 64, 5: 128, 8: 128, 9: 256, 17: 512, 256: 4096, 300: 4096} {
		is.Equal(partitionCount(stores), wanted) // stores
	}
}

// placed reports whether the table has partitions, each of which has two members among these stores and no learners.
func placed(v *agent.View, members ...string) bool {
	for _, p := range v.Partitions.Partitions {
		if len(p.Members) != 2 || len(p.Learners) != 0 || !slices.Contains(p.Members, p.Primary) {
			return false
		}
		for _, m := range p.Members {
			if !slices.Contains(members, m) {
				return false
			}
		}
	}
	return len(v.Partitions.Partitions) > 0
}

func TestSessionsOpenAndEnd(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	first, second := c.startDispatcher(20), c.startDispatcher(21)
	c.await(first, "all sessions", func(v *agent.View) bool {
		return len(v.Live(protocol.RoleControl)) == 3 && len(v.Live(protocol.RoleDispatcher)) == 2
	})
	second.Close() // without notification
	c.await(first, "the end of a session", func(v *agent.View) bool { return len(v.Live(protocol.RoleDispatcher)) == 1 })
	c.kill(c.primary())
	c.await(first, "the end of the primary's session", func(v *agent.View) bool {
		return len(v.Live(protocol.RoleControl)) == 2 && len(v.Live(protocol.RoleDispatcher)) == 1
	})
}

func TestPartitionsAreMovedFromLostStores(t *testing.T) {
	is := is.New(t)
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
	is.Equal(len(last.View().Partitions.Partitions), minPartitions)

	stores[0].Close() // without notification
	c.await(last.Agent, "a table without the lost store", func(v *agent.View) bool {
		for _, p := range v.Partitions.Partitions {
			if p.Primary == members[0] || slices.Contains(p.Members, members[0]) || len(p.Members) != 2 {
				return false
			}
		}
		return true
	})
	replaced := c.startStore(30, "other-disk")
	c.await(last.Agent, "the store with its new disk in the table", func(v *agent.View) bool {
		return slices.ContainsFunc(v.Nodes, func(n protocol.Node) bool { return n.Member == replaced.member })
	})

	c.kill(c.primary()) // the table survives it
	before := last.View().PartitionsVersion
	c.await(last.Agent, "the table of the next primary", func(v *agent.View) bool {
		return before.Less(v.PartitionsVersion) && len(v.Partitions.Partitions) == minPartitions
	})
}

func TestLeavingStoreGivesUpItsPrimaries(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	stores := []*fakeStore{c.startStore(30, "disk"), c.startStore(31, "disk"), c.startStore(32, "disk")}
	c.await(stores[2].Agent, "the first table", func(v *agent.View) bool { return len(v.Partitions.Partitions) > 0 })
	is.NoErr(stores[0].Leave(c.ctx, false))
	c.await(stores[2].Agent, "no primary at the leaving store", func(v *agent.View) bool {
		return !slices.ContainsFunc(v.Partitions.Partitions, func(p protocol.PartitionView) bool { return p.Primary == stores[0].member })
	})
	is.NoErr(stores[0].Leave(c.ctx, true))
	c.await(stores[2].Agent, "the end of its session", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 2 })
}

func TestRetirement(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	stores := []*fakeStore{c.startStore(30, "disk"), c.startStore(31, "disk"), c.startStore(32, "disk")}
	c.await(stores[0].Agent, "the first table", func(v *agent.View) bool { return len(v.Partitions.Partitions) > 0 })
	start := func(name string) int {
		r := c.operator(c.machine(2), http.MethodPost, "/retire/"+name+"/start", 0, []byte(`{"DurationS":10}`))
		if name == stores[0].name {
			is.Equal(r.body, `{"State":"running"}`) // no partition can have been moved yet
		}
		return r.status
	}
	is.Equal(start("storage-99"), http.StatusNotFound)
	is.Equal(start("control-1"), http.StatusNotFound) // not a storage machine
	is.Equal(start(stores[0].name), http.StatusOK)
	again := c.operator(c.machine(1), http.MethodPost, "/retire/"+stores[0].name+"/start", 0, []byte(`{"DurationS":10}`))
	is.Equal(again.status, http.StatusOK)
	is.Equal(start(stores[1].name), http.StatusConflict)
	c.eventually("the end of the retirement", func() bool {
		r := c.operator(c.machine(1), http.MethodGet, "/retire/"+stores[0].name+"/describe", 0, nil)
		return r.status == http.StatusOK && r.body == `{"State":"succeeded"}`
	})
	c.await(stores[1].Agent, "a table without the retired store", func(v *agent.View) bool {
		return placed(v, stores[1].member, stores[2].member)
	})
	c.kill(c.primary())
	r := c.operator(c.machine(1), http.MethodGet, "/retire/"+stores[0].name+"/describe", 0, nil)
	is.Equal(r.body, `{"State":"succeeded"}`)
}

// While a store is down for a short time, a retirement that it would make possible is rejected as unavailable, not as a conflict.
func TestRetirementIsUnavailableWhileAStoreIsDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startAll()
	stores := []*fakeStore{c.startStore(30, "disk"), c.startStore(31, "disk"), c.startStore(32, "disk")}
	c.await(stores[0].Agent, "the first table", func(v *agent.View) bool { return len(v.Partitions.Partitions) > 0 })
	stores[2].Close()
	c.await(stores[0].Agent, "the end of a session", func(v *agent.View) bool { return len(v.Live(protocol.RoleStore)) == 2 })
	path := "/retire/" + stores[0].name + "/start"
	r, _ := c.call(c.primary(), http.MethodPost, path, 0, []byte(`{"DurationS":10}`))
	is.Equal(r.status, http.StatusServiceUnavailable)
	c.startStore(32, "disk")
	is.Equal(c.operator(c.machine(1), http.MethodPost, path, 0, []byte(`{"DurationS":10}`)).status, http.StatusOK)
}

func TestAnotherProcessTakesOverReadingTheWorkerList(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	list, address := startPlatform(t, "w-1", "w-2", "w-3")
	for _, m := range c.machines {
		m.settings.CloudApi.Address = address
	}
	c.startAll()
	dispatcher := c.startDispatcher(20)
	has := func(ids ...string) func(v *agent.View) bool {
		return func(v *agent.View) bool {
			var got []string
			for _, w := range v.Workers.Workers {
				got = append(got, w.ID)
			}
			return fmt.Sprint(got) == fmt.Sprint(ids)
		}
	}
	c.await(dispatcher, "the list", has("w-1", "w-2", "w-3"))
	list.set("w-2")
	c.await(dispatcher, "the changed list", has("w-2"))
	term := dispatcher.View().WorkersVersion.Term
	var reader *machine
	for _, m := range c.machines {
		m.onLoop(c, func(d *daemon) {
			if d.reader.term == term {
				reader = m
			}
		})
	}
	is.True(reader != nil)
	c.kill(reader)
	list.set("w-2", "w-4")
	c.await(dispatcher, "the list as read by another process", has("w-2", "w-4"))
	is.True(dispatcher.View().WorkersVersion.Term > term)
}

// TestHolderThatCannotReadTheListGivesTheDutyUp makes the platform unreachable for all processes but one: the duty moves on until that one holds it.
func TestHolderThatCannotReadTheListGivesTheDutyUp(t *testing.T) {
	c := newCluster(t, 3)
	_, address := startPlatform(t, "w-1")
	for _, m := range c.machines {
		m.settings.CloudApi.Address = net.JoinHostPort(c.ip(99), "1") // no process listens there
	}
	c.machine(3).settings.CloudApi.Address = address
	c.startAll()
	c.await(c.startDispatcher(20), "the list", func(v *agent.View) bool { return len(v.Workers.Workers) == 1 })
	c.machine(3).onLoop(c, func(d *daemon) {
		if !d.reader.mayRead(d.reader.term) || d.reader.stale.Load() {
			t.Error("the process that can read the list does not hold the duty")
		}
	})
}

func TestCopiesShareZonesOnlyIfNoLossOfAZoneIsToBeTolerated(t *testing.T) {
	for _, c := range []struct {
		tolerance      nodeconfig.FaultTolerance
		shared, spread bool
	}{
		{nodeconfig.FaultTolerance{Machines: 2}, true, false},
		{nodeconfig.FaultTolerance{Machines: 2, Zones: 1}, false, false},
		{nodeconfig.FaultTolerance{Zones: 1}, false, false},
		{nodeconfig.FaultTolerance{Machines: 1, Regions: 1}, false, true},
	} {
		is := is.New(t)
		input := newPrimaryOfStores(c.tolerance).placementInput(0)
		is.Equal(input.SharedZones, c.shared)
		is.Equal(input.SpreadRegions, c.spread)
	}
}
