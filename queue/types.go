package queue

import "time"

// Route is what the present configuration says about a message.
type Route struct {
	Name        string
	Service     string
	Fifo        bool          // messages with the same key are handed out one after the other
	MaxAttempts int           // failed attempts that end a message; 0 counts as 1
	Retention   time.Duration // how long a message is kept at most; used by the owner when it makes an Entry
	Timeout     time.Duration // bound of a single delivery
	TargetStart time.Duration // wanted start of a run after the message is due
	Priority    int           // 0 is the highest
}

// Entry describes a message that is given to the queue.
type Entry struct {
	Partition         uint32
	ID                string
	Key               string // ordering key, empty for none
	Host              string
	URI               string
	Sequence          uint64   // order of acceptance within the partition
	Revision          Revision // revision of the configuration by which the message was accepted
	DueIn             time.Duration
	ExpiresIn         time.Duration
	Attempts          int      // failed attempts so far
	LastAttempt       uint32   // hand-outs are numbered from the next one on
	CountedDeliveries []uint32 // hand-outs whose outcome was counted before, and is not to be counted again
}

// Delivery is a hand-out of one message to one dispatcher.
type Delivery struct {
	Partition  uint32
	ID         string
	Host       string
	URI        string
	Key        string
	Revision   Revision // of the configuration by which it was accepted
	DueFor     time.Duration
	ExpiresIn  time.Duration
	Epoch      uint64 // of the partition
	Attempt    uint32 // number of the hand-out, unique within the message
	Failed     int    // failed attempts before this one
	Dispatcher string
	Service    string
	Late       bool // the wanted start has passed
}

// Outcome is what became of a hand-out.
type Outcome uint8

// The outcomes of a hand-out. Only Failed counts as an attempt.
const (
	Succeeded   Outcome = 1 + iota // a worker has done it
	Refused                        // a worker says that it can never be done (422)
	Failed                         // a worker has tried and failed (500)
	NotRun                         // it surely did not run
	Unclear                        // it may have run
	ServiceDown                    // no worker of the service can be reached
	NoRoute                        // the dispatcher's configuration has no route for it
)

// State is the state of a message as clients see it.
type State uint8

// The states of a message.
const (
	Queued State = iota
	Done
	DeadLetter
)

// Action says what the owner does with a Transition.
type Action uint8

// The actions that a Transition asks for.
const (
	// Ignore: nothing changes and nothing is written: the hand-out is out again or will be, or its outcome was counted before.
	Ignore Action = iota
	// Unknown: the queue does not know the message; the owner's records tell whether it has ended.
	Unknown
	// Record: the number of failed attempts has changed and is written.
	Record
	// End: the message has ended. The owner writes its state, deletes its body and then calls Settle.
	End
	// AlreadyEnding: the message has ended before, and its end is being written.
	AlreadyEnding
)

// Transition is a change of a message that the owner makes durable.
type Transition struct {
	Action    Action
	Partition uint32
	ID        string
	State     State
	Attempts  int
}

// Window bounds what is out at once for a service.
type Window struct {
	Total         int // hand-outs out at once
	PerDispatcher int // hand-outs out at once at one dispatcher
	// Owners are the only dispatchers that may deliver to the service; nil stands for any.
	Owners []string
}

// HeldDelivery names a hand-out that a dispatcher says it has.
type HeldDelivery struct {
	Partition uint32
	ID        string
	Attempt   uint32
}

// Revision orders configurations: by Term, then by Number.
type Revision struct{ Term, Number uint64 }

// Before says whether r is older than other.
func (r Revision) Before(other Revision) bool {
	return r.Term < other.Term || r.Term == other.Term && r.Number < other.Number
}
