package main

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"liftgauge/internal/config"
	"liftgauge/internal/serve/clientlistener"
)

func run(args ...string) (string, error) {
	cmd := root()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

func TestCommands(t *testing.T) {
	if out, err := run("version"); err != nil || !strings.HasPrefix(out, "liftgauge ") {
		t.Errorf("version: %q, %v", out, err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	config := `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","known":{"members":[` +
		`{"id":"s-1","host_port":"127.0.0.1:3","phase":"SERVING"}]},"settings":{"classes":[{"name":"a","hardLimitNs":1}]}}`
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := run("check", path); err != nil || !strings.Contains(out, "1 hosts known") {
		t.Errorf("check: %q, %v", out, err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(config, "SERVING", "HAPPY", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", path)
	for _, command := range []string{"check", "serve"} {
		if _, err := run(command); err == nil || !strings.HasPrefix(err.Error(), "known: members[0].phase") {
			t.Errorf("%s: error %v", command, err)
		}
	}
}

// TestSignals runs the program against two discovery addresses that record calls and never reply. It checks that SIGHUP
// moves the watch, that an invalid file changes nothing, and that SIGHUP never ends the process, not even after SIGTERM.
func TestSignals(t *testing.T) {
	calls := make(chan int)
	var at [2]string
	for i := range at {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		at[i] = l.Addr().String()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				calls <- i
			}
		}()
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		config := `{"listen":"127.0.0.1:0","discovery":"` + discovery + `","settings":{"membershipMode":"on_request",` +
			`"classes":[{"name":"a","hardLimitNs":1}]}}`
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("LB_CONFIG", path)
	t.Setenv("LB_DISCOVERY", at[0])
	write("127.0.0.1:1")
	ended := make(chan error, 1)
	go func() { _, err := run("serve"); ended <- err }()
	call := func(want int) {
		for got := range calls {
			if got == want { // a call to the previous address may still be on its way
				return
			}
		}
	}
	call(0)
	for _, i := range []int{1, 0, 1} {
		write("nowhere")
		signal(syscall.SIGHUP)
		write(at[i])
		signal(syscall.SIGHUP)
		call(i)
	}
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP)
	for {
		select {
		case <-calls:
		case err := <-ended:
			if err != nil {
				t.Error(err)
			}
			signal(syscall.SIGHUP) // the process is still there for a moment
			return
		}
	}
}

// TestReload checks that a reload of an invalid file keeps the current discovery address.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	const first = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"classes":[{"name":"a","hardLimitNs":1}]}}`
	getenv := func(key string) string { return map[string]string{"LB_CONFIG": path}[key] }
	var moves, logged strings.Builder
	step := func(old, new string) {
		if err := os.WriteFile(path, []byte(strings.Replace(first, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		hup := make(chan os.Signal)
		c, err := config.Parse([]byte(first), getenv)
		if err != nil {
			t.Fatal(err)
		}
		go func() { hup <- syscall.SIGHUP; stop() }()
		reload(ctx, hup, c, getenv, func(a string) { moves.WriteString(a + " ") }, slog.New(slog.NewTextHandler(&logged, nil)), func() error { return nil })
	}
	step(":2", ":3")
	step(":2", ":two")
	step(`"settings"`, `"known":{"members":[{"id":"x"}]},"settings"`)
	step(":1\"", ":9\"")
	if moves.String() != "127.0.0.1:3 127.0.0.1:2 " {
		t.Errorf("moves to %s", &moves)
	}
	for _, want := range []string{"discovery: want host:port", "known: members[0].phase", "fields=[listen]"} {
		if !strings.Contains(logged.String(), want) {
			t.Errorf("not logged: %s\n%s", want, &logged)
		}
	}
}

// fakeListeners has one message open until a given time and records the phases of the shutdown.
type fakeListeners struct {
	until  time.Time
	events []string
	start  time.Time
}

func (c *fakeListeners) SetPhase(p clientlistener.Phase) {
	if text := p.String() + " at " + time.Since(c.start).String(); len(c.events) == 0 || !strings.HasPrefix(c.events[len(c.events)-1], p.String()) {
		c.events = append(c.events, text)
	}
}

func (c *fakeListeners) ReleaseListener() {
	c.events = append(c.events, "handed over at "+time.Since(c.start).String())
}

func (c *fakeListeners) HandOverConnections() {}

func (c *fakeListeners) CloseIdle() int { return int(c.Open()) }

func (c *fakeListeners) Open() int64 {
	if time.Now().Before(c.until) {
		return 1
	}
	return 0
}

// TestShutdownWithSuccessor checks a planned shutdown with a successor: the listener is released at once, idle connections
// are closed after the overlap, and the process ends when the last one is closed.
func TestShutdownWithSuccessor(t *testing.T) {
	for open, want := range map[time.Duration]time.Duration{0: overlap, 3 * time.Second: 3 * time.Second, 20 * time.Second: answerDeadline} {
		synctest.Test(t, func(t *testing.T) {
			c := &fakeListeners{start: time.Now(), until: time.Now().Add(open)}
			ctx, signal := context.WithCancel(t.Context())
			signal()
			shutDown(ctx, t.Context(), c, func() bool { return true }, func() { c.until = time.Now() }, slog.New(slog.NewTextHandler(io.Discard, nil)))
			if got := strings.Join(c.events, ", "); got != "leaving at 0s, handed over at 0s, closing at 0s" {
				t.Error(got)
			}
			if took := time.Since(c.start); took != want {
				t.Errorf("ended after %v with messages open for %v", took, open)
			}
		})
	}
}

// TestShutdownWithoutSuccessor checks a planned shutdown: messages are accepted during the overlap, rejected after
// rejectAfter, and the process ends when all are answered, at once or after seconds.
func TestShutdownWithoutSuccessor(t *testing.T) {
	for _, open := range []time.Duration{0, 3 * time.Second, 20 * time.Second} { // the last are answered before the process may be killed
		synctest.Test(t, func(t *testing.T) {
			c := &fakeListeners{start: time.Now(), until: time.Now().Add(open)}
			ctx, signal := context.WithCancel(t.Context())
			signal()
			shutDown(ctx, t.Context(), c, func() bool { return false }, func() { c.until = time.Now() }, slog.New(slog.NewTextHandler(io.Discard, nil)))
			if got := strings.Join(c.events, ", "); got != "leaving at 0s, closing at 1.7s, ending at 2s" {
				t.Error(got)
			}
			if took := time.Since(c.start); took != min(max(open, minShutdownTime), answerDeadline) {
				t.Errorf("ended after %v with messages open for %v", took, open)
			}
		})
	}
}
