// Package north is the side of the clients: the listener, their connections, and what shares the address with them,
// the hosts' call-backs and the readiness check.
package north

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
	"liftgauge/internal/serve/owner"
	"liftgauge/internal/sock"
)

const (
	idleLimit  = 90 * time.Second        // of a connection between requests
	firstLimit = 2500 * time.Millisecond // of a new one before its first request: clients connect to send
	readLimit  = 2500 * time.Millisecond // of a request, from its first byte
	// Of a connection that is closing, for what is still on the way: a large body must not cost its sender the answer.
	lingerLimit = 500 * time.Millisecond
	lingerMost  = 1 << 20
	writeLimit  = 5 * time.Second // of an answer: a client that reads nothing holds nothing for longer
)

// Desk takes messages and call-backs.
type Desk interface {
	Submit(m *owner.Message) bool
	Gone(m *owner.Message)
	Reported(r owner.Report, known func(owner.Standing), settled func()) bool

	// Between two processes, as Owner has them.
	Release(ctx context.Context, m *owner.Message) (past owner.Past, ok bool)
	Moved(m *owner.Message, past owner.Past, taken bool)
	Adopt(ctx context.Context, m *owner.Message, past owner.Past) bool
}

// Other is another process at the same address: a call-back may come to either.
type Other interface {
	Live() bool
	// Callback has the other deal with a call-back, and returns the status that answers it and whether its message was open there.
	Callback(body []byte) (status int, known bool, err error)
	// Pass hands a client's connection and the record of the message that waits there to a successor. The record is asked for once;
	// false says that it cannot be made now.
	Pass(client net.Conn, record func() ([]byte, bool)) (taken bool, err error)
}

// Config is what a Server needs.
type Config struct {
	Desk     Desk
	Other    Other           // may be nil
	Sees     func() bool     // whether the list of hosts may be gone by; nil: always
	Classes  []string        // names, by the module's number
	Limits   []balance.Class // of the same
	MaxConns int
	Loads    *load.Reader // of hosts' load reports; nil where they have none
	// Subject hashes what a message is about, for records; nil where none are kept.
	Subject func(key string) uint64
	// Wrap makes the payload that other sides understand; nil where there are only hosts that speak HTTP.
	Wrap   func(class int, call *http1.Call) any
	Budget *budget.Budget // of what messages and call-backs hold; nil for one of 48 MB and 16 MB
	// LastAnswer is how long after the beginning of a planned end what is taken in it must be answered.
	LastAnswer time.Duration
	Now        func() time.Duration
	Log        *slog.Logger
	Check      *invariant.Checker
}

// Phase is how far a planned end has come.
type Phase int32

// The phases.
const (
	Serving Phase = iota
	Leaving       // not ready any more, but serving as before: the front has yet to notice
	Closing       // connections close after their next answer; new ones are still taken, for call-backs above all
	Ending        // idle connections are closed, and new messages get a back-off answer: they could not be finished
)

func (p Phase) String() string {
	return [...]string{"serving", "leaving", "closing", "ending"}[p&3]
}

// Server serves one listener.
type Server struct {
	Config
	classes map[string]int
	phase   atomic.Int32
	last    atomic.Int64 // the time by which what is taken in a planned end must be answered
	open    atomic.Int64 // messages taken and not answered
	slots   chan struct{}
	mu      sync.Mutex
	conns   map[*conn]struct{}
	// shutting counts those of them that are shut and whose goroutines have yet to close them; guarded by the lock.
	shutting int
	ended    chan struct{}
	run      context.Context // ends with Run
	stop     context.CancelFunc

	limit    atomic.Int64  // of connections; at most MaxConns
	reserved int           // slots taken for what the limit leaves out; guarded by the lock
	handed   chan struct{} // closed when the listener is left to another process
	group    errgroup.Group
	listener net.Listener // guarded by the lock

	parsers sync.Pool    // of call-backs
	result  atomic.Int64 // the size that results have had lately, rather more

	taken   atomic.Int64 // messages without an end
	results [][ends]atomic.Int64
	drain   drain
}

// How messages end; each in exactly one way.
const (
	succeeded = iota
	declined
	aborted
	ends
)

// Results are how many messages of a class have ended, by how.
type Results struct{ Succeeded, Declined, Aborted int64 }

// Results returns the counts of a class.
func (s *Server) Results(class int) Results {
	r := &s.results[class]
	return Results{r[succeeded].Load(), r[declined].Load(), r[aborted].Load()}
}

// Outstanding is how many messages are taken and have not ended.
func (s *Server) Outstanding() int64 { return s.taken.Load() }

// end counts the end of a message.
func (s *Server) end(class, how int) {
	s.results[class][how].Add(1)
	s.Check.Check(s.taken.Add(-1) >= 0, "more messages ended than were taken")
}

// spare connections are taken over the limit, only to be told so: waiting in the kernel their requests would count as
// taken, and nobody would answer.
func spare(limit int) int { return max(4, limit/16) }

