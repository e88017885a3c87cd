package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// Transport carries datagrams.
type Transport interface {
	// Send sends a datagram, without a guarantee of delivery.
	Send(to string, b []byte)
	// Receive waits for the next datagram, until the transport is closed. If refused, a datagram to the address from was answered
	// by "port unreachable".
	Receive(b []byte) (n int, from string, refused bool, err error)
	Close() error
}

// UDP is a Transport over one UDP socket.
type UDP struct {
	conn *net.UDPConn
	raw  syscall.RawConn
}

// Listen opens a socket at an address, which is also the source address of its datagrams.
func Listen(ctx context.Context, address string) (*UDP, error) {
	var c net.ListenConfig
	p, err := c.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, fmt.Errorf("membership: listen: %w", err)
	}
	u := &UDP{conn: p.(*net.UDPConn)}
	if u.raw, err = u.conn.SyscallConn(); err == nil {
		// The kernel queues each "port unreachable" with the address that it refers to.
		cerr := u.raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, syscall.IP_RECVERR, 1) })
		err = errors.Join(err, cerr)
	}
	if err != nil {
		u.conn.Close()
		return nil, fmt.Errorf("membership: %w", err)
	}
	return u, nil
}

// Address returns the local address.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Send sends a datagram. An error pending on the socket concerns an earlier datagram: the second attempt sends this one.
func (u *UDP) Send(to string, b []byte) {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return
	}
	for range 2 {
		if _, err := u.conn.WriteToUDPAddrPort(b, at); err == nil || errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// Receive waits for a datagram or a refusal.
func (u *UDP) Receive(b []byte) (n int, from string, refused bool, err error) {
	for {
		n, at, err := u.conn.ReadFromUDPAddrPort(b)
		if err == nil {
			return n, at.String(), false, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return 0, "", false, err
		}
		if to, ok := u.nextRefusal(); ok {
			return 0, to, true, nil
		}
	}
}

// nextRefusal takes the next error from the socket's error queue.
func (u *UDP) nextRefusal() (to string, ok bool) {
	u.raw.Control(func(fd uintptr) {
		var b [64]byte
		var oob [256]byte
		_, oobn, _, from, err := syscall.Recvmsg(int(fd), b[:], oob[:], syscall.MSG_ERRQUEUE|syscall.MSG_DONTWAIT)
		if err != nil {
			return
		}
		messages, err := syscall.ParseSocketControlMessage(oob[:oobn])
		at, inet := from.(*syscall.SockaddrInet4)
		if err != nil || !inet {
			return
		}
		for _, m := range messages {
			// struct sock_extended_err begins with the error number.
			if m.Header.Level == syscall.IPPROTO_IP && m.Header.Type == syscall.IP_RECVERR && len(m.Data) >= 4 &&
				syscall.Errno(binary.NativeEndian.Uint32(m.Data)) == syscall.ECONNREFUSED {
				to, ok = netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)).String(), true
			}
		}
	})
	return to, ok
}

func (u *UDP) Close() error { return u.conn.Close() }
