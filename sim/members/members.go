// Package members simulates package member in virtual time: up to 4096 members on a network that loses, delays and partitions,
// whose processes pause, die and return. A run is determined by its seed.
package members

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"liftgauge/member"
)

// Config configures a run.
type Config struct {
	Members int
	Seed    uint64
	Fault   string // one of Faults
	Policy  string // one of Policies
	Warm    time.Duration
	Length  time.Duration // after the fleet has formed, or Warm has passed
}

// Faults lists the faults that can be injected.
var Faults = []struct{ Name, Means string }{
	{"none", "nothing"},
	{"loss", "30% of all datagrams are lost"},
	{"lossy-tenth", "30% of the datagrams to and from one member in ten are lost"},
	{"pauses", "one member in ten pauses for 1 to 5 s again and again"},
	{"long-pauses", "one member in ten pauses for 1 to 10 s again and again"},
	{"deaf", "one member in ten hears nobody"},
	{"unheard", "one member in ten is heard by nobody"},
	{"crash", "one member is killed"},
	{"vanish", "one member's machine vanishes"},
	{"kill-30", "three members in ten are killed at once"},
	{"kill-70", "seven members in ten are killed at once"},
	{"vanish-30", "three machines in ten vanish at once"},
	{"halves", "two halves are cut apart for a minute"},
	{"return", "one member in ten is killed and back 3 s later"},
	{"flap", "one member is killed and back 2 s later, ten times a minute"},
	{"start", "all start at once, half of the seeds dead"},
}

// Policies lists the policies to compare.
var Policies = []struct{ Name, Means string }{
	{"member", "as it is"},
	{"heartbeats", "all to all twice a second, each removes by itself who was silent for 2.5 s"},
	{"no-word", "the accused cannot clear itself"},
	{"no-doubt", "nobody doubts itself"},
	{"no-awareness", "a pause of its own goes unnoticed"},
	{"no-marks", "one accuser is enough"},
}

// Result is the result of a run.
type Result struct {
	Members int    `json:"members"`
	Seed    uint64 `json:"seed"`
	Fault   string `json:"fault"`
	Policy  string `json:"policy"`
	// False is the number of removals of members that were up and could send and receive; with heartbeats, removals from any
	// member's list.
	False int `json:"false_removals"`
	// KnownMedianMS, KnownWorstMS and ViewWorstMS are measured from a death: until all members in touch have detected it (median
	// and worst of the dead), and until their view reflects it.
	KnownMedianMS float64 `json:"known_median_ms,omitempty"`
	KnownWorstMS  float64 `json:"known_worst_ms,omitempty"`
	ViewWorstMS   float64 `json:"view_worst_ms,omitempty"`
	Undetected    int     `json:"undetected"`
	Views         int     `json:"views"`       // since the fault began
	SettledMS     float64 `json:"settled_ms"`  // from the last fault to the last change of any view
	FormedMS      float64 `json:"formed_ms"`   // from the start until all are in one view
	BytesMean     float64 `json:"bytes_mean"`  // sent, per second and member
	BytesWorst    float64 `json:"bytes_worst"` // of the member that sent most, over the whole run
	InAndOut      int     `json:"in_and_out"`  // largest number of removals of one member
	Disagree      int     `json:"disagree"`    // views of the same lineage and number that differ: must be 0
	Agreed        bool    `json:"agreed"`      // at the end all members that can be in touch hold one view
	NotInTouch    int     `json:"not_in_touch"`
	WallMS        int64   `json:"wall_ms"`
}

const (
	step       = time.Millisecond
	settleTime = 30 * time.Second // between the fleet's formation and the fault, so that the last joins are complete
)

type datagram struct {
	from, to    int
	incarnation uint64 // incarnation of the sending process
	message     *member.Message
	refused     bool // reports that a datagram in the opposite direction was refused
}

type process struct {
	member        *member.Member
	up            bool
	vanished      bool // its machine has vanished: nothing is refused
	pausedUntil   time.Duration
	inbox         []datagram
	incarnation   uint64
	bytes         int
	diedAt        time.Duration
	deathKnownAt  map[int]time.Duration // by dead member: when this one detected the death
	lastHeartbeat []time.Duration       // policy heartbeats: by member
	removedPeers  []bool                // policy heartbeats: by member
	removals      int
	nextTick      time.Duration
}

// World is the state of a run.
type World struct {
	Config
	now           time.Duration
	rng           *rand.Rand
	procs         []*process
	timingWheel   [][]datagram
	fault         faults
	faultBegan    time.Duration // when the fault began
	lastFaultEnd  time.Duration // when its last event ended
	viewHashes    map[uint64]map[uint64]uint64
	lastChange    time.Duration
	viewChanges   int
	result        Result
	deadSince     map[int]time.Duration
	shared        member.Shared
	trace         func(format string, a ...any)
	trafficByKind map[int][2]int // datagrams and bytes by message kind, if set
	everySecond   func()         // called every second of the run, if set
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255) }

