package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/dissemination"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

const (
	// pushFanout is the number of random peers that updates are pushed to at once.
	pushFanout = 4
	// pushInterval is the minimum time between pushes: changes in between are pushed together.
	pushInterval = 25 * time.Millisecond
	// requestInterval is the minimum time between requests for updates to the same peer.
	requestInterval = 10 * time.Millisecond
	// fallbackEvery: one of this many digests goes to an address from the settings or of an earlier sender instead of a known node.
	fallbackEvery = 4
	// maxSenders bounds the number of remembered addresses of processes that sent digests.
	maxSenders = 16
	// fetchTimeout bounds a fetch of items from a peer.
	fetchTimeout = time.Second
	// maxDatagramItems is the total size of items that fits into a datagram, leaving room for the encoding around them, in bytes.
	maxDatagramItems = rpc.MaxDatagram - 100
)

// items is the loop's state of the items and of their dissemination.
type items struct {
	state   *dissemination.State[protocol.ItemKind]
	pulls   *dissemination.PullTracker[protocol.ItemKind, string]
	gossip  dissemination.Schedule
	digests int // digests sent by the gossip schedule

	peers      []string // addresses of the known nodes except this one
	peersStale bool
	senders    []string // addresses of processes that sent digests, the most recent last

	changed     []protocol.ItemKind // since subscribers were last called
	unpushed    []protocol.ItemKind // since the last push
	pushedAt    time.Duration
	requestedAt map[string]time.Duration // when peers were sent requests for updates, within the last requestInterval

	toNotify   map[string]bool // addresses that a digest is to be sent to
	notifiedAt time.Duration   // when toNotify was last processed
}

func newItems(gossipInterval, now time.Duration) items {
	return items{
		state:  dissemination.NewState[protocol.ItemKind](),
		pulls:  dissemination.NewPullTracker[protocol.ItemKind, string](),
		gossip: dissemination.NewSchedule(gossipInterval, now), pushedAt: now - pushInterval,
		requestedAt: map[string]time.Duration{}, toNotify: map[string]bool{}, notifiedAt: now - pushInterval,
	}
}

func (i *items) nextWake() time.Duration {
	next := i.gossip.NextDue()
	if len(i.unpushed) > 0 {
		next = min(next, i.pushedAt+pushInterval)
	}
	if len(i.toNotify) > 0 {
		next = min(next, i.notifiedAt+pushInterval)
	}
	return next
}

// applyItems offers items with compressed bodies to the state and the view.
func (a *Agent) applyItems(offered []protocol.Item) {
	for _, item := range offered {
		if dissemination.Version(item.Version).Compare(a.items.state.Version(item.Kind)) <= 0 {
			continue
		}
		view, err := a.withCompressed(item)
		if errors.Is(err, errUnknownItemKind) {
			continue
		}
		if err != nil {
			a.logger.Warn("agent: ignoring an item that cannot be decoded: check the versions of the processes",
				zap.Uint8("item", uint8(item.Kind)), zap.Error(err))
			continue
		}
		if item.Kind == protocol.ItemNodes {
			a.dropReplacedConnections(a.View(), view)
		}
		version := dissemination.Version(item.Version)
		a.items.state.Apply(dissemination.Item[protocol.ItemKind]{Key: item.Kind, Version: version, Body: item.Body})
		a.items.pulls.Received(dissemination.Entry[protocol.ItemKind]{Key: item.Kind, Version: version})
		a.view.Store(view)
		a.items.changed = appendDistinct(a.items.changed, item.Kind)
		a.items.unpushed = appendDistinct(a.items.unpushed, item.Kind)
		a.itemApplied(item.Kind, view)
	}
}

// dropReplacedConnections drops the connections to processes that have a new incarnation in the node table: if a machine lost power,
// callers with connections to it get no other indication.
func (a *Agent) dropReplacedConnections(before, after *View) {
	for i := range after.Nodes {
		node := &after.Nodes[i]
		if previous, ok := before.NodeByKey(node.Key); ok && previous.Incarnation != node.Incarnation {
			a.pool.DropReplaced(node.Address)
		}
	}
}

// withCompressed returns the view with an item whose body is compressed.
func (a *Agent) withCompressed(item protocol.Item) (*View, error) {
	body, err := decompress(item.Body)
	if err != nil {
		return nil, err
	}
	item.Body = body
	return a.View().with(item)
}

// itemApplied handles the consequences of a new state of an item.
func (a *Agent) itemApplied(kind protocol.ItemKind, view *View) {
	switch kind {
	case protocol.ItemControl:
		a.session.setPrimary(view.PrimaryAddress(), a.Steady())
	case protocol.ItemNodes:
		a.items.peersStale = true
	case protocol.ItemWorkers:
		a.applyWorkersFresh(protocol.WorkersFreshness{Version: view.WorkersVersion, ReadAt: view.Workers.ReadAt})
		a.updateWorkersReadAt(a.View().WorkersFresh)
	}
}

