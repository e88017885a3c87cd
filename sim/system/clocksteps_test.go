package system

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

const (
	clockStep      = 4 * time.Second
	coreAway       = 500 * time.Millisecond
	keptFor        = 25 * time.Second // the retention of the messages that wait
	longestDelay   = 14 * time.Second // of messages that are due after the last jump
	endedLateLimit = 4 * time.Second  // how long after its retention a message must have ended: the core was away twice
)

var (
	waitingRoute = Route{Name: "r-waiting", PathPrefix: "/waiting/", Backend: "svc-b", RetentionS: keptFor.Seconds()}
	delayedRoute = Route{Name: "r-delayed", PathPrefix: "/delayed/", Backend: "svc-a"}
)

// TestMessagesKeepTheirRetentionWhenClocksJumpAndTheCoreRestarts guards against messages that end before their retention is over, or run before
// their delay is, because the cluster time went on from a wrong time of day after all of control and all stores had restarted.
func TestMessagesKeepTheirRetentionWhenClocksJumpAndTheCoreRestarts(t *testing.T) {
	for name, day := range map[string]clockStepDay{
		"killed":                            {seed: 90, stepBefore: 2 * time.Second, lose: (*Process).Kill},
		"killed at the jump":                {seed: 92, stepBefore: 20 * time.Millisecond, most: true, lose: (*Process).Kill},
		"without power, dispatchers run on": {seed: 90, stepBefore: 2 * time.Second, lose: (*Process).LosePower},
		"all without power":                 {seed: 93, stepBefore: 2 * time.Second, everything: true, lose: (*Process).LosePower},
	} {
		t.Run(name, func(t *testing.T) { playClockSteps(t, day) })
	}
}

// TestOneRightClockIsEnoughAfterALossOfPower guards against a jump ahead where the times of day of all machines but one jump right before all of
// them lose power, so that no checkpoint has noticed.
func TestOneRightClockIsEnoughAfterALossOfPower(t *testing.T) {
	playClockSteps(t, clockStepDay{seed: 91, stepBefore: 20 * time.Millisecond, most: true, everything: true, lose: (*Process).LosePower})
}

// clockStepDay is a day with two restarts of the core, after jumps of clocks back and then ahead.
type clockStepDay struct {
	seed       uint64
	stepBefore time.Duration // from a jump to the restart
	most       bool          // all clocks but one jump, otherwise those of control's primary and of half of the stores
	everything bool          // dispatchers, whose clocks would run on, are lost too
	lose       func(*Process) error
}

func playClockSteps(t *testing.T, day clockStepDay) {
	play(t, Options{Seed: day.seed, Stores: 4}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		status, err := w.Operator.Replace(5, w.Operator.Document(6, fifoRoute, plainRoute, pacedRoute, waitingRoute, delayedRoute), 10*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
		for _, worker := range w.Platform.Workers(waitingRoute.Backend) {
			w.Platform.Drain(worker)
		}
		time.Sleep(bounds.Contact())
		is.NoErr(day.restartCore(w, -clockStep))
		time.Sleep(bounds.Contact())
		begin := time.Now()
		sent := make(chan struct{})
		w.running.Go(func() {
			w.Send(Traffic{Route: waitingRoute, Every: 20 * time.Millisecond}, time.Second, "waiting")
			sent <- struct{}{}
		})
		w.Send(Traffic{Route: delayedRoute, Every: 20 * time.Millisecond, Delay: longestDelay}, time.Second, "delayed")
		<-sent
		time.Sleep(2 * time.Second)
		is.NoErr(day.restartCore(w, clockStep))
		time.Sleep(time.Until(begin.Add(keptFor - 500*time.Millisecond)))
		w.Check(1000) // none of those that wait may have ended
		time.Sleep(time.Until(begin.Add(time.Second + keptFor + endedLateLimit)))
		waiting := 0
		for _, m := range w.Checker.acceptedBy(waitingRoute.Backend) {
			waiting++
			_, state, _ := w.stateOf(m)
			is.Equal(state, "dead_letter")
		}
		is.True(waiting > 20)
	})
}

// restartCore makes clocks jump, and some time later ends all of control and all stores, or all processes, and starts them again. Then the clocks
// jump back.
func (d clockStepDay) restartCore(w *World, step time.Duration) (failed error) {
	core := w.withDisk()
	stepped := append([]*Process{w.controlPrimary()}, w.ByRole(protocol.RoleStore)[:2]...)
	if d.most {
		stepped = core[:len(core)-1] // the right clock is that of a store
	}
	w.StepClocks(stepped, step)
	time.Sleep(d.stepBefore)
	lost := core
	if d.everything {
		lost = w.Processes
	}
	for _, p := range lost {
		failed = errors.Join(failed, d.lose(p))
	}
	time.Sleep(coreAway)
	failed = errors.Join(failed, startEach(lost))
	time.Sleep(bounds.Contact())
	w.StepClocks(stepped, -step)
	return failed
}

// acceptedBy returns the accepted messages of a service that have not run.
func (ch *Checker) acceptedBy(service string) (found []*message) {
	open, _ := ch.acceptedMessages()
	for _, m := range open {
		if m.service == service {
			found = append(found, m)
		}
	}
	return found
}
