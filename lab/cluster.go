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

// Scenario is what a scenario file says; lab/scenario.cue tells what each field means.
type Scenario struct {
	Name      string
	Means     string `json:"means"`
	Processes int    `json:"processes"`
	Settle    string `json:"settle"`
	Steps     []Step `json:"steps"`
	MayLose   string `json:"mayLose"`
}

// Step is one fault, or its end.
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

// Scenarios lists the names of those that come with the program.
func Scenarios() (names []string) {
	files, _ := scenarioFiles.ReadDir("scenarios")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".cue"))
	}
	return names
}

// LoadScenario reads one of those, or a file.
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

// ClusterConfig is a run of a scenario.
type ClusterConfig struct {
	Daemon    string
	Scenario  *Scenario
	Processes int // 0: as the scenario says
	Seed      uint64
	Logs      string // a folder for the dispatchers' logs; empty: none
	Output    io.Writer
}

// ClusterReport is what came of it.
type ClusterReport struct {
	Scenario  string   `json:"scenario"`
	Processes int      `json:"processes"`
	Seed      uint64   `json:"seed"`
	Held      bool     `json:"held"`
	Breaches  []string `json:"breaches"`
	Views     int      `json:"views"`
	Removed   int      `json:"removed_though_sound"`
	SettledMS int64    `json:"settled_ms"` // from the last step until all that live agree
	FormedMS  int64    `json:"formed_ms"`
	Served    int64    `json:"served"`
	Refused   int64    `json:"refused"`
	Failed    int64    `json:"failed"`
	Broken    int64    `json:"broken"` // no whole answer, of dispatchers that lived
	Killed    int64    `json:"broken_of_killed"`
	Twice     int      `json:"run_twice"`             // of those that must not
	LateMS    float64  `json:"latest_after_drain_ms"` // of all jobs, from when the dispatcher counts as told
	Fullest   float64  `json:"fullest_cold_host"`     // work within the fall time over what pushes a cold host over: 1 does
	Carried   int64    `json:"datagrams"`
	Lost      int64    `json:"datagrams_lost"`
}

// clusterMember is one dispatcher of the run, with its own hosts, discovery and clients.
type clusterMember struct {
	i        int
	world    *World
	load     *Load
	process  *Process
	control  string
	settings string
	log      *os.File
	hosts    []*hostJudge
	unheard  bool // discovery is not open to it

	mu     sync.Mutex
	alive  bool
	paused bool
	ever   bool // was killed or ended in this run: its clients may have been cut off
	seen   *gossip.Status
	lineage,
	view uint64
}

type cluster struct {
	ClusterConfig
	n       int
	dir     string
	links   *Links
	members []*clusterMember
	began   time.Time
	sets    map[string][]int
	mu      sync.Mutex
	views   map[[2]uint64]string // by lineage and number: the list
	report  ClusterReport
	ids     [][]string
}

// RunCluster plays a scenario with real processes, and judges from outside what each believed when. It ends only processes that it started.
func RunCluster(ctx context.Context, c ClusterConfig) (*ClusterReport, error) {
	k := &cluster{ClusterConfig: c, n: c.Processes, sets: map[string][]int{}, views: map[[2]uint64]string{}}
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
	k.draw()
	err := k.open(ctx)
	defer k.close()
	if err == nil {
		err = k.play(ctx)
	}
	if err != nil {
		return nil, err
	}
	k.report.Held = len(k.report.Breaches) == 0
	return &k.report, nil
}

// draw says who is meant by each word.
func (k *cluster) draw() {
	rng := rand.New(rand.NewPCG(k.Seed, 31))
	order := rng.Perm(k.n)
	share := func(x float64) []int { return order[:min(k.n, max(1, int(x*float64(k.n)+0.5)))] }
	k.sets["one"], k.sets["tenth"], k.sets["third"], k.sets["most"] = order[:1], share(0.1), share(0.3), share(0.7)
	for i := range k.n {
		k.sets["all"] = append(k.sets["all"], i)
		if 2*i < k.n-1 { // the smaller one
			k.sets["half"] = append(k.sets["half"], i)
		}
	}
}

