package rpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is one connection. All its methods may be called from any goroutine.
type Conn struct {
	socket      net.Conn
	raw         syscall.RawConn // nil if the socket is not an operating system TCP socket
	handler     Handler
	options     Options
	address     string
	dialed      bool
	monitor     *monitor
	activity    activity
	silentTicks atomic.Int32 // ticks of the monitor since the last received frame

	receivedFrames atomic.Uint32 // number of received frames; wraps around
	dataFrames     atomic.Uint32 // number of frames other than pings and pongs, in both directions; wraps around
	done           chan struct{}

	mutex    sync.Mutex
	queue    []outgoingFrame
	queued   int  // bytes in queue and in the batch being written
	writing  bool // a goroutine is writing
	lastID   uint64
	calls    map[uint64]*call
	closed   bool
	closeErr error
	tag      any
}

func newConn(socket net.Conn, address string, dialed bool, h Handler, o Options, m *monitor) (*Conn, error) {
	var raw syscall.RawConn
	if system, ok := socket.(*net.TCPConn); ok {
		var err error
		if raw, err = system.SyscallConn(); err != nil {
			return nil, errors.Wrap(err, "rpc: socket")
		}
	}
	return &Conn{
		socket: socket, raw: raw, handler: h, options: o, address: address, dialed: dialed, monitor: m,
		done: make(chan struct{}), calls: make(map[uint64]*call),
	}, nil
}

// start starts the read goroutine; onClose, if not nil, is called before Options.OnClose.
func (c *Conn) start(onClose func()) {
	c.monitor.add(c)
	go func() {
		r := reader{conn: c}
		c.closeWithCause(r.run())
		c.monitor.remove(c)
		if onClose != nil {
			onClose()
		}
		if c.options.OnClose != nil {
			c.options.OnClose(c, c.Err())
		}
	}()
}

// Dial opens a single connection with a monitor of its own; use a Pool for more than one.
func Dial(ctx context.Context, address string, h Handler, o Options) (*Conn, error) {
	o = o.withDefaults()
	m := newMonitor(o)
	c, err := dial(ctx, address, h, o, m)
	if err != nil {
		m.stop()
		return nil, err
	}
	c.start(m.stop)
	return c, nil
}

// dial opens a connection without starting it.
func dial(ctx context.Context, address string, h Handler, o Options, m *monitor) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	socket, err := o.open(ctx, address)
	if err != nil {
		return nil, notSent(err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = socket.SetDeadline(deadline)
	}
	_, err = socket.Write(preamble())
	if err == nil {
		err = readPreamble(socket)
	}
	if err == nil {
		err = socket.SetDeadline(time.Time{})
	}
	var c *Conn
	if err == nil {
		c, err = newConn(socket, address, true, h, o, m)
	}
	if err != nil {
		_ = socket.Close()
		return nil, notSent(errors.Wrapf(err, "rpc: handshake with %s", address))
	}
	return c, nil
}

func (o *Options) open(ctx context.Context, address string) (net.Conn, error) {
	if o.Network != nil {
		return o.Network.DialContext(ctx, "tcp", address)
	}
	dialer := net.Dialer{KeepAlive: -1, Control: controlUserTimeout(o.UserTimeout)}
	return dialer.DialContext(ctx, "tcp", address)
}

// Notify queues a frame that has no answer. It never waits for the peer; all frames, including calls, are sent in the order in which
// they were queued. body must not be modified afterwards. An error wraps ErrNotSent.
func (c *Conn) Notify(kind Kind, body []byte) error {
	return c.send(outgoingFrame{header: header{frameType: frameNotify, kind: uint16(kind)}, body: body})
}

// Done returns a channel that is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns the cause for which the connection was closed, or nil while it is open.
func (c *Conn) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closeErr
}

// Close closes the connection; queued frames are dropped, and pending calls fail with ErrResponseLost or ErrNotSent.
func (c *Conn) Close() { c.closeWithCause(ErrClosed) }

// RemoteAddress returns the address that was dialed, or that of the peer's socket on an accepted connection.
func (c *Conn) RemoteAddress() string { return c.address }

// Dialed reports whether this side opened the connection.
func (c *Conn) Dialed() bool { return c.dialed }

// SetTag attaches a value for the use of the connection's owner.
func (c *Conn) SetTag(tag any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.tag = tag
}

// Tag returns the last attached value.
func (c *Conn) Tag() any {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.tag
}

// closeWithCause closes the connection; only the first cause is kept.
func (c *Conn) closeWithCause(cause error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return
	}
	c.closed, c.closeErr = true, cause
	calls := c.calls
	c.calls, c.queue = nil, nil
	c.mutex.Unlock()
	close(c.done)
	_ = c.socket.Close()
	for _, waiting := range calls {
		waiting.finish(c, nil, cause)
	}
}

func (c *Conn) isClosed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}
