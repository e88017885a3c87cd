// Package south carries attempts to the south side hosts over HTTP/1.1: sends, withdrawals and probes, on pools of
// connections. It never sends anything twice and reports "never ran" only where that is proven.
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
	lateResponseTimeout = time.Second // how long an answer is awaited whose outcome is known, to keep the connection
	maxResponseBody     = http1.MaxBody
	maxInterimResponses = 16 // answers that only announce another

	minWithdrawPause = 50 * time.Millisecond // until a withdrawal that was not heard is said again; twice as long each time

	statusRefused = balance.Status(255) // of a call without a job: nobody listens there
)

// Sink takes what became of attempts and probes.
type Sink interface {
	AttemptWritten(a *engine.Attempt, fresh bool)
	AttemptEnded(a *engine.Attempt, status balance.Status)
	ProbeEnded(h engine.Host, status balance.Status, load []float32)
}

// Config is what a Client needs.
type Config struct {
	Sink            Sink
	ConnectTimeout  time.Duration
	HostIdleTimeout time.Duration // hosts close what stood idle so long
	MaxConns        int
	// Copies says that a message may be with two hosts at once: whether a host has heard that an attempt is given up is then asked once.
	ConcurrentAttempts bool
	Loads              *load.Reader // of hosts' load reports; nil where they have none
	Now                func() time.Duration
	Log                *slog.Logger
	Dial               func(ctx context.Context, address string) (net.Conn, error)
}

// Client is the south side. It implements engine.South.
type Client struct {
	Config
	pool     *pool
	tasks    errgroup.Group
	ctx      context.Context
	stop     context.CancelFunc
	stopping chan struct{} // closed when Run's context has ended: what is not heard by then is not said again
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

// Run closes connections before the hosts do. It returns when the context has ended and all tasks are over, which are
// at most withdrawals and probes by then, and short; nobody may call Send or Probe any more.
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

// Send carries out an attempt for as long as its context lasts.
func (c *Client) Send(ctx context.Context, a *engine.Attempt) {
	call := callOf(a.Message)
	if call != nil {
		call.Hold.Share() // the owner, which calls this, has one until the attempt is over; a write may end later
	}
	c.spawn(func() {
		defer func() {
			if call != nil {
				call.Hold.Drop()
			}
		}()
		if status := c.send(ctx, a); status != 0 {
			c.Sink.AttemptEnded(a, status)
			return
		}
		c.awaitOutcome(ctx, a)
	})
}

// settle waits for the end of an attempt that its host has taken, and withdraws it there if that is asked for.
func (c *Client) awaitOutcome(ctx context.Context, a *engine.Attempt) {
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), engine.ErrWithdrawn) {
		c.Sink.AttemptEnded(a, c.withdraw(a, balance.Cancelled))
	}
}

// withdraw gives an attempt up at its host. It returns the outcome that follows from that, or TimedOut where the host has not heard: the
// attempt may run there yet, and it is neither over nor given up. Where no copy is allowed it goes on until the host has heard, or the
// deadline makes an end of all: nothing else may be done with the message meanwhile.
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

// Resume goes on with an attempt that its host has taken from another process of this dispatcher.
func (c *Client) Resume(ctx context.Context, a *engine.Attempt) {
	c.spawn(func() { c.awaitOutcome(ctx, a) })
}

// Caller is a payload that can be passed on as a call, whatever its client spoke.
type HTTPPayload interface{ HTTP() *http1.Call }

// callOf is a message as it is passed on, or nil.
func callOf(m *engine.Message) *http1.Call {
	switch p := m.Payload.(type) {
	case *http1.Call:
		return p
	case HTTPPayload:
		return p.HTTP()
	}
	return nil
}

// Probe asks for a host's health.
func (c *Client) Probe(h engine.Host) {
	c.spawn(func() {
		began := c.Now()
		status, report := c.probe(h)
		c.Log.Debug("probe ended", "host", h.Name, "status", status, "took", c.Now()-began)
		c.Sink.ProbeEnded(h, status, report)
	})
}

// Forget closes the idle connections to a host; those in use end with what they carry.
func (c *Client) Forget(h engine.Host) { c.pool.forget(h.Name) }

// SetLimit changes how many connections there may be, to one of at most MaxConns.
func (c *Client) SetLimit(n int) { c.pool.setLimit(n) }

