package lab

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a TCP link does.
type Mode string

// The modes.
const (
	Open    Mode = "open"
	Slow    Mode = "slow"    // each piece comes late
	Reset   Mode = "reset"   // connections are reset, new ones too
	Silent  Mode = "silent"  // connections stay open and nothing passes, as of a machine that has vanished
	Refused Mode = "refused" // nothing listens, as of a process that has died
	NoBack  Mode = "no-back" // requests pass, answers do not
)

// TCPLink leads connections from one dispatcher to a host or to discovery.
type TCPLink struct {
	Address string
	target  string

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	l     net.Listener
	conns map[net.Conn]struct{}
	turn  chan struct{} // closed when the mode changes
	ended bool
	tasks sync.WaitGroup

	Bytes atomic.Int64
}

// NewTCPLink opens a link to a target.
func NewTCPLink(target string) (*TCPLink, error) {
	l, err := listenBelow() // it is closed and opened again
	if err != nil {
		return nil, err
	}
	t := &TCPLink{Address: l.Addr().String(), target: target, mode: Open, l: l, conns: map[net.Conn]struct{}{}, turn: make(chan struct{})}
	t.tasks.Go(func() { t.accept(l) })
	return t, nil
}

// Set changes what the link does, for the connections that are open as well.
func (t *TCPLink) Set(m Mode, delay time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return net.ErrClosed
	}
	t.mode, t.delay = m, delay
	close(t.turn)
	t.turn = make(chan struct{})
	if m == Reset || m == Refused {
		for c := range t.conns {
			reset(c)
		}
	}
	switch {
	case m == Refused && t.l != nil:
		t.l.Close()
		t.l = nil
	case m != Refused && t.l == nil:
		l, err := net.Listen("tcp", t.Address)
		if err != nil {
			return err
		}
		t.l = l
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

// serve carries one connection.
func (t *TCPLink) serve(c net.Conn) {
	defer t.drop(c)
	if !t.pass(false, 0) {
		return
	}
	far, err := net.DialTimeout("tcp", t.target, 2*time.Second)
	if err != nil {
		reset(c)
		return
	}
	t.mu.Lock()
	t.conns[far] = struct{}{}
	ended := t.ended
	t.mu.Unlock()
	defer t.drop(far)
	if ended {
		return
	}
	var back sync.WaitGroup
	back.Go(func() {
		t.copy(c, far, true)
		closeWrite(c)
	})
	t.copy(far, c, false)
	closeWrite(far)
	back.Wait()
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// copy carries one direction, piece by piece.
func (t *TCPLink) copy(to io.Writer, from io.Reader, back bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !t.pass(back, n) {
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

// pass waits until what goes in a direction may go on. False: the link has ended, or resets.
func (t *TCPLink) pass(back bool, n int) bool {
	for {
		t.mu.Lock()
		mode, turn, ended, delay := t.mode, t.turn, t.ended, t.delay
		t.mu.Unlock()
		switch {
		case ended || mode == Reset || mode == Refused:
			return false
		case mode == Silent || mode == NoBack && back:
			<-turn
			continue
		case mode == Slow && n > 0:
			select {
			case <-time.After(delay):
			case <-turn:
			}
		}
		return true
	}
}

func (t *TCPLink) drop(c net.Conn) {
	c.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// Close ends the link with all connections.
func (t *TCPLink) Close() {
	t.mu.Lock()
	if !t.ended {
		t.ended = true
		close(t.turn)
		if t.l != nil {
			t.l.Close()
		}
		for c := range t.conns {
			c.Close()
		}
	}
	t.mu.Unlock()
	t.tasks.Wait()
}
