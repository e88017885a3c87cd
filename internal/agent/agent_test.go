package agent

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

var networks atomic.Uint32

// uniqueLoopback returns a loopback address that no other test uses at the same time.
func uniqueLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/250%64, 1+pid%250, 1+networks.Add(1)%250)
}

// fakeControl is a control process whose replies to heartbeats a test can set.
type fakeControl struct {
	server       *rpc.Server
	mutex        sync.Mutex
	answer       func(h *protocol.Heartbeat) protocol.HeartbeatReply
	heartbeats   chan protocol.Heartbeat
	leaves       chan protocol.Leave
	unresponsive bool
}

func startControl(t *testing.T, ip string) *fakeControl {
	t.Helper()
	c := &fakeControl{heartbeats: make(chan protocol.Heartbeat, 10_000), leaves: make(chan protocol.Leave, 100)}
	c.accept()
	var err error
	c.server, err = rpc.Listen(net.JoinHostPort(ip, "0"), rpc.HandlerFunc(c.handle), rpc.Options{})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.server.Close() })
	return c
}

func (c *fakeControl) handle(_ *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.unresponsive:
	case kind == protocol.KindHeartbeat:
		var h protocol.Heartbeat
		if err := h.Decode(body); err != nil {
			panic(err)
		}
		r := c.answer(&h)
		reply(r.Append(nil), nil)
		c.heartbeats <- h
	case kind == protocol.KindLeave:
		var l protocol.Leave
		if err := l.Decode(body); err != nil {
			panic(err)
		}
		c.leaves <- l
		reply(nil, nil)
	case reply != nil:
		reply(nil, rpc.Errorf(protocol.CodeUnknownKind, "fake"))
	}
}

func (c *fakeControl) setAnswer(f func(h *protocol.Heartbeat) protocol.HeartbeatReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answer = f
}

func (c *fakeControl) accept() {
	c.setAnswer(func(*protocol.Heartbeat) protocol.HeartbeatReply { return protocol.HeartbeatReply{Accepted: true} })
}

func (c *fakeControl) refuse(primary string) {
	c.setAnswer(func(*protocol.Heartbeat) protocol.HeartbeatReply { return protocol.HeartbeatReply{Primary: primary} })
}

func (c *fakeControl) stopAnswering() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unresponsive = true
}

// settingsFor returns settings by which the internal control address of the seeds is the given address.
func settingsFor(t *testing.T, name, control string) *nodeconfig.Settings {
	t.Helper()
	host, port, err := net.SplitHostPort(control)
	is.New(t).NoErr(err)
	first, err := strconv.Atoi(port)
	is.New(t).NoErr(err)
	return &nodeconfig.Settings{
		NodeName: name, Ip: host, Zone: "z", Region: "r", CountsForQuorum: true, SeedNodes: []string{net.JoinHostPort(host, "1")},
		InternalPortRange: [2]int{first, first + 2},
	}
}

func start(t *testing.T, o Options) *Agent {
	t.Helper()
	if o.Role == 0 {
		o.Role = protocol.RoleStore
	}
	if o.ListenAddress == "" {
		o.ListenAddress = net.JoinHostPort(o.Settings.Ip, "0")
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = 5 * time.Millisecond
	}
	if o.GossipInterval == 0 {
		o.GossipInterval = 5 * time.Millisecond
	}
	a, err := Start(o)
	is.New(t).NoErr(err)
	t.Cleanup(a.Close)
	return a
}

// await returns once the view of the agent satisfies a condition.
func await(a *Agent, holds func(v *View) bool) {
	held := make(chan struct{})
	var once sync.Once
	a.Subscribe(func(v *View, _ []protocol.ItemKind) {
		if holds(v) {
			once.Do(func() { close(held) })
		}
	})
	<-held
}

func hasConfiguration(body string) func(v *View) bool {
	return func(v *View) bool { return string(v.Configuration) == body }
}

func configuration(number uint64, body string) protocol.Item {
	return protocol.Item{Kind: protocol.ItemConfiguration, Version: version(1, number), Body: []byte(body)}
}

// awaitAccepted returns once the agent has processed the acceptance of a heartbeat.
func awaitAccepted(a *Agent, c *fakeControl) {
	first := <-c.heartbeats
	for h := range c.heartbeats {
		// The next heartbeat is sent only after the reply to the previous one was processed.
		if h.Node.Incarnation == first.Node.Incarnation && h.Node.Key == a.Node().Key {
			return
		}
	}
}

