package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// worker is what this dispatcher knows of one worker.
type worker struct {
	Worker
	kind     *kind
	nominal  float64       // size, as listed
	own      float64       // slots taken by own attempts that are out
	lag      float64       // own, smoothed to the age of a report
	lagAt    time.Duration // when lag was last moved
	others   float64       // slots taken by other dispatchers' jobs, as last seen
	seenAt   time.Duration // when that was
	last     float32       // last report of free slots
	heardAt  time.Duration // when that came, or when it was last asked for one
	slow     float64       // pace when it was last learnt
	slowAt   time.Duration // when that was
	down     bool          // no connection: out until a probe succeeds
	sick     bool          // in the list of those that are looked after
	fails    float64       // recent failures, as of failedAt
	failedAt time.Duration
	cut      bool          // the last failure was one to connect
	fullTill time.Duration // until when a queue that a job met there is believed in
	waits    int           // own attempts there that have not started in time
	errs     way           // share of recent attempts there that may have run and were not served
	outTill  time.Duration // left out until then, or next probe of a worker that is down
	turn     int           // the last turn that it got while cold
	replaced bool          // by a new process
	lostAt   time.Duration // when operators let it serve again: it may have started anew by then
}

// kind is what this dispatcher knows of the workers of one kind.
type kind struct {
	slots  float64 // of a worker: the most ever seen free; 0 while unknown
	usual  float64 // mean slots taken by other dispatchers' jobs
	seen   int     // reports in that mean
	room   float64 // of a worker: jobs that it takes, where it tells nothing of its slots
	slow   float64 // running time over the mean of its class
	built  float64 // slow, in the periods as they are
	served int     // jobs in that
}

// way is what this dispatcher knows of the way to a zone.
type way struct {
	share float64       // of recent attempts that were lost, up to a tenth: more would be held against it for long
	at    time.Duration // when that was
}

type attempt struct {
	w            *worker
	sent, began  time.Duration
	out, started bool
	called       bool          // withdrawn
	waits        bool          // it has not started in time
	wrote        time.Duration // when it was on its way; 0: not yet
	clean        bool          // known never to have run
	stuck        bool          // neither over nor given up, as far as is known
	tells        bool          // its running time can be told from its end
}

type request struct {
	Job
	c                 *Class
	class             int
	came, aim, end    time.Duration
	due               time.Duration // next look that is asked for
	size, need, worth float64
	tries             []attempt
	out               int
	late              bool
	held, done        bool
}

type periodKey struct {
	class int
	part  int // of the own zone, of all
}

// period is the order in which ready workers get their turns.
type period struct {
	members []*worker // by id
	turns   []int     // positions in members
	made    int       // from which list
}

// Dispatcher decides for one dispatcher process. It is not safe for concurrent use.
type Dispatcher struct {
	s       Settings
	do      Actions
	rng     *rand.Rand
	seed    uint64
	workers map[WorkerID]*worker
	known   []*worker // the same, by id
	sorted  []*worker // all known workers that are listed ready, by id
	ways    [256]way  // by zone
	queues  [2]way    // of the own zone and of all others: attempts that met a queue
	lists   int       // changes of the list so far
	kinds   map[int]*kind
	periods map[periodKey]*period
	count   int                // jobs taken; kept when the list changes
	calm    int                // from which count on turns follow each other evenly again
	jobs    map[JobID]*request // with attempts out, or open
	lanes   [][]*request       // waiting here for room, by lane in the order in which they go
	held    int                // in all lanes
	free    []*request         // for reuse
	served  []int              // by class: jobs learnt from
	unit    []float64          // by class: typical running time, for each second of hint where hints come
	mean    float64            // mean running time of all jobs
	first   []time.Duration    // by class: the longest patience seen, that of a first try
	thin    bool               // own jobs are so small a part of all that they don't tell how full a worker is
	bias    float64            // sizes count to this power
	placed  float64            // share of recent jobs that found room as they came
	turned  float64            // share of recent attempts that were turned away
	tick    time.Duration      // between looks at what only waits
	// patience is how long a start may take where there is room: a few times the way there and back, of which the
	// time-out of a connection allows several.
	patience time.Duration
	ticking  bool                       // a tick is asked for
	blind    bool                       // discovery has yet to tell what it has: see Heard
	offline  map[WorkerID]time.Duration // since when operators have left it out, listed or not
	back     []WorkerID                 // no longer so, and not sent to since
	sick     []*worker                  // down or ejected
}

