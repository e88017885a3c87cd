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

// HostConfig is what a stand-in host is like.
type HostConfig struct {
	Name          string
	Zone          string
	Kind          string
	Cell          int
	Slots         int                             // jobs that run side by side
	Queue         int                             // jobs that may wait for a slot; one more is turned away unseen
	JobDuration   time.Duration                   // how long a job runs
	JobDurationOf func(body []byte) time.Duration // the same by its data, if it is set
	BlockUntil    <-chan struct{}                 // jobs run until it is closed, if it is set
	Size          float64                         // as discovery lists it; 0 for 1
	Result        func(body []byte) []byte
	ID            func(body []byte) string // finds the ledger's name of a job; nil for its id
	ReportsStarts bool                     // it tells of starts
	Ledger        *Ledger
	Accepted      func() // told of each job that is handed in, if it is set; must not block
	// Dispatcher is where clients connect and where call-backs go.
	Dispatcher string
	// Callbacks carries call-backs; nil for a client of the host's own.
	Callbacks *http.Client
}

// Host is a box that takes jobs by POST, answers 202 and calls back. It stops at Close.
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
	busy     atomic.Int64 // nanoseconds that slots were taken
	slots    chan struct{}
	drains   atomic.Bool
	mu       sync.Mutex
	open     map[string]context.CancelFunc
}

// StartHost listens on loopback and takes jobs from then on.
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
	mux.HandleFunc("DELETE /jobs/{id}", h.giveUp)
	mux.HandleFunc("POST /sync/", h.sync)
	mux.HandleFunc("POST /", h.take)
	h.server = &http.Server{Handler: mux}
	go h.server.Serve(l)
	return h, nil
}

// Drain has the host finish what it has and turn away what is new; discovery is told apart.
func (h *Host) Drain(on bool) { h.drains.Store(on) }

// Held is how many jobs run or wait here.
func (h *Host) Held() int { return int(h.held.Load()) }

// Busy is for how long slots were taken, added up.
func (h *Host) Busy() time.Duration { return time.Duration(h.busy.Load()) }

// Close ends the host at once: its connections are reset, its jobs forgotten.
func (h *Host) Close() {
	h.stop()
	h.server.Close()
	h.jobs.Wait()
	if h.HostConfig.Callbacks == nil {
		h.client.CloseIdleConnections()
	}
}

func (h *Host) giveUp(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	stop := h.open[r.PathValue("id")]
	h.mu.Unlock()
	if stop != nil {
		stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

// take answers 202 and runs the job, or turns it away unseen.
func (h *Host) take(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Req-Id")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
	switch {
	case id == "":
		w.WriteHeader(http.StatusNotFound)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case h.drains.Load() || h.held.Add(1) > int64(h.Slots+h.Queue):
		if !h.drains.Load() {
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

// job waits for a slot, runs and tells the result. A job given up before it began is handed back.
func (h *Host) job(ctx context.Context, id string, body []byte) {
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		h.tell(id, "returned", nil)
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
		h.jobs.Go(func() { h.tell(id, "started", nil) })
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
		h.tell(id, "lost", nil)
		return
	}
	h.tell(id, "done", h.result(body))
}

func (h *Host) result(body []byte) []byte {
	if h.Result != nil {
		return h.Result(body)
	}
	return body
}

// sync is for proxies: the answer itself carries the result.
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

// tell calls back until an answer comes, at most ten times.
func (h *Host) tell(id, state string, result []byte) {
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
	for try := range 10 {
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
		case <-time.After(time.Duration(try+1) * 10 * time.Millisecond):
		case <-h.ctx.Done():
			return
		}
	}
}

// FixedResult returns a maker of results of so many bytes.
func FixedResult(n int) func([]byte) []byte {
	text := []byte(strings.Repeat("0123456789abcdef", n/16+1)[:n])
	return func([]byte) []byte { return text }
}
