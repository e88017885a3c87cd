package backend

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"liftgauge/internal/http1"
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/sock"
)

var errPoolExhausted = errors.New("connection limit reached")

// conn is a connection to a host. It carries one request at a time: it is either in use, idle in the pool, or closed.
type conn struct {
	net.Conn
	reader     *http1.Reader
	host       string
	generation int           // of the host's pool when this was opened
	idleSince  time.Duration // when it was returned to the pool
	reused     bool          // it was taken from the pool, not newly opened
}

// hostPool holds the idle connections to a host, oldest first.
type hostPool struct {
	idle       []*conn
	generation int // incremented by forget: connections of earlier generations are not pooled again
}

// pool holds idle connections by host, and limits how many connections are open in total.
type pool struct {
	Config
	maxIdle time.Duration
	mu      sync.Mutex
	hosts   map[string]*hostPool
	open    int
	limit   int // of open connections
	closed  bool

	noReuseUntil time.Duration // no connection is pooled until then
	noReuseFor   time.Duration // length of the last such period
}

// When pooled connections break during a request, none are pooled for a period, which doubles each time.
const (
	minNoReuse = 5 * time.Second
	maxNoReuse = time.Minute
)

func newPool(c Config) *pool {
	// Well before the host closes idle connections: a request that races with such a close may have run.
	return &pool{Config: c, maxIdle: max(c.HostIdleTimeout*3/4, 8*time.Millisecond), hosts: map[string]*hostPool{}, limit: c.MaxConns}
}

// setLimit sets the limit of open connections. Idle ones over it are closed.
func (p *pool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.limit = n; p.open > n && p.evict(); {
	}
}

func (p *pool) host(name string) *hostPool {
	h := p.hosts[name]
	if h == nil {
		h = &hostPool{}
		p.hosts[name] = h
	}
	return h
}

// get returns a connection to a host: an intact idle one if there is one, else a new one.
func (p *pool) get(ctx context.Context, to engine.Host) (*conn, error) {
	for {
		c, generation, err := p.takeIdle(to.Name)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx, to, generation)
		}
		// Nothing of the request is written yet, so skipping a broken connection does not repeat a request.
		if p.Now()-c.idleSince < p.maxIdle && sock.Idle(c.Conn) {
			c.SetDeadline(time.Time{})
			c.reused = true
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle removes the most recently used idle connection, or makes room for a new one.
func (p *pool) takeIdle(name string) (c *conn, generation int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(name)
	if n := len(h.idle); n > 0 {
		c = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, h.generation, nil
	}
	if p.closed || p.open >= p.limit && !p.evict() {
		return nil, 0, errPoolExhausted
	}
	p.open++
	return nil, h.generation, nil
}

// evict closes the connection that has been idle longest, of any host.
func (p *pool) evict() bool {
	var oldest *hostPool
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince < oldest.idle[0].idleSince) {
			oldest = h
		}
	}
	if oldest == nil {
		return false
	}
	p.closeConn(oldest.idle[0])
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// closeConn closes a connection that is not in the pool.
func (p *pool) closeConn(c *conn) {
	c.Close()
	p.open--
}

func (p *pool) connect(ctx context.Context, to engine.Host, generation int) (*conn, error) {
	ctx, stop := context.WithTimeout(ctx, p.ConnectTimeout)
	defer stop()
	raw, err := p.Dial(ctx, to.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: raw, reader: http1.NewReader(raw), host: to.Name, generation: generation}, nil
}

// put returns a connection that can be reused.
func (p *pool) put(c *conn) {
	if c == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(c.host)
	if p.closed || c.generation != h.generation || p.Now() < p.noReuseUntil {
		p.closeConn(c)
		return
	}
	if p.open > p.limit {
		p.closeConn(c)
		return
	}
	c.idleSince = p.Now()
	h.idle = append(h.idle, c)
}

// drop closes a connection that was in use.
func (p *pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConn(c)
}

// suspendReuse guards against pooled connections that break during the next request, which may then have run: a network device
// or the host drops them early and silently. A new connection costs only a little time.
func (p *pool) suspendReuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	if now < p.noReuseUntil {
		return // the connection was pooled before the present period
	}
	if p.noReuseFor *= 2; now-p.noReuseUntil > maxNoReuse {
		p.noReuseFor = minNoReuse
	}
	p.noReuseFor = min(max(p.noReuseFor, minNoReuse), maxNoReuse)
	p.noReuseUntil = now + p.noReuseFor
	p.Log.Info("pooled connections break: reuse suspended", "for", p.noReuseFor)
	for _, h := range p.hosts {
		p.closeIdle(h)
	}
}

// resumeReuse ends the period without reuse: new connections break as well, so idling is not the cause.
func (p *pool) resumeReuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noReuseUntil, p.noReuseFor = 0, 0
}

// closeIdle closes the idle connections to a host.
func (p *pool) closeIdle(h *hostPool) {
	for _, c := range h.idle {
		p.closeConn(c)
	}
	h.idle = nil
}

// forget closes the idle connections to a host, and lets no connection opened before return to the pool.
func (p *pool) forget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[name]; h != nil {
		h.generation++
		p.closeIdle(h)
	}
}

// sweep closes connections that have been idle for too long.
func (p *pool) sweep(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		for len(h.idle) > 0 && now-h.idle[0].idleSince >= p.maxIdle {
			p.closeConn(h.idle[0])
			h.idle = slices.Delete(h.idle, 0, 1)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, h := range p.hosts {
		p.closeIdle(h)
	}
}