// applyWorkersFresh records a reading of the list of workers, and reports whether it is newer than the last one.
func (a *Agent) applyWorkersFresh(fresh protocol.WorkersFreshness) bool {
	current := a.View().WorkersFresh
	if fresh.Version.Less(current.Version) || fresh.Version == current.Version && fresh.ReadAt <= current.ReadAt {
		return false
	}
	next := *a.View()
	next.WorkersFresh = fresh
	a.view.Store(&next)
	a.updateWorkersReadAt(fresh)
	return true
}

// updateWorkersReadAt sets the time at which the view's list of workers was read. It stays unknown until the cluster time is known.
func (a *Agent) updateWorkersReadAt(fresh protocol.WorkersFreshness) {
	view := a.View()
	if !a.clock.isSynchronized() || fresh.Version != view.WorkersVersion {
		return // or the reading is of another version, which is yet to arrive
	}
	next := *view
	next.WorkersReadAt = max(min(a.clock.steadyAt(fresh.ReadAt), a.Steady()), view.WorkersReadAt)
	a.view.Store(&next)
}

// mergeDigest processes the digest of another process: items that are newer there are pulled, items that are older there are pushed
// unless the digest is an answer.
func (a *Agent) mergeDigest(d *protocol.Digest) {
	if d.Address == "" || d.Address == a.Node().Address {
		return
	}
	a.items.rememberSender(d.Address)
	theirs := make([]dissemination.Entry[protocol.ItemKind], len(d.Versions))
	for i, v := range d.Versions {
		theirs[i] = dissemination.Entry[protocol.ItemKind]{Key: v.Kind, Version: dissemination.Version(v.Version)}
	}
	pull, push := a.items.state.Compare(theirs)
	for _, entry := range pull {
		if entry.Key <= protocol.ItemWorkers { // later versions of the program may have more kinds of items
			a.items.pulls.AddSource(entry, d.Address)
		}
	}
	a.applyWorkersFresh(d.WorkersFreshness)
	current := a.View().WorkersFresh
	older := d.WorkersFreshness.Version.Less(current.Version) || d.WorkersFreshness.Version == current.Version && d.WorkersFreshness.ReadAt < current.ReadAt
	if !d.Reply && (len(push) > 0 || older) {
		a.push(d.Address, push)
	}
}

func (i *items) rememberSender(address string) {
	if at := slices.Index(i.senders, address); at >= 0 {
		i.senders = slices.Delete(i.senders, at, at+1)
	} else if len(i.senders) == maxSenders {
		i.senders = slices.Delete(i.senders, 0, 1)
	}
	i.senders = append(i.senders, address)
}

// tickItems performs what is due: calls of subscribers, pulls, pushes to peers, and a digest to a random peer.
func (a *Agent) tickItems(now time.Duration) {
	if len(a.items.changed) > 0 {
		changed := a.items.changed
		a.items.changed = nil
		for _, f := range a.subscribers {
			f(a.View(), changed)
		}
	}
	a.startPulls()
	if len(a.items.unpushed) > 0 && now >= a.items.pushedAt+pushInterval {
		kinds := a.items.unpushed
		a.items.unpushed, a.items.pushedAt = nil, now
		for _, peer := range a.choosePeers(a.peers(), pushFanout) {
			a.push(peer, kinds)
		}
	}
	if len(a.items.toNotify) > 0 && now >= a.items.notifiedAt+pushInterval {
		a.notifyQueued(now)
	}
	if a.items.gossip.Due(now) {
		a.items.digests++
		for _, peer := range a.choosePeers(a.digestTargets(), 1) {
			a.sendDigest(peer, false)
		}
	}
}

// peers returns the addresses of the known nodes except this one.
func (a *Agent) peers() []string {
	if a.items.peersStale {
		a.items.peersStale = false
		a.items.peers = nil
		self := a.Node().Address
		for _, node := range a.View().Nodes {
			if node.Address != "" && node.Address != self {
				a.items.peers = append(a.items.peers, node.Address)
			}
		}
	}
	return a.items.peers
}

// digestTargets returns the possible receivers of the next digest: usually the known nodes; once in fallbackEvery digests, or if no node
// is known, the addresses from the settings and of processes that sent digests.
func (a *Agent) digestTargets() []string {
	if peers := a.peers(); len(peers) > 0 && a.items.digests%fallbackEvery != 0 {
		return peers
	}
	self := a.Node().Address
	all := distinct(slices.Concat(a.heartbeat.contacts, a.items.senders))
	return slices.DeleteFunc(all, func(address string) bool { return address == self })
}

