// Package dispatcher implements the dispatcher role: it accepts clients' messages and passes them to stores, and delivers the messages
// that stores send it to workers. It keeps no durable state.
package dispatcher

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/network"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/roles"
	"liftgauge/internal/roles/dispatcher/delivery"
	"liftgauge/internal/roles/dispatcher/directory"
	"liftgauge/internal/roles/dispatcher/ingress"
	"liftgauge/internal/roles/dispatcher/stores"
	"liftgauge/internal/rpc"
	"liftgauge/placement"
)

const (
	// maxRateLimitedSessionAge is the age of the session up to which this process may send to rate-limited services: beyond it, control
	// may assign them to another dispatcher.
	maxRateLimitedSessionAge = 1200 * time.Millisecond
	// configurationTimeout is how long a delivery waits for a configuration that its store already has.
	configurationTimeout = 300 * time.Millisecond
)

// Agent is the part of agent.Agent that a dispatcher uses.
type Agent interface {
	Node() protocol.Node
	View() *agent.View
	Subscribe(f func(v *agent.View, changed []protocol.ItemKind))
	RequestUpdates(address string)
	Pool() *rpc.Pool
	Steady() time.Duration
	SessionAge() time.Duration
	Leave(ctx context.Context, endSession bool) error
	Reload(s *nodeconfig.Settings)
	Close()
}

var _ Agent = (*agent.Agent)(nil)

// dispatcher is one process of the role.
type dispatcher struct {
	network          network.Network // nil for the operating system's
	settings         *nodeconfig.Settings
	logger           *zap.Logger
	agent            Agent
	directory        *directory.Directory
	engine           *delivery.Engine
	links            *stores.Links
	ingress          *ingress.Ingress
	frontend         *ingress.Server
	readiness        *http.Server
	readinessAddress net.Addr
	shuttingDown     atomic.Bool
	tasks            sync.WaitGroup
	stop             context.CancelFunc

	// Owned by applySnapshot, which is called by one goroutine at a time.
	snapshotApplied bool
	ownership       placement.Ownership // of rate-limited and static services
	windows         []protocol.ServiceWindow
}

// Run serves until the context ends, and then shuts down as planned, within the grace period of the settings.
func Run(ctx context.Context, settings *nodeconfig.Settings, logger *zap.Logger) error {
	return RunIn(ctx, roles.Environment{}, settings, logger)
}

// RunIn is like Run, in the given environment.
func RunIn(ctx context.Context, e roles.Environment, settings *nodeconfig.Settings, logger *zap.Logger) error {
	var links atomic.Pointer[stores.Links]
	a, err := agent.Start(agent.Options{
		Settings: settings, Role: protocol.RoleDispatcher, Logger: logger, Handle: handler(&links), RPC: rpc.Options{Network: e.Network},
		Clocks: e.Clocks,
	})
	if err != nil {
		return err
	}
	d, err := start(e, settings, logger, a, &links)
	if err != nil {
		return err
	}
	<-ctx.Done()
	d.shutDown()
	return nil
}

// handler passes frames from stores to the links once these exist.
func handler(links *atomic.Pointer[stores.Links]) rpc.HandlerFunc {
	return func(c *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
		l := links.Load()
		switch {
		case kind == protocol.KindDeliver && reply == nil && l != nil:
			l.Deliver(c, body)
		case reply != nil:
			reply(nil, rpc.Errorf(protocol.CodeUnknownKind, "a dispatcher does not serve kind %d", kind))
		}
	}
}

// start builds the dispatcher and begins to serve. It closes the agent if it fails.
func start(e roles.Environment, settings *nodeconfig.Settings, logger *zap.Logger, a Agent, links *atomic.Pointer[stores.Links]) (*dispatcher, error) {
	node := a.Node()
	d := &dispatcher{network: e.Network, settings: settings, logger: logger, agent: a}
	d.directory = directory.New(directory.Self{Key: node.Key, Zone: node.Zone, Region: node.Region}, logger)
	d.engine = delivery.New(delivery.Options{
		Zone: node.Zone, Zones: zonesOf(settings), Seed: xxhash.Sum64String(node.Key) ^ node.Incarnation, Logger: logger, AllowRateLimited: d.rateLimitedAllowed,
		Dial: d.dial(),
	})
	d.links = stores.New(stores.Options{Node: node, Directory: d.directory, Connections: a.Pool(), Logger: logger, Run: d.deliver})
	d.ingress = ingress.New(ingress.Options{Directory: d.directory, Connections: a.Pool(), RequestUpdates: a.RequestUpdates, Logger: logger})
	links.Store(d.links)
	d.directory.Subscribe(d.applySnapshot)
	if err := d.listen(); err != nil {
		d.close()
		return nil, err
	}
	a.Subscribe(func(v *agent.View, _ []protocol.ItemKind) { d.directory.Update(v) })
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.tasks.Go(func() { d.watchSettings(ctx) })
	d.tasks.Go(func() { d.watchList(ctx) })
	return d, nil
}

