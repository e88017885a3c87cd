package queue

import "time"

// LossCause says why a delivery was presumed lost.
type LossCause uint8

// The causes for which a delivery is presumed lost.
const (
	LostOverdue         LossCause = 1 + iota // no report and no confirmation arrived in time
	LostDisconnected                         // the same, at a dispatcher without a connection
	LostUnlisted                             // the dispatcher did not list it on a new connection
	LostUnlistedInEpoch                      // the dispatcher knows a later epoch and did not list it
	LostProcessEnded                         // the dispatcher's process has ended
)

// String returns the cause for logs.
func (c LossCause) String() string {
	switch c {
	case LostOverdue:
		return "overdue"
	case LostDisconnected:
		return "overdue at a disconnected dispatcher"
	case LostUnlisted:
		return "not listed on a new connection"
	case LostUnlistedInEpoch:
		return "not listed in a later epoch"
	case LostProcessEnded:
		return "process ended"
	}
	return "unknown"
}

// LostDelivery describes a delivery that was presumed lost.
type LostDelivery struct {
	Partition  uint32
	ID         string
	Attempt    uint32
	Dispatcher string
	Cause      LossCause
	Age        time.Duration // since the delivery, or since this store learned of it
	Foreign    bool          // another store made the delivery
}
