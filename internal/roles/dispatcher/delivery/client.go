package delivery

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/balance"
	"liftgauge/internal/protocol"
)

const (
	defaultKeepAlive   = 4 * time.Second // of a worker's idle connections, until a Keep-Alive header is received
	writeBuffer        = 8 << 10
	readBuffer         = 2 << 10
	headBuffer         = 512 // for the heads of responses that a connection passes on
	maxUnsentExchanges = 3   // connections used for one attempt while nothing of it was sent
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// client sends to the workers of one service.
type client struct {
	dial   dialFunc
	logger *zap.Logger

	mu        sync.Mutex
	transport *http.Transport
	limit     int           // connections to each worker; 0 for no limit
	keepAlive time.Duration // how long workers keep idle connections open
}

func newClient(dial dialFunc, logger *zap.Logger) *client {
	if dial == nil {
		d := &net.Dialer{Timeout: ConnectTimeout, KeepAlive: -1}
		dial = d.DialContext
	}
	return &client{dial: dial, logger: logger, keepAlive: defaultKeepAlive}
}

// idleLimit is how long a connection may be idle and still be reused.
func (c *client) idleLimit() time.Duration { return c.keepAlive - min(c.keepAlive/4, time.Second) }

// setLimit limits the connections to each worker. Excess connections are closed after their current request.
func (c *client) setLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit != limit {
		c.limit = limit
		c.retireTransport()
	}
}

// currentLimit returns the limit in force.
func (c *client) currentLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

// learnKeepAlive adopts the keep-alive timeout that a worker reports in its response.
func (c *client) learnKeepAlive(header http.Header) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil || seconds <= 0 {
			continue
		}
		c.mu.Lock()
		if timeout := time.Duration(seconds) * time.Second; timeout < c.keepAlive || timeout >= 2*c.keepAlive {
			c.keepAlive = timeout
			c.retireTransport() // for a small increase, keeping the open connections is better
		}
		c.mu.Unlock()
	}
}

// retireTransport makes later requests use a new transport; the caller holds the lock.
func (c *client) retireTransport() {
	if c.transport != nil {
		c.transport.CloseIdleConnections() // also keeps busy connections from returning to the pool
		c.transport = nil
	}
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retireTransport()
}

// currentTransport returns the transport in use and how long its connections may be idle.
func (c *client) currentTransport() (*http.Transport, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transport == nil {
		c.transport = &http.Transport{
			DialContext:            c.open,
			DisableCompression:     true,
			MaxConnsPerHost:        c.limit,
			MaxIdleConnsPerHost:    max(c.limit, 64),
			IdleConnTimeout:        c.idleLimit(),
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			WriteBufferSize:        writeBuffer,
			ReadBufferSize:         headBuffer,
		}
	}
	return c.transport, c.idleLimit()
}

func (c *client) open(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newWorkerConn(conn, func(response *http.Response, awaited bool) {
		c.logger.Info("a response to another request was dropped", zap.String("worker", address), zap.Int("status", response.StatusCode),
			zap.String("response_to", response.Header.Get(headerRequestID)), zap.Bool("awaited", awaited))
	}), nil
}

// attempt is one request to one worker.
type attempt struct {
	message  *protocol.Deliver
	address  string
	instance string // empty for a worker that is not in the list
	timeout  time.Duration
	permit   func() error // called right before the first byte; an error prevents the sending
}

// send makes an attempt. It uses another connection only while nothing of the request was written to a socket.
func (c *client) send(ctx context.Context, a *attempt) attemptResult {
	request, err := a.request()
	if err != nil {
		return attemptResult{Result: Result{Outcome: protocol.OutcomeNotRun, Pause: pauseUnreachable}, status: balance.NotSent}
	}
	for exchanges := 1; ; exchanges++ {
		end, retry := c.exchange(ctx, a, request)
		if !retry || exchanges == maxUnsentExchanges {
			return end
		}
	}
}

