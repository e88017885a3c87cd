package control

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/network"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/recordlog"
	"liftgauge/internal/roles"
	"liftgauge/internal/rpc"
	"liftgauge/replication"
)

const (
	dataFolder = "control" // in DataDir
	// diskShare is the divisor of Limits.DiskMb that gives the share of the log, since another process may use the same disk.
	diskShare = 2
)

// Run runs a control process until the context is cancelled, which starts its planned shutdown.
func Run(ctx context.Context, settings *nodeconfig.Settings, logger *zap.Logger) error {
	return RunIn(ctx, roles.Environment{}, settings, logger)
}

// RunIn is Run in the given environment.
func RunIn(ctx context.Context, e roles.Environment, settings *nodeconfig.Settings, logger *zap.Logger) error {
	d, err := start(ctx, options{settings: settings, logger: logger, environment: e})
	if err != nil {
		return err
	}
	return d.serve(ctx)
}

// options configures a process.
type options struct {
	settings    *nodeconfig.Settings
	logger      *zap.Logger
	environment roles.Environment
}

// process is a started daemon with the resources that have to be closed at its shutdown.
type process struct {
	*daemon
	log             *recordlog.Log // nil without a disk
	server          *http.Server
	listener        net.Listener
	cancel          context.CancelFunc // of the event loop
	loopDone        chan struct{}
	grace           time.Duration // time limit of the planned shutdown
	handOverTimeout time.Duration // how long the planned shutdown waits for a successor
	initial         *nodeconfig.Settings
}

// start opens disk and sockets and starts the event loop.
func start(ctx context.Context, o options) (*process, error) {
	d := &daemon{
		settings: o.settings, logger: o.logger, environment: o.environment, loop: newEventLoop(), peers: newPeerDirectory(), replyTo: make(map[string]*rpc.Conn),
		stopped: make(chan struct{}), foundedAnew: make(chan struct{}), orderLimit: orderLimit(logBytes(o.settings)),
	}
	p := &process{daemon: d, grace: shutdownGrace(o.settings), handOverTimeout: maxHandOverTime, initial: o.settings}
	d.self.Address = o.settings.InternalAddress(protocol.RoleControl)
	if err := p.open(ctx); err != nil {
		return nil, err
	}
	listener, err := network.Listen(o.environment.Network, o.settings.BindAddresses.ControlPlane)
	if err != nil {
		return nil, multierr.Append(errors.Wrap(err, "listening on BindAddresses.ControlPlane"), p.closeLog())
	}
	p.listener = listener
	if err := p.startAgent(); err != nil {
		return nil, multierr.Combine(err, listener.Close(), p.closeLog())
	}
	loopContext, cancel := context.WithCancel(context.Background())
	p.cancel, p.loopDone = cancel, make(chan struct{})
	go func() {
		defer close(p.loopDone)
		d.loop.run(loopContext, tickInterval, d.tick, d.afterEvent)
	}()
	p.server = operatorAPI{daemon: d}.server()
	p.server.ErrorLog = zap.NewStdLog(o.logger.WithOptions(zap.IncreaseLevel(zap.WarnLevel)))
	go func() { _ = p.server.Serve(listener) }() // ends with Shutdown
	return p, nil
}

// logBytes returns the disk space in bytes that the record log may use, 0 if the settings name no limit.
func logBytes(s *nodeconfig.Settings) int64 { return int64(s.Limits.DiskMb) << 20 / diskShare }

// open opens the record log and creates the replicated group from it. Without DataDir there is nothing to open.
func (p *process) open(ctx context.Context) error {
	s := p.settings
	if s.DataDir == "" {
		return nil
	}
	log, report, err := recordlog.Open(filepath.Join(s.DataDir, dataFolder), recordlog.Options{
		DiskBytes: logBytes(s), Disk: p.environment.Disk, Logger: p.logger,
	})
	if err != nil {
		return errors.Wrap(err, "opening the record log in DataDir")
	}
	p.log, p.storage = log, log
	p.logger.Info("control: disk opened", zap.Int("records", report.Live), zap.Int("garbled", report.Garbled), zap.Bool("tail_cut", report.TailCut))
	if p.self.Member, err = memberOf(ctx, log, s.NodeName); err != nil {
		return multierr.Append(err, log.Close())
	}
	if err := p.openGroup(); err != nil {
		return multierr.Append(err, log.Close())
	}
	return nil
}

