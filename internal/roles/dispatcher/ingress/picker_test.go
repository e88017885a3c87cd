package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/internal/roles/dispatcher/directory"
)

func storedBacklogged(c call) {
	c.reply((&protocol.AcceptReply{Status: protocol.AcceptStored, RetryAfter: time.Hour}).Append(nil), nil)
}

// A store of the own zone has taken more than it can hand out: the next messages go to another zone, as long as there is one that can.
func TestBackloggedStoreIsAvoided(t *testing.T) {
	is := is.New(t)
	near, far := newFakeStore(t, storedBacklogged), newFakeStore(t, always(protocol.AcceptStored))
	r := newHarness(t)
	r.configure(1)
	r.publishTable(storeAt{near, "a"}, storeAt{far, "b"}, storeAt{near, "a"})
	for range 5 {
		is.Equal(r.post("/plain/", "x").StatusCode, 202)
	}
	is.Equal([]int{near.count(), far.count()}, []int{1, 4})
}

func TestBackloggedStoresAreUsedIfAllAre(t *testing.T) {
	is := is.New(t)
	c, now := newPartitionPicker(newHealth()), time.Now()
	s := &directory.Snapshot{Partitions: []directory.Partition{{Address: "near"}, {Address: "far"}}, ByDistance: [3][]uint32{{0}, {1}}}
	pick := func() uint32 {
		p, ok := c.next(s, now)
		is.True(ok)
		return p
	}
	is.Equal(pick(), uint32(0))
	c.markBacklogged("near", now.Add(time.Second))
	is.Equal(pick(), uint32(1))
	c.markBacklogged("far", now.Add(time.Second))
	is.Equal(pick(), uint32(0)) // nobody is refused for it
	c.health.connectFailed("near", now)
	is.Equal(pick(), uint32(1)) // one that cannot be reached is no help
	now = now.Add(time.Second)
	is.Equal(pick(), uint32(0))
}
