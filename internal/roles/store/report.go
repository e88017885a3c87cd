package store

import (
	"sync"

	"liftgauge/internal/protocol"
)

// report holds what this store adds to heartbeats. The loop writes it, the agent's goroutine reads it.
type report struct {
	mu            sync.Mutex
	offers        []protocol.PromotionOffer
	partitionsLed uint32
	diskFull      bool
	unreachable   []string
	diskStalled   bool
}

// writeReport updates the report for the next heartbeats.
func (s *store) writeReport() {
	var offers []protocol.PromotionOffer
	primary := uint32(0)
	for _, p := range s.sortedPartitions() {
		if !p.leading {
			continue
		}
		primary++
		for _, learner := range p.offers {
			offers = append(offers, protocol.PromotionOffer{Partition: p.number, Epoch: p.view.Epoch, Learner: learner})
		}
	}
	s.report.mu.Lock()
	defer s.report.mu.Unlock()
	s.report.offers, s.report.partitionsLed, s.report.diskFull = offers, primary, s.log.Full() || s.storage.full(s.now())
	s.report.unreachable, s.report.diskStalled = s.unreachable(s.now()), s.diskStalled
}

// fill copies the report into a heartbeat.
func (r *report) fill(h *protocol.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Offers, h.PartitionsLed, h.DiskFull = r.offers, r.partitionsLed, r.diskFull
	h.UnreachablePeers, h.DiskStalled = r.unreachable, r.diskStalled
}
