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

// machine is one process of the system on its loopback address, through its lives.
type machine struct {
	role    string // the subcommand
	name    string
	ip      string
	zone    string
	file    string // its settings
	data    string // empty without a disk
	command *exec.Cmd
	ended   chan struct{}
	binary  string // that it was started with last
	started bool   // its settings were written for a first start
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

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

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
func (m *machine) writeSettings(seeds []string, list string) error {
	serves := map[string]string{"control": nodeconfig.ServesControl, "store": nodeconfig.ServesStorage, "dispatcher": nodeconfig.ServesEdge}
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nServes = [%q]\nIp = %q\nZone = %q\nRegion = \"loopback\"\n", m.name, serves[m.role], m.ip, m.zone)
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
		fmt.Fprintf(&b, "ControlPlane = %q\n", at(m.ip, controlPlanePort))
	case "dispatcher":
		fmt.Fprintf(&b, "Frontend = %q\nReadiness = %q\n", at(m.ip, frontendPort), at(m.ip, readinessPort))
	}
	fmt.Fprintf(&b, "[Limits]\nMemoryMb = 284\nDiskMb = 256\n[FaultTolerance]\nMachines = 1\n[CloudApi]\nAddress = %q\nRatePerS = 47.0\nMaxLagMs = 800\n", list)
	return os.WriteFile(m.file, []byte(b.String()), 0o600)
}

// start starts the process. What it logs goes to a file beside its settings.
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
	ended := make(chan struct{})
	m.command, m.ended, m.binary = command, ended, binary
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// end ends the process as planned, and kills it where that takes too long. It tells whether it ended by itself.
func (m *machine) end(within time.Duration) bool {
	if m.command == nil {
		return true
	}
	_ = m.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-m.ended:
		m.command = nil
		return true
	case <-timer.C:
		m.kill()
		return false
	}
}

// loseDisk empties the disk of a machine whose process is down.
func (m *machine) loseDisk() error {
	if err := os.RemoveAll(m.data); err != nil {
		return err
	}
	return os.MkdirAll(m.data, 0o750)
}

// kill ends the process at once, and waits for its end.
func (m *machine) kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Signal(syscall.SIGKILL)
	<-m.ended
	m.command = nil
}
