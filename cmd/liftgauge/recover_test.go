package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/nodeconfig"
)

// runMainVariable is the environment variable that makes the test binary run main, so that tests can start it as a process.
const runMainVariable = "LIFTGAUGE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// testTimeout bounds every wait of these tests. It is not an expectation of how long they take.
const testTimeout = time.Minute

// osProcess is a role that runs as a process of the operating system, on its own loopback address. It is restarted when it exits.
type osProcess struct {
	role, name, ip, data, file string
	output                     *os.File // of all its runs

	mutex   sync.Mutex
	command *exec.Cmd
	stopped bool
}

// osSystem is a small system of such processes.
type osSystem struct {
	t         *testing.T
	ctx       context.Context
	ports     [4]int // internal, ControlPlane, Frontend, Readiness
	processes []*osProcess
	seeds     []string
}

func startSystem(t *testing.T) *osSystem {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	s := &osSystem{t: t, ctx: ctx}
	for i := range s.ports {
		l, err := net.Listen("tcp", "127.19.1.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		s.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	for i, role := range []string{"control", "control", "control", "store", "store", "dispatcher"} {
		p := &osProcess{role: role, name: fmt.Sprintf("%s-%d", role, i), ip: fmt.Sprintf("127.19.1.%d", 10+i)}
		p.file = filepath.Join(t.TempDir(), p.name+".toml")
		p.output = createOutput(t, p.name)
		if role != "dispatcher" {
			p.data = t.TempDir()
		}
		if role == "control" {
			s.seeds = append(s.seeds, s.address(p, 1))
		}
		s.processes = append(s.processes, p)
	}
	for _, p := range s.processes {
		s.write(p, true)
		s.start(p)
	}
	t.Cleanup(func() {
		for _, p := range s.processes {
			p.kill(true)
			p.closeOutput(t)
		}
	})
	return s
}

// createOutput creates the file that takes a process's log.
func createOutput(t *testing.T, name string) *os.File {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(t.TempDir(), name+".log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// closeOutput prints what the process wrote if the test has failed.
func (p *osProcess) closeOutput(t *testing.T) {
	if t.Failed() {
		written, err := os.ReadFile(p.output.Name())
		t.Logf("output of %s (%v):\n%s", p.name, err, written)
	}
	_ = p.output.Close()
}

func (s *osSystem) address(p *osProcess, port int) string {
	return net.JoinHostPort(p.ip, strconv.Itoa(s.ports[port]))
}

// write writes the settings file of a process.
func (s *osSystem) write(p *osProcess, bootstrap bool) {
	serves := map[string]string{"control": nodeconfig.ServesControl, "store": nodeconfig.ServesStorage, "dispatcher": nodeconfig.ServesEdge}[p.role]
	addresses := map[string]string{
		"control":    fmt.Sprintf("ControlPlane = %q\n", s.address(p, 1)),
		"dispatcher": fmt.Sprintf("Frontend = %q\nReadiness = %q\n", s.address(p, 2), s.address(p, 3)),
	}[p.role]
	disk := ""
	if p.data != "" {
		disk = fmt.Sprintf("CountsForQuorum = true\nDataDir = %q\n", p.data)
	}
	content := fmt.Sprintf("NodeName = %q\nServes = [%q]\nIp = %q\nZone = \"zone-%s\"\nRegion = \"r\"\nInternalPortRange = [%d, %d]\n"+
		"SeedNodes = [%q, %q, %q]\nBootstrap = %v\n%s[BindAddresses]\n%s[Limits]\nMemoryMb = 284\nDiskMb = 64\n[FaultTolerance]\nMachines = 1\n"+
		"[CloudApi]\nAddress = \"127.19.1.1:1\"\nRatePerS = 47.0\nMaxLagMs = 800\n",
		p.name, serves, p.ip, p.name, s.ports[0], s.ports[0]+15, s.seeds[0], s.seeds[1], s.seeds[2], bootstrap, disk, addresses)
	if err := os.WriteFile(p.file, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// start starts the process, and restarts it each time that it exits by itself.
func (s *osSystem) start(p *osProcess) {
	command := exec.Command(os.Args[0], p.role)
	command.Env = append(os.Environ(), runMainVariable+"=1", nodeconfig.EnvironmentVariable+"="+p.file)
	command.Stdout, command.Stderr = p.output, p.output
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	p.command, p.stopped = command, false
	go func() {
		_ = command.Wait()
		p.mutex.Lock()
		restart := !p.stopped && p.command == command
		p.mutex.Unlock()
		if restart {
			s.start(p)
		}
	}()
}

// kill kills the process. If stopped is set, it is not restarted.
func (p *osProcess) kill(stopped bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopped = stopped
	if p.command != nil {
		_ = p.command.Process.Kill()
	}
}

// eventually polls until a condition holds.
func (s *osSystem) eventually(what string, holds func() bool) {
	s.t.Helper()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			s.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func (s *osSystem) status(method, url string, header http.Header, body string) int {
	request, err := http.NewRequestWithContext(s.ctx, method, url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if host := header.Get("Host"); host != "" {
		request.Host = host
	}
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// replace sends a configuration until it is accepted.
func (s *osSystem) replace(base int) {
	s.t.Helper()
	body := fmt.Sprintf(`{"Revision":%d,"Routes":[{"Name":"r","Hostname":"h.example","PathPrefix":"/r/","Type":"async","TimeoutMs":500,"TargetLatencyMs":80,`+
		`"Priority":1,"Backend":"svc","MaxAttempts":6,"Fifo":true,"RetentionS":90.0,"TargetStartMs":500}],"Services":[{"Name":"svc",`+
		`"HealthCheckPath":"/health","MaxConnections":10,"RatePerS":0.0,"Static":null}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,`+
		`"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, base+1)
	header := http.Header{"X-Base-Version": {strconv.Itoa(base)}}
	s.eventually("the configuration to be taken", func() bool {
		for _, seed := range s.seeds {
			if s.status(http.MethodPost, "http://"+seed+"/config/replace", header, body) == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// accept sends each message until it is accepted.
func (s *osSystem) accept(dispatcher *osProcess, ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		header := http.Header{"Host": {"h.example"}, "X-Request-Id": {id}, "X-Ordering-Key": {"k"}}
		s.eventually("message "+id+" to be accepted", func() bool {
			return s.status(http.MethodPost, "http://"+s.address(dispatcher, 2)+"/r/x", header, "level 3") == http.StatusAccepted
		})
	}
}

// TestRecoverCommand removes the disks of two of three control processes. The command first shows its plan without acting on it, then founds a
// new generation of control, in which the configuration is in force and configurations and messages are accepted. A snapshot taken before is
// read as well.
func TestRecoverCommand(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	control := strings.Join(s.seeds, ",")
	s.replace(0)
	dispatcher := s.processes[len(s.processes)-1]
	s.accept(dispatcher, "before-1", "before-2")
	file := filepath.Join(t.TempDir(), "snapshot")
	content, err := run("snapshot", "--control", control)
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, []byte(content), 0o600))

	_, err = run("recover", "--control", control)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "it needs no recovery"))
	for _, p := range s.processes[:2] {
		p.kill(true)
		p.data = t.TempDir()
		s.write(p, false)
		s.start(p)
	}
	s.write(s.processes[2], false)
	var out string
	s.eventually("a plan", func() bool {
		out, err = run("recover", "--control", control)
		return err == nil && strings.Contains(out, "configuration: revision 1")
	})
	is.True(strings.Contains(out, "all that was acknowledged, from control-2/control (revision 1, 1 orders taken)"))
	is.True(strings.Contains(out, "control-0/control"))
	is.True(strings.HasSuffix(out, "nothing was done; to found control in this way, give --found as well\n"))
	out, err = run("recover", "--from", file, "--control", control)
	is.NoErr(err)
	is.True(strings.Contains(out, "records: snapshot of control-"))
	_, err = run("recover", "--from", s.processes[0].file, "--control", control)
	is.True(err != nil && strings.Contains(err.Error(), "this is no snapshot of control"))

	out, err = run("recover", "--found", "--control", control)
	if err != nil {
		t.Fatal(err, out)
	}
	is.True(strings.Contains(out, "control is founded anew: generation 1, primary control-2/control"))
	out, err = run("describe", "--control", control)
	is.NoErr(err)
	is.True(strings.Contains(out, `"Revision":1`))
	s.replace(1)
	s.accept(dispatcher, "after-1", "before-1") // the repeated message is recognized
}

func TestRecoverWithoutAControlProcess(t *testing.T) {
	is := is.New(t)
	_, err := run("recover", "--control", "127.0.0.1:1", "--timeout", "100ms")
	is.True(err != nil)
	_, err = run("snapshot", "--control", "127.0.0.1:1", "--timeout", "100ms")
	is.True(err != nil)
	_, err = run("recover", "--from", filepath.Join(t.TempDir(), "none"), "--control", "127.0.0.1:1")
	is.True(errors.Is(err, os.ErrNotExist))
}
