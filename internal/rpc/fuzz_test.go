package rpc

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// FuzzConnection sends arbitrary bytes after a valid preamble: the server must close the connection and keep running.
func FuzzConnection(f *testing.F) {
	server := listen(f, echo, Options{MaxFrame: 1 << 16})
	var call [headerSize]byte
	(&header{frameType: frameCall, kind: 1, id: 1, length: 2}).put(call[:])
	f.Add(append(call[:], "ab"...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, frameNotify, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		socket, err := net.Dial("tcp", server.Addr())
		is.NoErr(err)
		defer func() { _ = socket.Close() }()
		_, err = socket.Write(append(preamble(), b...))
		is.NoErr(err)
		is.NoErr(socket.(*net.TCPConn).CloseWrite())
		_, _ = io.Copy(io.Discard, socket) // returns once the server has closed its side
	})
}
