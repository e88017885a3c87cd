package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// The bounds of the settings files: those of the small sites.
const (
	contactMs      = 4000
	drainMs        = 3000
	configApplyMs  = 3000
	graceS         = 6
	completionS    = 10
	maxLagMs       = 800
	standardBounds = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 4000\nAckMs = 5000\nCatchUpS = 4.4\nDrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\n" +
		"ConfigApplyMs = 3000\nRollbackSlackMs = 250\nMaxSkewMs = 12000\nRecoveryS = 12\nCompletionS = 10\nStatusS = 120\nCallbackS = 5\n" +
		"VisibilityMs = 3000\nEarliestMs = 100\nCeilingWindowS = 5\nOriginOverage = 1.1\n"
)

// layout is what a deployment has: in each zone an edge machine with a disk, for control and a dispatcher, further edge machines for dispatchers
// alone, and a storage machine.
type layout struct {
	zones []string
	edges int // edge machines of a zone
}

var smallLayout = layout{zones: []string{"zone-a", "zone-b", "zone-c"}, edges: 1}

// process is one process of the system on a machine with its own loopback address.
type process struct {
	name, role, class, zone, ip string
	file, data                  string
	command                     *exec.Cmd
	exited                      chan struct{}
}

// cluster is the deployment: nine processes on six machines.
type cluster struct {
	layout         layout
	folder, binary string
	record         *record
	ports          ports
	list           string // address of the platform's list
	processes      []*process
	bounds         string // of the settings files
	diskMb         int
}

// ports are the same on all machines.
type ports struct{ frontend, readiness, control, internal int }

