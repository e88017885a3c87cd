// Package delivery sends messages to workers over HTTP/1.1 and tells what became of each attempt.
//
// An Engine has one balance.Dispatcher for each service; that one alone decides which worker gets a message. All state machines are
// owned by one goroutine, the loop. Each attempt runs on a goroutine of its own, and ends by posting its outcome to the loop.
//
// The outcome "not run" is reported only where that is proven: nothing was given to the socket, or the worker says so.
package delivery

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/protocol"
)

const (
	// ConnectTimeout bounds the opening of a connection to a worker.
	ConnectTimeout = time.Second
	// placeWithin is how long a message waits for a worker that has room before it is given back to its store.
	placementTimeout = 2 * time.Second
	// tokenWithin is how long a message of a rate-limited service waits for its turn before it is given back.
	tokenTimeout = time.Second
	// lateAnswer is how much longer than the time-out of an attempt its answer is awaited: the worker tells that it gave up.
	responseGrace = 150 * time.Millisecond
	// readBefore is left, once an answer is overdue, to read what has arrived by then: a process that had no processor for a while finds its
	// timers and its sockets due at the same moment, and an answer that was read counts.
	readGrace = 30 * time.Millisecond
	// jobStale is the age of a job from which on it is not sent any more: its store may have given it out again. Only a process that stood
	// still has such jobs, as a rule.
	maxJobAge = placementTimeout + tokenTimeout
	// tokenStale is how long after its turn a message of a rate-limited service may still be sent: turns must not gather.
	maxTokenAge = 250 * time.Millisecond
)

// Pauses that are asked of the store before a message is handed out again.
const (
	pauseFull        = 100 * time.Millisecond // no worker had room
	pauseUnreachable = 250 * time.Millisecond // no worker could be reached, or none is listed
	pauseRunning     = 50 * time.Millisecond  // a worker says that an earlier attempt is still running
	pauseNotOwner    = 100 * time.Millisecond // this dispatcher is not one that sends to the service
)

// Service is a service as the operator's configuration has it.
type Service struct {
	Name            string
	HealthCheckPath string // empty where workers have none
	MaxConnections  int    // of one worker, from all callers together; 0 where that is not known
	RatePerS        float64
	Static          string        // address of its single endpoint; empty where workers are listed
	TargetStart     time.Duration // within which a message should begin to run
	// Owners is how many dispatchers send to it; 0 means all of them.
	Owners int
}

func (s *Service) rateLimited() bool { return s.RatePerS > 0 }

// State is what an Engine goes by: configuration, workers and the other dispatchers.
type State struct {
	// Services that this dispatcher sends to.
	Services []Service
	Workers  []protocol.Worker
	// ListVersion changes with each new state of the list.
	ListVersion protocol.ItemVersion
	Number      int // of this dispatcher among all, from 0
	Dispatchers int // that are alive
	InZone      int // of these, in the own zone
}

// Job is one attempt to deliver a message.
type Job struct {
	Message *protocol.Deliver
	Service string
	Timeout time.Duration // of the attempt
	// Done is called once, on the loop; it must not block.
	Done func(Result)
}

// Result is the end of a Job.
type Result struct {
	Outcome   protocol.Outcome
	Status    uint16 // of the worker's answer; 0 without one
	Signature string
	Pause     time.Duration // wanted before the next attempt
}

// Options describe an Engine.
type Options struct {
	Zone   string
	Zones  []string // of the whole system
	Seed   uint64   // of random choices
	Logger *zap.Logger
	// MayPace tells whether messages may go to rate-limited services now; nil for always.
	AllowRateLimited func() bool
	// Dial opens connections to workers; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
