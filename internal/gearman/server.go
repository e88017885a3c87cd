// Package gearman implements a Gearman server: clients submit jobs and workers run them. Both connect to the same port,
// and one connection may be both.
//
// The state of jobs and workers is kept by the state machines of package state, under one lock that is never held while
// anything blocks. The decision module picks the worker for each job, which arrives by Send; a worker that requests a
// job without having been picked gets NO_JOB. docs/gearman.md is the operators' guide.
package gearman

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"liftgauge/balance"
	"liftgauge/internal/budget"
	"liftgauge/internal/gearman/packet"
	"liftgauge/internal/gearman/state"
	"liftgauge/internal/invariant"
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/settings"
	"liftgauge/internal/work"
	"liftgauge/route"
)

// Engine is what the server requires of the engine, which runs the decision module.
type Engine interface {
	Submit(m *engine.Message) bool
	Disconnected(m *engine.Message)
	UpdateHosts(kind balance.ListKind, hosts []engine.Host)
	AttemptStarted(a *engine.Attempt)
	AttemptEvent(a *engine.Attempt, what any, settled func())
	AttemptServed(a *engine.Attempt, result []byte, settled func())
	AttemptEnded(a *engine.Attempt, status balance.Status)
	ProbeEnded(h engine.Host, status balance.Status, load []float32)
	AfterQueued(f func())
}

// Config is what a Server needs.
type Config struct {
	Engine    Engine
	Routes    *route.Table
	Settings  *settings.Gearman
	Classes   []balance.Class // indexed by class number
	Zone      int             // of this dispatcher, and so of its workers
	HostKinds int             // number of kinds of hosts; kinds of workers are numbered after them
	Name      string          // of this dispatcher
	Boot      string          // id of this process; unique among processes
	MaxConns  int
	Budget    *budget.Budget
	Subject   func(key string) uint64 // hash of a key, the same as for HTTP clients
	// ShutdownTimeout is how long after the start of a planned shutdown every job must have ended.
	ShutdownTimeout time.Duration
	Shutdown        func() // starts the planned shutdown; called for the admin command where the settings allow it
	Now             func() time.Duration
	Log             *slog.Logger
	Check           *invariant.Checker
}

// Phase is a stage of a planned shutdown.
type Phase int32

// The phases, in order.
const (
	Serving         Phase = iota
	Draining              // still serving as before
	ListenersClosed       // no new connections
	RejectingJobs         // no new jobs
)

// Counts are totals since the start, and current numbers.
type Counts struct {
	Submitted, Attached       int64 // jobs accepted, and submissions attached to an open job
	Served, Failed, BackOffs  int64 // outcomes of jobs
	Abandoned                 int64 // jobs whose clients have all disconnected
	Rejected                  int64 // submissions answered with ERROR
	Assigned, NoJobs          int64
	LateReports               int64 // reports on jobs that the worker does not run
	UnclaimedPicks            int64 // picks that a free worker did not request in time
	Overdue                   int64 // jobs that exceeded their CAN_DO_TIMEOUT
	SlowReaders               int64 // connections closed because the peer read too slowly
	Malformed                 int64 // packets and lines that could not be parsed
	BackgroundCut             int64 // background jobs cut off by a planned shutdown
	Connections, Workers      int64 // current
	Waiting, Running, Clients int64 // current
}

// Server is a Gearman server, to which the engine delivers the attempts for its workers.
type Server struct {
	Config
	table    atomic.Pointer[route.Table]
	settings atomic.Pointer[settings.Gearman]
	phase    atomic.Int32

	listMu           sync.Mutex // held while changes are collected and passed on
	mu               sync.Mutex
	jobs             *state.Jobs
	counts           Counts
	conns            map[state.Conn]*conn
	lastConn         state.Conn
	workers          map[string]*conn // by name; only those that have one
	changed          map[*conn]bool   // of workers, those whose listing may have changed
	removed          []engine.Host    // disconnected workers that are still listed
	queueLimits      map[string]int   // limits of waiting jobs set by an administrator
	scheduled        []*job           // jobs that are to run at a later time
	shutdownDeadline time.Duration    // when every job must have ended; 0: no shutdown in progress
	timedAttempts    int              // picks and runs, which may time out

	timerWake, listWake chan struct{}
	connSlots           chan struct{}
	listeners           []net.Listener // guarded by the lock
	closed              bool
	ctx                 context.Context
	stop                context.CancelFunc
	tasks               errgroup.Group
}

