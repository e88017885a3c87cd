package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/queue"
)

const (
	ms         = time.Millisecond
	minute     = time.Minute
	dispatcher = "edge-1/dispatcher"
)

// fixture is a queue whose routes a test can change.
type fixture struct {
	*queue.Queue
	routes map[string]queue.Route
	now    time.Duration
}

func newFixture() *fixture {
	f := &fixture{routes: map[string]queue.Route{
		"plain": {Name: "plain", Service: "service", MaxAttempts: 3, Timeout: 500 * ms, TargetStart: 400 * ms, Priority: 1},
		"fifo":  {Name: "fifo", Service: "service", Fifo: true, MaxAttempts: 2, Timeout: 500 * ms, TargetStart: 400 * ms, Priority: 0},
	}}
	f.Queue = queue.New(queue.Options{Zone: "a", Match: func(host, uri string) (queue.Route, bool) {
		route, ok := f.routes[host]
		return route, ok
	}})
	f.SetWindow("service", queue.Window{Total: 100, PerDispatcher: 100})
	f.SetOpen(0, 1, true)
	f.Resume(dispatcher, "a")
	return f
}

func (f *fixture) add(host, key string, sequence uint64, due time.Duration) {
	f.Add(f.now, queue.Entry{Partition: 1, ID: fmt.Sprint("m", sequence), Host: host, Key: key, Sequence: sequence, DueIn: due, ExpiresIn: minute})
}

// deliver makes all deliveries that are possible now and returns the message IDs.
func (f *fixture) deliver() []string {
	ids := []string{}
	for _, d := range f.deliveries() {
		ids = append(ids, d.ID)
	}
	return ids
}

// deliverWhenReady advances time until something is delivered or no deadline is pending.
func (f *fixture) deliverWhenReady() []string {
	for {
		if ids := f.deliver(); len(ids) > 0 || f.NextWake() == queue.Never {
			return ids
		}
		f.now = f.NextWake()
		f.Advance(f.now)
	}
}

func (f *fixture) deliveries() []queue.Delivery {
	var all []queue.Delivery
	for {
		d, ok := f.Next(f.now)
		if !ok {
			return all
		}
		all = append(all, d)
	}
}

func (f *fixture) outcome(id string, attempt uint32, o queue.Outcome) queue.Transition {
	return f.Outcome(f.now, 1, id, attempt, o, 0)
}

func TestNextMessageOfAKeyIsDeliveredAfterTheEndIsConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("fifo", "k", 2, 0)
	f.add("fifo", "k", 1, 0)
	f.add("fifo", "other", 3, 0)
	is.Equal(f.deliver(), []string{"m1", "m3"})
	is.Equal(f.outcome("m1", 1, queue.Succeeded).State, queue.Done)
	is.Equal(f.deliver(), []string{}) // the end is not confirmed yet
	f.ConfirmEnd(f.now, 1, "m1")
	is.Equal(f.deliver(), []string{"m2"})
	is.Equal(f.outcome("m1", 1, queue.Succeeded).Action, queue.Unknown)
}

func TestFailingHeadOfALaneBecomesADeadLetterAndUnblocksTheLane(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("fifo", "k", 1, 0)
	f.add("fifo", "k", 2, 0)
	f.add("fifo", "k", 3, 0)
	is.Equal(f.deliver(), []string{"m1"})
	is.Equal(f.outcome("m1", 1, queue.Failed), queue.Transition{Action: queue.Record, Partition: 1, ID: "m1", Attempts: 1})
	is.Equal(f.deliver(), []string{}) // during the pause no other message of the key is delivered
	f.now = f.NextWake()
	is.Equal(f.now, 30*ms)
	is.Equal(len(f.Advance(f.now)), 0)
	is.Equal(f.deliver(), []string{"m1"})
	end := f.outcome("m1", 2, queue.Failed)
	is.Equal(end, queue.Transition{Action: queue.End, Partition: 1, ID: "m1", State: queue.DeadLetter, Attempts: 2})
	f.ConfirmEnd(f.now, 1, "m1")
	is.Equal(f.deliver(), []string{"m2"})
	is.Equal(f.outcome("m2", 1, queue.Refused).State, queue.DeadLetter)
	f.ConfirmEnd(f.now, 1, "m2")
	is.Equal(f.deliver(), []string{"m3"})
}

