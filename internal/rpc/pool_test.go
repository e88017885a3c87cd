package rpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func newPool(t *testing.T, o Options) *Pool {
	p := NewPool(echo, o)
	t.Cleanup(p.Close)
	return p
}

func TestPoolSharesOneConnection(t *testing.T) {
	is := is.New(t)
	address, sockets := unresponsivePeer(t)
	p := newPool(t, Options{})
	is.True(p.Peek(address) == nil)
	conns := make([]*Conn, 20)
	var waiting sync.WaitGroup
	for i := range conns {
		waiting.Go(func() { conns[i], _ = p.Get(context.Background(), address) })
	}
	waiting.Wait()
	for _, c := range conns {
		is.True(c != nil && c == conns[0])
	}
	is.True(p.Peek(address) == conns[0])
	<-sockets
	is.Equal(len(sockets), 0)
}

func TestPoolRedialsClosedConnection(t *testing.T) {
	is := is.New(t)
	ends := make(chan struct{}, 2)
	server := listen(t, echo, Options{})
	p := newPool(t, Options{OnClose: func(*Conn, error) { ends <- struct{}{} }})
	first, err := p.Get(context.Background(), server.Addr())
	is.NoErr(err)
	first.Close()
	second, err := p.Get(context.Background(), server.Addr())
	is.NoErr(err)
	is.True(first != second)
	<-ends
	is.True(p.Peek(server.Addr()) == second)
	p.remove(server.Addr(), first) // a late removal of the first connection does not remove the second
	is.True(p.Peek(server.Addr()) == second)
	p.Drop(server.Addr())
	<-second.Done()
	is.True(p.Peek(server.Addr()) == nil)
}

func TestPoolBacksOffAfterAFailedDial(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	p := newPool(t, Options{})
	var now time.Time
	p.now = func() time.Time { return now }
	pause := minDialPause
	for range 6 {
		_, err := p.Get(context.Background(), address)
		is.True(errors.Is(err, ErrNotSent))
		now = now.Add(pause - 1)
		d, _, again := p.join(address)
		is.True(d == nil && again == err) // the same error, without a dial
		now = now.Add(1)
		pause = min(2*pause, maxDialPause)
	}
	p.Drop(address) // resets the backoff
	d, _, _ := p.join(address)
	is.True(d != nil)
	<-d.done
}

func TestPoolDialTimeoutGrowsWithFailures(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	p := newPool(t, Options{})
	var now time.Time
	p.now = func() time.Time { return now }
	for _, timeout := range []time.Duration{200, 400, 800, 1000, 1000} {
		_, err := p.Get(context.Background(), address)
		is.True(errors.Is(err, ErrNotSent))
		is.Equal(p.entries[address].timeout, timeout*time.Millisecond)
		now = now.Add(maxDialPause)
	}
	short := newPool(t, Options{DialTimeout: 50 * time.Millisecond})
	_, err = short.Get(context.Background(), address)
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(short.entries[address].timeout, 50*time.Millisecond)
}

func TestPoolGetReturnsWhenContextIsCancelled(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // the backlog accepts connections, but no preamble is sent
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	p := newPool(t, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = p.Get(ctx, listener.Addr().String())
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, context.Canceled))
}

func TestClosedPoolRefusesGet(t *testing.T) {
	is := is.New(t)
	server := listen(t, echo, Options{})
	p := newPool(t, Options{})
	c, err := p.Get(context.Background(), server.Addr())
	is.NoErr(err)
	p.Close()
	<-c.Done()
	_, err = p.Get(context.Background(), server.Addr())
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, ErrClosed))
}

// A connection on which a frame was received recently may be one to the new process.
func TestOnlySilentConnectionsToReplacedProcessesAreDropped(t *testing.T) {
	is := is.New(t)
	server, err := Listen("127.0.0.1:0", HandlerFunc(func(*Conn, Kind, []byte, func([]byte, error)) {}), Options{})
	is.NoErr(err)
	defer server.Close()
	pool := NewPool(nil, Options{PingInterval: time.Hour, PeerTimeout: 10 * time.Hour})
	defer pool.Close()
	conn, err := pool.Get(t.Context(), server.Addr())
	is.NoErr(err)
	conn.silentTicks.Store(replacedAfterTicks - 1)
	pool.DropReplaced(server.Addr())
	is.True(pool.Peek(server.Addr()) == conn)
	conn.silentTicks.Store(replacedAfterTicks)
	pool.DropReplaced(server.Addr())
	<-conn.Done()
	is.True(errors.Is(conn.Err(), ErrReplaced))
	pool.DropReplaced("127.0.0.1:1") // there is no connection to this address
}
