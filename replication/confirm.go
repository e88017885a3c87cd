package replication

import "time"

// confirmation waits for a majority of witnesses to confirm that this process is still the primary.
type confirmation struct {
	callback    func(confirmed bool)
	round       uint64 // answers to earlier rounds do not count
	epoch       uint64
	confirmedBy map[MemberID]bool
	started     time.Duration
}

func (e *Elector) confirm(f func(confirmed bool)) {
	if e.primary == nil {
		e.emit(ConfirmResult{Callback: f})
		return
	}
	e.sendHeartbeats()
	e.confirmations = append(e.confirmations, confirmation{
		callback: f, round: e.primary.round, epoch: e.primary.epoch(), confirmedBy: make(map[MemberID]bool), started: e.now,
	})
}

// countConfirmation counts the answer of a witness. A change of the view discards the answers counted so far.
func (e *Elector) countConfirmation(from MemberID, round uint64) {
	primary := e.primary
	kept := e.confirmations[:0]
	for _, c := range e.confirmations {
		if c.epoch != primary.epoch() {
			c.epoch = primary.epoch()
			clear(c.confirmedBy)
		}
		if round >= c.round {
			c.confirmedBy[from] = true
		}
		if hasMajority(primary.view.Witnesses, func(id MemberID) bool { return c.confirmedBy[id] }) {
			e.emit(ConfirmResult{Callback: c.callback, Confirmed: true})
			continue
		}
		kept = append(kept, c)
	}
	e.confirmations = kept
}

func (e *Elector) expireConfirmations() {
	kept := e.confirmations[:0]
	for _, c := range e.confirmations {
		if e.now-c.started >= confirmDeadline {
			e.emit(ConfirmResult{Callback: c.callback})
			continue
		}
		kept = append(kept, c)
	}
	e.confirmations = kept
}

func (e *Elector) failConfirmations() {
	for _, c := range e.confirmations {
		e.emit(ConfirmResult{Callback: c.callback})
	}
	e.confirmations = nil
}
