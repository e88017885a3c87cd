// Package agent implements what all processes of the system have in common: the internal address, the session with control, the
// items that are disseminated to every process, and the cluster time.
//
// An agent has one goroutine, its loop, which owns the state of dissemination and of the session; other goroutines post functions to it.
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

	"liftgauge/clustertime"
	"liftgauge/dissemination"
	"liftgauge/internal/machineclock"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/replication"
)

const (
	defaultHeartbeatInterval = 200 * time.Millisecond
	defaultGossipInterval    = 300 * time.Millisecond
	// gossipIdleAfter is the idle time after which a connection that only serves to fetch items is closed.
	gossipIdleAfter = 3 * time.Second
	// maxListenAttempts bounds the search for a port that is free for both TCP and UDP, if the system chooses the port.
	maxListenAttempts = 20
)

// ErrClosed is returned by calls to an agent that has been closed.
var ErrClosed = errors.New("agent: closed")

// Options configures an Agent.
type Options struct {
	Settings *nodeconfig.Settings
	Role     protocol.Role
	Member   string // NodeName/DiskID; empty without a disk
	Logger   *zap.Logger
	// Handle receives all frames except those that the agent handles itself: KindDigest, KindItems and KindFetch. It must not block.
	// It may be called before Start returns.
	Handle rpc.HandlerFunc
	// Report completes each heartbeat before it is sent, on the agent's goroutine; it must not block. It may be nil.
	Report func(h *protocol.Heartbeat)
	// HeartbeatInterval is the time between heartbeats; 200 ms by default.
	HeartbeatInterval time.Duration
	// GossipInterval is the time between digests sent to a random peer; 300 ms by default.
	GossipInterval time.Duration
	// OnClose is called for each connection that has closed.
	OnClose func(c *rpc.Conn, err error)
	// ListenAddress overrides the internal address, for tests; with port 0 the system chooses a port.
	ListenAddress string
	// Incarnation overrides the random incarnation, for tests.
	Incarnation uint64
	// Storage keeps the cluster time for the next process on this disk; nil without a disk. It must be safe for concurrent use.
	Storage replication.Storage
	// Clocks reads the clocks of the machine; machineclock.Read by default.
	Clocks func() clustertime.Reading
	// SteadyClock overrides the steady clock of the process, for tests.
	SteadyClock func() time.Duration
	// RPC holds the limits of connections; its OnClose and Logger are ignored.
	RPC rpc.Options
}

// Agent connects a process to the rest of the cluster until Close is called.
type Agent struct {
	options  Options
	logger   *zap.Logger
	random   *rand.Rand // used by the loop only
	node     atomic.Pointer[protocol.Node]
	view     atomic.Pointer[View]
	accepted atomic.Int64 // steady time at which the last accepted heartbeat was sent
	clock    *clock

	timekeeper *timekeeper

	server    *rpc.Server
	datagrams *rpc.DatagramSocket
	pool      *rpc.Pool
	fetchPool *rpc.Pool // connections that only serve to fetch items from peers

	loop        *loop
	session     *session
	heartbeat   heartbeat
	items       items
	subscribers []func(v *View, changed []protocol.ItemKind)
	closing     sync.Once
}

