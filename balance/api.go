// Package balance makes the decisions of one dispatcher that pushes jobs to workers.
//
// The host owns the clock, the network and the clients. It creates one Dispatcher for each dispatcher process, calls
// one method for each event with the time at which it happened, and carries out the calls made on its Actions.
// A Dispatcher starts no goroutine, reads no clock and does no input or output. It is not safe for concurrent use.
package balance

import "time"

// JobID names one try of a client's job. Every try has an id of its own.
type JobID uint64

// WorkerID names a worker; it stays the same when the worker's process restarts.
type WorkerID uint32

// Effect tells how far a class of jobs may be repeated.
type Effect uint8

// The effects. The zero value is the most careful one.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // repeats are dropped inside a group of workers, for a while
	Safe                 // may be repeated at will
)

// DedupScope tells which workers drop the repeats of a keyed job.
type DedupScope uint8

// The groups, from the narrowest.
const (
	DedupCell DedupScope = iota
	DedupZone
	DedupAll
)

// Class describes one class of jobs.
type Class struct {
	TargetLatency time.Duration // an answer within this time is in time
	RuntimeFactor float64       // the aim grows by this many times the job's own running time
	Value         float64
	LateValue     float64       // the share of the worth that a late answer still earns
	Limit         time.Duration // how long a client waits, over all its tries
	Effect        Effect
	DedupScope    DedupScope
	Window        time.Duration // how long repeats of a keyed job are dropped
	Kind          int           // the only kind of worker that runs it, or -1
	Lane          int           // classes of one lane run on the same workers; those of others don't wait behind them
	Streamed      bool
}

// Settings are what a dispatcher is told before it starts. New fills in a careful value for what is missing.
type Settings struct {
	Classes        []Class
	Number         int // of this dispatcher, from 0
	Dispatchers    int
	Zone           int
	Zones          int           // how many there are; 0 where that is not known
	Tick           time.Duration // the shortest time between two events
	ListOnRequest  bool          // the list of workers comes only to those who ask for it
	AskWithin      time.Duration
	ListInherited  bool // the list at the start is that of a process that this one takes over from
	WaitForList    bool // the host tells by Heard when discovery has told what it has; nothing is sent before
	RoughWeights   bool // listed weights are the size, more or less
	ReportsStart   bool // workers tell when a job starts
	ReportsWritten bool // the host tells by Written when an attempt is on its way; else it is so at once
	ValuePerWork   bool // worth counts for each unit of work, not for each job
	MarksRetry     bool // clients mark what they send again
	// Load reports: the place of a value in Report, or -1.
	FreeSlots, FreeMemory int

	MaxAttempts    int
	ConnectTimeout time.Duration
	CanCancel      bool
	CanProbe       bool
	SecondCopies   bool          // two attempts of one job may be out together
	MaxExclusion   time.Duration // at most between two probes of what cannot be reached; 0 for no bound
	MaxRetryAfter  time.Duration

	DrainGrace     time.Duration
	StartCapacity  float64       // a worker starts at this share of its capacity
	WarmWithin     time.Duration // and is warm after this time
	OverloadFactor float64       // sent more than so many times its present capacity,
	OverloadTime   time.Duration // for so long, a cold worker falls over

	CrossZoneFee, WasteFee, ProbeFee, LateFee, HandshakeFee float64
}

// State is what the list says of a worker.
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
	Up     time.Duration // when it last started; 0 for long ago
	Runs   []bool        // by class, whether it runs its jobs; nil where it runs all
	Slots  float64       // jobs that it takes side by side, where the host knows; else 0
	Pulls  bool          // it asks for each job when it is free, and runs one at a time
}

// ListKind tells how to take a list.
type ListKind uint8

// The kinds of lists.
const (
	ListFull    ListKind = iota // all workers; one that is missing has gone
	ListChanges                 // changed entries only
	ListCached                  // all workers as last known, perhaps long ago
	ListFailed                  // a call to the list failed, or the watch broke; no entries
)

// Job is a client's job as it comes in.
type Job struct {
	ID     JobID
	Class  int
	Tenant int
	Left   time.Duration // how long the client still waits
	Hint   time.Duration // expected work, 0 if unknown
	Slots  float64
	Memory float64
	Weight float64 // its worth is so many times that of its class; 0 for once
	Again  bool    // the client's resubmission, where clients mark them
}

// Status tells how an attempt or a probe ended.
type Status uint8

// The endings. NotRun reports which of them prove that the job never ran.
const (
	OK            Status = iota + 1
	Errored              // the worker answered with an error
	Full                 // turned away unseen
	TimedOut             // no answer in time
	ConnectFailed        // no connection
	Reset                // the connection broke
	Cancelled            // withdrawn by the dispatcher
	NotSent              // never sent
	Rejected             // the worker says that the request itself is wrong: no other would run it, and no worker is at fault
)

// NotRun reports whether the ending proves that the job never ran, where workers shed no work that they had begun.
func (s Status) NotRun() bool { return s == Full || s == ConnectFailed || s == NotSent }

// Outcome is the end of one attempt.
type Outcome struct {
	Job     JobID
	Attempt int
	Worker  WorkerID
	Status  Status
	Took    time.Duration
	Closed  bool      // the job has its final answer
	Report  []float32 // the worker's load report; empty if none came
}

// Actions is what a host does for a Dispatcher. Calls are made only from within a Dispatcher's methods.
type Actions interface {
	// Send starts the job's next attempt (they count from 0), given up after the timeout; 0 for the client's patience.
	Send(job JobID, worker WorkerID, timeout time.Duration)
	// Refuse answers that the job was not done and may be tried again, after the wait if one is given.
	Refuse(job JobID, wait time.Duration)
	// Fail answers that the job failed; it promises nothing.
	Fail(job JobID)
	// Cancel withdraws one attempt.
	Cancel(job JobID, attempt int)
	// Probe asks a worker for its load.
	Probe(worker WorkerID)
	// Timer asks for a call of Dispatcher.Timer with the token.
	Timer(after time.Duration, token uint64)
	// Watch asks for the changes of the list of workers from here on.
	Watch()
	// Log reports a line to the operators.
	Log(line string)
}
