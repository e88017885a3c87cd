package store

import (
	"context"
	"slices"
	"time"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/replication"
)

// redialEvery is the pause between attempts to connect to another store.
const redialEvery = 50 * time.Millisecond

// unreachableAfter is how long a store may leave lease requests unanswered before it is reported to control. It is shorter than the
// session expiry by the time of the round trip to control.
const unreachableAfter = 700 * time.Millisecond

// peer is another store that shares partitions with this one.
type peer struct {
	member  string
	address string
	needed  bool      // this store is primary of a partition that the peer is a member or learner of
	conn    *rpc.Conn // dialed by this store; carries what it sends as primary
	dialing bool
	inbound *rpc.Conn // the connection on which the peer last sent a frame; carries replies

	incarnation      uint64        // from the node table
	leaseUntil       time.Duration // end of the lease granted by the peer
	lastLeaseRequest time.Duration
	leasePending     bool
	lastAnswer       time.Duration // when the peer last answered, or was first needed
	sequence         uint64
	nearlyFull       bool  // its log has little room left, by its last answer
	room             int64 // if nearlyFull: bytes that this store may add to the peer's log until its next answer
}

func (s *store) peer(member string) *peer {
	found := s.peers[member]
	if found == nil {
		found = &peer{member: member, lastLeaseRequest: -leaseInterval}
		s.peers[member] = found
	}
	return found
}

// syncPeers determines which stores are needed, dials them, and notifies the replicas of new and lost connections.
func (s *store) syncPeers() {
	needed := map[string]bool{}
	for _, p := range s.partitions {
		if view := p.replica.View(); view.Primary == s.member {
			for _, members := range [][]string{view.Members, view.Learners} {
				for _, member := range members {
					needed[member] = member != s.member
				}
			}
		}
	}
	for member := range needed {
		s.peer(member)
	}
	for _, peer := range s.peers {
		if !peer.needed {
			peer.lastAnswer = s.now() // sent no request until now
		}
		peer.needed = needed[peer.member]
		if node, found := s.view.NodeByMember(peer.member); found {
			s.takePeerNode(peer, node)
		}
		s.dialPeer(peer)
	}
	for _, p := range s.sortedPartitions() {
		p.syncLinks()
	}
	s.renewLeases(s.now())
}

// takePeerNode records the address of a peer, and voids the lease of an earlier process of it.
func (s *store) takePeerNode(peer *peer, node protocol.Node) {
	if peer.incarnation != node.Incarnation {
		s.grants.processEnded(peer.member, peer.incarnation)
		peer.incarnation = node.Incarnation
	}
	peer.address = node.Address
}

// dialPeer opens the connection to a peer if it is needed and does not exist.
func (s *store) dialPeer(peer *peer) {
	if !peer.needed || peer.conn != nil || peer.dialing || peer.address == "" {
		return
	}
	peer.dialing = true
	address := peer.address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		conn, err := s.agent.Pool().Get(ctx, address)
		s.loop.post(func() { s.dialed(peer, conn, err) })
	}()
}

func (s *store) dialed(peer *peer, conn *rpc.Conn, err error) {
	peer.dialing = false
	if err != nil {
		peer.redial(s)
		return
	}
	peer.conn = conn
	go func() {
		<-conn.Done()
		s.loop.post(func() { s.peerLost(peer, conn) })
	}()
	if peer.needed {
		s.requestLease(s.now(), peer)
	}
	for _, p := range s.sortedPartitions() {
		p.syncLinks()
	}
}

func (p *peer) redial(s *store) {
	time.AfterFunc(redialEvery, func() { s.loop.post(func() { s.dialPeer(p) }) })
}

func (s *store) peerLost(peer *peer, conn *rpc.Conn) {
	if peer.conn != conn {
		return
	}
	peer.conn = nil
	for _, p := range s.sortedPartitions() {
		p.syncLinks()
	}
	peer.redial(s)
}

// syncLinks notifies the replica which of its peers are connected.
func (p *partition) syncLinks() {
	view := p.replica.View()
	for _, members := range [][]string{view.Members, view.Learners} {
		for _, member := range members {
			if member != p.store.member {
				p.syncLink(member)
			}
		}
	}
	for member := range p.links {
		if !view.Includes(member) {
			delete(p.links, member)
			p.replica.SetLinked(member, false)
		}
	}
}

func (p *partition) syncLink(member string) {
	conn := p.store.peer(member).conn
	if p.links[member] == conn {
		return
	}
	if p.links[member] != nil {
		delete(p.links, member)
		p.replica.SetLinked(member, false)
	}
	if conn != nil {
		p.links[member] = conn
		p.replica.SetLinked(member, true)
	}
}

