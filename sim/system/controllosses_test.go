package system

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// controlLoss takes F control processes down and brings them back after a while.
type controlLoss struct {
	name string
	play func(w *World, lost []*Process, away time.Duration) error
}

var controlLosses = []controlLoss{
	{"disks", func(w *World, lost []*Process, away time.Duration) error {
		failed := loseDisks(lost)
		time.Sleep(away)
		return errors.Join(failed, startEach(lost))
	}},
	{"disks one after the other", func(w *World, lost []*Process, _ time.Duration) error {
		var failed error
		for _, p := range lost {
			failed = errors.Join(failed, w.restartWithEmptyDisk(p))
			time.Sleep(500 * time.Millisecond) // shorter than CatchUpS: the previous one still counts as lost
		}
		return failed
	}},
	{"without power", func(w *World, lost []*Process, away time.Duration) error {
		var failed error
		for _, p := range lost {
			failed = errors.Join(failed, p.LosePower())
		}
		time.Sleep(away)
		return errors.Join(failed, startEach(lost))
	}},
	{"cut off", func(w *World, lost []*Process, away time.Duration) error {
		for _, p := range lost {
			w.SetIsolated(p.IP, true)
		}
		time.Sleep(away)
		for _, p := range lost {
			w.SetIsolated(p.IP, false)
		}
		return nil
	}},
}

func loseDisks(lost []*Process) (failed error) {
	for _, p := range lost {
		failed = errors.Join(failed, p.LosePower())
		p.Wipe()
	}
	return failed
}

func startEach(processes []*Process) (failed error) {
	for _, p := range processes {
		failed = errors.Join(failed, p.Start())
	}
	return failed
}

const (
	lossLasts = 9 * time.Second
	// electedWithin is the time within which control must have a primary after the loss of F processes; rate-limited services may stall meanwhile.
	electedWithin = 3 * time.Second
	orderWithin   = 4 * time.Second
	// pacedWithin is the time that a message of a rate-limited service may wait for its run while control has a primary.
	pacedWithin = time.Second
)

// TestControlToleratesLosses loses F control processes at once, the primary among them, in groups of at least 2F+1 processes. Meanwhile orders are
// applied, rate-limited services are served and sessions are kept; after a power loss of all machines nothing is lost.
func TestControlToleratesLosses(t *testing.T) {
	sizes := []Options{{Control: 3, Machines: 1}, {Control: 6, Machines: 2}, {Control: 4, Machines: 1}, {Control: 5, Machines: 2}}
	for _, o := range sizes[:controlSizes] {
		o.Seed, o.Edges, o.Stores = 23, 6, 4
		for _, loss := range controlLosses {
			t.Run(fmt.Sprintf("%s of %d, F %d", loss.name, o.Control, o.Machines), func(t *testing.T) {
				t.Parallel()
				play(t, o, func(t *testing.T, w *World) { playControlLoss(t, w, loss) })
			})
		}
	}
}

func playControlLoss(t *testing.T, w *World, loss controlLoss) {
	is := is.NewRelaxed(t)
	primary := w.controlPrimary()
	lost := append([]*Process{primary}, w.others(primary)...)[:w.options.Machines]
	revision := 5
	change := func() {
		status, err := w.Operator.Replace(revision, w.Operator.Document(revision+1, fifoRoute, plainRoute, pacedRoute), orderWithin)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		revision++
	}
	runWithFaults(w, lossLasts+4*time.Second, func() {
		change()
		begun := time.Now()
		played := make(chan error)
		w.running.Go(func() { played <- loss.play(w, lost, lossLasts) })
		for time.Since(begun) < lossLasts {
			time.Sleep(500 * time.Millisecond)
			change()
		}
		is.NoErr(<-played)
		late := w.Checker.startedLate("svc-c", begun.Add(electedWithin), begun.Add(lossLasts), pacedWithin)
		is.Equal(late, 0) // rate-limited services continue
		time.Sleep(seconds(bounds.CatchUpS))
		is.True(w.controlFullyReplicated())
	})
	change()
	is.NoErr(w.losePowerEverywhere())
	time.Sleep(bounds.Contact())
	is.Equal(w.Operator.Newest().Revision, revision)
	is.Equal(w.Checker.Figures().Open, 0)
}

// TestControlResumesWhenMajorityReturns takes the power of at least half of the control processes, more than any F allows: traffic without a rate
// limit continues, no order gets a definite response, and everything resumes once they are back.
func TestControlResumesWhenMajorityReturns(t *testing.T) {
	for _, processes := range []int{3, 6, 4, 5}[:controlSizes] {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			t.Parallel()
			play(t, Options{Seed: 24, Control: processes, Edges: 6, Stores: 4}, func(t *testing.T, w *World) {
				is := is.NewRelaxed(t)
				lost := w.shuffled(w.controlPrimary().Role, rand.New(rand.NewPCG(24, uint64(processes))))[:(processes+1)/2]
				runWithFaults(w, lossLasts+4*time.Second, func() {
					begun := time.Now()
					for _, p := range lost {
						is.NoErr(p.LosePower())
					}
					time.Sleep(electedWithin)
					document := w.Operator.Document(6, fifoRoute, plainRoute, pacedRoute)
					status, err := w.Operator.Replace(5, document, orderWithin)
					is.True(err != nil || status >= http.StatusInternalServerError) // not decided
					is.Equal(w.Checker.startedLate("svc-b", begun.Add(electedWithin), time.Now().Add(-2*pacedWithin), pacedWithin), 0)
					is.NoErr(startEach(lost))
					status, err = w.Operator.Replace(5, document, 2*orderWithin)
					is.NoErr(err)
					is.Equal(status, http.StatusOK)
					time.Sleep(bounds.Contact())
					is.True(w.controlFullyReplicated())
				})
				is.Equal(w.Checker.Figures().Open, 0)
			})
		})
	}
}

// startedLate counts the messages of a service that were sent in a span and accepted, and whose run started later than within after they were due.
func (ch *Checker) startedLate(service string, from, to time.Time, within time.Duration) (count int) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, m := range ch.messages {
		if m.service != service || m.sent.Before(from) || m.sent.After(to) || m.accepted.IsZero() {
			continue
		}
		begun := m.began
		if begun.IsZero() {
			begun = time.Now()
		}
		if begun.Sub(m.accepted.Add(m.delay)) > within {
			count++
		}
	}
	return count
}
