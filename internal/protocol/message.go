package protocol

import "time"

// The codes of refused calls (rpc.RemoteError.Code) between roles.
const (
	CodeNotPrimary     uint16 = 1 // the callee is not the primary; nothing was done
	CodeUnavailable    uint16 = 2 // nothing was done; try again later
	CodeInvalid        uint16 = 3 // the frame cannot be understood
	CodeUnknownKind    uint16 = 4 // the callee has no handler for the kind
	CodeOutcomeUnknown uint16 = 5 // it may have been done
)

// ReplicationFrame carries one encoded message of package replication.
type ReplicationFrame struct {
	Group uint32
	From  string // member
	To    string // member
	Body  []byte
}

// LeaseRequest asks a store to promise that it will not act as primary in place of the sender's member.
type LeaseRequest struct {
	From     string // member
	To       string // member
	Sequence uint64
	Duration time.Duration // counted by the grantor from the arrival
	Release  bool          // gives back what was granted
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	Granted  bool
	Sequence uint64
}

// Header is one header field of a message as it arrived.
type Header struct {
	Name  string
	Value string
}

// Accept asks the primary of a partition to store a message.
type Accept struct {
	Partition uint32
	ID        string // pppp-<request id>
	RequestID string
	Method    string
	Host      string
	URI       string // path and query as they arrived
	Key       string // X-Ordering-Key
	Headers   []Header
	Delay     time.Duration // what is left of X-Delay-Ms
	Age       time.Duration // since the first byte of the request was read
	Table     ItemVersion   // partition table of the sender
	Body      []byte
}

// AcceptStatus is what became of an Accept.
type AcceptStatus uint8

// The results of an Accept.
const (
	AcceptStored     AcceptStatus = 1 // on disk at all members
	AcceptNotPrimary AcceptStatus = 2 // not taken: another store is the primary, or the view is not active yet
	AcceptFull       AcceptStatus = 3 // not taken: no room
	AcceptNoRoute    AcceptStatus = 4 // not taken: no route for it
	AcceptUnknown    AcceptStatus = 5 // may have been taken: ask again, idempotent by ID
)

// AcceptReply answers an Accept.
type AcceptReply struct {
	Status     AcceptStatus
	RetryAfter time.Duration
}

// Lookup asks for the state of a message.
type Lookup struct {
	Partition uint32
	ID        string
	WantBody  bool
}

// MessageState is the state of a message.
type MessageState uint8

// The states.
const (
	StateQueued     MessageState = 1
	StateSucceeded  MessageState = 2
	StateDeadLetter MessageState = 3
)

// LookupReply answers a Lookup.
type LookupReply struct {
	Found     bool // false: this active primary has no such message
	State     MessageState
	Signature string
	Body      []byte
	HasBody   bool
}

// HeldDelivery is a delivery that a dispatcher has.
type HeldDelivery struct {
	Partition uint32
	ID        string
	Attempt   uint32
}

// ServiceWindow is the number of deliveries of a service that a dispatcher takes at a time.
type ServiceWindow struct {
	Service string
	Slots   uint32
}

// Hello opens the flow of deliveries on a connection from a dispatcher to a store, and is sent again when its content changes.
type Hello struct {
	Dispatcher    string // node key
	Incarnation   uint64
	Zone          string
	Region        string
	Table         ItemVersion // partition table of the sender
	Configuration ItemVersion
	Held          []HeldDelivery // all that it has of the partitions which the store leads by that table
	Windows       []ServiceWindow
}

// Deliver hands a message to a dispatcher for one attempt.
type Deliver struct {
	Partition      uint32
	Epoch          uint64
	ID             string
	Attempt        uint32
	RequestID      string
	Method         string
	Host           string
	URI            string
	Key            string
	Headers        []Header
	Configuration  ItemVersion   // at least as new as at the accept
	DueFor         time.Duration // since it became due
	ExpiresIn      time.Duration // what is left of its retention
	FailedAttempts uint32        // failed attempts that counted so far
	Body           []byte
}

// Outcome is the end of one attempt.
type Outcome uint8

// The outcomes.
const (
	OutcomeSucceeded Outcome = 1 // 2xx with a signature
	OutcomeFailed    Outcome = 2 // 500: counts as an attempt
	OutcomeRefused   Outcome = 3 // 422: never to be done
	OutcomeNotRun    Outcome = 4 // surely not run
	OutcomeUnknown   Outcome = 5 // may have run
	OutcomeNoRoute   Outcome = 6 // the configuration has no route for it any more
)

// Result reports the outcome of an attempt; its call is answered once that is on disk everywhere.
type Result struct {
	Partition  uint32
	ID         string
	Attempt    uint32
	Dispatcher string // node key
	Outcome    Outcome
	Status     uint16 // of the worker's answer; 0 without one
	Signature  string
	RetryAfter time.Duration // wanted before the next attempt
	Elapsed    time.Duration // since the delivery arrived at the dispatcher
}
