package store

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/queue"
)

// code returns the error code of a refused call, 0 for other errors and nil.
func code(err error) uint16 {
	var refused *rpc.RemoteError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return 0
}

func TestMessageIsStoredDeliveredAndEnded(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	primary, backup, d := c.stores[0], c.stores[1], c.dispatcher
	is.Equal(d.accept(primary, message("m1", "plain", "")), protocol.AcceptStored)
	m := d.next()
	is.Equal(m.ID, "m1")
	is.Equal(m.Epoch, uint64(1))
	is.Equal(m.RequestID, "request-m1")
	is.Equal(m.URI, "/path?query")
	is.Equal(m.Headers, []protocol.Header{{Name: "Content-Type", Value: "text/plain"}})
	is.Equal(string(m.Body), "body of m1")
	found, err := d.lookup(primary, 0, "m1")
	is.NoErr(err)
	is.Equal(found.State, protocol.StateQueued)
	is.Equal(string(found.Body), "body of m1")

	is.NoErr(d.result(primary, &m, protocol.OutcomeSucceeded))
	is.NoErr(d.result(primary, &m, protocol.OutcomeSucceeded)) // repeated, as after a lost reply
	is.Equal(d.accept(primary, message("m1", "plain", "")), protocol.AcceptStored)
	found, err = d.lookup(primary, 0, "m1")
	is.NoErr(err)
	is.Equal(found, protocol.LookupReply{Found: true, State: protocol.StateSucceeded, Signature: "signature of m1"})
	missing, err := d.lookup(primary, 0, "m2")
	is.NoErr(err)
	is.True(!missing.Found)
	is.Equal(len(d.deliveries), 0)

	// The backup has all of it on its disk.
	backup.on(func(s *store) {
		state, found, err := s.partitions[0].state("m1")
		is.NoErr(err)
		is.True(found)
		is.Equal(state.State, protocol.StateSucceeded)
		_, found, err = s.partitions[0].body("m1")
		is.NoErr(err)
		is.True(!found)
	})
}

func TestBackupRefusesWithoutSideEffects(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	backup, d := c.stores[1], c.dispatcher
	is.Equal(d.accept(backup, message("m1", "plain", "")), protocol.AcceptNotPrimary)
	_, err := d.lookup(backup, 0, "m1")
	is.Equal(code(err), protocol.CodeNotPrimary)
	is.Equal(code(d.result(backup, &protocol.Deliver{ID: "m1"}, protocol.OutcomeSucceeded)), protocol.CodeNotPrimary)
	is.Equal(d.accept(c.stores[0], message("m1", "elsewhere", "")), protocol.AcceptNoRoute)
}

func TestKeyIsBlockedUntilItsFirstMessageHasEnded(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	primary, d := c.stores[0], c.dispatcher
	for _, id := range []string{"m1", "m2", "m3"} {
		is.Equal(d.accept(primary, message(id, "fifo", "key")), protocol.AcceptStored)
	}
	for _, id := range []string{"m1", "m1"} { // MaxAttempts is 2
		m := d.next()
		is.Equal(m.ID, id)
		is.NoErr(d.result(primary, &m, protocol.OutcomeFailed))
	}
	m := d.next()
	is.Equal(m.ID, "m2")
	is.NoErr(d.result(primary, &m, protocol.OutcomeRefused))
	m = d.next()
	is.Equal(m.ID, "m3")
	for _, id := range []string{"m1", "m2"} {
		found, err := d.lookup(primary, 0, id)
		is.NoErr(err)
		is.Equal(found.State, protocol.StateDeadLetter)
		is.Equal(string(found.Body), "body of "+id)
	}
}

func TestNewPrimaryDoesNotRedeliverHeldMessages(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first, second, d := c.stores[0], c.stores[1], c.dispatcher
	is.Equal(d.accept(first, message("m1", "fifo", "key")), protocol.AcceptStored)
	is.Equal(d.accept(first, message("m2", "fifo", "key")), protocol.AcceptStored)
	is.Equal(d.accept(first, message("m3", "plain", "")), protocol.AcceptStored)
	m1, m3 := d.next(), d.next()
	is.Equal([]string{m1.ID, m3.ID}, []string{"m1", "m3"})
	first.kill()
	table := c.view(1, 2)
	d.hello(second, table, held(&m1)) // m3 never arrived
	again := d.next()
	is.Equal(again.ID, "m3")
	is.True(again.Attempt != m3.Attempt)
	is.Equal(again.Epoch, uint64(2))
	second.on(func(s *store) { is.True(s.queue.Has(0, "m2")) })
	is.Equal(len(d.deliveries), 0)
	is.NoErr(d.result(second, &m1, protocol.OutcomeSucceeded))
	m2 := d.next()
	is.Equal(m2.ID, "m2")
}

