package dissemination

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func item(key string, term, number uint64) Item[string] {
	return Item[string]{Key: key, Version: Version{term, number}, Body: []byte{byte(term), byte(number)}}
}

func entry(key string, term, number uint64) Entry[string] {
	return Entry[string]{Key: key, Version: Version{term, number}}
}

func TestApplyAcceptsOnlyNewerStates(t *testing.T) {
	is := is.New(t)
	s := NewState[string]()
	is.True(!s.Apply(item("a", 0, 0))) // the zero version is not a state
	is.True(s.Apply(item("a", 1, 5)))
	is.True(!s.Apply(item("a", 1, 5)))
	is.True(!s.Apply(item("a", 1, 4)))
	is.True(!s.Apply(item("a", 0, 9)))
	is.True(s.Apply(item("a", 2, 0)))
	got, ok := s.Get("a")
	is.True(ok)
	is.Equal(got, item("a", 2, 0))
	_, ok = s.Get("b")
	is.True(!ok)
}

func TestCompare(t *testing.T) {
	is := is.New(t)
	s := NewState[string]()
	for _, i := range []Item[string]{item("same", 1, 1), item("older", 1, 1), item("newer", 2, 0), item("mine", 1, 1)} {
		s.Apply(i)
	}
	pull, push := s.Compare([]Entry[string]{entry("same", 1, 1), entry("older", 1, 2), entry("newer", 1, 9), entry("theirs", 0, 1),
		entry("none", 0, 0), entry("theirs", 0, 0)})
	is.Equal(pull, []Entry[string]{entry("older", 1, 2), entry("theirs", 0, 1)})
	is.Equal(push, []string{"mine", "newer"})
}

func TestSample(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n, k := rapid.IntRange(0, 30).Draw(t, "peers"), rapid.IntRange(0, 35).Draw(t, "k")
		peers := make([]int, n)
		for i := range peers {
			peers[i] = i
		}
		chosen := Sample(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), peers, k)
		is.Equal(len(chosen), min(n, k))
		slices.Sort(chosen)
		is.Equal(len(slices.Compact(chosen)), min(n, k))
		is.True(slices.IsSorted(peers))
	})
}

func TestSampleIsUniform(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	counts := make([]int, 10)
	for range 10_000 {
		for _, i := range Sample(random, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, 3) {
			counts[i]++
		}
	}
	for _, count := range counts {
		is.True(count > 2700 && count < 3300) // 3000 expected
	}
}

func TestItemIsPulledFromOnePeerAtATime(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPullTracker[string, int]()
	_, _, ok := p.Next(random)
	is.True(!ok)
	p.AddSource(entry("a", 1, 1), 1)
	p.AddSource(entry("b", 1, 1), 1)
	peer, keys, ok := p.Next(random)
	is.True(ok)
	is.Equal(peer, 1)
	is.Equal(keys, []string{"a", "b"})
	p.AddSource(entry("a", 1, 1), 2)
	_, _, ok = p.Next(random)
	is.True(!ok) // both are in flight

	p.Received(entry("b", 1, 1))
	p.EndPull(1, keys)
	peer, keys, ok = p.Next(random)
	is.True(ok)
	is.Equal(peer, 2) // 1 did not deliver
	is.Equal(keys, []string{"a"})
	p.EndPull(2, keys)
	_, _, ok = p.Next(random)
	is.True(!ok) // no source remains until another report
	p.AddSource(entry("a", 1, 1), 1)
	_, _, ok = p.Next(random)
	is.True(ok)
}

func TestPullsTrackTheNewestVersion(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPullTracker[string, int]()
	p.AddSource(entry("a", 1, 1), 1)
	p.AddSource(entry("a", 1, 2), 2)
	p.AddSource(entry("a", 1, 1), 3)
	peer, keys, ok := p.Next(random)
	is.True(ok)
	is.Equal(peer, 2)
	p.AddSource(entry("a", 1, 3), 4) // while the pull is under way
	p.Received(entry("a", 1, 2))
	p.EndPull(peer, keys)
	peer, _, ok = p.Next(random)
	is.True(ok)
	is.Equal(peer, 4)
	p.Received(entry("a", 1, 3))
	p.EndPull(4, keys)
	_, _, ok = p.Next(random)
	is.True(!ok)
}

func TestSourcesAreBounded(t *testing.T) {
	is := is.New(t)
	p := NewPullTracker[string, int]()
	for peer := range 100 {
		p.AddSource(entry("a", 1, 1), peer)
	}
	is.Equal(len(p.wanted["a"].sources), maxSources)
}

func TestSchedule(t *testing.T) {
	is := is.New(t)
	s := NewSchedule(300*time.Millisecond, time.Second)
	is.True(!s.Due(time.Second - 1))
	is.True(s.Due(time.Second))
	is.True(!s.Due(1299 * time.Millisecond))
	is.True(s.Due(1301 * time.Millisecond))
	is.Equal(s.NextDue(), 1600*time.Millisecond)
	is.True(s.Due(time.Minute)) // after a pause
	is.True(!s.Due(time.Minute))
	is.Equal(s.NextDue(), time.Minute+150*time.Millisecond)
}
