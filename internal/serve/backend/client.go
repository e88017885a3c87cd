// Package backend carries attempts to the hosts over HTTP/1.1: sends, withdrawals and probes, on pooled connections.
// It never sends a job twice, and reports that an attempt never ran only if that is proven.
package backend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"liftgauge/balance"
	"liftgauge/internal/http1"
	"liftgauge/internal/load"
	"liftgauge/internal/serve/engine"
)

const (
	probeTimeout        = 500 * time.Millisecond
	withdrawTimeout     = time.Second
	lateResponseTimeout = time.Second // for the rest of a response whose outcome is known, to reuse the connection
	maxResponseBody     = http1.MaxBody
	maxInterimResponses = 16 // responses with a 1xx status before the final one

	minWithdrawPause = 50 * time.Millisecond // before an unconfirmed withdrawal is repeated; doubles each time

	statusRefused = balance.Status(255) // of a call without a job: the host refused the connection
)

// Sink receives the outcomes of attempts and probes.
type Sink interface {
	AttemptWritten(a *engine.Attempt, fresh bool)
	AttemptEnded(a *engine.Attempt, status balance.Status)
	ProbeEnded(h engine.Host, status balance.Status, load []float32)
}

// Config is what a Client needs.
type Config struct {
	Sink            Sink
	ConnectTimeout  time.Duration
	HostIdleTimeout time.Duration // after which hosts close idle connections
	MaxConns        int
	// ConcurrentAttempts allows a message to be at two hosts at once: an unconfirmed withdrawal is then not repeated.
	ConcurrentAttempts bool
	Loads              *load.Reader // of hosts' load reports; nil: there are none
	Now                func() time.Duration
	Log                *slog.Logger
	Dial               func(ctx context.Context, address string) (net.Conn, error)
}

// Client sends attempts to hosts. It implements engine.Backend and engine.Resumer.
type Client struct {
	Config
	pool     *pool
	tasks    errgroup.Group
	ctx      context.Context
	stop     context.CancelFunc
	stopping chan struct{} // closed when Run's context has ended: unconfirmed withdrawals are then no longer repeated
}

var _ interface {
	engine.Backend
	engine.Resumer
} = (*Client)(nil)

// New returns a Client.
func New(c Config) *Client {
	if c.Dial == nil {
		var d net.Dialer
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	s := &Client{Config: c, stopping: make(chan struct{})}
	s.pool = newPool(c)
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Run closes idle connections before the hosts do. It returns when the context has ended and all tasks are done: by then only
// withdrawals and probes, which are short. Send and Probe must not be called after that.
func (c *Client) Run(ctx context.Context) error {
	ticks := time.NewTicker(c.pool.maxIdle / 8)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			c.pool.sweep(c.Now())
		case <-ctx.Done():
			close(c.stopping)
			err := c.tasks.Wait()
			c.stop()
			c.pool.close()
			return err
		}
	}
}

func (c *Client) spawn(task func()) {
	c.tasks.Go(func() error { task(); return nil })
}

// Send carries out an attempt until its context ends.
func (c *Client) Send(ctx context.Context, a *engine.Attempt) {
	call := callOf(a.Message)
	if call != nil {
		call.Reservation.Retain() // the engine's share lasts until the attempt's end; a write may end later
	}
	c.spawn(func() {
		defer func() {
			if call != nil {
				call.Reservation.Release()
			}
		}()
		if status := c.send(ctx, a); status != 0 {
			c.Sink.AttemptEnded(a, status)
			return
		}
		c.awaitOutcome(ctx, a)
	})
}

// awaitOutcome waits for the end of an attempt that its host has accepted, and withdraws it there on request.
func (c *Client) awaitOutcome(ctx context.Context, a *engine.Attempt) {
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), engine.ErrWithdrawn) {
		c.Sink.AttemptEnded(a, c.withdraw(a, balance.Cancelled))
	}
}

