package clientlistener

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/http1"
	"liftgauge/internal/jsonval"
	"liftgauge/internal/load"
	"liftgauge/internal/serve/engine"
)

// engineState configures the fake engine, and records its calls.
type engineState struct {
	full           bool
	answer         engine.Answer
	neverAnswers   bool // gives no answer
	unknownMessage bool // the messages of call-backs are unknown
	submitted      []*engine.Message
	disconnected   int
	reports        []engine.Report

	moving           bool // the messages of call-backs are being handed over
	releases, adopts bool // results of Release and Adopt
	completed        []bool
}

// pipeListener is a listener whose connections are pipes. While busy is full, Close blocks, as during an accept in the kernel.
type pipeListener struct {
	calls chan net.Conn
	busy  chan struct{}
}

func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
func (p pipeListener) Close() error {
	defer func() { recover() }() // closed already
	p.busy <- struct{}{}
	defer func() { <-p.busy }()
	close(p.calls)
	return nil
}
func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p.calls; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// sharedConn is a connection that another process may have too: it closes when both have closed it.
type sharedConn struct {
	net.Conn
	more atomic.Int32
}

func (s *sharedConn) Close() error {
	if s.more.Add(-1) >= 0 {
		return nil
	}
	return s.Conn.Close()
}

// client is the client's end of a connection.
type client struct {
	net.Conn
	served  net.Conn // the server's end
	answers []string // status and body
	closed  bool
	idle    time.Duration
	used    bool
}

// harness holds a server, the fake engine, and the current client.
type harness struct {
	t  *testing.T
	mu sync.Mutex
	engineState
	server   *Server
	listener pipeListener
	*client
}

func (w *harness) Submit(m *engine.Message) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.full {
		return false
	}
	w.submitted = append(w.submitted, m)
	if !w.neverAnswers {
		answer := w.answer
		go func() {
			time.Sleep(10 * time.Millisecond)
			m.Reply(answer)
		}()
	}
	return true
}

func (w *harness) Disconnected(*engine.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disconnected++
}

func (w *harness) HandleReport(r engine.Report, known func(engine.MessageLocation), processed func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.full {
		return false
	}
	if processed != nil {
		defer processed()
	}
	if known != nil {
		switch {
		case w.moving:
			known(engine.LocationMoving)
			return true
		case w.unknownMessage:
			known(engine.LocationUnknown)
		default:
			known(engine.LocationLocal)
		}
	}
	w.reports = append(w.reports, r)
	return true
}

func (w *harness) Release(_ context.Context, m *engine.Message) (engine.Past, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return engine.Past{Job: m.Job, Ago: time.Second}, w.releases
}

func (w *harness) CompleteRelease(m *engine.Message, _ engine.Past, taken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.completed = append(w.completed, taken); taken {
		m.OnClosed()
	}
}

func (w *harness) Adopt(_ context.Context, m *engine.Message, past engine.Past) bool {
	m.Job = past.Job
	w.mu.Lock()
	adopts := w.adopts
	w.mu.Unlock()
	return adopts && w.Submit(m)
}

func (w *harness) dial() *client {
	near, far := net.Pipe()
	c := &client{Conn: near, served: far}
	w.listener.calls <- &sharedConn{Conn: far}
	go func() {
		r := http1.NewReader(near)
		for {
			p, err := r.ReadResponse()
			if err != nil {
				w.mu.Lock()
				defer w.mu.Unlock()
				c.closed = true
				return
			}
			body, _ := r.ReadBody(&p.Head, http1.MaxBody)
			wait, _ := p.Fields.Get("Retry-After")
			w.mu.Lock()
			c.answers = append(c.answers, strings.TrimSpace(fmt.Sprint(p.Status, " ", string(body), wait)))
			w.mu.Unlock()
		}
	}()
	synctest.Wait()
	return c
}

