// Package work defines the payload of a job between the listeners and the backends of all protocols: a listener fills in what it
// has, a backend uses what it needs.
package work

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"strconv"
	"time"

	"liftgauge/internal/budget"
	"liftgauge/internal/http1"
	"liftgauge/internal/serve/engine"
)

// MaxHTTPBytes is the maximum size of a job's data or result if the client or the host uses HTTP.
const MaxHTTPBytes = http1.MaxBody

// Work is the payload of an engine.Message. It must not change once the message is submitted.
type Work struct {
	ID       string // of the message; valid as a Req-Id
	Handle   string // identifies the job to workers
	Class    string
	Function string // name that workers register
	Unique   string // may be empty
	Reducer  string // may be empty
	Keyed    bool   // hosts need a key to discard duplicates
	Hint     time.Duration
	Data     []byte
	Hold     *budget.Hold // holds the memory of Data
	Streams  bool         // its client receives data and warnings as they arrive

	call *http1.Call // the original call, if it arrived over HTTP
}

// FromHTTP makes a Work from an HTTP client's call.
func FromHTTP(call *http1.Call, class, function string) *Work {
	unique, _ := call.Fields.Get("Idempotency-Key")
	return &Work{ID: call.ID, Handle: "H:" + call.ID, Class: class, Function: function, Unique: unique, call: call}
}

// FromMessage returns a message's Work, or nil.
func FromMessage(m *engine.Message) *Work {
	w, _ := m.Payload.(*Work)
	return w
}

// Bytes returns the data. A call's body is set only after its head is parsed, so it is read from the call.
func (w *Work) Bytes() []byte {
	if w.call != nil {
		return w.call.Body
	}
	return w.Data
}

// Held returns the hold on the memory of the data.
func (w *Work) Held() *budget.Hold {
	if w.call != nil {
		return w.call.Hold
	}
	return w.Hold
}

// HTTP returns the work as a call to a host: the original one, or an equivalent one.
func (w *Work) HTTP() *http1.Call {
	if w.call != nil {
		return w.call
	}
	target := "/" + w.Class
	if w.Function != w.Class {
		target += "/" + url.PathEscape(w.Function)
	}
	fields := http1.Fields{{Name: "Req-Id", Value: w.ID}, {Name: "Req-Kind", Value: w.Class}}
	if w.Keyed {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: w.Key()})
	}
	if w.Hint > 0 {
		fields = append(fields, http1.Field{Name: "Req-Cost", Value: strconv.FormatInt(w.Hint.Microseconds(), 10)})
	}
	return &http1.Call{ID: w.ID, Method: "POST", Target: target, Fields: fields, Body: w.Data, Hold: w.Hold}
}

// Key returns the key by which hosts discard duplicates: 32 hex digits derived from the function and the unique id, or from the
// message's id if there is no unique id.
func (w *Work) Key() string {
	of := w.Function + "\x00" + w.Unique
	if w.Unique == "" {
		of = w.ID
	}
	sum := sha256.Sum256([]byte(of))
	return hex.EncodeToString(sum[:16])
}
