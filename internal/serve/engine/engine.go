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
	tellEvery = time.Minute            // a line of counts in the log
	showEvery = 100 * time.Millisecond // what others may see of the fleet
)

type event func(now time.Duration)

type timer struct {
	token   uint64   // of the module,
	open    *open    // or the deadline of a message,
	attempt *Attempt // or the time-out of an attempt,
	tell    bool     // or the next line of counts
	show    bool     // or the next look at the fleet
}

// open is a message without a final answer, or with attempts that are out.
type open struct {
	*Message
	id       balance.JobID
	end      time.Duration
	answered bool
	gone     bool // told to the module
	mayHave  bool // an attempt may have run
	out      int
	attempts []*Attempt
	timers   []timerwheel.Timer[timer] // its deadline, and what the module asked for: they end with it
	kind     AnswerKind                // of its answer
	at       time.Duration             // of its answer, or of its client's leaving
	left     bool                      // the client was first
}

type host struct {
	Host
	shut    atomic.Bool // nothing new may be sent there
	offline atomic.Bool // by an operator's word, which no list changes
	listed  bool
}

// Owner owns the module.
type Engine struct {
	Config
	queue   chan event
	lane    chan event // goes before the queue: for the few calls of operators, which no load may hold up
	stopped chan struct{}
	module  *balance.Dispatcher
	wheel   *timerwheel.Wheel[timer]
	later   []event // what the module's own calls bring about: it must not be called from within itself
	jobs    map[balance.JobID]*open
	keys    map[string]*open
	hosts   map[balance.WorkerID]*host
	moving  map[string]*open // released, and not yet another process's
	ids     names
	ever    map[string]bool // the names that were listed at any time
	last    balance.JobID
	ctx     context.Context
	counts  Counts
	turned  atomic.Int64 // events that found the queue full

	// Published for those who must not wait for the owner.
	forwards, listed, avoided atomic.Int64
	sees                      atomic.Bool
}

// Forwards is how many attempts were written whole.
func (o *Engine) Forwards() int64 { return o.forwards.Load() }

// Fleet is how many hosts the inventory lists, and how many of these are avoided, as of a moment ago.
func (o *Engine) HostCounts() (listed, avoided int64) { return o.listed.Load(), o.avoided.Load() }

// show publishes how the fleet stands.
func (o *Engine) show(now time.Duration) {
	listed, avoided := o.module.Fleet(now)
	o.listed.Store(int64(listed))
	o.avoided.Store(int64(avoided))
}

// Counts are what the owner has seen since its start.
type Counts struct{ Messages, Served, BackOffs, Failures, Attempts, LateReports int64 }

// New returns an Owner; Run starts the module.
func New(c Config) *Engine {
	return &Engine{Config: c, queue: make(chan event, max(c.QueueSize, 1)), lane: make(chan event), stopped: make(chan struct{}),
		jobs: map[balance.JobID]*open{}, keys: map[string]*open{}, moving: map[string]*open{}, hosts: map[balance.WorkerID]*host{},
		ids: names{}, ever: map[string]bool{}}
}

// Run owns the module until the context ends.
func (o *Engine) Run(ctx context.Context) error {
	defer close(o.stopped)
	o.ctx = ctx
	now := o.Now()
	o.wheel = timerwheel.New[timer](o.Settings.Tick, now)
	settings := o.Settings
	settings.ReportsWritten, settings.ListInherited = true, o.HostsInherited
	o.module = balance.New(settings, o.Seed, actions{o})
	o.wheel.Add(now+tellEvery, timer{tell: true})
	for _, name := range o.EverListed {
		o.ever[name] = true
	}
	for _, name := range o.Config.InitialOffline { // before any list: nothing may be sent there
		o.ever[name] = true
		o.setOffline(now, name, true)
	}
	o.module.Start(now)
	o.list(now, balance.ListCached, o.InitialHosts)
	if o.InitialLearned != nil {
		o.module.Learn(now, o.InitialLearned)
	}
	o.sees.Store(o.module.HasList())
	o.wheel.Add(now+showEvery, timer{show: true})
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		if at, any := o.wheel.Next(); any {
			alarm.Reset(max(0, at-o.Now()))
		} else {
			alarm.Stop()
		}
		select {
		case <-ctx.Done():
			o.tell()
			return nil
		case e := <-o.lane:
			o.run(e)
		case e := <-o.queue:
			o.run(e)
		case <-alarm.C:
		}
		for range len(o.queue) { // what waits goes before timers: an outcome may be among it
			select {
			case e := <-o.lane:
				o.run(e)
			default:
			}
			o.run(<-o.queue)
		}
		o.wheel.Advance(o.Now(), func(t timer) { o.run(func(now time.Duration) { o.due(now, t) }) })
	}
}

// tell logs what the owner has seen.
func (o *Engine) tell() {
	c := &o.counts
	o.Log.Info("counts", "messages", c.Messages, "served", c.Served, "back_offs", c.BackOffs, "failures", c.Failures,
		"attempts", c.Attempts, "late_reports", c.LateReports, "turned_away", o.turned.Load(), "open", len(o.jobs),
		"breaches", o.Check.Breaches())
}

// run carries out an event and what it brings about. A panic in the module would take all messages with it; counted, it
// costs at most those that it touched, which their deadlines answer.
func (o *Engine) run(e event) {
	defer func() {
		if p := recover(); p != nil {
			o.Check.Check(false, "panic", "value", p, "stack", string(debug.Stack()))
		}
	}()
	e(o.Now())
	for i := 0; i < len(o.later); i++ {
		o.later[i](o.Now())
	}
	clear(o.later)
	o.later = o.later[:0]
	o.sees.Store(o.module.HasList())
}

// offer queues an event if there is room.
func (o *Engine) offer(e event) bool {
	select {
	case <-o.stopped:
		return false
	default:
	}
	select {
	case o.queue <- e:
		return true
	default:
		o.turned.Add(1)
		return false
	}
}

// post queues an event that must not be lost. It waits for room; the owner never waits for those who post.
func (o *Engine) post(e event) (done bool) {
	select {
	case o.queue <- e:
		return true
	case <-o.stopped:
		return false
	}
}

// Submit hands in a message. False says that the queue is full: the message has not reached the module, has not run
// and will not, so the north side sends a back-off answer.
func (o *Engine) Submit(m *Message) bool {
	return o.offer(func(now time.Duration) { o.take(now, m) })
}

// Gone says that the client of a message no longer waits.
func (o *Engine) Disconnected(m *Message) {
	m.departed.Store(true)
	o.post(func(now time.Duration) {
		p := o.keys[m.Key]
		if p == nil || p.Message != m || p.answered {
			return // the final answer and the client's leaving crossed: the answer was first
		}
		p.answered, p.gone, p.left, p.at = true, true, true, now
		o.module.Disconnected(now, p.id)
		o.settle(p)
	})
}
