package control

import (
	"time"

	"go.uber.org/zap"

	"liftgauge/election"
	"liftgauge/internal/protocol"
)

// dutyReader is the name of the duty of reading the platform's list of workers.
const dutyReader = "reader"

// The ranks of bids, lowest first. The primary ranks behind other processes because it has other work.
const (
	rankOther   = 0
	rankPrimary = 1
	rankGaveUp  = 2 // and above: the process gave the duty up recently
)

// demotionPeriod is how long a process that could not read the list ranks behind all others.
const demotionPeriod = 30 * time.Second

// dutyState runs the election of the list reader. The heartbeats of control processes count as their bids.
type dutyState struct {
	primary  *primary
	election *election.Election
	durable  election.Award           // on disk at all members of the view
	gaveUpAt map[string]time.Duration // by node: when it last gave the duty up because it could not read the list
}

func newDutyState(p *primary) dutyState {
	award := p.model.duties[dutyReader]
	return dutyState{primary: p, election: election.New(election.Options{}, award), durable: award, gaveUpAt: make(map[string]time.Duration)}
}

// begin vacates the duty if its holder has no session.
func (s *dutyState) begin() {
	holder := s.durable.Holder
	if node, ok := s.primary.model.nodes[holder.Key]; !ok || node.Incarnation != holder.Incarnation {
		s.election.SessionEnded(holder)
	}
}

func holderOf(n protocol.Node) election.Holder {
	return election.Holder{Key: n.Key, Incarnation: n.Incarnation}
}

// heartbeat takes the bid of a control process and, if it holds the duty, notifies it again.
func (s *dutyState) heartbeat(now time.Duration, node protocol.Node, listStale bool) {
	if node.Leaving {
		return
	}
	if listStale && s.election.Current() == s.durable && s.election.Resign(holderOf(node)) {
		s.primary.daemon.logger.Warn("control: the holder of a duty cannot reach the platform; electing another", zap.String("duty", dutyReader),
			zap.String("holder", node.Key))
		s.gaveUpAt[node.Key] = now
	}
	rank := rankOther
	if node.Key == s.primary.daemon.agent.Node().Key {
		rank = rankPrimary
	}
	if at, gaveUp := s.gaveUpAt[node.Key]; gaveUp && now-at < demotionPeriod {
		rank = rankGaveUp + int((demotionPeriod-(now-at))/time.Second) // the process that gave it up first ranks first
	}
	s.election.Bid(now, election.Bid{Holder: holderOf(node), Rank: rank})
	if !s.durable.Vacant() && s.durable.Holder == holderOf(node) && s.election.Current() == s.durable {
		s.notify(node)
	}
}

func (s *dutyState) sessionEnded(node protocol.Node) {
	s.election.Withdraw(node.Key)
	s.election.SessionEnded(holderOf(node))
}

func (s *dutyState) resign(node protocol.Node) {
	s.election.Withdraw(node.Key)
	s.election.Resign(holderOf(node))
}

// tick writes a new award when one is due, and notifies its holder once it is durable.
func (s *dutyState) tick(now time.Duration) {
	award, ok := s.election.Tick(now)
	if !ok {
		return
	}
	p := s.primary
	p.put(dutyRecord(dutyReader, award))
	p.writer.onDurable(func(err error) {
		if err != nil {
			return
		}
		p.daemon.logger.Info("control: duty awarded", zap.String("duty", dutyReader), zap.Uint64("term", award.Term),
			zap.String("holder", award.Holder.Key))
		s.durable = award
		if node, ok := p.model.nodes[award.Holder.Key]; ok && holderOf(node) == award.Holder {
			s.notify(node)
		}
	})
}

func (s *dutyState) notify(node protocol.Node) {
	d := s.primary.daemon
	notice := dutyNotice{name: dutyReader, term: s.durable.Term, incarnation: node.Incarnation}
	if node.Key == d.agent.Node().Key {
		d.acceptDuty(notice)
		return
	}
	f := frame{kind: frameDuty, from: d.self.Member, to: node.Member, address: d.self.Address,
		controlPlane: d.settings.BindAddresses.ControlPlane, body: notice.append(nil)}
	d.links.send(node.Address, protocol.KindWitness, f.append(nil))
}

// acceptDuty starts a duty that was awarded to this process.
func (d *daemon) acceptDuty(n dutyNotice) {
	if n.name == dutyReader && n.incarnation == d.agent.Node().Incarnation && !d.shuttingDown {
		d.reader.begin(n.term)
	}
}
