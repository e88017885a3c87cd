package rpc

import (
	"io"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	readBufferSize = 4096
	// initialBodyBytes limits the allocation for a body before any of it has arrived.
	initialBodyBytes = 256 << 10
)

var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// reader reads frames from a connection. It holds a buffer only while there are unread bytes.
type reader struct {
	conn       *Conn
	buffer     *[readBufferSize]byte
	start, end int // unread part of buffer
}

// run handles frames until the connection is closed, and returns the cause.
func (r *reader) run() error {
	defer r.release()
	var head [headerSize]byte
	for {
		if err := r.readFull(head[:]); err != nil {
			return err
		}
		h := parseHeader(head[:])
		if h.length > r.conn.options.MaxFrame {
			return errors.Wrapf(ErrMalformed, "length %d", h.length)
		}
		body, err := r.readBody(h.length)
		if err != nil {
			return err
		}
		r.conn.receivedFrames.Add(1)
		r.conn.handle(h, body)
		if r.conn.isClosed() {
			return ErrClosed
		}
	}
}

func (r *reader) readBody(length int) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	body := make([]byte, min(length, initialBodyBytes))
	if err := r.readFull(body); err != nil {
		return nil, err
	}
	for len(body) < length {
		filled := len(body)
		longer := make([]byte, min(length, 4*filled))
		copy(longer, body)
		body = longer
		if err := r.readFull(body[filled:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// readFull fills b, first from the buffer. Reads of at least the buffer's size go directly into b.
func (r *reader) readFull(b []byte) error {
	for len(b) > 0 {
		if r.start == r.end {
			if len(b) >= readBufferSize {
				r.release()
				n, err := r.readInto(b)
				if err != nil {
					return err
				}
				b = b[n:]
				continue
			}
			if err := r.fill(); err != nil {
				return err
			}
		}
		n := copy(b, r.buffer[r.start:r.end])
		r.start += n
		b = b[n:]
	}
	return nil
}

// fill reads available bytes into the buffer. On a system socket it waits for them without holding a buffer.
func (r *reader) fill() error {
	r.start, r.end = 0, 0
	if r.conn.raw == nil {
		if r.buffer == nil {
			r.buffer = readBuffers.Get().(*[readBufferSize]byte)
		}
		n, err := r.conn.socket.Read(r.buffer[:])
		r.end = n
		return errorUnlessRead(n, err)
	}
	return r.wait(func(fd int) (bool, error) {
		if r.buffer == nil {
			r.buffer = readBuffers.Get().(*[readBufferSize]byte)
		}
		n, again, err := readOnce(fd, r.buffer[:])
		if again {
			r.release()
		}
		r.end = n
		return !again, err
	})
}

// errorUnlessRead drops the error of a read that returned bytes; the next read reports it again.
func errorUnlessRead(n int, err error) error {
	if n > 0 {
		return nil
	}
	return err
}

func (r *reader) readInto(b []byte) (n int, err error) {
	if r.conn.raw == nil {
		n, err = r.conn.socket.Read(b)
		return n, errorUnlessRead(n, err)
	}
	err = r.wait(func(fd int) (bool, error) {
		var again bool
		var err error
		n, again, err = readOnce(fd, b)
		return !again, err
	})
	return n, err
}

// wait calls f whenever the socket is readable until f reports that it is finished.
func (r *reader) wait(f func(fd int) (finished bool, err error)) error {
	var failed error
	err := r.conn.raw.Read(func(fd uintptr) bool {
		var finished bool
		finished, failed = f(int(fd))
		return finished || failed != nil
	})
	if err != nil {
		return err
	}
	return failed
}

func (r *reader) release() {
	if r.buffer != nil {
		readBuffers.Put(r.buffer)
		r.buffer = nil
	}
	r.start, r.end = 0, 0
}

// readOnce reads without blocking; again reports that no bytes were available.
func readOnce(fd int, b []byte) (n int, again bool, err error) {
	for {
		n, err = syscall.Read(fd, b)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, true, nil
		case err != nil:
			return 0, false, errors.Wrap(err, "rpc: read")
		case n == 0:
			return 0, false, io.EOF
		default:
			return n, false, nil
		}
	}
}

// handle dispatches one frame.
func (c *Conn) handle(h header, body []byte) {
	if h.frameType == framePing {
		_ = c.send(outgoingFrame{header: header{frameType: framePong}})
		return
	}
	if h.frameType == framePong {
		return
	}
	c.dataFrames.Add(1)
	switch h.frameType {
	case frameNotify:
		c.handler.Handle(c, Kind(h.kind), body, nil)
	case frameCall:
		c.handler.Handle(c, Kind(h.kind), body, func(body []byte, err error) { c.answer(h.id, body, err) })
	case frameAnswer:
		if waiting := c.removeCall(h.id); waiting != nil {
			waiting.finish(c, body, nil)
		}
	case frameRefusal:
		if waiting := c.removeCall(h.id); waiting != nil {
			waiting.finish(c, nil, &RemoteError{Code: h.kind, Text: string(body)})
		}
	}
}

// answer sends the result of a call of the peer.
func (c *Conn) answer(id uint64, body []byte, err error) {
	if err == nil && len(body) > c.options.MaxFrame {
		err = ErrTooLong
	}
	if err == nil {
		_ = c.send(outgoingFrame{header: header{frameType: frameAnswer, id: id}, body: body})
		return
	}
	refusal := &RemoteError{Text: err.Error()}
	errors.As(err, &refusal)
	_ = c.send(outgoingFrame{header: header{frameType: frameRefusal, kind: refusal.Code, id: id}, body: []byte(refusal.Text)})
}
