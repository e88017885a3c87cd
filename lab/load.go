package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadConfig configures a closed loop of clients: each sends its next job after the response to the one before.
type LoadConfig struct {
	Address string
	Path    string // prefix of the class's name in the URL path
	Clients int
	Body    []byte
	Timeout time.Duration // deadline sent with each job
	Pause   time.Duration // of a client after each response
	Seed    uint64
	Done    func(id, class string, status int) // may be nil
}

// Tally counts jobs by outcome.
type Tally struct {
	Served, Refused, Failed, Broken int64 // broken: no complete response
	Latency                         *hdrhistogram.Histogram
}

// Total is the number of jobs.
func (t *Tally) Total() int64 { return t.Served + t.Refused + t.Failed + t.Broken }

// LatencyMillis is a percentile of the served jobs' latency in milliseconds.
func (t *Tally) LatencyMillis(percentile float64) float64 {
	return float64(t.Latency.ValueAtPercentile(percentile)) / 1000
}

// Load is a running closed loop.
type Load struct {
	LoadConfig
	served, refused, failed, broken atomic.Int64
	mu                              sync.Mutex
	latency                         *hdrhistogram.Histogram // microseconds
	clients                         sync.WaitGroup
	stop                            context.CancelFunc
	transport                       *http.Transport
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// StartLoad starts the clients.
func StartLoad(ctx context.Context, c LoadConfig) *Load {
	l := &Load{LoadConfig: c, latency: newHistogram(),
		transport: &http.Transport{MaxIdleConnsPerHost: c.Clients, MaxConnsPerHost: c.Clients}}
	ctx, l.stop = context.WithCancel(ctx)
	for i := range c.Clients {
		rng := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		l.clients.Go(func() { l.client(ctx, rng) })
	}
	return l
}

func (l *Load) client(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: l.transport}
	names := [...]string{"gauge-reading", "send-warning"}
	for ctx.Err() == nil {
		id := fmt.Sprintf("%016x", rng.Uint64())
		class := names[rng.IntN(len(names))]
		// Without the loop's context: its end must not look like a client that disconnects.
		r, err := http.NewRequest("POST", "http://"+l.Address+l.Path+"/"+class, bytes.NewReader(l.Body))
		if err != nil {
			return
		}
		r.Header.Set("Req-Id", id)
		r.Header.Set("Req-Kind", class)
		r.Header.Set("Req-Deadline-Ms", strconv.Itoa(int(l.Timeout/time.Millisecond)))
		if class == names[0] {
			r.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", rng.Uint64()))
		}
		status, start := 0, time.Now()
		response, err := client.Do(r)
		if err == nil {
			status = response.StatusCode
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		switch {
		case err != nil:
			status = 0
			l.broken.Add(1)
		case status == 200:
			l.served.Add(1)
			l.mu.Lock()
			l.latency.RecordValue(max(1, time.Since(start).Microseconds()))
			l.mu.Unlock()
		case status == 429 || status == 503:
			l.refused.Add(1)
		default:
			l.failed.Add(1)
		}
		if l.Done != nil {
			l.Done(id, class, status)
		}
		pause := l.Pause
		if status != 200 { // clients back off after an error
			pause = max(pause, 5*time.Millisecond)
		}
		if pause > 0 {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
	}
}

// Take returns the outcomes since the last Take.
func (l *Load) Take() Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Tally{l.served.Swap(0), l.refused.Swap(0), l.failed.Swap(0), l.broken.Swap(0), l.latency}
	l.latency = newHistogram()
	return t
}

// Stop ends the loop after each client has finished its current job.
func (l *Load) Stop() {
	l.stop()
	l.clients.Wait()
	l.transport.CloseIdleConnections()
}
