package store

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
	"liftgauge/queue"
	"liftgauge/replication"
)

const (
	// groupBase is the number of the replication group of partition 0.
	groupBase = 1000
	// sequenceBits is the number of bits of a sequence number below the epoch.
	sequenceBits = 40
	// attemptBits is the number of bits of an attempt number below the epoch, so that two primaries never use the same number.
	attemptBits = 12
	// blockedLogDelay is how long members may block writes before a warning is logged.
	blockedLogDelay = 300 * time.Millisecond
	// slowWriteAge is the age of the oldest pending write above which no more messages are accepted: other partitions are faster.
	slowWriteAge = 250 * time.Millisecond
	// timeRetry is the interval at which partitions that wait for the cluster time check it.
	timeRetry = 10 * time.Millisecond
)

// partition is this store's replica of one partition and, while it is primary, the state of its messages.
type partition struct {
	store        *store
	number       uint32
	replica      *replication.Replica
	view         protocol.PartitionView // from the newest partition table that changed it
	tableVersion protocol.ItemVersion   // of the table that contained view
	links        map[string]*rpc.Conn   // connections by member that the replica was notified of

	// listed holds, by session, all deliveries that the dispatcher held according to its last Hello that listed them all. It is filled from the
	// arrival of the view until hellosComplete.
	listed map[string][]queue.HeldDelivery

	dropping        bool
	plannedTakeover bool // the previous primary is a member of the view or has a session

	// Used by the primary:
	leading        bool // active in an epoch and not deposed since
	awaitsTime     bool // the replica is active, and leading waits for the cluster time
	epoch          uint64
	earlierLeases  []earlierLease // granted to the previous primary, as far as they may be valid
	helloDeadline  time.Duration  // the primary stops waiting for dispatchers at this time
	hellosComplete bool           // all dispatchers have listed what they hold, or the deadline has passed
	sequence       uint64
	offers         []string // learners that are in sync in the epoch of the view
	pending        map[string]*pendingAccept
	endings        map[string]*ending
	ended          map[string]int64 // end times of the ended messages whose state is kept, cluster time
	endedOrder     []endedMessage
	writeStarts    []time.Duration // start time of each pending write, oldest first
	blockedSince   time.Duration   // since when writes are blocked; 0 if they are not
	blockedLogged  bool
}

func groupOf(partition uint32) uint32 { return groupBase + partition }

func (s *store) newPartition(number uint32) (*partition, error) {
	p := &partition{store: s, number: number, links: map[string]*rpc.Conn{}, listed: map[string][]queue.HeldDelivery{}}
	replica, err := replication.NewReplica(replication.ReplicaOptions{
		Group: groupOf(number), Self: s.member, Copies: s.settings.Copies(), Storage: s.storage, Post: s.loop.post,
		Send: p.send, Events: p,
	})
	if err != nil {
		return nil, err
	}
	p.replica = replica
	p.clearMessages()
	s.partitions[number] = p
	return p, nil
}

func (p *partition) clearMessages() {
	p.pending = map[string]*pendingAccept{}
	p.endings = map[string]*ending{}
	p.ended = map[string]int64{}
	p.endedOrder = nil
}

// Active implements replication.Events. A primary that stays primary in a later epoch keeps its queue.
func (p *partition) Active(epoch uint64) {
	p.epoch = epoch
	if p.leading {
		return
	}
	p.awaitsTime = true
	p.leadOnceTimeIsKnown()
}

// leadOnceTimeIsKnown begins to lead, unless the cluster time cannot be used yet: by a time that is behind, new messages would end before their
// retention is over, and by one that is ahead, waiting ones would.
func (p *partition) leadOnceTimeIsKnown() {
	s := p.store
	if !s.agent.TimeUsable() {
		s.awaitingTime = true
		s.wakeAt(s.now() + timeRetry)
		return
	}
	p.awaitsTime = false
	p.lead()
}

// lead makes this store the primary, with a queue from the records.
func (p *partition) lead() {
	s := p.store
	now := s.now()
	p.leading = true
	s.queue.SetEpoch(p.number, p.epoch)
	p.helloDeadline = now + p.helloTimeout()
	if err := p.rebuild(now); err != nil {
		s.logger.Error("records of a partition cannot be read; this store does not serve it",
			zap.Uint32("partition", p.number), zap.Error(err))
		s.queue.Drop(p.number)
		p.leading = false
		return
	}
	s.markHeld(now, p)
	s.logger.Info("became primary of a partition", zap.Uint32("partition", p.number), zap.Uint64("epoch", p.epoch),
		zap.Int("messages", s.queue.Len(p.number)), zap.Time("cluster_time", s.agent.ClusterTime()),
		zap.Bool("synchronized", s.agent.Synchronized()))
}

// Deposed implements replication.Events.
func (p *partition) Deposed(epoch uint64) {
	p.leading, p.awaitsTime, p.blockedSince = false, false, 0
	p.offers = nil
	p.restartHellos()
	p.store.queue.Drop(p.number)
	p.store.bodies.drop(p.number)
	p.refuseEndings()
	p.clearMessages()
}

