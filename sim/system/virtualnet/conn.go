package virtualnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// windowBytes is how many unread bytes a direction may hold before writers block.
const windowBytes = 256 << 10

// pair holds the two ends of a connection.
type pair struct {
	net                      *Net
	dialerHost, acceptorHost *Host
	dialerIP, acceptorIP     string
	dialer, acceptor         *conn
}

// abort fails the connection on both sides.
func (p *pair) abort(err error) {
	p.dialer.in.fail(err)
	p.dialer.out.fail(err)
	p.net.removePair(p)
}

// closeSide closes the side of a killed host. The other side sees a reset, or nothing if silent.
func (p *pair) closeSide(h *Host, silent bool) {
	if !silent {
		p.abort(syscall.ECONNRESET)
		return
	}
	side := p.dialer
	if p.acceptorHost == h {
		side = p.acceptor
	}
	side.kill()
}

// conn is one end of a connection.
type conn struct {
	pair          *pair
	in, out       *stream
	local, remote *net.TCPAddr
	rewriter      *frameRewriter // nil if frames are not rewritten
}

// kill makes this end unusable without notifying the other one.
func (c *conn) kill() {
	c.in.loseReader()
	c.out.shutWriter()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.in.read(b)
	return n, c.wrap("read", err)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	sent := append([]byte(nil), b...)
	if c.rewriter != nil {
		sent = c.rewriter.rewrite(sent)
	}
	if err := c.out.write(sent); err != nil {
		return 0, c.wrap("write", err)
	}
	return len(b), nil
}

func (c *conn) wrap(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.in.shutReader()
	c.out.end()
	if c.in.isFinished() && c.out.isFinished() {
		c.pair.net.removePair(c.pair)
	}
	return nil
}

// CloseWrite closes the outgoing direction; net/http calls it.
func (c *conn) CloseWrite() error {
	c.out.end()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// stream is one direction of a connection.
type stream struct {
	net      *Net
	from, to string

	mu            sync.Mutex
	changed       chan struct{} // closed at the next change
	segments      []segment
	bytes         int
	lastAt        time.Time
	readDeadline  time.Time
	writeDeadline time.Time
	failed        error // error of both sides
	ended         bool  // the writer closed
	readerShut    bool
	readerLost    bool // the reader was killed silently: the writer's data is discarded without an error
	writerShut    bool
}

// segment is the data of one write; without data it marks the end of the direction.
type segment struct {
	at   time.Time // when it arrives, unless the link is cut then
	data []byte
}

func newStream(n *Net, from, to string) *stream {
	return &stream{net: n, from: from, to: to, changed: make(chan struct{})}
}

// signal wakes all waiting readers and writers. The caller holds the lock.
func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.signal()
}

func (s *stream) setDeadline(which *time.Time, t time.Time) { s.update(func() { *which = t }) }
func (s *stream) fail(err error) {
	s.update(func() {
		if s.failed == nil {
			s.failed = err
		}
	})
}
func (s *stream) shutReader() { s.update(func() { s.readerShut = true }) }
func (s *stream) loseReader() { s.update(func() { s.readerShut, s.readerLost = true, true }) }
func (s *stream) shutWriter() { s.update(func() { s.writerShut = true }) }

func (s *stream) isReaderLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readerLost
}

func (s *stream) isFinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed != nil || s.ended && s.readerShut
}

// end closes the direction for writing and sends the end marker.
func (s *stream) end() {
	s.update(func() {
		if !s.ended && !s.writerShut {
			s.ended = true
			s.push(nil)
		}
		s.writerShut = true
	})
}

// push queues a segment for delivery. The caller holds the lock.
func (s *stream) push(data []byte) {
	s.net.mu.Lock()
	at := time.Now().Add(s.net.delay())
	s.net.bytes += uint64(len(data))
	s.net.mu.Unlock()
	if at.Before(s.lastAt) {
		at = s.lastAt
	}
	s.lastAt = at
	s.segments = append(s.segments, segment{at: at, data: data})
	s.bytes += len(data)
}

func (s *stream) write(data []byte) error {
	for {
		s.mu.Lock()
		switch {
		case s.writerShut:
			s.mu.Unlock()
			return net.ErrClosed
		case s.failed != nil:
			s.mu.Unlock()
			return s.failed
		case s.readerLost:
			s.mu.Unlock()
			return nil
		case s.readerShut:
			s.mu.Unlock()
			return syscall.EPIPE
		case reached(s.writeDeadline):
			s.mu.Unlock()
			return os.ErrDeadlineExceeded
		case s.bytes < windowBytes:
			if len(data) > 0 {
				s.push(data)
				s.signal()
			}
			s.mu.Unlock()
			return nil
		}
		changed, limit := s.changed, s.writeDeadline
		s.mu.Unlock()
		wait(changed, nil, limit)
	}
}

func (s *stream) read(b []byte) (int, error) {
	for {
		s.net.mu.Lock()
		l := s.net.link(s.from, s.to)
		cut, linkChanged := l.cut, l.changed
		s.net.mu.Unlock()
		s.mu.Lock()
		switch {
		case s.readerShut:
			s.mu.Unlock()
			return 0, net.ErrClosed
		case reached(s.readDeadline):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case s.failed != nil:
			s.mu.Unlock()
			return 0, s.failed
		}
		var due time.Time
		if !cut && len(s.segments) > 0 {
			if head := &s.segments[0]; reached(head.at) {
				defer s.mu.Unlock()
				return s.take(b)
			}
			due = s.segments[0].at
		}
		changed, limit := s.changed, earlier(s.readDeadline, due)
		s.mu.Unlock()
		wait(changed, linkChanged, limit)
	}
}

// take reads from the first segment. The caller holds the lock.
func (s *stream) take(b []byte) (int, error) {
	head := &s.segments[0]
	if head.data == nil {
		return 0, io.EOF
	}
	n := copy(b, head.data)
	head.data = head.data[n:]
	s.bytes -= n
	if len(head.data) == 0 {
		s.segments[0] = segment{}
		s.segments = s.segments[1:]
	}
	s.signal()
	return n, nil
}

// reached reports whether a time has been reached; the zero time never is.
func reached(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// wait returns when either channel is closed, or at the given time unless it is zero.
func wait(changed, also <-chan struct{}, until time.Time) {
	var due <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-changed:
	case <-also:
	case <-due:
	}
}