// send writes the attempt and awaits the answer. 0 says that the host has taken it.
//
// What proves that it never ran: the connection did not come up, or failed before the last byte was written. A write
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
	case errors.Is(err, errPoolExhausted): // the shortage is here: the host is not to blame
		return balance.NotSent
	case err != nil:
		return balance.ConnectFailed
	}
	left := max(1, (a.Deadline-c.Now())/time.Millisecond)
	fields := append(http1.Fields{{Name: "Host", Value: a.Host.Address}}, call.Fields...)
	fields = append(fields, http1.Field{Name: "Req-Deadline-Ms", Value: strconv.Itoa(int(left))})
	head := http1.AppendRequestHead(make([]byte, 0, 512), call.Method, call.Target, fields, len(call.Body))
	whole := len(head) + len(call.Body)
	// Since the decision the host may have begun to drain, or the attempt may have been withdrawn: a send counts from
	// its first byte.
	if !a.MaySend() {
		c.pool.put(conn)
		return balance.NotSent
	}
	if a.SendDeadline > 0 { // a write that a slow host holds up must not end later: cut short, it proves that nothing ran
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
	request := net.Buffers{head, call.Body} // one call of the kernel, and the body is not copied
	if n, err := request.WriteTo(conn.Conn); err != nil {
		c.pool.drop(conn)
		c.noteBroken(ctx, conn)
		switch {
		case n >= int64(whole):
			return balance.Reset
		case ctx.Err() != nil:
			return balance.NotSent
		}
		return balance.ConnectFailed
	}
	c.Sink.AttemptWritten(a, !conn.reused)
	// A host that says nothing may be cut off, and then its idle connections are as silent as this one: what is sent on
	// them counts as perhaps run for as long as the client waits. A new connection shows at once whether it is there.
	unresponsive := time.AfterFunc(c.ConnectTimeout, func() { c.pool.forget(a.Host.Name) })
	defer unresponsive.Stop()
	answer, err := c.readHead(conn) // before the 202, closing the connection also gives the attempt up
	var malformed *http1.Error
	if err != nil {
		if errors.Is(context.Cause(ctx), engine.ErrWithdrawn) { // the 202 may be on the way
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
	a.Load = c.Loads.Text(a.Host.Name, text)
	status, known := outcome(answer)
	if status == 0 {
		a.MarkAccepted()
	}
	// What the head says counts now, whatever becomes of the body. Only after a 202 the connection is kept: should another
	// answer come late, the next job on it would have it for its own, and "never ran" must not be said of a job that runs.
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

// rest reads what is left of an answer whose outcome is known, and keeps the connection if it can be used again. Where the body has
// yet to come nobody waits for it.
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

// done puts a connection back whose answer has been read, if it can be used again.
func (c *Client) releaseConn(conn *conn, answer *http1.Response, err error, stop func() bool) {
	if stopped := stop(); err == nil && !answer.Close && conn.reader.Buffered() == 0 && stopped {
		c.pool.put(conn)
	} else {
		c.pool.drop(conn)
	}
}

// broke notes that a connection broke, unless this side ended what it carried.
func (c *Client) noteBroken(ctx context.Context, conn *conn) {
	switch {
	case ctx.Err() != nil:
	case conn.reused:
		c.pool.suspendReuse()
	default:
		c.pool.resumeReuse()
	}
}

// head reads an answer's head, past such as announce another. Without one the connection is dropped.
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
	return nil, &http1.Error{Reason: "answers without end that announce another"}
}

// answer reads an answer with its body. It keeps the connection if it can be used again; stop ends what may still set
// its deadlines, and where that has begun already the connection is not kept. A body of up to some size is kept, if it comes whole.
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
	if answer.Status >= 300 { // see send: what comes after it must not be another's answer
		answer.Close = true
	}
	c.releaseConn(conn, answer, err, stop)
	return answer, body, nil
}

// outcome is what an answer to a send says, after the protocol's table. 0: the host has taken the job. Of an answer that is not in
// the table nothing is known: the job may have run, and may run still.
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

// giveUp tells a host that nobody waits for a job any more, and says whether it has heard. A 202 is no answer to that, but one to a job that
// came twice. A host that refuses the connection is gone, with all that it had.
func (c *Client) requestWithdrawal(a *engine.Attempt) (confirmed bool) {
	call := callOf(a.Message)
	answer, _, status := c.call(a.Host, "DELETE", "/jobs/"+call.ID, withdrawTimeout)
	confirmed = status == balance.OK && answer.Status != 202 && answer.Status < 500 || status == statusRefused
	if !confirmed {
		c.Log.Debug("withdrawal not heard", "message", call.ID, "host", a.Host.Name, "status", status)
	}
	return confirmed
}

// probe asks for a host's load where it reports any, else whether it is well.
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
		return status, c.Loads.Text(h.Name, text)
	}
	return status, c.Loads.Body(h.Name, body)
}

// ask makes one call that carries no job, within a time. OK says that an answer came, whose body is given if it is short.
func (c *Client) call(h engine.Host, method, target string, within time.Duration) (*http1.Response, []byte, balance.Status) {
	ctx, stop := context.WithTimeout(c.ctx, within)
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
	} else if answer, body, err := c.readResponse(conn, abort, load.MostText); err == nil {
		return answer, body, balance.OK
	}
	if ctx.Err() != nil {
		c.pool.forget(h.Name)
		return nil, nil, balance.TimedOut
	}
	c.noteBroken(ctx, conn)
	return nil, nil, balance.Reset
}
