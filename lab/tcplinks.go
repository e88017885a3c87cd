package lab

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is the behaviour of a TCP link.
type Mode string

// The modes of a TCP link.
const (
	Open         Mode = "open"
	Slow         Mode = "slow"    // each read is forwarded after a delay
	Reset        Mode = "reset"   // open and new connections are reset
	Unresponsive Mode = "silent"  // connections stay open and nothing is forwarded, as with a machine that lost power
	Refused      Mode = "refused" // nothing listens, as with a process that has died
	NoResponses  Mode = "no-back" // requests are forwarded, responses are not
)

// TCPLink is a fault-injecting TCP proxy between one dispatcher and a host or discovery.
type TCPLink struct {
	Address string
	target  string

	mu          sync.Mutex
	mode        Mode
	delay       time.Duration
	listener    net.Listener
	conns       map[net.Conn]struct{}
	modeChanged chan struct{} // closed when the mode changes
	ended       bool
	tasks       sync.WaitGroup

	Bytes atomic.Int64
}

// NewTCPLink opens a link to a target.
func NewTCPLink(target string) (*TCPLink, error) {
	l, err := listenBelowEphemeralPorts() // the port is closed and opened again by Set
	if err != nil {
		return nil, err
	}
	t := &TCPLink{Address: l.Addr().String(), target: target, mode: Open, listener: l, conns: map[net.Conn]struct{}{}, modeChanged: make(chan struct{})}
	t.tasks.Go(func() { t.accept(l) })
	return t, nil
}

// Set changes the mode of the link, also for open connections.
func (t *TCPLink) Set(m Mode, delay time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return net.ErrClosed
	}
	t.mode, t.delay = m, delay
	close(t.modeChanged)
	t.modeChanged = make(chan struct{})
	if m == Reset || m == Refused {
		for c := range t.conns {
			reset(c)
		}
	}
	switch {
	case m == Refused && t.listener != nil:
		t.listener.Close()
		t.listener = nil
	case m != Refused && t.listener == nil:
		l, err := net.Listen("tcp", t.Address)
		if err != nil {
			return err
		}
		t.listener = l
		t.tasks.Go(func() { t.accept(l) })
	}
	return nil
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (t *TCPLink) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		mode, ended := t.mode, t.ended
		if !ended && mode != Reset {
			t.conns[c] = struct{}{}
			t.tasks.Go(func() { t.serve(c) })
		}
		t.mu.Unlock()
		if ended || mode == Reset {
			reset(c)
		}
	}
}

// serve forwards one connection in both directions.
func (t *TCPLink) serve(c net.Conn) {
	defer t.closeConnection(c)
	if !t.waitToForward(false, 0) {
		return
	}
	upstream, err := net.DialTimeout("tcp", t.target, 2*time.Second)
	if err != nil {
		reset(c)
		return
	}
	t.mu.Lock()
	t.conns[upstream] = struct{}{}
	ended := t.ended
	t.mu.Unlock()
	defer t.closeConnection(upstream)
	if ended {
		return
	}
	var responses sync.WaitGroup
	responses.Go(func() {
		t.forward(c, upstream, true)
		closeWrite(c)
	})
	t.forward(upstream, c, false)
	closeWrite(upstream)
	responses.Wait()
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// forward copies one direction until it ends.
func (t *TCPLink) forward(to io.Writer, from io.Reader, toClient bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !t.waitToForward(toClient, n) {
				return
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
			t.Bytes.Add(int64(n))
		}
		if err != nil {
			return
		}
	}
}

// waitToForward waits until data of one direction may be forwarded. It returns false if the link has ended, resets or refuses.
func (t *TCPLink) waitToForward(toClient bool, n int) bool {
	for {
		t.mu.Lock()
		mode, modeChanged, ended, delay := t.mode, t.modeChanged, t.ended, t.delay
		t.mu.Unlock()
		switch {
		case ended || mode == Reset || mode == Refused:
			return false
		case mode == Unresponsive || mode == NoResponses && toClient:
			<-modeChanged
			continue
		case mode == Slow && n > 0:
			select {
			case <-time.After(delay):
			case <-modeChanged:
			}
		}
		return true
	}
}

func (t *TCPLink) closeConnection(c net.Conn) {
	c.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// Close ends the link and closes all its connections.
func (t *TCPLink) Close() {
	t.mu.Lock()
	if !t.ended {
		t.ended = true
		close(t.modeChanged)
		if t.listener != nil {
			t.listener.Close()
		}
		for c := range t.conns {
			c.Close()
		}
	}
	t.mu.Unlock()
	t.tasks.Wait()
}