// Offer implements replication.Events.
func (p *partition) Offer(epoch uint64, learner string) { p.offers = append(p.offers, learner) }

// Applied implements replication.Events.
func (p *partition) Applied([]replication.Record) {}

// rebuild fills the queue from the state records.
func (p *partition) rebuild(now time.Duration) (failure error) {
	s := p.store
	clusterNow := s.clusterNow()
	s.log.Each(groupOf(p.number), func(key string, _ uint64, value []byte) bool {
		id, isState := stateID(key)
		if !isState {
			return true
		}
		id = strings.Clone(id)
		var state messageState
		if failure = p.readState(key, value, &state); failure != nil {
			return false
		}
		if state.Sequence>>sequenceBits == p.epoch {
			p.sequence = max(p.sequence, state.Sequence)
		}
		if state.ended() {
			p.addEnded(id, state.EndedAt)
			return true
		}
		s.queue.Add(now, p.entry(id, &state, clusterNow))
		return true
	})
	p.sortEnded()
	return failure
}

func (p *partition) readState(key string, value []byte, state *messageState) error {
	if value == nil {
		record, _, err := p.store.storage.Get(groupOf(p.number), key)
		if err != nil {
			return err
		}
		value = record.Value
	}
	return state.decode(value)
}

func (p *partition) entry(id string, state *messageState, clusterNow int64) queue.Entry {
	return queue.Entry{
		Partition: p.number, ID: id, Key: state.Key, Host: state.Host, URI: state.URI, Sequence: state.Sequence,
		Revision:          revisionOf(state.Configuration),
		DueIn:             time.Duration(state.DueAt - clusterNow),
		ExpiresIn:         time.Duration(state.ExpiresAt - clusterNow),
		Attempts:          int(state.Attempts),
		LastAttempt:       uint32(p.epoch) << attemptBits,
		CountedDeliveries: state.CountedDeliveries,
	}
}

// nextSequence returns the next sequence number, which orders messages by acceptance.
func (p *partition) nextSequence() uint64 {
	p.sequence = max(p.sequence, p.epoch<<sequenceBits) + 1
	return p.sequence
}

// mayAct reports whether this store may deliver messages of the partition and answer lookups: it is primary, holds the leases of the other
// members, and the leases that it granted to the previous primary have ended.
func (p *partition) mayAct(now time.Duration) bool {
	return p.leading && p.earlierLeasesUntil(now) == 0 && p.leasesUntil() > now
}

// earlierLeasesUntil returns when the last lease granted to the previous primary expires; 0 if all have ended.
func (p *partition) earlierLeasesUntil(now time.Duration) time.Duration {
	if len(p.earlierLeases) == 0 {
		return 0
	}
	until := p.store.grants.latestExpiry(now, p.earlierLeases)
	if until == 0 {
		p.earlierLeases = nil
	}
	return until
}

// leasesUntil returns when the first of the leases that the partition needs expires.
func (p *partition) leasesUntil() time.Duration {
	until := queue.Never
	view := p.replica.View()
	for _, members := range [][]string{view.Members, p.offers} {
		for _, member := range members {
			if member != p.store.member {
				until = min(until, p.store.peer(member).leaseUntil)
			}
		}
	}
	return until
}

// mayDeliver reports whether deliveries may be sent now.
func (p *partition) mayDeliver(now time.Duration) bool {
	if !p.mayAct(now) || p.store.diskStalled {
		return false
	}
	if !p.hellosComplete {
		p.awaitHellos(now)
	}
	return p.hellosComplete
}

// write replicates records; writes complete in the order in which they were started.
func (p *partition) write(records []replication.Record, done func(error)) {
	p.writeStarts = append(p.writeStarts, p.store.now())
	p.replica.Write(records, func(err error) {
		p.writeStarts = p.writeStarts[1:]
		done(err)
	})
}

// writesSlow reports whether writes take too long to accept another message.
func (p *partition) writesSlow(now time.Duration) bool {
	return len(p.writeStarts) > 0 && now-p.writeStarts[0] > slowWriteAge
}

// logBlockedWrites logs once if members block writes for blockedLogDelay: control has not excluded them yet.
func (p *partition) logBlockedWrites(now time.Duration) {
	blocked := p.replica.BlockingPeers()
	switch {
	case !p.leading || len(blocked) == 0:
		p.blockedSince, p.blockedLogged = 0, false
	case p.blockedSince == 0:
		p.blockedSince = now
	case now-p.blockedSince > blockedLogDelay && !p.blockedLogged:
		p.blockedLogged = true
		p.store.logger.Warn("writes are blocked by members that are not in sync", zap.Uint32("partition", p.number),
			zap.Strings("members", blocked))
	}
}

func revisionOf(v protocol.ItemVersion) queue.Revision {
	return queue.Revision{Term: v.Term, Number: v.Number}
}
