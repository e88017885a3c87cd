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

// MemberCostConfig is a measurement of what membership costs one daemon.
type MemberCostConfig struct {
	Daemon  string
	Members int // of the fleet, the daemon among them; the others run in this process
	Length  time.Duration
	Flood   int // spoilt datagrams a second, in the last part
	Seed    uint64
	Output  io.Writer
}

// MemberCost is what came of it.
type MemberCost struct {
	Members int            `json:"members"`
	Parts   []MemberCostOf `json:"parts"`
}

// MemberCostOf is one part of the measurement. A share of CPU is one of a core.
type MemberCostOf struct {
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

// RunMemberCost measures a daemon without membership, with it in a fleet, and the same while spoilt datagrams come; idle and under load.
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
	own := free.Address()
	free.Close()
	text, err := json.Marshal(map[string]any{"membership": map[string]any{"listen": own, "cluster": "lab", "seeds": seeds}})
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(dir, "settings.cue")
	if err := os.WriteFile(settings, text, 0o600); err != nil { // JSON is CUE
		return nil, err
	}
	out := &MemberCost{Members: c.Members}
	for _, part := range []string{"off", "on"} {
		if err := c.part(ctx, out, part, settings, own, seeds, sockets); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// part measures one daemon, without or with a fleet round it.
func (c MemberCostConfig) part(ctx context.Context, out *MemberCost, part, settings, own string, seeds []string, sockets []*gossip.UDP) error {
	w, err := StartWorld(WorldConfig{Hosts: 6, Slots: 4, Queue: 8, Job: 10 * time.Millisecond})
	if err != nil {
		return err
	}
	defer w.Close()
	control, err := freeAddress()
	if err != nil {
		return err
	}
	d := DaemonConfig{Binary: c.Daemon, MemoryMB: 64, Sockets: 384, Patience: 5 * time.Second, Control: true, ControlAt: control, Stderr: io.Discard, Name: "m0000", Fleet: c.Members, Procs: 1}
	var fleet errgroup.Group
	fleetCtx, stop := context.WithCancel(ctx)
	defer fleet.Wait()
	defer stop()
	if part == "on" {
		d.Settings = settings
		c.others(fleetCtx, &fleet, seeds, sockets)
	}
	began := time.Now()
	p, err := w.Daemon(ctx, d)
	if err != nil {
		return err
	}
	defer p.Kill()
	first := MemberCostOf{What: part + ", idle"}
	if part == "on" {
		for first.InView < c.Members {
			if first.InView, err = inTouch(ctx, control); err != nil {
				return err
			}
			if time.Since(began) > 5*time.Minute {
				return fmt.Errorf("the fleet did not form within 5 minutes: %d in the daemon's view", first.InView)
			}
			if err := pause(ctx, 500*time.Millisecond); err != nil {
				return err
			}
		}
		first.AfterStart = time.Since(began).Seconds()
		if err := pause(ctx, 10*time.Second); err != nil { // what its forming left behind
			return err
		}
	}
	whats := []string{part + ", idle", part + ", under load"}
	if part == "on" && c.Flood > 0 {
		whats = append(whats, "on, under load and spoilt datagrams")
	}
	for i, what := range whats {
		m := MemberCostOf{What: what, InView: first.InView}
		if i == 0 {
			m.AfterStart = first.AfterStart
		}
		var load *Load
		if i > 0 {
			load = StartLoad(ctx, LoadConfig{Address: w.Listen, Clients: 8, Body: []byte("level 3"), Patience: 5 * time.Second, Pause: 10 * time.Millisecond, Seed: c.Seed})
			if err := pause(ctx, time.Second); err != nil {
				load.Stop()
				return err
			}
			load.Take()
		}
		var flood errgroup.Group
		flooding, end := context.WithCancel(ctx)
		if i == 2 {
			flood.Go(func() (err error) {
				m.Spoilt, err = spoil(flooding, own, c.Flood, c.Seed)
				return err
			})
		}
		before, err := p.Usage()
		start := time.Now()
		slept := pause(ctx, c.Length)
		after, err2 := p.Usage()
		took := time.Since(start)
		end()
		err = errors.Join(err, slept, err2, flood.Wait())
		if load != nil {
			load.Stop()
			t := load.Take()
			m.Jobs, m.Unserved, m.P50, m.P99 = t.All(), t.All()-t.Served, t.Millis(50), t.Millis(99)
		}
		if err != nil {
			return err
		}
		m.Resident, m.CPU = float64(after.Resident)/(1<<20), 100*(after.CPU-before.CPU).Seconds()/took.Seconds()
		out.Parts = append(out.Parts, m)
		fmt.Fprintf(c.Output, "%-36s %6.1f MB %5.1f%% of a core  %6d jobs, %d not served, p50 %.1f ms, p99 %.1f ms\n", m.What, m.Resident, m.CPU, m.Jobs, m.Unserved, m.P50, m.P99)
	}
	return nil
}

// others runs the rest of the fleet in this process, each member on a socket of its own.
func (c MemberCostConfig) others(ctx context.Context, fleet *errgroup.Group, seeds []string, sockets []*gossip.UDP) {
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

// inTouch is how many members the daemon's view has, 0 while it is not in touch with most of them.
func inTouch(ctx context.Context, control string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+control+"/control/members", nil)
	if err != nil {
		return 0, err
	}
	r.Close = true
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	var s gossip.Status
	if err := json.NewDecoder(answer.Body).Decode(&s); err != nil || !s.InTouch {
		return 0, err
	}
	return len(s.Members), nil
}

// spoil sends so many datagrams a second that are none of the protocol's: noise, and heads with noise after them.
func spoil(ctx context.Context, to string, rate int, seed uint64) (sent int64, err error) {
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
		pause(ctx, time.Millisecond)
	}
	return sent, nil
}

// pause lets time pass, or says that the context has ended.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
