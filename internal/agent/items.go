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
	// pushTo is how many peers are told of news at once.
	pushTo = 4
	// pushEvery bounds how often: what changes meanwhile is told of together.
	pushEvery = 25 * time.Millisecond
	// askEvery bounds how often a peer is asked for news before the digests come to it.
	askEvery = 10 * time.Millisecond
	// strangerEvery is one digest in so many that goes to an address of the settings instead of a known node.
	strangerEvery = 4
	// maxHeard bounds the addresses remembered of processes that sent digests.
	maxHeard = 16
	// fetchTimeout bounds the fetching of items from a peer.
	fetchTimeout = time.Second
	// datagramItems is the size up to which items are sent in a datagram, with what is round them.
	datagramItems = rpc.MaxDatagram - 100
)

// items is what the loop knows of the items and of who has them.
type items struct {
	state   *dissemination.State[protocol.ItemKind]
	pulls   *dissemination.Pulls[protocol.ItemKind, string]
	gossip  dissemination.Schedule
	digests int // sent by schedule

	peers      []string // addresses of known nodes but this
	peersStale bool
	heard      []string // addresses of processes that sent digests, the latest last

	changed  []protocol.ItemKind // since the last call of subscribers
	news     []protocol.ItemKind // since the last push
	pushedAt time.Duration
	askedAt  map[string]time.Duration // when peers were asked for news, of the last askEvery

	concerned   map[string]bool // addresses of processes that are to hear of the news here
	concernedAt time.Duration   // when the last of them were told
}

func newItems(gossipEvery, now time.Duration) items {
	return items{
		state:  dissemination.NewState[protocol.ItemKind](),
		pulls:  dissemination.NewPulls[protocol.ItemKind, string](),
		gossip: dissemination.NewSchedule(gossipEvery, now), pushedAt: now - pushEvery,
		askedAt: map[string]time.Duration{}, concerned: map[string]bool{}, concernedAt: now - pushEvery,
	}
}

func (i *items) nextWake() time.Duration {
	next := i.gossip.Next()
	if len(i.news) > 0 {
		next = min(next, i.pushedAt+pushEvery)
	}
	if len(i.concerned) > 0 {
		next = min(next, i.concernedAt+pushEvery)
	}
	return next
}

// take offers items, whose bodies are packed, to the state and the view.
func (a *Agent) take(offered []protocol.Item) {
	for _, item := range offered {
		if dissemination.Version(item.Version).Compare(a.items.state.Version(item.Kind)) <= 0 {
			continue
		}
		view, err := a.withPacked(item)
		if errors.Is(err, errUnknownItem) {
			continue
		}
		if err != nil {
			a.logger.Warn("agent: an item cannot be read and is left out: check the versions of the processes",
				zap.Uint8("item", uint8(item.Kind)), zap.Error(err))
			continue
		}
		if item.Kind == protocol.ItemNodes {
			a.dropReplaced(a.View(), view)
		}
		version := dissemination.Version(item.Version)
		a.items.state.Offer(dissemination.Item[protocol.ItemKind]{Key: item.Kind, Version: version, Body: item.Body})
		a.items.pulls.Got(dissemination.Entry[protocol.ItemKind]{Key: item.Kind, Version: version})
		a.view.Store(view)
		a.items.changed = appendDistinct(a.items.changed, item.Kind)
		a.items.news = appendDistinct(a.items.news, item.Kind)
		a.itemTaken(item.Kind, view)
	}
}

// dropReplaced drops the connections to processes that have started anew since the nodes before: where a machine had lost power, nothing else tells
// those that called it.
func (a *Agent) dropReplaced(before, after *View) {
	for i := range after.Nodes {
		node := &after.Nodes[i]
		if known, ok := before.NodeByKey(node.Key); ok && known.Incarnation != node.Incarnation {
			a.pool.DropReplaced(node.Address)
		}
	}
}

// withPacked returns the view with an item whose body is packed.
func (a *Agent) withPacked(item protocol.Item) (*View, error) {
	body, err := unpack(item.Body)
	if err != nil {
		return nil, err
	}
	item.Body = body
	return a.View().with(item)
}

