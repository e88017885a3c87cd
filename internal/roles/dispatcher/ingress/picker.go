package ingress

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"liftgauge/internal/roles/dispatcher/directory"
)

// partitionPicker picks partitions for messages without an ordering key.
type partitionPicker struct {
	health *health

	mu         sync.Mutex
	turn       uint64
	avoided    map[uint32]time.Time // partitions that failed recently, until when
	backlogged map[string]time.Time // stores, by address, that have more messages than they can deliver, until when
}

func newPartitionPicker(h *health) *partitionPicker {
	return &partitionPicker{health: h, avoided: map[uint32]time.Time{}, backlogged: map[string]time.Time{}}
}

// markBacklogged makes other stores preferred to one for a time.
func (c *partitionPicker) markBacklogged(address string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backlogged[address] = until
}

// avoid excludes a partition for a time.
func (c *partitionPicker) avoid(partition uint32, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[partition] = until
}

// next picks a partition whose primary is near, in turn, without those that failed recently. Backlogged stores come after other stores
// that are farther away, and unresponsive stores come last. ok is false if there is none.
func (c *partitionPicker) next(s *directory.Snapshot, now time.Time) (partition uint32, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	for _, pass := range []struct{ includeBacklogged, includeUnresponsive bool }{{false, false}, {true, false}, {true, true}} {
		for _, near := range s.ByDistance {
			for i := range near {
				p := near[(c.turn+uint64(i))%uint64(len(near))]
				address := s.Partitions[p].Address
				if (pass.includeBacklogged || !now.Before(c.backlogged[address])) && c.usable(p, address, pass.includeUnresponsive, now) {
					return p, true
				}
			}
		}
	}
	return 0, false
}

func (c *partitionPicker) usable(partition uint32, address string, includeUnresponsive bool, now time.Time) bool {
	if until, avoided := c.avoided[partition]; avoided {
		if now.Before(until) {
			return false
		}
		delete(c.avoided, partition)
	}
	return c.health.reachable(address, now) && (includeUnresponsive || !c.health.unresponsive(address, now))
}

// partitionOfKey returns the partition of all messages of a route with an ordering key.
func partitionOfKey(route, key string, partitions int) uint32 {
	d := xxhash.New()
	d.WriteString(route)
	d.Write([]byte{0})
	d.WriteString(key)
	return uint32(d.Sum64() % uint64(partitions))
}
