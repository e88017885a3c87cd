package replication

import "time"

// A group that has lost the disks of a majority of its witnesses, or of all its members, can decide nothing. An operator then founds a new
// generation of the group on one disk: FirstViewOfGeneration makes its first view, whose only member and witness is that disk. All other
// processes join as newcomers do.
//
// A view of a later generation overrides all promises of earlier generations. A process that receives one adopts it immediately,
// regardless of its register: it makes no more promises in the earlier generation and stops being its primary. An old disk that is put
// back therefore neither decides nor serves anything once it reaches one process of the current generation.

// RecoveryEpochGap is the distance between the highest known epoch and the first epoch of a new generation: processes that could not be
// reached may have moved on to higher epochs.
const RecoveryEpochGap = 1024

// FirstViewOfGeneration returns the first view of a generation. It consists of the founder only, which others reach at its address.
func FirstViewOfGeneration(founder Peer, epoch, generation uint64) ControlView {
	return ControlView{
		View:      View{Epoch: epoch, Primary: founder.Member, Members: []MemberID{founder.Member}},
		Witnesses: []MemberID{founder.Member}, Peers: []Peer{founder}, Generation: generation,
	}
}

// FoundingRecords returns the records of LocalGroup that make the founder of a generation start as the primary of its first view. The
// records of the group itself must be on its disk before.
func FoundingRecords(group uint32, v ControlView) []Record {
	register := Register{Promised: v.Epoch, Candidate: v.Primary, Installed: v}
	entry := joinState{Epoch: v.Epoch, Reserved: versionBlock, View: v.View} // reserves the numbers of FoundedVersion
	return []Record{RegisterRecord(register), entry.record(group)}
}

// FoundedVersion is the version of the n-th record, from 1, that a founder writes for the first epoch of a generation. The replica
// assigns versions of later blocks.
func FoundedVersion(epoch, n uint64) uint64 {
	v := versions{epoch: epoch, last: n - 1}
	return v.next()
}

// Generation returns the generation that this process belongs to.
func (e *Elector) Generation() uint64 { return e.witness.Register.Installed.Generation }

// HighestEpoch returns the highest epoch that this process has seen in any message or in its register.
func (e *Elector) HighestEpoch() uint64 { return e.highestEpoch }

// Installed returns the newest view that the local witness has installed, decided or not.
func (e *Elector) Installed() ControlView { return e.witness.Register.Installed.Clone() }

// JoinGeneration adopts the first view of a later generation, as made by FirstViewOfGeneration. It reports whether that view is the
// installed one now, which it is not if this process belongs to a later generation, or to the same one by another founder. The view is
// on disk once IsPersisted returns true.
func (e *Elector) JoinGeneration(v ControlView, now time.Duration) (joined bool, actions []Action) {
	actions = e.run(now, func() { e.noteView(v) })
	installed := &e.witness.Register.Installed
	return installed.Generation == v.Generation && installed.Epoch == v.Epoch && installed.Primary == v.Primary, actions
}

// MayFound reports whether this process may found the generation of a view: it is the view's founder, has promised only lower epochs, and
// has seen no higher one. It may have seen the view itself.
func (e *Elector) MayFound(v ControlView) bool {
	register := &e.witness.Register
	return v.Primary == e.o.Self.Member && v.Generation > register.Installed.Generation && v.Epoch > register.Promised && v.Epoch >= e.highestEpoch
}

// IsPersisted reports whether the current register is on disk.
func (e *Elector) IsPersisted() bool { return !e.writer.dirty && e.writer.written == e.writer.issued }

// adoptGeneration ends this process's roles in the earlier generation and installs the view of the later one.
func (e *Elector) adoptGeneration(v ControlView) {
	if e.primary != nil {
		e.stepDown()
	}
	if e.candidacy != nil {
		e.abandon()
	}
	e.witness.Register = Register{Promised: v.Epoch, Candidate: v.Primary, Installed: v.Clone()}
	e.writer.changed(e, true)
	e.emit(JoinedGeneration{Generation: v.Generation})
}

// notifyNewGeneration notifies a process that is still in an earlier generation.
func (e *Elector) notifyNewGeneration(to Peer) {
	e.writer.answer(e, to, &IntroduceAnswer{Installed: e.witness.Register.Installed.Clone()})
}
