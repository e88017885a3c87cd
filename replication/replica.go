package replication

import (
	"slices"
	"time"
)

// Events notifies the owner of a Replica of its state changes. The methods are called on the owner's loop, from within calls of the
// Replica.
type Events interface {
	// Active: this replica is the primary of the epoch, and every member has joined and is in sync. Its state may be read and acted upon.
	Active(epoch uint64)
	// Deposed: this replica is no longer the primary of the epoch: a newer view names another one, or a member has joined a newer epoch.
	Deposed(epoch uint64)
	// Offer: the learner is in sync. The view that directly follows this epoch, and no other, may promote it to member.
	Offer(epoch uint64, learner MemberID)
	// Applied: a backup or learner has applied records of a write or a repair to its index.
	Applied(records []Record)
}

// ReplicaOptions configures a Replica. All fields are required.
type ReplicaOptions struct {
	Group   uint32
	Self    MemberID
	Copies  int // minimum number of disks that a write must be on, the local one included
	Storage Storage
	Post    func(func())                 // runs a function on the owner's loop, asynchronously and in order; storage callbacks use it
	Send    func(to MemberID, m Message) // ordered while linked; may lose messages when the link breaks; must not call back synchronously
	Events  Events
}

// Replica is one member's state machine for one group.
type Replica struct {
	o            ReplicaOptions
	disk         disk
	joined       joinState // as on disk
	loaded       joinState // as on disk when the process started
	dropping     bool
	fence        uint64 // requests of lower epochs are rejected
	highestEpoch uint64
	view         View // newest installed view
	linked       map[MemberID]bool
	limits       repairLimits
	stall        stallDetector

	lead     *leadership // nil unless primary or candidate
	versions versions
	writes   writeQueue

	stream *inbound // nil unless backup or learner
}

// NewReplica returns a replica, with the epoch that this member has joined read from storage.
func NewReplica(o ReplicaOptions) (*Replica, error) {
	j, err := loadJoinState(o.Storage, o.Group)
	if err != nil {
		return nil, err
	}
	return &Replica{
		o:            o,
		disk:         disk{group: o.Group, storage: o.Storage, post: o.Post},
		joined:       j,
		loaded:       j,
		fence:        j.Epoch,
		highestEpoch: j.Epoch,
		linked:       make(map[MemberID]bool),
		limits:       defaultRepairLimits(),
	}, nil
}

// Prepare makes this replica the candidate for primary of a view that is not decided yet: it joins the epoch, has the other members
// join and catch up, and calls ready. Writes wait until Install of the same epoch. Only for groups that decide views with an Elector.
//
// If a higher epoch was joined already, Prepare results in Events.Deposed, and HighestEpoch returns that epoch.
func (r *Replica) Prepare(v View, ready func(epoch uint64)) {
	if r.disk.closed {
		return
	}
	if v.Epoch <= r.fence {
		r.o.Post(func() { r.o.Events.Deposed(v.Epoch) })
		return
	}
	r.startLeadership(v, false, ready)
}

// Install installs a decided view. Views older than the installed one are ignored.
func (r *Replica) Install(v View) {
	if r.disk.closed || v.Epoch <= r.view.Epoch {
		return
	}
	r.view = v.Clone()
	r.highestEpoch = max(r.highestEpoch, v.Epoch)
	switch {
	case r.lead != nil && r.lead.view.Epoch == v.Epoch:
		r.lead.installed = true
		r.advance()
	case v.Primary == r.o.Self && r.mayLead(v):
		r.startLeadership(v, true, nil)
	case r.lead != nil && r.lead.view.Epoch < v.Epoch:
		r.depose()
	case r.lead != nil:
		// A candidate of a higher epoch continues, but the outcome of its writes as an earlier primary, before this view, is unknown.
		r.writes.fail(ErrDeposed)
	}
}

// mayLead reports whether the joined epoch permits this replica to be primary of v. In the joined epoch itself, only the primary that
// had joined it may continue.
func (r *Replica) mayLead(v View) bool {
	return v.Epoch > r.fence || v.Epoch == r.joined.Epoch && v.Epoch == r.fence && r.joined.View.Primary == r.o.Self
}

// StepDown ends the primary role: pending writes fail with ErrDeposed.
func (r *Replica) StepDown() {
	if r.lead != nil {
		r.depose()
	}
}

// Receive handles a message from another member.
func (r *Replica) Receive(from MemberID, m Message) {
	if r.disk.closed {
		return
	}
	switch m := m.(type) {
	case *Join:
		r.receiveJoin(from, m)
	case *Append:
		r.receiveAppend(from, m)
	case *RangeQuery:
		r.receiveRangeQuery(from, m)
	case *JoinReply:
		r.receiveJoinReply(from, m)
	case *RangeReply:
		r.receiveRangeReply(from, m)
	case *AppendAck:
		r.receiveAppendAck(from, m)
	case *RecordQuery:
		r.receiveRecordQuery(from, m)
	case *RecordReply:
		r.receiveRecordReply(from, m)
	}
}

