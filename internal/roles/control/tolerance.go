package control

import (
	"time"

	"go.uber.org/zap"

	"liftgauge/replication"
)

// toleranceWatch notices that control bears fewer losses than FaultTolerance asks for, for longer than a repair takes.
type toleranceWatch struct {
	short      bool
	shortSince time.Duration
	reported   bool
}

// toleranceChange is what is to be told of it.
type toleranceChange int

const (
	toleranceUnchanged toleranceChange = iota
	toleranceLost
	toleranceRestored
)

// observe takes how many losses are borne and asked for now, and how long a shortage is nothing unusual.
func (w *toleranceWatch) observe(now time.Duration, borne, asked int, patience time.Duration) toleranceChange {
	if borne >= asked {
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
	if w.reported || now-w.shortSince < patience {
		return toleranceUnchanged
	}
	w.reported = true
	return toleranceLost
}

// watchTolerance logs when control has too few witnesses for FaultTolerance, and when it has enough again.
func (p *primary) watchTolerance(now time.Duration) {
	d := p.daemon
	view, asked := d.elector.View(), d.settings.Copies()-1
	witnesses := zap.Strings("witnesses", view.Witnesses)
	borne := zap.Int("losses_borne", view.ToleratedLosses())
	switch p.tolerance.observe(now, view.ToleratedLosses(), asked, d.settings.Bounds.CatchUp()) {
	case toleranceLost:
		d.logger.Warn("control: bears fewer losses than FaultTolerance asks for: run it on more machines with a disk", borne,
			zap.Int("losses_asked", asked), zap.Int("machines_needed", replication.WitnessesFor(asked)), witnesses)
	case toleranceRestored:
		d.logger.Info("control: bears as many losses as FaultTolerance asks for again", borne, witnesses)
	}
}
