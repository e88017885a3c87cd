// Package session keeps the table of the processes that are known to be alive.
//
// A session is opened by the first heartbeat of a process, kept by each further one, and ends when none has come for the
// expiry time of its role, when the process says that it is over, or when another incarnation of the same node appears.
// The table is pure: time comes in as a duration on the steady clock of whoever judges.
package session

// Node describes a process.
type Node struct {
	// Key is NodeName/role, Name the NodeName alone.
	Key, Name string
	Role      uint8
	// Incarnation is drawn at each start of the process.
	Incarnation uint64
	// Member is NodeName/DiskID, empty without a disk.
	Member       string
	Zone, Region string
	Address      string
	ControlPlane string
	// Leaving says that the process is about to end as planned.
	Leaving bool
	// CountsForQuorum says that the process counts for quorums.
	CountsForQuorum bool
}

// EventKind says what happened to a session.
type EventKind uint8

// The kinds of events.
const (
	// Opened is a session that began.
	Opened EventKind = iota + 1
	// Changed is a session whose node describes itself otherwise than before.
	Changed
	// Ended is a session that is over; Cause says why.
	Ended
)

// Cause says why a session ended.
type Cause uint8

// The causes of ends.
const (
	// Expired is a session without heartbeats: the process may still run.
	Expired Cause = iota + 1
	// Departed is a process that said that it is over.
	Departed
	// Replaced is a process whose node has started another incarnation.
	Replaced
	// Refused is a process whose address refuses connections: it has ended, or the network refuses for it.
	Refused
)

// Event is one change of the table.
type Event struct {
	Kind EventKind
	Node Node
	// Cause is set for Ended.
	Cause Cause
}

// ProcessStopped reports whether the process of an ended session is known not to run any more, so that what was granted to it
// is void at once.
func (e Event) ProcessStopped() bool { return e.Kind == Ended && !e.Cause.mayReturn() }

// mayReturn reports whether an incarnation whose session ended so may still run.
func (c Cause) mayReturn() bool { return c == Expired || c == Refused }
