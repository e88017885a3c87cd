package delivery

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which a connection does not take a request; nothing of it was sent then.
var (
	errAlreadySent = errors.New("delivery: a byte of this attempt went out on another connection: report it as unknown")
	errIdleTooLong = errors.New("delivery: the connection was idle for about as long as the worker keeps it: use another")
	errSameMessage = errors.New("delivery: the connection has carried this message before: use another")
)

// workerConn is a connection to a worker that asks before the first byte of each request whether it may go out.
type workerConn struct {
	net.Conn

	mu        sync.Mutex
	guard     *sendGuard // of the request that is about to be written
	lastID    string
	idleSince time.Time // zero while it has carried nothing
}

// expect binds the connection's next write to a gate.
func (c *workerConn) setGuard(g *sendGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = g
}

// idle notes that a whole answer was read.
func (c *workerConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
}

// Write asks the gate first if there is one.
func (c *workerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	g := c.guard
	c.guard = nil
	if g == nil {
		c.mu.Unlock()
		return c.Conn.Write(p)
	}
	err := g.acquire(c.lastID, c.idleSince)
	c.lastID, c.idleSince = g.id, time.Time{}
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

// gate lets at most one connection carry an attempt, and only if that is allowed at the moment of the first byte.
type sendGuard struct {
	id        string
	idleLimit time.Duration
	permit    func() error // nil for always
	onSend    func()       // called when the first byte is about to go out

	mu       sync.Mutex
	conn     *workerConn
	acquired bool
	denied   error
}

// enter decides about the first byte. lastID and idleSince tell what the connection did before.
func (g *sendGuard) acquire(lastID string, idleSince time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.acquired:
		return errAlreadySent
	case g.id != "" && lastID == g.id:
		return errSameMessage
	case !idleSince.IsZero() && time.Since(idleSince) > g.idleLimit:
		return errIdleTooLong
	}
	if g.permit != nil {
		if err := g.permit(); err != nil {
			g.denied = err
			return err
		}
	}
	g.acquired = true
	g.onSend()
	return nil
}

// leaveUnsent notes that the socket took nothing.
func (g *sendGuard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acquired = false
}

// sent tells whether a byte may have left, and the reason if the attempt was refused at its first byte.
func (g *sendGuard) sent() (sent bool, denied error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acquired, g.denied
}

// use binds the gate to the connection that was chosen.
func (g *sendGuard) bind(c *workerConn) {
	g.mu.Lock()
	g.conn = c
	g.mu.Unlock()
	c.setGuard(g)
}

// connection is the one that was chosen last; nil if none was.
func (g *sendGuard) connection() *workerConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn
}
