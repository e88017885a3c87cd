package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"liftgauge/internal/standin"
)

// DemoConfig configures liftlab demo.
type DemoConfig struct {
	Daemon   string
	Hosts    int
	Workers  int
	Clients  int
	Duration time.Duration // 0: until the context ends
	Capture  string        // a folder for captured load; empty for none
	Out      io.Writer
	Stderr   io.Writer
	Live     bool // overwrite the status line in place
}

// Demo starts hosts, workers, discovery, some load and the daemon on loopback and prints a status line each second. From
// time to time a host drains, a host dies and restarts, or a worker closes its connection during a job.
func Demo(ctx context.Context, c DemoConfig) error {
	if c.Duration > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, c.Duration)
		defer stop()
	}
	g := GearmanConfig{Daemon: c.Daemon, Workers: c.Workers, Hosts: c.Hosts, Memory: 64, Stderr: c.Stderr}
	var drop atomic.Bool
	routes := mixedRoutes
	if c.Capture != "" {
		routes += "}\ncapture: {\n\tfolder: " + strconv.Quote(c.Capture) + "\n"
	}
	w, err := g.startTestbed(ctx, routes, 20*time.Millisecond, func(string) bool { return drop.Swap(false) })
	if err != nil {
		return err
	}
	defer w.close()
	fmt.Fprintf(c.Out, "%d hosts, %d Gearman workers, discovery and liftgauge (process %d) run on loopback. Try:\n", c.Hosts, c.Workers, w.process.cmd.Process.Pid)
	fmt.Fprintf(c.Out, "  curl -i http://%s/gauge-reading -H 'Req-Id: mine-1' -H 'Idempotency-Key: k1' -d 'level 3'\n", w.Listen)
	fmt.Fprintf(c.Out, "  bash -c 'exec 3<>/dev/tcp/%s; echo status >&3; sed /^[.]/q <&3'\n", strings.Replace(w.address, ":", "/", 1))
	fmt.Fprintln(c.Out, "Ctrl-C ends it.")

	load := StartLoad(ctx, LoadConfig{Address: w.Listen, Clients: c.Clients, Body: standin.FixedResult(200)(nil), Timeout: 5 * time.Second,
		Pause: 30 * time.Millisecond, Seed: 1, Done: func(id, _ string, _ int) { w.Ledger.Forget(id) }})
	defer load.Stop()
	var served, unserved atomic.Int64
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range c.Clients {
		rng := rand.New(rand.NewPCG(2, uint64(i)))
		clients.Go(func() {
			client, err := standin.StartGearmanClient(w.address)
			if err != nil {
				return
			}
			defer client.Close()
			for ctx.Err() == nil {
				id := fmt.Sprintf("%016x", rng.Uint64())
				if client.Do(classNames[rng.IntN(2)], id, []byte(id+" level")).Status == 200 {
					served.Add(1)
				} else {
					unserved.Add(1)
				}
				w.Ledger.Forget(id)
				select {
				case <-time.After(30 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
	ticks := time.NewTicker(time.Second)
	defer ticks.Stop()
	event, lost := "", -1
	for second := 1; ; second++ {
		select {
		case <-ticks.C:
		case <-w.process.Exited():
			return fmt.Errorf("the daemon ended: %v", w.process.err)
		case <-ctx.Done():
			fmt.Fprintln(c.Out, "\nending")
			load.Stop()
			clients.Wait()
			return w.process.Stop()
		}
		t := load.Take()
		u, err := w.process.Usage()
		if err != nil {
			return err
		}
		switch n := len(w.Hosts); {
		case second%12 == 3:
			h := w.Hosts[second%n]
			m := h.Member()
			m.Phase = "DRAINING"
			w.Discovery.Set(m)
			h.Drain(true)
			event = h.Name + " drains"
		case second%12 == 6:
			h := w.Hosts[(second-3)%n]
			h.Drain(false)
			w.Discovery.Set(h.Member())
			event = h.Name + " serves again"
		case second%12 == 8:
			drop.Store(true)
			event = "a worker drops at its job"
		case second%12 == 10 && n > 1:
			lost = second % n
			w.Hosts[lost].Close()
			event = w.Hosts[lost].Name + " dies"
		case second%12 == 0 && lost >= 0:
			old := w.Hosts[lost]
			h, err := standin.StartHost(old.HostConfig)
			if err != nil {
				return err
			}
			w.Hosts[lost] = h
			m := h.Member()
			m.UpSince = time.Now().UnixMilli()
			w.Discovery.Set(m)
			event, lost = h.Name+" is back, cold", -1
		}
		line := fmt.Sprintf("%4d s  HTTP %4d served %2d not, p99 %5.1f ms   Gearman %4d served %2d not   %4.1f MB  %s", second, t.Served,
			t.Refused+t.Failed+t.Broken, t.LatencyMillis(99), served.Swap(0), unserved.Swap(0), float64(u.Resident)/(1<<20), event)
		if c.Live {
			fmt.Fprintf(c.Out, "\r\x1b[K%s", line)
		} else {
			fmt.Fprintln(c.Out, line)
		}
	}
}

// Terminal reports whether a file is a terminal.
func Terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
