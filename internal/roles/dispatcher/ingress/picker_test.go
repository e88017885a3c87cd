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

// A store of the local zone has accepted more messages than it can deliver: the next ones go to another zone as long as a store there can.
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
	is.Equal(pick(), uint32(0)) // no message is refused because of a backlog
	c.health.connectFailed("near", now)
	is.Equal(pick(), uint32(1)) // an unreachable store is not used
	now = now.Add(time.Second)
	is.Equal(pick(), uint32(0))
}
