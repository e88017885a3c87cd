package agent

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

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
