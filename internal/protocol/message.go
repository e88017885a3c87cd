package protocol

import "time"

// The error codes of refused calls (rpc.RemoteError.Code) between roles.
const (
	CodeNotPrimary     uint16 = 1 // the callee is not the primary; the request was not applied
	CodeUnavailable    uint16 = 2 // the request was not applied; retry later
	CodeInvalid        uint16 = 3 // the frame cannot be decoded
	CodeUnknownKind    uint16 = 4 // the callee has no handler for the kind
	CodeOutcomeUnknown uint16 = 5 // the request may have been applied
)

// ReplicationFrame carries one encoded message of package replication.
type ReplicationFrame struct {
	Group uint32
	From  string // member
	To    string // member
	Body  []byte
}

// LeaseRequest asks a store for a lease, during which it will not act as primary in place of the sender's member.
type LeaseRequest struct {
	From     string // member
	To       string // member
	Sequence uint64
	Duration time.Duration // measured by the grantor from the arrival of the request
	Release  bool          // releases the granted lease
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	Granted    bool
	Sequence   uint64
	NearlyFull bool   // the grantor's disk has little room left
	Room       uint64 // that room in bytes, if NearlyFull
}

// Header is one HTTP header field of a message, as received.
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
	URI       string // path and query as received
	Key       string // X-Ordering-Key
	Headers   []Header
	Delay     time.Duration // remaining part of X-Delay-Ms
	Age       time.Duration // since the first byte of the request was read
	Table     ItemVersion   // version of the sender's partition table
	Body      []byte
}

// AcceptStatus is the result of an Accept.
type AcceptStatus uint8

// The results of an Accept.
const (
	AcceptStored     AcceptStatus = 1 // on disk at all members
	AcceptNotPrimary AcceptStatus = 2 // not stored: another store is the primary, or the view is not active yet
	AcceptFull       AcceptStatus = 3 // not stored: no space left
	AcceptNoRoute    AcceptStatus = 4 // not stored: no route matches the message
	AcceptUnknown    AcceptStatus = 5 // may have been stored: retry; requests are idempotent by ID
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

// The states of a message.
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

// HeldDelivery identifies a delivery that a dispatcher holds.
type HeldDelivery struct {
	Partition uint32
	ID        string
	Attempt   uint32
}

// ServiceWindow is the number of deliveries of a service that a dispatcher accepts concurrently.
type ServiceWindow struct {
	Service string
	Slots   uint32
}

// Hello starts deliveries on a connection from a dispatcher to a store, and is sent again when its content changes.
type Hello struct {
	Dispatcher    string // node key
	Incarnation   uint64
	Zone          string
	Region        string
	Table         ItemVersion // version of the sender's partition table
	Configuration ItemVersion
	Held          []HeldDelivery // all its deliveries of the partitions whose primary is this store according to Table
	Windows       []ServiceWindow
}

// Deliver sends a message to a dispatcher for one attempt.
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
	Configuration  ItemVersion   // at least as new as when the message was accepted
	DueFor         time.Duration // time since the message became due
	ExpiresIn      time.Duration // remaining retention time
	FailedAttempts uint32        // failed attempts so far that count towards the limit
	Body           []byte
}

// Outcome is the result of one attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomeSucceeded Outcome = 1 // 2xx with a signature
	OutcomeFailed    Outcome = 2 // 500: counts as a failed attempt
	OutcomeRefused   Outcome = 3 // 422: must not be retried
	OutcomeNotRun    Outcome = 4 // certainly not run
	OutcomeUnknown   Outcome = 5 // may have run
	OutcomeNoRoute   Outcome = 6 // the configuration no longer has a matching route
)

// Result reports the outcome of an attempt; the call is answered once the outcome is on disk at all members.
type Result struct {
	Partition  uint32
	ID         string
	Attempt    uint32
	Dispatcher string // node key
	Outcome    Outcome
	Status     uint16 // HTTP status of the worker's response; 0 without a response
	Signature  string
	RetryAfter time.Duration // requested delay before the next attempt
	Elapsed    time.Duration // time since the delivery arrived at the dispatcher
}
