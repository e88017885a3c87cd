package store

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
)

func TestRepairableShare(t *testing.T) {
	for _, c := range []struct {
		stores, lost, copies int
		want                 float64
	}{
		{stores: 4, lost: 1, copies: 2, want: 0.75},
		{stores: 3, lost: 1, copies: 2, want: 2. / 3},
		{stores: 2, lost: 1, copies: 2, want: 1}, // the one that remains has all
		{stores: 3, lost: 2, copies: 3, want: 1},
		{stores: 5, lost: 2, copies: 3, want: 0.6},
		{stores: 1, lost: 1, copies: 2, want: 1},
		{stores: 0, lost: 0, copies: 2, want: 1},
	} {
		if share := repairableShare(c.stores, c.lost, c.copies); share != c.want {
			t.Errorf("%+v: share %v", c, share)
		}
	}
}

func TestLargestZonesAreCountedAsLost(t *testing.T) {
	is := is.New(t)
	view := &agent.View{}
	for _, zone := range []string{"a", "a", "a", "b", "c"} {
		view.Nodes = append(view.Nodes, protocol.Node{Role: protocol.RoleStore, Zone: zone, Region: "r"})
	}
	view.Nodes = append(view.Nodes, protocol.Node{Role: protocol.RoleControl, Zone: "b"})
	for tolerated, want := range map[nodeconfig.FaultTolerance]int{
		{Machines: 1}:           1,
		{Machines: 2, Zones: 1}: 3,
		{Zones: 2}:              4,
		{Regions: 1}:            5,
		{Machines: 9}:           5,
	} {
		stores, lost := countStores(view, tolerated)
		is.Equal(stores, 5)
		is.Equal(lost, want)
	}
}

// The warning comes once when the share is exceeded, and is withdrawn once.
func TestStoreWarnsWhenALossCouldNotBeRepaired(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first := c.stores[0]
	core, logs := observer.New(zap.InfoLevel)
	first.await(func(s *store) bool { return s.repairs.stores == 3 })
	first.on(func(s *store) { s.logger = zap.New(core) })
	fillLog(t, first)
	first.await(func(*store) bool { return logs.FilterLevelExact(zap.WarnLevel).Len() > 0 })
	first.on(func(s *store) { s.log.Drop(fillerGroup, nil) })
	first.await(func(s *store) bool { return !s.repairs.exceeded })
	is.Equal(logs.FilterMessageSnippet("take over").Len(), 2)
}
