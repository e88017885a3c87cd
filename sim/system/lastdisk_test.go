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

// mergedMessage is what control logs when it has a partition merged from the copies that remain.
const mergedMessage = "control: the disks of all members of a partition are lost; it is put together from what others hold"

// secondLosses are the delays between the view with one member and the second loss. All are shorter than a repair.
var secondLosses = []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond}

// TestDiskOfLastMemberIsLost takes the power of one store and then, after the failover and while the third store is being repaired, the disk of
// the second: messages acknowledged before the failover are on the first disk, those acknowledged since on the third.
func TestDiskOfLastMemberIsLost(t *testing.T) {
	playSecondLosses(t, 60, func(w *World, lose func() error) error {
		first := w.ByRole(protocol.RoleStore)[0]
		failed := errors.Join(first.LosePower(), lose())
		time.Sleep(time.Second)
		return errors.Join(failed, first.Start())
	})
}

// TestDiskLossWhileAnotherStoreIsCutOff cuts the link between two stores, and loses the disk of one when views exclude the other: the excluded one
// must not drop its records before there are enough copies elsewhere.
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

// playSecondLosses plays a first loss with a second one: lose waits until views lack copies, and then replaces the disk of the second store. Nothing
// may be lost, and every partition must have all its copies in time.
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
	t.Logf("%d partitions merged", merges)
	is.New(t).True(merges > 0) // otherwise the second loss came too late
}
