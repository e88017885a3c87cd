package north

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"liftgauge/internal/budget"
	"liftgauge/internal/http1"
	"liftgauge/internal/serve/owner"
	"liftgauge/internal/sock"
)

// conn is one connection. Between requests it is idle and may be closed by the server; from a request's first byte on
// it is busy until the answer is written.
type conn struct {
	net.Conn
	s      *Server
	r      *http1.Reader
	peeked chan error // the one read that is under way, if any: of the first byte of the next request, or of what follows it
	early  bool       // the next request has begun before the answer to this one
	ending bool       // the server has shut it: what had come is answered, as the last
	buf    []byte
	gone   chan struct{} // closed when it is

	pass chan struct{} // asks the goroutine to pass the connection on to a successor, if it waits for an answer

	// Guarded by the server's lock.
	idle, closed bool
	since        time.Duration // when it became idle
	used         int           // requests so far
}

func newConn(s *Server, raw net.Conn) *conn {
	return &conn{Conn: raw, s: s, r: http1.NewReader(raw), pass: make(chan struct{}, 1), gone: make(chan struct{}), idle: true, since: s.Now()}
}

// shut ends an idle connection from outside its goroutine, under the server's lock. The goroutine closes it, which alone knows what it has
// read: a request whose bytes have come by then is answered.
func (c *conn) shut() {
	c.closed = true
	c.s.shutting++
	c.endRead()
}

// endRead ends a read that is under way, or the next one.
func (c *conn) endRead() { c.SetReadDeadline(time.Unix(1, 0)) }

// rest gives a connection so long until the next request, unless it has been shut.
func (c *conn) rest(limit time.Duration) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if !c.closed {
		c.SetReadDeadline(time.Now().Add(limit))
	}
}

// mark moves between idle and busy. False: the server has closed the connection.
func (c *conn) mark(idle bool) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.idle = idle; idle {
		c.since = c.s.Now()
	} else {
		c.used++
	}
	return !c.closed
}

// peek begins to wait for the first byte of the next request, or the client's leaving, unless that is under way.
func (c *conn) peek() <-chan error {
	if c.peeked == nil {
		c.read(func() error {
			_, err := c.r.Peek(1)
			return err
		})
	}
	return c.peeked
}

// more waits for the client's leaving where the next request has begun: it reads on as far as the buffer has room.
func (c *conn) more() <-chan error {
	c.early = true
	c.read(func() (err error) {
		for err == nil {
			_, err = c.r.Peek(c.r.Buffered() + 1)
		}
		return err
	})
	return c.peeked
}

func (c *conn) read(f func() error) {
	done := make(chan error, 1)
	c.peeked = done
	go func() { done <- f() }()
}

