package member

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testNetwork carries messages between members in an order that the test determines.
type testNetwork struct {
	t        testing.TB
	now      time.Duration
	members  []*Member
	running  []bool
	queue    []inFlight
	views    map[uint64]uint64 // hashes by lineage and number
	disabled Protection
}

type inFlight struct {
	from, to int
	msg      *Message
	refused  bool
}

func memberName(i int) string { return fmt.Sprintf("m%d", i) }

// newTestNetwork returns n members in one view.
func newTestNetwork(t testing.TB, n int, disabled Protection) *testNetwork {
	w := &testNetwork{t: t, now: time.Hour, views: map[uint64]uint64{}, disabled: disabled}
	v := &View{Lineage: 1, Number: 1, LargestSize: n}
	for i := range n {
		w.members = append(w.members, w.newMember(i, 1))
		w.running = append(w.running, true)
		v.Members = append(v.Members, w.members[i].Self())
	}
	for i, m := range w.members {
		m.Bootstrap(v)
		w.drain(i)
	}
	w.queue = nil
	return w
}

func (w *testNetwork) newMember(i int, incarnation uint64) *Member {
	return New(Config{Self: Peer{ID: ID{Name: memberName(i), Incarnation: incarnation}, Address: memberName(i), Number: i}, Seeds: []string{memberName(0), memberName(1)}, FleetSize: 3, Disabled: w.disabled}, w.now, uint64(i)+incarnation*100)
}

// drain queues the messages of a member, and checks that all views of one number are the same.
func (w *testNetwork) drain(i int) {
	messages, events := w.members[i].Drain()
	for _, e := range messages {
		to := slices.IndexFunc(w.members, func(m *Member) bool { return m.Self().Address == e.To })
		w.queue = append(w.queue, inFlight{from: i, to: to, msg: e.Message})
	}
	for _, e := range events {
		if v := e.View; v != nil {
			key := v.Lineage*1000 + v.Number
			if have := w.views[key]; have != 0 && have != v.Hash() {
				w.t.Fatalf("two views %d of one lineage", v.Number)
			}
			w.views[key] = v.Hash()
		}
	}
}

// deliver delivers the k-th queued message.
func (w *testNetwork) deliver(k int) {
	s := w.queue[k]
	w.queue = slices.Delete(w.queue, k, k+1)
	switch {
	case s.refused && w.running[s.to]:
		w.members[s.to].ReceiveRefusal(w.now, w.members[s.from].Self().Address)
	case s.refused:
	case !w.running[s.to]:
		w.queue = append(w.queue, inFlight{from: s.to, to: s.from, refused: true})
	default:
		w.members[s.to].Receive(w.now, w.members[s.from].Self().Address, s.msg)
		w.drain(s.to)
	}
}

func (w *testNetwork) tick(d time.Duration) {
	w.now += d
	for i, m := range w.members {
		if w.running[i] {
			m.Tick(w.now)
			w.drain(i)
		}
	}
}

// run advances time without losses.
func (w *testNetwork) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.tick(50 * time.Millisecond)
		for n := len(w.queue); n > 0; n-- {
			w.deliver(0)
		}
	}
}

// fingerprint identifies all state that determines what may follow, except for clocks.
func (w *testNetwork) fingerprint() string {
	var b strings.Builder
	for i, m := range w.members {
		fmt.Fprintf(&b, "%v %s %v %x|", w.running[i], m.Dump(), m.reports, m.dead)
		for j := range w.members {
			if s := m.subjects[j]; s != nil {
				fmt.Fprintf(&b, "%d:%v/%d ", j, (w.now - s.lastHeard).Round(500*time.Millisecond), s.refusals)
			}
		}
		if r := m.round; r != nil {
			fmt.Fprintf(&b, "%+v %x %x", r.Value, r.Promises, r.Votes)
		}
	}
	var messages []string
	for _, s := range w.queue {
		messages = append(messages, fmt.Sprintf("%d>%d %v %+v", s.from, s.to, s.refused, messageSummary(s.msg)))
	}
	slices.Sort(messages)
	return b.String() + strings.Join(messages, ";")
}

