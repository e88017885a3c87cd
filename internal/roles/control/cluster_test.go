package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"liftgauge/clustertime"
	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/roles"
)

// testTimeout limits every wait of these tests. It is not the expected duration of anything.
const testTimeout = 60 * time.Second

// testNetwork counts the clusters, each of which uses a separate network of loopback addresses.
var testNetwork atomic.Uint32

// cluster is a group of control processes with disks on separate loopback addresses.
type cluster struct {
	t         *testing.T
	ctx       context.Context
	network   uint32
	ports     [2]int // internal, ControlPlane
	seeds     []string
	list      string // address of the platform's list
	machines  map[string]*machine
	bootstrap bool
}

// machine is one control process, which may be down.
type machine struct {
	settings *nodeconfig.Settings
	process  *process
	clocks   func() clustertime.Reading // nil for those of the machine that runs the test
}

func newCluster(t *testing.T, controls int) *cluster {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx, network: testNetwork.Add(1), machines: make(map[string]*machine), bootstrap: true}
	c.ports = c.freePorts()
	for i := 1; i <= min(controls, 3); i++ {
		c.seeds = append(c.seeds, net.JoinHostPort(c.ip(i), strconv.Itoa(c.ports[1])))
	}
	for i := 1; i <= controls; i++ {
		c.add(i)
	}
	t.Cleanup(func() {
		for _, m := range c.machines {
			c.kill(m)
		}
	})
	return c
}

func (c *cluster) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+c.network/250, 1+c.network%250, host)
}

// freePorts returns different ports that were free on the cluster's network when they were checked.
func (c *cluster) freePorts() (ports [2]int) {
	for i := range ports {
		l, err := net.Listen("tcp", c.ip(1)+":0")
		if err != nil {
			c.t.Fatal(err)
		}
		defer l.Close() // at the end, since a port that is free again may be drawn twice
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports
}

// settings returns the settings of a machine of the cluster.
func (c *cluster) settings(host int, name string) *nodeconfig.Settings {
	s := &nodeconfig.Settings{
		NodeName: name, Ip: c.ip(host), Zone: fmt.Sprintf("zone-%d", host%4), Region: "region",
		InternalPortRange: [2]int{c.ports[0], c.ports[0] + 15}, SeedNodes: c.seeds, Bootstrap: c.bootstrap, CountsForQuorum: true,
	}
	s.FaultTolerance.Machines = 1
	s.Bounds.GraceS = 6
	s.CloudApi = nodeconfig.CloudApi{Address: c.list, RatePerS: 100}
	return s
}

// add creates a control machine with an empty disk without starting it.
func (c *cluster) add(host int) *machine {
	name := fmt.Sprintf("control-%d", host)
	s := c.settings(host, name)
	s.BindAddresses.ControlPlane = net.JoinHostPort(s.Ip, strconv.Itoa(c.ports[1]))
	s.DataDir = filepath.Join(c.t.TempDir(), name)
	m := &machine{settings: s}
	c.machines[name] = m
	return m
}

func (c *cluster) machine(host int) *machine { return c.machines[fmt.Sprintf("control-%d", host)] }

func (c *cluster) start(machines ...*machine) {
	c.t.Helper()
	for _, m := range machines {
		p, err := start(c.ctx, options{
			settings: m.settings, logger: testLogger(c.t).Named(m.settings.NodeName), environment: roles.Environment{Clocks: m.clocks},
		})
		if err != nil {
			c.t.Fatal(err)
		}
		m.process = p
	}
}

func (c *cluster) startAll() {
	c.t.Helper()
	for _, m := range c.machines {
		if m.process == nil {
			c.start(m)
		}
	}
}

// noBootstrap clears Bootstrap in all settings, as the platform does after the first start.
func (c *cluster) noBootstrap() {
	c.bootstrap = false
	for _, m := range c.machines {
		s := *m.settings
		s.Bootstrap = false
		m.settings = &s
	}
}

// kill ends a process without notifying other processes.
func (c *cluster) kill(m *machine) {
	if m.process == nil {
		return
	}
	m.process.stop()
	if err := m.process.closeLog(); err != nil {
		c.t.Error(err)
	}
	m.process = nil
}

// wipe gives a machine that is down an empty disk.
func (c *cluster) wipe(m *machine) {
	s := *m.settings
	s.DataDir = filepath.Join(c.t.TempDir(), s.NodeName)
	m.settings = &s
}

// testLogger returns a logger that writes to the log of the test until the test ends.
func testLogger(t *testing.T) *zap.Logger {
	w := &testWriter{t: t}
	t.Cleanup(w.end)
	return zap.New(zaptest.NewLogger(t).Core(), zap.WrapCore(w.wrap))
}

// onLoop runs f on the event loop of a process.
func (m *machine) onLoop(c *cluster, f func(d *daemon)) {
	c.t.Helper()
	done := make(chan struct{})
	m.process.loop.post(func() { f(m.process.daemon); close(done) })
	select {
	case <-done:
	case <-c.ctx.Done():
		c.t.Fatal("the event loop does not run")
	}
}

// primary waits until one process is the active primary, and returns it.
func (c *cluster) primary() *machine {
	c.t.Helper()
	var found *machine
	c.eventually("an active primary", func() bool {
		for _, m := range c.machines {
			if m.process == nil {
				continue
			}
			m.onLoop(c, func(d *daemon) {
				if d.primary != nil {
					found = m
				}
			})
		}
		return found != nil
	})
	return found
}

// eventually polls until a condition holds.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
			c.t.Fatalf("waited for %s in vain", what)
		}
	}
}

