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

// The steps of a planned shutdown, counted from SIGTERM. New connections arrive for up to 0.4 s, and clients use their open connections
// as long as these last: in a rolling restart the dispatcher restarted before may not be back yet, so there may be no other. SIGKILL comes
// after 3.7 s at the earliest; a message not answered by then has failed or is lost.
const (
	overlap         = 1700 * time.Millisecond
	rejectAfter     = 2 * time.Second
	minShutdownTime = 2100 * time.Millisecond
	answerDeadline  = 3200 * time.Millisecond
	shutdownTick    = 10 * time.Millisecond
)

// Reconnections of a broken discovery watch are spread over this time per dispatcher, up to the maximum: a change in discovery is expected
// to be known to dispatchers 6 s later, and an unresponsive watch is detected after 2.6 s.
const (
	reconnectSpreadPerDispatcher = 20 * time.Millisecond
	maxReconnectSpread           = 500 * time.Millisecond
)

// baseDescriptors are those that are not connections of clients or hosts: the standard streams, the listener, discovery, those of the
// runtime, and a reserve.
const baseDescriptors = 14

// maxOperatorConns returns how many connections the control listener accepts at a time. They are reserved: clients cannot use them up.
func maxOperatorConns(c *config.Config) int {
	if c.Control == "" {
		return 0
	}
	return min(max(c.Sockets/32, 4), 16)
}

// maxPeerRequests returns how many requests the old and the new process of an upgrade may have open in each direction.
func maxPeerRequests(c *config.Config) int { return min(max(c.Sockets/64, 1), 4) }

// reservedDescriptors returns how many descriptors are not available to connections of clients, hosts and Gearman.
func reservedDescriptors(c *config.Config) int {
	reserved := baseDescriptors + 2*maxPeerRequests(c) + 2 // and the handover socket and the link to the other process
	if n := maxOperatorConns(c); n > 0 {
		reserved += n + 2 // the listener, and one connection that is yet to be accepted or refused
	}
	return reserved
}

// connectionLimits divides the descriptors between clients and hosts. A client holds its connection while its job runs, a host only until it
// has accepted the job.
func connectionLimits(c *config.Config, sockets int, memory int64) (clientConns, hostConns int) {
	reserved := reservedDescriptors(c)
	hostConns = max((sockets-reserved)/4, 1)
	return min(max(sockets-reserved-hostConns, 1), budget.SplitMemory(memory).Connections), hostConns
}

// clock returns a monotonic clock that counts from the Unix epoch, so that times in the host list are comparable. Later
// steps of the wall clock do not affect it.
func clock() func() time.Duration {
	start := time.Now()
	origin := time.Duration(start.UnixNano())
	return func() time.Duration { return origin + time.Since(start) }
}

