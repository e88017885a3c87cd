package control

import (
	"go.uber.org/zap"

	"liftgauge/placement"
	"liftgauge/replication"
)

// epochRemedy is the advice that is logged when a group is running out of epochs.
const epochRemedy = "each view change uses one: find in status why views keep changing; at the limit the view of this group can no longer change, " +
	"and its messages have to be submitted again to a newly founded system"

// epochWatch keeps the warning about epochs running out, and the error when they have run out, to one each.
type epochWatch struct{ warned, refused bool }

// allowsChange reports whether a partition may change to the view of a change, and logs when the epochs run out.
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