func TestHeartbeatsDescribeTheProcess(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	a := start(t, Options{
		Settings: settingsFor(t, "storage-1", control.server.Addr()), Member: "storage-1/d",
		Report: func(h *protocol.Heartbeat) { h.PartitionsLed = 7 },
	})
	h := <-control.heartbeats
	is.Equal(h.PartitionsLed, uint32(7))
	is.Equal(h.Node, a.Node())
	is.Equal(h.Node.Key, "storage-1/store")
	is.Equal(h.Node.Member, "storage-1/d")
	is.True(h.Node.Incarnation != 0 && h.Node.CountsForQuorum && !h.Node.Leaving)
	is.Equal(h.Node.Zone, "z")
	awaitAccepted(a, control)
	is.True(a.SessionAge() < time.Minute)
}

func TestSessionFollowsThePrimary(t *testing.T) {
	is := is.New(t)
	ip := uniqueLoopback()
	first, second := startControl(t, ip), startControl(t, ip)
	first.refuse(second.server.Addr())
	a := start(t, Options{Settings: settingsFor(t, "n", first.server.Addr())})
	awaitAccepted(a, second)

	// The primary changes: the old primary redirects to the new one.
	first.accept()
	second.refuse(first.server.Addr())
	awaitAccepted(a, first)

	// The primary ends; it is also the seed, and another process starts at its address.
	address := first.server.Addr()
	is.NoErr(first.server.Close())
	again := &fakeControl{heartbeats: make(chan protocol.Heartbeat, 10_000)}
	again.accept()
	var err error
	again.server, err = rpc.Listen(address, rpc.HandlerFunc(again.handle), rpc.Options{})
	is.NoErr(err)
	defer func() { _ = again.server.Close() }()
	awaitAccepted(a, again)
}

func TestUnresponsivePrimaryIsReplaced(t *testing.T) {
	ip := uniqueLoopback()
	first, second := startControl(t, ip), startControl(t, ip)
	a := start(t, Options{Settings: settingsFor(t, "n", first.server.Addr())})
	awaitAccepted(a, first) // before the second, which would accept as well, is published
	a.Publish(nodesItem(version(1, 1),
		protocol.Node{Key: "a/control", Role: protocol.RoleControl, Address: first.server.Addr()},
		protocol.Node{Key: "b/control", Role: protocol.RoleControl, Address: second.server.Addr()}))
	await(a, func(v *View) bool { return len(v.Nodes) == 2 })
	first.stopAnswering()
	awaitAccepted(a, second)
}

func TestSessionMovesToAPublishedPrimary(t *testing.T) {
	ip := uniqueLoopback()
	first, second := startControl(t, ip), startControl(t, ip)
	a := start(t, Options{Settings: settingsFor(t, "n", first.server.Addr())})
	awaitAccepted(a, first)
	view := protocol.ControlView{Primary: "b/1", Addresses: []protocol.MemberAddress{{Member: "b/1", Address: second.server.Addr()}}}
	a.Publish(protocol.Item{Kind: protocol.ItemControl, Version: version(2, 1), Body: view.Append(nil)})
	awaitAccepted(a, second)
}

func TestClusterTimeIsSetByHeartbeatReplies(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	later := time.Now().Add(time.Hour)
	control.setAnswer(func(*protocol.Heartbeat) protocol.HeartbeatReply {
		return protocol.HeartbeatReply{Accepted: true, ClusterTime: later.UnixNano()}
	})
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr())})
	awaitAccepted(a, control)
	is.True(a.Synchronized())
	is.True(!a.ClusterTime().Before(later))
}

func TestAcceptedHeartbeatsRenewTheSession(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	var steady atomic.Int64
	control.refuse("")
	a := start(t, Options{
		Settings: settingsFor(t, "n", control.server.Addr()),
		SteadyClock: func() time.Duration { // advances with each call, so that heartbeats become due, and by jumps in the test
			return time.Duration(steady.Add(int64(time.Millisecond)))
		},
	})
	<-control.heartbeats
	steady.Add(int64(time.Hour))
	<-control.heartbeats
	is.True(a.SessionAge() >= time.Hour)
	control.accept()
	awaitAccepted(a, control)
	is.True(a.SessionAge() < time.Hour)
}

