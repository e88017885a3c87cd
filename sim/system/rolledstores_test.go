package system

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

// TestStoresRolledInQuickSuccession guards against a message that runs again after its success while partitions get one primary after the other within a
// run: processes learn of a new partition table in different order.
func TestStoresRolledInQuickSuccession(t *testing.T) {
	const (
		span         = 20 * time.Second
		rolledAtOnce = 2
		rollGap      = 300 * time.Millisecond
		longRun      = 700 * time.Millisecond
		sendGap      = 10 * time.Millisecond
		restarts     = 100 * time.Millisecond
	)
	slow := Service{Name: "svc-slow", Workers: 24, Run: longRun}
	route := Route{Name: "r-slow", PathPrefix: "/slow/", Backend: slow.Name, MaxAttempts: 3}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, Options{Seed: seed, Stores: 6, Edges: 8}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				is.NoErr(w.Platform.Add(slow))
				status, err := w.Operator.Replace(5, w.Operator.Document(6, fifoRoute, plainRoute, pacedRoute, route), 10*time.Second)
				is.NoErr(err)
				is.Equal(status, 200)
				runWithFaults(w, span+2*time.Second, func() {
					sent := make(chan struct{})
					w.running.Go(func() {
						w.Send(Traffic{Route: route, Every: sendGap}, span, "slow")
						sent <- struct{}{}
					})
					stores := w.ByRole(protocol.RoleStore)
					for n := range rolledAtOnce {
						w.running.Go(func() {
							for begin := time.Now(); time.Since(begin) < span; n += rolledAtOnce {
								is.NoErr(stores[n%len(stores)].Restart(restarts))
								time.Sleep(rollGap)
							}
							sent <- struct{}{}
						})
					}
					for range rolledAtOnce + 1 {
						<-sent
					}
				})
				f := w.Checker.Figures()
				is.True(f.Accepted > 1000)
				is.Equal(f.Open, 0)
				is.Equal(f.Repeats, 0)
			})
		})
	}
}
