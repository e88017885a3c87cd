package replication

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// decide makes the next view: its primary is a member of the present view, and its members are members of it or learners that were offered
// in its epoch.
func (m *replicaModel) decide(choose func(n int) int, live func(MemberID) bool) {
	old := m.view()
	var able []MemberID
	for _, id := range slices.Concat(old.Members, old.Learners) {
		if (old.IsMember(id) || m.offers[id]) && !m.nodes[id].wiped && live(id) {
			able = append(able, id)
		}
	}
	var primaries []MemberID
	for _, id := range able {
		if old.IsMember(id) {
			primaries = append(primaries, id)
		}
	}
	if len(primaries) == 0 {
		m.decideMerge(choose)
		return
	}
	v := View{Epoch: old.Epoch + 1, Primary: primaries[choose(len(primaries))]}
	v.Members = []MemberID{v.Primary}
	for _, id := range able {
		if id != v.Primary && choose(4) > 0 {
			v.Members = append(v.Members, id)
		}
	}
	for _, id := range m.order {
		if !v.IsMember(id) && !m.nodes[id].wiped && live(id) && choose(2) > 0 {
			v.Learners = append(v.Learners, id)
		}
	}
	if m.allowMerges && len(v.Members) < m.copies {
		m.keepHolders(old, &v)
	}
	m.views = append(m.views, v)
	m.offers = map[MemberID]bool{}
}

// keepHolders adds as learners all nodes that may hold acknowledged writes, also those with lost disks, and continues an unfinished merge.
func (m *replicaModel) keepHolders(old View, v *View) {
	for _, id := range slices.Concat(old.Members, old.Learners) {
		if !v.Includes(id) {
			v.Learners = append(v.Learners, id)
		}
	}
	if len(m.offers) > 0 {
		return // the primary was active
	}
	for _, id := range old.Sources {
		if !m.nodes[id].wiped {
			v.Sources = append(v.Sources, id)
		}
	}
}

// decideMerge makes the next view when all members' disks are lost: one of the learners merges the records of the others.
func (m *replicaModel) decideMerge(choose func(n int) int) {
	old := m.view()
	var survivors []MemberID
	for _, id := range old.Learners {
		if !m.nodes[id].wiped {
			survivors = append(survivors, id)
		}
	}
	all := slices.Concat(old.Members, old.Learners)
	membersLeft := slices.ContainsFunc(old.Members, func(id MemberID) bool { return !m.nodes[id].wiped })
	if !m.allowMerges || membersLeft || len(survivors) == 0 || len(all)-len(survivors) >= m.copies {
		return
	}
	v := View{Epoch: old.Epoch + 1, Primary: survivors[choose(len(survivors))]}
	v.Members = []MemberID{v.Primary}
	v.Sources = slices.DeleteFunc(survivors, func(id MemberID) bool { return id == v.Primary })
	v.Learners = slices.DeleteFunc(all, func(id MemberID) bool { return id == v.Primary })
	m.views = append(m.views, v)
	m.offers = map[MemberID]bool{}
	m.mergeCount++
}

// mayWipe reports whether, without this disk, another member of the newest view still has its disk or, with merges, each acknowledged
// write is still on some disk.
func (m *replicaModel) mayWipe(id MemberID) bool {
	v := m.view()
	if slices.ContainsFunc(v.Members, func(other MemberID) bool { return other != id && !m.nodes[other].wiped }) && len(v.Sources) == 0 {
		return true
	}
	if !m.allowMerges {
		return false
	}
	lost := 0
	for _, other := range slices.Concat(v.Members, v.Learners) {
		if other == id || m.nodes[other].wiped {
			lost++
		}
	}
	return lost < m.copies
}

func (m *replicaModel) wipe(id MemberID) {
	n := m.nodes[id]
	if n.wiped || !m.mayWipe(id) {
		return
	}
	if n.replica != nil {
		n.stop(0)
	}
	n.wiped = true
	n.storage = newMemoryStorage()
	if len(m.order) < 9 {
		m.addNode(id + "'")
	}
}

