package control

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"liftgauge/election"
	"liftgauge/internal/protocol"
	"liftgauge/reconcile"
	"liftgauge/replication"
)

// model is the decoded content of the records of controlGroup.
type model struct {
	configuration        []byte // nil until the first order
	configurationVersion protocol.ItemVersion
	acceptedOrders       map[string]uint64 // revision by hash of the order
	nodes                map[string]protocol.Node
	partitions           []protocol.PartitionView // by number
	stores               map[string]storeRecord   // by member
	duties               map[string]election.Award
	founded              bool
}

func newModel() *model {
	return &model{
		acceptedOrders: make(map[string]uint64),
		nodes:          make(map[string]protocol.Node),
		stores:         make(map[string]storeRecord),
		duties:         make(map[string]election.Award),
	}
}

// loadModel reads all records of controlGroup.
func loadModel(storage replication.Storage) (*model, error) {
	m := newModel()
	for _, item := range storage.Items(controlGroup, reconcile.Range{}) {
		record, found, err := storage.Get(controlGroup, item.Key)
		if err != nil {
			return nil, errors.Wrapf(err, "reading record %q", item.Key)
		}
		if !found {
			continue
		}
		if err := m.apply(record); err != nil {
			return nil, errors.Wrapf(err, "record %q", item.Key)
		}
	}
	return m, nil
}

// apply applies one record. Records with unknown keys, which newer versions write, are ignored.
func (m *model) apply(r replication.Record) error {
	switch {
	case r.Key == keyConfiguration:
		m.configuration = r.Value
	case r.Key == keyConfigurationVersion:
		version, err := decodeVersion(r.Value)
		m.configurationVersion = version
		return err
	case r.Key == keyFounded:
		m.founded = true
	case strings.HasPrefix(r.Key, prefixAccepted):
		revision, err := decodeAccepted(r.Value)
		m.acceptedOrders[r.Key[len(prefixAccepted):]] = revision
		return err
	case strings.HasPrefix(r.Key, prefixNode):
		return m.applyNode(r.Key[len(prefixNode):], r)
	case strings.HasPrefix(r.Key, prefixPartition):
		return m.applyPartition(r.Key[len(prefixPartition):], r)
	case strings.HasPrefix(r.Key, prefixStore):
		return m.applyStore(r.Key[len(prefixStore):], r)
	case strings.HasPrefix(r.Key, prefixDuty):
		award, err := decodeAward(r.Value)
		m.duties[r.Key[len(prefixDuty):]] = award
		return err
	}
	return nil
}

func (m *model) applyNode(key string, r replication.Record) error {
	if r.Deleted {
		delete(m.nodes, key)
		return nil
	}
	var node protocol.Node
	if err := node.Decode(r.Value); err != nil {
		return errors.Mark(err, errMalformedRecord)
	}
	m.nodes[key] = node
	return nil
}

func (m *model) applyPartition(number string, r replication.Record) error {
	index, err := strconv.ParseUint(number, 10, 32)
	if err != nil || index >= maxPartitions {
		return errMalformedRecord
	}
	var view protocol.PartitionView
	if err := view.Decode(r.Value); err != nil {
		return errors.Mark(err, errMalformedRecord)
	}
	for uint64(len(m.partitions)) <= index {
		m.partitions = append(m.partitions, protocol.PartitionView{Partition: uint32(len(m.partitions))})
	}
	m.partitions[index] = view
	return nil
}

func (m *model) applyStore(member string, r replication.Record) error {
	if r.Deleted {
		delete(m.stores, member)
		return nil
	}
	store, err := decodeStore(member, r.Value)
	if err != nil {
		return err
	}
	m.stores[member] = store
	return nil
}

// nodeTable returns the body of the item of nodes.
func (m *model) nodeTable() []byte {
	table := protocol.NodeTable{Nodes: make([]protocol.Node, 0, len(m.nodes))}
	for _, key := range slices.Sorted(maps.Keys(m.nodes)) {
		table.Nodes = append(table.Nodes, m.nodes[key])
	}
	return table.Append(nil)
}

// partitionTable returns the body of the item of partitions.
func (m *model) partitionTable() []byte {
	table := protocol.PartitionTable{Partitions: m.partitions}
	return table.Append(nil)
}

// storeMembers returns the members of all known stores in sorted order.
func (m *model) storeMembers() []string { return slices.Sorted(maps.Keys(m.stores)) }

// references reports whether the view of any partition names the member.
func (m *model) references(member string) bool {
	for i := range m.partitions {
		v := &m.partitions[i]
		if v.Primary == member || v.Includes(member) {
			return true
		}
	}
	return false
}
