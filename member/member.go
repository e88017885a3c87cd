// Package member decides who of a fleet's processes live, and has all that are in touch agree on it.
//
// A Member does no I/O, reads no clock and starts no goroutine: it takes messages, times and a seed, and returns what is to be sent and
// what has changed. Its host calls Tick at least every Config.Every and passes on every datagram that comes. What it promises, and how it
// goes about it, stands in docs/design-membership.md.
package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Config is what a Member needs. Fill gives what is 0 its default.
type Config struct {
	Self      Peer
	Seeds     []string // addresses of members that may be asked to let one in
	FleetSize int      // how many there should be: a lineage that never had more than half of them is nobody's word

	Watchers          int           // of each member; 16 at most
	TickInterval      time.Duration // between two calls of Tick
	HeartbeatInterval time.Duration // between two beats to one watcher
	PingAfter         time.Duration // of silence, before a watcher asks
	SuspicionTimeout  time.Duration // of silence, before it charges: longer than any pause that is to be borne
	ProposalDelay     time.Duration // without news, before a change is proposed
	BallotTimeout     time.Duration // without progress of a vote, before the next in the order tries
	FoundingDelay     time.Duration // without a member to be found, before a seed founds a lineage
	RejoinDelay       time.Duration // how long a member that was removed waits before it is let in again; twice as long each time
	BytesPerSecond    int           // bytes a second, with heads of IP and UDP
	// NoRefusals: "port unreachable" proves nothing here, as somebody else may say it.
	IgnoreRefusals bool
	Shared         *Shared // by members of one process; may be nil
	// Without leaves out protections, to measure what they are worth.
	Disabled Protection
}

// Protection is a set of what keeps a member from being taken for dead.
type Protection uint8

// The protections.
const (
	Refutation     Protection = 1 << iota // the accused clears itself by a later generation
	SelfSuspicion                         // a watcher most of whose subjects are silent charges nobody, a deaf one falls silent
	PauseDetection                        // a watcher that was away gives its subjects that time
	Watermarks                            // it takes seven tenths of the watchers, not one
)

// Fill returns the configuration with defaults for what is missing, for a net on which a way there and back takes so long.
func (c Config) WithDefaults(roundTrip time.Duration) Config {
	// A beat, two asks and their answers must fit into each other whatever the way: below 50 ms there and back nothing grows.
	scale := max(1, float64(roundTrip)/float64(50*time.Millisecond))
	set := func(d *time.Duration, standard time.Duration) {
		if *d <= 0 {
			*d = time.Duration(float64(standard) * scale)
		}
	}
	set(&c.TickInterval, 50*time.Millisecond)
	set(&c.HeartbeatInterval, 500*time.Millisecond)
	set(&c.PingAfter, 1250*time.Millisecond)
	set(&c.SuspicionTimeout, 6*time.Second)
	set(&c.ProposalDelay, 700*time.Millisecond)
	set(&c.BallotTimeout, 2*time.Second)
	set(&c.FoundingDelay, 2*time.Second)
	set(&c.RejoinDelay, 5*time.Second)
	if c.Watchers <= 0 {
		c.Watchers = 10
	}
	c.Watchers = min(c.Watchers, 16)
	if c.BytesPerSecond <= 0 {
		c.BytesPerSecond = 3400 // with the burst it stays under 4,000 in any minute
	}
	return c
}

const (
	highWatermark      = 0.7 // of a member's watchers that are not down themselves make it down
	lowWatermark       = 0.3 // of them may mean that it and the others are beyond a cut
	burstSeconds       = 10  // seconds of the budget that may be used at once: changes are rare
	refusalsForProof   = 2   // of them refused prove a death
	selfSuspicionShare = 0.6 // of a watcher's subjects silent at once: rather it is itself
	maxJoinBytes       = 800 // bytes of those that join in one change: with votes and the rest they fit a datagram
	maxHistory         = 32  // changes kept for those that are behind
	maxRecentViews     = 8   // views kept for those that fetch one
	maxBackoff         = 5 * time.Minute
	removalMemory      = 10 * time.Minute
	helloInterval      = 400 * time.Millisecond
	maxHelloInterval   = 3 * time.Second
	slowInterval       = 5 * time.Second // a look for other lineages, and for those that have missed much
)

// Envelope is a message and where it goes.
type Envelope struct {
	To      string
	Message *Message
}

