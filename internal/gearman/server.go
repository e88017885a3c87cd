// Package gearman is the Gearman side: clients hand in jobs, workers run them. Both are connections to the same port, and
// one connection may be both.
//
// What it knows of jobs and workers are the state machines of package state, under one lock that is never held while
// anything waits. Which worker gets a job is the decision module's word, which comes by Send; a worker that asks unbidden
// gets nothing. docs/gearman.md is the page for operators.
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
	"liftgauge/internal/serve/owner"
	"liftgauge/internal/settings"
	"liftgauge/internal/work"
	"liftgauge/route"
)

// Engine is what the Gearman side asks of the owner.
type Engine interface {
	Submit(m *owner.Message) bool
	Gone(m *owner.Message)
	List(kind balance.ListKind, hosts []owner.Host)
	Assigned(a *owner.Attempt)
	Passed(a *owner.Attempt, what any, settled func())
	Served(a *owner.Attempt, result []byte, settled func())
	Ended(a *owner.Attempt, status balance.Status)
	Probed(h owner.Host, status balance.Status, load []float32)
	After(f func())
}

// Config is what a Server needs.
type Config struct {
	Engine    Engine
	Routes    *route.Table
	Settings  *settings.Gearman
	Classes   []balance.Class // by the module's number
	Zone      int             // of this dispatcher, and so of its workers
	HostKinds int             // how many kinds of hosts there are: the workers' come after
	Name      string          // of this dispatcher
	Boot      string          // of this process: no two processes have the same
	MaxConns  int
	Budget    *budget.Budget
	Subject   func(key string) uint64 // as the north side's
	// ShutdownTimeout is how long after the beginning of a planned end every job must have ended.
	ShutdownTimeout time.Duration
	Shutdown        func() // begins the planned end, where an admin may ask for it
	Now             func() time.Duration
	Log             *slog.Logger
	Check           *invariant.Checker
}

// Phase is how far a planned end has come.
type Phase int32

// The phases.
const (
	Serving         Phase = iota
	Draining              // serving as before
	ListenersClosed       // no new connections
	RejectingJobs         // no new jobs
)

// Counts are what has been seen since the start.
type Counts struct {
	Submitted, Attached       int64 // jobs taken, and submissions that joined one that was open
	Served, Failed, BackOffs  int64 // ends of jobs
	Abandoned                 int64 // jobs whose clients have all left
	Rejected                  int64 // submissions that got an ERROR
	Assigned, NoJobs          int64
	LateReports               int64 // words on jobs that the worker is not at
	UnclaimedPicks            int64 // picks that a free worker did not ask for in time
	Overdue                   int64 // jobs past their CAN_DO_TIMEOUT
	SlowReaders               int64 // connections closed as they read too slowly
	Malformed                 int64 // packets and lines that could not be read
	BackgroundCut             int64 // background jobs that the planned end cut off
	Connections, Workers      int64 // now
	Waiting, Running, Clients int64 // now
}

// Server is the Gearman side. It implements owner.South for its workers.
type Server struct {
	Config
	table    atomic.Pointer[route.Table]
	settings atomic.Pointer[settings.Gearman]
	phase    atomic.Int32

	lists   sync.Mutex // held while a list is made and handed on
	mu      sync.Mutex
	jobs    *state.Jobs
	counts  Counts
	conns   map[state.Conn]*conn
	last    state.Conn
	workers map[string]*conn // that have a name
	dirty   map[*conn]bool   // of these, those whose listing is to be looked at
	gone    []owner.Host     // that have left and are still listed
	queues  map[string]int   // bounds of waiting jobs by an admin's word
	later   []*job           // that are to run at a later time
	until   time.Duration    // by when all must have ended; 0: no end is under way
	active  int              // picks and runs: there are times to look at

	kick, relist chan struct{}
	slots        chan struct{}
	listeners    []net.Listener // guarded by the lock
	closed       bool
	ctx          context.Context
	stop         context.CancelFunc
	tasks        errgroup.Group
}

var _ owner.South = (*Server)(nil)

