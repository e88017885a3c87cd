package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// entry is a worker on the platform's list.
type entry struct {
	Id, Backend, Address, Zone, Revision, State string
	Capacity, ColdRemainingMs                   int
}

// run is one run of a message at a worker.
type run struct {
	id, key, uri, worker string
	began, ended         time.Time
	status               int
	stamp                string
}

// world is the platform's list and the workers.
type world struct {
	record *record
	list   string

	mu      sync.Mutex
	workers []*worker
	runs    []*run
	byID    map[string][]*run
}

// worker is one incarnation of a worker.
type worker struct {
	world    *world
	entry    entry
	listed   bool
	server   *http.Server
	slots    chan struct{}
	work     func(id string, attempt int) (time.Duration, int) // how long a run takes, and its status; 0 for none
	listener net.Listener
}

func newWorld(r *record) (*world, error) {
	w := &world{record: r, byID: map[string][]*run{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.list = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(w.serveList)}
	go func() { _ = server.Serve(listener) }()
	return w, nil
}

func (w *world) serveList(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	entries := []entry{}
	for _, one := range w.workers {
		if one.listed && (r.URL.Query().Get("Zone") == "" || r.URL.Query().Get("Zone") == one.entry.Zone) {
			entries = append(entries, one.entry)
		}
	}
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"Instances": entries, "NextPageToken": nil})
}

// addWorker starts a worker; listed says whether it is on the platform's list.
func (w *world) addWorker(id, service, zone string, capacity int, listed bool, work func(id string, attempt int) (time.Duration, int)) (*worker, error) {
	one := &worker{world: w, listed: listed, slots: make(chan struct{}, capacity), work: work,
		entry: entry{Id: id, Backend: service, Zone: zone, Revision: "v1", State: "ready", Capacity: capacity}}
	if err := one.open("127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.workers = append(w.workers, one)
	w.mu.Unlock()
	return one, nil
}

func (one *worker) open(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	one.entry.Address = listener.Addr().String()
	one.listener = listener
	one.server = &http.Server{Handler: http.HandlerFunc(one.serve), IdleTimeout: 5 * time.Second}
	go func() { _ = one.server.Serve(listener) }()
	return nil
}

// serve handles a request of a dispatcher as PROTOCOL says.
func (one *worker) serve(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out.Header().Set("Keep-Alive", "timeout=5")
	out.Header().Set("X-Instance-Id", one.entry.Id)
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != one.entry.Id {
		out.Header().Set("X-Not-Executed", "another instance")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case one.slots <- struct{}{}:
		defer func() { <-one.slots }()
	default:
		out.Header().Set("X-Not-Executed", "full")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w := one.world
	this := &run{id: id, key: r.Header.Get("X-Ordering-Key"), uri: r.RequestURI, worker: one.entry.Id, began: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, this)
	w.byID[id] = append(w.byID[id], this)
	attempt := len(w.byID[id])
	w.mu.Unlock()
	w.record.note("worker %s begins %s %s key %q, run %d, %d bytes", one.entry.Id, id, r.RequestURI, this.key, attempt, len(body))
	takes, status := one.work(id, attempt)
	select {
	case <-time.After(takes):
	case <-r.Context().Done():
		w.note(this, -1, "")
		return
	}
	if status == 0 { // silence
		<-r.Context().Done()
		w.note(this, -1, "")
		return
	}
	stamp := ""
	if status < 300 {
		stamp = fmt.Sprintf("%s.%d", id, attempt)
		out.Header().Set("X-Response-Signature", stamp)
	}
	w.note(this, status, stamp)
	out.WriteHeader(status)
	_, _ = out.Write([]byte("done"))
}

func (w *world) note(this *run, status int, stamp string) {
	w.mu.Lock()
	this.ended, this.status, this.stamp = time.Now(), status, stamp
	w.mu.Unlock()
	w.record.note("worker %s ends %s: %d %s", this.worker, this.id, status, stamp)
}

// runsOf returns copies of the runs of a message.
func (w *world) runsOf(id string) (runs []run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range w.byID[id] {
		runs = append(runs, *one)
	}
	return runs
}

// total counts runs so far.
func (w *world) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}
