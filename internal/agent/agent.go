// Package agent is what every process of the system has in common: its internal address, its session with control, the items that
// everybody knows, and the cluster's time.
//
// An agent has one goroutine, its loop, which owns the state of dissemination and of the session; everything else posts to it.
package agent

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/dissemination"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

const (
	defaultHeartbeatEvery = 200 * time.Millisecond
	defaultGossipEvery    = 300 * time.Millisecond
	// gossipIdleAfter is how long a connection stays open that was made to fetch items only.
	gossipIdleAfter = 3 * time.Second
	// listenTries is how often a port is looked for that is free for TCP and UDP, where the system chooses it.
	listenTries = 20
)

// ErrClosed is the error of calls to an agent that was closed.
var ErrClosed = errors.New("agent: closed")

// Options describe a process.
type Options struct {
	Settings *nodeconfig.Settings
	Role     protocol.Role
	Member   string // NodeName/DiskID; empty without a disk
	Logger   *zap.Logger
	// Handle gets the frames that are not the agent's own (KindDigest, KindItems and KindFetch are). It must not block. It may be
	// called before Start returns.
	Handle rpc.HandlerFunc
	// Report completes each heartbeat before it is sent, on the agent's goroutine; it must not block. It may be nil.
	Report func(h *protocol.Heartbeat)
	// HeartbeatEvery is the time between heartbeats; 200 ms by default.
	HeartbeatEvery time.Duration
	// GossipEvery is the time between digests to a peer at random; 300 ms by default.
	GossipEvery time.Duration
	// OnClose is told of each connection that ended.
	OnClose func(c *rpc.Conn, err error)
	// ListenAddress overrides the internal address, for tests; with port 0 the system chooses one.
	ListenAddress string
	// Incarnation overrides the drawn one, for tests.
	Incarnation uint64
	// WallClock and SteadyClock override the system's clocks, for tests.
	WallClock   func() time.Time
	SteadyClock func() time.Duration
	// RPC are the limits of connections; its OnClose and Logger are not used.
	RPC rpc.Options
}

// Agent runs until Close.
type Agent struct {
	options  Options
	logger   *zap.Logger
	random   *rand.Rand // of the loop
	node     atomic.Pointer[protocol.Node]
	view     atomic.Pointer[View]
	accepted atomic.Int64 // steady time of the request of the last accepted heartbeat
	clock    *clock

	server    *rpc.Server
	datagrams *rpc.DatagramSocket
	pool      *rpc.Pool
	fetching  *rpc.Pool // connections to peers that only items are fetched from

	loop        *loop
	session     *session
	heartbeat   heartbeat
	items       items
	subscribers []func(v *View, changed []protocol.ItemKind)
	closing     sync.Once
}

