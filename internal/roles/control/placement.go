package control

import (
	"math/bits"
	"slices"
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/placement"
)

const (
	minPartitions      = 64
	maxPartitions      = 4096
	partitionsPerStore = 16

	// The partition table is created when no new store has appeared for foundingQuiet, or foundingDeadline after this process became primary.
	foundingQuiet    = 500 * time.Millisecond
	foundingDeadline = 1500 * time.Millisecond

	balanceInterval = time.Second      // between moves that only serve balance
	forgetAfter     = 10 * time.Minute // after which a store without a session that no partition names is removed
)

// placementState is the state for placing partitions that is not part of the model.
type placementState struct {
	since       time.Duration
	lastStoreAt time.Duration            // when the last new store appeared
	downSince   map[string]time.Duration // by member, of stores without a session
	offers      map[int][]string         // by partition: learners that have caught up, in the current epoch
	faults      storeFaults
	planWanted  bool
	balance     bool // the next plan may also move partitions for balance
	nextBalance time.Duration
}

func newPlacementState(now time.Duration) placementState {
	return placementState{
		since: now, lastStoreAt: now, downSince: make(map[string]time.Duration), offers: make(map[int][]string),
		faults: newStoreFaults(), planWanted: true, nextBalance: now + balanceInterval,
	}
}

// takeOffers records the promotion offers of a heartbeat that apply to the current views.
func (s *placementState) takeOffers(partitions []protocol.PartitionView, h *protocol.Heartbeat) {
	for _, o := range h.Offers {
		if int(o.Partition) >= len(partitions) {
			continue
		}
		v := &partitions[o.Partition]
		n := int(o.Partition)
		if v.Epoch != o.Epoch || v.Primary != h.Node.Member || slices.Contains(s.offers[n], o.Learner) {
			continue
		}
		s.offers[n] = append(s.offers[n], o.Learner)
		s.planWanted = true
	}
}

// storeChanged records that a store opened a session or changed.
func (p *primary) storeChanged(now time.Duration, node protocol.Node) {
	p.placement.planWanted = true
	if node.Member == "" {
		return
	}
	delete(p.placement.downSince, node.Member)
	known, ok := p.model.stores[node.Member]
	if !ok {
		p.placement.lastStoreAt = now
		known = storeRecord{Member: node.Member, Retiring: p.retiringName(node.Name)}
	}
	record := known
	record.Name, record.Zone, record.Region, record.Abandoned = node.Name, node.Zone, node.Region, false
	if !ok || record != known {
		p.put(record.record())
	}
}

// storeDown records that the session of a store ended.
func (p *primary) storeDown(now time.Duration, node protocol.Node) {
	p.placement.planWanted = true
	if node.Member != "" {
		p.placement.downSince[node.Member] = now
	}
}

// tickPlacement creates the partition table, and requests moves for balance at intervals.
func (p *primary) tickPlacement(now time.Duration) {
	if !p.model.founded {
		p.createTable(now)
		return
	}
	if p.placement.faults.tick(now) {
		p.placement.planWanted = true
		p.logStoreFaults(now)
	}
	if now >= p.placement.nextBalance {
		p.placement.nextBalance = now + balanceInterval
		p.placement.planWanted, p.placement.balance = true, true
		p.reviewStores(now)
	}
}

// logStoreFaults logs which stores are currently excluded because of their links or disks.
func (p *primary) logStoreFaults(now time.Duration) {
	var stalled, full []string
	for _, member := range p.model.storeMembers() {
		if p.placement.faults.isStalled(now, member) {
			stalled = append(stalled, member)
		}
		if p.placement.faults.isFull(now, member) {
			full = append(full, member)
		}
	}
	p.daemon.logger.Info("control: stores with faults", zap.Strings("stalled", stalled), zap.Strings("full", full),
		zap.Any("apart", p.placement.faults.blockedPairs(now)))
}

// createTable creates the partition table once enough stores have sessions.
func (p *primary) createTable(now time.Duration) {
	s := &p.placement
	if now-s.lastStoreAt < foundingQuiet && now-s.since < foundingDeadline {
		return
	}
	input := p.placementInput(now)
	live := 0
	for _, store := range input.Stores {
		if store.DownFor == 0 && !store.Stalled {
			live++
		}
	}
	if live < input.Copies {
		return
	}
	views := placement.InitialViewsFor(input, partitionCount(live))
	if views == nil {
		return
	}
	p.daemon.logger.Info("control: partition table created", zap.Int("partitions", len(views)), zap.Int("stores", live))
	p.put(foundedRecord(len(views)))
	for n, v := range views {
		p.putPartition(n, v)
	}
}

