package systemdemo

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	workerCount    = 6
	workerCapacity = 8
	workerRunTime  = 20 * time.Millisecond
	workersService = "gaugebook-demo"
)

// fakePlatform serves the platform's worker list and the workers, which record the messages that they run.
type fakePlatform struct {
	servers     []*http.Server
	listAddress string
	entries     []listEntry

	mutex    sync.Mutex
	runs     map[string]int       // number of runs by request id
	firstRun map[string]time.Time // start of the first run by request id
}

// listEntry is a worker in the JSON encoding of the worker list.
type listEntry struct {
	Id, Backend, Address, Zone, Revision, State string
	Capacity, ColdRemainingMs                   int
}

func startFakePlatform() (*fakePlatform, error) {
	p := &fakePlatform{runs: map[string]int{}, firstRun: map[string]time.Time{}}
	for i := range workerCount {
		id := fmt.Sprintf("worker-%d", i+1)
		address, err := p.serve(p.worker(id))
		if err != nil {
			p.close()
			return nil, err
		}
		p.entries = append(p.entries, listEntry{Id: id, Backend: workersService, Address: address,
			Zone: fmt.Sprintf("zone-%d", i%zones+1), Revision: "v1", State: "ready", Capacity: workerCapacity})
	}
	var err error
	p.listAddress, err = p.serve(http.HandlerFunc(p.serveList))
	if err != nil {
		p.close()
	}
	return p, err
}

// serve starts an HTTP server on a free loopback port.
func (p *fakePlatform) serve(h http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for the fake platform")
	}
	server := &http.Server{Handler: h}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (p *fakePlatform) close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
}

func (p *fakePlatform) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": p.entries, "NextPageToken": nil})
}

// worker returns a handler that simulates a worker: it takes workerRunTime per message, signs the response and rejects messages beyond its
// capacity.
func (p *fakePlatform) worker(id string) http.Handler {
	slots := make(chan struct{}, workerCapacity)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance-Id", id)
		if r.Method == http.MethodGet {
			return
		}
		request := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", request)
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
	if p.runs[request]++; p.runs[request] == 1 {
		p.firstRun[request] = time.Now()
	}
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