// Start listens on the internal address and begins heartbeats and gossip.
func Start(o Options) (*Agent, error) {
	o = o.withDefaults()
	s := o.Settings
	a := &Agent{
		options: o, logger: o.Logger,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		clock:  newClock(o.SteadyClock(), o.WallClock()),
		loop:   newLoop(),
		items:  newItems(o.GossipEvery, o.SteadyClock()),
	}
	a.view.Store(&View{})
	a.accepted.Store(int64(o.SteadyClock()))
	a.node.Store(&protocol.Node{
		Key: protocol.NodeKey(s.NodeName, o.Role), Name: s.NodeName, Role: o.Role, Incarnation: o.Incarnation, Member: o.Member,
		Zone: s.Zone, Region: s.Region, ControlPlane: s.BindAddresses.ControlPlane, Counts: s.CountsForQuorum,
	})
	a.session = newSession(o.HeartbeatEvery, a.Steady())
	handler, limits := rpc.HandlerFunc(a.handle), o.RPC
	a.pool = rpc.NewPool(handler, limits)
	limits.IdleAfter = gossipIdleAfter
	a.fetching = rpc.NewPool(handler, limits)
	if err := a.listen(handler); err != nil {
		a.pool.Close()
		a.fetching.Close()
		return nil, err
	}
	a.loop.post(func() { a.reload(s) })
	go a.run()
	return a, nil
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.HeartbeatEvery == 0 {
		o.HeartbeatEvery = defaultHeartbeatEvery
	}
	if o.GossipEvery == 0 {
		o.GossipEvery = defaultGossipEvery
	}
	for o.Incarnation == 0 {
		o.Incarnation = rand.Uint64()
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.SteadyClock == nil {
		start := time.Now()
		o.SteadyClock = func() time.Duration { return time.Since(start) }
	}
	if o.ListenAddress == "" {
		o.ListenAddress = o.Settings.InternalAddress(o.Role)
	}
	o.RPC.Logger, o.RPC.OnClose = o.Logger, o.OnClose
	return o
}

// listen opens the internal address for TCP and UDP. Frames may come in before it returns; what they ask of the loop waits for it.
func (a *Agent) listen(handler rpc.Handler) error {
	_, port, err := net.SplitHostPort(a.options.ListenAddress)
	if err != nil {
		return errors.Wrapf(err, "agent: internal address %q", a.options.ListenAddress)
	}
	for try := 1; ; try++ {
		a.server, err = rpc.Listen(a.options.ListenAddress, handler, a.options.RPC)
		if err != nil {
			return err
		}
		address := a.server.Addr()
		a.datagrams, err = rpc.ListenDatagramsOn(a.options.RPC.Network, address, a.handleDatagram)
		if err == nil {
			a.setNode(func(n *protocol.Node) { n.Address = address })
			return nil
		}
		_ = a.server.Close()
		if port != "0" || try == listenTries {
			return err
		}
	}
}

// setNode replaces the announced node by a changed copy.
func (a *Agent) setNode(change func(n *protocol.Node)) {
	for {
		old := a.node.Load()
		changed := *old
		change(&changed)
		if a.node.CompareAndSwap(old, &changed) {
			return
		}
	}
}

// Node is this process as announced.
func (a *Agent) Node() protocol.Node { return *a.node.Load() }

// View is the present state of all items; it is never changed.
func (a *Agent) View() *View { return a.view.Load() }

// Subscribe has f called in order for each change of items, on the agent's goroutine; f must not block. The first call brings the
// present state. That the list of workers was read again, unchanged, is not announced: look at View().WorkersReadAt.
func (a *Agent) Subscribe(f func(v *View, changed []protocol.ItemKind)) {
	a.loop.post(func() {
		a.subscribers = append(a.subscribers, f)
		var known []protocol.ItemKind
		for _, entry := range a.items.state.Digest() {
			known = append(known, entry.Key)
		}
		f(a.View(), known)
	})
}

// Publish takes items made by this process and pushes them; those that are not newer than what is known are ignored.
func (a *Agent) Publish(items ...protocol.Item) {
	packed := make([]protocol.Item, len(items))
	for i, item := range items {
		packed[i] = protocol.Item{Kind: item.Kind, Version: item.Version, Body: pack(item.Body)}
	}
	a.loop.post(func() { a.take(packed) })
}

// PublishWorkersFresh tells that the list of workers was read again, unchanged.
func (a *Agent) PublishWorkersFresh(fresh protocol.WorkersFresh) {
	a.loop.post(func() {
		if a.takeFresh(fresh) && a.session.primary != "" && a.session.primary != a.Node().Address {
			a.sendDigest(a.session.primary, true) // from there it reaches all with the answers to their heartbeats
		}
	})
}

// Digest is what to send along with an answer to a heartbeat.
func (a *Agent) Digest() protocol.Digest {
	d := protocol.Digest{Key: a.Node().Key, Address: a.Node().Address, Answer: true}
	v := a.View()
	d.Versions, d.Fresh = v.digest, v.WorkersFresh
	return d
}

// HandleDigest takes the digest that came with a heartbeat.
func (a *Agent) HandleDigest(d protocol.Digest) {
	d.Answer = true
	a.loop.post(func() { a.hear(&d) })
}

// Pool has the connections to other processes; their frames come to Options.Handle.
func (a *Agent) Pool() *rpc.Pool { return a.pool }

// ClusterTime is the cluster's time of day; it never goes back within a process.
func (a *Agent) ClusterTime() time.Time { return a.clock.now(a.options.SteadyClock()) }

// Synchronized says whether the cluster's time was learnt from control or set since the start.
func (a *Agent) Synchronized() bool { return a.clock.isSynchronized() }

// Steady is the time since a fixed moment of this process.
func (a *Agent) Steady() time.Duration { return a.options.SteadyClock() }

// SessionAge is the time since the last heartbeat that was accepted was sent, or since the start.
func (a *Agent) SessionAge() time.Duration { return a.Steady() - time.Duration(a.accepted.Load()) }

// SetClock makes the cluster's time the steady clock plus offset since 1970, gently; for control's primary.
func (a *Agent) SetClock(offset time.Duration) { a.clock.set(a.Steady(), offset) }

// Reload takes new settings: the seeds.
func (a *Agent) Reload(s *nodeconfig.Settings) {
	a.loop.post(func() { a.reload(s) })
}

// Close ends the agent, its connections and its socket. Subscribers, Report and Handle must not call it.
func (a *Agent) Close() {
	a.closing.Do(func() {
		a.loop.end()
		_ = a.server.Close()
		_ = a.datagrams.Close()
		a.pool.Close()
		a.fetching.Close()
	})
}

// handle takes the frames of connections.
func (a *Agent) handle(c *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
	switch {
	case reply == nil && (kind == protocol.KindDigest || kind == protocol.KindItems):
		a.receive(kind, body)
	case reply != nil && kind == protocol.KindFetch:
		a.receiveFetch(body, reply)
	case a.options.Handle != nil:
		a.options.Handle(c, kind, body, reply)
	case reply != nil:
		reply(nil, rpc.Errorf(protocol.CodeUnknownKind, "no handler for frames of kind %d here", kind))
	}
}

func (a *Agent) handleDatagram(_ netip.AddrPort, kind rpc.Kind, body []byte) {
	if kind == protocol.KindDigest || kind == protocol.KindItems {
		a.receive(kind, append([]byte(nil), body...))
	}
}

// choose picks up to k peers by chance.
func (a *Agent) choose(peers []string, k int) []string {
	return dissemination.Choose(a.random, peers, k)
}
