package lab

import (
	"bytes"
	"context"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"liftgauge/internal/gossip"
	"liftgauge/internal/settings/cuefile"
	"liftgauge/internal/standin"
)

//go:embed scenario.cue
var scenarioSchema string

//go:embed scenarios/*.cue
var scenarioFiles embed.FS

// Scenario is the content of a scenario file; lab/scenario.cue describes its fields.
type Scenario struct {
	Name      string
	Means     string `json:"means"`
	Processes int    `json:"processes"`
	Settle    string `json:"settle"`
	Steps     []Step `json:"steps"`
	MayLose   string `json:"mayLose"`
}

// Step starts or ends one fault.
type Step struct {
	At        string  `json:"at"`
	Do        string  `json:"do"`
	Who       string  `json:"who"`
	To        string  `json:"to"`
	Loss      float64 `json:"loss"`
	Delay     string  `json:"delay"`
	Spread    string  `json:"spread"`
	Duplicate float64 `json:"duplicate"`
	Mode      Mode    `json:"mode"`
	Hosts     int     `json:"hosts"`
}

// Scenarios returns the names of the embedded scenarios.
func Scenarios() (names []string) {
	files, _ := scenarioFiles.ReadDir("scenarios")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".cue"))
	}
	return names
}

// LoadScenario reads an embedded scenario by name, or else a scenario file by path.
func LoadScenario(name string) (*Scenario, error) {
	text, err := scenarioFiles.ReadFile("scenarios/" + name + ".cue")
	if err != nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
	}
	plain, err := cuefile.CompileWith(scenarioSchema, "#Scenario", name, text)
	if err != nil {
		return nil, err
	}
	s := &Scenario{Name: strings.TrimSuffix(filepath.Base(name), ".cue")}
	if err := json.Unmarshal(plain, s); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

func (s Step) at() time.Duration {
	d, _ := time.ParseDuration(s.At)
	return d
}

// ClusterConfig configures the run of a scenario.
type ClusterConfig struct {
	Daemon    string
	Scenario  *Scenario
	Processes int // 0: the scenario's number
	Seed      uint64
	Logs      string // a folder for the dispatchers' logs; empty: none
	Output    io.Writer
}

// ClusterReport is the result of a scenario's run.
type ClusterReport struct {
	Scenario  string   `json:"scenario"`
	Processes int      `json:"processes"`
	Seed      uint64   `json:"seed"`
	Held      bool     `json:"held"`
	Breaches  []string `json:"breaches"`
	Views     int      `json:"views"`
	Removed   int      `json:"removed_though_sound"`
	SettledMS int64    `json:"settled_ms"` // from the last step until all live members agree
	FormedMS  int64    `json:"formed_ms"`
	Served    int64    `json:"served"`
	Refused   int64    `json:"refused"`
	Failed    int64    `json:"failed"`
	Broken    int64    `json:"broken"` // without a complete response, from dispatchers that were not interrupted
	Killed    int64    `json:"broken_of_killed"`
	Twice     int      `json:"run_twice"`             // of the messages that must run at most once
	LateMS    float64  `json:"latest_after_drain_ms"` // maximum over all jobs, since the dispatcher counts as notified of the drain
	Fullest   float64  `json:"fullest_cold_host"`     // highest ratio of work within the overload window to the amount that overloads a cold host; above 1 it is overloaded
	Carried   int64    `json:"datagrams"`
	Lost      int64    `json:"datagrams_lost"`
}

// clusterMember is one dispatcher of the run with its separate hosts, discovery and clients.
type clusterMember struct {
	index            int
	testbed          *Testbed
	load             *Load
	process          *Process
	control          string
	settings         string
	log              *os.File
	hosts            []*hostChecker
	discoveryBlocked bool // a step has broken its connections to discovery

	mu         sync.Mutex
	alive      bool
	paused     bool
	wasStopped bool // was killed or stopped in this run: its clients may have lost their connections
	status     *gossip.Status
	lineage,
	view uint64
}

type cluster struct {
	ClusterConfig
	n            int
	dir          string
	links        *UDPLinks
	members      []*clusterMember
	started      time.Time
	memberSets   map[string][]int
	mu           sync.Mutex
	views        map[[2]uint64]string // member list by lineage and view number
	report       ClusterReport
	singleRunIDs [][]string
}