// TestFailureIsCountedOnceAcrossPrimaries has the store crash right after it has recorded a failed delivery, so that the dispatcher does
// not receive the reply. The dispatcher lists the delivery in its Hello to the next primary and reports it again: it must not be counted
// twice.
func TestFailureIsCountedOnceAcrossPrimaries(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first, second, d := c.stores[0], c.stores[1], c.dispatcher
	is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
	m1 := d.next()
	is.NoErr(d.result(first, &m1, protocol.OutcomeFailed))
	first.kill()
	table := c.view(1, 2)
	d.hello(second, table, held(&m1))
	second.await(func(s *store) bool { return s.partitions[0].leading })
	is.NoErr(d.result(second, &m1, protocol.OutcomeFailed))
	again := d.next()
	for again.Epoch < 2 { // the first store may have delivered it again before it crashed
		again = d.next()
	}
	is.Equal(again.ID, "m1")
	is.Equal(again.FailedAttempts, uint32(1))
}

func TestFrozenPrimaryDoesNotActAfterResuming(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first, second, d := c.stores[0], c.stores[1], c.dispatcher
	is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
	m1 := d.next()
	frozenAt := time.Now()
	thaw := first.freeze()
	defer thaw()
	table := c.view(1, 2)
	second.await(func(s *store) bool { return s.partitions[0].leading })
	var wait, now int64
	var frozenFor time.Duration
	second.on(func(s *store) {
		frozenFor = time.Since(frozenAt)
		wait, now = int64(s.partitions[0].earlierLeasesUntil(s.now())), int64(s.now())
	})
	is.True(wait > 0 || frozenFor >= leaseDuration) // for the lease granted to the first store, unless it has expired already
	_, err := d.lookup(second, 0, "m1")
	is.True(err != nil || now >= wait)
	d.hello(second, table)
	again := d.next()
	is.Equal(again.ID, "m1")
	second.on(func(s *store) { is.True(int64(s.now()) >= wait) })
	is.NoErr(d.result(second, &again, protocol.OutcomeSucceeded))

	late := make(chan error, 3)
	go func() { late <- d.result(first, &m1, protocol.OutcomeFailed) }()
	thaw()
	is.True(code(<-late) != 0)        // the frozen store cannot record it
	first.await(func(s *store) bool { // it may have dropped the partition already, which it is no longer a member of
		p := s.partitions[0]
		return p == nil || !p.mayAct(s.now())
	})
	is.True(d.accept(first, message("m9", "plain", "")) != protocol.AcceptStored)
	_, err = d.lookup(first, 0, "m1")
	is.Equal(code(err), protocol.CodeNotPrimary)
	found, err := d.lookup(second, 0, "m1")
	is.NoErr(err)
	is.Equal(found.State, protocol.StateSucceeded)
}

func TestRestartOnTheSameDiskKeepsMessages(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, d := c.stores[0], c.dispatcher
	is.Equal(d.accept(first, message("m1", "fifo", "key")), protocol.AcceptStored)
	is.Equal(d.accept(first, message("m2", "fifo", "key")), protocol.AcceptStored)
	m1 := d.next()
	is.NoErr(d.result(first, &m1, protocol.OutcomeSucceeded))
	m2 := d.next()
	member := first.member()
	first.kill()
	restarted := startStoreOn(t, c.control, first.name, first.settings.DataDir)
	is.Equal(restarted.member(), member)
	c.stores[0] = restarted
	c.awaitNodes()
	c.control.mu.Lock()
	table := protocol.ItemVersion{Term: 1, Number: c.control.number[protocol.ItemPartitions]}
	c.control.mu.Unlock()
	d.hello(restarted, table, held(&m2))
	restarted.awaitLeading(0)
	found, err := d.lookup(restarted, 0, "m1")
	is.NoErr(err)
	is.Equal(found.State, protocol.StateSucceeded)
	is.Equal(d.accept(restarted, message("m1", "fifo", "key")), protocol.AcceptStored)
	is.Equal(d.accept(restarted, message("m3", "fifo", "key")), protocol.AcceptStored)
	is.Equal(len(d.deliveries), 0)
	is.NoErr(d.result(restarted, &m2, protocol.OutcomeSucceeded))
	m3 := d.next()
	is.Equal(m3.ID, "m3")
}

