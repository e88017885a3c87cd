package stores

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/internal/roles/dispatcher/delivery"
	"liftgauge/internal/roles/dispatcher/directory"
	"liftgauge/internal/rpc"
)

const (
	reconnectInterval = 100 * time.Millisecond
	resultTimeout     = 1500 * time.Millisecond // of one call
	firstReportPause  = 20 * time.Millisecond   // before a result is reported again; doubles with each retry
	maxReportPause    = 500 * time.Millisecond
)

// Connections provides connections to other processes.
type Connections interface {
	Get(ctx context.Context, address string) (*rpc.Conn, error)
}

// Options configure Links.
type Options struct {
	Node        protocol.Node // of this dispatcher
	Directory   *directory.Directory
	Connections Connections
	Logger      *zap.Logger
	// Run starts a delivery; done is called exactly once, without any lock held.
	Run func(m *protocol.Deliver, done func(delivery.Result))
	// Now is the monotonic clock; nil for time.Now.
	Now func() time.Time
}

// Links maintains the connections to all stores.
type Links struct {
	options Options
	held    *heldSet
	stalls  stallDetector
	ctx     context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup

	mu      sync.Mutex
	links   map[string]*storeLink // by address
	windows []protocol.ServiceWindow
	paused  bool
}

// storeLink is the connection to one store.
type storeLink struct {
	address        string
	store          directory.Store // guarded by Links.mu
	stop           context.CancelFunc
	helloRequested chan struct{}
}

// New returns Links without connections; Update opens them.
func New(o Options) *Links {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Links{options: o, held: newHeldSet(), links: map[string]*storeLink{}}
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.tasks.Go(l.watchStalls)
	return l
}

// Update connects to the stores of a snapshot and sends them a new Hello where something changed.
func (l *Links) Update(before, after *directory.Snapshot, windows []protocol.ServiceWindow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	refreshAll := before.TableVersion != after.TableVersion || before.ConfigurationVersion != after.ConfigurationVersion ||
		!slices.Equal(l.windows, windows)
	l.windows = windows
	live := make(map[string]bool, len(after.Stores))
	for _, store := range after.Stores {
		live[store.Address] = true
		link := l.links[store.Address]
		if link != nil && link.store.Key != store.Key {
			link.stop()
			link = nil
		}
		if link == nil {
			l.open(store)
			continue
		}
		changed := link.store != store // for example its member, after a start with another disk
		link.store = store
		if refreshAll || changed {
			link.requestHello()
		}
	}
	for address, link := range l.links {
		if !live[address] {
			link.stop()
			delete(l.links, address)
		}
	}
}

// Pause asks the stores to send no more deliveries to this dispatcher.
func (l *Links) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = true
	for _, link := range l.links {
		link.requestHello()
	}
}

// Held returns the number of deliveries that are running or whose outcome is not yet known to be on disk.
func (l *Links) Held() int { return l.held.count() }

// Close closes all links and waits for their goroutines.
func (l *Links) Close() {
	l.stop()
	l.tasks.Wait()
}

// open starts a link; the caller holds the lock.
func (l *Links) open(store directory.Store) {
	ctx, stop := context.WithCancel(l.ctx)
	link := &storeLink{address: store.Address, store: store, stop: stop, helloRequested: make(chan struct{}, 1)}
	l.links[store.Address] = link
	l.tasks.Go(func() { l.maintainLink(ctx, link) })
}

func (link *storeLink) requestHello() {
	select {
	case link.helloRequested <- struct{}{}:
	default:
	}
}

// maintainLink keeps the link connected until its context ends.
func (l *Links) maintainLink(ctx context.Context, link *storeLink) {
	for ctx.Err() == nil {
		conn, err := l.options.Connections.Get(ctx, link.address)
		if err != nil {
			sleep(ctx, reconnectInterval)
			continue
		}
		l.serveConnection(ctx, link, conn)
		l.held.deactivate(conn)
	}
}

// serveConnection sends a Hello to the store, and again whenever one is requested.
func (l *Links) serveConnection(ctx context.Context, link *storeLink, conn *rpc.Conn) {
	for {
		if !l.sendHello(link, conn) {
			sleep(ctx, reconnectInterval)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			return
		case <-link.helloRequested:
		}
	}
}

// sendHello sends a Hello, and a Pause after it if no deliveries are wanted.
func (l *Links) sendHello(link *storeLink, conn *rpc.Conn) bool {
	l.mu.Lock()
	windows, paused, store := l.windows, l.paused, link.store
	l.mu.Unlock()
	snapshot := l.options.Directory.Current()
	node := &l.options.Node
	hello := protocol.Hello{Dispatcher: node.Key, Incarnation: node.Incarnation, Zone: node.Zone, Region: node.Region,
		Table: snapshot.TableVersion, Configuration: snapshot.ConfigurationVersion, Windows: windows}
	hello.Held = l.held.activate(conn, store.Key, l.options.Now(), func(partition uint32) bool {
		p, ok := snapshot.Partition(partition)
		return ok && (p.Primary == store.Member || p.Address == "") // a primary that is not yet in the node table may be this store
	}, func(m *protocol.Deliver) bool { return isOutdated(snapshot, m) })
	if err := conn.Notify(protocol.KindHello, hello.Append(nil)); err != nil {
		return false
	}
	return !paused || conn.Notify(protocol.KindPause, nil) == nil
}

