// Package sim simulates a deployment in virtual time: clients, dispatchers, the network, boxes (workers), discovery and faults.
//
// Each simulated dispatcher runs the real decision module, or another Policy for comparison. There is one goroutine and no
// clock: a run is a function of its World and seed, and the same on every machine, whatever GOMAXPROCS is. Every use of
// randomness has a stream of its own, so that a change in one place does not alter the draws elsewhere.
//
// The model is simple on purpose; the doc comments of the fields define each quantity. It does not depend on the planner.
package sim

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"liftgauge/balance"
)

// Dist is a distribution of positive values by its mean and shape.
type Dist struct {
	Mean  float64
	Shape Shape
	// Spread is the standard deviation over the mean, for Lognormal; for Pareto the tail's exponent, over 1.
	Spread float64
}

// Shape is the shape of a Dist.
type Shape uint8

// The shapes of a Dist.
const (
	Fixed Shape = iota
	Exponential
	Lognormal
	Pareto // heavy tail
)

// Kind is a kind of box.
type Kind struct {
	Name  string
	Cores int     // jobs that run in parallel at full speed; more jobs share the cores
	Slots int     // jobs that run in parallel
	Queue int     // jobs that wait for a slot; further ones are turned away
	Speed float64 // work that a core does in a second
	// Spread is the standard deviation over the mean of the speeds of individual boxes.
	Spread      float64
	Connections int // connections that a box accepts; 0: unlimited
	// Crowding is the overhead of running more jobs than cores: with twice as many jobs as cores, the speed of all is divided by
	// 1 + Crowding.
	Crowding float64
	// ColdSpeed is the share of its speed at which a box starts, and WarmUpTime how long it takes to reach full speed; 0: as in
	// Rules, which is the worst that they allow.
	ColdSpeed  float64
	WarmUpTime time.Duration
	// A box stalls every StallEvery, for StallFor, both in the mean; 0: never.
	StallEvery, StallFor time.Duration
	// IgnoresCancel means that a job that has started runs on when it is cancelled; a queued one is still removed.
	IgnoresCancel bool
}

// Box is a worker.
type Box struct {
	Name    string
	Station int
	Kind    int
	Cell    int
	Speed   float64 // of this box; 0: drawn from its kind
	// JoinsAt is when the box first starts, cold; 0: it is there from the beginning.
	JoinsAt time.Duration
	// ErrorShare is the share of its jobs that end in an error once their work is done.
	ErrorShare float64
}

// Class is a class of jobs: the settings for the decision module and the properties of the jobs.
type Class struct {
	balance.Class
	Name string
	Work Dist // seconds at speed 1
	// HintSpread is the error of the hints, as the standard deviation of their logarithm. Negative: no hints.
	HintSpread float64
	// AttemptSpread is how far the work of an attempt deviates from the job's, as the standard deviation of the ratio's logarithm.
	AttemptSpread float64
}

// Tenant is a tenant of the deployment.
type Tenant struct {
	Name  string
	Share float64 // of the capacity of all boxes
	Quota float64 // seconds of work per second within its share; jobs beyond it are worth Goal.OverShare
}

// Report describes the load report that a box adds to the outcome of an attempt and to the answer to a probe. It shows the
// box's last sample of its load, which becomes visible only after a delay.
type Report struct {
	Fields   []string      // in this order: free slots, queue, latency_ms, eps, util
	Interval time.Duration // between two samples
	Delay    time.Duration
	Noise    float64 // relative standard deviation of each value
}

// Goal defines a day's score: the weights of its parts, and the costs that are subtracted for crossings, waste and the like.
type Goal struct {
	Whole, Window, Class, Tenant          float64 // weights of the service of the whole day, its worst window, the worst class and the worst tenant
	Cross, Waste, Late, Probe, Connection float64 // costs if every job crosses once, as much work is wasted as offered, every job is late, and for one probe and one connection per job
	OverShare                             float64 // value factor of a job beyond its tenant's share
}

// Rules are the rules of the deployment, which the decision module receives too.
type Rules struct {
	DrainGrace     time.Duration // time after the notification of a drain during which jobs may still be sent
	StartCapacity  float64       // share of its speed at which a box starts
	WarmWithin     time.Duration
	OverloadFactor float64       // a cold box crashes when it is sent more than this many times the work that it can do
	OverloadTime   time.Duration // within this time
	RestartAfter   time.Duration // of a box that crashed under overload
}

// Arrival is one job of a client, with the time at which it is first sent.
type Arrival struct {
	At        time.Duration
	Class     int
	Station   int // of the client
	Tenant    int
	Work      float64 // seconds at speed 1
	Hint      time.Duration
	Timeout   time.Duration // how long the client waits, including retries
	Slots     int           // that the job occupies while it runs; 0: one
	OverQuota bool          // beyond its tenant's share
}