func TestOnlyFailuresCountAsAttemptsOncePerDelivery(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	for attempt, o := range []queue.Outcome{queue.NotRun, queue.Unclear, queue.ServiceDown, queue.NotRun, queue.Unclear} {
		is.Equal(f.deliverWhenReady(), []string{"m1"})
		is.Equal(f.outcome("m1", uint32(attempt+1), o).Attempts, 0)
		is.Equal(f.deliver(), []string{}) // during the pause
	}
	is.Equal(f.deliverWhenReady(), []string{"m1"})
	is.Equal(f.outcome("m1", 6, queue.Failed).Attempts, 1)
	is.Equal(f.outcome("m1", 6, queue.Failed), queue.Transition{Action: queue.Ignore, Partition: 1, ID: "m1", Attempts: 1})
}

func TestRetryPausesGrow(t *testing.T) {
	for _, c := range []struct {
		outcome queue.Outcome
		pauses  []time.Duration
	}{
		{queue.NotRun, []time.Duration{20 * ms, 40 * ms, 80 * ms, 160 * ms, 320 * ms, 500 * ms, 500 * ms}},
		{queue.Unclear, []time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, time.Second, time.Second}},
	} {
		is := is.New(t)
		f := newFixture()
		f.add("plain", "", 1, 0)
		for index, pause := range c.pauses {
			is.Equal(f.deliver(), []string{"m1"})
			f.outcome("m1", uint32(index+1), c.outcome)
			is.Equal(f.NextWake(), f.now+pause)
			f.now += pause
			f.Advance(f.now)
		}
	}
}

func TestDelayedMessageBlocksItsKey(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("fifo", "k", 1, 300*ms)
	f.add("fifo", "k", 2, 0)
	is.Equal(f.deliver(), []string{})
	f.now = 300*ms - 1
	f.Advance(f.now)
	is.Equal(f.deliver(), []string{})
	f.now = f.NextWake()
	is.Equal(f.now, 300*ms)
	f.Advance(f.now)
	is.Equal(f.deliver(), []string{"m1"})
}

func TestRetentionDoesNotEndMessagesEarlyOrInFlight(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Add(f.now, queue.Entry{Partition: 1, ID: "m1", Host: "plain", Sequence: 1, ExpiresIn: 3 * time.Second})
	f.Add(f.now, queue.Entry{Partition: 1, ID: "m2", Host: "plain", Sequence: 2, DueIn: minute, ExpiresIn: 3 * time.Second})
	is.Equal(f.deliver(), []string{"m1"})
	f.now = 3*time.Second - 1
	is.Equal(len(f.Advance(f.now)), 0)
	f.now = 3 * time.Second
	is.Equal(f.Advance(f.now), []queue.Transition{{Action: queue.End, Partition: 1, ID: "m2", State: queue.DeadLetter}})
	is.Equal(len(f.Advance(f.now)), 0)
	is.Equal(f.outcome("m1", 1, queue.Unclear).State, queue.DeadLetter)
	f.ConfirmEnd(f.now, 1, "m1")
	f.ConfirmEnd(f.now, 1, "m2")
	is.Equal(f.Total(), 0)
}

func TestLateSuccessOfALostDeliveryCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	is.Equal(f.deliver(), []string{"m1"})
	f.DispatcherDisconnected(f.now, dispatcher, false)
	f.Resume("edge-2/dispatcher", "b")
	is.Equal(f.NextWake(), 800*ms) // timeout and disconnectedSlack
	f.now = 800 * ms
	f.Advance(f.now)
	is.Equal(f.deliveries()[0].Attempt, uint32(2))
	is.Equal(f.outcome("m1", 1, queue.Succeeded).State, queue.Done)
	is.Equal(f.outcome("m1", 2, queue.Failed).Action, queue.AlreadyEnding)
	is.Equal(f.deliver(), []string{})
	is.Equal(len(f.Stats()), 0) // the windows are free
}

