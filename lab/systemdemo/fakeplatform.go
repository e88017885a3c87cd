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
	workers        = 6
	workerCapacity = 8
	workerRun      = 20 * time.Millisecond
	workersService = "gaugebook-demo"
)

// standIns are the platform's list of workers, and the workers, which count what they run.
type standIns struct {
	servers []*http.Server
	list    string // address
	entries []listEntry

	mutex sync.Mutex
	runs  map[string]int       // by request id
	first map[string]time.Time // when each began first
}

type listEntry struct {
	Id, Backend, Address, Zone, Revision, State string
	Capacity, ColdRemainingMs                   int
}

func startStandIns() (*standIns, error) {
	s := &standIns{runs: map[string]int{}, first: map[string]time.Time{}}
	for i := range workers {
		id := fmt.Sprintf("worker-%d", i+1)
		address, err := s.serve(s.worker(id))
		if err != nil {
			s.close()
			return nil, err
		}
		s.entries = append(s.entries, listEntry{Id: id, Backend: workersService, Address: address,
			Zone: fmt.Sprintf("zone-%d", i%zones+1), Revision: "v1", State: "ready", Capacity: workerCapacity})
	}
	var err error
	s.list, err = s.serve(http.HandlerFunc(s.serveList))
	if err != nil {
		s.close()
	}
	return s, err
}

// serve serves on a free port of the loopback.
func (s *standIns) serve(h http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *standIns) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

func (s *standIns) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": s.entries, "NextPageToken": nil})
}

// worker runs each message for a moment and stamps it.
func (s *standIns) worker(id string) http.Handler {
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
		s.began(request)
		time.Sleep(workerRun)
		w.Header().Set("X-Response-Signature", id+"."+request)
		_, _ = w.Write([]byte("done"))
	})
}

func (s *standIns) began(request string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runs[request]++; s.runs[request] == 1 {
		s.first[request] = time.Now()
	}
}

// counts returns how many messages have run, and how many of them more than once.
func (s *standIns) counts() (ran, again int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, n := range s.runs {
		if n > 1 {
			again++
		}
	}
	return len(s.runs), again
}

// hasRun tells whether a message has run.
func (s *standIns) hasRun(request string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[request] > 0
}