// initialInventory decodes the host list in the configuration, if it has one.
func initialInventory(c *config.Config) (inventory.List, error) {
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

// lateBoundSink lets the backend and inventory clients be created before the engine that they report to.
type lateBoundSink struct{ *engine.Engine }

func serve(ctx context.Context, c *config.Config, loaded *serveSettings, o options, log *slog.Logger) error {
	if loaded.Sockets > 0 {
		c.Sockets = min(loaded.Sockets, c.AvailableSockets)
	}
	// Never stopped: without a handler SIGHUP kills the process, and it may arrive at any time, even after SIGTERM.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	known, err := initialInventory(c)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	listener, err := handover.Listen(ctx, c.Listen, os.Getenv("LB_INHERITED_FD"))
	if err != nil {
		return err
	}
	var controlListener net.Listener
	if c.Control != "" {
		if controlListener, err = handover.Listen(ctx, c.Control, ""); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	jobServer, listeners, err := openGearman(ctx, loaded)
	if err != nil {
		return err
	}
	n, known := joinPredecessor(ctx, c, known, log)
	shares := budget.SplitMemory(c.Memory)
	debug.SetMemoryLimit(shares.Runtime)
	bytes := budget.New(shares.Messages, shares.Calls)
	state := n.store.State()
	now := clock()
	check := &invariant.Checker{Log: log}
	bytes.Check = check
	sink := &lateBoundSink{}
	n.gearman = jobServer
	loads := load.New(c.LoadColumns, log)
	clientConns, hostConns, gearmanConns := n.connectionLimits(c.Sockets, c.Memory)
	hosts := backend.New(backend.Config{Sink: sink, ConnectTimeout: c.Settings.ConnectTimeout, HostIdleTimeout: c.Keepalive,
		MaxConns: hostConns, ConcurrentAttempts: c.Settings.SecondCopies, Loads: loads, Now: now, Log: log})
	inventoryClient := inventory.New(c.Discovery, known.Revision, c.Zones, c.Kinds, log)
	inventoryClient.Sink = sink
	inventoryClient.Pushed = !c.Settings.ListOnRequest
	inventoryClient.ReconnectSpread = min(time.Duration(c.Settings.Dispatchers)*reconnectSpreadPerDispatcher, maxReconnectSpread)
	engineSettings := c.Settings
	engineSettings.Classes = loaded.table.Classes()
	engineSettings.WaitForList = true
	bootID := newBootID()
	recorder, err := openCapture(c, loaded, bootID, log)
	if err != nil {
		return err
	}
	sink.Engine = engine.New(engine.Config{OnMessageClosed: recorder.onMessageClosed(), Settings: engineSettings, HostClasses: loaded.table.HostClasses, Seed: c.Seed, InitialHosts: known.Hosts, Backend: hosts,
		Inventory: inventoryClient, Now: now, QueueSize: 4096, Log: log, Check: check,
		HostsInherited: n.hostsInherited, InitialLearned: n.learned, EverListed: state.Listed, InitialOffline: state.Offline, OnNewHosts: n.store.AddListed})
	var peer clientlistener.Peer
	if n.peer != nil {
		peer = n.peer
	}
	var wrap func(int, *http1.Call) any
	if jobServer != nil {
		jobServer.start(gearman.Config{Engine: sink.Engine, Routes: loaded.table, Settings: loaded.Gearman, Classes: engineSettings.Classes, Zone: c.Settings.Zone,
			HostKinds: len(c.Kinds), Name: c.Name, Boot: bootID, Subject: recorder.subjectHasher(), MaxConns: gearmanConns, Budget: bytes, ShutdownTimeout: answerDeadline,
			Shutdown: cancel, Now: now, Log: log, Check: check})
		wrap = jobServer.wrap(c.Classes)
	}
	clients := clientlistener.New(clientlistener.Config{Engine: sink, HasHostList: sink.HasHostList, WrapPayload: wrap, HashSubject: recorder.subjectHasher(), Peer: peer, Classes: c.Classes, Limits: c.Settings.Classes,
		MaxConns: clientConns, Loads: loads, Budget: bytes, ShutdownAnswerTimeout: answerDeadline, Now: now, Log: log, Check: check})
	n.engine, n.clients, n.hosts, n.list, n.bytes = sink.Engine, clients, hosts, inventoryClient, bytes
	if n.peer != nil {
		n.SetSharing(n.peer.Connected())
	}
	log.Info("serving", "name", c.Name, "listen", c.Listen, "hosts", len(known.Hosts))

	members, err := openMembership(ctx, c, loaded, sink.Engine, now, log)
	if err != nil {
		return err
	}

	// Shutdown goes from the outside in: first the listeners stop accepting messages, then the engine stops, then the backend client stops sending.
	run, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return clients.Run(run, listener) })
	if controlListener != nil {
		operators := control.New(control.Config{MaxConns: maxOperatorConns(c), Ready: n.ready, Members: members.statusFunc(), Drain: clients.Drain, SetOffline: n.setOfflineOnBoth, Log: log,
			Metrics: func() control.Metrics {
				return gatherMetrics(c, clients, sink.Engine, jobServer, bytes, recorder, loads, members)
			}})
		group.Go(func() error { return operators.Run(run, controlListener) })
	}
	if jobServer != nil {
		log.Info("gearman", "listen", loaded.Gearman.Listen, "workers", loaded.Gearman.Workers, "functions", len(loaded.table.Functions()))
		group.Go(func() error { return jobServer.Run(run, listeners...) })
	}
	group.Go(func() error { return inventoryClient.Run(run) })
	if members != nil {
		group.Go(func() error { return members.Run(ctx) }) // it leaves the fleet when the planned shutdown begins
	}
	group.Go(func() error { return n.store.Run(run) })
	untilEngineStops, engineStopped := context.WithCancel(context.Background())
	group.Go(func() error {
		defer engineStopped()
		return sink.Run(run)
	})
	group.Go(func() error { return hosts.Run(untilEngineStops) })
	if n.peer != nil {
		group.Go(func() error { return n.peer.Run(run) })
	}
	if recorder != nil {
		log.Info("capture", "folder", loaded.Capture.Folder)
		group.Go(func() error { return recorder.Run(untilEngineStops) }) // messages that the engine closes as it stops are recorded too
	}
	group.Go(func() error { // all that is needed to serve has been started
		n.announce()
		return nil
	})
	group.Go(func() error {
		reload(run, hup, c, os.Getenv, inventoryClient.SetAddress, log, func() error { return jobServer.reload(run, o, c, sink.Engine, log) })
		return nil
	})
	group.Go(func() error {
		shutDown(ctx, run, n.shutdownListeners(), n.successorReady, sink.AnswerOpenMessages, log)
		end()
		return nil
	})
	return group.Wait()
}

