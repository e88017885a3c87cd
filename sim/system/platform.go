package system

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Service describes a simulated service and its workers.
type Service struct {
	Name    string
	Workers int
	Rate    float64 // RatePerS, 0 for none; a rate-limited service has a single endpoint, which is not on the worker list
	Run     time.Duration
	// FailEvery makes every FailEvery-th run of a worker fail with 500; 0 for none.
	FailEvery int
}

// Platform simulates the platform: its worker list and the workers.
type Platform struct {
	world   *World
	mu      sync.Mutex
	workers []*Worker
	servers []*http.Server
	down    bool
}

// Worker is one incarnation of a worker.
type Worker struct {
	ID, Service, Address string
	platform             *Platform
	service              Service
	slots                chan struct{}
	draining             time.Time // when the list first showed it as draining
	removed              bool
	count                int
}

const workerCapacity = 6

func newPlatform(w *World) *Platform { return &Platform{world: w} }

func (p *Platform) listen() error {
	return p.serve(listAddress, http.HandlerFunc(p.list))
}

func (p *Platform) serve(address string, handler http.Handler) error {
	host, _, _ := splitAddress(address)
	listener, err := p.world.Net.Host(host).Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, IdleTimeout: 20 * time.Second}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	p.world.running.Go(func() { _ = server.Serve(listener) }) // ends with ErrServerClosed
	return nil
}

func (p *Platform) close() {
	p.mu.Lock()
	servers := p.servers
	p.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
}

// Add starts the workers of a service.
func (p *Platform) Add(s Service) error {
	for i := range max(s.Workers, 1) {
		p.mu.Lock()
		n := len(p.workers) + 1
		w := &Worker{
			ID: fmt.Sprintf("i-%s-%d", s.Name, i+1), Service: s.Name, Address: hostPort(fmt.Sprintf("10.8.%d.%d", n/250, n%250+1), 8080), platform: p,
			service: s, slots: make(chan struct{}, workerCapacity),
		}
		p.workers = append(p.workers, w)
		p.mu.Unlock()
		if err := p.serve(w.Address, w); err != nil {
			return err
		}
	}
	return nil
}

// Workers returns all workers of a service.
func (p *Platform) Workers(service string) []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*Worker
	for _, w := range p.workers {
		if w.Service == service {
			found = append(found, w)
		}
	}
	return found
}

// Drain makes the list show a worker as draining.
func (p *Platform) Drain(w *Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.draining = time.Now()
}

// SetDown sets whether requests for the worker list fail with 500.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// list answers GET /instances.
func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	type instance struct {
		Id, Backend, Address, Zone, Revision, State string
		Capacity, ColdRemainingMs                   int
	}
	answer := struct {
		Instances     []instance
		NextPageToken *string
	}{Instances: []instance{}}
	for i, worker := range p.workers {
		if worker.service.Rate > 0 || worker.removed {
			continue
		}
		state := "ready"
		if !worker.draining.IsZero() {
			state = "draining"
		}
		answer.Instances = append(answer.Instances, instance{Id: worker.ID, Backend: worker.Service, Address: worker.Address,
			Zone: fmt.Sprintf("zone-%d", i%3+1), Revision: "v1", State: state, Capacity: workerCapacity})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// ServeHTTP runs one request as a worker does, and records it with the checker.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Instance-Id", w.ID)
	if r.Method == http.MethodGet {
		rw.WriteHeader(http.StatusOK)
		return
	}
	rw.Header().Set("X-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	checker := w.platform.world.Checker
	checker.recordArrival(w.Service, w.service.Rate)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.checkDrain(id)
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	default:
		rw.Header().Set("X-Not-Executed", "full")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	begin := time.Now()
	m := checker.recordStart(id, w.Service, r.RequestURI, r.Header.Get("X-Ordering-Key"), string(body))
	if m == nil {
		return
	}
	run := w.service.Run/2 + time.Duration(hash(id)%uint64(w.service.Run+1))
	if !w.simulateRun(r, run) {
		return // the caller disconnected: the run is abandoned
	}
	status, count := w.outcome()
	signature := fmt.Sprintf("%s.%d", id, hash(w.ID+strconv.Itoa(count)))
	if status == http.StatusOK {
		rw.Header().Set("X-Response-Signature", signature)
	}
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, "done "+id)
	checker.recordCompletion(m, status, signature, time.Since(begin))
}

func (w *Worker) checkDrain(id string) {
	w.platform.mu.Lock()
	draining := w.draining
	w.platform.mu.Unlock()
	ch := w.platform.world.Checker
	now := time.Now()
	if draining.IsZero() || now.Sub(draining) <= bounds.Drain() {
		return
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.noFaultBetween(draining.Add(-bounds.Contact()), now) {
		ch.addViolation("DRAIN", "%s got %s %v after the list showed it draining", w.ID, id, now.Sub(draining))
	}
}

// simulateRun waits for the duration of a run. It returns false if the connection closes meanwhile.
func (w *Worker) simulateRun(r *http.Request, run time.Duration) bool {
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// outcome counts a run and returns its status.
func (w *Worker) outcome() (status, count int) {
	w.platform.mu.Lock()
	defer w.platform.mu.Unlock()
	w.count++
	if w.service.FailEvery > 0 && w.count%w.service.FailEvery == 0 {
		return http.StatusInternalServerError, w.count
	}
	return http.StatusOK, w.count
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, s)
	return h.Sum64()
}
