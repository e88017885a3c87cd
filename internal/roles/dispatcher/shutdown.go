package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// noticeLimit is how long clients are still served after the planned end began: the platform asks for readiness each second, and
	// sends no more after two misses.
	maxNoticePeriod = 2500 * time.Millisecond
	maxNoticeShare  = 0.4 // of the grace, at most
	// lingerLimit is how long connections are still taken, and end with their next answer, after that.
	lingerTimeout = 500 * time.Millisecond
	// reserve is kept of the grace for the end of the process itself.
	shutdownReserve   = 500 * time.Millisecond
	finalLeaveTimeout = 200 * time.Millisecond // for the word that the session is over
	pollInterval      = 20 * time.Millisecond
	// announceAgain is the pause before control is told again of the planned end.
	announceRetryInterval = 100 * time.Millisecond
)

// leave is the planned end. Clients are served until they have been led elsewhere; what runs at workers ends, and is reported.
func (d *dispatcher) shutDown() {
	grace := d.settings.Bounds.Grace()
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-shutdownReserve, shutdownReserve))
	defer cancel()
	d.logger.Info("planned end begins", zap.Duration("grace", grace))
	d.shuttingDown.Store(true)
	d.links.Pause()
	d.engine.Drain()
	d.tasks.Go(func() { d.announce(ctx) })

	notice := min(maxNoticePeriod, time.Duration(maxNoticeShare*float64(grace)))
	sleep(ctx, notice)
	d.ingress.CloseConnections()
	sleep(ctx, min(lingerTimeout, notice))
	if err := d.frontend.Shutdown(ctx); err != nil {
		d.logger.Warn("clients were still being answered at the end of the grace", zap.Error(err))
	}
	for d.links.Held() > 0 && ctx.Err() == nil {
		sleep(ctx, pollInterval)
	}
	if held := d.links.Held(); held > 0 {
		d.logger.Warn("results could not be reported within the grace", zap.Int("held", held))
	}
	over, cancel := context.WithTimeout(context.Background(), finalLeaveTimeout)
	defer cancel()
	if err := d.agent.Leave(over, true); err != nil {
		d.logger.Info("control was not told of the end", zap.Error(err))
	}
	d.close()
}

// announce tells control, which tells stores and dispatchers.
func (d *dispatcher) announce(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.agent.Leave(ctx, false); err == nil {
			return
		}
		sleep(ctx, announceRetryInterval)
	}
}

// close ends everything.
func (d *dispatcher) close() {
	if d.stop != nil {
		d.stop()
	}
	if d.frontend != nil {
		d.frontend.Close()
	}
	if d.readiness != nil {
		d.readiness.Close()
	}
	d.links.Close()
	d.engine.Close()
	d.agent.Close()
	d.tasks.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
