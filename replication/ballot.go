package replication

// ballot is what decides about one epoch of a candidate: who has promised it, which view it follows, and who has installed the new one.
type ballot struct {
	epoch    uint64
	founding bool        // no view is known; the founders decide
	seeds    int         // how many seeds there are, while founding
	base     ControlView // the newest view that is known of: the one before
	promised map[MemberID]bool
	view     ControlView // to be installed
	accepted map[MemberID]bool
}

func newBallot(epoch uint64, known ControlView, seeds int) ballot {
	return ballot{
		epoch: epoch, founding: known.Epoch == 0, seeds: seeds, base: known,
		promised: make(map[MemberID]bool),
		accepted: make(map[MemberID]bool),
	}
}

// promise counts the promise of a witness. It returns true if the witness told of a newer view than was known.
func (b *ballot) promise(from MemberID, installed ControlView) (newer bool) {
	b.promised[from] = true
	if installed.Epoch <= b.base.Epoch {
		return false
	}
	b.base = installed.Clone()
	b.founding = false
	return true
}

// prepared tells whether enough witnesses have promised the epoch: a majority of those of the newest view that any answer told of, or of
// the seeds. Sets of witnesses follow each other by one change at a time, each upon a view that a majority has installed, so majorities of
// neighbours meet, and no decided view behind the newest can be missed.
func (b *ballot) prepared() bool {
	if b.founding {
		return len(b.promised) >= majority(b.seeds)
	}
	return hasMajority(b.base.Witnesses, func(id MemberID) bool { return b.promised[id] })
}

// propose sets the view to be installed. It is of the generation of the view before.
func (b *ballot) propose(v ControlView, primary MemberID) {
	b.view = v
	b.view.Generation = b.base.Generation
	b.view.Epoch, b.view.Primary = b.epoch, primary
}

// decided tells whether enough witnesses have installed the view: a majority of its own and one of the view before.
func (b *ballot) decided() bool {
	accepted := func(id MemberID) bool { return b.accepted[id] }
	if !hasMajority(b.view.Witnesses, accepted) {
		return false
	}
	if b.founding {
		return len(b.accepted) >= majority(b.seeds)
	}
	return hasMajority(b.base.Witnesses, accepted)
}
