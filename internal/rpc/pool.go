package rpc

import (
	"context"
	"sync"
	"time"
)

const (
	minDialPause = 50 * time.Millisecond
	maxDialPause = 500 * time.Millisecond
	// firstDialTimeout limits the first dial of an address; the limit doubles with each consecutive failure. A SYN packet that was sent
	// before the peer's machine was up is retransmitted only after a second, whereas a new dial connects immediately.
	firstDialTimeout = 200 * time.Millisecond
)

// Pool keeps one connection for each address.
type Pool struct {
	handler Handler
	options Options
	monitor *monitor
	now     func() time.Time
	ctx     context.Context // cancelled when the pool is closed
	cancel  context.CancelFunc

	mutex   sync.Mutex
	entries map[string]*poolEntry
	closed  bool
}

// poolEntry is the state of one address.
type poolEntry struct {
	conn    *Conn
	dialing *poolDial
	timeout time.Duration // of the last dial, if it failed
	pause   time.Duration // after the last failed dial
	retryAt time.Time     // earliest time of the next dial
	err     error         // of the last dial
}

// poolDial is a dial in progress that several callers wait for.
type poolDial struct {
	done chan struct{}
	conn *Conn
	err  error
}

// NewPool returns an empty pool.
func NewPool(h Handler, o Options) *Pool {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		handler: h, options: o, monitor: newMonitor(o), now: time.Now, ctx: ctx, cancel: cancel,
		entries: make(map[string]*poolEntry),
	}
}

// Get returns the connection to address, dialing it if there is none. For a short time after a failed dial it returns that error
// immediately. Errors wrap ErrNotSent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	d, c, err := p.join(address)
	if d == nil {
		return c, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, notSent(ctx.Err())
	}
}

// join returns the open connection, the error of a recent dial, or the dial in progress, which it starts if there is none.
func (p *Pool) join(address string) (*poolDial, *Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, notSent(ErrClosed)
	}
	e := p.entries[address]
	if e == nil {
		e = &poolEntry{}
		p.entries[address] = e
	}
	switch {
	case e.conn != nil && !e.conn.isClosed():
		return nil, e.conn, nil
	case e.dialing != nil:
		return e.dialing, nil, nil
	case e.err != nil && p.now().Before(e.retryAt):
		return nil, nil, e.err
	}
	d := &poolDial{done: make(chan struct{})}
	e.dialing = d
	e.timeout = min(max(2*e.timeout, firstDialTimeout), p.options.DialTimeout)
	go p.dial(address, e, d, e.timeout)
	return d, nil, nil
}

func (p *Pool) dial(address string, e *poolEntry, d *poolDial, timeout time.Duration) {
	options := p.options
	options.DialTimeout = timeout
	d.conn, d.err = dial(p.ctx, address, p.handler, options, p.monitor)
	p.mutex.Lock()
	if d.err == nil && (p.closed || p.entries[address] != e) {
		_ = d.conn.socket.Close()
		d.conn, d.err = nil, notSent(ErrClosed)
	}
	e.dialing, e.conn, e.err = nil, d.conn, d.err
	if d.err == nil {
		e.pause, e.timeout = 0, 0
	} else {
		e.pause = min(max(2*e.pause, minDialPause), maxDialPause)
		e.retryAt = p.now().Add(e.pause)
	}
	p.mutex.Unlock()
	if c := d.conn; c != nil {
		c.start(func() { p.remove(address, c) })
	}
	close(d.done)
}

func (p *Pool) remove(address string, c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e := p.entries[address]; e != nil && e.conn == c && e.dialing == nil {
		delete(p.entries, address)
	}
}

// Peek returns the connection to address if it is open, else nil.
func (p *Pool) Peek(address string) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e := p.entries[address]; e != nil && e.conn != nil && !e.conn.isClosed() {
		return e.conn
	}
	return nil
}

// Drop closes the connection to address, if there is one, and resets its backoff. A dial in progress fails.
func (p *Pool) Drop(address string) {
	p.mutex.Lock()
	var c *Conn
	if e := p.entries[address]; e != nil {
		c = e.conn
	}
	delete(p.entries, address)
	p.mutex.Unlock()
	if c != nil {
		c.Close()
	}
}

// replacedAfterTicks is the number of monitor ticks without a received frame after which a connection to a replaced peer is dropped: half
// a second by default.
const replacedAfterTicks = 2

// DropReplaced closes the connection to an address on which another process is known to listen now, unless a frame was received recently:
// the connection may be one to the new process. Pending calls then fail immediately instead of after their deadline or PeerTimeout.
func (p *Pool) DropReplaced(address string) {
	if c := p.Peek(address); c != nil && c.silentTicks.Load() >= replacedAfterTicks {
		c.closeWithCause(ErrReplaced)
	}
}

// Close closes all connections; later Gets fail. It does not wait for OnClose of the connections.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	var conns []*Conn
	for _, e := range p.entries {
		if e.conn != nil {
			conns = append(conns, e.conn)
		}
	}
	p.entries = make(map[string]*poolEntry)
	p.mutex.Unlock()
	p.cancel()
	for _, c := range conns {
		c.Close()
	}
	p.monitor.stop()
}
