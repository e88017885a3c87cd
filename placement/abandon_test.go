package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestPreviewAbandonmentClassifiesPartitions uses one partition of each kind.
func TestPreviewAbandonmentClassifiesPartitions(t *testing.T) {
	is := is.New(t)
	in := Input{
		Stores: []Store{
			{Member: "s1/a"}, {Member: "s2/b", DownFor: time.Second}, {Member: "s3/c", DownFor: time.Second}, {Member: "s4/d", DownFor: time.Second}, {Member: "s5/e"},
		},
		Copies: 2,
		Partitions: []View{
			{Epoch: 3, Primary: "s1/a", Members: []string{"s1/a", "s2/b"}},                                                                           // continues
			{Epoch: 3, Primary: "s2/b", Members: []string{"s2/b"}, Learners: []string{"s1/a"}},                                                       // merged
			{Epoch: 3, Primary: "s2/b", Members: []string{"s2/b"}, Learners: []string{"s1/a"}, Holders: []string{"s3/c"}},                            // merged, incomplete
			{Epoch: 3, Primary: "s2/b", Members: []string{"s2/b", "s3/c"}},                                                                           // no disk left
			{Epoch: 3, Primary: "s4/d", Members: []string{"s4/d"}, Learners: []string{"s2/b"}},                                                       // waits for s4
			{Epoch: 3, Primary: "s1/a", Members: []string{"s1/a", "s5/e"}},                                                                           // refers to neither store
			{Epoch: 3, Primary: "s1/a", Members: []string{"s1/a"}, Learners: []string{"s2/b"}, Sources: []string{"s2/b"}, Holders: []string{"s3/c"}}, // source lost
		},
	}
	is.Equal(PreviewAbandonment(in, []string{"s2/b", "s3/c"}), Abandonment{Kept: 1, Merged: 1, Incomplete: 2, Emptied: 1, Waiting: 1})
	is.Equal(PreviewAbandonment(in, []string{"s9/z"}), Abandonment{})
	members, partitions := AwaitedMembers(in)
	is.Equal(members, []string{"s2/b", "s3/c", "s4/d"})
	is.Equal(partitions, 5)          // all except the first and the sixth
	is.True(!in.Stores[1].Abandoned) // the input is not modified
}

// TestPreviewAbandonmentAgreesWithPlan abandons all unavailable stores of a random state: the preview reports no waiting partition, records are
// lost only if partitions waited before, and no partition waits afterwards.
func TestPreviewAbandonmentAgreesWithPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3, 2)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step(t)
		}
		var down []string
		for _, name := range m.order {
			if m.stores[name].DownFor > 0 {
				down = append(down, name)
			}
		}
		if m.permanent() < m.copies {
			return
		}
		preview := PreviewAbandonment(m.input(true), down)
		if preview.Waiting > 0 {
			t.Fatalf("partitions wait although all unavailable stores are abandoned: %+v", preview)
		}
		_, before := AwaitedMembers(m.input(true))
		if preview.Emptied+preview.Incomplete > 0 && before == 0 {
			t.Fatalf("records are lost although no partition waits: %+v", preview)
		}
		for _, name := range down {
			m.stores[name].Abandoned = true
		}
		m.converge(t)
		if members, n := AwaitedMembers(m.input(true)); n > 0 {
			t.Fatalf("%d partitions wait for %v", n, members)
		}
	})
}