// Event is something that the host is told.
type Event struct {
	View   *View // of a change of the view; else nil
	Reason string
}

// subject is what a watcher knows of one whom it watches.
type subject struct {
	lastHeard       time.Duration // last sign of life
	lastPing        time.Duration // last ping
	refusals        int           // answered by "port unreachable" since then
	reportedAt      time.Duration // when this member charged it last; 0: not since it was heard
	refutations     int           // how often such a charge was refuted lately
	suppressedUntil time.Duration // no charge before
}

// State is a member's standing.
type State uint8

// The states.
const (
	Outside    State = iota // wants in
	Inside                  // in the view
	Leaving                 // has said that it leaves
	Left                    // and is out, as planned
	Superseded              // another process of its name took its place; it asks seldom, and is let in when that one is out
)

func (s State) String() string {
	return [...]string{"outside", "inside", "leaving", "left", "superseded"}[s]
}

// Member is one member. It is not safe for concurrent use.
type Member struct {
	Config
	rng      *rand.Rand
	state    State
	now      time.Duration
	lastTick time.Duration
	outbox   []Envelope
	events   []Event
	tokens   float64 // of the bucket, in bytes

	view                *View
	position            int // own position in it
	rings               *rings
	subjects            map[int]*subject
	watcherBits         map[int]uint16 // by subject: what this member says in a charge
	heartbeatTargets    []int          // of beats: the watchers, or who stands in for them
	reports             []Report       // by position
	digest              uint32
	reportQueue         []queuedReport // charges to be passed on
	lastRequeue         time.Duration  // when all of them were passed on anew
	lastChange          time.Duration  // last news of charges or joins
	pendingSince        time.Duration  // the first since there was nothing to change; 0: there is not
	evaluationDue       bool           // since down was worked out
	down                Bits
	failed              Bits
	possiblyPartitioned int           // how many may be beyond a cut
	downVoters          int           // how many are down for that they leave or are replaced alone, and vote
	dead                Bits          // proven, by what this member has heard or by others' word
	rejoining           Bits          // who asks to join with a higher incarnation
	deadVersion         int           // changes of these two
	sentDeadVersion     []int         // by watcher: as of which change it was told
	pendingJoins        []Peer        // that wait, by name
	lastJoinForward     time.Duration // when those that came to this member were last said to who may propose

	round            *Round
	promised         uint32
	acceptedBallot   uint32
	acceptedValue    *ViewChange
	lastProgress     time.Duration // last progress of the vote
	roundVersion     int           // of the round as it stands here
	sentRoundVersion []int         // by watcher: the version that it was sent
	sentValueBallot  []uint32      // by watcher: the ballot whose value it was sent
	lastValueRequest time.Duration // when the value of a vote was asked for last

	history           []Decision // the newest last
	recentViews       []*View    // the last views, the newest last: some still fetch one of them
	decisionSendsLeft int        // how often the last one is still to be said unasked
	nextTarget        int        // whose turn a beat is, among the watchers
	nextHeartbeat     time.Duration
	lastContact       time.Duration // last sign of life of anybody
	lastLineageCheck  time.Duration

	// Outside.
	outsideSince       time.Duration // out since
	nextHello          time.Duration
	lowerSeedOutsideAt time.Duration            // a seed before this one was heard of, out too
	knownAddresses     []string                 // addresses of members of the last view, or that were named since
	lastKnownUpdate    time.Duration            // when the last of them was named
	refusedSeeds       map[string]time.Duration // by seed: until when nobody is taken to be there
	chunks             []*Chunk                 // of the view that this one was let into
	wantedView         Message                  // the notice of that view
	fetchSource        string
	lastChunkRequest   time.Duration
	lastChunk          time.Duration // last news of it
	chunkSources       []string      // who has it

	tokenSecret uint64
	sponsored   map[ID]string // joiners that came to this member, to be told when they are in
	removals    map[string]*removalRecord
	dropped     Dropped
}

// Dropped counts what was not taken.
type Dropped struct{ Foreign, Malformed int }

type queuedReport struct {
	subject   int
	sendsLeft int // how often it is still to be sent
}

// flap is how often a name was removed lately.
type removalRecord struct {
	count       int
	last        time.Duration // when last
	rejoinAfter time.Duration // it is not let in before
}

