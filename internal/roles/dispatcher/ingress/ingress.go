// Package ingress serves clients: it passes their messages to a store, and answers queries about the state of messages.
//
// A message is answered with 202 once a store has it on disk. A response that guarantees that a message was not stored (503 and the like) is
// given only if no byte of it was sent to a store, or the store has reported that it wrote nothing. If the outcome is unknown, the message is
// sent to the same partition again under the same id, and finally answered with 504, which guarantees nothing.
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

// Connections provides connections to stores.
type Connections interface {
	Get(ctx context.Context, address string) (*rpc.Conn, error)
}

// Options configure an Ingress.
type Options struct {
	Directory      *directory.Directory
	Connections    Connections
	RequestUpdates func(address string) // requests items from a store that are newer than the directory's; may be nil
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

// CloseConnections makes each connection close with its next response.
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

// Header fields of clients' requests and responses.
const (
	headerRequestID   = "X-Request-Id"
	headerMessageID   = "X-Message-Id"
	headerOrderingKey = "X-Ordering-Key"
	headerDelay       = "X-Delay-Ms"
	headerDeadline    = "X-Deadline-Ms"
	headerInstance    = "X-Expect-Instance"
)

// respondStatus responds with a status and no body.
func respondStatus(w http.ResponseWriter, status int) { w.WriteHeader(status) }

// respondUnavailable responds that the message was not stored, and when to retry.
func respondUnavailable(w http.ResponseWriter, wait time.Duration) {
	w.Header().Set("Retry-After", formatRetryAfter(wait))
	w.WriteHeader(http.StatusServiceUnavailable)
}

var errNoPrimary = errors.New("ingress: the partition has no live primary: retry with the next partition table")

// decode decodes the reply of a store.
func decode(body []byte, err error, reply interface{ Decode([]byte) error }) error {
	if err != nil {
		return err
	}
	return reply.Decode(body)
}

var _ interface{ Decode([]byte) error } = (*protocol.AcceptReply)(nil)