func (k *cluster) who(name string, but []int) (set []int) {
	if name == "rest" {
		if len(but) == k.n { // of nobody in particular: those that "half" leaves
			but = k.sets["half"]
		}
		for i := range k.n {
			if !slices.Contains(but, i) {
				set = append(set, i)
			}
		}
		return set
	}
	if i, err := strconv.Atoi(name); err == nil {
		return []int{i % k.n}
	}
	return k.sets[name]
}

// at is an address of a dispatcher's own: each has a host of loopback for itself, as on addresses that others take their ports from one that
// has just been found free may be gone. Two runs on one machine have different networks.
func (k *cluster) at(i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()>>8&127, os.Getpid()&255, 1+i, port)
}

// open starts all and waits until they are together.
func (k *cluster) open(ctx context.Context) (err error) {
	if k.dir, err = os.MkdirTemp("", "liftlab-cluster-"); err != nil {
		return err
	}
	var real []string
	for i := range k.n {
		real = append(real, k.at(i, 7946))
	}
	if k.links, err = NewLinks(real, k.Seed); err != nil {
		return err
	}
	k.ids = make([][]string, k.n)
	var seeds []string
	for i := range min(5, k.n) {
		seeds = append(seeds, strconv.Quote(k.links.Known(i)))
	}
	k.began = time.Now()
	for i := range k.n {
		m := &clusterMember{i: i}
		k.members = append(k.members, m)
		const slots, job = 4, 20 * time.Millisecond
		if m.world, err = StartWorld(WorldConfig{Hosts: 3, Slots: slots, Queue: 8, Job: job, Links: true, Listen: k.at(i, 8443), Each: func(_ int, h *standin.HostConfig) {
			judge := &hostJudge{rules: rulesOfClusters(slots)}
			m.hosts = append(m.hosts, judge)
			h.Accepted = func() { judge.took(time.Since(k.began), job) }
		}}); err != nil {
			return err
		}
		m.control = k.at(i, 9443)
		m.settings = filepath.Join(k.dir, fmt.Sprintf("n%d.cue", i))
		text := fmt.Sprintf("membership: {listen: %q, advertise: %q, cluster: \"lab\", seeds: [%s]}\n", real[i], k.links.Known(i), strings.Join(seeds, ", "))
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
		starts.Go(func() { errs[i] = k.start(ctx, i) })
	}
	starts.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for i, m := range k.members {
		m.load = StartLoad(ctx, LoadConfig{Address: m.world.Listen, Clients: 2, Body: []byte("level 3"), Patience: 5 * time.Second, Pause: 60 * time.Millisecond, Seed: k.Seed<<8 + uint64(i),
			Done: func(id, class string, status int) {
				k.mu.Lock()
				defer k.mu.Unlock()
				if class == classNames[1] { // must never run twice; the other class may, within its cell, which all of these hosts are
					k.ids[i] = append(k.ids[i], id)
				}
				if status == 0 && m.wasCut() {
					k.report.Killed++
				}
			}})
	}
	formed := time.Now()
	if !k.wait(ctx, 90*time.Second, k.together) {
		return errors.Join(ctx.Err(), errors.New("the fleet did not form within 90 s: "+k.standing()))
	}
	k.report.FormedMS = time.Since(k.began).Milliseconds()
	fmt.Fprintf(k.Output, "%d dispatchers in one view %.1f s after the start\n", k.n, time.Since(formed).Seconds())
	return nil
}

// runs says whether its process is there and goes on.
func (m *clusterMember) runs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive && !m.paused
}

func (m *clusterMember) wasCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ever || m.paused
}

