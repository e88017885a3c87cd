package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// process is one process of the system, through its lives.
type process struct {
	role, name, ip, zone string
	file, data           string
	counts               bool
	command              *exec.Cmd
	ended                chan struct{}
	runs                 int
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	binary, folder string
	base           int // first of the ports, which are the same on all machines
	list           string
	processes      []*process
	record         *record
}

// Ports, counted from the base.
const (
	frontendPort = iota
	readinessPort
	controlPort
	internalPort
	lastPort = 20
)

// The size of the deployment.
const (
	zones     = 4
	edges     = 2   // machines of a zone
	edgeMb    = 64  // of disk
	storageMb = 360 // of disk
)

const (
	startWithin = 20 * time.Second
	graceS      = 6
)

func (f *fleet) port(offset int) int { return f.base + offset }

func (f *fleet) address(ip string, offset int) string {
	return net.JoinHostPort(ip, fmt.Sprint(f.port(offset)))
}

// newFleet lays out in each zone an edge machine with a disk, one without, and a storage machine, as the deploy file says.
func newFleet(binary, folder, list string, r *record) (*fleet, error) {
	f := &fleet{binary: binary, folder: folder, list: list, record: r}
	net2 := 20 + os.Getpid()%200
	ip := func(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", net2, zone, host) }
	for zone := 1; zone <= zones; zone++ {
		for host := 1; host <= edges; host++ {
			f.add("control", fmt.Sprintf("edge-%d-%d", zone, host), ip(zone, host), zone, host == 1)
			f.add("dispatcher", fmt.Sprintf("edge-%d-%d", zone, host), ip(zone, host), zone, host == 1)
		}
		f.add("store", fmt.Sprintf("storage-%d-1", zone), ip(zone, 9), zone, true)
	}
	for base := 21000 + os.Getpid()%500*40; base < 60000; base += 40 {
		if f.base = base; f.free() {
			return f, nil
		}
	}
	return nil, errors.New("no free ports")
}

// free tells whether the ports are free on all machines.
func (f *fleet) free() bool {
	for _, p := range f.processes {
		for offset := range internalPort + lastPort/4 {
			listener, err := net.Listen("tcp", f.address(p.ip, offset))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func (f *fleet) add(role, name, ip string, zone int, disk bool) *process {
	p := &process{role: role, name: name, ip: ip, zone: fmt.Sprintf("zone-%d", zone), counts: disk}
	p.file = filepath.Join(f.folder, name+"-"+role+".toml")
	if disk && role != "dispatcher" {
		p.data = filepath.Join(f.folder, "data", name+"-"+role)
	}
	f.processes = append(f.processes, p)
	return p
}

// of lists the processes of a role.
func (f *fleet) of(role string) (found []*process) {
	for _, p := range f.processes {
		if p.role == role {
			found = append(found, p)
		}
	}
	return found
}

// seeds are the ControlPlane addresses of the machines with a disk in the first three zones.
func (f *fleet) seeds() (seeds []string) {
	for _, p := range f.of("control") {
		if p.counts && len(seeds) < 3 {
			seeds = append(seeds, f.address(p.ip, controlPort))
		}
	}
	return seeds
}

// controls are all ControlPlane addresses.
func (f *fleet) controls() (all []string) {
	for _, p := range f.of("control") {
		all = append(all, f.address(p.ip, controlPort))
	}
	return all
}

// fronts are the Frontend and Readiness addresses of all dispatchers.
func (f *fleet) fronts() (fronts, readiness []string) {
	for _, p := range f.of("dispatcher") {
		fronts = append(fronts, f.address(p.ip, frontendPort))
		readiness = append(readiness, f.address(p.ip, readinessPort))
	}
	return fronts, readiness
}

// settings is the settings file of a process.
func (f *fleet) settings(p *process, bootstrap bool) string {
	var b strings.Builder
	class, serves, memory, disk := "edge", `"edge","control"`, 284, edgeMb
	if p.role == "store" {
		class, serves, memory, disk = "storage", `"storage"`, 294, storageMb
	}
	fmt.Fprintf(&b, "NodeName = %q\nRole = %q\nMachineClass = %q\nServes = [%s]\nIp = %q\nZone = %q\nRegion = \"here\"\n", p.name, p.role, class, serves, p.ip, p.zone)
	fmt.Fprintf(&b, "InternalPortRange = [%d,%d]\nSeedNodes = [\"%s\"]\nBootstrap = %v\nCountsForQuorum = %v\n", f.port(internalPort), f.port(lastPort),
		strings.Join(f.seeds(), `","`), bootstrap, p.counts)
	if p.data != "" {
		fmt.Fprintf(&b, "DataDir = %q\n", p.data)
	}
	b.WriteString("Discovery = \"cloud\"\nEntryPoint = \"vip\"\nHeartbeatMs = 1200\nInvariants = [\"base\",\"drain\",\"config\",\"cost\",\"ingest\",\"recover\"]\n[Zones]\n")
	for zone := 1; zone <= zones; zone++ {
		fmt.Fprintf(&b, "zone-%d = \"here\"\n", zone)
	}
	b.WriteString("[BindAddresses]\n")
	if class == "edge" {
		fmt.Fprintf(&b, "Frontend = %q\nReadiness = %q\nControlPlane = %q\n", f.address(p.ip, frontendPort), f.address(p.ip, readinessPort), f.address(p.ip, controlPort))
	}
	fmt.Fprintf(&b, "[Limits]\nCpuShare = 0.72\nCpuCores = 1\nMemoryMb = %d\nMaxOpenFiles = 4100\nBandwidthMbps = 1000.0\n", memory)
	if p.data != "" {
		fmt.Fprintf(&b, "DiskMb = %d\n", disk)
	}
	b.WriteString("[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n")
	fmt.Fprintf(&b, "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 4000\nAckMs = 5000\nCatchUpS = 4.4\nDrainMs = 3000\nGraceS = %d\nLossSlackMs = 200\n", graceS)
	b.WriteString("ConfigApplyMs = 3000\nRollbackSlackMs = 250\nMaxSkewMs = 12000\nRecoveryS = 12\nCompletionS = 10\nStatusS = 120\nCallbackS = 5\n")
	b.WriteString("VisibilityMs = 3000\nEarliestMs = 100\nCeilingWindowS = 5\nOriginOverage = 1.1\n")
	fmt.Fprintf(&b, "[CloudApi]\nAddress = %q\nRatePerS = 47.0\nDuties = []\nMaxLagMs = 800\n", f.list)
	return b.String()
}

// start starts a process. It bootstraps on its first start only.
func (f *fleet) start(p *process) error {
	if p.data != "" {
		if err := os.MkdirAll(p.data, 0o755); err != nil {
			return err
		}
	}
	if err := os.WriteFile(p.file, []byte(f.settings(p, p.runs == 0)), 0o644); err != nil {
		return err
	}
	logs, err := os.OpenFile(strings.TrimSuffix(p.file, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logs.Close()
	command := exec.Command(f.binary, p.role)
	command.Env = append(os.Environ(), "LIFTGAUGE_CONFIG="+p.file)
	command.Stdout, command.Stderr = logs, logs
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.runs++
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		err := command.Wait()
		f.record.note("process %s/%s %d ended: %v", p.name, p.role, command.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// startAll starts all processes.
func (f *fleet) startAll() error {
	for _, p := range f.processes {
		if err := f.start(p); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a running process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	if p.command == nil {
		return
	}
	f.record.note("%v to %s/%s", s, p.name, p.role)
	_ = p.command.Process.Signal(s)
}

// kill ends a process at once and waits for its end.
func (f *fleet) kill(p *process) {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGCONT)
	f.signal(p, syscall.SIGKILL)
	<-p.ended
	p.command = nil
}

// term ends a process as planned: SIGTERM, and SIGKILL after the grace.
func (f *fleet) term(p *process) {
	if p.command == nil {
		return
	}
	f.signal(p, syscall.SIGTERM)
	select {
	case <-p.ended:
		p.command = nil
	case <-time.After(graceS * time.Second):
		f.record.note("%s/%s is still there after the grace", p.name, p.role)
		f.kill(p)
	}
}

// wipe empties the disk of a process that is down.
func (f *fleet) wipe(p *process) error {
	f.record.note("disk of %s is lost", p.name)
	return os.RemoveAll(p.data)
}

// running tells whether a process has not ended by itself.
func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop kills all.
func (f *fleet) stop() {
	for _, p := range f.processes {
		f.kill(p)
	}
}
