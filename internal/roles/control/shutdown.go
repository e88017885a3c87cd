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
	// shutdownPoll is how often the planned end looks whether the others do without this process.
	shutdownPoll = 20 * time.Millisecond
	// witnessTimeout is how long the planned end of a process that is no member any more waits to be left out of the witnesses.
	witnessTimeout = time.Second
)

// beginShutdown resigns, and closes done when this process is not needed any more.
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

// awaitSuccessor closes done when this process is neither primary nor a member that writes wait for, nor a witness that the others can do without;
// as a witness it waits for a while only.
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

// watchSettings takes new settings when the file has changed, with or without a signal.
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
		p.logger.Warn("control: the new settings are not valid; the ones before go on", reason(err))
		return
	}
	p.logger.Info("control: new settings")
	p.agent.Reload(s)
	p.loop.post(func() {
		changed := *p.daemon.settings // what sockets and the disk were opened with stays
		changed.CloudApi, changed.FaultTolerance = s.CloudApi, s.FaultTolerance
		p.daemon.settings = &changed
	})
}
