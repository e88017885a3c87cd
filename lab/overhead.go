package lab

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"liftgauge/internal/standin"
)

// OverheadConfig configures liftlab overhead, which compares the daemon with a plain reverse proxy in front of the same hosts.
type OverheadConfig struct {
	Daemon  string // the binary
	Memory  []int  // limits to try, in MB
	Bodies  []int  // bytes
	Result  int    // bytes; -1 sends the body back
	Hosts   int
	Job     time.Duration
	Clients int
	Sockets int
	Timeout time.Duration
	Warm    time.Duration
	Length  time.Duration // of each measurement
	Rounds  int
	Capture bool // measure with capture on as well
	Stderr  io.Writer
}

// Measured is one measurement of one program.
type Measured struct {
	Program   string  `json:"program"`
	MemoryMB  int     `json:"memory_mb,omitempty"`
	Body      int     `json:"body_bytes"`
	Rate      float64 `json:"jobs_per_s"`
	CPUMicros float64 `json:"cpu_us_per_job"` // of served jobs and refused ones alike
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	PeakMB    float64 `json:"peak_resident_mb"`
	IdleMB    float64 `json:"idle_resident_mb"`
	Served    int64   `json:"served"`
	Refused   int64   `json:"refused"`
	Failed    int64   `json:"failed"`
	Broken    int64   `json:"broken"`
	Within    bool    `json:"within_memory"`
}

// OverheadReport is the last line of liftlab overhead.
type OverheadReport struct {
	Hosts    int        `json:"hosts"`
	JobMs    float64    `json:"job_ms"`
	Clients  int        `json:"clients"`
	Result   int        `json:"result_bytes"`
	Sockets  int        `json:"sockets"`
	Seconds  float64    `json:"seconds_each"`
	Runs     []Measured `json:"runs"`
	AllUnder bool       `json:"all_within_memory"`
}

// Overhead runs the measurements one after another: in each round the proxy and then the daemon at each limit, so that
// all of a round run under similar conditions of the machine. Both programs run with GOMAXPROCS=1.
func Overhead(ctx context.Context, c OverheadConfig, onResult func(Measured)) (*OverheadReport, error) {
	report := &OverheadReport{Hosts: c.Hosts, JobMs: float64(c.Job) / 1e6, Clients: c.Clients, Result: c.Result,
		Sockets: c.Sockets, Seconds: c.Length.Seconds(), AllUnder: true}
	for range c.Rounds {
		for _, body := range c.Bodies {
			for _, mb := range append([]int{0}, c.Memory...) {
				for _, capture := range []bool{false, true} {
					if capture && (!c.Capture || mb == 0) {
						continue
					}
					m, err := c.measure(ctx, mb, body, capture)
					if err != nil {
						return nil, err
					}
					report.Runs = append(report.Runs, m)
					report.AllUnder = report.AllUnder && m.Within
					onResult(m)
				}
			}
		}
	}
	return report, nil
}

// measure makes one measurement: of the daemon with a memory limit of mb, or of the proxy if mb is 0.
func (c OverheadConfig) measure(ctx context.Context, mb, body int, capture bool) (m Measured, err error) {
	m = Measured{Program: "liftgauge", MemoryMB: mb, Body: body}
	result := func(b []byte) []byte { return b }
	if c.Result >= 0 {
		result = standin.FixedResult(c.Result)
	}
	testbed, err := StartTestbed(TestbedConfig{Hosts: c.Hosts, Slots: 64, Queue: 64, Job: c.Job, Result: result})
	if err != nil {
		return m, err
	}
	defer testbed.Close()
	path, settings := "", ""
	if capture {
		m.Program = "with capture"
		dir, err := os.MkdirTemp("", "liftlab-")
		if err != nil {
			return m, err
		}
		defer os.RemoveAll(dir)
		settings = filepath.Join(dir, "liftgauge.cue")
		if err := os.WriteFile(settings, []byte("capture: folder: \""+dir+"\"\n"), 0o600); err != nil {
			return m, err
		}
	}
	var p *Process
	if mb == 0 {
		m.Program, path = "reverse-proxy", "/sync"
		var hosts []string
		for _, h := range testbed.Hosts {
			hosts = append(hosts, h.Address)
		}
		self, err := os.Executable()
		if err != nil {
			return m, err
		}
		p, err = startProcess(ctx, self, []string{"proxy", "--listen", testbed.Listen, "--hosts", strings.Join(hosts, ",")}, nil, nil, 1, "http://"+testbed.Listen+"/-/ready", "", c.Stderr)
		if err != nil {
			return m, err
		}
	} else if p, err = testbed.Daemon(ctx, DaemonConfig{Binary: c.Daemon, MemoryMB: mb, Sockets: c.Sockets, Timeout: c.Timeout,
		Procs: 1, Stderr: c.Stderr, Settings: settings}); err != nil {
		return m, err
	}
	defer p.Kill()
	idle, err := p.Usage()
	if err != nil {
		return m, err
	}
	load := StartLoad(ctx, LoadConfig{Address: testbed.Listen, Path: path, Clients: c.Clients, Body: standin.FixedResult(body)(nil),
		Timeout: c.Timeout, Seed: 1, Done: func(id, _ string, _ int) { testbed.Ledger.Forget(id) }})
	defer load.Stop()
	wait := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-p.exited:
			return fmt.Errorf("%s ended under load: %v", m.Program, p.err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := wait(c.Warm); err != nil {
		return m, err
	}
	load.Take()
	before, err := p.Usage()
	if err != nil {
		return m, err
	}
	start := time.Now()
	if err := wait(c.Length); err != nil {
		return m, err
	}
	t, elapsed := load.Take(), time.Since(start)
	after, err := p.Usage()
	if err != nil {
		return m, err
	}
	round := func(x float64, unit float64) float64 { return math.Round(x/unit) * unit }
	m.Rate = round(float64(t.Served)/elapsed.Seconds(), 1)
	m.CPUMicros = math.Round(float64((after.CPU-before.CPU).Microseconds())/float64(max(t.Total(), 1))*10) / 10
	m.P50, m.P99 = t.LatencyMillis(50), t.LatencyMillis(99)
	m.PeakMB, m.IdleMB = math.Round(float64(after.Peak)/(1<<20)*10)/10, math.Round(float64(idle.Resident)/(1<<20)*10)/10
	m.Served, m.Refused, m.Failed, m.Broken = t.Served, t.Refused, t.Failed, t.Broken
	m.Within = mb == 0 || after.Peak <= int64(mb)<<20
	return m, nil
}

// Proxy serves a plain round-robin reverse proxy, the baseline of the measurements, until the context ends.
func Proxy(ctx context.Context, listen string, hosts []string) error {
	var turn atomic.Uint64
	var targets []*url.URL
	for _, h := range hosts {
		targets = append(targets, &url.URL{Scheme: "http", Host: h})
	}
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(targets[turn.Add(1)%uint64(len(targets))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/ready", func(w http.ResponseWriter, _ *http.Request) {})
	mux.Handle("/", proxy)
	server := &http.Server{Addr: listen, Handler: mux}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
