package clientlistener

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
	"liftgauge/internal/serve/engine"
	"liftgauge/internal/sock"
)

// conn is a client's connection. Between requests it is idle and may be closed by the server; from a request's first byte
// until the answer is written it is busy.
type conn struct {
	net.Conn
	server      *Server
	reader      *http1.Reader
	pendingRead chan error // result of the read in progress, if any: of the next request's first byte, or of the bytes after it
	nextBegun   bool       // the next request began before this one was answered
	lastRequest bool       // the server has shut it down: the request that had arrived is answered, as the last
	buf         []byte
	done        chan struct{} // closed when the connection is

	handOverRequested chan struct{} // requests handover to a successor, if an answer is awaited

	// Guarded by the server's mu.
	idle, isShutDown bool
	idleSince        time.Duration
	requests         int // started so far
}

func newConn(s *Server, raw net.Conn) *conn {
	return &conn{Conn: raw, server: s, reader: http1.NewReader(raw), handOverRequested: make(chan struct{}, 1), done: make(chan struct{}), idle: true, idleSince: s.Now()}
}

// shutDown ends an idle connection from another goroutine, which holds the server's mu. The connection's own goroutine closes it, since
// only that knows what it has read: a request whose bytes have arrived by then is answered.
func (c *conn) shutDown() {
	c.isShutDown = true
	c.server.shutDown++
	c.interruptRead()
}

// interruptRead ends the read in progress, or the next one.
func (c *conn) interruptRead() { c.SetReadDeadline(time.Unix(1, 0)) }

// setIdleDeadline limits the time until the next request, unless the connection has been shut down.
func (c *conn) setIdleDeadline(limit time.Duration) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.isShutDown {
		c.SetReadDeadline(time.Now().Add(limit))
	}
}

// setIdle switches between idle and busy. False: the server has shut the connection down.
func (c *conn) setIdle(idle bool) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.idle = idle; idle {
		c.idleSince = c.server.Now()
	} else {
		c.requests++
	}
	return !c.isShutDown
}

// peek starts to wait for the next request's first byte or the client's disconnecting, unless a read is in progress.
func (c *conn) peek() <-chan error {
	if c.pendingRead == nil {
		c.read(func() error {
			_, err := c.reader.Peek(1)
			return err
		})
	}
	return c.pendingRead
}

// readAhead detects the client's disconnecting when the next request has begun: it reads as far as the buffer has room.
func (c *conn) readAhead() <-chan error {
	c.nextBegun = true
	c.read(func() (err error) {
		for err == nil {
			_, err = c.reader.Peek(c.reader.Buffered() + 1)
		}
		return err
	})
	return c.pendingRead
}

