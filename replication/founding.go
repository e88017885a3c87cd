package replication

import (
	"slices"
	"time"
)

// founding is how the seeds of a first start find each other.
type founding struct {
	founders map[string]Peer // by address
	ready    bool            // enough of them are known
}

// rank is this seed's place in the order of those that may found.
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

// isFounding tells whether this process may found the group and knows of no view.
func (e *Elector) isFounding() bool {
	return e.witness.Register.Founder && e.contact.Epoch == 0
}

// meetFounder notes another founder that is at a seed's address.
func (e *Elector) meetFounder(p Peer, founder bool) {
	if !founder || !e.witness.Register.Founder || !slices.Contains(e.witness.Register.Seeds, p.Address) {
		return
	}
	if e.founding.founders == nil {
		e.founding.founders = map[string]Peer{e.o.Self.Address: e.o.Self}
	}
	e.founding.founders[p.Address] = p
}

// tickFounding waits for all seeds for a while, then for enough: a majority, and all but one.
func (e *Elector) tickFounding() {
	f := &e.founding
	if f.ready || !e.isFounding() {
		return
	}
	e.meetFounder(e.o.Self, true)
	n := len(e.witness.Register.Seeds)
	enough := n
	if e.now-e.started >= foundingPeriod {
		enough = max(majority(n), n-1)
	}
	if len(f.founders) >= enough {
		f.ready = true
		e.lastWord = e.now
	}
}

// foundingView makes the first view, of the founders that have promised.
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

// tickIntroduction makes this process known as long as it is no witness, or may be none any more because no primary speaks to it: to the
// seeds, and to whomever it has heard of.
func (e *Elector) tickIntroduction() {
	e.tickFounding()
	if e.resigned || e.tenure != nil || e.decided.IsWitness(e.o.Self.Member) && e.now-e.lastWord < e.o.Silence {
		return
	}
	every := introduceEvery
	if e.isFounding() {
		every = resendEvery
	}
	if e.sentIntro != 0 && e.now-e.sentIntro < every {
		return
	}
	e.sentIntro = max(e.now, 1)
	told := map[string]bool{e.o.Self.Address: true}
	for _, p := range e.contact.Peers {
		if !told[p.Address] {
			told[p.Address] = true
			e.send(p, &Introduce{Founder: e.witness.Register.Founder})
		}
	}
	for _, address := range e.o.Seeds {
		if !told[address] {
			told[address] = true
			e.send(Peer{Address: address}, &Introduce{Founder: e.witness.Register.Founder})
		}
	}
}

func (e *Elector) receiveIntroduce(from Peer, m *Introduce) {
	e.meetFounder(from, m.Founder)
	e.forgetIntroductions(from)
	e.introduced[from.Member] = introduction{peer: from, at: e.now}
	if e.tenure != nil {
		delete(e.tenure.leaving, from.Member) // it has started again
	}
	known := e.contact
	if e.decided.Epoch >= known.Epoch {
		known = e.decided
	}
	e.writer.answer(e, from, &Introduced{Founder: e.witness.Register.Founder, Installed: known.Clone()})
	e.askNewcomer(from)
}

// forgetIntroductions keeps the list short: what was not repeated for a minute goes, and whoever was at the address of this one before.
func (e *Elector) forgetIntroductions(newest Peer) {
	for id, intro := range e.introduced {
		if e.now-intro.at >= time.Minute || intro.peer.Address == newest.Address {
			delete(e.introduced, id)
		}
	}
}

func (e *Elector) receiveIntroduced(from Peer, m *Introduced) {
	e.meetFounder(from, m.Founder)
	e.meet(m.Installed)
}
