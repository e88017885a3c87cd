package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"liftgauge/internal/standin"
)

// GearmanConfig configures liftlab gearman.
type GearmanConfig struct {
	Daemon          string
	Seed            uint64
	Jobs            int // of the mixed part
	JobsPerPair     int // jobs of each pair in the measured part
	Clients         int
	Workers         int
	Hosts           int
	Drops           float64 // share of runs during which a worker closes its connection
	DisconnectShare float64 // share of Gearman clients' jobs whose connection is closed early
	Memory          int
	Idle            int // workers of the large part; 0 leaves it out
	Queued          int // jobs of the large part
	Stderr          io.Writer
}

// Pair is the measurement of one of the four combinations of a client's protocol and the protocol of the host or worker that runs its job.
type Pair struct {
	Name      string  `json:"pair"`
	Jobs      int64   `json:"jobs"`
	Served    int64   `json:"served"`
	Rate      float64 `json:"jobs_per_s"`
	CPUMicros float64 `json:"cpu_us_per_job"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
}

// GearmanReport is the last line of liftlab gearman.
type GearmanReport struct {
	Seed       uint64 `json:"seed"`
	Jobs       int64  `json:"jobs"`
	Answers    int64  `json:"answers"`
	Served     int64  `json:"served"`
	Failed     int64  `json:"failed"`
	Left       int64  `json:"left"`       // their client disconnected before a response
	Drops      int64  `json:"drops"`      // jobs during which a worker closed its connection
	Duplicates int64  `json:"duplicates"` // runs of a warning beyond one, or of a reading outside its cell
	Lost       int64  `json:"lost"`       // jobs without a response although their client waited
	Twice      int64  `json:"two_answers"`
	Pairs      []Pair `json:"pairs"`
	Large      *Large `json:"large,omitempty"`
	Memory     int    `json:"memory_mb"`
}

// Large is the measurement with many workers and many queued jobs at once.
type Large struct {
	Workers  int     `json:"workers"`
	Queued   int     `json:"queued"`
	PeakMB   float64 `json:"peak_resident_mb"`
	IdleMB   float64 `json:"workers_only_mb"`
	Within   bool    `json:"within_memory"`
	Accepted int     `json:"accepted"`
}

// writeSettings writes a settings file for a run into a folder and returns its path.
func writeSettings(dir, listen, more string) (string, error) {
	path := filepath.Join(dir, "liftgauge.cue")
	return path, os.WriteFile(path, []byte("gearman: {\n\tlisten: \""+listen+"\"\n"+more+"}\n"), 0o600)
}

// pairRoutes separate the four pairs: each class and each function runs in one pool only.
const pairRoutes = `	functions: {
		"gauge-reading": pools: ["workers"]
		"send-warning": pools: ["hosts"]
	}
	classes: {
		"gauge-reading": pools: ["workers"]
		"send-warning": pools: ["hosts"]
	}
`

// mixedRoutes let every job run anywhere.
const mixedRoutes = `	classes: {
		"gauge-reading": pools: ["hosts", "workers"]
		"send-warning": pools: ["hosts", "workers"]
	}
`

var classNames = [...]string{"gauge-reading", "send-warning"}

// gearmanTestbed is a daemon with HTTP hosts and Gearman workers.
type gearmanTestbed struct {
	*Testbed
	process *Process
	address string
	workers []*standin.GearmanWorker
	dir     string
}

func (w *gearmanTestbed) close() {
	for _, x := range w.workers {
		x.Close()
	}
	if w.process != nil {
		w.process.Kill()
	}
	w.Testbed.Close()
	os.RemoveAll(w.dir)
}

// jobID returns the id with which a job's data begin and under which the ledger lists the job.
func jobID(data []byte) string {
	id, _, _ := bytes.Cut(data, []byte{' '})
	return string(id)
}

func (c GearmanConfig) startTestbed(ctx context.Context, routes string, job time.Duration, drop func(string) bool) (*gearmanTestbed, error) {
	testbed, err := StartTestbed(TestbedConfig{Hosts: c.Hosts, Slots: 4, Queue: 8, Job: job, Result: standin.FixedResult(16), ID: jobID})
	if err != nil {
		return nil, err
	}
	w := &gearmanTestbed{Testbed: testbed}
	if w.dir, err = os.MkdirTemp("", "liftlab-"); err == nil {
		w.address, err = freeAddress()
	}
	var file string
	if err == nil {
		file, err = writeSettings(w.dir, w.address, routes)
	}
	if err == nil {
		w.process, err = testbed.Daemon(ctx, DaemonConfig{Binary: c.Daemon, MemoryMB: c.Memory, Sockets: 1024, Timeout: 5 * time.Second, Settings: file,
			Procs: 1, Stderr: c.Stderr, Args: []string{"--log-level", "error"}})
	}
	if err != nil {
		w.close()
		return nil, err
	}
	for i := range c.Workers {
		w.workers = append(w.workers, standin.StartGearmanWorker(standin.GearmanWorkerConfig{Address: w.address, Client: fmt.Sprint("station-", i/2),
			Functions: classNames[:], JobDuration: job, Result: standin.FixedResult(16), Ledger: &testbed.Ledger, ID: jobID, DropConnection: drop}))
	}
	time.Sleep(300 * time.Millisecond) // until the workers are registered; nothing is measured yet
	return w, nil
}

// postJob submits a job over HTTP and returns the status of the response, 0 if there is no complete one.
func postJob(client *http.Client, address, class, id string, body []byte, timeout time.Duration) int {
	r, err := http.NewRequest("POST", "http://"+address+"/"+class, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Kind", class)
	r.Header.Set("Req-Deadline-Ms", strconv.Itoa(int(timeout/time.Millisecond)))
	if class == classNames[0] {
		r.Header.Set("Idempotency-Key", id+id)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Gearman runs the mixed part, in which it counts runs and responses of each job, and then measures the four pairs and the large part.
func Gearman(ctx context.Context, c GearmanConfig) (*GearmanReport, error) {
	report := &GearmanReport{Seed: c.Seed, Memory: c.Memory}
	if err := c.runMixed(ctx, report); err != nil {
		return nil, err
	}
	if err := c.measurePairs(ctx, report); err != nil {
		return nil, err
	}
	if c.Idle > 0 {
		if err := c.measureLarge(ctx, report); err != nil {
			return nil, err
		}
	}
	return report, nil
}

// runMixed runs clients of both protocols, some of which disconnect early, together with hosts and with workers some of which close their
// connection during a job.
func (c GearmanConfig) runMixed(ctx context.Context, report *GearmanReport) error {
	var dropping sync.Mutex
	rng := rand.New(rand.NewPCG(c.Seed, 99))
	var drops atomic.Int64
	w, err := c.startTestbed(ctx, mixedRoutes, 5*time.Millisecond, func(string) bool {
		dropping.Lock()
		defer dropping.Unlock()
		if rng.Float64() < c.Drops {
			drops.Add(1)
			return true
		}
		return false
	})
	if err != nil {
		return err
	}
	defer w.close()
	type result struct {
		id, class    string
		responses    int
		status       int
		disconnected bool
	}
	results := make([]result, c.Jobs)
	var next atomic.Int64
	var clients sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: c.Clients}
	defer transport.CloseIdleConnections()
	for i := range c.Clients {
		rng := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		clients.Go(func() {
			var g *standin.GearmanClient
			defer func() {
				if g != nil {
					g.Close()
				}
			}()
			for ctx.Err() == nil {
				n := int(next.Add(1) - 1)
				if n >= c.Jobs {
					return
				}
				id := fmt.Sprintf("%016x", c.Seed<<32|uint64(n))
				class := classNames[rng.IntN(2)]
				data := append([]byte(id+" "), make([]byte, rng.IntN(2000))...)
				results[n].id, results[n].class = id, class
				if i%2 == 0 {
					if results[n].status = postJob(&http.Client{Transport: transport}, w.Listen, class, id, data, 5*time.Second); results[n].status != 0 {
						results[n].responses++
					}
					continue
				}
				if g == nil {
					var err error
					if g, err = standin.StartGearmanClient(w.address); err != nil {
						return
					}
				}
				if results[n].disconnected = rng.Float64() < c.DisconnectShare; results[n].disconnected {
					g := g
					time.AfterFunc(time.Duration(rng.IntN(8))*time.Millisecond, g.Close)
				}
				out := g.Do(class, id, data)
				if results[n].status = out.Status; out.Status != 0 {
					results[n].responses++
				}
				if results[n].disconnected {
					g = nil
				}
			}
		})
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond) // for jobs that still run after their client disconnected
	report.Drops = drops.Load()
	for _, r := range results {
		report.Jobs++
		report.Answers += int64(r.responses)
		switch {
		case r.status == 200:
			report.Served++
		case r.status != 0:
			report.Failed++
		case r.disconnected:
			report.Left++
		default:
			report.Lost++
		}
		if r.responses > 1 {
			report.Twice++
		}
		runs := w.Ledger.Runs(r.id)
		if r.class == classNames[1] {
			report.Duplicates += int64(max(0, len(runs)-1))
			continue
		}
		for _, run := range runs[min(1, len(runs)):] {
			if run != runs[0] && (run.Cell != runs[0].Cell || run.Cell < 0 && run.Host != runs[0].Host) {
				report.Duplicates++
			}
		}
	}
	return ctx.Err()
}

// measurePairs measures the pairs one after another in one daemon, each with the same number of clients.
func (c GearmanConfig) measurePairs(ctx context.Context, report *GearmanReport) error {
	w, err := c.startTestbed(ctx, pairRoutes, time.Millisecond, nil)
	if err != nil {
		return err
	}
	defer w.close()
	transport := &http.Transport{MaxIdleConnsPerHost: c.Clients}
	defer transport.CloseIdleConnections()
	data := standin.FixedResult(200)(nil)
	for _, pair := range []struct{ name, front, class string }{
		{"http->http", "http", "send-warning"}, {"http->gearman", "http", "gauge-reading"},
		{"gearman->http", "gearman", "send-warning"}, {"gearman->gearman", "gearman", "gauge-reading"},
	} {
		m := Pair{Name: pair.name}
		latency := newHistogram()
		var mu sync.Mutex
		run := func(jobs int) (served int64) {
			var next, done atomic.Int64
			var clients sync.WaitGroup
			for i := range c.Clients {
				clients.Go(func() {
					var g *standin.GearmanClient
					if pair.front == "gearman" {
						var err error
						if g, err = standin.StartGearmanClient(w.address); err != nil {
							return
						}
						defer g.Close()
					}
					client := &http.Client{Transport: transport}
					for ctx.Err() == nil {
						n := next.Add(1)
						if int(n) > jobs {
							return
						}
						id := fmt.Sprintf("%08x%08x", i, rand.Uint32())
						body := append([]byte(id+" "), data...)
						start, status := time.Now(), 0
						if g != nil {
							status = g.Do(pair.class, "", body).Status
						} else {
							status = postJob(client, w.Listen, pair.class, id, body, 5*time.Second)
						}
						if status == 200 {
							done.Add(1)
							mu.Lock()
							latency.RecordValue(max(1, time.Since(start).Microseconds()))
							mu.Unlock()
						}
						w.Ledger.Forget(id)
					}
				})
			}
			clients.Wait()
			return done.Load()
		}
		run(c.JobsPerPair / 4) // warm-up, in which the daemon gets to know the hosts' speeds
		latency.Reset()
		before, err := w.process.Usage()
		if err != nil {
			return err
		}
		start := time.Now()
		m.Served = run(c.JobsPerPair)
		elapsed := time.Since(start)
		after, err := w.process.Usage()
		if err != nil {
			return err
		}
		m.Jobs = int64(c.JobsPerPair)
		m.Rate = math.Round(float64(m.Served) / elapsed.Seconds())
		m.CPUMicros = math.Round(float64((after.CPU-before.CPU).Microseconds())/float64(max(m.Jobs, 1))*10) / 10
		m.P50, m.P99 = float64(latency.ValueAtPercentile(50))/1000, float64(latency.ValueAtPercentile(99))/1000
		report.Pairs = append(report.Pairs, m)
	}
	return ctx.Err()
}

// measureLarge connects many sleeping workers and queues many background jobs that none of them can run.
func (c GearmanConfig) measureLarge(ctx context.Context, report *GearmanReport) error {
	big := c
	big.Workers, big.Hosts = 0, 1
	testbed, err := StartTestbed(TestbedConfig{Hosts: 1, Slots: 1, Job: time.Millisecond})
	if err != nil {
		return err
	}
	w := &gearmanTestbed{Testbed: testbed}
	defer w.close()
	if w.dir, err = os.MkdirTemp("", "liftlab-"); err != nil {
		return err
	}
	if w.address, err = freeAddress(); err != nil {
		return err
	}
	routes := "\tfunctions: {\n\t\t\"gauge-reading\": pools: [\"workers\"]\n\t\t\"send-warning\": pools: [\"workers\"]\n\t}\n" +
		fmt.Sprintf("\tlimits: {connections: %d, openJobs: %d, jobsPerConnection: %d}\n", c.Idle+8, c.Queued, c.Queued)
	file, err := writeSettings(w.dir, w.address, routes)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	fmt.Fprintf(f, "sockets: %d\n", c.Idle+128)
	f.Close()
	if w.process, err = testbed.Daemon(ctx, DaemonConfig{Binary: c.Daemon, MemoryMB: c.Memory, Sockets: c.Idle + 128, Timeout: 5 * time.Second,
		Settings: file, Procs: 1, Stderr: c.Stderr, Args: []string{"--log-level", "info"}}); err != nil {
		return err
	}
	for i := range c.Idle {
		w.workers = append(w.workers, standin.StartGearmanWorker(standin.GearmanWorkerConfig{Address: w.address,
			Client: fmt.Sprint("station-", i), Functions: classNames[:1]}))
	}
	time.Sleep(2 * time.Second)
	idle, err := w.process.Usage()
	if err != nil {
		return err
	}
	client, err := standin.DialGearman(w.address)
	if err != nil {
		return err
	}
	defer client.Close()
	accepted := make(chan int)
	go func() { // each submission gets one response packet
		n := 0
		for range c.Queued {
			f, err := client.Next()
			if err != nil {
				break
			}
			if f.Type == 8 {
				n++
			}
		}
		accepted <- n
	}()
	data := string(standin.FixedResult(1024)(nil))
	for range c.Queued { // no worker is registered for send-warning: all jobs stay queued
		if err := client.Send(18, "send-warning", "", data); err != nil {
			return fmt.Errorf("submission: %w", err)
		}
	}
	large := &Large{Workers: c.Idle, Queued: c.Queued, Accepted: <-accepted, IdleMB: math.Round(float64(idle.Resident)/(1<<20)*10) / 10}
	time.Sleep(2 * time.Second)
	after, err := w.process.Usage()
	if err != nil {
		return err
	}
	large.PeakMB = math.Round(float64(after.Peak)/(1<<20)*10) / 10
	large.Within = after.Peak <= int64(c.Memory)<<20
	report.Large = large
	return nil
}
