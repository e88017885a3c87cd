package handover

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"liftgauge/internal/serve/engine"
)

// process is a process of a dispatcher with a fake Handler.
type process struct {
	*Peer
	t        *testing.T
	ready    bool
	known    map[string]bool // hosts, and whether they are offline
	bodies   []string
	adopt    func(record []byte, client net.Conn) bool
	mu       sync.Mutex
	shares   chan bool
	stop     context.CancelFunc
	done     chan struct{}
	snapshot *Snapshot
}

func (p *process) Snapshot(context.Context) (Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{Ready: p.ready, Discovery: "127.0.0.1:1", List: []byte(`{"revision":7,"members":[]}`), State: State{Offline: []string{"s-1"}, Listed: []string{"s-1", "s-2"}}}, nil
}

func (p *process) Adopt(record []byte, client net.Conn) bool {
	p.mu.Lock()
	adopt := p.adopt
	p.mu.Unlock()
	if adopt == nil {
		client.Close()
		return false
	}
	return adopt(record, client)
}

// receivedCallbacks returns all received call-backs.
func (p *process) receivedCallbacks() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.bodies, "|")
}

func (p *process) isOut(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[host]
}

// setAdopt sets how the process handles a message that is passed to it.
func (p *process) setAdopt(f func(record []byte, client net.Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopt = f
}

func (p *process) Callback(body []byte) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bodies = append(p.bodies, string(body))
	return 204, true
}

func (p *process) SetOffline(_ context.Context, id string, out, sure bool) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id == "s-stuck" {
		return true, errors.New("stuck")
	}
	if _, known := p.known[id]; known || sure {
		p.known[id] = out
		return true, nil
	}
	return false, nil
}

func (p *process) SetSharing(on bool) { p.shares <- on }

// startProcess starts a process with its socket in a directory.
func startProcess(t *testing.T, dir string) *process {
	return startProcessWithTimeout(t, dir, time.Minute)
}

// startProcessWithTimeout starts a process with a timeout for a successor to become ready.
func startProcessWithTimeout(t *testing.T, dir string, ready time.Duration) *process {
	t.Helper()
	p := &process{t: t, known: map[string]bool{"s-1": false}, shares: make(chan bool, 8), done: make(chan struct{}), ready: true}
	var err error
	if p.Peer, err = NewPeer(dir, "n0", 2, discardLog); err != nil {
		t.Fatal(err)
	}
	p.Handler = p
	p.requestTimeout, p.snapshotTimeout, p.readyTimeout = time.Minute, time.Minute, ready // so that a busy machine does not affect the result
	if p.snapshot, err = p.Join(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	p.stop = stop
	go func() { p.Run(ctx); close(p.done) }()
	t.Cleanup(p.end)
	return p
}

func (p *process) end() {
	p.stop()
	<-p.done
}

// TestUpgrade checks that the new process receives the old one's state, that each carries out the other's requests, and that
// each detects the other's end at once.
func TestUpgrade(t *testing.T) {
	for _, dir := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long/", 30))} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		// The socket of a process that was killed.
		f, err := openSocketDir(dir, "n0")
		if err != nil {
			t.Fatal(err)
		}
		stale, err := net.Listen("unix", f.address("liftgauge-n0.00000000.sock"))
		if err != nil {
			t.Fatal(err)
		}
		stale.(*net.UnixListener).SetUnlinkOnClose(false)
		stale.Close()

		old := startProcess(t, dir)
		if old.snapshot != nil || old.Connected() {
			t.Fatalf("received %+v without a predecessor", old.snapshot)
		}
		if all, _ := f.sockets(); len(all) != 1 {
			t.Errorf("sockets %v: the stale one is not removed", all)
		}
		if _, _, err := old.Peer.Callback(nil); !errors.Is(err, engine.ErrNoPeer) {
			t.Errorf("request without another process: %v", err)
		}
		next := startProcess(t, dir)
		if s := next.snapshot; s == nil || s.Discovery != "127.0.0.1:1" || !strings.Contains(string(s.List), `"revision":7`) ||
			strings.Join(s.Offline, ",")+" "+strings.Join(s.Listed, ",") != "s-1 s-1,s-2" {
			t.Fatalf("received %+v", next.snapshot)
		}
		if !<-old.shares || !next.Connected() {
			t.Error("no sharing")
		}
		if old.SuccessorReady() || next.SuccessorReady() {
			t.Error("a successor counts as ready before it has announced that")
		}
		if err := next.Announce(); err != nil || !old.SuccessorReady() || next.SuccessorReady() {
			t.Errorf("announced: %v, succeeded %v", err, old.SuccessorReady())
		}
		for _, way := range []struct{ from, to *process }{{old, next}, {next, old}} {
			body := "{\"id\":\"\\u0000\xff\n\"}"
			if status, known, err := way.from.Peer.Callback([]byte(body)); status != 204 || !known || err != nil || way.to.receivedCallbacks() != body {
				t.Errorf("call-back: %d, %v, %q", status, err, way.to.receivedCallbacks())
			}
			for _, c := range []struct {
				id   string
				sure bool
				want bool
				err  bool
			}{{"s-1", false, true, false}, {"s-9", false, false, false}, {"s-8", true, true, false}, {"s-stuck", false, false, true}} {
				known, err := way.from.Peer.SetOffline(c.id, true, c.sure)
				if known != c.want || (err != nil) != c.err || way.to.isOut(c.id) != c.want {
					t.Errorf("%s: known %v, %v", c.id, known, err)
				}
			}
		}
		next.end()
		if <-old.shares || old.Connected() || old.SuccessorReady() { // the end of a successor does not affect the old process
			t.Error("the end of the successor is not detected")
		}
		third := startProcess(t, dir)
		if third.snapshot == nil || !<-old.shares {
			t.Fatal("a second upgrade finds no process")
		}
		old.end()
		if <-third.shares || third.Connected() {
			t.Error("the end of the old process is not detected")
		}
		if _, _, err := third.Peer.Callback(nil); !errors.Is(err, engine.ErrNoPeer) {
			t.Errorf("request to a process that has ended: %v", err)
		}
		third.end()
		if all, _ := f.sockets(); len(all) != 0 {
			t.Errorf("sockets left: %v", all)
		}
		f.close()
	}
}

