package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"liftgauge/internal/config"
	"liftgauge/internal/control"
	"liftgauge/internal/handover"
	"liftgauge/internal/invariant"
	"liftgauge/internal/inventory"
	"liftgauge/internal/north"
	"liftgauge/internal/owner"
	"liftgauge/internal/south"
)

// How a planned end goes, counted from SIGTERM. New connections go on coming for up to 0.4 s, and clients use those that
// they have for as long as these are open: in a rolling restart the dispatcher before may not be back yet, and then they
// have nobody else. SIGKILL comes after 3.7 s at the earliest; what is not answered by then has failed, or is lost.
const (
	overlap    = 1700 * time.Millisecond
	lastCall   = 2 * time.Second
	leastEnd   = 2100 * time.Millisecond
	lastAnswer = 3200 * time.Millisecond
	endTick    = 10 * time.Millisecond
)

// Descriptors that are neither clients' nor hosts' connections: the standard ones, the listener, discovery, the
// runtime's own, and some to spare.
const ownSockets = 14

// callers is how many operators may be connected at a time: their places are their own, whatever clients hold.
func callers(c *config.Config) int {
	if c.Control == "" {
		return 0
	}
	return min(max(c.Sockets/32, 4), 16)
}

// room shares out the descriptors. A client holds its connection for as long as its job runs, a host only until it has
// taken the job.
func room(c *config.Config) (northConns, southConns int) {
	own := ownSockets
	if n := callers(c); n > 0 {
		own += n + 2 // the listener, and one caller who is to be let in or turned away
	}
	southConns = max((c.Sockets-own)/4, 1)
	return c.Sockets - own - southConns, southConns
}

// clock returns a monotonic clock that counts from the Unix epoch, so that times on the list compare with it. A step of
// the wall clock after the start does not move it.
func clock() func() time.Duration {
	start := time.Now()
	origin := time.Duration(start.UnixNano())
	return func() time.Duration { return origin + time.Since(start) }
}

func knownList(c *config.Config) (inventory.List, error) {
	if c.Known == nil {
		return inventory.List{}, nil
	}
	decoder := inventory.Decoder{Zones: c.Zones, Kinds: c.Kinds}
	list, err := decoder.Decode(c.Known)
	if err != nil {
		return list, fmt.Errorf("known: %w", err)
	}
	return list, nil
}

// lateSink lets the sides be made before the owner that they report to.
type lateSink struct{ *owner.Owner }

