package delivery

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
)

// network connects an engine to fake workers through pipes, inside a synctest bubble.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dials     map[string]int
}

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}, dials: map[string]int{}}
}

func (n *network) dial(_ context.Context, _, address string) (net.Conn, error) {
	address = strings.TrimSuffix(address, ":80") // net/http adds it to an address without a port
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials[address]++
	l := n.listeners[address]
	if l == nil {
		return nil, errors.New("connection refused")
	}
	here, there := net.Pipe()
	l.conns <- there
	return here, nil
}

func (n *network) dialed(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

func (n *network) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve starts a worker that answers with the handler.
func (n *network) serve(t *testing.T, address string, handler http.HandlerFunc) {
	server := &http.Server{Handler: handler}
	l := n.listen(address)
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
}

// serveRaw starts a worker that handles each connection with the given function.
func (n *network) serveRaw(t *testing.T, address string, handle func(c net.Conn, r *bufio.Reader)) {
	l := n.listen(address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go handle(c, bufio.NewReader(c))
		}
	}()
	t.Cleanup(func() { l.Close() })
}

// succeed responds as a worker that has run the message.
func succeed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "sig-"+r.Header.Get("X-Request-Id"))
}

// refuse responds as a worker that has not run the message.
func refuse(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(code)
	}
}

// harness is an engine with its network, inside a synctest bubble.
type harness struct {
	*network
	t                *testing.T
	engine           *Engine
	allowRateLimited atomic.Bool
	state            State

	resultsLock sync.Mutex
	results     map[string]Result
}

// result returns the result of a job, if it has ended.
func (b *harness) result(id string) (r Result, ok bool) {
	b.resultsLock.Lock()
	defer b.resultsLock.Unlock()
	r, ok = b.results[id]
	return r, ok
}

// outcome returns the outcome of a job; 0 if it has not ended.
func (b *harness) outcome(id string) protocol.Outcome {
	r, _ := b.result(id)
	return r.Outcome
}

func inBubble(t *testing.T, test func(t *testing.T, b *harness)) {
	synctest.Test(t, func(t *testing.T) {
		b := &harness{network: newNetwork(), t: t, results: map[string]Result{}}
		b.allowRateLimited.Store(true)
		b.engine = New(Options{Zone: "a", Zones: []string{"a", "b"}, Seed: 1, Dial: b.dial, AllowRateLimited: b.allowRateLimited.Load})
		b.state = State{Number: 0, Dispatchers: 1, InZone: 1, Services: []Service{{Name: "orders"}}, ListVersion: protocol.ItemVersion{Term: 1}}
		defer b.engine.Close()
		defer time.Sleep(time.Second) // on the bubble's clock, so that the fakes finish, after a failure too
		test(t, b)
	})
}

// publishWorkers updates the engine with workers whose address is their id, unless given.
func (b *harness) publishWorkers(workers ...protocol.Worker) {
	for i := range workers {
		w := &workers[i]
		if w.Address == "" {
			w.Address = w.ID
		}
		if w.Service == "" {
			w.Service = "orders"
		}
		if w.Capacity == 0 {
			w.Capacity = 2
		}
		if w.Zone == "" {
			w.Zone = "a"
		}
	}
	b.state.Workers = workers
	b.state.ListVersion.Number++
	b.engine.Update(b.state)
	synctest.Wait()
}

func message(id string) *protocol.Deliver {
	return &protocol.Deliver{ID: "0001-" + id, RequestID: id, Method: "POST", Host: "shop.example", URI: "/a/b?c=%20d", Body: []byte("body of " + id)}
}

// submit starts a job; its result is stored in results.
func (b *harness) submit(m *protocol.Deliver) {
	b.engine.Submit(Job{Message: m, Service: "orders", Timeout: 500 * time.Millisecond, Done: func(r Result) {
		b.resultsLock.Lock()
		defer b.resultsLock.Unlock()
		if _, twice := b.results[m.RequestID]; twice {
			b.t.Errorf("%s ended twice", m.RequestID)
		}
		b.results[m.RequestID] = r
	}})
	synctest.Wait()
}

// deliver runs a job to its end.
func (b *harness) deliver(m *protocol.Deliver) Result {
	b.t.Helper()
	b.submit(m)
	for range 100 {
		if r, ok := b.result(m.RequestID); ok {
			return r
		}
		time.Sleep(50 * time.Millisecond) // the bubble's clock
		synctest.Wait()
	}
	b.t.Fatalf("%s has not ended", m.RequestID)
	return Result{}
}