// dial returns the function that opens connections to workers; nil selects the engine's default.
func (d *dispatcher) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if d.network == nil {
		return nil
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, delivery.ConnectTimeout)
		defer cancel()
		return d.network.DialContext(ctx, network, address)
	}
}

// listen opens the listeners for clients and for the platform's readiness checks.
func (d *dispatcher) listen() error {
	addresses := d.settings.BindAddresses
	frontend, err := ingress.Listen(d.network, addresses.Frontend, d.ingress, d.directory, d.logger)
	if err != nil {
		return err
	}
	d.frontend = frontend
	listener, err := network.Listen(d.network, addresses.Readiness)
	if err != nil {
		return errors.Wrapf(err, "dispatcher: cannot listen on Readiness %s: free the port or change BindAddresses.Readiness", addresses.Readiness)
	}
	d.readinessAddress = listener.Addr()
	d.readiness = &http.Server{Handler: http.HandlerFunc(d.serveReadiness), ReadHeaderTimeout: time.Second, IdleTimeout: readinessIdleTimeout}
	d.tasks.Go(func() { _ = d.readiness.Serve(listener) }) // ends with ErrServerClosed
	return nil
}

func zonesOf(settings *nodeconfig.Settings) []string {
	zones := []string{}
	for zone := range settings.Zones {
		zones = append(zones, zone)
	}
	return zones
}

func (d *dispatcher) rateLimitedAllowed() bool {
	return d.agent.SessionAge() <= maxRateLimitedSessionAge
}

// applySnapshot passes a new snapshot to the engine and the links.
func (d *dispatcher) applySnapshot(before, after *directory.Snapshot) {
	if !d.snapshotApplied || before.Configuration != after.Configuration || before.WorkersVersion != after.WorkersVersion ||
		!slices.Equal(before.Dispatchers, after.Dispatchers) {
		d.snapshotApplied = true
		state := engineState(after, d.agent.Node().Key, &d.ownership)
		d.engine.Update(state)
		d.windows = delivery.Windows(&state)
	}
	d.links.Update(before, after, d.windows)
}

// deliver starts a delivery. It does not block.
func (d *dispatcher) deliver(m *protocol.Deliver, done func(delivery.Result)) {
	if s := d.directory.Current(); !d.lacksConfiguration(s, m) {
		d.submit(s, m, done)
		return
	}
	go func() {
		d.awaitConfiguration(m)
		if s := d.directory.Current(); !d.lacksConfiguration(s, m) {
			d.submit(s, m, done)
			return
		}
		done(delivery.Result{Outcome: protocol.OutcomeNotRun, Pause: configurationTimeout})
	}()
}

// lacksConfiguration reports whether the store that sent m has a newer configuration than this process.
func (d *dispatcher) lacksConfiguration(s *directory.Snapshot, m *protocol.Deliver) bool {
	return s.Configuration == nil || s.ConfigurationVersion.Less(m.Configuration)
}

// awaitConfiguration waits up to configurationTimeout for the configuration that m needs.
func (d *dispatcher) awaitConfiguration(m *protocol.Deliver) {
	limit := time.NewTimer(configurationTimeout)
	defer limit.Stop()
	for {
		changed := d.directory.Changed()
		if !d.lacksConfiguration(d.directory.Current(), m) {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		}
	}
}

// submit matches the route again: time-outs and services may have changed, and the route may have been removed.
func (d *dispatcher) submit(s *directory.Snapshot, m *protocol.Deliver, done func(delivery.Result)) {
	route, ok := s.Configuration.Match(m.Host, m.URI)
	if !ok {
		done(delivery.Result{Outcome: protocol.OutcomeNoRoute})
		return
	}
	d.engine.Submit(delivery.Job{Message: m, Service: route.Service, Timeout: route.Timeout, Done: done})
}