func messageSummary(m *Message) string {
	if m == nil {
		return ""
	}
	s := fmt.Sprintf("%d %d %v %x", m.Kind, m.View, m.Reports, m.Dead)
	if r := m.Round; r != nil {
		s += fmt.Sprintf(" %d %x %x %v %d", r.Ballot, r.Promises, r.Votes, r.Value, r.AcceptedBallot)
	}
	return s
}

// event is a step of the exploration.
type event struct{ kind, index int }

const (
	deliverMessage = iota
	dropMessage
	advanceShort // 600 ms: more than one heartbeat interval
	advanceLong  // 3 s
	killProcess
	pauseProcess // the others advance 9 s while one process is paused; nothing is delivered
)

func (w *testNetwork) apply(a event) {
	switch a.kind {
	case deliverMessage:
		w.deliver(a.index)
	case dropMessage:
		w.queue = slices.Delete(w.queue, a.index, a.index+1)
	case advanceShort:
		w.tick(600 * time.Millisecond)
	case advanceLong:
		w.tick(time.Second)
		w.tick(time.Second)
		w.tick(time.Second)
	case killProcess:
		w.running[a.index] = false
	case pauseProcess:
		w.running[a.index] = false
		for range 9 {
			w.tick(time.Second)
		}
		w.running[a.index] = true
	}
}

// possibleEvents returns the events that can follow. Of the messages between two members only the first can be delivered or
// dropped: the network keeps their order here, unlike in the random test below.
func (w *testNetwork) possibleEvents() (events []event) {
	seen := map[string]bool{}
	for k, s := range w.queue {
		if pair := fmt.Sprint(s.from, s.to, s.refused); !seen[pair] {
			seen[pair] = true
			events = append(events, event{deliverMessage, k}, event{dropMessage, k})
		}
	}
	events = append(events, event{advanceShort, 0}, event{advanceLong, 0})
	down := 0
	for _, up := range w.running {
		if !up {
			down++
		}
	}
	for i := range w.members {
		if w.running[i] && down < len(w.members)-1 {
			events = append(events, event{killProcess, i})
		}
	}
	if len(w.queue) == 0 {
		for i := range w.members {
			if w.running[i] {
				events = append(events, event{pauseProcess, i})
			}
		}
	}
	return events
}

// explore runs all sequences of events up to a depth, breadth first, and visits equal states once. Each state is reached again by
// its events, as members cannot be copied.
func explore(t testing.TB, n, depth int, disabled Protection, check func(network *testNetwork, path []event)) (states int) {
	seen := map[string]bool{}
	level := [][]event{nil}
	for range depth {
		var next [][]event
		for _, path := range level {
			network := newTestNetwork(t, n, disabled)
			for _, a := range path {
				network.apply(a)
			}
			for _, a := range network.possibleEvents() {
				successor := newTestNetwork(t, n, disabled)
				for _, b := range path {
					successor.apply(b)
				}
				successor.apply(a)
				if s := successor.fingerprint(); !seen[s] {
					seen[s] = true
					extended := append(slices.Clone(path), a)
					check(successor, extended)
					next = append(next, extended)
				}
			}
		}
		level = next
	}
	return len(seen)
}

// Explores all orders of deliveries, losses, pauses, deaths and time: for three members to depth four, for four members to depth
// three. No two members may ever hold different views of one number, and afterwards all live members must agree again on a view
// that includes them.
func TestAllEventOrdersConverge(t *testing.T) {
	depth := 4
	if raceEnabled { // a single goroutine: builds without the race detector go deeper
		depth = 3
	}
	for _, c := range []struct{ n, depth int }{{3, depth}, {4, depth - 1}} {
		states := explore(t, c.n, c.depth, 0, func(w *testNetwork, path []event) {
			w.run(35 * time.Second) // a removed member waits for 5 s, and 10 s the second time
			var first *View
			for i, m := range w.members {
				if !w.running[i] {
					continue
				}
				v := m.View()
				if v == nil || first != nil && v.Hash() != first.Hash() {
					t.Fatalf("%d members, after %v: member %d: %s", c.n, path, i, m.Dump())
				}
				first = v
			}
		})
		t.Logf("%d members: %d states", c.n, states)
	}
}

