// Package network abstracts the sockets that a process of the system uses, so that the simulation of the system can replace them.
//
// Wherever a Network is a parameter or option, nil means the sockets of the operating system.
package network

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Network opens sockets. Its connections need not have a file descriptor.
type Network interface {
	// Listen accepts connections on HOST:PORT.
	Listen(address string) (net.Listener, error)
	// DialContext opens a connection; network is "tcp".
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	// ListenPacket receives and sends datagrams on HOST:PORT.
	ListenPacket(address string) (PacketConn, error)
}

// PacketConn is a socket for datagrams. *net.UDPConn is one.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Listen listens on n, or on a TCP socket of the system if n is nil.
func Listen(n Network, address string) (net.Listener, error) {
	if n == nil {
		return net.Listen("tcp", address)
	}
	return n.Listen(address)
}

// Client returns an HTTP client whose calls go over n and have a timeout.
func Client(n Network, timeout time.Duration) *http.Client {
	client := &http.Client{Timeout: timeout}
	if n != nil {
		client.Transport = &http.Transport{DialContext: n.DialContext}
	}
	return client
}
