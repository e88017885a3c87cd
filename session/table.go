package session

import (
	"slices"
	"strings"
	"time"
)

const (
	// DefaultExpiry is the default of Options.DefaultExpiry.
	DefaultExpiry = time.Second
	// DefaultPauseThreshold is the default of Options.PauseThreshold.
	DefaultPauseThreshold = 300 * time.Millisecond
	// maxEndedIncarnations is the number of ended incarnations remembered per node, so that delayed frames do not reopen their sessions.
	maxEndedIncarnations = 8
)

// Options configures a Table.
type Options struct {
	// Expiry is the time without heartbeats after which a session ends, by role.
	Expiry map[uint8]time.Duration
	// DefaultExpiry applies to roles without an entry in Expiry; 0 means DefaultExpiry.
	DefaultExpiry time.Duration
	// PauseThreshold is the gap between ticks above which the process that owns the table is assumed to have been paused; 0 means
	// DefaultPauseThreshold.
	PauseThreshold time.Duration
}

// entry is a live session.
type entry struct {
	node     Node
	deadline time.Duration
}

// Table is the table of sessions. It is not safe for concurrent use.
type Table struct {
	options  Options
	sessions map[string]*entry
	// ended holds, for each key, the incarnations that are known to have stopped, the latest last.
	ended map[string][]uint64
	// lapsed holds, for each key without a session, the incarnation of the last session if that may still run.
	lapsed  map[string]uint64
	version uint64
	// ticked is set once lastTick holds the time of the last call that advanced the clock.
	ticked   bool
	lastTick time.Duration
}

// New returns an empty table.
func New(o Options) *Table {
	if o.DefaultExpiry <= 0 {
		o.DefaultExpiry = DefaultExpiry
	}
	if o.PauseThreshold <= 0 {
		o.PauseThreshold = DefaultPauseThreshold
	}
	return &Table{options: o, sessions: map[string]*entry{}, ended: map[string][]uint64{}, lapsed: map[string]uint64{}}
}

// Renew processes a heartbeat and returns the resulting events, none if it only renews the session. Heartbeats of an
// incarnation that has departed or was replaced are rejected. An incarnation whose session has expired opens a new one.
func (t *Table) Renew(now time.Duration, n Node) (events []Event, accepted bool) {
	t.Tick(now)
	if slices.Contains(t.ended[n.Key], n.Incarnation) {
		return nil, false
	}
	e, ok := t.sessions[n.Key]
	if ok && e.node.Incarnation != n.Incarnation {
		events = append(events, t.endSession(e.node, Replaced))
		ok = false
	}
	if !ok {
		e = t.openSession(n)
		events = append(events, t.event(Event{Kind: Opened, Node: n}))
	} else if n.Leaving = n.Leaving || e.node.Leaving; e.node != n {
		e.node = n
		events = append(events, t.event(Event{Kind: Changed, Node: n}))
	}
	e.deadline = max(e.deadline, now+t.expiry(n.Role))
	return events, true
}

// Leave processes the report of a process that its planned shutdown has begun, or that it has stopped.
func (t *Table) Leave(now time.Duration, key string, incarnation uint64, stopped bool) []Event {
	t.Tick(now)
	e, ok := t.sessions[key]
	ok = ok && e.node.Incarnation == incarnation
	switch {
	case ok && stopped:
		return []Event{t.endSession(e.node, Departed)}
	case stopped:
		t.recordEnded(key, incarnation)
	case ok && !e.node.Leaving:
		e.node.Leaving = true
		return []Event{t.event(Event{Kind: Changed, Node: e.node})}
	}
	return nil
}

// Tick advances the clock. If more than PauseThreshold has passed since the last call that advanced it, the process that owns
// the table was paused and may have missed heartbeats: the gap is added to all deadlines, and paused is true.
func (t *Table) Tick(now time.Duration) (paused bool) {
	gap := now - t.lastTick
	paused = t.ticked && gap > t.options.PauseThreshold
	if paused {
		for _, e := range t.sessions {
			e.deadline += gap
		}
	}
	if !t.ticked || gap > 0 {
		t.lastTick = now
	}
	t.ticked = true
	return paused
}

