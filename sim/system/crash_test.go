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

// crashPoints is how many crash points are tested for each role, evenly spread over its run; 0 tests all of them.
var crashPoints = flag.Int("system.crashpoints", crashes, "crash points of TestCrashPoints for each role; 0 for all")

const (
	crashDown    = 300 * time.Millisecond
	crashTraffic = 2 * time.Second
)

// TestCrashPoints makes one process lose power before or after an operation of its disk, from the first start of the system on. Writes that were
// not synced are kept, torn or lost. The process restarts on that disk, and everything that was acknowledged must still hold.
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

// playCrash runs the system with traffic and a configuration change while the first process of a role crashes at a crash point; at 0 it does not
// crash. It returns how many crash points the process passed.
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

// crashOnce makes a process lose power at its crash point, and starts it again.
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
