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
	connectionShare    = 0.9  // of a worker's connections, for all dispatchers together
	maxConnectionShare = 0.97 // of them, where a lower limit would close connections after the number of dispatchers changed
	staticSlotShare    = 0.6  // of a single endpoint's connections, for concurrent jobs
	maxStaticSlots     = 16   // concurrent jobs at a single endpoint, which reports no capacity
)

var errNotListed = errors.New("delivery: the worker is draining or no longer listed: send the message to another")

// worker is one worker of a service.
type worker struct {
	id       balance.WorkerID
	instance string // empty for a single endpoint
	address  string
	listed   balance.Worker
}

// allowlist holds the workers that may be sent to, for the goroutines of attempts: by instance, or by address for a single endpoint.
type allowlist struct {
	allowed atomic.Pointer[map[string]bool]
}

func (r *allowlist) set(workers map[balance.WorkerID]*worker) {
	allowed := make(map[string]bool, len(workers))
	for _, w := range workers {
		if w.listed.State == balance.Ready {
			allowed[cmp.Or(w.instance, w.address)] = true
		}
	}
	r.allowed.Store(&allowed)
}

// check returns nil if the worker may be sent to according to the newest list.
func (r *allowlist) check(w *worker) error {
	if allowed := r.allowed.Load(); allowed != nil && (*allowed)[cmp.Or(w.instance, w.address)] {
		return nil
	}
	return errNotListed
}

// workerIDs assigns a number to each instance. It is a hash of the name, so that all dispatchers have the workers in the same order.
type workerIDs struct {
	ids  map[string]balance.WorkerID
	used map[balance.WorkerID]bool
}

func newWorkerIDs() *workerIDs {
	return &workerIDs{ids: map[string]balance.WorkerID{}, used: map[balance.WorkerID]bool{}}
}

func (n *workerIDs) of(instance string) balance.WorkerID {
	if id, ok := n.ids[instance]; ok {
		return id
	}
	id := balance.WorkerID(xxhash.Sum64String(instance))
	for id == 0 || n.used[id] {
		id++
	}
	n.ids[instance], n.used[id] = id, true
	return id
}

// keep removes all instances but those given, which frees their numbers.
func (n *workerIDs) keep(instances map[string]bool) {
	for instance, id := range n.ids {
		if !instances[instance] {
			delete(n.ids, instance)
			delete(n.used, id)
		}
	}
}

// connectionLimit returns how many connections to each worker this dispatcher may have, given all that use the service; 0 for no limit.
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

// adjustLimit returns the current limit while it is still acceptable, else the target: a change closes connections, and the number of
// dispatchers changes often.
func adjustLimit(s *Service, current int, listed []protocol.Worker, dispatchers int) int {
	target := connectionLimit(s, dispatchers)
	if current == 0 || target == 0 || s.Owners > 0 {
		return target
	}
	wanted := 1
	for i := range listed {
		wanted = max(wanted, int(listed[i].Capacity))
	}
	all := float64(current * max(1, dispatchers))
	if current >= min(wanted, target) && (all <= maxConnectionShare*float64(s.MaxConnections) || current == 1) {
		return current
	}
	return target
}

// slotsOf returns how many concurrent jobs a listed worker gets.
func slotsOf(capacity uint32, limit int) float64 {
	slots := float64(max(1, capacity))
	if limit > 0 {
		slots = min(slots, float64(limit))
	}
	return slots
}

// staticSlots returns how many concurrent jobs a single endpoint gets.
func staticSlots(s *Service, limit int) float64 {
	slots := maxStaticSlots
	if s.MaxConnections > 0 {
		slots = max(1, min(slots, int(staticSlotShare*float64(s.MaxConnections))))
	}
	if limit > 0 {
		slots = min(slots, limit)
	}
	return float64(slots)
}

// workerBuilder holds the input from which the workers of a service are built.
type workerBuilder struct {
	service        *Service
	listed         []protocol.Worker // of the service
	dispatchers    int
	localZone      int
	zones          map[string]int
	ids            *workerIDs
	wrongInstances map[string]bool // instances whose address answered as another instance
}

// build builds the workers of a service.
func (b *workerBuilder) build() map[balance.WorkerID]*worker {
	limit := connectionLimit(b.service, b.dispatchers)
	workers := map[balance.WorkerID]*worker{}
	if address := b.service.Static; address != "" {
		id, slots := b.ids.of(address), staticSlots(b.service, limit)
		workers[id] = &worker{id: id, address: address,
			listed: balance.Worker{ID: id, Zone: b.localZone, Weight: slots, Slots: slots}}
		return workers
	}
	seen := map[string]bool{}
	for i := range b.listed {
		w := &b.listed[i]
		seen[w.ID] = true
		if b.wrongInstances[w.ID] {
			continue
		}
		id, slots := b.ids.of(w.ID), slotsOf(w.Capacity, limit)
		entry := balance.Worker{ID: id, Zone: b.zones[w.Zone], Weight: slots, Slots: slots}
		if w.Draining {
			entry.State = balance.Draining
		}
		workers[id] = &worker{id: id, instance: w.ID, address: w.Address, listed: entry}
	}
	b.ids.keep(seen)
	return workers
}

// entriesOf returns the balance entries of the workers, ordered by number.
func entriesOf(workers map[balance.WorkerID]*worker) []balance.Worker {
	entries := make([]balance.Worker, 0, len(workers))
	for _, w := range workers {
		entries = append(entries, w.listed)
	}
	slices.SortFunc(entries, func(a, b balance.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}
