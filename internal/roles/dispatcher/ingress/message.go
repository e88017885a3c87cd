package ingress

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/configuration"
	"liftgauge/internal/protocol"
	"liftgauge/internal/roles/dispatcher/directory"
	"liftgauge/internal/rpc"
)

const (
	storeCallTimeout     = time.Second           // of one call to a store
	firstRetryPause      = 10 * time.Millisecond // before a store is called again; doubles with each retry
	maxRetryPause        = 100 * time.Millisecond
	maxPartitionAttempts = 4 // for a message without a key
	avoidFor             = 200 * time.Millisecond
	tableWaitDivisor     = 4                      // a message waits for a newer table for its target latency divided by this
	defaultRetryAfter    = 200 * time.Millisecond // if the store gave none: a new primary or a session is expected within a few of these
)

// message is a client's message on its way to a store.
type message struct {
	protocol.Accept
	route      *configuration.Route
	fifo       bool
	arrived    time.Time
	deadline   time.Time
	delay      time.Duration
	retryAfter time.Duration // from the last store that was called; 0 if it gave none
	notPrimary bool          // a store replied that it is not the primary: the table may be old
}

// tableDeadline is the time until which a message waits for a newer table.
func (m *message) tableDeadline() time.Time {
	return m.arrived.Add(m.route.TargetLatency / tableWaitDivisor)
}