func serve(ctx context.Context, c *config.Config, level string, errs io.Writer) error {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("log-level: %w", err)
	}
	log := slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: least}))
	// Never stopped: without a handler SIGHUP ends the program, and one may come at any moment, past SIGTERM too.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	known, err := knownList(c)
	if err != nil {
		return err
	}
	// The rest of the limit is for stacks, buffers of the kernel and the binary.
	debug.SetMemoryLimit(c.Memory * 3 / 4)
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var listen net.ListenConfig
	listen.SetMultipathTCP(false) // plain TCP is all that the platform has
	listener, err := listen.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var calls net.Listener
	if c.Control != "" {
		if calls, err = listen.Listen(ctx, "tcp", c.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	path := ""
	if dir := os.Getenv("TMPDIR"); dir != "" {
		path = filepath.Join(dir, handover.Name(c.Name, "state"))
	}
	store := handover.Open(path, log)
	state := store.State()
	now := clock()
	check := &invariant.Checker{Log: log}
	sink := &lateSink{}
	northConns, southConns := room(c)
	hosts := south.New(south.Config{Sink: sink, ConnectTimeout: c.Settings.ConnectTimeout, Keepalive: c.Keepalive,
		MaxConns: southConns, ProbeLoad: c.Probes, Now: now, Log: log})
	list := inventory.New(c.Discovery, known.Revision, c.Zones, c.Kinds, log)
	list.Sink = sink
	sink.Owner = owner.New(owner.Config{Settings: c.Settings, Seed: c.Seed, Known: known.Hosts, South: hosts,
		Inventory: list, Now: now, Queue: 4096, Log: log, Check: check,
		Ever: state.Listed, Offline: state.Offline, Listed: store.Listed})
	clients := north.New(north.Config{Desk: sink, Classes: c.Classes, Limits: c.Settings.Classes,
		MaxConns: northConns, LastAnswer: lastAnswer, Now: now, Log: log})
	log.Info("serving", "name", c.Name, "listen", c.Listen, "hosts", len(known.Hosts))

	// They end from the outside in: first nobody hands in messages, then nobody decides, then nobody sends.
	run, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return clients.Run(run, listener) })
	if calls != nil {
		operators := control.New(control.Config{Callers: callers(c), Ready: clients.Ready, Drain: clients.Drain, Log: log,
			Offline: func(ctx context.Context, id string, out bool) (bool, error) {
				known, err := sink.SetOffline(ctx, id, out)
				if known && err == nil { // the yes promises that it outlives this process
					err = store.SetOffline(id, out)
				}
				return known, err
			},
			Figures: func() control.Figures { return figures(c, clients, sink.Owner) }})
		group.Go(func() error { return operators.Run(run, calls) })
	}
	group.Go(func() error { return list.Run(run) })
	group.Go(func() error { return store.Run(run) })
	owned, ownerEnds := context.WithCancel(context.Background())
	group.Go(func() error {
		defer ownerEnds()
		return sink.Run(run)
	})
	group.Go(func() error { return hosts.Run(owned) })
	group.Go(func() error {
		reload(run, hup, c, os.Getenv, list.Move, log)
		return nil
	})
	group.Go(func() error {
		leave(ctx, run, clients, log)
		end()
		return nil
	})
	return group.Wait()
}

// figures gathers the counts, each from where the thing is counted.
func figures(c *config.Config, clients *north.Server, o *owner.Owner) control.Figures {
	f := control.Figures{Forwards: o.Forwards(), Outstanding: clients.Outstanding()}
	f.Discovered, f.Ejected = o.Fleet()
	for i, name := range c.Classes {
		r := clients.Results(i)
		f.Classes = append(f.Classes, control.Class{Name: name, Succeeded: r.Succeeded, Declined: r.Declined, Aborted: r.Aborted})
	}
	return f
}

// reload reads the configuration anew at every signal, until the context ends. All of it is decoded and checked before
// any of it counts: of a file that cannot be used nothing does. Only discovery can change while the program runs.
func reload(ctx context.Context, hup <-chan os.Signal, c *config.Config, getenv func(string) string, move func(address string),
	log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		next, err := config.Reload(getenv)
		if err == nil {
			_, err = knownList(next)
		}
		if err != nil {
			log.Error("configuration not reloaded: the one before serves on", "err", err)
			continue
		}
		if fields := c.Fixed(next); len(fields) > 0 {
			log.Warn("configuration reloaded: these fields take a restart", "fields", fields)
		}
		log.Info("configuration reloaded", "discovery", next.Discovery)
		move(next.Discovery)
	}
}

// leaver is what a planned end needs of the north side.
type leaver interface {
	Enter(p north.Phase)
	Open() int64
}

// leave waits for the signal and sees the planned end through: it returns when every message taken is answered.
func leave(signalled, run context.Context, clients leaver, log *slog.Logger) {
	select {
	case <-signalled.Done():
	case <-run.Done():
		return
	}
	log.Info("leaving", "open", clients.Open())
	clients.Enter(north.Leaving)
	start := time.Now()
	ticks := time.NewTicker(endTick)
	defer ticks.Stop()
	for {
		switch since := time.Since(start); {
		case since >= leastEnd && clients.Open() == 0:
			log.Info("left")
			return
		case since >= lastCall:
			clients.Enter(north.Ending)
		case since >= overlap:
			clients.Enter(north.Closing)
		}
		select {
		case <-ticks.C:
		case <-run.Done():
			return
		}
	}
}
