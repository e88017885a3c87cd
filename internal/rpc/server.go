package rpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Server accepts connections on one address.
type Server struct {
	listener           net.Listener
	handler            Handler
	options            Options
	monitor            *monitor
	protocolMismatches atomic.Uint64
	closing            chan struct{}
	running            sync.WaitGroup

	mutex      sync.Mutex
	conns      map[*Conn]struct{}
	handshakes map[net.Conn]struct{} // connections whose preambles are being exchanged
	closed     bool
}

// Listen starts to accept connections.
func Listen(address string, h Handler, o Options) (*Server, error) {
	o = o.withDefaults()
	listener, err := o.listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "rpc: listen on %s: check that no other process has the port", address)
	}
	s := &Server{
		listener: listener, handler: h, options: o, monitor: newMonitor(o), closing: make(chan struct{}),
		conns: make(map[*Conn]struct{}), handshakes: make(map[net.Conn]struct{}),
	}
	s.running.Go(s.accept)
	return s, nil
}

func (o *Options) listen(address string) (net.Listener, error) {
	if o.Network != nil {
		return o.Network.Listen(address)
	}
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(context.Background(), "tcp", address)
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// ProtocolMismatches returns the number of connections that were closed because the peer does not speak this protocol.
func (s *Server) ProtocolMismatches() uint64 { return s.protocolMismatches.Load() }

// Close stops accepting and closes all accepted connections. It does not wait for their OnClose.
func (s *Server) Close() error {
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return nil
	}
	s.closed = true
	close(s.closing)
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	for socket := range s.handshakes {
		_ = socket.Close()
	}
	s.mutex.Unlock()
	err := s.listener.Close()
	for _, c := range conns {
		c.Close()
	}
	s.running.Wait()
	s.monitor.stop()
	return err
}

func (s *Server) accept() {
	pause := minAcceptPause
	for {
		connection, err := s.listener.Accept()
		if err == nil {
			pause = minAcceptPause
			s.startHandshake(connection)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		s.options.Logger.Warn("accept failed: check the open file limit", zap.Error(err))
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-s.closing:
			timer.Stop()
			return
		}
		pause = min(2*pause, maxAcceptPause)
	}
}

// startHandshake exchanges preambles on a separate goroutine and then starts the connection.
func (s *Server) startHandshake(socket net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = socket.Close()
		return
	}
	s.handshakes[socket] = struct{}{}
	s.running.Go(func() {
		c, err := s.handshake(socket)
		s.mutex.Lock()
		delete(s.handshakes, socket)
		if err == nil && s.closed {
			err = ErrClosed
		}
		if err == nil {
			s.conns[c] = struct{}{}
		}
		s.mutex.Unlock()
		if err != nil {
			_ = socket.Close()
			return
		}
		c.start(func() { s.remove(c) })
	})
}

func (s *Server) handshake(socket net.Conn) (*Conn, error) {
	setUserTimeout(socket, s.options.UserTimeout)
	if err := socket.SetDeadline(time.Now().Add(s.options.DialTimeout)); err != nil {
		return nil, err
	}
	if err := readPreamble(socket); err != nil {
		if errors.Is(err, ErrProtocolMismatch) {
			s.protocolMismatches.Add(1)
		}
		return nil, err
	}
	if _, err := socket.Write(preamble()); err != nil {
		return nil, err
	}
	if err := socket.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return newConn(socket, socket.RemoteAddr().String(), false, s.handler, s.options, s.monitor)
}

func (s *Server) remove(c *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
}
