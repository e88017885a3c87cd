package ingress

import (
	"context"
	"encoding/json"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"liftgauge/configuration"
	"liftgauge/internal/network"
	"liftgauge/internal/roles/dispatcher/directory"
)

const (
	maxHeaderBytes       = 256 << 10 // read of a head before the configured limit is applied
	initialHeaderTimeout = 3 * time.Second
	initialIdleTimeout   = 15 * time.Second
)

func appendJSONString(b []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // of a string; never fails
	return append(b, quoted...)
}

// Server listens for clients. A connection keeps the time limits that were configured when it was opened.
type Server struct {
	handler  http.Handler
	logger   *zap.Logger
	listener net.Listener

	mu          sync.Mutex
	limits      configuration.Limits
	current     *http.Server
	connections *connListener
	servers     []*http.Server
	closed      bool
}

// Listen starts to serve clients on a network, nil for the operating system's.
func Listen(n network.Network, address string, handler http.Handler, d *directory.Directory, logger *zap.Logger) (*Server, error) {
	listener, err := network.Listen(n, address)
	if err != nil {
		return nil, errors.Wrapf(err, "ingress: cannot listen on Frontend %s: free the port or change BindAddresses.Frontend", address)
	}
	s := &Server{handler: handler, logger: logger, listener: listener,
		limits: configuration.Limits{HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout}}
	s.startServer()
	d.Subscribe(func(_, after *directory.Snapshot) { s.updateLimits(after) })
	go s.accept()
	return s, nil
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// updateLimits applies the time limits of a configuration to new connections.
func (s *Server) updateLimits(after *directory.Snapshot) {
	if after.Configuration == nil {
		return
	}
	limits := after.Configuration.Limits
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || limits.HeaderTimeout == s.limits.HeaderTimeout && limits.IdleTimeout == s.limits.IdleTimeout {
		return
	}
	s.limits = limits
	s.startServer()
}

// startServer starts a new http.Server for new connections with the current limits, because net/http reads its limits without a lock. The
// caller holds the lock.
func (s *Server) startServer() {
	s.connections = &connListener{conns: make(chan net.Conn), done: make(chan struct{}), address: s.listener.Addr()}
	s.current = &http.Server{
		Handler: s.handler, ReadHeaderTimeout: s.limits.HeaderTimeout, IdleTimeout: s.limits.IdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(debugWriter{s.logger}, "", 0), DisableGeneralOptionsHandler: true,
	}
	s.servers = append(s.servers, s.current)
	go s.current.Serve(s.connections)
}

// accept passes each connection to the server with the current limits.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // usually too many open files
			s.logger.Warn("cannot accept a client connection", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		connections := s.connections
		s.mu.Unlock()
		connections.push(conn)
	}
}

// Shutdown stops accepting, closes idle connections, and waits until all requests that were read are answered.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	servers := s.servers
	s.mu.Unlock()
	err := s.listener.Close()
	for _, server := range servers {
		err = multierr.Append(err, server.Shutdown(ctx))
	}
	return err
}

// Close closes everything at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for _, server := range s.servers {
		server.Close()
	}
}

// connListener is the listener of one http.Server; the Server passes connections to it.
type connListener struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

func (f *connListener) push(conn net.Conn) {
	select {
	case f.conns <- conn:
	case <-f.done:
		conn.Close()
	}
}

// Accept implements net.Listener.
func (f *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-f.conns:
		return conn, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *connListener) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr implements net.Listener.
func (f *connListener) Addr() net.Addr { return f.address }

// debugWriter logs net/http's messages about single connections at debug level, because clients cause them.
type debugWriter struct{ logger *zap.Logger }

func (d debugWriter) Write(p []byte) (int, error) {
	d.logger.Debug("client connection", zap.ByteString("line", p))
	return len(p), nil
}
