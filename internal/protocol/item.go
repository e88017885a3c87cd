package protocol

import (
	"slices"
	"time"
)

// ItemKind names one of the items that every process holds.
type ItemKind uint8

// The items.
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

// Less says whether v is older than w.
func (v ItemVersion) Less(w ItemVersion) bool {
	return v.Term < w.Term || v.Term == w.Term && v.Number < w.Number
}

// Item is one state of an item.
type Item struct {
	Kind    ItemKind
	Version ItemVersion
	Body    []byte
}

// ItemDigest names the state of an item that somebody has.
type ItemDigest struct {
	Kind    ItemKind
	Version ItemVersion
}

// Digest is a comparison of the items of two processes.
type Digest struct {
	Key              string // of the sender
	Address          string // internal, of the sender
	Versions         []ItemDigest
	WorkersFreshness WorkersFreshness
	Reply            bool // sent in answer to a digest; not answered again
}

// Fetch asks for items.
type Fetch struct{ Kinds []ItemKind }

// Items carries states of items.
type Items struct{ Items []Item }

// MemberAddress tells where a member of control's group is.
type MemberAddress struct {
	Member       string
	Address      string // internal
	ControlPlane string
}

// ControlView is the view of control's own group.
type ControlView struct {
	Epoch     uint64
	Primary   string // member
	Members   []string
	Learners  []string
	Witnesses []string
	Addresses []MemberAddress
}

// AddressOf returns the addresses of a member; ok is false if the view does not name them.
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
	Sources   []string // learners that the primary takes records from before it is active
	Holders   []string // take no part, and keep what they have
}

// Names tells whether the view names a member that may hold records.
func (m *PartitionView) Includes(member string) bool {
	return slices.Contains(m.Members, member) || slices.Contains(m.Learners, member) || slices.Contains(m.Holders, member)
}

// PartitionTable is the body of an ItemPartitions item; partition n is at index n.
type PartitionTable struct{ Partitions []PartitionView }

// Worker is one entry of the platform's list.
type Worker struct {
	ID       string
	Service  string // Backend of the list
	Address  string
	Zone     string
	Revision string
	Capacity uint32
	Draining bool
	ColdFor  time.Duration // not told by this version, and passed over; its place in the frame stays
}

// Workers is the body of an ItemWorkers item.
type Workers struct {
	ReadAt  int64 // cluster time when the reading began, nanoseconds since 1970
	Workers []Worker
}

// WorkersFresh says that the list of Version was read again, unchanged, at ReadAt.
type WorkersFreshness struct {
	Version ItemVersion
	ReadAt  int64 // cluster time when the reading began, nanoseconds since 1970
}