// step takes one random step.
func (m *replicaModel) step() {
	choose := m.random.IntN
	n := m.nodes[m.order[choose(len(m.order))]]
	other := m.order[choose(len(m.order))]
	switch kind := choose(1000); {
	case kind < 700:
		m.progress(choose)
	case kind < 850:
		m.writeSomewhere(n, choose)
	case kind < 890:
		m.join(n.id, other)
	case kind < 900:
		m.cut(n.id, other)
	case kind < 940:
		n.learnView(choose(3) == 0)
	case kind < 948:
		m.decide(choose, func(MemberID) bool { return true })
		if m.allowMerges && choose(4) == 0 {
			m.wipe(m.view().Primary)
		}
	case kind < 960:
		if n.replica == nil && !n.wiped {
			n.start()
		} else if n.replica != nil && choose(3) == 0 {
			n.stop(choose(4))
		}
	case kind < 962:
		m.wipe(n.id)
	case kind < 980:
		if n.replica != nil {
			n.clock += streamTimeout / 4
			n.replica.Tick(n.clock)
		}
	case kind < 983:
		n.storage.failing = choose(3)
	case kind < 989:
		m.drop(n)
	default:
		if len(m.stale) > 0 {
			i := choose(len(m.stale))
			s := m.stale[i]
			m.stale = slices.Delete(m.stale, i, i+1)
			m.receive(s.link, s.bytes)
		}
	}
}

// progress executes something that is pending: a message, a posted function or a sync.
func (m *replicaModel) progress(choose func(int) int) {
	var able []func() bool
	for _, id := range m.order {
		n := m.nodes[id]
		if n.replica != nil && len(n.posted) > 0 {
			able = append(able, n.runPosted)
		}
		if n.replica != nil && len(n.storage.pending) > 0 {
			able = append(able, n.storage.sync)
		}
		for _, to := range m.order {
			if l := (link{id, to}); len(m.queues[l]) > 0 {
				able = append(able, func() bool { return m.deliver(l) })
			}
		}
	}
	if len(able) > 0 {
		able[choose(len(able))]()
	}
}

func (m *replicaModel) writeSomewhere(n *modelNode, choose func(int) int) {
	for _, id := range m.order {
		if r := m.nodes[id].replica; r != nil && r.lead != nil && choose(2) == 0 {
			n = m.nodes[id]
			break
		}
	}
	if n.replica != nil {
		m.write(n, choose(4), choose(4) == 0)
	}
}

// drop deletes the group at a node if its newest view does not include the node.
func (m *replicaModel) drop(n *modelNode) {
	if n.replica == nil || n.replica.View().Epoch == 0 || n.replica.View().Includes(n.id) {
		return
	}
	n.replica.Drop(func(err error) {
		if err == nil {
			n.stop(0)
			n.start()
		}
	})
}

// converge ends all faults and runs until nothing is pending.
func (m *replicaModel) converge() {
	for _, id := range m.order {
		n := m.nodes[id]
		n.storage.failing = 0
		if n.replica == nil && !n.wiped {
			n.start()
		}
	}
	m.joinAll()
	m.drain()
	if v := m.view(); len(v.Members)+len(v.Learners) >= m.copies && !slices.ContainsFunc(slices.Concat(v.Members, v.Learners), func(id MemberID) bool { return m.nodes[id].wiped }) {
		m.checkConverged()
	}
	first := func(int) int { return 0 }
	all := func(n int) int { return n - 1 }
	live := func(id MemberID) bool { return !m.nodes[id].wiped }
	m.decide(first, live) // without other members
	m.drain()
	m.decide(all, live) // with learners
	m.drain()
	m.decide(all, live) // with these as members
	m.drain()
}

func (m *replicaModel) joinAll() {
	for _, a := range m.order {
		for _, b := range m.order {
			if !m.nodes[a].wiped && !m.nodes[b].wiped {
				m.join(a, b)
			}
		}
	}
}

