package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// cluster runs whole processes of the group that decides for itself, each with an elector and a replica, on a virtual clock, net and disk.
type cluster struct {
	random   *rand.Rand
	now      time.Duration
	events   eventHeap
	sequence uint64
	procs    []*process // by machine
	seeds    []string
	tolerate int
	late     int                          // one in so many election messages is late, or comes twice; zero: none
	blocked  map[link]bool                // directions between machines that lose everything
	acked    map[string]uint64            // newest acknowledged version by key
	epochs   map[uint64]map[string]uint64 // by epoch, what was acknowledged in it
	started  []start                      // what each active primary began with
	answers  int
	lastAck  time.Duration
	longest  time.Duration // between two acknowledgements
	failure  string
	slower   time.Duration // each sync of a disk takes so much longer
	unjudged bool          // two groups run side by side on purpose: what is read and begun with is not compared
	trace    func(format string, args ...any)
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

// process is what runs on a machine, if anything. Its disk outlives it.
type process struct {
	c         *cluster
	machine   string // also its address
	disk      int
	storage   *memoryStorage
	bootstrap bool

	life      int // what belongs to an earlier one is void
	running   bool
	pausedTo  time.Duration
	stalledTo time.Duration // its disk finishes nothing before
	elector   *Elector
	replica   *Replica
	posted    []func()
	active    uint64 // epoch
	syncing   bool
	links     map[string]MemberID // member at a machine, while linked
	queueFree map[string]time.Duration
	written   int
	campaigns int // how often it asked another to become candidate
}

const testGroup = 1

// tracePrepares is the trace of a process that prepares a view: time, member, view.
const tracePrepares = "%v %s prepares %+v"

func newCluster(seed uint64, machines, seeds, tolerate int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), tolerate: tolerate,
		blocked: map[link]bool{}, acked: map[string]uint64{}, epochs: map[uint64]map[string]uint64{}, trace: func(string, ...any) {},
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

// do runs f in the process, now or after its pause, unless it ends before.
func (p *process) do(f func()) {
	life := p.life
	if p.c.now < p.pausedTo {
		p.c.after(p.pausedTo-p.c.now, func() {
			if p.life == life {
				p.do(f)
			}
		})
		return
	}
	f()
	for len(p.posted) > 0 && p.life == life {
		g := p.posted[0]
		p.posted = p.posted[1:]
		g()
	}
	p.keepSyncing()
}

// later runs f in the process after a while.
func (p *process) later(d time.Duration, f func()) {
	life := p.life
	p.c.after(d, func() {
		if p.running && p.life == life {
			p.do(f)
		}
	})
}

func (p *process) start() {
	p.life++
	life := p.life
	p.running, p.posted, p.active, p.syncing = true, nil, 0, false
	p.links, p.queueFree = map[string]MemberID{}, map[string]time.Duration{}
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
			if p.life == life {
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
	p.later(0, p.tick)
	p.later(p.c.between(0, 10*time.Millisecond), p.write)
	for _, other := range p.c.procs {
		if other != p && other.running {
			p.c.relink(p, other)
		}
	}
}

// stop ends the process; with power lost, what is not synced may be lost too.
func (p *process) stop(power bool) {
	p.life++
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

// relink links two processes after a while, if they reach each other.
func (c *cluster) relink(a, b *process) {
	lifeA, lifeB := a.life, b.life
	c.after(c.between(time.Millisecond, 30*time.Millisecond), func() {
		if a.life != lifeA || b.life != lifeB || !c.reaches(a, b) || !c.reaches(b, a) || a.links[b.machine] != "" {
			return
		}
		a.links[b.machine], b.links[a.machine] = b.member(), a.member()
		a.do(func() { a.replica.SetLinked(b.member(), true) })
		b.do(func() { b.replica.SetLinked(a.member(), true) })
	})
}

// unlink has a process find out that its link to another broke.
func (c *cluster) unlink(a, b *process) {
	member := a.links[b.machine]
	if member == "" {
		return
	}
	delete(a.links, b.machine)
	a.later(c.between(time.Millisecond, 100*time.Millisecond), func() {
		if a.links[b.machine] != member {
			a.replica.SetLinked(member, false)
		}
	})
}

// block cuts or opens a direction between machines. Links over it break.
func (c *cluster) block(a, b *process, cut bool) {
	c.blocked[link{a.machine, b.machine}] = cut
	if cut {
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
		from, life := p.member(), other.life
		at := max(p.queueFree[other.machine], p.c.now+p.c.between(200*time.Microsecond, 3*time.Millisecond))
		p.queueFree[other.machine] = at
		p.c.after(at-p.c.now, func() {
			if other.life != life || other.links[p.machine] != from {
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
		if p.c.late > 0 && p.c.random.IntN(p.c.late) == 0 {
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
	p.later(50*time.Millisecond, p.tick)
}

// confirm reads through the primary: what it then shows holds all that was acknowledged before.
func (p *process) confirm() {
	if !p.elector.IsPrimary() || p.active == 0 || p.c.unjudged {
		return
	}
	before := map[string]uint64{}
	for key, version := range p.c.acked {
		before[key] = version
	}
	p.act(p.elector.Confirm(p.c.now, func(stands bool) {
		if !stands || !p.replica.IsActive() || p.c.unjudged {
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
	p.later(20*time.Millisecond, p.write)
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
		p.c.answers++
		if p.c.lastAck > 0 {
			p.c.longest = max(p.c.longest, p.c.now-p.c.lastAck)
		}
		p.c.lastAck = p.c.now
	})
}

// acknowledge notes an acknowledged write. A primary of a later epoch that is active already must have begun with it.
func (c *cluster) acknowledge(key string, version uint64) {
	c.acked[key] = max(c.acked[key], version)
	epoch := version >> versionNumberBits
	if c.epochs[epoch] == nil {
		c.epochs[epoch] = map[string]uint64{}
	}
	c.epochs[epoch][key] = max(c.epochs[epoch][key], version)
	for _, s := range c.started {
		if s.epoch > epoch {
			c.checkSeen(s, key, version)
		}
	}
}

// checkSeen fails if a primary began without an acknowledged write of an epoch before its own. Writes of later epochs are not its concern:
// a process that was paused may wake as primary of an epoch that is over.
func (c *cluster) checkSeen(s start, key string, acked uint64) {
	if c.unjudged {
		return
	}
	if s.versions[key] < acked {
		c.fail("seen: epoch %d began with %s at %x, acknowledged %x", s.epoch, key, s.versions[key], acked)
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
	life := p.life
	return func(err error) {
		if p.life == life {
			p.posted = append(p.posted, func() { p.act(p.elector.Persisted(token, err, p.c.now)) })
		}
	}
}

// keepSyncing brings the disk's appends down one after another.
func (p *process) keepSyncing() {
	if p.syncing || !p.running || len(p.storage.pending) == 0 || p.c.now < p.stalledTo {
		return
	}
	p.syncing = true
	p.later(p.c.slower+p.c.between(500*time.Microsecond, 2*time.Millisecond), func() {
		p.syncing = false
		for range len(p.storage.pending) {
			p.storage.sync()
		}
	})
}

func (p *process) Active(epoch uint64) {
	p.c.trace("%v %s active in epoch %d", p.c.now, p.member(), epoch)
	p.active = epoch
	s := start{epoch: epoch, versions: map[string]uint64{}}
	for key, record := range p.storage.index[testGroup] {
		s.versions[key] = record.Version
	}
	p.c.started = append(p.c.started, s)
	for before, acked := range p.c.epochs {
		if before >= epoch {
			continue
		}
		for key, version := range acked {
			p.c.checkSeen(s, key, version)
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

// primary returns the only process that is active, or nil.
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

// checkCalm tells what is wrong with a cluster that had no fault for some seconds.
func (c *cluster) checkCalm() string {
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
				return fmt.Sprintf("at %v: %s knows epoch %d, the primary is of %d", c.now, other.member(), got.Epoch, v.Epoch)
			}
		}
	}
	if want := min(len(running), c.tolerate+2); len(v.Members) != want || len(v.Learners) > 0 {
		return fmt.Sprintf("at %v: members %v and learners %v, want %d members", c.now, v.Members, v.Learners, want)
	}
	for _, id := range running {
		if !slices.Contains(v.Witnesses, id) {
			return fmt.Sprintf("at %v: %s is no witness of %v", c.now, id, v.Witnesses)
		}
	}
	return ""
}
