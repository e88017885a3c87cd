// Package clientlistener accepts the clients' connections and their messages. Hosts' call-backs and the readiness check use the
// same address.
package clientlistener

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"liftgauge/balance"
	"liftgauge/internal/budget"
	"liftgauge/internal/http1"
	"liftgauge/internal/invariant"
	"liftgauge/internal/load"
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/sock"
)

const (
	idleTimeout         = 90 * time.Second        // of a connection between requests
	firstRequestTimeout = 2500 * time.Millisecond // of a new one before its first request: clients connect when they have one to send
	readTimeout         = 2500 * time.Millisecond // of a request, from its first byte
	// Of a closing connection, for bytes still in flight: the sender of a large body must still get its answer.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	writeTimeout  = 5 * time.Second // of an answer: a client that reads nothing holds no resources for longer
)

// Engine takes messages and call-backs.
type Engine interface {
	Submit(m *engine.Message) bool
	Disconnected(m *engine.Message)
	HandleReport(r engine.Report, known func(engine.MessageLocation), processed func()) bool

	// Handover between two processes; see engine.Engine.
	Release(ctx context.Context, m *engine.Message) (past engine.Past, ok bool)
	CompleteRelease(m *engine.Message, past engine.Past, taken bool)
	Adopt(ctx context.Context, m *engine.Message, past engine.Past) bool
}

// Peer is another process at the same address: a call-back may arrive at either.
type Peer interface {
	Connected() bool
	// Callback forwards a call-back to the other process, and returns the status to answer with and whether its message was open there.
	Callback(body []byte) (status int, known bool, err error)
	// PassConnection hands a client's connection and the record of its waiting message to a successor. The record is requested once;
	// false means that it cannot be made now.
	PassConnection(client net.Conn, record func() ([]byte, bool)) (taken bool, err error)
}

// Config is what a Server needs.
type Config struct {
	Engine      Engine
	Peer        Peer            // may be nil
	HasHostList func() bool     // whether there is a list of hosts to send messages by; nil: always
	Classes     []string        // names, by the scheduler's number
	Limits      []balance.Class // by the same number
	MaxConns    int
	Loads       *load.Reader // of hosts' load reports; nil: there are none
	// HashSubject hashes a message's key for records; nil: no records are kept.
	HashSubject func(key string) uint64
	// WrapPayload makes a payload that other backends understand; nil: all hosts use HTTP.
	WrapPayload func(class int, call *http1.Call) any
	Budget      *budget.Budget // memory of messages and call-backs; nil for 48 MB and 16 MB
	// ShutdownAnswerTimeout is the time from the start of a planned shutdown in which messages accepted during it must be answered.
	ShutdownAnswerTimeout time.Duration
	Now                   func() time.Duration
	Log                   *slog.Logger
	Check                 *invariant.Checker
}

// Phase is a phase of a planned shutdown.
type Phase int32

// The phases.
const (
	Serving Phase = iota
	Leaving       // no longer ready, but serving as before: the front end has yet to notice
	Closing       // connections close after their next answer; new ones are still accepted, mainly for call-backs
	Ending        // idle connections are closed, and new messages get a back-off answer: there is no time left to finish them
)

func (p Phase) String() string {
	return [...]string{"serving", "leaving", "closing", "ending"}[p&3]
}

// Server serves one listener.
type Server struct {
	Config
	classes    map[string]int
	phase      atomic.Int32
	answerBy   atomic.Int64 // when messages accepted in a planned shutdown must be answered
	unanswered atomic.Int64 // messages accepted and not answered
	slots      chan struct{}
	mu         sync.Mutex
	conns      map[*conn]struct{}
	// shutDown counts connections that are shut down and that their goroutines have yet to close; guarded by mu.
	shutDown  int
	done      chan struct{}
	runCtx    context.Context // cancelled when Run ends
	cancelRun context.CancelFunc

	connLimit        atomic.Int64  // of connections; at most MaxConns
	reserved         int           // slots held because the limit is below MaxConns; guarded by mu
	listenerReleased chan struct{} // closed when the listener is released to another process
	group            errgroup.Group
	listener         net.Listener // guarded by mu

	parsers    sync.Pool    // for call-backs
	resultSize atomic.Int64 // upper estimate of the size of recent results

	unfinished atomic.Int64 // messages accepted and not ended
	results    [][outcomeCount]atomic.Int64
	drain      drain
}

// Outcomes of messages; each has exactly one.
const (
	succeeded = iota
	declined
	aborted
	outcomeCount
)

// Results counts the ended messages of a class by outcome.
type Results struct{ Succeeded, Declined, Aborted int64 }

// Results returns the counts of a class.
func (s *Server) Results(class int) Results {
	r := &s.results[class]
	return Results{r[succeeded].Load(), r[declined].Load(), r[aborted].Load()}
}

// Outstanding returns how many messages are accepted and have not ended.
func (s *Server) Outstanding() int64 { return s.unfinished.Load() }

// countEnd counts the end of a message.
func (s *Server) countEnd(class, outcome int) {
	s.results[class][outcome].Add(1)
	s.Check.Check(s.unfinished.Add(-1) >= 0, "more messages ended than were taken")
}

// spareConns is how many connections are accepted over the limit, only to get a back-off answer: left in the kernel's queue
// their requests would be acknowledged by TCP and never answered.
func spareConns(limit int) int { return max(4, limit/16) }

