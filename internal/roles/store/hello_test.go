package store

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/queue"
)

// awaitHello waits until the store has processed a Hello of the dispatcher by the given table.
func (d *fakeDispatcher) awaitHello(s *testStore, table protocol.ItemVersion) {
	d.t.Helper()
	s.await(func(s *store) bool {
		sess := s.sessions[sessionName(d.node.Key, d.node.Incarnation)]
		return sess != nil && sess.conn != nil && sess.tableVersion == table
	})
}

// awaitNoDelivery checks that the store has sent no delivery. The answer to a call follows all deliveries that were sent before it.
func (d *fakeDispatcher) awaitNoDelivery(s *testStore) {
	d.t.Helper()
	_, err := d.lookup(s, 0, "m1")
	is := is.New(d.t)
	is.NoErr(err)
	is.Equal(len(d.deliveries), 0)
}

// TestHeldDeliveryIsNotRepeatedAfterAHelloByANewerTable guards against a message that runs again after its success: a dispatcher that knows the next
// primary lists its delivery to that one only, and the primary before it does not know the table yet.
func TestHeldDeliveryIsNotRepeatedAfterAHelloByANewerTable(t *testing.T) {
	for _, test := range []struct {
		name string
		// hello makes the second store, which leads by table, receive a Hello by the newer table.
		hello func(d *fakeDispatcher, second *testStore, m1 *protocol.Deliver, table, newer protocol.ItemVersion)
	}{
		{"while it leads", func(d *fakeDispatcher, second *testStore, m1 *protocol.Deliver, table, newer protocol.ItemVersion) {
			d.hello(second, table, held(m1))
			second.awaitLeading(0)
			d.hello(second, newer)
		}},
		{"on a new connection", func(d *fakeDispatcher, second *testStore, m1 *protocol.Deliver, table, newer protocol.ItemVersion) {
			d.hello(second, table, held(m1))
			second.awaitLeading(0)
			d.disconnect(second)
			d.hello(second, newer)
		}},
		{"before it delivers", func(d *fakeDispatcher, second *testStore, _ *protocol.Deliver, _, newer protocol.ItemVersion) {
			d.hello(second, newer)
		}},
		{"before it leads", func(d *fakeDispatcher, second *testStore, m1 *protocol.Deliver, table, newer protocol.ItemVersion) {
			second.on(func(s *store) { s.partitions[0].Deposed(2) }) // as if its backups had not joined yet
			d.hello(second, table, held(m1))
			d.hello(second, newer)
			d.awaitHello(second, newer)
			second.on(func(s *store) { s.partitions[0].lead() })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, 3)
			first, second, third, d := c.stores[0], c.stores[1], c.stores[2], c.dispatcher
			is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
			m1 := d.next()
			table := c.view(1, 0, 2)
			newer := protocol.ItemVersion{Term: table.Term, Number: table.Number + 1}
			second.awaitTakeover()
			test.hello(d, second, &m1, table, newer)
			d.awaitHello(second, newer)
			d.awaitNoDelivery(second)

			is.Equal(c.view(2, 0, 1), newer)
			d.hello(third, newer, held(&m1))
			third.awaitLeading(0)
			d.awaitNoDelivery(third)
			is.NoErr(d.result(third, &m1, protocol.OutcomeSucceeded))
		})
	}
}

// TestLostDeliveryIsRepeatedOnceTheTableOfTheHelloIsKnown guards against a message that waits for its deadline: what a Hello by a newer table says
// counts as soon as the store knows that it is still the primary by that table.
func TestLostDeliveryIsRepeatedOnceTheTableOfTheHelloIsKnown(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first, second, d := c.stores[0], c.stores[1], c.dispatcher
	is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
	m1 := d.next()
	table := c.view(1, 0, 2)
	d.hello(second, table, held(&m1))
	second.awaitLeading(0)
	newer := protocol.ItemVersion{Term: table.Term, Number: table.Number + 1}
	d.hello(second, newer)
	d.awaitHello(second, newer)
	var view protocol.PartitionView
	second.on(func(s *store) { view = s.partitions[0].view })
	is.Equal(c.control.publishViews(view), newer)
	again := d.next()
	is.Equal(again.ID, m1.ID)
	is.Equal(again.Epoch, uint64(2))
}