var _ engine.Backend = (*Server)(nil)

// job is what the server keeps with a state.Job.
type job struct {
	message     *engine.Message
	work        *work.Work
	runAt       time.Duration // when it is to run, if not at once
	begun       bool          // it may have run
	submitted   bool          // passed to the engine
	conn        state.Conn    // that submitted it
	submittedAt time.Duration
}

// New returns a Server.
func New(c Config) *Server {
	s := &Server{Config: c, conns: map[state.Conn]*conn{}, workers: map[string]*conn{}, changed: map[*conn]bool{}, queueLimits: map[string]int{},
		timerWake: make(chan struct{}, 1), listWake: make(chan struct{}, 1), connSlots: make(chan struct{}, max(c.MaxConns, 1))}
	l := c.Settings.Limits
	s.Name = singleWord(strings.ReplaceAll(s.Name, ":", "_"))
	s.jobs = state.NewJobs(state.Limits{MaxOpen: l.OpenJobs, MaxPerConn: l.JobsPerConnection, MaxEnded: c.Settings.Timeouts.KeepEnded,
		EndedRetention: time.Duration(c.Settings.Timeouts.Ended)})
	s.table.Store(c.Routes)
	s.settings.Store(c.Settings)
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Reload applies new settings. Listeners and the settings of the decision module stay as they are.
func (s *Server) Reload(t *route.Table, g *settings.Gearman) {
	s.table.Store(t)
	s.settings.Store(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs.MaxOpen, s.jobs.MaxPerConn = g.Limits.OpenJobs, g.Limits.JobsPerConnection
	s.jobs.MaxEnded, s.jobs.EndedRetention = g.Timeouts.KeepEnded, time.Duration(g.Timeouts.Ended)
	for _, c := range s.workers {
		c.worker.GrabTimeout = time.Duration(g.Timeouts.Grab)
		s.markChanged(c)
	}
}

// Table returns the current routing table.
func (s *Server) Table() *route.Table { return s.table.Load() }

// Counts returns the totals since the start and the current numbers.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Connections, c.Workers = int64(len(s.conns)), int64(len(s.workers))
	for _, f := range s.table.Load().Functions() {
		n := s.jobs.Count(f.Name)
		c.Waiting += int64(n.Waiting[0] + n.Waiting[1] + n.Waiting[2])
		c.Running += int64(n.Running)
	}
	for _, d := range s.conns {
		if d.worker == nil {
			c.Clients++
		}
	}
	return c
}

// Open returns the number of open jobs.
func (s *Server) Open() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.jobs.Len())
}

func (s *Server) currentPhase() Phase { return Phase(s.phase.Load()) }

// Enter starts a phase of the planned shutdown.
func (s *Server) Enter(p Phase) {
	if Phase(s.phase.Swap(int32(p))) == p {
		return
	}
	s.mu.Lock()
	if p >= Draining && s.shutdownDeadline == 0 {
		s.shutdownDeadline = s.Now() + s.ShutdownTimeout
	}
	s.mu.Unlock()
	s.wakeTimer()
	if p >= ListenersClosed {
		s.closeListeners()
	}
}

// closeListeners closes the listeners; established connections stay.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.Close()
	}
	s.listeners = nil
	s.closed = true
}

// HandOver closes the listeners, so that new connections go to the successor process.
func (s *Server) HandOver() { s.closeListeners() }

// Rest closes the connections that have nothing open and returns the number that remains. Workers are needed as long as
// any job is open.
func (s *Server) Rest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if s.jobs.Len() == 0 && (c.worker == nil || c.worker.Running() == 0) {
			c.closing = true // a submission that is being read is not accepted, as it could not be answered
			c.Close()
		}
	}
	return len(s.conns)
}