// job is what the server keeps with a state.Job.
type job struct {
	message *owner.Message
	work    *work.Work
	at      time.Duration // when it is to run, if not at once
	begun   bool          // it may have run
	handed  bool          // to the owner
	conn    state.Conn    // that submitted it
	since   time.Duration
}

// New returns a Server.
func New(c Config) *Server {
	s := &Server{Config: c, conns: map[state.Conn]*conn{}, workers: map[string]*conn{}, dirty: map[*conn]bool{}, queues: map[string]int{},
		kick: make(chan struct{}, 1), relist: make(chan struct{}, 1), slots: make(chan struct{}, max(c.MaxConns, 1))}
	l := c.Settings.Limits
	s.Name = plain(strings.ReplaceAll(s.Name, ":", "_"))
	s.jobs = state.NewJobs(state.Limits{MaxOpen: l.OpenJobs, MaxPerConn: l.JobsPerConnection, MaxEnded: c.Settings.Timeouts.KeepEnded,
		EndedRetention: time.Duration(c.Settings.Timeouts.Ended)})
	s.table.Store(c.Routes)
	s.settings.Store(c.Settings)
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Reload takes new settings. Listeners and what the module is made of stay as they are.
func (s *Server) Reload(t *route.Table, g *settings.Gearman) {
	s.table.Store(t)
	s.settings.Store(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs.MaxOpen, s.jobs.MaxPerConn = g.Limits.OpenJobs, g.Limits.JobsPerConnection
	s.jobs.MaxEnded, s.jobs.EndedRetention = g.Timeouts.KeepEnded, time.Duration(g.Timeouts.Ended)
	for _, c := range s.workers {
		c.worker.GrabTimeout = time.Duration(g.Timeouts.Grab)
		s.touch(c)
	}
}

// Table is what routes jobs now.
func (s *Server) Table() *route.Table { return s.table.Load() }

// Counts returns what has been seen, and how it stands now.
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

// Open is how many jobs are open.
func (s *Server) Open() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.jobs.Len())
}

func (s *Server) at() Phase { return Phase(s.phase.Load()) }

// Enter begins a phase.
func (s *Server) Enter(p Phase) {
	if Phase(s.phase.Swap(int32(p))) == p {
		return
	}
	s.mu.Lock()
	if p >= Draining && s.until == 0 {
		s.until = s.Now() + s.ShutdownTimeout
	}
	s.mu.Unlock()
	s.wake()
	if p >= ListenersClosed {
		s.unlisten()
	}
}

// unlisten closes the listeners; connections go on.
func (s *Server) unlisten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.Close()
	}
	s.listeners = nil
	s.closed = true
}

// HandOver leaves the addresses to another process.
func (s *Server) HandOver() { s.unlisten() }

// Rest closes the connections that nothing is open on and reports how many are left. Workers are needed for as long as
// any job is open.
func (s *Server) Rest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if s.jobs.Len() == 0 && (c.worker == nil || c.worker.Running() == 0) {
			c.shut = true // a job that its reader still has in hand is not taken: nobody could be told of it
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
		s.unlisten()
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
	group.Go(func() error { s.lister(); return nil })
	group.Go(func() error { s.clock(); return nil })
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
			over := s.closed
			s.mu.Unlock()
			if over || ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
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
		case s.slots <- struct{}{}:
		default:
			raw.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			raw.Write(packet.Append(nil, packet.Error, "too_many_connections", "no room for another connection"))
			raw.Close()
			continue
		}
		c := s.add(raw)
		s.tasks.Go(func() error {
			defer func() { <-s.slots }()
			c.serve()
			return nil
		})
	}
}

func (s *Server) add(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	c := &conn{Conn: raw, s: s, id: s.last, r: packet.NewReader(raw), room: s.Budget.Take0(), since: s.Now()}
	c.idle.L = &c.out
	s.conns[c.id] = c
	if s.ctx.Err() != nil {
		raw.Close()
	}
	return c
}