// TestNewPrimaryWaitsForConnectedDispatcherThatIsNotInItsNodeTable guards against a message that runs twice: the node table and the partition table spread
// independently, so that a dispatcher may have deliveries of the last primary before the next one finds it in its table.
func TestNewPrimaryWaitsForConnectedDispatcherThatIsNotInItsNodeTable(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, second, d := c.stores[0], c.stores[1], c.dispatcher
	unknown := newDispatcher(t, "edge-2")
	before := protocol.ItemVersion{Term: 1, Number: 1}
	unknown.hello(first, before)
	unknown.hello(second, before)
	unknown.awaitHello(first, before)
	unknown.awaitHello(second, before)
	is.NoErr(d.conn(first).Notify(protocol.KindPause, nil))
	is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
	m1 := unknown.next()
	table := c.view(1, 0)
	second.awaitTakeover()
	d.hello(second, table)
	d.awaitHello(second, table)
	var delivers bool
	second.on(func(s *store) { delivers = s.partitions[0].mayDeliver(s.now()) })
	is.True(!delivers)
	unknown.hello(second, table, held(&m1))
	second.await(func(s *store) bool { return s.partitions[0].hellosComplete })
	is.NoErr(unknown.result(second, &m1, protocol.OutcomeSucceeded))
	is.Equal(len(d.deliveries)+len(unknown.deliveries), 0)
}

// TestNewPrimaryDoesNotWaitForEndedDispatchers guards against a takeover that waits for a process that is gone: one whose connection is closed, and one
// that a later process of its node has replaced.
func TestNewPrimaryDoesNotWaitForEndedDispatchers(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	second, d := c.stores[1], c.dispatcher
	before := protocol.ItemVersion{Term: 1, Number: 1}
	closed, replaced := newDispatcher(t, "edge-2"), startDispatcher(t, c.control, "edge-3")
	for _, ending := range []*fakeDispatcher{closed, replaced} {
		ending.hello(second, before)
		ending.awaitHello(second, before)
	}
	second.await(func(s *store) bool {
		sess := s.sessions[sessionName(replaced.node.Key, replaced.node.Incarnation)]
		s.reconcileSessions(s.now(), s.view)
		return sess.listed
	})
	closed.disconnect(second)
	next := newDispatcher(t, "edge-3")
	next.node.Incarnation = replaced.node.Incarnation + 1
	c.control.addNode(next.node)
	table := c.view(1, 0)
	second.awaitTakeover()
	d.hello(second, table)
	next.hello(second, table)
	second.await(func(s *store) bool { return s.partitions[0].hellosComplete })
	is.Equal(len(d.deliveries), 0)
}

// TestPrimaryWithoutLeasesAcknowledgesNoUnknownOutcome guards against a success that is forgotten: a dispatcher with an old table reports it to the last
// primary, which does not know of its successor and of the message.
func TestPrimaryWithoutLeasesAcknowledgesNoUnknownOutcome(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, d := c.stores[0], c.dispatcher
	thaw := c.stores[1].freeze()
	defer thaw()
	first.await(func(s *store) bool { return s.partitions[0].leasesUntil() < s.now() })
	first.on(func(s *store) {
		s.queue.Add(s.now(), queue.Entry{ID: "m2", Host: "plain.example", URI: "/", Sequence: 1, ExpiresIn: time.Minute})
	})
	bySuccessor := uint32(2<<attemptBits + 1)
	m1, m2 := protocol.Deliver{ID: "m1", Attempt: bySuccessor}, protocol.Deliver{ID: "m2", Attempt: bySuccessor}
	is.Equal(code(d.result(first, &m1, protocol.OutcomeSucceeded)), protocol.CodeNotPrimary) // accepted by the successor
	is.Equal(code(d.result(first, &m2, protocol.OutcomeFailed)), protocol.CodeNotPrimary)    // delivered by the successor
	thaw()
	first.await(func(s *store) bool { return s.partitions[0].mayAct(s.now()) })
	is.NoErr(d.result(first, &m1, protocol.OutcomeSucceeded)) // it has ended, as there is no successor
}
