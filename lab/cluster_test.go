package lab

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestCluster plays two scenarios with real processes, briefly: most are killed at once, and one is killed and comes back. What must hold is
// waited for, however long it takes.
func TestCluster(t *testing.T) {
	daemon := build(t)
	for name, text := range map[string]string{
		"mass-kill":     `means: "as a test", processes: 4, settle: "3m", steps: [{at: "0s", do: "kill", who: "most"}], mayLose: "most"`,
		"crash-restart": `means: "as a test", processes: 3, settle: "3m", steps: [{at: "0s", do: "kill", who: "one"}, {at: "2s", do: "start", who: "one"}], mayLose: "one"`,
	} {
		file := filepath.Join(t.TempDir(), name+".cue")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := LoadScenario(file)
		if err != nil {
			t.Fatal(err)
		}
		r, err := RunCluster(t.Context(), ClusterConfig{Daemon: daemon, Scenario: s, Seed: 2})
		if err != nil {
			t.Fatal(err)
		}
		if !r.Held || r.Removed != 0 || r.Served == 0 || r.Twice != 0 || r.Broken != 0 {
			t.Errorf("%+v", r)
		}
	}
}

// TestClusterStops: Ctrl-C at any point leaves no process.
func TestClusterStops(t *testing.T) {
	s, err := LoadScenario("loss")
	if err != nil {
		t.Fatal(err)
	}
	s.Processes = 2
	ctx, stop := context.WithCancel(t.Context())
	k := &cluster{ClusterConfig: ClusterConfig{Daemon: build(t), Scenario: s, Output: writer(func(string) { stop() })}, n: 2, sets: map[string][]int{}, views: map[[2]uint64]string{}}
	k.draw()
	err = k.open(ctx) // is stopped as it says that all are together
	if err == nil {
		err = k.play(ctx)
	}
	k.close()
	if err == nil {
		t.Error("it went on")
	}
	for _, m := range k.members {
		if p := m.process; p != nil {
			select {
			case <-p.Ended():
			default:
				t.Errorf("process %d is left", m.i)
			}
		}
	}
	if _, err := os.Stat(k.dir); err == nil {
		t.Error("its folder is left")
	}
}

type writer func(string)

func (w writer) Write(b []byte) (int, error) {
	w(string(b))
	return len(b), nil
}

// TestLinks: what a link's fault says is done to datagrams in that direction only, and a dead member's address refuses.
func TestLinks(t *testing.T) {
	var real []string
	for range 2 {
		at, err := freeUDP()
		if err != nil {
			t.Fatal(err)
		}
		real = append(real, at)
	}
	l, err := NewLinks(real, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, b := listenUDP(t, real[0]), listenUDP(t, real[1])
	defer a.Close()
	defer b.Close()
	l.Set(0, 1, Fault{Loss: 1})
	send(t, a, l.Known(1), "lost")
	await(t, "a loss", func() bool { return l.Lost.Load() == 1 }) // the link takes it when it comes to it
	send(t, b, l.Known(0), "one way")
	if got, from := receive(t, a); got != "one way" || from != l.Known(1) {
		t.Errorf("%q from %s", got, from)
	}
	l.Set(0, 1, Fault{Duplicate: 1, Delay: time.Millisecond})
	send(t, a, l.Known(1), "twice")
	for range 2 {
		if got, from := receive(t, b); got != "twice" || from != l.Known(0) {
			t.Errorf("%q from %s", got, from)
		}
	}
	if err := l.Alive(1, false); err != nil {
		t.Fatal(err)
	}
	if l.Lost.Load() != 1 || l.Carried.Load() != 2 {
		t.Errorf("%d lost, %d carried", l.Lost.Load(), l.Carried.Load())
	}
	if err := l.Alive(1, true); err != nil {
		t.Fatal(err)
	}
	l.Set(0, 1, Fault{})
	send(t, a, l.Known(1), "back")
	if got, _ := receive(t, b); got != "back" {
		t.Errorf("%q", got)
	}
}

func TestScenarios(t *testing.T) {
	for _, name := range Scenarios() {
		if s, err := LoadScenario(name); err != nil || len(s.Steps) == 0 || s.Means == "" {
			t.Errorf("%s: %v, %+v", name, err, s)
		}
	}
	bad := filepath.Join(t.TempDir(), "bad.cue")
	os.WriteFile(bad, []byte("means: \"x\"\nsteps: [{at: \"soon\", do: \"kill\"}]\n"), 0o600)
	if _, err := LoadScenario(bad); err == nil || !strings.Contains(err.Error(), "bad.cue:2") {
		t.Errorf("a bad one: %v", err)
	}
}
func listenUDP(t *testing.T, at string) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(at)))
	if err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(time.Minute))
	return c
}

