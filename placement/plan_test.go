package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fourZones returns a live store in each of four zones.
func fourZones() []Store {
	var out []Store
	for _, z := range []string{"a", "b", "c", "d"} {
		out = append(out, Store{Member: "storage-" + z + "/1", Zone: z, Region: "r"})
	}
	return out
}

const (
	a = "storage-a/1"
	b = "storage-b/1"
	c = "storage-c/1"
	d = "storage-d/1"
)

func down(stores []Store, member string, d time.Duration) []Store {
	for i := range stores {
		if stores[i].Member == member {
			stores[i].DownFor = d
		}
	}
	return stores
}

func singlePartition(v View, stores []Store, copies int, offers ...string) Input {
	return Input{Stores: stores, Partitions: []View{v}, Copies: copies, Offers: map[int][]string{0: offers}, NoBalance: true}
}

func TestRollingRestart(t *testing.T) {
	is := is.New(t)
	stores := fourZones()
	stores[0].Leaving = true
	v := View{Epoch: 7, Primary: a, Members: []string{a, b}}

	changes := Plan(singlePartition(v, stores, 2))
	is.Equal(changes, []Change{{0, View{Epoch: 8, Primary: b, Members: []string{a, b}}}}) // it is leaving: another member becomes primary, it stays a member
	v = changes[0].View
	is.Equal(Plan(singlePartition(v, stores, 2)), nil)

	stores[0].Leaving = false
	changes = Plan(singlePartition(v, down(stores, a, time.Millisecond), 2))
	is.Equal(len(changes), 1)
	v = changes[0].View
	is.Equal(v.Members, []string{b})
	is.Equal(v.Learners[0], a)   // kept for its return
	is.Equal(len(v.Learners), 2) // and a temporary replacement
	replacement := v.Learners[1]
	is.True(replacement == c || replacement == d)

	is.Equal(Plan(singlePartition(v, down(stores, a, 0), 2)), nil) // it has returned: no decision is needed yet
	changes = Plan(singlePartition(v, stores, 2, a))
	is.Equal(changes, []Change{{0, View{Epoch: 10, Primary: b, Members: []string{b, a}}}}) // it has caught up: the replacement is dropped
	is.Equal(Plan(singlePartition(changes[0].View, stores, 2)), nil)
}

func TestReplacementStaysIfItCatchesUpFirst(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 9, Primary: b, Members: []string{b}, Learners: []string{a, c}}
	changes := Plan(singlePartition(v, down(fourZones(), a, time.Second), 2, c))
	is.Equal(changes, []Change{{0, View{Epoch: 10, Primary: b, Members: []string{b, c}}}})
}

func TestUnavailableOfferedLearnerEndsTheView(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 9, Primary: b, Members: []string{b}, Learners: []string{c, a}}
	stores := down(down(down(fourZones(), c, 1), a, 1), d, 1)
	is.Equal(Plan(singlePartition(v, stores, 2)), nil) // no write waits for them
	changes := Plan(singlePartition(v, stores, 2, c))
	is.Equal(len(changes), 1) // writes wait for it
	is.Equal(changes[0].View.Epoch, uint64(10))
	is.Equal(changes[0].View.Members, []string{b})
}

func TestOfferedLearnerBecomesPrimaryWhenAllMembersAreUnavailable(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 9, Primary: b, Members: []string{b}, Learners: []string{c}}
	changes := Plan(singlePartition(v, down(fourZones(), b, 1), 2, c))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Primary, c)
	is.Equal(changes[0].View.Members, []string{c})
	is.Equal(changes[0].View.Learners[0], b) // may return with its records
}

func TestPartitionWaitsForItsLastMember(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 9, Primary: b, Members: []string{b}, Learners: []string{c}}
	is.Equal(Plan(singlePartition(v, down(fourZones(), b, time.Hour), 2)), nil)
	is.Equal(Plan(singlePartition(v, fourZones()[2:], 2)), nil) // also if the input has no store for it
}

func TestTwoSimultaneousStoreFailures(t *testing.T) {
	is := is.New(t)
	stores := down(down(fourZones(), a, 1), b, 1)
	v := View{Epoch: 3, Primary: a, Members: []string{a, b}}
	is.Equal(Plan(singlePartition(v, stores, 2)), nil) // both copies are unavailable: wait

	changes := Plan(singlePartition(v, down(stores, b, 0), 2))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Primary, b)
	is.Equal(changes[0].View.Members, []string{b})

	v = View{Epoch: 3, Primary: a, Members: []string{a, b, c}}
	changes = Plan(singlePartition(v, down(stores, b, 1), 3))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Primary, c)
	is.Equal(changes[0].View.Members, []string{c})
	is.Equal(changes[0].View.Learners, []string{a, b, d}) // d immediately; the two others if they return
}