// startGroup starts agents that have each other in their node tables.
func startGroup(t *testing.T, control *fakeControl, n int) []*Agent {
	t.Helper()
	agents := make([]*Agent, n)
	nodes := make([]protocol.Node, n)
	for i := range agents {
		agents[i] = start(t, Options{Settings: settingsFor(t, fmt.Sprint("n", i), control.server.Addr())})
		nodes[i] = agents[i].Node()
	}
	for _, a := range agents {
		a.Publish(nodesItem(version(1, 1), nodes...))
	}
	return agents
}

func TestPublishedItemsReachAllPeers(t *testing.T) {
	is := is.New(t)
	agents := startGroup(t, startControl(t, uniqueLoopback()), 8)
	for number, body := range []string{"small", string(make([]byte, 100_000)), "small again"} {
		agents[number].Publish(configuration(uint64(number+1), body))
		for _, a := range agents {
			await(a, hasConfiguration(body))
		}
	}
	agents[0].Publish(configuration(2, "older"))
	agents[0].Publish(configuration(4, "last"))
	for _, a := range agents {
		await(a, hasConfiguration("last"))
	}
	is.Equal(agents[0].View().ConfigurationVersion, version(1, 4))
}

func TestSubscribersSeeVersionsInOrder(t *testing.T) {
	is := is.New(t)
	agents := startGroup(t, startControl(t, uniqueLoopback()), 3)
	const last = 200
	seen := make(chan []uint64, 1)
	var numbers []uint64
	agents[2].Subscribe(func(v *View, changed []protocol.ItemKind) {
		if !slices.Contains(changed, protocol.ItemConfiguration) {
			return
		}
		numbers = append(numbers, v.ConfigurationVersion.Number)
		if v.ConfigurationVersion.Number == last {
			seen <- numbers
		}
	})
	for number := uint64(1); number <= last; number++ {
		agents[number%2].Publish(configuration(number, fmt.Sprint(number)))
	}
	got := <-seen
	is.True(slices.IsSorted(got))
	is.Equal(len(slices.Compact(got)), len(got))
}

// TestItemsSpreadWithoutControl checks that a process that starts while no control process runs receives the items of other processes.
func TestItemsSpreadWithoutControl(t *testing.T) {
	control := startControl(t, uniqueLoopback())
	_ = control.server.Close()
	agents := startGroup(t, control, 2)
	agents[0].Publish(configuration(1, "kept"))
	await(agents[1], hasConfiguration("kept"))

	// A new process has no node table but is in those of others, as after a restart.
	late := start(t, Options{Settings: settingsFor(t, "late", control.server.Addr())})
	agents[0].Publish(nodesItem(version(1, 2), agents[0].Node(), agents[1].Node(), late.Node()))
	await(late, hasConfiguration("kept"))
}

// TestDigestsGoToAddressesOfTheSettings checks that a new process, which is in no node table, gets the items from a dispatcher on a seed's
// machine whose control process is down.
func TestDigestsGoToAddressesOfTheSettings(t *testing.T) {
	control := startControl(t, uniqueLoopback())
	settings := settingsFor(t, "n", control.server.Addr())
	_ = control.server.Close()
	edge := start(t, Options{
		Settings: settings, Role: protocol.RoleDispatcher, ListenAddress: settings.InternalAddress(protocol.RoleDispatcher),
	})
	edge.Publish(configuration(1, "kept"))
	late := start(t, Options{Settings: settingsFor(t, "late", control.server.Addr())})
	await(late, hasConfiguration("kept"))
}

// TestRequestUpdatesFetchesFromThePeer checks that a process gets newer items from a peer long before its next digest is due.
func TestRequestUpdatesFetchesFromThePeer(t *testing.T) {
	control := startControl(t, uniqueLoopback())
	settings := settingsFor(t, "n", control.server.Addr())
	_ = control.server.Close()
	peer := start(t, Options{Settings: settings, GossipInterval: time.Hour})
	peer.Publish(configuration(3, "newer"))
	await(peer, hasConfiguration("newer"))
	late := start(t, Options{Settings: settings, GossipInterval: time.Hour})
	late.RequestUpdates(peer.Node().Address)
	await(late, hasConfiguration("newer"))
}

