package stores

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/internal/roles/dispatcher/delivery"
	"liftgauge/internal/rpc"
)

func message(id string, attempt uint32) protocol.Deliver {
	return protocol.Deliver{ID: id, Epoch: 1, Attempt: attempt, RequestID: id, Method: "POST", Host: "h", URI: "/", Body: []byte("body " + id)}
}

var (
	succeeded = delivery.Result{Outcome: protocol.OutcomeSucceeded, Status: 200, Signature: "sig"}
	failed    = delivery.Result{Outcome: protocol.OutcomeFailed, Status: 500}
	notRun    = delivery.Result{Outcome: protocol.OutcomeNotRun}
)

func TestDeliveryAfterHelloRunsAndIsReported(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	g := s.helloForTable(t, 1)
	is.Equal(g.hello.Dispatcher, "edge/dispatcher")
	is.Equal(g.hello.Incarnation, uint64(7))
	is.Equal(g.hello.Zone, "a")
	is.Equal(g.hello.Windows, []protocol.ServiceWindow{{Service: "orders", Slots: 5}})
	is.Equal(len(g.hello.Held), 0)

	g.deliver(t, message("m", 1))
	one := receive(t, r.runs)
	is.Equal(one.message.ID, "m")
	is.Equal(string(one.message.Body), "body m")
	one.done(succeeded)
	got := receive(t, s.results)
	is.Equal(got.result.ID, "m")
	is.Equal(got.result.Attempt, uint32(1))
	is.Equal(got.result.Outcome, protocol.OutcomeSucceeded)
	is.Equal(got.result.Signature, "sig")
	is.Equal(r.links.Held(), 1) // held until the result is on disk
	got.reply(nil, nil)
	g.awaitHeld(t, r, 0)
}

// awaitHeld waits until n deliveries are held.
func (g receivedHello) awaitHeld(t *testing.T, r *harness, n int) {
	t.Helper()
	for r.links.Held() != n {
		g.flush(t) // a round trip
	}
}

func TestResultGoesToTheNewPrimary(t *testing.T) {
	is := is.New(t)
	r, oldPrimary, newPrimary := newHarness(t), newFakeStore(t), newFakeStore(t)
	r.publishTable(1, oldPrimary)
	oldPrimary.helloForTable(t, 1).deliver(t, message("m", 1))
	one := receive(t, r.runs)
	r.publishTable(2, newPrimary)
	g := newPrimary.helloForTable(t, 2)
	is.Equal(g.hello.Held, []protocol.HeldDelivery{{ID: "m", Attempt: 1}}) // the message is running
	one.done(succeeded)
	got := receive(t, newPrimary.results)
	is.Equal(got.result.ID, "m")
	got.reply(nil, nil)
	g.awaitHeld(t, r, 0)
}

// A store with another disk is another member at the same address. When it becomes primary, it receives the held deliveries in a Hello,
// whichever of the node table and the partition table arrives first.
func TestStoreWithAnotherDiskReceivesHeldDeliveries(t *testing.T) {
	for _, nodesFirst := range []bool{true, false} {
		is := is.New(t)
		r, oldPrimary, newPrimary := newHarness(t), newFakeStore(t), newFakeStore(t)
		r.publishTable(1, oldPrimary, newPrimary)
		oldPrimary.helloForTable(t, 1).deliver(t, message("m", 1))
		receive(t, r.runs)
		newPrimary.disk = "/another"
		if nodesFirst {
			r.publishTable(2, oldPrimary, newPrimary)
			newPrimary.helloForTable(t, 2)
			r.publishTable(3, newPrimary, oldPrimary)
		} else {
			view := r.tableView(2, newPrimary, oldPrimary)
			view.Nodes = r.view.Nodes
			r.publish(view)
		}
		for {
			g := receive(t, newPrimary.hellos)
			is.True(g.hello.Table.Number <= r.view.PartitionsVersion.Number)
			if len(g.hello.Held) > 0 {
				is.Equal(g.hello.Held, []protocol.HeldDelivery{{ID: "m", Attempt: 1}})
				break
			}
			is.True(g.hello.Table.Number < r.view.PartitionsVersion.Number) // with this table the Hello must list it
		}
	}
}