// The exploration must find the faults that arise without a protection, or it would prove nothing.
func TestExplorationDetectsDisabledProtections(t *testing.T) {
	for name, disabled := range map[string]Protection{"one report suffices": Watermarks, "no refutation": Refutation} {
		found := false
		explore(t, 4, 2, disabled, func(w *testNetwork, path []event) {
			if found {
				return
			}
			// A link is cut in one direction: member 1 does not receive from member 0, all others do.
			for range 300 {
				w.tick(50 * time.Millisecond)
				for n := len(w.queue); n > 0; n-- {
					if s := w.queue[0]; s.from == 0 && s.to == 1 {
						w.queue = w.queue[1:]
						continue
					}
					w.deliver(0)
				}
			}
			for i, m := range w.members {
				if i != 0 && w.running[i] && w.running[0] && m.view != nil && (m.Down().Has(0) || m.view.Index(w.members[0].Self().ID) < 0) || w.running[0] && w.members[0].view != nil && w.members[0].reports[0].TimedOut != 0 && disabled == Refutation {
					found = true
				}
			}
		})
		if !found {
			t.Errorf("%s: fault not found", name)
		}
	}
}

// Goes beyond the depth of the exploration with random events in any order, including duplicated and delayed messages.
//
// The seed is fixed, so that all runs give the same result; -rapid.seed and -rapid.checks explore further.
func TestRandomEventsConverge(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		flag.Set("rapid.seed", "7")
	}
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(r, "members")
		w := newTestNetwork(t, n, 0)
		incarnation := uint64(1)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 7).Draw(r, "what") {
			case 0, 1, 2:
				w.run(time.Duration(rapid.IntRange(1, 40).Draw(r, "time")) * 50 * time.Millisecond)
			case 3:
				if len(w.queue) > 0 {
					w.deliver(rapid.IntRange(0, len(w.queue)-1).Draw(r, "message"))
				}
			case 4:
				w.tick(time.Duration(rapid.IntRange(1, 9000).Draw(r, "late")) * time.Millisecond)
			case 5:
				if len(w.queue) > 0 { // duplicate
					k := rapid.IntRange(0, len(w.queue)-1).Draw(r, "message")
					w.queue = append(w.queue, w.queue[k])
				}
			case 6:
				i := rapid.IntRange(0, n-1).Draw(r, "who")
				w.running[i] = false
			case 7:
				i := rapid.IntRange(0, n-1).Draw(r, "who")
				if !w.running[i] {
					incarnation += 1000 // like a clock: higher than the incarnations of its own rejoins
					w.members[i], w.running[i] = w.newMember(i, incarnation), true
				}
			}
			if len(w.queue) > 400 {
				w.queue = w.queue[200:]
			}
		}
		for i := range w.members {
			if !w.running[i] {
				incarnation += 1000
				w.members[i], w.running[i] = w.newMember(i, incarnation), true
			}
		}
		w.queue = nil
		w.run(8 * time.Minute) // the longest rejoin delay is five minutes
		var first *View
		for i, m := range w.members {
			if v := m.View(); v == nil || len(v.Members) != n || first != nil && v.Hash() != first.Hash() {
				for i, m := range w.members {
					t.Logf("%d, %v, %s", i, m.Self().ID, m.Dump())
				}
				t.Fatalf("member %d of %d has a different or incomplete view", i, n)
			} else {
				first = v
			}
		}
	})
}

