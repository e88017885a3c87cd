// Package ingress serves clients: it takes their messages to a store, and tells the states of messages.
//
// A message gets its 202 once a store has it on disk. An answer that promises that a message was not taken (503 and its like) is given
// only where no byte of it went to a store, or the store has said that it wrote nothing; where the fate is unknown the same partition is
// asked again, by the same id, and at last the answer is 504, which promises nothing.
package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/internal/roles/dispatcher/directory"
	"liftgauge/internal/rpc"
)

// Connections are the connections to stores.
type Connections interface {
	Get(ctx context.Context, address string) (*rpc.Conn, error)
}

// Options describe an Ingress.
type Options struct {
	Directory      *directory.Directory
	Connections    Connections
	RequestUpdates func(address string) // asks a store for what it knows that is newer than the directory; may be nil
	Logger         *zap.Logger
}

// Ingress answers clients' requests. It is an http.Handler.
type Ingress struct {
	options Options
	stores  *caller
	picker  *partitionPicker
	closing atomic.Bool
}

// New returns an Ingress.
func New(o Options) *Ingress {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.RequestUpdates == nil {
		o.RequestUpdates = func(string) {}
	}
	in := &Ingress{options: o, stores: newCaller(o.Connections)}
	in.picker = newPartitionPicker(in.stores.health)
	o.Directory.Subscribe(in.stores.cancelOutdated)
	return in
}

// CloseConnections has each connection end with its next answer.
func (in *Ingress) CloseConnections() { in.closing.Store(true) }

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if in.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if kind, id, ok := statusPath(r); ok {
		in.serveStatus(w, r, kind, id)
		return
	}
	in.serveMessage(w, r)
}

// Header fields of clients' requests and answers.
const (
	headerRequestID   = "X-Request-Id"
	headerMessageID   = "X-Message-Id"
	headerOrderingKey = "X-Ordering-Key"
	headerDelay       = "X-Delay-Ms"
	headerDeadline    = "X-Deadline-Ms"
	headerInstance    = "X-Expect-Instance"
)

// refuse answers without a body.
func respondStatus(w http.ResponseWriter, status int) { w.WriteHeader(status) }

// comeBack promises that nothing was taken, and says when to come back.
func respondUnavailable(w http.ResponseWriter, wait time.Duration) {
	w.Header().Set("Retry-After", formatRetryAfter(wait))
	w.WriteHeader(http.StatusServiceUnavailable)
}

var errNoPrimary = errors.New("ingress: the partition has no live primary: wait for the next table")

// decode reads the answer of a store.
func decode(body []byte, err error, reply interface{ Decode([]byte) error }) error {
	if err != nil {
		return err
	}
	return reply.Decode(body)
}

var _ interface{ Decode([]byte) error } = (*protocol.AcceptReply)(nil)
