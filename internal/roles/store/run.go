package store

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/recordlog"
	"liftgauge/internal/roles"
	"liftgauge/internal/rpc"
	"liftgauge/queue"
)

// diskShare is the part of the machine's disk that the records may use.
const diskShare = 0.9

// options are the parameters of run.
type options struct {
	settings      *nodeconfig.Settings
	logger        *zap.Logger
	environment   roles.Environment
	listenAddress string         // overrides the internal address, for tests
	started       func(s *store) // called before the loop runs, for tests
	afterStep     func()         // called on the loop after each step, for tests
}

// Run runs the store role until the context is cancelled, then hands its partitions over and returns.
func Run(ctx context.Context, settings *nodeconfig.Settings, logger *zap.Logger) error {
	return RunIn(ctx, roles.Environment{}, settings, logger)
}

// RunIn is Run with the given disk and network.
func RunIn(ctx context.Context, e roles.Environment, settings *nodeconfig.Settings, logger *zap.Logger) error {
	return run(ctx, options{settings: settings, logger: logger, environment: e})
}

func run(ctx context.Context, o options) (err error) {
	s, err := open(o)
	if err != nil {
		return err
	}
	defer func() { err = multierr.Append(err, s.log.Close()) }()
	defer s.agent.Close()
	watchContext, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	if o.settings.File != "" {
		go s.watchSettings(watchContext)
	}
	if o.started != nil {
		o.started(s)
	}
	s.agent.Subscribe(func(view *agent.View, _ []protocol.ItemKind) { s.loop.post(func() { s.viewChanged(view) }) })
	s.runLoop(ctx)
	return nil
}

// open opens the record log and starts the agent.
func open(o options) (*store, error) {
	if o.settings.DataDir == "" {
		return nil, errors.New("a store needs a disk: set DataDir in the settings file, or run this role on storage machines only")
	}
	log, found, err := recordlog.Open(filepath.Join(o.settings.DataDir, recordsFolder), recordlog.Options{
		DiskBytes: int64(diskShare * float64(o.settings.Limits.DiskMb) * (1 << 20)),
		Disk:      o.environment.Disk,
		Logger:    o.logger,
		OnError:   func(err error) { o.logger.Warn("disk write failed", zap.Error(err)) },
	})
	if err != nil {
		return nil, errors.Wrap(err, "open the records; check the disk under DataDir")
	}
	o.logger.Info("records read", zap.Int("live", found.Live), zap.Int("garbled", found.Garbled), zap.Int("missing", found.Missing))
	member, err := loadMember(log, o.settings.NodeName)
	if err != nil {
		return nil, multierr.Append(err, log.Close())
	}
	s := &store{
		settings: o.settings, logger: o.logger, loop: newEventLoop(), log: log, member: member, view: &agent.View{},
		partitions: map[uint32]*partition{}, peers: map[string]*peer{}, sessions: map[string]*session{},
		bodies: newBodyCache(bodyCacheBytes), shutdown: shutdown{done: make(chan struct{})}, afterStep: o.afterStep,
	}
	s.queue = queue.New(queue.Options{Match: s.matchRoute, Zone: o.settings.Zone, PresumedLost: s.losses.add})
	s.agent, err = agent.Start(agent.Options{
		Settings: o.settings, Role: protocol.RoleStore, Member: member, Logger: o.logger, ListenAddress: o.listenAddress,
		Handle: s.handle, Report: s.report.fill, OnClose: s.handleClose, Storage: log, Clocks: o.environment.Clocks,
		RPC: rpc.Options{Network: o.environment.Network},
	})
	if err != nil {
		return nil, multierr.Append(err, log.Close())
	}
	s.storage = newWatchedStorage(log, s.agent.Steady)
	s.grants = newGrants(s.now())
	if err := s.openRecordedPartitions(); err != nil {
		s.agent.Close()
		return nil, multierr.Append(err, log.Close())
	}
	return s, nil
}

// watchSettings applies changes of the settings file, also on SIGHUP.
func (s *store) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	nodeconfig.Watch(ctx, s.settings.File, s.settings, hangup, func(settings *nodeconfig.Settings, err error) {
		if err != nil {
			s.logger.Warn("the new settings are not valid; the previous ones stay in use", zap.Error(err))
			return
		}
		s.loop.post(func() {
			s.settings = settings
			s.agent.Reload(settings)
		})
	})
}

// runLoop runs the event loop until a planned shutdown is finished.
func (s *store) runLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	cancelled := ctx.Done()
	for {
		select {
		case <-s.loop.signal:
		case <-timer.C:
		case <-cancelled:
			cancelled = nil
			s.beginShutdown()
		case <-s.shutdown.done:
			return
		}
		s.loop.runPending()
		timer.Reset(max(0, s.step()-s.now()))
		if s.afterStep != nil {
			s.afterStep()
		}
	}
}
