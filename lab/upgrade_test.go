package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"liftgauge/internal/standin"
)

// TestUpgrade: 200 jobs are open in a process, most of them still waiting for room, as a new one takes its place. The old one ends
// while all of them are open; not one is lost, none runs twice, and every client has its answer on the connection that it had.
func TestUpgrade(t *testing.T) {
	const jobs, hosts = 200, 16
	release := make(chan struct{})
	// Their queues turn nobody away: how many attempts a job has had would hang on how fast the machine is.
	w, err := StartWorld(WorldConfig{Hosts: hosts, Slots: 3, Queue: jobs, Each: func(_ int, h *standin.HostConfig) { h.BlockUntil = release }})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	l, err := net.Listen("tcp", w.Listen)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	l.Close() // the socket stays open
	c := DaemonConfig{Binary: build(t), MemoryMB: 64, Sockets: 1024, Patience: 2 * time.Minute, Control: true, Listener: socket, Dir: t.TempDir(), Stderr: io.Discard}
	old, err := w.Daemon(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Kill()
	clients := &http.Client{Transport: &http.Transport{MaxConnsPerHost: jobs}}
	defer clients.CloseIdleConnections()
	var all sync.WaitGroup
	status := make([]int, jobs)
	for i := range jobs {
		all.Go(func() {
			status[i] = post(clients, w.Listen, []string{"gauge-reading", "send-warning"}[i%2], fmt.Sprintf("%016x", i), []byte("level 3"), 100*time.Second)
		})
	}
	held := func() (n int) {
		for _, h := range w.Hosts {
			n += h.Held()
		}
		return n
	}
	// Two each: where starts come late, as on a busy machine, it takes a host to run no more.
	await(t, "jobs at the hosts", func() bool { return held() >= 2*hosts })
	next, err := w.Daemon(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Kill()
	if err := old.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-old.Ended()
	if old.err != nil || held() < 2*hosts || held() >= jobs {
		t.Errorf("the old process ended with %v; %d jobs at the hosts", old.err, held())
	}
	close(release)
	all.Wait()
	served := 0
	for i, s := range status {
		if runs := len(w.Ledger.Runs(fmt.Sprintf("%016x", i))); s == http.StatusOK && runs == 1 {
			served++
		} else {
			t.Errorf("job %d: status %d, %d runs", i, s, runs)
		}
	}
	if served != jobs {
		t.Errorf("%d of %d served", served, jobs)
	}
}

// await waits for a condition, generously: how fast the machine is decides nothing.
func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for start := time.Now(); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > time.Minute {
			t.Fatalf("%s: not within a minute", what)
		}
	}
}
