package agent

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

func version(term, number uint64) protocol.ItemVersion {
	return protocol.ItemVersion{Term: term, Number: number}
}

func nodesItem(v protocol.ItemVersion, nodes ...protocol.Node) protocol.Item {
	return protocol.Item{Kind: protocol.ItemNodes, Version: v, Body: (&protocol.NodeTable{Nodes: nodes}).Append(nil)}
}

func TestViewReflectsItems(t *testing.T) {
	is := is.New(t)
	store := protocol.Node{Key: "b/store", Role: protocol.RoleStore, Member: "b/1"}
	edge := protocol.Node{Key: "a/dispatcher", Role: protocol.RoleDispatcher}
	control := protocol.ControlView{Primary: "c/1", Addresses: []protocol.MemberAddress{{Member: "c/1", Address: "10.0.0.1:7240"}}}
	workers := protocol.Workers{ReadAt: 5, Workers: []protocol.Worker{{ID: "i-1"}}}
	table := protocol.PartitionTable{Partitions: []protocol.PartitionView{{Epoch: 3}}}

	v := &View{}
	for _, item := range []protocol.Item{
		nodesItem(version(1, 2), store, edge),
		{Kind: protocol.ItemWorkers, Version: version(4, 1), Body: workers.Append(nil)},
		{Kind: protocol.ItemControl, Version: version(1, 1), Body: control.Append(nil)},
		{Kind: protocol.ItemPartitions, Version: version(1, 3), Body: table.Append(nil)},
		{Kind: protocol.ItemConfiguration, Version: version(1, 4), Body: []byte("{}")},
		{Kind: protocol.ItemConfiguration, Version: version(1, 5), Body: []byte(`{"Revision":2}`)},
	} {
		next, err := v.with(item)
		is.NoErr(err)
		is.True(next != v)
		v = next
	}
	is.Equal(v.PrimaryAddress(), "10.0.0.1:7240")
	is.Equal(string(v.Configuration), `{"Revision":2}`)
	is.Equal(v.Workers, workers)
	is.Equal(v.Partitions, table)
	is.Equal(v.Nodes, []protocol.Node{edge, store})
	is.Equal(v.Live(protocol.RoleStore), []protocol.Node{store})
	got, ok := v.NodeByKey("a/dispatcher")
	is.True(ok && got == edge)
	got, ok = v.NodeByMember("b/1")
	is.True(ok && got == store)
	_, ok = v.NodeByMember("")
	is.True(!ok)
	is.Equal(v.digest, []protocol.ItemDigest{
		{Kind: protocol.ItemControl, Version: version(1, 1)}, {Kind: protocol.ItemConfiguration, Version: version(1, 5)},
		{Kind: protocol.ItemNodes, Version: version(1, 2)}, {Kind: protocol.ItemPartitions, Version: version(1, 3)},
		{Kind: protocol.ItemWorkers, Version: version(4, 1)},
	})

	_, err := v.with(protocol.Item{Kind: protocol.ItemNodes, Body: []byte{200}})
	is.True(errors.Is(err, protocol.ErrMalformed))
	_, err = v.with(protocol.Item{Kind: 99})
	is.True(errors.Is(err, errUnknownItemKind))
}