// gatherMetrics collects the metrics of all components.
func gatherMetrics(c *config.Config, clients *clientlistener.Server, o *engine.Engine, jobServer *gearmanServer, bytes *budget.Budget, recorder *captureRecorder, loads *load.Reader, members *membership) control.Metrics {
	f := control.Metrics{Forwards: o.Forwards(), Outstanding: clients.Outstanding()}
	f.Discovered, f.Ejected = o.HostCounts()
	f.Extra = append(jobServer.metrics(bytes), recorder.metrics()...)
	f.Extra = append(f.Extra, members.metrics()...)
	if loads != nil {
		f.Extra = append(f.Extra, control.Metric{Name: "load_reports_bad_total", Value: loads.Unreadable()})
	}
	for i, name := range c.Classes {
		r := clients.Results(i)
		f.Classes = append(f.Classes, control.ClassMetrics{Name: name, Succeeded: r.Succeeded, Declined: r.Declined, Aborted: r.Aborted})
	}
	return f
}

// reload reads the configuration again at every signal, until the context ends. The whole file is decoded and validated
// before any of it takes effect. Only the discovery address can change while the process runs.
//
// The settings file is reloaded independently: an error in one file does not prevent the reload of the other.
func reload(ctx context.Context, hup <-chan os.Signal, c *config.Config, getenv func(string) string, setDiscovery func(address string),
	log *slog.Logger, reloadSettings func() error) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		if err := reloadSettings(); err != nil {
			log.Error("settings not reloaded: the previous settings stay in effect", "err", err)
		}
		next, err := config.Reload(getenv)
		if err == nil {
			_, err = initialInventory(next)
		}
		if err != nil {
			log.Error("configuration not reloaded: the previous configuration stays in effect", "err", err)
			continue
		}
		if fields := c.RestartOnlyChanges(next); len(fields) > 0 {
			log.Warn("configuration reloaded: changed fields require a restart", "fields", fields)
		}
		log.Info("configuration reloaded", "discovery", next.Discovery)
		setDiscovery(next.Discovery)
	}
}

// drainableListeners is the part of the client listener that a planned shutdown uses.
type drainableListeners interface {
	SetPhase(p clientlistener.Phase)
	Open() int64
	ReleaseListener()
	HandOverConnections() // passes open messages to a successor
	CloseIdle() int
}

// shutDown waits for the signal and carries out the planned shutdown. It returns when every accepted message is answered.
//
// If a successor has taken over, it gets all new connections from the signal on. Connections open here close after their
// next answer, and idle ones only after the overlap: a client that has just written to one would have to send again.
//
// Open messages are passed to the successor with their connections, at once or at a later tick.
//
// Messages still open at answerDeadline are answered then, as the process may be killed soon: the time limit of a class
// may exceed the duration of a planned shutdown.
func shutDown(signalled, run context.Context, listeners drainableListeners, successorReady func() bool, answerOpen func(), log *slog.Logger) {
	select {
	case <-signalled.Done():
	case <-run.Done():
		return
	}
	hasSuccessor := successorReady()
	log.Info("leaving", "open", listeners.Open(), "succeeded", hasSuccessor)
	listeners.SetPhase(clientlistener.Leaving)
	if hasSuccessor {
		listeners.ReleaseListener()
		listeners.SetPhase(clientlistener.Closing)
	}
	start, openAnswered := time.Now(), false
	ticks := time.NewTicker(shutdownTick)
	defer ticks.Stop()
	for {
		if !openAnswered && time.Since(start) >= answerDeadline && listeners.Open() > 0 {
			openAnswered = true
			answerOpen()
		}
		switch since := time.Since(start); {
		case hasSuccessor:
			listeners.HandOverConnections()
			if since >= overlap && listeners.CloseIdle() == 0 && listeners.Open() == 0 {
				log.Info("left")
				return
			}
		case since >= minShutdownTime && listeners.Open() == 0:
			log.Info("left")
			return
		case since >= rejectAfter:
			listeners.SetPhase(clientlistener.Ending)
		case since >= overlap:
			listeners.SetPhase(clientlistener.Closing)
		}
		select {
		case <-ticks.C:
		case <-run.Done():
			return
		}
	}
}
