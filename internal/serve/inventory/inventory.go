// Package inventory follows the list of hosts: it watches discovery and passes every list to the engine.
//
// A watch that was stable and broke is reopened after a short random delay, and one that broke sooner after a pause:
// whatever breaks one watch may have broken those of all dispatchers, which share one discovery service. If discovery does not
// accept the request, the scheduler is notified and decides when to retry. When discovery moves to another address, the watch there
// is retried until it works, and the present one is kept until then.
package inventory

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/http1"
	"liftgauge/internal/serve/engine"
)

const (
	discoveryTimeout = 2500 * time.Millisecond // discovery handles requests one after another, so one may have to wait
	// A watch sends a list or a heartbeat every 2 s: if that is 0.6 s late the watch is broken. Changes must be received within 6 s
	// after it stopped sending: that leaves at most 0.5 s to spread the requests of all dispatchers, 2 s that a request may wait for
	// its turn, and the time of the response.
	silenceTimeout = 2600 * time.Millisecond
	stableAfter    = time.Second // a watch that broke sooner is not reopened at once: it may break repeatedly
	maxLine        = 4 << 20

	// Of retries: changes must be received within 4 s after a move, and within 6 s of the change even if the watch was broken then.
	// The first retries follow each other closely, and one without a response is abandoned for the next.
	moveTimeout   = 1200 * time.Millisecond
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second

	// An agent is on the same machine: a request to it burdens no one else, and what it has must be received at once.
	agentTimeout = 500 * time.Millisecond
)

// Sink receives the lists.
type Sink interface {
	UpdateHosts(kind balance.ListKind, hosts []engine.Host)
}

// Client watches discovery.
type Client struct {
	Zones, Kinds    []string // names, by the scheduler's number
	Sink            Sink
	Log             *slog.Logger
	Dial            func(ctx context.Context, address string) (net.Conn, error)
	ReconnectSpread time.Duration  // the interval over which broken watches are reopened
	Random          func() float64 // from 0 to 1
	Pushed          bool           // lists are pushed to an agent: it is watched without a request from the scheduler

	watchRequests    chan struct{}
	addressChanges   chan string
	address          string
	revision         int64 // of the list held
	badLines         atomic.Int64
	synced           bool                     // discovery's present state was received
	regressionLogged bool                     // a list with an older revision has been logged
	published        atomic.Pointer[position] // address and revision, for other goroutines

	current      *watch // the one whose lists are used
	replacement  *watch // the one that is to replace it after a move
	moving       bool   // no watch at the new address is established yet
	pause        time.Duration
	retry        *time.Timer
	retryTimeout time.Duration // for the response to the next retry
	events       chan event
	watches      sync.WaitGroup
}

// watch is one connection to discovery.
type watch struct {
	address         string
	revision        int64
	responseTimeout time.Duration
	startedAt       time.Time
	established     bool // a list or a heartbeat was received
	stop            context.CancelFunc
}

// event is an event of a watch: a list, its end, or, with neither, a heartbeat.
type event struct {
	watch *watch
	list  *List
	err   error
}

// position is an address of discovery and the revision of the list held.
type position struct {
	address  string
	revision int64
}

// Position returns the current address, and the revision of the list that was last delivered.
func (c *Client) Position() (address string, since int64) {
	p := c.published.Load()
	return p.address, p.revision
}

func (c *Client) publishPosition() { c.published.Store(&position{c.address, c.revision}) }

// New returns a Client that holds a list of the given revision.
func New(address string, since int64, zones, kinds []string, log *slog.Logger) *Client {
	var dialer net.Dialer
	c := &Client{address: address, revision: since, Zones: zones, Kinds: kinds, Log: log, pause: minRetryPause,
		Random: rand.Float64, watchRequests: make(chan struct{}, 1), addressChanges: make(chan string, 1), events: make(chan event),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}}
	c.publishPosition()
	return c
}

// Watch requests a watch; one that is open is replaced. It does not block.
func (c *Client) Watch() {
	select {
	case c.watchRequests <- struct{}{}:
	default: // already requested
	}
}

// SetAddress changes the address of discovery. Of several calls the last one counts. It must not be called concurrently.
func (c *Client) SetAddress(address string) {
	select {
	case <-c.addressChanges: // superseded
	default:
	}
	c.addressChanges <- address
}

// BadLines returns how many lines could not be parsed.
func (c *Client) BadLines() int64 { return c.badLines.Load() }

