package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// cluster simulates processes of the control group, each with an elector and a replica, with a virtual clock, network and disks.
type cluster struct {
	random        *rand.Rand
	now           time.Duration
	events        eventHeap
	sequence      uint64
	procs         []*process // one per machine
	seeds         []string
	tolerate      int
	lateOneIn     int                          // one in this many election messages is delayed or duplicated; zero: none
	blocked       map[link]bool                // directions between machines in which all messages are lost
	acked         map[string]uint64            // newest acknowledged version by key
	ackedIn       map[uint64]map[string]uint64 // newest acknowledged versions by epoch and key
	initialStates []initialState               // what each primary held when it became active
	ackCount      int
	lastAck       time.Duration
	longestAckGap time.Duration // longest time between two acknowledgements
	failure       string
	extraSyncTime time.Duration // added to the duration of each disk sync
	checksOff     bool          // two generations run side by side on purpose: the checks of reads and of new primaries are off
	trace         func(format string, args ...any)
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// process is the process of a machine, running or not. Its disk survives restarts.
type process struct {
	c         *cluster
	machine   string // also its address
	disk      int
	storage   *memoryStorage
	bootstrap bool

	incarnation  int // counts starts; events of earlier lives are dropped
	running      bool
	pausedUntil  time.Duration
	stalledUntil time.Duration // its disk completes no sync before
	elector      *Elector
	replica      *Replica
	posted       []func()
	active       uint64 // epoch
	syncing      bool
	links        map[string]MemberID // linked members by machine
	linkFreeAt   map[string]time.Duration
	written      int
	campaigns    int // number of Campaign messages sent
}

const testGroup = 1

// tracePrepares is the trace format of a process that prepares a view: time, member, view.
const tracePrepares = "%v %s prepares %+v"

func newCluster(seed uint64, machines, seeds, tolerate int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), tolerate: tolerate,
		blocked: map[link]bool{}, acked: map[string]uint64{}, ackedIn: map[uint64]map[string]uint64{}, trace: func(string, ...any) {},
	}
	for i := range machines {
		machine := fmt.Sprintf("m%d", i)
		if i < seeds {
			c.seeds = append(c.seeds, machine)
		}
		c.procs = append(c.procs, &process{c: c, machine: machine, storage: newMemoryStorage(), bootstrap: true})
	}
	return c
}

func (c *cluster) after(d time.Duration, f func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + d, seq: c.sequence, run: f})
}

func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end && c.failure == "" {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (c *cluster) fail(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf("at %v: ", c.now) + fmt.Sprintf(format, args...)
	}
}

func (c *cluster) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)+1))
}

func (p *process) member() MemberID { return fmt.Sprintf("%s/%d", p.machine, p.disk) }

// do runs f in the process, now or after its pause, unless the process stops first.
func (p *process) do(f func()) {
	incarnation := p.incarnation
	if p.c.now < p.pausedUntil {
		p.c.after(p.pausedUntil-p.c.now, func() {
			if p.incarnation == incarnation {
				p.do(f)
			}
		})
		return
	}
	f()
	for len(p.posted) > 0 && p.incarnation == incarnation {
		g := p.posted[0]
		p.posted = p.posted[1:]
		g()
	}
	p.scheduleSync()
}

// runAfter runs f in the process after a delay.
func (p *process) runAfter(d time.Duration, f func()) {
	incarnation := p.incarnation
	p.c.after(d, func() {
		if p.running && p.incarnation == incarnation {
			p.do(f)
		}
	})
}

