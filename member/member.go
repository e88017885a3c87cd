// Package member maintains an agreed view of which processes of a fleet are alive.
//
// A Member does no I/O, reads no clock and starts no goroutine: it is given messages, times and a seed, and returns the messages
// to send and the changes of its view. Its host calls Tick at least every Config.TickInterval and passes on every received
// datagram. docs/design-membership.md describes the protocol and its guarantees.
package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	highWatermark      = 0.7 // share of a member's watchers, not down themselves, whose reports make it down
	lowWatermark       = 0.3 // share whose reports suggest that the member and its other watchers are partitioned
	burstSeconds       = 10  // seconds of the byte rate that may be used at once, as changes are rare
	refusalsForProof   = 2   // refused pings that prove a failure
	selfSuspicionShare = 0.6 // share of silent subjects above which a watcher suspects itself
	maxJoinBytes       = 800 // joins in one change: with votes and the other fields they fit a datagram
	maxHistory         = 32  // decisions kept for members that are behind
	maxRecentViews     = 8   // views kept for members that are fetching one
	maxBackoff         = 5 * time.Minute
	removalMemory      = 10 * time.Minute
	helloInterval      = 400 * time.Millisecond
	maxHelloInterval   = 3 * time.Second
	slowInterval       = 5 * time.Second // checks for other lineages; hellos and pings that are rarely answered
)

// Envelope is a message with its destination address.
type Envelope struct {
	To      string
	Message *Message
}

// Event reports a change of the view to the host.
type Event struct {
	View   *View // the new view; nil: the member left its view
	Reason string
}

// subject is the state that a watcher keeps of a member it watches.
type subject struct {
	lastHeard       time.Duration
	lastPing        time.Duration
	refusals        int           // pings since lastHeard that were answered by "port unreachable"
	reportedAt      time.Duration // when this member last reported it; 0: not since lastHeard
	refutations     int           // number of reports that were refuted
	suppressedUntil time.Duration // no report before this time
}

// State is the membership state of this process.
type State uint8

const (
	Outside    State = iota // not in a view, wants to join
	Inside                  // in the view
	Leaving                 // in the view, has announced its departure
	Left                    // departed as announced
	Superseded              // replaced by another process of the same name; says hello rarely, and is admitted once that process has departed
)

func (s State) String() string {
	return [...]string{"outside", "inside", "leaving", "left", "superseded"}[s]
}

// Member is one member of the fleet. It is not safe for concurrent use.
type Member struct {
	Config
	rng      *rand.Rand
	state    State
	now      time.Duration
	lastTick time.Duration
	outbox   []Envelope
	events   []Event
	tokens   float64 // bytes in the token bucket of the byte rate

	view                *View
	position            int // of this member in the view
	rings               *rings
	subjects            map[int]*subject
	watcherBits         map[int]uint16 // by subject: this member's bits in a report
	heartbeatTargets    []int          // the watchers, or their substitutes
	reports             []Report       // by position
	digest              uint32
	reportQueue         []queuedReport // reports to be gossiped
	lastRequeue         time.Duration  // when all reports were last queued again
	lastChange          time.Duration  // of reports or joins
	pendingSince        time.Duration  // start of the wait for the pending change; 0: nothing to change
	evaluationDue       bool           // reports or joins have changed since evaluate
	down                Bits
	failed              Bits
	possiblyPartitioned int           // members that may be on the other side of a partition
	downVoters          int           // members that are down only because they leave or are replaced, and still vote
	dead                Bits          // proven dead by this member's reports or by others
	rejoining           Bits          // members of which a later incarnation requests to join
	deadVersion         int           // counts changes of dead and rejoining
	sentDeadVersion     []int         // by watcher: the last deadVersion sent
	pendingJoins        []Peer        // by name
	lastJoinForward     time.Duration // when sponsored joins were last forwarded to the proposers

	round            *Round
	promised         uint32
	acceptedBallot   uint32
	acceptedValue    *ViewChange
	lastProgress     time.Duration // of the round
	roundVersion     int           // counts changes of the local copy of the round
	sentRoundVersion []int         // by watcher: the last roundVersion sent
	sentValueBallot  []uint32      // by watcher: the last ballot whose value was sent
	lastValueRequest time.Duration // when the value of a round was last requested

	history           []Decision // newest last
	recentViews       []*View    // newest last: other members may still be fetching one of them
	decisionSendsLeft int        // how often the last decision is still to be sent unrequested
	nextTarget        int        // index into heartbeatTargets
	nextHeartbeat     time.Duration
	lastContact       time.Duration // last sign of life of any member
	lastLineageCheck  time.Duration

	// State while outside a view.
	outsideSince       time.Duration
	nextHello          time.Duration
	lowerSeedOutsideAt time.Duration            // when a seed of lower rank was last heard of that is outside too
	knownAddresses     []string                 // members of the last view, or named in redirects since
	lastKnownUpdate    time.Duration            // when an address was last added
	refusedSeeds       map[string]time.Duration // by seed: assumed absent until this time
	chunks             []*Chunk                 // of the view that is being fetched
	wantedView         Message                  // the message that announced that view
	fetchSource        string
	lastChunkRequest   time.Duration
	lastChunk          time.Duration // when a chunk last arrived
	chunkSources       []string      // addresses of other members that have the view

	tokenSecret uint64
	sponsored   map[ID]string // joiners that this member admits, to be notified when they are in the view
	removals    map[string]*removalRecord
	dropped     Dropped
}