func TestResultIsRepeatedUntilItIsOnDisk(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	g := s.helloForTable(t, 1)
	g.deliver(t, message("m", 1))
	receive(t, r.runs).done(failed)
	for _, code := range []uint16{protocol.CodeNotPrimary, protocol.CodeUnavailable, protocol.CodeOutcomeUnknown} {
		got := receive(t, s.results)
		is.Equal(got.result.Outcome, protocol.OutcomeFailed)
		got.reply(nil, rpc.Errorf(code, "no"))
	}
	lost := receive(t, s.results)
	lost.reply(nil, rpc.Errorf(protocol.CodeNotPrimary, "no"))
	receive(t, s.results).reply(nil, nil)
	g.awaitHeld(t, r, 0)
}

func TestResultIsRepeatedOnANewConnection(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	g := s.helloForTable(t, 1)
	g.deliver(t, message("m", 1))
	receive(t, r.runs).done(succeeded)
	receive(t, s.results) // unanswered
	g.conn.Close()
	again := receive(t, s.hellos)
	is.Equal(again.hello.Held, []protocol.HeldDelivery{{ID: "m", Attempt: 1}})
	got := receive(t, s.results)
	is.Equal(got.result.Signature, "sig")
	got.reply(nil, nil)
	again.awaitHeld(t, r, 0)
}

func TestDeliveryOfADeposedPrimaryIsDropped(t *testing.T) {
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(5, s)
	g := s.helloForTable(t, 1)
	g.deliver(t, message("m", 1)) // of epoch 1
	fine := message("n", 1)
	fine.Epoch = 5
	g.deliver(t, fine)
	equal(t, receive(t, r.runs).message.ID, "n")
	equal(t, r.links.Held(), 1)
}

// A store that stays primary in a later view keeps its queue, and may send a delivery before it has received that view.
func TestDeliveryOfAnEarlierViewIsReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(5, s)
	s.helloForTable(t, 1).deliver(t, message("m", 3)) // of epoch 1
	got := receive(t, s.results)
	is.Equal(got.result.ID, "m")
	is.Equal(got.result.Attempt, uint32(3))
	is.Equal(got.result.Outcome, protocol.OutcomeNotRun)
	got.reply(nil, nil)
	is.Equal(len(r.runs), 0)
	is.Equal(r.links.Held(), 0)
}

// A Hello for a later view is written after a delivery of the previous view has arrived and before it is recorded.
func TestDeliveryThatCrossesTheHelloOfALaterViewDoesNotRun(t *testing.T) {
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	g := s.helloForTable(t, 1)
	conn, _ := r.links.options.Connections.Get(t.Context(), s.server.Addr())
	m := message("m", 1)
	later := false
	r.links.held.mu.Lock()
	done := make(chan takeResult)
	go func() {
		_, taken := r.links.held.take(conn, &m, time.Now(), func() bool { return later })
		done <- taken
	}()
	later = true // the Hello that holds the lock is for the later view
	r.links.held.mu.Unlock()
	equal(t, <-done, takeOutdated)
	g.flush(t)
	equal(t, r.links.Held(), 0)
}

// A delivery on a connection that has been replaced is not listed in the Hello on the new one, so it must not run.
func TestDeliveryOnAnInactiveConnectionIsDropped(t *testing.T) {
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	g := s.helloForTable(t, 1)
	r.links.held.mu.Lock()
	clear(r.links.held.conns) // as while a new connection is being activated
	r.links.held.mu.Unlock()
	g.deliver(t, message("m", 1))
	g.flush(t)
	r.publishTable(1, s) // causes a new Hello
	again := s.helloForTable(t, 2)
	equal(t, len(again.hello.Held), 0)
	again.deliver(t, message("n", 1))
	equal(t, receive(t, r.runs).message.ID, "n")
	equal(t, len(r.runs), 0)
}