// Run serves listeners until the context ends, then closes all connections.
func (s *Server) Run(ctx context.Context, listeners ...net.Listener) error {
	s.mu.Lock()
	if s.listeners = listeners; s.closed {
		for _, l := range listeners {
			l.Close()
		}
	}
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() {
		s.closeListeners()
		s.stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			c.Close()
		}
	})()
	var group errgroup.Group
	for _, l := range listeners {
		group.Go(func() error { s.accept(ctx, l); return nil })
	}
	group.Go(func() error { s.runLister(); return nil })
	group.Go(func() error { s.runTimer(); return nil })
	err := group.Wait()
	<-ctx.Done()
	s.tasks.Wait()
	return err
}

func (s *Server) accept(ctx context.Context, l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			s.mu.Lock()
			closed := s.closed
			s.mu.Unlock()
			if closed || ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.Log.Warn("gearman: accept", "err", err)
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
				return
			}
			continue
		}
		select {
		case s.connSlots <- struct{}{}:
		default:
			raw.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			raw.Write(packet.Append(nil, packet.Error, "too_many_connections", "no room for another connection"))
			raw.Close()
			continue
		}
		c := s.add(raw)
		s.tasks.Go(func() error {
			defer func() { <-s.connSlots }()
			c.serve()
			return nil
		})
	}
}

func (s *Server) add(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConn++
	c := &conn{Conn: raw, server: s, id: s.lastConn, reader: packet.NewReader(raw), bufferHold: s.Budget.ReserveEmpty(), connectedAt: s.Now()}
	c.writerIdle.L = &c.outMu
	s.conns[c.id] = c
	if s.ctx.Err() != nil {
		raw.Close()
	}
	return c
}

// remove takes out a connection that has ended. Its picks have never run. Its assigned jobs may have run, except those
// whose JOB_ASSIGN was not written completely.
func (s *Server) remove(c *conn) {
	c.Close()
	c.outMu.Lock()
	c.broken = true
	for c.writing {
		c.writerIdle.Wait()
	}
	sent := c.sent
	c.outMu.Unlock()
	s.mu.Lock()
	delete(s.conns, c.id)
	abandoned := s.jobs.Disconnect(c.id)
	s.counts.Abandoned += int64(len(abandoned))
	var notRun, lost []*engine.Attempt
	if c.worker != nil {
		picks, runs := c.worker.Close()
		notRun = picks
		for _, r := range runs {
			s.timedAttempts--
			if c.assignEnds[r.Handle] > sent { // JOB_ASSIGN was not sent completely, so the worker cannot have started it
				notRun = append(notRun, r.Attempt)
			} else {
				lost = append(lost, r.Attempt)
			}
		}
		s.timedAttempts -= len(picks)
		if c.name != "" {
			delete(s.workers, c.name)
			delete(s.changed, c)
			if c.listed {
				h := c.host
				h.Worker.State = balance.Removed
				s.removed = append(s.removed, h)
				s.wakeLister()
			}
		}
	}
	s.mu.Unlock()
	if len(notRun)+len(lost) > 0 {
		s.sendChanges()
	}
	for _, a := range notRun {
		s.ended(a, balance.ConnectFailed)
	}
	for _, a := range lost {
		s.ended(a, balance.Reset)
	}
	for _, j := range abandoned {
		s.abandon(j)
	}
	c.bufferHold.Release()
}

// abandon notifies the engine that a job has no clients left.
func (s *Server) abandon(j *state.Job) {
	d := j.Data.(*job)
	s.mu.Lock()
	handed := d.submitted
	s.mu.Unlock()
	if handed {
		s.Engine.Disconnected(d.message)
	} else { // scheduled, and not yet passed on
		d.work.Reservation.Release()
	}
}

// ended reports the end of an attempt and releases the hold on its data.
func (s *Server) ended(a *engine.Attempt, status balance.Status) {
	s.Engine.AttemptEnded(a, status)
	work.FromMessage(a.Message).BodyReservation().Release()
}

// markChanged has the lister check a worker. The caller holds the lock.
func (s *Server) markChanged(c *conn) {
	if c.name != "" {
		s.changed[c] = true
		s.wakeLister()
	}
}

func (s *Server) wakeLister() {
	select {
	case s.listWake <- struct{}{}:
	default:
	}
}

