package system

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStoreFaults injects each of storeFaults during traffic: nothing that was acknowledged is lost, and every partition has all its copies again in
// time.
func TestStoreFaults(t *testing.T) {
	playEach(t, storeFaults, func(t *testing.T, f fault, seed uint64) {
		o := Options{Seed: seed, Stores: 4, Machines: 1}
		if seed%2 == 0 {
			o = Options{Seed: seed, Stores: 6, Edges: 5, Machines: 2}
		}
		playStoreFault(t, o, f)
	})
}

func playStoreFault(t *testing.T, o Options, f fault) {
	play(t, o, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		runWithFaults(w, 14*time.Second, func() {
			is.NoErr(f.play(w, rand.New(rand.NewPCG(o.Seed, hash(f.name)))))
			back := time.Now()
			is.True(w.awaitFullyReplicated(bounds.Contact())) // in time
			time.Sleep(seconds(bounds.RecoveryS) - time.Since(back))
			w.Send(Traffic{Route: plainRoute, Every: 40 * time.Millisecond}, 2*time.Second, "after")
			w.Checker.checkRecovered(back)
		})
		is.Equal(w.Checker.Figures().Open, 0)
	})
}
