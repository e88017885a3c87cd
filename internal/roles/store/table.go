package store

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
	"liftgauge/replication"
)

// applyPartitionTable installs the views of a newer partition table and notifies the stores that depend on it.
func (s *store) applyPartitionTable(view *agent.View) {
	version := view.PartitionsVersion
	if !s.tableVersion.Less(version) {
		return
	}
	before := s.tableVersion
	s.tableVersion = version
	if before == (protocol.ItemVersion{}) {
		s.grants.fenceAll(version)
	}
	successors, changed := map[string]bool{}, map[string]bool{}
	for index := range view.Partitions.Partitions {
		v := &view.Partitions.Partitions[index]
		p := s.partitions[v.Partition]
		if p != nil && p.leading && v.Primary != s.member {
			successors[v.Primary] = true
		}
		if s.shouldNotifyPrimary(v, p) {
			changed[v.Primary] = true
		}
		s.installView(v, version)
	}
	s.reviewHellos(s.now(), before)
	s.notifyPrimaries(view, changed)
	s.syncPeers()
	for member := range successors {
		s.requestLease(s.now(), s.peer(member)) // shows the new primary that this store uses the new table
	}
}

// shouldNotifyPrimary reports whether another store is the primary of a view that is new to this store and that includes this store
// or a partition that it holds.
func (s *store) shouldNotifyPrimary(v *protocol.PartitionView, held *partition) bool {
	if v.Primary == s.member {
		return false
	}
	if held == nil {
		return v.Includes(s.member)
	}
	return v.Epoch > held.view.Epoch
}

// notifyPrimaries notifies the primaries of changed partitions of the table: a primary that has not received its view yet waits for members that
// were removed from it, and does not take over.
func (s *store) notifyPrimaries(view *agent.View, members map[string]bool) {
	var addresses []string
	for member := range members {
		if node, found := view.NodeByMember(member); found {
			addresses = append(addresses, node.Address)
		}
	}
	if len(addresses) > 0 {
		s.agent.NotifyPeers(addresses)
	}
}

// installView installs the view of one partition if it is newer than the installed one.
func (s *store) installView(v *protocol.PartitionView, version protocol.ItemVersion) {
	p := s.partitions[v.Partition]
	included := v.Includes(s.member)
	if p == nil {
		if !included {
			return
		}
		created, err := s.newPartition(v.Partition)
		if err != nil {
			s.logger.Error("a partition cannot be opened; check the disk", zap.Uint32("partition", v.Partition), zap.Error(err))
			return
		}
		p = created
	}
	if v.Epoch > p.view.Epoch {
		p.plannedTakeover = slices.Contains(v.Members, p.view.Primary) || s.isLive(p.view.Primary)
		s.fenceEarlierPrimary(p, v, version)
		p.view, p.tableVersion = *v, version
		p.offers, p.blockedSince = nil, 0
		if !p.hellosComplete || v.Primary != s.member {
			p.restartHellos()
		}
		p.replica.Install(replication.View{
			Epoch: v.Epoch, Primary: v.Primary, Members: v.Members, Learners: v.Learners, Sources: v.Sources,
		})
		if p.leading && v.Primary == s.member {
			s.queue.SetEpoch(p.number, v.Epoch)
		}
	}
	if !included && v.Epoch >= p.view.Epoch {
		s.dropPartition(p)
	}
}

// fenceEarlierPrimary makes sure that the previous primary no longer acts when this store does: this store grants it no lease until it uses
// the new table, and waits until its last lease has expired or it has shown that it uses that table. Members of the new view need no such
// wait, since they have joined the view before it becomes active.
func (s *store) fenceEarlierPrimary(p *partition, next *protocol.PartitionView, version protocol.ItemVersion) {
	previous := p.view.Primary
	known := p.view.Epoch+1 == next.Epoch && p.view.Epoch > 0
	switch {
	case !known:
		s.grants.fenceAll(version)
		p.earlierLeases = s.grants.leasesOfAll(version)
	case previous == s.member || previous == next.Primary:
		return
	default:
		s.grants.fenceMember(previous, version)
		p.earlierLeases = nil
		if !slices.Contains(next.Members, previous) {
			p.earlierLeases = s.grants.leasesOf(previous, version)
		}
	}
}

// isLive reports whether the node table shows a session of a member.
func (s *store) isLive(member string) bool {
	_, found := s.view.NodeByMember(member)
	return found && member != ""
}

// tableOutdated reports whether a replica has joined an epoch that the installed partition table does not contain yet.
func (s *store) tableOutdated() bool {
	for _, p := range s.partitions {
		if p.replica.JoinedEpoch() > p.view.Epoch {
			return true
		}
	}
	return false
}

// dropPartition deletes a partition that this store is no longer a member or learner of.
func (s *store) dropPartition(p *partition) {
	if p.dropping {
		return
	}
	p.dropping = true
	p.replica.Drop(func(err error) {
		p.dropping = false
		if err != nil {
			return // it became a member again, or the disk failed: the next table or tick decides
		}
		if s.partitions[p.number] == p {
			delete(s.partitions, p.number)
		}
	})
}

// retryDrops tries again to drop partitions whose drop has failed.
func (s *store) retryDrops() {
	for _, p := range s.partitions {
		if p.view.Epoch > 0 && p.replica.View().Epoch == p.view.Epoch && !p.view.Includes(s.member) {
			s.dropPartition(p)
		}
	}
}

// openRecordedPartitions opens the partitions that have records on the disk, so that they are dropped if the partition table does not
// include this store.
func (s *store) openRecordedPartitions() error {
	for _, group := range s.log.Groups() {
		if group < groupBase {
			continue
		}
		if _, err := s.newPartition(group - groupBase); err != nil {
			return err
		}
	}
	return nil
}

// leadsAny reports whether the partition table has this store as primary of any partition.
func (s *store) leadsAny() bool {
	for _, p := range s.partitions {
		if p.view.Primary == s.member {
			return true
		}
	}
	return false
}

// sortedPartitions returns the partitions in order of number.
func (s *store) sortedPartitions() []*partition {
	all := make([]*partition, 0, len(s.partitions))
	for _, number := range slices.Sorted(maps.Keys(s.partitions)) {
		all = append(all, s.partitions[number])
	}
	return all
}