// start starts a dispatcher's process.
func (k *cluster) start(ctx context.Context, i int) error {
	m := k.members[i]
	if err := k.links.Alive(i, true); err != nil {
		return err
	}
	var log io.Writer = io.Discard
	if m.log != nil {
		log = m.log
	}
	p, err := m.world.Daemon(ctx, DaemonConfig{Binary: k.Daemon, MemoryMB: 64, Sockets: 256, Patience: 5 * time.Second, Settings: m.settings, Control: true, ControlAt: m.control,
		Stderr: log, Name: fmt.Sprintf("n%02d", i), Number: i, Fleet: k.n, Procs: 1})
	if err != nil {
		return fmt.Errorf("n%02d: %w", i, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.alive, m.paused, m.seen = p, true, false, nil
	return nil
}

// do carries out a step.
func (k *cluster) do(ctx context.Context, s Step) error {
	who := k.who(s.Who, k.who(s.To, nil))
	to := k.who(s.To, who)
	fmt.Fprintf(k.Output, "%6.1f s  %s %s %v\n", time.Since(k.began).Seconds(), s.Do, s.Who, who)
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
					k.links.Set(a, b, f)
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
					m.world.Say(h, "DRAINING", time.Time{})
					m.hosts[h].drains(time.Since(k.began), !m.unheard && m.runs())
					continue
				}
				m.hosts[h].returns(time.Since(k.began))
				m.world.Say(h, "SERVING", time.Now())
			}
		}
		return nil
	case "hosts", "discovery":
		delay, _ := time.ParseDuration(s.Delay)
		for _, i := range who {
			w := k.members[i].world
			links := []*TCPLink{w.ListLink}
			if s.Do == "hosts" {
				links = w.HostLinks[:min(s.Hosts, len(w.HostLinks))]
			} else {
				k.members[i].unheard = s.Mode != Open
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
			m.down()
			p.Kill()
			if err := k.links.Alive(i, false); err != nil {
				return err
			}
		case "stop":
			m.down()
			if err := p.Stop(); err != nil {
				return fmt.Errorf("n%02d: %w", i, err)
			}
			if err := k.links.Alive(i, false); err != nil {
				return err
			}
		case "start":
			if err := k.start(ctx, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *clusterMember) down() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive, m.ever, m.seen = false, true, nil
}

// play carries out the steps and judges.
func (k *cluster) play(ctx context.Context) error {
	start := time.Now()
	steps := slices.Clone(k.Scenario.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.at() - b.at()) })
	for _, s := range steps {
		k.wait(ctx, s.at()-time.Since(start), func() bool { return false })
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := k.do(ctx, s); err != nil {
			return err
		}
	}
	settle, _ := time.ParseDuration(k.Scenario.Settle)
	last := time.Now()
	if k.wait(ctx, settle, k.together) {
		k.report.SettledMS = time.Since(last).Milliseconds()
	} else if ctx.Err() != nil {
		return ctx.Err()
	} else {
		k.breach("%v after the last step those that live do not agree: %s", settle, k.standing())
	}
	for _, m := range k.members {
		m.load.Stop()
		t := m.load.Take()
		k.report.Served += t.Served
		k.report.Refused += t.Refused
		k.report.Failed += t.Failed
		k.report.Broken += t.Broken
		for _, id := range k.ids[m.i] {
			if len(m.world.Ledger.Runs(id)) > 1 {
				k.report.Twice++
			}
		}
	}
	for _, m := range k.members {
		for i, h := range m.hosts {
			broken, late, fullest := h.verdict()
			k.report.LateMS, k.report.Fullest = max(k.report.LateMS, float64(late)/1e6), max(k.report.Fullest, fullest)
			for _, b := range broken[:min(1, len(broken))] {
				k.breach("host %d of n%02d, %d times: %s", i, m.i, len(broken), b)
			}
		}
	}
	if k.report.Broken -= k.report.Killed; k.report.Broken > 0 {
		k.breach("%d messages of dispatchers that lived got no whole answer", k.report.Broken)
	}
	if k.report.Twice > 0 {
		k.breach("%d messages that must never run twice did", k.report.Twice)
	}
	k.report.Views = len(k.views)
	k.report.Carried, k.report.Lost = k.links.Carried.Load(), k.links.Lost.Load()
	return nil
}