func TestFailureOfALostDeliveryCountsWhileTheNextIsInFlight(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.deliver()
	f.DispatcherDisconnected(f.now, dispatcher, false)
	f.Resume("edge-2/dispatcher", "b")
	f.now = 800 * ms
	f.Advance(f.now)
	is.Equal(f.deliver(), []string{"m1"})
	is.Equal(f.outcome("m1", 1, queue.Failed).Attempts, 1)
	f.now += time.Second
	f.Advance(f.now)
	is.Equal(f.deliver(), []string{}) // it is still in flight
	is.Equal(f.outcome("m1", 2, queue.Failed).Attempts, 2)
}

func TestMessagesOfAnEndedDispatcherAreRequeuedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.deliver()
	f.DispatcherDisconnected(f.now, dispatcher, false)
	f.Resume("edge-2/dispatcher", "b")
	is.Equal(f.deliver(), []string{})
	f.DispatcherDisconnected(f.now, dispatcher, true)
	is.Equal(f.deliver(), []string{"m1"})
}

func TestHelloRequeuesDeliveriesThatNeverArrived(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.add("plain", "", 2, 0)
	is.Equal(f.deliver(), []string{"m1", "m2"})
	f.DispatcherDisconnected(f.now, dispatcher, false)
	f.Hello(f.now, dispatcher, "a", []queue.HeldDelivery{{Partition: 1, ID: "m2", Attempt: 1}})
	got := f.deliveries()
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, "m1")
	is.Equal(got[0].Attempt, uint32(2))
	is.Equal(f.NextWake(), 5500*ms) // the deadline of the held delivery: timeout and connectedSlack
}

func TestUnreportedDeliveryIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	is.Equal(f.deliver(), []string{"m1"})
	f.now = f.NextWake()
	is.Equal(f.now, 5500*ms)
	f.Advance(f.now)
	is.Equal(f.deliver(), []string{"m1"})
	is.Equal(f.outcome("m1", 1, queue.Succeeded).State, queue.Done)
}

func TestUnlistedDeliveryOfALowerEpochIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetEpoch(1, 3)
	f.add("plain", "", 1, 0)
	f.add("plain", "", 2, 0)
	f.add("plain", "", 3, 0)
	f.MarkHeld(f.now, 1, "m3", 9, dispatcher) // delivered by another store
	is.Equal(f.deliver(), []string{"m1", "m2"})
	f.RequeueUnlisted(f.now, dispatcher, 1, 3, []queue.HeldDelivery{{Partition: 1, ID: "m3", Attempt: 9}})
	is.Equal(f.deliver(), []string{}) // they may still arrive
	f.SetEpoch(1, 4)
	f.RequeueUnlisted(f.now, dispatcher, 1, 4, []queue.HeldDelivery{{Partition: 1, ID: "m2", Attempt: 1}})
	got := f.deliveries()
	is.Equal(len(got), 2)
	is.Equal([]string{got[0].ID, got[1].ID}, []string{"m1", "m3"})
	is.Equal(got[0].Epoch, uint64(4))
}

func TestNewPrimaryWaitsForHeldDeliveries(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetOpen(f.now, 1, false)
	f.add("fifo", "k", 1, 0)
	f.add("fifo", "k", 2, 0)
	f.add("plain", "", 3, 0)
	is.Equal(f.deliver(), []string{})
	f.Hello(f.now, dispatcher, "a", []queue.HeldDelivery{{Partition: 1, ID: "m1", Attempt: 4099}})
	f.SetOpen(f.now, 1, true)
	is.Equal(f.deliver(), []string{"m3"})
	f.outcome("m1", 4099, queue.NotRun)
	f.now = f.NextWake()
	f.Advance(f.now)
	is.Equal(f.deliveries()[0].Attempt, uint32(4100))
}

func TestClosedPartitionDeliversNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.SetOpen(f.now, 1, false)
	is.Equal(f.deliver(), []string{})
	f.SetOpen(f.now, 1, true)
	is.Equal(f.deliver(), []string{"m1"})
	f.Drop(1)
	is.Equal(f.Total(), 0)
	is.Equal(f.NextWake(), queue.Never)
	is.Equal(len(f.Stats()), 0)
}

