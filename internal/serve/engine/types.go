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
	Result     []byte        // from the host, if Served
	RetryAfter time.Duration // of a back-off answer; 0: not specified
}

// AnswerKind distinguishes the final answers.
type AnswerKind uint8

// The final answers.
const (
	Failed  AnswerKind = iota // the job may have run
	Served                    // with a host's result
	BackOff                   // the job did not run, retrying is safe
)

// Message is a client's job as the client listener received it.
type Message struct {
	Key     string        // the client's id, unique while the message is open
	Job     balance.Job   // without an id, which the engine assigns
	Arrived time.Duration // on the engine's clock
	Payload any           // what the backend forwards
	Reply   func(Answer)  // called once, from the engine's goroutine; must not block
	// OnEvent, if set, is called with events of the outstanding attempt before there is an answer: RunningEvent, WaitingEvent,
	// ProgressEvent, or a value passed to Engine.AttemptEvent. It is called from the engine's goroutine and must not block.
	OnEvent func(any)
	// OnClosed, if set, is called once when the engine has dropped the message: it is answered or its client has
	// disconnected, and no attempt is outstanding. It must not block. It is not called for a message that Submit rejected.
	OnClosed func()
	Subject  uint64 // a keyed hash of the message's key, for records only; 0: none

	clientGone atomic.Bool // the client has disconnected: set at once, ahead of queued events
}

// RunningEvent reports that a message runs at a host.
type RunningEvent struct{}

// WaitingEvent reports that a message no longer runs and has no answer yet.
type WaitingEvent struct{}

// ProgressEvent reports the completed fraction of a message.
type ProgressEvent float64

// Host is a host from the inventory, or one that registered itself by connecting.
type Host struct {
	Name    string // id in the inventory
	Address string
	Worker  balance.Worker // without an id, which the engine derives from the name
	// Backend carries attempts to the host; nil for Config.Backend. Only hosts without one belong to the inventory: its
	// lists do not cover the others, which are dropped when they are removed.
	Backend Backend
}

// Attempt is one delivery of a message to a host. The backend reports how it ended.
type Attempt struct {
	Message  *Message
	Host     Host
	Deadline time.Duration // on the engine's clock
	// MaySend reports whether the attempt may still be sent. It must be checked right before the first byte: between the
	// decision and the send the host may have begun to drain or the attempt may have been withdrawn.
	MaySend func() bool
	// Load is the load that the host reported with the answer that ended the attempt, in the settings' order; nil: none. The backend
	// sets it before it calls AttemptEnded.
	Load []float32

	// SendDeadline is the time by which the last byte must be sent, on the engine's clock; 0: only the deadline applies. A keyed message
	// may run again only within a window after the first attempt that may have run.
	SendDeadline time.Duration

	open      *openMessage
	index     int
	sentAt    time.Duration
	done      bool
	returned  bool        // the host returned it unstarted by a report
	accepted  atomic.Bool // see MarkAccepted
	cancel    context.CancelCauseFunc
	host      *host
	withdrawn atomic.Bool
	timer     timerwheel.Timer[timer] // for a timeout earlier than the message's deadline

	startedAt, endedAt time.Duration // 0: not known
	status             balance.Status
}

// SentAt, StartedAt and EndedAt are on the engine's clock, 0 if unknown; Status is how it ended. They may be called only once
// the message is closed.
func (a *Attempt) SentAt() time.Duration { return a.sentAt }

func (a *Attempt) StartedAt() time.Duration { return a.startedAt }

func (a *Attempt) EndedAt() time.Duration { return a.endedAt }

func (a *Attempt) Status() balance.Status { return a.status }

func (a *Attempt) maySend(now time.Duration) bool {
	return !a.withdrawn.Load() && !a.Message.clientGone.Load() && !a.host.notReady.Load() && !a.host.offline.Load() && (a.SendDeadline == 0 || now < a.SendDeadline)
}

// Causes of the end of an attempt's context.
var (
	ErrWithdrawn    = errors.New("withdrawn")                           // the backend must cancel it at the host
	ErrOutcomeKnown = errors.New("outcome is known")                    // nothing is left to do
	ErrHandedOver   = errors.New("message released to another process") // nothing is left to do here
)

// Backend carries attempts to the hosts.
type Backend interface {
	// Send carries out an attempt until its context ends, and reports to Engine.AttemptWritten and Engine.AttemptEnded. On ErrWithdrawn it
	// cancels the attempt at the host and then reports Cancelled, unless another outcome comes first.
	Send(ctx context.Context, a *Attempt)
	// Probe checks a host's health and reports to Engine.ProbeEnded.
	Probe(h Host)
	// Forget drops what is kept for a host that restarted or was removed.
	Forget(h Host)
}

// Inventory lists the hosts and reports to Engine.UpdateHosts.
type Inventory interface {
	// Watch requests a watch for changes; one that is open is replaced.
	Watch()
}

// ErrNoPeer means that there is no other process that could have a message.
var ErrNoPeer = errors.New("no other process")

// Config configures an Engine.
type Config struct {
	Settings     balance.Settings
	Seed         uint64
	InitialHosts []Host
	Backend      Backend
	Inventory    Inventory
	Now          func() time.Duration // the scheduler's clock: monotonic, counted from the Unix epoch
	QueueSize    int
	Log          *slog.Logger
	Check        *invariant.Checker

	// OnMessageClosed, if set, is called for every closed message with its answer, if any, the time of that, and all
	// attempts. It must not block.
	OnMessageClosed func(m *Message, answer AnswerKind, answered bool, at time.Duration, attempts []*Attempt)

	// HostClasses returns which classes an inventory host of a kind runs, as in balance.Worker.Runs; nil: all.
	HostClasses func(kind int) []bool

	HostsInherited bool                // InitialHosts come from the process that this one takes over from, so they are current
	InitialLearned *balance.Learned    // from that process; may be nil
	EverListed     []string            // names of hosts listed before, in earlier processes too
	InitialOffline []string            // those of them that operators have set offline
	OnNewHosts     func(name []string) // if set, called with names never listed before; must not block
}