// New returns a member that is out and wants in.
func New(c Config, now time.Duration, seed uint64) *Member {
	m := &Member{Config: c.WithDefaults(0), rng: rand.New(rand.NewPCG(seed, 2)), now: now, lastTick: now, outsideSince: now, lastContact: now,
		sponsored: map[ID]string{}, refusedSeeds: map[string]time.Duration{}, removals: map[string]*removalRecord{}}
	m.tokenSecret = m.rng.Uint64()
	m.tokens = burstSeconds * float64(m.BytesPerSecond)
	m.nextHello = now
	return m
}

// Begin makes one that is out a member of a view that all of its members begin with. It is for fleets that are played.
func (m *Member) Bootstrap(v *View) {
	if m.state == Outside && v.Index(m.Self().ID) >= 0 {
		m.installView(v, "begun")
	}
}

// View is the view as this member has it; nil while it is out.
func (m *Member) View() *View { return m.view }

// State is how it stands.
func (m *Member) State() State { return m.state }

// Self is who it is now: the incarnation grows when it comes back.
func (m *Member) Self() Peer { return m.Config.Self }

// Dropped is what was not taken so far.
func (m *Member) Dropped() Dropped { return m.dropped }

// InTouch reports whether it is in a view and hears of enough of it to go by: as many are up as must agree
// on the next one, and its lineage once had more than half of the fleet. One that was cut off as it started may have founded a lineage for itself.
func (m *Member) HasQuorum() bool {
	if m.view == nil || 2*m.view.LargestSize <= m.FleetSize {
		return false
	}
	m.evaluate()
	return !m.lacksQuorum() && !m.cannotReceive()
}

// Standing is what this member knows of another one.
type PeerStatus struct {
	Peer
	Down       bool
	Failed     bool
	TimedOutBy []string // watchers that charge it, by name
	RefusedBy  []string
	SinceHeard time.Duration // ago, where this member watches it; less than 0: it does not
	Watchers   int
}

// Members is what this member knows of all in its view.
func (m *Member) Members() (all []PeerStatus) {
	if m.view == nil {
		return nil
	}
	m.evaluate()
	for i, p := range m.view.Members {
		s := PeerStatus{Peer: p, Down: m.down.Has(i), Failed: m.failed.Has(i), SinceHeard: -1, Watchers: len(m.rings.watchers[i])}
		if sub := m.subjects[i]; sub != nil {
			s.SinceHeard = m.now - sub.lastHeard
		}
		for bit, w := range m.rings.watchers[i] {
			if m.reports[i].TimedOut>>bit&1 != 0 {
				s.TimedOutBy = append(s.TimedOutBy, m.view.Members[w].ID.Name)
			}
			if m.reports[i].Refused>>bit&1 != 0 {
				s.RefusedBy = append(s.RefusedBy, m.view.Members[w].ID.Name)
			}
		}
		all = append(all, s)
	}
	return all
}

// Take returns what is to be sent and told, and forgets it.
func (m *Member) Drain() ([]Envelope, []Event) {
	out, events := m.outbox, m.events
	m.outbox, m.events = nil, nil
	return out, events
}

func (m *Member) emit(e Event) { m.events = append(m.events, e) }

// send queues a message. It takes from the bucket, which may go below empty: what must be sent is.
func (m *Member) send(to string, msg *Message) {
	if to == "" || to == m.Self().Address {
		return
	}
	msg.From = m.Self().ID
	if m.view != nil {
		msg.Lineage, msg.View, msg.Size = m.view.Lineage, m.view.Number, len(m.view.Members)
	}
	m.tokens -= float64(msg.EncodedSize() + datagramOverhead)
	m.outbox = append(m.outbox, Envelope{to, msg})
}

// Tick lets time pass. One that comes late says that this process was away: it cannot tell whether others were silent.
func (m *Member) Tick(now time.Duration) {
	elapsed := now - m.lastTick
	m.now, m.lastTick = now, now
	m.tokens = min(burstSeconds*float64(m.BytesPerSecond), m.tokens+elapsed.Seconds()*float64(m.BytesPerSecond))
	if elapsed > time.Second && m.Disabled&PauseDetection == 0 {
		for _, s := range m.subjects {
			s.lastHeard = min(now, s.lastHeard+elapsed)
			s.refusals = 0
		}
		m.lastContact = min(now, m.lastContact+elapsed)
		m.lastProgress = now
	}
	switch m.state {
	case Inside, Leaving:
		m.probeSubjects()
		m.evaluate()
		m.sendHeartbeats()
		m.startBallot()
		m.forwardJoins()
		m.checkOtherLineages()
	case Outside, Superseded:
		m.seekMembership()
	}
}