// New returns a Server.
func New(c Config) *Server {
	s := &Server{Config: c, classes: map[string]int{}, conns: map[*conn]struct{}{}, done: make(chan struct{})}
	if s.Budget == nil {
		s.Budget = budget.New(48<<20, 16<<20)
	}
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	s.slots = make(chan struct{}, c.MaxConns)
	s.results = make([][outcomeCount]atomic.Int64, len(c.Classes))
	s.listenerReleased = make(chan struct{})
	s.connLimit.Store(int64(c.MaxConns))
	for i, name := range c.Classes {
		s.classes[name] = i
	}
	return s
}

// Open returns how many messages are accepted and not answered.
func (s *Server) Open() int64 { return s.unanswered.Load() }

// SetPhase begins a phase.
func (s *Server) SetPhase(p Phase) {
	if p == Leaving {
		s.answerBy.Store(int64(s.Now() + s.ShutdownAnswerTimeout))
	}
	s.phase.Store(int32(p))
	if p >= Ending {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.shutDownIdle()
	}
}

// shutDownIdle shuts down the idle connections. The caller holds mu.
func (s *Server) shutDownIdle() {
	for c := range s.conns {
		if c.idle && !c.isShutDown && sock.Idle(c.Conn) { // else a request has arrived
			c.shutDown()
		}
	}
}

// currentPhase is the later of the phases of a planned shutdown and of a drain.
func (s *Server) currentPhase() Phase { return max(Phase(s.phase.Load()), s.drain.phase(s.Now())) }

// ShuttingDown reports whether a planned shutdown is in progress.
func (s *Server) ShuttingDown() bool { return Phase(s.phase.Load()) != Serving }

// Ready reports whether clients should connect.
func (s *Server) Ready() bool {
	return s.currentPhase() == Serving && (s.HasHostList == nil || s.HasHostList())
}

// Run accepts connections until the context ends, then closes the remaining ones.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	conns := &s.group
	conns.Go(func() error { // keeps the group open, so that connections can be added while the server runs
		<-s.done
		return nil
	})
	defer context.AfterFunc(ctx, func() {
		s.mu.Lock()
		close(s.done)
		s.cancelRun()
		for c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		l.Close() // may wait for an accept in the kernel; nothing waits for this
	})()
	s.mu.Lock()
	s.listener = l
	select {
	case <-s.listenerReleased: // released before Run
		l.Close()
	default:
	}
	s.mu.Unlock()
	go s.accept(ctx, l) // if another process has the listener too, an accept may be impossible to interrupt from here
	<-ctx.Done()
	return conns.Wait()
}

// accept takes connections until the context ends or the listener is released.
func (s *Server) accept(ctx context.Context, l net.Listener) {
	for {
		select {
		case s.slots <- struct{}{}:
		case <-s.listenerReleased:
			return
		case <-ctx.Done():
			return
		}
		accepted, err := l.Accept()
		if err != nil {
			<-s.slots
			if s.isListenerReleased() || ctx.Err() != nil {
				return
			}
			var evicted *conn
			if !errors.Is(err, net.ErrClosed) { // out of descriptors, or the client has already disconnected
				evicted = s.evict()
			}
			if evicted == nil {
				s.Log.Warn("accept", "err", err)
				evicted = &conn{} // its channel never closes
			}
			select {
			case <-evicted.done:
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		c := newConn(s, accepted)
		full := s.add(c)
		if !s.startConn(func() {
			defer s.reserve()
			defer func() { <-s.slots }()
			defer s.remove(c)
			c.serve(full)
		}, c) {
			s.remove(c)
			return
		}
	}
}

// ReleaseListener leaves the listener to another process that has it too: it is closed, not shut down. Open connections
// stay, and one from an accept still in progress is served. It is called at most once.
func (s *Server) ReleaseListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.listenerReleased)
	if s.listener != nil {
		go s.listener.Close() // waits for that accept: open connections must not
	}
}

// CloseIdle shuts down the idle connections and returns how many are open.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shutDownIdle()
	return len(s.conns)
}

// SetLimit sets the limit of connections, at most MaxConns. Idle ones over it are closed; while busy ones are over it, those that
// end are not replaced.
func (s *Server) SetLimit(n int) {
	s.connLimit.Store(int64(n))
	s.mu.Lock()
	over := len(s.conns) - s.shutDown - n
	s.mu.Unlock()
	for ; over > 0 && s.evict() != nil; over-- {
	}
	s.reserve()
}

// reserve takes or returns the slots between the limit and MaxConns, as far as it can without waiting; it is called again
// when a connection ends.
func (s *Server) reserve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	want := s.MaxConns - int(s.connLimit.Load())
	for ; s.reserved > want; s.reserved-- {
		<-s.slots
	}
	for s.reserved < want {
		select {
		case s.slots <- struct{}{}:
			s.reserved++
		default:
			return
		}
	}
}

// add registers a connection. Near the limit the one that has been idle longest is closed: its client opens another when it
// needs one. If none is idle, full is true: the connection is over the limit.
func (s *Server) add(c *conn) (full bool) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	n := len(s.conns) - s.shutDown
	s.mu.Unlock()
	limit := int(s.connLimit.Load())
	return n > limit-spareConns(limit) && s.evict() == nil
}

func (s *Server) remove(c *conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.isShutDown {
		s.shutDown--
	}
	close(c.done)
}

// isDone reports whether the server has ended: requests are no longer accepted.
func (s *Server) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// evict shuts down the connection that has been idle longest, if any is idle.
func (s *Server) evict() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *conn
	for c := range s.conns {
		fresh := c.requests == 0 && s.Now()-c.idleSince < time.Second // its request is in flight
		if c.idle && !c.isShutDown && !fresh && (oldest == nil || c.idleSince < oldest.idleSince) && sock.Idle(c.Conn) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.shutDown()
	}
	return oldest
}