// push sends items to a peer if they fit into a datagram, else the digest, so that the peer pulls them.
func (a *Agent) push(peer string, kinds []protocol.ItemKind) {
	size := 0
	for _, kind := range kinds {
		item, _ := a.items.state.Get(kind)
		size += len(item.Body)
	}
	if size > maxDatagramItems || len(kinds) == 0 {
		a.sendDigest(peer, true)
		return
	}
	body := a.bodies(kinds)
	if len(body) > rpc.MaxDatagram {
		a.sendDigest(peer, true)
		return
	}
	_ = a.datagrams.Send(peer, protocol.KindItems, body) // later digests make up for a lost datagram
}

// RequestUpdates asks the process at an internal address for the items that are newer there than in the local view. It does not block.
func (a *Agent) RequestUpdates(address string) {
	a.loop.post(func() {
		if a.items.allowRequest(address, a.Steady()) {
			a.sendDigest(address, false)
		}
	})
}

// allowRequest reports whether no request for updates was sent to the peer within requestInterval, and if so records one now.
func (i *items) allowRequest(address string, now time.Duration) bool {
	maps.DeleteFunc(i.requestedAt, func(_ string, at time.Duration) bool { return now-at >= requestInterval })
	if _, requested := i.requestedAt[address]; requested {
		return false
	}
	i.requestedAt[address] = now
	return true
}

// NotifyPeers sends a digest to the processes at the internal addresses within pushInterval, so that they fetch the items that they lack.
// It is meant for processes that must act on a change: a push goes to random peers and so may miss any of them. It does not block.
func (a *Agent) NotifyPeers(addresses []string) {
	a.loop.post(func() {
		for _, address := range addresses {
			a.items.toNotify[address] = true
		}
	})
}

func (a *Agent) notifyQueued(now time.Duration) {
	for _, address := range slices.Sorted(maps.Keys(a.items.toNotify)) {
		a.sendDigest(address, true)
	}
	clear(a.items.toNotify)
	a.items.notifiedAt = now
}

func (a *Agent) sendDigest(peer string, answer bool) {
	d := a.Digest()
	d.Reply = answer
	_ = a.datagrams.Send(peer, protocol.KindDigest, d.Append(nil))
}

// bodies encodes the current states of items.
func (a *Agent) bodies(kinds []protocol.ItemKind) []byte {
	var found protocol.Items
	for _, kind := range kinds {
		if item, ok := a.items.state.Get(kind); ok {
			found.Items = append(found.Items,
				protocol.Item{Kind: kind, Version: protocol.ItemVersion(item.Version), Body: item.Body})
		}
	}
	return found.Append(nil)
}

// receive processes a digest or items. It takes ownership of body.
func (a *Agent) receive(kind rpc.Kind, body []byte) {
	a.loop.post(func() {
		if kind == protocol.KindDigest {
			var d protocol.Digest
			if d.Decode(body) == nil {
				a.mergeDigest(&d)
			}
			return
		}
		var got protocol.Items
		if got.Decode(body) == nil {
			a.applyItems(got.Items)
		}
	})
}

// receiveFetch replies with the requested items.
func (a *Agent) receiveFetch(body []byte, reply func([]byte, error)) {
	var f protocol.Fetch
	if err := f.Decode(body); err != nil {
		reply(nil, rpc.Errorf(protocol.CodeInvalid, "fetch: %v", err))
		return
	}
	a.loop.post(func() { reply(a.bodies(f.Kinds), nil) })
}

// startPulls starts fetches of the items that are newer at a peer and are not being fetched yet.
func (a *Agent) startPulls() {
	for {
		peer, kinds, ok := a.items.pulls.Next(a.random)
		if !ok {
			return
		}
		go func() {
			got, err := a.fetch(peer, kinds)
			a.loop.post(func() {
				if err == nil {
					a.applyItems(got.Items)
				}
				a.items.pulls.EndPull(peer, kinds)
			})
		}()
	}
}

func (a *Agent) fetch(peer string, kinds []protocol.ItemKind) (got protocol.Items, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	conn := a.pool.Peek(peer)
	if conn == nil {
		if conn, err = a.fetchPool.Get(ctx, peer); err != nil {
			return got, err
		}
	}
	wanted := protocol.Fetch{Kinds: kinds}
	body, err := conn.Call(ctx, protocol.KindFetch, wanted.Append(nil))
	if err == nil {
		err = got.Decode(body)
	}
	return got, err
}

func appendDistinct(kinds []protocol.ItemKind, kind protocol.ItemKind) []protocol.ItemKind {
	if slices.Contains(kinds, kind) {
		return kinds
	}
	return append(kinds, kind)
}
