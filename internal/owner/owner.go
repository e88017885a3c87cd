// Package owner holds the one goroutine that owns the decision module, with the table of messages and attempts.
//
// It speaks no protocol. The north side (clients), the south side (hosts that run jobs) and the inventory (the list of
// hosts) reach it by a bounded queue only; it reaches them by the interfaces below, whose methods must not block.
package owner

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/invariant"
	"liftgauge/internal/wheel"
)

// Answer is the final answer of a message.
type Answer struct {
	Kind   Kind
	Result []byte        // what a host made, where it was served
	Wait   time.Duration // of a back-off answer: how long to stay away; 0 for no advice
}

// Kind tells the final answers apart.
type Kind uint8

// The final answers.
const (
	Failed  Kind = iota // promises nothing
	Served              // a host's result
	BackOff             // the job was not done, trying again is harmless
)

// Message is a client's job as the north side took it.
type Message struct {
	Key     string        // the client's id of it, unique while it is open
	Job     balance.Job   // without an id, which the owner gives
	Arrived time.Duration // on the owner's clock
	Payload any           // what the south side passes on
	Reply   func(Answer)  // called once, from the owner's goroutine; must not block
	// Event, if it is set, is told what becomes of the attempt that is out before there is an answer: Begun, Share, or
	// what a side passed on by Owner.Passed. It is called from the owner's goroutine and must not block.
	Event func(any)
	// Settled, if it is set, is called once when the owner has let go of the message: it is answered, or its client has
	// gone, and no attempt is out. It must not block. A message that Submit turned away was never the owner's.
	Settled func()
	Subject uint64 // a keyed hash of what it is about, for records only; 0: none

	departed atomic.Bool // its client has gone: known at once, whatever waits in the queue
}

// Begun is an event of a message: it runs.
type Begun struct{}

// Waits is an event of a message: it runs no more and has no answer yet.
type Waits struct{}

// Share is an event of a message: so much of it is done.
type Share float64

// Host is a south side host as the inventory lists it, or one that has come by itself.
type Host struct {
	Name    string // its id in the inventory
	Address string
	Worker  balance.Worker // without an id, which the owner derives from the name
	// Via is the side that carries attempts to it; nil for Config.South. Only hosts without one are the inventory's: its
	// lists say nothing of others, and these are forgotten when they have gone.
	Via South
}

// Attempt is one send of a message to a host. The south side reports how it ended.
type Attempt struct {
	Message  *Message
	Host     Host
	Deadline time.Duration // on the owner's clock
	// Clear reports whether the attempt may still be sent. It is to be asked right before the first byte: between the
	// decision and the send the host may have begun to drain or the attempt may have been withdrawn.
	Clear func() bool
	// Load is what the host reported of its load with the answer that ended the attempt, in the settings' order; nil: nothing. The side sets
	// it before it says Ended.
	Load []float32

	// Until is when it may no longer be begun, and its last byte no longer go out, on the owner's clock; 0: no such time but the
	// deadline. A keyed message may run again only for so long after the first attempt that may have run.
	Until time.Duration

	open   *open
	number int
	sent   time.Duration
	over   bool
	back   bool        // the host handed it back by a report
	taken  atomic.Bool // see Taken
	stop   context.CancelCauseFunc
	host   *host
	barred atomic.Bool
	timer  wheel.Timer[timer] // its time-out, where it has one of its own

	began, ended time.Duration // 0: not known
	status       balance.Status
}

// Sent, Began and Ended are on the owner's clock, 0 where not known; Status is how it ended. They may be asked for once the
// message has settled.
func (a *Attempt) Sent() time.Duration    { return a.sent }
func (a *Attempt) Began() time.Duration   { return a.began }
func (a *Attempt) Ended() time.Duration   { return a.ended }
func (a *Attempt) Status() balance.Status { return a.status }

func (a *Attempt) clear(now time.Duration) bool {
	return !a.barred.Load() && !a.Message.departed.Load() && !a.host.shut.Load() && !a.host.offline.Load() && (a.Until == 0 || now < a.Until)
}

// Causes of the end of an attempt's context.
var (
	ErrWithdrawn = errors.New("withdrawn")        // the host is to be told to give it up
	ErrSettled   = errors.New("outcome is known") // nothing is left to do
	ErrReleased  = errors.New("another's now")    // the same: another process of the dispatcher has taken the message over
)

