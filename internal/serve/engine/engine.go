// Package engine runs the event loop that owns the scheduler (balance.Dispatcher) and the table of messages and attempts.
//
// It is independent of protocols. The client listener, the backend (connections to hosts that run jobs) and the inventory
// (the list of hosts) reach it only through a bounded queue; it calls them through the interfaces below, whose methods must not block.
package engine

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/timerwheel"
)

// DeadlineGrace is how long after a message's deadline the engine answers without the scheduler. The scheduler answers
// before the deadline; this only guards against its timer firing late or not at all.
const DeadlineGrace = 4 * time.Millisecond

const (
	countsLogInterval  = time.Minute            // between log lines with counts
	hostCountsInterval = 100 * time.Millisecond // between updates of the published host counts
)

// event is a piece of work for the event loop.
type event func(now time.Duration)

// timer is a value on the wheel; exactly one of its fields is set.
type timer struct {
	token        uint64       // of a timer that the scheduler requested
	open         *openMessage // a message whose deadline has passed
	attempt      *Attempt     // an attempt that has timed out
	logCounts    bool         // the counts are due in the log
	publishHosts bool         // the host counts are to be published
}

// openMessage is a message without a final answer, or with outstanding attempts.
type openMessage struct {
	*Message
	jobID        balance.JobID
	deadline     time.Duration
	answered     bool
	disconnected bool // the scheduler was notified that the client is gone
	mayHaveRun   bool // an attempt may have run
	outstanding  int
	attempts     []*Attempt
	timers       []timerwheel.Timer[timer] // for its deadline and those that the scheduler requested; stopped when it is closed
	answerKind   AnswerKind
	answeredAt   time.Duration // when it was answered or its client left
	clientLeft   bool          // before there was an answer
}

type host struct {
	Host
	notReady atomic.Bool // draining, removed or not on the list: nothing new may be sent there
	offline  atomic.Bool // set by an operator, whatever the list contains
	listed   bool
}

// Engine owns the scheduler. All of its unsynchronized state belongs to the goroutine in Run.
type Engine struct {
	Config
	queue      chan event
	priority   chan event // served before queue: operators' requests, which must not wait under load
	stopped    chan struct{}
	dispatcher *balance.Dispatcher
	wheel      *timerwheel.Wheel[timer]
	deferred   []event // events caused by the scheduler's own calls: it is not reentrant
	jobs       map[balance.JobID]*openMessage
	byKey      map[string]*openMessage
	hosts      map[balance.WorkerID]*host
	moving     map[string]*openMessage // released, and not yet taken over by another process
	workerIDs  workerNames
	everListed map[string]bool // names of hosts that have ever been listed
	lastJobID  balance.JobID
	ctx        context.Context
	counts     Counts
	queueFull  atomic.Int64 // events rejected because the queue was full

	// Published for readers that must not wait for the event loop.
	forwards, listed, avoided atomic.Int64
	hasHostList               atomic.Bool
}

// Forwards is how many attempts were written completely.
func (e *Engine) Forwards() int64 { return e.forwards.Load() }

// HostCounts returns how many hosts are listed and how many of these are avoided, as last published.
func (e *Engine) HostCounts() (listed, avoided int64) { return e.listed.Load(), e.avoided.Load() }

// publishHostCounts publishes how many hosts are listed and avoided.
func (e *Engine) publishHostCounts(now time.Duration) {
	listed, avoided := e.dispatcher.Fleet(now)
	e.listed.Store(int64(listed))
	e.avoided.Store(int64(avoided))
}

// Counts holds the engine's counters since its start.
type Counts struct{ Messages, Served, BackOffs, Failures, Attempts, LateReports int64 }

// New returns an Engine; Run starts the scheduler.
func New(c Config) *Engine {
	return &Engine{Config: c, queue: make(chan event, max(c.QueueSize, 1)), priority: make(chan event), stopped: make(chan struct{}),
		jobs: map[balance.JobID]*openMessage{}, byKey: map[string]*openMessage{}, moving: map[string]*openMessage{}, hosts: map[balance.WorkerID]*host{},
		workerIDs: workerNames{}, everListed: map[string]bool{}}
}

