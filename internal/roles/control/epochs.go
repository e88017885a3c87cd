package control

import (
	"go.uber.org/zap"

	"liftgauge/placement"
	"liftgauge/replication"
)

// epochRemedy is what is told where a group uses up its epochs.
const epochRemedy = "each change of a view uses one: find in status why views change without end; at the limit this group changes no more, and its " +
	"messages have to be handed in again to a system that is founded anew"

// epochWatch tells once that epochs are being used up, and once that they are.
type epochWatch struct{ warned, refused bool }

// allowsChange tells whether a partition may take the view of a change, and logs where the epochs run out.
func (p *primary) allowsChange(change *placement.Change) bool {
	w, logger := &p.epochs, p.daemon.logger
	epoch := zap.Uint64("epoch", change.View.Epoch)
	limit := zap.Uint64("limit", replication.EpochLimit)
	switch {
	case change.View.Epoch >= replication.EpochLimit:
		if !w.refused {
			w.refused = true
			logger.Error("control: a partition has used up its epochs: "+epochRemedy, zap.Int("partition", change.Partition), epoch, limit)
		}
		return false
	case change.View.Epoch >= replication.EpochWarning && !w.warned:
		w.warned = true
		logger.Warn("control: a partition is using up its epochs: "+epochRemedy, zap.Int("partition", change.Partition), epoch, limit)
	}
	return true
}