func index(address string) int {
	var a, b, c int
	if n, _ := fmt.Sscanf(address, "10.%d.%d.%d:7946", &a, &b, &c); n != 3 {
		return -1
	}
	return a<<16 | b<<8 | c
}

// Run executes a run.
func Run(c Config) (Result, error) {
	began := time.Now()
	w, err := newWorld(c)
	if err != nil {
		return Result{}, err
	}
	w.run()
	r := w.summarize()
	r.WallMS = time.Since(began).Milliseconds()
	return r, nil
}

func newWorld(c Config) (*World, error) {
	if c.Members < 1 || c.Members > 4096 {
		return nil, fmt.Errorf("members: want 1 to 4096, have %d", c.Members)
	}
	if !slices.ContainsFunc(Faults, func(f struct{ Name, Means string }) bool { return f.Name == c.Fault }) {
		return nil, fmt.Errorf("fault: %q is unknown", c.Fault)
	}
	if !slices.ContainsFunc(Policies, func(p struct{ Name, Means string }) bool { return p.Name == c.Policy }) {
		return nil, fmt.Errorf("policy: %q is unknown", c.Policy)
	}
	if c.Warm <= 0 {
		c.Warm = 3 * time.Minute
	}
	if c.Length <= 0 {
		c.Length = time.Minute
	}
	w := &World{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 11)), timingWheel: make([][]datagram, 4096), viewHashes: map[uint64]map[uint64]uint64{},
		deadSince: map[int]time.Duration{}, trace: func(string, ...any) {}}
	w.result = Result{Members: c.Members, Seed: c.Seed, Fault: c.Fault, Policy: c.Policy}
	for i := range c.Members {
		w.procs = append(w.procs, &process{})
		if c.Fault == "start" && i < 6 && i%2 == 0 {
			continue // a dead seed
		}
		w.start(i)
	}
	if c.Fault != "start" && c.Policy != "heartbeats" {
		v := &member.View{Lineage: 1, Number: 1, LargestSize: c.Members}
		for _, p := range w.procs {
			v.Members = append(v.Members, p.member.Self())
		}
		for _, p := range w.procs {
			p.member.Bootstrap(v)
			p.member.Drain()
		}
	}
	return w, nil
}

// start starts a member's process.
func (w *World) start(i int) {
	p := w.procs[i]
	p.incarnation++
	*p = process{up: true, incarnation: p.incarnation, bytes: p.bytes, removals: p.removals, deathKnownAt: map[int]time.Duration{}, nextTick: w.now + time.Duration(w.rng.Int64N(int64(50*time.Millisecond)))}
	delete(w.deadSince, i)
	if w.Policy == "heartbeats" {
		p.lastHeartbeat, p.removedPeers = make([]time.Duration, w.Members), make([]bool, w.Members)
		for j := range p.lastHeartbeat {
			p.lastHeartbeat[j] = w.now
		}
		return
	}
	var seeds []string
	for s := range min(6, w.Members) {
		seeds = append(seeds, address(s))
	}
	disabled := map[string]member.Protection{"no-word": member.Refutation, "no-doubt": member.SelfSuspicion, "no-awareness": member.PauseDetection, "no-marks": member.Watermarks}[w.Policy]
	p.member = member.New(member.Config{Self: member.Peer{ID: member.ID{Name: fmt.Sprintf("dispatcher-%04d", i), Incarnation: uint64(w.now/step)*16 + 1}, Address: address(i),
		Zone: i % 5, Number: i}, Seeds: seeds, FleetSize: w.Members, Disabled: disabled, Shared: &w.shared}, w.now, w.Seed<<20^uint64(i)<<4^p.incarnation)
}

// send sends a datagram through the network.
func (w *World) send(d datagram, size int) {
	if d.to < 0 || d.to >= len(w.procs) {
		return
	}
	w.procs[d.from].bytes += size + 28
	if w.trafficByKind != nil && d.message != nil {
		n := w.trafficByKind[int(d.message.Kind)]
		w.trafficByKind[int(d.message.Kind)] = [2]int{n[0] + 1, n[1] + size + 28}
	}
	if w.fault.drops(w, d.from, d.to) {
		return
	}
	w.schedule(w.delay(), d)
}

func (w *World) delay() time.Duration {
	return time.Duration((1 + 4*w.rng.Float64()) * float64(time.Millisecond))
}

func (w *World) schedule(after time.Duration, d datagram) {
	slot := int((w.now+max(after, step))/step) % len(w.timingWheel)
	w.timingWheel[slot] = append(w.timingWheel[slot], d)
}

