package north

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"liftgauge/internal/http1"
	"liftgauge/internal/owner"
)

// conn is one connection. Between requests it is idle and may be closed by the server; from a request's first byte on
// it is busy until the answer is written.
type conn struct {
	net.Conn
	s      *Server
	r      *http1.Reader
	peeked chan error // the one read that is under way, if any: of the first byte of the next request
	buf    []byte

	// Guarded by the server's lock.
	idle, closed bool
	since        time.Duration // when it became idle
	used         int           // requests so far
}

func newConn(s *Server, raw net.Conn) *conn {
	return &conn{Conn: raw, s: s, r: http1.NewReader(raw), idle: true, since: s.Now()}
}

// shut ends a connection from outside its goroutine, under the server's lock.
func (c *conn) shut() {
	c.closed = true
	c.Close()
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
		done := make(chan error, 1)
		c.peeked = done
		go func() {
			_, err := c.r.Peek(1)
			done <- err
		}()
	}
	return c.peeked
}

// serve answers requests until either side ends the connection. One that is over the limit gets one answer.
func (c *conn) serve(full bool) {
	for limit := firstLimit; ; limit = idleLimit {
		if c.s.at() >= Ending {
			limit = endLimit
		}
		c.SetReadDeadline(time.Now().Add(limit))
		var err error
		if c.peeked != nil {
			err = <-c.peeked
			c.peeked = nil
		} else {
			_, err = c.r.Peek(1)
		}
		if err != nil || !c.mark(false) {
			return
		}
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
		body, err := c.r.ReadBody(&head.Head, http1.MaxBody)
		if err != nil {
			c.reject(err)
			return
		}
		c.SetReadDeadline(time.Time{})
		if !c.handle(head, body, full) || !c.mark(true) {
			return
		}
	}
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
	c.buf = http1.AppendResponse(c.buf[:0], status, fields, body)
	_, err := c.Write(c.buf)
	if cap(c.buf) > 16<<10 {
		c.buf = nil
	}
	return err == nil
}

// linger ends the sending side and reads on for a little, so that an answer is not lost to bytes still on the way.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.peeked != nil || half.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(lingerLimit))
	io.CopyN(io.Discard, c.Conn, lingerMost)
}

// handle answers one request. False says that the connection ends.
func (c *conn) handle(head *http1.Request, body []byte, full bool) bool {
	// An answer to HEAD would have no body, which no answer here knows of: such a connection ends.
	last := head.Close || full || c.s.at() >= Closing || head.Method == "HEAD"
	switch head.Path {
	case "/-/ready":
		if head.Method != "GET" {
			return c.finish(405, last, http1.Fields{{Name: "Allow", Value: "GET"}}, nil)
		}
		if c.s.at() != Serving {
			return c.finish(503, last, nil, nil)
		}
		return c.finish(200, last, nil, nil)
	case "/callback":
		if head.Method != "POST" {
			return c.finish(405, last, http1.Fields{{Name: "Allow", Value: "POST"}}, nil)
		}
		status, reason := c.s.callback(body)
		return c.finish(status, last, nil, reason)
	}
	m, err := c.s.message(head, body)
	var e *http1.Error
	if errors.As(err, &e) {
		var fields http1.Fields
		if e.Status == 405 {
			fields = http1.Fields{{Name: "Allow", Value: "POST"}}
		}
		return c.finish(e.Status, last || e.Status == 400, fields, []byte(e.Reason+"\n"))
	}
	return c.await(m, last, full)
}

// await hands in a message and answers it.
func (c *conn) await(m *owner.Message, last, full bool) bool {
	c.s.open.Add(1)
	defer c.s.open.Add(-1)
	c.s.taken.Add(1)
	class := m.Job.Class
	reply := make(chan owner.Answer, 1)
	m.Reply = func(a owner.Answer) { reply <- a }
	// What is turned away here has reached no host: trying again is harmless.
	if full || c.s.at() >= Ending || !c.s.Desk.Submit(m) {
		c.s.end(class, declined)
		return c.finish(503, last, nil, nil)
	}
	gone := c.peek()
	for {
		select {
		case a := <-reply:
			c.s.end(class, [...]int{owner.Failed: aborted, owner.Served: succeeded, owner.BackOff: declined}[a.Kind])
			return c.give(a, last || c.s.at() >= Closing)
		case <-c.s.ended: // the program ends without waiting for answers
			c.s.end(class, aborted)
			return false
		case err := <-gone:
			if err != nil {
				c.s.Desk.Gone(m)
				c.s.end(class, aborted)
				return false
			}
			// The next request has come early. It waits in the buffer.
			gone, c.peeked = nil, make(chan error, 1)
			c.peeked <- nil
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