// Dropped counts rejected messages.
type Dropped struct{ Foreign, Malformed int }

type queuedReport struct {
	subject   int
	sendsLeft int
}

// removalRecord counts the recent removals of a name.
type removalRecord struct {
	count       int
	last        time.Duration
	rejoinAfter time.Duration
}

// New returns a member that is outside and wants to join.
func New(c Config, now time.Duration, seed uint64) *Member {
	m := &Member{Config: c.WithDefaults(0), rng: rand.New(rand.NewPCG(seed, 2)), now: now, lastTick: now, outsideSince: now, lastContact: now,
		sponsored: map[ID]string{}, refusedSeeds: map[string]time.Duration{}, removals: map[string]*removalRecord{}}
	m.tokenSecret = m.rng.Uint64()
	m.tokens = burstSeconds * float64(m.BytesPerSecond)
	m.nextHello = now
	return m
}

// Bootstrap installs an initial view that all of its members start with. It is used by simulations and tests.
func (m *Member) Bootstrap(v *View) {
	if m.state == Outside && v.Index(m.Self().ID) >= 0 {
		m.installView(v, "begun")
	}
}

// View returns the current view, or nil while outside.
func (m *Member) View() *View { return m.view }

// State returns the membership state.
func (m *Member) State() State { return m.state }

// Self returns this member's current identity: its incarnation grows when it rejoins.
func (m *Member) Self() Peer { return m.Config.Self }

// Dropped returns the counts of rejected messages.
func (m *Member) Dropped() Dropped { return m.dropped }

// HasQuorum reports whether the member is in a view and in contact with a quorum of it, and its lineage once had more than half of
// the fleet. A member that was partitioned at its start may have founded a lineage of its own.
func (m *Member) HasQuorum() bool {
	if m.view == nil || 2*m.view.LargestSize <= m.FleetSize {
		return false
	}
	m.evaluate()
	return !m.lacksQuorum() && !m.cannotReceive()
}

// PeerStatus is what this member has recorded of another one.
type PeerStatus struct {
	Peer
	Down       bool
	Failed     bool
	TimedOutBy []string // names of watchers that report it as timed out
	RefusedBy  []string
	SinceHeard time.Duration // time since its last sign of life; negative: not watched by this member
	Watchers   int
}

// Members returns the status of all members of the view.
func (m *Member) Members() (all []PeerStatus) {
	if m.view == nil {
		return nil
	}
	m.evaluate()
	for i, p := range m.view.Members {
		status := PeerStatus{Peer: p, Down: m.down.Has(i), Failed: m.failed.Has(i), SinceHeard: -1, Watchers: len(m.rings.watchers[i])}
		if watched := m.subjects[i]; watched != nil {
			status.SinceHeard = m.now - watched.lastHeard
		}
		for bit, w := range m.rings.watchers[i] {
			if m.reports[i].TimedOut>>bit&1 != 0 {
				status.TimedOutBy = append(status.TimedOutBy, m.view.Members[w].ID.Name)
			}
			if m.reports[i].Refused>>bit&1 != 0 {
				status.RefusedBy = append(status.RefusedBy, m.view.Members[w].ID.Name)
			}
		}
		all = append(all, status)
	}
	return all
}