// Two processes of one name run at once, as in an upgrade: the later one replaces the earlier, which reports itself as superseded
// and says hello rarely; when the later one leaves, the earlier is admitted again.
func TestLaterIncarnationSupersedesEarlier(t *testing.T) {
	w := newTestNetwork(t, 3, 0)
	next := New(Config{Self: Peer{ID: ID{Name: memberName(2), Incarnation: 1000}, Address: "m2'", Number: 2}, Seeds: []string{memberName(0), memberName(1)}, FleetSize: 3}, w.now, 77)
	w.members, w.running = append(w.members, next), append(w.running, true)
	w.run(8 * time.Second)
	if next.State() != Inside || w.members[2].State() != Superseded || len(next.View().Members) != 3 || w.members[2].HasQuorum() {
		t.Fatalf("new: %s\nold: %s", next.Dump(), w.members[2].Dump())
	}
	v := next.View().Number
	w.run(10 * time.Second)
	if next.View().Number != v {
		t.Errorf("the two processes keep replacing each other: view %d after %d", next.View().Number, v)
	}
	next.Leave(w.now)
	w.run(20 * time.Second)
	if next.State() != Left || w.members[2].State() != Inside {
		t.Errorf("new: %s\nold: %s", next.Dump(), w.members[2].Dump())
	}
}

// A departing member is removed at once and may rejoin without delay; the last two members can agree on it as well.
func TestLeavingMemberIsRemovedAndMayRejoinAtOnce(t *testing.T) {
	w := newTestNetwork(t, 3, 0)
	for _, left := range []int{2, 1} {
		w.members[left].Leave(w.now)
		w.run(3 * time.Second)
		if w.members[left].State() != Left || len(w.members[0].View().Members) != left {
			t.Fatalf("member %d: %s; remaining member: %s", left, w.members[left].Dump(), w.members[0].Dump())
		}
		w.running[left] = false
	}
	w.members[1], w.running[1] = w.newMember(1, 50), true
	w.run(4 * time.Second)
	if len(w.members[0].View().Members) != 2 {
		t.Errorf("not admitted after its return: %s", w.members[0].Dump())
	}
}

// A join needs the sender's own address and the token sent to that address.
func TestJoinRequiresSenderAddressAndToken(t *testing.T) {
	w := newTestNetwork(t, 3, 0)
	self := Peer{ID: ID{Name: "m9", Incarnation: 1}, Address: "elsewhere"}
	for _, m := range []*Message{{Kind: Hello, From: self.ID, Peer: &self}, {Kind: Join, From: self.ID, Peer: &self, Token: 5}, {Kind: Join, From: self.ID, Peer: &self, Token: w.members[0].joinToken("elsewhere", self.ID)}} {
		w.members[0].Receive(w.now, "m9", m)
		if out, _ := w.members[0].Drain(); len(out) != 0 {
			t.Errorf("%d answered with %+v", m.Kind, out[0].Message)
		}
	}
	if n := w.members[0].Dropped().Malformed; n != 3 || len(w.members[0].pendingJoins) != 0 {
		t.Errorf("%d messages dropped, %d joins pending", n, len(w.members[0].pendingJoins))
	}
}

// A round is sent even if many join and an accepted value of an earlier ballot holds other joins: both lists together exceed a
// datagram.
func TestRoundWithLongJoinListsFitsDatagram(t *testing.T) {
	w := newTestNetwork(t, 7, 0)
	m := w.members[0]
	lists := [2]ViewChange{}
	for i := range lists {
		for size, j := 0, 0; size < maxJoinBytes-60; j++ {
			p := Peer{ID: ID{Name: fmt.Sprintf("dispatcher-%d-%04d", i, j), Incarnation: 1}, Address: fmt.Sprintf("10.0.%d.%d:7946", i, j)}
			lists[i].Joined = append(lists[i].Joined, p)
			size += p.bytes()
		}
	}
	m.round = &Round{Ballot: 8, Failed: newBits(7), Promises: newBits(7), Votes: newBits(7), AcceptedBallot: 1, AcceptedValue: &lists[0], Value: &lists[1]}
	msg := m.piggyback(&Message{Kind: Pong}, -1)
	if msg.Round == nil || !lists[1].equal(msg.Round.Value) || !msg.Round.unpack(7).isValid(7) || msg.EncodedSize() > MaxBytes {
		t.Errorf("round %+v in %d bytes", msg.Round, msg.EncodedSize())
	}
}