func TestPlannedShutdownHandsOver(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first, second, d := c.stores[0], c.stores[1], c.dispatcher
	is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
	m1 := d.next()
	first.cancel()
	c.control.await(func() bool { return len(c.control.leaves) == 1 })
	is.Equal(c.control.leaves[0], protocol.Leave{Key: first.node().Key, Incarnation: first.node().Incarnation})
	table := c.view(1, 0, 2)
	d.hello(second, table, held(&m1))
	second.awaitLeading(0)
	c.control.await(func() bool { return len(c.control.leaves) == 2 })
	is.True(c.control.leaves[1].EndSession)
	err := <-first.ended
	first.ended <- err
	is.NoErr(err)
	c.view(1, 2)
	is.NoErr(d.result(second, &m1, protocol.OutcomeSucceeded))
}

func TestLearnerIsOfferedAndCanBecomePrimary(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first, third, d := c.stores[0], c.stores[2], c.dispatcher
	for _, id := range []string{"m1", "m2", "m3"} {
		is.Equal(d.accept(first, message(id, "fifo", "key")), protocol.AcceptStored)
	}
	m1 := d.next()
	c.epoch++
	c.control.publishViews(protocol.PartitionView{Epoch: c.epoch, Primary: first.member(),
		Members: []string{first.member(), c.stores[1].member()}, Learners: []string{third.member()}})
	var offers []protocol.PromotionOffer
	c.control.await(func() bool {
		offers = c.control.heartbeats[first.node().Key].Offers
		return len(offers) > 0
	})
	is.Equal(offers, []protocol.PromotionOffer{{Partition: 0, Epoch: 2, Learner: third.member()}})
	c.view(0, 1, 2)
	first.await(func(s *store) bool { return s.partitions[0].epoch == 3 })
	is.NoErr(d.result(first, &m1, protocol.OutcomeSucceeded)) // the queue was kept through both epochs
	m2 := d.next()
	is.Equal(m2.ID, "m2")
	table := c.view(2, 0, 1)
	d.hello(third, table, held(&m2))
	third.awaitLeading(0)
	is.NoErr(d.result(third, &m2, protocol.OutcomeSucceeded))
	m3 := d.next()
	is.Equal(m3.ID, "m3")
}

func TestRemovedMemberDropsThePartition(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	is.Equal(c.dispatcher.accept(c.stores[0], message("m1", "plain", "")), protocol.AcceptStored)
	c.view(0, 2)
	c.stores[0].await(func(s *store) bool { return s.partitions[0].epoch == 2 })
	c.stores[1].await(func(s *store) bool { return s.partitions[0] == nil && len(s.log.Groups()) == 1 })
}

func TestRemovedRouteEndsItsMessages(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, d := c.stores[0], c.dispatcher
	late := message("m1", "plain", "")
	late.Delay = 60_000_000_000
	is.Equal(d.accept(first, late), protocol.AcceptStored)
	c.control.publishConfiguration(2, route("fifo", true, nil))
	first.await(func(s *store) bool { return s.queue.Total() == 0 })
	found, err := d.lookup(first, 0, "m1")
	is.NoErr(err)
	is.Equal(found.State, protocol.StateDeadLetter)
}

func TestStatesOfEndedMessagesExpire(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, d := c.stores[0], c.dispatcher
	is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
	m1 := d.next()
	is.NoErr(d.result(first, &m1, protocol.OutcomeRefused))
	found, err := d.lookup(first, 0, "m1")
	is.NoErr(err)
	is.True(found.HasBody)
	first.on(func(s *store) {
		settings := *s.settings
		settings.Bounds.StatusS = -statusSlack.Seconds()
		s.settings = &settings
	})
	for _, s := range c.stores {
		s.await(func(s *store) bool { return len(s.log.Groups()) == 1 }) // the local group alone
	}
	found, err = d.lookup(first, 0, "m1")
	is.NoErr(err)
	is.True(!found.Found)
}

func TestReconnectingDispatcherReceivesLostDeliveries(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, d := c.stores[0], c.dispatcher
	is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
	is.Equal(d.accept(first, message("m2", "plain", "")), protocol.AcceptStored)
	m1, m2 := d.next(), d.next()
	d.disconnect(first)
	d.hello(first, protocol.ItemVersion{Term: 1, Number: 1}, held(&m2))
	again := d.next()
	is.Equal(again.ID, m1.ID)
	is.NoErr(d.result(first, &m2, protocol.OutcomeSucceeded))
	is.NoErr(d.result(first, &m1, protocol.OutcomeSucceeded)) // it had arrived before the disconnect
	is.Equal(len(d.deliveries), 0)
}

