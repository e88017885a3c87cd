package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// Verb is the operation that an order requests.
type Verb uint8

// The verbs.
const (
	VerbReplace Verb = 1 // POST /config/replace
	VerbUpdate  Verb = 2 // POST /config/update
)

// Keys of the replicated records that hold the state of Orders.
const (
	RecordCurrent       = "config/current" // the JSON of the current configuration
	RecordAppliedPrefix = "config/taken/"  // followed by the hash of an order: the revision that the order created, in decimal digits
)

// The HTTP statuses of responses to an order.
const (
	StatusApplied         = 200 // the order was applied, now or earlier
	StatusInvalid         = 400
	StatusVersionConflict = 412 // the order is based on a version that is not the current one
)

// hashBytes is the length to which the SHA-256 of an order is truncated.
const hashBytes = 16

// Order is a change of the configuration that an operator submits.
type Order struct {
	Verb Verb
	Base uint64 // the version that the change is based on
	Body []byte
}

// ParseBase reads the header X-Base-Version.
func ParseBase(header string) (uint64, error) {
	base, err := strconv.ParseUint(strings.TrimSpace(header), 10, 64)
	if err != nil {
		return 0, newError(KindBaseVersion, "X-Base-Version is %.40q: send the version that the change builds on, 0 for the first", header)
	}
	return base, nil
}

// Hash identifies the order: two orders have the same hash only if they are equal.
func (o Order) Hash() string {
	h := sha256.New()
	h.Write([]byte{byte(o.Verb)})
	h.Write(strconv.AppendUint(nil, o.Base, 10))
	h.Write([]byte{'\n'})
	h.Write(o.Body)
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

// Action is the next step in handling an order.
type Action uint8

// The actions.
const (
	ActionRespond Action = iota + 1 // respond with the Status
	ActionWrite                     // write the records, then Commit, then respond with 200
	ActionWait                      // another order, or the same one, is pending: decide again once it was committed or aborted
)

// Decision is the result of Orders.Decide.
type Decision struct {
	Action        Action
	Status        int            // HTTP status, with ActionRespond
	Err           error          // why the order is rejected
	Hash          string         // of the order
	Configuration *Configuration // with ActionWrite: the configuration to become current
}

// Orders decides which orders are applied. An order that was applied once is acknowledged whenever it is repeated; of several orders based
// on the same version at most one is applied.
//
// The state consists of the current configuration and the hashes of all applied orders. A process builds Orders from the replicated records
// when it becomes primary, and discards it when it no longer is primary or when the outcome of a write is unknown.
type Orders struct {
	current *Configuration
	applied map[string]uint64 // revision that each applied order created, by hash of the order
	pending *Decision
}

// NewOrders returns the state with the current configuration, nil if there is none yet, and the revision that each applied order created, by
// the hash of the order.
func NewOrders(current *Configuration, applied map[string]uint64) *Orders {
	o := &Orders{current: current, applied: make(map[string]uint64, len(applied))}
	for hash, revision := range applied {
		o.applied[hash] = revision
	}
	return o
}

// Current returns the current configuration, or nil if there is none yet.
func (o *Orders) Current() *Configuration { return o.current }

// Applied returns the number of orders that were applied.
func (o *Orders) Applied() int { return len(o.applied) }

// Decide decides how to handle an order. With ActionWrite the order is pending until Commit or Abort is called.
func (o *Orders) Decide(order Order) Decision {
	d := Decision{Hash: order.Hash()}
	if _, ok := o.applied[d.Hash]; ok {
		d.Action, d.Status = ActionRespond, StatusApplied
		return d
	}
	if o.pending != nil {
		d.Action = ActionWait
		return d
	}
	if current := o.revision(); order.Base != current {
		return d.refused(StatusVersionConflict, newError(KindVersionConflict,
			"version %d is current, not %d: read it with /config/describe and build on it", current, order.Base))
	}
	next, err := o.apply(order)
	if err != nil {
		return d.refused(StatusInvalid, err)
	}
	d.Action, d.Configuration = ActionWrite, next
	o.pending = &d
	return d
}

func (d Decision) refused(status int, err error) Decision {
	d.Action, d.Status, d.Err = ActionRespond, status, err
	return d
}

func (o *Orders) revision() uint64 {
	if o.current == nil {
		return 0
	}
	return o.current.Revision
}

func (o *Orders) apply(order Order) (*Configuration, error) {
	if order.Verb == VerbUpdate {
		return o.current.Update(order.Body)
	}
	return o.current.Replace(order.Body)
}

// Commit completes the pending order after its records were written: its configuration becomes current.
func (o *Orders) Commit(hash string) {
	if o.pending == nil || o.pending.Hash != hash {
		return
	}
	o.current = o.pending.Configuration
	o.applied[hash] = o.current.Revision
	o.pending = nil
}

// Abort drops the pending order. It may be called only if no replica can have written the records; otherwise Orders must be rebuilt instead.
func (o *Orders) Abort(hash string) {
	if o.pending != nil && o.pending.Hash == hash {
		o.pending = nil
	}
}
