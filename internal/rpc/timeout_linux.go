package rpc

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// controlUserTimeout sets the time after which unacknowledged bytes cause the system to close a connection, also while it is being
// opened.
func controlUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return applyUserTimeout(raw, timeout) }
}

func setUserTimeout(socket net.Conn, timeout time.Duration) {
	system, ok := socket.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := system.SyscallConn(); err == nil {
		_ = applyUserTimeout(raw, timeout)
	}
}

// applyUserTimeout ignores an error of the option itself: without it pings still detect dead peers, though later.
func applyUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}
