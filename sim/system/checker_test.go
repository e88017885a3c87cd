package system

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

// TestConfigurationNeverGoesBack applies a version every 0.4 s, each with a route of its own, and probes all dispatchers for the newest routes while
// control's primary is isolated, killed and loses its disk, and a dispatcher restarts: no incarnation goes back to an earlier version.
func TestConfigurationNeverGoesBack(t *testing.T) {
	play(t, Options{Seed: 34}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		var newest atomic.Int64
		revision, routes := w.Operator.Newest().Revision, []Route{fifoRoute, plainRoute, pacedRoute}
		end := make(chan struct{})
		base := revision
		w.running.Go(func() { w.probeVersions(base, func() int { return int(newest.Load()) }, 100*time.Millisecond, end) })
		faults := make(chan struct{})
		w.running.Go(func() {
			defer close(faults)
			first := w.controlPrimary()
			w.SetIsolated(first.IP, true)
			time.Sleep(2 * time.Second)
			w.SetIsolated(first.IP, false)
			time.Sleep(2 * time.Second)
			is.NoErr(w.controlPrimary().Kill())
			is.NoErr(startEach(w.ByRole(protocol.RoleControl)))
			time.Sleep(2 * time.Second)
			is.NoErr(w.restartWithEmptyDisk(w.controlPrimary()))
			is.NoErr(w.ByRole(protocol.RoleDispatcher)[0].Restart(200 * time.Millisecond))
		})
		for range 25 {
			routes = append(routes, versionRoute(revision+1))
			newest.Store(int64(revision + 1))
			status, err := w.Operator.Replace(revision, w.Operator.Document(revision+1, routes...), orderWithin)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			revision++
			time.Sleep(400 * time.Millisecond)
		}
		<-faults
		close(end)
		time.Sleep(bounds.Contact())
		is.True(len(w.Checker.versions) > 60) // three dispatchers, 25 versions: most were seen
	})
}

// TestCheckerDetectsVersionRollback checks that an incarnation that had a version and later lacks its route violates CONFIG, and that another
// incarnation, or a response to an earlier request, does not.
func TestCheckerDetectsVersionRollback(t *testing.T) {
	is := is.New(t)
	ch := newChecker()
	now := time.Now()
	seen := observedVersion{dispatcher: "edge-1", incarnation: 1, revision: 7}
	ch.checkProbe(seen, now, http.StatusNotFound) // not yet
	ch.checkProbe(seen, now, http.StatusAccepted)
	later := now.Add(time.Second)
	ch.checkProbe(observedVersion{"edge-1", 2, 7}, later, http.StatusNotFound)
	ch.checkProbe(observedVersion{"edge-2", 1, 7}, later, http.StatusNotFound)
	ch.checkProbe(observedVersion{"edge-1", 1, 8}, later, http.StatusNotFound)
	ch.checkProbe(seen, now, http.StatusNotFound) // sent before
	is.Equal(len(ch.Violations()), 0)
	ch.checkProbe(observedVersion{"edge-1", 1, 6}, later, http.StatusNotFound) // the routes of earlier versions stay
	is.Equal(len(ch.Violations()), 1)
	is.Equal(ch.Violations()[0].Rule, "CONFIG")
}

// TestCheckerDetectsRequestAbortedByPlannedShutdown checks the cases of LOST around planned shutdowns.
func TestCheckerDetectsRequestAbortedByPlannedShutdown(t *testing.T) {
	slack := time.Duration(bounds.LossSlackMs * float64(time.Millisecond))
	start := time.Now()
	for name, c := range map[string]struct {
		dispatcher string
		held       time.Duration // from the last byte of the request to the abort
		after      time.Duration // from SIGTERM to the abort
		fault      bool
		lost       bool
	}{
		"held and aborted":          {"edge-1", slack + time.Millisecond, time.Second, false, true},
		"aborted immediately":       {"edge-1", slack, time.Second, false, false},
		"by another dispatcher":     {"edge-2", time.Second, time.Second, false, false},
		"long after the SIGTERM":    {"edge-1", time.Second, bounds.Grace() + shutdownSlack, false, false},
		"before the SIGTERM":        {"edge-1", time.Second, -time.Millisecond, false, false},
		"during an unplanned fault": {"edge-1", time.Second, time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ch := newChecker()
			ch.shutdowns = []plannedShutdown{{"edge-1", start}}
			if c.fault {
				ch.faultTimes = []time.Time{start}
			}
			at := start.Add(c.after)
			ch.recordAttempt(abortedRequest{id: "m", dispatcher: c.dispatcher, sent: at.Add(-c.held - time.Millisecond), wrote: at.Add(-c.held), at: at}, true)
			ch.checkAborted()
			is.Equal(len(ch.Violations()) == 1, c.lost)
		})
	}
}

// TestCheckerComparesAbortsDuringConfigChanges checks that aborted requests during a configuration change violate LOST if the dispatcher aborts more
// than three times as often as otherwise, and not after seven tenths of a request's time.
func TestCheckerComparesAbortsDuringConfigChanges(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		otherAborts int
		held        time.Duration
		lost        int
	}{
		"no aborts otherwise": {0, time.Second, 2},
		"as often otherwise":  {2, time.Second, 0},
		"late in the request": {0, clientTimeout * lateShareTenths / 10, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ch := newChecker()
			ch.configSentAt, ch.configAckedAt = []time.Time{start}, []time.Time{start}
			attempt := func(at time.Time, aborted bool) {
				ch.recordAttempt(abortedRequest{id: "m", dispatcher: "edge-1", sent: at.Add(-c.held), wrote: at.Add(-c.held), at: at}, aborted)
			}
			far := start.Add(time.Hour)
			for n := range 10 {
				attempt(start.Add(2*time.Second), n < 2)
				attempt(far, n < c.otherAborts)
			}
			ch.checkAborted()
			is.Equal(len(ch.Violations()), c.lost)
		})
	}
}
