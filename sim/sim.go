// Package sim plays a deployment in virtual time: clients, dispatchers, the network, boxes, discovery, and what goes wrong.
//
// Each simulated dispatcher holds the real decision module, or another Policy to compare it with. There is one goroutine and
// no clock: a run is a function of its World and seed, and the same on every machine, whatever GOMAXPROCS is. Every use of
// chance has a stream of its own, so that a change in one place leaves the draws of all others alone.
//
// The model is simple on purpose; doc comments on the fields say what each figure means. It knows nothing of planners.
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

// Shape is the form of a Dist.
type Shape uint8

// The shapes.
const (
	Fixed Shape = iota
	Exponential
	Lognormal
	Pareto // heavy tail
)

// Kind is a kind of box.
type Kind struct {
	Name  string
	Cores int     // jobs that run at full speed side by side; more share them
	Slots int     // jobs that run side by side at all
	Queue int     // jobs that wait for a slot; one more is turned away unseen
	Speed float64 // work done in a second by a core
	// Spread is the standard deviation of single boxes' speeds over the mean.
	Spread      float64
	Connections int // that a box takes; 0: any number
	// Crowding is what running twice as many jobs as there are cores costs, as a share of the speed of all.
	Crowding float64
	// ColdFrom is the share of its speed that a box starts at, and ColdFor how long it is cold; 0: as the rules say, which is the worst
	// that they allow.
	ColdSpeed  float64
	WarmUpTime time.Duration
	// Every so often, in the mean, a box stands still for some time; 0: never.
	StallEvery, StallFor time.Duration
	// RunsOn says that work that was begun goes on when it is withdrawn; what waits leaves the queue all the same.
	IgnoresCancel bool
}

// Box is one box.
type Box struct {
	Name    string
	Station int
	Kind    int
	Cell    int
	Speed   float64 // of this one; 0: drawn from its kind
	// Joins is when it is first there, cold; 0: from the beginning.
	JoinsAt time.Duration
	// Errs is the share of its jobs that end in an error, when their work is done.
	ErrorShare float64
}

// Class is a class of jobs: what the module is told, and what the jobs are like.
type Class struct {
	balance.Class
	Name string
	Work Dist // seconds at speed 1
	// HintSpread is how far hints are off: the standard deviation of their logarithm. Negative: no hints.
	HintSpread float64
	// AttemptSpread is how far the running time of each attempt is off the job's: the standard deviation of its logarithm.
	AttemptSpread float64
}

// Tenant is one of those who share the deployment.
type Tenant struct {
	Name  string
	Share float64 // of what all boxes can do
	Quota float64 // seconds of work in a second within its share; what it asks for beyond is worth Goal.OverShare
}

// Report is the word on its load that a box adds to what ends an attempt and to the answer to a probe. It shows the box as it
// was when it last looked, and what it looks at takes a while to be seen.
type Report struct {
	Fields   []string      // in their order: free slots, queue, latency_ms, eps, util
	Interval time.Duration // between two looks
	Delay    time.Duration
	Noise    float64 // standard deviation of each value over itself
}

// Goal is what a day's figure is made of: its parts, and what is taken off it for what is done on the way, as a share of what was asked for.
type Goal struct {
	Whole, Window, Class, Tenant          float64 // weights of the whole day, its worst window, the worst class and the worst tenant
	Cross, Waste, Late, Probe, Connection float64 // for all jobs' crossing once, as much work wasted, all ending late, a probe and a connection a job
	OverShare                             float64 // what a job beyond its tenant's share is worth
}

// Rules are what the deployment asks for; the module knows them too.
type Rules struct {
	DrainGrace     time.Duration // after a drain is told nothing new may be sent for longer
	StartCapacity  float64       // share of its speed at which a box starts
	WarmWithin     time.Duration
	OverloadFactor float64       // work sent to a cold box beyond so many times what it can do,
	OverloadTime   time.Duration // within so long, and it falls over
	RestartAfter   time.Duration // of a box that fell over, and of one that died if it comes back
}

// Arrival is one job of a client, as if nothing held it up.
type Arrival struct {
	At        time.Duration
	Class     int
	Station   int // of the client
	Tenant    int
	Work      float64 // seconds at speed 1
	Hint      time.Duration
	Timeout   time.Duration // how long the client waits in all
	Slots     int           // that it takes while it runs; 0: one
	OverQuota bool          // beyond its tenant's share
}

// Retry is what clients do when a job is refused or fails. An unsafe job that failed is never tried again by a client.
type Retry struct {
	MaxRetries int           // tries beyond the first
	Pause      time.Duration // before the first of them, twice as long before each further one
	TryTimeout time.Duration // how long a client waits for one try; 0: as long as for all
	// Advice says that clients stay away as long as they are told to, and Marks that they mark what they send again.
	HonorsRetryAfter, MarksRetries bool
}

// Effect is what a fault does.
type Effect uint8

