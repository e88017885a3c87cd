package handover

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"liftgauge/internal/serve/engine"
)

// connPair returns both ends of a client's connection.
func connPair(t *testing.T) (client, served net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if served, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); served.Close() })
	return client, served
}

// TestPassConnection checks that a connection is passed with a record of any bytes and size, and stays open when this process closes
// its descriptor; if the successor refuses it or has ended, the connection is unchanged.
func TestPassConnection(t *testing.T) {
	dir := t.TempDir()
	old := startProcess(t, dir)
	record := []byte("\x00\xff\"\n}" + strings.Repeat("level 3 at Caroni ", 1<<12))
	give := func() ([]byte, bool) { return record, true }
	client, served := connPair(t)
	if taken, err := old.PassConnection(served, give); taken || !errors.Is(err, engine.ErrNoPeer) {
		t.Errorf("passed without a successor: %v, %v", taken, err)
	}
	next := startProcess(t, dir)
	if taken, err := old.PassConnection(served, give); taken || err != nil {
		t.Errorf("refused: %v, %v", taken, err)
	}
	if taken, err := old.PassConnection(served, func() ([]byte, bool) { return nil, false }); taken || !errors.Is(err, errNotReleasable) {
		t.Errorf("no record: %v, %v", taken, err)
	}
	if taken, err := old.PassConnection(struct{ net.Conn }{served}, give); taken || err == nil {
		t.Errorf("no descriptor: %v, %v", taken, err)
	}
	got := make(chan net.Conn, 1)
	next.setAdopt(func(r []byte, c net.Conn) bool {
		if string(r) != string(record) {
			t.Errorf("received %d bytes of record, want %d", len(r), len(record))
		}
		got <- c
		return true
	})
	if taken, err := old.PassConnection(served, give); !taken || err != nil {
		t.Fatalf("not passed: %v, %v", taken, err)
	}
	served.Close()
	there := <-got
	defer there.Close()
	io.WriteString(there, "HTTP/1.1 200 OK")
	there.Close()
	if text, err := io.ReadAll(client); string(text) != "HTTP/1.1 200 OK" || err != nil {
		t.Errorf("the client read %q, %v", text, err)
	}
	// A successor that ends before it replies has not taken the message.
	next.setAdopt(func(_ []byte, c net.Conn) bool {
		c.Close()
		next.Peer.mu.Lock()
		for c := range next.conns {
			c.Close()
		}
		next.Peer.mu.Unlock()
		return true
	})
	_, served = connPair(t)
	if taken, err := old.PassConnection(served, give); taken || err == nil {
		t.Errorf("passed to a successor that ended: %v, %v", taken, err)
	}
	next.end()
	old.end()
}

// TestUnexpectedDescriptors checks that descriptors that are received with anything but a message, or two with one message, are
// closed and have no other effect.
func TestUnexpectedDescriptors(t *testing.T) {
	old := startProcess(t, t.TempDir())
	defer old.end()
	old.setAdopt(func([]byte, net.Conn) bool {
		t.Error("adopted")
		return true
	})
	for _, c := range []struct {
		line string
		fds  int
	}{{`{"op":"ready"}`, 1}, {`{"op":"message","record":"x"}`, 0}, {`{"op":"message","record":"x"}`, 2}, {`nothing`, 1}, {`{"op":"message"`, 1}} {
		client, served := connPair(t)
		fd := dup(t, served)
		served.Close()
		raw, err := net.Dial("unix", old.dir.address(old.socket))
		if err != nil {
			t.Fatal(err)
		}
		fds := make([]int, c.fds)
		for i := range fds {
			fds[i] = fd
		}
		sendRights(t, raw.(*net.UnixConn), c.line+"\n", fds)
		closeDescriptor(fd)
		io.Copy(io.Discard, raw)
		raw.Close()
		if c.fds > 0 {
			if n, err := client.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
				t.Errorf("%s: the connection is still open: %v", c.line, err)
			}
		}
	}
}
func dup(t *testing.T, c net.Conn) (fd int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(of uintptr) { fd, err = syscall.Dup(int(of)) })
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

func sendRights(t *testing.T, c *net.UnixConn, line string, fds []int) {
	t.Helper()
	var oob []byte
	if len(fds) > 0 {
		oob = syscall.UnixRights(fds...)
	}
	if _, _, err := c.WriteMsgUnix([]byte(line), oob, nil); err != nil {
		t.Fatal(err)
	}
}

func closeDescriptor(fd int) { syscall.Close(fd) }
