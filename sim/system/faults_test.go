package system

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var faultSeeds = flag.Int("system.faultseeds", faultDays, "days of TestFaultsAlone for each fault")

// playEach plays each fault with each seed, in parallel.
func playEach(t *testing.T, list []fault, play func(t *testing.T, f fault, seed uint64)) {
	for _, f := range list {
		for i := range *faultSeeds {
			seed := *firstSeed + uint64(i)
			t.Run(fmt.Sprint(f.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				play(t, f, seed)
			})
		}
	}
}

// TestFaultsAlone injects each kind of fault by itself, twice in a run.
func TestFaultsAlone(t *testing.T) {
	playEach(t, faults, func(t *testing.T, f fault, seed uint64) {
		play(t, Options{Seed: seed}, func(t *testing.T, w *World) {
			is := is.NewRelaxed(t)
			random := rand.New(rand.NewPCG(seed, 0x66617578))
			runWithFaults(w, 8*time.Second, func() {
				for range 2 {
					is.NoErr(f.play(w, random))
					time.Sleep(bounds.Contact())
				}
			})
			is.Equal(w.Checker.Figures().Open, 0)
		})
	})
}