// Drain returns and clears the messages to send and the events.
func (m *Member) Drain() ([]Envelope, []Event) {
	messages, events := m.outbox, m.events
	m.outbox, m.events = nil, nil
	return messages, events
}

func (m *Member) emit(e Event) { m.events = append(m.events, e) }

// send queues a message. The token bucket may go below zero: required messages are sent in any case.
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

// Tick advances time. A late call shows that this process was paused, and cannot tell whether others were silent.
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

// Receive handles a message from an address.
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
		for _, p := range msg.Peers {
			if m.view == nil && len(m.knownAddresses) < 8 && !slices.Contains(m.knownAddresses, p.Address) && p.Address != m.Self().Address {
				m.knownAddresses, m.lastKnownUpdate = append(m.knownAddresses, p.Address), m.now
			}
		}
	default:
		m.dropped.Malformed++
	}
}

// ReceiveRefusal handles a "port unreachable": nothing listens at the address.
func (m *Member) ReceiveRefusal(now time.Duration, address string) {
	m.now = max(m.now, now)
	if m.IgnoreRefusals {
		return
	}
	// Outside, an address that refused is not tried again for a while.
	if m.view == nil {
		if slices.Contains(m.Seeds, address) {
			m.refusedSeeds[address] = m.now + 2*slowInterval
		}
		m.knownAddresses = slices.DeleteFunc(m.knownAddresses, func(k string) bool { return k == address })
		return
	}
	for i, s := range m.subjects {
		if m.view.Members[i].Address == address {
			m.lastContact = m.now // both directions work
		}
		if m.view.Members[i].Address == address && s.lastPing > s.lastHeard && m.now-s.lastHeard > m.PingAfter {
			s.refusals++
		}
	}
}

// Leave announces the end of this process. It may end once it is Left, or after a short time anyway.
func (m *Member) Leave(now time.Duration) {
	m.now = max(m.now, now)
	switch m.state {
	case Inside:
		m.state = Leaving
		report := m.reports[m.position]
		report.Left = true
		m.mergeReport(report)
	case Outside:
		m.state = Left
	}
}

// checkOtherLineages sends a hello to a seed outside the view from time to time, to discover other lineages.
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

// seedRank returns the rank of this member among the seeds, from 1; 0: it is not a seed.
func (m *Member) seedRank() int { return slices.Index(m.Seeds, m.Self().Address) + 1 }

// Down returns the members that are down according to this member, by position. It is valid until the next call.
func (m *Member) Down() Bits {
	if m.view == nil {
		return nil
	}
	m.evaluate()
	return m.down
}

// Dump returns a one-line summary for debugging.
func (m *Member) Dump() string {
	if m.view == nil {
		return fmt.Sprintf("%v fetches %d chunks of a view of %d from %q", m.state, len(m.chunks), m.wantedView.Size, m.fetchSource)
	}
	m.evaluate()
	s := fmt.Sprintf("%v view %d of %d down %d failed %d joins %d has_quorum %v cannot_receive %v suspects_self %v tokens %.0f promised %d accepted %d", m.state, m.view.Number, len(m.view.Members), m.down.Count(), m.failed.Count(),
		len(m.pendingJoins), m.HasQuorum(), m.cannotReceive(), m.suspectsSelf(), m.tokens, m.promised, m.acceptedBallot)
	if r := m.round; r != nil {
		s += fmt.Sprintf(" ballot %d (by %d) failed %d promises %d value %v votes %d of %d", r.Ballot, int(r.Ballot-1)%len(m.view.Members), r.Failed.Count(), r.Promises.Count(), r.Value != nil,
			r.Votes.Count(), quorumSize(len(m.view.Members), r.Failed))
	}
	return s
}