// TestServerNotReady checks that a process that does not serve yet gets no successor, and that other dispatchers' sockets in the
// same directory are left alone.
func TestServerNotReady(t *testing.T) {
	dir := t.TempDir()
	other := filepath.Join(dir, "liftgauge-n00.00000000.sock")
	if err := os.WriteFile(other, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	old := startProcess(t, dir)
	old.mu.Lock()
	old.ready = false
	old.mu.Unlock()
	if next := startProcess(t, dir); next.snapshot != nil || next.Connected() {
		t.Errorf("received %+v", next.snapshot)
	}
	if !<-old.shares || <-old.shares {
		t.Error("sharing without another process")
	}
	if _, err := os.Stat(other); err != nil {
		t.Error(err)
	}
}

// TestSuccessorNotReadyInTime checks that the old process stops sharing with a successor that is not ready in time, and that this may
// still become ready.
func TestSuccessorNotReadyInTime(t *testing.T) {
	dir := t.TempDir()
	old := startProcessWithTimeout(t, dir, time.Millisecond)
	next := startProcess(t, dir)
	if !<-old.shares || <-old.shares || old.SuccessorReady() {
		t.Error("still shares with a successor that is not ready")
	}
	if err := next.Announce(); err != nil || !<-old.shares || !old.SuccessorReady() {
		t.Errorf("late but ready: %v", err)
	}
	next.end()
	if <-old.shares || old.SuccessorReady() {
		t.Error("the end of the successor is not detected")
	}
}

// FuzzRequests checks that no input on the socket causes a panic, and that a valid request is answered afterwards.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(`{"op":"hello"}` + "\n"))
	f.Add([]byte(`{"op":"ready","socket":3}` + "\n"))
	f.Add([]byte(`{"op":"offline","id":{}}` + "\n"))
	f.Add([]byte("[]\n{"))
	f.Fuzz(func(t *testing.T, in []byte) {
		dir := t.TempDir()
		old := startProcess(t, dir)
		next := startProcess(t, dir)
		c, err := net.Dial("unix", old.dir.address(old.socket))
		if err != nil {
			t.Fatal(err)
		}
		c.Write(in)
		c.(*net.UnixConn).CloseWrite()
		defer c.Close()
		if status, _, err := next.Peer.Callback([]byte("x")); status != 204 && old.Connected() {
			t.Errorf("%d, %v", status, err)
		}
	})
}

// TestAcceptOnBlockingSocket checks that a socket that was made blocking, as when it is passed to another process, is non-blocking
// during an accept: else nothing could end an accept without a connection.
func TestAcceptOnBlockingSocket(t *testing.T) {
	platform, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	f, err := platform.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	l, err := Listen(t.Context(), "", strconv.Itoa(fd))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", platform.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if err := syscall.SetNonblock(int(f.Fd()), false); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	raw, _ := f.SyscallConn()
	raw.Control(func(fd uintptr) {
		flags, _, errno := syscall.Syscall(syscall.SYS_FCNTL, fd, syscall.F_GETFL, 0)
		if errno != 0 || flags&syscall.O_NONBLOCK == 0 {
			t.Errorf("after an accept: flags %#o, %v", flags, errno)
		}
	})
}

// TestListen checks that an inherited socket is used, and that closing it here leaves it open in other processes.
func TestListen(t *testing.T) {
	platform, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	for range 2 {
		f, err := platform.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		fd, err := syscall.Dup(int(f.Fd())) // Listen closes what it is given
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		l, err := Listen(t.Context(), "127.0.0.1:1", strconv.Itoa(fd))
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", platform.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		taken, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		taken.Close()
		c.Close()
		l.Close()
	}
	for _, bad := range []string{"x", "-1", "1", "999"} {
		if _, err := Listen(t.Context(), "127.0.0.1:0", bad); err == nil || !strings.HasPrefix(err.Error(), "LB_INHERITED_FD") {
			t.Errorf("%s: %v", bad, err)
		}
	}
	if _, err := Listen(t.Context(), platform.Addr().String(), ""); err == nil || !strings.HasPrefix(err.Error(), "listen") {
		t.Errorf("address in use: %v", err)
	}
}