// serveMessage accepts a client's message.
func (in *Ingress) serveMessage(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s := in.options.Directory.Current()
	if !s.Ready() {
		respondUnavailable(w, defaultRetryAfter)
		return
	}
	limits := &s.Configuration.Limits
	if headerBytes(r) > limits.MaxHeaderBytes {
		respondStatus(w, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	route, ok := in.match(s, r)
	if !ok {
		respondStatus(w, http.StatusNotFound)
		return
	}
	m, ok := newMessage(r, route, arrived)
	if !ok {
		respondStatus(w, http.StatusBadRequest)
		return
	}
	body, status := readBody(w, r, limits)
	if status != 0 {
		w.Header().Set("Connection", "close")
		respondStatus(w, status)
		return
	}
	m.Body = body
	// The message is stored even if the client disconnects.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), m.deadline)
	defer cancel()
	in.respond(w, m, in.store(ctx, m))
}

// match finds the route of a request.
func (in *Ingress) match(s *directory.Snapshot, r *http.Request) (*configuration.Route, bool) {
	route, ok := s.Configuration.Match(r.Host, r.RequestURI)
	return route, ok && strings.EqualFold(route.Type, "async")
}

// newMessage builds a message from the head of a request; ok is false if the request is not a valid message.
func newMessage(r *http.Request, route *configuration.Route, arrived time.Time) (m *message, ok bool) {
	delay, _, ok := readMilliseconds(r.Header, headerDelay, maxDelay)
	if !ok || !strings.HasPrefix(r.RequestURI, "/") || len(r.Host) > maxHostLength || !isSendable(r.RequestURI) {
		return nil, false
	}
	m = &message{route: route, arrived: arrived, deadline: arrived.Add(deadlineOf(r.Header)), delay: delay}
	m.RequestID, m.Method, m.Host, m.URI = r.Header.Get(headerRequestID), r.Method, r.Host, r.RequestURI
	m.Key, m.Headers = r.Header.Get(headerOrderingKey), forwardedHeaders(r.Header)
	m.fifo = route.Fifo && m.Key != ""
	if m.RequestID == "" {
		m.RequestID = randomID()
	}
	return m, true
}

// isSendable reports whether the target of a request can be forwarded byte for byte.
func isSendable(uri string) bool {
	return !strings.ContainsFunc(uri, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// storeOutcome is what is known about a message that was sent to a store.
type storeOutcome uint8

const (
	stored         storeOutcome = iota + 1
	notStored                   // nothing was written by any store
	outcomeUnknown              // it may have been written
	noRoute                     // nothing was written: the route was removed
)

// respond sends the outcome to the client.
func (in *Ingress) respond(w http.ResponseWriter, m *message, outcome storeOutcome) {
	switch outcome {
	case stored:
		w.Header().Set(headerMessageID, m.ID)
		w.WriteHeader(http.StatusAccepted)
	case notStored:
		respondUnavailable(w, cmp.Or(m.retryAfter, defaultRetryAfter))
	case noRoute:
		respondStatus(w, http.StatusNotFound)
	default:
		respondStatus(w, http.StatusGatewayTimeout)
	}
}

// store sends a message to a store. The results notStored and noRoute guarantee that it was not stored.
func (in *Ingress) store(ctx context.Context, m *message) storeOutcome {
	if m.fifo {
		return in.storeKeyed(ctx, m)
	}
	for pause := firstRetryPause; ; pause = min(2*pause, maxRetryPause) {
		changed := in.options.Directory.Changed()
		m.notPrimary = false
		outcome := in.storeUnkeyed(ctx, m)
		if outcome != notStored || !m.notPrimary || time.Now().Add(pause).After(m.tableDeadline()) {
			return outcome
		}
		wait(ctx, pause, changed)
	}
}

// storeUnkeyed tries up to maxPartitionAttempts partitions.
func (in *Ingress) storeUnkeyed(ctx context.Context, m *message) storeOutcome {
	for range maxPartitionAttempts {
		s := in.options.Directory.Current()
		partition, ok := in.picker.next(s, time.Now())
		if !ok {
			return notStored
		}
		in.assignPartition(m, partition)
		outcome := in.sendOnce(ctx, m)
		if outcome == outcomeUnknown {
			outcome = in.resend(ctx, m)
		}
		if outcome == stored || outcome == outcomeUnknown || in.routeRemoved(m) {
			return in.finalOutcome(m, outcome)
		}
		in.picker.avoid(partition, time.Now().Add(avoidFor))
	}
	return notStored
}

// storeKeyed sends a message to the partition of its key, and to no other. While the partition has no primary, it waits until tableDeadline.
func (in *Ingress) storeKeyed(ctx context.Context, m *message) storeOutcome {
	for pause := firstRetryPause; ; pause = min(2*pause, maxRetryPause) {
		changed := in.options.Directory.Changed()
		in.assignPartition(m, partitionOfKey(m.route.Name, m.Key, len(in.options.Directory.Current().Partitions)))
		outcome := in.sendOnce(ctx, m)
		if outcome == outcomeUnknown {
			outcome = in.resend(ctx, m)
		}
		if outcome == stored || outcome == outcomeUnknown || in.routeRemoved(m) || time.Now().Add(pause).After(m.tableDeadline()) {
			return in.finalOutcome(m, outcome)
		}
		wait(ctx, pause, changed)
	}
}

// routeRemoved reports whether the local configuration no longer has a route for the message.
func (in *Ingress) routeRemoved(m *message) bool {
	route, ok := in.options.Directory.Current().Configuration.Match(m.Host, m.URI)
	return !ok || !strings.EqualFold(route.Type, "async")
}

// finalOutcome corrects an outcome by the local configuration: a store that has no route for the message may have an older configuration.
func (in *Ingress) finalOutcome(m *message, outcome storeOutcome) storeOutcome {
	switch {
	case outcome == stored || outcome == outcomeUnknown:
		return outcome
	case in.routeRemoved(m):
		return noRoute
	}
	return notStored
}

// assignPartition sets the message's partition and id.
func (in *Ingress) assignPartition(m *message, partition uint32) {
	m.Partition, m.ID = partition, messageID(partition, m.RequestID)
}

// sendOnce sends the message to the current primary of its partition, once.
func (in *Ingress) sendOnce(ctx context.Context, m *message) storeOutcome {
	s := in.options.Directory.Current()
	p, _ := s.Partition(m.Partition)
	m.Age, m.Table = time.Since(m.arrived), s.TableVersion
	m.Delay = max(0, m.delay-m.Age)
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	var reply protocol.AcceptReply
	body, err := in.stores.call(ctx, m.Partition, p, protocol.KindAccept, m.Accept.Append(nil))
	if err := decode(body, err, &reply); err != nil {
		return outcomeOf(err)
	}
	switch reply.Status {
	case protocol.AcceptStored:
		if reply.RetryAfter > 0 {
			in.picker.markBacklogged(p.Address, time.Now().Add(reply.RetryAfter))
		}
		return stored
	case protocol.AcceptNotPrimary:
		m.retryAfter, m.notPrimary = reply.RetryAfter, true
		in.options.RequestUpdates(p.Address)
		return notStored
	case protocol.AcceptFull:
		m.retryAfter = reply.RetryAfter
		return notStored
	case protocol.AcceptNoRoute:
		return noRoute
	}
	return outcomeUnknown
}

// outcomeOf returns what is known about a message after an error.
func outcomeOf(err error) storeOutcome {
	var refused *rpc.RemoteError
	if errors.As(err, &refused) {
		switch refused.Code {
		case protocol.CodeNotPrimary, protocol.CodeUnavailable, protocol.CodeInvalid, protocol.CodeUnknownKind:
			return notStored
		}
		return outcomeUnknown
	}
	if errors.Is(err, rpc.ErrNotSent) {
		return notStored
	}
	return outcomeUnknown
}

// isNotPrimary reports whether a store has replied that it is not acting as the primary of a partition.
func isNotPrimary(err error) bool {
	var refused *rpc.RemoteError
	return errors.As(err, &refused) && refused.Code == protocol.CodeNotPrimary
}

// resend sends the message to the current primary of the same partition until it replies that it has stored it. No other reply is conclusive:
// an earlier request may still arrive there, or be on the disk of a store that recovers.
func (in *Ingress) resend(ctx context.Context, m *message) storeOutcome {
	for pause := firstRetryPause; ; pause = min(2*pause, maxRetryPause) {
		changed := in.options.Directory.Changed()
		wait(ctx, pause, changed)
		if ctx.Err() != nil {
			return outcomeUnknown
		}
		if in.sendOnce(ctx, m) == stored {
			return stored
		}
	}
}

// wait waits for a duration, a change of the directory, or the end of the context.
func wait(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
