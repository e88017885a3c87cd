package store

import (
	"slices"

	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
)

// repairableMargin is the part of the repairable bytes below which a store that exceeded them counts as within them again.
const repairableMargin = 0.95

// repairWatch logs when this store holds more than the remaining stores could take over after the losses that FaultTolerance allows.
// Messages are accepted beyond that, until the log is nearly full; after a loss their copies then wait for others to end.
type repairWatch struct {
	exceeded bool

	nodes        protocol.ItemVersion // stores and lost were counted from this node table, for these tolerated losses
	tolerated    nodeconfig.FaultTolerance
	stores, lost int
}

// check compares the records in the log with those that can be repaired.
func (w *repairWatch) check(s *store) {
	live, capacity := s.log.Live()
	if capacity == 0 {
		return
	}
	w.count(s.view, s.settings.FaultTolerance)
	share := repairableShare(w.stores, w.lost, s.settings.Copies())
	repairable := int64(share * float64(capacity))
	fields := []zap.Field{
		zap.Int64("live_bytes", live), zap.Int64("repairable_bytes", repairable), zap.Int("stores", w.stores), zap.Int("losses", w.lost),
	}
	switch {
	case !w.exceeded && live > repairable:
		w.exceeded = true
		s.logger.Warn("more is stored than the other stores could take over after a loss: raise Limits.DiskMb, or add stores", fields...)
	case w.exceeded && float64(live) < float64(repairable)*repairableMargin:
		w.exceeded = false
		s.logger.Info("the other stores could take over what is stored after a loss again", fields...)
	}
}

// count counts the stores if the node table or the tolerated losses have changed.
func (w *repairWatch) count(view *agent.View, tolerated nodeconfig.FaultTolerance) {
	if w.nodes == view.NodesVersion && w.tolerated == tolerated {
		return
	}
	w.nodes, w.tolerated = view.NodesVersion, tolerated
	w.stores, w.lost = countStores(view, tolerated)
}

// countStores returns the number of stores, and how many of them can be lost at a time by the losses that must be tolerated.
func countStores(view *agent.View, tolerated nodeconfig.FaultTolerance) (stores, lost int) {
	zones, regions := map[string]int{}, map[string]int{}
	for node := range view.Each(protocol.RoleStore) {
		stores++
		zones[node.Zone]++
		regions[node.Region]++
	}
	lost = max(tolerated.Machines, largest(zones, tolerated.Zones), largest(regions, tolerated.Regions))
	return stores, min(lost, stores)
}

// largest returns the sum of the n largest counts.
func largest(counts map[string]int, n int) (sum int) {
	sorted := make([]int, 0, len(counts))
	for _, count := range counts {
		sorted = append(sorted, count)
	}
	slices.SortFunc(sorted, func(a, b int) int { return b - a })
	for _, count := range sorted[:min(n, len(sorted))] {
		sum += count
	}
	return sum
}

// repairableShare returns the part of equally filled disks up to which all copies have room on the stores that remain. Where fewer stores
// remain than there are copies, each keeps one.
func repairableShare(stores, lost, copies int) float64 {
	remaining := stores - lost
	if remaining <= 0 {
		return 1
	}
	copiesAfterLoss := min(copies, remaining)
	share := float64(remaining*min(copies, stores)) / float64(stores*copiesAfterLoss)
	return min(share, 1)
}