// arrive handles a datagram that reaches a process's machine.
func (w *World) arrive(d datagram) {
	p := w.procs[d.to]
	switch {
	case !p.up && p.vanished, d.refused && !p.up:
		return
	case !p.up: // its machine refuses, if the return path works
		if !w.fault.drops(w, d.to, d.from) {
			w.schedule(w.delay(), datagram{from: d.to, to: d.from, incarnation: w.procs[d.from].incarnation, refused: true})
		}
		return
	case w.now < p.pausedUntil:
		if len(p.inbox) < 256 { // capacity of the socket's buffer
			p.inbox = append(p.inbox, d)
		}
		return
	}
	w.deliver(p, d)
	w.drain(d.to)
}

func (w *World) deliver(p *process, d datagram) {
	switch {
	case w.Policy == "heartbeats":
		if !d.refused {
			if p.lastHeartbeat[d.from] = w.now; p.removedPeers[d.from] {
				p.removedPeers[d.from] = false
				w.lastChange = w.now
			}
		}
	case d.refused:
		p.member.ReceiveRefusal(w.now, address(d.from))
	default:
		p.member.Receive(w.now, address(d.from), d.message)
	}
}

// drain sends a member's messages and records its events.
func (w *World) drain(i int) {
	p := w.procs[i]
	if p.member == nil {
		return
	}
	messages, events := p.member.Drain()
	for _, e := range messages {
		w.send(datagram{from: i, to: index(e.To), incarnation: p.incarnation, message: e.Message}, e.Message.EncodedSize())
	}
	for _, e := range events {
		w.recordEvent(i, e)
	}
}

// recordEvent records a member's view, and checks that all views of one number are the same.
func (w *World) recordEvent(i int, e member.Event) {
	w.lastChange = w.now
	if e.View == nil {
		p := w.procs[i]
		w.trace("%v %d out: %s", w.now, i, e.Reason)
		if e.Reason == "removed by the others" {
			p.removals++
			w.result.InAndOut = max(w.result.InAndOut, p.removals)
		}
		return
	}
	v := e.View
	if w.viewHashes[v.Lineage] == nil {
		w.viewHashes[v.Lineage] = map[uint64]uint64{}
	}
	hash, seen := w.viewHashes[v.Lineage][v.Number]
	if !seen {
		w.viewHashes[v.Lineage][v.Number] = v.Hash()
		w.viewChanges++
		w.trace("%v view %x/%d of %d: %s", w.now, v.Lineage, v.Number, len(v.Members), e.Reason)
		w.countFalseRemovals(v)
	} else if hash != v.Hash() {
		w.result.Disagree++
	}
}

// countFalseRemovals counts members that are missing from a new view although they were up and in touch, once per view.
func (w *World) countFalseRemovals(v *member.View) {
	if w.faultBegan == 0 {
		return
	}
	incarnations := map[string]uint64{}
	for _, p := range v.Members {
		incarnations[p.ID.Name] = p.ID.Incarnation
	}
	for i, p := range w.procs {
		if p.member == nil || !p.up || p.member.View() == nil || p.member.View().Lineage != v.Lineage || p.member.View().Number+1 != v.Number || p.member.State() != member.Inside {
			continue
		}
		self := p.member.Self().ID
		if incarnation, found := incarnations[self.Name]; (!found || incarnation != self.Incarnation) && w.fault.mustStay(w, i) {
			w.result.False++
			w.trace("%v %d removed though it is up", w.now, i)
		}
	}
}

func (w *World) run() {
	formed, faultStart := false, time.Duration(-1)
	end := w.Warm
	for ; w.now < end; w.now += step {
		slot := int(w.now/step) % len(w.timingWheel)
		due := w.timingWheel[slot]
		w.timingWheel[slot] = nil
		for _, d := range due {
			if w.procs[d.to].up && d.refused && w.procs[d.to].incarnation != d.incarnation {
				continue
			}
			w.arrive(d)
		}
		for i, p := range w.procs {
			if !p.up || w.now < p.nextTick {
				continue
			}
			if w.now < p.pausedUntil {
				continue
			}
			if len(p.inbox) > 0 {
				for _, d := range p.inbox {
					w.deliver(p, d)
				}
				p.inbox = nil
			}
			p.nextTick = w.now + 50*time.Millisecond
			w.tick(i, p)
		}
		if w.everySecond != nil && w.now%time.Second == 0 {
			w.everySecond()
		}
		if w.faultBegan > 0 {
			w.fault.advance(w)
			if len(w.deadSince) > 0 && w.now%(20*time.Millisecond) == 0 {
				w.recordKnownDeaths()
			}
		} else if w.now%(100*time.Millisecond) == 0 && !formed && w.converged() {
			formed = true
			w.result.FormedMS = float64(w.now / time.Millisecond)
			end = w.now + 20*time.Second
			if w.Fault != "start" {
				faultStart = w.now + settleTime
				end = faultStart + w.Length
			}
		}
		if w.now == faultStart {
			w.beginFault()
		}
	}
}

