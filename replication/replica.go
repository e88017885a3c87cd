package replication

import (
	"slices"
	"time"
)

// Events tells the owner of a Replica what happens to it. The calls come on the owner's loop, from within calls of the Replica.
type Events interface {
	// Active: this replica is the primary of the epoch, and every member has joined and is equal. The state may be read and acted upon.
	Active(epoch uint64)
	// Deposed: this replica is no longer the primary of the epoch: a newer view names another, or a member has joined a newer epoch.
	Deposed(epoch uint64)
	// Offer: the learner is equal. Whoever decides views may make it a member in the view that follows this epoch, and in no other.
	Offer(epoch uint64, learner MemberID)
	// Applied: a backup or learner has taken records, by a write or a repair, after they are in the index.
	Applied(records []Record)
}

// ReplicaOptions say what a Replica works with. All fields are needed.
type ReplicaOptions struct {
	Group   uint32
	Self    MemberID
	Copies  int // how many disks a write must be on at least, the own one included
	Storage Storage
	Post    func(func())                 // runs a function on the owner's loop, later and in order; storage callbacks use it
	Send    func(to MemberID, m Message) // in order while linked; may be lost when the link breaks; does not call back at once
	Events  Events
}

// Replica is one member's part in one group.
type Replica struct {
	o        ReplicaOptions
	disk     disk
	joined   joined // as it is on disk
	loaded   joined // as it was on disk at the start of the process
	dropping bool
	fence    uint64 // what is of a lower epoch is refused
	highest  uint64
	view     View // the newest installed one
	linked   map[MemberID]bool
	limits   repairLimits
	stall    stallWatch

	lead     *leadership // of a primary or candidate
	versions versions
	writes   writeQueue

	stream *inbound // of a backup or learner
}

// NewReplica reads from storage which epoch this member has joined.
func NewReplica(o ReplicaOptions) (*Replica, error) {
	j, err := loadJoined(o.Storage, o.Group)
	if err != nil {
		return nil, err
	}
	return &Replica{
		o:       o,
		disk:    disk{group: o.Group, storage: o.Storage, post: o.Post},
		joined:  j,
		loaded:  j,
		fence:   j.Epoch,
		highest: j.Epoch,
		linked:  make(map[MemberID]bool),
		limits:  defaultRepairLimits(),
	}, nil
}

// Prepare makes this replica the primary of a view that is not decided yet: it joins the epoch, joins and equalises the other members,
// and calls ready. Writes wait until Install of the same epoch. Only for groups whose primary decides views by an Elector.
//
// Where a higher epoch was joined already, the answer is Events.Deposed; Highest then says which.
func (r *Replica) Prepare(v View, ready func(epoch uint64)) {
	if r.disk.closed {
		return
	}
	if v.Epoch <= r.fence {
		r.o.Post(func() { r.o.Events.Deposed(v.Epoch) })
		return
	}
	r.takeLead(v, false, ready)
}

// Install takes a decided view. Older ones than the present are ignored.
func (r *Replica) Install(v View) {
	if r.disk.closed || v.Epoch <= r.view.Epoch {
		return
	}
	r.view = v.Clone()
	r.highest = max(r.highest, v.Epoch)
	switch {
	case r.lead != nil && r.lead.view.Epoch == v.Epoch:
		r.lead.installed = true
		r.advance()
	case v.Primary == r.o.Self && r.mayLead(v):
		r.takeLead(v, true, nil)
	case r.lead != nil && r.lead.view.Epoch < v.Epoch:
		r.depose()
	case r.lead != nil:
		// A candidate of a higher epoch goes on, but what it wrote as a primary before another's view is of unknown fate.
		r.writes.fail(ErrDeposed)
	}
}

// mayLead tells whether no epoch was joined that forbids to be primary of v. Of an equal epoch, only the primary itself may go on.
func (r *Replica) mayLead(v View) bool {
	return v.Epoch > r.fence || v.Epoch == r.joined.Epoch && v.Epoch == r.fence && r.joined.View.Primary == r.o.Self
}

