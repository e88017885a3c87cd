package system

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

// TestPowerLossOfAllStoresOfAZone makes all stores of a zone lose power, more than FaultTolerance allows, where all copies of a partition are in one
// zone: messages without a key go to other zones meanwhile, and acknowledged messages are delivered once the zone is back.
func TestPowerLossOfAllStoresOfAZone(t *testing.T) {
	play(t, Options{Seed: 31, Stores: 6}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		var stores []*Process
		for _, p := range w.inZone("zone-1") {
			if p.Role == protocol.RoleStore {
				stores = append(stores, p)
			}
		}
		is.Equal(len(stores), 2)
		var refused int
		runWithFaults(w, 14*time.Second, func() {
			for _, p := range stores {
				is.NoErr(p.LosePower())
			}
			time.Sleep(2 * time.Second) // sessions have expired
			from := time.Now()
			time.Sleep(4 * time.Second)
			refused = w.Checker.notAccepted(plainRoute.Backend, from, time.Now())
			is.NoErr(startEach(stores))
			time.Sleep(seconds(bounds.CatchUpS))
			is.True(w.fullyReplicated(w.Net.Host(operatorIP)))
		})
		is.Equal(refused, 0)
		is.Equal(w.Checker.Figures().Open, 0)
	})
}

// notAccepted counts the attempts for a service that were sent in a span and got a response other than 202.
func (ch *Checker) notAccepted(service string, from, to time.Time) (count int) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, m := range ch.messages {
		if m.service == service && m.sent.After(from) && m.sent.Before(to) && m.status != 0 && m.accepted.IsZero() {
			count++
		}
	}
	return count
}