// await waits until the view of an agent fulfils a condition.
func (c *cluster) await(a *agent.Agent, what string, holds func(v *agent.View) bool) {
	c.t.Helper()
	held := make(chan struct{})
	var once sync.Once
	a.Subscribe(func(v *agent.View, _ []protocol.ItemKind) {
		if holds(v) {
			once.Do(func() { close(held) })
		}
	})
	select {
	case <-held:
	case <-c.ctx.Done():
		c.t.Fatalf("waited for %s in vain", what)
	}
}

// callResult is the final response to a call.
type callResult struct {
	status int
	body   string
}

// call makes one call of the operator to one process, following up to two redirects; ok is false without a response of status 2xx or 4xx.
func (c *cluster) call(m *machine, method, path string, base uint64, body []byte) (r callResult, ok bool) {
	client := &http.Client{Timeout: 5 * time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(c.ctx, method, "http://"+m.settings.BindAddresses.ControlPlane+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set(headerBase, strconv.FormatUint(base, 10))
	answer, err := client.Do(request)
	if err != nil {
		return callResult{}, false
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return callResult{}, false
	}
	return callResult{status: answer.StatusCode, body: string(content)}, answer.StatusCode < 300 || answer.StatusCode >= 400 && answer.StatusCode < 500
}

// operator makes a call to one process after the other until one responds with status 2xx or 4xx.
func (c *cluster) operator(first *machine, method, path string, base uint64, body []byte) callResult {
	c.t.Helper()
	var r callResult
	next := []*machine{first}
	for _, m := range c.machines {
		if m != first {
			next = append(next, m)
		}
	}
	c.eventually("a final response to "+path, func() bool {
		m := next[0]
		next = append(next[1:], m)
		var ok bool
		r, ok = c.call(m, method, path, base, body)
		return ok
	})
	return r
}

// configurationOf returns a configuration with a revision and a mark that distinguishes it from others of the same revision.
func configurationOf(revision uint64, mark string) []byte {
	return fmt.Appendf(nil, `{"Revision":%d,"Routes":[{"Name":"r-1","Hostname":"h.example","PathPrefix":"/%s/","Type":"async","TimeoutMs":500,`+
		`"TargetLatencyMs":80,"Priority":1,"Backend":"svc","MaxAttempts":6,"Fifo":true,"RetentionS":90.0,"CallbackUrl":false,"TargetStartMs":500}],`+
		`"Services":[{"Name":"svc","HealthCheckPath":"/health","MaxConnections":10,"Protocol":"h1","Tls":false,"RatePerS":0.0,"Idempotent":false,`+
		`"Pull":false,"Static":null}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, revision, mark)
}

// replace sends a complete configuration and returns the status of the response.
func (c *cluster) replace(m *machine, base uint64, body []byte) int {
	c.t.Helper()
	return c.operator(m, http.MethodPost, "/config/replace", base, body).status
}

// described returns the revision and the text of the configuration that is in force.
func (c *cluster) described(m *machine) (uint64, string) {
	c.t.Helper()
	r := c.operator(m, http.MethodGet, "/config/describe", 0, nil)
	if r.status != http.StatusOK {
		c.t.Fatalf("describe: %d %s", r.status, r.body)
	}
	var content struct{ Revision uint64 }
	if err := json.Unmarshal([]byte(r.body), &content); err != nil {
		c.t.Fatal(err)
	}
	return content.Revision, r.body
}
