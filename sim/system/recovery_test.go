package system

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

// recoverySpan is the time measured after each loss. It is longer than CatchUpS and the limit of any failover.
const recoverySpan = 8 * time.Second

// losses are those whose recovery times docs/recovery.md states. Each returns when what was lost is back.
var losses = []struct {
	name                         string
	accepting, delivering, whole time.Duration // at most
	lose                         func(w *World) error
}{
	{"control's primary killed, back after 3 s", 0, 0, 5 * time.Second, func(w *World) error {
		return backAfter(3*time.Second, (*Process).Kill, w.controlPrimary())
	}},
	{"store killed, back after 3 s", 300 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, func(w *World) error {
		return backAfter(3*time.Second, (*Process).Kill, w.ByRole(protocol.RoleStore)[0])
	}},
	{"store without power for 3 s", 700 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, func(w *World) error {
		return backAfter(3*time.Second, (*Process).LosePower, w.ByRole(protocol.RoleStore)[1])
	}},
	{"store back after 1 s with an empty disk", 700 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, func(w *World) error {
		lose := func(p *Process) error {
			err := p.LosePower()
			p.Wipe()
			return err
		}
		return backAfter(time.Second, lose, w.ByRole(protocol.RoleStore)[2])
	}},
	{"all machines of a zone without power for 3 s", 3200 * time.Millisecond, // until the dispatcher of that zone is ready again
		3 * time.Second, 5 * time.Second, func(w *World) error {
			return backAfter(3*time.Second, (*Process).LosePower, w.inZone("zone-1")...)
		}},
	{"all power lost for 0.5 s", 1500 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second, func(w *World) error {
		return w.losePowerEverywhere()
	}},
}

// backAfter takes processes down and starts them again after a pause.
func backAfter(down time.Duration, lose func(*Process) error, processes ...*Process) (err error) {
	for _, p := range processes {
		err = errors.Join(err, lose(p))
	}
	time.Sleep(down)
	for _, p := range processes {
		err = errors.Join(err, p.Start())
	}
	return err
}

func (w *World) inZone(zone string) (found []*Process) {
	for _, p := range w.Processes {
		if p.zone == zone {
			found = append(found, p)
		}
	}
	return found
}

// TestRecoveryTimes measures the recovery from each loss, and logs it as a line of JSON. In virtual time only network, disks and timers take time,
// not the processor.
func TestRecoveryTimes(t *testing.T) {
	for i, loss := range losses {
		t.Run(loss.name, func(t *testing.T) {
			play(t, Options{Seed: uint64(20 + i)}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				withLoss := func(lose func()) { runWithFaults(w, recoverySpan+3*time.Second, lose) }
				r, err := w.MeasureRecovery(loss.name, recoverySpan, withLoss, func() error { return loss.lose(w) })
				is.NoErr(err)
				line, err := json.Marshal(r)
				is.NoErr(err)
				t.Logf("RECOVERY %s", line)
				is.True(r.Accepting <= loss.accepting.Seconds())
				is.True(r.Delivering <= loss.delivering.Seconds())
				is.True(r.Whole <= loss.whole.Seconds())
			})
		})
	}
}
