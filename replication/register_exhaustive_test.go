package replication

import (
	"slices"
	"testing"
)

// explorer is a model checker: it explores all reachable states of candidates and witnesses with epochs up to a bound, using the code of
// Witness and ballot. With one more epoch in each case it takes minutes: 5 to 18 million states, which passed in one manual run.
//
// In a step, a candidate starts a ballot of any epoch up to the bound, has a witness promise, proposes, or has a witness accept. Requests of
// a process to its own witness are part of the same step, as in Elector. Lost and delayed messages, candidates that stop and partly installed
// views are all orders of these steps. Only a primary whose view is decided may propose another set of witnesses.
//
// It checks that of two decided views, the one with the higher epoch is based, directly or not, on the other (decided chain). A primary of
// the group is a member of the view before it, so the records follow the same chain.
type explorer struct {
	t         *testing.T
	processes []MemberID
	maxEpoch  uint8
	founding  bool
	proposals []proposed // index zero is no view
	index     map[proposalKey]uint16
}

const maxProcesses = 4

type proposalKey struct {
	epoch, primary, witnesses uint8
	parent                    uint16
}

type proposed struct {
	proposalKey
	view ControlView
}

// exploredState is the state of all processes and witnesses. Processes, epochs and proposals are small numbers; sets are bit masks.
type exploredState struct {
	registers [maxProcesses]struct {
		promised, candidate uint8
		installed           uint16
	}
	ballots   [maxProcesses]exploredBallot
	decidedBy [maxProcesses]uint16 // the decided view that a process is primary of
	accepted  [maxAccepted]struct {
		view uint16
		by   uint8
	}
}

type exploredBallot struct {
	base, view                uint16
	epoch, promised, accepted uint8
}

const maxAccepted = 6

func newExplorer(t *testing.T, processes int, maxEpoch uint8, founding bool) *explorer {
	x := &explorer{t: t, maxEpoch: maxEpoch, founding: founding, proposals: make([]proposed, 1), index: map[proposalKey]uint16{}}
	for i := range processes {
		x.processes = append(x.processes, string(rune('a'+i)))
	}
	return x
}

