package delivery

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
)

// Reasons for which a connection does not take a request; nothing of it was sent then.
var (
	errAlreadySent = errors.New("delivery: a byte of this attempt was sent on another connection: report it as unknown")
	errIdleTooLong = errors.New("delivery: the connection was idle for about as long as the worker keeps it: use another")
	errSameMessage = errors.New("delivery: the connection has carried this message before: use another")
	errEnded       = errors.New("delivery: the connection has ended, or is about to be closed: use another")
)

// maxUnfinished limits the messages that a connection remembers because they may come again.
const maxUnfinished = 32

// errNotAwaited ends a connection that is idle.
var errNotAwaited = errors.New("delivery: the worker has sent a response while none was awaited: use another connection")

// workerConn is a connection to a worker. It checks before the first byte of each request whether it may be sent, and passes on only responses to
// the current request, without their bodies: a worker may send a response a second time, and while the connection is kept open the duplicate
// may come before the response to the next request.
type workerConn struct {
	net.Conn
	onForeign func(response *http.Response, awaited bool) // called for each response to another request

	// Used by the reading goroutine alone.
	responses    *responseReader
	unread       []byte // of the response that is passed on
	droppedInRow int

	mu         sync.Mutex
	guard      *sendGuard // of the request that is about to be written
	lastID     string     // of the last request; empty for a probe
	method     string     // of the last request
	awaited    bool       // the last request awaits its response
	ended      bool       // nothing more can be read
	idleSince  time.Time  // zero while it has carried nothing
	unfinished []string   // messages that it has carried, and whose responses did not end them
}

func newWorkerConn(connection net.Conn, onForeign func(response *http.Response, awaited bool)) *workerConn {
	return &workerConn{Conn: connection, onForeign: onForeign, responses: newResponseReader(connection)}
}

// Read reads the response to the current request, and drops responses that name another one.
func (c *workerConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		if err := c.readResponse(); err != nil {
			c.end()
			return 0, err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// readResponse reads responses up to the one that is passed on.
func (c *workerConn) readResponse() error {
	for {
		response, err := c.responses.next(c.requestMethod)
		if err != nil {
			return err
		}
		mine, err := c.take(response)
		if err != nil {
			return err
		}
		if mine {
			c.droppedInRow = 0
			c.unread, err = encodeHead(response)
			return err
		}
		if c.droppedInRow++; c.droppedInRow > maxDroppedResponses {
			return errNotAwaited
		}
	}
}

// requestMethod returns the method of the last request.
func (c *workerConn) requestMethod() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.method
}

// take reports whether a response may belong to the current request, which then awaits no other; if it does not, it is dropped. A response that names
// no request is left to the caller to judge. The error says that no response is awaited; from then on no request is sent on the connection.
func (c *workerConn) take(response *http.Response) (mine bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id := response.Header.Get(headerRequestID); id != "" && (!c.awaited || id != c.lastID) {
		c.onForeign(response, c.awaited)
		if !c.awaited {
			c.ended = true
			return false, errNotAwaited
		}
		return false, nil
	}
	if response.StatusCode >= http.StatusOK {
		c.awaited, c.idleSince = false, time.Now()
		c.rememberUnfinished(response)
	}
	return true, nil
}

// rememberUnfinished remembers the current message if it may be delivered again after the response. The caller holds the lock.
func (c *workerConn) rememberUnfinished(response *http.Response) {
	outcome := classify(response.StatusCode, response.Header).Outcome
	if c.lastID == "" || outcome == protocol.OutcomeSucceeded || outcome == protocol.OutcomeRefused {
		return
	}
	if len(c.unfinished) == maxUnfinished {
		c.unfinished = slices.Delete(c.unfinished, 0, 1)
	}
	c.unfinished = append(c.unfinished, c.lastID)
}

// mayHoldResponseTo reports whether a duplicate response to a message may still come. The caller holds the lock.
func (c *workerConn) mayHoldResponseTo(id string) bool {
	return id != "" && (id == c.lastID || slices.Contains(c.unfinished, id))
}

// end records that nothing more can be read, so that nothing more is sent either.
func (c *workerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// setGuard binds the connection's next write to a guard.
func (c *workerConn) setGuard(g *sendGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = g
}

// Write acquires the guard first if there is one.
func (c *workerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	g := c.guard
	c.guard = nil
	if g == nil {
		c.mu.Unlock()
		return c.Conn.Write(p)
	}
	err := c.begin(g)
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		g.release()
	}
	return n, err
}

// begin makes the guard's request the current one, if it may be sent. The caller holds the lock.
func (c *workerConn) begin(g *sendGuard) error {
	if c.ended {
		return errEnded
	}
	if c.mayHoldResponseTo(g.id) {
		return errSameMessage
	}
	if err := g.acquire(c.idleSince); err != nil {
		return err
	}
	c.lastID, c.method, c.awaited, c.idleSince = g.id, g.method, true, time.Time{}
	return nil
}

// sendGuard lets at most one connection carry an attempt, and only if that is permitted when the first byte is sent.
type sendGuard struct {
	id        string // of the request; empty for a probe
	method    string
	idleLimit time.Duration
	permit    func() error // nil for always
	onSend    func() error // called when the first byte is about to be sent, which an error prevents; nil for nothing

	mu        sync.Mutex
	conn      *workerConn
	acquired  bool
	firstByte time.Time // when the first byte was about to be sent
	denied    error
}

// acquire decides whether the first byte may be sent on a connection that is idle since a moment.
func (g *sendGuard) acquire(idleSince time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.acquired:
		return errAlreadySent
	case !idleSince.IsZero() && time.Since(idleSince) > g.idleLimit:
		return errIdleTooLong
	}
	if g.permit != nil {
		if err := g.permit(); err != nil {
			g.denied = err
			return err
		}
	}
	if g.onSend != nil {
		if err := g.onSend(); err != nil {
			return err
		}
	}
	g.acquired, g.firstByte = true, time.Now()
	return nil
}

// release records that nothing was written to the socket.
func (g *sendGuard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acquired = false
}

// sent reports whether a byte may have been sent, and the reason if the attempt was denied at its first byte.
func (g *sendGuard) sent() (sent bool, denied error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acquired, g.denied
}

// sinceFirstByte returns how long ago the first byte was sent; 0 if none was.
func (g *sendGuard) sinceFirstByte() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.acquired {
		return 0
	}
	return time.Since(g.firstByte)
}

// bind binds the guard to the connection that was chosen.
func (g *sendGuard) bind(c *workerConn) {
	g.mu.Lock()
	g.conn = c
	g.mu.Unlock()
	c.setGuard(g)
}

// connection returns the connection that was chosen last; nil if none was.
func (g *sendGuard) connection() *workerConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn
}
