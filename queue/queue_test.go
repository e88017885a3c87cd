package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/queue"
)

const (
	ms     = time.Millisecond
	minute = time.Minute
	worker = "edge-1/dispatcher"
)

// fixture is a queue with routes that a test can change.
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
	f.Resume(worker, "a")
	return f
}

func (f *fixture) add(host, key string, sequence uint64, due time.Duration) {
	f.Add(f.now, queue.Entry{Partition: 1, ID: fmt.Sprint("m", sequence), Host: host, Key: key, Sequence: sequence, DueIn: due, ExpiresIn: minute})
}

// take hands out all that can go and returns the ids.
func (f *fixture) take() []string {
	ids := []string{}
	for _, d := range f.deliveries() {
		ids = append(ids, d.ID)
	}
	return ids
}

// takeWhenReady lets time pass until something is handed out, or nothing is waited for.
func (f *fixture) takeWhenReady() []string {
	for {
		if ids := f.take(); len(ids) > 0 || f.NextWake() == queue.Never {
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

func TestKeyedMessagesGoOneAfterTheOtherOnceTheEndIsSettled(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("fifo", "k", 2, 0)
	f.add("fifo", "k", 1, 0)
	f.add("fifo", "other", 3, 0)
	is.Equal(f.take(), []string{"m1", "m3"})
	is.Equal(f.outcome("m1", 1, queue.Succeeded).State, queue.Done)
	is.Equal(f.take(), []string{}) // the end is not on disk yet
	f.ConfirmEnd(f.now, 1, "m1")
	is.Equal(f.take(), []string{"m2"})
	is.Equal(f.outcome("m1", 1, queue.Succeeded).Action, queue.Unknown)
}

func TestPoisonedHeadEndsAndFreesTheRest(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("fifo", "k", 1, 0)
	f.add("fifo", "k", 2, 0)
	f.add("fifo", "k", 3, 0)
	is.Equal(f.take(), []string{"m1"})
	is.Equal(f.outcome("m1", 1, queue.Failed), queue.Transition{Action: queue.Record, Partition: 1, ID: "m1", Attempts: 1})
	is.Equal(f.take(), []string{}) // the pause, and no other of the key meanwhile
	f.now = f.NextWake()
	is.Equal(f.now, 30*ms)
	is.Equal(len(f.Advance(f.now)), 0)
	is.Equal(f.take(), []string{"m1"})
	end := f.outcome("m1", 2, queue.Failed)
	is.Equal(end, queue.Transition{Action: queue.End, Partition: 1, ID: "m1", State: queue.DeadLetter, Attempts: 2})
	f.ConfirmEnd(f.now, 1, "m1")
	is.Equal(f.take(), []string{"m2"})
	is.Equal(f.outcome("m2", 1, queue.Refused).State, queue.DeadLetter)
	f.ConfirmEnd(f.now, 1, "m2")
	is.Equal(f.take(), []string{"m3"})
}

func TestOnlyFailuresCountAndOnlyOnceForEachHandOut(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	for attempt, o := range []queue.Outcome{queue.NotRun, queue.Unclear, queue.ServiceDown, queue.NotRun, queue.Unclear} {
		is.Equal(f.takeWhenReady(), []string{"m1"})
		is.Equal(f.outcome("m1", uint32(attempt+1), o).Attempts, 0)
		is.Equal(f.take(), []string{}) // the pause
	}
	is.Equal(f.takeWhenReady(), []string{"m1"})
	is.Equal(f.outcome("m1", 6, queue.Failed).Attempts, 1)
	is.Equal(f.outcome("m1", 6, queue.Failed), queue.Transition{Action: queue.Ignore, Partition: 1, ID: "m1", Attempts: 1})
}

func TestPausesGrow(t *testing.T) {
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
			is.Equal(f.take(), []string{"m1"})
			f.outcome("m1", uint32(index+1), c.outcome)
			is.Equal(f.NextWake(), f.now+pause)
			f.now += pause
			f.Advance(f.now)
		}
	}
}

func TestDelayHoldsAndHoldsTheKey(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("fifo", "k", 1, 300*ms)
	f.add("fifo", "k", 2, 0)
	is.Equal(f.take(), []string{})
	f.now = 300*ms - 1
	f.Advance(f.now)
	is.Equal(f.take(), []string{})
	f.now = f.NextWake()
	is.Equal(f.now, 300*ms)
	f.Advance(f.now)
	is.Equal(f.take(), []string{"m1"})
}

func TestRetentionEndsNeverEarlyAndNotWhileOut(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Add(f.now, queue.Entry{Partition: 1, ID: "m1", Host: "plain", Sequence: 1, ExpiresIn: 3 * time.Second})
	f.Add(f.now, queue.Entry{Partition: 1, ID: "m2", Host: "plain", Sequence: 2, DueIn: minute, ExpiresIn: 3 * time.Second})
	is.Equal(f.take(), []string{"m1"})
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

func TestLateSuccessOfAnEarlierHandOutCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	is.Equal(f.take(), []string{"m1"})
	f.DispatcherDisconnected(f.now, worker, false)
	f.Resume("edge-2/dispatcher", "b")
	is.Equal(f.NextWake(), 800*ms) // time-out and slack
	f.now = 800 * ms
	f.Advance(f.now)
	is.Equal(f.deliveries()[0].Attempt, uint32(2))
	is.Equal(f.outcome("m1", 1, queue.Succeeded).State, queue.Done)
	is.Equal(f.outcome("m1", 2, queue.Failed).Action, queue.AlreadyEnding)
	is.Equal(f.take(), []string{})
	is.Equal(len(f.Stats()), 0) // the windows are free
}

func TestFailureOfALostHandOutCountsWhileTheNextIsOut(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.take()
	f.DispatcherDisconnected(f.now, worker, false)
	f.Resume("edge-2/dispatcher", "b")
	f.now = 800 * ms
	f.Advance(f.now)
	is.Equal(f.take(), []string{"m1"})
	is.Equal(f.outcome("m1", 1, queue.Failed).Attempts, 1)
	f.now += time.Second
	f.Advance(f.now)
	is.Equal(f.take(), []string{}) // it is still out
	is.Equal(f.outcome("m1", 2, queue.Failed).Attempts, 2)
}

func TestEndedDispatcherGivesBackAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.take()
	f.DispatcherDisconnected(f.now, worker, false)
	f.Resume("edge-2/dispatcher", "b")
	is.Equal(f.take(), []string{})
	f.DispatcherDisconnected(f.now, worker, true)
	is.Equal(f.take(), []string{"m1"})
}

