package store

import (
	"math"
	"time"

	"liftgauge/configuration"
	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
	"liftgauge/placement"
	"liftgauge/queue"
)

const (
	minWindow = 4
	// overcommit is the ratio of deliveries in flight to the capacity of a service, so that no worker waits for a store.
	overcommit = 1.5
	// ownerWindow is the limit of deliveries in flight to each dispatcher that a service is placed on.
	ownerWindow    = 16
	minOwnerWindow = 2
	// pacedAhead is how much work of a rate-limited service, in time at its rate, may wait at the dispatchers that pace it.
	pacedAhead = 400 * time.Millisecond
)

// fleet is the part of the cluster state that windows depend on.
type fleet struct {
	stores      int
	dispatchers int // that are not leaving
	ownership   *placement.Ownership
	sessions    map[string]string
	sameZone    int // dispatchers in the zone of this store
	capacity    map[string]int
}

func (s *store) fleet(view *agent.View) *fleet {
	f := &fleet{
		stores: max(1, len(view.Live(protocol.RoleStore))), ownership: &s.ownership, sessions: map[string]string{}, capacity: map[string]int{},
	}
	keys := []string{}
	for _, node := range view.Live(protocol.RoleDispatcher) {
		if node.Leaving {
			continue
		}
		keys = append(keys, node.Key)
		f.sessions[node.Key] = sessionName(node.Key, node.Incarnation)
		if node.Zone == s.settings.Zone {
			f.sameZone++
		}
	}
	f.dispatchers = len(keys)
	s.ownership.SetDispatchers(keys)
	for index := range view.Workers.Workers {
		if w := &view.Workers.Workers[index]; !w.Draining {
			f.capacity[w.Service] += int(w.Capacity)
		}
	}
	return f
}

// window computes the limits of this store's deliveries in flight for a service.
func (f *fleet) window(service *configuration.Service) queue.Window {
	owners := placement.OwnerCount(service.RatePerS, service.Static != "")
	if owners > 0 {
		return f.ownedWindow(service, owners)
	}
	total := max(minWindow, int(math.Ceil(overcommit*float64(f.capacity[service.Name])/float64(f.stores))))
	spread := f.sameZone
	if spread == 0 {
		spread = max(1, f.dispatchers)
	}
	return queue.Window{Total: total, PerDispatcher: max(minOwnerWindow, (total+spread-1)/spread)}
}

func (f *fleet) ownedWindow(service *configuration.Service, count int) queue.Window {
	owners := []string{}
	for _, key := range f.ownership.Owners(service.Name, count) {
		owners = append(owners, f.sessions[key])
	}
	each := ownerWindow
	if service.RatePerS > 0 {
		ahead := service.RatePerS * pacedAhead.Seconds() / float64(count*f.stores)
		each = min(ownerWindow, max(minOwnerWindow, int(math.Ceil(ahead))))
	}
	return queue.Window{Total: each * max(1, len(owners)), PerDispatcher: each, Owners: owners}
}

// updateWindows recomputes the windows of all services.
func (s *store) updateWindows() {
	s.windowsStale = false
	if s.configuration == nil {
		return
	}
	f := s.fleet(s.view)
	for index := range s.configuration.Services {
		service := &s.configuration.Services[index]
		s.queue.SetWindow(service.Name, f.window(service))
	}
}

// matchRoute finds the route of a message for the queue.
func (s *store) matchRoute(host, uri string) (queue.Route, bool) {
	route, found := s.configuration.Match(host, uri)
	if !found {
		return queue.Route{}, false
	}
	return queue.Route{
		Name: route.Name, Service: route.Service, Fifo: route.Fifo, MaxAttempts: route.MaxAttempts, Retention: route.Retention,
		Timeout: route.Timeout, TargetStart: route.TargetStart, Priority: route.Priority,
	}, true
}

// applyConfiguration applies a newer configuration.
func (s *store) applyConfiguration(view *agent.View) error {
	if !s.configurationVersion.Less(view.ConfigurationVersion) {
		return nil
	}
	parsed, err := configuration.ParseAfter(s.configuration, view.Configuration)
	if err != nil {
		return err
	}
	s.configuration, s.configurationVersion = parsed, view.ConfigurationVersion
	s.windowsStale = true
	s.queue.Reconfigure(s.now(), revisionOf(s.configurationVersion))
	return nil
}
