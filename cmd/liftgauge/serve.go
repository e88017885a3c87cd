package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"liftgauge/internal/budget"
	"liftgauge/internal/config"
	"liftgauge/internal/gearman"
	"liftgauge/internal/http1"
	"liftgauge/internal/invariant"
	"liftgauge/internal/load"
	"liftgauge/internal/serve/backend"
	"liftgauge/internal/serve/clientlistener"
	"liftgauge/internal/serve/control"
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/serve/handover"
	"liftgauge/internal/serve/inventory"
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

// A watch of discovery that breaks is made anew within so long for each dispatcher there is, and never later than this: what
// discovery has to tell counts as told 6 s after a change, and that a watch is silent is noticed after 2.6 s.
const (
	remakeFor     = 20 * time.Millisecond
	longestRemake = 500 * time.Millisecond
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

// askers is how many questions old and new process of an upgrade may have open each way.
func askers(c *config.Config) int { return min(max(c.Sockets/64, 1), 4) }

// ownRoom is how many descriptors are the program's own.
func ownRoom(c *config.Config) int {
	own := ownSockets + 2*askers(c) + 2 // and the socket and the link
	if n := callers(c); n > 0 {
		own += n + 2 // the listener, and one caller who is to be let in or turned away
	}
	return own
}

// room shares out so many descriptors. A client holds its connection for as long as its job runs, a host only until it has
// taken the job.
func room(c *config.Config, sockets int, memory int64) (northConns, southConns int) {
	own := ownRoom(c)
	southConns = max((sockets-own)/4, 1)
	return min(max(sockets-own-southConns, 1), budget.SplitMemory(memory).Connections), southConns
}

// clock returns a monotonic clock that counts from the Unix epoch, so that times on the list compare with it. A step of
// the wall clock after the start does not move it.
func clock() func() time.Duration {
	start := time.Now()
	origin := time.Duration(start.UnixNano())
	return func() time.Duration { return origin + time.Since(start) }
}

func knownList(c *config.Config) (inventory.List, error) {
	if c.LastInventory == nil {
		return inventory.List{}, nil
	}
	decoder := inventory.Decoder{Zones: c.Zones, Kinds: c.Kinds}
	list, err := decoder.Decode(c.LastInventory)
	if err != nil {
		return list, fmt.Errorf("known: %w", err)
	}
	return list, nil
}

// lateSink lets the sides be made before the owner that they report to.
type lateSink struct{ *engine.Engine }

func serve(ctx context.Context, c *config.Config, own *own, o options, log *slog.Logger) error {
	if own.Sockets > 0 {
		c.Sockets = min(own.Sockets, c.AvailableSockets)
	}
	// Never stopped: without a handler SIGHUP ends the program, and one may come at any moment, past SIGTERM too.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	known, err := knownList(c)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	listener, err := handover.Listen(ctx, c.Listen, os.Getenv("LB_INHERITED_FD"))
	if err != nil {
		return err
	}
	var calls net.Listener
	if c.Control != "" {
		if calls, err = handover.Listen(ctx, c.Control, ""); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	pulls, listeners, err := openGearman(ctx, own)
	if err != nil {
		return err
	}
	n, known := meet(ctx, c, known, log)
	shares := budget.SplitMemory(c.Memory)
	debug.SetMemoryLimit(shares.Runtime)
	bytes := budget.New(shares.Messages, shares.Calls)
	state := n.store.State()
	now := clock()
	check := &invariant.Checker{Log: log}
	bytes.Check = check
	sink := &lateSink{}
	n.pulls = pulls
	loads := load.New(c.LoadColumns, log)
	northConns, southConns, pullConns := n.room(c.Sockets, c.Memory)
	hosts := backend.New(backend.Config{Sink: sink, ConnectTimeout: c.Settings.ConnectTimeout, HostIdleTimeout: c.Keepalive,
		MaxConns: southConns, ConcurrentAttempts: c.Settings.SecondCopies, Loads: loads, Now: now, Log: log})
	list := inventory.New(c.Discovery, known.Revision, c.Zones, c.Kinds, log)
	list.Sink = sink
	list.Pushed = !c.Settings.ListOnRequest
	list.ReconnectSpread = min(time.Duration(c.Settings.Dispatchers)*remakeFor, longestRemake)
	module := c.Settings
	module.Classes = own.table.Classes()
	module.WaitForList = true
	id := boot()
	records, err := openCapture(c, own, id, log)
	if err != nil {
		return err
	}
	sink.Engine = engine.New(engine.Config{OnMessageClosed: records.seen(), Settings: module, HostClasses: own.table.HostClasses, Seed: c.Seed, InitialHosts: known.Hosts, Backend: hosts,
		Inventory: list, Now: now, QueueSize: 4096, Log: log, Check: check,
		HostsInherited: n.follows, InitialLearned: n.learned, EverListed: state.Listed, InitialOffline: state.Offline, OnNewHosts: n.store.AddListed})
	var other clientlistener.Peer
	if n.peer != nil {
		other = n.peer
	}
	var wrap func(int, *http1.Call) any
	if pulls != nil {
		pulls.start(gearman.Config{Engine: sink.Engine, Routes: own.table, Settings: own.Gearman, Classes: module.Classes, Zone: c.Settings.Zone,
			HostKinds: len(c.Kinds), Name: c.Name, Boot: id, Subject: records.subject(), MaxConns: pullConns, Budget: bytes, ShutdownTimeout: lastAnswer,
			Shutdown: cancel, Now: now, Log: log, Check: check})
		wrap = pulls.wrap(c.Classes)
	}
	clients := clientlistener.New(clientlistener.Config{Engine: sink, HasHostList: sink.HasHostList, WrapPayload: wrap, HashSubject: records.subject(), Peer: other, Classes: c.Classes, Limits: c.Settings.Classes,
		MaxConns: northConns, Loads: loads, Budget: bytes, ShutdownAnswerTimeout: lastAnswer, Now: now, Log: log, Check: check})
	n.owner, n.clients, n.hosts, n.list, n.bytes = sink.Engine, clients, hosts, list, bytes
	if n.peer != nil {
		n.SetSharing(n.peer.Connected())
	}
	log.Info("serving", "name", c.Name, "listen", c.Listen, "hosts", len(known.Hosts))

	fellows, err := openMembership(ctx, c, own, sink.Engine, now, log)
	if err != nil {
		return err
	}

	// They end from the outside in: first nobody hands in messages, then nobody decides, then nobody sends.
	run, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return clients.Run(run, listener) })
	if calls != nil {
		operators := control.New(control.Config{MaxConns: callers(c), Ready: n.ready, Members: fellows.status(), Drain: clients.Drain, SetOffline: n.call, Log: log,
			Metrics: func() control.Metrics { return figures(c, clients, sink.Engine, pulls, bytes, records, loads, fellows) }})
		group.Go(func() error { return operators.Run(run, calls) })
	}
	if pulls != nil {
		log.Info("gearman", "listen", own.Gearman.Listen, "workers", own.Gearman.Workers, "functions", len(own.table.Functions()))
		group.Go(func() error { return pulls.Run(run, listeners...) })
	}
	group.Go(func() error { return list.Run(run) })
	if fellows != nil {
		group.Go(func() error { return fellows.Run(ctx) }) // it leaves as the planned end begins
	}
	group.Go(func() error { return n.store.Run(run) })
	owned, ownerEnds := context.WithCancel(context.Background())
	group.Go(func() error {
		defer ownerEnds()
		return sink.Run(run)
	})
	group.Go(func() error { return hosts.Run(owned) })
	if n.peer != nil {
		group.Go(func() error { return n.peer.Run(run) })
	}
	if records != nil {
		log.Info("capture", "folder", own.Capture.Folder)
		group.Go(func() error { return records.Run(owned) }) // what the owner ends with is written too
	}
	group.Go(func() error { // what it needs to serve is there
		n.start()
		return nil
	})
	group.Go(func() error {
		reload(run, hup, c, os.Getenv, list.SetAddress, log, func() error { return pulls.reload(run, o, c, sink.Engine, log) })
		return nil
	})
	group.Go(func() error {
		leave(ctx, run, n.sides(), n.succeeded, sink.AnswerOpenMessages, log)
		end()
		return nil
	})
	return group.Wait()
}

