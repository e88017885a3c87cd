package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// work is one start of work on a message.
type work struct {
	id, key, worker, service string
	path, body               string        // body is a hash
	began, ended             time.Duration // of the record; ended is 0 until the answer is written
	status                   int
}

// arrivals holds what reached the workers.
type arrivals struct {
	mu       sync.Mutex
	runs     []*work
	byID     map[string][]*work
	lastSeen map[string]time.Duration // by message: when it last reached a worker, run or not
	success  time.Duration            // last success of any message
}

func newArrivals() *arrivals {
	return &arrivals{byID: map[string][]*work{}, lastSeen: map[string]time.Duration{}}
}

// service describes the workers of one kind.
type service struct {
	name       string
	count      int
	slots      int
	work       func() time.Duration
	idempotent bool
	fails      func(id string) bool // whether this attempt fails with 500; nil for never
}

// worker is a stand-in for a worker: a sound server by the protocol.
type worker struct {
	service  *service
	platform *platform
	address  string
	zone     string

	mu       sync.Mutex
	id       string // of this start
	draining bool
	server   *http.Server
	slots    chan struct{}
	waiting  int
}

// entry is a worker on the list.
type entry struct {
	ID              string `json:"Id"`
	Backend         string
	Address         string
	Zone            string
	Revision        string
	Capacity        int
	State           string
	ColdRemainingMs int
}

// platform keeps the list of workers, which runs behind, and the workers.
type platform struct {
	record   *record
	arrivals *arrivals
	page     int
	zones    []string
	address  string
	server   *http.Server

	mu      sync.Mutex
	workers []*worker
	entries []entry
	dedupe  map[string]*dedupe // of idempotent services, by message
}

// dedupe is the entry of a message in the table that the workers of an idempotent service share.
type dedupe struct {
	running   bool
	signature string
}

func startPlatform(r *record, page int, zones []string) (*platform, error) {
	p := &platform{record: r, arrivals: newArrivals(), page: page, zones: zones, dedupe: map[string]*dedupe{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	p.server = &http.Server{Handler: http.HandlerFunc(p.serveList)}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// serveList answers GET /instances, page by page, in the order of service and id.
func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	all := make([]entry, 0, len(p.entries))
	zone := r.URL.Query().Get("Zone")
	for _, e := range p.entries {
		if zone == "" || e.Zone == zone {
			all = append(all, e)
		}
	}
	p.mu.Unlock()
	from := 0
	if token := r.URL.Query().Get("PageToken"); token != "" {
		from, _ = strconv.Atoi(strings.TrimPrefix(token, "p-"))
	}
	from = min(from, len(all))
	to := min(from+p.page, len(all))
	var next *string
	if to < len(all) {
		token := fmt.Sprintf("p-%d", to)
		next = &token
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": all[from:to], "NextPageToken": next})
}

// change changes the list half of MaxLagMs later.
func (p *platform) change(f func(entries []entry) []entry) {
	time.AfterFunc(maxLagMs/2*time.Millisecond, func() { p.changeNow(f) })
}

func (p *platform) changeNow(f func(entries []entry) []entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = f(p.entries)
	slices.SortFunc(p.entries, func(a, b entry) int {
		if c := strings.Compare(a.Backend, b.Backend); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
}

func (w *worker) entry(id, state string) entry {
	return entry{ID: id, Backend: w.service.name, Address: w.address, Zone: w.zone, Revision: "v1", Capacity: w.service.slots, State: state}
}

func newInstance() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// addWorkers starts the workers of a service, which are on the list from the beginning.
func (p *platform) addWorkers(s *service) error {
	for i := range s.count {
		w := &worker{service: s, platform: p, zone: p.zones[i%len(p.zones)]}
		if err := w.start("127.0.0.1:0"); err != nil {
			return err
		}
		p.mu.Lock()
		p.workers = append(p.workers, w)
		p.mu.Unlock()
		p.changeNow(func(entries []entry) []entry { return append(entries, w.entry(w.id, "ready")) })
	}
	return nil
}

func (p *platform) of(s *service) (found []*worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.service == s {
			found = append(found, w)
		}
	}
	return found
}

// start starts the worker as a new incarnation.
func (w *worker) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id, w.address, w.draining = newInstance(), listener.Addr().String(), false
	w.slots = make(chan struct{}, w.service.slots)
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 30 * time.Second}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the worker; it stays on the list for some seconds.
func (w *worker) crash(listedFor time.Duration) {
	w.mu.Lock()
	id := w.id
	_ = w.server.Close()
	w.mu.Unlock()
	w.platform.record.add("worker", fmt.Sprintf("%s %s at %s crashes", w.service.name, id, w.address))
	time.AfterFunc(listedFor, func() {
		w.platform.changeNow(func(entries []entry) []entry {
			return slices.DeleteFunc(entries, func(e entry) bool { return e.ID == id })
		})
	})
}

// comeBack starts a crashed worker again, at its address with a new id.
func (w *worker) comeBack() error {
	if err := w.start(w.address); err != nil {
		return err
	}
	w.platform.record.add("worker", fmt.Sprintf("%s %s at %s starts", w.service.name, w.id, w.address))
	listed := w.entry(w.id, "ready")
	w.platform.change(func(entries []entry) []entry { return append(entries, listed) })
	return nil
}

func (p *platform) close() {
	_ = p.server.Close()
	for _, w := range p.workers {
		_ = w.server.Close()
	}
}

// serve answers one request.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id, slots := w.id, w.slots
	w.mu.Unlock()
	rw.Header().Set("X-Instance-Id", id)
	rw.Header().Set("Keep-Alive", "timeout=30")
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	message := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", message)
	p := w.platform
	now := p.record.since()
	p.arrivals.mu.Lock()
	p.arrivals.lastSeen[message] = now
	p.arrivals.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		notRun(rw, http.StatusMisdirectedRequest, "another instance")
		return
	}
	if !w.admit() {
		notRun(rw, http.StatusServiceUnavailable, "full")
		return
	}
	limit := time.Minute
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	select {
	case slots <- struct{}{}:
		w.admitted()
		defer func() { <-slots }()
	case <-r.Context().Done():
		w.admitted()
		return
	case <-deadline.C:
		w.admitted()
		notRun(rw, http.StatusServiceUnavailable, "full")
		return
	}
	w.run(rw, r, message, id, deadline, hashOf(body))
}

// admit counts a request that waits for a slot; a worker queues four times as many as it has slots.
func (w *worker) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= 4*w.service.slots {
		return false
	}
	w.waiting++
	return true
}

