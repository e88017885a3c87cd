package backend

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/http1"
	"liftgauge/internal/serve/engine"
)

// outcomes records a Client's reports in order.
type outcomes struct{ written, ended chan balance.Status }

func (o outcomes) AttemptWritten(*engine.Attempt, bool)              { o.written <- 0 }
func (o outcomes) AttemptEnded(_ *engine.Attempt, s balance.Status)  { o.ended <- s }
func (o outcomes) ProbeEnded(engine.Host, balance.Status, []float32) {}

// startHost runs a fake host on loopback, with one function per connection, in the order in which they are accepted.
func startHost(t *testing.T, conns ...func(net.Conn, *http1.Reader)) engine.Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for _, play := range conns {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				play(c, http1.NewReader(c))
			}()
		}
	}()
	return engine.Host{Name: "s-1", Address: l.Addr().String()}
}

// startClient runs a Client over real connections.
func startClient(t *testing.T) (*Client, outcomes) {
	t.Helper()
	o := outcomes{make(chan balance.Status, 16), make(chan balance.Status, 16)}
	c := New(Config{Sink: o, ConnectTimeout: time.Minute, HostIdleTimeout: time.Hour, MaxConns: 8,
		Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return c, o
}

func attempt(c *Client, to engine.Host, id string) *engine.Attempt {
	call := &http1.Call{ID: id, Method: "POST", Target: "/a/x", Body: []byte("high"), Fields: http1.Fields{{Name: "Req-Id", Value: id}}}
	return &engine.Attempt{Message: &engine.Message{Payload: call}, Host: to, Deadline: c.Now() + time.Hour, MaySend: func() bool { return true }}
}

// request reads a complete request and returns its method and path.
func request(r *http1.Reader) string {
	q, err := r.ReadRequest()
	if err != nil {
		return ""
	}
	if r.SkipBody(&q.Head, http1.MaxBody) != nil {
		return ""
	}
	return q.Method + " " + q.Path
}

// TestLateSecondResponse guards against a host that declines a job twice, the second time after the next job was sent: if that response
// were taken for the next job's, that job would be sent again while it runs.
func TestLateSecondResponse(t *testing.T) {
	c, o := startClient(t)
	refuse := func(conn net.Conn) { fmt.Fprint(conn, "HTTP/1.1 503 No\r\n"+declinedFields) }
	took := make(chan struct{}, 1)
	to := startHost(t, func(conn net.Conn, r *http1.Reader) {
		request(r)
		refuse(conn)
		if request(r) != "" { // the next job was sent on this connection
			refuse(conn)
			fmt.Fprint(conn, acceptedResponse)
			took <- struct{}{}
			request(r)
		}
	}, func(conn net.Conn, r *http1.Reader) {
		request(r)
		fmt.Fprint(conn, acceptedResponse)
		took <- struct{}{}
		request(r)
	})
	c.Send(t.Context(), attempt(c, to, "1"))
	if s := <-o.ended; s != balance.Full {
		t.Errorf("the first job: status %d", s)
	}
	ctx, stop := context.WithCancelCause(t.Context())
	defer stop(engine.ErrOutcomeKnown)
	a := attempt(c, to, "2")
	c.Send(ctx, a)
	<-took
	stop(engine.ErrOutcomeKnown)
	c.tasks.Wait()
	select {
	case s := <-o.ended:
		t.Errorf("the second job, which runs, ended with status %d", s)
	default:
	}
}

// TestWriteToSlowHostEndsAtSendDeadline checks that a write that a slow host has not read by the send deadline is aborted, which proves
// that nothing ran, and that the connection is closed.
func TestWriteToSlowHostEndsAtSendDeadline(t *testing.T) {
	runInBubble(t, 8, func(w *harness) {
		w.note(func() { w.next = step{reads: 1 << 20} })
		w.c.pool.Dial = func(context.Context, string) (net.Conn, error) { // the other end does not read
			near, far := net.Pipe()
			go func() {
				time.Sleep(time.Minute)
				far.Close()
			}()
			return near, nil
		}
		a := w.attempt(false)
		a.SendDeadline = w.c.Now() + time.Second
		ctx, stop := context.WithCancelCause(w.t.Context())
		defer stop(engine.ErrOutcomeKnown)
		began := time.Now()
		w.c.Send(ctx, a)
		w.c.tasks.Wait()
		if took := time.Since(began); len(w.status) != 1 || w.status[0] != balance.ConnectFailed || len(w.written) != 0 || took != time.Second {
			t.Errorf("statuses %v after %v, written %v", w.status, took, w.written)
		}
		time.Sleep(time.Minute)
	})
}

// TestUnconfirmedWithdrawal checks a withdrawal of an accepted job that is lost twice. Without concurrent attempts it is repeated until
// it is confirmed; with them the outcome is that the job may still run there.
func TestUnconfirmedWithdrawal(t *testing.T) {
	for _, copies := range []bool{false, true} {
		c, o := startClient(t)
		c.ConcurrentAttempts = copies
		calls := make(chan string, 8)
		lose := func(_ net.Conn, r *http1.Reader) { calls <- request(r) }
		to := startHost(t, func(conn net.Conn, r *http1.Reader) {
			calls <- request(r)
			fmt.Fprint(conn, "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		}, lose, lose, func(conn net.Conn, r *http1.Reader) {
			calls <- request(r)
			fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		})
		ctx, stop := context.WithCancelCause(t.Context())
		defer stop(engine.ErrOutcomeKnown)
		c.Send(ctx, attempt(c, to, "1"))
		want := []string{"POST /a/x", "DELETE /jobs/1", "DELETE /jobs/1", "DELETE /jobs/1"}
		status := balance.Cancelled
		if copies {
			want, status = want[:2], balance.TimedOut
		}
		<-o.written
		for i, w := range want {
			if got := <-calls; got != w {
				t.Errorf("copies %v: call %d is %q, want %q", copies, i, got, w)
			}
			if i == 0 {
				stop(engine.ErrWithdrawn)
			}
		}
		if s := <-o.ended; s != status {
			t.Errorf("copies %v: status %d, want %d", copies, s, status)
		}
	}
}

// TestWithdrawalRacesWith202 checks that an attempt that is withdrawn while the host's 202 is in flight is also withdrawn by a request:
// closing the connection cancels it only before the 202.
func TestWithdrawalRacesWith202(t *testing.T) {
	c, o := startClient(t)
	calls := make(chan string, 8)
	to := startHost(t, func(_ net.Conn, r *http1.Reader) {
		calls <- request(r)
		request(r) // until the client closes: its 202 would be sent now
	}, func(conn net.Conn, r *http1.Reader) {
		calls <- request(r)
		fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	ctx, stop := context.WithCancelCause(t.Context())
	c.Send(ctx, attempt(c, to, "1"))
	<-calls
	<-o.written
	stop(engine.ErrWithdrawn)
	if got := <-calls; got != "DELETE /jobs/1" {
		t.Errorf("the host received %q", got)
	}
	if s := <-o.ended; s != balance.Cancelled {
		t.Errorf("status %d", s)
	}
}

// TestShutdownDuringUnconfirmedWithdrawal checks that the client ends while a withdrawal is being repeated to a host that does not
// confirm it, without waiting for the message's deadline.
func TestShutdownDuringUnconfirmedWithdrawal(t *testing.T) {
	calls := make(chan string, 1)
	conns := []func(net.Conn, *http1.Reader){func(conn net.Conn, r *http1.Reader) {
		request(r)
		fmt.Fprint(conn, "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}}
	for range 64 {
		conns = append(conns, func(_ net.Conn, r *http1.Reader) {
			select {
			case calls <- request(r):
			default:
			}
		})
	}
	to := startHost(t, conns...)
	c, o := startClient(t) // its cleanup waits for its end while the host still runs
	ctx, stop := context.WithCancelCause(context.Background())
	c.Send(ctx, attempt(c, to, "1"))
	<-o.written
	stop(engine.ErrWithdrawn)
	<-calls
}
