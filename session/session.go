// Package session provides the table of live processes.
//
// A session is opened by the first heartbeat of a process and renewed by each further one. It ends when no heartbeat has
// arrived for the expiry time of its role, when the process reports that it has stopped, when its address refuses connections,
// or when another incarnation of the same node appears. The table does no I/O: time is passed in as a duration on the monotonic
// clock of the process that owns the table.
package session

// Node describes a process.
type Node struct {
	// Key is NodeName/role, Name is the NodeName alone.
	Key, Name string
	Role      uint8
	// Incarnation is a number chosen at each start of the process.
	Incarnation uint64
	// Member is NodeName/DiskID, empty without a disk.
	Member       string
	Zone, Region string
	Address      string
	ControlPlane string
	// Leaving is set during a planned shutdown of the process.
	Leaving bool
	// CountsForQuorum is set if the process counts towards quorums.
	CountsForQuorum bool
}

// EventKind is the kind of change of a session.
type EventKind uint8

// Event kinds.
const (
	// Opened is reported when a session begins.
	Opened EventKind = iota + 1
	// Changed is reported when the description of a node changes.
	Changed
	// Ended is reported when a session ends; see Event.Cause.
	Ended
)

// Cause is the reason why a session ended.
type Cause uint8

// Causes of the end of a session.
const (
	// Expired is the absence of heartbeats: the process may still run.
	Expired Cause = iota + 1
	// Departed is the report of a process that it has stopped.
	Departed
	// Replaced is the start of another incarnation on the same node.
	Replaced
	// Refused is a refused connection to the address of the process: the process has stopped, or the network refuses on its behalf.
	Refused
)

// Event is one change of the table.
type Event struct {
	Kind EventKind
	Node Node
	// Cause is set if Kind is Ended.
	Cause Cause
}

// ProcessStopped reports whether the process of an ended session is known to have stopped, so that everything granted to it
// is void immediately.
func (e Event) ProcessStopped() bool { return e.Kind == Ended && !e.Cause.mayReturn() }

// mayReturn reports whether an incarnation may still run after its session has ended with this cause.
func (c Cause) mayReturn() bool { return c == Expired || c == Refused }
