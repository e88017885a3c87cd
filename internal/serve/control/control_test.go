package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"liftgauge/internal/http1"
)

// pipeListener is a listener whose connections are pipes.
type pipeListener struct{ calls chan net.Conn }

func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
func (p pipeListener) Close() error   { close(p.calls); return nil }
func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p.calls; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// harness holds the effects of requests to a server in a synctest bubble.
type harness struct {
	t       *testing.T
	l       pipeListener
	drained bool
	out     map[string]bool
}

func runInBubble(t *testing.T, callers int, test func(*harness)) {
	synctest.Test(t, func(t *testing.T) {
		w := &harness{t: t, l: pipeListener{make(chan net.Conn)}, out: map[string]bool{"s-1": false}}
		s := New(Config{MaxConns: callers, Ready: func() bool { return !w.drained }, Drain: func(on bool) { w.drained = on },
			Metrics: func() Metrics {
				return Metrics{Classes: []ClassMetrics{{"a", 1, 2, 3}}, Forwards: 4, Outstanding: 5, Discovered: 6, Ejected: 7}
			},
			SetOffline: func(ctx context.Context, id string, out bool) (bool, error) {
				if id == "s-stuck" {
					<-ctx.Done()
					return true, errors.New("not applied")
				}
				_, known := w.out[id]
				if known {
					w.out[id] = out
				}
				return known, nil
			}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.Run(ctx, w.l); close(done) }()
		test(w)
		stop()
		<-done
	})
}

func (w *harness) dial() net.Conn {
	near, far := net.Pipe()
	w.l.calls <- far
	synctest.Wait()
	return near
}

// call sends a request in two pieces and returns the answer, or "" if the connection closes without one.
func (w *harness) call(c net.Conn, text string, cut int) string {
	defer c.Close()
	defer time.Sleep(time.Millisecond) // an answer may arrive before the second piece
	go func() {
		io.WriteString(c, text[:cut])
		time.Sleep(time.Millisecond)
		io.WriteString(c, text[cut:])
	}()
	r := http1.NewReader(c)
	p, err := r.ReadResponse()
	if err != nil {
		return ""
	}
	body, _ := r.ReadBody(&p.Head, http1.MaxBody)
	if !p.Close {
		w.t.Errorf("%q: the answer does not close", text)
	}
	if _, err := r.ReadByte(); err == nil {
		w.t.Errorf("%q: more after the answer", text)
	}
	return strings.TrimSpace(fmt.Sprint(p.Status, " ", string(body)))
}

const metricsText = `edge_lb_results_total{service="a",disposition="succeeded"} 1
edge_lb_results_total{service="a",disposition="declined"} 2
edge_lb_results_total{service="a",disposition="aborted"} 3
edge_lb_forwards_total 4
edge_lb_outstanding 5
edge_lb_discovered 6
edge_lb_ejected 7`

var calls = []struct {
	call, want string
	drained    bool // afterwards; unchanged if the request does not set it
	out        string
}{
	{call: "GET /control/ready", want: "200"},
	{call: "GET /control/counters?x=1", want: "200 " + metricsText},
	{call: "POST /control/out-of-service", want: "204"},
	{call: "POST /control/in-service", want: "204"},
	{call: "POST /control/workers/s-1/offline", want: "204"},
	{call: "POST /control/workers/s%2D1/online", want: "204"},
	{call: "POST /control/workers/s-2/offline", want: "404 no host of that id was ever listed"},
	{call: "POST /control/workers/s-stuck/offline", want: "503 not applied"},
	{call: "POST /control/workers/s-1/asleep", want: "404 unknown path"},
	{call: "POST /control/workers//online", want: "404 unknown path"},
	{call: "POST /control/workers/%zz/online", want: "404 unknown path"},
	{call: "GET /-/ready", want: "404 unknown path"},
	{call: "GET /control/out-of-service", want: "405"},
	{call: "GET /control/workers/s-1/offline", want: "405"},
	{call: "POST /control/ready", want: "405"},
	{call: "HEAD /control/counters", want: "405"},
	{call: "GET", want: "400 malformed request line"},
}

// FuzzRequests sends requests in random order, split at random positions, among idle connections.
func FuzzRequests(f *testing.F) {
	for seed := range uint64(3) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 0))
		runInBubble(t, 4, func(w *harness) {
			drained, out := false, false
			for range 40 {
				if rng.IntN(3) == 0 {
					defer w.dial().Close() // stalled
				}
				c := calls[rng.IntN(len(calls))]
				switch {
				case strings.Contains(c.call, "-service") && c.want == "204":
					drained = strings.Contains(c.call, "out-of")
				case strings.Contains(c.call, "1/") && c.want == "204":
					out = strings.Contains(c.call, "offline")
				}
				want := c.want
				if drained && want == "200" {
					want = "503"
				}
				text := c.call + " HTTP/1.1\r\nHost: x\r\n\r\n"
				if got := w.call(w.dial(), text, rng.IntN(len(text))); got != want || w.drained != drained || w.out["s-1"] != out {
					t.Errorf("%s: %q, drained %v, out %v", c.call, got, w.drained, w.out)
				}
			}
		})
	})
}

// TestUnreadableRequests checks the answers to malformed and oversized requests and to an incomplete one.
func TestUnreadableRequests(t *testing.T) {
	runInBubble(t, 4, func(w *harness) {
		for text, want := range map[string]string{
			"GET / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n":                "413 body too large",
			"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n": "431 head too large",
			"GET /control/ready HT":                                          "408",
		} {
			if got := w.call(w.dial(), text, len(text)); got != want {
				t.Errorf("%.30q: %q, want %q", text, got, want)
			}
		}
	})
}
