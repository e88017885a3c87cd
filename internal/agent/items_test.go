package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

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
