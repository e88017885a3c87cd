package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const (
	kindEcho     Kind = 1
	kindRefuse   Kind = 2
	kindSequence Kind = 3
	kindNoReply  Kind = 4
)

// echo answers calls and notifications with their own body, refuses calls of kindRefuse, and never answers those of kindNoReply.
var echo = HandlerFunc(func(c *Conn, kind Kind, body []byte, reply func([]byte, error)) {
	switch {
	case reply == nil:
		_ = c.Notify(kind, body)
	case kind == kindRefuse:
		reply(nil, Errorf(7, "no %s", body))
	case kind == kindNoReply:
	default:
		reply(body, nil)
	}
})

func listen(t testing.TB, h Handler, o Options) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", h, o)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func connect(t testing.TB, address string, h Handler, o Options) *Conn {
	t.Helper()
	c, err := Dial(context.Background(), address, h, o)
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

// unresponsivePeer exchanges preambles on each connection and then leaves its socket to the test.
func unresponsivePeer(t testing.TB) (address string, sockets <-chan *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan *net.TCPConn, 16)
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			if readPreamble(socket) == nil {
				_, _ = socket.Write(preamble())
				accepted <- socket.(*net.TCPConn)
			}
		}
	}()
	return listener.Addr().String(), accepted
}

func TestCallIsAnswered(t *testing.T) {
	is := is.New(t)
	c := connect(t, listen(t, echo, Options{}).Addr(), echo, Options{})
	for _, size := range []int{0, 1, copyThreshold - 1, copyThreshold, readBufferSize, readBufferSize + 1, initialBodyBytes + 1, 5 << 20} {
		body := bytes.Repeat([]byte{byte(size), 3}, size/2+1)[:size]
		answer, err := c.Call(context.Background(), kindEcho, body)
		is.NoErr(err)
		is.True(bytes.Equal(answer, body))
	}
}

func TestCallIsRefused(t *testing.T) {
	is := is.New(t)
	c := connect(t, listen(t, echo, Options{}).Addr(), echo, Options{})
	_, err := c.Call(context.Background(), kindRefuse, []byte("way"))
	var refusal *RemoteError
	is.True(errors.As(err, &refusal))
	is.Equal(*refusal, RemoteError{Code: 7, Text: "no way"})
	is.True(!errors.Is(err, ErrNotSent) && !errors.Is(err, ErrResponseLost))
}

func TestCallsInBothDirections(t *testing.T) {
	is := is.New(t)
	back := make(chan string, 1)
	server := listen(t, HandlerFunc(func(c *Conn, _ Kind, body []byte, reply func([]byte, error)) {
		c.CallAsync(kindEcho, append([]byte("back "), body...), 0, func(answer []byte, err error) {
			back <- string(answer)
			reply(nil, err)
		})
	}), Options{})
	c := connect(t, server.Addr(), echo, Options{})
	_, err := c.Call(context.Background(), kindEcho, []byte("hello"))
	is.NoErr(err)
	is.Equal(<-back, "back hello")
}

func TestFramesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	const frames = 5000
	var next uint32
	wrong := make(chan uint32, frames)
	server := listen(t, HandlerFunc(func(_ *Conn, _ Kind, body []byte, reply func([]byte, error)) {
		if got := binary.BigEndian.Uint32(body); got != next {
			wrong <- got
		}
		next++
		if reply != nil {
			reply(nil, nil)
		}
	}), Options{})
	c := connect(t, server.Addr(), echo, Options{})
	answered := make(chan error, frames)
	for n := range uint32(frames) {
		body := make([]byte, 4+n%3*1500)
		binary.BigEndian.PutUint32(body, n)
		if n%5 == 0 {
			c.CallAsync(kindSequence, body, 0, func(_ []byte, err error) { answered <- err })
			continue
		}
		is.NoErr(c.Notify(kindSequence, body))
	}
	for range frames / 5 {
		is.NoErr(<-answered)
	}
	is.Equal(len(wrong), 0)
}

func TestClosedConnectionFailsCalls(t *testing.T) {
	is := is.New(t)
	ends := make(chan error, 1)
	server := listen(t, echo, Options{})
	c := connect(t, server.Addr(), echo, Options{OnClose: func(_ *Conn, err error) { ends <- err }})
	answers := make(chan error, 1)
	c.CallAsync(kindNoReply, nil, 0, func(_ []byte, err error) { answers <- err })
	_, err := c.Call(context.Background(), kindEcho, nil) // ensures that the previous call was sent
	is.NoErr(err)
	c.Close()
	<-c.Done()
	is.True(errors.Is(<-answers, ErrResponseLost))
	is.True(errors.Is(<-ends, ErrClosed))
	is.True(errors.Is(c.Notify(kindEcho, nil), ErrNotSent))
	_, err = c.Call(context.Background(), kindEcho, nil)
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, ErrClosed))
}

func TestServerCloseEndsConnections(t *testing.T) {
	is := is.New(t)
	server := listen(t, echo, Options{})
	c := connect(t, server.Addr(), echo, Options{})
	answers := make(chan error, 1)
	c.CallAsync(kindNoReply, nil, 0, func(_ []byte, err error) { answers <- err })
	is.NoErr(server.Close())
	<-c.Done()
	is.True(<-answers != nil)
	_, err := Dial(context.Background(), server.Addr(), echo, Options{})
	is.True(errors.Is(err, ErrNotSent))
}

