package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const heartbeatInterval = 200 * time.Millisecond

func newTestSession(candidates ...string) *session {
	s := newSession(heartbeatInterval, 0)
	s.findCandidates = func() []string { return candidates }
	return s
}

// expectBegin checks the address of the heartbeat that is due at a time, and that none was due before.
func expectBegin(t *testing.T, s *session, at time.Duration, address string) {
	t.Helper()
	is := is.New(t)
	_, ok := s.begin(at - 1)
	is.True(!ok)
	got, ok := s.begin(at)
	is.True(ok)
	is.Equal(got, address)
	_, ok = s.begin(at)
	is.True(!ok) // only one heartbeat is in flight
}

func TestHeartbeatsStayWithThePrimaryThatAccepts(t *testing.T) {
	is := is.New(t)
	s := newTestSession("a", "b")
	expectBegin(t, s, 0, "a")
	s.accept("a", 0, 10)
	is.True(s.open)
	expectBegin(t, s, heartbeatInterval, "a")
	s.accept("a", heartbeatInterval, 3*heartbeatInterval) // a late reply: the next heartbeat is due at once
	expectBegin(t, s, 3*heartbeatInterval, "a")
}

func TestRedirectIsFollowedAtOnce(t *testing.T) {
	s := newTestSession("a", "b")
	expectBegin(t, s, 0, "a")
	s.refuse("a", "c", 5)
	expectBegin(t, s, 5, "c")
	s.accept("c", 5, 6)
	expectBegin(t, s, 5+heartbeatInterval, "c")
}

func TestMutualRedirectsDoNotCauseABusyLoop(t *testing.T) {
	is := is.New(t)
	s := newTestSession("a")
	now, attempts := time.Duration(0), 0
	for now < 10*time.Second {
		now = max(now, s.due)
		address, ok := s.begin(now)
		is.True(ok)
		attempts++
		if address == "a" {
			s.refuse("a", "b", now)
		} else {
			s.refuse("b", "a", now)
		}
	}
	is.True(attempts < 70) // one per 200 ms, and a few at the start
}

func TestRefusalWithoutARedirectTriesOtherCandidates(t *testing.T) {
	s := newTestSession("a", "b", "c")
	expectBegin(t, s, 0, "a")
	s.refuse("a", "", 0)
	expectBegin(t, s, 50*time.Millisecond, "b")
	s.refuse("b", "", 50*time.Millisecond)
	expectBegin(t, s, 125*time.Millisecond, "c")
	s.refuse("c", "", 125*time.Millisecond)
	expectBegin(t, s, 237500*time.Microsecond, "a")
}

func TestPrimaryWithABrokenConnectionIsRetriedOnce(t *testing.T) {
	s := newTestSession("b")
	s.setPrimary("a", 0)
	expectBegin(t, s, 0, "a")
	s.accept("a", 0, 0)
	expectBegin(t, s, heartbeatInterval, "a")
	s.fail("a", false, heartbeatInterval)
	expectBegin(t, s, heartbeatInterval+initialPause, "a")
	s.fail("a", false, heartbeatInterval+initialPause)
	expectBegin(t, s, heartbeatInterval+initialPause+initialPause*3/2, "b")
}

func TestUnresponsivePrimaryIsAbandonedAndRedirectsToItIgnored(t *testing.T) {
	is := is.New(t)
	s := newTestSession("a", "b", "c")
	expectBegin(t, s, 0, "a")
	s.accept("a", 0, 0)
	expectBegin(t, s, heartbeatInterval, "a")
	s.fail("a", true, 600*time.Millisecond)
	is.True(!s.open)
	expectBegin(t, s, 650*time.Millisecond, "b") // a is the first candidate, but it has just timed out
	s.refuse("b", "a", 650*time.Millisecond)
	expectBegin(t, s, 725*time.Millisecond, "c")
	s.refuse("c", "b", 725*time.Millisecond)
	expectBegin(t, s, 725*time.Millisecond, "b")
	s.accept("b", 725*time.Millisecond, 726*time.Millisecond)

	s = newTestSession("b")
	s.setPrimary("a", 0)
	expectBegin(t, s, 0, "a")
	s.fail("a", true, 400*time.Millisecond)
	expectBegin(t, s, 450*time.Millisecond, "b")
	s.refuse("b", "a", 400*time.Millisecond+unresponsiveFor) // redirects to a are followed again
	expectBegin(t, s, 400*time.Millisecond+unresponsiveFor, "a")
}

func TestReportedPrimaryIsUsedNext(t *testing.T) {
	s := newTestSession("a")
	expectBegin(t, s, 0, "a")
	s.accept("a", 0, 0)
	s.setPrimary("b", 10)
	expectBegin(t, s, 10, "b")
	s.setPrimary("c", 11) // while a reply is awaited
	s.fail("b", true, 20)
	expectBegin(t, s, 20+initialPause, "c")
	s.setPrimary("d", 60*time.Millisecond)
	s.accept("c", 20+initialPause, 60*time.Millisecond) // c still accepts
	expectBegin(t, s, 60*time.Millisecond, "d")
}

func TestStoppedSessionSendsNothing(t *testing.T) {
	is := is.New(t)
	s := newTestSession("a")
	s.stop()
	_, ok := s.begin(time.Hour)
	is.True(!ok)
}

func TestSessionWithoutCandidatesRetries(t *testing.T) {
	is := is.New(t)
	s := newTestSession()
	_, ok := s.begin(0)
	is.True(!ok)
	due, _ := s.next()
	is.Equal(due, initialPause)
}

func TestHeartbeatsFollowQuicklyUntilTheClusterTimeIsTold(t *testing.T) {
	is := is.New(t)
	s := newSession(200*time.Millisecond, 0)
	s.findCandidates = func() []string { return []string{"a"} }
	_, ok := s.begin(0)
	is.True(ok)
	s.accept("a", 0, time.Millisecond)
	due, _ := s.next()
	is.Equal(due, 200*time.Millisecond)
	s.awaitTime(0)
	due, _ = s.next()
	is.Equal(due, timeRetry)
}
