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

// TestClusterScenariosHold runs two short scenarios with real processes: most members are killed at once, and one is killed and restarted.
// The long settle time keeps the result independent of the machine's speed.
func TestClusterScenariosHold(t *testing.T) {
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

// TestCancelledClusterLeavesNoProcess checks that a cancelled run leaves no process and no folder behind.
func TestCancelledClusterLeavesNoProcess(t *testing.T) {
	s, err := LoadScenario("loss")
	if err != nil {
		t.Fatal(err)
	}
	s.Processes = 2
	ctx, stop := context.WithCancel(t.Context())
	k := &cluster{ClusterConfig: ClusterConfig{Daemon: build(t), Scenario: s, Output: writer(func(string) { stop() })}, n: 2, memberSets: map[string][]int{}, views: map[[2]uint64]string{}}
	k.chooseMembers()
	err = k.startAll(ctx) // the context is cancelled as soon as the run prints that the fleet has formed
	if err == nil {
		err = k.run(ctx)
	}
	k.close()
	if err == nil {
		t.Error("the cancelled run returned no error")
	}
	for _, m := range k.members {
		if p := m.process; p != nil {
			select {
			case <-p.Exited():
			default:
				t.Errorf("process %d still runs", m.index)
			}
		}
	}
	if _, err := os.Stat(k.dir); err == nil {
		t.Error("the temporary folder still exists")
	}
}

type writer func(string)

func (w writer) Write(b []byte) (int, error) {
	w(string(b))
	return len(b), nil
}

// TestUDPLinkFaultsAreDirected checks that a fault applies to datagrams in one direction only, and that a dead member's address is closed.
func TestUDPLinkFaultsAreDirected(t *testing.T) {
	var listenAddresses []string
	for range 2 {
		at, err := freeUDPAddress()
		if err != nil {
			t.Fatal(err)
		}
		listenAddresses = append(listenAddresses, at)
	}
	l, err := NewUDPLinks(listenAddresses, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, b := listenUDP(t, listenAddresses[0]), listenUDP(t, listenAddresses[1])
	defer a.Close()
	defer b.Close()
	l.SetFault(0, 1, Fault{Loss: 1})
	send(t, a, l.AdvertisedAddress(1), "lost")
	waitFor(t, "a loss", func() bool { return l.Lost.Load() == 1 }) // the datagram is counted asynchronously
	send(t, b, l.AdvertisedAddress(0), "one way")
	if got, from := receive(t, a); got != "one way" || from != l.AdvertisedAddress(1) {
		t.Errorf("%q from %s", got, from)
	}
	l.SetFault(0, 1, Fault{Duplicate: 1, Delay: time.Millisecond})
	send(t, a, l.AdvertisedAddress(1), "twice")
	for range 2 {
		if got, from := receive(t, b); got != "twice" || from != l.AdvertisedAddress(0) {
			t.Errorf("%q from %s", got, from)
		}
	}
	if err := l.SetAlive(1, false); err != nil {
		t.Fatal(err)
	}
	if l.Lost.Load() != 1 || l.Carried.Load() != 2 {
		t.Errorf("%d lost, %d carried", l.Lost.Load(), l.Carried.Load())
	}
	if err := l.SetAlive(1, true); err != nil {
		t.Fatal(err)
	}
	l.SetFault(0, 1, Fault{})
	send(t, a, l.AdvertisedAddress(1), "back")
	if got, _ := receive(t, b); got != "back" {
		t.Errorf("%q", got)
	}
}

func TestScenariosLoad(t *testing.T) {
	for _, name := range Scenarios() {
		if s, err := LoadScenario(name); err != nil || len(s.Steps) == 0 || s.Means == "" {
			t.Errorf("%s: %v, %+v", name, err, s)
		}
	}
	bad := filepath.Join(t.TempDir(), "bad.cue")
	os.WriteFile(bad, []byte("means: \"x\"\nsteps: [{at: \"soon\", do: \"kill\"}]\n"), 0o600)
	if _, err := LoadScenario(bad); err == nil || !strings.Contains(err.Error(), "bad.cue:2") {
		t.Errorf("invalid scenario: %v", err)
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

// TestTCPLinkModes checks the effect of each mode on open and new connections, and that the link works again after it.
func TestTCPLinkModes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { // echo server
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
	for _, mode := range []Mode{Unresponsive, NoResponses} { // held data are forwarded when the link opens
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
		t.Error("an open connection survived a reset")
	}
	if c, err := net.Dial("tcp", link.Address); err == nil { // it may be reset before the call returns
		c.SetDeadline(time.Now().Add(time.Minute))
		if err := echo(c, "reset"); err == nil {
			t.Error("a new connection survived a reset")
		}
		c.Close()
	}
	link.Set(Refused, 0)
	if c, err := net.Dial("tcp", link.Address); err == nil {
		c.Close()
		t.Error("the connection was not refused")
	}
	if err := link.Set(Open, 0); err != nil {
		t.Fatal(err)
	}
	if err := echo(dial(), "back"); err != nil {
		t.Error(err)
	}
}

// TestDaemonServesDuringInvalidDatagrams checks that a daemon in a small fleet keeps serving while it receives datagrams that do not belong to
// the protocol.
func TestDaemonServesDuringInvalidDatagrams(t *testing.T) {
	r, err := RunMemberCost(t.Context(), MemberCostConfig{Daemon: build(t), Members: 3, Length: 200 * time.Millisecond, Flood: 2000, Seed: 1, Output: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	last := r.Parts[len(r.Parts)-1]
	if len(r.Parts) != 5 || r.Parts[0].InView != 0 || last.InView != 3 || last.Spoilt == 0 || last.Jobs == 0 || last.Unserved != 0 {
		t.Errorf("%+v", r)
	}
	if _, err := RunMemberCost(t.Context(), MemberCostConfig{Members: 1}); err == nil {
		t.Error("a fleet of one member was accepted")
	}
}
