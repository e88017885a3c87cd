// Package virtualnet is an in-memory network for many nodes in one process, under the virtual clock of testing/synctest.
//
// All waiting is on channels and timers, so that the clock of a bubble advances when all nodes wait. Links have random delays determined by a
// seed. They can be cut in one direction, silently as by a lost cable or with resets as by a firewall. A goroutine cannot be frozen, so a frozen
// node is simulated by silently cutting all its links: its peers cannot tell the difference, although the node itself continues to run.
package virtualnet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/network"
)

// Options configure a network. Zero values select the defaults.
type Options struct {
	Seed uint64
	// Delay is the minimum one-way delay of a packet; 300 us by default. Spread is the maximum random addition to it; equal to Delay by default.
	Delay, Spread time.Duration
	// Loss is the share of datagrams that is lost at random.
	Loss float64
	// DropDatagram, if not nil, decides which datagrams are lost in addition to those lost at random.
	DropDatagram func(from, to string, datagram []byte) bool
	// RewriteFrame, if not nil, returns what is delivered in place of a frame (header and body) of package rpc.
	RewriteFrame func(from, to string, frame []byte) []byte
}

// Net is a network. All its methods may be called from any goroutine of the bubble.
type Net struct {
	options Options

	mu        sync.Mutex
	random    *rand.Rand
	listeners map[string]*listener
	packets   map[string]*packetConn
	links     map[[2]string]*link // by the IPs from and to
	conns     map[*pair]struct{}
	ports     map[string]uint16 // last port assigned to a dialing socket, by IP
	bytes     uint64
}

// link is one direction between two machines.
type link struct {
	cut     bool
	reset   bool          // a new connection is refused rather than left waiting
	changed chan struct{} // closed at the next change
}

// New returns a network without hosts.
func New(o Options) *Net {
	if o.Delay == 0 {
		o.Delay = 300 * time.Microsecond
	}
	if o.Spread == 0 {
		o.Spread = o.Delay
	}
	return &Net{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 0x6e6574)), listeners: map[string]*listener{}, packets: map[string]*packetConn{},
		links: map[[2]string]*link{}, conns: map[*pair]struct{}{}, ports: map[string]uint16{},
	}
}

// Bytes returns the number of bytes written to connections so far.
func (n *Net) Bytes() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// delay returns a random packet delay. The caller holds the lock.
func (n *Net) delay() time.Duration {
	return n.options.Delay + time.Duration(n.random.Int64N(int64(n.options.Spread)+1))
}

// link returns the link from one machine to another. The caller holds the lock.
func (n *Net) link(from, to string) *link {
	key := [2]string{from, to}
	l := n.links[key]
	if l == nil {
		l = &link{changed: make(chan struct{})}
		n.links[key] = l
	}
	return l
}

// Cut stops all packets from one machine to another. With reset, connections between them fail immediately and new ones are refused.
func (n *Net) Cut(from, to string, reset bool) { n.setLink(from, to, true, reset) }

// Heal undoes Cut. Connection data that was sent meanwhile arrives now, as by retransmission; datagrams stay lost.
func (n *Net) Heal(from, to string) { n.setLink(from, to, false, false) }

func (n *Net) setLink(from, to string, cut, reset bool) {
	n.mu.Lock()
	l := n.link(from, to)
	l.cut, l.reset = cut, reset
	close(l.changed)
	l.changed = make(chan struct{})
	n.mu.Unlock()
	if cut && reset {
		n.Reset(from, to)
	}
}

// Reset resets all connections between two machines on both sides.
func (n *Net) Reset(a, b string) {
	for _, p := range n.matchingPairs(func(p *pair) bool {
		return p.dialerIP == a && p.acceptorIP == b || p.dialerIP == b && p.acceptorIP == a
	}) {
		p.abort(syscall.ECONNRESET)
	}
}

func (n *Net) matchingPairs(f func(p *pair) bool) []*pair {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*pair
	for p := range n.conns {
		if f(p) {
			found = append(found, p)
		}
	}
	return found
}

// Host is one incarnation of a machine's processes on the network; it implements network.Network.
type Host struct {
	net *Net
	ip  string

	mu   sync.Mutex
	dead bool
}

var _ network.Network = (*Host)(nil)

// Host adds a host to the network. Each process should have its own, so that killing it does not affect others on the machine. Connections
// left open by a silent kill at this address are now reset.
func (n *Net) Host(ip string) *Host {
	for _, p := range n.matchingPairs(func(p *pair) bool { return p.dialerIP == ip || p.acceptorIP == ip }) {
		if p.dialer.in.isReaderLost() && p.dialerIP == ip || p.acceptor.in.isReaderLost() && p.acceptorIP == ip {
			p.abort(syscall.ECONNRESET)
		}
	}
	return &Host{net: n, ip: ip}
}