func (x *explorer) members(mask uint8) []MemberID {
	var ids []MemberID
	for i, id := range x.processes {
		if mask>>i&1 == 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

func (x *explorer) number(id MemberID) int { return slices.Index(x.processes, id) }

func (x *explorer) propose(key proposalKey) uint16 {
	if i, ok := x.index[key]; ok {
		return i
	}
	i := uint16(len(x.proposals))
	x.index[key] = i
	members := x.members(key.witnesses)
	x.proposals = append(x.proposals, proposed{proposalKey: key, view: ControlView{
		View:      View{Epoch: uint64(key.epoch), Primary: x.processes[key.primary], Members: members},
		Witnesses: members,
	}})
	return i
}

func (x *explorer) indexOf(v ControlView, s *exploredState) uint16 {
	for i, p := range x.proposals {
		if i > 0 && p.view.Epoch == v.Epoch && p.view.Primary == v.Primary && slices.Equal(p.view.Witnesses, v.Witnesses) {
			for _, a := range s.accepted {
				if int(a.view) == i {
					return uint16(i)
				}
			}
		}
	}
	if v.Epoch != 0 {
		x.t.Fatalf("view %v is installed, but no witness has accepted it", v)
	}
	return 0
}

// witness returns the witness of a process in a state.
func (x *explorer) witness(s *exploredState, w int) *Witness {
	g := s.registers[w]
	return &Witness{Register: Register{
		Promised: uint64(g.promised), Candidate: x.processes[g.candidate],
		Installed: x.proposals[g.installed].view, Founder: x.founding,
	}}
}

func (x *explorer) saveWitness(s *exploredState, w int, from *Witness) {
	g := &s.registers[w]
	g.promised = uint8(from.Register.Promised)
	g.candidate = uint8(max(0, x.number(from.Register.Candidate)))
	g.installed = x.indexOf(from.Register.Installed, s)
}

// ballot returns the ballot of a process in a state.
func (x *explorer) ballot(s *exploredState, p int) *ballot {
	from := s.ballots[p]
	b := newBallot(uint64(from.epoch), x.proposals[from.base].view, len(x.processes))
	for i, id := range x.processes {
		if from.promised>>i&1 == 1 {
			b.promised[id] = true
		}
		if from.accepted>>i&1 == 1 {
			b.accepted[id] = true
		}
	}
	b.view = x.proposals[from.view].view
	return &b
}

// successors calls f with every state that is reachable in one step.
func (x *explorer) successors(s exploredState, f func(exploredState)) {
	for p := range x.processes {
		x.begin(s, p, f)
		b := s.ballots[p]
		switch {
		case b.epoch == 0:
		case b.view == 0:
			for w := range x.processes {
				if b.promised>>w&1 == 0 {
					x.prepare(s, p, w, f)
				}
			}
			if x.ballot(&s, p).isPrepared() {
				x.proposeViews(s, p, f)
			}
		default:
			for w := range x.processes {
				if b.accepted>>w&1 == 0 {
					x.install(s, p, w, f)
				}
			}
		}
	}
}

func (x *explorer) begin(s exploredState, p int, f func(exploredState)) {
	installed := s.registers[p].installed
	if installed == 0 && !x.founding {
		return
	}
	for epoch := s.registers[p].promised + 1; epoch <= x.maxEpoch; epoch++ {
		next := s
		next.ballots[p] = exploredBallot{epoch: epoch, base: installed}
		x.prepare(next, p, p, f)
	}
}

func (x *explorer) prepare(s exploredState, p, w int, f func(exploredState)) {
	witness := x.witness(&s, w)
	answer, _ := witness.Prepare(x.processes[p], &PrepareEpoch{Epoch: uint64(s.ballots[p].epoch), Founding: x.founding})
	x.saveWitness(&s, w, witness)
	if answer.Granted {
		b := x.ballot(&s, p)
		b.addPromise(x.processes[w], answer.Installed)
		s.ballots[p].promised |= 1 << w
		s.ballots[p].base = x.indexOf(b.base, &s)
	}
	f(s)
}

// proposeViews proposes each view that a process may propose once it is prepared.
func (x *explorer) proposeViews(s exploredState, p int, f func(exploredState)) {
	b := &s.ballots[p]
	witnesses := x.proposals[b.base].witnesses
	if b.base == 0 {
		witnesses = b.promised
	} else if witnesses>>p&1 == 0 {
		return // not a member of the base view
	}
	key := proposalKey{epoch: b.epoch, primary: uint8(p), parent: b.base, witnesses: witnesses}
	propose := func(key proposalKey) {
		next := s
		next.ballots[p].view = x.propose(key)
		x.install(next, p, p, f)
	}
	propose(key)
	if b.base == 0 || s.decidedBy[p] != b.base {
		return
	}
	for w := range x.processes {
		changed := key
		changed.witnesses ^= 1 << w
		if w != p && changed.witnesses != 0 {
			propose(changed)
		}
	}
}

func (x *explorer) install(s exploredState, p, w int, f func(exploredState)) {
	view := s.ballots[p].view
	if x.proposals[view].witnesses>>w&1 == 0 && x.proposals[x.proposals[view].parent].witnesses>>w&1 == 0 {
		return
	}
	witness := x.witness(&s, w)
	answer, _ := witness.Install(x.processes[p], &InstallEpoch{View: x.proposals[view].view})
	if answer.Accepted {
		x.accept(&s, view, w)
		s.ballots[p].accepted |= 1 << w
		if x.ballot(&s, p).isDecided() {
			s.decidedBy[p] = view
		}
	}
	x.saveWitness(&s, w, witness)
	f(s)
}

func (x *explorer) accept(s *exploredState, view uint16, w int) {
	for i := range s.accepted {
		a := &s.accepted[i]
		if a.view == 0 || a.view == view {
			a.view = view
			a.by |= 1 << w
			return
		}
	}
	x.t.Fatal("more accepted views than the state has room for")
}

// isDecided reports whether a view is decided, judged by the acceptances of witnesses, not by any candidate's knowledge.
func (x *explorer) isDecided(view uint16, by uint8) bool {
	p := x.proposals[view]
	if !isMajorityOf(p.witnesses, by) {
		return false
	}
	if p.parent == 0 {
		return p.epoch == 1 || isMajorityOf(1<<len(x.processes)-1, by)
	}
	return isMajorityOf(x.proposals[p.parent].witnesses, by)
}

func isMajorityOf(set, by uint8) bool {
	all, have := 0, 0
	for i := range maxProcesses {
		all += int(set >> i & 1)
		have += int(set & by >> i & 1)
	}
	return have > all/2
}

func (x *explorer) check(s *exploredState) {
	var decided []uint16
	for _, a := range s.accepted {
		if a.view != 0 && (x.isDecided(a.view, a.by) || slices.Contains(s.decidedBy[:], a.view)) {
			decided = append(decided, a.view)
		}
	}
	for _, a := range decided {
		for _, b := range decided {
			if !x.inOrder(a, b) {
				x.t.Fatalf("decided chain: %+v and %+v, accepted %v", x.proposals[a], x.proposals[b], s.accepted)
			}
		}
	}
}

// inOrder reports whether one of two views is based on the other, directly or not.
func (x *explorer) inOrder(a, b uint16) bool {
	for _, pair := range [][2]uint16{{a, b}, {b, a}} {
		for v := pair[1]; v != 0; v = x.proposals[v].parent {
			if v == pair[0] {
				return true
			}
		}
	}
	return false
}

// explore visits all reachable states, and returns the number of states and of breadth-first steps.
func (x *explorer) explore(start exploredState) (states, steps int) {
	seen := map[exploredState]struct{}{start: {}}
	frontier := []exploredState{start}
	for ; len(frontier) > 0; steps++ {
		var next []exploredState
		for _, s := range frontier {
			x.successors(s, func(n exploredState) {
				if _, old := seen[n]; !old {
					seen[n] = struct{}{}
					x.check(&n)
					next = append(next, n)
				}
			})
		}
		frontier = next
	}
	return len(seen), steps
}

// decidedStart returns a state in which a first view with the given witnesses is decided and installed at all of them.
func (x *explorer) decidedStart(witnesses uint8) exploredState {
	var s exploredState
	first := x.propose(proposalKey{epoch: 1, witnesses: witnesses})
	s.accepted[0].view, s.accepted[0].by = first, witnesses
	for i := range x.processes {
		if witnesses>>i&1 == 1 {
			s.registers[i].promised, s.registers[i].installed = 1, first
		}
	}
	s.decidedBy[0] = first
	return s
}

func TestRegisterExhaustively(t *testing.T) {
	for _, c := range []struct {
		name      string
		processes int
		maxEpoch  uint8
		witnesses uint8 // zero: the group is being founded
	}{
		{"three witnesses", 3, 4, 0b111},
		{"three witnesses and a fourth process", 4, 3, 0b111},
		{"four witnesses", 4, 3, 0b1111},
		{"founding by three seeds", 3, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newExplorer(t, c.processes, c.maxEpoch, c.witnesses == 0)
			var start exploredState
			if c.witnesses != 0 {
				start = x.decidedStart(c.witnesses)
			}
			states, steps := x.explore(start)
			t.Logf("epochs up to %d: %d states in %d steps, %d views proposed", c.maxEpoch, states, steps, len(x.proposals)-1)
		})
	}
}
