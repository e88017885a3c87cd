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
	askWithin       = time.Second           // for one call to a store
	firstAskPause   = 10 * time.Millisecond // before a store is asked again; twice as long each time
	longestAskPause = 100 * time.Millisecond
	partitionsTried = 4 // for a message without a key
	avoidFor        = 200 * time.Millisecond
	waitingShare    = 4                      // a message waits for a newer table for one part in so many of its objective
	comeBackAfter   = 200 * time.Millisecond // where a store names no time: a primary or a session comes within a few such
)

// message is a client's message on its way to a store.
type message struct {
	protocol.Accept
	route    *configuration.Route
	fifo     bool
	arrived  time.Time
	deadline time.Time
	delay    time.Duration
	comeBack time.Duration // that the store named which was asked last; zero: none
	moved    bool          // a store said that it is not the primary: the table may be old
}

// patience is until when a message waits for a newer table.
func (m *message) patience() time.Time { return m.arrived.Add(m.route.TargetLatency / waitingShare) }

// serveMessage takes a message.
func (in *Ingress) serveMessage(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s := in.options.Directory.Current()
	if !s.Ready() {
		comeBack(w, comeBackAfter)
		return
	}
	limits := &s.Configuration.Limits
	if headerBytes(r) > limits.MaxHeaderBytes {
		refuse(w, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	route, ok := in.match(s, r)
	if !ok {
		refuse(w, http.StatusNotFound)
		return
	}
	m, ok := newMessage(r, route, arrived)
	if !ok {
		refuse(w, http.StatusBadRequest)
		return
	}
	body, status := readBody(w, r, limits)
	if status != 0 {
		w.Header().Set("Connection", "close")
		refuse(w, status)
		return
	}
	m.Body = body
	// The client may be gone: its message is taken all the same.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), m.deadline)
	defer cancel()
	in.answer(w, m, in.store(ctx, m))
}

// match finds the route of a request.
func (in *Ingress) match(s *directory.Snapshot, r *http.Request) (*configuration.Route, bool) {
	route, ok := s.Configuration.Match(r.Host, r.RequestURI)
	return route, ok && strings.EqualFold(route.Type, "async")
}

// newMessage reads the head of a request; ok is false if it is no message.
func newMessage(r *http.Request, route *configuration.Route, arrived time.Time) (m *message, ok bool) {
	delay, _, ok := readMilliseconds(r.Header, headerDelay, longestDelay)
	if !ok || !strings.HasPrefix(r.RequestURI, "/") || len(r.Host) > hostTooLong || !sendable(r.RequestURI) {
		return nil, false
	}
	m = &message{route: route, arrived: arrived, deadline: arrived.Add(deadlineOf(r.Header)), delay: delay}
	m.RequestID, m.Method, m.Host, m.URI = r.Header.Get(headerRequestID), r.Method, r.Host, r.RequestURI
	m.Key, m.Headers = r.Header.Get(headerOrderingKey), keptHeaders(r.Header)
	m.fifo = route.Fifo && m.Key != ""
	if m.RequestID == "" {
		m.RequestID = drawID()
	}
	return m, true
}

// sendable tells whether the target of a request can be sent on byte for byte.
func sendable(uri string) bool {
	return !strings.ContainsFunc(uri, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// fate is what is known of a message that was handed to a store.
type fate uint8

const (
	stored   fate = iota + 1
	notTaken      // nothing was written, anywhere
	unclear       // it may have been written
	noRoute       // nothing was written: the route is gone
)

// answer tells the client.
func (in *Ingress) answer(w http.ResponseWriter, m *message, f fate) {
	switch f {
	case stored:
		w.Header().Set(headerMessageID, m.ID)
		w.WriteHeader(http.StatusAccepted)
	case notTaken:
		comeBack(w, cmp.Or(m.comeBack, comeBackAfter))
	case noRoute:
		refuse(w, http.StatusNotFound)
	default:
		refuse(w, http.StatusGatewayTimeout)
	}
}

// store hands a message to a store. The result notTaken or noRoute is a promise.
func (in *Ingress) store(ctx context.Context, m *message) fate {
	if m.fifo {
		return in.storeKeyed(ctx, m)
	}
	for pause := firstAskPause; ; pause = min(2*pause, longestAskPause) {
		changed := in.options.Directory.Changed()
		m.moved = false
		f := in.storeUnkeyed(ctx, m)
		if f != notTaken || !m.moved || time.Now().Add(pause).After(m.patience()) {
			return f
		}
		wait(ctx, pause, changed)
	}
}

// storeUnkeyed tries a few partitions.
func (in *Ingress) storeUnkeyed(ctx context.Context, m *message) fate {
	for range partitionsTried {
		s := in.options.Directory.Current()
		partition, ok := in.choice.next(s, time.Now())
		if !ok {
			return notTaken
		}
		in.place(m, partition)
		f := in.ask(ctx, m)
		if f == unclear {
			f = in.askAgain(ctx, m)
		}
		if f == stored || f == unclear || in.dropped(m) {
			return in.final(m, f)
		}
		in.choice.avoid(partition, time.Now().Add(avoidFor))
	}
	return notTaken
}

// storeKeyed hands a message to the partition of its key, and to no other. While the partition has no primary it waits a little.
func (in *Ingress) storeKeyed(ctx context.Context, m *message) fate {
	for pause := firstAskPause; ; pause = min(2*pause, longestAskPause) {
		changed := in.options.Directory.Changed()
		in.place(m, ofKey(m.route.Name, m.Key, len(in.options.Directory.Current().Partitions)))
		f := in.ask(ctx, m)
		if f == unclear {
			f = in.askAgain(ctx, m)
		}
		if f == stored || f == unclear || in.dropped(m) || time.Now().Add(pause).After(m.patience()) {
			return in.final(m, f)
		}
		wait(ctx, pause, changed)
	}
}

// dropped tells whether the own configuration has no route for the message any more.
func (in *Ingress) dropped(m *message) bool {
	route, ok := in.options.Directory.Current().Configuration.Match(m.Host, m.URI)
	return !ok || !strings.EqualFold(route.Type, "async")
}

// final makes an answer of a fate: a store that knows no route may lag behind.
func (in *Ingress) final(m *message, f fate) fate {
	switch {
	case f == stored || f == unclear:
		return f
	case in.dropped(m):
		return noRoute
	}
	return notTaken
}

// place names the message's partition.
func (in *Ingress) place(m *message, partition uint32) {
	m.Partition, m.ID = partition, messageID(partition, m.RequestID)
}

// ask hands the message to the present primary of its partition, once.
func (in *Ingress) ask(ctx context.Context, m *message) fate {
	s := in.options.Directory.Current()
	p, _ := s.Partition(m.Partition)
	m.Age, m.Table = time.Since(m.arrived), s.TableVersion
	m.Delay = max(0, m.delay-m.Age)
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	var reply protocol.AcceptReply
	body, err := in.stores.call(ctx, m.Partition, p, protocol.KindAccept, m.Accept.Append(nil))
	if err := decode(body, err, &reply); err != nil {
		return fateOf(err)
	}
	switch reply.Status {
	case protocol.AcceptStored:
		if reply.RetryAfter > 0 {
			in.choice.spare(p.Address, time.Now().Add(reply.RetryAfter))
		}
		return stored
	case protocol.AcceptNotPrimary:
		m.comeBack, m.moved = reply.RetryAfter, true
		in.options.RequestUpdates(p.Address)
		return notTaken
	case protocol.AcceptFull:
		m.comeBack = reply.RetryAfter
		return notTaken
	case protocol.AcceptNoRoute:
		return noRoute
	}
	return unclear
}

// fateOf tells what an error leaves known of a message.
func fateOf(err error) fate {
	var refused *rpc.RemoteError
	if errors.As(err, &refused) {
		switch refused.Code {
		case protocol.CodeNotPrimary, protocol.CodeUnavailable, protocol.CodeInvalid, protocol.CodeUnknownKind:
			return notTaken
		}
		return unclear
	}
	if errors.Is(err, rpc.ErrNotSent) {
		return notTaken
	}
	return unclear
}

// isNotPrimary tells whether a store has answered that it does not act as the primary of a partition.
func isNotPrimary(err error) bool {
	var refused *rpc.RemoteError
	return errors.As(err, &refused) && refused.Code == protocol.CodeNotPrimary
}

// askAgain asks the present primary of the same partition until it says that it has the message. Nothing else counts: what was sent
// before may still arrive there, or be on the disk of a store that comes back.
func (in *Ingress) askAgain(ctx context.Context, m *message) fate {
	for pause := firstAskPause; ; pause = min(2*pause, longestAskPause) {
		changed := in.options.Directory.Changed()
		wait(ctx, pause, changed)
		if ctx.Err() != nil {
			return unclear
		}
		if in.ask(ctx, m) == stored {
			return stored
		}
	}
}

// wait waits for a time, a change of the directory, or the end of the context.
func wait(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