// figures gathers the counts, each from where the thing is counted.
func figures(c *config.Config, clients *clientlistener.Server, o *engine.Engine, pulls *pulls, bytes *budget.Budget, records *records, loads *load.Reader, members *fellows) control.Metrics {
	f := control.Metrics{Forwards: o.Forwards(), Outstanding: clients.Outstanding()}
	f.Discovered, f.Ejected = o.HostCounts()
	f.Extra = append(pulls.figures(bytes), records.figures()...)
	f.Extra = append(f.Extra, members.figures()...)
	if loads != nil {
		f.Extra = append(f.Extra, control.Metric{Name: "load_reports_bad_total", Value: loads.Unreadable()})
	}
	for i, name := range c.Classes {
		r := clients.Results(i)
		f.Classes = append(f.Classes, control.ClassMetrics{Name: name, Succeeded: r.Succeeded, Declined: r.Declined, Aborted: r.Aborted})
	}
	return f
}

// reload reads the configuration anew at every signal, until the context ends. All of it is decoded and checked before
// any of it counts: of a file that cannot be used nothing does. Only discovery can change while the program runs.
//
// The settings file is read anew as well, by itself: what is wrong with one file does not keep the other from counting.
func reload(ctx context.Context, hup <-chan os.Signal, c *config.Config, getenv func(string) string, move func(address string),
	log *slog.Logger, settings func() error) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		if err := settings(); err != nil {
			log.Error("settings not reloaded: those before hold", "err", err)
		}
		next, err := config.Reload(getenv)
		if err == nil {
			_, err = knownList(next)
		}
		if err != nil {
			log.Error("configuration not reloaded: the one before serves on", "err", err)
			continue
		}
		if fields := c.RestartOnlyChanges(next); len(fields) > 0 {
			log.Warn("configuration reloaded: these fields take a restart", "fields", fields)
		}
		log.Info("configuration reloaded", "discovery", next.Discovery)
		move(next.Discovery)
	}
}