// withdraw cancels an attempt at its host. It returns the given outcome if the host confirms, else TimedOut: the attempt may still run
// there. If concurrent attempts are not allowed, it repeats the withdrawal until the host confirms or the deadline is near: the
// message must not be sent elsewhere meanwhile.
func (c *Client) withdraw(a *engine.Attempt, confirmed balance.Status) balance.Status {
	for pause := minWithdrawPause; ; pause = min(2*pause, withdrawTimeout) {
		switch {
		case c.requestWithdrawal(a):
			return confirmed
		case c.ConcurrentAttempts || c.Now()+pause >= a.Deadline:
			return balance.TimedOut
		}
		select {
		case <-time.After(pause):
		case <-c.stopping:
			return balance.TimedOut
		}
	}
}

// Resume continues an attempt that its host has accepted from another process of this dispatcher.
func (c *Client) Resume(ctx context.Context, a *engine.Attempt) {
	c.spawn(func() { c.awaitOutcome(ctx, a) })
}

// HTTPPayload is a payload that can be sent as an HTTP call, whatever protocol its client uses.
type HTTPPayload interface{ HTTP() *http1.Call }

// callOf returns a message's HTTP call, or nil.
func callOf(m *engine.Message) *http1.Call {
	switch p := m.Payload.(type) {
	case *http1.Call:
		return p
	case HTTPPayload:
		return p.HTTP()
	}
	return nil
}

// Probe checks a host's health.
func (c *Client) Probe(h engine.Host) {
	c.spawn(func() {
		began := c.Now()
		status, report := c.probe(h)
		c.Log.Debug("probe ended", "host", h.Name, "status", status, "took", c.Now()-began)
		c.Sink.ProbeEnded(h, status, report)
	})
}

// Forget closes the idle connections to a host; those in use are closed after their request.
func (c *Client) Forget(h engine.Host) { c.pool.forget(h.Name) }

// SetLimit sets the limit of open connections, at most MaxConns.
func (c *Client) SetLimit(n int) { c.pool.setLimit(n) }