// Receive takes a message from an address.
func (m *Member) Receive(now time.Duration, from string, msg *Message) {
	m.now = max(m.now, now)
	if msg.From == m.Self().ID || msg.From.Name == "" {
		m.dropped.Foreign++
		return
	}
	switch msg.Kind {
	case Heartbeat, Ping, Pong:
		m.handleGossip(from, msg)
	case Hello:
		m.handleHello(from, msg)
	case Welcome:
		m.handleWelcome(from, msg)
	case Join:
		m.handleJoin(from, msg)
	case JoinNotice:
		m.handleJoinNotice(from, msg)
	case ChunkRequest:
		m.handleChunkRequest(from, msg)
	case ChunkResponse:
		m.handleChunkResponse(from, msg)
	case Redirect:
		if ownRank := m.seedRank(); msg.SeedRank > 0 && (ownRank == 0 || msg.SeedRank < ownRank) {
			m.lowerSeedOutsideAt = m.now
		}
		for _, p := range msg.PendingJoins {
			if m.view == nil && len(m.knownAddresses) < 8 && !slices.Contains(m.knownAddresses, p.Address) && p.Address != m.Self().Address {
				m.knownAddresses, m.lastKnownUpdate = append(m.knownAddresses, p.Address), m.now
			}
		}
	default:
		m.dropped.Malformed++
	}
}

// Refused says that nothing listens at an address: a datagram to it came back as "port unreachable".
func (m *Member) ReceiveRefusal(now time.Duration, address string) {
	m.now = max(m.now, now)
	if m.IgnoreRefusals {
		return
	}
	if m.view == nil { // that one will not answer for a while
		if slices.Contains(m.Seeds, address) {
			m.refusedSeeds[address] = m.now + 2*slowInterval
		}
		m.knownAddresses = slices.DeleteFunc(m.knownAddresses, func(k string) bool { return k == address })
		return
	}
	for i, s := range m.subjects {
		if m.view.Members[i].Address == address {
			m.lastContact = m.now // the way there and back is open
		}
		if m.view.Members[i].Address == address && s.lastPing > s.lastHeard && m.now-s.lastHeard > m.PingAfter {
			s.refusals++
		}
	}
}

// Leave says that this process is about to end. It is Left once the others agree, and then, or soon anyway, may end.
func (m *Member) Leave(now time.Duration) {
	m.now = max(m.now, now)
	switch m.state {
	case Inside:
		m.state = Leaving
		c := m.reports[m.position]
		c.Left = true
		m.mergeReport(c)
	case Outside:
		m.state = Left
	}
}

// gossip takes a beat, a ping or a pong: a sign of life, and whatever is new in it.
func (m *Member) handleGossip(from string, msg *Message) {
	if m.view == nil || m.state == Left || m.state == Superseded {
		return
	}
	if msg.Lineage != m.view.Lineage {
		m.handleOtherLineage(from, msg)
		return
	}
	if i := m.view.Index(msg.From); i >= 0 {
		m.lastContact = m.now
		if s := m.subjects[i]; s != nil && msg.Kind != Ping {
			m.markAlive(i, s)
		}
	}
	if msg.View == m.view.Number && m.applyDecisions(msg.Decisions) {
		return // who was removed says so as it goes
	}
	switch {
	case msg.View < m.view.Number: // behind: tell what it has missed; a ping would be asked again and again
		if msg.Kind != Pong || len(msg.Decisions) == 0 {
			m.sendMissedDecisions(from, msg)
		}
		return
	case msg.View > m.view.Number:
		if !m.applyDecisions(msg.Decisions) {
			m.fetchView(from, msg)
			return
		}
		if m.view == nil || msg.View != m.view.Number {
			return
		}
	}
	n := len(m.view.Members)
	for _, c := range msg.Reports {
		if c.Subject < 0 || c.Subject >= n {
			m.dropped.Malformed++
			return
		}
		m.mergeReport(c)
	}
	if len(msg.Dead)+len(msg.Rejoining) > 0 {
		if !msg.Dead.fitsView(n) || !msg.Rejoining.fitsView(n) {
			m.dropped.Malformed++
			return
		}
		again := m.rejoining.merge(msg.Rejoining)
		if m.dead.merge(msg.Dead) || again {
			m.deadVersion++
			m.evaluationDue, m.lastChange = true, m.now
		}
	}
	for _, p := range msg.PendingJoins {
		m.addPendingJoin(p)
	}
	if msg.Round != nil {
		m.mergeRound(msg.Round)
	}
	if r := m.round; r != nil && r.Value == nil && msg.Round != nil && msg.Round.HasValue && m.now-m.lastValueRequest > m.HeartbeatInterval {
		m.lastValueRequest = m.now
		m.send(from, &Message{Kind: Ping, Digest: m.digest})
	}
	if msg.Kind == Ping {
		m.send(from, m.piggyback(&Message{Kind: Pong}, -1))
	}
	if msg.Digest != m.digest && len(msg.Reports) == 0 { // it has heard of other charges than this one, and says none
		m.requeueReports()
	}
}

