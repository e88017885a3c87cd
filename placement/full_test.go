package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func full(stores []Store, members ...string) []Store {
	for i := range stores {
		stores[i].Full = contains(members, stores[i].Member)
	}
	return stores
}

func TestFullStoreGetsNoNewCopy(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 4, Primary: a, Members: []string{a, b}}
	stores := down(fourZones(), b, time.Minute)
	changes := Plan(singlePartition(v, full(stores, c), 2))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Learners, []string{b, d}) // b may return
	changes = Plan(singlePartition(v, full(stores, c, d), 2))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Learners, []string{b}) // nobody has room
}

func TestFullStoreKeepsItsCopiesAndPrimaries(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 4, Primary: a, Members: []string{a, b}}
	is.Equal(Plan(singlePartition(v, full(fourZones(), a, b), 2)), nil)
}

// A copy that cannot be completed must not keep the partition from getting one on the empty store that came back.
func TestLearnerOnAFullStoreIsReplaced(t *testing.T) {
	is := is.New(t)
	v := View{Epoch: 4, Primary: a, Members: []string{a}, Learners: []string{b}}
	changes := Plan(singlePartition(v, full(fourZones(), a, b, c), 2))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].View.Learners, []string{d})
	is.Equal(Plan(singlePartition(v, full(fourZones(), a, b, c, d), 2)), nil) // no other has room either
}

func TestCopiesMoveToTheStoreThatHasRoom(t *testing.T) {
	is := is.New(t)
	in := Input{Stores: full(fourZones(), a, b, c), Copies: 2, MoveLimit: 100}
	for _, members := range [][]string{{a, b}, {b, c}, {c, a}, {a, b}, {b, c}, {c, a}} {
		in.Partitions = append(in.Partitions, View{Epoch: 1, Primary: members[0], Members: members})
	}
	changes := Plan(in)
	is.True(len(changes) > 0)
	for _, change := range changes {
		for _, learner := range change.View.Learners {
			is.Equal(learner, d)
		}
	}
	in.Stores = full(in.Stores, a, b, c, d)
	for _, change := range Plan(in) {
		is.Equal(len(change.View.Learners), 0)
	}
}
