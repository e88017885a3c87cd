package system

import (
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualdisk"
)

// crashPoints is how many crash points of each role's run are played, evenly spread. -system.crashpoints 0 plays every one.
var crashPoints = flag.Int("system.crashpoints", crashes, "crash points of TestCrashPoints for each role; 0 for all")

const (
	crashDown    = 300 * time.Millisecond
	crashTraffic = 2 * time.Second
)

// TestCrashPoints has one process lose power before or after each operation of its disk, from the founding of the system on; what was
// written and not synced then is kept, torn or lost. It comes back on that disk, and all that was acknowledged holds.
func TestCrashPoints(t *testing.T) {
	for _, role := range []protocol.Role{protocol.RoleControl, protocol.RoleStore} {
		t.Run(role.String(), func(t *testing.T) {
			points := playCrash(t, role, 0)
			t.Logf("%d crash points", points)
			if points == 0 {
				t.Fatal("the disk was not used")
			}
			played := points
			if *crashPoints > 0 {
				played = min(points, *crashPoints)
			}
			for i := range played {
				at := 1 + i*points/played
				t.Run(fmt.Sprint(at), func(t *testing.T) {
					t.Parallel()
					playCrash(t, role, at)
				})
			}
		})
	}
}

// playCrash plays a short day with traffic and a change of configuration, on which the first process of a role crashes; at 0 it does not.
// It returns how many crash points the process passed.
func playCrash(t *testing.T, role protocol.Role, at int) (points int) {
	var crash *virtualdisk.Crash
	day := func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		sent := make(chan struct{})
		w.running.Go(func() {
			traffic(w, crashTraffic)
			close(sent)
		})
		time.Sleep(crashTraffic / 2)
		status, err := w.Operator.Replace(5, w.Operator.Document(6, fifoRoute, plainRoute, pacedRoute), 10*time.Second)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		<-sent
		is.Equal(w.Checker.Figures().Open, 0)
		points = crash.Points()
	}
	prepare := func(w *World) {
		crash = virtualdisk.NewCrash(at)
		p := w.ByRole(role)[0]
		p.crash = crash
		w.running.Go(func() { crashOnce(t, w, p, crash) })
	}
	playPrepared(t, Options{Seed: *firstSeed + uint64(at)}, prepare, day)
	return points
}

// crashOnce cuts the power of a process at its crash point, and starts it again.
func crashOnce(t *testing.T, w *World, p *Process, crash *virtualdisk.Crash) {
	select {
	case <-w.ctx.Done():
		return
	case <-crash.Reached():
	}
	if err := p.LosePower(); err != nil {
		t.Error(err)
	}
	time.Sleep(crashDown)
	if w.ctx.Err() != nil {
		return
	}
	if err := p.Start(); err != nil {
		t.Error(err)
	}
}