// wait advances the time. The lock orders other goroutines' records after what the test has read.
func (w *harness) wait(d time.Duration) {
	w.mu.Lock()
	//lint:ignore SA2001 the lock orders other goroutines' records before what the test reads next
	w.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
}

func (w *harness) send(text string) {
	fmt.Fprint(w.client, text)
	synctest.Wait()
}

func runInBubble(t *testing.T, conns int, test func(*harness)) {
	synctest.Test(t, func(t *testing.T) { runServer(t, conns, test) })
}

// runServer runs a test with a server inside a synctest bubble.
func runServer(t *testing.T, conns int, test func(*harness)) {
	w := &harness{t: t, listener: pipeListener{make(chan net.Conn), make(chan struct{}, 1)}}
	limit := []balance.Class{{Limit: 5 * time.Second}, {Limit: 5 * time.Second}}
	w.server = New(Config{Engine: w, Classes: []string{"gauge-reading", "send-warning"}, Limits: limit, MaxConns: conns, ShutdownAnswerTimeout: 3 * time.Second,
		Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { w.server.Run(ctx, w.listener); close(done) }()
	w.client = w.dial()
	test(w)
	stopped := time.Now()
	stop()
	if <-done; time.Since(stopped) > 30*time.Second {
		t.Errorf("ended after %v", time.Since(stopped))
	}
	time.Sleep(2 * time.Minute) // for late answers, and a listener that is closed late
}

const (
	job    = "POST /send-warning/penal?x=%41 HTTP/1.1\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Kind: send-warning\r\nContent-Length: 4\r\n"
	call   = "POST /callback HTTP/1.1\r\nContent-Length: "
	report = `{"id":"9b1f","from":"s-0badcafe","state":"done","result":"a\nb","new":1}`
)

func callback(body string) string { return fmt.Sprintf("%s%d\r\n\r\n%s", call, len(body), body) }

// step is an action on a connection, and its expected result.
type step struct {
	send         string
	set          engineState
	wait         time.Duration
	want         string // answers, with commas between
	closes       bool   // the connection must close
	submitted    int    // messages that must reach the engine
	clientCloses bool
	unanswered   int64 // messages that wait on other connections
}

var steps = []step{
	{send: job + "\r\nhigh", set: engineState{answer: engine.Answer{Kind: engine.Served, Result: []byte("sent")}}, want: "200 sent", submitted: 1},
	{send: job + "\r\nhigh", set: engineState{answer: engine.Answer{Kind: engine.BackOff, RetryAfter: 1500 * time.Millisecond}}, want: "503 1.500", submitted: 1},
	{send: job + "\r\nhigh", set: engineState{answer: engine.Answer{Kind: engine.BackOff}}, want: "503", submitted: 1},
	{send: job + "\r\nhigh", set: engineState{}, want: "502", submitted: 1},
	{send: job + "\r\nhigh", set: engineState{full: true}, want: "503"},
	{send: job + "Connection: close\r\n\r\nhigh", set: engineState{answer: engine.Answer{Kind: engine.Served}}, want: "200", closes: true, submitted: 1},
	{send: job + "\r\nhigh" + job + "\r\nhigh", set: engineState{answer: engine.Answer{Kind: engine.Served}}, want: "200,200", submitted: 2},
	{send: job + "\r\nhigh", set: engineState{neverAnswers: true}, clientCloses: true, closes: true, submitted: 1},
	{send: job + "Expect: 100-continue\r\n\r\nhigh", set: engineState{answer: engine.Answer{Kind: engine.Served}}, want: "100,200", submitted: 1},
	{send: callback(report), want: "204"},
	{send: callback(report), set: engineState{full: true}, want: "503"},
	{send: callback(`{"id":"9b1f","from":"s","state":"resting"}`), want: "400 state: want a known state"},
	{send: callback(`{"id":"9b1f","state":"done"}`), want: "400 from: want a name"},
	{send: callback(`{`), want: "400"},
	{send: "GET /callback HTTP/1.1\r\n\r\n", want: "405"},
	{send: "GET /-/ready HTTP/1.1\r\n\r\n", want: "200"},
	{send: "POST /-/ready HTTP/1.1\r\n\r\n", want: "405"},
	{send: "GET /send-warning HTTP/1.1\r\n\r\n", want: "405 jobs come by POST"},
	{send: "POST /other HTTP/1.1\r\nReq-Id: 1\r\n\r\n", want: "404 unknown path"},
	{send: "POST /send-warning HTTP/1.1\r\nReq-Kind: other\r\nReq-Id: 1\r\n\r\n", want: "404 unknown class"},
	{send: "POST /send-warning HTTP/1.1\r\nReq-Kind: gauge-reading\r\nReq-Id: 1\r\n\r\n", want: "400 Req-Kind and path differ", closes: true},
	{send: "POST /send-warning HTTP/1.1\r\n\r\n", want: "400 want one Req-Id", closes: true},
	{send: "POST /send-warning HTTP/1.1\r\nReq-Id: ../x\r\n\r\n", want: "400 want one Req-Id", closes: true},
	{send: "POST /send-warning HTTP/1.1\r\nReq-Id: 1\r\nReq-Deadline-Ms: -1\r\n\r\n", want: "400 bad Req-Deadline-Ms", closes: true},
	{send: "POST /send-warning HTTP/1.1\r\nReq-Id: 1\r\nReq-Extra: slots=NaN\r\n\r\n", want: "400 bad Req-Extra", closes: true},
	{send: "no request\r\n\r\n", want: "400 malformed request line", closes: true},
	{send: "POST /send-warning HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", want: "413 body too large", closes: true},
	{send: job + "\r\nhi", wait: readTimeout, want: "408", closes: true},
	{send: "", wait: idleTimeout},
	{send: "", wait: time.Second},
	{send: "", wait: idleTimeout / 2},
}

// FuzzConn plays random steps on connections, split at random positions, and checks each against the table.
func FuzzConn(f *testing.F) {
	all := make([]byte, 0, 2*len(steps))
	for i := range steps {
		all = append(all, byte(i), byte(i*7))
	}
	f.Add(all)
	f.Add([]byte{0, 1, 6, 9, 0, 200, 9, 3, 2, 2, 7, 0, 0, 0, 27, 4, 1, 1})
	f.Fuzz(func(t *testing.T, in []byte) {
		runInBubble(t, 64, func(w *harness) {
			for i := 0; i+1 < min(len(in), 80); i += 2 {
				w.playStep(steps[int(in[i])%len(steps)], int(in[i+1]))
			}
		})
	})
}

func (w *harness) playStep(s step, cut int) {
	if w.closed {
		w.client = w.dial()
	}
	w.engineState, w.answers = s.set, nil
	limit := firstRequestTimeout
	if w.used {
		limit = idleTimeout
	}
	if w.idle += s.wait + time.Second/2; s.send == "" {
		s.closes = w.idle >= limit
	} else {
		w.idle, w.used = time.Second/2, true
	}
	if cut = min(cut, len(s.send)); cut > 0 {
		w.send(s.send[:cut])
		w.wait(time.Millisecond)
	}
	if cut < len(s.send) {
		w.send(s.send[cut:])
	}
	if s.clientCloses {
		w.Close()
	}
	w.wait(s.wait + time.Second/2) // includes the time for which a closing connection lingers
	got := strings.Join(w.answers, ",")
	if s.want == "400" && strings.HasPrefix(got, "400") || s.want == "405" && strings.HasPrefix(got, "405") {
		got = s.want
	}
	if got != s.want || w.closed != s.closes || len(w.submitted) != s.submitted || w.disconnected > 0 != s.clientCloses || w.server.Open() != s.unanswered {
		w.t.Errorf("%q cut at %d: answers %q, closed %v, %d submitted, %d disconnected, %d open", s.send, cut, got, w.closed, len(w.submitted), w.disconnected, w.server.Open())
	}
}

// TestForwardedRequest checks that the parts of a request that must reach the host unchanged do so.
func TestForwardedRequest(t *testing.T) {
	runInBubble(t, 64, func(w *harness) {
		w.engineState = engineState{answer: engine.Answer{Kind: engine.Served}}
		w.send("POST /gauge-reading/a%2Fb?c=d HTTP/1.1\r\nreq-id: 9b1f03aa5c7e2d41\r\nIdempotency-Key: \"k, 1\"\r\nReq-Deadline-Ms: 480\r\n" +
			"Req-Cost: 250000\r\nReq-Extra: slots=2, memory=1.5,mood=good\r\nReq-Retry: 1\r\nCookie: x\r\nContent-Length: 3\r\n\r\n\x00\xff\n")
		m := w.submitted[0]
		c := m.Payload.(*http1.Call)
		key, _ := c.Fields.Get("Idempotency-Key")
		id, _ := c.Fields.Get("Req-Id")
		_, cookies := c.Fields.Get("Cookie")
		if c.Method != "POST" || c.Target != "/gauge-reading/a%2Fb?c=d" || key != `"k, 1"` || id != m.Key || cookies > 0 || string(c.Body) != "\x00\xff\n" {
			t.Errorf("call %+v", c)
		}
		want := balance.Job{Class: 0, Left: 480 * time.Millisecond, Hint: 250 * time.Millisecond, Slots: 2, Memory: 1.5, Again: true}
		if m.Job != want || m.Arrived != w.server.Now() {
			t.Errorf("job %+v, want %+v", m.Job, want)
		}
	})
}

// TestPlannedShutdown follows connections through the phases: no accepted message is lost, and call-backs are accepted to the end.
func TestPlannedShutdown(t *testing.T) {
	runInBubble(t, 64, func(w *harness) {
		w.engineState = engineState{neverAnswers: true}
		w.send(job + "\r\nhigh")
		waiting, m := w.client, w.submitted[0]
		idle, other := w.dial(), w.dial()
		w.client = other
		w.playStep(step{send: callback(report), want: "204", unanswered: 1}, 0)
		w.server.SetPhase(Leaving)
		w.client = idle
		w.playStep(step{send: "GET /-/ready HTTP/1.1\r\n\r\n", want: "503", unanswered: 1}, 0)
		w.playStep(step{send: job + "\r\nhigh", set: engineState{answer: engine.Answer{Kind: engine.Served}}, want: "200", submitted: 1, unanswered: 1}, 0)
		if idle.closed {
			t.Error("an idle connection is closed before the front end has noticed")
		}
		w.server.SetPhase(Closing)
		synctest.Wait()
		if idle.closed || other.closed {
			t.Errorf("idle closed %v, %v: their clients may have no other connection", idle.closed, other.closed)
		}
		w.playStep(step{send: job + "\r\nhigh", set: engineState{answer: engine.Answer{Kind: engine.Served}}, want: "200", closes: true, submitted: 1, unanswered: 1}, 0)
		// One of the three seconds has passed; the message's own limit is five.
		if left := w.submitted[0].Job.Left; left != 2*time.Second {
			t.Errorf("time left %v, want two seconds", left)
		}
		w.playStep(step{send: callback(report), want: "204", closes: true, unanswered: 1}, 0)
		w.server.SetPhase(Ending)
		synctest.Wait()
		if !other.closed || waiting.closed {
			t.Errorf("idle closed %v, waiting closed %v", other.closed, waiting.closed)
		}
		w.playStep(step{send: job + "\r\nhigh", want: "503", closes: true, unanswered: 1}, 0)
		m.Reply(engine.Answer{Kind: engine.Served, Result: []byte("late")})
		w.wait(time.Second)
		if strings.Join(waiting.answers, ",") != "200 late" || !waiting.closed || w.server.Open() != 0 {
			t.Errorf("answers %q, closed %v", waiting.answers, waiting.closed)
		}
	})
}

// TestDrain follows a drain to its end, then one that is ended halfway: none of its later stages may take effect.
func TestDrain(t *testing.T) {
	served := engineState{answer: engine.Answer{Kind: engine.Served}}
	ready := step{send: "GET /-/ready HTTP/1.1\r\n\r\n", want: "503", closes: true}
	runInBubble(t, 64, func(w *harness) {
		idle := w.client
		w.playStep(step{send: callback(report), want: "204"}, 0)
		w.server.Drain(true)
		w.client = w.dial()
		w.playStep(ready, 0)
		w.playStep(step{send: job + "\r\nhigh", set: served, want: "200", closes: true, submitted: 1}, 0)
		w.server.Drain(true) // a repeat does not restart it
		w.wait(time.Second)  // after 2 s, messages must end within the limit, at 3.85 s
		w.playStep(step{send: job + "\r\nhigh", set: served, want: "200", closes: true, submitted: 1}, 0)
		if left := w.submitted[0].Job.Left; left != 1850*time.Millisecond {
			t.Errorf("time left %v", left)
		}
		w.wait(200 * time.Millisecond)
		w.playStep(step{send: job + "\r\nhigh", set: served, want: "503", closes: true}, 0)
		if idle.closed {
			t.Error("an idle connection closed early: it may be its client's only one")
		}
		w.wait(300 * time.Millisecond)
		noRequest := w.dial()
		w.wait(refusingIdleTimeout)
		if !idle.closed || !noRequest.closed {
			t.Errorf("closed: idle %v, silent %v", idle.closed, noRequest.closed)
		}
		w.playStep(ready, 0)
		w.playStep(step{send: callback(report), want: "204", closes: true}, 0)
		if r := w.server.Results(1); r != (Results{2, 1, 0}) || w.server.Outstanding() != 0 {
			t.Errorf("results %+v, %d outstanding", r, w.server.Outstanding())
		}

		w.server.Drain(false)
		w.client = w.dial()
		w.playStep(step{send: "GET /-/ready HTTP/1.1\r\n\r\n", want: "200"}, 0)
		w.server.Drain(true)
		w.wait(time.Second)
		w.server.Drain(false)
		w.server.Drain(false)
		w.wait(drainLimit)
		w.playStep(step{send: job + "\r\nhigh", set: served, want: "200", submitted: 1}, 0)
	})
}

// FuzzDrain starts and ends drains at random times, and checks requests and an idle connection against the time since the
// start of the drain.
func FuzzDrain(f *testing.F) {
	f.Add([]byte{0, 3, 4, 4, 4, 4, 3, 1, 3, 4})
	f.Add([]byte{0, 10, 4, 10, 1, 4, 0, 0, 30, 4, 30, 4, 3, 1, 1, 3, 40, 4})
	f.Fuzz(func(t *testing.T, in []byte) {
		runInBubble(t, 64, func(w *harness) {
			idle, since := w.client, time.Duration(-1) // no drain
			for _, op := range in[:min(len(in), 60)] {
				if idle.closed || idle.used {
					idle = w.dial()
				}
				w.client = idle
				w.playStep(step{send: callback(report), want: "204", closes: since >= 0}, 0)
				if w.client = w.dial(); since >= 0 {
					since += time.Second / 2
				}
				s := step{send: job + "\r\nhigh", set: engineState{answer: engine.Answer{Kind: engine.Served}}, want: "200", submitted: 1, closes: since >= 0}
				switch {
				case op == 0 && since < 0:
					w.server.Drain(true)
					since = 0
					continue
				case op == 0:
					w.server.Drain(true) // a repeat
					continue
				case op == 1:
					w.server.Drain(false)
					since = -1
					continue
				case op > 4:
					w.wait(time.Duration(op) * 10 * time.Millisecond)
					if since >= 0 {
						since += time.Duration(op) * 10 * time.Millisecond
					}
					continue
				case op == 3 && since >= 0:
					s = step{send: "GET /-/ready HTTP/1.1\r\n\r\n", want: "503", closes: true}
				case op == 3:
					s = step{send: "GET /-/ready HTTP/1.1\r\n\r\n", want: "200"}
				case since >= drainRefuseAfter:
					s.want, s.submitted = "503", 0
				}
				if w.playStep(s, 0); since >= 0 {
					since += time.Second / 2
				}
			}
		})
	})
}

// TestResultCounts checks that every message is counted exactly once, and other requests are not.
func TestResultCounts(t *testing.T) {
	want := map[string]Results{"200": {Succeeded: 1}, "200 sent": {Succeeded: 1}, "503": {Declined: 1}, "503 1.500": {Declined: 1}, "502": {Aborted: 1}, "": {Aborted: 1}}
	for _, s := range steps {
		if strings.HasPrefix(s.send, job+"\r\nhigh") && strings.Count(s.send, job) == 1 || strings.HasPrefix(s.want, "40") {
			runInBubble(t, 64, func(w *harness) {
				w.playStep(s, 0)
				if got := w.server.Results(1); got != want[s.want] || w.server.Outstanding() != 0 {
					t.Errorf("%q: %+v, %d outstanding", s.want, got, w.server.Outstanding())
				}
			})
		}
	}
}

// TestResultTooLong checks that a message fails, once, if its result is longer than an HTTP body may be, as other protocols allow.
func TestResultTooLong(t *testing.T) {
	runInBubble(t, 64, func(w *harness) {
		w.engineState = engineState{answer: engine.Answer{Kind: engine.Served, Result: make([]byte, http1.MaxBody+1)}}
		w.client = w.dial()
		w.send(job + "\r\nhigh")
		w.wait(time.Second)
		if len(w.client.answers) != 1 || w.client.answers[0] != "502" || w.server.Results(1).Aborted != 1 {
			t.Errorf("%q, %+v", w.client.answers, w.server.Results(1))
		}
	})
}

// TestMemoryBudgetExhausted checks that a message whose body does not fit the budget gets a back-off answer, that the connection
// stays open and call-backs are accepted, and that all memory is released.
func TestMemoryBudgetExhausted(t *testing.T) {
	runInBubble(t, 64, func(w *harness) {
		w.server.Budget.SetLimit(0)
		w.client = w.dial()
		w.send(job + "\r\nhigh")
		w.wait(time.Second)
		w.send("POST /callback HTTP/1.1\r\nContent-Length: 41\r\n\r\n" + `{"id":"a","from":"s-1","state":"started"}`)
		w.wait(time.Second)
		w.server.Budget.SetLimit(1 << 20)
		w.engineState.answer = engine.Answer{Kind: engine.Served, Result: []byte("ok")}
		w.send(job + "\r\nhigh")
		w.wait(time.Second)
		if fmt.Sprint(w.client.answers) != "[503 204 200 ok]" || len(w.reports) != 1 || len(w.submitted) != 1 {
			t.Errorf("%q, %d reports, %d taken", w.client.answers, len(w.reports), len(w.submitted))
		}
		w.submitted[0].OnClosed()
		if held := w.server.Budget.Held(); held != 0 {
			t.Errorf("%d bytes held", held)
		}
	})
}

// fakePeer is another process at the same address.
type fakePeer struct {
	live   bool
	status int
	known  bool
	err    error
	bodies []string
	next   *Server // that takes messages over
	passes int
}

func (o *fakePeer) Connected() bool { return o.live }
func (o *fakePeer) PassConnection(client net.Conn, record func() ([]byte, bool)) (bool, error) {
	o.passes++
	if text, ok := record(); ok && o.next != nil {
		client.(*sharedConn).more.Add(1)
		return o.next.Adopt(text, client), nil
	}
	return false, nil
}
func (o *fakePeer) Callback(body []byte) (int, bool, error) {
	o.bodies = append(o.bodies, string(body))
	return o.status, o.known, o.err
}

// TestCallbackForwardedToPeer checks that a call-back for an unknown message is forwarded to the other process, if there is one,
// and answered only after that has processed it, and that one for a known message is not forwarded.
func TestCallbackForwardedToPeer(t *testing.T) {
	for _, c := range []struct {
		other     fakePeer
		foreign   bool
		want      string
		forwarded int
	}{
		{fakePeer{live: true, status: 204}, true, "204", 1},
		{fakePeer{live: true, status: 204}, false, "204", 0},
		{fakePeer{live: true, status: 503}, true, "503", 1},
		{fakePeer{live: true, err: errors.New("silent")}, true, "503", 1},
		{fakePeer{live: true, err: engine.ErrNoPeer}, true, "204", 1},
		{fakePeer{live: false, status: 503}, true, "204", 0},
	} {
		runInBubble(t, 64, func(w *harness) {
			w.server.Peer = &c.other
			w.playStep(step{send: callback(report), set: engineState{unknownMessage: c.foreign}, want: c.want}, 0)
			if len(c.other.bodies) != c.forwarded || c.forwarded > 0 && c.other.bodies[0] != report {
				t.Errorf("%+v: forwarded %q", c, c.other.bodies)
			}
			w.playStep(step{send: callback("{}"), want: "400 id: want a name"}, 0)
			if status, _ := w.server.Callback([]byte(report)); status != 204 || len(c.other.bodies) != c.forwarded {
				t.Errorf("from the other: %d, requested %q", status, c.other.bodies)
			}
		})
	}
}

// TestReleaseListener checks that a released listener accepts no connections, while open ones are served and close one by one.
func TestReleaseListener(t *testing.T) {
	served := engineState{answer: engine.Answer{Kind: engine.Served}}
	runInBubble(t, 64, func(w *harness) {
		idle := w.client
		w.client = w.dial()
		w.playStep(step{send: callback(report), want: "204"}, 0)
		w.server.SetPhase(Leaving)
		w.server.ReleaseListener()
		w.server.SetPhase(Closing)
		synctest.Wait()
		if _, open := <-w.listener.calls; open {
			t.Error("the listener is still open")
		}
		w.playStep(step{send: job + "\r\nhigh", set: served, want: "200", closes: true, submitted: 1}, 0)
		if idle.closed {
			t.Error("idle connection closed early")
		}
		if left := w.server.CloseIdle(); left > 1 {
			t.Errorf("%d left", left)
		}
		synctest.Wait()
		if left := w.server.CloseIdle(); !idle.closed || left != 0 {
			t.Errorf("idle closed %v, %d left", idle.closed, left)
		}
	})
}

// TestReleaseListenerDuringBlockedAccept checks that an accept blocked in the kernel holds up neither open connections, nor the
// connection that it finally returns, nor the end of the server.
func TestReleaseListenerDuringBlockedAccept(t *testing.T) {
	served := engineState{answer: engine.Answer{Kind: engine.Served}}
	runInBubble(t, 64, func(w *harness) {
		w.listener.busy <- struct{}{}
		w.server.SetPhase(Leaving)
		w.server.ReleaseListener()
		w.server.SetPhase(Closing)
		w.playStep(step{send: job + "\r\nhigh", set: served, want: "200", closes: true, submitted: 1}, 0)
		w.client = w.dial()
		w.playStep(step{send: job + "\r\nhigh", set: served, want: "200", closes: true, submitted: 1}, 0)
		if left := w.server.CloseIdle(); left != 0 {
			t.Errorf("%d left", left)
		}
		time.AfterFunc(time.Minute, func() { <-w.listener.busy })
	})
}

// TestSetLimit checks that a lower limit, as while two processes share, closes idle connections and lets busy ones finish.
func TestSetLimit(t *testing.T) {
	const conns = 16
	runInBubble(t, conns, func(w *harness) {
		w.engineState = engineState{neverAnswers: true}
		busy := []*client{}
		for range 6 {
			w.client = w.dial()
			w.send(job + "\r\nhigh")
			busy = append(busy, w.client)
		}
		w.wait(2 * time.Second)
		for range 4 {
			w.dial()
		}
		w.wait(time.Second)
		w.server.SetLimit(conns / 2)
		synctest.Wait()
		if n := len(w.server.conns); n != conns/2 || len(w.server.slots) != conns {
			t.Errorf("%d connections, %d of %d places taken", n, len(w.server.slots), conns)
		}
		for _, c := range busy {
			c.Close()
		}
		w.wait(time.Second)
		w.server.SetLimit(conns)
		w.wait(firstRequestTimeout)
		if n := len(w.server.slots); n > 1 || w.server.reserved != 0 { // the slot of the next connection to be accepted
			t.Errorf("%d places taken, %d reserved", n, w.server.reserved)
		}
	})
}

// TestConnectionLimit checks the limit of descriptors: an idle connection is closed to make room; if none is idle, a connection over
// the limit gets a back-off answer at once, and one without a request does not keep its slot.
func TestConnectionLimit(t *testing.T) {
	const conns = 12
	runInBubble(t, conns, func(w *harness) {
		w.engineState = engineState{neverAnswers: true}
		first := w.client
		w.wait(2 * time.Second)
		all := []*client{}
		for range conns - spareConns(conns) {
			w.client = w.dial()
			w.send(job + "\r\nhigh")
			all = append(all, w.client)
		}
		if !first.closed || len(w.submitted) != len(all) {
			t.Errorf("idle closed %v, %d taken", first.closed, len(w.submitted))
		}
		noRequest := w.dial()
		w.client = w.dial()
		w.playStep(step{send: job + "\r\nhigh", want: "503", closes: true, unanswered: int64(len(all))}, 0)
		w.wait(readTimeout)
		if !noRequest.closed || all[0].closed {
			t.Errorf("silent closed %v, busy closed %v", noRequest.closed, all[0].closed)
		}
		for _, c := range all {
			c.Close()
		}
		synctest.Wait()
	})
}

// TestLoadInReport checks that a call-back's load is passed on, and that a malformed load does not invalidate the rest.
func TestLoadInReport(t *testing.T) {
	s := &Server{Config: Config{Loads: load.New([]string{"util", "x0"}, slog.New(slog.DiscardHandler))}}
	const head = `{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"done","result":"r"`
	for text, want := range map[string][]float32{head + `,"load":{"util":0.5,"x0":3}}`: {0.5, 3}, head + `}`: nil, head + `,"load":7}`: nil,
		head + `,"load":{"util":"high","x0":3}}`: nil, head + `,"load":{"x0":3}}`: nil} {
		r, err := s.parseReport(&jsonval.Parser{}, []byte(text))
		if err != nil || r.State != engine.Done || string(r.Result) != "r" || !slices.Equal(r.Load, want) {
			t.Errorf("%s: %+v, %v", text, r, err)
		}
	}
	if s.Loads.Unreadable() != 3 {
		t.Errorf("%d bad reports", s.Loads.Unreadable())
	}
}

// FuzzReport checks that parsing never panics, and that accepted call-backs name a message and a host.
func FuzzReport(f *testing.F) {
	f.Add([]byte(report))
	f.Add([]byte(`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"running","share":0.4}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		if r, err := (&Server{}).parseReport(&jsonval.Parser{}, in); err == nil && (r.Key == "" || r.From == "") {
			t.Errorf("report %+v", r)
		}
	})
}