// Retry is how clients retry when a job is refused or fails. Clients never retry an unsafe job that failed.
type Retry struct {
	MaxRetries int           // retries after the first try
	Pause      time.Duration // before the first retry; doubled before each further one
	TryTimeout time.Duration // how long a client waits for one try; 0: until the job's timeout
	// HonorsRetryAfter means that clients wait at least the time given with a refusal, MarksRetries that they mark retries as such.
	HonorsRetryAfter, MarksRetries bool
}

// Effect is the effect of a fault.
type Effect uint8

// The effects of faults.
const (
	BoxCrash           Effect = iota // a box crashes and its connections are reset; it restarts cold after For
	BoxVanishes                      // a box becomes unresponsive and loses its jobs; it restarts cold after For
	BoxDrains                        // a box is listed as draining, finishes its jobs, and restarts cold after For
	BoxesSlow                        // every box runs at Factor of its speed for For
	StationBoxes                     // all boxes of a station vanish and restart cold after For
	StationClients                   // a station's clients send nothing for For
	StationPartition                 // a station is cut off from the others for For
	Burst                            // arrivals come Factor times as often; applied by the generator of the arrivals, not by the simulator
	DispatcherCrash                  // a dispatcher crashes; its clients use others; it restarts after For, or never if For is 0
	DispatcherShutdown               // a dispatcher is restarted as planned: it gets no new jobs, has 3.7 s to finish its jobs, and starts again after For
	BoxPartition                     // a box is cut off from the network for For; running jobs continue
	DiscoveryMoves                   // discovery moves: every dispatcher requests the list again
	ListsDelayed                     // list changes are Factor times as late for For
	ConnectionResets                 // for For, this share (Factor) of the requests have their connection reset but run all the same
	RepliesLost                      // for For, this share (Factor) of the replies is lost
	BoxStalls                        // a box stalls for For: it accepts jobs but answers neither them nor probes
)

// Fault is a fault that happens during a run.
type Fault struct {
	At     time.Duration
	Effect Effect
	Target int // box, station or dispatcher
	For    time.Duration
	Factor float64
}

// World is the complete input of a run except for the seed.
type World struct {
	Stations    int
	OneWay      [][]time.Duration // one-way delay between stations; inside a station on the diagonal
	Jitter      float64           // standard deviation of the logarithm of the delay
	Kinds       []Kind
	Boxes       []Box
	Classes     []Class
	Rules       Rules
	Dispatchers []int // station of each dispatcher
	// Shares are the relative traffic of the dispatchers of a station; nil: equal.
	Shares          []float64
	Arrivals        []Arrival
	Retry           Retry
	Faults          []Fault
	Lag             time.Duration // from a change until discovery reports it
	UnresponsiveLag time.Duration // the same for an unresponsive box; 0: as Lag
	ListsPushed     bool          // discovery sends lists to all dispatchers without a request
	NoStartReports  bool          // boxes do not report the start of a job
	Progress        time.Duration // interval at which boxes report the progress of a running job; 0: never
	Report          *Report       // nil: boxes do not report their load
	Tenants         []Tenant
	Goal            Goal
	ListTime        time.Duration    // time that discovery takes for one call; it handles calls one at a time
	ListTimeout     time.Duration    // a call that would wait longer fails after this time; 0: no limit
	ConnectTimeout  time.Duration    // for opening a connection
	Handshake       int              // round trips to open a connection; 0: one
	ValuePerWork    bool             // a class's value is per second of work, not per job
	MaxAttempts     int              // per job
	Settings        balance.Settings // other settings of the decision module; classes, rules and numbers are filled in
	Policy          func(s balance.Settings, seed uint64, actions balance.Actions) Policy
	// MembershipDelay is the time from a dispatcher's crash or start until the others use the new number of live dispatchers; 0:
	// they always use the configured number.
	MembershipDelay time.Duration
	End             time.Duration // latest end of the run, which ends earlier when no job is open
	Window          time.Duration // length of the windows in the result; 0: 10 s
	// OnJobEnd, if set, is called at the end of every job, with its index in Arrivals.
	OnJobEnd func(arrival int, at time.Duration, end End)
}

// Policy makes the decisions of one dispatcher. *balance.Dispatcher is the real implementation.
type Policy interface {
	Start(now time.Duration)
	List(now time.Duration, form balance.ListKind, entries []balance.Worker)
	Job(now time.Duration, j balance.Job)
	Written(now time.Duration, id balance.JobID, n int, fresh bool)
	Started(now time.Duration, id balance.JobID, n int)
	Progress(now time.Duration, id balance.JobID, n int, share float64)
	Outcome(now time.Duration, o balance.Outcome)
	Probed(now time.Duration, id balance.WorkerID, status balance.Status, report []float32)
	Timer(now time.Duration, token uint64)
	Disconnected(now time.Duration, id balance.JobID)
}