// Run opens watches on request, until the context ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.watches.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.retry = time.NewTimer(0)
	<-c.retry.C
	defer c.retry.Stop()
	if c.Pushed {
		c.Watch()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.watchRequests:
			if !c.moving { // else the new address is already being tried
				c.retry.Stop()
				c.stopWatch(c.current)
				c.current = c.startWatch(ctx, c.responseTimeout())
			}
		case address := <-c.addressChanges:
			if address != c.address {
				c.Log.Info("discovery moves", "from", c.address, "to", address, "revision", c.revision)
				c.address, c.moving, c.pause = address, true, minRetryPause
				c.publishPosition()
				c.retry.Stop()
				c.stopWatch(c.replacement)
				c.replacement = c.startWatch(ctx, moveTimeout)
			}
		case <-c.retry.C:
			if w := c.startWatch(ctx, c.retryTimeout); c.moving {
				c.replacement = w
			} else {
				c.current = w
			}
		case e := <-c.events:
			switch {
			case e.watch != c.current && e.watch != c.replacement: // stopped here
			case e.err != nil:
				c.handleWatchEnd(ctx, e)
			default:
				c.handleEvent(e)
			}
		}
	}
}

func (c *Client) stopWatch(w *watch) {
	if w != nil {
		w.stop()
	}
}

// handleEvent delivers a list. The first event of the watch at a new address ends the previous watch.
func (c *Client) handleEvent(e event) {
	w := e.watch
	if w == c.replacement {
		c.stopWatch(c.current)
		c.current, c.replacement, c.moving = w, nil, false
		c.Log.Info("discovery moved", "to", w.address, "revision", c.revision)
	}
	first := !w.established
	w.established = true
	if first {
		c.Log.Debug("watch established", "address", w.address, "after", time.Since(w.startedAt), "revision", c.revision)
	}
	switch {
	case e.list == nil:
		c.reportSynced()
		return
	case e.list.Complete && (first || e.list.Revision >= c.revision): // only a restarted service may have an older one
		c.Sink.UpdateHosts(balance.ListFull, e.list.Hosts)
	case e.list.Revision < c.revision:
		// The previous watch had delivered a newer list than the service at the new address has: applying the older one would
		// make draining hosts ready again.
		if !c.regressionLogged {
			c.regressionLogged = true
			c.Log.Warn("list is older than the one held, ignored", "revision", e.list.Revision, "held", c.revision)
		}
		c.reportSynced()
		return
	case len(e.list.Hosts) > 0 || first:
		c.Sink.UpdateHosts(balance.ListChanges, e.list.Hosts)
	}
	c.synced = true
	c.revision = e.list.Revision
	c.publishPosition()
}

// reportSynced reports once that discovery has nothing newer than the list held.
func (c *Client) reportSynced() {
	if !c.synced {
		c.synced = true
		c.Sink.UpdateHosts(balance.ListChanges, nil)
	}
}

// handleWatchEnd decides how to continue after the end of a watch.
func (c *Client) handleWatchEnd(ctx context.Context, e event) {
	w := e.watch
	c.Log.Warn("watch ended", "err", e.err, "address", w.address, "worked", w.established, "revision", c.revision)
	if errors.Is(e.err, errBadLine) {
		c.badLines.Add(1)
	}
	switch {
	case w == c.replacement:
		c.replacement = nil
		c.scheduleRetry()
	case c.moving: // the old address is not used again
		c.current = nil
	case w.established && time.Since(w.startedAt) >= stableAfter:
		// Changes may have been missed before the end was noticed, and must be received within seconds.
		c.pause = minRetryPause
		c.current, c.retryTimeout = nil, c.responseTimeout()
		c.retry.Reset(time.Duration(c.Random() * float64(c.ReconnectSpread)))
	case c.Pushed, errors.Is(e.err, errBroken):
		// Discovery responds, but its lists break off. The scheduler takes a failed request for a busy service and waits for
		// seconds before it retries; meanwhile hosts that began to drain would still get messages.
		c.current = nil
		c.scheduleRetry()
	default:
		c.current = nil
		c.Sink.UpdateHosts(balance.ListFailed, nil)
	}
}

// scheduleRetry schedules a retry with exponential backoff and jitter. An agent that accepts a connection and does not respond is
// retried soon: its requests do not wait for those of others.
func (c *Client) scheduleRetry() {
	c.retryTimeout = min(moveTimeout, c.responseTimeout())
	c.retry.Reset(time.Duration(float64(c.pause) * (0.75 + c.Random()/2)))
	if c.pause = min(2*c.pause, maxRetryPause); c.Pushed {
		c.pause = min(c.pause, agentTimeout)
	}
}

// responseTimeout is how long a response may take.
func (c *Client) responseTimeout() time.Duration {
	if c.Pushed {
		return agentTimeout
	}
	return discoveryTimeout
}