// first waits for the first byte of a request.
func (c *conn) first() (err error) {
	switch {
	case c.early: // it is here: only the client's leaving was waited for
		c.early = false
		if c.peeked != nil {
			c.endRead()
			<-c.peeked
			c.peeked = nil
		}
		return nil
	case c.peeked != nil:
		err = <-c.peeked
		c.peeked = nil
	default:
		_, err = c.r.Peek(1)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !sock.Idle(c.Conn) { // it came as the read ended
		c.SetReadDeadline(time.Now().Add(readLimit))
		_, err = c.r.Peek(1)
	}
	return err
}

// serve answers requests until either side ends the connection. One that is over the limit gets one answer.
func (c *conn) serve(full bool) {
	for limit := firstLimit; ; limit = idleLimit {
		if c.s.at() >= Ending {
			limit = endLimit
		}
		c.rest(limit)
		err := c.first()
		if err != nil || c.s.over() {
			return
		}
		c.ending = !c.mark(false)
		c.SetReadDeadline(time.Now().Add(readLimit))
		head, err := c.r.ReadRequest()
		if err != nil {
			c.reject(err)
			return
		}
		if head.Fields.Has("Expect", "100-continue") && (head.Length > 0 || head.Chunked) {
			if !c.write(100, nil, nil) {
				return
			}
		}
		again, err := c.handle(head, full)
		if err != nil {
			c.reject(err)
			return
		}
		if !again || !c.mark(true) {
			return
		}
	}
}

// skip reads a body that nobody needs.
func (c *conn) skip(head *http1.Request) error {
	err := c.r.SkipBody(&head.Head, http1.MaxBody)
	c.SetReadDeadline(time.Time{})
	return err
}

// reject answers what cannot be read, where there is an answer; the connection ends.
func (c *conn) reject(err error) {
	var e *http1.Error
	var timeout net.Error
	switch {
	case errors.As(err, &e):
		c.finish(e.Status, true, nil, []byte(e.Reason+"\n"))
	case errors.As(err, &timeout) && timeout.Timeout():
		c.finish(408, true, nil, nil)
	}
}

// finish writes an answer. False says that the connection ends.
func (c *conn) finish(status int, last bool, fields http1.Fields, body []byte) bool {
	if last {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	if !c.write(status, fields, body) || last {
		if last { // let the answer arrive: to close with bytes unread would reset it away
			c.linger()
		}
		return false
	}
	return true
}

func (c *conn) write(status int, fields http1.Fields, body []byte) bool {
	c.SetWriteDeadline(time.Now().Add(writeLimit))
	c.buf = http1.AppendResponseHead(c.buf[:0], status, fields, len(body))
	var err error
	if len(body) == 0 {
		_, err = c.Write(c.buf)
	} else { // the result is not copied
		answer := net.Buffers{c.buf, body}
		_, err = answer.WriteTo(c.Conn)
	}
	return err == nil
}

// linger ends the sending side and reads on for a little, so that an answer is not lost to bytes still on the way.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(lingerLimit))
	if c.peeked != nil { // that read goes before
		err := <-c.peeked
		if c.peeked = nil; err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
	}
	io.CopyN(io.Discard, c.Conn, lingerMost)
}

// handle reads the rest of a request and answers it. Again says that the connection goes on; an error is one of reading.
//
// Nothing of a body is kept for which the budget has no room: a message is read past and gets a back-off answer, and a
// call-back is not read on until others are dealt with.
func (c *conn) handle(head *http1.Request, full bool) (again bool, err error) {
	size, err := head.BodySize(http1.MaxBody)
	if err != nil {
		return false, err
	}
	// An answer to HEAD would have no body, which no answer here knows of: such a connection ends.
	ends := head.Close || full || c.ending || head.Method == "HEAD"
	last := ends || c.s.at() >= Closing
	if head.Path == "/-/ready" || head.Path == "/callback" {
		want := "GET"
		if head.Path == "/callback" {
			want = "POST"
		}
		if head.Method == want && want == "POST" {
			return c.callback(head, size, last)
		}
		if err := c.skip(head); err != nil {
			return false, err
		}
		switch {
		case head.Method != want:
			return c.finish(405, last, http1.Fields{{Name: "Allow", Value: want}}, nil), nil
		case !c.s.Ready():
			return c.finish(503, last, nil, nil), nil
		}
		return c.finish(200, last, nil, nil), nil
	}
	m, call, err := c.s.message(head)
	var e *http1.Error
	if errors.As(err, &e) {
		if err := c.skip(head); err != nil {
			return false, err
		}
		var fields http1.Fields
		if e.Status == 405 {
			fields = http1.Fields{{Name: "Allow", Value: "POST"}}
		}
		return c.finish(e.Status, last || e.Status == 400, fields, []byte(e.Reason+"\n")), nil
	}
	hold := c.s.Budget.Take(size, budget.Message+c.s.result.Load())
	if hold == nil {
		if err := c.skip(head); err != nil {
			return false, err
		}
		c.s.taken.Add(1)
		c.s.end(m.Job.Class, declined)
		return c.finish(503, last, nil, nil), nil
	}
	defer hold.Drop()
	body, err := c.r.ReadBodyInto(&head.Head, hold.Buffer())
	if err != nil {
		return false, err
	}
	c.SetReadDeadline(time.Time{})
	call.Body, call.Hold = body, hold
	if c.s.Wrap != nil {
		m.Payload = c.s.Wrap(m.Job.Class, call)
	}
	c.s.arrive(m) // a request counts from its last byte
	return c.await(m, hold, ends, full), nil
}

// callback reads a host's call and deals with it.
func (c *conn) callback(head *http1.Request, size int, last bool) (again bool, err error) {
	within, stop := context.WithTimeout(c.s.run, readLimit)
	hold, err := c.s.Budget.Call(within, size)
	stop()
	if err != nil { // the host says it again
		if err := c.skip(head); err != nil {
			return false, err
		}
		return c.finish(503, last, nil, nil), nil
	}
	defer hold.Drop()
	c.SetReadDeadline(time.Now().Add(readLimit))
	body, err := c.r.ReadBodyInto(&head.Head, hold.Buffer())
	if err != nil {
		return false, err
	}
	c.SetReadDeadline(time.Time{})
	status, reason := c.s.callback(body, hold)
	return c.finish(status, last, nil, reason), nil
}

// await hands in a message and answers it.
func (c *conn) await(m *owner.Message, hold *budget.Hold, last, full bool) bool {
	c.s.open.Add(1)
	defer c.s.open.Add(-1)
	c.s.taken.Add(1)
	reply := c.expect(m, hold)
	// What is turned away here has reached no host: trying again is harmless.
	if full || c.s.at() >= Ending || !c.s.Desk.Submit(m) {
		hold.Drop()
		c.s.end(m.Job.Class, declined)
		return c.finish(503, last || c.s.at() >= Closing, nil, nil)
	}
	return c.wait(m, reply, last)
}

// expect has the answer of a message come by a channel.
func (c *conn) expect(m *owner.Message, hold *budget.Hold) <-chan owner.Answer {
	reply := make(chan owner.Answer, 1)
	m.Reply = func(a owner.Answer) {
		hold.Grow(c.s.resulted(len(a.Result)))
		reply <- a
	}
	hold.Share()
	m.Settled = hold.Drop
	return reply
}

// wait answers a message that is handed in, or hands its connection on.
func (c *conn) wait(m *owner.Message, reply <-chan owner.Answer, last bool) bool {
	class := m.Job.Class
	select { // of a message before
	case <-c.pass:
	default:
	}
	gone := c.peek()
	for {
		select {
		case a := <-reply:
			if len(a.Result) > http1.MaxBody { // of a worker that speaks something else: no answer here may be so long
				c.s.Log.Warn("result too long for HTTP", "message", m.Key, "bytes", len(a.Result))
				a = owner.Answer{Kind: owner.Failed}
			}
			c.s.end(class, [...]int{owner.Failed: aborted, owner.Served: succeeded, owner.BackOff: declined}[a.Kind])
			return c.give(a, last || c.s.at() >= Closing)
		case <-c.s.ended: // the program ends without waiting for answers
			c.s.end(class, aborted)
			return false
		case <-c.pass:
			if c.early { // more has come already and is read here: the successor would not see it
				continue
			}
			if c.handOn(m, gone, last) {
				return false
			}
			gone = c.peek()
		case err := <-gone:
			switch c.peeked = nil; {
			case errors.Is(err, bufio.ErrBufferFull): // of a client that sends so much ahead no leaving is seen
				gone = nil
			case err != nil:
				c.s.Desk.Gone(m)
				c.s.end(class, aborted)
				return false
			default: // the next request has come early, and waits in the buffer
				gone = c.more()
			}
		}
	}
}

// give writes a final answer.
func (c *conn) give(a owner.Answer, last bool) bool {
	switch a.Kind {
	case owner.Served:
		return c.finish(200, last, nil, a.Result)
	case owner.BackOff:
		var fields http1.Fields
		if a.Wait > 0 {
			wait := strconv.FormatFloat(a.Wait.Seconds(), 'f', 3, 64)
			fields = http1.Fields{{Name: "Retry-After", Value: wait}}
		}
		return c.finish(503, last, fields, nil)
	}
	return c.finish(502, last, nil, nil)
}
