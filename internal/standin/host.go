package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// HostConfig describes a stand-in host.
type HostConfig struct {
	Name          string
	Zone          string
	Kind          string
	Cell          int
	Slots         int                             // jobs that run concurrently
	Queue         int                             // jobs that may wait for a slot; further ones are rejected without running
	JobDuration   time.Duration                   // duration of a job
	JobDurationOf func(body []byte) time.Duration // duration of a job by its data; overrides JobDuration if set
	BlockUntil    <-chan struct{}                 // if set, jobs run until it is closed
	Size          float64                         // as listed by discovery; 0 for 1
	Result        func(body []byte) []byte
	ID            func(body []byte) string // returns the name of a job in the ledger; nil: its id
	ReportsStarts bool                     // reports when a job starts
	Ledger        *Ledger
	Accepted      func() // if set, called for each accepted job; must not block
	// Dispatcher is the address that callbacks are sent to.
	Dispatcher string
	// Callbacks sends the callbacks; nil for a client of the host's own.
	Callbacks *http.Client
}

// Host accepts jobs by POST, answers 202 and reports results by callback, until Close.
type Host struct {
	HostConfig
	Address string

	listener net.Listener
	server   *http.Server
	client   *http.Client
	ctx      context.Context
	stop     context.CancelFunc
	jobs     sync.WaitGroup
	held     atomic.Int64
	busy     atomic.Int64 // total time in nanoseconds that slots were in use
	slots    chan struct{}
	draining atomic.Bool
	mu       sync.Mutex
	open     map[string]context.CancelFunc
}

// StartHost starts a host on a loopback address.
func StartHost(c HostConfig) (*Host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in host %s: %w", c.Name, err)
	}
	h := &Host{HostConfig: c, Address: l.Addr().String(), listener: l, open: map[string]context.CancelFunc{}}
	h.slots = make(chan struct{}, max(c.Slots, 1))
	h.ctx, h.stop = context.WithCancel(context.Background())
	if h.client = c.Callbacks; h.client == nil {
		h.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/healthy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("DELETE /jobs/{id}", h.cancelJob)
	mux.HandleFunc("POST /sync/", h.sync)
	mux.HandleFunc("POST /", h.acceptJob)
	h.server = &http.Server{Handler: mux}
	go h.server.Serve(l)
	return h, nil
}

// Drain has the host finish its jobs and reject new ones. It does not change the entry in discovery.
func (h *Host) Drain(on bool) { h.draining.Store(on) }

// Held returns the number of jobs that run or wait.
func (h *Host) Held() int { return int(h.held.Load()) }

// Busy returns the total time that slots were in use.
func (h *Host) Busy() time.Duration { return time.Duration(h.busy.Load()) }

// Close stops the host at once: connections are reset and jobs are dropped.
func (h *Host) Close() {
	h.stop()
	h.server.Close()
	h.jobs.Wait()
	if h.HostConfig.Callbacks == nil {
		h.client.CloseIdleConnections()
	}
}

func (h *Host) cancelJob(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	stop := h.open[r.PathValue("id")]
	h.mu.Unlock()
	if stop != nil {
		stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

// acceptJob answers 202 and runs the job, or rejects it without running it.
func (h *Host) acceptJob(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Req-Id")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
	switch {
	case id == "":
		w.WriteHeader(http.StatusNotFound)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case h.draining.Load() || h.held.Add(1) > int64(h.Slots+h.Queue):
		if !h.draining.Load() {
			h.held.Add(-1)
		}
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if h.Accepted != nil {
		h.Accepted()
	}
	ctx, stop := context.WithCancel(h.ctx)
	h.mu.Lock()
	h.open[id] = stop
	h.mu.Unlock()
	h.jobs.Go(func() {
		defer h.held.Add(-1)
		defer func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			delete(h.open, id)
			stop()
		}()
		h.job(ctx, id, body)
	})
	w.WriteHeader(http.StatusAccepted)
}

// job waits for a slot, runs the job and reports the result. A job that is cancelled before it started is reported as
// returned.
func (h *Host) job(ctx context.Context, id string, body []byte) {
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		h.callBack(id, "returned", nil)
		return
	}
	defer func() { <-h.slots }()
	if h.Ledger != nil {
		name := id
		if h.ID != nil {
			name = h.ID(body)
		}
		h.Ledger.Record(name, Run{h.Name, h.Cell})
	}
	if h.ReportsStarts {
		h.jobs.Go(func() { h.callBack(id, "started", nil) })
	}
	job := h.JobDuration
	if h.JobDurationOf != nil {
		job = h.JobDurationOf(body)
	}
	begun := time.Now()
	defer func() { h.busy.Add(int64(time.Since(begun))) }()
	ends := time.After(job)
	if h.BlockUntil != nil {
		ends = nil
	}
	select {
	case <-ends:
	case <-h.BlockUntil:
	case <-ctx.Done():
		h.callBack(id, "lost", nil)
		return
	}
	h.callBack(id, "done", h.result(body))
}

func (h *Host) result(body []byte) []byte {
	if h.Result != nil {
		return h.Result(body)
	}
	return body
}

// sync serves reverse proxies: the response carries the result.
func (h *Host) sync(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case h.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-h.slots }()
	time.Sleep(h.JobDuration)
	w.Write(h.result(body))
}

// callBack sends a callback until it is answered, at most ten times.
func (h *Host) callBack(id, state string, result []byte) {
	call := struct {
		ID     string `json:"id"`
		From   string `json:"from"`
		State  string `json:"state"`
		Result string `json:"result,omitempty"`
	}{id, h.Name, state, string(result)}
	text, err := json.Marshal(call)
	if err != nil {
		return
	}
	for attempt := range 10 {
		r, err := http.NewRequest("POST", "http://"+h.Dispatcher+"/callback", bytes.NewReader(text))
		if err != nil {
			return
		}
		answer, err := h.client.Do(r)
		if err == nil {
			io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			if answer.StatusCode == 200 || answer.StatusCode == 204 || answer.StatusCode == 400 {
				return
			}
		}
		select {
		case <-time.After(time.Duration(attempt+1) * 10 * time.Millisecond):
		case <-h.ctx.Done():
			return
		}
	}
}

// FixedResult returns a function that returns the same n bytes for every job.
func FixedResult(n int) func([]byte) []byte {
	text := []byte(strings.Repeat("0123456789abcdef", n/16+1)[:n])
	return func([]byte) []byte { return text }
}
