package rpc

import (
	"encoding/binary"
	"hash/crc32"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/network"
)

// Datagrams are laid out as: magic, CRC-32C of the bytes after it u32, kind u16, body.
const (
	datagramMagic      = "LGd1"
	datagramHeaderSize = 10
	// MaxDatagram is the maximum length of a datagram's body; with its headers it fits into an Ethernet frame.
	MaxDatagram = 1400

	minReceivePause = time.Millisecond
	maxReceivePause = 250 * time.Millisecond
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DatagramSocket sends and receives single frames over UDP; they may be lost, duplicated or reordered.
type DatagramSocket struct {
	socket           network.PacketConn
	invalidDatagrams atomic.Uint64
	running          sync.WaitGroup
	closing          chan struct{}
	once             sync.Once
}

// ListenDatagrams opens an operating system socket; f is called for each valid datagram, on a single goroutine, and may use body only
// until it returns.
func ListenDatagrams(address string, f func(from netip.AddrPort, kind Kind, body []byte)) (*DatagramSocket, error) {
	return ListenDatagramsOn(nil, address, f)
}

// ListenDatagramsOn is like ListenDatagrams on the given network; nil selects operating system sockets.
func ListenDatagramsOn(n network.Network, address string, f func(from netip.AddrPort, kind Kind, body []byte)) (*DatagramSocket, error) {
	socket, err := openDatagrams(n, address)
	if err != nil {
		return nil, errors.Wrapf(err, "rpc: listen for datagrams on %s: check that no other process has the port", address)
	}
	d := &DatagramSocket{socket: socket, closing: make(chan struct{})}
	d.running.Go(func() { d.receive(f) })
	return d, nil
}

func openDatagrams(n network.Network, address string) (network.PacketConn, error) {
	if n != nil {
		return n.ListenPacket(address)
	}
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", local)
}

// Send sends one datagram. An error means that it was certainly not sent.
func (d *DatagramSocket) Send(to string, kind Kind, body []byte) error {
	if len(body) > MaxDatagram {
		return notSent(ErrTooLong)
	}
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return notSent(err)
	}
	b := make([]byte, datagramHeaderSize, datagramHeaderSize+len(body))
	copy(b, datagramMagic)
	binary.LittleEndian.PutUint16(b[8:], uint16(kind))
	b = append(b, body...)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	if _, err := d.socket.WriteToUDPAddrPort(b, address); err != nil {
		return notSent(err)
	}
	return nil
}

// Addr returns the local address.
func (d *DatagramSocket) Addr() string { return d.socket.LocalAddr().String() }

// InvalidDatagrams returns the number of datagrams that were ignored because they are damaged or of another protocol.
func (d *DatagramSocket) InvalidDatagrams() uint64 { return d.invalidDatagrams.Load() }

// Close closes the socket and waits for the last call of the handler; the handler must not call it.
func (d *DatagramSocket) Close() error {
	var err error
	d.once.Do(func() {
		close(d.closing)
		err = d.socket.Close()
		d.running.Wait()
	})
	return err
}

func (d *DatagramSocket) receive(f func(from netip.AddrPort, kind Kind, body []byte)) {
	buffer := make([]byte, datagramHeaderSize+MaxDatagram+1)
	pause := minReceivePause
	for {
		n, from, err := d.socket.ReadFromUDPAddrPort(buffer)
		if err == nil {
			pause = minReceivePause
			if kind, body, ok := parseDatagram(buffer[:n]); ok {
				f(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), kind, body)
			} else {
				d.invalidDatagrams.Add(1)
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-d.closing:
			timer.Stop()
			return
		}
		pause = min(2*pause, maxReceivePause)
	}
}

func parseDatagram(b []byte) (Kind, []byte, bool) {
	if len(b) < datagramHeaderSize || len(b) > datagramHeaderSize+MaxDatagram || string(b[:4]) != datagramMagic {
		return 0, nil, false
	}
	if binary.LittleEndian.Uint32(b[4:]) != crc32.Checksum(b[8:], castagnoli) {
		return 0, nil, false
	}
	return Kind(binary.LittleEndian.Uint16(b[8:])), b[datagramHeaderSize:], true
}
