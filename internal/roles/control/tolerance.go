package control

import (
	"time"

	"go.uber.org/zap"

	"liftgauge/replication"
)

// toleranceWatch detects that control tolerates fewer losses than FaultTolerance requires for longer than a repair takes.
type toleranceWatch struct {
	short      bool
	shortSince time.Duration
	reported   bool
}

// toleranceChange is the change that is to be logged.
type toleranceChange int

const (
	toleranceUnchanged toleranceChange = iota
	toleranceLost
	toleranceRestored
)

// observe takes how many losses are tolerated and required now, and how long a shortage may last before it is reported.
func (w *toleranceWatch) observe(now time.Duration, tolerated, required int, timeout time.Duration) toleranceChange {
	if tolerated >= required {
		restored := w.reported
		*w = toleranceWatch{}
		if restored {
			return toleranceRestored
		}
		return toleranceUnchanged
	}
	if !w.short {
		w.short, w.shortSince = true, now
	}
	if w.reported || now-w.shortSince < timeout {
		return toleranceUnchanged
	}
	w.reported = true
	return toleranceLost
}

// watchTolerance logs when control has too few witnesses for FaultTolerance, and when it has enough again.
func (p *primary) watchTolerance(now time.Duration) {
	d := p.daemon
	view, required := d.elector.View(), d.settings.Copies()-1
	witnesses := zap.Strings("witnesses", view.Witnesses)
	tolerated := zap.Int("losses_borne", view.ToleratedLosses())
	switch p.tolerance.observe(now, view.ToleratedLosses(), required, d.settings.Bounds.CatchUp()) {
	case toleranceLost:
		d.logger.Warn("control: tolerates fewer losses than FaultTolerance requires: run it on more machines with a disk", tolerated,
			zap.Int("losses_asked", required), zap.Int("machines_needed", replication.WitnessesFor(required)), witnesses)
	case toleranceRestored:
		d.logger.Info("control: tolerates as many losses as FaultTolerance requires again", tolerated, witnesses)
	}
}