func TestCallTimesOut(t *testing.T) {
	is := is.New(t)
	address, _ := unresponsivePeer(t)
	c := connect(t, address, echo, Options{})
	answers := make(chan error, 1)
	c.CallAsync(kindEcho, nil, 1, func(_ []byte, err error) { answers <- err })
	is.True(errors.Is(<-answers, ErrTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.Call(ctx, kindEcho, nil)
	is.True(errors.Is(err, ErrNotSent))
}

// fillSocket queues notifications until the writer blocks because the peer does not read.
func fillSocket(t *testing.T, c *Conn) {
	t.Helper()
	for range 128 {
		is.New(t).NoErr(c.Notify(kindEcho, make([]byte, 1<<20)))
	}
}

func TestQueueLimitClosesConnectionToPeerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	address, sockets := unresponsivePeer(t)
	c := connect(t, address, echo, Options{MaxQueued: 256 << 20})
	socket := <-sockets
	fillSocket(t, c)

	// A call that is abandoned while it is queued is never sent, and returns ErrNotSent.
	abandoned := make(chan error, 1)
	c.CallAsync(kindNoReply, []byte("abandoned"), 1, func(_ []byte, err error) { abandoned <- err })
	is.True(errors.Is(<-abandoned, ErrNotSent))
	queued := make(chan error, 1)
	c.CallAsync(kindNoReply, []byte("kept"), 0, func(_ []byte, err error) { queued <- err })

	// When MaxQueued is exceeded the connection is closed without waiting.
	var err error
	for err == nil {
		err = c.Notify(kindEcho, make([]byte, 8<<20))
	}
	is.True(errors.Is(err, ErrNotSent))
	is.True(errors.Is(err, ErrQueueFull))
	is.True(errors.Is(<-queued, ErrNotSent))
	<-c.Done()
	arrived, err := io.ReadAll(socket)
	is.True(!bytes.Contains(arrived, []byte("abandoned")))
	_ = err // which error the peer gets depends on the operating system
}

func TestAbandonedCallIsNotDelivered(t *testing.T) {
	is := is.New(t)
	address, sockets := unresponsivePeer(t)
	c := connect(t, address, echo, Options{MaxQueued: 256 << 20})
	socket := <-sockets
	fillSocket(t, c)
	abandoned := make(chan error, 1)
	c.CallAsync(kindNoReply, []byte("abandoned"), 1, func(_ []byte, err error) { abandoned <- err })
	is.True(errors.Is(<-abandoned, ErrNotSent))
	is.NoErr(c.Notify(kindSequence, []byte("last")))
	var head [headerSize]byte
	for {
		_, err := io.ReadFull(socket, head[:])
		is.NoErr(err)
		h := parseHeader(head[:])
		is.True(Kind(h.kind) != kindNoReply)
		_, err = io.CopyN(io.Discard, socket, int64(h.length))
		is.NoErr(err)
		if Kind(h.kind) == kindSequence {
			return
		}
	}
}

func TestOversizedBodies(t *testing.T) {
	is := is.New(t)
	ends := make(chan error, 1)
	server := listen(t, echo, Options{MaxFrame: 100, OnClose: func(_ *Conn, err error) { ends <- err }})
	c := connect(t, server.Addr(), echo, Options{})
	_, err := connect(t, server.Addr(), echo, Options{MaxFrame: 10}).Call(context.Background(), kindEcho, make([]byte, 11))
	is.True(errors.Is(err, ErrTooLong) && errors.Is(err, ErrNotSent))
	_, err = c.Call(context.Background(), kindEcho, make([]byte, 101))
	is.True(errors.Is(err, ErrResponseLost))
	is.True(errors.Is(<-ends, ErrMalformed))
}

func TestAnswerTooLongIsRefused(t *testing.T) {
	is := is.New(t)
	server := listen(t, HandlerFunc(func(_ *Conn, _ Kind, _ []byte, reply func([]byte, error)) {
		reply(make([]byte, 101), nil)
	}), Options{MaxFrame: 100})
	_, err := connect(t, server.Addr(), echo, Options{}).Call(context.Background(), kindEcho, nil)
	var refusal *RemoteError
	is.True(errors.As(err, &refusal))
}

func TestServerRejectsUnknownPreamble(t *testing.T) {
	is := is.New(t)
	server := listen(t, echo, Options{})
	socket, err := net.Dial("tcp", server.Addr())
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	_, err = socket.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	answer, _ := io.ReadAll(socket)
	is.Equal(len(answer), 0)
	is.Equal(server.ProtocolMismatches(), uint64(1))
}

func TestDialRejectsUnknownPreamble(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		socket, err := listener.Accept()
		if err == nil {
			_, _ = socket.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		}
	}()
	_, err = Dial(context.Background(), listener.Addr().String(), echo, Options{})
	is.True(errors.Is(err, ErrProtocolMismatch) && errors.Is(err, ErrNotSent))
}

func TestUnknownFrameTypesAreSkipped(t *testing.T) {
	is := is.New(t)
	server := listen(t, echo, Options{})
	socket, err := net.Dial("tcp", server.Addr())
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	frames := preamble()
	for _, h := range []header{{frameType: 99, length: 3}, {frameType: frameCall, kind: uint16(kindEcho), id: 5, length: 3}} {
		var head [headerSize]byte
		h.put(head[:])
		frames = append(append(frames, head[:]...), "abc"...)
	}
	_, err = socket.Write(frames)
	is.NoErr(err)
	is.NoErr(readPreamble(socket))
	answer := make([]byte, headerSize+3)
	_, err = io.ReadFull(socket, answer)
	is.NoErr(err)
	is.Equal(parseHeader(answer), header{frameType: frameAnswer, id: 5, length: 3})
	is.Equal(string(answer[headerSize:]), "abc")
}

func TestTag(t *testing.T) {
	is := is.New(t)
	c := connect(t, listen(t, echo, Options{}).Addr(), echo, Options{})
	is.Equal(c.Tag(), nil)
	c.SetTag("store")
	is.Equal(c.Tag(), "store")
}
