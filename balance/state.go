package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// worker is the state that this dispatcher keeps for one worker.
type worker struct {
	Worker
	kind          *kind
	nominal       float64       // listed weight
	ownSlots      float64       // slots in use by own active attempts
	ownDelayed    float64       // ownSlots, delayed by the age of a load report
	ownDelayedAt  time.Duration // when ownDelayed was last updated
	otherSlots    float64       // estimate of the slots in use by other dispatchers' jobs
	otherSlotsAt  time.Duration // when that was updated
	lastReport    float32       // last report of free slots
	reportedAt    time.Duration // when that came, or was last requested
	slowdown      float64       // running time over the usual one, at slowdownAt
	slowdownAt    time.Duration // when slowdown was last updated
	down          bool          // no connection: avoided until a probe succeeds
	tracked       bool          // in Dispatcher.excluded
	failures      float64       // decayed number of failures, as of failedAt
	failedAt      time.Duration
	unreachable   bool          // the last failure was that of a connection
	queueUntil    time.Duration // until when a queue that a job met there is assumed to last
	overdue       int           // own attempts there that did not start in time
	losses        rate          // of recent attempts there that may have run and were not served
	excludedUntil time.Duration // end of its exclusion, or next probe if it is down
	lastColdTurn  int           // job count at its last job, which limits the turns of a cold worker
	replaced      bool          // its process was replaced by a new one
	readmittedAt  time.Duration // when operators readmitted it: it may have restarted before
}

// kind is the state that this dispatcher keeps for the workers of one kind.
type kind struct {
	maxFree        float64 // most slots ever reported free by one worker; 0 while unknown
	meanOthers     float64 // mean slots of a worker in use by other dispatchers' jobs
	reports        int     // number of reports in that mean
	capacity       float64 // jobs that a worker runs at once, where slots are not reported
	slowdown       float64 // mean running time over that of the class
	periodSlowdown float64 // slowdown by which the present periods were made
	jobs           int     // number of jobs in slowdown
}

// rate is a decaying share of recent attempts that were lost or met a queue.
type rate struct {
	share float64       // as of the time at
	at    time.Duration // when share was updated
}

type attempt struct {
	w                 *worker
	sentAt, startedAt time.Duration
	active, started   bool
	cancelled         bool          // withdrawal requested
	overdue           bool          // it did not start in time
	writtenAt         time.Duration // when it was written to the connection; 0: not yet
	notRun            bool          // proved not to have run
	mayStillRun       bool          // the worker may run it still
	measurable        bool          // its end gives a running time
}

type request struct {
	Job
	rules                    *Class
	class                    int
	came, target, deadline   time.Duration
	timerAt                  time.Duration // when the next check is due; 0: no timer
	work, slotsNeeded, value float64
	attempts                 []attempt
	active                   int
	late                     bool
	queued, answered         bool
}

type periodKey struct {
	class int
	scope int // ownZone, wholeFleet or otherZones
}

// period is the order in which ready workers get their turns.
type period struct {
	members     []*worker // by id
	turns       []int     // indexes into members
	listVersion int       // version of the list from which it was made
}

// Dispatcher decides for one dispatcher process. It is not safe for concurrent use.
type Dispatcher struct {
	cfg           Settings
	actions       Actions
	rng           *rand.Rand
	seed          uint64
	workers       map[WorkerID]*worker
	all           []*worker // the same, ordered by id
	ready         []*worker // the workers that may be sent to, ordered by id
	zoneLosses    [256]rate // lost attempts by zone, at most a tenth: more would count against a zone for long
	queueRates    [2]rate   // attempts that met a queue, in the own zone and in all others
	listVersion   int       // number of changes that make periods stale
	kinds         map[int]*kind
	periods       map[periodKey]*period
	jobCount      int                // jobs received; kept when the list changes
	evenFrom      int                // job count from which turns follow each other evenly again
	jobs          map[JobID]*request // open, or with active attempts
	lanes         [][]*request       // queued jobs of each lane, in the order in which they are sent
	queued        int                // in all lanes
	freeRequests  []*request         // for reuse
	learnedJobs   []int              // by class: jobs in unitTime
	unitTime      []float64          // by class: typical running time in seconds, per second of hint where hints are given
	meanTime      float64            // mean running time of all jobs, in seconds
	longestLeft   []time.Duration    // by class: the longest Job.Left seen, that of a first submission
	sparse        bool               // own jobs are too small a part of all to show how full a worker is
	sizeExponent  float64            // weights are raised to this power
	placedShare   float64            // share of recent jobs that were sent on arrival
	rejectedShare float64            // share of recent attempts that were rejected as full
	tickInterval  time.Duration      // interval at which queued jobs and excluded workers are checked
	// startTimeout is how long a start may take where there is room: a few round trips, of which the time-out of a
	// connection allows several.
	startTimeout time.Duration
	tickPending  bool                       // a timer for the next tick is set
	awaitingList bool                       // discovery has not reported its list yet: see ListComplete
	offlineSince map[WorkerID]time.Duration // when operators excluded a worker, listed or not
	readmitted   []WorkerID                 // no longer offline, and without a job since
	excluded     []*worker                  // excluded after failures
}

