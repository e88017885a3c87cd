package replication

import "time"

// confirmation waits for a majority of witnesses to answer that the primary still stands.
type confirmation struct {
	call    func(stands bool)
	round   uint64 // answers of earlier rounds do not count
	epoch   uint64
	stands  map[MemberID]bool
	started time.Duration
}

func (e *Elector) confirm(f func(stands bool)) {
	if e.tenure == nil {
		e.do(ConfirmResult{Callback: f})
		return
	}
	e.beat()
	e.confirms = append(e.confirms, confirmation{
		call: f, round: e.tenure.round, epoch: e.tenure.epoch(), stands: make(map[MemberID]bool), started: e.now,
	})
}

// countConfirms takes an answer of a witness. Answers from before a change of the own view count no more.
func (e *Elector) countConfirms(from MemberID, round uint64) {
	t := e.tenure
	kept := e.confirms[:0]
	for _, c := range e.confirms {
		if c.epoch != t.epoch() {
			c.epoch = t.epoch()
			clear(c.stands)
		}
		if round >= c.round {
			c.stands[from] = true
		}
		if hasMajority(t.view.Witnesses, func(id MemberID) bool { return c.stands[id] }) {
			e.do(ConfirmResult{Callback: c.call, Confirmed: true})
			continue
		}
		kept = append(kept, c)
	}
	e.confirms = kept
}

func (e *Elector) tickConfirms() {
	kept := e.confirms[:0]
	for _, c := range e.confirms {
		if e.now-c.started >= confirmDeadline {
			e.do(ConfirmResult{Callback: c.call})
			continue
		}
		kept = append(kept, c)
	}
	e.confirms = kept
}

func (e *Elector) failConfirms() {
	for _, c := range e.confirms {
		e.do(ConfirmResult{Callback: c.call})
	}
	e.confirms = nil
}