func TestStalledDiskStopsDeliveriesAndAccepts(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, d := c.stores[0], c.dispatcher
	is.Equal(d.accept(first, message("m0", "plain", "")), protocol.AcceptStored)
	m0 := d.next() // deliveries flow before the disk stalls
	is.Equal(m0.ID, "m0")
	first.await(func(s *store) bool {
		s.storage.mu.Lock()
		defer s.storage.mu.Unlock()
		return s.storage.outstanding == 0
	})
	first.on(func(s *store) {
		s.storage.begin() // a sync that does not complete
		s.storage.lastProgress -= 2 * stallTimeout
	})
	first.await(func(s *store) bool { return s.diskStalled })
	is.Equal(d.accept(first, message("m2", "plain", "")), protocol.AcceptFull)
	m := message("m1", "plain", "")
	first.on(func(s *store) { // as if accepted before, and due now
		s.bodies.put(messageKey{0, "m1"}, bodyRecord(&m))
		before := inFlight(s)
		s.queue.Add(s.now(), queue.Entry{ID: "m1", Host: m.Host, URI: m.URI, Sequence: 2, ExpiresIn: time.Minute})
		s.sendDeliveries()
		is.True(s.diskStalled)
		is.Equal(inFlight(s), before)
	})
	first.on(func(s *store) { s.storage.end(nil) })
	m1 := d.next()
	is.Equal(m1.ID, "m1")
}

// inFlight counts the deliveries that dispatchers hold.
func inFlight(s *store) int {
	out := 0
	for _, service := range s.queue.Stats() {
		out += service.InFlight
	}
	return out
}

func TestPrimaryWithoutLeasesDeliversNothing(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, d := c.stores[0], c.dispatcher
	thaw := c.stores[1].freeze()
	defer thaw()
	first.await(func(s *store) bool { return s.partitions[0].leasesUntil() < s.now() })
	m := message("m1", "plain", "")
	first.on(func(s *store) { // as if accepted just before
		s.bodies.put(messageKey{0, "m1"}, bodyRecord(&m))
		s.queue.Add(s.now(), queue.Entry{ID: "m1", Host: m.Host, URI: m.URI, Sequence: 1, ExpiresIn: time.Minute})
	})
	first.await(func(s *store) bool {
		is.Equal(len(s.queue.Stats()), 0) // neither ready nor in flight
		return s.queue.Has(0, "m1")
	})
	_, err := d.lookup(first, 0, "m1")
	is.Equal(code(err), protocol.CodeNotPrimary)
	thaw()
	m1 := d.next()
	is.Equal(m1.ID, "m1")
}

func TestWriteOfUnknownOutcomeIsNotRefused(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first, d := c.stores[0], c.dispatcher
	thaw := c.stores[1].freeze()
	defer thaw()
	statuses := make(chan protocol.AcceptStatus, 2)
	for range 2 {
		go func() { statuses <- d.accept(first, message("m1", "plain", "")) }()
	}
	first.await(func(s *store) bool {
		pending := s.partitions[0].pending["m1"]
		return pending != nil && len(pending.replies) == 2
	})
	// While the write is blocked, another message is refused at once without writing anything.
	first.await(func(s *store) bool { return s.partitions[0].writesSlow(s.now()) })
	is.Equal(d.accept(first, message("m2", "plain", "")), protocol.AcceptFull)
	first.on(func(s *store) {
		_, found, err := s.partitions[0].state("m2")
		is.NoErr(err)
		is.True(!found)
	})
	c.view(1, 2)
	is.Equal(<-statuses, protocol.AcceptUnknown)
	is.Equal(<-statuses, protocol.AcceptUnknown)
}

// A store that restarted with a message only on its own disk confirms the message once another disk has it too, since its own disk may be
// lost next.
func TestDuplicateIsConfirmedOnceEnoughDisksHaveIt(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first := c.stores[0]
	m := message("m1", "plain", "")
	thaw := c.stores[1].freeze()
	defer thaw()
	first.on(func(s *store) { s.receiveAccept(m.Append(nil), func([]byte, error) {}) })
	synced := make(chan struct{})
	first.on(func(s *store) {
		s.storage.Append(groupOf(99), nil, func(error) { close(synced) }) // completes after the write of the message
	})
	<-synced
	first.kill()
	first = startStoreOn(t, c.control, first.name, first.settings.DataDir)
	c.stores[0] = first
	c.control.await(func() bool { return c.control.nodes[first.node().Key].Incarnation == first.node().Incarnation })
	c.control.publishNodes()
	c.view(0) // alone
	first.await(func(s *store) bool {
		p := s.partitions[0]
		return p != nil && p.leading && p.hasMessage("m1")
	})
	answers := make(chan protocol.AcceptStatus, 1)
	first.on(func(s *store) {
		s.receiveAccept(m.Append(nil), func(body []byte, err error) {
			is.NoErr(err)
			var reply protocol.AcceptReply
			is.NoErr(reply.Decode(body))
			answers <- reply.Status
		})
	})
	is.Equal(len(answers), 0)
	c.view(1) // another store takes over without the message
	is.Equal(<-answers, protocol.AcceptUnknown)
}

