package virtualnet

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"liftgauge/internal/network"
)

// packetQueue is the number of unread datagrams that a socket holds before it drops more.
const packetQueue = 256

// packetConn is a datagram socket.
type packetConn struct {
	host   *Host
	at     netip.AddrPort
	queue  chan datagram
	closed chan struct{}
	once   sync.Once
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

// ListenPacket implements network.Network.
func (h *Host) ListenPacket(address string) (network.PacketConn, error) {
	if h.isDead() {
		return nil, syscall.ENETDOWN
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packets[address] != nil {
		return nil, syscall.EADDRINUSE
	}
	p := &packetConn{host: h, at: at, queue: make(chan datagram, packetQueue), closed: make(chan struct{})}
	n.packets[address] = p
	return p, nil
}

// ReadFromUDPAddrPort implements network.PacketConn.
func (p *packetConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case <-p.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	case d := <-p.queue:
		return copy(b, d.data), d.from, nil
	}
}

// WriteToUDPAddrPort implements network.PacketConn.
func (p *packetConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	if len(b) > 64<<10 {
		return 0, errDatagramTooLong
	}
	n := p.host.net
	n.mu.Lock()
	lost := n.link(p.host.ip, to.Addr().String()).cut || n.random.Float64() < n.options.Loss
	if n.options.DropDatagram != nil {
		lost = lost || n.options.DropDatagram(p.host.ip, to.Addr().String(), b)
	}
	delay := n.delay()
	n.mu.Unlock()
	if !lost {
		d := datagram{from: p.at, data: append([]byte(nil), b...)}
		time.AfterFunc(delay, func() { n.deliver(to, d) })
	}
	return len(b), nil
}

func (n *Net) deliver(to netip.AddrPort, d datagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.packets[to.String()]; p != nil {
		select {
		case p.queue <- d:
		default:
		}
	}
}

// LocalAddr implements network.PacketConn.
func (p *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.at) }

// Close implements network.PacketConn.
func (p *packetConn) Close() error {
	p.once.Do(func() {
		n := p.host.net
		n.mu.Lock()
		if n.packets[p.at.String()] == p {
			delete(n.packets, p.at.String())
		}
		n.mu.Unlock()
		close(p.closed)
	})
	return nil
}