// Expired returns the keys of the sessions that are past their deadline, sorted.
func (t *Table) Expired(now time.Duration) []string {
	t.Tick(now)
	var keys []string
	for key, e := range t.sessions {
		if now >= e.deadline {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ExpiringWithin returns the nodes of a role, sorted by key, whose sessions are past their deadline or will be unless a heartbeat arrives within
// the given time.
func (t *Table) ExpiringWithin(now time.Duration, role uint8, within time.Duration) []Node {
	t.Tick(now)
	var nodes []Node
	for _, e := range t.sessions {
		if e.node.Role == role && now+within >= e.deadline {
			nodes = append(nodes, e.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.Key, b.Key) })
	return nodes
}

// Expire ends the sessions that are past their deadline. Their incarnations may open new sessions.
func (t *Table) Expire(now time.Duration) []Event {
	var events []Event
	for _, key := range t.Expired(now) {
		events = append(events, t.endSession(t.sessions[key].node, Expired))
	}
	return events
}

// ConnectionRefused ends the session of an incarnation whose address refuses connections. A running process does not refuse them, but the network
// may do so on its behalf, so as after an expiry the incarnation may open a new session.
func (t *Table) ConnectionRefused(now time.Duration, key string, incarnation uint64) []Event {
	t.Tick(now)
	if !t.HasSession(key, incarnation) {
		return nil
	}
	return []Event{t.endSession(t.sessions[key].node, Refused)}
}

// HasSession reports whether an incarnation has a session.
func (t *Table) HasSession(key string, incarnation uint64) bool {
	e, ok := t.sessions[key]
	return ok && e.node.Incarnation == incarnation
}

// ResetDeadlines restarts all deadlines at now, for example after the table has moved to another process.
func (t *Table) ResetDeadlines(now time.Duration) {
	for _, e := range t.sessions {
		e.deadline = now + t.expiry(e.node.Role)
	}
	t.ticked, t.lastTick = true, now
}

// Get returns the node of a live session.
func (t *Table) Get(key string) (Node, bool) {
	if e, ok := t.sessions[key]; ok {
		return e.node, true
	}
	return Node{}, false
}

// Snapshot returns the nodes of all live sessions, ordered by key.
func (t *Table) Snapshot() []Node {
	nodes := make([]Node, 0, len(t.sessions))
	for _, e := range t.sessions {
		nodes = append(nodes, e.node)
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return nodes
}

// Load replaces all sessions by sessions of the given nodes, with deadlines that start at now. Incarnations recorded as ended
// stay recorded, except those of the given nodes.
func (t *Table) Load(now time.Duration, nodes []Node) {
	clear(t.sessions)
	clear(t.lapsed)
	for _, n := range nodes {
		t.sessions[n.Key] = &entry{node: n}
		t.ended[n.Key] = slices.DeleteFunc(t.ended[n.Key], func(i uint64) bool { return i == n.Incarnation })
	}
	t.version++
	t.ResetDeadlines(now)
}

// Version is the number of events and loads so far.
func (t *Table) Version() uint64 { return t.version }

// EarliestDeadline returns the earliest deadline; the result is false if there are no sessions.
func (t *Table) EarliestDeadline() (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, e := range t.sessions {
		if !found || e.deadline < first {
			first, found = e.deadline, true
		}
	}
	return first, found
}

func (t *Table) expiry(role uint8) time.Duration {
	if d := t.options.Expiry[role]; d > 0 {
		return d
	}
	return t.options.DefaultExpiry
}

// openSession opens the session of an incarnation. A different incarnation of the node whose session lapsed before has certainly stopped.
func (t *Table) openSession(n Node) *entry {
	if old, ok := t.lapsed[n.Key]; ok && old != n.Incarnation {
		t.recordEnded(n.Key, old)
	}
	delete(t.lapsed, n.Key)
	e := &entry{node: n}
	t.sessions[n.Key] = e
	return e
}

// event counts an event and returns it.
func (t *Table) event(e Event) Event {
	t.version++
	return e
}

// endSession removes the session of a node. If the cause implies that the process has stopped, its incarnation is recorded as ended.
func (t *Table) endSession(n Node, cause Cause) Event {
	delete(t.sessions, n.Key)
	if cause.mayReturn() {
		t.lapsed[n.Key] = n.Incarnation
	} else {
		t.recordEnded(n.Key, n.Incarnation)
	}
	return t.event(Event{Kind: Ended, Node: n, Cause: cause})
}

func (t *Table) recordEnded(key string, incarnation uint64) {
	if slices.Contains(t.ended[key], incarnation) {
		return
	}
	list := append(t.ended[key], incarnation)
	t.ended[key] = list[max(0, len(list)-maxEndedIncarnations):]
}
