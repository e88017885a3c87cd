package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"liftgauge/internal/standin"
	"liftgauge/plan"
	"liftgauge/sim"
)

// VerifyConfig configures liftlab verify.
type VerifyConfig struct {
	Daemon   string
	Seed     uint64
	Cases    int
	Parallel int // cases that run at the same time
	Length   time.Duration
	Days     int // simulations per forecast
	Ramp     bool
	Stderr   io.Writer
}

// Figures are the quantities that are forecast and then measured.
type Figures struct {
	InTime      map[string]float64 `json:"in_time"` // by class
	P50         float64            `json:"p50_ms"`
	P99         float64            `json:"p99_ms"`
	Utilisation float64            `json:"utilisation"`
}

// Case is one randomly generated fleet with its load.
type Case struct {
	Number   int     `json:"case"`
	Boxes    int     `json:"boxes"`
	Rate     float64 `json:"jobs_per_s"`
	Load     float64 `json:"load"` // offered work relative to the capacity of the boxes
	Jobs     int     `json:"jobs"`
	Forecast Figures `json:"forecast"`
	Seen     Figures `json:"seen"`
	Error    float64 `json:"error"`        // the largest relative error
	Of       string  `json:"largest_of"`   // the quantity with the largest error
	P99Error float64 `json:"p99_error"`    // separate, since a few jobs determine it
	Late     float64 `json:"sent_late_ms"` // 99th percentile of the load generator's delay in sending
	// With Ramp: the load relative to the boxes' cores at which the share of jobs in time falls below 0.9.
	Tip, TipSeen float64 `json:",omitempty"`
}

// VerifyReport is the last line of liftlab verify.
type VerifyReport struct {
	Seed     uint64 `json:"seed"`
	Count    int    `json:"cases"`
	Within10 int    `json:"within_10"`
	Within20 int    `json:"within_20"`
	P99In20  int    `json:"p99_within_20"`
	Cases    []Case `json:"all"`
}

