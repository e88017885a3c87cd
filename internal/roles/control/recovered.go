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

// recoveredState puts together the state that control is founded anew with: from records, and from what a running process has heard of.
type recoveredState struct {
	model *model
	view  *agent.View
	epoch uint64 // the first of the new generation
	// survivor says that the records are of a process that was running: its table is one that stores have followed.
	survivor bool
}

// recoverModel returns the state in which control begins a generation. What is newer of the records and of what was heard counts.
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

// adoptConfiguration publishes the newest configuration anew, in a version that goes before all that were published.
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

// mergePartitions takes the newest view of each partition. Views that running processes follow begin an epoch far above them, as a store that
// does not answer may have followed a later one. Those of a snapshot alone begin the next one: a store that has gone further refuses it, and
// keeps what it has.
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

// mergeNodes keeps the sessions that were heard of, whose deadlines begin anew, and a record of each store that a partition names.
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

// foundingRecords are the records of the group for the first epoch of a generation: those of the model, and deletions of all else that the disk has.
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
