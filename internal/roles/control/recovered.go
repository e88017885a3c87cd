package control

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"liftgauge/configuration"
	"liftgauge/election"
	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
	"liftgauge/placement"
	"liftgauge/replication"
)

// records returns the model as records without versions.
func (m *model) records() []replication.Record {
	var records []replication.Record
	if m.configuration != nil {
		records = append(records, configurationRecord(m.configuration), versionRecord(m.configurationVersion))
	}
	for _, hash := range slices.Sorted(maps.Keys(m.acceptedOrders)) {
		records = append(records, acceptedRecord(hash, m.acceptedOrders[hash]))
	}
	for _, key := range slices.Sorted(maps.Keys(m.nodes)) {
		records = append(records, nodeRecord(m.nodes[key]))
	}
	for _, member := range m.storeMembers() {
		records = append(records, m.stores[member].record())
	}
	for _, name := range slices.Sorted(maps.Keys(m.duties)) {
		records = append(records, dutyRecord(name, m.duties[name]))
	}
	for i := range m.partitions {
		records = append(records, partitionRecord(m.partitions[i]))
	}
	if m.founded {
		records = append(records, foundedRecord(len(m.partitions)))
	}
	return records
}

// recoveredState builds the state with which control is founded anew, from records and from the items that a running process has received.
type recoveredState struct {
	model *model
	view  *agent.View
	epoch uint64 // the first of the new generation
	// survivor is set when the records are those of a running process, so that stores have followed its partition table.
	survivor bool
}

// recoverModel returns the state with which control begins a generation. Of the records and the received items the newer ones are used.
func recoverModel(records []replication.Record, survivor bool, view *agent.View, epoch uint64) (*model, error) {
	r := recoveredState{model: newModel(), view: view, epoch: epoch, survivor: survivor}
	for _, record := range records {
		if err := r.model.apply(record); err != nil {
			return nil, errors.Wrapf(err, "record %q", record.Key)
		}
	}
	if err := r.adoptConfiguration(); err != nil {
		return nil, err
	}
	r.mergePartitions()
	r.mergeNodes()
	r.model.duties = map[string]election.Award{dutyReader: {Term: max(r.model.duties[dutyReader].Term, epoch)}} // vacant
	return r.model, nil
}

// adoptConfiguration selects the newest configuration, and gives it a version that supersedes all published ones.
func (r *recoveredState) adoptConfiguration() error {
	m := r.model
	if m.configuration == nil || m.configurationVersion.Less(r.view.ConfigurationVersion) {
		m.configuration = r.view.Configuration
	}
	if len(m.configuration) == 0 {
		m.configuration = nil
		return nil
	}
	m.configurationVersion = protocol.ItemVersion{Term: r.epoch, Number: 1}
	_, err := configuration.Parse(m.configuration)
	return errors.Wrap(err, "the configuration to begin with")
}

// mergePartitions selects the newest view of each partition. Views that running processes follow get an epoch far above the current one, as an
// unresponsive store may have followed a later view. Views found only in a snapshot get the next epoch: a store that has followed a later one
// rejects it and keeps its data.
func (r *recoveredState) mergePartitions() {
	m := r.model
	for n, published := range r.view.Partitions.Partitions {
		if n >= len(m.partitions) {
			m.partitions = append(m.partitions, published)
		} else if published.Epoch > m.partitions[n].Epoch {
			m.partitions[n] = published
		}
	}
	for n := range m.partitions {
		followed := r.survivor || n < len(r.view.Partitions.Partitions)
		if followed {
			m.partitions[n].Epoch += replication.RecoveryEpochGap
		} else {
			m.partitions[n].Epoch++
		}
	}
	m.founded = len(m.partitions) > 0
}

// mergeNodes keeps the published sessions, whose deadlines start anew, and a record of each store that a partition names.
func (r *recoveredState) mergeNodes() {
	m := r.model
	if len(r.view.Nodes) > 0 {
		clear(m.nodes)
	}
	for _, node := range r.view.Nodes {
		m.nodes[node.Key] = node
		if _, known := m.stores[node.Member]; node.Role == protocol.RoleStore && !known {
			m.stores[node.Member] = storeRecord{Member: node.Member, Name: node.Name, Zone: node.Zone, Region: node.Region}
		}
	}
	for i := range m.partitions {
		v := &m.partitions[i]
		for _, member := range slices.Concat(v.Members, v.Learners, v.Holders) {
			if _, known := m.stores[member]; !known {
				m.stores[member] = storeRecord{Member: member, Name: placement.NodeName(member)}
			}
		}
	}
}

// foundingRecords returns the records of the group for the first epoch of a generation: those of the model, and deletions of all other records on
// the disk.
func foundingRecords(m *model, storage replication.Storage, epoch uint64) []replication.Record {
	records := m.records()
	kept := make(map[string]bool, len(records))
	for i := range records {
		kept[records[i].Key] = true
	}
	for _, item := range storage.Items(controlGroup, allRecords) {
		if !kept[item.Key] {
			records = append(records, deletion(item.Key))
		}
	}
	for i := range records {
		records[i].Version = replication.FoundedVersion(epoch, uint64(i+1))
	}
	return records
}
