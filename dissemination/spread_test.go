package dissemination

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// group is a set of processes that exchange digests and pull items over a network that loses messages.
type group struct {
	states []*State[string]
	pulls  []*PullTracker[string, int]
	peers  [][]int
	random *rand.Rand
	loss   float64
}

func newGroup(n int, seed uint64, loss float64) *group {
	g := &group{random: rand.New(rand.NewPCG(seed, 7)), loss: loss}
	for i := range n {
		g.states = append(g.states, NewState[string]())
		g.pulls = append(g.pulls, NewPullTracker[string, int]())
		var peers []int
		for j := range n {
			if j != i {
				peers = append(peers, j)
			}
		}
		g.peers = append(g.peers, peers)
	}
	return g
}

func (g *group) lost() bool { return g.random.Float64() < g.loss }

// digest sends the digest of one process to another and lets both pull the states that they lack.
func (g *group) digest(from, to int) {
	if g.lost() {
		return
	}
	pull, push := g.states[to].Compare(g.states[from].Digest())
	for _, e := range pull {
		g.pulls[to].AddSource(e, from)
	}
	g.pull(to)
	if len(push) == 0 || g.lost() {
		return
	}
	pull, _ = g.states[from].Compare(g.states[to].Digest())
	for _, e := range pull {
		g.pulls[from].AddSource(e, to)
	}
	g.pull(from)
}

func (g *group) pull(i int) {
	for {
		peer, keys, ok := g.pulls[i].Next(g.random)
		if !ok {
			return
		}
		if !g.lost() {
			for _, key := range keys {
				if item, ok := g.states[peer].Get(key); ok && g.states[i].Apply(item) {
					g.pulls[i].Received(Entry[string]{item.Key, item.Version})
				}
			}
		}
		g.pulls[i].EndPull(peer, keys)
	}
}

// round lets each process send a digest to k others and returns how many processes then have the version.
func (g *group) round(k int, key string, v Version) (have int) {
	for i := range g.states {
		for _, to := range Sample(g.random, g.peers[i], k) {
			g.digest(i, to)
		}
	}
	for _, s := range g.states {
		if s.Version(key) == v {
			have++
		}
	}
	return have
}

func TestDigestsReachAllProcesses(t *testing.T) {
	is := is.New(t)
	const processes, rounds = 200, 18 // these seeds take 8 to 13 rounds
	for seed := range uint64(20) {
		g := newGroup(processes, seed, 0.2)
		g.states[0].Apply(item("a", 1, 1))
		n := 0
		for g.round(1, "a", Version{1, 1}) < processes {
			n++
			is.True(n < rounds)
		}
	}
}

// TestVersionsNeverDecrease lets processes publish and exchange digests in random order.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		g := newGroup(rapid.IntRange(2, 6).Draw(t, "processes"), rapid.Uint64().Draw(t, "seed"), 0.3)
		newest := map[string]Version{}
		process := rapid.IntRange(0, len(g.states)-1)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				i := item(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), rapid.Uint64Range(0, 3).Draw(t, "term"),
					rapid.Uint64Range(0, 3).Draw(t, "number"))
				g.states[process.Draw(t, "by")].Apply(i)
				if i.Version.Compare(newest[i.Key]) > 0 {
					newest[i.Key] = i.Version
				}
			},
			"digest": func(t *rapid.T) {
				before := make([]Version, len(g.states))
				for i, s := range g.states {
					before[i] = s.Version("a")
				}
				g.digest(process.Draw(t, "from"), process.Draw(t, "to"))
				for i, s := range g.states {
					is.True(s.Version("a").Compare(before[i]) >= 0)
				}
			},
		})
		g.loss = 0
		for range 40 {
			g.round(1, "a", newest["a"])
		}
		for _, s := range g.states {
			is.Equal(s.Version("a"), newest["a"])
			is.Equal(s.Version("b"), newest["b"])
		}
	})
}