func TestWindowsLimitDeliveriesAndTheLocalZoneIsPreferred(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Resume("edge-2/dispatcher", "b")
	f.SetWindow("service", queue.Window{Total: 5, PerDispatcher: 3})
	for n := range uint64(9) {
		f.add("plain", "", n, 0)
	}
	got := map[string]int{}
	all := f.deliveries()
	for _, d := range all {
		got[d.Dispatcher]++
	}
	is.Equal(got, map[string]int{dispatcher: 3, "edge-2/dispatcher": 2})
	f.outcome(all[0].ID, 1, queue.Succeeded)
	is.Equal(len(f.deliver()), 1)
	f.SetWindow("service", queue.Window{Total: 9, PerDispatcher: 9, Owners: []string{"edge-2/dispatcher"}})
	for _, d := range f.deliveries() {
		is.Equal(d.Dispatcher, "edge-2/dispatcher")
	}
}

func TestUnreachableServiceIsProbedAndRecoversQuickly(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetWindow("service", queue.Window{Total: 8, PerDispatcher: 8})
	for n := range uint64(100) {
		f.add("plain", "", n, 0)
	}
	for _, d := range f.deliveries() {
		f.outcome(d.ID, d.Attempt, queue.ServiceDown)
	}
	probes := 0
	for until := f.now + 2*time.Second; f.now < until; {
		got := f.deliveries()
		probes += len(got)
		is.True(len(got) <= 1)
		for _, d := range got {
			f.outcome(d.ID, d.Attempt, queue.ServiceDown)
		}
		f.deliveries()
		f.now = f.NextWake()
		f.Advance(f.now)
	}
	is.True(probes <= 8)
	sizes := []int{}
	for range 4 {
		got := f.deliveries()
		sizes = append(sizes, len(got))
		for _, d := range got {
			f.outcome(d.ID, d.Attempt, queue.Succeeded)
		}
	}
	is.Equal(sizes, []int{1, 2, 8, 8})
}

func TestServiceWithoutAnyAnswerIsProbed(t *testing.T) {
	for _, o := range []queue.Outcome{queue.NotRun, queue.Unclear} {
		is := is.New(t)
		f := newFixture()
		f.SetWindow("service", queue.Window{Total: 8, PerDispatcher: 8})
		for n := range uint64(200) {
			f.add("plain", "", n, 0)
		}
		for range 7 { // a busy service still answers now and then, which resets the count
			d, _ := f.Next(f.now)
			f.outcome(d.ID, d.Attempt, o)
		}
		d, _ := f.Next(f.now)
		f.outcome(d.ID, d.Attempt, queue.Failed)
		is.Equal(len(f.deliver()), 8)
		f.DispatcherDisconnected(f.now, dispatcher, true)
		f.Resume(dispatcher, "a")
		deliveries := 0
		for until := f.now + 2*time.Second; f.now < until; f.now = f.NextWake() {
			f.Advance(f.now)
			for _, d := range f.deliveries() {
				deliveries++
				f.outcome(d.ID, d.Attempt, o)
			}
			f.deliveries()
		}
		is.True(deliveries <= 8+8) // one window, then probes
	}
}

func TestSlotsLimitDeliveriesToADispatcher(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for n := range uint64(9) {
		f.add("plain", "", n, 0)
	}
	f.SetSlots(dispatcher, map[string]int{"another": 5})
	is.Equal(len(f.deliver()), 0)
	f.SetSlots(dispatcher, map[string]int{"service": 2})
	is.Equal(len(f.deliver()), 2)
	f.SetSlots(dispatcher, nil)
	is.Equal(len(f.deliver()), 7)
}

func TestOnTimeMessagesGoFirstAndLateOnesGetAFifth(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetWindow("service", queue.Window{Total: 1, PerDispatcher: 1})
	for n := range uint64(50) {
		f.add("plain", "", n, 0)
	}
	f.now = time.Second
	for n := uint64(100); n < 150; n++ {
		f.add("plain", "", n, 0)
	}
	late := 0
	for range 50 {
		d := f.deliveries()[0]
		if d.Late {
			late++
		}
		f.outcome(d.ID, d.Attempt, queue.Succeeded)
	}
	is.Equal(late, 10)
}

func TestLateKeysWithFewMessagesGoFirstWithoutStarvingOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetWindow("service", queue.Window{Total: 1, PerDispatcher: 1})
	for n := range uint64(4) {
		f.add("fifo", "long", n, 0)
	}
	f.add("fifo", "short", 10, 400*time.Millisecond)
	f.add("fifo", "later", 11, 1600*time.Millisecond)
	f.now = 10 * time.Second // all are late
	f.Advance(f.now)
	var keys []string
	for range 6 {
		d := f.deliveries()[0]
		keys = append(keys, d.Key)
		t := f.outcome(d.ID, d.Attempt, queue.Succeeded)
		f.ConfirmEnd(f.now, t.Partition, t.ID)
	}
	// The first message of "long" has three behind it, so it is ordered as if due at 1.5 s.
	is.Equal(keys, []string{"short", "long", "long", "long", "long", "later"})
}

