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

// TestUpgradeLosesNoOpenJob replaces a process that has 200 open jobs, most of them still queued. The old process exits while all of them are
// open; no job is lost, none runs twice, and every client receives its response on its existing connection.
func TestUpgradeLosesNoOpenJob(t *testing.T) {
	const jobs, hosts = 200, 16
	release := make(chan struct{})
	// The hosts' queues refuse no job: otherwise the number of attempts would depend on the speed of the machine.
	w, err := StartTestbed(TestbedConfig{Hosts: hosts, Slots: 3, Queue: jobs, Each: func(_ int, h *standin.HostConfig) { h.BlockUntil = release }})
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
	c := DaemonConfig{Binary: build(t), MemoryMB: 64, Sockets: 1024, Timeout: 2 * time.Minute, Control: true, Listener: socket, Dir: t.TempDir(), Stderr: io.Discard}
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
			status[i] = postJob(clients, w.Listen, []string{"gauge-reading", "send-warning"}[i%2], fmt.Sprintf("%016x", i), []byte("level 3"), 100*time.Second)
		})
	}
	held := func() (n int) {
		for _, h := range w.Hosts {
			n += h.Held()
		}
		return n
	}
	// Two per host: where reports of starts arrive late, as on a busy machine, the daemon assumes that a host cannot run more.
	waitFor(t, "jobs at the hosts", func() bool { return held() >= 2*hosts })
	next, err := w.Daemon(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Kill()
	if err := old.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-old.Exited()
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

// waitFor waits up to a minute for a condition, so that the speed of the machine does not decide the result.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for start := time.Now(); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > time.Minute {
			t.Fatalf("timeout after a minute: %s", what)
		}
	}
}
