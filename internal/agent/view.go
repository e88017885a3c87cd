package agent

import (
	"iter"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
)

// View is a snapshot of all items. It is immutable once published.
type View struct {
	Control       protocol.ControlView
	Configuration []byte
	Nodes         []protocol.Node // in order of their keys
	Partitions    protocol.PartitionTable
	Workers       protocol.Workers

	ControlVersion, ConfigurationVersion, NodesVersion, PartitionsVersion, WorkersVersion protocol.ItemVersion

	// WorkersReadAt is when the list of workers was last read, on the local steady clock; 0 if unknown.
	WorkersReadAt time.Duration
	// WorkersFresh is the last reported reading of the list, which may be of a newer version than Workers.
	WorkersFresh protocol.WorkersFreshness

	byKey, byMember map[string]int // indices into Nodes
	digest          []protocol.ItemDigest
}

// NodeByKey returns the node with a key.
func (v *View) NodeByKey(key string) (protocol.Node, bool) { return v.nodeAt(v.byKey, key) }

// NodeByMember returns the node with a member ID.
func (v *View) NodeByMember(member string) (protocol.Node, bool) { return v.nodeAt(v.byMember, member) }

func (v *View) nodeAt(index map[string]int, name string) (protocol.Node, bool) {
	position, ok := index[name]
	if !ok {
		return protocol.Node{}, false
	}
	return v.Nodes[position], true
}

// Each iterates over the nodes of a role that have a session, in order of their keys.
func (v *View) Each(role protocol.Role) iter.Seq[*protocol.Node] {
	return func(yield func(*protocol.Node) bool) {
		for i := range v.Nodes {
			if v.Nodes[i].Role == role && !yield(&v.Nodes[i]) {
				return
			}
		}
	}
}

// Live returns the nodes of a role that have a session, in order of their keys.
func (v *View) Live(role protocol.Role) []protocol.Node {
	var live []protocol.Node
	for node := range v.Each(role) {
		live = append(live, *node)
	}
	return live
}

// PrimaryAddress returns the internal address of control's primary, empty if unknown.
func (v *View) PrimaryAddress() string {
	address, _ := v.Control.AddressOf(v.Control.Primary)
	return address.Address
}

// errUnknownItemKind is the error for an item that a later version of the program has published.
var errUnknownItemKind = errors.New("agent: item of unknown kind")

// with returns a copy of the view with a new state of one item.
func (v *View) with(item protocol.Item) (*View, error) {
	next := *v
	var err error
	switch item.Kind {
	case protocol.ItemControl:
		next.Control, next.ControlVersion = protocol.ControlView{}, item.Version
		err = next.Control.Decode(item.Body)
	case protocol.ItemConfiguration:
		next.Configuration, next.ConfigurationVersion = item.Body, item.Version
	case protocol.ItemNodes:
		var table protocol.NodeTable
		err = table.Decode(item.Body)
		next.NodesVersion = item.Version
		next.setNodes(table.Nodes)
	case protocol.ItemPartitions:
		next.Partitions, next.PartitionsVersion = protocol.PartitionTable{}, item.Version
		err = next.Partitions.Decode(item.Body)
	case protocol.ItemWorkers:
		next.Workers, next.WorkersVersion = protocol.Workers{}, item.Version
		err = next.Workers.Decode(item.Body)
	default:
		err = errUnknownItemKind
	}
	if err != nil {
		return nil, err
	}
	next.digest = replaceVersion(v.digest, item)
	return &next, nil
}

func (v *View) setNodes(nodes []protocol.Node) {
	slices.SortFunc(nodes, func(a, b protocol.Node) int {
		switch {
		case a.Key < b.Key:
			return -1
		case a.Key > b.Key:
			return 1
		}
		return 0
	})
	v.Nodes = nodes
	v.byKey, v.byMember = make(map[string]int, len(nodes)), make(map[string]int)
	for i := range nodes {
		v.byKey[nodes[i].Key] = i
		if nodes[i].Member != "" {
			v.byMember[nodes[i].Member] = i
		}
	}
}

// replaceVersion returns a copy of the digest, in order of the kinds, with the item's version.
func replaceVersion(digest []protocol.ItemDigest, item protocol.Item) []protocol.ItemDigest {
	next := make([]protocol.ItemDigest, 0, len(digest)+1)
	entry := protocol.ItemDigest{Kind: item.Kind, Version: item.Version}
	for i, d := range digest {
		if d.Kind >= item.Kind {
			if d.Kind == item.Kind {
				i++
			}
			return append(append(next, entry), digest[i:]...)
		}
		next = append(next, d)
	}
	return append(next, entry)
}