// TestNotifyPeersReachesThePeer checks that a process is notified of newer items long before the next digest is due.
func TestNotifyPeersReachesThePeer(t *testing.T) {
	control := startControl(t, uniqueLoopback())
	settings := settingsFor(t, "n", control.server.Addr())
	_ = control.server.Close()
	updated := start(t, Options{Settings: settings, GossipInterval: time.Hour})
	updated.Publish(configuration(3, "newer"))
	await(updated, hasConfiguration("newer"))
	late := start(t, Options{Settings: settings, GossipInterval: time.Hour})
	updated.NotifyPeers([]string{late.Node().Address})
	await(late, hasConfiguration("newer"))
}

func TestNotificationsAreBatched(t *testing.T) {
	is := is.New(t)
	i := newItems(time.Hour, 0)
	is.True(i.gossip.Due(0))
	is.Equal(i.nextWake(), i.gossip.NextDue())
	i.toNotify["a"] = true
	is.Equal(i.nextWake(), time.Duration(0)) // the first notification is sent at once
	i.notifiedAt = time.Second
	is.Equal(i.nextWake(), time.Second+pushInterval) // notifications within pushInterval are batched
}

func TestRequestsForUpdatesAreRateLimited(t *testing.T) {
	is := is.New(t)
	i := newItems(time.Hour, 0)
	is.True(i.allowRequest("a", 0))
	is.True(!i.allowRequest("a", requestInterval-1))
	is.True(i.allowRequest("b", requestInterval-1)) // the limit is per peer
	is.True(i.allowRequest("a", requestInterval))
	is.True(i.allowRequest("c", time.Hour))
	is.Equal(len(i.requestedAt), 1) // expired entries are removed
}

func TestHeartbeatRepliesCarryDigests(t *testing.T) {
	control := startControl(t, uniqueLoopback())
	peer := start(t, Options{Settings: settingsFor(t, "peer", control.server.Addr()), GossipInterval: time.Hour})
	peer.Publish(configuration(3, "from the peer"))
	await(peer, hasConfiguration("from the peer"))
	control.setAnswer(func(*protocol.Heartbeat) protocol.HeartbeatReply {
		return protocol.HeartbeatReply{Accepted: true, Digest: peer.Digest()}
	})
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr()), GossipInterval: time.Hour})
	await(a, hasConfiguration("from the peer"))
}

func TestReadingOfTheWorkerListIsDisseminated(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	control.tellTime(0)
	agents := startGroup(t, control, 3)
	for _, a := range agents {
		awaitSynchronized(a)
	}
	read := agents[0].ClusterTime()
	workers := protocol.Workers{ReadAt: read.UnixNano(), Workers: []protocol.Worker{{ID: "i-1"}}}
	agents[0].Publish(protocol.Item{Kind: protocol.ItemWorkers, Version: version(9, 1), Body: workers.Append(nil)})
	await(agents[1], func(v *View) bool { return v.WorkersVersion == version(9, 1) })
	before := agents[1].View().WorkersReadAt
	is.True(before <= agents[1].Steady())

	fresh := protocol.WorkersFreshness{Version: version(9, 1), ReadAt: read.Add(time.Nanosecond).UnixNano()}
	agents[0].PublishWorkersFresh(fresh)
	agents[0].PublishWorkersFresh(protocol.WorkersFreshness{Version: version(9, 1), ReadAt: 1}) // older
	awaitFresh(agents[2], fresh)
	is.Equal(agents[2].View().WorkersFresh, fresh)
}

// awaitFresh returns once the agent has received a reading. Subscribers are not notified of readings, so it polls.
func awaitFresh(a *Agent, fresh protocol.WorkersFreshness) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for a.View().WorkersFresh != fresh {
		<-ticker.C
	}
}

func TestReadingOfANewerListIsKeptUntilTheListArrives(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	control.tellTime(0)
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr())})
	awaitSynchronized(a)
	now := a.ClusterTime().UnixNano()
	workers := protocol.Workers{ReadAt: now - int64(time.Hour)}
	fresh := protocol.WorkersFreshness{Version: version(1, 1), ReadAt: now}
	a.PublishWorkersFresh(fresh)
	a.loop.postAndWait(func() {})
	is.Equal(a.View().WorkersReadAt, time.Duration(0))
	a.Publish(protocol.Item{Kind: protocol.ItemWorkers, Version: version(1, 1), Body: workers.Append(nil)})
	a.loop.postAndWait(func() {})
	is.Equal(a.View().WorkersFresh, fresh)
	is.True(a.View().WorkersReadAt <= a.Steady())
	is.True(a.Steady()-a.View().WorkersReadAt < time.Minute) // from the fresh reading, not the hour-old time in the list
}

