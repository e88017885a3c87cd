package ingress

import (
	"context"
	"net/http"
	"strings"
	"time"

	"liftgauge/internal/protocol"
)

// lookupWithin bounds an answer about a message: those who ask wait two seconds.
const lookupWithin = 1800 * time.Millisecond

// What is asked about a message.
type statusKind uint8

const (
	askState statusKind = iota + 1
	askBody
)

// statusPath tells whether a request asks about a message.
func statusPath(r *http.Request) (kind statusKind, id string, ok bool) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return 0, "", false
	}
	if id, ok = strings.CutPrefix(r.URL.Path, "/message/"); ok {
		return askState, id, true
	}
	id, ok = strings.CutPrefix(r.URL.Path, "/message-body/")
	return askBody, id, ok
}

var stateNames = map[protocol.MessageState]string{
	protocol.StateQueued: "queued", protocol.StateSucceeded: "succeeded", protocol.StateDeadLetter: "dead_letter",
}

// serveStatus answers for the state or the body of a message.
func (in *Ingress) serveStatus(w http.ResponseWriter, r *http.Request, kind statusKind, id string) {
	if !in.options.Directory.Current().Ready() {
		comeBack(w, comeBackAfter)
		return
	}
	partition, ok := partitionOf(id)
	if !ok {
		refuse(w, http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), lookupWithin)
	defer cancel()
	reply, ok := in.lookup(ctx, &protocol.Lookup{Partition: partition, ID: id, WantBody: kind == askBody})
	switch {
	case !ok: // not sure: 404 would say that there is no such message
		comeBack(w, comeBackAfter)
	case !reply.Found, kind == askBody && !reply.HasBody:
		refuse(w, http.StatusNotFound)
	case kind == askBody:
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write(reply.Body)
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Write(stateJSON(reply))
	}
}

// lookup asks the partition's primary until it answers. ok is false if none did in time.
func (in *Ingress) lookup(ctx context.Context, l *protocol.Lookup) (reply *protocol.LookupReply, ok bool) {
	question := l.Append(nil)
	for pause := firstAskPause; ctx.Err() == nil; pause = min(2*pause, longestAskPause) {
		changed := in.options.Directory.Changed()
		s := in.options.Directory.Current()
		p, exists := s.Partition(l.Partition)
		if !exists {
			return &protocol.LookupReply{}, true
		}
		once, cancel := context.WithTimeout(ctx, lookupWithin/3)
		body, err := in.stores.call(once, l.Partition, p, protocol.KindLookup, question)
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

// stateJSON is the answer about a state. A signature is made of what a header field may hold, so it needs no more than quotes escaped.
func stateJSON(reply *protocol.LookupReply) []byte {
	b := []byte(`{"State":"` + stateNames[reply.State] + `"`)
	if reply.State == protocol.StateSucceeded {
		b = append(b, `,"Signature":`...)
		b = appendJSONString(b, reply.Signature)
	}
	return append(b, '}')
}