func (p *process) start() {
	p.incarnation++
	incarnation := p.incarnation
	p.running, p.posted, p.active, p.syncing = true, nil, 0, false
	p.links, p.linkFreeAt = map[string]MemberID{}, map[string]time.Duration{}
	register, found, err := LoadRegister(p.storage)
	if err != nil {
		p.c.fail("LoadRegister: %v", err)
	}
	o := ElectorOptions{
		Self: Peer{Member: p.member(), Address: p.machine}, Seeds: p.c.seeds, Bootstrap: p.bootstrap && !found,
		Tolerate: p.c.tolerate, Random: p.c.random.Int64N,
	}
	if found {
		o.Register = &register
	}
	replica, err := NewReplica(ReplicaOptions{
		Group: testGroup, Self: p.member(), Copies: p.c.tolerate + 1, Storage: p.storage, Events: p,
		Post: func(f func()) {
			if p.incarnation == incarnation {
				p.posted = append(p.posted, f)
			}
		},
		Send: p.sendReplica,
	})
	if err != nil {
		p.c.fail("NewReplica: %v", err)
	}
	p.replica = replica
	o.BlockingPeers, o.StalledMembers = replica.BlockingPeers, replica.StalledMembers
	p.elector = NewElector(o)
	p.runAfter(0, p.tick)
	p.runAfter(p.c.between(0, 10*time.Millisecond), p.write)
	for _, other := range p.c.procs {
		if other != p && other.running {
			p.c.relink(p, other)
		}
	}
}

// stop ends the process. With a power loss, unsynced appends may be lost too.
func (p *process) stop(power bool) {
	p.incarnation++
	p.running = false
	kept := len(p.storage.pending)
	if power && kept > 0 {
		kept = p.c.random.IntN(kept + 1)
	}
	p.storage.crash(kept)
	for _, other := range p.c.procs {
		if other != p && other.running {
			p.c.unlink(other, p)
		}
	}
}

func (p *process) wipe() {
	p.storage = newMemoryStorage()
	p.disk++
	p.bootstrap = false
}

func (c *cluster) reaches(a, b *process) bool { return !c.blocked[link{a.machine, b.machine}] }

// relink links two processes after a delay, if they reach each other.
func (c *cluster) relink(a, b *process) {
	lifeA, lifeB := a.incarnation, b.incarnation
	c.after(c.between(time.Millisecond, 30*time.Millisecond), func() {
		if a.incarnation != lifeA || b.incarnation != lifeB || !c.reaches(a, b) || !c.reaches(b, a) || a.links[b.machine] != "" {
			return
		}
		a.links[b.machine], b.links[a.machine] = b.member(), a.member()
		a.do(func() { a.replica.SetLinked(b.member(), true) })
		b.do(func() { b.replica.SetLinked(a.member(), true) })
	})
}

// unlink makes a process detect that its link to another one broke.
func (c *cluster) unlink(a, b *process) {
	member := a.links[b.machine]
	if member == "" {
		return
	}
	delete(a.links, b.machine)
	a.runAfter(c.between(time.Millisecond, 100*time.Millisecond), func() {
		if a.links[b.machine] != member {
			a.replica.SetLinked(member, false)
		}
	})
}

// block cuts or restores one direction between machines. Links over it break.
func (c *cluster) block(a, b *process, blocked bool) {
	c.blocked[link{a.machine, b.machine}] = blocked
	if blocked {
		c.unlink(a, b)
		c.unlink(b, a)
	} else if a.running && b.running {
		c.relink(a, b)
	}
}

func (p *process) sendReplica(to MemberID, m Message) {
	bytes := m.Append(nil)
	for _, other := range p.c.procs {
		if p.links[other.machine] != to || other.links[p.machine] != p.member() {
			continue
		}
		from, incarnation := p.member(), other.incarnation
		at := max(p.linkFreeAt[other.machine], p.c.now+p.c.between(200*time.Microsecond, 3*time.Millisecond))
		p.linkFreeAt[other.machine] = at
		p.c.after(at-p.c.now, func() {
			if other.incarnation != incarnation || other.links[p.machine] != from {
				return
			}
			decoded, err := DecodeMessage(bytes)
			if err != nil {
				p.c.fail("DecodeMessage: %v", err)
				return
			}
			other.do(func() { other.replica.Receive(from, decoded) })
		})
	}
}

