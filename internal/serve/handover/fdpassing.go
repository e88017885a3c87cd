package handover

import (
	"net"
	"os"
	"syscall"
)

// descriptors is a connection of the other process, and the descriptors that came with what was read of it: one at most is wanted,
// and all others are closed.
type descriptors struct {
	net.Conn
	came []int
}

func (d *descriptors) Read(b []byte) (int, error) {
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
			d.came = append(d.came, fds...)
		}
	}
	return n, err
}

// take returns the connection that came, if just one did.
func (d *descriptors) take() net.Conn {
	if len(d.came) != 1 {
		return nil
	}
	f := os.NewFile(uintptr(d.came[0]), "client")
	d.came = nil
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

func (d *descriptors) close() {
	for _, fd := range d.came {
		syscall.Close(fd)
	}
	d.came = nil
}