// The effects.
const (
	BoxCrash           Effect = iota // its connections are reset; it comes back cold after For
	BoxVanishes                      // it says nothing; it comes back cold after For
	BoxDrains                        // discovery tells, it finishes what it has, restarts, and comes back cold after For
	BoxesSlow                        // every box runs at Factor of its speed for For
	StationBoxes                     // all boxes of a station vanish for For and come back cold
	StationClients                   // a station's clients send nothing for For
	StationPartition                 // nothing passes between a station and the others for For
	Burst                            // arrivals come Factor times as often; to be worked into the arrivals by who makes them
	DispatcherCrash                  // one dies; its clients go to another of their station after Rules.RestartAfter, or fail
	DispatcherShutdown               // one is restarted as planned: it gets no new jobs, has 3.7 s for those it holds, and is back For later
	BoxPartition                     // one is not heard of for For, and nothing reaches it; what it runs goes on
	DiscoveryMoves                   // discovery moves: every dispatcher calls anew
	ListsDelayed                     // discovery tells Factor times as late for For
	ConnectionResets                 // for For, this Factor of the requests have their connection reset and run all the same
	RepliesLost                      // for For, this Factor of the ends is never heard of
	BoxStalls                        // one stands still for For: it takes jobs, and nothing comes of them, nor of probes
)

// Fault is something that goes wrong.
type Fault struct {
	At     time.Duration
	Effect Effect
	Target int // box, station or dispatcher
	For    time.Duration
	Factor float64
}

// World is all that a run is made of.
type World struct {
	Stations    int
	OneWay      [][]time.Duration // between stations; the own one on the diagonal
	Jitter      float64           // standard deviation of the logarithm of a way's time
	Kinds       []Kind
	Boxes       []Box
	Classes     []Class
	Rules       Rules
	Dispatchers []int // the station of each
	// Shares are how much traffic each dispatcher gets beside the others of its station; nil: all alike.
	Shares          []float64
	Arrivals        []Arrival
	Retry           Retry
	Faults          []Fault
	Lag             time.Duration // from a change until discovery tells it
	UnresponsiveLag time.Duration // the same of a box that vanished or hangs; 0: as any
	ListsPushed     bool          // lists come to all dispatchers by themselves
	NoStartReports  bool          // boxes do not tell when a job begins
	Progress        time.Duration // from a job's beginning on they tell so often how far it is; 0: never
	Report          *Report       // nil: boxes report nothing
	Tenants         []Tenant
	Goal            Goal
	ListTime        time.Duration    // discovery's work for one call, which are done in turn
	ListTimeout     time.Duration    // a call that would wait longer fails then; 0: none does
	ConnectTimeout  time.Duration    // time-out of a connection
	Handshake       int              // round trips until a new connection carries a request; 0: one
	ValuePerWork    bool             // worth counts for each second of work, not for each job
	MaxAttempts     int              // at most, for each job
	Settings        balance.Settings // what else the module is told; classes, rules and numbers are filled in
	Policy          func(s balance.Settings, seed uint64, actions balance.Actions) Policy
	// MembershipDelay is how long after a dispatcher's death or return the others go by who lives; 0: they go by the settings always.
	MembershipDelay time.Duration
	End             time.Duration // the run ends when nothing is open any more, and then at the latest
	Window          time.Duration // of the series in the result; 0: 10 s
	// Ended, if it is set, is told of every job's end, by its place among the arrivals.
	OnJobEnd func(arrival int, at time.Duration, end End)
}

// Policy decides for one dispatcher. *balance.Dispatcher is the one that counts.
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

// Stream is a source of chance with a name: nobody else draws from it.
func Stream(seed uint64, name string) *rand.Rand { return stream(seed, name) }

func stream(seed uint64, name string) *rand.Rand {
	text := binary.BigEndian.AppendUint64(nil, seed)
	return rand.New(rand.NewChaCha8(sha256.Sum256(append(text, name...))))
}

// event is something that happens at a time; among those of one time the one that was asked for first.
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

// run is a World that is being played.
type run struct {
	*World
	seed            uint64
	now             time.Duration
	seq             uint64
	queue           events
	network         *rand.Rand
	errors          *rand.Rand
	attempts        *rand.Rand
	reports         *rand.Rand
	boxes           []*box
	dispatchers     []*dispatcher
	openJobs        int // jobs without an end
	arrived         int // of Arrivals
	speedFactor     float64
	partitioned     []int // by station: faults that cut its links now
	mutedClients    []int // by station: faults that silence its clients now
	discoveryFreeAt time.Duration
	discoveryCalls  perSecond
	result          *Result
	runCounts       []uint8 // by arrival: how often it ran
	nextDispatcher  []int   // by station: turn among its dispatchers
	front           *rand.Rand
	lagFactor       float64 // by how much discovery is late
	resetShare      float64 // share of the requests that are reset
	lostReplyShare  float64 // share of the ends that are lost
	loads           [][]float64
}

// epoch is when runs begin on the module's clock: no box has started long before.
const epoch = 1000 * time.Hour

// Run plays a world.
func Run(w *World, seed uint64) *Result {
	r := &run{World: w, seed: seed, network: stream(seed, "network"), errors: stream(seed, "errors"), attempts: stream(seed, "attempts"), reports: stream(seed, "reports"),
		front: stream(seed, "front"), speedFactor: 1, lagFactor: 1, partitioned: make([]int, w.Stations), mutedClients: make([]int, w.Stations),
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

// at has something happen at a time, not before now.
func (r *run) at(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{max(at, r.now), r.seq, do})
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// next has the next job arrive. They come one after another, so that the queue stays short.
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

// way is how long a message takes between two stations now; ok false: it never arrives.
func (r *run) delay(from, to int) (d time.Duration, ok bool) {
	if from != to && (r.partitioned[from] > 0 || r.partitioned[to] > 0) {
		return 0, false
	}
	d = r.OneWay[from][to]
	if r.Jitter > 0 && d > 0 {
		d = time.Duration(float64(d) * lognormal(r.network, r.Jitter))
	}
	return d, true
}