func TestNewPrimaryWaitsForHelloWithItsTable(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, second, d := c.stores[0], c.stores[1], c.dispatcher
	is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
	m1 := d.next()
	table := c.view(1, 0)
	second.awaitTakeover()
	second.await(func(s *store) bool { return s.queue.Has(0, "m1") && len(s.queue.Stats()) == 0 })
	d.hello(second, table, held(&m1))
	second.await(func(s *store) bool { return s.partitions[0].hellosComplete })
	is.NoErr(d.result(second, &m1, protocol.OutcomeSucceeded))
	is.Equal(len(d.deliveries), 0)
}

func TestNoLeaseForEarlierPrimaryWithOldTable(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	first, second := c.stores[0], c.stores[1]
	table := c.view(1, 2)
	second.await(func(s *store) bool { return s.partitions[0].epoch == 2 })
	ask := func(s *store, table protocol.ItemVersion) (granted bool) {
		request := leaseRequest{Incarnation: first.node().Incarnation, Table: table,
			LeaseRequest: protocol.LeaseRequest{From: first.member(), To: s.member, Duration: leaseDuration}}
		s.grantLease(request.append(nil), func(body []byte, err error) {
			var reply protocol.LeaseReply
			granted = err == nil && reply.Decode(body) == nil && reply.Granted
		})
		return granted
	}
	var old, present, behind bool
	second.on(func(s *store) {
		old = ask(s, protocol.ItemVersion{Term: 1, Number: 1})
		present = ask(s, table)
		p := s.partitions[0]
		p.view.Epoch-- // as if a partition had joined an epoch that the table does not contain yet
		behind = ask(s, table)
		p.view.Epoch++
	})
	is.True(!old)
	is.True(present)
	is.True(!behind)
}

func TestDeliveryDroppedForItsEpochIsRedelivered(t *testing.T) {
	for _, helloFirst := range []bool{false, true} {
		is := is.New(t)
		c := startCluster(t, 2)
		first, d := c.stores[0], c.dispatcher
		is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
		is.Equal(d.accept(first, message("m2", "plain", "")), protocol.AcceptStored)
		m1, m2 := d.next(), d.next()
		next := protocol.ItemVersion{Term: 1, Number: 2}
		if helloFirst { // the dispatcher receives the table before the store does
			d.hello(first, next, held(&m2))
			first.await(func(s *store) bool {
				return s.sessions[sessionName(d.node.Key, d.node.Incarnation)].tableVersion == next
			})
			is.Equal(c.view(0, 1), next)
		} else {
			is.Equal(c.view(0, 1), next)
			first.await(func(s *store) bool { return s.partitions[0].view.Epoch == 2 })
			d.hello(first, next, held(&m2))
		}
		again := d.next()
		is.Equal(again.ID, m1.ID)
		is.Equal(again.Epoch, uint64(2))
		is.NoErr(d.result(first, &m2, protocol.OutcomeSucceeded))
		is.Equal(len(d.deliveries), 0)
	}
}

// A message ends because its route was removed. The outcome of its last delivery arrives before the write of that end has been started.
func TestOutcomeOfJustEndedMessageIsAnswered(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	first, d := c.stores[0], c.dispatcher
	is.Equal(d.accept(first, message("m1", "plain", "")), protocol.AcceptStored)
	m1 := d.next()
	c.control.publishConfiguration(9, route("fifo", true, nil))
	first.await(func(s *store) bool { return s.configuration.Revision == 9 })
	answered := make(chan error, 1)
	first.on(func(s *store) {
		s.queue.DispatcherDisconnected(s.now(), sessionName(d.node.Key, d.node.Incarnation), true)
		result := protocol.Result{ID: "m1", Attempt: m1.Attempt, Outcome: protocol.OutcomeNotRun}
		s.receiveResult(result.Append(nil), func(_ []byte, err error) { answered <- err })
	})
	is.NoErr(<-answered)
	found, err := d.lookup(first, 0, "m1")
	is.NoErr(err)
	is.Equal(found.State, protocol.StateDeadLetter)
}
