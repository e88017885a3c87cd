package replication

import (
	"slices"
	"strings"
	"time"

	"liftgauge/reconcile"
)

type peerState uint8

const (
	peerApart     peerState = iota // not linked, or not begun with
	peerJoining                    // Join is sent
	peerComparing                  // it has joined and takes writes; the records of before are being compared
	peerRepairing                  // differences are being sent
	peerEqual                      // it holds everything that was written up to what it has acknowledged
	peerFailed                     // to be begun anew
	peerAbsorbing                  // a source has joined, and what it holds is being taken over
)

const (
	queriesAtOnce  = 4
	retryAfter     = 200 * time.Millisecond
	stalledAfter   = 3 * time.Second
	rangesInAQuery = 256
	itemsInARange  = 64
)

// repairLimits bound a repair, in bytes.
type repairLimits struct {
	slice  int // in one message
	window int // under way
	atomic int // up to here the repair of a member is one message, so that no state in between can ever be seen
}

func defaultRepairLimits() repairLimits {
	return repairLimits{slice: 64 << 10, window: 256 << 10, atomic: 4 << 20}
}

// outbound is a primary's stream to one other member.
type outbound struct {
	id     MemberID
	state  peerState
	stream uint64

	sent    uint64 // sequence number of the last batch
	acked   uint64 // on disk there, up to here
	begun   uint64 // index of the last write before the stream took writes
	covered uint64 // index of the last write known to be on disk there, if it is after begun
	flight  []inFlight

	comparison *reconcile.Comparison
	queries    int      // not answered
	changed    []string // keys to be sent
	extra      []string // keys to be deleted
	repairing  int      // bytes of the repair under way
	wanted     []string // keys to be asked for, of a source
	equalAt    uint64   // the sequence number whose ack makes it equal

	heard     bool // since the last Tick
	idleSince time.Duration
	excused   time.Duration // of the time since, this process stood still
	timed     bool

	refuses      bool // its disk has refused what was sent, and has taken nothing since; this outlives the stream
	refusesSince time.Duration
}

// inFlight is a batch that was sent and is not acknowledged.
type inFlight struct {
	seq   uint64
	write uint64 // index, or zero for a repair
	bytes int    // of a repair
}

func (p *outbound) reset() {
	*p = outbound{id: p.id, refuses: p.refuses, refusesSince: p.refusesSince}
}

// fail ends the stream until Tick begins another.
func (p *outbound) fail() {
	p.reset()
	p.state = peerFailed
}

// took notes whether the peer's disk has taken what was sent.
func (p *outbound) took(ok bool, now time.Duration) {
	if !ok && !p.refuses {
		p.refusesSince = now
	}
	p.refuses = !ok
}

// streaming tells whether the peer has joined and takes writes.
func (p *outbound) streaming() bool { return p.state >= peerComparing && p.state <= peerEqual }

// holds tells whether a write is known to be on the peer's disk.
func (p *outbound) holds(index uint64) bool {
	if p.state == peerEqual {
		return index <= max(p.begun, p.covered)
	}
	return p.streaming() && index > p.begun && index <= p.covered
}

// owes tells whether a write was sent to the peer in this stream and is not on its disk yet.
func (p *outbound) owes(index uint64) bool {
	return p.streaming() && index > p.begun && index > p.covered
}

// overdue tells whether it is time to begin the stream anew, because it failed or because nothing came of it.
func (p *outbound) overdue(now time.Duration) bool {
	if !p.timed || p.heard || !p.busy() {
		p.timed, p.heard, p.idleSince, p.excused = true, false, now, 0
		return p.state == peerApart
	}
	if p.state == peerFailed {
		return now-p.idleSince >= retryAfter
	}
	return now-p.idleSince >= stalledAfter
}

// begin asks a linked peer to join and starts a new stream to it. Before everything is absorbed, only sources are asked.
func (r *Replica) begin(p *outbound) {
	if len(r.lead.sources) > 0 && !r.lead.sources[p.id] {
		return
	}
	r.lead.streams++
	p.state = peerJoining
	p.stream = r.lead.streams
	r.o.Send(p.id, &Join{Epoch: r.lead.view.Epoch, Stream: p.stream, View: r.lead.view})
}

