// Package placement decides which stores hold the copies of which partitions, and which dispatchers own which services.
//
// It is purely functional: the same input gives the same output, regardless of the order of stores and offers. A plan only
// proposes views that are safe to install after the current ones; see Plan.
package placement

import "time"

// Store describes a storage process.
type Store struct {
	// Member is NodeName/DiskID: the store together with its current disk.
	Member string
	// Zone and Region are the location of the machine.
	Zone, Region string
	// Leaving is set during a planned shutdown: the store stays a member of its partitions but gives up being primary.
	Leaving bool
	// Retiring is set when the machine is to be emptied: the store gives up being primary, then all of its copies.
	Retiring bool
	// Stalled is set when the process runs but its disk completes no operations or refuses writes. The store counts as unavailable and may return.
	Stalled bool
	// Full is set when the store has no room for further copies. It keeps the copies that it has, and may be their primary.
	Full bool
	// Abandoned is set when the operator has given up the disk. While the store is unavailable, the disk counts as lost, regardless of how many
	// others are lost.
	Abandoned bool
	// DownFor is the time for which the store has had no session, 0 while it has one. A member without a Store is permanently removed.
	DownFor time.Duration
}

// View is the replica group of one partition in an epoch.
type View struct {
	Epoch    uint64
	Primary  string
	Members  []string
	Learners []string
	// Sources are the learners that together with the primary hold all acknowledged records, when no single store holds all of them. The
	// primary fetches the records that it lacks from them before it becomes active.
	Sources []string
	// Holders do not participate in replication but keep their records: while there are fewer than Copies members, their disks may hold the only
	// copies of some acknowledged records if the disks of the members are lost.
	Holders []string
}

// Change replaces the view of one partition. The epoch of the new view is the successor of the epoch that it was planned on: a
// change must only be installed if the partition's view still has that epoch.
type Change struct {
	Partition int
	View      View
}

// Input is everything that a plan depends on.
type Input struct {
	// Stores holds every store that has a session, and every store that had one and may return.
	Stores []Store
	// Partitions holds the current view of each partition, by number.
	Partitions []View
	// Copies is the replication factor: the number of disks that hold the records of a partition.
	Copies int
	// Offers holds, for each partition, the learners that the primary of the current epoch has offered as members: they hold
	// all records of the primary, and its writes wait for them. Offers of earlier epochs must not be included.
	Offers map[int][]string
	// Blocked holds pairs of live stores that cannot reach each other. If a partition has both, one is excluded, provided that the others
	// can provide Copies copies without it. A copy is placed on a store that cannot reach the members only if there is no other way to have Copies.
	Blocked [][2]string
	// MoveLimit is the maximum number of partitions that are moved at once for balance or retirement alone; 0 means DefaultMoveLimit.
	MoveLimit int
	// SpreadRegions requests copies in different regions, not only in different zones.
	SpreadRegions bool
	// SharedZones is set when the system need not survive the loss of a zone: the copies of a partition are placed in as few zones as have
	// enough stores for them, and its primary preferably where most of them are, to reduce the traffic between zones.
	SharedZones bool
	// NoBalance omits moves that only serve balance, so that the caller can pace them.
	NoBalance bool
}

const (
	// DefaultMoveLimit is the default of Input.MoveLimit.
	DefaultMoveLimit = 8
	// RebalanceDelay is how long no copies are moved for balance after a store that may return has become unavailable.
	RebalanceDelay = 10 * time.Second
)

// Plan returns the changes to make now, ordered by partition. Each change obeys these rules:
//
//   - The new members are members of the old view or learners that were offered, so each holds all acknowledged records.
//     The new primary is one of them and is live.
//   - An unavailable member is dropped if a store that holds all records is live; otherwise the view stays unchanged until
//     one returns.
//   - While fewer than Copies live disks participate, the missing number of learners is attached at once.
//   - A dropped member stays listed as a learner until there are Copies members again. Writes do not wait for an unavailable
//     learner; when it returns with its disk, the primary brings it up to date without a further view.
//   - While there are fewer than Copies members, all previous members and learners stay listed, as learners or holders: each
//     acknowledged write is on the disks of Copies of them. If the disks of all members are lost, but at most Copies-1 of those
//     listed, one of the other stores becomes primary with the rest as sources, once all of these are live. If more are lost, this waits
//     until the operator has abandoned each of them; if no disk remains then, the partition restarts without records.
//   - Stores that are leaving or retiring give up being primary at once if another member is live. The copies of a retiring
//     store are replaced, a few at a time.
//   - When no copy is missing, primaries and then copies are moved for balance, a few at a time. With SharedZones, primaries
//     are first moved to where most copies of their partition are.
//
// The caller plans again after each event and, for balancing moves, periodically.
func Plan(in Input) []Change {
	s := newState(in)
	for p := range s.views {
		s.repair(p)
	}
	if !in.NoBalance && s.fullyReplicated() {
		s.colocatePrimaries()
		s.balancePrimaries()
		if s.noRecentLoss() {
			s.balanceMembers()
		}
	}
	return s.changes()
}

// CanRemove reports whether no partition refers to the member any more, so that its machine may be removed.
func CanRemove(partitions []View, member string) bool {
	for _, v := range partitions {
		if v.Primary == member || contains(v.Members, member) || contains(v.Learners, member) || contains(v.Holders, member) {
			return false
		}
	}
	return true
}

// CanRetire reports whether enough other nodes are live and not retiring to hold all copies without the member.
func CanRetire(stores []Store, member string, copies int) bool {
	return remaining(stores, member, 0) >= copies
}

// CanRetireSoon is CanRetire on the assumption that stores that have been unavailable for at most RebalanceDelay return.
func CanRetireSoon(stores []Store, member string, copies int) bool {
	return remaining(stores, member, RebalanceDelay) >= copies
}

// remaining counts the nodes other than that of the member with a store that is not retiring and has been unavailable for at most maxDown.
func remaining(stores []Store, member string, maxDown time.Duration) int {
	nodes := map[string]bool{}
	for _, s := range stores {
		if s.DownFor <= maxDown && !s.Retiring && NodeName(s.Member) != NodeName(member) {
			nodes[NodeName(s.Member)] = true
		}
	}
	return len(nodes)
}
