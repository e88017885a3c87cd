package systemdemo

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/standin/instancelist"
)

const (
	workersPerPage = 2
	listRatePerS   = 47 // RatePerS of CloudApi
	workerCapacity = 8
	workerRunTime  = 20 * time.Millisecond
	workersService = "gaugebook-demo"
	// drainDuration is how long a worker that is to end is shown as draining: the default of DrainMs and a second.
	drainDuration = 4 * time.Second
)

// defaultPages is the number of pages of the worker list where none is given.
const defaultPages = 3

// fakePlatform serves the platform's worker list and the workers, which record the messages that they run.
type fakePlatform struct {
	list        *instancelist.List
	listServer  *endpoint
	listAddress string

	mutex   sync.Mutex
	workers []*fakeWorker
	runs    map[string]int // number of runs by request id
	late    int            // messages that reached a worker that had been draining for too long
}

// fakeWorker is a worker. It is a new incarnation, with a new ID, after each start.
type fakeWorker struct {
	id, address, zone string
	starts            int
	server            *endpoint
	drainingSince     time.Time // zero while it is ready
}

// startFakePlatform starts as many workers as fill the given number of pages of the list.
func startFakePlatform(pages int) (*fakePlatform, error) {
	p := &fakePlatform{runs: map[string]int{},
		list: instancelist.New(instancelist.Options{PageSize: workersPerPage, RatePerS: listRatePerS})}
	for i := range pages * workersPerPage {
		w := &fakeWorker{zone: fmt.Sprintf("zone-%d", i%zones+1)}
		if err := p.start(w, i+1); err != nil {
			p.close()
			return nil, err
		}
		p.workers = append(p.workers, w)
		p.list.Append(w.entry())
	}
	server, err := serve("127.0.0.1:0", p.list)
	if err != nil {
		p.close()
		return nil, err
	}
	p.listServer, p.listAddress = server, server.address()
	return p, nil
}

// start starts a worker as a new incarnation, at its address if it has had one.
func (p *fakePlatform) start(w *fakeWorker, number int) error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	p.mutex.Lock()
	w.starts++
	w.id, w.drainingSince = fmt.Sprintf("worker-%d.%d", number, w.starts), time.Time{}
	id := w.id
	p.mutex.Unlock()
	server, err := serve(address, p.handler(w, id))
	if err != nil {
		return err
	}
	w.server, w.address = server, server.address()
	return nil
}

func (w *fakeWorker) entry() instancelist.Entry {
	return instancelist.Entry{Id: w.id, Backend: workersService, Address: w.address, Zone: w.zone, Revision: "v1", State: instancelist.Ready,
		Capacity: workerCapacity}
}

// drain shows a worker as draining.
func (p *fakePlatform) drain(number int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	w := p.workers[number]
	p.list.Drain(w.id)
	w.drainingSince = time.Now()
}

// stop ends a worker, which stays on the list, and returns its ID.
func (p *fakePlatform) stop(number int) (id string) {
	w := p.workers[number]
	w.server.close()
	return w.id
}

// move moves a worker to another place in the list.
func (p *fakePlatform) move(number int) { p.list.Move(p.workers[number].id) }

// restart starts a worker that has ended, with a new ID at its address, somewhere in the list.
func (p *fakePlatform) restart(number int) error {
	w := p.workers[number]
	if err := p.start(w, number+1); err != nil {
		return err
	}
	p.list.Insert(w.entry())
	return nil
}

// endpoint is an HTTP server with its listener.
type endpoint struct {
	server   *http.Server
	listener net.Listener
}

// serve starts an HTTP server on a loopback address.
func serve(address string, h http.Handler) (*endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the fake platform")
	}
	e := &endpoint{server: &http.Server{Handler: h}, listener: listener}
	go func() { _ = e.server.Serve(listener) }() // ends with ErrServerClosed or the listener's error
	return e, nil
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

// close frees the address at once, also if the server has not begun to accept, and closes all connections.
func (e *endpoint) close() {
	_ = e.listener.Close()
	_ = e.server.Close()
}

func (p *fakePlatform) close() {
	for _, w := range p.workers {
		w.server.close()
	}
	if p.listServer != nil {
		p.listServer.close()
	}
}

// handler returns a handler that simulates an incarnation of a worker: it takes workerRunTime per message, signs the response, and rejects
// messages beyond its capacity and those for another incarnation.
func (p *fakePlatform) handler(worker *fakeWorker, id string) http.Handler {
	slots := make(chan struct{}, workerCapacity)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance-Id", id)
		if r.Method == http.MethodGet {
			return
		}
		request := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", request)
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		p.checkDrain(worker)
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			w.Header().Set("X-Not-Executed", "full")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		p.recordRun(request)
		time.Sleep(workerRunTime)
		w.Header().Set("X-Response-Signature", id+"."+request)
		_, _ = w.Write([]byte("done"))
	})
}

func (p *fakePlatform) recordRun(request string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runs[request]++
}

// checkDrain counts a message that reaches a worker later than DrainMs after the list showed it as draining.
func (p *fakePlatform) checkDrain(w *fakeWorker) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !w.drainingSince.IsZero() && time.Since(w.drainingSince) > drainLimit {
		p.late++
	}
}

func (p *fakePlatform) lateMessages() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.late
}

// counts returns how many messages have run, and how many of them more than once.
func (p *fakePlatform) counts() (ran, again int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, n := range p.runs {
		if n > 1 {
			again++
		}
	}
	return len(p.runs), again
}

// hasRun reports whether a message has run at least once.
func (p *fakePlatform) hasRun(request string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.runs[request] > 0
}
