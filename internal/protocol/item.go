package protocol

import (
	"slices"
	"time"
)

// ItemKind identifies one of the items that are replicated to every process.
type ItemKind uint8

// The kinds of items.
const (
	ItemControl       ItemKind = 1 // body: ControlView
	ItemConfiguration ItemKind = 2 // body: the operator's JSON
	ItemNodes         ItemKind = 3 // body: NodeTable
	ItemPartitions    ItemKind = 4 // body: PartitionTable
	ItemWorkers       ItemKind = 5 // body: Workers
)

// ItemVersion orders the states of an item: by Term, then by Number. The zero version is older than all others.
type ItemVersion struct {
	Term   uint64
	Number uint64
}

// Less reports whether v is older than w.
func (v ItemVersion) Less(w ItemVersion) bool {
	return v.Term < w.Term || v.Term == w.Term && v.Number < w.Number
}

// Item is one state of an item.
type Item struct {
	Kind    ItemKind
	Version ItemVersion
	Body    []byte
}

// ItemDigest is the version of an item that a process has.
type ItemDigest struct {
	Kind    ItemKind
	Version ItemVersion
}

// Digest summarizes the item versions that a process has, for comparison with those of another process.
type Digest struct {
	Key              string // node key of the sender
	Address          string // internal address of the sender
	Versions         []ItemDigest
	WorkersFreshness WorkersFreshness
	Reply            bool // sent in reply to a digest; gets no reply itself
}

// Fetch requests items by kind.
type Fetch struct{ Kinds []ItemKind }

// Items carries states of items.
type Items struct{ Items []Item }

// MemberAddress holds the addresses of a member of the control group.
type MemberAddress struct {
	Member       string
	Address      string // internal
	ControlPlane string
}

// ControlView is the view of the control group.
type ControlView struct {
	Epoch     uint64
	Primary   string // member
	Members   []string
	Learners  []string
	Witnesses []string
	Addresses []MemberAddress
}

// AddressOf returns the addresses of a member; ok is false if the view has none.
func (v *ControlView) AddressOf(member string) (address MemberAddress, ok bool) {
	for _, a := range v.Addresses {
		if a.Member == member {
			return a, true
		}
	}
	return MemberAddress{}, false
}

// PartitionView is the view of one partition.
type PartitionView struct {
	Partition uint32
	Epoch     uint64
	Primary   string // member
	Members   []string
	Learners  []string
	Sources   []string // learners from which the primary fetches records before it becomes active
	Holders   []string // members that do not participate in replication but keep their records
}

// Includes reports whether the view lists the member in a role in which it may hold records.
func (m *PartitionView) Includes(member string) bool {
	return slices.Contains(m.Members, member) || slices.Contains(m.Learners, member) || slices.Contains(m.Holders, member)
}

// PartitionTable is the body of an ItemPartitions item; partition n is at index n.
type PartitionTable struct{ Partitions []PartitionView }

// Worker is one entry of the platform's worker list.
type Worker struct {
	ID       string
	Service  string // the Backend field of the list
	Address  string
	Zone     string
	Revision string
	Capacity uint32
	Draining bool
	ColdFor  time.Duration // reserved: not set or read by this version; keeps its position in the encoding
}

// Workers is the body of an ItemWorkers item.
type Workers struct {
	ReadAt  int64 // cluster time at which the read began, nanoseconds since 1970
	Workers []Worker
}

// WorkersFreshness states that the worker list was read again at ReadAt and was still the one of Version.
type WorkersFreshness struct {
	Version ItemVersion
	ReadAt  int64 // cluster time at which the read began, nanoseconds since 1970
}
