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

// Fault describes the faults of a directed link.
type Fault struct {
	Loss      float64       `json:"loss"`      // share that is lost; 1: all
	Delay     time.Duration `json:"-"`         // of every datagram
	Spread    time.Duration `json:"-"`         // maximum random delay on top, which reorders datagrams
	Duplicate float64       `json:"duplicate"` // share that arrives twice
}

// UDPLinks forward datagrams between the members of a fleet, with a separate directed link for each pair. A member listens at one address and
// advertises another, on which UDPLinks listens: what it sends to a peer's advertised address is forwarded from its advertised address. While
// its process is dead the advertised address is closed, so that senders get "port unreachable" as from a real machine.
type UDPLinks struct {
	mu         sync.Mutex
	rng        *rand.Rand
	advertised []netip.AddrPort
	listening  []netip.AddrPort
	conns      []*net.UDPConn
	faults     map[[2]int]Fault
	ended      context.Context
	end        context.CancelFunc
	tasks      sync.WaitGroup

	Carried, Lost atomic.Int64
}

// NewUDPLinks opens an advertised address for each of the members' listen addresses.
func NewUDPLinks(listenAddresses []string, seed uint64) (*UDPLinks, error) {
	l := &UDPLinks{rng: rand.New(rand.NewPCG(seed, 21)), faults: map[[2]int]Fault{}}
	l.ended, l.end = context.WithCancel(context.Background())
	for _, r := range listenAddresses {
		at, err := netip.ParseAddrPort(r)
		if err != nil {
			return nil, fmt.Errorf("links: %w", err)
		}
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			l.Close()
			return nil, fmt.Errorf("links: %w", err)
		}
		l.listening, l.advertised, l.conns = append(l.listening, at), append(l.advertised, c.LocalAddr().(*net.UDPAddr).AddrPort()), append(l.conns, c)
		i := len(l.conns) - 1
		l.tasks.Go(func() { l.forward(i, c) })
	}
	return l, nil
}

// AdvertisedAddress returns the address at which peers reach a member.
func (l *UDPLinks) AdvertisedAddress(i int) string { return l.advertised[i].String() }

// SetFault sets the faults of the link from one member to another; the zero value removes them.
func (l *UDPLinks) SetFault(from, to int, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == (Fault{}) {
		delete(l.faults, [2]int{from, to})
		return
	}
	l.faults[[2]int{from, to}] = f
}

// SetAlive opens or closes a member's advertised address.
func (l *UDPLinks) SetAlive(i int, alive bool) error {
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
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.advertised[i]))
	if err != nil {
		return fmt.Errorf("links: %w", err)
	}
	l.conns[i] = c
	l.tasks.Go(func() { l.forward(i, c) })
	return nil
}

// forward forwards the datagrams that arrive at a member's advertised address until that is closed.
func (l *UDPLinks) forward(to int, c *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			if l.ended.Err() != nil || isClosed(err) {
				return
			}
			continue // an ICMP error for an earlier datagram
		}
		l.mu.Lock()
		i := -1
		for k, r := range l.listening {
			if r == from {
				i = k
			}
		}
		f := l.faults[[2]int{i, to}]
		lost, duplicated := l.rng.Float64() < f.Loss, l.rng.Float64() < f.Duplicate
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
				out.WriteToUDPAddrPort(data, l.listening[to])
				if duplicated {
					out.WriteToUDPAddrPort(data, l.listening[to])
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

// Close closes all advertised addresses and waits for the forwarding to end.
func (l *UDPLinks) Close() {
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

// freeUDPAddress finds a loopback address that is not in use.
func freeUDPAddress() (string, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}
