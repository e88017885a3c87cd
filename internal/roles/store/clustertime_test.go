package store

import (
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

// TestStoreLeadsNothingBeforeItKnowsTheClusterTime guards against queues and expiry times that are computed from a time of day.
func TestStoreLeadsNothingBeforeItKnowsTheClusterTime(t *testing.T) {
	is := is.New(t)
	control := startControl(t)
	control.tellTime(false)
	c := &cluster{control: control, stores: []*testStore{startStore(t, control, "storage-1"), startStore(t, control, "storage-2")}}
	c.awaitNodes()
	c.dispatcher = startDispatcher(t, control, "edge-1")
	control.publishConfiguration(1, route("plain", false, nil))
	table := c.view(0, 1)
	for _, s := range c.stores {
		c.dispatcher.hello(s, table)
	}
	primary := c.stores[0]
	primary.await(func(s *store) bool { return s.partitions[0] != nil && s.partitions[0].replica.IsActive() })
	var leading bool
	primary.on(func(s *store) { leading = s.partitions[0].leading })
	is.True(!leading)
	is.Equal(c.dispatcher.accept(primary, message("m1", "plain", "")), protocol.AcceptNotPrimary)

	control.tellTime(true)
	primary.awaitLeading(0)
	is.Equal(c.dispatcher.accept(primary, message("m1", "plain", "")), protocol.AcceptStored)
	is.Equal(c.dispatcher.next().ID, "m1")
}

// tellTime sets whether replies to heartbeats tell the cluster time.
func (c *fakeControl) tellTime(tell bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeUnsettled = !tell
}
