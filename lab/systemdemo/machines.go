package systemdemo

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/nodeconfig"
)

// Ports of every machine; machines differ in their loopback address.
const (
	frontendPort      = 18044
	readinessPort     = 18045
	controlPlanePort  = 18046
	firstInternalPort = 17240
	lastInternalPort  = 17255
	zones             = 3
)

// machine is one process of the system with its own loopback address. It keeps its settings and data across restarts.
type machine struct {
	role    string // the subcommand
	name    string
	ip      string
	zone    string
	file    string // path of its settings
	data    string // data folder; empty without a disk
	command *exec.Cmd
	exited  chan struct{}
	binary  string // program of the last start
	started bool   // settings have been written before, so Bootstrap is false from now on
}

// layout returns the machines of the demonstration: in each of three zones a dispatcher, a control process and a store.
func layout(folder string) []*machine {
	var machines []*machine
	for zone := range zones {
		for i, role := range []string{"control", "store", "dispatcher"} {
			m := &machine{role: role, name: fmt.Sprintf("%s-%d", role, zone+1), zone: fmt.Sprintf("zone-%d", zone+1),
				ip: fmt.Sprintf("127.18.%d.%d", zone+1, 10+i)}
			m.file = filepath.Join(folder, m.name+".toml")
			if role != "dispatcher" {
				m.data = filepath.Join(folder, m.name)
			}
			machines = append(machines, m)
		}
	}
	return machines
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// ofRole lists the machines of a role.
func ofRole(machines []*machine, role string) (found []*machine) {
	for _, m := range machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

// writeSettings writes the settings file of a machine.
func (m *machine) writeSettings(seeds []string, listAddress string) error {
	servesByRole := map[string]string{"control": nodeconfig.ServesControl, "store": nodeconfig.ServesStorage, "dispatcher": nodeconfig.ServesEdge}
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nServes = [%q]\nIp = %q\nZone = %q\nRegion = \"loopback\"\n", m.name, servesByRole[m.role], m.ip, m.zone)
	fmt.Fprintf(&b, "InternalPortRange = [%d, %d]\nSeedNodes = [\"%s\"]\nBootstrap = %v\n", firstInternalPort, lastInternalPort, strings.Join(seeds, `","`), !m.started)
	m.started = true
	if m.data != "" {
		fmt.Fprintf(&b, "CountsForQuorum = true\nDataDir = %q\n", m.data)
		if err := os.MkdirAll(m.data, 0o750); err != nil {
			return err
		}
	}
	b.WriteString("[Zones]\n")
	for zone := range zones {
		fmt.Fprintf(&b, "zone-%d = \"loopback\"\n", zone+1)
	}
	b.WriteString("[BindAddresses]\n")
	switch m.role {
	case "control":
		fmt.Fprintf(&b, "ControlPlane = %q\n", hostPort(m.ip, controlPlanePort))
	case "dispatcher":
		fmt.Fprintf(&b, "Frontend = %q\nReadiness = %q\n", hostPort(m.ip, frontendPort), hostPort(m.ip, readinessPort))
	}
	fmt.Fprintf(&b, "[Limits]\nMemoryMb = 284\nDiskMb = 256\n[FaultTolerance]\nMachines = 1\n[CloudApi]\nAddress = %q\nRatePerS = %d\nMaxLagMs = 800\n", listAddress, listRatePerS)
	return os.WriteFile(m.file, []byte(b.String()), 0o600)
}

// start starts the process. Its output is appended to a log file beside its settings.
func (m *machine) start(binary string) error {
	logs, err := os.OpenFile(strings.TrimSuffix(m.file, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	command := exec.Command(binary, m.role)
	command.Env = append(os.Environ(), nodeconfig.EnvironmentVariable+"="+m.file)
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s %s", binary, m.role)
	}
	exited := make(chan struct{})
	m.command, m.exited, m.binary = command, exited, binary
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// shutDown asks the process to terminate and kills it after the timeout. It reports whether the process exited in time.
func (m *machine) shutDown(timeout time.Duration) bool {
	if m.command == nil {
		return true
	}
	_ = m.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-m.exited:
		m.command = nil
		return true
	case <-timer.C:
		m.kill()
		return false
	}
}

// loseDisk empties the data folder of a machine whose process is not running.
func (m *machine) loseDisk() error {
	if err := os.RemoveAll(m.data); err != nil {
		return err
	}
	return os.MkdirAll(m.data, 0o750)
}

// kill sends SIGKILL to the process and waits until it has exited.
func (m *machine) kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Signal(syscall.SIGKILL)
	<-m.exited
	m.command = nil
}
