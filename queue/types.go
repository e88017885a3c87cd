package queue

import "time"

// Route is the part of the current configuration that applies to a message.
type Route struct {
	Name        string
	Service     string
	Fifo        bool          // messages with the same key are delivered one after the other
	MaxAttempts int           // failed attempts after which a message is a dead letter; 0 counts as 1
	Retention   time.Duration // maximum time that a message is kept; used by the owner to create an Entry
	Timeout     time.Duration // limit of a single delivery
	TargetStart time.Duration // target for the start of processing, counted from the due time
	Priority    int           // 0 is the highest
}

// Entry describes a message to add to the queue.
type Entry struct {
	Partition         uint32
	ID                string
	Key               string // ordering key, empty for none
	Host              string
	URI               string
	Sequence          uint64   // order of acceptance within the partition
	Revision          Revision // revision of the configuration under which the message was accepted
	DueIn             time.Duration
	ExpiresIn         time.Duration
	Attempts          int      // failed attempts so far
	LastAttempt       uint32   // number of the last delivery; new deliveries are numbered after it
	CountedDeliveries []uint32 // deliveries whose outcome has been counted already and must not be counted again
}

// Delivery is the delivery of one message to one dispatcher.
type Delivery struct {
	Partition  uint32
	ID         string
	Host       string
	URI        string
	Key        string
	Revision   Revision      // of the configuration under which it was accepted
	DueFor     time.Duration // time since the message was due
	ExpiresIn  time.Duration
	Epoch      uint64 // of the partition
	Attempt    uint32 // number of the delivery, unique within the message
	Failed     int    // failed attempts before this one
	Dispatcher string
	Service    string
	Late       bool // the target start has passed
}

// Outcome is the result of a delivery.
type Outcome uint8

// The outcomes of a delivery. Only Failed counts as a failed attempt.
const (
	Succeeded   Outcome = 1 + iota // a worker processed the message
	Refused                        // a worker rejected the message for good (422)
	Failed                         // a worker failed to process the message (500)
	NotRun                         // the message definitely was not processed
	Unclear                        // the message may have been processed
	ServiceDown                    // no worker of the service is reachable
	NoRoute                        // the dispatcher's configuration has no route for the message
)

// State is the state of a message as clients see it.
type State uint8

// The states of a message.
const (
	Queued State = iota
	Done
	DeadLetter
)

// Action tells the owner what to do with a Transition.
type Action uint8

// The actions that a Transition can require.
const (
	// Ignore: nothing is to be written: the message is or will be delivered again, or the outcome has been counted already.
	Ignore Action = iota
	// Unknown: the message is not in the queue; the owner's records show whether it has ended.
	Unknown
	// Record: the number of failed attempts has changed and must be written.
	Record
	// End: the message has ended. The owner writes its state, deletes its body and then calls ConfirmEnd.
	End
	// AlreadyEnding: the message has already ended, and its end is being written.
	AlreadyEnding
)

// Transition is a state change of a message that the owner makes durable.
type Transition struct {
	Action    Action
	Partition uint32
	ID        string
	State     State
	Attempts  int
	// DeliveredAgain says that a worker has succeeded while the message is at a dispatcher in another delivery: it may run again.
	DeliveredAgain bool
}

// Window bounds the deliveries in flight for a service.
type Window struct {
	Total         int // deliveries in flight
	PerDispatcher int // deliveries in flight at one dispatcher
	// Owners are the only dispatchers that may deliver to the service; nil means any dispatcher.
	Owners []string
}

// HeldDelivery identifies a delivery that a dispatcher reports to hold.
type HeldDelivery struct {
	Partition uint32
	ID        string
	Attempt   uint32
}

// Revision orders configurations: by Term, then by Number.
type Revision struct{ Term, Number uint64 }

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool {
	return r.Term < other.Term || r.Term == other.Term && r.Number < other.Number
}
