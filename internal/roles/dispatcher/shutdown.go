package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// maxNoticePeriod is how long clients are still served after the planned shutdown began: the platform checks readiness every second
	// and sends no more clients after two failed checks.
	maxNoticePeriod = 2500 * time.Millisecond
	maxNoticeShare  = 0.4 // of the grace period, at most
	// lingerTimeout is how long connections are still accepted after that; each is closed with its next response.
	lingerTimeout = 500 * time.Millisecond
	// shutdownReserve is the part of the grace period that is kept for the exit of the process itself.
	shutdownReserve   = 500 * time.Millisecond
	finalLeaveTimeout = 200 * time.Millisecond // for the notification that the session has ended
	pollInterval      = 20 * time.Millisecond
	// announceRetryInterval is the pause before control is notified again of the planned shutdown.
	announceRetryInterval = 100 * time.Millisecond
)

// shutDown performs the planned shutdown. Clients are served until the platform routes them elsewhere; attempts that are running at workers
// finish and are reported.
func (d *dispatcher) shutDown() {
	grace := d.settings.Bounds.Grace()
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-shutdownReserve, shutdownReserve))
	defer cancel()
	d.logger.Info("planned shutdown begins", zap.Duration("grace", grace))
	d.shuttingDown.Store(true)
	d.links.Pause()
	d.engine.Drain()
	d.tasks.Go(func() { d.announce(ctx) })

	notice := min(maxNoticePeriod, time.Duration(maxNoticeShare*float64(grace)))
	sleep(ctx, notice)
	d.ingress.CloseConnections()
	sleep(ctx, min(lingerTimeout, notice))
	if err := d.frontend.Shutdown(ctx); err != nil {
		d.logger.Warn("client requests were still in progress at the end of the grace period", zap.Error(err))
	}
	for d.links.Held() > 0 && ctx.Err() == nil {
		sleep(ctx, pollInterval)
	}
	if held := d.links.Held(); held > 0 {
		d.logger.Warn("results could not be reported within the grace period", zap.Int("held", held))
	}
	leaveContext, cancel := context.WithTimeout(context.Background(), finalLeaveTimeout)
	defer cancel()
	if err := d.agent.Leave(leaveContext, true); err != nil {
		d.logger.Info("control could not be notified of the end of the session", zap.Error(err))
	}
	d.close()
}

// announce notifies control of the planned shutdown; control notifies stores and dispatchers.
func (d *dispatcher) announce(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.agent.Leave(ctx, false); err == nil {
			return
		}
		sleep(ctx, announceRetryInterval)
	}
}

// close stops everything at once.
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
