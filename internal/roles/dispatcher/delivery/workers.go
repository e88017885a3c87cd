package delivery

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"liftgauge/balance"
	"liftgauge/internal/protocol"
)

const (
	connectionShare = 0.9  // of a worker's connections, for all dispatchers together
	fullShare       = 0.97 // of them, where a change of the number of dispatchers would cost connections
	staticShare     = 0.6  // of a single endpoint's connections, for jobs at the same time
	mostStaticSlots = 16   // jobs at the same time at a single endpoint, which tells no capacity
)

var errNotListed = errors.New("delivery: the worker is draining or gone: send the message to another")

// worker is one worker of a service.
type worker struct {
	id       balance.WorkerID
	instance string // empty for a single endpoint
	address  string
	listed   balance.Worker
}

// roster is who may be sent to, for the goroutines of attempts: by instance, or by address for a single endpoint.
type roster struct {
	allowed atomic.Pointer[map[string]bool]
}

func (r *roster) set(workers map[balance.WorkerID]*worker) {
	allowed := make(map[string]bool, len(workers))
	for _, w := range workers {
		if w.listed.State == balance.Ready {
			allowed[cmp.Or(w.instance, w.address)] = true
		}
	}
	r.allowed.Store(&allowed)
}

// check is nil if the worker may be sent to by the newest list.
func (r *roster) check(w *worker) error {
	if allowed := r.allowed.Load(); allowed != nil && (*allowed)[cmp.Or(w.instance, w.address)] {
		return nil
	}
	return errNotListed
}

// numbering gives each instance a number. It is drawn from the name, so that all dispatchers have the workers in the same order.
type numbering struct {
	numbers map[string]balance.WorkerID
	taken   map[balance.WorkerID]bool
}

func newNumbering() *numbering {
	return &numbering{numbers: map[string]balance.WorkerID{}, taken: map[balance.WorkerID]bool{}}
}

func (n *numbering) of(instance string) balance.WorkerID {
	if id, ok := n.numbers[instance]; ok {
		return id
	}
	id := balance.WorkerID(xxhash.Sum64String(instance))
	for id == 0 || n.taken[id] {
		id++
	}
	n.numbers[instance], n.taken[id] = id, true
	return id
}

// keep forgets all instances but those given. A number is free again only then.
func (n *numbering) keep(instances map[string]bool) {
	for instance, id := range n.numbers {
		if !instances[instance] {
			delete(n.numbers, instance)
			delete(n.taken, id)
		}
	}
}

// connectionLimit is how many connections to each worker this dispatcher may have, of all that use the service; 0 for any number.
func connectionLimit(s *Service, dispatchers int) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	users := dispatchers
	if s.Owners > 0 {
		users = s.Owners
	}
	return max(1, int(connectionShare*float64(s.MaxConnections)/float64(max(1, users))))
}

// keepLimit is the limit in force as long as it does, else the one that is right: a change closes connections, and dispatchers come
// and go.
func keepLimit(s *Service, present int, listed []protocol.Worker, dispatchers int) int {
	right := connectionLimit(s, dispatchers)
	if present == 0 || right == 0 || s.Owners > 0 {
		return right
	}
	wanted := 1
	for i := range listed {
		wanted = max(wanted, int(listed[i].Capacity))
	}
	all := float64(present * max(1, dispatchers))
	if present >= min(wanted, right) && (all <= fullShare*float64(s.MaxConnections) || present == 1) {
		return present
	}
	return right
}

// slotsOf is how many jobs a listed worker gets at the same time.
func slotsOf(capacity uint32, limit int) float64 {
	slots := float64(max(1, capacity))
	if limit > 0 {
		slots = min(slots, float64(limit))
	}
	return slots
}

// staticSlots is how many jobs a single endpoint gets at the same time.
func staticSlots(s *Service, limit int) float64 {
	slots := mostStaticSlots
	if s.MaxConnections > 0 {
		slots = max(1, min(slots, int(staticShare*float64(s.MaxConnections))))
	}
	if limit > 0 {
		slots = min(slots, limit)
	}
	return float64(slots)
}

// fleet is what the workers of a service are made from.
type fleet struct {
	service     *Service
	listed      []protocol.Worker // of the service
	dispatchers int
	ownZone     int
	zones       map[string]int
	numbers     *numbering
	strangers   map[string]bool // instances whose address answered as another
}

// workers makes the workers of a service.
func (f *fleet) workers() map[balance.WorkerID]*worker {
	limit := connectionLimit(f.service, f.dispatchers)
	workers := map[balance.WorkerID]*worker{}
	if address := f.service.Static; address != "" {
		id, slots := f.numbers.of(address), staticSlots(f.service, limit)
		workers[id] = &worker{id: id, address: address,
			listed: balance.Worker{ID: id, Zone: f.ownZone, Weight: slots, Slots: slots}}
		return workers
	}
	seen := map[string]bool{}
	for i := range f.listed {
		w := &f.listed[i]
		seen[w.ID] = true
		if f.strangers[w.ID] {
			continue
		}
		id, slots := f.numbers.of(w.ID), slotsOf(w.Capacity, limit)
		entry := balance.Worker{ID: id, Zone: f.zones[w.Zone], Weight: slots, Slots: slots}
		if w.Draining {
			entry.State = balance.Draining
		}
		workers[id] = &worker{id: id, instance: w.ID, address: w.Address, listed: entry}
	}
	f.numbers.keep(seen)
	return workers
}

// entriesOf lists the workers in the order of their numbers.
func entriesOf(workers map[balance.WorkerID]*worker) []balance.Worker {
	entries := make([]balance.Worker, 0, len(workers))
	for _, w := range workers {
		entries = append(entries, w.listed)
	}
	slices.SortFunc(entries, func(a, b balance.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}
