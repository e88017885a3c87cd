// Package work is a job as it is passed from any front to any back: each front fills in what it has, each back takes what
// it needs. It is all that fronts and backs know of each other.
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

// MaxHTTP is the most bytes that a job's data or result may have where one side speaks HTTP.
const MaxHTTPBytes = http1.MaxBody

// Work is the payload of an engine.Message. Nothing of it changes once it is handed in.
type Work struct {
	ID       string // of the message; valid as a Req-Id
	Handle   string // by which workers know it
	Class    string
	Function string // by which workers know it
	Unique   string // may be empty
	Reducer  string // may be empty
	Keyed    bool   // hosts want a key by which repeats are dropped
	Hint     time.Duration
	Data     []byte
	Hold     *budget.Hold // what Data is in
	Streams  bool         // its client takes data and warnings as they come

	call *http1.Call // as it came over HTTP
}

// FromHTTP makes a Work of an HTTP client's call.
func FromHTTP(call *http1.Call, class, function string) *Work {
	unique, _ := call.Fields.Get("Idempotency-Key")
	return &Work{ID: call.ID, Handle: "H:" + call.ID, Class: class, Function: function, Unique: unique, call: call}
}

// Of is a message's Work, or nil.
func FromMessage(m *engine.Message) *Work {
	w, _ := m.Payload.(*Work)
	return w
}

// Bytes are the data, and Held what they are in: a call's body comes after its head.
func (w *Work) Bytes() []byte {
	if w.call != nil {
		return w.call.Body
	}
	return w.Data
}

// Held is what the data are in.
func (w *Work) Held() *budget.Hold {
	if w.call != nil {
		return w.call.Hold
	}
	return w.Hold
}

// HTTP is the work as a call to a host: the one that came, or one that says the same.
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

// Key is by what hosts drop repeats: 32 hex digits of the function and the unique id, or of the id where there is none.
func (w *Work) Key() string {
	of := w.Function + "\x00" + w.Unique
	if w.Unique == "" {
		of = w.ID
	}
	sum := sha256.Sum256([]byte(of))
	return hex.EncodeToString(sum[:16])
}
