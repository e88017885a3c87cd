package handover

import (
	"net"
	"os"
	"syscall"
)

// fdConn is a connection from the other process, with the file descriptors received on it: at most one is expected, and any
// others are closed.
type fdConn struct {
	net.Conn
	fds []int
}

func (d *fdConn) Read(b []byte) (int, error) {
	c, ok := d.Conn.(*net.UnixConn)
	if !ok {
		return d.Conn.Read(b)
	}
	var control [64]byte // for two descriptors
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

// take returns the received connection, if exactly one was received.
func (d *fdConn) take() net.Conn {
	if len(d.fds) != 1 {
		return nil
	}
	f := os.NewFile(uintptr(d.fds[0]), "client")
	d.fds = nil
	defer f.Close() // FileConn duplicates it
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