// openGroup creates the replica and the elector from the state on disk.
func (p *process) openGroup() error {
	d := p.daemon
	s := p.settings
	register, found, err := replication.LoadRegister(p.storage)
	if err != nil {
		return errors.Wrap(err, "reading the witness register")
	}
	o := replication.ElectorOptions{
		Self: d.self, Seeds: s.SeedAddresses(), Bootstrap: s.Bootstrap, Tolerate: s.Copies() - 1, Random: rand.Int64N,
		BlockingPeers:  func() []replication.MemberID { return d.replica.BlockingPeers() },
		StalledMembers: func() []replication.MemberID { return d.replica.StalledMembers() },
	}
	if found {
		o.Register = &register
	}
	d.elector = replication.NewElector(o)
	d.replica, err = replication.NewReplica(replication.ReplicaOptions{
		Group: controlGroup, Self: d.self.Member, Copies: s.Copies(), Storage: p.storage, Post: d.loop.post,
		Send: d.sendReplication, Events: replicaEvents{daemon: d},
	})
	return errors.Wrap(err, "reading the replica's state")
}

func (p *process) startAgent() error {
	d := p.daemon
	d.reader = newListReader(d)
	started, err := agent.Start(agent.Options{
		Settings: p.settings, Role: protocol.RoleControl, Member: d.self.Member, Logger: p.logger, Handle: d.handle,
		OnClose: d.connectionClosed,
		Report:  func(h *protocol.Heartbeat) { h.WorkerListStale = d.reader.stale.Load() },
		RPC:     rpc.Options{Network: d.environment.Network},
		Storage: p.storage, Clocks: d.environment.Clocks,
	})
	if err != nil {
		return errors.Wrap(err, "starting on the internal address")
	}
	d.agent = started
	d.startedAt = started.Steady()
	d.links = newLinks(started.Pool(), d.loop, d.linkChanged)
	started.Subscribe(func(*agent.View, []protocol.ItemKind) { d.loop.post(d.retryPendingCalls) })
	return nil
}

// serve waits for the planned shutdown and carries it out within the grace period of the platform.
func (p *process) serve(ctx context.Context) error {
	watchContext, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	p.watchSettings(watchContext, p.initial)
	select {
	case <-p.foundedAnew:
		grace, cancel := context.WithTimeout(context.Background(), p.grace)
		defer cancel()
		return multierr.Append(ErrFoundedAnew, p.close(grace))
	case <-ctx.Done():
	}
	p.logger.Info("control: planned shutdown begins")
	grace, cancel := context.WithTimeout(context.Background(), p.grace)
	defer cancel()
	p.handOver(grace)
	return p.close(grace)
}

// The planned shutdown takes at most the grace period of the platform less graceMargin, or minShutdownGrace if that is longer, and waits at most
// maxHandOverTime for another primary.
const (
	graceMargin      = time.Second
	minShutdownGrace = time.Second
	maxHandOverTime  = 1500 * time.Millisecond
	leaveTimeout     = 500 * time.Millisecond
)

func shutdownGrace(s *nodeconfig.Settings) time.Duration {
	return max(s.Bounds.Grace()-graceMargin, minShutdownGrace)
}

// handOver hands the role in the group and the duties over to other processes.
func (p *process) handOver(ctx context.Context) {
	leaving, cancel := context.WithTimeout(ctx, leaveTimeout)
	if err := p.agent.Leave(leaving, false); err != nil {
		p.logger.Info("control: no process was notified of the planned shutdown", reason(err))
	}
	cancel()
	resigned := make(chan struct{})
	p.loop.post(func() { p.beginShutdown(resigned) })
	wait, cancel := context.WithTimeout(ctx, p.handOverTimeout)
	defer cancel()
	select {
	case <-resigned:
	case <-wait.Done():
	}
}

// close stops the process; open calls of the operator are answered first.
func (p *process) close(ctx context.Context) error {
	shutdown, cancel := context.WithTimeout(ctx, orderTimeout)
	err := p.server.Shutdown(shutdown)
	cancel()
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil
		_ = p.server.Close()
	}
	leaving, cancel := context.WithTimeout(ctx, leaveTimeout)
	_ = p.agent.Leave(leaving, true) // if this fails, the session expires
	cancel()
	p.stop()
	return multierr.Append(err, p.closeLog())
}

// stop ends the loop and the agent without notifying other processes.
func (p *process) stop() {
	close(p.stopped)
	p.cancel()
	<-p.loopDone
	p.agent.Close()
	_ = p.server.Close()
}

func (p *process) closeLog() error {
	if p.log == nil {
		return nil
	}
	return p.log.Close()
}