// heardOf notes a sign of life of a subject.
func (m *Member) markAlive(i int, s *subject) {
	if s.reportedAt > 0 { // it was wrong, or it is back: the next one takes longer
		s.refutations++
		s.suppressedUntil = m.now + min(m.SuspicionTimeout<<min(s.refutations, 6), maxBackoff)
		s.reportedAt = 0
		if c := m.reports[i]; c.TimedOut|c.Refused != 0 { // it should hear of it soon
			m.enqueueReport(i, false)
		}
	}
	s.lastHeard, s.refusals = m.now, 0
}

// beat tells the watchers, one after another, that this member is here.
func (m *Member) sendHeartbeats() {
	targets := m.heartbeatTargets
	if len(targets) == 0 || m.cannotReceive() {
		return
	}
	interval := m.HeartbeatInterval / time.Duration(len(targets))
	if m.nextHeartbeat < m.now-m.HeartbeatInterval { // after a pause, or at first: not all at once
		m.nextHeartbeat = m.now
	}
	for ; m.nextHeartbeat <= m.now; m.nextHeartbeat += interval {
		i := m.nextTarget % len(targets)
		m.nextTarget++
		switch {
		case m.failed.Has(targets[i]):
		case m.down.Has(targets[i]) && m.reports[targets[i]].TimedOut|m.reports[targets[i]].Refused != 0: // it should hear of that; what else is new would be lost on it
			m.send(m.view.Members[targets[i]].Address, &Message{Kind: Heartbeat, Digest: m.digest, Reports: []Report{m.reports[targets[i]]}})
		default:
			m.send(m.view.Members[targets[i]].Address, m.piggyback(&Message{Kind: Heartbeat}, i))
		}
	}
}

// payload adds to a message what is new, as far as the bucket allows. The round goes to a watcher once in each version, and to others always.
func (m *Member) piggyback(msg *Message, watcher int) *Message {
	msg.Digest = m.digest
	room := min(MaxBytes, int(m.tokens)+80) - msg.EncodedSize() - 8
	if r := m.round; r != nil && (watcher < 0 || m.sentRoundVersion[watcher] != m.roundVersion) {
		round := r.pack()
		if round.HasValue = r.Value != nil; round.HasValue { // the promises have done what they were for, and with what they told no datagram would hold it
			round.Promises, round.AcceptedValue, round.AcceptedBallot = nil, nil, 0
		}
		// What the vote is on is long where many join: one watcher in five hears it unasked and once, the others ask for it.
		if watcher >= 0 && (watcher%5 != int(r.Ballot)%5 && len(m.sentRoundVersion) > 4 || m.sentValueBallot[watcher] == r.Ballot) {
			round.Value, round.AcceptedValue, round.AcceptedBallot = nil, nil, 0
		}
		if round.bytes() <= room || round.Value != nil && round.bytes() <= MaxBytes-msg.EncodedSize() && m.tokens > -2*float64(m.BytesPerSecond) { // what the vote is on goes before all else
			msg.Round = round
			room -= round.bytes()
			if watcher >= 0 {
				m.sentRoundVersion[watcher] = m.roundVersion
				if round.Value != nil {
					m.sentValueBallot[watcher] = r.Ballot
				}
			}
		}
	}
	if m.deadVersion > 0 && (watcher < 0 || m.sentDeadVersion[watcher] != m.deadVersion) && 8+2*len(m.dead) <= room {
		msg.Dead, msg.Rejoining = slices.Clone(m.dead), slices.Clone(m.rejoining)
		room -= 8 + 2*len(m.dead)
		if watcher >= 0 {
			m.sentDeadVersion[watcher] = m.deadVersion
		}
	}
	if n := len(m.history); m.decisionSendsLeft > 0 && n > 0 && 12+m.history[n-1].Change.bytes() <= room {
		msg.Decisions = m.history[n-1:]
		room -= 12 + m.history[n-1].Change.bytes()
		m.decisionSendsLeft--
	}
	kept := m.reportQueue[:0]
	for _, h := range m.reportQueue {
		if room >= 14 {
			msg.Reports = append(msg.Reports, m.reports[h.subject])
			room -= 14
			h.sendsLeft--
		}
		if h.sendsLeft > 0 {
			kept = append(kept, h)
		}
	}
	m.reportQueue = kept
	if len(msg.Reports) > 0 && len(m.reportQueue) > 1 { // those that found no room come first next time
		cut := min(len(msg.Reports), len(m.reportQueue))
		m.reportQueue = append(slices.Clone(m.reportQueue[cut:]), m.reportQueue[:cut]...)
	}
	return msg
}

