package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ownerRate is the rate up to which one dispatcher paces a service alone.
const ownerRatePerS = 100

// staticOwners is the number of dispatchers that a static service without a rate is placed on.
const staticOwnerCount = 2

// OwnerCount returns how many dispatchers a service is to be placed on, 0 for any.
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

// compareCandidates puts the better one first.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// ownedService is a service with the best of the dispatchers, as many as were last asked for.
type ownedService struct {
	count     int
	best      []candidate // best first; nil when it has to be chosen anew
	requested bool        // since the last call of SetDispatchers
}

// admit takes in a dispatcher that joined, if it is among the best.
func (s *ownedService) consider(joining candidate) {
	at, _ := slices.BinarySearchFunc(s.best, joining, compareCandidates)
	if at >= s.count {
		return
	}
	s.best = slices.Insert(s.best, at, joining)
	s.best = s.best[:min(len(s.best), s.count)]
}

// has tells whether a dispatcher is among the best.
func (s *ownedService) has(name string) bool {
	return slices.ContainsFunc(s.best, func(c candidate) bool { return c.name == name })
}

// Ownership keeps on which dispatchers services are placed, by rendezvous hashing: of all dispatchers those whose hash with
// the service is highest. A dispatcher that joins is compared with the owners of each service, one that leaves has only its
// own services placed anew. The answer depends on nothing but the names, so all processes agree that know the same dispatchers.
//
// The zero value has no dispatchers. An Ownership must not be used by several goroutines at once.
type Ownership struct {
	dispatchers []string // in order, each once
	services    map[string]*ownedService
	scratch     []byte // for hashing
}

// SetDispatchers follows the dispatchers that take part. Services that nobody has asked for since the call before are forgotten.
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

// follow brings the owners of one service up to date.
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

// Owners returns the dispatchers that a service is placed on, best first: count of them, or all where there are fewer.
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

// choose finds the owners of a service among all dispatchers.
func (o *Ownership) choose(service string, owned *ownedService) {
	owned.best = make([]candidate, 0, max(0, min(owned.count, len(o.dispatchers)))+1)
	for _, name := range o.dispatchers {
		owned.consider(candidate{name, o.score(service, name)})
	}
}

// score is the rendezvous hash of a service and a dispatcher. Processes of all versions must agree on it: two answers to which
// dispatchers pace a service would let twice its rate through while an upgrade is under way.
func (o *Ownership) score(service, dispatcher string) uint64 {
	o.scratch = append(o.scratch[:0], service...)
	o.scratch = append(o.scratch, 0)
	o.scratch = append(o.scratch, dispatcher...)
	return xxhash.Sum64(o.scratch)
}

// difference returns what stands only in after, and what stands only in before; both are in order.
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
