// Package lab starts daemons with stand-in hosts, workers and clients on loopback, injects faults and measures the daemons.
package lab

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"liftgauge/internal/standin"
)

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Process is a program under measurement.
type Process struct {
	Address string
	cmd     *exec.Cmd
	dir     string // private to the process, removed when it ends
	exited  chan struct{}
	err     error
}

// Usage is the CPU time and memory of a process.
type Usage struct {
	CPU      time.Duration
	Resident int64 // bytes, now
	Peak     int64 // bytes, the maximum since the start
}

// DaemonConfig holds the part of a daemon's configuration that differs between experiments.
type DaemonConfig struct {
	Binary   string
	MemoryMB int
	Sockets  int
	Timeout  time.Duration // the hard limit of every class
	Known    standin.List
	Settings string // a settings file, or empty
	Control  bool
	Stderr   io.Writer
	Procs    int // GOMAXPROCS; 0 keeps the default
	Args     []string
	Env      []string
	// Listener is the clients' socket and Dir the folder that all processes of one dispatcher share; nil and empty: not shared.
	Listener  *os.File
	Dir       string
	Name      string // empty: lab
	Number    int    // among the Fleet dispatchers
	Fleet     int
	ControlAt string // control address; empty: any free address if Control is set
}

// classes returns the classes of every experiment: one with idempotency keys, one that must never run twice.
func classes(timeout time.Duration) []map[string]any {
	return []map[string]any{
		{"name": "gauge-reading", "aimNs": 200 * time.Millisecond, "hardLimitNs": timeout, "credit": 2.0, "lateValue": 0.25,
			"effect": "guarded", "dedupScope": "cell", "windowNs": 7500 * time.Millisecond},
		{"name": "send-warning", "aimNs": 200 * time.Millisecond, "hardLimitNs": timeout, "credit": 10.0, "lateValue": 0.2,
			"effect": "single_shot"},
	}
}

// Zones and Kinds are the zones and host kinds that stand-in hosts may have.
var (
	Zones = []string{"caroni", "couva", "penal"}
	Kinds = []string{"full-box", "slow-box"}
)

