// Package placement decides which stores keep which partitions.
//
// It is pure: the same input gives the same output, whatever the order of its lists of stores and offers. A plan only
// proposes views that are safe to install after the present ones; see Plan.
package placement

import "time"

// Store is a storage process as far as placement needs it.
type Store struct {
	// Member is NodeName/DiskID: the store together with the disk that it has now.
	Member string
	// Zone and Region say where the machine is.
	Zone, Region string
	// Leaving says that the process is about to end as planned: it keeps its memberships but gives up being primary.
	Leaving bool
	// Retiring says that the machine is to be emptied: it gives up being primary, then every copy.
	Retiring bool
	// Stalled says that the process is there but its disk finishes nothing, or refuses writes: it counts as gone, and may return.
	Stalled bool
	// Abandoned says that the operator has given the disk up: while the store is gone, it counts as lost, however many others are.
	Abandoned bool
	// DownFor is how long the store has had no session, 0 while it is live. A member without a Store is gone for good.
	DownFor time.Duration
}

// View is the composition of one partition's group in an epoch.
type View struct {
	Epoch    uint64
	Primary  string
	Members  []string
	Learners []string
	// Sources are the learners that hold, together with the primary, what was acknowledged, where no single store holds all of it. The
	// primary takes from them what it lacks before it is active.
	Sources []string
	// Holders take no part, and keep what they have: without Copies members, some of what was acknowledged may be on their disks alone when
	// those of the members are lost.
	Holders []string
}

// Change replaces the view of one partition. Its epoch is the next after the one it was planned on: a change is only to be
// installed if the partition's view is still that one.
type Change struct {
	Partition int
	View      View
}

// Input is everything that a plan depends on.
type Input struct {
	// Stores holds every store that has a session, and those that had one and may return.
	Stores []Store
	// Partitions holds the present view of each partition, by number.
	Partitions []View
	// Copies is the number of disks that a partition's records are to be on.
	Copies int
	// Offers holds the learners of each partition that were offered by the primary of the present epoch: they hold all its
	// records, and its writes wait for them. Offers of earlier epochs must not be given.
	Offers map[int][]string
	// Blocked holds pairs of live stores that cannot reach each other. Where a partition has both, one is left out if the others can
	// have Copies without it; a copy is put beside one that it cannot reach only where Copies cannot be had otherwise.
	Blocked [][2]string
	// MoveLimit bounds the partitions that are moved at once only for balance or retirement; 0 means DefaultLimit.
	MoveLimit int
	// SpreadRegions asks for copies in different regions, not only in different zones.
	SpreadRegions bool
	// SharedZones says that a loss of zones need not be survived: a partition lies in as few zones as have stores enough for its copies, and
	// its primary is best where most of these are, so that fewer bytes cross zones.
	SharedZones bool
	// NoBalance leaves out the moves that are made only for balance, so that the caller can pace them.
	NoBalance bool
}

const (
	// DefaultMoveLimit is the number of partitions that are moved at once for balance or retirement.
	DefaultMoveLimit = 8
	// RebalanceDelay is how long copies are not moved for balance after a store has gone that may return.
	RebalanceDelay = 10 * time.Second
)

// Plan returns the changes that are to be made now, ordered by partition. Each keeps these rules:
//
//   - The new members are members of the old view or learners that were offered, so each holds all acknowledged records.
//     The new primary is one of them and is live.
//   - A member that is gone is dropped when one that holds all records is live, else the view stays as it is until one
//     returns.
//   - While fewer than Copies live disks take part, learners are attached, all at once.
//   - A dropped member stays listed as a learner until there are Copies members again. Nobody waits for a learner that is
//     gone; when it returns with its disk, the primary makes it equal without another view.
//   - While there are fewer than Copies members, all members and learners of before stay listed, as learners or holders: each write
//     that was acknowledged is on the disks of Copies of them. When the disks of all members are lost, and no more than Copies-1 of
//     those listed, one of the others becomes primary with the rest as sources, once all of these are live. Where more are lost, that waits
//     until the operator has given up each of them; where nothing is left then, the partition begins anew without records.
//   - Stores that leave or retire give up being primary at once where another member is live. The copies of a retiring one
//     are replaced, a few at a time.
//   - When nothing is missing, primaries and then copies are moved for balance, a few at a time; with SharedZones, primaries go
//     where most copies of their partition are first.
//
// The caller plans again after each event and, for moves of balance, from time to time.
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

// CanRemove reports whether no partition names the member any more, so that its machine may be taken away.
func CanRemove(partitions []View, member string) bool {
	for _, v := range partitions {
		if v.Primary == member || contains(v.Members, member) || contains(v.Learners, member) || contains(v.Holders, member) {
			return false
		}
	}
	return true
}

// CanRetire reports whether enough other stores are live and not retiring to hold all copies without the member.
func CanRetire(stores []Store, member string, copies int) bool {
	return remaining(stores, member, 0) >= copies
}

// CanRetireSoon is CanRetire if those that have gone within SettleTime return.
func CanRetireSoon(stores []Store, member string, copies int) bool {
	return remaining(stores, member, RebalanceDelay) >= copies
}

// remaining counts the nodes that hold copies without a member: of stores that do not retire and have been gone no longer than a time.
func remaining(stores []Store, member string, goneFor time.Duration) int {
	nodes := map[string]bool{}
	for _, s := range stores {
		if s.DownFor <= goneFor && !s.Retiring && NodeName(s.Member) != NodeName(member) {
			nodes[NodeName(s.Member)] = true
		}
	}
	return len(nodes)
}
