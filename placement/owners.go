package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ownerRatePerS is the rate, in deliveries per second, up to which a single dispatcher paces a service.
const ownerRatePerS = 100

// staticOwnerCount is the number of dispatchers for a static service without a rate.
const staticOwnerCount = 2

// OwnerCount returns the number of dispatchers that a service is placed on, 0 if any dispatcher may serve it.
func OwnerCount(ratePerS float64, static bool) int {
	switch {
	case ratePerS > 0:
		return int(math.Max(1, math.Ceil(ratePerS/ownerRatePerS)))
	case static:
		return staticOwnerCount
	}
	return 0
}

// candidate is a dispatcher with its rendezvous score for one service.
type candidate struct {
	name  string
	score uint64
}

// compareCandidates orders candidates from best to worst: by descending score, then by name.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// ownedService holds the owners of a service, as many as were last requested.
type ownedService struct {
	count     int
	best      []candidate // best first; nil if the owners must be recomputed
	requested bool        // since the last call of SetDispatchers
}

// consider adds a dispatcher to the owners if it is among the best.
func (s *ownedService) consider(joining candidate) {
	at, _ := slices.BinarySearchFunc(s.best, joining, compareCandidates)
	if at >= s.count {
		return
	}
	s.best = slices.Insert(s.best, at, joining)
	s.best = s.best[:min(len(s.best), s.count)]
}

// has reports whether a dispatcher is one of the owners.
func (s *ownedService) has(name string) bool {
	return slices.ContainsFunc(s.best, func(c candidate) bool { return c.name == name })
}

// Ownership assigns services to dispatchers by rendezvous hashing: the owners of a service are the dispatchers whose hash with
// the service is highest. A dispatcher that joins is compared with the owners of each service; when one leaves, only the services
// that it owned are reassigned. The result depends only on the names, so all processes with the same dispatchers agree.
//
// The zero value has no dispatchers. An Ownership is not safe for concurrent use.
type Ownership struct {
	dispatchers []string // sorted, without duplicates
	services    map[string]*ownedService
	scratch     []byte // for hashing
}

// SetDispatchers replaces the set of dispatchers. It drops services that were not requested since the previous call.
func (o *Ownership) SetDispatchers(names []string) {
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	joining, departed := difference(o.dispatchers, names)
	o.dispatchers = names
	for service, owned := range o.services {
		if !owned.requested {
			delete(o.services, service)
			continue
		}
		owned.requested = false
		o.update(service, owned, joining, departed)
	}
}

// update adjusts the owners of one service to dispatchers that joined and departed.
func (o *Ownership) update(service string, owned *ownedService, joining, departed []string) {
	if owned.best == nil {
		return
	}
	if slices.ContainsFunc(departed, owned.has) {
		owned.best = nil
		return
	}
	for _, name := range joining {
		owned.consider(candidate{name, o.score(service, name)})
	}
}

// Owners returns the dispatchers that a service is placed on, best first: count of them, or all if there are fewer.
func (o *Ownership) Owners(service string, count int) []string {
	owned := o.services[service]
	if owned == nil {
		owned = &ownedService{}
		if o.services == nil {
			o.services = map[string]*ownedService{}
		}
		o.services[service] = owned
	}
	if owned.count != count {
		owned.count, owned.best = count, nil
	}
	owned.requested = true
	if owned.best == nil {
		o.choose(service, owned)
	}
	names := make([]string, 0, len(owned.best))
	for _, c := range owned.best {
		names = append(names, c.name)
	}
	return names
}

// choose recomputes the owners of a service from all dispatchers.
func (o *Ownership) choose(service string, owned *ownedService) {
	owned.best = make([]candidate, 0, max(0, min(owned.count, len(o.dispatchers)))+1)
	for _, name := range o.dispatchers {
		owned.consider(candidate{name, o.score(service, name)})
	}
}

// score is the rendezvous hash of a service and a dispatcher. It must be the same in all versions: if processes disagreed during
// an upgrade about which dispatchers pace a service, twice its rate would be let through.
func (o *Ownership) score(service, dispatcher string) uint64 {
	o.scratch = append(o.scratch[:0], service...)
	o.scratch = append(o.scratch, 0)
	o.scratch = append(o.scratch, dispatcher...)
	return xxhash.Sum64(o.scratch)
}

// difference returns the names that are only in after, and those that are only in before. Both inputs are sorted.
func difference(before, after []string) (joining, departed []string) {
	for len(before) > 0 && len(after) > 0 {
		switch order := cmp.Compare(before[0], after[0]); {
		case order < 0:
			departed, before = append(departed, before[0]), before[1:]
		case order > 0:
			joining, after = append(joining, after[0]), after[1:]
		default:
			before, after = before[1:], after[1:]
		}
	}
	return append(joining, after...), append(departed, before...)
}
