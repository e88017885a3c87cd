package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// ownersOf returns the owners of a service according to a new Ownership.
func ownersOf(service string, dispatchers []string, count int) []string {
	var o Ownership
	o.SetDispatchers(dispatchers)
	return o.Owners(service, count)
}

// sortedOwners is the algorithm of versions up to 0b7f853. Both versions run side by side during an upgrade and must agree.
func sortedOwners(service string, dispatchers []string, n int) []string {
	list := make([]candidate, 0, len(dispatchers))
	for _, name := range dispatchers {
		list = append(list, candidate{name, xxhash.Sum64String(service + "\x00" + name)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	list = slices.Compact(list)
	out := []string{}
	for _, c := range list[:max(0, min(n, len(list)))] {
		out = append(out, c.name)
	}
	return out
}

func dispatcherNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("edge-hall-%d/dispatcher", i))
	}
	return names
}

func TestOwnersAreBalancedAndStable(t *testing.T) {
	is := is.New(t)
	all := dispatcherNames(12)
	changed, first := 0, map[string]int{}
	for n := range 1200 {
		service := fmt.Sprintf("service-%d", n)
		owners := ownersOf(service, all, 2)
		is.Equal(len(owners), 2)
		is.True(owners[0] != owners[1])
		first[owners[0]]++
		fewer := ownersOf(service, all[1:], 2)
		if contains(owners, all[0]) {
			changed++
		} else {
			is.Equal(fewer, owners) // a departing dispatcher affects only its own services
		}
	}
	is.True(changed > 100 && changed < 300)
	for _, name := range all {
		is.True(first[name] > 50 && first[name] < 150)
	}
	is.Equal(len(ownersOf("s", all[:1], 3)), 1)
	is.Equal(len(ownersOf("s", nil, 3)), 0)
	is.Equal(len(ownersOf("s", []string{"x", "x", "y"}, 3)), 2)
	is.Equal(len(ownersOf("s", all, 0)), 0)
}

// TestOwnershipTracksDispatchers checks that after any sequence of changes the owners equal those that a new process and earlier versions compute.
func TestOwnershipTracksDispatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := dispatcherNames(9)
		var kept Ownership
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			names := rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "dispatchers")
			kept.SetDispatchers(names)
			for _, service := range []string{"gaugebook", "sirenline", "textgate-7"} {
				if rapid.Bool().Draw(t, "not asked") {
					continue
				}
				count := rapid.IntRange(0, 4).Draw(t, "count")
				got, want := kept.Owners(service, count), sortedOwners(service, names, count)
				if !slices.Equal(got, want) {
					t.Fatalf("%s on %v of %v: %v, want %v", service, count, names, got, want)
				}
			}
		}
	})
}

// TestJoiningDispatcherMovesOnlyServicesItOwns: a joining dispatcher takes over the services that it scores best for, and no other service moves.
func TestJoiningDispatcherMovesOnlyServicesItOwns(t *testing.T) {
	is := is.New(t)
	all := dispatcherNames(240)
	var o Ownership
	o.SetDispatchers(all[1:])
	before := map[string][]string{}
	for n := range 300 {
		service := fmt.Sprint("textgate-", n)
		before[service] = o.Owners(service, 2)
	}
	o.SetDispatchers(all)
	gained := 0
	for service, owners := range before {
		after := o.Owners(service, 2)
		if contains(after, all[0]) {
			gained++
			is.True(contains(owners, after[0]) || contains(owners, after[1]))
			continue
		}
		is.Equal(after, owners)
	}
	is.True(gained > 0 && gained < 12) // 2.5 of 300 on average
}

func TestUnrequestedServicesAreDropped(t *testing.T) {
	is := is.New(t)
	var o Ownership
	o.SetDispatchers(dispatcherNames(3))
	o.Owners("goes", 1)
	o.Owners("stays", 1)
	o.SetDispatchers(dispatcherNames(4))
	o.Owners("stays", 1)
	o.SetDispatchers(dispatcherNames(4))
	is.Equal(len(o.services), 1)
	is.True(o.services["stays"] != nil)
}

func TestOwnerCount(t *testing.T) {
	is := is.New(t)
	is.Equal(OwnerCount(39, true), 1)
	is.Equal(OwnerCount(100, false), 1)
	is.Equal(OwnerCount(101, false), 2)
	is.Equal(OwnerCount(0.5, false), 1)
	is.Equal(OwnerCount(0, true), 2)
	is.Equal(OwnerCount(0, false), 0)
}

const (
	benchDispatchers = 240
	benchServices    = 300
)

func benchServiceNames() (names []string) {
	for n := range benchServices {
		names = append(names, fmt.Sprint("textgate-", n))
	}
	return names
}

// BenchmarkOwners places 300 services on 240 dispatchers: with a new Ownership, and after one dispatcher has joined or departed.
// The case sorted is the algorithm that versions up to 0b7f853 ran at each change.
func BenchmarkOwners(b *testing.B) {
	names, services := dispatcherNames(benchDispatchers), benchServiceNames()
	requestAll := func(o *Ownership) {
		for _, service := range services {
			o.Owners(service, 2)
		}
	}
	b.Run("sorted", func(b *testing.B) {
		for b.Loop() {
			for _, service := range services {
				sortedOwners(service, names, 2)
			}
		}
	})
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			var o Ownership
			o.SetDispatchers(names)
			requestAll(&o)
		}
	})
	b.Run("change", func(b *testing.B) {
		var o Ownership
		o.SetDispatchers(names)
		requestAll(&o)
		for n := 0; b.Loop(); n++ {
			o.SetDispatchers(names[n%2:])
			requestAll(&o)
		}
	})
}