// StepDown ends being primary: pending writes are answered with ErrDeposed.
func (r *Replica) StepDown() {
	if r.lead != nil {
		r.depose()
	}
}

// Receive takes a message of another member.
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
		r.receiveQuery(from, m)
	case *JoinReply:
		r.receiveJoinReply(from, m)
	case *RangeReply:
		r.receiveReply(from, m)
	case *AppendAck:
		r.receiveAck(from, m)
	case *RecordQuery:
		r.receiveRecordQuery(from, m)
	case *RecordReply:
		r.receiveRecordReply(from, m)
	}
}

// SetLinked tells that the link to a peer came up or broke. Each link that comes up begins anew.
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
			r.begin(p)
		}
		r.advance()
	}
}

// Tick begins again what failed or hangs, such as a repair that met a full disk. Call it some times a second.
func (r *Replica) Tick(now time.Duration) {
	pause := r.stall.tick(&r.disk, now)
	if r.disk.closed || r.lead == nil {
		return
	}
	for _, p := range r.lead.peers {
		p.excused += pause
		p.refusesSince += pause
	}
	if !r.lead.joined {
		if r.lead.joinFailed {
			r.joinSelf()
		}
		return
	}
	healed := !r.disk.sound()
	r.disk.heal()
	for _, id := range r.lead.order {
		p := r.lead.peers[id]
		if r.linked[id] && (healed || p.overdue(now)) {
			p.reset()
			r.begin(p)
		}
	}
}

// SetCopies changes how many disks a write must be on at least. Writes that wait are looked at again with the next event.
func (r *Replica) SetCopies(copies int) { r.o.Copies = copies }

// View returns the newest installed view.
func (r *Replica) View() View { return r.view }

// IsActive tells whether this replica is the primary of its view and all members have become equal to it.
func (r *Replica) IsActive() bool { return r.lead != nil && r.lead.active }

// JoinedEpoch returns the epoch that this member has joined: it refuses everything of lower ones.
func (r *Replica) JoinedEpoch() uint64 { return r.joined.Epoch }

// HighestEpoch returns the highest epoch that was seen here or reported by another member.
func (r *Replica) HighestEpoch() uint64 { return r.highest }

// BlockingPeers returns the members and offered learners that a write waits for without end, as things are: they have not joined or are
// not equal.
func (r *Replica) BlockingPeers() []MemberID {
	if r.lead == nil {
		return nil
	}
	var blocked []MemberID
	for _, id := range r.lead.order {
		if p := r.lead.peers[id]; r.lead.mustHave(id) && p.state != peerEqual {
			blocked = append(blocked, id)
		}
	}
	return blocked
}

// Pending returns the number of writes that are not done.
func (r *Replica) Pending() int { return r.writes.len() }

// Close drops the replica: pending writes are answered with ErrDeposed, later calls do nothing. Records stay.
func (r *Replica) Close() {
	r.lead = nil
	r.disk.closed = true
	r.writes.fail(ErrDeposed)
}

// Drop forgets the records of the group at a member that the installed view no longer includes, and closes the replica. The view's
// epoch is joined on disk before, so that no older view finds its primary here again, without its records. Nobody is joined meanwhile.
// done is called on the owner's loop; after an error the replica goes on as if Drop had not been called.
func (r *Replica) Drop(done func(error)) {
	if r.disk.closed || r.dropping || r.view.Includes(r.o.Self) || r.fence > r.view.Epoch {
		r.o.Post(func() { done(ErrStillMember) })
		return
	}
	epoch := r.view.Epoch
	r.dropping = true
	r.stream = nil
	r.fence = epoch
	r.persist(joined{Epoch: epoch, View: r.view})
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

// persist writes which epoch is joined, never a lower one than the fence. What is on disk then shows in r.joined, so a caller checks that behind disk.afterSyncs.
func (r *Replica) persist(j joined) {
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

// sortedPeers returns the others of a view: members in their order, then learners.
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