// Module is the decision module as a Policy.
func Module(s balance.Settings, seed uint64, actions balance.Actions) Policy {
	return balance.New(s, seed, actions)
}

// Stream returns the random number stream with a name, which is independent of all others.
func Stream(seed uint64, name string) *rand.Rand { return stream(seed, name) }

func stream(seed uint64, name string) *rand.Rand {
	text := binary.BigEndian.AppendUint64(nil, seed)
	return rand.New(rand.NewChaCha8(sha256.Sum256(append(text, name...))))
}

// event is an action at a time. Events of the same time run in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// run is the state of a running simulation.
type run struct {
	*World
	seed            uint64
	now             time.Duration
	seq             uint64
	queue           events
	networkRand     *rand.Rand
	errorRand       *rand.Rand
	attemptRand     *rand.Rand
	reportRand      *rand.Rand
	boxes           []*box
	dispatchers     []*dispatcher
	openJobs        int // jobs that have not ended
	arrived         int // number of Arrivals so far
	speedFactor     float64
	partitioned     []int // by station: active faults that cut its links
	mutedClients    []int // by station: active faults that stop its clients
	discoveryFreeAt time.Duration
	discoveryCalls  perSecond
	result          *Result
	runCounts       []uint8 // by arrival: how often the job ran
	nextDispatcher  []int   // by station: position in the round robin over its dispatchers
	frontRand       *rand.Rand
	lagFactor       float64 // factor on the lag of discovery
	resetShare      float64 // share of the requests that are reset
	lostReplyShare  float64 // share of the outcomes that are lost
	loads           [][]float64
}

// epoch is the start of a run on the decision module's clock. A box without a listed start time (0) started long before it and
// counts as warm.
const epoch = 1000 * time.Hour

// Run simulates a World with a seed.
func Run(w *World, seed uint64) *Result {
	r := &run{World: w, seed: seed, networkRand: stream(seed, "network"), errorRand: stream(seed, "errors"), attemptRand: stream(seed, "attempts"), reportRand: stream(seed, "reports"),
		frontRand: stream(seed, "front"), speedFactor: 1, lagFactor: 1, partitioned: make([]int, w.Stations), mutedClients: make([]int, w.Stations),
		runCounts: make([]uint8, len(w.Arrivals)), nextDispatcher: make([]int, w.Stations)}
	r.result = newResult(w)
	speeds := stream(seed, "speeds")
	for i, b := range w.Boxes {
		k := w.Kinds[b.Kind]
		if b.Speed == 0 {
			b.Speed = max(k.Speed*(1+k.Spread*speeds.NormFloat64()), k.Speed/10)
		}
		r.boxes = append(r.boxes, &box{Box: b, r: r, kind: k, id: balance.WorkerID(i + 1), state: balance.Ready, up: b.JoinsAt == 0})
		r.result.Boxes = append(r.result.Boxes, BoxResult{Name: b.Name, Station: b.Station, Kind: b.Kind})
	}
	for i, b := range r.boxes {
		b.result = &r.result.Boxes[i]
		if b.JoinsAt > 0 {
			r.at(b.JoinsAt, b.restart)
		}
	}
	for i, station := range w.Dispatchers {
		r.dispatchers = append(r.dispatchers, newDispatcher(r, i, station))
	}
	for _, d := range r.dispatchers {
		d.start(true)
	}
	stalls := stream(seed, "stalls")
	for _, b := range r.boxes {
		b.scheduleStalls(stalls)
		b.sampleLoad()
	}
	for _, f := range w.Faults {
		r.at(f.At, func() { r.fault(f) })
	}
	r.scheduleArrival()
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		if w.End > 0 && e.at > w.End || r.openJobs == 0 && r.arrived == len(w.Arrivals) {
			break
		}
		r.now = e.at
		e.do()
		r.result.Events++
	}
	r.finish()
	return r.result
}

// at schedules an event at a time, or now if that has passed.
func (r *run) at(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{max(at, r.now), r.seq, do})
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// scheduleArrival schedules the next arrival. Only one is scheduled at a time, so that the queue stays short.
func (r *run) scheduleArrival() {
	if r.arrived == len(r.Arrivals) {
		return
	}
	n := r.arrived
	r.at(r.Arrivals[n].At, func() {
		r.arrived++
		r.arrive(n)
		r.scheduleArrival()
	})
}

// delay returns how long a message sent now takes between two stations; ok is false if it never arrives.
func (r *run) delay(from, to int) (d time.Duration, ok bool) {
	if from != to && (r.partitioned[from] > 0 || r.partitioned[to] > 0) {
		return 0, false
	}
	d = r.OneWay[from][to]
	if r.Jitter > 0 && d > 0 {
		d = time.Duration(float64(d) * lognormal(r.networkRand, r.Jitter))
	}
	return d, true
}