// South carries attempts to the hosts.
type South interface {
	// Send carries out an attempt until its context ends, and reports by Owner.Written and Owner.Ended. ErrWithdrawn asks it to give the
	// attempt up at the host and then report Cancelled, unless another outcome comes first.
	Send(ctx context.Context, a *Attempt)
	// Probe asks for a host's health and reports by Owner.Probed.
	Probe(h Host)
	// Forget drops what is kept for a host that restarted or is gone.
	Forget(h Host)
}

// Inventory lists the hosts and reports by Owner.List.
type Inventory interface {
	// Watch asks for the changes from here on; where a watch is open it is made anew.
	Watch()
}

// ErrNobody says that no other process is there that could own a message.
var ErrNobody = errors.New("no other process")

// Config is what an Owner needs.
type Config struct {
	Settings  balance.Settings
	Seed      uint64
	Known     []Host
	South     South
	Inventory Inventory
	Now       func() time.Duration // the module's clock: monotonic, counted from the Unix epoch
	Queue     int
	Log       *slog.Logger
	Check     *invariant.Checker

	// Seen, if it is set, is told of every message that has settled: what its answer was, if it got one, and when, and all
	// attempts. It must not block.
	Seen func(m *Message, answer Kind, answered bool, at time.Duration, attempts []*Attempt)

	// HostRuns says which classes an inventory's host of a kind runs, as balance.Worker.Runs has it; nil: all.
	HostRuns func(kind int) []bool

	Follows bool                // Known is fresh: a process that this one takes over from had it
	Lessons *balance.Learned    // what that process had learnt; may be nil
	Ever    []string            // names that were listed before, in earlier processes too
	Offline []string            // of these, hosts that operators have left out
	Listed  func(name []string) // if set, told of names that were never listed before; must not block
}

// Grace is how long after a message's deadline the owner answers by itself. The module answers before the deadline;
// this only guards against its timer coming late or not at all.
const Grace = 4 * time.Millisecond

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
	timers   []wheel.Timer[timer] // its deadline, and what the module asked for: they end with it
	kind     Kind                 // of its answer
	at       time.Duration        // of its answer, or of its client's leaving
	left     bool                 // the client was first
}

type host struct {
	Host
	shut    atomic.Bool // nothing new may be sent there
	offline atomic.Bool // by an operator's word, which no list changes
	listed  bool
}