// send sends a message of the replica: replies on the connection that the peer opened, everything else on the one dialed by this store.
func (p *partition) send(to string, m replication.Message) {
	peer := p.store.peer(to)
	conn := peer.conn
	if replication.IsReply(m) {
		conn = peer.inbound
	}
	if conn == nil {
		return
	}
	frame := protocol.ReplicationFrame{Group: groupOf(p.number), From: p.store.member, To: to, Body: m.Append(nil)}
	_ = conn.Notify(protocol.KindReplication, frame.Append(nil)) // a broken connection is dialed again
}

// receiveReplication handles a frame of another store. A join for an unknown group opens it: its primary may have a newer table.
func (s *store) receiveReplication(c *rpc.Conn, body []byte) {
	var frame protocol.ReplicationFrame
	if err := frame.Decode(body); err != nil || frame.To != s.member || frame.Group < groupBase {
		return
	}
	message, err := replication.DecodeMessage(frame.Body)
	if err != nil {
		c.Close()
		return
	}
	if !replication.IsReply(message) {
		s.peer(frame.From).inbound = c
	}
	number := frame.Group - groupBase
	p := s.partitions[number]
	if p == nil {
		if _, isJoin := message.(*replication.Join); !isJoin {
			return
		}
		if p, err = s.newPartition(number); err != nil {
			return
		}
	}
	p.replica.Receive(frame.From, message)
}

// requestLease requests a lease from a peer.
func (s *store) requestLease(now time.Duration, peer *peer) {
	if peer.conn == nil || peer.leasePending {
		return
	}
	peer.leasePending, peer.lastLeaseRequest = true, now
	peer.sequence++
	request := leaseRequest{Incarnation: s.agent.Node().Incarnation, Table: s.tableVersion, LeaseRequest: protocol.LeaseRequest{
		From: s.member, To: peer.member, Sequence: peer.sequence, Duration: leaseDuration,
	}}
	conn, body := peer.conn, request.append(nil)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaseDuration)
		defer cancel()
		answer, err := conn.Call(ctx, protocol.KindLease, body)
		s.loop.post(func() { s.handleLeaseReply(peer, now, answer, err) })
	}()
}

func (s *store) handleLeaseReply(peer *peer, asked time.Duration, answer []byte, err error) {
	peer.leasePending = false
	var reply protocol.LeaseReply
	if err != nil || reply.Decode(answer) != nil {
		return
	}
	peer.lastAnswer = s.now()
	s.takeRoom(peer, &reply)
	if !reply.Granted { // one of the two has not received the other's partition table yet
		if peer.needed {
			time.AfterFunc(leaseRetryDelay, func() { s.loop.post(func() { s.requestLease(s.now(), peer) }) })
		}
		return
	}
	peer.leaseUntil = max(peer.leaseUntil, asked+leaseDuration)
}

// renewLeases requests leases from all needed peers whose last request is at least leaseInterval old.
func (s *store) renewLeases(now time.Duration) {
	for _, peer := range s.peers {
		if peer.needed && now-peer.lastLeaseRequest >= leaseInterval {
			s.requestLease(now, peer)
		}
	}
}

// unreachable returns the members or learners of this store's partitions that have not answered for unreachableAfter, in order.
func (s *store) unreachable(now time.Duration) []string {
	var members []string
	for _, peer := range s.peers {
		if peer.needed && now-peer.lastAnswer > unreachableAfter {
			members = append(members, peer.member)
		}
	}
	slices.Sort(members)
	return members
}

// grantLease answers a lease request of another store.
func (s *store) grantLease(body []byte, reply func([]byte, error)) {
	var request leaseRequest
	if err := request.decode(body); err != nil {
		reply(nil, rpc.Errorf(protocol.CodeInvalid, "%v", err))
		return
	}
	answer := s.leaseReply(request.Sequence)
	if request.To == s.member {
		s.grants.recordTable(&request)
	}
	if request.To == s.member && (request.Release || !s.tableOutdated()) {
		answer.Granted = s.grants.request(s.now(), &request)
	}
	reply(answer.Append(nil), nil)
}

// releaseLeases releases the leases that were granted to this store, for a planned shutdown.
func (s *store) releaseLeases(ctx context.Context) {
	for _, peer := range s.peers {
		peer.leaseUntil = 0
		if peer.conn == nil {
			continue
		}
		request := leaseRequest{Incarnation: s.agent.Node().Incarnation, Table: s.tableVersion, LeaseRequest: protocol.LeaseRequest{
			From: s.member, To: peer.member, Release: true,
		}}
		conn, body := peer.conn, request.append(nil)
		go func() { _, _ = conn.Call(ctx, protocol.KindLease, body) }()
	}
}