// send writes the attempt and awaits the response. 0 means that the host has accepted it.
//
// The attempt provably never ran if the connection was not established, or failed before the last byte was written. A write
// that took all bytes may have reached the host, even on a connection that turns out to be broken.
func (c *Client) send(ctx context.Context, a *engine.Attempt) balance.Status {
	call := callOf(a.Message)
	if call == nil {
		return balance.NotSent
	}
	conn, err := c.pool.get(ctx, a.Host)
	switch {
	case ctx.Err() != nil:
		c.pool.put(conn)
		return balance.NotSent
	case errors.Is(err, errPoolExhausted): // a local shortage, no fault of the host
		return balance.NotSent
	case err != nil:
		return balance.ConnectFailed
	}
	left := max(1, (a.Deadline-c.Now())/time.Millisecond)
	fields := append(http1.Fields{{Name: "Host", Value: a.Host.Address}}, call.Fields...)
	fields = append(fields, http1.Field{Name: "Req-Deadline-Ms", Value: strconv.Itoa(int(left))})
	head := http1.AppendRequestHead(make([]byte, 0, 512), call.Method, call.Target, fields, len(call.Body))
	total := len(head) + len(call.Body)
	// Since the decision the host may have begun to drain, or the attempt may have been withdrawn: a send takes effect with
	// its first byte.
	if !a.MaySend() {
		c.pool.put(conn)
		return balance.NotSent
	}
	if a.SendDeadline > 0 { // a write to a slow host must not end later: an incomplete one proves that nothing ran
		conn.SetWriteDeadline(time.Now().Add(a.SendDeadline - c.Now()))
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), engine.ErrOutcomeKnown) {
			conn.SetReadDeadline(time.Now().Add(lateResponseTimeout))
		} else {
			conn.SetDeadline(time.Now())
		}
	})
	defer stop()
	request := net.Buffers{head, call.Body} // one system call, and the body is not copied
	if n, err := request.WriteTo(conn.Conn); err != nil {
		c.pool.drop(conn)
		c.noteBroken(ctx, conn)
		switch {
		case n >= int64(total):
			return balance.Reset
		case ctx.Err() != nil:
			return balance.NotSent
		}
		return balance.ConnectFailed
	}
	c.Sink.AttemptWritten(a, !conn.reused)
	// An unresponsive host may be unreachable, and then its idle connections are as dead as this one: an attempt sent on them may
	// count as running until its deadline. A new connection shows quickly whether the host is reachable.
	unresponsive := time.AfterFunc(c.ConnectTimeout, func() { c.pool.forget(a.Host.Name) })
	defer unresponsive.Stop()
	answer, err := c.readHead(conn) // until the 202, closing the connection cancels the attempt
	var malformed *http1.Error
	if err != nil {
		if errors.Is(context.Cause(ctx), engine.ErrWithdrawn) { // the 202 may be in flight
			return c.withdraw(a, balance.Cancelled)
		}
		c.Log.Debug("reset", "message", call.ID, "host", a.Host.Name, "kept", conn.reused, "err", err)
		c.noteBroken(ctx, conn)
		if errors.As(err, &malformed) { // it may have been the 202
			return c.withdraw(a, balance.Reset)
		}
		return balance.Reset
	}
	text, _ := answer.Fields.Get(load.Header)
	a.Load = c.Loads.ParseText(a.Host.Name, text)
	status, known := outcome(answer)
	if status == 0 {
		a.MarkAccepted()
	}
	// The head decides, whatever happens to the body. The connection is reused only after a 202: a second, late response would
	// be taken for that of the next job, which could then be reported as never run while it runs.
	if status == 0 {
		c.drainBody(conn, answer, stop)
	} else {
		c.pool.drop(conn)
	}
	if !known {
		return c.withdraw(a, status)
	}
	return status
}

// drainBody reads the rest of a response whose outcome is known, and returns the connection to the pool if it can be reused. A body
// that has not arrived is awaited in the background.
func (c *Client) drainBody(conn *conn, answer *http1.Response, stop func() bool) {
	read := func() {
		err := conn.reader.SkipBody(&answer.Head, maxResponseBody)
		c.releaseConn(conn, answer, err, stop)
	}
	if !answer.Chunked && answer.Length >= 0 && answer.Length <= int64(conn.reader.Buffered()) {
		read()
		return
	}
	conn.SetReadDeadline(time.Now().Add(lateResponseTimeout))
	c.spawn(read)
}

// releaseConn returns a connection whose response has been read to the pool, if it can be reused, else closes it.
func (c *Client) releaseConn(conn *conn, answer *http1.Response, err error, stop func() bool) {
	if stopped := stop(); err == nil && !answer.Close && conn.reader.Buffered() == 0 && stopped {
		c.pool.put(conn)
	} else {
		c.pool.drop(conn)
	}
}

// noteBroken notes that a connection broke, unless the request was cancelled here.
func (c *Client) noteBroken(ctx context.Context, conn *conn) {
	switch {
	case ctx.Err() != nil:
	case conn.reused:
		c.pool.suspendReuse()
	default:
		c.pool.resumeReuse()
	}
}

// readHead reads the head of the final response, skipping 1xx ones. On an error the connection is closed.
func (c *Client) readHead(conn *conn) (*http1.Response, error) {
	for range maxInterimResponses {
		answer, err := conn.reader.ReadResponse()
		if err != nil {
			c.pool.drop(conn)
			return nil, err
		}
		if answer.Status >= 200 {
			return answer, nil
		}
	}
	c.pool.drop(conn)
	return nil, &http1.Error{Reason: "too many interim responses"}
}

