package replication

import "time"

// A group whose majority of witnesses has lost its disks can decide nothing more, and neither can one without a member. An operator founds
// it anew then, on one disk: FoundAnew makes the first view of the next generation, whose only member and witness is that one. All other
// processes join it by the ordinary way of newcomers.
//
// A view of a later generation counts more than any promise of an earlier one. A process that hears of it adopts it at once, whatever its
// disk says: it promises nothing for the earlier generation any more, and stops being its primary. So a disk of before that is put back
// neither decides nor serves anything, as soon as it reaches one process of the present generation.

// RecoveryEpochGap is by how much the first epoch of a generation is above every epoch that is known of: processes that nobody reached
// may have gone further.
const RecoveryEpochGap = 1024

// FirstViewOfGeneration returns the first view of a generation: of one process, which others find by its address.
func FirstViewOfGeneration(founder Peer, epoch, generation uint64) ControlView {
	return ControlView{
		View:      View{Epoch: epoch, Primary: founder.Member, Members: []MemberID{founder.Member}},
		Witnesses: []MemberID{founder.Member}, Peers: []Peer{founder}, Generation: generation,
	}
}

// FoundingRecords returns the records of LocalGroup by which the founder of a generation starts as the primary of its first view. The
// records of the group itself have to be on its disk before.
func FoundingRecords(group uint32, v ControlView) []Record {
	register := Register{Promised: v.Epoch, Candidate: v.Primary, Installed: v}
	entry := joined{Epoch: v.Epoch, Reserved: versionBlock, View: v.View} // numbers for FoundedVersion
	return []Record{RegisterRecord(register), entry.record(group)}
}

// FoundedVersion is the version of the n-th record, from 1, that a founder writes for the first epoch of a generation. The replica draws
// its own from a later block.
func FoundedVersion(epoch, n uint64) uint64 {
	v := versions{epoch: epoch, last: n - 1}
	return v.draw()
}

// Generation returns the generation that this process belongs to.
func (e *Elector) Generation() uint64 { return e.witness.Register.Installed.Generation }

// HighestEpoch returns the highest epoch that this process has heard of.
func (e *Elector) HighestEpoch() uint64 { return e.seen }

// Installed returns the newest view that the own witness has installed, decided or not.
func (e *Elector) Installed() ControlView { return e.witness.Register.Installed.Clone() }

// JoinGeneration takes the first view of a later generation, as FoundAnew made it. It reports whether that is the view installed now, which is
// on disk once IsPersisted says so; it is not where this process belongs to that generation by another founder, or to a later one.
func (e *Elector) JoinGeneration(v ControlView, now time.Duration) (joined bool, actions []Action) {
	actions = e.run(now, func() { e.meet(v) })
	installed := &e.witness.Register.Installed
	return installed.Generation == v.Generation && installed.Epoch == v.Epoch && installed.Primary == v.Primary, actions
}

// MayFound tells whether this process may found the generation of a view: it is the view's founder, and nothing that it has promised or
// heard of goes beyond the view. It may have heard of the view itself.
func (e *Elector) MayFound(v ControlView) bool {
	g := &e.witness.Register
	return v.Primary == e.o.Self.Member && v.Generation > g.Installed.Generation && v.Epoch > g.Promised && v.Epoch >= e.seen
}

// IsPersisted tells whether the register is on disk as it is.
func (e *Elector) IsPersisted() bool { return !e.writer.stale && e.writer.written == e.writer.issued }

// adoptGeneration gives up whatever this process was in the generation before.
func (e *Elector) adoptGeneration(v ControlView) {
	if e.tenure != nil {
		e.lose()
	}
	if e.candidacy != nil {
		e.abandon()
	}
	e.witness.Register = Register{Promised: v.Epoch, Candidate: v.Primary, Installed: v.Clone()}
	e.writer.changed(e, true)
	e.do(JoinedGeneration{Generation: v.Generation})
}

// tellGeneration tells a process of an earlier view that the group has been founded anew.
func (e *Elector) tellGeneration(to Peer) {
	e.writer.answer(e, to, &Introduced{Installed: e.witness.Register.Installed.Clone()})
}
