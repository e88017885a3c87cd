package dissemination

import "math/rand/v2"

// Sample returns k different elements of peers, or all if there are fewer, in an order of chance. peers is not changed.
func Sample[P any](random *rand.Rand, peers []P, k int) []P {
	k = min(k, len(peers))
	// A partial Fisher-Yates shuffle that remembers only the places it moved.
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
