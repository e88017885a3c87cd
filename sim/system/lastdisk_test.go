package system

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"liftgauge/internal/protocol"
)

// mergedMessage is what control logs when it has a partition put together.
const mergedMessage = "control: the disks of all members of a partition are lost; it is put together from what others hold"

// secondLosses are how long after the view with one member the second loss comes. All are within the time that a repair takes.
var secondLosses = []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond}

// TestDiskOfLastMemberIsLost takes the power of one store, and after the failover, while the third store is being made equal, the disk of the
// other: what was acknowledged before is on the first disk, what was acknowledged since on the third.
func TestDiskOfLastMemberIsLost(t *testing.T) {
	playSecondLosses(t, 60, func(w *World, lose func() error) error {
		first := w.ByRole(protocol.RoleStore)[0]
		failed := errors.Join(first.LosePower(), lose())
		time.Sleep(time.Second)
		return errors.Join(failed, first.Start())
	})
}

// TestDiskLossWhileAnotherStoreIsCutOff cuts the link between two stores, and takes the disk of one when views do without the other: that one is not
// to drop its records before there are enough copies elsewhere.
func TestDiskLossWhileAnotherStoreIsCutOff(t *testing.T) {
	playSecondLosses(t, 70, func(w *World, lose func() error) error {
		stores := w.ByRole(protocol.RoleStore)
		w.eachPair(stores[:1], stores[1:2], func(a, b string) {
			w.Checker.recordFault("cut between " + a + " and " + b)
			w.Net.Cut(a, b, false)
			w.Net.Cut(b, a, false)
		})
		failed := lose()
		w.eachPair(stores[:1], stores[1:2], func(a, b string) {
			w.Net.Heal(a, b)
			w.Net.Heal(b, a)
		})
		return failed
	})
}

// playSecondLosses plays a first loss with a second one: lose waits for views that lack copies, and replaces the disk of the second store. Nothing may be
// lost, and every partition must be whole in time.
func playSecondLosses(t *testing.T, seed uint64, first func(w *World, lose func() error) error) {
	merges := 0
	for i, wait := range secondLosses {
		t.Run(fmt.Sprint(wait), func(t *testing.T) {
			core, logs := observer.New(zap.WarnLevel)
			play(t, Options{Seed: seed + uint64(i), Stores: 3, Logger: zap.New(core)}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				runWithFaults(w, 16*time.Second, func() {
					is.NoErr(first(w, func() error {
						w.awaitUnderReplicated(5 * time.Second)
						time.Sleep(wait)
						return w.restartWithEmptyDisk(w.ByRole(protocol.RoleStore)[1])
					}))
					time.Sleep(bounds.Contact())
					is.True(w.fullyReplicated(w.Net.Host(operatorIP)))
				})
				is.Equal(w.Checker.Figures().Open, 0)
			})
			merges += logs.FilterMessage(mergedMessage).Len()
		})
	}
	t.Logf("%d partitions put together", merges)
	is.New(t).True(merges > 0) // else the second loss came too late
}
