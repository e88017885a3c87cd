// Package control serves operators' requests: a second listener with its own few connections, independent of the load from
// clients and hosts. It uses HTTP/1.1 with one request per connection.
package control

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/url"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"liftgauge/internal/http1"
)

const (
	callTimeout   = 2 * time.Second        // for receiving a request, from its connect: an idle connection holds its slot no longer
	applyTimeout  = 900 * time.Millisecond // for carrying out a request: clients wait 1 s
	writeTimeout  = time.Second
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 64 << 10
	acceptPause   = 10 * time.Millisecond
)

// Config configures a Server. Its functions may be called concurrently.
type Config struct {
	MaxConns int // of concurrent connections
	// Ready reports whether the process accepts clients.
	Ready func() bool
	// Metrics returns the metrics. It must not block.
	Metrics func() Metrics
	// SetOffline sets a host offline, or online again; it returns once that is applied. Known reports whether the host was
	// ever listed.
	SetOffline func(ctx context.Context, id string, offline bool) (known bool, err error)
	// Members returns the state of membership as JSON; nil if membership is off.
	Members func(ctx context.Context) ([]byte, error)
	// Drain starts or ends a drain of the clients.
	Drain func(on bool)
	Log   *slog.Logger
}

// Server answers operators' requests.
type Server struct {
	Config
	mu    sync.Mutex
	conns map[*conn]struct{}
	slots chan struct{}
}

// conn is an operator's connection.
type conn struct {
	net.Conn
	since time.Time
	busy  bool // its request is being carried out, so it must not be evicted; guarded by the server's mu
}

// New returns a Server.
func New(c Config) *Server {
	return &Server{Config: c, conns: map[*conn]struct{}{}, slots: make(chan struct{}, max(c.MaxConns, 1))}
}

// Run answers requests until the context ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	var group errgroup.Group
	defer context.AfterFunc(ctx, func() {
		l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.Close()
		}
	})()
	for {
		raw, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return group.Wait()
			}
			s.Log.Warn("control: accept", "err", err)
			select {
			case <-time.After(acceptPause):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case s.slots <- struct{}{}:
		default:
			// Idle connections must not keep out new ones.
			s.evict()
			select {
			case s.slots <- struct{}{}:
			case <-ctx.Done():
				raw.Close()
				return group.Wait()
			}
		}
		c := &conn{Conn: raw, since: time.Now()}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		if ctx.Err() != nil {
			c.Close()
		}
		s.mu.Unlock()
		group.Go(func() error {
			defer func() {
				c.Close()
				s.mu.Lock()
				defer s.mu.Unlock()
				delete(s.conns, c)
				<-s.slots
			}()
			s.serve(ctx, c)
			return nil
		})
	}
}

// evict closes the oldest connection whose request is not being carried out.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *conn
	for c := range s.conns {
		if !c.busy && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.Close()
	}
}

func (s *Server) setBusy(c *conn, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = busy
}

// serve reads and answers one request.
func (s *Server) serve(ctx context.Context, c *conn) {
	c.SetDeadline(c.since.Add(callTimeout))
	r := http1.NewReader(c)
	status, fields, body := 0, http1.Fields(nil), []byte(nil)
	request, err := r.ReadRequest()
	if err == nil {
		_, err = r.ReadBody(&request.Head, http1.MaxBody)
	}
	var e *http1.Error
	var timeout net.Error
	switch {
	case err == nil:
		s.setBusy(c, true)
		status, fields, body = s.handle(ctx, request)
		s.setBusy(c, false)
	case errors.As(err, &e):
		status, body = e.Status, []byte(e.Reason+"\n")
	case errors.As(err, &timeout) && timeout.Timeout():
		status = 408
	default:
		return // the client has disconnected
	}
	c.SetDeadline(time.Now().Add(writeTimeout))
	fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	if _, err := c.Write(http1.AppendResponse(nil, status, fields, body)); err != nil {
		return
	}
	// Closing with unread bytes would reset the connection, and the answer could be lost.
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c, lingerBytes)
	}
}

// handle carries out a request.
func (s *Server) handle(ctx context.Context, request *http1.Request) (status int, fields http1.Fields, body []byte) {
	method := "POST"
	var run func()
	status = 204
	switch request.Path {
	case "/control/ready":
		method, run = "GET", func() {
			if status = 200; !s.Ready() {
				status = 503
			}
		}
	case "/control/counters":
		method, run = "GET", func() {
			status, body = 200, s.Metrics().Append(nil)
			fields = http1.Fields{{Name: "Content-Type", Value: "text/plain; version=0.0.4"}}
		}
	case "/control/members":
		if s.Members == nil {
			return 404, nil, []byte("membership is off\n")
		}
		method, run = "GET", func() {
			timeoutCtx, stop := context.WithTimeout(ctx, applyTimeout)
			defer stop()
			var err error
			status, fields = 200, http1.Fields{{Name: "Content-Type", Value: "application/json"}}
			if body, err = s.Members(timeoutCtx); err != nil {
				status, fields, body = 503, nil, []byte("membership does not answer\n")
			}
		}
	case "/control/out-of-service":
		run = func() { s.Drain(true) }
	case "/control/in-service":
		run = func() { s.Drain(false) }
	default:
		id, offline, ok := parseHostPath(request.Path)
		if !ok || s.SetOffline == nil {
			return 404, nil, []byte("unknown path\n")
		}
		run = func() { status, body = s.setHostOffline(ctx, id, offline) }
	}
	if request.Method != method {
		return 405, http1.Fields{{Name: "Allow", Value: method}}, nil
	}
	run()
	return status, fields, body
}

// parseHostPath parses a path of the form /control/workers/ID/offline or /control/workers/ID/online.
func parseHostPath(path string) (id string, offline, ok bool) {
	rest, ok := strings.CutPrefix(path, "/control/workers/")
	if !ok {
		return "", false, false
	}
	name, verb, _ := strings.Cut(rest, "/")
	id, err := url.PathUnescape(name)
	return id, verb == "offline", err == nil && id != "" && (verb == "offline" || verb == "online")
}

func (s *Server) setHostOffline(ctx context.Context, id string, offline bool) (status int, body []byte) {
	ctx, stop := context.WithTimeout(ctx, applyTimeout)
	defer stop()
	switch known, err := s.SetOffline(ctx, id, offline); {
	case err != nil:
		s.Log.Error("control: request not applied", "host", id, "offline", offline, "err", err)
		return 503, []byte("not applied\n")
	case !known:
		return 404, []byte("no host of that id was ever listed\n")
	}
	s.Log.Info("control", "host", id, "offline", offline)
	return 204, nil
}
