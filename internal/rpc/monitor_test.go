package rpc

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// withoutTimer are options with which a monitor's timer does not fire within a test.
var withoutTimer = Options{PingInterval: time.Hour, PeerTimeout: 2 * time.Hour, IdleTimeout: 0}

// readFrame reads the header of the next frame on the socket of an unresponsivePeer.
func readFrame(t *testing.T, socket *net.TCPConn) header {
	t.Helper()
	var head [headerSize]byte
	_, err := io.ReadFull(socket, head[:])
	is.New(t).NoErr(err)
	return parseHeader(head[:])
}

func runTicks(m *monitor, n int) {
	for range n {
		m.tick()
	}
}

func TestUnresponsivePeerIsPingedThenClosed(t *testing.T) {
	is := is.New(t)
	address, sockets := unresponsivePeer(t)
	c := connect(t, address, echo, withoutTimer)
	socket := <-sockets
	answers := make(chan error, 1)
	c.CallAsync(kindEcho, nil, 0, func(_ []byte, err error) { answers <- err })
	is.Equal(readFrame(t, socket).frameType, uint8(frameCall))
	runTicks(c.monitor, ticksPerPing)
	is.Equal(readFrame(t, socket).frameType, uint8(framePing))
	runTicks(c.monitor, ticksPerPing-1)
	is.True(!c.isClosed())
	c.monitor.tick()
	<-c.Done()
	is.True(errors.Is(c.Err(), ErrPeerUnresponsive))
	err := <-answers
	is.True(errors.Is(err, ErrResponseLost) && errors.Is(err, ErrPeerUnresponsive))
}

func TestPongKeepsConnectionOpen(t *testing.T) {
	is := is.New(t)
	address, sockets := unresponsivePeer(t)
	handled := make(chan struct{}, 1)
	c := connect(t, address, HandlerFunc(func(*Conn, Kind, []byte, func([]byte, error)) { handled <- struct{}{} }), withoutTimer)
	socket := <-sockets
	for range 5 {
		runTicks(c.monitor, 1+ticksPerPing) // the first tick counts the frames of the previous round
		is.Equal(readFrame(t, socket).frameType, uint8(framePing))
		var frames [2 * headerSize]byte
		(&header{frameType: framePong}).put(frames[:])
		(&header{frameType: frameNotify}).put(frames[headerSize:])
		_, err := socket.Write(frames[:])
		is.NoErr(err)
		<-handled // so the pong before it was handled, too
	}
	is.True(!c.isClosed())
}

// acceptedSide opens a connection to a server, sends it one frame, and runs ticks on the server.
func acceptedSide(t *testing.T, ticks int) (*Server, *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	handled := make(chan struct{}, 1)
	server := listen(t, HandlerFunc(func(*Conn, Kind, []byte, func([]byte, error)) { handled <- struct{}{} }), withoutTimer)
	socket, err := net.Dial("tcp", server.Addr())
	is.NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	var head [headerSize]byte
	(&header{frameType: frameNotify}).put(head[:])
	_, err = socket.Write(append(preamble(), head[:]...))
	is.NoErr(err)
	is.NoErr(readPreamble(socket))
	<-handled
	runTicks(server.monitor, 1+ticks) // the first tick counts the frame
	return server, socket.(*net.TCPConn)
}

func TestAcceptedSidePingsLaterThanTheDialer(t *testing.T) {
	is := is.New(t)
	const pingAt = ticksPerPing + ticksPerPing/2
	server, socket := acceptedSide(t, pingAt-1)
	is.NoErr(server.Close())
	rest, err := io.ReadAll(socket)
	is.NoErr(err)
	is.Equal(len(rest), 0)
	_, socket = acceptedSide(t, pingAt)
	is.Equal(readFrame(t, socket).frameType, uint8(framePing))
}

func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	server := listen(t, echo, withoutTimer)
	o := withoutTimer
	o.IdleTimeout, o.PeerTimeout = o.PingInterval, 100*o.PingInterval
	c := connect(t, server.Addr(), echo, o)
	c.CallAsync(kindNoReply, nil, 0, func([]byte, error) {})
	runTicks(c.monitor, 2*ticksPerPing)
	is.True(!c.isClosed()) // a call is pending

	c = connect(t, server.Addr(), echo, o)
	runTicks(c.monitor, ticksPerPing-1)
	is.True(!c.isClosed())
	c.monitor.tick()
	<-c.Done()
	is.True(errors.Is(c.Err(), ErrClosed))
}

func TestMonitorRunsOnItsTimer(t *testing.T) {
	is := is.New(t)
	address, _ := unresponsivePeer(t)
	c := connect(t, address, echo, Options{PingInterval: 4 * time.Millisecond, PeerTimeout: 8 * time.Millisecond})
	<-c.Done()
	is.True(errors.Is(c.Err(), ErrPeerUnresponsive))
}