// peerOf returns the stream that a peer's message belongs to, or nil if there is none any more.
func (r *Replica) peerOf(from MemberID, epoch, stream uint64) *outbound {
	if r.lead == nil || r.lead.view.Epoch != epoch {
		return nil
	}
	p := r.lead.peers[from]
	if p == nil || p.state == peerApart || p.state == peerFailed || p.stream != stream {
		return nil
	}
	p.heard = true
	return p
}

func (r *Replica) receiveJoinReply(from MemberID, m *JoinReply) {
	p := r.peerOf(from, m.Epoch, m.Stream)
	if p == nil || p.state != peerJoining {
		return
	}
	if !m.OK {
		p.fail()
		r.refused(m.Joined)
		return
	}
	p.state = peerComparing
	p.begun = r.writes.last()
	own := groupSource{storage: r.o.Storage, group: r.o.Group}
	p.comparison = reconcile.NewComparison(own, reconcile.Limits{Items: itemsInARange, Ranges: rangesInAQuery})
	p.comparison.Next() // asks for the digest of all, which came with the reply
	p.comparison.HandleDigest(reconcile.All(), m.Digest)
	r.compare(p)
}

// groupSource is the own side of a comparison.
type groupSource struct {
	storage Storage
	group   uint32
}

func (s groupSource) Digest(r reconcile.Range) reconcile.Digest { return s.storage.Digest(s.group, r) }
func (s groupSource) Items(r reconcile.Range) []reconcile.Item  { return s.storage.Items(s.group, r) }

// compare asks what there is to ask. After the last answer it begins the repair.
//
// The other side answers at its point of the stream, with all batches before the question and none behind it. What is found to differ is
// read and sent as it is here when it is sent, in the order of the stream, so a write under way can neither be undone nor missed.
func (r *Replica) compare(p *outbound) {
	for p.queries < queriesAtOnce {
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
		r.absorb(p, found)
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

func (r *Replica) receiveReply(from MemberID, m *RangeReply) {
	p := r.peerOf(from, m.Epoch, m.Stream)
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

// repair sends the next slices of what differs: first what the other lacks or has in another version, by key, then deletions in the
// opposite order. A member, or a learner that may be one by now, gets all in one batch where that is possible: if this primary fails in
// between, the other may become primary with what it has, and must not show half of a batch.
func (r *Replica) repair(p *outbound) {
	slice, window := r.limits.slice, r.limits.window
	if r.lead.mustHave(p.id) {
		slice, window = r.limits.atomic, r.limits.atomic
	}
	for len(p.changed)+len(p.extra) > 0 && p.repairing < window {
		records, size, err := r.nextSlice(p, slice)
		if err != nil {
			p.fail()
			return
		}
		p.repairing += size
		r.send(p, inFlight{bytes: size}, records)
	}
	if len(p.changed)+len(p.extra) == 0 && p.equalAt == 0 {
		p.changed, p.extra = nil, nil
		p.equalAt = p.sent
	}
	r.checkEqual(p)
}

// nextSlice takes keys off the repair and reads their records as they are now.
func (r *Replica) nextSlice(p *outbound, limit int) (records []Record, size int, err error) {
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
	p.flight = append(p.flight, batch)
	r.o.Send(p.id, &Append{Epoch: r.lead.view.Epoch, Stream: p.stream, Seq: p.sent, Records: records})
}

func (r *Replica) receiveAck(from MemberID, m *AppendAck) {
	p := r.peerOf(from, m.Epoch, m.Stream)
	if p == nil || !p.streaming() {
		return
	}
	p.took(!m.Failed, r.stall.ticked)
	if m.Failed || m.Joined > m.Epoch {
		p.fail()
		r.refused(m.Joined)
		return
	}
	p.acked = max(p.acked, min(m.Seq, p.sent))
	for len(p.flight) > 0 && p.flight[0].seq <= p.acked {
		p.repairing -= p.flight[0].bytes
		p.covered = max(p.covered, p.flight[0].write)
		p.flight = p.flight[1:]
	}
	if p.state == peerRepairing {
		r.repair(p)
	}
	if r.lead != nil {
		r.complete()
	}
}

// checkEqual makes a peer equal once the last batch of its repair, and everything that the comparison may have seen, is on its disk.
func (r *Replica) checkEqual(p *outbound) {
	if p.state == peerRepairing && len(p.changed)+len(p.extra) == 0 && p.acked >= p.equalAt {
		p.state = peerEqual
		r.advance()
	}
}