// runLister reports workers that were added, changed or removed. Changes are batched, since each list makes the decision
// module recompute its choice of workers.
func (s *Server) runLister() {
	for {
		select {
		case <-s.listWake:
		case <-s.ctx.Done():
			return
		}
		s.sendChanges()
	}
}

// sendChanges reports all changes so far to the engine. A change must be reported before the end of an attempt that
// results from it: otherwise the module would pick the same worker again at once, until no attempts are left.
func (s *Server) sendChanges() {
	s.listMu.Lock() // keeps lists in order
	defer s.listMu.Unlock()
	s.mu.Lock()
	hosts := s.removed
	s.removed = nil
	for c := range s.changed {
		if h, changed := s.listing(c); changed {
			hosts = append(hosts, h)
		}
	}
	clear(s.changed)
	s.mu.Unlock()
	if len(hosts) > 0 {
		s.Engine.UpdateHosts(balance.ListChanges, hosts)
	}
}

// listing returns how a worker is to be listed now, and whether that differs from how it was listed last. The caller
// holds the lock.
func (s *Server) listing(c *conn) (h engine.Host, changed bool) {
	t := s.table.Load()
	open := c.worker.Available()
	h = engine.Host{Name: c.name, Address: c.RemoteAddr().String(), Backend: s, Worker: balance.Worker{Zone: s.Zone, Kind: s.HostKinds + 1 + t.Kind(c.clientID),
		Cell: t.Cell(c.clientID, uint64(c.id)), Weight: 1, Up: c.connectedAt, Slots: 1, Pulls: true, Runs: t.WorkerClasses(c.clientID, c.worker.Can)}}
	if !open {
		h.Worker.State = balance.Removed
	}
	same := open == c.listed
	if same && open {
		for i, runs := range h.Worker.Runs {
			same = same && runs == c.host.Worker.Runs[i]
		}
	}
	if same {
		return h, false
	}
	c.listed, c.host = open, h
	return h, true
}