// leaver is what a planned end needs of the north side.
type leaver interface {
	SetPhase(p clientlistener.Phase)
	Open() int64
	ReleaseListener()
	HandOverConnections() // open messages to a successor
	CloseIdle() int
}

// leave waits for the signal and sees the planned end through: it returns when every message taken is answered.
//
// Where a successor has taken over, new connections are its own from the signal on. Those that are open here close after
// an answer, and the idle ones late: a client that has just written to one would have to send again.
//
// What is open goes over to the successor with its connection, now or at a later tick.
//
// What is still open when the program may be killed soon is concluded: a class may be more patient than a planned end.
func leave(signalled, run context.Context, clients leaver, succeeded func() bool, conclude func(), log *slog.Logger) {
	select {
	case <-signalled.Done():
	case <-run.Done():
		return
	}
	handing := succeeded()
	log.Info("leaving", "open", clients.Open(), "succeeded", handing)
	clients.SetPhase(clientlistener.Leaving)
	if handing {
		clients.ReleaseListener()
		clients.SetPhase(clientlistener.Closing)
	}
	start, concluded := time.Now(), false
	ticks := time.NewTicker(endTick)
	defer ticks.Stop()
	for {
		if !concluded && time.Since(start) >= lastAnswer && clients.Open() > 0 {
			concluded = true
			conclude()
		}
		switch since := time.Since(start); {
		case handing:
			clients.HandOverConnections()
			if since >= overlap && clients.CloseIdle() == 0 && clients.Open() == 0 {
				log.Info("left")
				return
			}
		case since >= leastEnd && clients.Open() == 0:
			log.Info("left")
			return
		case since >= lastCall:
			clients.SetPhase(clientlistener.Ending)
		case since >= overlap:
			clients.SetPhase(clientlistener.Closing)
		}
		select {
		case <-ticks.C:
		case <-run.Done():
			return
		}
	}
}
