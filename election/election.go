// Package election awards a duty that one process at a time may have.
//
// While a duty is vacant, processes bid for it. When the window since the first bid is over, the best bid wins a new term.
// The duty is vacant again when the session of its holder ends or when the holder resigns. Terms only grow, so that what
// a former holder still says can be told from what the present one says.
//
// It is pure and runs on one process, which makes each award durable before it tells anybody.
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

// Bid is the offer of a process to take the duty. The lowest rank wins, then the lowest key.
type Bid struct {
	Holder
	Rank int
}

// before reports whether the bid wins over another.
func (b Bid) beats(o Bid) bool {
	return cmp.Or(cmp.Compare(b.Rank, o.Rank), cmp.Compare(b.Key, o.Key)) < 0
}

// Award says who has the duty in a term; it is vacant when Holder.Key is empty.
type Award struct {
	Term   uint64
	Holder Holder
}

// Vacant reports whether nobody has the duty.
func (a Award) Vacant() bool { return a.Holder.Key == "" }

// Options configures a Round.
type Options struct {
	// Window is the time from the first bid to the award; 0 means DefaultWindow.
	Window time.Duration
}

// Election runs the elections of one duty, one after the other. It is owned by one goroutine.
type Election struct {
	options Options
	award   Award
	// bids holds the bids of the present vacancy by key. opened is when the first came.
	bids        map[string]Bid
	windowStart time.Duration
}

// New returns a round whose duty was last awarded as said. After a change of the process that runs it, last is the award
// that was made durable.
func New(o Options, last Award) *Election {
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	return &Election{options: o, award: last, bids: map[string]Bid{}}
}

// Bid takes an offer and reports whether it counts: the duty is vacant. The last bid of a process replaces its earlier ones.
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

// Withdraw takes the offer of a process back.
func (e *Election) Withdraw(key string) { delete(e.bids, key) }

// Tick returns a new award when one is due. It is what Current returns from then on.
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

// SessionEnded tells that the session of a process has ended: its bid is void, and so is its duty. It reports whether the duty
// became vacant.
func (e *Election) SessionEnded(h Holder) bool {
	if e.bids[h.Key].Incarnation == h.Incarnation {
		delete(e.bids, h.Key)
	}
	return e.vacate(h)
}

// Resign gives the duty back. It reports whether the duty became vacant.
func (e *Election) Resign(h Holder) bool { return e.vacate(h) }

func (e *Election) vacate(h Holder) bool {
	if e.award.Vacant() || e.award.Holder != h {
		return false
	}
	e.award.Holder = Holder{}
	return true
}

// Current returns who has the duty, and the last term.
func (e *Election) Current() Award { return e.award }

// NextTick returns when Tick is to be called next, false when nothing is pending.
func (e *Election) NextTick() (time.Duration, bool) {
	return e.windowStart + e.options.Window, e.award.Vacant() && len(e.bids) > 0
}
