package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// Verb is what an order does.
type Verb uint8

// The verbs.
const (
	VerbReplace Verb = 1 // POST /config/replace
	VerbUpdate  Verb = 2 // POST /config/update
)

// Keys of the replicated records that hold the state of Orders.
const (
	RecordCurrent       = "config/current" // the JSON of the current configuration
	RecordAppliedPrefix = "config/taken/"  // with an order's hash behind it: the revision that the order made, in decimal digits
)

// The HTTP statuses that answer an order.
const (
	StatusApplied         = 200 // the order was taken, now or before
	StatusInvalid         = 400
	StatusVersionConflict = 412 // another version than the order builds on is current
)

// hashBytes is how much of an order's SHA-256 is kept.
const hashBytes = 16

// Order is one order of the operator.
type Order struct {
	Verb Verb
	Base uint64 // the version that it builds on
	Body []byte
}

// ParseBase reads the header X-Base-Version.
func ParseBase(header string) (uint64, error) {
	base, err := strconv.ParseUint(strings.TrimSpace(header), 10, 64)
	if err != nil {
		return 0, refuse(KindBaseVersion, "X-Base-Version is %.40q: send the version that the change builds on, 0 for the first", header)
	}
	return base, nil
}

// Hash names the order: two orders have the same hash only when they are the same.
func (o Order) Hash() string {
	h := sha256.New()
	h.Write([]byte{byte(o.Verb)})
	h.Write(strconv.AppendUint(nil, o.Base, 10))
	h.Write([]byte{'\n'})
	h.Write(o.Body)
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

// Action says what is to be done with an order.
type Action uint8

// The actions.
const (
	ActionRespond Action = iota + 1 // answer with the Status
	ActionWrite                     // write the records, then Commit, then answer 200
	ActionWait                      // another order, or the same one, is under way: decide again once it was committed or aborted
)

// Decision is what Orders decided about an order.
type Decision struct {
	Action        Action
	Status        int            // of HTTP, with ActionAnswer
	Err           error          // why it is refused
	Hash          string         // of the order
	Configuration *Configuration // with ActionWrite: what is to be current
}

// Orders decides about the operator's orders. An order that was taken once is acknowledged for good; of several orders on top of one
// version exactly one is taken.
//
// The state is current configuration and hashes of all orders taken. A process builds Orders from the replicated records when it becomes
// primary, and throws it away when it no longer is, or when a write's fate is not known.
type Orders struct {
	current *Configuration
	taken   map[string]uint64 // revision that the order made, by its hash
	pending *Decision
}

// NewOrders returns the state with a current configuration, nil if there is none yet, and the orders that were taken: the revision that each
// made, by its hash.
func NewOrders(current *Configuration, taken map[string]uint64) *Orders {
	o := &Orders{current: current, taken: make(map[string]uint64, len(taken))}
	for hash, revision := range taken {
		o.taken[hash] = revision
	}
	return o
}

// Current returns the current configuration, nil if there is none yet.
func (o *Orders) Current() *Configuration { return o.current }

// Applied returns how many orders were taken.
func (o *Orders) Applied() int { return len(o.taken) }

// Decide decides about an order. With ActionWrite the order is under way until Commit or Abort is called.
func (o *Orders) Decide(order Order) Decision {
	d := Decision{Hash: order.Hash()}
	if _, ok := o.taken[d.Hash]; ok {
		d.Action, d.Status = ActionRespond, StatusApplied
		return d
	}
	if o.pending != nil {
		d.Action = ActionWait
		return d
	}
	if current := o.revision(); order.Base != current {
		return d.refused(StatusVersionConflict, refuse(KindVersionConflict,
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

// Commit says that the records of the order under way are written: its configuration is current.
func (o *Orders) Commit(hash string) {
	if o.pending == nil || o.pending.Hash != hash {
		return
	}
	o.current = o.pending.Configuration
	o.taken[hash] = o.current.Revision
	o.pending = nil
}

// Abort says that the order under way was surely not written anywhere. Where that is not sure, the Orders must be built anew instead.
func (o *Orders) Abort(hash string) {
	if o.pending != nil && o.pending.Hash == hash {
		o.pending = nil
	}
}