func TestReplacedDiskIsANewMember(t *testing.T) {
	is := is.New(t)
	stores := append(down(fourZones(), a, time.Second), Store{Member: "storage-a/2", Zone: "a", Region: "r"})
	v := View{Epoch: 4, Primary: a, Members: []string{a, b}}
	changes := Plan(singlePartition(v, stores, 2))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Members, []string{b})
	is.Equal(len(changes[0].View.Learners), 1) // the old disk is not awaited
	is.True(changes[0].View.Learners[0] != b)
}

// TestMergeWhenAllMembersLoseTheirDisks: one of two stores loses power, then the other loses its disk before a third has caught up. The
// acknowledged records are on the first and the third store.
func TestMergeWhenAllMembersLoseTheirDisks(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 4, Primary: b, Members: []string{b}, Learners: []string{a, c}}
	outgoing := Store{Member: "storage-b/2", Zone: "b", Region: "r"}
	stores := append(down(fourZones(), b, time.Second), outgoing)
	is.Equal(Plan(singlePartition(v, down(stores, a, 1), 2)), nil) // a has records that c may lack
	changes := Plan(singlePartition(v, down(stores, a, 0), 2))
	is.Equal(len(changes), 1)
	v = changes[0].View
	is.Equal(len(v.Members), 1)
	is.Equal(len(v.Sources), 1)
	is.True(contains(v.Sources, a) != contains(v.Members, a)) // one is primary, the other a source
	is.True(contains(v.Sources, c) != contains(v.Members, c))
	is.Equal(v.Holders, []string{b})
	is.Equal(Plan(singlePartition(v, stores, 2)), nil)

	changes = Plan(singlePartition(v, stores, 2, v.Sources...))
	is.Equal(len(changes), 1)
	is.Equal(len(changes[0].View.Members), 2)
	is.Equal(len(changes[0].View.Sources)+len(changes[0].View.Holders), 0)
}

func TestNoMergeWhenTooManyDisksAreLost(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 4, Primary: b, Members: []string{b}, Learners: []string{c}, Holders: []string{a}}
	stores := append(down(down(fourZones(), b, time.Second), a, time.Second),
		Store{Member: "storage-b/2", Zone: "b", Region: "r"}, Store{Member: "storage-a/2", Zone: "a", Region: "r"})
	is.Equal(Plan(singlePartition(v, stores, 2)), nil) // an old disk may be put back
}

func TestRetire(t *testing.T) {
	is := is.New(t)
	stores := fourZones()
	stores[0].Retiring = true
	views := InitialViews(fourZones(), 32, 2)
	in := Input{Stores: stores, Partitions: views, Copies: 2, MoveLimit: 4}
	for round := 0; !CanRemove(in.Partitions, a); round++ {
		is.True(round < 100)
		moving := 0
		for _, ch := range Plan(in) {
			in.Partitions[ch.Partition] = ch.View
		}
		in.Offers = map[int][]string{}
		for p, v := range in.Partitions {
			is.True(v.Primary != a) // as of the first plan
			is.Equal(len(v.Members), 2)
			if len(v.Learners) > 0 {
				moving++
				in.Offers[p] = v.Learners
			}
		}
		is.True(moving <= 4)
	}
	is.True(CanRetire(stores, b, 2))
	stores[2].Retiring = true
	is.True(!CanRetire(stores, b, 2))
	is.True(CanRetire(stores, b, 1))
}

func TestCanRetireSoonCountsRecentlyLostStores(t *testing.T) {
	is := is.New(t)
	stores := down(fourZones()[:3], c, RebalanceDelay)
	is.True(!CanRetire(stores, a, 2))
	is.True(CanRetireSoon(stores, a, 2))
	is.True(!CanRetireSoon(stores, a, 3))
	is.True(!CanRetireSoon(down(stores, c, RebalanceDelay+1), a, 2))
}

func TestStoreFailureDuringRetirement(t *testing.T) {
	is := is.New(t)
	stores := down(fourZones()[:3], b, time.Second)
	stores[0].Retiring = true
	v := View{Epoch: 5, Primary: c, Members: []string{b, c}}
	changes := Plan(singlePartition(v, stores, 2))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Learners, []string{b, a}) // a copy on a retiring disk is better than a single copy
}

