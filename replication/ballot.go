package replication

// ballot is the state of one candidate's attempt to decide the view of an epoch: the promises, the view that precedes it, and the
// witnesses that have accepted the new view.
type ballot struct {
	epoch    uint64
	founding bool        // no view exists yet; the founders decide the first one
	seeds    int         // number of seeds, while founding
	base     ControlView // newest known view, which the new one succeeds
	promised map[MemberID]bool
	view     ControlView // proposed view
	accepted map[MemberID]bool
}

func newBallot(epoch uint64, known ControlView, seeds int) ballot {
	return ballot{
		epoch: epoch, founding: known.Epoch == 0, seeds: seeds, base: known,
		promised: make(map[MemberID]bool),
		accepted: make(map[MemberID]bool),
	}
}

// addPromise counts the promise of a witness. It returns true if the witness reported a newer view than base.
func (b *ballot) addPromise(from MemberID, installed ControlView) (newer bool) {
	b.promised[from] = true
	if installed.Epoch <= b.base.Epoch {
		return false
	}
	b.base = installed.Clone()
	b.founding = false
	return true
}

// isPrepared reports whether enough witnesses have promised the epoch: a majority of the witnesses of the newest view in any answer,
// or of the seeds. Consecutive witness sets differ by one witness, and each change starts from a view that a majority has installed, so
// majorities of consecutive sets intersect and no decided view after the newest one can be missed.
func (b *ballot) isPrepared() bool {
	if b.founding {
		return len(b.promised) >= majority(b.seeds)
	}
	return hasMajority(b.base.Witnesses, func(id MemberID) bool { return b.promised[id] })
}

// propose sets the proposed view. It inherits the generation of the base view.
func (b *ballot) propose(v ControlView, primary MemberID) {
	b.view = v
	b.view.Generation = b.base.Generation
	b.view.Epoch, b.view.Primary = b.epoch, primary
}

// isDecided reports whether enough witnesses have accepted the view: a majority of its own witnesses and one of the base view's.
func (b *ballot) isDecided() bool {
	accepted := func(id MemberID) bool { return b.accepted[id] }
	if !hasMajority(b.view.Witnesses, accepted) {
		return false
	}
	if b.founding {
		return len(b.accepted) >= majority(b.seeds)
	}
	return hasMajority(b.base.Witnesses, accepted)
}
