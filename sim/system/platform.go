package system

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"liftgauge/internal/standin/instancelist"
)

// Service describes a simulated service and its workers.
type Service struct {
	Name    string
	Workers int
	Rate    float64 // RatePerS, 0 for none; a rate-limited service has a single endpoint, which is not on the worker list
	Run     time.Duration
	// FailEvery makes every FailEvery-th run of a worker fail with 500; 0 for none.
	FailEvery int
	// DuplicateEvery makes a worker send the response to every DuplicateEvery-th run a second time, later; 0 for none.
	DuplicateEvery int
}

// Platform simulates the platform: its worker list and the workers.
type Platform struct {
	world   *World
	list    *instancelist.List
	mu      sync.Mutex
	hosted  []hostedService
	workers []*Worker
	servers []*http.Server
	trouble listTrouble
	random  *rand.Rand
	joined  int // workers that have joined since the start
}

// hostedService is a service that was added, with the address of its first worker.
type hostedService struct {
	Service
	address string
}

// Worker is one incarnation of a worker.
type Worker struct {
	ID, Service, Address string
	platform             *Platform
	service              Service
	zone                 string
	incarnation          int
	server               *http.Server
	slots                chan struct{}
	draining             time.Time // when the list first showed it as draining
	claimed              bool      // a fault is acting on it
	count                int
}

const workerCapacity = 6

func newPlatform(w *World) *Platform {
	return &Platform{world: w, random: rand.New(rand.NewPCG(w.options.Seed, 0x706c6174)),
		list: instancelist.New(instancelist.Options{PageSize: w.options.pageSize(), RatePerS: listRatePerS, Seed: w.options.Seed})}
}

func (p *Platform) listen() error {
	_, err := p.serve(listAddress, p.list)
	return err
}

func (p *Platform) serve(address string, handler http.Handler) (*http.Server, error) {
	host, _, _ := splitAddress(address)
	listener, err := p.world.Net.Host(host).Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, IdleTimeout: 20 * time.Second, ConnContext: withWorkerConnection}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	p.world.running.Go(func() { _ = server.Serve(listener) }) // ends with ErrServerClosed
	return server, nil
}

func (p *Platform) close() {
	p.mu.Lock()
	servers := p.servers
	p.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
}

// Add starts the workers of a service. They are on the list from the beginning.
func (p *Platform) Add(s Service) error {
	for i := range max(s.Workers, 1) {
		p.mu.Lock()
		n := len(p.workers) + 1
		p.mu.Unlock()
		w := &Worker{
			ID: fmt.Sprintf("i-%s-%d", s.Name, i+1), Service: s.Name, Address: hostPort(fmt.Sprintf("10.8.%d.%d", n/250, n%250+1), 8080),
			zone: fmt.Sprintf("zone-%d", n%3+1), platform: p, service: s,
		}
		if err := w.start(); err != nil {
			return err
		}
		if i == 0 {
			p.host(s, w.Address)
		}
		if s.Rate == 0 {
			p.list.Append(w.entry())
		}
	}
	return nil
}

func (p *Platform) host(s Service, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosted = append(p.hosted, hostedService{s, address})
}

// services returns the services that were added.
func (p *Platform) services() []hostedService {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hosted)
}

// Workers returns the workers of a service that have not ended.
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
	if w.draining.IsZero() {
		w.draining = time.Now()
		p.list.Drain(w.ID)
	}
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
	checker.recordReached(id)
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
	connection := connectionOf(r)
	connection.writePending()
	if delay, repeats := w.duplicateDelay(id, count); repeats {
		connection.duplicate(w.platform.world, id, signature, status, delay)
	}
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, "done "+id)
	checker.recordCompletion(m, status, signature, time.Since(begin))
}

func (w *Worker) checkDrain(id string) {
	p := w.platform
	p.mu.Lock()
	draining, excused := w.draining, p.trouble.since(w.draining)
	p.mu.Unlock()
	ch := p.world.Checker
	now := time.Now()
	if draining.IsZero() || now.Sub(draining)-excused <= bounds.Drain() {
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