func (p *process) sendElection(a SendElection) {
	if _, ok := a.Frame.Message.(*Campaign); ok {
		p.campaigns++
	}
	bytes := a.Frame.Append(nil)
	for _, other := range p.c.procs {
		if other.machine != a.To.Address || !p.c.reaches(p, other) || p.c.random.IntN(100) == 0 {
			continue
		}
		deliver := func() {
			if !other.running || !p.c.reaches(p, other) {
				return
			}
			var frame ElectionFrame
			if err := frame.Decode(bytes); err != nil {
				p.c.fail("ElectionFrame.Decode: %v", err)
				return
			}
			other.do(func() { other.act(other.elector.Receive(frame, p.c.now)) })
		}
		delay := p.c.between(200*time.Microsecond, 4*time.Millisecond)
		if p.c.lateOneIn > 0 && p.c.random.IntN(p.c.lateOneIn) == 0 {
			if p.c.random.IntN(2) == 0 {
				p.c.after(delay, deliver)
			}
			delay += p.c.between(0, time.Second)
		}
		p.c.after(delay, deliver)
	}
}

func (p *process) tick() {
	p.act(p.elector.Tick(p.c.now))
	p.replica.Tick(p.c.now)
	p.confirm()
	p.runAfter(50*time.Millisecond, p.tick)
}

// confirm performs a confirmed read at the primary, which must return all writes acknowledged before it.
func (p *process) confirm() {
	if !p.elector.IsPrimary() || p.active == 0 || p.c.checksOff {
		return
	}
	before := map[string]uint64{}
	for key, version := range p.c.acked {
		before[key] = version
	}
	p.act(p.elector.Confirm(p.c.now, func(confirmed bool) {
		if !confirmed || !p.replica.IsActive() || p.c.checksOff {
			return
		}
		for key, version := range before {
			if record, _, _ := p.storage.Get(testGroup, key); record.Version < version {
				p.c.fail("read: %s in epoch %d has %s at %x, acknowledged %x", p.member(), p.replica.View().Epoch, key, record.Version, version)
			}
		}
	}))
}

func (p *process) write() {
	p.runAfter(20*time.Millisecond, p.write)
	if p.active == 0 {
		return
	}
	p.written++
	key := fmt.Sprintf("k%d", p.c.random.IntN(20))
	records := []Record{{Key: key, Value: fmt.Append(nil, p.written)}}
	p.replica.Write(records, func(err error) {
		if err != nil {
			return
		}
		p.c.acknowledge(key, records[0].Version)
		p.c.ackCount++
		if p.c.lastAck > 0 {
			p.c.longestAckGap = max(p.c.longestAckGap, p.c.now-p.c.lastAck)
		}
		p.c.lastAck = p.c.now
	})
}

// acknowledge records an acknowledged write. A primary of a later epoch that is already active must have started with it.
func (c *cluster) acknowledge(key string, version uint64) {
	c.acked[key] = max(c.acked[key], version)
	epoch := version >> versionNumberBits
	if c.ackedIn[epoch] == nil {
		c.ackedIn[epoch] = map[string]uint64{}
	}
	c.ackedIn[epoch][key] = max(c.ackedIn[epoch][key], version)
	for _, s := range c.initialStates {
		if s.epoch > epoch {
			c.checkInherited(s, key, version)
		}
	}
}

// checkInherited fails if a primary started without an acknowledged write of an earlier epoch. Writes of later epochs are ignored: a process
// that was paused may resume as primary of an epoch that is over.
func (c *cluster) checkInherited(s initialState, key string, acked uint64) {
	if c.checksOff {
		return
	}
	if s.versions[key] < acked {
		c.fail("inherited: epoch %d began with %s at %x, acknowledged %x", s.epoch, key, s.versions[key], acked)
	}
}

