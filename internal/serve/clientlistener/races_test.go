package clientlistener

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/invariant"
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/sock"
)

// manualEngine is an Engine whose messages the test answers.
type manualEngine struct{ taken, gone chan *engine.Message }

func (b manualEngine) Submit(m *engine.Message) bool  { b.taken <- m; return true }
func (b manualEngine) Disconnected(m *engine.Message) { b.gone <- m }
func (b manualEngine) HandleReport(engine.Report, func(engine.MessageLocation), func()) bool {
	return true
}
func (b manualEngine) Release(context.Context, *engine.Message) (engine.Past, bool) {
	return engine.Past{}, false
}
func (b manualEngine) CompleteRelease(*engine.Message, engine.Past, bool)       {}
func (b manualEngine) Adopt(context.Context, *engine.Message, engine.Past) bool { return false }

// startServer runs a server on loopback.
func startServer(t *testing.T) (*Server, manualEngine, string) {
	t.Helper()
	b := manualEngine{make(chan *engine.Message, 8), make(chan *engine.Message, 8)}
	s := New(Config{Engine: b, Classes: []string{"a"}, Limits: []balance.Class{{Limit: time.Hour}}, MaxConns: 16, ShutdownAnswerTimeout: time.Hour,
		Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Check: &invariant.Checker{}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx, l); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return s, b, l.Addr().String()
}

func request(id int, fields string) string {
	return fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: s\r\nReq-Id: %016x\r\nReq-Kind: a\r\nReq-Deadline-Ms: 60000\r\n%sContent-Length: 4\r\n\r\nhigh", id, fields)
}

// TestAnswerBeforeUnreadBytes checks that a client that sends more after the last request of a connection gets its answer. Closing
// with unread bytes would reset the connection, and the answer could be lost.
func TestAnswerBeforeUnreadBytes(t *testing.T) {
	_, b, address := startServer(t)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, request(1, "Connection: close\r\n"))
	m := <-b.taken
	if _, err := io.WriteString(c, strings.Repeat("x", 64<<10)); err != nil { // more than the reader has room for
		t.Fatal(err)
	}
	m.Reply(engine.Answer{Kind: engine.Served, Result: []byte("level 3")})
	if answer, err := io.ReadAll(c); err != nil || !strings.HasSuffix(string(answer), "level 3") {
		t.Errorf("answer %q, %v", answer, err)
	}
}

// TestDisconnectAfterPipelinedRequest checks that a disconnect is detected while the first request waits, though the client has sent
// all or part of its next request.
func TestDisconnectAfterPipelinedRequest(t *testing.T) {
	_, b, address := startServer(t)
	for i, more := range []string{"P", request(99, ""), request(98, "") + "POST /a"} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, request(i, "")+more)
		m := <-b.taken
		c.Close()
		if got := <-b.gone; got != m {
			t.Errorf("disconnected: %v", got.Key)
		}
	}
}

// TestPipelinedRequestIsServed checks that a client that sends its next request, in pieces, before the first answer gets both answers.
func TestPipelinedRequestIsServed(t *testing.T) {
	_, b, address := startServer(t)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	second := request(2, "Connection: close\r\n")
	fmt.Fprint(c, request(1, "")+second[:20])
	first := <-b.taken
	fmt.Fprint(c, second[20:60])
	first.Reply(engine.Answer{Kind: engine.Served, Result: []byte("one")})
	fmt.Fprint(c, second[60:])
	(<-b.taken).Reply(engine.Answer{Kind: engine.Served, Result: []byte("two")})
	if answer, err := io.ReadAll(c); err != nil || strings.Count(string(answer), "200 OK") != 2 || !strings.HasSuffix(string(answer), "two") {
		t.Errorf("answers %q, %v", answer, err)
	}
}

// TestShutDownRacesWithRequest checks that a request that has arrived when the server shuts down an idle connection, read already or
// not, is answered as the last on the connection.
func TestShutDownRacesWithRequest(t *testing.T) {
	s, b, _ := startServer(t)
	for _, read := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		raw, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		c := newConn(s, raw)
		s.add(c)
		fmt.Fprint(client, request(7, ""))
		if read {
			c.reader.Peek(1)
		} else { // wait until it has arrived
			raw.(*net.TCPConn).SetReadDeadline(time.Time{})
			sys, _ := raw.(*net.TCPConn).SyscallConn()
			sys.Read(func(uintptr) bool { return !sock.Idle(raw) })
		}
		s.mu.Lock()
		c.shutDown()
		s.mu.Unlock()
		go func() {
			defer s.remove(c)
			c.serve(false)
		}()
		answered := make(chan string, 1)
		go func() {
			text, err := io.ReadAll(client)
			answered <- fmt.Sprintf("%s %v", text, err)
		}()
		select {
		case m := <-b.taken:
			m.Reply(engine.Answer{Kind: engine.Served, Result: []byte("level 3")})
			if got := <-answered; !strings.Contains(got, "Connection: close") || !strings.HasSuffix(got, "level 3 <nil>") {
				t.Errorf("read %v: answer %q", read, got)
			}
		case got := <-answered:
			t.Errorf("read %v: closed without an answer: %q", read, got)
		}
		client.Close()
	}
}

// TestShutDownIdleConnections checks that idle connections are closed in phase Ending, and are all removed afterwards.
func TestShutDownIdleConnections(t *testing.T) {
	s, _, address := startServer(t)
	var all []net.Conn
	for range 8 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
		if _, err := c.Read(make([]byte, 512)); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	for resting := 0; resting < len(all); { // the answer is sent before the connection is idle
		s.mu.Lock()
		resting = 0
		for c := range s.conns {
			if c.idle {
				resting++
			}
		}
		s.mu.Unlock()
	}
	s.SetPhase(Ending)
	for _, c := range all {
		if n, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%d bytes, %v", n, err)
		}
	}
	for s.CloseIdle() > 0 {
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shutDown != 0 {
		t.Errorf("%d are shut down and not closed", s.shutDown)
	}
}
