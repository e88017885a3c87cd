// Package sock inspects open connections.
package sock

import (
	"net"
	"syscall"
)

// Idle reports, without blocking and while another goroutine may read, whether a connection is open and has no unread data.
// A connection that has no file descriptor counts as idle.
func Idle(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	// Control rather than Read, which would wait for a concurrent reader to finish.
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && idle
}