func TestMalformedItemsAreIgnored(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr())})
	a.Publish(protocol.Item{Kind: protocol.ItemNodes, Version: version(5, 1), Body: []byte{200}},
		protocol.Item{Kind: 99, Version: version(5, 1)}, configuration(1, "fine"))
	await(a, hasConfiguration("fine"))
	is.Equal(a.View().NodesVersion, version(0, 0))
}

func TestOtherFramesArePassedToTheHandler(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	ends := make(chan error, 10)
	a := start(t, Options{
		Settings: settingsFor(t, "n", control.server.Addr()),
		Handle: func(_ *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
			reply(append(body, byte(kind)), nil)
		},
		OnClose: func(_ *rpc.Conn, err error) { ends <- err },
	})
	b := start(t, Options{Settings: settingsFor(t, "m", control.server.Addr())})
	conn, err := b.Pool().Get(context.Background(), a.Node().Address)
	is.NoErr(err)
	answer, err := conn.Call(context.Background(), protocol.KindAccept, []byte("x"))
	is.NoErr(err)
	is.Equal(answer, []byte{'x', byte(protocol.KindAccept)})
	conn.Close()
	is.True(<-ends != nil)

	back, err := a.Pool().Get(context.Background(), b.Node().Address)
	is.NoErr(err)
	_, err = back.Call(context.Background(), protocol.KindAccept, nil)
	var refusal *rpc.RemoteError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code, protocol.CodeUnknownKind)
}

func TestLeaveNotifiesControl(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr())})
	is.NoErr(a.Leave(context.Background(), false))
	is.Equal(<-control.leaves, protocol.Leave{Key: "n/store", Incarnation: a.Node().Incarnation})
	for h := range control.heartbeats {
		if h.Node.Leaving {
			break
		}
	}
	is.NoErr(a.Leave(context.Background(), true))
	is.Equal(<-control.leaves, protocol.Leave{Key: "n/store", Incarnation: a.Node().Incarnation, EndSession: true})
	a.loop.postAndWait(func() { is.True(a.session.stopped) })
}

func TestLeaveFailsWithoutControl(t *testing.T) {
	is := is.New(t)
	control := startControl(t, uniqueLoopback())
	_ = control.server.Close()
	a := start(t, Options{Settings: settingsFor(t, "n", control.server.Addr())})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.True(a.Leave(ctx, false) != nil)
	a.Close()
	is.True(errors.Is(a.Leave(context.Background(), true), ErrClosed))
}

func TestReloadAppliesNewSeeds(t *testing.T) {
	stopped, control := startControl(t, uniqueLoopback()), startControl(t, uniqueLoopback())
	_ = stopped.server.Close()
	a := start(t, Options{Settings: settingsFor(t, "n", stopped.server.Addr())})
	a.Reload(settingsFor(t, "n", control.server.Addr()))
	awaitAccepted(a, control)
}

// Connections to a machine that lost power are never closed by it. Calls on them must fail once the node table has another incarnation for
// the address.
func TestConnectionToAReplacedProcessIsDropped(t *testing.T) {
	is := is.New(t)
	ip := uniqueLoopback()
	server, err := rpc.Listen(net.JoinHostPort(ip, "0"), rpc.HandlerFunc(func(*rpc.Conn, rpc.Kind, []byte, func([]byte, error)) {}), rpc.Options{}) // never replies
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	a := start(t, Options{
		Settings: settingsFor(t, "edge-1", net.JoinHostPort(ip, "1")), RPC: rpc.Options{PingInterval: 4 * time.Millisecond, PeerTimeout: time.Hour},
	})
	address := server.Addr()
	store := protocol.Node{Key: "storage-1/store", Role: protocol.RoleStore, Incarnation: 1, Address: address}
	a.Publish(nodesItem(version(1, 1), store))
	conn, err := a.Pool().Get(t.Context(), address)
	is.NoErr(err)
	for number := uint64(2); number < 10_000; number++ { // unresponsiveness is counted in ticks
		store.Incarnation = number
		a.Publish(nodesItem(version(1, number), store))
		select {
		case <-conn.Done():
			is.True(errors.Is(conn.Err(), rpc.ErrReplaced))
			return
		case <-time.After(time.Millisecond):
		}
	}
	t.Fatal("the connection was not dropped")
}
