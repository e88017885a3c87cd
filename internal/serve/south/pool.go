package south

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"liftgauge/internal/http1"
	"liftgauge/internal/serve/owner"
	"liftgauge/internal/sock"
)

var errNoRoom = errors.New("no room for a connection")

// conn is a connection to a host. It carries one request at a time: it is in use, or idle in the pool, or closed.
type conn struct {
	net.Conn
	r    *http1.Reader
	host string
	age  int           // of the host's pool when it was opened
	idle time.Duration // since when
	kept bool          // it has stood idle before what it carries now
}

// hostPool holds what is idle, the oldest first.
type hostPool struct {
	idle []*conn
	age  int // counts how often the host was forgotten
}

// pool holds connections by host, at most so many in all.
type pool struct {
	Config
	idleFor time.Duration
	mu      sync.Mutex
	hosts   map[string]*hostPool
	open    int
	limit   int // of those that are open
	ended   bool

	doubtTill time.Duration // no connection is kept until then,
	doubtFor  time.Duration // for so long
}

// Where kept connections break under what they carry, none are kept for a while, twice as long each time.
const (
	firstDoubt   = 5 * time.Second
	longestDoubt = time.Minute
)

func newPool(c Config) *pool {
	// Well before a host's machine would close it: a request that crosses such a close may have run.
	return &pool{Config: c, idleFor: max(c.Keepalive*3/4, 8*time.Millisecond), hosts: map[string]*hostPool{}, limit: c.MaxConns}
}

// setLimit changes how many may be open. Idle ones over it are closed.
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

// get returns a connection, an idle one if there is one that is whole.
func (p *pool) get(ctx context.Context, to owner.Host) (*conn, error) {
	for {
		c, age, err := p.take(to.Name)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx, to, age)
		}
		// Nothing of the request is written yet, so to pass by a broken connection repeats nothing.
		if p.Now()-c.idle < p.idleFor && sock.Idle(c.Conn) {
			c.SetDeadline(time.Time{})
			c.kept = true
			return c, nil
		}
		p.drop(c)
	}
}

// take takes an idle connection out, the one used last, or makes room for a new one.
func (p *pool) take(name string) (c *conn, age int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(name)
	if n := len(h.idle); n > 0 {
		c = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, h.age, nil
	}
	if p.ended || p.open >= p.limit && !p.evict() {
		return nil, 0, errNoRoom
	}
	p.open++
	return nil, h.age, nil
}

// evict closes the connection that stood idle longest, of any host.
func (p *pool) evict() bool {
	var oldest *hostPool
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idle < oldest.idle[0].idle) {
			oldest = h
		}
	}
	if oldest == nil {
		return false
	}
	p.shut(oldest.idle[0])
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// shut closes a connection that is in no list any more.
func (p *pool) shut(c *conn) {
	c.Close()
	p.open--
}

func (p *pool) connect(ctx context.Context, to owner.Host, age int) (*conn, error) {
	ctx, stop := context.WithTimeout(ctx, p.ConnectTimeout)
	defer stop()
	raw, err := p.Dial(ctx, to.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: raw, r: http1.NewReader(raw), host: to.Name, age: age}, nil
}

// put takes back a connection that can be used again.
func (p *pool) put(c *conn) {
	if c == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(c.host)
	if p.ended || c.age != h.age || p.Now() < p.doubtTill {
		p.shut(c)
		return
	}
	if p.open > p.limit {
		p.shut(c)
		return
	}
	c.idle = p.Now()
	h.idle = append(h.idle, c)
}

// drop closes a connection that was in use.
func (p *pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut(c)
}

// doubt guards against kept connections that break under the next request, which then may have run: something on the
// way, or the hosts themselves, drop them early and without a word. A new connection costs a little time instead.
func (p *pool) doubt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	if now < p.doubtTill {
		return // it was kept before that
	}
	if p.doubtFor *= 2; now-p.doubtTill > longestDoubt {
		p.doubtFor = firstDoubt
	}
	p.doubtFor = min(max(p.doubtFor, firstDoubt), longestDoubt)
	p.doubtTill = now + p.doubtFor
	p.Log.Info("kept connections break: none kept for a while", "for", p.doubtFor)
	for _, h := range p.hosts {
		p.empty(h)
	}
}

// trust ends the doubt: new connections break as well, so it is not their age that breaks kept ones.
func (p *pool) trust() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubtTill, p.doubtFor = 0, 0
}

// empty closes what is idle to a host.
func (p *pool) empty(h *hostPool) {
	for _, c := range h.idle {
		p.shut(c)
	}
	h.idle = nil
}

// forget closes what is idle to a host and keeps nothing that was opened before.
func (p *pool) forget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[name]; h != nil {
		h.age++
		p.empty(h)
	}
}

// sweep closes what stood idle for long.
func (p *pool) sweep(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		for len(h.idle) > 0 && now-h.idle[0].idle >= p.idleFor {
			p.shut(h.idle[0])
			h.idle = slices.Delete(h.idle, 0, 1)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, h := range p.hosts {
		p.empty(h)
	}
}
