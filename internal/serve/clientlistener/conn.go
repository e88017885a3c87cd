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

// conn is one connection. Between requests it is idle and may be closed by the server; from a request's first byte on
// it is busy until the answer is written.
type conn struct {
	net.Conn
	server      *Server
	reader      *http1.Reader
	pendingRead chan error // the one read that is under way, if any: of the first byte of the next request, or of what follows it
	nextBegun   bool       // the next request has begun before the answer to this one
	lastRequest bool       // the server has shut it: what had come is answered, as the last
	buf         []byte
	done        chan struct{} // closed when it is

	handOverRequested chan struct{} // asks the goroutine to pass the connection on to a successor, if it waits for an answer

	// Guarded by the server's lock.
	idle, isShutDown bool
	idleSince        time.Duration // when it became idle
	requests         int           // requests so far
}

func newConn(s *Server, raw net.Conn) *conn {
	return &conn{Conn: raw, server: s, reader: http1.NewReader(raw), handOverRequested: make(chan struct{}, 1), done: make(chan struct{}), idle: true, idleSince: s.Now()}
}

// shut ends an idle connection from outside its goroutine, under the server's lock. The goroutine closes it, which alone knows what it has
// read: a request whose bytes have come by then is answered.
func (c *conn) shutDown() {
	c.isShutDown = true
	c.server.shutDown++
	c.interruptRead()
}

// endRead ends a read that is under way, or the next one.
func (c *conn) interruptRead() { c.SetReadDeadline(time.Unix(1, 0)) }

// rest gives a connection so long until the next request, unless it has been shut.
func (c *conn) setIdleDeadline(limit time.Duration) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.isShutDown {
		c.SetReadDeadline(time.Now().Add(limit))
	}
}

// mark moves between idle and busy. False: the server has closed the connection.
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

// peek begins to wait for the first byte of the next request, or the client's leaving, unless that is under way.
func (c *conn) peek() <-chan error {
	if c.pendingRead == nil {
		c.read(func() error {
			_, err := c.reader.Peek(1)
			return err
		})
	}
	return c.pendingRead
}

// more waits for the client's leaving where the next request has begun: it reads on as far as the buffer has room.
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

