package system

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualdisk"
)

// TestRolledStoresWithSlowReports guards against a message that runs again after its success while stores are rolled: a report of a failed attempt
// takes longer than the pause before the next one, which waits for it at a dispatcher while the partition gets another primary.
func TestRolledStoresWithSlowReports(t *testing.T) {
	const slowReport = 60 * time.Millisecond
	failing := Service{Name: "svc-failing", Workers: 6, Run: 5 * time.Millisecond, FailEvery: 2}
	route := Route{Name: "r-failing", PathPrefix: "/failing/", Backend: failing.Name, MaxAttempts: 6}
	for seed := range uint64(faultDays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, Options{Seed: seed, Stores: 4, Disk: virtualdisk.Options{Sync: slowReport}}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				is.NoErr(w.Platform.Add(failing))
				status, err := w.Operator.Replace(5, w.Operator.Document(6, fifoRoute, plainRoute, pacedRoute, route), 10*time.Second)
				is.NoErr(err)
				is.Equal(status, 200)
				runWithFaults(w, 22*time.Second, func() {
					sent := make(chan struct{})
					w.running.Go(func() {
						w.Send(Traffic{Route: route, Every: 8 * time.Millisecond}, 20*time.Second, "failing")
						sent <- struct{}{}
					})
					for _, p := range w.ByRole(protocol.RoleStore) {
						is.NoErr(p.Restart(300 * time.Millisecond))
						time.Sleep(seconds(bounds.CatchUpS))
					}
					<-sent
				})
				f := w.Checker.Figures()
				is.True(f.Accepted > 2000)
				is.Equal(f.Open, 0)
				is.Equal(f.Repeats, 0)
			})
		})
	}
}