// itemTaken does what follows from a new state of an item.
func (a *Agent) itemTaken(kind protocol.ItemKind, view *View) {
	switch kind {
	case protocol.ItemControl:
		a.session.learn(view.PrimaryAddress(), a.Steady())
	case protocol.ItemNodes:
		a.items.peersStale = true
	case protocol.ItemWorkers:
		a.takeFresh(protocol.WorkersFresh{Version: view.WorkersVersion, ReadAt: view.Workers.ReadAt})
		a.readAt(a.View().WorkersFresh)
	}
}

// takeFresh notes a reading of the list of workers, and says whether it is news.
func (a *Agent) takeFresh(fresh protocol.WorkersFresh) bool {
	known := a.View().WorkersFresh
	if fresh.Version.Less(known.Version) || fresh.Version == known.Version && fresh.ReadAt <= known.ReadAt {
		return false
	}
	next := *a.View()
	next.WorkersFresh = fresh
	a.view.Store(&next)
	a.readAt(fresh)
	return true
}

// readAt tells the view when its list of workers was read.
func (a *Agent) readAt(fresh protocol.WorkersFresh) {
	view := a.View()
	if fresh.Version != view.WorkersVersion {
		return // a newer list is on its way
	}
	next := *view
	next.WorkersReadAt = max(min(a.clock.steadyAt(fresh.ReadAt), a.Steady()), view.WorkersReadAt)
	a.view.Store(&next)
}

// hear takes the digest of another process: what is newer there is pulled, what is older there is pushed unless the digest is an answer.
func (a *Agent) hear(d *protocol.Digest) {
	if d.Address == "" || d.Address == a.Node().Address {
		return
	}
	a.items.remember(d.Address)
	theirs := make([]dissemination.Entry[protocol.ItemKind], len(d.Versions))
	for i, v := range d.Versions {
		theirs[i] = dissemination.Entry[protocol.ItemKind]{Key: v.Kind, Version: dissemination.Version(v.Version)}
	}
	pull, push := a.items.state.Compare(theirs)
	for _, entry := range pull {
		if entry.Key <= protocol.ItemWorkers { // later versions of the program may have more items
			a.items.pulls.Heard(entry, d.Address)
		}
	}
	a.takeFresh(d.Fresh)
	known := a.View().WorkersFresh
	older := d.Fresh.Version.Less(known.Version) || d.Fresh.Version == known.Version && d.Fresh.ReadAt < known.ReadAt
	if !d.Answer && (len(push) > 0 || older) {
		a.push(d.Address, push)
	}
}

func (i *items) remember(address string) {
	if at := slices.Index(i.heard, address); at >= 0 {
		i.heard = slices.Delete(i.heard, at, at+1)
	} else if len(i.heard) == maxHeard {
		i.heard = slices.Delete(i.heard, 0, 1)
	}
	i.heard = append(i.heard, address)
}

// tickItems does what became due: news to subscribers and peers, pulls, a digest to somebody.
func (a *Agent) tickItems(now time.Duration) {
	if len(a.items.changed) > 0 {
		changed := a.items.changed
		a.items.changed = nil
		for _, f := range a.subscribers {
			f(a.View(), changed)
		}
	}
	a.startPulls()
	if len(a.items.news) > 0 && now >= a.items.pushedAt+pushEvery {
		news := a.items.news
		a.items.news, a.items.pushedAt = nil, now
		for _, peer := range a.choose(a.peers(), pushTo) {
			a.push(peer, news)
		}
	}
	if len(a.items.concerned) > 0 && now >= a.items.concernedAt+pushEvery {
		a.tellConcerned(now)
	}
	if a.items.gossip.Due(now) {
		a.items.digests++
		for _, peer := range a.choose(a.audience(), 1) {
			a.sendDigest(peer, false)
		}
	}
}

// peers lists the addresses of the known nodes but this.
func (a *Agent) peers() []string {
	if a.items.peersStale {
		a.items.peersStale = false
		a.items.peers = nil
		own := a.Node().Address
		for _, node := range a.View().Nodes {
			if node.Address != "" && node.Address != own {
				a.items.peers = append(a.items.peers, node.Address)
			}
		}
	}
	return a.items.peers
}

