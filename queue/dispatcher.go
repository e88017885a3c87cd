package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// lostSlack is added to a route's time-out before a hand-out at a dispatcher that cannot be reached is taken for lost.
	lostSlack = 300 * time.Millisecond
	// holdSlack is the same for a dispatcher that can be reached: the time that it may take to find a worker.
	holdSlack = 5 * time.Second
)

// dispatcher is a dispatcher's process as the queue sees it.
type dispatcher struct {
	name     string
	zone     string
	open     bool // deliveries can be sent to it
	handOuts map[*handOut]struct{}
	slots    map[string]int // by service; nil where the dispatcher has said nothing
}

// room reports whether the dispatcher can take one more hand-out of the service.
func (d *dispatcher) room(s *service) bool {
	limit := max(1, s.window.PerDispatcher)
	if d.slots != nil {
		limit = d.slots[s.name]
	}
	return d.open && s.outAt[d] < limit
}

func (d *dispatcher) sortedHandOuts() []*handOut {
	return slices.SortedFunc(maps.Keys(d.handOuts), func(a, b *handOut) int { return cmp.Compare(a.order, b.order) })
}

// Hello opens a dispatcher on a new connection. Holding lists all hand-outs that it has and whose outcome has not been acknowledged to it:
// what was handed out to it before and is not listed never arrived, and goes out again at once.
func (q *Queue) Hello(now time.Duration, name, zone string, holding []HeldDelivery) {
	d := q.dispatcher(name)
	listed := make(map[HeldDelivery]bool, len(holding))
	for _, h := range holding {
		listed[h] = true
	}
	for _, h := range d.sortedHandOuts() {
		if !listed[HeldDelivery{h.message.partition.number, h.message.id, h.attempt}] {
			h.message.forget(h)
			q.giveUp(now, h)
		}
	}
	for _, h := range holding {
		q.MarkHeld(now, h.Partition, h.ID, h.Attempt, name)
	}
	q.Resume(name, zone)
}

// Resume opens a dispatcher for hand-outs.
func (q *Queue) Resume(name, zone string) {
	d := q.dispatcher(name)
	if !d.open || d.zone != zone {
		d.open, d.zone = true, zone
		q.listOpen()
	}
	q.wakeAll()
}

// SetSlots sets how many hand-outs a dispatcher takes at once: of the services that it names so many, of others none. With nil the window
// of the service decides.
func (q *Queue) SetSlots(name string, slots map[string]int) {
	if d := q.dispatchers[name]; d != nil {
		d.slots = slots
		q.wakeAll()
	}
}

// Pause stops hand-outs to a dispatcher; what it has stays out.
func (q *Queue) Pause(name string) {
	if d := q.dispatchers[name]; d != nil {
		q.closeDispatcher(d)
		q.forgetIfGone(d)
	}
}

// MarkHeld says that a hand-out is at a dispatcher, whoever handed it out. A message that is not known is ignored, and so is a hand-out whose
// outcome was counted meanwhile: nobody would ever report it again.
func (q *Queue) MarkHeld(now time.Duration, partition uint32, id string, attempt uint32, name string) {
	m := q.find(partition, id)
	if m == nil || m.ending || slices.Contains(m.concluded, attempt) {
		return
	}
	m.lastAttempt = max(m.lastAttempt, attempt)
	h := m.handOut(attempt)
	if h == nil {
		q.handOut(now, m, attempt, q.dispatcher(name))
		return
	}
	if h.givenUp && !m.out() {
		q.unschedule(m)
		q.occupy(h, q.dispatcher(name))
	}
	if !h.givenUp {
		q.expect(h, now+holdSlack)
	}
}

// HasInFlight tells whether anything is out at a dispatcher.
func (q *Queue) HasInFlight(name string) bool {
	d := q.dispatchers[name]
	return d != nil && len(d.handOuts) > 0
}

// RequeueUnlisted gives out again what a dispatcher has not got, by a list of what it holds of a partition that it knows to be in an epoch:
// it drops what arrives later with a lower epoch. A hand-out of another store that it once held and does not list has ended there.
func (q *Queue) RequeueUnlisted(now time.Duration, name string, partition uint32, epoch uint64, holding []HeldDelivery) {
	d := q.dispatchers[name]
	if d == nil {
		return
	}
	for _, h := range d.sortedHandOuts() {
		m := h.message
		if m.partition.number == partition && h.epoch < epoch && !slices.Contains(holding, HeldDelivery{partition, m.id, h.attempt}) {
			m.forget(h)
			q.giveUp(now, h)
		}
	}
}

// DispatcherDisconnected says that the connection to a dispatcher is lost. If its process is known to have ended, all that it had goes out again at
// once; otherwise each hand-out does so when the route's time-out and a slack have passed since it was handed out.
func (q *Queue) DispatcherDisconnected(now time.Duration, name string, certain bool) {
	d := q.dispatchers[name]
	if d == nil {
		return
	}
	q.closeDispatcher(d)
	for _, h := range d.sortedHandOuts() {
		if certain {
			q.giveUp(now, h)
			continue
		}
		q.expect(h, h.since+lostSlack)
	}
	q.forgetIfGone(d)
}

func (q *Queue) dispatcher(name string) *dispatcher {
	d := q.dispatchers[name]
	if d == nil {
		d = &dispatcher{name: name, handOuts: map[*handOut]struct{}{}}
		q.dispatchers[name] = d
	}
	return d
}

func (q *Queue) closeDispatcher(d *dispatcher) {
	if d.open {
		d.open = false
		q.listOpen()
	}
}

func (q *Queue) listOpen() {
	q.near, q.far = q.near[:0], q.far[:0]
	for _, name := range sortedKeys(q.dispatchers) {
		switch d := q.dispatchers[name]; {
		case !d.open:
		case d.zone == q.options.Zone:
			q.near = append(q.near, d)
		default:
			q.far = append(q.far, d)
		}
	}
}

func (q *Queue) forgetIfGone(d *dispatcher) {
	if !d.open && len(d.handOuts) == 0 {
		delete(q.dispatchers, d.name)
	}
}

// choose returns the dispatcher with the fewest hand-outs of the service among those of the own zone that have room, else among all.
func (q *Queue) choose(s *service) *dispatcher {
	q.rotation++
	if s.window.Owners != nil {
		return q.chooseOwner(s)
	}
	if d := q.leastOut(s, q.near); d != nil {
		return d
	}
	return q.leastOut(s, q.far)
}

// chooseOwner chooses among the few dispatchers that the service is placed on.
func (q *Queue) chooseOwner(s *service) *dispatcher {
	var near, far []*dispatcher
	for _, name := range s.window.Owners {
		switch d := q.dispatchers[name]; {
		case d == nil:
		case d.zone == q.options.Zone:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	if d := q.leastOut(s, near); d != nil {
		return d
	}
	return q.leastOut(s, far)
}

// leastOut returns the dispatcher of a list that has room and the fewest hand-outs of the service, in turn among equals. One that has none is taken
// without a look at the rest: with more dispatchers than hand-outs, which is the rule, the cost does not grow with their number.
func (q *Queue) leastOut(s *service, list []*dispatcher) *dispatcher {
	var best *dispatcher
	fewest := 0
	for index := range list {
		d := list[(index+q.rotation)%len(list)]
		if !d.room(s) {
			continue
		}
		out := s.outAt[d]
		if out == 0 {
			return d
		}
		if best == nil || out < fewest {
			best, fewest = d, out
		}
	}
	return best
}