// New returns a Server.
func New(c Config) *Server {
	s := &Server{Config: c, classes: map[string]int{}, conns: map[*conn]struct{}{}, ended: make(chan struct{})}
	if s.Budget == nil {
		s.Budget = budget.New(48<<20, 16<<20)
	}
	s.run, s.stop = context.WithCancel(context.Background())
	s.slots = make(chan struct{}, c.MaxConns)
	s.results = make([][ends]atomic.Int64, len(c.Classes))
	s.handed = make(chan struct{})
	s.limit.Store(int64(c.MaxConns))
	for i, name := range c.Classes {
		s.classes[name] = i
	}
	return s
}

// Open is how many messages are taken and not answered.
func (s *Server) Open() int64 { return s.open.Load() }

// Enter begins a phase.
func (s *Server) Enter(p Phase) {
	if p == Leaving {
		s.last.Store(int64(s.Now() + s.LastAnswer))
	}
	s.phase.Store(int32(p))
	if p >= Ending {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.shutIdle()
	}
}

// shutIdle closes the idle connections, under the lock.
func (s *Server) shutIdle() {
	for c := range s.conns {
		if c.idle && !c.closed && sock.Idle(c.Conn) { // else a request has come
			c.shut()
		}
	}
}

// at is how far a planned end or a drain has come, whichever is further.
func (s *Server) at() Phase { return max(Phase(s.phase.Load()), s.drain.at(s.Now())) }

// Ending says whether a planned end is under way.
func (s *Server) Ending() bool { return Phase(s.phase.Load()) != Serving }

// Ready says whether clients are welcome.
func (s *Server) Ready() bool { return s.at() == Serving && (s.Sees == nil || s.Sees()) }

// Run accepts connections until the context ends, then closes all that are left.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	conns := &s.group
	conns.Go(func() error { // so that a connection may join for as long as the server runs
		<-s.ended
		return nil
	})
	defer context.AfterFunc(ctx, func() {
		s.mu.Lock()
		close(s.ended)
		s.stop()
		for c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		l.Close() // may wait for an accept, which nothing here does
	})()
	s.mu.Lock()
	s.listener = l
	select {
	case <-s.handed: // before there was anything to leave
		l.Close()
	default:
	}
	s.mu.Unlock()
	go s.accept(ctx, l) // where the listener is another process's too nothing may be able to end it but that process
	<-ctx.Done()
	return conns.Wait()
}

// accept takes connections until the context ends or the listener is left.
func (s *Server) accept(ctx context.Context, l net.Listener) {
	for {
		select {
		case s.slots <- struct{}{}:
		case <-s.handed:
			return
		case <-ctx.Done():
			return
		}
		raw, err := l.Accept()
		if err != nil {
			<-s.slots
			if s.left() || ctx.Err() != nil {
				return
			}
			var out *conn
			if !errors.Is(err, net.ErrClosed) { // out of descriptors, or a client that left at once
				out = s.evict()
			}
			if out == nil {
				s.Log.Warn("accept", "err", err)
				out = &conn{} // never gone
			}
			select {
			case <-out.gone:
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		c := newConn(s, raw)
		full := s.add(c)
		if !s.join(func() {
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

// HandOver leaves the listener to another process that has it too: it is closed, not shut down. The connections that are
// open go on, and one that an accept still under way takes is served. It is called once at most.
func (s *Server) HandOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.handed)
	if s.listener != nil {
		go s.listener.Close() // waits for that accept: nothing that is open may
	}
}

// Rest closes the connections that are idle and reports how many are left.
func (s *Server) Rest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shutIdle()
	return len(s.conns)
}

// SetLimit changes how many connections there may be, to a number of at most MaxConns. Idle ones over it are closed, and
// while others are over it no new one is accepted in place of one that ends.
func (s *Server) SetLimit(n int) {
	s.limit.Store(int64(n))
	s.mu.Lock()
	over := len(s.conns) - s.shutting - n
	s.mu.Unlock()
	for ; over > 0 && s.evict() != nil; over-- {
	}
	s.reserve()
}

// reserve takes slots for what the limit leaves out, or gives them back, as far as it can at once; the rest is taken
// from the connections that end.
func (s *Server) reserve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	want := s.MaxConns - int(s.limit.Load())
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

// add keeps a connection. Where there are many, the one that stood idle longest makes room: its client opens another
// when it needs one. If none is idle, the connection is over the limit.
func (s *Server) add(c *conn) (full bool) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	n := len(s.conns) - s.shutting
	s.mu.Unlock()
	limit := int(s.limit.Load())
	return n > limit-spare(limit) && s.evict() == nil
}

func (s *Server) remove(c *conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.closed {
		s.shutting--
	}
	close(c.gone)
}

// over says that the server has ended: nothing that comes now is taken.
func (s *Server) over() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// evict shuts the connection that stood idle longest, if any is idle.
func (s *Server) evict() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *conn
	for c := range s.conns {
		fresh := c.used == 0 && s.Now()-c.since < time.Second // its request is on the way
		if c.idle && !c.closed && !fresh && (oldest == nil || c.since < oldest.since) && sock.Idle(c.Conn) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.shut()
	}
	return oldest
}