// Timers: ask for the list, tick, look at a job; the job's id is above these bits.
const (
	watchToken = iota
	tickToken
	jobToken
	heardToken
	tokenBits = 2
)

// ticks asks for the next tick while there is something to do at one.
func (d *Dispatcher) ticks() {
	if !d.ticking && len(d.sick)+d.held > 0 {
		d.ticking = true
		d.do.Timer(d.tick, tickToken)
	}
}

// number returns a listed weight, or 0 for what is none.
func number(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// gain is the weight of the next of n values in a mean: an equal part, later at least a given one.
func gain(n *int, least float64) float64 {
	*n++
	return max(least, 1/float64(*n))
}

// sortReady lists the workers that may be sent to in the order of their ids.
func (d *Dispatcher) sortReady() {
	byID := func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(d.known, byID) {
		slices.SortFunc(d.known, byID)
	}
	d.sorted = d.sorted[:0]
	for _, w := range d.known {
		if d.allowed(w) {
			d.sorted = append(d.sorted, w)
		}
	}
}

// newWorker makes a record of a worker that is new or whose process restarted.
func (d *Dispatcher) newWorker(e Worker) *worker {
	w := &worker{kind: d.kindOf(e.Kind), slow: 1, turn: math.MinInt32} // it had none: the next is no second one
	w.others = w.kind.usual
	if old := d.workers[e.ID]; old != nil {
		w.nominal, w.slow, w.slowAt = old.nominal, old.slow, old.slowAt
		old.State, old.replaced = Removed, true // attempts that are out keep pointing at the old process
	}
	d.workers[e.ID] = w
	d.known = append(d.known, w)
	return w
}

// gone notes that the list has a worker no more; nil: it never had.
func (w *worker) gone() {
	if w != nil {
		w.State = Removed
	}
}

// changed follows a change of the workers known or allowed: records of those that are gone go too.
func (d *Dispatcher) changed(now time.Duration) {
	d.known = slices.DeleteFunc(d.known, func(w *worker) bool {
		if w.State == Removed && !w.replaced {
			delete(d.workers, w.ID)
		}
		return w.State == Removed
	})
	d.sortReady()
	d.lists++ // periods are made anew when next used
	d.drain(now)
}

// waits notes whether an attempt waits at its worker though its start is due.
func (a *attempt) wait(waits bool) {
	if a.waits != waits {
		a.waits = waits
		a.w.waits++
		if !waits {
			a.w.waits -= 2
		}
	}
}

// can: the worker runs jobs of the class.
func (d *Dispatcher) can(w *worker, class int) bool {
	kind := d.s.Classes[class].Kind
	return (kind < 0 || w.Kind == kind) && (w.Runs == nil || class < len(w.Runs) && w.Runs[class])
}

func (d *Dispatcher) periodOf(class, part int) *period {
	key := periodKey{class, part}
	if d.periods[key] == nil {
		d.periods[key] = &period{}
	}
	return d.periods[key]
}

func (d *Dispatcher) kindOf(n int) *kind {
	k := d.kinds[n]
	if k == nil {
		k = &kind{slow: 1, built: 1, room: threshold + 1}
		d.kinds[n] = k
	}
	return k
}

// draw is a seeded choice between 0 and 1, the same for the same key.
func (d *Dispatcher) draw(key uint64) float64 {
	x := (d.seed ^ key) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return float64(x>>11) / (1 << 53)
}

// trace returns the first attempt that may have run, or nil.
func (r *request) trace() *attempt {
	for i := range r.tries {
		if !r.tries[i].clean {
			return &r.tries[i]
		}
	}
	return nil
}

// find returns an open or running job's attempt, or nil.
func (d *Dispatcher) find(id JobID, n int) (*request, *attempt) {
	r := d.jobs[id]
	if r == nil || n < 0 || n >= len(r.tries) {
		return nil, nil
	}
	return r, &r.tries[n]
}

// newRequest keeps a job as an open request. It uses one again that is no longer needed, if there is one.
func (d *Dispatcher) newRequest(now time.Duration, j Job) *request {
	n := len(d.free)
	if n == 0 {
		d.free = append(d.free, &request{tries: make([]attempt, 0, min(d.s.MaxAttempts, 8))})
		n = 1
	}
	r := d.free[n-1]
	d.free = d.free[:n-1]
	class := j.Class
	if class < 0 || class >= len(d.s.Classes)-1 {
		class = len(d.s.Classes) - 1 // outside the settings
	}
	*r = request{Job: j, c: &d.s.Classes[class], class: class, came: now, end: now + j.Left, size: 1,
		need: max(1, j.Slots, j.Memory), tries: r.tries[:0]}
	if j.Hint > 0 {
		r.size = j.Hint.Seconds()
	}
	d.jobs[j.ID] = r
	return r
}

func (d *Dispatcher) unhold(r *request) {
	if r.held {
		r.held = false
		lane := &d.lanes[r.c.Lane]
		at := slices.Index(*lane, r)
		*lane = slices.Delete(*lane, at, at+1)
		d.held--
	}
}

// forget drops a closed job that has no attempt out.
func (d *Dispatcher) forget(r *request) {
	if r.done && r.out == 0 && d.jobs[r.ID] == r {
		delete(d.jobs, r.ID)
		d.free = append(d.free, r)
	}
}

// Fleet counts the listed workers, and those of them that this dispatcher avoids.
func (d *Dispatcher) Fleet(now time.Duration) (listed, avoided int) {
	for _, w := range d.known {
		if w.State != Removed {
			if listed++; d.offline[w.ID] > 0 || d.out(now, w) {
				avoided++
			}
		}
	}
	return listed, avoided
}

// HasList says whether work may be sent by the list that is held.
func (d *Dispatcher) HasList() bool { return !d.blind }

// JobOf returns the job that a timer's token is about, if it is about one. Once the job is answered and has no attempt
// out the timer is of no use.
func JobOf(token uint64) (JobID, bool) {
	return JobID(token >> tokenBits), token&(1<<tokenBits-1) == jobToken
}

// Progress notes how far an attempt has come.
func (d *Dispatcher) Progress(now time.Duration, id JobID, n int, share float64) {}

// Accepted notes that an attempt's answer streams to the client: no deadline holds any more.
func (d *Dispatcher) Accepted(now time.Duration, id JobID, n int) {
	if r := d.jobs[id]; r != nil {
		d.unhold(r)
		r.done = true
	}
}

// Disconnected notes that the client has gone.
func (d *Dispatcher) Disconnected(now time.Duration, id JobID) {
	if r := d.jobs[id]; r != nil {
		d.close(r)
		d.forget(r)
	}
}

// New returns a Dispatcher that acts through do. Random numbers are drawn from the seed alone.
func New(s Settings, seed uint64, do Actions) *Dispatcher {
	d := &Dispatcher{s: s, do: do, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, placed: 1,
		workers: map[WorkerID]*worker{}, kinds: map[int]*kind{}, periods: map[periodKey]*period{},
		jobs: map[JobID]*request{}, offline: map[WorkerID]time.Duration{}}
	d.s.Tick = max(s.Tick, time.Millisecond)
	// Times grow with the number of dispatchers: an absurd one must not overflow them.
	d.s.Dispatchers, d.s.MaxAttempts = min(max(s.Dispatchers, 1), 1<<16), max(s.MaxAttempts, 1)
	d.assume()
	for i := range d.s.Classes {
		c := &d.s.Classes[i]
		c.Lane = max(c.Lane, 0)
		d.lanes = append(d.lanes, make([][]*request, max(0, c.Lane+1-len(d.lanes)))...)
	}
	d.served = make([]int, len(d.s.Classes))
	d.first = make([]time.Duration, len(d.s.Classes))
	d.s.Number = max(s.Number, 0) % d.s.Dispatchers
	return d
}
