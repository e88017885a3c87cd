package system

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

const (
	largeBytes  = 150_000 // of a body; some 250 fill four disks of smallDiskMb
	smallDiskMb = 24
	fillSpan    = 6 * time.Second
	largeDelay  = 40 * time.Second // longer than filling the disks, the fault, and the recovery from it
)

// fullDiskFaults are injected while the disks of all stores hold as many delayed messages as are accepted.
var fullDiskFaults = []struct {
	name string
	play func(w *World) error
}{
	{"nothing", func(*World) error { return nil }},
	{"a store loses its disk", func(w *World) error {
		return w.restartWithEmptyDisk(w.ByRole(protocol.RoleStore)[0])
	}},
	{"a store is away for five seconds", func(w *World) error {
		return w.ByRole(protocol.RoleStore)[0].Restart(5 * time.Second)
	}},
	{"each store is killed", func(w *World) (failed error) {
		for _, p := range w.ByRole(protocol.RoleStore) {
			failed = errors.Join(failed, p.Kill(), p.Start())
			time.Sleep(2 * time.Second)
		}
		return failed
	}},
	{"all stores lose power", func(w *World) (failed error) {
		for _, p := range w.ByRole(protocol.RoleStore) {
			failed = errors.Join(failed, p.LosePower())
		}
		for _, p := range w.ByRole(protocol.RoleStore) {
			failed = errors.Join(failed, p.Start())
		}
		return failed
	}},
}

// Guards against full disks that stop the service for good: whatever happens while they are full, all accepted messages run when their
// delay is over, and new messages are accepted from then on.
func TestFaultsWhileDisksAreFull(t *testing.T) {
	for i, f := range fullDiskFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			play(t, Options{Seed: *firstSeed + uint64(i), Stores: 4, StoreDiskMb: smallDiskMb}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				begun := time.Now()
				w.Send(Traffic{Route: plainRoute, Every: 20 * time.Millisecond, Bytes: largeBytes, Delay: largeDelay, AllDelayed: true}, fillSpan, "large")
				filled := w.Checker.Figures()
				t.Logf("%d accepted, %d refused", filled.Accepted, filled.Refused)
				is.True(filled.Refused > 20) // the disks are full
				is.NoErr(f.play(w))
				time.Sleep(time.Until(begun.Add(fillSpan + largeDelay + seconds(bounds.CompletionS))))
				is.Equal(w.Checker.Figures().Open, 0)
				w.Send(Traffic{Route: plainRoute, Every: 40 * time.Millisecond}, 2*time.Second, "after")
				after := w.Checker.Figures()
				t.Logf("afterwards %d accepted, %d refused", after.Accepted-filled.Accepted, after.Refused-filled.Refused)
				is.Equal(after.Refused, filled.Refused)
			})
		})
	}
}
