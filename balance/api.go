// Package balance decides for one dispatcher which worker gets a job, when, and whether it is sent again.
//
// The host owns the clock, the network and the clients. It creates one Dispatcher for each dispatcher process, calls
// one method for each event with the time of the event, and performs the calls made on its Actions.
// A Dispatcher starts no goroutine, reads no clock and does no input or output. It is not safe for concurrent use.
package balance

import "time"

// JobID identifies one submission of a client's job. A resubmission has an id of its own.
type JobID uint64

// WorkerID identifies a worker; it stays the same when the worker's process restarts.
type WorkerID uint32

// Effect is the degree to which jobs of a class may be repeated.
type Effect uint8

// The effects. The zero value is the safest one.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // repeats are dropped within a scope of workers, for a time window
	Safe                 // may be repeated without limit
)

// DedupScope is the set of workers that drop the repeats of a keyed job.
type DedupScope uint8

// The scopes, from the narrowest.
const (
	DedupCell DedupScope = iota
	DedupZone
	DedupAll
)

// Class describes one class of jobs.
type Class struct {
	TargetLatency time.Duration // an answer within this time is in time
	RuntimeFactor float64       // the target grows by this many times the job's running time
	Value         float64       // of an answer in time
	LateValue     float64       // share of the value that a late answer still has
	Limit         time.Duration // how long a client waits, over all its submissions
	Effect        Effect
	DedupScope    DedupScope
	Window        time.Duration // how long repeats of a keyed job are dropped
	Kind          int           // the only kind of worker that runs it, or -1 for any
	Lane          int           // classes of one lane run on the same workers and share a queue, which does not block other lanes
	Streamed      bool
}

// Settings are the parameters of a dispatcher. New replaces missing ones by safe values.
type Settings struct {
	Classes        []Class
	Number         int // index of this dispatcher, from 0
	Dispatchers    int
	Zone           int
	Zones          int           // number of zones; 0 if unknown
	Tick           time.Duration // shortest time between two events
	ListOnRequest  bool          // the list of workers is sent only on request
	AskWithin      time.Duration
	ListInherited  bool // the list at the start is that of the process that this one takes over from
	WaitForList    bool // nothing is sent before the host calls ListComplete, or a timeout
	RoughWeights   bool // listed weights are approximate sizes
	ReportsStart   bool // workers report when a job starts
	ReportsWritten bool // the host calls Written once an attempt is sent; else it counts as sent at once
	ValuePerWork   bool // the value is per unit of work, not per job
	MarksRetry     bool // clients mark resubmissions
	// Load reports: the index of a value in Report, or -1.
	FreeSlots, FreeMemory int

	MaxAttempts    int
	ConnectTimeout time.Duration
	CanCancel      bool
	CanProbe       bool
	SecondCopies   bool          // two attempts of one job may be active together
	MaxExclusion   time.Duration // longest exclusion of a failed worker, about; 0 for no bound
	MaxRetryAfter  time.Duration

	DrainGrace     time.Duration
	StartCapacity  float64       // a worker starts with this share of its capacity
	WarmWithin     time.Duration // and has all of it after this time
	OverloadFactor float64       // a cold worker that gets more than so many times its present capacity,
	OverloadTime   time.Duration // for so long, fails from overload

	CrossZoneFee, WasteFee, ProbeFee, LateFee, HandshakeFee float64
}

// State is the listed state of a worker.
type State uint8

// The states of a listed worker.
const (
	Ready State = iota
	Draining
	Removed
)

// Worker is one entry of the list of workers.
type Worker struct {
	ID     WorkerID
	Zone   int
	Kind   int
	Cell   int
	State  State
	Weight float64
	Up     time.Duration // time of its last start; 0 for long ago
	Runs   []bool        // by class: whether it runs the jobs; nil if it runs all
	Slots  float64       // jobs that it runs at once; 0 if the host does not know
	Pulls  bool          // it requests each job when it is free, and runs one at a time
}

// ListKind is the kind of a list: how its entries are applied.
type ListKind uint8

// The kinds of lists.
const (
	ListFull    ListKind = iota // all workers; one that is missing was removed
	ListChanges                 // changed entries only
	ListCached                  // all workers as last known, possibly outdated
	ListFailed                  // a call for the list failed, or the watch broke; no entries
)

// Job is a client's job as it arrives.
type Job struct {
	ID     JobID
	Class  int
	Tenant int
	Left   time.Duration // remaining time for which the client waits
	Hint   time.Duration // expected work, 0 if unknown
	Slots  float64
	Memory float64
	Weight float64 // factor of the value of its class; 0 for 1
	Again  bool    // a resubmission by the client, if clients mark them
}

// Status is the result of an attempt or a probe.
type Status uint8

// The results. NotRun reports which of them prove that the job never ran.
const (
	OK            Status = iota + 1
	Errored              // the worker answered with an error
	Full                 // rejected without being run
	TimedOut             // no answer within the timeout
	ConnectFailed        // no connection
	Reset                // the connection broke
	Cancelled            // withdrawn by the dispatcher
	NotSent              // never sent to the worker
	Rejected             // the worker reports an invalid request: no other would run it, and no worker is at fault
)

// NotRun reports whether the result proves that the job never ran, provided that workers drop no job that they have
// started.
func (s Status) NotRun() bool { return s == Full || s == ConnectFailed || s == NotSent }

// Outcome is the end of an attempt.
type Outcome struct {
	Job     JobID
	Attempt int
	Worker  WorkerID
	Status  Status
	Took    time.Duration
	Closed  bool      // the job has its final answer
	Report  []float32 // the worker's load report; empty if none came
}

// Actions are the operations that a host performs for a Dispatcher. They are called only from within its methods.
type Actions interface {
	// Send starts the next attempt of the job (counted from 0), which ends after the timeout; 0 means the time left
	// to the client.
	Send(job JobID, worker WorkerID, timeout time.Duration)
	// Refuse answers that the job was not done and may be retried, after the wait if it is not 0.
	Refuse(job JobID, wait time.Duration)
	// Fail answers that the job failed, which leaves open whether it ran.
	Fail(job JobID)
	// Cancel withdraws one attempt.
	Cancel(job JobID, attempt int)
	// Probe requests the load report of a worker.
	Probe(worker WorkerID)
	// Timer requests a call of Dispatcher.Timer with the token.
	Timer(after time.Duration, token uint64)
	// Watch requests the changes of the list of workers from now on.
	Watch()
	// Log writes a line for the operators.
	Log(line string)
}
