package replication

import (
	"slices"
	"strings"
	"time"

	"liftgauge/reconcile"
)

type peerState uint8

const (
	peerDisconnected peerState = iota // not linked, or no stream started
	peerJoining                       // Join was sent
	peerComparing                     // it has joined and receives writes; the earlier records are being compared
	peerRepairing                     // differences are being sent
	peerInSync                        // it has all writes up to the last one that it has acknowledged
	peerFailed                        // waits to be restarted
	peerMerging                       // a source has joined, and its newer records are being merged
)

const (
	maxOpenQueries = 4
	retryAfter     = 200 * time.Millisecond
	streamTimeout  = 3 * time.Second
	rangesPerQuery = 256
	itemsPerRange  = 64
)

// repairLimits bound a repair, in bytes.
type repairLimits struct {
	messageSize int // of one message
	windowSize  int // of all unacknowledged messages
	atomicSize  int // up to this size the repair of a member is one message, so that no intermediate state is ever visible
}

func defaultRepairLimits() repairLimits {
	return repairLimits{messageSize: 64 << 10, windowSize: 256 << 10, atomicSize: 4 << 20}
}

// outbound is a primary's stream to one other member.
type outbound struct {
	id     MemberID
	state  peerState
	stream uint64

	sent        uint64 // sequence number of the last batch
	acked       uint64 // sequence number up to which all batches are on the peer's disk
	beginIndex  uint64 // index of the last write before the stream carried writes
	syncedIndex uint64 // index of the last write known to be on the peer's disk, if it is after beginIndex
	unacked     []inFlight

	comparison *reconcile.Comparison
	queries    int      // unanswered queries
	changed    []string // keys to send
	extra      []string // keys to delete
	repairing  int      // unacknowledged bytes of the repair
	missing    []string // keys to request from a source
	inSyncAt   uint64   // the sequence number whose ack completes the repair

	heardSinceTick bool // a message was received since the last Tick
	idleSince      time.Duration
	pausedFor      time.Duration // how much of the time since idleSince this process was paused
	timerStarted   bool

	diskFailing      bool // its disk failed a batch and has stored none since; kept across streams
	diskFailingSince time.Duration
}

// inFlight is a batch that was sent and not acknowledged yet.
type inFlight struct {
	seq   uint64
	write uint64 // index of the write, or zero for a repair
	bytes int    // size of a repair; zero for a write
}

func (p *outbound) reset() {
	*p = outbound{id: p.id, diskFailing: p.diskFailing, diskFailingSince: p.diskFailingSince}
}

// fail ends the stream until Tick starts another one.
func (p *outbound) fail() {
	p.reset()
	p.state = peerFailed
}

// noteDiskResult records whether the peer's disk has stored a batch.
func (p *outbound) noteDiskResult(ok bool, now time.Duration) {
	if !ok && !p.diskFailing {
		p.diskFailingSince = now
	}
	p.diskFailing = !ok
}

// streaming reports whether the peer has joined and receives writes.
func (p *outbound) streaming() bool { return p.state >= peerComparing && p.state <= peerInSync }

// holds reports whether a write is known to be on the peer's disk.
func (p *outbound) holds(index uint64) bool {
	if p.state == peerInSync {
		return index <= max(p.beginIndex, p.syncedIndex)
	}
	return p.streaming() && index > p.beginIndex && index <= p.syncedIndex
}

// isUnsynced reports whether a write was sent to the peer in this stream and is not known to be on its disk yet.
func (p *outbound) isUnsynced(index uint64) bool {
	return p.streaming() && index > p.beginIndex && index > p.syncedIndex
}

// needsRestart reports whether it is time to restart the stream, because it failed or made no progress for streamTimeout. With progress, or
// without outstanding work, it restarts the timer.
func (p *outbound) needsRestart(now time.Duration) bool {
	if !p.timerStarted || p.heardSinceTick || !p.hasOutstandingWork() {
		p.timerStarted, p.heardSinceTick, p.idleSince, p.pausedFor = true, false, now, 0
		return p.state == peerDisconnected
	}
	if p.state == peerFailed {
		return now-p.idleSince >= retryAfter
	}
	return now-p.idleSince >= streamTimeout
}

// beginStream requests a linked peer to join and starts a new stream to it. Only sources are requested until all of them are merged.
func (r *Replica) beginStream(p *outbound) {
	if len(r.lead.sources) > 0 && !r.lead.sources[p.id] {
		return
	}
	r.lead.lastStream++
	p.state = peerJoining
	p.stream = r.lead.lastStream
	r.o.Send(p.id, &Join{Epoch: r.lead.view.Epoch, Stream: p.stream, View: r.lead.view})
}

// streamOf returns the stream that a peer's message belongs to, or nil if that stream is over.
func (r *Replica) streamOf(from MemberID, epoch, stream uint64) *outbound {
	if r.lead == nil || r.lead.view.Epoch != epoch {
		return nil
	}
	p := r.lead.peers[from]
	if p == nil || p.state == peerDisconnected || p.state == peerFailed || p.stream != stream {
		return nil
	}
	p.heardSinceTick = true
	return p
}

func (r *Replica) receiveJoinReply(from MemberID, m *JoinReply) {
	p := r.streamOf(from, m.Epoch, m.Stream)
	if p == nil || p.state != peerJoining {
		return
	}
	if !m.OK {
		p.fail()
		r.noteHigherEpoch(m.Joined)
		return
	}
	p.state = peerComparing
	p.beginIndex = r.writes.last()
	local := localRecords{storage: r.o.Storage, group: r.o.Group}
	p.comparison = reconcile.NewComparison(local, reconcile.Limits{Items: itemsPerRange, Ranges: rangesPerQuery})
	p.comparison.Next() // the first query is for the digest of all records, which came with the reply
	p.comparison.HandleDigest(reconcile.All(), m.Digest)
	r.compare(p)
}