// wait looks at all members again and again until something holds, or the time is over.
func (k *cluster) wait(ctx context.Context, d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); ; {
		k.look(ctx)
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

// look asks every member what it believes, and checks it against all that was believed before.
func (k *cluster) look(ctx context.Context) {
	var asks sync.WaitGroup
	for _, m := range k.members {
		m.mu.Lock()
		ask := m.alive && !m.paused
		m.mu.Unlock()
		if !ask {
			continue
		}
		asks.Go(func() {
			within, stop := context.WithTimeout(ctx, time.Second)
			defer stop()
			r, err := http.NewRequestWithContext(within, "GET", "http://"+m.control+"/control/members", nil)
			if err != nil {
				return
			}
			r.Close = true
			answer, err := http.DefaultClient.Do(r)
			if err != nil {
				return
			}
			defer answer.Body.Close()
			text, err := io.ReadAll(answer.Body)
			var s gossip.Status
			if err != nil || answer.StatusCode != 200 || json.Unmarshal(text, &s) != nil {
				return
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.alive {
				m.seen = &s
			}
		})
	}
	asks.Wait()
	sound := k.sound()
	for _, m := range k.members {
		m.mu.Lock()
		s := m.seen
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
				fmt.Fprintf(k.Output, "%6.1f s  view %d: %d members\n", time.Since(k.began).Seconds(), s.View, len(s.Members))
				for _, i := range sound {
					if !in[fmt.Sprintf("n%02d", i)] {
						k.report.Removed++
						k.breach("view %d is without n%02d, which nothing is wrong with", s.View, i)
					}
				}
			}
		} else if have != list.String() {
			k.breach("n%02d has another view %d than others: %s and %s", m.i, s.View, list.String(), have)
		}
		m.mu.Lock()
		if m.lineage == s.Lineage && s.View < m.view {
			k.breach("n%02d went back from view %d to %d", m.i, m.view, s.View)
		}
		m.lineage, m.view = s.Lineage, s.View
		m.mu.Unlock()
	}
}

// sound are the members that no step takes for dead.
func (k *cluster) sound() (set []int) {
	lost := k.who(k.Scenario.MayLose, nil)
	for _, m := range k.members {
		m.mu.Lock()
		if m.alive && !m.ever && !slices.Contains(lost, m.i) {
			set = append(set, m.i)
		}
		m.mu.Unlock()
	}
	return set
}

func (k *cluster) breach(format string, a ...any) {
	text := fmt.Sprintf("%.1f s: ", time.Since(k.began).Seconds()) + fmt.Sprintf(format, a...)
	if len(k.report.Breaches) < 20 {
		k.report.Breaches = append(k.report.Breaches, text)
	}
	fmt.Fprintln(k.Output, "BREACH", text)
}

// together: all that live hold one view of just those that live, and are in touch.
func (k *cluster) together() bool {
	alive := 0
	var first *gossip.Status
	for _, m := range k.members {
		m.mu.Lock()
		s, up := m.seen, m.alive
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

// standing says where everybody is.
func (k *cluster) standing() string {
	var b strings.Builder
	for _, m := range k.members {
		m.mu.Lock()
		switch {
		case !m.alive:
			fmt.Fprintf(&b, "n%02d dead; ", m.i)
		case m.seen == nil:
			fmt.Fprintf(&b, "n%02d silent; ", m.i)
		default:
			fmt.Fprintf(&b, "n%02d %s view %d of %d, in touch %v; ", m.i, m.seen.State, m.seen.View, len(m.seen.Members), m.seen.InTouch)
		}
		m.mu.Unlock()
	}
	return b.String()
}

// close ends all that was started.
func (k *cluster) close() {
	var ends sync.WaitGroup
	for _, m := range k.members {
		ends.Go(func() {
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
			if m.world != nil {
				m.world.Close()
			}
			if m.log != nil {
				m.log.Close()
			}
		})
	}
	ends.Wait()
	if k.links != nil {
		k.links.Close()
	}
	os.RemoveAll(k.dir)
}