// RunCluster runs a scenario with real processes and checks the views that they report over their control addresses. It ends only processes
// that it started.
func RunCluster(ctx context.Context, c ClusterConfig) (*ClusterReport, error) {
	k := &cluster{ClusterConfig: c, n: c.Processes, memberSets: map[string][]int{}, views: map[[2]uint64]string{}}
	if k.n == 0 {
		k.n = c.Scenario.Processes
	}
	if k.n < 2 || k.n > 60 {
		return nil, fmt.Errorf("processes: want 2 to 60, have %d", k.n)
	}
	if k.Output == nil {
		k.Output = io.Discard
	}
	k.report = ClusterReport{Scenario: c.Scenario.Name, Processes: k.n, Seed: c.Seed}
	k.chooseMembers()
	err := k.startAll(ctx)
	defer k.close()
	if err == nil {
		err = k.run(ctx)
	}
	if err != nil {
		return nil, err
	}
	k.report.Held = len(k.report.Breaches) == 0
	return &k.report, nil
}

// chooseMembers chooses the members that each word of a scenario stands for, from the seed.
func (k *cluster) chooseMembers() {
	rng := rand.New(rand.NewPCG(k.Seed, 31))
	order := rng.Perm(k.n)
	share := func(x float64) []int { return order[:min(k.n, max(1, int(x*float64(k.n)+0.5)))] }
	k.memberSets["one"], k.memberSets["tenth"], k.memberSets["third"], k.memberSets["most"] = order[:1], share(0.1), share(0.3), share(0.7)
	for i := range k.n {
		k.memberSets["all"] = append(k.memberSets["all"], i)
		if 2*i < k.n-1 { // the smaller half
			k.memberSets["half"] = append(k.memberSets["half"], i)
		}
	}
}

func (k *cluster) membersOf(name string, except []int) (set []int) {
	if name == "rest" {
		if len(except) == k.n { // the complement of all members is empty: "rest" means those outside "half"
			except = k.memberSets["half"]
		}
		for i := range k.n {
			if !slices.Contains(except, i) {
				set = append(set, i)
			}
		}
		return set
	}
	if i, err := strconv.Atoi(name); err == nil {
		return []int{i % k.n}
	}
	return k.memberSets[name]
}

// address returns an address for one dispatcher. Each dispatcher has a loopback IP address to itself, since on a shared one a port that was
// just found free may be taken before the dispatcher listens there. Two runs on one machine use different networks.
func (k *cluster) address(i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()>>8&127, os.Getpid()&255, 1+i, port)
}

// startAll starts all members with their hosts, discovery and load, and waits until they agree on one view.
func (k *cluster) startAll(ctx context.Context) (err error) {
	if k.dir, err = os.MkdirTemp("", "liftlab-cluster-"); err != nil {
		return err
	}
	var listenAddresses []string
	for i := range k.n {
		listenAddresses = append(listenAddresses, k.address(i, 7946))
	}
	if k.links, err = NewUDPLinks(listenAddresses, k.Seed); err != nil {
		return err
	}
	k.singleRunIDs = make([][]string, k.n)
	var seeds []string
	for i := range min(5, k.n) {
		seeds = append(seeds, strconv.Quote(k.links.AdvertisedAddress(i)))
	}
	k.started = time.Now()
	for i := range k.n {
		m := &clusterMember{index: i}
		k.members = append(k.members, m)
		const slots, job = 4, 20 * time.Millisecond
		if m.testbed, err = StartTestbed(TestbedConfig{Hosts: 3, Slots: slots, Queue: 8, Job: job, Links: true, Listen: k.address(i, 8443), Each: func(_ int, h *standin.HostConfig) {
			checker := &hostChecker{limits: clusterHostLimits(slots)}
			m.hosts = append(m.hosts, checker)
			h.Accepted = func() { checker.accepted(time.Since(k.started), job) }
		}}); err != nil {
			return err
		}
		m.control = k.address(i, 9443)
		m.settings = filepath.Join(k.dir, fmt.Sprintf("n%d.cue", i))
		text := fmt.Sprintf("membership: {listen: %q, advertise: %q, cluster: \"lab\", seeds: [%s]}\n", listenAddresses[i], k.links.AdvertisedAddress(i), strings.Join(seeds, ", "))
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if k.Logs != "" {
			if err := os.MkdirAll(k.Logs, 0o755); err != nil {
				return err
			}
			if m.log, err = os.Create(filepath.Join(k.Logs, fmt.Sprintf("n%d.log", i))); err != nil {
				return err
			}
		}
	}
	var starts sync.WaitGroup
	errs := make([]error, k.n)
	for i := range k.n {
		starts.Go(func() { errs[i] = k.startMember(ctx, i) })
	}
	starts.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for i, m := range k.members {
		m.load = StartLoad(ctx, LoadConfig{Address: m.testbed.Listen, Clients: 2, Body: []byte("level 3"), Timeout: 5 * time.Second, Pause: 60 * time.Millisecond, Seed: k.Seed<<8 + uint64(i),
			Done: func(id, class string, status int) {
				k.mu.Lock()
				defer k.mu.Unlock()
				if class == classNames[1] { // must never run twice; the other class may within its cell, and all of these hosts are in one cell
					k.singleRunIDs[i] = append(k.singleRunIDs[i], id)
				}
				if status == 0 && m.wasInterrupted() {
					k.report.Killed++
				}
			}})
	}
	formed := time.Now()
	if !k.waitUntil(ctx, 90*time.Second, k.converged) {
		return errors.Join(ctx.Err(), errors.New("the fleet did not form within 90 s: "+k.describeMembers()))
	}
	k.report.FormedMS = time.Since(k.started).Milliseconds()
	fmt.Fprintf(k.Output, "%d dispatchers in one view %.1f s after the start\n", k.n, time.Since(formed).Seconds())
	return nil
}

