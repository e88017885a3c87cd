package north

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
	"liftgauge/internal/serve/owner"
	"liftgauge/internal/sock"
)

// inbox is a desk that leaves all to the test.
type inbox struct{ taken, gone chan *owner.Message }

func (b inbox) Submit(m *owner.Message) bool                             { b.taken <- m; return true }
func (b inbox) Gone(m *owner.Message)                                    { b.gone <- m }
func (b inbox) Reported(owner.Report, func(owner.Standing), func()) bool { return true }
func (b inbox) Release(context.Context, *owner.Message) (owner.Past, bool) {
	return owner.Past{}, false
}
func (b inbox) Moved(*owner.Message, owner.Past, bool)                 {}
func (b inbox) Adopt(context.Context, *owner.Message, owner.Past) bool { return false }

// listening runs a server on loopback.
func listening(t *testing.T) (*Server, inbox, string) {
	t.Helper()
	b := inbox{make(chan *owner.Message, 8), make(chan *owner.Message, 8)}
	s := New(Config{Desk: b, Classes: []string{"a"}, Limits: []balance.Class{{Limit: time.Hour}}, MaxConns: 16, LastAnswer: time.Hour,
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

// TestAnswerBeforeUnreadBytes: a client sends on after a request that closes the connection. To close over what it sent would reset the
// connection, and could take the answer with it.
func TestAnswerBeforeUnreadBytes(t *testing.T) {
	_, b, address := listening(t)
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
	m.Reply(owner.Answer{Kind: owner.Served, Result: []byte("level 3")})
	if answer, err := io.ReadAll(c); err != nil || !strings.HasSuffix(string(answer), "level 3") {
		t.Errorf("answer %q, %v", answer, err)
	}
}

// TestLeavingBehindAnEarlyRequest: a client whose next request has begun leaves, with that whole or in part. It is noticed while the first
// one waits.
func TestLeavingBehindAnEarlyRequest(t *testing.T) {
	_, b, address := listening(t)
	for i, more := range []string{"P", request(99, ""), request(98, "") + "POST /a"} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, request(i, "")+more)
		m := <-b.taken
		c.Close()
		if got := <-b.gone; got != m {
			t.Errorf("gone: %v", got.Key)
		}
	}
}

// TestEarlyRequestIsServed: a client that sends its next request before the answer to this one, whole or in pieces, gets both.
func TestEarlyRequestIsServed(t *testing.T) {
	_, b, address := listening(t)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	second := request(2, "Connection: close\r\n")
	fmt.Fprint(c, request(1, "")+second[:20])
	first := <-b.taken
	fmt.Fprint(c, second[20:60])
	first.Reply(owner.Answer{Kind: owner.Served, Result: []byte("one")})
	fmt.Fprint(c, second[60:])
	(<-b.taken).Reply(owner.Answer{Kind: owner.Served, Result: []byte("two")})
	if answer, err := io.ReadAll(c); err != nil || strings.Count(string(answer), "200 OK") != 2 || !strings.HasSuffix(string(answer), "two") {
		t.Errorf("answers %q, %v", answer, err)
	}
}

// TestShutCrossesARequest: the server shuts a resting connection while a request has come that is read already, or not yet. It is
// answered, as the last on the connection.
func TestShutCrossesARequest(t *testing.T) {
	s, b, _ := listening(t)
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
			c.r.Peek(1)
		} else { // it is there
			raw.(*net.TCPConn).SetReadDeadline(time.Time{})
			sys, _ := raw.(*net.TCPConn).SyscallConn()
			sys.Read(func(uintptr) bool { return !sock.Idle(raw) })
		}
		s.mu.Lock()
		c.shut()
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
			m.Reply(owner.Answer{Kind: owner.Served, Result: []byte("level 3")})
			if got := <-answered; !strings.Contains(got, "Connection: close") || !strings.HasSuffix(got, "level 3 <nil>") {
				t.Errorf("read %v: answer %q", read, got)
			}
		case got := <-answered:
			t.Errorf("read %v: closed without an answer: %q", read, got)
		}
		client.Close()
	}
}

// TestShutRestingConnections: connections that rest until the end are closed, and are gone when the server has waited for them.
func TestShutRestingConnections(t *testing.T) {
	s, _, address := listening(t)
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
	for resting := 0; resting < len(all); { // the answer goes out before the connection rests
		s.mu.Lock()
		resting = 0
		for c := range s.conns {
			if c.idle {
				resting++
			}
		}
		s.mu.Unlock()
	}
	s.Enter(Ending)
	for _, c := range all {
		if n, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%d bytes, %v", n, err)
		}
	}
	for s.Rest() > 0 {
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shutting != 0 {
		t.Errorf("%d are shut and not gone", s.shutting)
	}
}
