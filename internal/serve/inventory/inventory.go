// Package inventory follows the list of south side hosts: it watches discovery and hands every list to the owner. A
// watch that had worked for a while and broke is made anew at a drawn moment soon after, and one that broke sooner after a
// short pause: whatever breaks one watch may have broken those of all dispatchers, which share one discovery. Where
// discovery does not take the call the module hears of it and asks again when it sees fit. Where discovery moves to another address, the watch there is tried until it works, and the one
// that stands is kept until then.
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
	discoveryTimeout = 2500 * time.Millisecond // discovery handles calls in turn: one may wait
	// A watch sends something every 2 s: with a beat missed by 0.6 s it is broken. What it misses counts as told 6 s after
	// it fell silent: that leaves 0.5 s at most to spread the calls of all dispatchers over, 2 s that one may wait for
	// its turn, and what its answer takes.
	silenceTimeout = 2600 * time.Millisecond
	stableAfter    = time.Second // what broke sooner is not made anew at once: it may break again and again
	maxLine        = 4 << 20

	// Of what is tried again: all that discovery has to tell counts as told 4 s after a move, and 6 s after it has changed
	// even if the watch was silent then. The first tries are close together, and one that gets no answer makes room for
	// the next.
	moveTimeout   = 1200 * time.Millisecond
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second

	// An agent is on the own machine: to call it costs nobody else anything, and what it has counts as told at once.
	agentTimeout = 500 * time.Millisecond
)

// Sink takes the lists.
type Sink interface {
	UpdateHosts(kind balance.ListKind, hosts []engine.Host)
}

// Client watches discovery.
type Client struct {
	Zones, Kinds    []string // names, by the module's number
	Sink            Sink
	Log             *slog.Logger
	Dial            func(ctx context.Context, address string) (net.Conn, error)
	ReconnectSpread time.Duration  // a watch that broke is made anew within it
	Random          func() float64 // from 0 to 1
	Pushed          bool           // lists are pushed, to an agent: a watch of it stands whether the module asks or not

	watchRequests    chan struct{}
	addressChanges   chan string
	address          string
	revision         int64 // the version of the list held
	badLines         atomic.Int64
	synced           bool                     // discovery has told what it has
	regressionLogged bool                     // a list that went back in revision has been logged
	published        atomic.Pointer[position] // address and since, for other goroutines

	current      *watch // the one that is followed
	replacement  *watch // the one that is to take its place after a move
	moving       bool   // no watch at the new address has worked yet
	pause        time.Duration
	retry        *time.Timer
	retryTimeout time.Duration // for the answer to the next try
	events       chan event
	watches      sync.WaitGroup
}

// watch is one connection to discovery.
type watch struct {
	address         string
	revision        int64
	responseTimeout time.Duration // for its answer
	startedAt       time.Time
	established     bool // a list or a beat came
	stop            context.CancelFunc
}

// event is what a watch tells: a list, its end, or by a beat just that it stands.
type event struct {
	watch *watch
	list  *List
	err   error
}

type position struct {
	address  string
	revision int64
}

// Where returns the address that counts, and the version of the list that has been handed on.
func (c *Client) Position() (address string, since int64) {
	p := c.published.Load()
	return p.address, p.revision
}

func (c *Client) publishPosition() { c.published.Store(&position{c.address, c.revision}) }

// New returns a Client that holds a list of the given version.
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

// Watch asks for a watch; one that is open is made anew. It does not block.
func (c *Client) Watch() {
	select {
	case c.watchRequests <- struct{}{}:
	default: // asked for already
	}
}

// Move says that discovery has another address from here on. Of several calls the last one counts. It is not to be
// called by two goroutines at once.
func (c *Client) SetAddress(address string) {
	select {
	case <-c.addressChanges: // overtaken
	default:
	}
	c.addressChanges <- address
}

// BadLines is how many lines could not be read.
func (c *Client) BadLines() int64 { return c.badLines.Load() }

