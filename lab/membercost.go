package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"liftgauge/internal/gossip"
	"liftgauge/member"
)

// MemberCostConfig configures a measurement of the memory and CPU that membership costs one daemon.
type MemberCostConfig struct {
	Daemon  string
	Members int // of the fleet including the daemon; the others run in this process
	Length  time.Duration
	Flood   int // invalid datagrams per second in the last part
	Seed    uint64
	Output  io.Writer
}

// MemberCost is the result of the measurement.
type MemberCost struct {
	Members int              `json:"members"`
	Parts   []MemberCostPart `json:"parts"`
}

// MemberCostPart is one part of the measurement. CPU is in percent of one core.
type MemberCostPart struct {
	What       string  `json:"what"`
	Resident   float64 `json:"resident_mb"`
	CPU        float64 `json:"cpu_percent"`
	Jobs       int64   `json:"jobs,omitempty"`
	Unserved   int64   `json:"not_served,omitempty"`
	P50        float64 `json:"p50_ms,omitempty"`
	P99        float64 `json:"p99_ms,omitempty"`
	Spoilt     int64   `json:"spoilt_sent,omitempty"`
	InView     int     `json:"in_view,omitempty"`
	AfterStart float64 `json:"in_touch_after_s,omitempty"`
}

// RunMemberCost measures a daemon without membership and as a member of a fleet, each idle and under load, and last under load while it
// receives invalid datagrams.
func RunMemberCost(ctx context.Context, c MemberCostConfig) (*MemberCost, error) {
	if c.Members < 2 || c.Members > 1000 {
		return nil, fmt.Errorf("members: want 2 to 1000, have %d", c.Members)
	}
	dir, err := os.MkdirTemp("", "liftlab-members-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var seeds []string
	var sockets []*gossip.UDP
	for range c.Members - 1 {
		u, err := gossip.Listen(ctx, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer u.Close()
		sockets = append(sockets, u)
		if len(seeds) < 5 {
			seeds = append(seeds, u.Address())
		}
	}
	free, err := gossip.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listen := free.Address()
	free.Close()
	text, err := json.Marshal(map[string]any{"membership": map[string]any{"listen": listen, "cluster": "lab", "seeds": seeds}})
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(dir, "settings.cue")
	if err := os.WriteFile(settings, text, 0o600); err != nil { // JSON is CUE
		return nil, err
	}
	out := &MemberCost{Members: c.Members}
	for _, part := range []string{"off", "on"} {
		if err := c.measurePart(ctx, out, part, settings, listen, seeds, sockets); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// measurePart measures one daemon, without membership ("off") or in a fleet ("on").
func (c MemberCostConfig) measurePart(ctx context.Context, out *MemberCost, part, settings, listen string, seeds []string, sockets []*gossip.UDP) error {
	w, err := StartTestbed(TestbedConfig{Hosts: 6, Slots: 4, Queue: 8, Job: 10 * time.Millisecond})
	if err != nil {
		return err
	}
	defer w.Close()
	control, err := freeAddress()
	if err != nil {
		return err
	}
	d := DaemonConfig{Binary: c.Daemon, MemoryMB: 64, Sockets: 384, Timeout: 5 * time.Second, Control: true, ControlAt: control, Stderr: io.Discard, Name: "m0000", Fleet: c.Members, Procs: 1}
	var fleet errgroup.Group
	fleetCtx, stop := context.WithCancel(ctx)
	defer fleet.Wait()
	defer stop()
	if part == "on" {
		d.Settings = settings
		c.runPeers(fleetCtx, &fleet, seeds, sockets)
	}
	began := time.Now()
	p, err := w.Daemon(ctx, d)
	if err != nil {
		return err
	}
	defer p.Kill()
	first := MemberCostPart{What: part + ", idle"}
	if part == "on" {
		for first.InView < c.Members {
			if first.InView, err = membersInView(ctx, control); err != nil {
				return err
			}
			if time.Since(began) > 5*time.Minute {
				return fmt.Errorf("the fleet did not form within 5 minutes: %d in the daemon's view", first.InView)
			}
			if err := sleep(ctx, 500*time.Millisecond); err != nil {
				return err
			}
		}
		first.AfterStart = time.Since(began).Seconds()
		if err := sleep(ctx, 10*time.Second); err != nil { // until the load of forming the fleet has passed
			return err
		}
	}
	names := []string{part + ", idle", part + ", under load"}
	if part == "on" && c.Flood > 0 {
		names = append(names, "on, under load and spoilt datagrams")
	}
	for i, name := range names {
		m := MemberCostPart{What: name, InView: first.InView}
		if i == 0 {
			m.AfterStart = first.AfterStart
		}
		var load *Load
		if i > 0 {
			load = StartLoad(ctx, LoadConfig{Address: w.Listen, Clients: 8, Body: []byte("level 3"), Timeout: 5 * time.Second, Pause: 10 * time.Millisecond, Seed: c.Seed})
			if err := sleep(ctx, time.Second); err != nil {
				load.Stop()
				return err
			}
			load.Take()
		}
		var flood errgroup.Group
		flooding, end := context.WithCancel(ctx)
		if i == 2 {
			flood.Go(func() (err error) {
				m.Spoilt, err = sendInvalid(flooding, listen, c.Flood, c.Seed)
				return err
			})
		}
		before, err := p.Usage()
		start := time.Now()
		interrupted := sleep(ctx, c.Length)
		after, err2 := p.Usage()
		elapsed := time.Since(start)
		end()
		err = errors.Join(err, interrupted, err2, flood.Wait())
		if load != nil {
			load.Stop()
			t := load.Take()
			m.Jobs, m.Unserved, m.P50, m.P99 = t.Total(), t.Total()-t.Served, t.LatencyMillis(50), t.LatencyMillis(99)
		}
		if err != nil {
			return err
		}
		m.Resident, m.CPU = float64(after.Resident)/(1<<20), 100*(after.CPU-before.CPU).Seconds()/elapsed.Seconds()
		out.Parts = append(out.Parts, m)
		fmt.Fprintf(c.Output, "%-36s %6.1f MB %5.1f%% of a core  %6d jobs, %d not served, p50 %.1f ms, p99 %.1f ms\n", m.What, m.Resident, m.CPU, m.Jobs, m.Unserved, m.P50, m.P99)
	}
	return nil
}

// runPeers runs the other members of the fleet in this process, each on a separate socket.
func (c MemberCostConfig) runPeers(ctx context.Context, fleet *errgroup.Group, seeds []string, sockets []*gossip.UDP) {
	start := time.Now()
	for i, u := range sockets {
		fleet.Go(func() error {
			codec, err := gossip.NewCodec("lab")
			if err != nil {
				return err
			}
			self := member.Peer{ID: member.ID{Name: fmt.Sprintf("m%04d", i+1), Incarnation: 1}, Address: u.Address(), Zone: i % 5, Number: i + 1}
			return gossip.New(gossip.Config{Member: member.Config{Self: self, Seeds: seeds, FleetSize: c.Members}.WithDefaults(0), Codec: codec, Transport: u, Seed: c.Seed + uint64(i),
				OnPositionChange: func(gossip.FleetPosition) {}, Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return time.Since(start) }}).Run(ctx)
		})
	}
}

// membersInView returns the number of members in the daemon's view, 0 while the daemon is not in touch with most of them.
func membersInView(ctx context.Context, control string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+control+"/control/members", nil)
	if err != nil {
		return 0, err
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var s gossip.Status
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil || !s.InTouch {
		return 0, err
	}
	return len(s.Members), nil
}

// sendInvalid sends datagrams of random length at the given rate that do not belong to the protocol: up to 64 random bytes, followed by zeros.
func sendInvalid(ctx context.Context, to string, rate int, seed uint64) (sent int64, err error) {
	c, err := net.Dial("udp4", to)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	rng := rand.New(rand.NewPCG(seed, 41))
	b := make([]byte, member.MaxBytes+200)
	for start := time.Now(); ctx.Err() == nil; {
		for ; float64(sent) < time.Since(start).Seconds()*float64(rate); sent++ {
			n := 1 + rng.IntN(len(b))
			for i := range min(n, 64) {
				b[i] = byte(rng.Uint32())
			}
			if _, err := c.Write(b[:n]); err != nil && ctx.Err() == nil {
				return sent, err
			}
		}
		sleep(ctx, time.Millisecond)
	}
	return sent, nil
}

// sleep waits for a duration, or returns the context's error when that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
