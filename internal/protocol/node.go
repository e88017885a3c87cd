package protocol

// Role is what a process does.
type Role uint8

// The roles.
const (
	RoleControl    Role = 1
	RoleDispatcher Role = 2
	RoleStore      Role = 3
)

// String is the name of the role as in the command line.
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

// NodeKey names the process of a role on a machine; it outlives restarts.
func NodeKey(nodeName string, role Role) string { return nodeName + "/" + role.String() }

// Node is what everybody knows of a process with a session.
type Node struct {
	Key             string // NodeKey(Name, Role)
	Name            string // of the machine
	Role            Role
	Incarnation     uint64 // drawn at each start
	Member          string // NodeName/DiskID; empty without a disk
	Zone            string
	Region          string
	Address         string // internal, TCP and UDP
	ControlPlane    string // where the operator's API is served; empty where it is not
	Leaving         bool   // a planned end has begun
	CountsForQuorum bool   // CountsForQuorum of its machine
}

// NodeTable is the body of an ItemNodes item.
type NodeTable struct{ Nodes []Node }

// Heartbeat opens or renews the session of a process.
type Heartbeat struct {
	Node          Node
	Digest        Digest
	Offers        []PromotionOffer // learners that are equal, by the primary of their partition
	PartitionsLed uint32           // partitions that this store leads
	DiskFull      bool             // the store's disk is full
	// Stuck names the stores that this store shares partitions with, leads them, and cannot reach.
	UnreachablePeers []string
	// Stalled says that the store's disk finishes nothing, or refuses writes.
	DiskStalled bool
	// ListUnread says that this control process has the duty of reading the platform's list, and has not succeeded for a while.
	WorkerListStale bool
}

// Offer names a learner of a partition that has all records.
type PromotionOffer struct {
	Partition uint32
	Epoch     uint64 // of the view that the learner belongs to
	Learner   string // member
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Accepted    bool
	Primary     string // internal address of control's primary as far as known; empty if not
	ClusterTime int64  // nanoseconds since 1970; only of an accepted heartbeat
	Digest      Digest
}

// Leave announces the planned end of a process (Over false) or ends its session (Over true).
type Leave struct {
	Key         string
	Incarnation uint64
	EndSession  bool
}
