package delivery

import (
	"cmp"
	"math"
	"slices"

	"liftgauge/internal/protocol"
)

const (
	minWindow            = 4    // concurrent deliveries of a service from each store
	windowFactor         = 2.0  // multiple of this dispatcher's part of the slots of all workers
	rateLimitedWindowS   = 0.2  // seconds of the rate that each store may send ahead
	minRateLimitedWindow = 2    // concurrent deliveries of a rate-limited service from each store
	maxWindow            = 4096 // so that a wrong list does not make stores send everything here
)

// Windows returns how many concurrent deliveries of each service this dispatcher accepts from each store. It accepts none for services that are
// not in the state.
func Windows(state *State) []protocol.ServiceWindow {
	capacity := map[string]float64{}
	for i := range state.Workers {
		if w := &state.Workers[i]; !w.Draining {
			capacity[w.Service] += float64(max(1, w.Capacity))
		}
	}
	windows := make([]protocol.ServiceWindow, 0, len(state.Services))
	for i := range state.Services {
		s := &state.Services[i]
		slots := windowFactor * capacity[s.Name] / float64(max(1, state.Dispatchers))
		if s.Static != "" {
			slots = staticSlots(s, connectionLimit(s, state.Dispatchers))
		}
		least := float64(minWindow)
		if s.rateLimited() {
			least = minRateLimitedWindow
			slots = min(slots, s.RatePerS/float64(max(1, s.Owners))*rateLimitedWindowS)
		}
		slots = min(max(least, math.Ceil(slots)), maxWindow)
		windows = append(windows, protocol.ServiceWindow{Service: s.Name, Slots: uint32(slots)})
	}
	slices.SortFunc(windows, func(a, b protocol.ServiceWindow) int { return cmp.Compare(a.Service, b.Service) })
	return windows
}