// partitionCount returns the number of partitions for a number of stores.
func partitionCount(stores int) int {
	wanted := stores * partitionsPerStore
	if wanted <= minPartitions {
		return minPartitions
	}
	return min(1<<bits.Len(uint(wanted-1)), maxPartitions)
}

func (p *primary) putPartition(number int, v placement.View) {
	delete(p.placement.offers, number)
	p.put(partitionRecord(protocol.PartitionView{
		Partition: uint32(number), Epoch: v.Epoch, Primary: v.Primary,
		Members: v.Members, Learners: v.Learners, Sources: v.Sources, Holders: v.Holders,
	}))
	p.items.mark(protocol.ItemPartitions, true)
}

// plan changes partitions according to the state of the stores and the promotion offers.
func (p *primary) plan(now time.Duration) {
	if !p.placement.planWanted || !p.model.founded {
		return
	}
	input := p.placementInput(now)
	input.NoBalance = !p.placement.balance
	changes := placement.Plan(input)
	changes = slices.DeleteFunc(changes, func(change placement.Change) bool { return !p.allowsChange(&change) })
	for _, change := range changes {
		if len(change.View.Sources) > 0 && len(input.Partitions[change.Partition].Sources) == 0 {
			p.daemon.logger.Warn("control: the disks of all members of a partition are lost; it is put together from what others hold",
				zap.Int("partition", change.Partition), zap.Any("view", change.View))
		}
		p.putPartition(change.Partition, change.View)
	}
	// Changes that depend on these are planned once these are durable.
	p.placement.planWanted, p.placement.balance = len(changes) > 0, false
}

func (p *primary) placementInput(now time.Duration) placement.Input {
	settings := p.daemon.settings
	input := placement.Input{
		Stores: p.placementStores(now), Copies: settings.Copies(), Offers: p.placement.offers,
		Blocked:       p.placement.faults.blockedPairs(now),
		SpreadRegions: settings.FaultTolerance.Regions > 0,
		SharedZones:   settings.FaultTolerance.Regions == 0 && settings.FaultTolerance.Zones == 0,
		Partitions:    make([]placement.View, len(p.model.partitions)),
	}
	for n, v := range p.model.partitions {
		input.Partitions[n] = placement.View{
			Epoch: v.Epoch, Primary: v.Primary,
			Members: v.Members, Learners: v.Learners, Sources: v.Sources, Holders: v.Holders,
		}
	}
	return input
}

// placementStores describes all known stores.
func (p *primary) placementStores(now time.Duration) []placement.Store {
	live := make(map[string]protocol.Node)
	for _, n := range p.model.nodes {
		if n.Role == protocol.RoleStore {
			live[n.Member] = n
		}
	}
	stores := make([]placement.Store, 0, len(p.model.stores))
	for _, member := range p.model.storeMembers() {
		record := p.model.stores[member]
		store := placement.Store{Member: member, Zone: record.Zone, Region: record.Region, Retiring: record.Retiring, Abandoned: record.Abandoned}
		if node, ok := live[member]; ok {
			store.Leaving = node.Leaving
			store.Stalled = p.placement.faults.isStalled(now, member)
			store.Full = p.placement.faults.isFull(now, member)
		} else {
			store.DownFor = max(now-p.downSince(member), 1)
		}
		stores = append(stores, store)
	}
	return stores
}

// downSince returns when the session of a store ended, or when this process became primary if it ended before that.
func (p *primary) downSince(member string) time.Duration {
	if since, ok := p.placement.downSince[member]; ok {
		return since
	}
	return p.since
}

// reviewStores records which retiring stores are emptied, and removes stores that have been without a session for forgetAfter and that no
// partition names.
func (p *primary) reviewStores(now time.Duration) {
	live := make(map[string]bool)
	for _, n := range p.model.nodes {
		live[n.Member] = true
	}
	for _, member := range p.model.storeMembers() {
		store := p.model.stores[member]
		if p.model.references(member) {
			continue
		}
		if store.Retiring && !store.Emptied {
			store.Emptied = true
			p.put(store.record())
		}
		if !live[member] && now-p.downSince(member) >= forgetAfter {
			p.put(deletion(prefixStore + member))
		}
	}
}