func TestSameMessageRunsOnceAtATime(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	g := s.helloForTable(t, 1)
	g.deliver(t, message("m", 1))
	one := receive(t, r.runs)
	g.deliver(t, message("m", 2)) // the store has given up the first attempt
	g.deliver(t, message("n", 1))
	is.Equal(receive(t, r.runs).message.ID, "n")
	is.Equal(len(r.runs), 0)
	one.done(failed)
	got := receive(t, s.results)
	is.Equal(got.result.Attempt, uint32(2)) // one result, for the newest attempt
	got.reply(nil, nil)
	g.awaitHeld(t, r, 1) // n
}

// A message is delivered again after its run has ended and before its result is known to be on disk.
// TestLateDeliveryOfAnEarlierPrimaryDoesNotHideTheHeldOne guards against a message that runs twice: a delivery of an earlier primary, which arrives after
// that of the present one while this process knows neither view, made the Hello to the present one leave the message out.
func TestLateDeliveryOfAnEarlierPrimaryDoesNotHideTheHeldOne(t *testing.T) {
	is := is.New(t)
	r, earlier, present := newHarness(t), newFakeStore(t), newFakeStore(t)
	r.publishTable(1, earlier, present) // of partition 0 the earlier one is primary by this table
	fromEarlier, fromPresent := earlier.helloForTable(t, 1), present.helloForTable(t, 1)
	later := message("m", 2<<12+1)
	later.Epoch = 2
	fromPresent.deliver(t, later)
	receive(t, r.runs)
	fromEarlier.deliver(t, message("m", 1<<12+1))
	fromEarlier.flush(t)
	fromPresent.conn.Close()
	again := present.helloForTable(t, 1)
	is.Equal(again.hello.Held, []protocol.HeldDelivery{{ID: "m", Attempt: 2<<12 + 1}})
}

func TestRedeliveryWhileTheResultIsBeingReported(t *testing.T) {
	for name, c := range map[string]struct {
		end  delivery.Result
		runs bool
	}{"failed": {failed, true}, "not run": {notRun, true}, "succeeded": {succeeded, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, s := newHarness(t), newFakeStore(t)
			r.publishTable(1, s)
			g := s.helloForTable(t, 1)
			g.deliver(t, message("m", 1))
			receive(t, r.runs).done(c.end)
			first := receive(t, s.results)
			is.Equal(first.result.Attempt, uint32(1))
			g.deliver(t, message("m", 2))
			g.deliver(t, message("n", 1))
			is.Equal(receive(t, r.runs).message.ID, "n")
			first.reply(nil, nil)
			if c.runs {
				again := receive(t, r.runs)
				is.Equal(again.message.Attempt, uint32(2))
				again.done(succeeded)
			}
			second := receive(t, s.results)
			is.Equal(second.result.Attempt, uint32(2))
			is.Equal(second.result.Outcome, protocol.OutcomeSucceeded)
			second.reply(nil, nil)
			g.awaitHeld(t, r, 1)
		})
	}
}

// holdRedelivery brings about a delivery that waits for the report of an earlier attempt of its message, and returns that report.
func holdRedelivery(t *testing.T, r *harness, s *fakeStore, g receivedHello) receivedResult {
	g.deliver(t, message("m", 1))
	receive(t, r.runs).done(failed)
	report := receive(t, s.results)
	g.deliver(t, message("m", 2))
	g.deliver(t, message("n", 1))
	equal(t, receive(t, r.runs).message.ID, "n") // m has arrived
	return report
}

// TestWaitingRedeliveryOfAnEarlierViewDoesNotRun guards against a message that runs at two dispatchers: the primary of a later view has delivered it
// again when the report of the earlier attempt is answered.
func TestWaitingRedeliveryOfAnEarlierViewDoesNotRun(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	report := holdRedelivery(t, r, s, s.helloForTable(t, 1))
	r.publishTable(5, s)
	held := s.helloForTable(t, 2).hello.Held
	is.Equal(held, []protocol.HeldDelivery{{Partition: 0, ID: "m", Attempt: 1}, {Partition: 0, ID: "n", Attempt: 1}}) // the redelivery will not run
	report.reply(nil, nil)
	dropped := receive(t, s.results)
	is.Equal(dropped.result.ID, "m")
	is.Equal(dropped.result.Attempt, uint32(2))
	is.Equal(dropped.result.Outcome, protocol.OutcomeNotRun)
	dropped.reply(nil, nil)
	is.Equal(len(r.runs), 0)
	is.Equal(r.links.Held(), 1) // n
}