// remove takes an ended connection out. What its worker was picked for has never run; what it was at may have, unless its
// last byte was never written.
func (s *Server) remove(c *conn) {
	c.Close()
	c.out.Lock()
	c.broken = true
	for c.writing {
		c.idle.Wait()
	}
	sent := c.sent
	c.out.Unlock()
	s.mu.Lock()
	delete(s.conns, c.id)
	abandoned := s.jobs.Disconnect(c.id)
	s.counts.Abandoned += int64(len(abandoned))
	var never, lost []*owner.Attempt
	if c.worker != nil {
		picks, runs := c.worker.Close()
		never = picks
		for _, r := range runs {
			s.active--
			if c.ends[r.Handle] > sent { // JOB_ASSIGN did not go out whole: nobody can have begun it
				never = append(never, r.Attempt)
			} else {
				lost = append(lost, r.Attempt)
			}
		}
		s.active -= len(picks)
		if c.name != "" {
			delete(s.workers, c.name)
			delete(s.dirty, c)
			if c.listed {
				h := c.host
				h.Worker.State = balance.Removed
				s.gone = append(s.gone, h)
				s.look()
			}
		}
	}
	s.mu.Unlock()
	if len(never)+len(lost) > 0 {
		s.list()
	}
	for _, a := range never {
		s.ended(a, balance.ConnectFailed)
	}
	for _, a := range lost {
		s.ended(a, balance.Reset)
	}
	for _, j := range abandoned {
		s.leave(j)
	}
	c.room.Drop()
}

// leave tells the owner that nobody waits for a job any more.
func (s *Server) leave(j *state.Job) {
	d := j.Data.(*job)
	s.mu.Lock()
	handed := d.handed
	s.mu.Unlock()
	if handed {
		s.Engine.Gone(d.message)
	} else { // it was to run later
		d.work.Hold.Drop()
	}
}

// ended reports an attempt's end. The hold on its data goes with it.
func (s *Server) ended(a *owner.Attempt, status balance.Status) {
	s.Engine.Ended(a, status)
	work.Of(a.Message).Held().Drop()
}

// touch has the lister look at a worker. The lock is held.
func (s *Server) touch(c *conn) {
	if c.name != "" {
		s.dirty[c] = true
		s.look()
	}
}

func (s *Server) look() {
	select {
	case s.relist <- struct{}{}:
	default:
	}
}

// lister tells the owner of workers that have come, changed or gone. Changes that come together are told together: each
// list makes the module draw up its turns anew.
func (s *Server) lister() {
	for {
		select {
		case <-s.relist:
		case <-s.ctx.Done():
			return
		}
		s.list()
	}
}

// list tells the owner what has changed up to now. Before an attempt's end is reported that comes of such a change, the
// change must be: the module would pick the same worker for it at once, and again, until no attempts are left.
func (s *Server) list() {
	s.lists.Lock() // the newer list comes after the older one
	defer s.lists.Unlock()
	s.mu.Lock()
	hosts := s.gone
	s.gone = nil
	for c := range s.dirty {
		if h, changed := s.listing(c); changed {
			hosts = append(hosts, h)
		}
	}
	clear(s.dirty)
	s.mu.Unlock()
	if len(hosts) > 0 {
		s.Engine.List(balance.ListChanges, hosts)
	}
}