func (p *process) act(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendElection:
			p.sendElection(a)
		case PersistRegister:
			p.storage.Append(LocalGroup, []Record{RegisterRecord(a.Register)}, p.persisted(a.Token))
		case PrepareView:
			p.c.trace(tracePrepares, p.c.now, p.member(), a.View)
			p.replica.Prepare(a.View.View, func(epoch uint64) {
				p.posted = append(p.posted, func() { p.act(p.elector.Prepared(epoch, p.c.now)) })
			})
		case InstallView:
			p.c.trace("%v %s installs epoch %d of %s", p.c.now, p.member(), a.View.Epoch, a.View.Primary)
			p.replica.Install(a.View.View)
		case LostPrimary:
			p.c.trace("%v %s lost epoch %d", p.c.now, p.member(), a.Epoch)
			p.active = 0
			p.replica.StepDown()
		case ConfirmResult:
			a.Callback(a.Confirmed)
		}
	}
}

func (p *process) persisted(token uint64) func(error) {
	incarnation := p.incarnation
	return func(err error) {
		if p.incarnation == incarnation {
			p.posted = append(p.posted, func() { p.act(p.elector.Persisted(token, err, p.c.now)) })
		}
	}
}

// scheduleSync syncs the pending appends of the disk after a delay, unless a sync is already scheduled or the disk is stalled.
func (p *process) scheduleSync() {
	if p.syncing || !p.running || len(p.storage.pending) == 0 || p.c.now < p.stalledUntil {
		return
	}
	p.syncing = true
	p.runAfter(p.c.extraSyncTime+p.c.between(500*time.Microsecond, 2*time.Millisecond), func() {
		p.syncing = false
		for range len(p.storage.pending) {
			p.storage.sync()
		}
	})
}

func (p *process) Active(epoch uint64) {
	p.c.trace("%v %s active in epoch %d", p.c.now, p.member(), epoch)
	p.active = epoch
	s := initialState{epoch: epoch, versions: map[string]uint64{}}
	for key, record := range p.storage.index[testGroup] {
		s.versions[key] = record.Version
	}
	p.c.initialStates = append(p.c.initialStates, s)
	for before, acked := range p.c.ackedIn {
		if before >= epoch {
			continue
		}
		for key, version := range acked {
			p.c.checkInherited(s, key, version)
		}
	}
}

func (p *process) Deposed(epoch uint64) {
	p.c.trace("%v %s deposed in epoch %d", p.c.now, p.member(), epoch)
	p.active = 0
	highest := p.replica.HighestEpoch()
	p.posted = append(p.posted, func() { p.act(p.elector.Deposed(epoch, highest, p.c.now)) })
}

func (p *process) Offer(epoch uint64, learner MemberID) {
	p.posted = append(p.posted, func() { p.act(p.elector.Offered(epoch, learner, p.c.now)) })
}

func (p *process) Applied([]Record) {}

// primary returns the only active primary, or nil if there is none or more than one.
func (c *cluster) primary() *process {
	var found *process
	for _, p := range c.procs {
		if p.running && p.replica.IsActive() && p.elector.IsPrimary() {
			if found != nil {
				return nil
			}
			found = p
		}
	}
	return found
}

// checkRecovered returns the problem of a cluster that has not recovered although it has had no fault for some seconds, or "".
func (c *cluster) checkRecovered() string {
	if c.failure != "" {
		return c.failure
	}
	p := c.primary()
	if p == nil {
		return fmt.Sprintf("at %v: not exactly one active primary", c.now)
	}
	if c.now-c.lastAck > 100*time.Millisecond {
		return fmt.Sprintf("at %v: last acknowledgement at %v", c.now, c.lastAck)
	}
	v := p.elector.View()
	var running []MemberID
	for _, other := range c.procs {
		if other.running {
			running = append(running, other.member())
			if got := other.elector.View(); got.Epoch != v.Epoch {
				return fmt.Sprintf("at %v: %s has epoch %d, the primary has %d", c.now, other.member(), got.Epoch, v.Epoch)
			}
		}
	}
	if want := min(len(running), c.tolerate+2); len(v.Members) != want || len(v.Learners) > 0 {
		return fmt.Sprintf("at %v: members %v and learners %v, want %d members", c.now, v.Members, v.Learners, want)
	}
	for _, id := range running {
		if !slices.Contains(v.Witnesses, id) {
			return fmt.Sprintf("at %v: %s is not a witness in %v", c.now, id, v.Witnesses)
		}
	}
	return ""
}