// freeAddress finds a loopback address that is not in use, for a program that is to listen there.
func freeAddress() (string, error) {
	l, err := listenBelowEphemeralPorts()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// listenBelowEphemeralPorts listens on a loopback port below the kernel's ephemeral range. The kernel could assign a port of that range to
// another program while it is closed, or before the program that it is meant for listens there.
func listenBelowEphemeralPorts() (net.Listener, error) {
	ephemeralStart := 32768
	if text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		fmt.Sscan(string(text), &ephemeralStart)
	}
	const lowestPort = 10000 // lower ports belong to well-known services
	var l net.Listener
	err := errors.New("no free port below the ephemeral port range")
	for attempt := 0; ephemeralStart > lowestPort && attempt < 100; attempt++ {
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(ephemeralStart-lowestPort))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// configuration returns the daemon's configuration as JSON.
func configuration(c DaemonConfig, listen, discovery, control string) ([]byte, error) {
	config := map[string]any{
		"name": cmp.Or(c.Name, "lab"), "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"known":  c.Known,
		"settings": map[string]any{
			"classes": classes(c.Timeout), "dcs": Zones, "kinds": Kinds,
			"familyInfo": map[string]any{"classKind": []int{-1, -1}, "classStretch": []float64{2.5, 2.5}, "tellsStart": true},
			"fees":       map[string]any{"crossZone": 0.019, "lateFail": 0.026, "probe": 0.0059, "waste": 0.08},
			"limits": map[string]any{"cancel": true, "connectTimeoutNs": 250 * time.Millisecond, "keepaliveNs": time.Minute,
				"maxAttempts": 4, "probes": true, "secondCopies": true},
			"rules": map[string]any{"askWithinNs": 10 * time.Second, "drainGraceNs": 500 * time.Millisecond, "fallNs": 2 * time.Second,
				"overloadFactor": 2.5, "startCapacity": 0.3, "warmWithinNs": 8 * time.Second},
			"locality": 0, "membershipMode": "on_request", "replicasOfMe": max(c.Fleet, 1), "slotNo": c.Number, "stepNs": 2 * time.Millisecond,
			"weightKind": "rough", "worthBy": "work",
		},
	}
	if control != "" {
		config["control"] = control
	}
	return json.MarshalIndent(config, "", "  ")
}

// StartDaemon starts a daemon on a loopback address and returns once its readiness probe succeeds.
func StartDaemon(ctx context.Context, c DaemonConfig, listen, discovery string) (*Process, error) {
	dir, err := os.MkdirTemp("", "liftlab-")
	if err != nil {
		return nil, err
	}
	control := ""
	if control = c.ControlAt; c.Control && control == "" {
		if control, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	text, err := configuration(c, listen, discovery, control)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	args := append([]string{"serve"}, c.Args...)
	if c.Settings != "" {
		args = append(args, "--settings", c.Settings)
	}
	shared, probe := dir, "http://"+listen+"/-/ready"
	if c.Dir != "" {
		shared = c.Dir
	}
	env := append([]string{"LB_CONFIG=" + path, "TMPDIR=" + shared}, c.Env...)
	var files []*os.File
	if c.Listener != nil {
		files, env = []*os.File{c.Listener}, append(env, "LB_INHERITED_FD=3")
	}
	if c.Listener != nil && c.Control { // another process may answer at the shared client address
		probe = "http://" + control + "/control/ready"
	}
	p, err := startProcess(ctx, c.Binary, args, env, files, c.Procs, probe, dir, c.Stderr)
	if err != nil {
		return nil, err
	}
	p.Address = listen
	return p, nil
}

// startProcess starts a program and waits until it responds to an HTTP probe with a status other than 503.
func startProcess(ctx context.Context, binary string, args, env []string, files []*os.File, procs int, probe, dir string, stderr io.Writer) (*Process, error) {
	p := &Process{dir: dir, exited: make(chan struct{})}
	p.cmd = exec.Command(binary, args...)
	p.cmd.ExtraFiles = files
	p.cmd.Stderr = stderr
	p.cmd.Env = append(os.Environ(), env...)
	if procs > 0 {
		p.cmd.Env = append(p.cmd.Env, "GOMAXPROCS="+strconv.Itoa(procs))
	}
	if err := p.cmd.Start(); err != nil {
		os.RemoveAll(dir)
		return nil, fmt.Errorf("start %s: %w", binary, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	for wait := time.Now(); time.Since(wait) < 10*time.Second; {
		response, err := http.Get(probe)
		if err == nil {
			response.Body.Close()
			if response.StatusCode != http.StatusServiceUnavailable {
				return p, nil
			}
		}
		select {
		case <-p.exited:
			os.RemoveAll(dir)
			return nil, fmt.Errorf("%s exited during its start: %w", binary, p.err)
		case <-ctx.Done():
			p.Kill()
			return nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	p.Kill()
	return nil, fmt.Errorf("%s did not become ready within 10 s", binary)
}

func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Stop sends SIGTERM and waits up to 10 s for the process to exit; then it kills the process and returns an error.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		p.Kill()
		return errors.New("did not end within 10 s of SIGTERM")
	}
	os.RemoveAll(p.dir)
	return p.err
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.exited
	os.RemoveAll(p.dir)
}

// Usage reads the process's CPU time and memory from /proc.
func (p *Process) Usage() (Usage, error) { return UsageOf(p.cmd.Process.Pid) }

// UsageOf reads a process's CPU time and memory from /proc.
func UsageOf(processID int) (u Usage, err error) {
	dir := "/proc/" + strconv.Itoa(processID)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return u, fmt.Errorf("%s/stat: %d fields", dir, len(fields))
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	if err := errors.Join(err1, err2); err != nil {
		return u, err
	}
	u.CPU = time.Duration(user+system) * clockTick
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch name {
		case "VmRSS":
			u.Resident = kb << 10
		case "VmHWM":
			u.Peak = kb << 10
		}
	}
	return u, nil
}
