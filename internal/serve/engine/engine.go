// Package owner holds the one goroutine that owns the decision module, with the table of messages and attempts.
//
// It speaks no protocol. The north side (clients), the south side (hosts that run jobs) and the inventory (the list of
// hosts) reach it by a bounded queue only; it reaches them by the interfaces below, whose methods must not block.
package engine

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/timerwheel"
)

// Grace is how long after a message's deadline the owner answers by itself. The module answers before the deadline;
// this only guards against its timer coming late or not at all.
const DeadlineGrace = 4 * time.Millisecond

const (
	countsLogInterval  = time.Minute            // a line of counts in the log
	hostCountsInterval = 100 * time.Millisecond // what others may see of the fleet
)

type event func(now time.Duration)

type timer struct {
	token        uint64       // of the module,
	open         *openMessage // or the deadline of a message,
	attempt      *Attempt     // or the time-out of an attempt,
	logCounts    bool         // or the next line of counts
	publishHosts bool         // or the next look at the fleet
}

// open is a message without a final answer, or with attempts that are out.
type openMessage struct {
	*Message
	jobID        balance.JobID
	deadline     time.Duration
	answered     bool
	disconnected bool // told to the module
	mayHaveRun   bool // an attempt may have run
	outstanding  int
	attempts     []*Attempt
	timers       []timerwheel.Timer[timer] // its deadline, and what the module asked for: they end with it
	answerKind   AnswerKind                // of its answer
	answeredAt   time.Duration             // of its answer, or of its client's leaving
	clientLeft   bool                      // the client was first
}

type host struct {
	Host
	notReady atomic.Bool // nothing new may be sent there
	offline  atomic.Bool // by an operator's word, which no list changes
	listed   bool
}

// Owner owns the module.
type Engine struct {
	Config
	queue      chan event
	priority   chan event // goes before the queue: for the few calls of operators, which no load may hold up
	stopped    chan struct{}
	dispatcher *balance.Dispatcher
	wheel      *timerwheel.Wheel[timer]
	deferred   []event // what the module's own calls bring about: it must not be called from within itself
	jobs       map[balance.JobID]*openMessage
	byKey      map[string]*openMessage
	hosts      map[balance.WorkerID]*host
	moving     map[string]*openMessage // released, and not yet another process's
	workerIDs  workerNames
	everListed map[string]bool // the names that were listed at any time
	lastJobID  balance.JobID
	ctx        context.Context
	counts     Counts
	queueFull  atomic.Int64 // events that found the queue full

	// Published for those who must not wait for the owner.
	forwards, listed, avoided atomic.Int64
	hasHostList               atomic.Bool
}

// Forwards is how many attempts were written whole.
func (e *Engine) Forwards() int64 { return e.forwards.Load() }

// Fleet is how many hosts the inventory lists, and how many of these are avoided, as of a moment ago.
func (e *Engine) HostCounts() (listed, avoided int64) { return e.listed.Load(), e.avoided.Load() }

// show publishes how the fleet stands.
func (e *Engine) publishHostCounts(now time.Duration) {
	listed, avoided := e.dispatcher.Fleet(now)
	e.listed.Store(int64(listed))
	e.avoided.Store(int64(avoided))
}

// Counts are what the owner has seen since its start.
type Counts struct{ Messages, Served, BackOffs, Failures, Attempts, LateReports int64 }

// New returns an Owner; Run starts the module.
func New(c Config) *Engine {
	return &Engine{Config: c, queue: make(chan event, max(c.QueueSize, 1)), priority: make(chan event), stopped: make(chan struct{}),
		jobs: map[balance.JobID]*openMessage{}, byKey: map[string]*openMessage{}, moving: map[string]*openMessage{}, hosts: map[balance.WorkerID]*host{},
		workerIDs: workerNames{}, everListed: map[string]bool{}}
}

// Run owns the module until the context ends.
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
	for _, name := range e.Config.InitialOffline { // before any list: nothing may be sent there
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
		for range len(e.queue) { // what waits goes before timers: an outcome may be among it
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

// tell logs what the owner has seen.
func (e *Engine) logCounts() {
	c := &e.counts
	e.Log.Info("counts", "messages", c.Messages, "served", c.Served, "back_offs", c.BackOffs, "failures", c.Failures,
		"attempts", c.Attempts, "late_reports", c.LateReports, "turned_away", e.queueFull.Load(), "open", len(e.jobs),
		"breaches", e.Check.Breaches())
}

// run carries out an event and what it brings about. A panic in the module would take all messages with it; counted, it
// costs at most those that it touched, which their deadlines answer.
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

// offer queues an event if there is room.
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

// post queues an event that must not be lost. It waits for room; the owner never waits for those who post.
func (e *Engine) enqueue(ev event) (done bool) {
	select {
	case e.queue <- ev:
		return true
	case <-e.stopped:
		return false
	}
}

// Submit hands in a message. False says that the queue is full: the message has not reached the module, has not run
// and will not, so the north side sends a back-off answer.
func (e *Engine) Submit(m *Message) bool {
	return e.tryEnqueue(func(now time.Duration) { e.accept(now, m) })
}

// Gone says that the client of a message no longer waits.
func (e *Engine) Disconnected(m *Message) {
	m.clientGone.Store(true)
	e.enqueue(func(now time.Duration) {
		msg := e.byKey[m.Key]
		if msg == nil || msg.Message != m || msg.answered {
			return // the final answer and the client's leaving crossed: the answer was first
		}
		msg.answered, msg.disconnected, msg.clientLeft, msg.answeredAt = true, true, true, now
		e.dispatcher.Disconnected(now, msg.jobID)
		e.closeIfDone(msg)
	})
}