// Verify generates random fleets and loads, forecasts each, runs it on loopback with stand-in boxes and the real daemon, and compares the results.
func Verify(ctx context.Context, c VerifyConfig, onResult func(Case)) (*VerifyReport, error) {
	report := &VerifyReport{Seed: c.Seed, Count: c.Cases, Cases: make([]Case, c.Cases)}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(c.Parallel, 1))
	var mu sync.Mutex
	for i := range c.Cases {
		group.Go(func() error {
			result, err := c.runCase(ctx, i)
			if err != nil {
				return fmt.Errorf("case %d: %w", i, err)
			}
			mu.Lock()
			defer mu.Unlock()
			report.Cases[i] = result
			onResult(result)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for _, result := range report.Cases {
		if result.Error <= 0.1 {
			report.Within10++
		}
		if result.Error <= 0.2 {
			report.Within20++
		}
		if result.P99Error <= 0.2 {
			report.P99In20++
		}
	}
	return report, nil
}

// draw generates a random fleet and its load. Boxes are small and jobs slow, so that the noise of the machine does not dominate.
func (c VerifyConfig) draw(i int) (*plan.Fleet, float64, error) {
	rng := rand.New(rand.NewChaCha8([32]byte{byte(c.Seed), byte(c.Seed >> 8), byte(i), byte(i >> 8)}))
	full, slow := 1+rng.IntN(4), rng.IntN(4)
	cores, queue := 1+rng.IntN(3), 2+rng.IntN(5)
	speed := 0.5 + 0.4*rng.Float64()
	mean := time.Duration(40+rng.IntN(80)) * time.Millisecond
	load := 0.35 + 0.75*rng.Float64()
	capacity := (float64(full) + float64(slow)*speed) * float64(cores)
	text := fmt.Sprintf(`
stations: %s: {boxes: {%q: %d, %q: %d}}
network: {local: "200us", jitter: 0.2}
kinds: {%q: {cores: %d, queue: %d, speed: 1}, %q: {cores: %d, queue: %d, speed: %g}}
classes: {
	%q: {aim: "200ms", stretch: 2.5, worth: 2, lateWorth: 0.25, effect: "keyed", mix: 1, work: {mean: %q, spread: 0.5}}
	%q: {aim: "200ms", stretch: 2.5, worth: 10, lateWorth: 0.2, effect: "unsafe", mix: 1, work: {mean: %q, spread: 0.5}}
}
load: {rate: %g, length: %q}
retry: most: 0
`, Zones[0], Kinds[0], full, Kinds[1], slow, Kinds[0], cores, queue, Kinds[1], cores, queue, speed, classNames[0], mean, classNames[1], mean,
		load*capacity/mean.Seconds(), c.Length)
	f, err := plan.Parse("drawn", []byte(text), false)
	return f, load, err
}

func (c VerifyConfig) runCase(ctx context.Context, i int) (Case, error) {
	f, load, err := c.draw(i)
	if err != nil {
		return Case{}, err
	}
	w := f.World(c.Seed<<8+uint64(i), 1)
	result := Case{Number: i, Boxes: len(w.Boxes), Rate: f.Load.Rate, Load: load, Jobs: len(w.Arrivals)}
	result.Forecast = c.forecast(w)
	if result.Seen, result.Late, err = c.runOnLoopback(ctx, w); err != nil {
		return result, err
	}
	compare := func(what string, forecast, seen, floor float64) {
		if e := math.Abs(forecast-seen) / max(seen, floor); e > result.Error {
			result.Error, result.Of = e, what
		}
	}
	for _, name := range classNames {
		compare(name+" in time", result.Forecast.InTime[name], result.Seen.InTime[name], 0.2)
	}
	compare("p50", result.Forecast.P50, result.Seen.P50, 1)
	compare("utilisation", result.Forecast.Utilisation, result.Seen.Utilisation, 0.1)
	if c.Ramp {
		if result.Tip, result.TipSeen, err = c.findTippingLoad(ctx, f, i, load); err != nil {
			return result, err
		}
		compare("the load at which it gives way", result.Tip, result.TipSeen, 0.1)
	}
	result.P99Error = math.Abs(result.Forecast.P99-result.Seen.P99) / max(result.Seen.P99, 1)
	return result, nil
}

// findTippingLoad finds the forecast and the measured load at which the share of jobs in time falls below 0.9, interpolated between steps
// of 0.1.
func (c VerifyConfig) findTippingLoad(ctx context.Context, f *plan.Fleet, i int, load float64) (forecast, seen float64, err error) {
	share := func(x Figures) float64 { return (x.InTime[classNames[0]] + x.InTime[classNames[1]]) / 2 }
	type step struct{ load, forecast, seen float64 }
	var steps []step
	for x := 0.6; x <= 1.41; x += 0.1 {
		w := f.World(c.Seed<<8+uint64(i), x/load)
		s, _, err := c.runOnLoopback(ctx, w)
		if err != nil {
			return 0, 0, err
		}
		steps = append(steps, step{x, share(c.forecast(w)), share(s)})
		if last := steps[len(steps)-1]; last.forecast < 0.85 && last.seen < 0.85 {
			break
		}
	}
	crossing := func(value func(step) float64) float64 {
		for k, s := range steps {
			if value(s) >= 0.9 {
				continue
			}
			if k == 0 {
				return s.load
			}
			before := steps[k-1]
			return before.load + (s.load-before.load)*(value(before)-0.9)/(value(before)-value(s))
		}
		return steps[len(steps)-1].load
	}
	return crossing(func(s step) float64 { return s.forecast }), crossing(func(s step) float64 { return s.seen }), nil
}

// forecast runs the same jobs in the simulator several times, with different seeds of the dispatchers' random choices, and averages the results.
func (c VerifyConfig) forecast(w *sim.World) Figures {
	f := Figures{InTime: map[string]float64{}}
	for day := range max(c.Days, 1) {
		r := sim.Run(w, uint64(day))
		n := float64(max(c.Days, 1))
		all := newHistogram()
		for k, class := range r.Classes {
			f.InTime[w.Classes[k].Name] += float64(class.InTime) / float64(max(class.Offered, 1)) / n
			all.Merge(class.Latency)
		}
		f.P50 += float64(all.ValueAtPercentile(50)) / 1000 / n
		f.P99 += float64(all.ValueAtPercentile(99)) / 1000 / n
		use, cores := 0.0, 0.0
		for b, box := range r.Boxes {
			k := float64(w.Kinds[w.Boxes[b].Kind].Cores)
			use, cores = use+box.Utilisation*k, cores+k
		}
		f.Utilisation += use / cores / n
	}
	return f
}

// runOnLoopback runs the jobs with stand-in boxes and the real daemon. Latencies count from the time at which a job was due to be sent.
func (c VerifyConfig) runOnLoopback(ctx context.Context, w *sim.World) (f Figures, late float64, err error) {
	testbed, err := StartTestbed(TestbedConfig{Hosts: len(w.Boxes), Result: standin.FixedResult(16), ID: jobID, Each: func(i int, h *standin.HostConfig) {
		k := w.Kinds[w.Boxes[i].Kind]
		h.Kind, h.Slots, h.Queue, h.Size, h.Cell = k.Name, k.Slots, k.Queue, k.Speed*float64(k.Cores), w.Boxes[i].Cell
		h.JobDurationOf = func(body []byte) time.Duration {
			_, text, _ := bytes.Cut(body, []byte{' '})
			us, _ := strconv.ParseFloat(string(text), 64)
			return time.Duration(us / k.Speed * float64(time.Microsecond))
		}
	}})
	if err != nil {
		return f, 0, err
	}
	defer testbed.Close()
	p, err := testbed.Daemon(ctx, DaemonConfig{Binary: c.Daemon, MemoryMB: 64, Sockets: 1024, Timeout: 5 * time.Second, Procs: 1, Stderr: c.Stderr,
		Args: []string{"--log-level", "error"}})
	if err != nil {
		return f, 0, err
	}
	defer p.Kill()
	transport := &http.Transport{MaxIdleConnsPerHost: 600}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	latency, inTime, offered := newHistogram(), map[string]int{}, map[string]int{}
	var mu sync.Mutex
	var sendDelays []float64
	var jobs sync.WaitGroup
	start := time.Now().Add(50 * time.Millisecond)
	for n, a := range w.Arrivals {
		select {
		case <-time.After(time.Until(start.Add(a.At))):
		case <-ctx.Done():
			jobs.Wait()
			return f, 0, ctx.Err()
		}
		sendDelay := time.Since(start.Add(a.At))
		jobs.Go(func() {
			class := w.Classes[a.Class]
			status := postHintedJob(client, testbed.Listen, class.Name, fmt.Sprintf("%016x", n+1), a)
			t := time.Since(start.Add(a.At))
			mu.Lock()
			defer mu.Unlock()
			sendDelays = append(sendDelays, float64(sendDelay)/1e6)
			offered[class.Name]++
			if status == 200 {
				latency.RecordValue(max(1, t.Microseconds()))
				if t <= class.TargetLatency+time.Duration(class.RuntimeFactor*a.Work*float64(time.Second)) {
					inTime[class.Name]++
				}
			}
		})
	}
	jobs.Wait()
	elapsed := max(time.Since(start), w.Arrivals[len(w.Arrivals)-1].At)
	f.InTime = map[string]float64{}
	for name, n := range offered {
		f.InTime[name] = float64(inTime[name]) / float64(n)
	}
	f.P50, f.P99 = float64(latency.ValueAtPercentile(50))/1000, float64(latency.ValueAtPercentile(99))/1000
	busy, cores := 0.0, 0
	for i, h := range testbed.Hosts {
		busy += h.Busy().Seconds()
		cores += w.Kinds[w.Boxes[i].Kind].Cores
	}
	f.Utilisation = busy / float64(cores) / elapsed.Seconds()
	slices.Sort(sendDelays)
	return f, stat.Quantile(0.99, stat.Empirical, sendDelays, nil), nil
}

// postHintedJob submits a job of a forecast: its data hold the amount of work, its hint the expected cost.
func postHintedJob(client *http.Client, address, class, id string, a sim.Arrival) int {
	body := id + " " + strconv.FormatFloat(a.Work*1e6, 'f', 0, 64)
	r, err := http.NewRequest("POST", "http://"+address+"/"+class, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Kind", class)
	r.Header.Set("Req-Deadline-Ms", strconv.Itoa(int(a.Timeout/time.Millisecond)))
	if class == classNames[0] {
		r.Header.Set("Idempotency-Key", id+id)
	}
	if a.Hint > 0 {
		r.Header.Set("Req-Cost", strconv.FormatInt(max(a.Hint.Microseconds(), 1), 10))
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