// newCluster lays out the machines on free loopback addresses.
func newCluster(l layout, folder, binary, list string, r *record) (*cluster, error) {
	for range 50 {
		c := &cluster{layout: l, bounds: standardBounds, diskMb: 360, folder: folder, binary: binary, list: list, record: r}
		base := 20000 + 100*rand.IntN(300)
		c.ports = ports{base, base + 1, base + 2, base + 10}
		net2, net3 := 20+rand.IntN(200), 1+rand.IntN(250)
		for i, zone := range l.zones {
			for n := range l.edges {
				edge := fmt.Sprintf("127.%d.%d.%d", net2, net3, 10+10*i+n)
				if n == 0 {
					c.add("control", fmt.Sprintf("edge-%s-%d", zone, n+1), "edge", zone, edge)
				}
				c.add("dispatcher", fmt.Sprintf("edge-%s-%d", zone, n+1), "edge", zone, edge)
			}
			c.add("store", "storage-"+zone+"-1", "storage", zone, fmt.Sprintf("127.%d.%d.%d", net2, net3, 110+i))
		}
		if c.free() {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free ports on loopback")
}

func (c *cluster) add(role, name, class, zone, ip string) *process {
	p := &process{name: name, role: role, class: class, zone: zone, ip: ip}
	p.file = filepath.Join(c.folder, p.name+"-"+role+".toml")
	if role != "dispatcher" {
		p.data = filepath.Join(c.folder, p.name+"-"+role)
	}
	c.processes = append(c.processes, p)
	return p
}

// free reports whether all ports can be listened on.
func (c *cluster) free() bool {
	for _, p := range c.processes {
		for _, port := range []int{c.ports.frontend, c.ports.readiness, c.ports.control, c.ports.internal, c.ports.internal + 1, c.ports.internal + 2} {
			l, err := net.Listen("tcp", hostPort(p.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// of lists the processes of a role.
func (c *cluster) of(role string) (found []*process) {
	for _, p := range c.processes {
		if p.role == role {
			found = append(found, p)
		}
	}
	return found
}

func (c *cluster) frontends() (addresses []string) {
	for _, p := range c.of("dispatcher") {
		addresses = append(addresses, hostPort(p.ip, c.ports.frontend))
	}
	return addresses
}

func (c *cluster) controls() (addresses []string) {
	for _, p := range c.of("control") {
		addresses = append(addresses, hostPort(p.ip, c.ports.control))
	}
	return addresses
}

// writeSettings writes the settings file of a process.
func (c *cluster) writeSettings(p *process, bootstrap bool) error {
	var b strings.Builder
	serves := map[string]string{"dispatcher": "edge", "control": "control", "store": "storage"}[p.role]
	fmt.Fprintf(&b, "NodeName = %q\nRole = %q\nMachineClass = %q\nServes = [%q]\nIp = %q\nZone = %q\nRegion = \"loopback\"\n", p.name, p.role, p.class, serves, p.ip, p.zone)
	fmt.Fprintf(&b, "InternalPortRange = [%d,%d]\nSeedNodes = [\"%s\"]\nBootstrap = %v\nCountsForQuorum = true\n", c.ports.internal, c.ports.internal+15,
		strings.Join(c.controls(), `","`), bootstrap)
	if p.data != "" {
		fmt.Fprintf(&b, "DataDir = %q\n", p.data)
		if err := os.MkdirAll(p.data, 0o750); err != nil {
			return err
		}
	}
	b.WriteString("Discovery = \"cloud\"\nEntryPoint = \"vip\"\nHeartbeatMs = 1200\nInvariants = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"ingest\"]\n[Zones]\n")
	for _, zone := range c.layout.zones {
		fmt.Fprintf(&b, "%s = \"loopback\"\n", zone)
	}
	b.WriteString("[BindAddresses]\n")
	switch p.role {
	case "dispatcher":
		fmt.Fprintf(&b, "Frontend = %q\nReadiness = %q\n", hostPort(p.ip, c.ports.frontend), hostPort(p.ip, c.ports.readiness))
	case "control":
		fmt.Fprintf(&b, "ControlPlane = %q\n", hostPort(p.ip, c.ports.control))
	}
	fmt.Fprintf(&b, "[Limits]\nCpuShare = 0.72\nCpuCores = 1\nMemoryMb = 284\nMaxOpenFiles = 4100\nBandwidthMbps = 1000.0\nDiskMb = %d\n", c.diskMb)
	fmt.Fprintf(&b, "[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n[Bounds]\n%s[CloudApi]\nAddress = %q\nRatePerS = 47.0\nDuties = []\nMaxLagMs = %d\n", c.bounds, c.list, maxLagMs)
	return os.WriteFile(p.file, []byte(b.String()), 0o600)
}

// start starts a process as the deploy file does: the program with its role, at the root of the repository.
func (c *cluster) start(p *process) error {
	logs, err := os.OpenFile(strings.TrimSuffix(p.file, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	command := exec.Command(c.binary, p.role)
	command.Env = append(os.Environ(), "LIFTGAUGE_CONFIG="+p.file)
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// startAll starts all processes for the first time.
func (c *cluster) startAll() error {
	for _, p := range c.processes {
		if err := c.writeSettings(p, true); err != nil {
			return err
		}
	}
	for _, p := range c.processes {
		if err := c.start(p); err != nil {
			return err
		}
	}
	return nil
}

// founded writes the settings for later starts.
func (c *cluster) founded() error {
	for _, p := range c.processes {
		if err := c.writeSettings(p, false); err != nil {
			return err
		}
	}
	return nil
}

// stop kills what still runs.
func (c *cluster) stop() {
	for _, p := range c.processes {
		if p.command != nil {
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
}

// ended lists the processes that are not running.
func (c *cluster) ended() (names []string) {
	for _, p := range c.processes {
		select {
		case <-p.exited:
			names = append(names, p.name+" "+p.role)
		default:
		}
	}
	return names
}

// order sends a configuration as the operator does: again and again, to any control process, until it has a clear answer.
func (c *cluster) order(ctx context.Context, path string, base int, body []byte) (int, error) {
	client := &http.Client{Timeout: time.Second}
	controls := c.controls()
	for attempt := 0; ; attempt++ {
		status := 0
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controls[attempt%len(controls)]+path, bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		request.Header.Set("X-Base-Version", fmt.Sprint(base))
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			status = response.StatusCode
		}
		if status != 0 && status < 500 && status != 408 && status != 429 {
			c.record.add("operator", fmt.Sprintf("%s on %d: %d", path, base, status))
			return status, nil
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return 0, fmt.Errorf("no clear answer to %s", path)
		}
	}
}

// awaitReady waits until all dispatchers say that they are ready.
func (c *cluster) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, p := range c.of("dispatcher") {
		for {
			response, err := client.Get("http://" + hostPort(p.ip, c.ports.readiness) + "/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if sleep(ctx, 50*time.Millisecond) != nil {
				return fmt.Errorf("%s does not become ready", p.name)
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
