// Package delivery sends messages to workers over HTTP/1.1 and reports the outcome of each attempt.
//
// An Engine has one balance.Dispatcher for each service, which alone decides which worker gets a message. All state machines are
// owned by one goroutine, the loop. Each attempt runs on its own goroutine, and posts its outcome to the loop when it ends.
//
// The outcome "not run" is reported only where that is proven: nothing was written to the socket, or the worker says so.
package delivery

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/protocol"
)

const (
	// ConnectTimeout limits the time to open a connection to a worker.
	ConnectTimeout = time.Second
	// placementTimeout is how long a message waits for a worker with free capacity before it is returned to its store.
	placementTimeout = 2 * time.Second
	// tokenTimeout is how long a message of a rate-limited service waits for a token before it is returned to its store.
	tokenTimeout = time.Second
	// responseGrace is how much longer than the time-out of an attempt its response is awaited: the worker reports that it gave up.
	responseGrace = 150 * time.Millisecond
	// readGrace is left, once a response is overdue, to read what has arrived by then: after a process got no CPU time for a while, its timers
	// and its sockets are due at the same moment, and a response that was read counts.
	readGrace = 30 * time.Millisecond
	// maxJobAge is the age beyond which a job is no longer sent, because its store may have delivered the message again. Normally only a
	// process that was stalled has such jobs.
	maxJobAge = placementTimeout + tokenTimeout
	// maxTokenAge is how long after it got its token a message of a rate-limited service may still be sent: unused tokens must not accumulate.
	maxTokenAge = 250 * time.Millisecond
)

// Pauses that the store is asked to keep before it delivers a message again.
const (
	pauseFull        = 100 * time.Millisecond // no worker had free capacity
	pauseUnreachable = 250 * time.Millisecond // no worker could be reached, or none is listed
	pauseRunning     = 50 * time.Millisecond  // a worker reports that an earlier attempt is still running
	pauseNotOwner    = 100 * time.Millisecond // this dispatcher does not send to the service
)

// Service holds a service's settings from the operator's configuration.
type Service struct {
	Name            string
	HealthCheckPath string // empty where workers have none
	MaxConnections  int    // of one worker, from all callers together; 0 if not known
	RatePerS        float64
	Static          string        // address of its single endpoint; empty where workers are listed
	TargetStart     time.Duration // within which a message should start to run
	// Owners is the number of dispatchers that send to it; 0 means all of them.
	Owners int
}

func (s *Service) rateLimited() bool { return s.RatePerS > 0 }

// State is the input of an Engine: the configuration, the workers and the other dispatchers.
type State struct {
	// Services that this dispatcher sends to.
	Services []Service
	Workers  []protocol.Worker
	// ListVersion changes with each new state of the list.
	ListVersion protocol.ItemVersion
	Number      int // of this dispatcher among all, from 0
	Dispatchers int // that are live
	InZone      int // of these, in the local zone
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
	Status    uint16 // of the worker's response; 0 without one
	Signature string
	Pause     time.Duration // requested before the next attempt
}

// Options configure an Engine.
type Options struct {
	Zone   string
	Zones  []string // of the whole system
	Seed   uint64   // of random choices
	Logger *zap.Logger
	// AllowRateLimited reports whether messages may be sent to rate-limited services now; nil for always.
	AllowRateLimited func() bool
	// Dial opens connections to workers; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
