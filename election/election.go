// Package election assigns a duty to one process at a time.
//
// While a duty is vacant, processes bid for it. When the bidding window has elapsed since the first bid, the best bid wins a
// new term. The duty becomes vacant again when the session of its holder ends or the holder resigns. Terms only increase, so
// that messages of a former holder can be distinguished from those of the current one.
//
// The package does no I/O. An election runs on one process, which persists each award before it announces it.
package election

import (
	"cmp"
	"time"
)

// DefaultWindow is the time from the first bid to the award.
const DefaultWindow = 200 * time.Millisecond

// Holder is a process that may have a duty.
type Holder struct {
	Key         string
	Incarnation uint64
}

// Bid is the bid of a process for the duty. The lowest rank wins, then the lowest key.
type Bid struct {
	Holder
	Rank int
}

// beats reports whether the bid wins over another.
func (b Bid) beats(o Bid) bool {
	return cmp.Or(cmp.Compare(b.Rank, o.Rank), cmp.Compare(b.Key, o.Key)) < 0
}

// Award is the assignment of the duty in a term; the duty is vacant if Holder.Key is empty.
type Award struct {
	Term   uint64
	Holder Holder
}

// Vacant reports whether no process holds the duty.
func (a Award) Vacant() bool { return a.Holder.Key == "" }

// Options configures an Election.
type Options struct {
	// Window is the time from the first bid to the award; 0 means DefaultWindow.
	Window time.Duration
}

// Election runs the successive elections of one duty. It is not safe for concurrent use.
type Election struct {
	options Options
	award   Award
	// bids holds the bids of the current vacancy by key. windowStart is the time of the first one.
	bids        map[string]Bid
	windowStart time.Duration
}

// New returns an election that continues from the last award. When another process takes over the election, last is the
// persisted award.
func New(o Options, last Award) *Election {
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	return &Election{options: o, award: last, bids: map[string]Bid{}}
}

// Bid submits a bid and reports whether it was accepted, which requires that the duty is vacant. A bid replaces earlier ones of the same
// process.
func (e *Election) Bid(now time.Duration, b Bid) bool {
	if !e.award.Vacant() || b.Key == "" {
		return false
	}
	if len(e.bids) == 0 {
		e.windowStart = now
	}
	e.bids[b.Key] = b
	return true
}

// Withdraw removes the bid of a process.
func (e *Election) Withdraw(key string) { delete(e.bids, key) }

// Tick returns a new award when one is due. From then on Current returns the same award.
func (e *Election) Tick(now time.Duration) (Award, bool) {
	due, pending := e.NextTick()
	if !pending || now < due {
		return Award{}, false
	}
	var best Bid
	for _, b := range e.bids {
		if best.Key == "" || b.beats(best) {
			best = b
		}
	}
	e.award = Award{Term: e.award.Term + 1, Holder: best.Holder}
	clear(e.bids)
	return e.award, true
}

// SessionEnded removes the bid of a process whose session has ended and vacates the duty if the process holds it. It reports
// whether the duty became vacant.
func (e *Election) SessionEnded(h Holder) bool {
	if e.bids[h.Key].Incarnation == h.Incarnation {
		delete(e.bids, h.Key)
	}
	return e.vacate(h)
}

// Resign vacates the duty if the process holds it, and reports whether the duty became vacant.
func (e *Election) Resign(h Holder) bool { return e.vacate(h) }

func (e *Election) vacate(h Holder) bool {
	if e.award.Vacant() || e.award.Holder != h {
		return false
	}
	e.award.Holder = Holder{}
	return true
}

// Current returns the holder of the duty and the last term.
func (e *Election) Current() Award { return e.award }

// NextTick returns the time at which Tick must be called next; the result is false if no award is pending.
func (e *Election) NextTick() (time.Duration, bool) {
	return e.windowStart + e.options.Window, e.award.Vacant() && len(e.bids) > 0
}