// Close resets all connections, at the end of a run.
func (n *Net) Close() {
	for _, p := range n.matchingPairs(func(*pair) bool { return true }) {
		p.abort(syscall.ECONNRESET)
	}
}

// Kill permanently closes all sockets of the host. Peers see resets, or nothing if silent, as when a machine loses power.
func (h *Host) Kill(silent bool) {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	n := h.net
	n.mu.Lock()
	var listeners []*listener
	for _, l := range n.listeners {
		if l.host == h {
			listeners = append(listeners, l)
		}
	}
	var packets []*packetConn
	for _, p := range n.packets {
		if p.host == h {
			packets = append(packets, p)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, p := range packets {
		_ = p.Close()
	}
	for _, p := range n.matchingPairs(func(p *pair) bool { return p.dialerHost == h || p.acceptorHost == h }) {
		p.closeSide(h, silent)
	}
}

func (h *Host) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// Listen implements network.Network.
func (h *Host) Listen(address string) (net.Listener, error) {
	if h.isDead() {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.ENETDOWN}
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{host: h, address: net.TCPAddrFromAddrPort(at), name: address, backlog: make(chan *conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// listener accepts connections.
type listener struct {
	host    *Host
	address *net.TCPAddr
	name    string
	backlog chan *conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	default:
	}
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
}

// Close implements net.Listener. Connections that wait to be accepted are reset.
func (l *listener) Close() error {
	l.once.Do(func() {
		n := l.host.net
		n.mu.Lock()
		if n.listeners[l.name] == l {
			delete(n.listeners, l.name)
		}
		close(l.closed)
		n.mu.Unlock()
		for {
			select {
			case c := <-l.backlog:
				c.pair.abort(syscall.ECONNRESET)
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// DialContext implements network.Network.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
	}
	// A round trip: the request to connect, and the reply.
	for _, direction := range [][2]string{{h.ip, to.Addr().String()}, {to.Addr().String(), h.ip}} {
		if err := h.net.awaitTransit(ctx, direction[0], direction[1]); err != nil {
			return fail(err)
		}
	}
	if h.isDead() {
		return fail(syscall.ENETDOWN)
	}
	c, err := h.net.connect(h, to)
	if err != nil {
		return fail(err)
	}
	return c, nil
}

// awaitTransit waits until a packet from one machine would have arrived at another.
func (n *Net) awaitTransit(ctx context.Context, from, to string) error {
	n.mu.Lock()
	delay := n.delay()
	n.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		n.mu.Lock()
		l := n.link(from, to)
		cut, reset, changed := l.cut, l.reset, l.changed
		n.mu.Unlock()
		if !cut {
			return nil
		}
		if reset {
			return syscall.ECONNREFUSED
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// connect creates a connected pair of sockets.
func (n *Net) connect(h *Host, to netip.AddrPort) (*conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[to.String()]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	n.ports[h.ip] = n.ports[h.ip]%20000 + 1
	from, err := netip.ParseAddrPort(net.JoinHostPort(h.ip, strconv.Itoa(40000+int(n.ports[h.ip]))))
	if err != nil {
		return nil, err
	}
	p := &pair{net: n, dialerHost: h, acceptorHost: l.host, dialerIP: h.ip, acceptorIP: to.Addr().String()}
	outbound, inbound := newStream(n, p.dialerIP, p.acceptorIP), newStream(n, p.acceptorIP, p.dialerIP)
	dialerAddr, acceptorAddr := net.TCPAddrFromAddrPort(from), net.TCPAddrFromAddrPort(to)
	p.dialer = &conn{pair: p, in: inbound, out: outbound, local: dialerAddr, remote: acceptorAddr, rewriter: newFrameRewriter(n, h.ip, p.acceptorIP)}
	p.acceptor = &conn{pair: p, in: outbound, out: inbound, local: acceptorAddr, remote: dialerAddr, rewriter: newFrameRewriter(n, p.acceptorIP, h.ip)}
	select {
	case l.backlog <- p.acceptor:
	default:
		return nil, syscall.ECONNREFUSED
	}
	n.conns[p] = struct{}{}
	return p.dialer, nil
}

func (n *Net) removePair(p *pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, p)
}

var errDatagramTooLong = errors.New("virtualnet: datagram too long")