// startWatch starts a watch at the current address from the revision held.
func (c *Client) startWatch(ctx context.Context, timeout time.Duration) *watch {
	ctx, stop := context.WithCancel(ctx)
	w := &watch{address: c.address, revision: c.revision, responseTimeout: timeout, startedAt: time.Now(), stop: stop}
	send := func(e event) bool {
		select {
		case c.events <- e:
			return true
		case <-ctx.Done():
			return false
		}
	}
	c.watches.Go(func() {
		defer stop()
		send(event{watch: w, err: c.follow(ctx, w, func(l *List) bool { return send(event{watch: w, list: l}) })})
	})
	return w
}

var (
	errBadLine = errors.New("bad line")
	errBroken  = errors.New("broke off") // after discovery had accepted the request
)

// follow opens a watch and delivers its lists and, as nil, heartbeats until it ends.
func (c *Client) follow(ctx context.Context, w *watch, deliver func(*List) bool) error {
	dialing, stop := context.WithTimeout(ctx, w.responseTimeout)
	conn, err := c.Dial(dialing, w.address)
	stop()
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	target := "/api/targets?follow=1&since=" + strconv.FormatInt(w.revision, 10)
	request := http1.AppendRequest(nil, "GET", target, http1.Fields{{Name: "Host", Value: w.address}}, nil)
	conn.SetDeadline(time.Now().Add(w.responseTimeout))
	if _, err := conn.Write(request); err != nil {
		return fmt.Errorf("request: %w", err)
	}
	r := http1.NewReader(conn)
	answer, err := r.ReadResponse()
	if err != nil {
		return fmt.Errorf("response: %w", err)
	}
	if answer.Status != 200 {
		return fmt.Errorf("response: status %d", answer.Status)
	}
	decoder := Decoder{Zones: c.Zones, Kinds: c.Kinds}
	lines := bufio.NewReaderSize(r.Body(&answer.Head), 16<<10)
	var assembler listAssembler
	extendDeadline := func() { conn.SetReadDeadline(time.Now().Add(silenceTimeout)) }
	extendDeadline()
	for {
		line, err := readLine(lines)
		if err != nil && assembler.partial() {
			return fmt.Errorf("%w: %w: %w", errBroken, errBadLine, err)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errBroken, err)
		}
		if line = bytes.TrimSpace(line); len(line) == 0 && !assembler.partial() {
			extendDeadline()
			if !deliver(nil) {
				return ctx.Err()
			}
			continue // a heartbeat
		}
		if !assembler.partial() { // the rest of an unfinished list does not count: it may never end, though heartbeats come with it
			extendDeadline()
		}
		text, complete, err := assembler.add(line)
		if err != nil {
			return fmt.Errorf("%w: %w", errBroken, err)
		}
		if !complete {
			continue
		}
		list, err := decoder.Decode(text)
		if err != nil { // the last good list stays, and the next watch starts from its revision
			return fmt.Errorf("%w: %w: %w", errBroken, errBadLine, err)
		}
		if !deliver(&list) {
			return ctx.Err()
		}
	}
}

var errLongLine = errors.New("line too long")

// listAssembler joins the lines of a list, which may be on one line, or indented on many.
type listAssembler struct {
	text              []byte
	depth             int
	inString, escaped bool
}

func (a *listAssembler) partial() bool { return len(a.text) > 0 }

// add adds a line and returns the object that it completes, if any. A line that does not begin an object is returned by itself.
func (a *listAssembler) add(line []byte) (text []byte, complete bool, err error) {
	for _, b := range line {
		switch {
		case a.escaped:
			a.escaped = false
		case a.inString:
			a.inString, a.escaped = b != '"', b == '\\'
		case b == '"':
			a.inString = true
		case b == '{' || b == '[':
			a.depth++
		case b == '}' || b == ']':
			a.depth--
		}
	}
	if a.depth <= 0 && !a.partial() {
		*a = listAssembler{}
		return line, true, nil
	}
	if len(a.text)+len(line) > maxLine {
		return nil, false, errLongLine
	}
	a.text = append(append(a.text, line...), '\n')
	if a.depth > 0 {
		return nil, false, nil
	}
	text = a.text
	*a = listAssembler{}
	return text, true, nil
}

func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if line == nil && err == nil {
			return part, nil
		}
		if line = append(line, part...); len(line) > maxLine {
			return nil, errLongLine
		}
		if err == nil {
			return line, nil
		}
		if err != bufio.ErrBufferFull {
			if err == io.EOF && len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}