// TestWaitingRedeliveryIsListedAsHeld guards against a message that runs at two dispatchers: a store that gets a Hello without the delivery takes it
// for lost.
func TestWaitingRedeliveryIsListedAsHeld(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	report := holdRedelivery(t, r, s, s.helloForTable(t, 1))
	r.publishTable(1, s) // causes a new Hello
	held := s.helloForTable(t, 2).hello.Held
	is.Equal(held, []protocol.HeldDelivery{{Partition: 0, ID: "m", Attempt: 1}, {Partition: 0, ID: "m", Attempt: 2}, {Partition: 0, ID: "n", Attempt: 1}})
	report.reply(nil, nil)
	is.Equal(receive(t, r.runs).message.Attempt, uint32(2))
}

func TestPauseFollowsEachHello(t *testing.T) {
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	s.helloForTable(t, 1)
	r.links.Pause()
	receive(t, s.pauses)
	r.publishTable(2, s)
	s.helloForTable(t, 2)
	receive(t, s.pauses)
}

func TestChangedWindowsAreSent(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	s.helloForTable(t, 1)
	r.mu.Lock()
	r.windows = []protocol.ServiceWindow{{Service: "orders", Slots: 9}}
	r.mu.Unlock()
	view := r.view
	r.directory.Update(&view)
	is.Equal(receive(t, s.hellos).hello.Windows[0].Slots, uint32(9))
}

func TestLinkToARemovedStoreIsClosed(t *testing.T) {
	r, s, other := newHarness(t), newFakeStore(t), newFakeStore(t)
	r.publishTable(1, s, other)
	g := s.helloForTable(t, 1)
	other.helloForTable(t, 1)
	r.publishTable(2, other, other)
	o := other.helloForTable(t, 2)
	for linked := true; linked; { // until its link is closed
		r.links.held.mu.Lock()
		linked = len(r.links.held.conns) > 1
		r.links.held.mu.Unlock()
		o.flush(t)
	}
	late := message("m", 1)
	late.Epoch = 9
	g.deliver(t, late)
	n := message("n", 1)
	n.Epoch = 2
	o.deliver(t, n)
	equal(t, receive(t, r.runs).message.ID, "n")
	g.flush(t)
	equal(t, len(r.runs), 0)
}

func TestUnreadableDeliveryClosesTheConnection(t *testing.T) {
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	g := s.helloForTable(t, 1)
	if err := g.conn.Notify(protocol.KindDeliver, []byte{0xff}); err != nil {
		t.Fatal(err)
	}
	receive(t, s.hellos) // on another connection
}

// Deliveries that arrive while the process is stalled may have been delivered again elsewhere.
func TestDeliveriesBufferedDuringAStallDoNotRun(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t)
	r.publishTable(1, s)
	g := s.helloForTable(t, 1)
	g.deliver(t, message("m", 1))
	is.Equal(receive(t, r.runs).message.ID, "m")
	r.advanceClock(10 * time.Second)
	_ = g.conn.Notify(protocol.KindDeliver, deliverFrame("n")) // may fail: the connection may be closed by now
	<-g.conn.Done()                                            // the dispatcher closes it
	again := receive(t, s.hellos)
	is.Equal(again.hello.Held, []protocol.HeldDelivery{{ID: "m", Attempt: 1}})
	again.deliver(t, message("n", 2))
	one := receive(t, r.runs)
	is.Equal(one.message.ID, "n")
	is.Equal(one.message.Attempt, uint32(2)) // the first never ran
}

func deliverFrame(id string) []byte {
	m := message(id, 1)
	return m.Append(nil)
}