// localRecords is the local side of a comparison.
type localRecords struct {
	storage Storage
	group   uint32
}

func (s localRecords) Digest(r reconcile.Range) reconcile.Digest { return s.storage.Digest(s.group, r) }
func (s localRecords) Items(r reconcile.Range) []reconcile.Item  { return s.storage.Items(s.group, r) }

// compare sends the next queries of the comparison, and starts the repair after the last answer.
//
// The peer answers at its position of the stream, with all batches before the query applied and none after it. Records that differ are
// read from the index when they are sent, in the order of the stream, so a concurrent write can be neither undone nor missed.
func (r *Replica) compare(p *outbound) {
	for p.queries < maxOpenQueries {
		q := p.comparison.Next()
		if q.Empty() {
			break
		}
		p.queries++
		r.o.Send(p.id, &RangeQuery{Epoch: r.lead.view.Epoch, Stream: p.stream, Digests: q.Digests, Items: q.Items})
	}
	if !p.comparison.Done() {
		return
	}
	found := p.comparison.TakeDifference()
	p.comparison = nil
	if r.lead.sources[p.id] {
		r.mergeSource(p, found)
		return
	}
	p.changed, p.extra = sortedKeys(found.Changed), sortedKeys(found.Extra)
	slices.Reverse(p.extra)
	p.state = peerRepairing
	r.repair(p)
}

func sortedKeys(items []reconcile.Item) []string {
	keys := make([]string, 0, len(items))
	for _, item := range items {
		keys = append(keys, item.Key)
	}
	slices.SortFunc(keys, strings.Compare)
	return slices.Compact(keys)
}

func (r *Replica) receiveRangeReply(from MemberID, m *RangeReply) {
	p := r.streamOf(from, m.Epoch, m.Stream)
	if p == nil || p.state != peerComparing {
		return
	}
	p.queries--
	for _, d := range m.Digests {
		p.comparison.HandleDigest(d.Range, d.Digest)
	}
	for _, list := range m.Items {
		p.comparison.HandleItems(list.Range, list.Items)
	}
	r.compare(p)
}

// repair sends the next differing records: first those that the peer lacks or has in another version, by key, then deletions in
// reverse order. A member, or a learner that may have been promoted, gets all of them in one batch if possible: if this primary fails
// in between, the peer may become primary with the records that it has, and must not expose half of a batch.
func (r *Replica) repair(p *outbound) {
	messageSize, windowSize := r.limits.messageSize, r.limits.windowSize
	if r.lead.isRequired(p.id) {
		messageSize, windowSize = r.limits.atomicSize, r.limits.atomicSize
	}
	for len(p.changed)+len(p.extra) > 0 && p.repairing < windowSize {
		records, size, err := r.nextBatch(p, messageSize)
		if err != nil {
			p.fail()
			return
		}
		p.repairing += size
		r.send(p, inFlight{bytes: size}, records)
	}
	if len(p.changed)+len(p.extra) == 0 && p.inSyncAt == 0 {
		p.changed, p.extra = nil, nil
		p.inSyncAt = p.sent
	}
	r.checkInSync(p)
}

// nextBatch takes the next keys of the repair and reads their current records.
func (r *Replica) nextBatch(p *outbound, limit int) (records []Record, size int, err error) {
	for size < limit && len(p.changed)+len(p.extra) > 0 {
		keys := &p.changed
		if len(*keys) == 0 {
			keys = &p.extra
		}
		key := (*keys)[0]
		*keys = (*keys)[1:]
		record, found, err := r.o.Storage.Get(r.o.Group, key)
		if err != nil {
			return nil, 0, err
		}
		if !found {
			record = Record{Key: key, Deleted: true}
		}
		records = append(records, record)
		size += record.size()
	}
	return records, size, nil
}

func (r *Replica) sendWrite(p *outbound, index uint64, records []Record) {
	r.send(p, inFlight{write: index}, records)
}

func (r *Replica) send(p *outbound, batch inFlight, records []Record) {
	p.sent++
	batch.seq = p.sent
	p.unacked = append(p.unacked, batch)
	r.o.Send(p.id, &Append{Epoch: r.lead.view.Epoch, Stream: p.stream, Seq: p.sent, Records: records})
}

func (r *Replica) receiveAppendAck(from MemberID, m *AppendAck) {
	p := r.streamOf(from, m.Epoch, m.Stream)
	if p == nil || !p.streaming() {
		return
	}
	p.noteDiskResult(!m.Failed, r.stall.lastTick)
	if m.Failed || m.Joined > m.Epoch {
		p.fail()
		r.noteHigherEpoch(m.Joined)
		return
	}
	p.acked = max(p.acked, min(m.Seq, p.sent))
	for len(p.unacked) > 0 && p.unacked[0].seq <= p.acked {
		p.repairing -= p.unacked[0].bytes
		p.syncedIndex = max(p.syncedIndex, p.unacked[0].write)
		p.unacked = p.unacked[1:]
	}
	if p.state == peerRepairing {
		r.repair(p)
	}
	if r.lead != nil {
		r.completeWrites()
	}
}

// checkInSync marks a peer as in sync once the last batch of its repair, and all records that the comparison may have seen, are on its
// disk.
func (r *Replica) checkInSync(p *outbound) {
	if p.state == peerRepairing && len(p.changed)+len(p.extra) == 0 && p.acked >= p.inSyncAt {
		p.state = peerInSync
		r.advance()
	}
}