// assignName names a worker: its client id, and a number to tell apart workers of the same id. Numbers are reused, so
// that a worker that reconnects keeps its name and what operators have set for it.
func (s *Server) assignName(c *conn) {
	base := strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || strings.ContainsRune(`/?#%"\`, r) {
			return '_'
		}
		return r
	}, c.clientID)
	if base == "" {
		base = "worker"
		if host, _, err := net.SplitHostPort(c.RemoteAddr().String()); err == nil {
			base += "@" + strings.ReplaceAll(host, "%", "_")
		}
	}
	for n := 0; ; n++ {
		name := fmt.Sprintf("gearman:%s:%d", base, n)
		if s.workers[name] == nil {
			c.name = name
			s.workers[name] = c
			return
		}
	}
}

// Send keeps an attempt for the worker that the module picked, until the worker requests a job. It is called from the
// engine's goroutine.
func (s *Server) Send(ctx context.Context, a *engine.Attempt) {
	w := work.FromMessage(a.Message)
	if w == nil {
		s.tasks.Go(func() error { s.Engine.AttemptEnded(a, balance.NotSent); return nil })
		return
	}
	w.BodyReservation().Retain() // until the attempt has ended
	s.mu.Lock()
	c := s.workers[a.Host.Name]
	if c == nil {
		s.mu.Unlock()
		s.tasks.Go(func() error { s.ended(a, balance.ConnectFailed); return nil })
		return
	}
	wake, ok := c.worker.Pick(s.Now(), a, w.Function)
	if !ok {
		s.mu.Unlock()
		s.tasks.Go(func() error { s.ended(a, balance.NotSent); return nil })
		return
	}
	s.timedAttempts++
	// Only a withdrawal matters here: any other end is reported by this server.
	c.withdrawStops[a] = context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), engine.ErrWithdrawn) {
			s.withdrawn(c, a)
		}
	})
	s.mu.Unlock()
	if wake {
		c.send(packet.Append[string](nil, packet.Noop), false)
	}
	s.wakeTimer()
}

// withdrawn takes an attempt back that has not been assigned yet. Otherwise the worker runs it, even though nobody waits
// for it any more, and gets no other job until it reports the end.
func (s *Server) withdrawn(c *conn, a *engine.Attempt) {
	s.mu.Lock()
	delete(c.withdrawStops, a)
	dropped := c.worker.Unpick(a)
	if dropped {
		s.timedAttempts--
	} else if r := c.worker.Run(work.FromMessage(a.Message).Handle); r != nil && r.Attempt == a {
		r.Abandoned = true
		s.markChanged(c)
	}
	s.mu.Unlock()
	if dropped {
		s.ended(a, balance.NotSent)
	}
}

// Probe reports whether a worker is available. The protocol has no request to a worker, so it is available if it is
// connected and not unresponsive.
func (s *Server) Probe(h engine.Host) {
	s.mu.Lock()
	c := s.workers[h.Name]
	available := c != nil && c.worker.Available()
	s.mu.Unlock()
	status := balance.OK
	if !available {
		status = balance.ConnectFailed
	}
	s.tasks.Go(func() error { s.Engine.ProbeEnded(h, status, nil); return nil })
}

// Forget does nothing: the server opens no connections to workers.
func (s *Server) Forget(engine.Host) {}

func (s *Server) wakeTimer() {
	select {
	case s.timerWake <- struct{}{}:
	default:
	}
}

// timerInterval is how often time-outs are checked while there are any.
const timerInterval = 50 * time.Millisecond

// runTimer checks time-outs while there are any.
func (s *Server) runTimer() {
	ticks := time.NewTicker(timerInterval)
	defer ticks.Stop()
	for {
		s.mu.Lock()
		idle := s.timedAttempts == 0 && len(s.scheduled) == 0 && s.shutdownDeadline == 0
		s.mu.Unlock()
		if idle {
			select {
			case <-s.timerWake:
			case <-s.ctx.Done():
				return
			}
		}
		select {
		case <-ticks.C:
		case <-s.ctx.Done():
			return
		}
		s.tick()
	}
}

func (s *Server) tick() {
	now := s.Now()
	s.mu.Lock()
	var late []*engine.Attempt
	var overdue []*engine.Attempt
	for _, c := range s.workers {
		picks, runs := c.worker.Tick(now)
		if len(picks) > 0 {
			s.Log.Info("gearman: worker did not request its job in time", "worker", c.name)
			s.markChanged(c)
		}
		s.timedAttempts -= len(picks)
		s.counts.UnclaimedPicks += int64(len(picks))
		late = append(late, picks...)
		for _, r := range runs {
			s.counts.Overdue++
			overdue = append(overdue, r.Attempt)
			s.markChanged(c)
		}
		for _, a := range picks {
			c.stopWatchingWithdrawal(a)
		}
	}
	var due []*job
	remaining := s.scheduled[:0]
	for _, j := range s.scheduled {
		if j.runAt <= now {
			due = append(due, j)
		} else {
			remaining = append(remaining, j)
		}
	}
	clear(s.scheduled[len(remaining):])
	s.scheduled = remaining
	var unfinished []*state.Job
	if s.shutdownDeadline > 0 && now >= s.shutdownDeadline {
		unfinished = s.jobs.All()
	}
	s.mu.Unlock()
	if len(late)+len(overdue) > 0 {
		s.sendChanges()
	}
	for _, a := range late {
		s.ended(a, balance.ConnectFailed)
	}
	for _, a := range overdue { // the hold is released when the worker ends the run
		s.Engine.AttemptEnded(a, balance.TimedOut)
	}
	for _, j := range due {
		s.submitScheduled(j)
	}
	for _, j := range unfinished {
		s.cutOff(j)
	}
}

// cutOff ends a job that a planned shutdown leaves no time for.
func (s *Server) cutOff(j *state.Job) {
	d := j.Data.(*job)
	s.mu.Lock()
	begun := d.begun
	s.mu.Unlock()
	if j.Background {
		s.Log.Warn("gearman: background job cut off by the planned shutdown", "handle", j.Handle, "function", j.Function, "unique", j.Unique,
			"may_have_run", begun)
	}
	if s.finish(j, engine.Answer{Kind: engine.Failed}, true) {
		s.abandon(j)
	}
}
