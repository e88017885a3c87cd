package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/http1"
	"liftgauge/internal/load"
	"liftgauge/internal/serve/engine"
)

const (
	keepalive = 8 * time.Second
	connect   = 250 * time.Millisecond
)

// host is a fake host, with a pipe for each connection.
type host struct {
	mu       sync.Mutex
	next     step
	requests []string         // complete requests
	open     int              // open connections
	written  []bool           // whether on a fresh connection
	status   []balance.Status // what the client reported
	loads    [][]float32
}

func (h *host) note(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

func (h *host) AttemptWritten(_ *engine.Attempt, fresh bool) {
	h.note(func() { h.written = append(h.written, fresh) })
}
func (h *host) AttemptEnded(a *engine.Attempt, s balance.Status) {
	h.note(func() { h.status, h.loads = append(h.status, s), append(h.loads, a.Load) })
}
func (h *host) ProbeEnded(_ engine.Host, s balance.Status, loads []float32) {
	h.note(func() { h.status, h.loads = append(h.status, s), append(h.loads, loads) })
}

func (h *host) dial(ctx context.Context, _ string) (net.Conn, error) {
	h.mu.Lock()
	act := h.next
	h.mu.Unlock()
	switch act.dial {
	case "refused":
		return nil, errors.New("refused")
	case "silent":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	h.note(func() { h.open++ })
	go h.serve(&end{Conn: far, h: h})
	return near, nil
}

// end is the host's end of a connection. It can close before or while it reads a request.
type end struct {
	net.Conn
	h    *host
	read int
}

func (e *end) Read(p []byte) (int, error) {
	e.h.mu.Lock()
	limit := e.h.next.reads
	e.h.mu.Unlock()
	if limit > 0 && e.read >= limit {
		e.Close()
		return 0, io.EOF
	}
	n, err := e.Conn.Read(p[:1]) // byte by byte, since the limit may change during the read
	e.read += n
	return n, err
}

func (h *host) serve(e *end) {
	defer h.note(func() { h.open-- })
	defer e.Close()
	r := http1.NewReader(e)
	for {
		e.read = 0
		q, err := r.ReadRequest()
		if err != nil {
			return
		}
		body, err := r.ReadBody(&q.Head, http1.MaxBody)
		if err != nil {
			return
		}
		var act step
		h.note(func() {
			id, _ := q.Fields.Get("Req-Id")
			key, _ := q.Fields.Get("Idempotency-Key")
			h.requests = append(h.requests, strings.TrimSpace(fmt.Sprint(q.Method, " ", q.Target, " ", id, key, string(body))))
			act = h.next
		})
		time.Sleep(act.delay)
		answer := act.answer
		if q.Method == "DELETE" {
			answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		if answer == "close" {
			return
		}
		fmt.Fprint(e, answer)
	}
}

// step is an attempt or probe, the host's behaviour, and the expected result.
type step struct {
	dial        string // refused or silent; else it succeeds
	reads       int    // bytes before the host closes; 0: all
	answer      string // or close; "": none
	delay       time.Duration
	barred      bool          // the host begins to drain or the attempt is withdrawn right before the first byte
	stop        error         // the cause that ends the attempt,
	after       time.Duration // when
	probe       bool
	forget      bool          // and nothing else
	pass        time.Duration // and nothing else
	want        balance.Status
	notReceived bool // the host does not receive a complete request
	withdraws   bool // the host receives a withdrawal
	reusable    bool // the connection returns to the pool
	breaks      bool // it breaks during the request
}

const (
	acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	declinedFields   = "Srv-Declined: 1\r\nContent-Length: 1\r\n\r\nx"
	emptyBody        = "Content-Length: 0\r\n\r\n"
	endlessBody      = "Transfer-Encoding: chunked\r\n\r\n5\r\nab"
	soon             = 10 * time.Millisecond
)

// steps follow the protocol's table of outcomes. With an idle connection to the host there is no dial: steps with a dial
// outcome are then skipped.
var steps = []step{
	{answer: acceptedResponse, stop: engine.ErrOutcomeKnown, after: soon, reusable: true},
	{answer: acceptedResponse, stop: engine.ErrWithdrawn, after: soon, withdraws: true, want: balance.Cancelled, reusable: true},
	{answer: "HTTP/1.1 100 Continue\r\n\r\n" + acceptedResponse, stop: engine.ErrOutcomeKnown, after: soon, reusable: true},
	{answer: "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", stop: engine.ErrOutcomeKnown, after: soon},
	{answer: "HTTP/1.1 503 No\r\n" + declinedFields, want: balance.Full},
	{answer: "HTTP/1.1 504 No\r\n" + declinedFields, want: balance.Full},
	{answer: "HTTP/1.1 503 No\r\n" + emptyBody, want: balance.Errored, withdraws: true, reusable: true}, // the withdrawal's connection
	{answer: "HTTP/1.1 500 No\r\n" + declinedFields, want: balance.Errored},
	{answer: "HTTP/1.1 400 No\r\n" + emptyBody, want: balance.Rejected},
	{answer: "HTTP/1.1 200 OK\r\n" + emptyBody, want: balance.Errored, withdraws: true, reusable: true},
	{answer: "what?\r\n\r\n", want: balance.Reset, breaks: true, withdraws: true, reusable: true},
	{answer: "HTTP/1.1 202 Acc", delay: soon, stop: engine.ErrWithdrawn, after: 2 * soon, want: balance.Cancelled, withdraws: true, reusable: true},
	{answer: "close", want: balance.Reset, breaks: true},
	{reads: 1, want: balance.ConnectFailed, notReceived: true, breaks: true},
	{reads: 120, want: balance.ConnectFailed, notReceived: true, breaks: true},
	{barred: true, want: balance.NotSent, notReceived: true, reusable: true},
	{answer: "", stop: engine.ErrWithdrawn, after: time.Second, want: balance.Cancelled, withdraws: true, reusable: true},
	{answer: acceptedResponse, delay: 2 * soon, stop: engine.ErrOutcomeKnown, after: soon}, // the host's report came first
	{answer: "", stop: engine.ErrOutcomeKnown, after: soon, want: balance.Reset},           // too late to count, but the send ends
	{probe: true, answer: "HTTP/1.1 200 OK\r\n" + emptyBody, want: balance.OK, reusable: true},
	{probe: true, answer: "HTTP/1.1 503 No\r\n" + emptyBody, want: balance.Full},
	{probe: true, answer: "HTTP/1.1 404 No\r\n" + emptyBody, want: balance.Errored},
	{probe: true, answer: "", want: balance.TimedOut},
	{probe: true, answer: "close", want: balance.Reset, breaks: true},
	{forget: true},
	{pass: keepalive},
	{pass: keepalive / 8, reusable: true},
	{dial: "refused", want: balance.ConnectFailed, notReceived: true},
	{dial: "silent", want: balance.ConnectFailed, notReceived: true},
	{dial: "silent", stop: engine.ErrWithdrawn, after: soon, want: balance.NotSent, notReceived: true},
	{dial: "silent", probe: true, want: balance.ConnectFailed, notReceived: true},
	// The head decides though the body never ends.
	{answer: "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\n" + endlessBody, want: balance.Full},
	{answer: "HTTP/1.1 504 No\r\nSrv-Declined: 1\r\nContent-Length: 9\r\n\r\nx", want: balance.Full},
	{answer: "HTTP/1.1 500 No\r\n" + endlessBody, want: balance.Errored},
	{answer: "HTTP/1.1 202 Accepted\r\n" + endlessBody, stop: engine.ErrOutcomeKnown, after: soon},
	{answer: "HTTP/1.1 202 Accepted\r\n" + endlessBody, stop: engine.ErrWithdrawn, after: soon, withdraws: true, want: balance.Cancelled, reusable: true},
	{answer: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 40), want: balance.Reset, breaks: true, withdraws: true, reusable: true},
}

func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

type harness struct {
	t *testing.T
	*host
	c       *Client
	to      engine.Host
	hasIdle bool          // the model of the pool: whether there is an idle connection,
	idleFor time.Duration // and since when, at the end of a step
	// A pooled connection has broken: none is pooled until then, for this long.
	noReuseUntil, noReuseFor time.Duration
}

func runInBubble(t *testing.T, conns int, test func(*harness)) {
	synctest.Test(t, func(t *testing.T) {
		w := &harness{t: t, host: &host{}, to: engine.Host{Name: "s-1", Address: "10.0.0.1:1"}}
		w.c = New(Config{Sink: w.host, ConnectTimeout: connect, HostIdleTimeout: keepalive, MaxConns: conns, Dial: w.dial,
			Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { w.c.Run(ctx); close(done) }()
		test(w)
		stop()
		<-done
		synctest.Wait()
		if w.open != 0 || w.c.pool.count() != 0 {
			t.Errorf("%d connections open, %d counted", w.open, w.c.pool.count())
		}
	})
}

func (w *harness) attempt(barred bool) *engine.Attempt {
	call := &http1.Call{ID: "9b1f", Method: "POST", Target: "/send-warning/x?y=%41", Body: []byte("high"),
		Fields: http1.Fields{{Name: "Req-Id", Value: "9b1f"}, {Name: "Idempotency-Key", Value: "k"}}}
	return &engine.Attempt{Message: &engine.Message{Payload: call}, Host: w.to, Deadline: w.c.Now() + 5*time.Second,
		MaySend: func() bool { return !barred }}
}

func (w *harness) playStep(i int, s step) {
	if w.hasIdle && s.dial != "" {
		return
	}
	w.note(func() { w.next, w.requests, w.status, w.written = s, nil, nil, nil })
	switch {
	case s.forget:
		w.c.Forget(w.to)
	case s.pass > 0:
		time.Sleep(s.pass)
	case s.probe:
		w.c.Probe(w.to)
	default:
		ctx, stop := context.WithCancelCause(w.t.Context())
		w.c.Send(ctx, w.attempt(s.barred))
		if s.stop != nil {
			time.AfterFunc(s.after, func() { stop(s.stop) })
		}
		defer stop(nil)
	}
	time.Sleep(2*time.Second - time.Millisecond)
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if sent := s.pass == 0 && !s.forget && !s.probe && !s.notReceived; sent != (len(w.written) == 1) || sent && w.written[0] == w.hasIdle {
		w.t.Errorf("step %d: written on fresh connections %v, one was idle: %v", i, w.written, w.hasIdle)
	}
	var want []string
	switch {
	case s.forget || s.pass > 0 || s.notReceived:
	case s.probe:
		want = append(want, "GET /-/healthy")
	default:
		want = append(want, "POST /send-warning/x?y=%41 9b1fkhigh")
	}
	if s.withdraws {
		want = append(want, "DELETE /jobs/9b1f")
	}
	if strings.Join(w.requests, ",") != strings.Join(want, ",") {
		w.t.Errorf("step %d: the host received %q, want %q", i, w.requests, want)
	}
	switch {
	case s.want == 0 && len(w.status) > 0, s.want != 0 && (len(w.status) != 1 || w.status[0] != s.want):
		w.t.Errorf("step %d: statuses %v, want %d", i, w.status, s.want)
	}
	w.checkPool(i, s)
}

// checkPool updates the model of the pool and compares the pool with it: there is at most one connection, since steps run in turn.
func (w *harness) checkPool(i int, s step) {
	now := w.c.Now() - 2*time.Second + time.Millisecond
	if !w.hasIdle && s.breaks { // new ones break as well
		w.noReuseUntil, w.noReuseFor = 0, 0
	}
	if w.hasIdle && s.breaks {
		w.noReuseFor = min(2*w.noReuseFor, maxNoReuse)
		if now-w.noReuseUntil > maxNoReuse {
			w.noReuseFor = minNoReuse
		}
		w.noReuseUntil = now + w.noReuseFor
	}
	if s.withdraws { // on a connection of its own
		now += s.after
	}
	switch {
	case s.pass > 0 || s.dial != "":
		w.idleFor += s.pass + 2*time.Second
	default:
		w.hasIdle, w.idleFor = s.reusable && now >= w.noReuseUntil, 2*time.Second
	}
	if w.idleFor >= keepalive*3/4 {
		w.hasIdle = false
	}
	want := 0
	if w.hasIdle {
		want = 1
	}
	if w.open != want || w.c.pool.count() != want {
		w.t.Errorf("step %d: %d connections, %d counted, want %d", i, w.open, w.c.pool.count(), want)
	}
}

// FuzzHost plays random steps of hosts and attempts, and checks each against the table and a model of the pool.
func FuzzHost(f *testing.F) {
	var all []byte
	for i := range steps {
		all = append(all, byte(i), 0)
	}
	f.Add(all)
	f.Add([]byte{0, 12, 0, 25, 25, 25, 0, 12, 0, 25, 25, 25, 25, 25, 0, 4, 0, 10, 0})
	f.Add([]byte{0, 1, 25, 0, 24, 27, 28, 29, 30, 0, 13, 0, 14, 0, 26, 26, 26, 26, 26, 15})
	f.Fuzz(func(t *testing.T, in []byte) {
		runInBubble(t, 8, func(w *harness) {
			for _, b := range in[:min(len(in), 60)] {
				i := int(b) % len(steps)
				w.playStep(i, steps[i])
			}
		})
	})
}

// TestLoads checks that a host's load report is read from responses to jobs and to probes, from the header or the body.
func TestLoads(t *testing.T) {
	runInBubble(t, 8, func(w *harness) {
		w.c.Loads = load.New([]string{"util", "x0"}, w.c.Log)
		const loadHeader = "Srv-Load: x0=3,util=0.5\r\n"
		body := func(text string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		for _, c := range []struct {
			probe  bool
			answer string
			want   bool
		}{
			{false, "HTTP/1.1 503 No\r\n" + loadHeader + declinedFields, true},
			{false, "HTTP/1.1 500 No\r\n" + loadHeader + emptyBody, true},
			{false, "HTTP/1.1 500 No\r\nSrv-Load: x0=-3,util=0.5\r\n" + emptyBody, false},
			{true, "HTTP/1.1 200 OK\r\n" + loadHeader + emptyBody, true},
			{true, body("x0=3,util=0.5"), true},
			{true, body(`{"util":0.5,"x0":3,"more":{}}`), true},
			{true, body("{"), false},
			{true, body(strings.Repeat(" ", 60000) + "x0=3,util=0.5"), false},
			{true, body(""), false},
		} {
			w.note(func() { w.next, w.requests, w.loads = step{answer: c.answer}, nil, nil })
			if c.probe {
				w.c.Probe(w.to)
			} else {
				w.c.Send(w.t.Context(), w.attempt(false))
			}
			time.Sleep(time.Second)
			synctest.Wait()
			w.note(func() {
				if len(w.loads) != 1 || (len(w.loads[0]) == 2 && w.loads[0][0] == 0.5 && w.loads[0][1] == 3) != c.want || !c.want && w.loads[0] != nil {
					t.Errorf("%.80q: %v", c.answer, w.loads)
				}
				if c.probe && w.requests[0] != "GET /-/load" {
					t.Errorf("requested %q", w.requests)
				}
			})
		}
	})
}

// TestConnectionLimit checks that a local shortage of connections is not attributed to the host, and that an idle connection is closed
// to make room.
func TestConnectionLimit(t *testing.T) {
	runInBubble(t, 1, func(w *harness) {
		w.playStep(0, steps[0])
		w.to.Name, w.hasIdle = "s-2", false
		w.playStep(0, steps[0])
		w.note(func() { w.next = step{} })
		ctx, stop := context.WithCancelCause(w.t.Context())
		w.c.Send(ctx, w.attempt(false))
		synctest.Wait()
		w.note(func() { w.status = nil })
		w.c.Send(ctx, w.attempt(false))
		synctest.Wait()
		if len(w.status) != 1 || w.status[0] != balance.NotSent {
			t.Errorf("statuses %v", w.status)
		}
		stop(engine.ErrWithdrawn)
		synctest.Wait()
	})
}

// TestUnresponsiveHost guards against sends on idle connections to a host that became unreachable: each would wait until its
// deadline, and could not be sent elsewhere.
func TestUnresponsiveHost(t *testing.T) {
	runInBubble(t, 8, func(w *harness) {
		w.note(func() { w.next = step{answer: acceptedResponse, delay: soon} })
		ctx, stop := context.WithCancelCause(w.t.Context())
		for range 3 {
			w.c.Send(ctx, w.attempt(false))
		}
		time.Sleep(time.Second)
		w.note(func() { w.next = step{dial: "silent"} }) // and no response on open connections
		w.c.Send(ctx, w.attempt(false))
		time.Sleep(connect / 2)
		if n := w.c.pool.count(); n != 3 {
			t.Errorf("%d connections before the timeout", n)
		}
		time.Sleep(connect)
		if n := w.c.pool.count(); n != 1 {
			t.Errorf("%d connections, want only the waiting one", n)
		}
		w.c.Send(ctx, w.attempt(false))
		time.Sleep(connect + soon)
		w.note(func() {
			if len(w.status) != 1 || w.status[0] != balance.ConnectFailed {
				t.Errorf("statuses %v", w.status)
			}
		})
		stop(engine.ErrOutcomeKnown)
		time.Sleep(2 * time.Second)
	})
}

// TestStaleConnections guards against pooled connections that are dropped silently: after the first one breaks, none to any host
// is reused for a while, and then connections are pooled again.
func TestStaleConnections(t *testing.T) {
	runInBubble(t, 8, func(w *harness) {
		for _, name := range []string{"s-1", "s-2"} {
			w.to.Name = name
			w.note(func() { w.next = step{answer: acceptedResponse} })
			ctx, stop := context.WithCancelCause(w.t.Context())
			defer stop(engine.ErrOutcomeKnown)
			w.c.Send(ctx, w.attempt(false))
			time.Sleep(soon)
		}
		if n := w.c.pool.count(); n != 2 {
			t.Fatalf("%d connections pooled", n)
		}
		w.note(func() { w.next = step{answer: "close"} })
		w.c.Send(w.t.Context(), w.attempt(false))
		time.Sleep(soon)
		w.note(func() {
			if n := w.c.pool.count(); n != 0 || len(w.status) != 1 || w.status[0] != balance.Reset {
				t.Errorf("%d connections pooled, statuses %v", n, w.status)
			}
		})
		for _, want := range []int{0, 1} {
			w.note(func() { w.next = step{answer: "HTTP/1.1 200 OK\r\n" + emptyBody} })
			w.c.Probe(w.to)
			time.Sleep(soon)
			if n := w.c.pool.count(); n != want {
				t.Errorf("%d connections pooled, want %d", n, want)
			}
			time.Sleep(minNoReuse)
		}
		// New connections break as well, so idling is not the cause.
		w.note(func() { w.next = step{answer: "close"} })
		for range 2 {
			w.c.Send(w.t.Context(), w.attempt(false))
			time.Sleep(soon)
		}
		w.note(func() { w.next = step{answer: "HTTP/1.1 200 OK\r\n" + emptyBody} })
		w.c.Probe(w.to)
		time.Sleep(soon)
		if n := w.c.pool.count(); n != 1 {
			t.Errorf("%d connections pooled, want 1, since new ones break, too", n)
		}
	})
}
