package dissemination

import "math/rand/v2"

// Sample returns k distinct elements of peers, or all if there are fewer, in random order. It does not modify peers.
func Sample[P any](random *rand.Rand, peers []P, k int) []P {
	k = min(k, len(peers))
	// A partial Fisher-Yates shuffle that stores only the positions that were swapped.
	moved := make(map[int]int, k)
	at := func(i int) int {
		if j, ok := moved[i]; ok {
			return j
		}
		return i
	}
	chosen := make([]P, k)
	for i := range chosen {
		j := i + random.IntN(len(peers)-i)
		chosen[i] = peers[at(j)]
		moved[j] = at(i)
	}
	return chosen
}