// running reports whether the member's process is alive and not paused.
func (m *clusterMember) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive && !m.paused
}

func (m *clusterMember) wasInterrupted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wasStopped || m.paused
}

// startMember starts a dispatcher's process.
func (k *cluster) startMember(ctx context.Context, i int) error {
	m := k.members[i]
	if err := k.links.SetAlive(i, true); err != nil {
		return err
	}
	var log io.Writer = io.Discard
	if m.log != nil {
		log = m.log
	}
	p, err := m.testbed.Daemon(ctx, DaemonConfig{Binary: k.Daemon, MemoryMB: 64, Sockets: 256, Timeout: 5 * time.Second, Settings: m.settings, Control: true, ControlAt: m.control,
		Stderr: log, Name: fmt.Sprintf("n%02d", i), Number: i, Fleet: k.n, Procs: 1})
	if err != nil {
		return fmt.Errorf("n%02d: %w", i, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.alive, m.paused, m.status = p, true, false, nil
	return nil
}

// apply carries out a step.
func (k *cluster) apply(ctx context.Context, s Step) error {
	who := k.membersOf(s.Who, k.membersOf(s.To, nil))
	to := k.membersOf(s.To, who)
	fmt.Fprintf(k.Output, "%6.1f s  %s %s %v\n", time.Since(k.started).Seconds(), s.Do, s.Who, who)
	switch s.Do {
	case "link", "heal":
		var f Fault
		if s.Do == "link" {
			f.Loss, f.Duplicate = s.Loss, s.Duplicate
			f.Delay, _ = time.ParseDuration(s.Delay)
			f.Spread, _ = time.ParseDuration(s.Spread)
		}
		for _, a := range who {
			for _, b := range to {
				if a != b {
					k.links.SetFault(a, b, f)
				}
			}
		}
		return nil
	}
	switch s.Do {
	case "drain", "return":
		for _, i := range who {
			m := k.members[i]
			for h := range min(s.Hosts, len(m.hosts)) {
				if s.Do == "drain" {
					m.testbed.SetHostState(h, "DRAINING", time.Time{})
					m.hosts[h].drain(time.Since(k.started), !m.discoveryBlocked && m.running())
					continue
				}
				m.hosts[h].restart(time.Since(k.started))
				m.testbed.SetHostState(h, "SERVING", time.Now())
			}
		}
		return nil
	case "hosts", "discovery":
		delay, _ := time.ParseDuration(s.Delay)
		for _, i := range who {
			w := k.members[i].testbed
			links := []*TCPLink{w.DiscoveryLink}
			if s.Do == "hosts" {
				links = w.HostLinks[:min(s.Hosts, len(w.HostLinks))]
			} else {
				k.members[i].discoveryBlocked = s.Mode != Open
			}
			for _, l := range links {
				if err := l.Set(s.Mode, delay); err != nil {
					return err
				}
			}
		}
		return nil
	}
	for _, i := range who {
		m := k.members[i]
		m.mu.Lock()
		p := m.process
		m.mu.Unlock()
		switch s.Do {
		case "pause", "resume":
			sig := syscall.SIGSTOP
			if s.Do == "resume" {
				sig = syscall.SIGCONT
			}
			if err := p.Signal(sig); err != nil {
				return err
			}
			m.mu.Lock()
			m.paused = s.Do == "pause"
			m.mu.Unlock()
		case "kill":
			m.markStopped()
			p.Kill()
			if err := k.links.SetAlive(i, false); err != nil {
				return err
			}
		case "stop":
			m.markStopped()
			if err := p.Stop(); err != nil {
				return fmt.Errorf("n%02d: %w", i, err)
			}
			if err := k.links.SetAlive(i, false); err != nil {
				return err
			}
		case "start":
			if err := k.startMember(ctx, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *clusterMember) markStopped() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive, m.wasStopped, m.status = false, true, nil
}

// run applies the steps at their times, waits for agreement and checks the results.
func (k *cluster) run(ctx context.Context) error {
	start := time.Now()
	steps := slices.Clone(k.Scenario.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.at() - b.at()) })
	for _, s := range steps {
		k.waitUntil(ctx, s.at()-time.Since(start), func() bool { return false })
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := k.apply(ctx, s); err != nil {
			return err
		}
	}
	settle, _ := time.ParseDuration(k.Scenario.Settle)
	last := time.Now()
	if k.waitUntil(ctx, settle, k.converged) {
		k.report.SettledMS = time.Since(last).Milliseconds()
	} else if ctx.Err() != nil {
		return ctx.Err()
	} else {
		k.addViolation("%v after the last step those that live do not agree: %s", settle, k.describeMembers())
	}
	for _, m := range k.members {
		m.load.Stop()
		t := m.load.Take()
		k.report.Served += t.Served
		k.report.Refused += t.Refused
		k.report.Failed += t.Failed
		k.report.Broken += t.Broken
		for _, id := range k.singleRunIDs[m.index] {
			if len(m.testbed.Ledger.Runs(id)) > 1 {
				k.report.Twice++
			}
		}
	}
	for _, m := range k.members {
		for i, h := range m.hosts {
			violations, late, highestLoad := h.results()
			k.report.LateMS, k.report.Fullest = max(k.report.LateMS, float64(late)/1e6), max(k.report.Fullest, highestLoad)
			for _, b := range violations[:min(1, len(violations))] {
				k.addViolation("host %d of n%02d, %d times: %s", i, m.index, len(violations), b)
			}
		}
	}
	if k.report.Broken -= k.report.Killed; k.report.Broken > 0 {
		k.addViolation("%d messages of dispatchers that lived got no whole answer", k.report.Broken)
	}
	if k.report.Twice > 0 {
		k.addViolation("%d messages that must never run twice did", k.report.Twice)
	}
	k.report.Views = len(k.views)
	k.report.Carried, k.report.Lost = k.links.Carried.Load(), k.links.Lost.Load()
	return nil
}

// waitUntil polls all members until the condition holds, the time is over or the context ends, and reports whether the condition held.
func (k *cluster) waitUntil(ctx context.Context, d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); ; {
		k.poll(ctx)
		if holds() {
			return true
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		select {
		case <-time.After(min(200*time.Millisecond, max(0, time.Until(end)))):
		case <-ctx.Done():
		}
	}
}

// poll requests the status of each running member and checks its view against those reported before.
func (k *cluster) poll(ctx context.Context) {
	var requests sync.WaitGroup
	for _, m := range k.members {
		m.mu.Lock()
		reachable := m.alive && !m.paused
		m.mu.Unlock()
		if !reachable {
			continue
		}
		requests.Go(func() {
			requestCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(requestCtx, "GET", "http://"+m.control+"/control/members", nil)
			if err != nil {
				return
			}
			r.Close = true
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				return
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			var s gossip.Status
			if err != nil || response.StatusCode != 200 || json.Unmarshal(text, &s) != nil {
				return
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.alive {
				m.status = &s
			}
		})
	}
	requests.Wait()
	healthy := k.healthy()
	for _, m := range k.members {
		m.mu.Lock()
		s := m.status
		m.mu.Unlock()
		if s == nil || s.View == 0 {
			continue
		}
		var list bytes.Buffer
		in := map[string]bool{}
		for _, e := range s.Members {
			fmt.Fprintf(&list, "%s/%d ", e.Name, e.Incarnation)
			in[e.Name] = true
		}
		key := [2]uint64{s.Lineage, s.View}
		if have, ok := k.views[key]; !ok {
			k.views[key] = list.String()
			if k.report.FormedMS > 0 {
				fmt.Fprintf(k.Output, "%6.1f s  view %d: %d members\n", time.Since(k.started).Seconds(), s.View, len(s.Members))
				for _, i := range healthy {
					if !in[fmt.Sprintf("n%02d", i)] {
						k.report.Removed++
						k.addViolation("view %d is without n%02d, which nothing is wrong with", s.View, i)
					}
				}
			}
		} else if have != list.String() {
			k.addViolation("n%02d has another view %d than others: %s and %s", m.index, s.View, list.String(), have)
		}
		m.mu.Lock()
		if m.lineage == s.Lineage && s.View < m.view {
			k.addViolation("n%02d went back from view %d to %d", m.index, m.view, s.View)
		}
		m.lineage, m.view = s.Lineage, s.View
		m.mu.Unlock()
	}
}

// healthy returns the live members that were never stopped and that the scenario does not allow to be removed.
func (k *cluster) healthy() (set []int) {
	lost := k.membersOf(k.Scenario.MayLose, nil)
	for _, m := range k.members {
		m.mu.Lock()
		if m.alive && !m.wasStopped && !slices.Contains(lost, m.index) {
			set = append(set, m.index)
		}
		m.mu.Unlock()
	}
	return set
}

func (k *cluster) addViolation(format string, a ...any) {
	text := fmt.Sprintf("%.1f s: ", time.Since(k.started).Seconds()) + fmt.Sprintf(format, a...)
	if len(k.report.Breaches) < 20 {
		k.report.Breaches = append(k.report.Breaches, text)
	}
	fmt.Fprintln(k.Output, "BREACH", text)
}

// converged reports whether all live members are in touch and share one view that has as many members as are alive.
func (k *cluster) converged() bool {
	alive := 0
	var first *gossip.Status
	for _, m := range k.members {
		m.mu.Lock()
		s, up := m.status, m.alive
		m.mu.Unlock()
		if !up {
			continue
		}
		alive++
		if s == nil || s.View == 0 || !s.InTouch || first != nil && (s.View != first.View || s.Lineage != first.Lineage) {
			return false
		}
		first = s
	}
	return first != nil && len(first.Members) == alive
}

// describeMembers returns the state of every member for messages.
func (k *cluster) describeMembers() string {
	var b strings.Builder
	for _, m := range k.members {
		m.mu.Lock()
		switch {
		case !m.alive:
			fmt.Fprintf(&b, "n%02d dead; ", m.index)
		case m.status == nil:
			fmt.Fprintf(&b, "n%02d silent; ", m.index)
		default:
			fmt.Fprintf(&b, "n%02d %s view %d of %d, in touch %v; ", m.index, m.status.State, m.status.View, len(m.status.Members), m.status.InTouch)
		}
		m.mu.Unlock()
	}
	return b.String()
}

// close ends all processes, loads and stand-ins that were started, and removes the temporary folder.
func (k *cluster) close() {
	var stops sync.WaitGroup
	for _, m := range k.members {
		stops.Go(func() {
			if m.load != nil {
				m.load.stop()
			}
			if p := m.process; p != nil {
				p.Signal(syscall.SIGCONT)
				p.Kill()
			}
			if m.load != nil {
				m.load.Stop()
			}
			if m.testbed != nil {
				m.testbed.Close()
			}
			if m.log != nil {
				m.log.Close()
			}
		})
	}
	stops.Wait()
	if k.links != nil {
		k.links.Close()
	}
	os.RemoveAll(k.dir)
}
