package protocol

import (
	"time"

	"liftgauge/clustertime"
)

// Role is the function of a process in the system.
type Role uint8

// The roles.
const (
	RoleControl    Role = 1
	RoleDispatcher Role = 2
	RoleStore      Role = 3
)

// String returns the name of the role as used on the command line.
func (r Role) String() string {
	switch r {
	case RoleControl:
		return "control"
	case RoleDispatcher:
		return "dispatcher"
	case RoleStore:
		return "store"
	}
	return "unknown"
}

// NodeKey identifies the process of a role on a machine; it stays the same across restarts.
func NodeKey(nodeName string, role Role) string { return nodeName + "/" + role.String() }

// Node describes a process with a session, as published to all processes.
type Node struct {
	Key             string // NodeKey(Name, Role)
	Name            string // name of the machine
	Role            Role
	Incarnation     uint64 // chosen at random at each start
	Member          string // NodeName/DiskID; empty without a disk
	Zone            string
	Region          string
	Address         string // internal, TCP and UDP
	ControlPlane    string // address of the operator's API; empty if not served
	Leaving         bool   // a planned shutdown has begun
	CountsForQuorum bool   // the CountsForQuorum setting of its machine
}

// NodeTable is the body of an ItemNodes item.
type NodeTable struct{ Nodes []Node }

// Heartbeat opens or renews the session of a process.
type Heartbeat struct {
	Node          Node
	Digest        Digest
	Offers        []PromotionOffer // learners that have caught up, reported by the primary of their partition
	PartitionsLed uint32           // number of partitions that this store leads
	DiskFull      bool             // the store's disk is full
	// UnreachablePeers lists the members of partitions led by this store that it cannot reach.
	UnreachablePeers []string
	// DiskStalled reports that the store's disk completes no operations, or refuses writes.
	DiskStalled bool
	// WorkerListStale reports that this control process is responsible for reading the platform's worker list and has not succeeded for
	// some time.
	WorkerListStale bool
	Time            TimeReport
}

// TimeReport is what a process knows of the cluster time when it sends a heartbeat.
type TimeReport struct {
	Certainty clustertime.Certainty
	Floor     int64 // nanoseconds since 1970; 0 unless it differs from Time
	Time      int64 // nanoseconds since 1970
}

// NewTimeReport returns the report of an estimate.
func NewTimeReport(e clustertime.Estimate) TimeReport {
	r := TimeReport{Certainty: e.Certainty, Time: int64(e.Time)}
	if e.Floor != e.Time {
		r.Floor = int64(e.Floor)
	}
	return r
}

// Estimate returns the reported estimate.
func (r TimeReport) Estimate() clustertime.Estimate {
	floor := r.Floor
	if floor == 0 {
		floor = r.Time
	}
	return clustertime.Estimate{Certainty: r.Certainty, Floor: time.Duration(floor), Time: time.Duration(r.Time)}
}

// PromotionOffer names a learner of a partition that has all records and can become a full member.
type PromotionOffer struct {
	Partition uint32
	Epoch     uint64 // of the view that the learner belongs to
	Learner   string // member
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Accepted    bool
	Primary     string // internal address of the control group's primary; empty if unknown
	ClusterTime int64  // nanoseconds since 1970; set only if the heartbeat was accepted
	Digest      Digest
}

// Leave announces the planned shutdown of a process (EndSession false) or ends its session (EndSession true).
type Leave struct {
	Key         string
	Incarnation uint64
	EndSession  bool
}