// beginFault starts the fault.
func (w *World) beginFault() {
	w.faultBegan, w.lastFaultEnd, w.viewChanges = w.now, w.now, 0
	for _, p := range w.procs {
		p.bytes, p.removals = 0, 0
	}
	w.result.InAndOut = 0
	w.fault = newFaults(w)
}

// tick lets a process act.
func (w *World) tick(i int, p *process) {
	if w.Policy != "heartbeats" {
		p.member.Tick(w.now)
		w.drain(i)
		return
	}
	if p.nextTick%(500*time.Millisecond) < 50*time.Millisecond {
		for j := range w.procs {
			if j != i {
				w.send(datagram{from: i, to: j, incarnation: p.incarnation}, 30)
			}
		}
	}
	for j, at := range p.lastHeartbeat {
		if j != i && !p.removedPeers[j] && w.now-at > 2500*time.Millisecond {
			p.removedPeers[j] = true
			w.lastChange = w.now
			if w.faultBegan > 0 && w.procs[j].up && w.fault.mustStay(w, j) && w.fault.mustStay(w, i) {
				w.result.False++
			}
		}
	}
}

// converged reports whether all processes that are up hold one view of exactly these.
func (w *World) converged() bool {
	if w.Policy == "heartbeats" {
		return w.now > 3*time.Second
	}
	var first *member.View
	n := 0
	for _, p := range w.procs {
		if !p.up {
			continue
		}
		n++
		v := p.member.View()
		if v == nil || first != nil && (v.Number != first.Number || v.Lineage != first.Lineage) {
			return false
		}
		first = v
	}
	return first != nil && len(first.Members) == n
}

// recordKnownDeaths records which members have detected which deaths.
func (w *World) recordKnownDeaths() {
	for _, p := range w.procs {
		if !p.up || w.now < p.pausedUntil {
			continue
		}
		if len(p.deathKnownAt) == len(w.deadSince) {
			continue
		}
		if w.Policy == "heartbeats" {
			for d := range w.deadSince {
				if _, ok := p.deathKnownAt[d]; !ok && p.removedPeers[d] {
					p.deathKnownAt[d] = w.now
				}
			}
			continue
		}
		v := p.member.View()
		if v == nil {
			continue
		}
		down := p.member.Down()
		for d := range w.deadSince {
			if _, ok := p.deathKnownAt[d]; ok {
				continue
			}
			name := fmt.Sprintf("dispatcher-%04d", d)
			i, found := slices.BinarySearchFunc(v.Members, name, func(m member.Peer, name string) int { return cmp.Compare(m.ID.Name, name) })
			if !found || down.Has(i) {
				p.deathKnownAt[d] = w.now
			}
		}
	}
}

func (w *World) summarize() Result {
	r := &w.result
	r.Views = w.viewChanges
	r.SettledMS = math.Max(0, float64(w.lastChange-w.lastFaultEnd)/float64(time.Millisecond))
	length := (w.now - w.faultBegan).Seconds()
	running := 0
	for _, p := range w.procs {
		if !p.up {
			continue
		}
		running++
		rate := float64(p.bytes) / length
		r.BytesMean += rate
		r.BytesWorst = math.Max(r.BytesWorst, rate)
	}
	r.BytesMean /= math.Max(1, float64(running))
	var known []float64
	for d, died := range w.deadSince {
		worst := time.Duration(0)
		for i, p := range w.procs {
			if !p.up || !w.fault.mustStay(w, i) {
				continue
			}
			at, ok := p.deathKnownAt[d]
			if !ok {
				worst = -1
				break
			}
			worst = max(worst, at-died)
		}
		if worst < 0 {
			r.Undetected++
			continue
		}
		known = append(known, float64(worst)/float64(time.Millisecond))
	}
	slices.Sort(known)
	if len(known) > 0 {
		r.KnownMedianMS, r.KnownWorstMS = known[len(known)/2], known[len(known)-1]
	}
	if w.Policy == "heartbeats" {
		r.Views = 0
		return *r
	}
	var first *member.View
	r.Agreed = true
	for i, p := range w.procs {
		if !p.up || !w.fault.mustStay(w, i) {
			continue
		}
		v := p.member.View()
		if v == nil || !p.member.HasQuorum() {
			r.NotInTouch++
		}
		if v == nil || first != nil && (v.Number != first.Number || v.Lineage != first.Lineage) {
			r.Agreed = false
			continue
		}
		first = v
	}
	if first != nil && len(w.deadSince) > 0 {
		r.ViewWorstMS = r.SettledMS
	}
	return *r
}