func TestHigherPriorityThenEarlierDueTimeGoesFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 20*ms)
	f.add("plain", "", 2, 10*ms)
	f.add("fifo", "", 3, 30*ms)
	f.now = 40 * ms
	f.Advance(f.now)
	is.Equal(f.deliver(), []string{"m3", "m2", "m1"})
}

func TestReconfigurationEndsOrReroutesQueuedMessages(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetOpen(f.now, 1, false)
	f.add("plain", "", 1, 0)
	f.add("fifo", "k", 2, 0)
	f.add("fifo", "k", 3, 0)
	delete(f.routes, "plain")
	f.routes["fifo"] = queue.Route{Name: "fifo", Service: "elsewhere", Timeout: ms}
	f.Reconfigure(f.now, queue.Revision{Number: 2})
	is.Equal(f.Advance(f.now), []queue.Transition{{Action: queue.End, Partition: 1, ID: "m1", State: queue.DeadLetter}})
	f.SetOpen(f.now, 1, true)
	for _, d := range f.deliveries() {
		is.Equal(d.Service, "elsewhere")
	}
}

func TestMessageOfANewerConfigurationWaitsForIt(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Add(f.now, queue.Entry{Partition: 1, ID: "m1", Host: "new", ExpiresIn: minute, Revision: queue.Revision{Term: 1, Number: 7}})
	is.Equal(len(f.Advance(f.now)), 0)
	is.Equal(f.deliver(), []string{})
	f.routes["new"] = queue.Route{Name: "new", Service: "service"}
	f.Reconfigure(f.now, queue.Revision{Term: 1, Number: 7})
	is.Equal(f.deliver(), []string{"m1"})
	delete(f.routes, "new")
	f.Reconfigure(f.now, queue.Revision{Term: 1, Number: 8})
	is.Equal(len(f.Advance(f.now)), 0) // it is in flight: its outcome decides
	is.Equal(f.outcome("m1", 1, queue.NotRun).State, queue.DeadLetter)
}

func TestAddIsIdempotent(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.add("plain", "", 1, 0)
	is.Equal(f.Total(), 1)
	is.Equal(f.deliver(), []string{"m1"})
}

// A dispatcher reports an outcome and sends a Hello before it receives the acknowledgement, so the Hello still lists the delivery.
func TestHelloSentBeforeTheAcknowledgementDoesNotBlockTheMessage(t *testing.T) {
	for _, outcome := range []queue.Outcome{queue.NotRun, queue.Unclear, queue.Failed} {
		is, f := is.New(t), newFixture()
		f.add("fifo", "k", 1, 0)
		one := f.deliveries()[0]
		f.outcome("m1", one.Attempt, outcome)
		f.MarkHeld(f.now, 1, "m1", one.Attempt, dispatcher)
		f.Hello(f.now, dispatcher, "a", []queue.HeldDelivery{{Partition: 1, ID: "m1", Attempt: one.Attempt}})
		is.Equal(f.deliverWhenReady(), []string{"m1"}) // it is delivered again: no dispatcher holds it
	}
}

// The same for a delivery of an earlier primary, whose outcome arrives before any Hello.
func TestOutcomeOfAnEarlierPrimarysDeliveryArrivesBeforeHello(t *testing.T) {
	is, f := is.New(t), newFixture()
	f.SetOpen(0, 1, false)
	f.Add(f.now, queue.Entry{Partition: 1, ID: "m1", Host: "plain", Sequence: 1, ExpiresIn: minute, LastAttempt: 2 << 12})
	const earlierAttempt = 1<<12 + 1
	f.outcome("m1", earlierAttempt, queue.NotRun)
	f.MarkHeld(f.now, 1, "m1", earlierAttempt, dispatcher)
	f.SetOpen(f.now, 1, true)
	is.Equal(f.deliverWhenReady(), []string{"m1"})
}