// carry tells the first two in the order, who may propose, of those that came to this member and want in. Everybody else hears of them
// as part of the change.
func (m *Member) forwardJoins() {
	if m.view == nil || len(m.sponsored) == 0 || m.now-m.lastJoinForward < m.HeartbeatInterval || m.lastJoinForward > 0 && (m.now-m.lastJoinForward < m.BallotTimeout || m.tokens < -float64(m.BytesPerSecond)) {
		return
	}
	m.lastJoinForward = m.now
	var joins []Peer
	size := 0
	for _, p := range m.pendingJoins {
		if size += p.bytes(); m.sponsored[p.ID] != "" && size <= maxJoinBytes {
			joins = append(joins, p)
		}
	}
	if len(joins) == 0 {
		return
	}
	sent := 0
	for place := range m.view.Members {
		i := (m.firstProposer() + place) % len(m.view.Members)
		if m.down.Has(i) {
			continue
		}
		if i != m.position {
			m.send(m.view.Members[i].Address, &Message{Kind: Heartbeat, Digest: m.digest, PendingJoins: joins})
		}
		if sent++; sent == 2 {
			return
		}
	}
}

// look asks a seed that is not in the view, now and then, whether it knows of another lineage.
func (m *Member) checkOtherLineages() {
	if m.now-m.lastLineageCheck < slowInterval || len(m.Seeds) == 0 {
		return
	}
	m.lastLineageCheck = m.now
	to := m.Seeds[m.rng.IntN(len(m.Seeds))]
	if !slices.ContainsFunc(m.view.Members, func(p Peer) bool { return p.Address == to }) {
		self := m.Self()
		m.send(to, &Message{Kind: Hello, Peer: &self, SeedRank: m.seedRank()})
	}
}

// rank is the place of this member among the seeds, from 1, or 0.
func (m *Member) seedRank() int { return slices.Index(m.Seeds, m.Self().Address) + 1 }

