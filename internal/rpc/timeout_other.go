//go:build !linux

package rpc

import (
	"net"
	"syscall"
	"time"
)

func controlUserTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}

func setUserTimeout(net.Conn, time.Duration) {}
