package placement

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func blocked(in Input, pairs ...[2]string) Input {
	in.Blocked = pairs
	return in
}

func TestOneOfTwoDisconnectedMembersIsExcluded(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 4, Primary: a, Members: []string{a, b}}
	changes := Plan(blocked(singlePartition(v, fourZones(), 2), [2]string{b, a}, [2]string{a, b}))
	is.Equal(len(changes), 1)
	v = changes[0].View
	is.Equal(v.Primary, a) // both are unreachable from one store: the primary stays
	is.Equal(v.Members, []string{a})
	is.Equal(len(v.Learners), 1)
	is.True(v.Learners[0] == c || v.Learners[0] == d)
	is.Equal(v.Holders, []string{b}) // it has all acknowledged records and must keep them for now

	is.Equal(Plan(blocked(singlePartition(v, fourZones(), 2), [2]string{a, b})), nil) // no further change while it lasts
	is.Equal(Plan(singlePartition(v, fourZones(), 2)), nil)                           // nor after it has ended
}

func TestIsolatedStoreGivesUpItsPrimaries(t *testing.T) {
	is := is.New(t)
	cut := [][2]string{{a, b}, {a, c}, {d, a}}
	v := View{Epoch: 4, Primary: a, Members: []string{a, b}}
	changes := Plan(blocked(singlePartition(v, fourZones(), 2), cut...))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Primary, b)
	is.Equal(changes[0].View.Members, []string{b})
	is.Equal(len(changes[0].View.Learners), 1)
	is.True(changes[0].View.Learners[0] != a)

	v = View{Epoch: 4, Primary: b, Members: []string{b, a}}
	changes = Plan(blocked(singlePartition(v, fourZones(), 2), cut...))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Members, []string{b})
}

func TestUnreachableLearnerIsReplaced(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 4, Primary: a, Members: []string{a}, Learners: []string{c}}
	changes := Plan(blocked(singlePartition(v, fourZones(), 2), [2]string{a, c}, [2]string{a, b}))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Members, []string{a})
	is.Equal(changes[0].View.Learners, []string{d})
}

// TestDisconnectedStoreIsALearnerIfNoOtherStoreRemains: with fewer than Copies reachable stores, a disconnected store still becomes a learner. No
// write waits for it, while without it no write succeeds, even if the link has recovered and only the reported state is outdated.
func TestDisconnectedStoreIsALearnerIfNoOtherStoreRemains(t *testing.T) {
	is := is.New(t)
	stores := down(down(fourZones(), c, 1), d, 1)
	v := View{Epoch: 4, Primary: b, Members: []string{b}, Learners: []string{c}}
	changes := Plan(blocked(singlePartition(v, stores, 2), [2]string{a, b}))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Primary, b)
	is.Equal(changes[0].View.Members, []string{b})
	is.True(slices.Contains(changes[0].View.Learners, a))

	v = changes[0].View
	is.Equal(Plan(blocked(singlePartition(v, stores, 2), [2]string{a, b})), nil) // no further change while it lasts

	v = View{Epoch: 4, Primary: b, Members: []string{b}, Learners: []string{a}}
	changes = Plan(blocked(singlePartition(v, fourZones(), 2), [2]string{a, b}))
	is.Equal(len(changes), 1)
	is.True(!slices.Contains(changes[0].View.Learners, a)) // other stores are reachable
}

func TestNoMemberIsExcludedWithoutReplacement(t *testing.T) {
	is := is.New(t)
	stores := down(down(fourZones(), c, 1), d, 1)
	v := View{Epoch: 4, Primary: a, Members: []string{a, b}}
	is.Equal(Plan(blocked(singlePartition(v, stores, 2), [2]string{a, b})), nil)
	is.Equal(Plan(blocked(singlePartition(v, stores, 2), [2]string{a, c}, [2]string{a, a}, [2]string{"unknown", a})), nil) // c is unavailable anyway
}

func TestStalledStoreCountsAsUnavailable(t *testing.T) {
	is := is.New(t)
	stores := fourZones()
	stores[0].Stalled = true
	v := View{Epoch: 4, Primary: a, Members: []string{a, b}}
	changes := Plan(singlePartition(v, stores, 2))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Primary, b)
	is.Equal(changes[0].View.Members, []string{b})
	is.Equal(changes[0].View.Learners[0], a) // kept for when its disk recovers
	is.Equal(len(changes[0].View.Learners), 2)

	stores[1].Stalled = true
	is.Equal(Plan(singlePartition(v, stores, 2)), nil) // no live store has the records: wait
}

func TestNoBalancingWhileStoresAreDisconnected(t *testing.T) {
	is := is.New(t)
	in := Input{Stores: fourZones(), Copies: 2}
	for range 4 {
		in.Partitions = append(in.Partitions, View{Epoch: 1, Primary: a, Members: []string{a, b}})
	}
	is.True(len(Plan(in)) > 0)
	is.Equal(Plan(blocked(in, [2]string{c, d})), nil)
}

// TestExclusionIsSafeAndConverges disconnects random pairs of stores and lets some stores stall. The plan keeps a store with all records, keeps
// no two members that cannot reach each other while replacements are available, and a second plan changes nothing.
func TestExclusionIsSafeAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 4, 2)
		for _, name := range m.order {
			m.stores[name].Stalled = rapid.IntRange(0, 5).Draw(t, "stalled") == 0
		}
		in := m.input(true)
		in.MoveLimit = 1000
		for range rapid.IntRange(1, 6).Draw(t, "cuts") {
			in.Blocked = append(in.Blocked, [2]string{rapid.SampledFrom(m.order).Draw(t, "one"), rapid.SampledFrom(m.order).Draw(t, "other")})
		}
		for _, c := range Plan(in) {
			old := in.Partitions[c.Partition]
			for _, name := range c.View.Members {
				if !contains(old.Members, name) || m.stores[name].Stalled {
					t.Fatalf("%s may not be a member: %+v -> %+v", name, old, c.View)
				}
			}
			if !contains(c.View.Members, c.View.Primary) {
				t.Fatalf("the primary is not a member: %+v -> %+v", old, c.View)
			}
			in.Partitions[c.Partition] = c.View
		}
		if again := Plan(in); len(again) > 0 {
			t.Fatalf("planned again: %+v after %+v, blocked %v", again, in.Partitions, in.Blocked)
		}
		checkLeftOut(t, m, in)
	})
}

func checkLeftOut(t *rapid.T, m *model, in Input) {
	unreachable := func(a, b string) bool {
		return a != b && (slices.Contains(in.Blocked, [2]string{a, b}) || slices.Contains(in.Blocked, [2]string{b, a}))
	}
	for p, v := range in.Partitions {
		for _, a := range v.Members {
			for _, b := range v.Members {
				if m.stores[a].Stalled || m.stores[b].Stalled || !unreachable(a, b) {
					continue
				}
				reached := 0 // by the primary, which would at least remain
				for _, name := range m.order {
					if !m.stores[name].Stalled && !unreachable(name, v.Primary) {
						reached++
					}
				}
				if len(v.Members) == 2 && reached >= m.copies && !m.stores[v.Primary].Stalled {
					t.Fatalf("partition %d keeps %s and %s: %+v, blocked %v", p, a, b, v, in.Blocked)
				}
			}
		}
	}
}