// install makes a view this member's.
func (m *Member) installView(v *View, reason string) {
	old, subjects := m.view, m.subjects
	if m.recentViews = append(m.recentViews, v); len(m.recentViews) > maxRecentViews {
		m.recentViews = slices.Delete(m.recentViews, 0, 1)
	}
	v = m.Shared.canonical(v)
	m.view, m.position = v, v.Index(m.Self().ID)
	m.rings = m.Shared.ringsOf(v, m.Watchers)
	m.reports = make([]Report, len(v.Members))
	for i := range m.reports {
		m.reports[i].Subject = i
	}
	m.digest, m.reportQueue = 0, nil
	m.round, m.promised, m.acceptedBallot, m.acceptedValue, m.roundVersion = nil, 0, 0, nil, 1
	m.down, m.failed = newBits(len(v.Members)), newBits(len(v.Members))
	m.sentRoundVersion = make([]int, len(m.rings.watchers[m.position]))
	m.sentValueBallot, m.sentDeadVersion = make([]uint32, len(m.sentRoundVersion)), make([]int, len(m.sentRoundVersion))
	m.dead, m.rejoining, m.deadVersion = newBits(len(v.Members)), newBits(len(v.Members)), 0
	m.lastChange, m.lastProgress, m.evaluationDue, m.pendingSince = m.now, m.now, true, 0
	m.subjects = map[int]*subject{}
	m.heartbeatTargets = slices.Clone(m.rings.watchers[m.position])
	for _, i := range m.rings.subjects[m.position] {
		s := &subject{lastHeard: m.now}
		if old != nil { // who was silent before is so still, and who is new has yet to hear of it
			if j := old.Index(v.Members[i].ID); j < 0 {
				s.lastHeard += m.SuspicionTimeout
			} else if subjects[j] != nil {
				s = subjects[j]
				s.reportedAt = 0
			}
		}
		m.subjects[i] = s
	}
	m.assignSubstitutes()
	if m.state != Leaving {
		m.state = Inside
	} else {
		m.mergeReport(Report{Subject: m.position, Left: true})
	}
	kept := m.pendingJoins[:0]
	for _, p := range m.pendingJoins {
		if i, there := v.find(p.ID.Name); !there || v.Members[i].ID.Incarnation < p.ID.Incarnation {
			kept = append(kept, p)
		}
	}
	m.pendingJoins, m.decisionSendsLeft, m.lastJoinForward = kept, min(2, len(m.sentRoundVersion)), 0
	m.knownAddresses = m.knownAddresses[:0]
	for _, p := range v.Members {
		m.knownAddresses = append(m.knownAddresses, p.Address)
	}
	for _, p := range kept {
		if i, there := v.find(p.ID.Name); there {
			m.rejoining.Set(i)
			m.deadVersion++
		}
	}
	for _, p := range v.Members {
		if address, ok := m.sponsored[p.ID]; ok {
			m.send(address, m.joinNotice(old))
			delete(m.sponsored, p.ID)
		}
	}
	m.emit(Event{View: v, Reason: reason})
}

// invite tells one that has joined of the view, and of some that have it: whoever let in many cannot serve them all.
func (m *Member) joinNotice(old *View) *Message {
	msg := &Message{Kind: JoinNotice, Hash: m.view.Hash()}
	if old == nil {
		old = m.view
	}
	for range min(4, len(old.Members)) {
		if p := old.Members[m.rng.IntN(len(old.Members))]; m.view.Index(p.ID) >= 0 && p.ID != m.Self().ID {
			msg.PendingJoins = append(msg.PendingJoins, Peer{Address: p.Address})
		}
	}
	return msg
}

// away takes this member out of its view: it is no longer one, and comes back as another incarnation unless it left or was superseded.
func (m *Member) exitView(state State, reason string) {
	m.view, m.rings, m.subjects, m.reports, m.round, m.reportQueue = nil, nil, nil, nil, nil, nil
	m.state, m.outsideSince, m.nextHello, m.chunks, m.pendingJoins, m.fetchSource = state, m.now, m.now, nil, nil, ""
	m.history, m.recentViews, m.lastKnownUpdate = nil, nil, m.now
	clear(m.sponsored)
	if state == Outside {
		m.Config.Self.ID.Incarnation++
	}
	m.emit(Event{Reason: reason})
}

// Down is who is down in the view, as far as this member has heard, by position. It is valid until the next call.
func (m *Member) Down() Bits {
	if m.view == nil {
		return nil
	}
	m.evaluate()
	return m.down
}

// Dump says in one line how the member stands, for whoever looks for a fault.
func (m *Member) Dump() string {
	if m.view == nil {
		return fmt.Sprintf("%v wants %d of %d chunks from %q", m.state, len(m.chunks), m.wantedView.Size, m.fetchSource)
	}
	m.evaluate()
	s := fmt.Sprintf("%v view %d of %d down %d gone %d joins %d touch %v deaf %v doubts %v fill %.0f promised %d accepted %d", m.state, m.view.Number, len(m.view.Members), m.down.Count(), m.failed.Count(),
		len(m.pendingJoins), m.HasQuorum(), m.cannotReceive(), m.suspectsSelf(), m.tokens, m.promised, m.acceptedBallot)
	if r := m.round; r != nil {
		s += fmt.Sprintf(" ballot %d (by %d) gone %d promises %d value %v votes %d of %d", r.Ballot, int(r.Ballot-1)%len(m.view.Members), r.Failed.Count(), r.Promises.Count(), r.Value != nil,
			r.Votes.Count(), quorumSize(len(m.view.Members), r.Failed))
	}
	return s
}