func (m *replicaModel) drain() {
	for now := time.Duration(0); now < 6*streamTimeout; now += streamTimeout / 2 {
		m.joinAll() // a node that has just dropped the group restarts without links
		for moved := true; moved; {
			moved = false
			for _, id := range m.order {
				n := m.nodes[id]
				for n.learnView(true) || n.runPosted() || n.replica != nil && n.storage.sync() {
					moved = true
				}
				for _, to := range m.order {
					for m.deliver(link{id, to}) {
						moved = true
					}
				}
			}
			m.check()
		}
		for _, n := range m.nodes {
			if n.replica != nil {
				n.clock += streamTimeout / 2
				n.replica.Tick(n.clock)
			}
		}
	}
}

func (m *replicaModel) checkConverged() {
	v := m.view()
	p := m.nodes[v.Primary]
	if !p.replica.IsActive() || p.replica.Pending() > 0 {
		m.t.Fatalf("converged: primary of %v active %v, %d writes pending, blocked by %v, %s", v, p.replica.IsActive(), p.replica.Pending(), p.replica.BlockingPeers(), m.describe(p))
	}
	for _, id := range v.Members {
		if got := m.nodes[id].storage.durable[modelGroup]; !maps.EqualFunc(got, p.storage.durable[modelGroup], sameRecord) {
			m.t.Fatalf("converged: %s has %v, the primary %v", id, got, p.storage.durable[modelGroup])
		}
	}
}

func sameRecord(a, b Record) bool {
	return a.Version == b.Version && string(a.Value) == string(b.Value)
}

// run takes a random number of steps.
func (m *replicaModel) run(t *rapid.T) { m.runSteps(rapid.IntRange(100, 1500).Draw(t, "steps")) }

// runSteps takes steps with a converged group, and then ends all faults.
func (m *replicaModel) runSteps(steps int) {
	m.joinAll()
	m.drain()
	for range steps {
		m.step()
		m.check()
	}
	m.converge()
	m.checkConverged()
}

func TestReplicaModel(t *testing.T) {
	t.Parallel()
	answered, actives := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newReplicaModel(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "nodes"), 2, rapid.IntRange(1, 2).Draw(t, "copies"))
		m.run(t)
		answered += m.ackCount
		actives += len(m.initialStates)
	})
	t.Logf("%d writes acknowledged, %d times active", answered, actives)
}

// All members of a view lose their disks while its learners are not in sync, as long as each acknowledged write remains on a disk.
func TestReplicaModelWithMerges(t *testing.T) {
	t.Parallel()
	merged, actives := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		copies := rapid.IntRange(2, 3).Draw(t, "copies")
		m := newReplicaModel(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(copies, 5).Draw(t, "nodes"), copies, copies)
		m.allowMerges = true
		m.run(t)
		merged += m.mergeCount
		actives += len(m.initialStates)
	})
	t.Logf("%d merges, %d times active", merged, actives)
}

// describe formats the state of a primary and its streams.
func (m *replicaModel) describe(n *modelNode) string {
	text := fmt.Sprintf("%d unsynced, failed keys %v, up %v", len(n.storage.pending), n.replica.disk.failedKeys, m.up)
	for _, id := range n.replica.lead.order {
		p := n.replica.lead.peers[id]
		other := m.nodes[id]
		text += fmt.Sprintf("; %s linked %v: %+v", id, n.replica.linked[id], *p)
		if other.replica != nil {
			text += fmt.Sprintf(" there: fence %d joined %+v failed keys %v stream %+v", other.replica.fence, other.replica.joined, other.replica.disk.failedKeys, other.replica.stream)
		}
	}
	return text
}

// The seed gives a run in which the primary of epoch 1 is not notified of the epochs 2 to 7, the only member of epoch 7 loses its disk, and
// the primary of epoch 1 merges the group: writes pending there since epoch 1 are only then acknowledged.
func TestPendingWriteOfADeposedPrimaryAfterAMerge(t *testing.T) {
	m := newReplicaModel(t, 0x354e5, 4, 2, 2)
	m.allowMerges = true
	m.runSteps(389)
	pending := func(w *issuedWrite) bool { return w.acked && w.epoch == 1 && w.ackedIn > 7 }
	if m.mergeCount == 0 || !slices.ContainsFunc(slices.Collect(maps.Values(m.writes)), pending) {
		t.Fatalf("%d merges, and no write of epoch 1 acknowledged after epoch 7: the run of this seed has changed", m.mergeCount)
	}
}