// Kinds of timers, in the low bits of a token; the id of the job is above them.
const (
	watchToken = iota
	tickToken
	jobToken
	listTimeoutToken
	tokenBits = 2
)

// scheduleTick sets the timer of the next tick if anything is to be done then.
func (d *Dispatcher) scheduleTick() {
	if !d.tickPending && len(d.excluded)+d.queued > 0 {
		d.tickPending = true
		d.actions.Timer(d.tickInterval, tickToken)
	}
}

// validWeight returns a listed weight, or 0 if it is not a positive finite number.
func validWeight(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sampleWeight counts a value in n and returns its weight in a mean: an equal part, but not below least.
func sampleWeight(n *int, least float64) float64 {
	*n++
	return max(least, 1/float64(*n))
}

// sortReady lists the workers that may be sent to, ordered by id.
func (d *Dispatcher) sortReady() {
	byID := func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(d.all, byID) {
		slices.SortFunc(d.all, byID)
	}
	d.ready = d.ready[:0]
	for _, w := range d.all {
		if d.allowed(w) {
			d.ready = append(d.ready, w)
		}
	}
}

// newWorker creates the state of a worker that is new or whose process restarted.
func (d *Dispatcher) newWorker(e Worker) *worker {
	w := &worker{kind: d.kindOf(e.Kind), slowdown: 1, lastColdTurn: math.MinInt32} // none: its first turn is never too early
	w.otherSlots = w.kind.meanOthers
	if old := d.workers[e.ID]; old != nil {
		w.nominal, w.slowdown, w.slowdownAt = old.nominal, old.slowdown, old.slowdownAt
		old.State, old.replaced = Removed, true // active attempts still point at the old process
	}
	d.workers[e.ID] = w
	d.all = append(d.all, w)
	return w
}

// remove marks a worker that is no longer listed; a nil worker was never listed.
func (w *worker) remove() {
	if w != nil {
		w.State = Removed
	}
}

// listChanged applies a change of the known or allowed workers, and drops the state of removed ones.
func (d *Dispatcher) listChanged(now time.Duration) {
	d.all = slices.DeleteFunc(d.all, func(w *worker) bool {
		if w.State == Removed && !w.replaced {
			delete(d.workers, w.ID)
		}
		return w.State == Removed
	})
	d.sortReady()
	d.listVersion++ // periods are rebuilt when next used
	d.placeQueued(now)
}

// setOverdue records whether the attempt waits at its worker although its start is due.
func (a *attempt) setOverdue(overdue bool) {
	if a.overdue != overdue {
		a.overdue = overdue
		a.w.overdue++
		if !overdue {
			a.w.overdue -= 2
		}
	}
}

// runsClass reports whether the worker runs jobs of the class.
func (d *Dispatcher) runsClass(w *worker, class int) bool {
	kind := d.cfg.Classes[class].Kind
	return (kind < 0 || w.Kind == kind) && (w.Runs == nil || class < len(w.Runs) && w.Runs[class])
}

func (d *Dispatcher) periodOf(class, scope int) *period {
	key := periodKey{class, scope}
	if d.periods[key] == nil {
		d.periods[key] = &period{}
	}
	return d.periods[key]
}

func (d *Dispatcher) kindOf(n int) *kind {
	k := d.kinds[n]
	if k == nil {
		k = &kind{slowdown: 1, periodSlowdown: 1, capacity: threshold + 1}
		d.kinds[n] = k
	}
	return k
}

// draw returns a pseudo-random number between 0 and 1, the same for the same seed and key.
func (d *Dispatcher) draw(key uint64) float64 {
	x := (d.seed ^ key) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return float64(x>>11) / (1 << 53)
}

// firstMayHaveRun returns the first attempt that may have run, or nil.
func (r *request) firstMayHaveRun() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].notRun {
			return &r.attempts[i]
		}
	}
	return nil
}

