package ingress

import (
	"context"
	"net/http"
	"strings"
	"time"

	"liftgauge/internal/protocol"
)

// lookupTimeout limits the time to answer a query about a message: clients wait two seconds.
const lookupTimeout = 1800 * time.Millisecond

// statusKind is what a client queries about a message.
type statusKind uint8

const (
	queryState statusKind = iota + 1
	queryBody
)

// statusPath reports whether a request queries a message, and which.
func statusPath(r *http.Request) (kind statusKind, id string, ok bool) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return 0, "", false
	}
	if id, ok = strings.CutPrefix(r.URL.Path, "/message/"); ok {
		return queryState, id, true
	}
	id, ok = strings.CutPrefix(r.URL.Path, "/message-body/")
	return queryBody, id, ok
}

var stateNames = map[protocol.MessageState]string{
	protocol.StateQueued: "queued", protocol.StateSucceeded: "succeeded", protocol.StateDeadLetter: "dead_letter",
}

// serveStatus answers a query for the state or the body of a message.
func (in *Ingress) serveStatus(w http.ResponseWriter, r *http.Request, kind statusKind, id string) {
	if !in.options.Directory.Current().Ready() {
		respondUnavailable(w, defaultRetryAfter)
		return
	}
	partition, ok := partitionOfID(id)
	if !ok {
		respondStatus(w, http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	reply, ok := in.lookup(ctx, &protocol.Lookup{Partition: partition, ID: id, WantBody: kind == queryBody})
	switch {
	case !ok: // unknown: 404 would say that there is no such message
		respondUnavailable(w, defaultRetryAfter)
	case !reply.Found, kind == queryBody && !reply.HasBody:
		respondStatus(w, http.StatusNotFound)
	case kind == queryBody:
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write(reply.Body)
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Write(stateJSON(reply))
	}
}

// lookup queries the partition's primary until it answers. ok is false if no primary answered in time.
func (in *Ingress) lookup(ctx context.Context, l *protocol.Lookup) (reply *protocol.LookupReply, ok bool) {
	request := l.Append(nil)
	for pause := firstRetryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		changed := in.options.Directory.Changed()
		s := in.options.Directory.Current()
		p, exists := s.Partition(l.Partition)
		if !exists {
			return &protocol.LookupReply{}, true
		}
		callContext, cancel := context.WithTimeout(ctx, lookupTimeout/3)
		body, err := in.stores.call(callContext, l.Partition, p, protocol.KindLookup, request)
		cancel()
		reply = &protocol.LookupReply{}
		if decode(body, err, reply) == nil {
			return reply, true
		}
		if isNotPrimary(err) {
			in.options.RequestUpdates(p.Address)
		}
		wait(ctx, pause, changed)
	}
	return nil, false
}

// stateJSON returns the response for a state. A signature holds only what a header field may hold, so only quotes need escaping.
func stateJSON(reply *protocol.LookupReply) []byte {
	b := []byte(`{"State":"` + stateNames[reply.State] + `"`)
	if reply.State == protocol.StateSucceeded {
		b = append(b, `,"Signature":`...)
		b = appendJSONString(b, reply.Signature)
	}
	return append(b, '}')
}