func TestHelloOnANewConnectionTellsWhatNeverArrived(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.add("plain", "", 2, 0)
	is.Equal(f.take(), []string{"m1", "m2"})
	f.DispatcherDisconnected(f.now, worker, false)
	f.Hello(f.now, worker, "a", []queue.HeldDelivery{{Partition: 1, ID: "m2", Attempt: 1}})
	got := f.deliveries()
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, "m1")
	is.Equal(got[0].Attempt, uint32(2))
	is.Equal(f.NextWake(), 5500*ms) // what it has is waited for, the time-out and what it needs to find a worker
}

func TestHandOutThatADispatcherNeverReportsGoesOutAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	is.Equal(f.take(), []string{"m1"})
	f.now = f.NextWake()
	is.Equal(f.now, 5500*ms)
	f.Advance(f.now)
	is.Equal(f.take(), []string{"m1"})
	is.Equal(f.outcome("m1", 1, queue.Succeeded).State, queue.Done)
}

func TestHandOutOfALowerEpochThatIsNotListedWasDropped(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetEpoch(1, 3)
	f.add("plain", "", 1, 0)
	f.add("plain", "", 2, 0)
	f.add("plain", "", 3, 0)
	f.MarkHeld(f.now, 1, "m3", 9, worker) // handed out by another store
	is.Equal(f.take(), []string{"m1", "m2"})
	f.RequeueUnlisted(f.now, worker, 1, 3, []queue.HeldDelivery{{Partition: 1, ID: "m3", Attempt: 9}})
	is.Equal(f.take(), []string{}) // they may be on their way
	f.SetEpoch(1, 4)
	f.RequeueUnlisted(f.now, worker, 1, 4, []queue.HeldDelivery{{Partition: 1, ID: "m2", Attempt: 1}})
	got := f.deliveries()
	is.Equal(len(got), 2)
	is.Equal([]string{got[0].ID, got[1].ID}, []string{"m1", "m3"})
	is.Equal(got[0].Epoch, uint64(4))
}

func TestNewPrimaryWaitsForWhatIsHeld(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.SetOpen(f.now, 1, false)
	f.add("fifo", "k", 1, 0)
	f.add("fifo", "k", 2, 0)
	f.add("plain", "", 3, 0)
	is.Equal(f.take(), []string{})
	f.Hello(f.now, worker, "a", []queue.HeldDelivery{{Partition: 1, ID: "m1", Attempt: 4099}})
	f.SetOpen(f.now, 1, true)
	is.Equal(f.take(), []string{"m3"})
	f.outcome("m1", 4099, queue.NotRun)
	f.now = f.NextWake()
	f.Advance(f.now)
	is.Equal(f.deliveries()[0].Attempt, uint32(4100))
}

func TestClosedPartitionHandsOutNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.SetOpen(f.now, 1, false)
	is.Equal(f.take(), []string{})
	f.SetOpen(f.now, 1, true)
	is.Equal(f.take(), []string{"m1"})
	f.Drop(1)
	is.Equal(f.Total(), 0)
	is.Equal(f.NextWake(), queue.Never)
	is.Equal(len(f.Stats()), 0)
}

func TestWindowsInTotalAndForEachDispatcherAndZonesPreferred(t *testing.T) {
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
	is.Equal(got, map[string]int{worker: 3, "edge-2/dispatcher": 2})
	f.outcome(all[0].ID, 1, queue.Succeeded)
	is.Equal(len(f.take()), 1)
	f.SetWindow("service", queue.Window{Total: 9, PerDispatcher: 9, Owners: []string{"edge-2/dispatcher"}})
	for _, d := range f.deliveries() {
		is.Equal(d.Dispatcher, "edge-2/dispatcher")
	}
}