// Run watches whenever it is asked to, until the context ends.
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
			if !c.moving { // else the new address is being tried already
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
			case e.watch != c.current && e.watch != c.replacement: // ended by this side
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

// take hands on a list. The first sign of the watch at a new address ends the one before.
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
		c.Log.Debug("watch stands", "address", w.address, "after", time.Since(w.startedAt), "revision", c.revision)
	}
	switch {
	case e.list == nil:
		c.reportSynced()
		return
	case e.list.Complete && (first || e.list.Revision >= c.revision): // only a service that began anew may know less
		c.Sink.UpdateHosts(balance.ListFull, e.list.Hosts)
	case e.list.Revision < c.revision:
		// The watch that stood before had told more than the service at the new address knows yet: to take its older word
		// would bring back hosts that drain.
		if !c.regressionLogged {
			c.regressionLogged = true
			c.Log.Warn("list goes back, left aside", "revision", e.list.Revision, "held", c.revision)
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

// hear hands on that discovery has nothing newer than the list held, if it is the first that is heard of it.
func (c *Client) reportSynced() {
	if !c.synced {
		c.synced = true
		c.Sink.UpdateHosts(balance.ListChanges, nil)
	}
}

// ended sees to what follows the end of a watch.
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
	case c.moving: // the old address is done with
		c.current = nil
	case w.established && time.Since(w.startedAt) >= stableAfter:
		// While it was silent changes may have been missed that count as told some seconds later: little time to lose.
		c.pause = minRetryPause
		c.current, c.retryTimeout = nil, c.responseTimeout()
		c.retry.Reset(time.Duration(c.Random() * float64(c.ReconnectSpread)))
	case c.Pushed, errors.Is(e.err, errBroken):
		// Discovery is there, but its lists break off. To leave the next try to the module, which takes a failed call for a
		// busy service and waits for seconds, let hosts that drained in the meantime get messages.
		c.current = nil
		c.scheduleRetry()
	default:
		c.current = nil
		c.Sink.UpdateHosts(balance.ListFailed, nil)
	}
}

// again asks for a try after a pause, which grows and is drawn from around its length. An agent that takes a call and says
// nothing is called again soon: no call of it waits for others'.
func (c *Client) scheduleRetry() {
	c.retryTimeout = min(moveTimeout, c.responseTimeout())
	c.retry.Reset(time.Duration(float64(c.pause) * (0.75 + c.Random()/2)))
	if c.pause = min(2*c.pause, maxRetryPause); c.Pushed {
		c.pause = min(c.pause, agentTimeout)
	}
}

// patience is how long an answer may take.
func (c *Client) responseTimeout() time.Duration {
	if c.Pushed {
		return agentTimeout
	}
	return discoveryTimeout
}

// start begins a watch at the present address from the version held.
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
	errBroken  = errors.New("broke off") // after discovery had taken the call
)

// follow makes a watch and hands on what it tells until it ends.
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
		return fmt.Errorf("ask: %w", err)
	}
	r := http1.NewReader(conn)
	answer, err := r.ReadResponse()
	if err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	if answer.Status != 200 {
		return fmt.Errorf("answer: status %d", answer.Status)
	}
	decoder := Decoder{Zones: c.Zones, Kinds: c.Kinds}
	lines := bufio.NewReaderSize(r.Body(&answer.Head), 16<<10)
	var o listAssembler
	extendDeadline := func() { conn.SetReadDeadline(time.Now().Add(silenceTimeout)) }
	extendDeadline()
	for {
		line, err := readLine(lines)
		if err != nil && o.partial() {
			return fmt.Errorf("%w: %w: %w", errBroken, errBadLine, err)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errBroken, err)
		}
		if line = bytes.TrimSpace(line); len(line) == 0 && !o.partial() {
			extendDeadline()
			if !deliver(nil) {
				return ctx.Err()
			}
			continue // a beat
		}
		if !o.partial() { // but what only goes on is no sign of life: it may never end, whatever beats come with it
			extendDeadline()
		}
		text, whole, err := o.add(line)
		if err != nil {
			return fmt.Errorf("%w: %w", errBroken, err)
		}
		if !whole {
			continue
		}
		list, err := decoder.Decode(text)
		if err != nil { // the last good list holds on, and the next watch starts from its version
			return fmt.Errorf("%w: %w: %w", errBroken, errBadLine, err)
		}
		if !deliver(&list) {
			return ctx.Err()
		}
	}
}

var errLongLine = errors.New("line too long")

// object puts the lines of a list together: it may come on one, or indented on many.
type listAssembler struct {
	text            []byte
	depth           int
	quoted, escaped bool
}

func (o *listAssembler) partial() bool { return len(o.text) > 0 }

// add takes a line and returns the object that it ends, if it does. What is no object is one line.
func (o *listAssembler) add(line []byte) (text []byte, whole bool, err error) {
	for _, b := range line {
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.quoted, o.escaped = b != '"', b == '\\'
		case b == '"':
			o.quoted = true
		case b == '{' || b == '[':
			o.depth++
		case b == '}' || b == ']':
			o.depth--
		}
	}
	if o.depth <= 0 && !o.partial() {
		*o = listAssembler{}
		return line, true, nil
	}
	if len(o.text)+len(line) > maxLine {
		return nil, false, errLongLine
	}
	o.text = append(append(o.text, line...), '\n')
	if o.depth > 0 {
		return nil, false, nil
	}
	text = o.text
	*o = listAssembler{}
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
