package control

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"liftgauge/internal/nodeconfig"
)

const (
	// shutdownPoll is the interval at which a planned shutdown checks whether the group still needs this process.
	shutdownPoll = 20 * time.Millisecond
	// witnessTimeout is how long the planned shutdown of a process that is no longer a member waits to be removed from the witnesses.
	witnessTimeout = time.Second
)

// beginShutdown resigns, and closes done when this process is no longer needed.
func (d *daemon) beginShutdown(done chan struct{}) {
	d.shuttingDown = true
	d.reader.stop()
	if d.elector == nil {
		close(done)
		return
	}
	d.witnessDeadline = d.now() + witnessTimeout
	d.execute(d.elector.Resign(d.now()))
	d.awaitSuccessor(done)
}

// awaitSuccessor closes done when the group no longer needs this process as primary or member, nor as a witness that may be removed; a process
// that is only a witness waits for at most witnessTimeout.
func (d *daemon) awaitSuccessor(done chan struct{}) {
	switch now := d.now(); {
	case d.elector.View().Includes(d.self.Member):
		d.witnessDeadline = now + witnessTimeout
	case now >= d.witnessDeadline:
		close(done)
		return
	}
	if !d.elector.IsNeeded() {
		close(done)
		return
	}
	d.loop.after(shutdownPoll, func() { d.awaitSuccessor(done) })
}

// watchSettings applies new settings when the file has changed, with or without a signal.
func (p *process) watchSettings(ctx context.Context, current *nodeconfig.Settings) {
	if current.File == "" {
		return
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangup)
		nodeconfig.Watch(ctx, current.File, current, hangup, p.settingsChanged)
	}()
}

func (p *process) settingsChanged(s *nodeconfig.Settings, err error) {
	if err != nil {
		p.logger.Warn("control: the new settings are invalid; keeping the current ones", reason(err))
		return
	}
	p.logger.Info("control: settings reloaded")
	p.agent.Reload(s)
	p.loop.post(func() {
		changed := *p.daemon.settings // settings that sockets and the disk were opened with are kept
		changed.CloudApi, changed.FaultTolerance = s.CloudApi, s.FaultTolerance
		p.daemon.settings = &changed
	})
}