// audience lists who may get the next digest: the known nodes as a rule, now and then or without any those that the settings name or
// that were heard of.
func (a *Agent) audience() []string {
	if peers := a.peers(); len(peers) > 0 && a.items.digests%strangerEvery != 0 {
		return peers
	}
	own := a.Node().Address
	all := distinct(slices.Concat(a.heartbeat.known, a.items.heard))
	return slices.DeleteFunc(all, func(address string) bool { return address == own })
}

// push sends states to a peer: the items themselves if a datagram holds them, else the digest, so that the peer pulls them.
func (a *Agent) push(peer string, kinds []protocol.ItemKind) {
	size := 0
	for _, kind := range kinds {
		item, _ := a.items.state.Get(kind)
		size += len(item.Body)
	}
	if size > datagramItems || len(kinds) == 0 {
		a.sendDigest(peer, true)
		return
	}
	body := a.bodies(kinds)
	if len(body) > rpc.MaxDatagram {
		a.sendDigest(peer, true)
		return
	}
	_ = a.datagrams.Send(peer, protocol.KindItems, body) // what is lost is mended by digests
}

// RequestUpdates asks a process, by its internal address, for what it knows that is newer than the own view. It does not wait.
func (a *Agent) RequestUpdates(address string) {
	a.loop.post(func() {
		if a.items.mayAsk(address, a.Steady()) {
			a.sendDigest(address, false)
		}
	})
}

// mayAsk tells whether a peer was not asked for news within askEvery, and notes that it is asked now.
func (i *items) mayAsk(address string, now time.Duration) bool {
	maps.DeleteFunc(i.askedAt, func(_ string, at time.Duration) bool { return now-at >= askEvery })
	if _, asked := i.askedAt[address]; asked {
		return false
	}
	i.askedAt[address] = now
	return true
}

// NotifyPeers has processes, by their internal addresses, hear within pushEvery of what is known here, so that they fetch what they lack. It is for those
// that act by what has changed: a push goes to peers drawn at random, and misses each of the others now and then. It does not wait.
func (a *Agent) NotifyPeers(addresses []string) {
	a.loop.post(func() {
		for _, address := range addresses {
			a.items.concerned[address] = true
		}
	})
}

func (a *Agent) tellConcerned(now time.Duration) {
	for _, address := range slices.Sorted(maps.Keys(a.items.concerned)) {
		a.sendDigest(address, true)
	}
	clear(a.items.concerned)
	a.items.concernedAt = now
}

func (a *Agent) sendDigest(peer string, answer bool) {
	d := a.Digest()
	d.Answer = answer
	_ = a.datagrams.Send(peer, protocol.KindDigest, d.Append(nil))
}

// bodies encodes the states of items.
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

// receive takes a digest or items; body is the loop's from now on.
func (a *Agent) receive(kind rpc.Kind, body []byte) {
	a.loop.post(func() {
		if kind == protocol.KindDigest {
			var d protocol.Digest
			if d.Decode(body) == nil {
				a.hear(&d)
			}
			return
		}
		var got protocol.Items
		if got.Decode(body) == nil {
			a.take(got.Items)
		}
	})
}

// receiveFetch answers with the items that were asked for.
func (a *Agent) receiveFetch(body []byte, reply func([]byte, error)) {
	var f protocol.Fetch
	if err := f.Decode(body); err != nil {
		reply(nil, rpc.Errorf(protocol.CodeInvalid, "fetch: %v", err))
		return
	}
	a.loop.post(func() { reply(a.bodies(f.Kinds), nil) })
}

// startPulls begins to fetch what was heard of and is not being fetched.
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
					a.take(got.Items)
				}
				a.items.pulls.Ended(peer, kinds)
			})
		}()
	}
}

func (a *Agent) fetch(peer string, kinds []protocol.ItemKind) (got protocol.Items, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	conn := a.pool.Peek(peer)
	if conn == nil {
		if conn, err = a.fetching.Get(ctx, peer); err != nil {
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
