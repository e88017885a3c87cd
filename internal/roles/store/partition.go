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
	// groupBase is the replication group of partition 0.
	groupBase = 1000
	// sequenceBits are the bits of a sequence number below the epoch.
	sequenceBits = 40
	// attemptBits are the bits of a hand-out's number below those of the epoch, so that two primaries never use the same number.
	attemptBits = 12
	// helloTimeout is how long a new primary waits to hear from all live dispatchers what they hold, when the one before was lost.
	helloTimeout = 500 * time.Millisecond
	// plannedHelloTimeout is the same when the one before is a member still, or lives: nothing was lost, and nothing shall run twice.
	plannedHelloTimeout = 1500 * time.Millisecond
	// blockedLogDelay is how long members may hold up writes before the log says so.
	blockedLogDelay = 300 * time.Millisecond
	// slowWriteAge is the age of the oldest write from which on no more messages are accepted: others have faster partitions.
	slowWriteAge = 250 * time.Millisecond
)

// partition is this store's part in one partition.
type partition struct {
	store        *store
	number       uint32
	replica      *replication.Replica
	view         protocol.PartitionView // by the newest partition table that named this store
	tableVersion protocol.ItemVersion   // of the table that view came with
	links        map[string]*rpc.Conn   // the connections that the replica was told of

	dropping        bool
	plannedTakeover bool // the primary before is a member of the view, or lives

	// Of the primary:
	leading        bool // active in an epoch, and not deposed since
	epoch          uint64
	earlierLeases  []earlierLease // to the primary before
	helloDeadline  time.Duration  // dispatchers are not waited for any longer
	hellosComplete bool           // all dispatchers have said what they hold
	sequence       uint64
	offers         []string // learners that are equal, in the epoch of the view
	pending        map[string]*pendingAccept
	endings        map[string]*ending
	ended          map[string]int64 // when messages ended that are still known, cluster time
	endedOrder     []endedMessage
	writeStarts    []time.Duration // when each write that is not done was begun
	blockedSince   time.Duration   // writes are held up; 0 for not
	blockedLogged  bool
}

func groupOf(partition uint32) uint32 { return groupBase + partition }

func (s *store) newPartition(number uint32) (*partition, error) {
	p := &partition{store: s, number: number, links: map[string]*rpc.Conn{}}
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

// helloTimeout returns how long to wait for dispatchers.
func (p *partition) helloTimeout() time.Duration {
	if p.plannedTakeover {
		return plannedHelloTimeout
	}
	return helloTimeout
}

// continueLeading goes on as primary in a later epoch. Dispatchers that know it drop what bears a lower one.
func (p *partition) continueLeading(now time.Duration) {
	s := p.store
	s.queue.SetEpoch(p.number, p.view.Epoch)
	for _, sess := range s.sessions {
		s.requeueUnlisted(now, sess, p)
	}
}

func (p *partition) clearMessages() {
	p.pending = map[string]*pendingAccept{}
	p.endings = map[string]*ending{}
	p.ended = map[string]int64{}
	p.endedOrder = nil
}

// Active implements replication.Events. A primary that goes on in a later epoch keeps its queue.
func (p *partition) Active(epoch uint64) {
	s := p.store
	now := s.now()
	p.epoch = epoch
	if p.leading {
		return
	}
	p.leading = true
	s.queue.SetEpoch(p.number, epoch)
	p.helloDeadline, p.hellosComplete = now+p.helloTimeout(), false
	if err := p.rebuild(now); err != nil {
		s.logger.Error("records of a partition cannot be read; it is not served by this store",
			zap.Uint32("partition", p.number), zap.Error(err))
		s.queue.Drop(p.number)
		p.leading = false
		return
	}
	s.markHeld(now, p.number)
	s.logger.Info("primary of a partition", zap.Uint32("partition", p.number), zap.Uint64("epoch", epoch),
		zap.Int("messages", s.queue.Len(p.number)))
}

// Deposed implements replication.Events.
func (p *partition) Deposed(epoch uint64) {
	p.leading, p.blockedSince = false, 0
	p.offers = nil
	p.store.queue.Drop(p.number)
	p.store.bodies.drop(p.number)
	p.refuseEndings()
	p.clearMessages()
}

// Offer implements replication.Events.
func (p *partition) Offer(epoch uint64, learner string) { p.offers = append(p.offers, learner) }

// Applied implements replication.Events.
func (p *partition) Applied([]replication.Record) {}

// rebuild fills the queue from the records.
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

// nextSequence draws the place of a message in the order of acceptance.
func (p *partition) nextSequence() uint64 {
	p.sequence = max(p.sequence, p.epoch<<sequenceBits) + 1
	return p.sequence
}

// mayAct reports whether this store may hand out messages of the partition and answer for their states.
func (p *partition) mayAct(now time.Duration) bool {
	return p.leading && p.earlierLeasesUntil(now) == 0 && p.leasesUntil() > now
}

// earlierLeasesUntil returns when what was promised to the primary before is over at the latest; 0 if it is.
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

// leasesUntil returns when the first of the leases that the partition needs is over.
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

// mayDeliver reports whether deliveries may go out, and until when that is sure without another look.
func (p *partition) mayDeliver(now time.Duration) bool {
	if !p.mayAct(now) || p.store.diskStalled {
		return false
	}
	if !p.hellosComplete {
		p.hellosComplete = now >= p.helloDeadline || p.store.allHellosReceived(p.tableVersion)
	}
	return p.hellosComplete
}

// write replicates records; writes are done in the order in which they were begun.
func (p *partition) write(records []replication.Record, done func(error)) {
	p.writeStarts = append(p.writeStarts, p.store.now())
	p.replica.Write(records, func(err error) {
		p.writeStarts = p.writeStarts[1:]
		done(err)
	})
}

// writesSlow reports whether writes take too long for another message to be accepted.
func (p *partition) writesSlow(now time.Duration) bool {
	return len(p.writeStarts) > 0 && now-p.writeStarts[0] > slowWriteAge
}

// logBlockedWrites logs once when members hold up writes for long: control has not left them out yet.
func (p *partition) logBlockedWrites(now time.Duration) {
	blocked := p.replica.BlockingPeers()
	switch {
	case !p.leading || len(blocked) == 0:
		p.blockedSince, p.blockedLogged = 0, false
	case p.blockedSince == 0:
		p.blockedSince = now
	case now-p.blockedSince > blockedLogDelay && !p.blockedLogged:
		p.blockedLogged = true
		p.store.logger.Warn("writes wait for members that are not equal", zap.Uint32("partition", p.number),
			zap.Strings("members", blocked))
	}
}

func revisionOf(v protocol.ItemVersion) queue.Revision {
	return queue.Revision{Term: v.Term, Number: v.Number}
}
