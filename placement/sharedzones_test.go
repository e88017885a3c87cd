package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// zonesOf returns stores with the given number of stores per zone.
func zonesOf(counts ...int) (stores []Store) {
	for zone, count := range counts {
		for n := range count {
			stores = append(stores, Store{Member: fmt.Sprintf("storage-%d-%d/d", zone, n), Zone: fmt.Sprintf("zone-%d", zone), Region: "r"})
		}
	}
	return stores
}

func zoneOf(stores []Store, member string) string {
	return stores[slices.IndexFunc(stores, func(s Store) bool { return s.Member == member })].Zone
}

// convergePlan applies plans until nothing changes, with every learner caught up immediately. It returns the number of changes.
func convergePlan(t *testing.T, in *Input) (changes int) {
	t.Helper()
	for range 10_000 {
		plan := Plan(*in)
		if len(plan) == 0 {
			return changes
		}
		in.Offers = map[int][]string{}
		for _, c := range plan {
			changes++
			in.Partitions[c.Partition] = c.View
			in.Offers[c.Partition] = c.View.Learners
		}
	}
	t.Fatal("the plan does not converge")
	return 0
}

// checkShared checks that all three copies of each partition are in one zone, and that no store has many more primaries or copies than its share.
func checkShared(is *is.I, stores []Store, views []View) {
	is.Helper()
	led, held := map[string]int{}, map[string]int{}
	for _, v := range views {
		zones := map[string]int{}
		for _, m := range v.Members {
			zones[zoneOf(stores, m)]++
			held[m]++
		}
		is.Equal(len(v.Members), 3)
		is.Equal(len(zones), 1)
		led[v.Primary]++
	}
	for _, s := range stores {
		share := float64(len(views)) / float64(len(stores))
		is.True(float64(led[s.Member]) < 1.5*share+1)
		is.True(float64(led[s.Member]) > 0.5*share-1)
		is.True(float64(held[s.Member]) < 1.2*3*share+1)
	}
}

func TestSharedZones(t *testing.T) {
	for name, counts := range map[string][]int{"five zones": {4, 3, 4, 3, 3}, "four zones": {4, 4, 4, 3}, "two zones": {3, 3}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stores := zonesOf(counts...)
			in := Input{Stores: stores, Copies: 3, SharedZones: true}
			in.Partitions = InitialViewsFor(in, 512)
			checkShared(is, stores, in.Partitions)
			is.Equal(convergePlan(t, &in), 0) // initial views are stable

			for _, lost := range []int{0, 5} { // one store after the other becomes unavailable and returns
				in.Stores[lost].DownFor = RebalanceDelay
				convergePlan(t, &in)
				in.Stores[lost].DownFor = 0
				convergePlan(t, &in)
				checkShared(is, stores, in.Partitions)
			}
		})
	}
}

// TestSharedZonesConsolidatesSpreadCopies starts with the views of a system that spread the copies over as many zones as possible.
func TestSharedZonesConsolidatesSpreadCopies(t *testing.T) {
	is := is.New(t)
	stores := zonesOf(4, 3, 4, 3, 3)
	in := Input{Stores: stores, Copies: 3}
	in.Partitions = InitialViewsFor(in, 128)
	in.SharedZones = true
	convergePlan(t, &in)
	checkShared(is, stores, in.Partitions)
}

// TestZonesTooSmallForAllCopies has zones with fewer stores than copies: each partition is placed in two zones, with its primary where two of its
// three copies are, even if copies were spread before.
func TestZonesTooSmallForAllCopies(t *testing.T) {
	for _, spread := range []bool{false, true} {
		t.Run(fmt.Sprint("spread before: ", spread), func(t *testing.T) {
			is := is.New(t)
			in := Input{Stores: zonesOf(2, 2, 2), Copies: 3, SharedZones: !spread}
			in.Partitions = InitialViewsFor(in, 64)
			in.SharedZones = true
			convergePlan(t, &in)
			led := map[string]int{}
			for _, v := range in.Partitions {
				zones := map[string]int{}
				for _, m := range v.Members {
					zones[zoneOf(in.Stores, m)]++
				}
				is.Equal(len(zones), 2)
				is.Equal(zones[zoneOf(in.Stores, v.Primary)], 2)
				led[v.Primary]++
			}
			for _, s := range in.Stores {
				is.True(led[s.Member] > 64/6/2)
			}
		})
	}
}

// TestLossInZoneWithoutSpareStores loses a store in a zone that has no other store for its copies: these are placed in a second zone until the
// store returns.
func TestLossInZoneWithoutSpareStores(t *testing.T) {
	is := is.New(t)
	stores := zonesOf(3, 4, 4, 4)
	in := Input{Stores: stores, Copies: 3, SharedZones: true}
	in.Partitions = InitialViewsFor(in, 128)
	in.Stores[0].DownFor = RebalanceDelay
	convergePlan(t, &in)
	for _, v := range in.Partitions {
		is.Equal(len(v.Members), 3)
		is.True(!slices.Contains(v.Members, stores[0].Member))
	}
	in.Stores[0].DownFor = 0
	convergePlan(t, &in)
	checkShared(is, stores, in.Partitions)
}

// TestZonesOfUnevenSize has zones with different numbers of stores, also after stores were added: keeping copies in one zone does not justify a
// store with much more than its share.
func TestZonesOfUnevenSize(t *testing.T) {
	for _, c := range []struct {
		before, after []int
		copies        int
	}{
		{[]int{2, 1, 1}, []int{2, 1, 1}, 2},
		{[]int{1, 1, 1, 1}, []int{2, 1, 1, 1}, 2},
		{[]int{3, 1, 1, 1}, []int{3, 2, 1, 1}, 3},
		{[]int{6, 6, 6}, []int{7, 6, 6}, 3},
		{[]int{4, 4, 4, 3}, []int{4, 4, 4, 5}, 3},
		{[]int{2, 2, 2}, []int{3, 3, 3}, 3},
	} {
		t.Run(fmt.Sprint(c.before, " to ", c.after), func(t *testing.T) {
			is := is.New(t)
			const partitions = 128
			in := Input{Stores: zonesOf(c.before...), Copies: c.copies, SharedZones: true}
			in.Partitions = InitialViewsFor(in, partitions)
			in.Stores = zonesOf(c.after...)
			moves := convergePlan(t, &in)
			is.True(moves < 6*partitions) // no copy moves back and forth
			held := map[string]int{}
			for _, v := range in.Partitions {
				is.Equal(len(v.Members), c.copies)
				for _, m := range v.Members {
					held[m]++
				}
			}
			for _, s := range in.Stores {
				share := float64(c.copies*partitions) / float64(len(in.Stores))
				is.True(float64(held[s.Member]) <= maxLoadFactor*share+1)
			}
		})
	}
}

// TestSmallFirstZoneDoesNotSpreadCopies has a first zone with fewer stores than copies next to zones with room for all: partitions that were spread
// before end up in one zone each.
func TestSmallFirstZoneDoesNotSpreadCopies(t *testing.T) {
	is := is.New(t)
	in := Input{Stores: zonesOf(1, 3, 3), Copies: 3}
	in.Partitions = InitialViewsFor(in, 64)
	in.SharedZones = true
	convergePlan(t, &in)
	for _, v := range in.Partitions {
		zones := map[string]bool{}
		for _, member := range v.Members {
			zones[zoneOf(in.Stores, member)] = true
		}
		is.Equal(len(zones), 1)
	}
}