// request builds the request to the worker: the client's request as it arrived, plus the header fields of this attempt.
func (a *attempt) request() (*http.Request, error) {
	target, err := targetOf(a.address, a.message.URI)
	if err != nil {
		return nil, err
	}
	header := make(http.Header, len(a.message.Headers)+5)
	for _, h := range a.message.Headers {
		header[h.Name] = append(header[h.Name], h.Value)
	}
	if _, has := header["User-Agent"]; !has {
		header["User-Agent"] = nil // else net/http adds its own
	}
	header[headerRequestID] = []string{a.message.RequestID}
	if a.message.Key != "" {
		header[headerOrderingKey] = []string{a.message.Key}
	}
	header[headerDeadline] = []string{strconv.FormatInt(a.timeout.Milliseconds(), 10)}
	if a.instance != "" {
		header[headerInstance] = []string{a.instance}
	}
	return &http.Request{Method: a.message.Method, URL: target, Host: a.message.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, ContentLength: int64(len(a.message.Body))}, nil
}

// targetOf returns a URL whose request line is uri, byte for byte.
func targetOf(address, uri string) (*url.URL, error) {
	target := &url.URL{Scheme: "http", Host: address, Opaque: uri}
	if strings.HasPrefix(uri, "//") { // as an opaque part it would be parsed as a host
		parsed, err := url.ParseRequestURI(uri)
		if err != nil {
			return nil, err
		}
		target = parsed
		target.Scheme, target.Host = "http", address
	}
	if target.RequestURI() != uri {
		return nil, errors.Newf("delivery: request target %q cannot be sent unchanged: refuse it at the ingress", uri)
	}
	return target, nil
}

// exchange sends the request on one connection and reads the response. retry says that nothing was sent, and that another
// connection may succeed.
func (c *client) exchange(ctx context.Context, a *attempt, request *http.Request) (end attemptResult, retry bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transport, idleLimit := c.currentTransport()
	timer := newExchangeTimer(cancel)
	defer timer.stop()
	g := &sendGuard{id: a.message.RequestID, method: request.Method, idleLimit: idleLimit, permit: a.permit,
		onSend: func() error { return timer.awaitResponse(a.timeout) }}
	if request.Body = nil; len(a.message.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(a.message.Body))
	}
	response, reused, err := roundTrip(ctx, transport, request, g)
	if err != nil {
		end, retry = classifyFailure(g, ctx, err, reused)
	} else {
		end = c.classifyResponse(g, a, response)
	}
	end.sinceFirstByte = g.sinceFirstByte()
	return end, retry
}

// roundTrip sends the request as far as the guard allows it. The response has no body.
func roundTrip(ctx context.Context, transport *http.Transport, request *http.Request, g *sendGuard) (response *http.Response, reused bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		reused = info.Reused
		g.bind(info.Conn.(*workerConn))
	}}
	response, err = transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		err = response.Body.Close()
	}
	return response, reused, err
}

// classifyFailure derives the result of an exchange without a response.
func classifyFailure(g *sendGuard, ctx context.Context, err error, reused bool) (end attemptResult, retry bool) {
	sent, denied := g.sent()
	switch {
	case sent && ctx.Err() != nil:
		return unknown(balance.TimedOut, causeNoResponse), false
	case sent && errors.Is(err, errIncompleteResponse):
		return unknown(balance.Reset, causeTruncated), false
	case sent:
		return unknown(balance.Reset, causeConnection), false
	case denied != nil:
		return notRun(balance.NotSent), false
	case ctx.Err() != nil || !reused:
		end = notRun(balance.ConnectFailed)
		end.Pause = pauseUnreachable
		return end, false
	}
	return notRun(balance.NotSent), true
}

// classifyResponse derives the result from a response. If it does not name the request, the outcome is unknown and the connection is closed.
func (c *client) classifyResponse(g *sendGuard, a *attempt, response *http.Response) attemptResult {
	if id := response.Header.Get(headerRequestID); id != a.message.RequestID {
		g.connection().Close()
		end := unknown(balance.Errored, causeForeign)
		end.foreignID = id
		return end
	}
	c.learnKeepAlive(response.Header)
	return classify(response.StatusCode, response.Header)
}

// probe checks the health of a worker.
func (c *client) probe(ctx context.Context, address, path, instance string) balance.Status {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return balance.ConnectFailed
	}
	request.Header["User-Agent"] = nil
	transport, idleLimit := c.currentTransport()
	response, _, err := roundTrip(ctx, transport, request, &sendGuard{method: request.Method, idleLimit: idleLimit})
	if err != nil {
		return balance.ConnectFailed
	}
	if response.StatusCode != http.StatusOK {
		return balance.Full
	}
	if answeredBy := response.Header.Get("X-Instance-Id"); instance != "" && answeredBy != "" && answeredBy != instance {
		return balance.Full
	}
	return balance.OK
}
