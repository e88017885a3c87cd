package store

import (
	"liftgauge/internal/protocol"
)

// recordOverhead is more than what the records of a message take on disk beside its body and headers.
const recordOverhead = 4 << 10

// leaseReply returns a reply that tells how much room this store's log has, if it is nearly full.
func (s *store) leaseReply(sequence uint64) protocol.LeaseReply {
	reply := protocol.LeaseReply{Sequence: sequence}
	room, nearlyFull := s.log.Room()
	if nearlyFull {
		reply.NearlyFull, reply.Room = true, uint64(room)
	}
	return reply
}

// takeRoom records the room in a peer's log. All stores may write there until its next reply, so each uses an equal part.
func (s *store) takeRoom(peer *peer, reply *protocol.LeaseReply) {
	s.repairs.count(s.view, s.settings.FaultTolerance)
	peer.nearlyFull = reply.NearlyFull
	peer.room = int64(reply.Room) / int64(max(s.repairs.stores, 1))
}

// hasRoom reports whether the logs of all stores that a write of the partition waits for have room for a message. One that a member cannot
// take would delay all later writes, and among them the ends of messages, which free space.
func (s *store) hasRoom(p *partition, m *protocol.Accept) bool {
	size := bytesOnDisk(m)
	if room, _ := s.log.Room(); size > room {
		return false
	}
	for peer := range p.requiredPeers {
		if peer.nearlyFull && size > peer.room {
			return false
		}
	}
	return true
}

// useRoom deducts a message from the room of the stores that its write waits for.
func (p *partition) useRoom(m *protocol.Accept) {
	for peer := range p.requiredPeers {
		peer.room -= bytesOnDisk(m)
	}
}

// requiredPeers yields the other stores that all writes of the partition wait for.
func (p *partition) requiredPeers(yield func(*peer) bool) {
	for _, members := range [][]string{p.replica.View().Members, p.offers} {
		for _, member := range members {
			if member != p.store.member && !yield(p.store.peer(member)) {
				return
			}
		}
	}
}

// bytesOnDisk returns an upper bound of what a message takes in a log.
func bytesOnDisk(m *protocol.Accept) int64 {
	size := recordOverhead + len(m.Body) + len(m.URI) + len(m.Host) + len(m.Key)
	for i := range m.Headers {
		size += len(m.Headers[i].Name) + len(m.Headers[i].Value)
	}
	return int64(size)
}