// Deliver handles a frame of kind KindDeliver. It does not block.
func (l *Links) Deliver(conn *rpc.Conn, body []byte) {
	m := &protocol.Deliver{}
	if err := m.Decode(body); err != nil {
		l.options.Logger.Error("delivery cannot be decoded; the store may run another version", zap.String("store", conn.RemoteAddress()), zap.Error(err))
		conn.Close()
		return
	}
	if l.checkStall() {
		return
	}
	h, taken := l.held.take(conn, m, l.options.Now(), func() bool { return l.outdated(m) })
	switch {
	case h != nil:
		l.run(h, m)
	case taken == takeOutdated:
		l.reportOutdated(m)
	}
}

// outdated reports whether the partition of a delivery has a later view.
func (l *Links) outdated(m *protocol.Deliver) bool {
	return isOutdated(l.options.Directory.Current(), m)
}

func isOutdated(s *directory.Snapshot, m *protocol.Deliver) bool {
	p, ok := s.Partition(m.Partition)
	return ok && m.Epoch < p.Epoch
}

// reportOutdated reports a delivery of an earlier view as not run. A store that is still primary in the later view has kept its queue and waits
// for the outcome; any other primary ignores it.
func (l *Links) reportOutdated(m *protocol.Deliver) {
	result := &protocol.Result{Partition: m.Partition, ID: m.ID, Attempt: m.Attempt, Dispatcher: l.options.Node.Key,
		Outcome: protocol.OutcomeNotRun}
	l.tasks.Go(func() { l.report(result) })
}

func (l *Links) run(h *heldDelivery, m *protocol.Deliver) {
	l.options.Run(m, func(r delivery.Result) {
		attempt := l.held.finish(h)
		l.tasks.Go(func() { l.completeDelivery(h, attempt, r) })
	})
}

// completeDelivery reports an outcome until it is on disk, and then runs the message's next delivery if one arrived meanwhile.
func (l *Links) completeDelivery(h *heldDelivery, attempt uint32, r delivery.Result) {
	for {
		result := protocol.Result{Partition: h.key.partition, ID: h.key.id, Attempt: attempt, Dispatcher: l.options.Node.Key,
			Outcome: r.Outcome, Status: r.Status, Signature: r.Signature, RetryAfter: r.Pause, Elapsed: l.options.Now().Sub(h.arrived)}
		if !l.report(&result) {
			return
		}
		next, dropped := l.held.reported(h, l.options.Now(), l.outdated)
		switch {
		case dropped != nil:
			l.reportOutdated(dropped)
			return
		case next == nil:
			return
		case !isFinal(r.Outcome):
			l.run(h, next)
			return
		}
		attempt = l.held.finish(h) // the outcome is final: a later delivery gets the same result without another run
	}
}

// isFinal reports whether no further attempt may follow.
func isFinal(o protocol.Outcome) bool {
	return o == protocol.OutcomeSucceeded || o == protocol.OutcomeRefused || o == protocol.OutcomeNoRoute
}

// report calls the current primary of the partition until it acknowledges that the result is on disk. It returns false only if Links is closed.
func (l *Links) report(result *protocol.Result) bool {
	body := result.Append(nil)
	for pause := firstReportPause; ; pause = min(2*pause, maxReportPause) {
		changed := l.options.Directory.Changed()
		if l.reportOnce(result, body) {
			return true
		}
		select {
		case <-l.ctx.Done():
			return false
		case <-changed:
		case <-time.After(pause):
		}
	}
}

// reportOnce reports the result once; it returns true if no retry is needed.
func (l *Links) reportOnce(result *protocol.Result, body []byte) bool {
	p, ok := l.options.Directory.Current().Partition(result.Partition)
	if !ok || p.Address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(l.ctx, resultTimeout)
	defer cancel()
	conn, err := l.options.Connections.Get(ctx, p.Address)
	if err != nil {
		return false
	}
	if _, err = conn.Call(ctx, protocol.KindResult, body); isInvalid(err) {
		l.options.Logger.Error("store cannot decode a result; it may run another version", zap.String("id", result.ID), zap.Error(err))
		return true
	}
	return err == nil
}

func compareHeld(a, b protocol.HeldDelivery) int {
	return cmp.Or(cmp.Compare(a.Partition, b.Partition), strings.Compare(a.ID, b.ID), cmp.Compare(a.Attempt, b.Attempt))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
