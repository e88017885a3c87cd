package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// TestNewProcessWaitsForTheList starts the program with an outdated host list: its only host is draining, and another has been added.
// A new process is expected to know what discovery has, so until it has received that list it is not ready and jobs wait.
func TestNewProcessWaitsForTheList(t *testing.T) {
	type sent struct{ host, id string }
	sends := make(chan sent, 16)
	host := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == "POST" {
				sends <- sent{name, r.Header.Get("Req-Id")}
			}
			w.WriteHeader(http.StatusInternalServerError)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	old, fresh := host("old"), host("fresh")
	discoveryCalled, answer := make(chan struct{}, 16), make(chan struct{})
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		discoveryCalled <- struct{}{}
		select {
		case <-answer:
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, `{"revision":9,"complete":false,"members":[{"id":"s-00000001","host_port":%q,"phase":"DRAINING","size":1},`+
			`{"id":"s-00000002","host_port":%q,"phase":"SERVING","size":1}]}`+"\n", old, fresh)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(discovery.Close)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(file.Fd())) // owned by the program, which closes it
	if err != nil {
		t.Fatal(err)
	}
	file.Close()
	l.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"known":{"revision":3,"complete":true,"members":[{"id":"s-00000001",`+
		`"host_port":%q,"phase":"SERVING","size":1}]},"settings":{"membershipMode":"on_request","replicasOfMe":1,"stepNs":2000000,`+
		`"limits":{"connectTimeoutNs":250000000,"maxAttempts":2,"keepaliveNs":60000000000},`+
		`"classes":[{"name":"a","aimNs":200000000,"hardLimitNs":60000000000,"effect":"single_shot","credit":1,"lateValue":0.5}]}}`,
		address, discovery.Listener.Addr().String(), old)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", path)
	t.Setenv("LB_INHERITED_FD", strconv.Itoa(fd))
	t.Setenv("TMPDIR", t.TempDir())
	ended := make(chan error, 1)
	go func() { _, err := run("serve"); ended <- err }()

	ready := func() int {
		r, err := http.Get("http://" + address + "/-/ready")
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		return r.StatusCode
	}
	<-discoveryCalled
	if got := ready(); got != 503 {
		t.Errorf("ready before it received the list of discovery: %d", got)
	}
	done := make(chan string, 1)
	go func() {
		q, _ := http.NewRequest("POST", "http://"+address+"/a/x", strings.NewReader("data"))
		for name, value := range map[string]string{"Req-Id": "9b1f03aa5c7e2d41", "Req-Kind": "a", "Req-Deadline-Ms": "60000"} {
			q.Header.Set(name, value)
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			done <- err.Error()
			return
		}
		io.Copy(io.Discard, r.Body)
		r.Body.Close()
		done <- r.Status
	}()
	select { // with the outdated list the job would be sent at once, to the wrong host
	case s := <-sends:
		t.Errorf("sent to the %s host before the list came", s.host)
	case <-discoveryCalled:
		t.Error("discovery was called twice")
	case <-func() chan struct{} { // three more calls answered in the meantime show that the job waits
		c := make(chan struct{})
		go func() {
			for range 3 {
				ready()
			}
			close(c)
		}()
		return c
	}():
	}
	close(answer)
	for ready() != 200 {
	}
	if got := <-done; !strings.HasPrefix(got, "502") {
		t.Errorf("answered %s", got)
	}
	close(sends)
	if s := <-sends; s.host != "fresh" || s.id != "9b1f03aa5c7e2d41" {
		t.Errorf("sent %q to the %q host", s.id, s.host)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
