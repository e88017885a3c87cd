package delivery

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which a connection does not take a request; nothing of it was sent then.
var (
	errAlreadySent = errors.New("delivery: a byte of this attempt was sent on another connection: report it as unknown")
	errIdleTooLong = errors.New("delivery: the connection was idle for about as long as the worker keeps it: use another")
	errSameMessage = errors.New("delivery: the connection has carried this message before: use another")
)

// workerConn is a connection to a worker that checks before the first byte of each request whether it may be sent.
type workerConn struct {
	net.Conn

	mu        sync.Mutex
	guard     *sendGuard // of the request that is about to be written
	lastID    string
	idleSince time.Time // zero while it has carried nothing
}

// setGuard binds the connection's next write to a guard.
func (c *workerConn) setGuard(g *sendGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = g
}

// markIdle records that a whole response was read.
func (c *workerConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
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

// sendGuard lets at most one connection carry an attempt, and only if that is permitted when the first byte is sent.
type sendGuard struct {
	id        string
	idleLimit time.Duration
	permit    func() error // nil for always
	onSend    func()       // called when the first byte is about to be sent

	mu        sync.Mutex
	conn      *workerConn
	acquired  bool
	firstByte time.Time // when the first byte was about to be sent
	denied    error
}

// acquire decides whether the first byte may be sent. lastID and idleSince describe the connection's earlier use.
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
	g.acquired, g.firstByte = true, time.Now()
	g.onSend()
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
