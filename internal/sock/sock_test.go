package sock

import (
	"io"
	"net"
	"testing"
)

// TestIdle covers the two uses of Idle: a request sent on a connection that the host has closed would have an unknown outcome, and the
// connection of an idle client must not be closed if a request has arrived that is not read yet.
func TestIdle(t *testing.T) {
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
		t.Error("an open connection without data is not idle")
	}
	if _, err := far.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); err != nil { // the bytes have arrived
		t.Fatal(err)
	}
	if Idle(near) {
		t.Error("idle with a byte to read")
	}
	far.Close()
	if _, err := io.Copy(io.Discard, near); err != nil { // the close has arrived
		t.Fatal(err)
	}
	if Idle(near) {
		t.Error("idle although closed by the other side")
	}
}