// first waits for the first byte of a request.
func (c *conn) awaitRequest() (err error) {
	switch {
	case c.nextBegun: // it is here: only the client's leaving was waited for
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
	if errors.Is(err, os.ErrDeadlineExceeded) && !sock.Quiet(c.Conn) { // it came as the read ended
		c.SetReadDeadline(time.Now().Add(readTimeout))
		_, err = c.reader.Peek(1)
	}
	return err
}

// serve answers requests until either side ends the connection. One that is over the limit gets one answer.
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

// skip reads a body that nobody needs.
func (c *conn) discardBody(head *http1.Request) error {
	err := c.reader.SkipBody(&head.Head, http1.MaxBody)
	c.SetReadDeadline(time.Time{})
	return err
}

// reject answers what cannot be read, where there is an answer; the connection ends.
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

// finish writes an answer. False says that the connection ends.
func (c *conn) respond(status int, last bool, fields http1.Fields, body []byte) bool {
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
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
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
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	if c.pendingRead != nil { // that read goes before
		err := <-c.pendingRead
		if c.pendingRead = nil; err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return
		}
	}
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// handle reads the rest of a request and answers it. Again says that the connection goes on; an error is one of reading.
//
// Nothing of a body is kept for which the budget has no room: a message is read past and gets a back-off answer, and a
// call-back is not read on until others are dealt with.
func (c *conn) handle(head *http1.Request, full bool) (keepAlive bool, err error) {
	size, err := head.BodySize(http1.MaxBody)
	if err != nil {
		return false, err
	}
	// An answer to HEAD would have no body, which no answer here knows of: such a connection ends.
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
	hold := c.server.Budget.Take(size, budget.Message+c.server.resultSize.Load())
	if hold == nil {
		if err := c.discardBody(head); err != nil {
			return false, err
		}
		c.server.unfinished.Add(1)
		c.server.countEnd(m.Job.Class, declined)
		return c.respond(503, last, nil, nil), nil
	}
	defer hold.Drop()
	body, err := c.reader.ReadBodyInto(&head.Head, hold.Buffer())
	if err != nil {
		return false, err
	}
	c.SetReadDeadline(time.Time{})
	call.Body, call.Hold = body, hold
	if c.server.WrapPayload != nil {
		m.Payload = c.server.WrapPayload(m.Job.Class, call)
	}
	c.server.markArrived(m) // a request counts from its last byte
	return c.submit(m, hold, closeAfter, full), nil
}

// callback reads a host's call and deals with it.
func (c *conn) serveCallback(head *http1.Request, size int, last bool) (keepAlive bool, err error) {
	within, stop := context.WithTimeout(c.server.runCtx, readTimeout)
	hold, err := c.server.Budget.Call(within, size)
	stop()
	if err != nil { // the host says it again
		if err := c.discardBody(head); err != nil {
			return false, err
		}
		return c.respond(503, last, nil, nil), nil
	}
	defer hold.Drop()
	c.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := c.reader.ReadBodyInto(&head.Head, hold.Buffer())
	if err != nil {
		return false, err
	}
	c.SetReadDeadline(time.Time{})
	status, reason := c.server.handleCallback(body, hold)
	return c.respond(status, last, nil, reason), nil
}

// await hands in a message and answers it.
func (c *conn) submit(m *engine.Message, hold *budget.Hold, last, full bool) bool {
	c.server.unanswered.Add(1)
	defer c.server.unanswered.Add(-1)
	c.server.unfinished.Add(1)
	reply := c.prepareReply(m, hold)
	// What is turned away here has reached no host: trying again is harmless.
	if full || c.server.currentPhase() >= Ending || !c.server.Engine.Submit(m) {
		hold.Drop()
		c.server.countEnd(m.Job.Class, declined)
		return c.respond(503, last || c.server.currentPhase() >= Closing, nil, nil)
	}
	return c.awaitReply(m, reply, last)
}

// expect has the answer of a message come by a channel.
func (c *conn) prepareReply(m *engine.Message, hold *budget.Hold) <-chan engine.Answer {
	reply := make(chan engine.Answer, 1)
	m.Reply = func(a engine.Answer) {
		hold.Grow(c.server.recordResultSize(len(a.Result)))
		reply <- a
	}
	hold.Share()
	m.OnClosed = hold.Drop
	return reply
}

// wait answers a message that is handed in, or hands its connection on.
func (c *conn) awaitReply(m *engine.Message, reply <-chan engine.Answer, last bool) bool {
	class := m.Job.Class
	select { // of a message before
	case <-c.handOverRequested:
	default:
	}
	clientGone := c.peek()
	for {
		select {
		case a := <-reply:
			if len(a.Result) > http1.MaxBody { // of a worker that speaks something else: no answer here may be so long
				c.server.Log.Warn("result too long for HTTP", "message", m.Key, "bytes", len(a.Result))
				a = engine.Answer{Kind: engine.Failed}
			}
			c.server.countEnd(class, [...]int{engine.Failed: aborted, engine.Served: succeeded, engine.BackOff: declined}[a.Kind])
			return c.writeAnswer(a, last || c.server.currentPhase() >= Closing)
		case <-c.server.done: // the program ends without waiting for answers
			c.server.countEnd(class, aborted)
			return false
		case <-c.handOverRequested:
			if c.nextBegun { // more has come already and is read here: the successor would not see it
				continue
			}
			if c.handOver(m, clientGone, last) {
				return false
			}
			clientGone = c.peek()
		case err := <-clientGone:
			switch c.pendingRead = nil; {
			case errors.Is(err, bufio.ErrBufferFull): // of a client that sends so much ahead no leaving is seen
				clientGone = nil
			case err != nil:
				c.server.Engine.Disconnected(m)
				c.server.countEnd(class, aborted)
				return false
			default: // the next request has come early, and waits in the buffer
				clientGone = c.readAhead()
			}
		}
	}
}

// give writes a final answer.
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
