package engine

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/invariant"
	"liftgauge/internal/timerwheel"
)

// Answer is the final answer of a message.
type Answer struct {
	Kind       AnswerKind
	Result     []byte        // what a host made, where it was served
	RetryAfter time.Duration // of a back-off answer: how long to stay away; 0 for no advice
}

// Kind tells the final answers apart.
type AnswerKind uint8

// The final answers.
const (
	Failed  AnswerKind = iota // promises nothing
	Served                    // a host's result
	BackOff                   // the job was not done, trying again is harmless
)

// Message is a client's job as the north side took it.
type Message struct {
	Key     string        // the client's id of it, unique while it is open
	Job     balance.Job   // without an id, which the owner gives
	Arrived time.Duration // on the owner's clock
	Payload any           // what the south side passes on
	Reply   func(Answer)  // called once, from the owner's goroutine; must not block
	// Event, if it is set, is told what becomes of the attempt that is out before there is an answer: Begun, Share, or
	// what a side passed on by Owner.Passed. It is called from the owner's goroutine and must not block.
	OnEvent func(any)
	// Settled, if it is set, is called once when the owner has let go of the message: it is answered, or its client has
	// gone, and no attempt is out. It must not block. A message that Submit turned away was never the owner's.
	OnClosed func()
	Subject  uint64 // a keyed hash of what it is about, for records only; 0: none

	clientGone atomic.Bool // its client has gone: known at once, whatever waits in the queue
}

// Begun is an event of a message: it runs.
type RunningEvent struct{}

// Waits is an event of a message: it runs no more and has no answer yet.
type WaitingEvent struct{}

// Share is an event of a message: so much of it is done.
type ProgressEvent float64

// Host is a south side host as the inventory lists it, or one that has come by itself.
type Host struct {
	Name    string // its id in the inventory
	Address string
	Worker  balance.Worker // without an id, which the owner derives from the name
	// Via is the side that carries attempts to it; nil for Config.South. Only hosts without one are the inventory's: its
	// lists say nothing of others, and these are forgotten when they have gone.
	Backend Backend
}

// Attempt is one send of a message to a host. The south side reports how it ended.
type Attempt struct {
	Message  *Message
	Host     Host
	Deadline time.Duration // on the owner's clock
	// Clear reports whether the attempt may still be sent. It is to be asked right before the first byte: between the
	// decision and the send the host may have begun to drain or the attempt may have been withdrawn.
	MaySend func() bool
	// Load is what the host reported of its load with the answer that ended the attempt, in the settings' order; nil: nothing. The side sets
	// it before it says Ended.
	Load []float32

	// Until is when it may no longer be begun, and its last byte no longer go out, on the owner's clock; 0: no such time but the
	// deadline. A keyed message may run again only for so long after the first attempt that may have run.
	SendDeadline time.Duration

	open      *openMessage
	index     int
	sentAt    time.Duration
	done      bool
	returned  bool        // the host handed it back by a report
	accepted  atomic.Bool // see Taken
	cancel    context.CancelCauseFunc
	host      *host
	withdrawn atomic.Bool
	timer     timerwheel.Timer[timer] // its time-out, where it has one of its own

	startedAt, endedAt time.Duration // 0: not known
	status             balance.Status
}

// Sent, Began and Ended are on the owner's clock, 0 where not known; Status is how it ended. They may be asked for once the
// message has settled.
func (a *Attempt) SentAt() time.Duration { return a.sentAt }

func (a *Attempt) StartedAt() time.Duration { return a.startedAt }

func (a *Attempt) EndedAt() time.Duration { return a.endedAt }

func (a *Attempt) Status() balance.Status { return a.status }

func (a *Attempt) maySend(now time.Duration) bool {
	return !a.withdrawn.Load() && !a.Message.clientGone.Load() && !a.host.notReady.Load() && !a.host.offline.Load() && (a.SendDeadline == 0 || now < a.SendDeadline)
}

// Causes of the end of an attempt's context.
var (
	ErrWithdrawn    = errors.New("withdrawn")        // the host is to be told to give it up
	ErrOutcomeKnown = errors.New("outcome is known") // nothing is left to do
	ErrHandedOver   = errors.New("another's now")    // the same: another process of the dispatcher has taken the message over
)

// South carries attempts to the hosts.
type Backend interface {
	// Send carries out an attempt until its context ends, and reports by Owner.Written and Owner.Ended. ErrWithdrawn asks it to give the
	// attempt up at the host and then report Cancelled, unless another outcome comes first.
	Send(ctx context.Context, a *Attempt)
	// Probe asks for a host's health and reports by Owner.Probed.
	Probe(h Host)
	// Forget drops what is kept for a host that restarted or is gone.
	Forget(h Host)
}

// Inventory lists the hosts and reports by Owner.List.
type Inventory interface {
	// Watch asks for the changes from here on; where a watch is open it is made anew.
	Watch()
}

// ErrNobody says that no other process is there that could own a message.
var ErrNoPeer = errors.New("no other process")

// Config is what an Owner needs.
type Config struct {
	Settings     balance.Settings
	Seed         uint64
	InitialHosts []Host
	Backend      Backend
	Inventory    Inventory
	Now          func() time.Duration // the module's clock: monotonic, counted from the Unix epoch
	QueueSize    int
	Log          *slog.Logger
	Check        *invariant.Checker

	// Seen, if it is set, is told of every message that has settled: what its answer was, if it got one, and when, and all
	// attempts. It must not block.
	OnMessageClosed func(m *Message, answer AnswerKind, answered bool, at time.Duration, attempts []*Attempt)

	// HostRuns says which classes an inventory's host of a kind runs, as balance.Worker.Runs has it; nil: all.
	HostClasses func(kind int) []bool

	HostsInherited bool                // Known is fresh: a process that this one takes over from had it
	InitialLearned *balance.Learned    // what that process had learnt; may be nil
	EverListed     []string            // names that were listed before, in earlier processes too
	InitialOffline []string            // of these, hosts that operators have left out
	OnNewHosts     func(name []string) // if set, told of names that were never listed before; must not block
}
