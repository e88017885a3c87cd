// Package work defines a job as it is passed from any client protocol to any worker protocol: the client side fills in the fields that it has,
// the worker side uses those that it needs. It is the only interface between the two sides.
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

// MaxHTTPBytes is the maximum size in bytes of the data or result of a job where one side speaks HTTP.
const MaxHTTPBytes = http1.MaxBody

// Work is the payload of an engine.Message. It is immutable once it is submitted.
type Work struct {
	ID          string // id of the message; valid as a Req-Id
	Handle      string // handle under which workers know the job
	Class       string
	Function    string // function name under which workers register
	Unique      string // may be empty
	Reducer     string // may be empty
	Keyed       bool   // hosts require an idempotency key to drop duplicates
	CostHint    time.Duration
	Data        []byte
	Reservation *budget.Reservation // memory of Data
	Streams     bool                // the client accepts data and warnings as they arrive

	call *http1.Call // set for a job that arrived over HTTP
}

// FromHTTP returns the Work of an HTTP client's call.
func FromHTTP(call *http1.Call, class, function string) *Work {
	unique, _ := call.Fields.Get("Idempotency-Key")
	return &Work{ID: call.ID, Handle: "H:" + call.ID, Class: class, Function: function, Unique: unique, call: call}
}

// FromMessage returns the Work of a message, or nil if its payload is not a Work.
func FromMessage(m *engine.Message) *Work {
	w, _ := m.Payload.(*Work)
	return w
}

// Body returns the data. The body of an HTTP call arrives after its header, so it is read from the call.
func (w *Work) Body() []byte {
	if w.call != nil {
		return w.call.Body
	}
	return w.Data
}

// BodyReservation returns the memory reservation of the data.
func (w *Work) BodyReservation() *budget.Reservation {
	if w.call != nil {
		return w.call.Reservation
	}
	return w.Reservation
}

// HTTP returns the work as a call to a host: the call that arrived over HTTP, or an equivalent one.
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
	if w.CostHint > 0 {
		fields = append(fields, http1.Field{Name: "Req-Cost", Value: strconv.FormatInt(w.CostHint.Microseconds(), 10)})
	}
	return &http1.Call{ID: w.ID, Method: "POST", Target: target, Fields: fields, Body: w.Data, Reservation: w.Reservation}
}

// Key returns the idempotency key by which hosts drop duplicates: 32 hex digits of a hash of the function and the unique id, or of the
// message id if there is no unique id.
func (w *Work) Key() string {
	of := w.Function + "\x00" + w.Unique
	if w.Unique == "" {
		of = w.ID
	}
	sum := sha256.Sum256([]byte(of))
	return hex.EncodeToString(sum[:16])
}