func TestPartitionContinuesWithOneStore(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 5, Primary: a, Members: []string{a, b}}
	changes := Plan(singlePartition(v, down(fourZones()[:2], a, time.Second), 2))
	is.Equal(changes, []Change{{0, View{Epoch: 6, Primary: b, Members: []string{b}, Learners: []string{a}}}})
	is.Equal(InitialViews(fourZones()[:1], 16, 2), nil)
}

func TestAddedStoreGetsItsShare(t *testing.T) {
	is := is.New(t)
	in := Input{Stores: fourZones(), Partitions: InitialViews(fourZones(), 64, 2), Copies: 2}
	in.Stores = append(in.Stores, Store{Member: "storage-e/1", Zone: "e", Region: "r"})
	attached, handed := 0, 0
	for round := 0; ; round++ {
		is.True(round < 200)
		changes := Plan(in)
		if len(changes) == 0 {
			break
		}
		for _, ch := range changes {
			old := in.Partitions[ch.Partition]
			if len(ch.View.Learners) > len(old.Learners) {
				attached++
			}
			if ch.View.Primary != old.Primary {
				handed++
			}
			in.Partitions[ch.Partition] = ch.View
		}
		in.Offers = map[int][]string{}
		for p, v := range in.Partitions {
			in.Offers[p] = v.Learners
		}
	}
	is.True(attached <= 64*2/5+1) // a fifth of the copies
	is.True(handed <= 64/5*3)
}

func TestPrimariesAreProportionalToStoresPerZone(t *testing.T) {
	is := is.New(t)
	stores := fourZones()
	for n := range 4 {
		stores = append(stores, Store{Member: fmt.Sprintf("storage-a%d/1", n), Zone: "a", Region: "r"})
	}
	views := InitialViews(stores, 64, 2)
	zone := map[string]string{}
	for _, s := range stores {
		zone[s.Member] = s.Zone
	}
	primaries := map[string]int{}
	for _, v := range views {
		primaries[zone[v.Primary]]++
		is.True(zone[v.Members[0]] != zone[v.Members[1]])
	}
	is.Equal(primaries, map[string]int{"a": 40, "b": 8, "c": 8, "d": 8}) // proportional to their 5, 1, 1 and 1 stores
}

func TestCopiesInDifferentRegions(t *testing.T) {
	is := is.New(t)
	stores := fourZones()
	stores[2].Region, stores[3].Region = "s", "s"
	region := map[string]string{}
	for _, s := range stores {
		region[s.Member] = s.Region
	}
	for _, v := range InitialViewsFor(Input{Stores: stores, Copies: 2, SpreadRegions: true}, 32) {
		is.True(region[v.Members[0]] != region[v.Members[1]])
	}
}

func TestPrimariesOfLostStoreAreSpread(t *testing.T) {
	is := is.New(t)
	in := Input{Stores: down(fourZones(), a, 1), Partitions: InitialViews(fourZones(), 66, 2), Copies: 2}
	taken := map[string]int{}
	for _, ch := range Plan(in) {
		if in.Partitions[ch.Partition].Primary == a {
			taken[ch.View.Primary]++
		}
	}
	for _, m := range []string{b, c, d} {
		is.True(taken[m] >= 4) // of 16 or 17
	}
}

func BenchmarkPlanLarge(bench *testing.B) {
	var stores []Store
	for n := range 300 {
		stores = append(stores, Store{Member: fmt.Sprintf("storage-%d/1", n), Zone: fmt.Sprint(n % 12), Region: "r"})
	}
	in := Input{Stores: stores, Partitions: InitialViews(stores, 4096, 2), Copies: 2}
	stores[7].DownFor = 1
	for bench.Loop() {
		Plan(in)
	}
}

func TestLearnersAvoidLeavingAndRetiringStores(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 5, Primary: a, Members: []string{a, b}}
	stores := down(fourZones(), b, time.Second)
	stores[3].Retiring = true
	is.Equal(Plan(singlePartition(v, stores, 2))[0].View.Learners, []string{b, c})
	stores[3].Retiring, stores[3].Leaving = false, true
	is.Equal(Plan(singlePartition(v, stores, 2))[0].View.Learners, []string{b, c})
	stores[2].Retiring = true
	is.Equal(Plan(singlePartition(v, stores, 2))[0].View.Learners, []string{b, d}) // a leaving store returns
}