// SetLinked reports that the link to a peer came up or broke. Each new link restarts the stream.
func (r *Replica) SetLinked(peer MemberID, up bool) {
	if up {
		r.linked[peer] = true
	} else {
		delete(r.linked, peer)
	}
	if r.lead == nil || r.disk.closed {
		return
	}
	if p := r.lead.peers[peer]; p != nil {
		p.reset()
		if up && r.lead.joined {
			r.beginStream(p)
		}
		r.advance()
	}
}

// Tick restarts streams that failed or hang, such as a repair that met a full disk. It should be called several times a second.
func (r *Replica) Tick(now time.Duration) {
	pause := r.stall.tick(&r.disk, now)
	if r.disk.closed || r.lead == nil {
		return
	}
	for _, p := range r.lead.peers {
		p.pausedFor += pause
		p.diskFailingSince += pause
	}
	if !r.lead.joined {
		if r.lead.joinFailed {
			r.joinOwnEpoch()
		}
		return
	}
	healed := !r.disk.isConsistent()
	r.disk.rewriteFailed()
	for _, id := range r.lead.order {
		p := r.lead.peers[id]
		if r.linked[id] && (healed || p.needsRestart(now)) {
			p.reset()
			r.beginStream(p)
		}
	}
}

// SetCopies changes the minimum number of disks that a write must be on. Pending writes are checked again with the next event.
func (r *Replica) SetCopies(copies int) { r.o.Copies = copies }

// View returns the newest installed view.
func (r *Replica) View() View { return r.view }

// IsActive reports whether this replica is the primary of its view and all members are in sync with it.
func (r *Replica) IsActive() bool { return r.lead != nil && r.lead.active }

// JoinedEpoch returns the epoch that this member has joined: it rejects all requests of lower epochs.
func (r *Replica) JoinedEpoch() uint64 { return r.joined.Epoch }

// HighestEpoch returns the highest epoch seen by this member or reported by another one.
func (r *Replica) HighestEpoch() uint64 { return r.highestEpoch }

// BlockingPeers returns the members and offered learners that currently block all writes: they have not joined or are not in sync.
func (r *Replica) BlockingPeers() []MemberID {
	if r.lead == nil {
		return nil
	}
	var blocked []MemberID
	for _, id := range r.lead.order {
		if p := r.lead.peers[id]; r.lead.isRequired(id) && p.state != peerInSync {
			blocked = append(blocked, id)
		}
	}
	return blocked
}

// Pending returns the number of uncommitted writes.
func (r *Replica) Pending() int { return r.writes.len() }

// Close stops the replica: pending writes fail with ErrDeposed, and later calls do nothing. The records are kept.
func (r *Replica) Close() {
	r.lead = nil
	r.disk.closed = true
	r.writes.fail(ErrDeposed)
}

// Drop deletes the records of the group at a member that the installed view no longer includes, and closes the replica. It first
// joins the view's epoch on disk, so that this replica cannot become primary of an older view again without its records. Meanwhile
// the replica joins no primary. done is called on the owner's loop; after an error the replica continues as if Drop had not been called.
func (r *Replica) Drop(done func(error)) {
	if r.disk.closed || r.dropping || r.view.Includes(r.o.Self) || r.fence > r.view.Epoch {
		r.o.Post(func() { done(ErrStillMember) })
		return
	}
	epoch := r.view.Epoch
	r.dropping = true
	r.stream = nil
	r.fence = epoch
	r.persist(joinState{Epoch: epoch, View: r.view})
	fail := func(err error) {
		r.dropping = false
		done(err)
	}
	r.disk.afterSyncs(func() {
		switch {
		case r.view.Includes(r.o.Self):
			fail(ErrStillMember)
		case r.joined.Epoch != epoch:
			fail(ErrStorage)
		default:
			r.disk.drop(func(err error) {
				if err != nil {
					fail(ErrStorage)
					return
				}
				r.Close()
				done(nil)
			})
		}
	})
}

// persist writes the joined epoch, never a lower one than the fence. r.joined changes once the write is on disk, so callers check it in
// disk.afterSyncs.
func (r *Replica) persist(j joinState) {
	if j.Epoch < r.fence {
		return
	}
	j.View = j.View.Clone()
	r.disk.append(LocalGroup, []Record{j.record(r.o.Group)}, func(err error) {
		if err == nil && (j.Epoch > r.joined.Epoch || j.Epoch == r.joined.Epoch && j.Reserved >= r.joined.Reserved) {
			r.joined = j
		}
	})
}

// sortedPeers returns the other members of a view in their order, then the learners.
func sortedPeers(v View, self MemberID) []MemberID {
	var order []MemberID
	seen := map[MemberID]bool{self: true}
	for _, id := range slices.Concat(v.Members, v.Learners) {
		if !seen[id] {
			seen[id] = true
			order = append(order, id)
		}
	}
	return order
}
