package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
)

func version(n uint64) protocol.ItemVersion { return protocol.ItemVersion{Term: 1, Number: n} }

func store(name, zone, region string) protocol.Node {
	return protocol.Node{Key: name, Role: protocol.RoleStore, Member: name + "/disk", Zone: zone, Region: region, Address: name + ":1"}
}

func dispatcher(name, zone string, leaving bool) protocol.Node {
	return protocol.Node{Key: name, Role: protocol.RoleDispatcher, Zone: zone, Leaving: leaving}
}

func view() agent.View {
	return agent.View{
		Nodes: []protocol.Node{store("s1", "a", "r"), store("s2", "b", "r"), store("s3", "c", "other"),
			dispatcher("d3", "b", false), dispatcher("d1", "a", false), dispatcher("d2", "a", true), dispatcher("me", "a", false)},
		NodesVersion: version(1), PartitionsVersion: version(1),
		Partitions: protocol.PartitionTable{Partitions: []protocol.PartitionView{{Epoch: 3, Primary: "s3/disk"}, {Epoch: 4, Primary: "s2/disk"},
			{Epoch: 5, Primary: "s1/disk"}, {Epoch: 6, Primary: "gone/disk"}, {Epoch: 7, Primary: "s1/disk"}}},
	}
}

func TestPartitionsByDistance(t *testing.T) {
	is := is.New(t)
	d := New(Self{Key: "me", Zone: "a", Region: "r"}, zap.NewNop())
	is.True(!d.Current().Ready())
	v := view()
	changed := d.Changed()
	d.Update(&v)
	<-changed
	s := d.Current()
	is.Equal(s.ByDistance, [3][]uint32{{2, 4}, {1}, {0}})
	p, ok := s.Partition(3)
	is.True(ok)
	is.Equal(p, Partition{Epoch: 6, Primary: "gone/disk"}) // no live primary
	_, ok = s.Partition(5)
	is.True(!ok)
	is.True(!s.Ready()) // no configuration
	is.Equal(s.Dispatchers, []string{"d1", "d3", "me"})
	is.Equal(s.Number, 2)
	is.Equal(s.InZone, 2)
}

func TestOlderViewIsIgnored(t *testing.T) {
	is := is.New(t)
	d := New(Self{Key: "me", Zone: "a", Region: "r"}, zap.NewNop())
	v := view()
	v.PartitionsVersion = version(2)
	d.Update(&v)
	old := view()
	old.Partitions = protocol.PartitionTable{}
	d.Update(&old)
	is.Equal(d.Current().TableVersion, version(2))
	is.Equal(len(d.Current().Partitions), 5)
}

func TestInvalidConfigurationKeepsThePreviousOne(t *testing.T) {
	is := is.New(t)
	d := New(Self{Key: "me", Zone: "a", Region: "r"}, zap.NewNop())
	v := view()
	v.Configuration, v.ConfigurationVersion = []byte(`{"Revision":1,"Routes":[],"Services":[],"Limits":{}}`), version(1)
	d.Update(&v)
	is.Equal(d.Current().Configuration.Revision, uint64(1))
	is.True(d.Current().Ready())
	broken := v
	broken.Configuration, broken.ConfigurationVersion = []byte(`{`), version(2)
	d.Update(&broken)
	is.Equal(d.Current().Configuration.Revision, uint64(1))
	is.Equal(d.Current().ConfigurationVersion, version(1))
}

func TestLocalWorkerListHoldsUntilALaterReading(t *testing.T) {
	is := is.New(t)
	d := New(Self{Key: "me"}, zap.NewNop())
	v := view()
	v.WorkersVersion, v.WorkersReadAt, v.Workers.Workers = version(1), time.Second, []protocol.Worker{{ID: "w1"}}
	d.Update(&v)
	is.Equal(d.Current().Workers[0].ID, "w1")
	d.SetWorkers(LocalWorkers{Workers: []protocol.Worker{{ID: "late"}}, Version: version(9), ReadAt: time.Second})
	is.Equal(d.Current().Workers[0].ID, "w1") // not newer than the current list
	d.SetWorkers(LocalWorkers{Workers: []protocol.Worker{{ID: "own"}}, Version: version(9), ReadAt: 3 * time.Second})
	is.Equal(d.Current().Workers[0].ID, "own")
	v2 := v
	v2.WorkersVersion, v2.WorkersReadAt, v2.Workers.Workers = version(2), 2*time.Second, []protocol.Worker{{ID: "w2"}}
	d.Update(&v2)
	is.Equal(d.Current().Workers[0].ID, "own")
	v3 := v2
	v3.WorkersReadAt = 4 * time.Second // read again, unchanged
	d.Update(&v3)
	is.Equal(d.Current().Workers[0].ID, "w2")
	v4 := v3 // a newer version counts even if its time is earlier, because clocks are corrected
	v4.WorkersVersion, v4.WorkersReadAt, v4.Workers.Workers = version(3), 3*time.Second, []protocol.Worker{{ID: "w3"}}
	d.Update(&v4)
	is.Equal(d.Current().Workers[0].ID, "w3")
}

// TestPartialLocalListNeedsTheListInUseAsItsBasis guards against pages merged into a list that has been replaced meanwhile, whose changes would be
// undone.
func TestPartialLocalListNeedsTheListInUseAsItsBasis(t *testing.T) {
	is := is.New(t)
	d := New(Self{Key: "me"}, zap.NewNop())
	v := view()
	v.WorkersVersion, v.WorkersReadAt, v.Workers.Workers = version(1), time.Second, []protocol.Worker{{ID: "w1"}}
	d.Update(&v)
	partial := LocalWorkers{Workers: []protocol.Worker{{ID: "w1", Draining: true}}, Version: protocol.ItemVersion{Number: 1}, ReadAt: time.Second, Basis: version(1)}
	d.SetWorkers(partial)
	is.True(d.Current().Workers[0].Draining)
	d.SetWorkers(LocalWorkers{Workers: []protocol.Worker{{ID: "w2"}}, Version: protocol.ItemVersion{Number: 2}, ReadAt: time.Second, Basis: version(1)})
	is.Equal(d.Current().Workers[0].ID, "w1") // the list in use is another one by now
	d.SetWorkers(LocalWorkers{Workers: []protocol.Worker{{ID: "w3"}}, Version: protocol.ItemVersion{Number: 2}, ReadAt: time.Second, Basis: partial.Version})
	is.Equal(d.Current().Workers[0].ID, "w3")
}
