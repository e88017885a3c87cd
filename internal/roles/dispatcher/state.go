package dispatcher

import (
	"slices"
	"time"

	"liftgauge/internal/roles/dispatcher/delivery"
	"liftgauge/internal/roles/dispatcher/directory"
	"liftgauge/placement"
)

// engineState returns the delivery engine's view of a snapshot: the services that this dispatcher sends to, and the workers.
func engineState(s *directory.Snapshot, self string, ownership *placement.Ownership) delivery.State {
	state := delivery.State{Workers: s.Workers, ListVersion: s.WorkersVersion, Number: s.Number, Dispatchers: len(s.Dispatchers), InZone: s.InZone}
	if s.Configuration == nil {
		return state
	}
	ownership.SetDispatchers(s.Dispatchers)
	targetStarts := map[string]time.Duration{}
	for i := range s.Configuration.Routes {
		r := &s.Configuration.Routes[i]
		if targetStart, known := targetStarts[r.Service]; !known || r.TargetStart < targetStart {
			targetStarts[r.Service] = r.TargetStart
		}
	}
	for i := range s.Configuration.Services {
		service := &s.Configuration.Services[i]
		owners := placement.OwnerCount(service.RatePerS, service.Static != "")
		if owners > 0 && !slices.Contains(ownership.Owners(service.Name, owners), self) {
			continue
		}
		state.Services = append(state.Services, delivery.Service{
			Name: service.Name, HealthCheckPath: service.HealthCheckPath, MaxConnections: service.MaxConnections,
			RatePerS: service.RatePerS, Static: service.Static, TargetStart: targetStarts[service.Name], Owners: owners,
		})
	}
	return state
}
