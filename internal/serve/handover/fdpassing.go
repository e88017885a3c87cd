package handover

import (
	"net"
	"os"
	"syscall"
)

// descriptors is a connection of the other process, and the descriptors that came with what was read of it: one at most is wanted,
// and all others are closed.
type fdConn struct {
	net.Conn
	fds []int
}

func (d *fdConn) Read(b []byte) (int, error) {
	c, ok := d.Conn.(*net.UnixConn)
	if !ok {
		return d.Conn.Read(b)
	}
	var control [64]byte // of two descriptors
	n, oob, _, _, err := c.ReadMsgUnix(b, control[:])
	if oob > 0 {
		messages, _ := syscall.ParseSocketControlMessage(control[:oob])
		for _, m := range messages {
			fds, _ := syscall.ParseUnixRights(&m)
			d.fds = append(d.fds, fds...)
		}
	}
	return n, err
}

// take returns the connection that came, if just one did.
func (d *fdConn) take() net.Conn {
	if len(d.fds) != 1 {
		return nil
	}
	f := os.NewFile(uintptr(d.fds[0]), "client")
	d.fds = nil
	defer f.Close() // FileConn has one of its own
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	if _, ok := c.(*net.TCPConn); !ok {
		c.Close()
		return nil
	}
	return c
}

func (d *fdConn) close() {
	for _, fd := range d.fds {
		syscall.Close(fd)
	}
	d.fds = nil
}