func TestDarkServiceIsProbedAndOpensQuickly(t *testing.T) {
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

func TestServiceWithoutAnyAnswerIsProbedLikeADarkOne(t *testing.T) {
	for _, o := range []queue.Outcome{queue.NotRun, queue.Unclear} {
		is := is.New(t)
		f := newFixture()
		f.SetWindow("service", queue.Window{Total: 8, PerDispatcher: 8})
		for n := range uint64(200) {
			f.add("plain", "", n, 0)
		}
		for range 7 { // a busy service answers now and then
			d, _ := f.Next(f.now)
			f.outcome(d.ID, d.Attempt, o)
		}
		d, _ := f.Next(f.now)
		f.outcome(d.ID, d.Attempt, queue.Failed)
		is.Equal(len(f.take()), 8)
		f.DispatcherDisconnected(f.now, worker, true)
		f.Resume(worker, "a")
		handOuts := 0
		for until := f.now + 2*time.Second; f.now < until; f.now = f.NextWake() {
			f.Advance(f.now)
			for _, d := range f.deliveries() {
				handOuts++
				f.outcome(d.ID, d.Attempt, o)
			}
			f.deliveries()
		}
		is.True(handOuts <= 8+8) // the window once, then probes
	}
}

func TestDispatcherTakesOnlyWhatItNames(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for n := range uint64(9) {
		f.add("plain", "", n, 0)
	}
	f.SetSlots(worker, map[string]int{"another": 5})
	is.Equal(len(f.take()), 0)
	f.SetSlots(worker, map[string]int{"service": 2})
	is.Equal(len(f.take()), 2)
	f.SetSlots(worker, nil)
	is.Equal(len(f.take()), 7)
}

func TestMessagesInTimeGoFirstAndLateOnesHaveAFifth(t *testing.T) {
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

func TestLateKeysWithFewMessagesGoFirstButNotForEver(t *testing.T) {
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
	// The first of "long" has three behind it, so it counts as due at 1.5 s.
	is.Equal(keys, []string{"short", "long", "long", "long", "long", "later"})
}

func TestPriorityAndEarliestDueFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 20*ms)
	f.add("plain", "", 2, 10*ms)
	f.add("fifo", "", 3, 30*ms)
	f.now = 40 * ms
	f.Advance(f.now)
	is.Equal(f.take(), []string{"m3", "m2", "m1"})
}

func TestConfigurationDropsAndMovesQueuedMessages(t *testing.T) {
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
	is.Equal(f.take(), []string{})
	f.routes["new"] = queue.Route{Name: "new", Service: "service"}
	f.Reconfigure(f.now, queue.Revision{Term: 1, Number: 7})
	is.Equal(f.take(), []string{"m1"})
	delete(f.routes, "new")
	f.Reconfigure(f.now, queue.Revision{Term: 1, Number: 8})
	is.Equal(len(f.Advance(f.now)), 0) // it is out: its outcome decides
	is.Equal(f.outcome("m1", 1, queue.NotRun).State, queue.DeadLetter)
}

func TestAddingTwiceIsOneMessage(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.add("plain", "", 1, 0)
	f.add("plain", "", 1, 0)
	is.Equal(f.Total(), 1)
	is.Equal(f.take(), []string{"m1"})
}

// A dispatcher reports an outcome and, before it has the answer, greets: the hand-out is still in its list.
func TestGreetingThatCrossesTheAnswerDoesNotHoldTheMessage(t *testing.T) {
	for _, outcome := range []queue.Outcome{queue.NotRun, queue.Unclear, queue.Failed} {
		is, f := is.New(t), newFixture()
		f.add("fifo", "k", 1, 0)
		one := f.deliveries()[0]
		f.outcome("m1", one.Attempt, outcome)
		f.MarkHeld(f.now, 1, "m1", one.Attempt, worker)
		f.Hello(f.now, worker, "a", []queue.HeldDelivery{{Partition: 1, ID: "m1", Attempt: one.Attempt}})
		is.Equal(f.takeWhenReady(), []string{"m1"}) // it goes out again: nobody has it
	}
}

// The same with a hand-out of the primary before, whose outcome comes before any greeting.
func TestOutcomeOfAnotherPrimarysHandOutComesBeforeTheGreeting(t *testing.T) {
	is, f := is.New(t), newFixture()
	f.SetOpen(0, 1, false)
	f.Add(f.now, queue.Entry{Partition: 1, ID: "m1", Host: "plain", Sequence: 1, ExpiresIn: minute, LastAttempt: 2 << 12})
	const earlier = 1<<12 + 1
	f.outcome("m1", earlier, queue.NotRun)
	f.MarkHeld(f.now, 1, "m1", earlier, worker)
	f.SetOpen(f.now, 1, true)
	is.Equal(f.takeWhenReady(), []string{"m1"})
}
