package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what is wrong with a directed link.
type Fault struct {
	Loss      float64       `json:"loss"`      // share that gets lost; 1: cut
	Delay     time.Duration `json:"-"`         // of all,
	Spread    time.Duration `json:"-"`         // and up to so much more, by which datagrams overtake each other
	Duplicate float64       `json:"duplicate"` // share that comes twice
}

// Links carry datagrams between the members of a fleet, each over a directed link of its own. A member listens at one address and is known at
// another, which is the links': what it sends to another's known address comes out of its own. Where its process is dead the known address
// is closed, so that its machine says "port unreachable" as it would.
type Links struct {
	mu     sync.Mutex
	rng    *rand.Rand
	known  []netip.AddrPort
	real   []netip.AddrPort
	conns  []*net.UDPConn
	faults map[[2]int]Fault
	ended  context.Context
	end    context.CancelFunc
	tasks  sync.WaitGroup

	Carried, Lost atomic.Int64
}

// NewLinks opens the known addresses of members that listen at the real ones.
func NewLinks(real []string, seed uint64) (*Links, error) {
	l := &Links{rng: rand.New(rand.NewPCG(seed, 21)), faults: map[[2]int]Fault{}}
	l.ended, l.end = context.WithCancel(context.Background())
	for _, r := range real {
		at, err := netip.ParseAddrPort(r)
		if err != nil {
			return nil, fmt.Errorf("links: %w", err)
		}
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			l.Close()
			return nil, fmt.Errorf("links: %w", err)
		}
		l.real, l.known, l.conns = append(l.real, at), append(l.known, c.LocalAddr().(*net.UDPAddr).AddrPort()), append(l.conns, c)
		i := len(l.conns) - 1
		l.tasks.Go(func() { l.carry(i, c) })
	}
	return l, nil
}

// Known is where a member is known.
func (l *Links) Known(i int) string { return l.known[i].String() }

// Set says what is wrong with the link from one member to another.
func (l *Links) Set(from, to int, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == (Fault{}) {
		delete(l.faults, [2]int{from, to})
		return
	}
	l.faults[[2]int{from, to}] = f
}

// Alive opens or closes a member's known address.
func (l *Links) Alive(i int, alive bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.conns[i]; old != nil {
		if alive {
			return nil
		}
		l.conns[i] = nil
		return old.Close()
	}
	if !alive {
		return nil
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.known[i]))
	if err != nil {
		return fmt.Errorf("links: %w", err)
	}
	l.conns[i] = c
	l.tasks.Go(func() { l.carry(i, c) })
	return nil
}

// carry takes what comes to a member's known address until that is closed.
func (l *Links) carry(to int, c *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			if l.ended.Err() != nil || isClosed(err) {
				return
			}
			continue // of something sent before
		}
		l.mu.Lock()
		i := -1
		for k, r := range l.real {
			if r == from {
				i = k
			}
		}
		f := l.faults[[2]int{i, to}]
		lost, twice := l.rng.Float64() < f.Loss, l.rng.Float64() < f.Duplicate
		wait := f.Delay + time.Duration(l.rng.Float64()*float64(f.Spread))
		l.mu.Unlock()
		if i < 0 {
			continue
		}
		if lost {
			l.Lost.Add(1)
			continue
		}
		l.Carried.Add(1)
		data := append([]byte(nil), b[:n]...)
		send := func() {
			l.mu.Lock()
			out := l.conns[i]
			l.mu.Unlock()
			if out != nil {
				out.WriteToUDPAddrPort(data, l.real[to])
				if twice {
					out.WriteToUDPAddrPort(data, l.real[to])
				}
			}
		}
		if wait <= 0 {
			send()
		} else {
			time.AfterFunc(wait, send)
		}
	}
}

func isClosed(err error) bool {
	op, ok := err.(*net.OpError)
	return ok && op.Err == net.ErrClosed
}

// Close ends all links.
func (l *Links) Close() {
	l.end()
	l.mu.Lock()
	for _, c := range l.conns {
		if c != nil {
			c.Close()
		}
	}
	l.mu.Unlock()
	l.tasks.Wait()
}

// freeUDP finds a loopback address that nobody has right now.
func freeUDP() (string, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}
