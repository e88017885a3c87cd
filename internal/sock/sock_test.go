package sock

import (
	"io"
	"net"
	"testing"
)

// TestQuiet guards two closes. A send on a connection that the host has closed would count as perhaps run; and an idle
// client's connection must not be closed on a request that has come and is not read yet.
func TestQuiet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if !Idle(near) {
		t.Error("an open connection is not quiet")
	}
	if _, err := far.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); err != nil { // the bytes have come
		t.Fatal(err)
	}
	if Idle(near) {
		t.Error("quiet with a byte to read")
	}
	far.Close()
	if _, err := io.Copy(io.Discard, near); err != nil { // the close has come
		t.Fatal(err)
	}
	if Idle(near) {
		t.Error("quiet though closed by the other side")
	}
}
