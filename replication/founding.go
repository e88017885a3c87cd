package replication

import (
	"slices"
	"time"
)

// founding tracks the discovery of the other seeds when the group is bootstrapped.
type founding struct {
	founders map[string]Peer // by address
	ready    bool            // enough founders are known
}

// rank is this seed's position in the order of candidates during founding.
func (f *founding) rank(e *Elector) time.Duration {
	return time.Duration(max(0, slices.Index(e.witness.Register.Seeds, e.o.Self.Address)))
}

// peers lists the founders in the order of the seeds.
func (f *founding) peers(e *Elector) []Peer {
	var peers []Peer
	for _, address := range e.witness.Register.Seeds {
		if p, ok := f.founders[address]; ok {
			peers = append(peers, p)
		}
	}
	return peers
}

// isFounding reports whether this process may found the group and no view is known yet.
func (e *Elector) isFounding() bool {
	return e.witness.Register.Founder && e.newestView.Epoch == 0
}

// noteFounder records another founder, provided that it is at a seed's address.
func (e *Elector) noteFounder(p Peer, founder bool) {
	if !founder || !e.witness.Register.Founder || !slices.Contains(e.witness.Register.Seeds, p.Address) {
		return
	}
	if e.founding.founders == nil {
		e.founding.founders = map[string]Peer{e.o.Self.Address: e.o.Self}
	}
	e.founding.founders[p.Address] = p
}

// tickFounding waits for all seeds during foundingPeriod, and after that for a majority that is also at least all but one.
func (e *Elector) tickFounding() {
	f := &e.founding
	if f.ready || !e.isFounding() {
		return
	}
	e.noteFounder(e.o.Self, true)
	n := len(e.witness.Register.Seeds)
	required := n
	if e.now-e.started >= foundingPeriod {
		required = max(majority(n), n-1)
	}
	if len(f.founders) >= required {
		f.ready = true
		e.lastHeartbeat = e.now
	}
}

// foundingView makes the first view, consisting of the founders that have promised.
func (e *Elector) foundingView(c *candidacy) ControlView {
	promised := func(id MemberID) bool { return c.answers[id] != nil }
	b := viewBuilder{self: e.o.Self, limit: e.o.Tolerate + 2}
	var founders []MemberID
	for _, p := range e.founding.peers(e) {
		if promised(p.Member) {
			founders = append(founders, p.Member)
		}
	}
	b.witnesses = founders
	b.addMembers(founders, promised)
	return b.build(func(id MemberID) Peer {
		if p, ok := c.peers[id]; ok {
			return p
		}
		return e.o.Self
	})
}

// tickIntroduction introduces this process to the seeds and to all known peers while it is not a witness, or may not be one any more
// because it receives no heartbeats.
func (e *Elector) tickIntroduction() {
	e.tickFounding()
	if e.resigned || e.primary != nil || e.decided.IsWitness(e.o.Self.Member) && e.now-e.lastHeartbeat < e.o.ElectionTimeout {
		return
	}
	interval := introduceInterval
	if e.isFounding() {
		interval = resendInterval
	}
	if e.lastIntroduction != 0 && e.now-e.lastIntroduction < interval {
		return
	}
	e.lastIntroduction = max(e.now, 1)
	sent := map[string]bool{e.o.Self.Address: true}
	for _, p := range e.newestView.Peers {
		if !sent[p.Address] {
			sent[p.Address] = true
			e.send(p, &Introduce{Founder: e.witness.Register.Founder})
		}
	}
	for _, address := range e.o.Seeds {
		if !sent[address] {
			sent[address] = true
			e.send(Peer{Address: address}, &Introduce{Founder: e.witness.Register.Founder})
		}
	}
}

func (e *Elector) receiveIntroduce(from Peer, m *Introduce) {
	e.noteFounder(from, m.Founder)
	e.expireIntroductions(from)
	e.introduced[from.Member] = introduction{peer: from, at: e.now}
	if e.primary != nil {
		delete(e.primary.leaving, from.Member) // it has restarted
	}
	known := e.newestView
	if e.decided.Epoch >= known.Epoch {
		known = e.decided
	}
	e.writer.answer(e, from, &IntroduceAnswer{Founder: e.witness.Register.Founder, Installed: known.Clone()})
	e.sendPrepareToNewcomer(from)
}

// expireIntroductions bounds the list: it removes introductions that were not repeated within a minute, and the previous process at the
// address of the newest one.
func (e *Elector) expireIntroductions(newest Peer) {
	for id, intro := range e.introduced {
		if e.now-intro.at >= time.Minute || intro.peer.Address == newest.Address {
			delete(e.introduced, id)
		}
	}
}

func (e *Elector) receiveIntroduceAnswer(from Peer, m *IntroduceAnswer) {
	e.noteFounder(from, m.Founder)
	e.noteView(m.Installed)
}