// Run executes events and timers until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	defer close(e.stopped)
	e.ctx = ctx
	now := e.Now()
	e.wheel = timerwheel.New[timer](e.Settings.Tick, now)
	settings := e.Settings
	settings.ReportsWritten, settings.ListInherited = true, e.HostsInherited
	e.dispatcher = balance.New(settings, e.Seed, actions{e})
	e.wheel.Add(now+countsLogInterval, timer{logCounts: true})
	for _, name := range e.EverListed {
		e.everListed[name] = true
	}
	for _, name := range e.Config.InitialOffline { // before any list, so that nothing is sent there
		e.everListed[name] = true
		e.setOffline(now, name, true)
	}
	e.dispatcher.Start(now)
	e.updateHosts(now, balance.ListCached, e.InitialHosts)
	if e.InitialLearned != nil {
		e.dispatcher.Learn(now, e.InitialLearned)
	}
	e.hasHostList.Store(e.dispatcher.HasList())
	e.wheel.Add(now+hostCountsInterval, timer{publishHosts: true})
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for {
		if at, any := e.wheel.Next(); any {
			wakeup.Reset(max(0, at-e.Now()))
		} else {
			wakeup.Stop()
		}
		select {
		case <-ctx.Done():
			e.logCounts()
			return nil
		case ev := <-e.priority:
			e.runEvent(ev)
		case ev := <-e.queue:
			e.runEvent(ev)
		case <-wakeup.C:
		}
		for range len(e.queue) { // queued events run before timers: an outcome may be among them
			select {
			case ev := <-e.priority:
				e.runEvent(ev)
			default:
			}
			e.runEvent(<-e.queue)
		}
		e.wheel.Advance(e.Now(), func(t timer) { e.runEvent(func(now time.Duration) { e.fireTimer(now, t) }) })
	}
}

// logCounts logs the counters.
func (e *Engine) logCounts() {
	c := &e.counts
	e.Log.Info("counts", "messages", c.Messages, "served", c.Served, "back_offs", c.BackOffs, "failures", c.Failures,
		"attempts", c.Attempts, "late_reports", c.LateReports, "turned_away", e.queueFull.Load(), "open", len(e.jobs),
		"breaches", e.Check.Violations())
}

// runEvent executes an event and the events that it defers. A panic in the scheduler would fail all messages; recovered and
// counted, it affects at most those that it touched, which are answered at their deadlines.
func (e *Engine) runEvent(ev event) {
	defer func() {
		if p := recover(); p != nil {
			e.Check.Check(false, "panic", "value", p, "stack", string(debug.Stack()))
		}
	}()
	ev(e.Now())
	for i := 0; i < len(e.deferred); i++ {
		e.deferred[i](e.Now())
	}
	clear(e.deferred)
	e.deferred = e.deferred[:0]
	e.hasHostList.Store(e.dispatcher.HasList())
}

// tryEnqueue queues an event if there is room.
func (e *Engine) tryEnqueue(ev event) bool {
	select {
	case <-e.stopped:
		return false
	default:
	}
	select {
	case e.queue <- ev:
		return true
	default:
		e.queueFull.Add(1)
		return false
	}
}

// enqueue queues an event that must not be lost. It waits for room; the event loop never waits for its callers.
func (e *Engine) enqueue(ev event) (done bool) {
	select {
	case e.queue <- ev:
		return true
	case <-e.stopped:
		return false
	}
}

// Submit queues a message. False means that the queue is full: the message has not reached the scheduler and will not run,
// so the client listener sends a back-off answer.
func (e *Engine) Submit(m *Message) bool {
	return e.tryEnqueue(func(now time.Duration) { e.accept(now, m) })
}

// Disconnected reports that the client of a message has disconnected.
func (e *Engine) Disconnected(m *Message) {
	m.clientGone.Store(true)
	e.enqueue(func(now time.Duration) {
		msg := e.byKey[m.Key]
		if msg == nil || msg.Message != m || msg.answered {
			return // raced with the final answer, which came first
		}
		msg.answered, msg.disconnected, msg.clientLeft, msg.answeredAt = true, true, true, now
		e.dispatcher.Disconnected(now, msg.jobID)
		e.closeIfDone(msg)
	})
}