// readResponse reads a response with its body, and returns the connection to the pool if it can be reused. Stop cancels the
// function that sets its deadlines; if that has already started, the connection is closed. A body of at most keep bytes is returned.
func (c *Client) readResponse(conn *conn, stop func() bool, keep int64) (*http1.Response, []byte, error) {
	answer, err := c.readHead(conn)
	if err != nil {
		return nil, nil, err
	}
	var body []byte
	if answer.Length > 0 && answer.Length <= keep {
		body, err = conn.reader.ReadBodyInto(&answer.Head, make([]byte, answer.Length))
	} else {
		err = conn.reader.SkipBody(&answer.Head, maxResponseBody)
	}
	if answer.Status >= 300 { // see send: a late second response must not be taken for that of the next request
		answer.Close = true
	}
	c.releaseConn(conn, answer, err, stop)
	return answer, body, nil
}

// outcome maps the response to a send according to the protocol's table. 0: the host has accepted the job. For a response not in
// the table known is false: the job may have run, or may still be running.
func outcome(answer *http1.Response) (status balance.Status, known bool) {
	declined, _ := answer.Fields.Get("Srv-Declined")
	switch {
	case answer.Status == 202:
		return 0, true
	case (answer.Status == 503 || answer.Status == 504) && declined == "1":
		return balance.Full, true
	}
	if answer.Status/100 == 4 {
		return balance.Rejected, true
	}
	return balance.Errored, answer.Status == 500
}

// requestWithdrawal cancels a job at a host and reports whether the host confirmed. A 202 is no response to that, but to a job sent
// before. A host that refuses the connection has ended, with all its jobs.
func (c *Client) requestWithdrawal(a *engine.Attempt) (confirmed bool) {
	call := callOf(a.Message)
	answer, _, status := c.call(a.Host, "DELETE", "/jobs/"+call.ID, withdrawTimeout)
	confirmed = status == balance.OK && answer.Status != 202 && answer.Status < 500 || status == statusRefused
	if !confirmed {
		c.Log.Debug("withdrawal not confirmed", "message", call.ID, "host", a.Host.Name, "status", status)
	}
	return confirmed
}

// probe requests a host's load if hosts report it, else its health.
func (c *Client) probe(h engine.Host) (balance.Status, []float32) {
	target := "/-/healthy"
	if c.Loads != nil {
		target = "/-/load"
	}
	answer, body, status := c.call(h, "GET", target, probeTimeout)
	switch {
	case status == statusRefused:
		return balance.ConnectFailed, nil
	case answer == nil:
		return status, nil
	case answer.Status == 200:
		status = balance.OK
	case answer.Status == 503:
		status = balance.Full
	default:
		return balance.Errored, nil
	}
	if text, _ := answer.Fields.Get(load.Header); text != "" {
		return status, c.Loads.ParseText(h.Name, text)
	}
	return status, c.Loads.ParseBody(h.Name, body)
}

// call makes a call without a job, within a timeout. OK means that a response arrived; its body is returned if it is short.
func (c *Client) call(h engine.Host, method, target string, timeout time.Duration) (*http1.Response, []byte, balance.Status) {
	ctx, stop := context.WithTimeout(c.ctx, timeout)
	defer stop()
	conn, err := c.pool.get(ctx, h)
	switch {
	case errors.Is(err, errPoolExhausted):
		return nil, nil, balance.NotSent
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil, statusRefused
	case err != nil:
		return nil, nil, balance.ConnectFailed
	}
	abort := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	defer abort()
	request := http1.AppendRequest(nil, method, target, http1.Fields{{Name: "Host", Value: h.Address}}, nil)
	if _, err := conn.Write(request); err != nil {
		c.pool.drop(conn)
	} else if answer, body, err := c.readResponse(conn, abort, load.MaxTextBytes); err == nil {
		return answer, body, balance.OK
	}
	if ctx.Err() != nil {
		c.pool.forget(h.Name)
		return nil, nil, balance.TimedOut
	}
	c.noteBroken(ctx, conn)
	return nil, nil, balance.Reset
}