func send(t *testing.T, c *net.UDPConn, to, text string) {
	t.Helper()
	if _, err := c.WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(to)); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, c *net.UDPConn) (text, from string) {
	t.Helper()
	var b [64]byte
	n, at, err := c.ReadFromUDPAddrPort(b[:])
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n]), at.String()
}

// TestTCPLink: each mode does what it says to connections that are open and to new ones, and is undone.
func TestTCPLink(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { // an echo
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 64)
				for {
					n, err := c.Read(b)
					if err != nil {
						c.Close()
						return
					}
					c.Write(b[:n])
				}
			}()
		}
	}()
	link, err := NewTCPLink(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", link.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(time.Minute))
		return c
	}
	echo := func(c net.Conn, text string) error {
		if _, err := c.Write([]byte(text)); err != nil {
			return err
		}
		b := make([]byte, len(text))
		_, err := io.ReadFull(c, b)
		return err
	}
	old := dial()
	if err := echo(old, "open"); err != nil {
		t.Fatal(err)
	}
	for _, mode := range []Mode{Silent, NoBack} { // what is kept back comes when the link opens
		link.Set(mode, 0)
		old.Write([]byte("kept"))
		link.Set(Open, 0)
		b := make([]byte, 4)
		if _, err := io.ReadFull(old, b); err != nil || string(b) != "kept" {
			t.Errorf("%s: %q, %v", mode, b, err)
		}
	}
	link.Set(Slow, time.Millisecond)
	if err := echo(old, "slow"); err != nil {
		t.Error(err)
	}
	link.Set(Reset, 0)
	if err := echo(old, "reset"); err == nil {
		t.Error("an open connection outlives a reset")
	}
	if c, err := net.Dial("tcp", link.Address); err == nil { // it may be reset before the call returns
		c.SetDeadline(time.Now().Add(time.Minute))
		if err := echo(c, "reset"); err == nil {
			t.Error("a new connection outlives a reset")
		}
		c.Close()
	}
	link.Set(Refused, 0)
	if c, err := net.Dial("tcp", link.Address); err == nil {
		c.Close()
		t.Error("not refused")
	}
	if err := link.Set(Open, 0); err != nil {
		t.Fatal(err)
	}
	if err := echo(dial(), "back"); err != nil {
		t.Error(err)
	}
}

// TestMemberCost: a daemon in a small fleet serves on while datagrams come that are none of the protocol's.
func TestMemberCost(t *testing.T) {
	r, err := RunMemberCost(t.Context(), MemberCostConfig{Daemon: build(t), Members: 3, Length: 200 * time.Millisecond, Flood: 2000, Seed: 1, Output: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	last := r.Parts[len(r.Parts)-1]
	if len(r.Parts) != 5 || r.Parts[0].InView != 0 || last.InView != 3 || last.Spoilt == 0 || last.Jobs == 0 || last.Unserved != 0 {
		t.Errorf("%+v", r)
	}
	if _, err := RunMemberCost(t.Context(), MemberCostConfig{Members: 1}); err == nil {
		t.Error("a fleet of one was taken")
	}
}