// Owner owns the module.
type Owner struct {
	Config
	queue   chan event
	lane    chan event // goes before the queue: for the few calls of operators, which no load may hold up
	stopped chan struct{}
	module  *balance.Dispatcher
	wheel   *wheel.Wheel[timer]
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
func (o *Owner) Forwards() int64 { return o.forwards.Load() }

// Fleet is how many hosts the inventory lists, and how many of these are avoided, as of a moment ago.
func (o *Owner) Fleet() (listed, avoided int64) { return o.listed.Load(), o.avoided.Load() }

// show publishes how the fleet stands.
func (o *Owner) show(now time.Duration) {
	listed, avoided := o.module.Fleet(now)
	o.listed.Store(int64(listed))
	o.avoided.Store(int64(avoided))
}

// Counts are what the owner has seen since its start.
type Counts struct{ Messages, Served, BackOffs, Failures, Attempts, LateReports int64 }

// New returns an Owner; Run starts the module.
func New(c Config) *Owner {
	return &Owner{Config: c, queue: make(chan event, max(c.Queue, 1)), lane: make(chan event), stopped: make(chan struct{}),
		jobs: map[balance.JobID]*open{}, keys: map[string]*open{}, moving: map[string]*open{}, hosts: map[balance.WorkerID]*host{},
		ids: names{}, ever: map[string]bool{}}
}

// Run owns the module until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.stopped)
	o.ctx = ctx
	now := o.Now()
	o.wheel = wheel.New[timer](o.Settings.Tick, now)
	settings := o.Settings
	settings.TellsWritten, settings.Follows = true, o.Follows
	o.module = balance.New(settings, o.Seed, actions{o})
	o.wheel.Add(now+tellEvery, timer{tell: true})
	for _, name := range o.Ever {
		o.ever[name] = true
	}
	for _, name := range o.Config.Offline { // before any list: nothing may be sent there
		o.ever[name] = true
		o.setOffline(now, name, true)
	}
	o.module.Start(now)
	o.list(now, balance.ListCached, o.Known)
	if o.Lessons != nil {
		o.module.Learn(now, o.Lessons)
	}
	o.sees.Store(o.module.Sees())
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
func (o *Owner) tell() {
	c := &o.counts
	o.Log.Info("counts", "messages", c.Messages, "served", c.Served, "back_offs", c.BackOffs, "failures", c.Failures,
		"attempts", c.Attempts, "late_reports", c.LateReports, "turned_away", o.turned.Load(), "open", len(o.jobs),
		"breaches", o.Check.Breaches())
}

// run carries out an event and what it brings about. A panic in the module would take all messages with it; counted, it
// costs at most those that it touched, which their deadlines answer.
func (o *Owner) run(e event) {
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
	o.sees.Store(o.module.Sees())
}

// offer queues an event if there is room.
func (o *Owner) offer(e event) bool {
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
func (o *Owner) post(e event) (done bool) {
	select {
	case o.queue <- e:
		return true
	case <-o.stopped:
		return false
	}
}

// Submit hands in a message. False says that the queue is full: the message has not reached the module, has not run
// and will not, so the north side sends a back-off answer.
func (o *Owner) Submit(m *Message) bool {
	return o.offer(func(now time.Duration) { o.take(now, m) })
}

// Gone says that the client of a message no longer waits.
func (o *Owner) Gone(m *Message) {
	m.departed.Store(true)
	o.post(func(now time.Duration) {
		p := o.keys[m.Key]
		if p == nil || p.Message != m || p.answered {
			return // the final answer and the client's leaving crossed: the answer was first
		}
		p.answered, p.gone, p.left, p.at = true, true, true, now
		o.module.Left(now, p.id)
		o.settle(p)
	})
}

// Conclude answers all that is open: the program may be killed soon, and what it has not answered by then nobody ever answers. A message
// of which nothing can have run gets a back-off answer, any other fails. The module hears that the client is done with.
func (o *Owner) Conclude() {
	o.post(func(now time.Duration) {
		n := 0
		for _, id := range slices.Sorted(maps.Keys(o.jobs)) { // in the order in which they came
			p := o.jobs[id]
			if p == nil || p.answered {
				continue
			}
			n++
			a := Answer{Kind: Failed}
			if p.out == 0 && !p.mayHave {
				a.Kind = BackOff
			}
			p.gone = true
			o.answer(p, a)
			o.module.Left(now, p.id)
		}
		if n > 0 {
			o.Log.Info("concluded", "messages", n)
		}
	})
}

// SetOffline leaves a host out, or lets it serve again, at an operator's word. It returns once that holds. Known says
// whether the host was ever listed; one that was not is left as it is, unless it is sure that it was.
func (o *Owner) SetOffline(ctx context.Context, name string, out, sure bool) (known bool, err error) {
	err = o.ask(ctx, func(now time.Duration) {
		if sure {
			o.ever[name] = true
		}
		if known = o.ever[name]; known {
			o.setOffline(now, name, out)
		}
	})
	return known, err
}

// Hosts returns what the inventory lists, without hosts that came by themselves: a successor that took those for its own
// would call them.
func (o *Owner) Hosts(ctx context.Context) (all []Host, err error) {
	err = o.ask(ctx, func(time.Duration) {
		for _, h := range o.hosts {
			if h.listed && h.Via == nil {
				all = append(all, h.Host)
			}
		}
	})
	return all, err
}

// ask has the owner do something before all that waits in the queue, and returns when it is done.
func (o *Owner) ask(ctx context.Context, do event) error {
	done := make(chan struct{})
	select {
	case o.lane <- func(now time.Duration) { defer close(done); do(now) }:
		<-done // it runs
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.stopped:
		return errors.New("the program ends")
	}
}

func (o *Owner) setOffline(now time.Duration, name string, out bool) {
	id := o.ids.id(name)
	h := o.hosts[id]
	if h == nil { // not on the list now; what is kept of it waits for the day
		h = &host{Host: Host{Name: name}}
		h.shut.Store(true)
		o.hosts[id] = h
	}
	if h.offline.Swap(out) != out {
		o.south(h.Host).Forget(h.Host) // a process started anew must not be taken for the one before
	}
	o.module.Offline(now, id, out)
	o.show(now)
}

// State is what a host says of a job.
type State uint8

// The states that hosts tell.
const (
	Started  State = iota // it runs
	Progress              // how far it has come
	Done                  // served
	Broken                // failed: it may have run
	Returned              // handed back unstarted
	Lost                  // killed: it may have run
)

// Report is a host's word on a job, by the ids that both sides know.
type Report struct {
	Key, From string
	State     State
	Share     float64
	Result    []byte
	Load      []float32 // of the host, in the settings' order; nil: it reported none
}

// Standing is where a message is that a host speaks of.
type Standing int

// Where it is.
const (
	Unknown Standing = iota // not open here
	Here
	Moving // on its way to another process: the host has to say it again
)

// Reported takes a host's word. False says that the queue is full; the host will say it again. Else known, if it is
// set, is told where the message is, and settled, if it is set, once the word is dealt with; neither may block.
func (o *Owner) Reported(r Report, known func(Standing), settled func()) bool {
	return o.offer(func(now time.Duration) {
		if settled != nil {
			defer settled()
		}
		if known != nil {
			switch {
			case o.keys[r.Key] != nil:
				known(Here)
			case o.moving[r.Key] != nil:
				known(Moving)
				return
			default:
				known(Unknown)
			}
		}
		o.reported(now, r)
	})
}

// Assigned says that an attempt was written whole and runs, for sides that know both at once.
func (o *Owner) Assigned(a *Attempt) {
	o.forwards.Add(1)
	o.post(func(now time.Duration) {
		if a.over {
			return
		}
		a.began = now
		o.module.Written(now, a.open.id, a.number, false)
		o.module.Started(now, a.open.id, a.number)
		o.event(a, Begun{})
	})
}

// Passed hands on what an attempt brings forth before its end, to the message's Event. Settled, if it is set, is called
// once that is done. Where there is no Event, or the attempt is over, it is dropped.
func (o *Owner) Passed(a *Attempt, what any, settled func()) {
	if !o.post(func(time.Duration) {
		if settled != nil {
			defer settled()
		}
		o.event(a, what)
	}) && settled != nil {
		settled()
	}
}

// Served says that an attempt ended with a result. Settled is as in Passed.
func (o *Owner) Served(a *Attempt, result []byte, settled func()) {
	if !o.post(func(now time.Duration) {
		if settled != nil {
			defer settled()
		}
		o.ended(now, a, balance.OK, result)
	}) && settled != nil {
		settled()
	}
}

// After calls a function once all that was reported before is dealt with, and what the module decided upon it done. It
// must not block.
func (o *Owner) After(f func()) { o.post(func(time.Duration) { f() }) }

// Reroute says that Config.HostRuns says something else from now on.
func (o *Owner) Reroute(hostRuns func(kind int) []bool) {
	o.post(func(now time.Duration) {
		o.HostRuns = hostRuns
		var all []Host
		for _, h := range o.hosts {
			if h.listed && h.Via == nil {
				all = append(all, h.Host)
			}
		}
		o.list(now, balance.ListChanges, all)
	})
}

// event tells a message of what becomes of an attempt.
func (o *Owner) event(a *Attempt, what any) {
	if p := a.open; !a.over && !p.answered && p.Event != nil {
		p.Event(what)
	}
}

// Written says that the last byte of an attempt is on its way, on a fresh connection or on one that had been used.
func (o *Owner) Written(a *Attempt, fresh bool) {
	o.forwards.Add(1)
	o.post(func(now time.Duration) {
		if !a.over {
			o.module.Written(now, a.open.id, a.number, fresh)
		}
	})
}

// Ended says how an attempt ended on the way, or that its withdrawal is done.
func (o *Owner) Ended(a *Attempt, status balance.Status) {
	o.post(func(now time.Duration) { o.ended(now, a, status, nil) })
}

// Probed says how a probe ended, and what the host reported of its load with the answer.
func (o *Owner) Probed(h Host, status balance.Status, load []float32) {
	o.post(func(now time.Duration) { o.module.Probed(now, h.Worker.ID, status, load) })
}

// List hands in the inventory, or changes to it. Hosts that came by themselves say nothing of what discovery has.
func (o *Owner) List(kind balance.ListKind, hosts []Host) {
	o.post(func(now time.Duration) {
		o.list(now, kind, hosts)
		if kind != balance.ListFailed && !slices.ContainsFunc(hosts, func(h Host) bool { return h.Via != nil }) {
			o.module.Heard(now)
		}
	})
}

// Sees says whether messages are sent by the list that is held: see balance.Dispatcher.Heard.
func (o *Owner) Sees() bool { return o.sees.Load() }

func (o *Owner) take(now time.Duration, m *Message) {
	if o.keys[m.Key] != nil || o.moving[m.Key] != nil {
		// The same id twice at once: the first may be running, so this one is neither run nor called harmless.
		m.Reply(Answer{Kind: Failed})
		if m.Settled != nil {
			m.Settled()
		}
		return
	}
	o.counts.Messages++
	o.last++
	p := &open{Message: m, id: o.last, end: m.Arrived + m.Job.Left}
	o.jobs[p.id], o.keys[m.Key] = p, p
	p.timers = append(make([]wheel.Timer[timer], 0, 4), o.wheel.Add(p.end+Grace, timer{open: p}))
	job := m.Job
	job.ID, job.Left = p.id, max(0, p.end-now)
	o.module.Job(now, job)
}

// answer gives the final answer, once.
func (o *Owner) answer(p *open, a Answer) {
	if p.answered {
		return
	}
	// A back-off answer says that trying again is harmless: never where an attempt may have run, or still may, but for a class that may be
	// repeated at will.
	if a.Kind == BackOff && !o.Check.Check(!p.mayHave && p.out == 0 || o.repeats(p), "back-off answer for what may have run", "message", p.Key) {
		a = Answer{Kind: Failed}
	}
	p.answered, p.kind, p.at = true, a.Kind, o.Now()
	o.Log.Debug("answered", "message", p.Key, "class", p.Job.Class, "kind", a.Kind, "hint", p.Job.Hint, "took", o.Now()-p.Arrived)
	switch a.Kind {
	case Served:
		o.counts.Served++
	case BackOff:
		o.counts.BackOffs++
	default:
		o.counts.Failures++
	}
	p.Reply(a)
	o.settle(p)
}

// repeats: its class may be repeated at will.
func (o *Owner) repeats(p *open) bool {
	class := p.Job.Class
	return class >= 0 && class < len(o.Settings.Classes) && o.Settings.Classes[class].Effect == balance.Safe
}

// settle forgets a message that is answered and has no attempt out. Its timers go with it: left on the wheel they would
// hold it, with all that the client sent, until its patience is over.
func (o *Owner) settle(p *open) {
	if p.answered && p.out == 0 && o.jobs[p.id] == p {
		delete(o.jobs, p.id)
		delete(o.keys, p.Key)
		for _, t := range p.timers {
			o.wheel.Stop(t)
		}
		if o.Seen != nil {
			o.Seen(p.Message, p.kind, !p.left, p.at, p.attempts)
		}
		if p.Settled != nil {
			p.Settled()
		}
	}
}

func (o *Owner) due(now time.Duration, t timer) {
	switch {
	case t.tell:
		o.tell()
		o.wheel.Add(now+tellEvery, t)
		return
	case t.show:
		o.show(now)
		o.wheel.Add(now+showEvery, t)
		return
	case t.attempt != nil:
		o.timeOut(now, t.attempt)
		return
	case t.open == nil:
		o.module.Timer(now, t.token)
		return
	}
	p := t.open
	for _, a := range p.attempts {
		o.timeOut(now, a)
	}
	if !p.answered {
		o.Log.Warn("no final answer from the module by the deadline", "message", p.Key)
		p.gone = true
		o.answer(p, Answer{Kind: Failed})
		o.module.Left(now, p.id)
	}
}

// timeOut stops waiting for an attempt, and tells the host.
func (o *Owner) timeOut(now time.Duration, a *Attempt) {
	if !a.over {
		a.barred.Store(true)
		a.stop(ErrWithdrawn)
		o.ended(now, a, balance.TimedOut, nil)
	}
}

// reported matches a host's word to the attempt that is out there. What comes late, twice or from a host that has no
// attempt of the message changes nothing.
func (o *Owner) reported(now time.Duration, r Report) {
	p := o.keys[r.Key]
	var a *Attempt
	if p != nil {
		for _, b := range p.attempts {
			if !b.over && b.Host.Name == r.From && b.Host.Via == nil { // others report by their own side
				a = b
			}
		}
	}
	if a == nil {
		o.Log.Debug("late report", "message", r.Key, "host", r.From, "state", r.State)
		o.counts.LateReports++
		return
	}
	if r.State != Started && r.State != Progress {
		a.Load = r.Load
	}
	switch r.State {
	case Started:
		o.Log.Debug("attempt started", "message", p.Key, "host", a.Host.Name, "took", now-a.sent)
		a.began = now
		o.module.Started(now, p.id, a.number)
		o.event(a, Begun{})
	case Progress:
		o.module.Progress(now, p.id, a.number, r.Share)
		o.event(a, Share(r.Share))
	case Done:
		o.ended(now, a, balance.OK, r.Result)
	case Broken:
		o.ended(now, a, balance.Errored, nil)
	case Returned:
		// A host repeats a report whose answer it missed. Where it has handed back an earlier attempt of this message,
		// this may be that word again while the new attempt runs: it proves nothing of the new one.
		status := balance.Full
		for _, b := range p.attempts {
			if b != a && b.back && b.host == a.host {
				status = balance.Reset
			}
		}
		a.back = true
		o.ended(now, a, status, nil)
	case Lost:
		o.ended(now, a, balance.Reset, nil)
	}
}

// ended takes an attempt's one outcome: the first that comes. Deadline, withdrawal, the client's leaving and a host's
// word may race; the order in which they reach this goroutine decides.
func (o *Owner) ended(now time.Duration, a *Attempt, status balance.Status, result []byte) {
	if a.over {
		return
	}
	a.over, a.ended, a.status = true, now, status
	a.stop(ErrSettled)
	o.wheel.Stop(a.timer)
	p := a.open
	o.Log.Debug("attempt ended", "message", p.Key, "host", a.Host.Name, "status", status, "took", now-a.sent)
	p.out--
	if !status.NotRun() {
		p.mayHave = true
	}
	switch status {
	case balance.OK:
		o.answer(p, Answer{Kind: Served, Result: result})
	case balance.Rejected: // as final as a result
		o.answer(p, Answer{Kind: Failed})
	}
	o.module.Outcome(now, balance.Outcome{Job: p.id, Attempt: a.number, Worker: a.Host.Worker.ID, Status: status,
		Took: now - a.sent, Closed: p.answered, Report: a.Load})
	if !p.answered && p.out == 0 && p.Event != nil {
		p.Event(Waits{})
	}
	o.settle(p)
}

func (o *Owner) list(now time.Duration, kind balance.ListKind, hosts []Host) {
	entries := make([]balance.Worker, 0, len(hosts))
	listed := map[balance.WorkerID]bool{}
	var unheard []string
	for _, h := range hosts {
		if !o.ever[h.Name] {
			o.ever[h.Name] = true
			if h.Via == nil {
				unheard = append(unheard, h.Name)
			}
		}
		w := h.Worker
		if w.ID = o.ids.id(h.Name); h.Via == nil && o.HostRuns != nil {
			w.Runs = o.HostRuns(w.Kind)
		}
		h.Worker = w
		listed[w.ID] = true
		entries = append(entries, w)
		old := o.hosts[w.ID]
		if old == nil {
			old = &host{}
			o.hosts[w.ID] = old
		} else if old.Worker.Up != w.Up || old.Address != h.Address || w.State == balance.Gone {
			o.south(old.Host).Forget(old.Host)
		}
		if w.State == balance.Gone { // a change may carry the id alone
			h.Address = old.Address
		}
		old.Host, old.listed = h, w.State != balance.Gone
		old.shut.Store(w.State != balance.Ready)
	}
	if kind == balance.ListFull || kind == balance.ListCached {
		for id, h := range o.hosts {
			if h.Via != nil { // the inventory's lists say nothing of it, and to the module this one is all there is
				if h.listed && !listed[id] {
					entries = append(entries, h.Worker)
				}
				continue
			}
			h.listed = h.listed && listed[id]
			if !listed[id] && !h.shut.Load() {
				h.shut.Store(true)
				o.South.Forget(h.Host)
			}
		}
	}
	if len(unheard) > 0 && o.Listed != nil {
		o.Listed(unheard)
	}
	o.module.List(now, kind, entries)
	for _, h := range hosts {
		if h.Via != nil && h.Worker.State == balance.Gone {
			o.forget(h.Name)
		}
	}
	o.show(now)
}

// forget drops all that is known of a host that came by itself and has gone: there may be any number of names. An
// operator's word stays.
func (o *Owner) forget(name string) {
	id := o.ids.id(name)
	if h := o.hosts[id]; h != nil && h.Worker.State == balance.Gone && !h.offline.Load() { // else it is back already
		delete(o.hosts, id)
		delete(o.ever, name)
		delete(o.ids, id)
	}
}

// south is the side that carries attempts to a host.
func (o *Owner) south(h Host) South {
	if h.Via != nil {
		return h.Via
	}
	return o.South
}