func (c *conn) read(f func() error) {
	done := make(chan error, 1)
	c.pendingRead = done
	go func() { done <- f() }()
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() (err error) {
	switch {
	case c.nextBegun: // already buffered: the read in progress only detects disconnecting
		c.nextBegun = false
		if c.pendingRead != nil {
			c.interruptRead()
			<-c.pendingRead
			c.pendingRead = nil
		}
		return nil
	case c.pendingRead != nil:
		err = <-c.pendingRead
		c.pendingRead = nil
	default:
		_, err = c.reader.Peek(1)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !sock.Idle(c.Conn) { // it arrived as the deadline passed
		c.SetReadDeadline(time.Now().Add(readTimeout))
		_, err = c.reader.Peek(1)
	}
	return err
}

// serve answers requests until either side ends the connection. A connection over the limit gets one answer.
func (c *conn) serve(full bool) {
	for limit := firstRequestTimeout; ; limit = idleTimeout {
		if c.server.currentPhase() >= Ending {
			limit = refusingIdleTimeout
		}
		c.setIdleDeadline(limit)
		err := c.awaitRequest()
		if err != nil || c.server.isDone() {
			return
		}
		c.lastRequest = !c.setIdle(false)
		c.SetReadDeadline(time.Now().Add(readTimeout))
		head, err := c.reader.ReadRequest()
		if err != nil {
			c.reject(err)
			return
		}
		if head.Fields.Has("Expect", "100-continue") && (head.Length > 0 || head.Chunked) {
			if !c.write(100, nil, nil) {
				return
			}
		}
		keepAlive, err := c.handle(head, full)
		if err != nil {
			c.reject(err)
			return
		}
		if !keepAlive || !c.setIdle(true) {
			return
		}
	}
}

// discardBody reads and discards a body.
func (c *conn) discardBody(head *http1.Request) error {
	err := c.reader.SkipBody(&head.Head, http1.MaxBody)
	c.SetReadDeadline(time.Time{})
	return err
}

// reject answers a request that cannot be read, if the error has a status; the connection ends.
func (c *conn) reject(err error) {
	var e *http1.Error
	var timeout net.Error
	switch {
	case errors.As(err, &e):
		c.respond(e.Status, true, nil, []byte(e.Reason+"\n"))
	case errors.As(err, &timeout) && timeout.Timeout():
		c.respond(408, true, nil, nil)
	}
}

// respond writes an answer. False means that the connection ends.
func (c *conn) respond(status int, last bool, fields http1.Fields, body []byte) bool {
	if last {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	if !c.write(status, fields, body) || last {
		if last { // closing with unread bytes would reset the connection, and the answer could be lost
			c.linger()
		}
		return false
	}
	return true
}

func (c *conn) write(status int, fields http1.Fields, body []byte) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.buf = http1.AppendResponseHead(c.buf[:0], status, fields, len(body))
	var err error
	if len(body) == 0 {
		_, err = c.Write(c.buf)
	} else { // avoids copying the result
		answer := net.Buffers{c.buf, body}
		_, err = answer.WriteTo(c.Conn)
	}
	return err == nil
}

// linger closes the sending side and keeps reading briefly, so that bytes still in flight do not reset the connection before
// the answer is received.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	if c.pendingRead != nil { // that read must end first
		err := <-c.pendingRead
		if c.pendingRead = nil; err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
	}
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// handle reads the rest of a request and answers it. It returns whether to keep the connection, and errors of reading.
//
// A body for which the budget has no room is not kept: a message's is discarded and gets a back-off answer, and a
// call-back's is not read until others are processed.
func (c *conn) handle(head *http1.Request, full bool) (keepAlive bool, err error) {
	size, err := head.BodySize(http1.MaxBody)
	if err != nil {
		return false, err
	}
	// An answer to HEAD must not have a body, which is not handled here: the connection ends.
	closeAfter := head.Close || full || c.lastRequest || head.Method == "HEAD"
	last := closeAfter || c.server.currentPhase() >= Closing
	if head.Path == "/-/ready" || head.Path == "/callback" {
		want := "GET"
		if head.Path == "/callback" {
			want = "POST"
		}
		if head.Method == want && want == "POST" {
			return c.serveCallback(head, size, last)
		}
		if err := c.discardBody(head); err != nil {
			return false, err
		}
		switch {
		case head.Method != want:
			return c.respond(405, last, http1.Fields{{Name: "Allow", Value: want}}, nil), nil
		case !c.server.Ready():
			return c.respond(503, last, nil, nil), nil
		}
		return c.respond(200, last, nil, nil), nil
	}
	m, call, err := c.server.parseMessage(head)
	var e *http1.Error
	if errors.As(err, &e) {
		if err := c.discardBody(head); err != nil {
			return false, err
		}
		var fields http1.Fields
		if e.Status == 405 {
			fields = http1.Fields{{Name: "Allow", Value: "POST"}}
		}
		return c.respond(e.Status, last || e.Status == 400, fields, []byte(e.Reason+"\n")), nil
	}
	hold := c.server.Budget.TryReserve(size, budget.MessageCost+c.server.resultSize.Load())
	if hold == nil {
		if err := c.discardBody(head); err != nil {
			return false, err
		}
		c.server.unfinished.Add(1)
		c.server.countEnd(m.Job.Class, declined)
		return c.respond(503, last, nil, nil), nil
	}
	defer hold.Release()
	body, err := c.reader.ReadBodyInto(&head.Head, hold.Buffer())
	if err != nil {
		return false, err
	}
	c.SetReadDeadline(time.Time{})
	call.Body, call.Reservation = body, hold
	if c.server.WrapPayload != nil {
		m.Payload = c.server.WrapPayload(m.Job.Class, call)
	}
	c.server.markArrived(m) // the deadline counts from the last byte
	return c.submit(m, hold, closeAfter, full), nil
}

// serveCallback reads and handles a host's call-back.
func (c *conn) serveCallback(head *http1.Request, size int, last bool) (keepAlive bool, err error) {
	within, stop := context.WithTimeout(c.server.runCtx, readTimeout)
	hold, err := c.server.Budget.ReserveCallback(within, size)
	stop()
	if err != nil { // the host repeats it
		if err := c.discardBody(head); err != nil {
			return false, err
		}
		return c.respond(503, last, nil, nil), nil
	}
	defer hold.Release()
	c.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := c.reader.ReadBodyInto(&head.Head, hold.Buffer())
	if err != nil {
		return false, err
	}
	c.SetReadDeadline(time.Time{})
	status, reason := c.server.handleCallback(body, hold)
	return c.respond(status, last, nil, reason), nil
}

// submit submits a message and answers it.
func (c *conn) submit(m *engine.Message, hold *budget.Reservation, last, full bool) bool {
	c.server.unanswered.Add(1)
	defer c.server.unanswered.Add(-1)
	c.server.unfinished.Add(1)
	reply := c.prepareReply(m, hold)
	// A message that is rejected here has reached no host: a retry is safe.
	if full || c.server.currentPhase() >= Ending || !c.server.Engine.Submit(m) {
		hold.Release()
		c.server.countEnd(m.Job.Class, declined)
		return c.respond(503, last || c.server.currentPhase() >= Closing, nil, nil)
	}
	return c.awaitReply(m, reply, last)
}

// prepareReply makes a message's answer arrive on a channel.
func (c *conn) prepareReply(m *engine.Message, hold *budget.Reservation) <-chan engine.Answer {
	reply := make(chan engine.Answer, 1)
	m.Reply = func(a engine.Answer) {
		hold.Grow(c.server.recordResultSize(len(a.Result)))
		reply <- a
	}
	hold.Retain()
	m.OnClosed = hold.Release
	return reply
}

// awaitReply answers a submitted message, or hands its connection over.
func (c *conn) awaitReply(m *engine.Message, reply <-chan engine.Answer, last bool) bool {
	class := m.Job.Class
	select { // discard a request from an earlier message
	case <-c.handOverRequested:
	default:
	}
	clientGone := c.peek()
	for {
		select {
		case a := <-reply:
			if len(a.Result) > http1.MaxBody { // from a worker of another protocol: too long for an HTTP answer
				c.server.Log.Warn("result too long for HTTP", "message", m.Key, "bytes", len(a.Result))
				a = engine.Answer{Kind: engine.Failed}
			}
			c.server.countEnd(class, [...]int{engine.Failed: aborted, engine.Served: succeeded, engine.BackOff: declined}[a.Kind])
			return c.writeAnswer(a, last || c.server.currentPhase() >= Closing)
		case <-c.server.done: // the process ends without waiting for answers
			c.server.countEnd(class, aborted)
			return false
		case <-c.handOverRequested:
			if c.nextBegun { // the next request is partly read: the successor would not see those bytes
				continue
			}
			if c.handOver(m, clientGone, last) {
				return false
			}
			clientGone = c.peek()
		case err := <-clientGone:
			switch c.pendingRead = nil; {
			case errors.Is(err, bufio.ErrBufferFull): // with a full buffer, the client's disconnecting cannot be detected
				clientGone = nil
			case err != nil:
				c.server.Engine.Disconnected(m)
				c.server.countEnd(class, aborted)
				return false
			default: // the next request has begun and is buffered
				clientGone = c.readAhead()
			}
		}
	}
}

// writeAnswer writes a final answer.
func (c *conn) writeAnswer(a engine.Answer, last bool) bool {
	switch a.Kind {
	case engine.Served:
		return c.respond(200, last, nil, a.Result)
	case engine.BackOff:
		var fields http1.Fields
		if a.RetryAfter > 0 {
			wait := strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)
			fields = http1.Fields{{Name: "Retry-After", Value: wait}}
		}
		return c.respond(503, last, fields, nil)
	}
	return c.respond(502, last, nil, nil)
}