// Start listens on the internal address and starts heartbeats and gossip.
func Start(o Options) (*Agent, error) {
	o = o.withDefaults()
	s := o.Settings
	a := &Agent{
		options: o, logger: o.Logger,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		loop:   newLoop(),
		items:  newItems(o.GossipInterval, o.SteadyClock()),
	}
	started := o.SteadyClock()
	a.timekeeper = newTimekeeper(o.Storage, o.Clocks, started, o.Logger)
	a.clock = startClock(started, a.timekeeper.resumed)
	a.view.Store(&View{})
	a.accepted.Store(int64(o.SteadyClock()))
	a.node.Store(&protocol.Node{
		Key: protocol.NodeKey(s.NodeName, o.Role), Name: s.NodeName, Role: o.Role, Incarnation: o.Incarnation, Member: o.Member,
		Zone: s.Zone, Region: s.Region, ControlPlane: s.BindAddresses.ControlPlane, CountsForQuorum: s.CountsForQuorum,
	})
	a.session = newSession(o.HeartbeatInterval, a.Steady())
	handler, limits := rpc.HandlerFunc(a.handle), o.RPC
	a.pool = rpc.NewPool(handler, limits)
	limits.IdleTimeout = gossipIdleAfter
	a.fetchPool = rpc.NewPool(handler, limits)
	if err := a.listen(handler); err != nil {
		a.pool.Close()
		a.fetchPool.Close()
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
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.GossipInterval == 0 {
		o.GossipInterval = defaultGossipInterval
	}
	for o.Incarnation == 0 {
		o.Incarnation = rand.Uint64()
	}
	if o.Clocks == nil {
		o.Clocks = machineclock.Read
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

// listen opens the internal address for TCP and UDP. Frames may arrive before it returns; functions that they post are queued until the
// loop runs.
func (a *Agent) listen(handler rpc.Handler) error {
	_, port, err := net.SplitHostPort(a.options.ListenAddress)
	if err != nil {
		return errors.Wrapf(err, "agent: internal address %q", a.options.ListenAddress)
	}
	for attempt := 1; ; attempt++ {
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
		if port != "0" || attempt == maxListenAttempts {
			return err
		}
	}
}

// setNode replaces the announced node by a modified copy.
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

// Node returns the description of this process that is announced to the cluster.
func (a *Agent) Node() protocol.Node { return *a.node.Load() }

// View returns the current state of all items; it is immutable.
func (a *Agent) View() *View { return a.view.Load() }

// Subscribe registers f to be called for each change of items, in order, on the agent's goroutine; f must not block. The first call
// reports the current state. Subscribers are not notified if the list of workers was read again unchanged: see View().WorkersReadAt.
func (a *Agent) Subscribe(f func(v *View, changed []protocol.ItemKind)) {
	a.loop.post(func() {
		a.subscribers = append(a.subscribers, f)
		var present []protocol.ItemKind
		for _, entry := range a.items.state.Digest() {
			present = append(present, entry.Key)
		}
		f(a.View(), present)
	})
}

// Publish applies items created by this process and pushes them to peers; items that are not newer than the current state are ignored.
func (a *Agent) Publish(items ...protocol.Item) {
	compressed := make([]protocol.Item, len(items))
	for i, item := range items {
		compressed[i] = protocol.Item{Kind: item.Kind, Version: item.Version, Body: compress(item.Body)}
	}
	a.loop.post(func() { a.applyItems(compressed) })
}

// PublishWorkersFresh announces that the list of workers was read again, unchanged.
func (a *Agent) PublishWorkersFresh(fresh protocol.WorkersFreshness) {
	a.loop.post(func() {
		if a.applyWorkersFresh(fresh) && a.session.primary != "" && a.session.primary != a.Node().Address {
			a.sendDigest(a.session.primary, true) // the primary passes it on in its heartbeat replies
		}
	})
}

// Digest returns the digest to include in a heartbeat reply.
func (a *Agent) Digest() protocol.Digest {
	d := protocol.Digest{Key: a.Node().Key, Address: a.Node().Address, Reply: true}
	v := a.View()
	d.Versions, d.WorkersFreshness = v.digest, v.WorkersFresh
	return d
}

// HandleDigest merges the digest that was received with a heartbeat.
func (a *Agent) HandleDigest(d protocol.Digest) {
	d.Reply = true
	a.loop.post(func() { a.mergeDigest(&d) })
}

// Pool returns the connections to other processes; frames received on them are passed to Options.Handle.
func (a *Agent) Pool() *rpc.Pool { return a.pool }

// ClusterTime returns the cluster time; it never goes back within a process. Before the process is synchronized it is far behind.
func (a *Agent) ClusterTime() time.Time { return a.clock.now(a.options.SteadyClock()) }

// Synchronized reports whether the cluster time is known: from control, from a checkpoint since which the machine has been running, or as it
// was set.
func (a *Agent) Synchronized() bool { return a.clock.isSynchronized() }

// aheadTolerance is how far ahead of control's time this process may be for its time to be used.
const aheadTolerance = 50 * time.Millisecond

// TimeUsable reports whether the cluster time is known and not ahead of control's, so that nothing that it measures ends early.
func (a *Agent) TimeUsable() bool {
	return a.clock.isSynchronized() && !a.clock.isAhead(a.Steady(), aheadTolerance)
}

// Steady returns the time since a fixed point in the life of this process, on a monotonic clock.
func (a *Agent) Steady() time.Duration { return a.options.SteadyClock() }

// SessionAge returns the time since the last accepted heartbeat was sent, or since the start.
func (a *Agent) SessionAge() time.Duration { return a.Steady() - time.Duration(a.accepted.Load()) }

// SetClusterTime sets the cluster time if it is not known yet, and slews it towards the given one, since 1970, if it is. It is used by control's
// primary.
func (a *Agent) SetClusterTime(at time.Duration) {
	now := a.Steady()
	a.clock.set(now, at-now)
	a.loop.post(a.timeBecameKnown)
}

// Reload applies new settings; only the seeds can change.
func (a *Agent) Reload(s *nodeconfig.Settings) {
	a.loop.post(func() { a.reload(s) })
}

// Close stops the agent and closes its connections and its socket. Subscribers, Report and Handle must not call it.
func (a *Agent) Close() {
	a.closing.Do(func() {
		a.loop.end()
		_ = a.server.Close()
		_ = a.datagrams.Close()
		a.pool.Close()
		a.fetchPool.Close()
	})
}

// handle processes the frames received on connections.
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

// choosePeers picks up to k random peers.
func (a *Agent) choosePeers(peers []string, k int) []string {
	return dissemination.Sample(a.random, peers, k)
}