// findAttempt returns an attempt of a known job, or nil.
func (d *Dispatcher) findAttempt(id JobID, number int) (*request, *attempt) {
	r := d.jobs[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil, nil
	}
	return r, &r.attempts[number]
}

// newRequest creates an open request for a job, in a recycled one if there is any.
func (d *Dispatcher) newRequest(now time.Duration, j Job) *request {
	n := len(d.freeRequests)
	if n == 0 {
		d.freeRequests = append(d.freeRequests, &request{attempts: make([]attempt, 0, min(d.cfg.MaxAttempts, 8))})
		n = 1
	}
	r := d.freeRequests[n-1]
	d.freeRequests = d.freeRequests[:n-1]
	class := j.Class
	if class < 0 || class >= len(d.cfg.Classes)-1 {
		class = len(d.cfg.Classes) - 1 // the class for jobs of unconfigured ones
	}
	*r = request{Job: j, rules: &d.cfg.Classes[class], class: class, came: now, deadline: now + j.Left, work: 1,
		slotsNeeded: max(1, j.Slots, j.Memory), attempts: r.attempts[:0]}
	if j.Hint > 0 {
		r.work = j.Hint.Seconds()
	}
	d.jobs[j.ID] = r
	return r
}

func (d *Dispatcher) dequeue(r *request) {
	if r.queued {
		r.queued = false
		lane := &d.lanes[r.rules.Lane]
		at := slices.Index(*lane, r)
		*lane = slices.Delete(*lane, at, at+1)
		d.queued--
	}
}

// recycle drops an answered job that has no active attempt, and keeps its request for reuse.
func (d *Dispatcher) recycle(r *request) {
	if r.answered && r.active == 0 && d.jobs[r.ID] == r {
		delete(d.jobs, r.ID)
		d.freeRequests = append(d.freeRequests, r)
	}
}

// Fleet returns the number of listed workers, and how many of them this dispatcher avoids.
func (d *Dispatcher) Fleet(now time.Duration) (listed, avoided int) {
	for _, w := range d.all {
		if w.State != Removed {
			if listed++; d.offlineSince[w.ID] > 0 || d.avoided(now, w) {
				avoided++
			}
		}
	}
	return listed, avoided
}

// HasList reports whether jobs may be sent according to the present list: a new process waits for discovery first.
func (d *Dispatcher) HasList() bool { return !d.awaitingList }

// JobOf returns the job to which a timer's token belongs, if any. Once the job is answered and has no active attempt,
// the timer has no effect.
func JobOf(token uint64) (JobID, bool) {
	return JobID(token >> tokenBits), token&(1<<tokenBits-1) == jobToken
}

// Progress notes how far an attempt has come.
func (d *Dispatcher) Progress(now time.Duration, id JobID, number int, share float64) {}

// Accepted notes that the answer of an attempt streams to the client: no deadline applies any more.
func (d *Dispatcher) Accepted(now time.Duration, id JobID, number int) {
	if r := d.jobs[id]; r != nil {
		d.dequeue(r)
		r.answered = true
	}
}

// Disconnected notes that the client has closed its connection.
func (d *Dispatcher) Disconnected(now time.Duration, id JobID) {
	if r := d.jobs[id]; r != nil {
		d.close(r)
		d.recycle(r)
	}
}

// New returns a Dispatcher that acts through actions. Its random numbers depend on the seed alone.
func New(s Settings, seed uint64, actions Actions) *Dispatcher {
	d := &Dispatcher{cfg: s, actions: actions, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, placedShare: 1,
		workers: map[WorkerID]*worker{}, kinds: map[int]*kind{}, periods: map[periodKey]*period{},
		jobs: map[JobID]*request{}, offlineSince: map[WorkerID]time.Duration{}}
	d.cfg.Tick = max(s.Tick, time.Millisecond)
	// Times grow with the number of dispatchers, which is limited so that they cannot overflow.
	d.cfg.Dispatchers, d.cfg.MaxAttempts = min(max(s.Dispatchers, 1), 1<<16), max(s.MaxAttempts, 1)
	d.setDefaults()
	for i := range d.cfg.Classes {
		c := &d.cfg.Classes[i]
		c.Lane = max(c.Lane, 0)
		d.lanes = append(d.lanes, make([][]*request, max(0, c.Lane+1-len(d.lanes)))...)
	}
	d.learnedJobs = make([]int, len(d.cfg.Classes))
	d.longestLeft = make([]time.Duration, len(d.cfg.Classes))
	d.cfg.Number = max(s.Number, 0) % d.cfg.Dispatchers
	return d
}