func (w *worker) admitted() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

// run works on a message.
func (w *worker) run(rw http.ResponseWriter, r *http.Request, message, id string, deadline *time.Timer, body string) {
	p := w.platform
	if w.service.idempotent {
		p.mu.Lock()
		known := p.dedupe[message]
		if known == nil {
			known = &dedupe{}
			p.dedupe[message] = known
		}
		running, signature := known.running, known.signature
		known.running = true
		p.mu.Unlock()
		if signature != "" {
			rw.Header().Set("X-Response-Signature", signature)
			return
		}
		if running {
			notRun(rw, http.StatusConflict, "running")
			return
		}
		defer func() {
			p.mu.Lock()
			known.running = false
			p.mu.Unlock()
		}()
	}
	began := &work{id: message, key: r.Header.Get("X-Ordering-Key"), worker: id, service: w.service.name, path: r.Method + " " + r.RequestURI, body: body, began: p.record.since()}
	p.arrivals.mu.Lock()
	p.arrivals.runs = append(p.arrivals.runs, began)
	p.arrivals.byID[message] = append(p.arrivals.byID[message], began)
	p.arrivals.mu.Unlock()
	p.record.add("run", fmt.Sprintf("%s begins %s %s key %q body %s", id, message, r.URL.Path, began.key, body))
	status := http.StatusOK
	work := time.NewTimer(w.service.work())
	defer work.Stop()
	select {
	case <-work.C:
		if w.service.fails != nil && w.service.fails(message) {
			status = http.StatusInternalServerError
		}
	case <-deadline.C:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		p.record.add("run", fmt.Sprintf("%s drops %s: the connection closed", id, message))
		return
	}
	if status == http.StatusOK {
		signature := id + "." + message
		rw.Header().Set("X-Response-Signature", signature)
		if w.service.idempotent {
			p.mu.Lock()
			p.dedupe[message].signature = signature
			p.mu.Unlock()
		}
	}
	rw.WriteHeader(status)
	if status == http.StatusOK {
		_, _ = rw.Write([]byte("done"))
	}
	p.arrivals.mu.Lock()
	began.status, began.ended = status, p.record.since()
	if status == http.StatusOK {
		p.arrivals.success = began.ended
	}
	p.arrivals.mu.Unlock()
	p.record.add("run", fmt.Sprintf("%s answers %s with %d", id, message, status))
}

func notRun(rw http.ResponseWriter, status int, why string) {
	rw.Header().Set("X-Not-Executed", why)
	rw.WriteHeader(status)
}
