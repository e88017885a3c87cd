package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// mergeInProgress is a merge after the disk of the only member, s3/c, was lost: s1 has yet to fetch the records of s2/b, whose disk is lost as well.
func mergeInProgress() Input {
	return Input{
		Stores: []Store{
			{Member: "s1/a"}, {Member: "s2/b", DownFor: time.Second}, {Member: "s2/b2"}, {Member: "s3/c", DownFor: time.Second}, {Member: "s3/c2"},
		},
		Copies:     2,
		Partitions: []View{{Epoch: 3, Primary: "s1/a", Members: []string{"s1/a"}, Learners: []string{"s2/b"}, Sources: []string{"s2/b"}, Holders: []string{"s3/c"}}},
	}
}

// TestLostSourceIsAwaitedUntilAllLostDisksAreAbandoned has as many lost disks as copies. An old disk may be put back, so the partition waits for
// its source, like a merge that has not started, until the operator has abandoned every lost disk.
func TestLostSourceIsAwaitedUntilAllLostDisksAreAbandoned(t *testing.T) {
	is := is.New(t)
	in := mergeInProgress()
	for _, change := range Plan(in) {
		is.Equal(change.View.Sources, []string{"s2/b"})
		is.Equal(change.View.Primary, "s1/a")
	}
	in.Stores[1].Abandoned = true // one of two
	for _, change := range Plan(in) {
		is.Equal(change.View.Sources, []string{"s2/b"})
	}
	in.Stores[3].Abandoned = true
	changes := Plan(in)
	is.Equal(len(changes), 1)
	v := changes[0].View
	is.Equal(v.Members, []string{"s1/a"})
	is.Equal(len(v.Sources), 0)
	is.Equal(len(v.Learners), 1) // a new copy
	is.Equal(v.Holders, []string{"s2/b", "s3/c"})
}

// TestLostSourceIsDroppedWhenFewerDisksThanCopiesAreLost has three copies, so every record survives the loss of two disks.
func TestLostSourceIsDroppedWhenFewerDisksThanCopiesAreLost(t *testing.T) {
	is := is.New(t)
	in := mergeInProgress()
	in.Copies = 3
	changes := Plan(in)
	is.Equal(len(changes), 1)
	is.Equal(len(changes[0].View.Sources), 0)
	is.Equal(changes[0].View.Holders, []string{"s2/b", "s3/c"})
}

// TestMergeDoesNotWaitForAnAbandonedStore has the last member and the other possible holder unavailable, and neither is back with another disk.
func TestMergeDoesNotWaitForAnAbandonedStore(t *testing.T) {
	is := is.New(t)
	in := Input{
		Stores: []Store{{Member: "s1/a"}, {Member: "s2/b", DownFor: time.Second}, {Member: "s3/c", DownFor: time.Second}, {Member: "s4/d"}},
		Copies: 2,
		Partitions: []View{
			{Epoch: 3, Primary: "s2/b", Members: []string{"s2/b"}, Learners: []string{"s1/a"}, Holders: []string{"s3/c"}},
			{Epoch: 3, Primary: "s2/b", Members: []string{"s2/b", "s3/c"}},
		},
	}
	is.Equal(len(Plan(in)), 0)
	in.Stores[2].Abandoned = true
	is.Equal(len(Plan(in)), 0) // the last member may return
	in.Stores[1].Abandoned = true
	changes := Plan(in)
	is.Equal(len(changes), 2)
	is.Equal(changes[0].View.Primary, "s1/a") // merged from the records that it holds
	is.Equal(changes[0].View.Holders, []string{"s2/b", "s3/c"})
	is.Equal(len(changes[1].View.Members), 1) // no disk is left: the partition restarts empty
	is.Equal(len(changes[1].View.Learners), 1)
	is.Equal(len(changes[1].View.Sources), 0)

	in.Stores[1].DownFor, in.Stores[2].DownFor = 0, 0 // live again: abandonment has no effect
	for _, change := range Plan(in) {
		is.Equal(change.View.Primary, "s2/b")
	}
}

// TestReturnedAbandonedStoreReplacesLostSource has the source of a merge lose its disk after a store that was abandoned before the merge has
// returned. The returned store may hold the records of the source, so it becomes a source.
func TestReturnedAbandonedStoreReplacesLostSource(t *testing.T) {
	is := is.New(t)
	changes := Plan(Input{
		Stores: []Store{{Member: "s1/a"}, {Member: "s2/b", DownFor: time.Second, Abandoned: true}, {Member: "s3/c"}},
		Copies: 2,
		Partitions: []View{
			{Epoch: 3, Primary: "s1/a", Members: []string{"s1/a"}, Learners: []string{"s2/b"}, Sources: []string{"s2/b"}, Holders: []string{"s3/c"}},
		},
	})
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Sources, []string{"s3/c"})
	is.Equal(changes[0].View.Learners, []string{"s3/c"})
	is.Equal(changes[0].View.Holders, []string{"s2/b"})
}

// TestPartitionAwaitingASourceDoesNotBlockBalancing has one partition that waits for the operator, and an empty store: the store is assigned
// partitions nevertheless.
func TestPartitionAwaitingASourceDoesNotBlockBalancing(t *testing.T) {
	is := is.New(t)
	in := mergeInProgress()
	in.Stores = append(in.Stores, Store{Member: "s4/d"})
	for i := range in.Stores {
		if in.Stores[i].DownFor > 0 {
			in.Stores[i].DownFor = 2 * RebalanceDelay
		}
	}
	for range 9 {
		in.Partitions = append(in.Partitions, View{Epoch: 1, Primary: "s2/b2", Members: []string{"s2/b2", "s3/c2"}})
	}
	given := 0
	for _, change := range Plan(in) {
		if change.Partition > 0 && contains(change.View.Learners, "s4/d") {
			given++
		}
	}
	is.True(given > 0)
}