// listing is how a worker is to be listed now, and whether that is something new. The lock is held.
func (s *Server) listing(c *conn) (h owner.Host, changed bool) {
	t := s.table.Load()
	open := c.worker.Available()
	h = owner.Host{Name: c.name, Address: c.RemoteAddr().String(), Via: s, Worker: balance.Worker{Zone: s.Zone, Kind: s.HostKinds + 1 + t.Kind(c.client),
		Cell: t.Cell(c.client, uint64(c.id)), Weight: 1, Up: c.since, Slots: 1, Pulls: true, Runs: t.WorkerClasses(c.client, c.worker.Can)}}
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

// christen gives a worker a name: its client id, and a number where several have the same. The numbers are used again, so
// that a worker that comes back has its name and what operators said of it.
func (s *Server) christen(c *conn) {
	base := strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || strings.ContainsRune(`/?#%"\`, r) {
			return '_'
		}
		return r
	}, c.client)
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

// Send keeps an attempt for the worker that the module picked, until it asks. It is called from the owner's goroutine.
func (s *Server) Send(ctx context.Context, a *owner.Attempt) {
	w := work.Of(a.Message)
	if w == nil {
		s.tasks.Go(func() error { s.Engine.Ended(a, balance.NotSent); return nil })
		return
	}
	w.Held().Share() // until it is assigned or has ended
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
	s.active++
	// Only a withdrawal is of interest: any other end is told from here.
	c.stops[a] = context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), owner.ErrWithdrawn) {
			s.withdrawn(c, a)
		}
	})
	s.mu.Unlock()
	if wake {
		c.send(packet.Append[string](nil, packet.Noop), false)
	}
	s.wake()
}

// withdrawn takes an attempt back where the worker has not got it. Else the worker is at it, whoever has given it up, and
// gets nothing else until it says how it ended.
func (s *Server) withdrawn(c *conn, a *owner.Attempt) {
	s.mu.Lock()
	delete(c.stops, a)
	dropped := c.worker.Unpick(a)
	if dropped {
		s.active--
	} else if r := c.worker.Run(work.Of(a.Message).Handle); r != nil && r.Attempt == a {
		r.Abandoned = true
		s.touch(c)
	}
	s.mu.Unlock()
	if dropped {
		s.ended(a, balance.NotSent)
	}
}

// Probe asks whether a worker is there. Nothing can be asked of one; it is if it is connected and not silent.
func (s *Server) Probe(h owner.Host) {
	s.mu.Lock()
	c := s.workers[h.Name]
	there := c != nil && c.worker.Available()
	s.mu.Unlock()
	status := balance.OK
	if !there {
		status = balance.ConnectFailed
	}
	s.tasks.Go(func() error { s.Engine.Probed(h, status, nil); return nil })
}

// Forget has nothing to drop: a worker's connection is its own.
func (s *Server) Forget(owner.Host) {}

func (s *Server) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// clockTick is how often times are looked at while there are any.
const clockTick = 50 * time.Millisecond

// clock looks at times while there is anything that has one.
func (s *Server) clock() {
	ticks := time.NewTicker(clockTick)
	defer ticks.Stop()
	for {
		s.mu.Lock()
		rests := s.active == 0 && len(s.later) == 0 && s.until == 0
		s.mu.Unlock()
		if rests {
			select {
			case <-s.kick:
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
	var late []*owner.Attempt
	var overdue []*owner.Attempt
	for _, c := range s.workers {
		picks, runs := c.worker.Tick(now)
		if len(picks) > 0 {
			s.Log.Info("gearman: worker does not ask for its job", "worker", c.name)
			s.touch(c)
		}
		s.active -= len(picks)
		s.counts.UnclaimedPicks += int64(len(picks))
		late = append(late, picks...)
		for _, r := range runs {
			s.counts.Overdue++
			overdue = append(overdue, r.Attempt)
			s.touch(c)
		}
		for _, a := range picks {
			c.forgetStop(a)
		}
	}
	var due []*job
	rest := s.later[:0]
	for _, j := range s.later {
		if j.at <= now {
			due = append(due, j)
		} else {
			rest = append(rest, j)
		}
	}
	clear(s.later[len(rest):])
	s.later = rest
	var cut []*state.Job
	if s.until > 0 && now >= s.until {
		cut = s.jobs.All()
	}
	s.mu.Unlock()
	if len(late)+len(overdue) > 0 {
		s.list()
	}
	for _, a := range late {
		s.ended(a, balance.ConnectFailed)
	}
	for _, a := range overdue { // the hold ends with the run
		s.Engine.Ended(a, balance.TimedOut)
	}
	for _, j := range due {
		s.due(j)
	}
	for _, j := range cut {
		s.cut(j)
	}
}

// cut ends a job that the planned end does not leave time for.
func (s *Server) cut(j *state.Job) {
	d := j.Data.(*job)
	s.mu.Lock()
	begun := d.begun
	s.mu.Unlock()
	if j.Background {
		s.Log.Warn("gearman: background job cut off by the planned end", "handle", j.Handle, "function", j.Function, "unique", j.Unique,
			"may_have_run", begun)
	}
	if s.finish(j, owner.Answer{Kind: owner.Failed}, true) {
		s.leave(j)
	}
}
