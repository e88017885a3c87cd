package sock

import (
	"io"
	"net"
	"testing"
)

// TestIdle guards two uses of Idle. If a closed connection counted as idle, a message sent on it would have an unknown outcome; and a client's
// connection must not be closed as idle while a received request is unread.
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
		t.Error("an open connection is not idle")
	}
	if _, err := far.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); err != nil { // both bytes have arrived
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
		t.Error("idle though closed by the peer")
	}
}
