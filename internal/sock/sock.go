// Package sock looks at open connections.
package sock

import (
	"net"
	"syscall"
)

// Idle reports, without waiting and beside any reader, whether a connection is open and nothing has come on it that
// is still to be read. A connection that cannot be looked at counts as quiet.
func Idle(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control, not Read: that would wait for a reader to finish.
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && quiet
}
