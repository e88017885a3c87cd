package clustertime

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestARunningClockDecidesAtOnce(t *testing.T) {
	is := is.New(t)
	s := NewSettlement([]string{"a", "b", "c"})
	s.Report(0, "a", Estimate{Estimated, then - 2*time.Second, then + 4*time.Second})
	_, ok := s.Settle(0, false)
	is.True(!ok)
	s.Report(time.Second, "b", certain(then))
	at, ok := s.Settle(3*time.Second, false)
	is.True(ok)
	is.Equal(at, then+2*time.Second) // what has passed since the report counts
}

func TestTheLowestEstimateCountsOnceAllHaveReported(t *testing.T) {
	is := is.New(t)
	s := NewSettlement([]string{"a", "b", "c"})
	s.Report(0, "a", Estimate{Estimated, then - 9*time.Second, then + 4*time.Second})
	s.Report(0, "b", Estimate{Estimated, then - 3*time.Second, then + 3*time.Second})
	s.Report(0, "of another machine", Estimate{})
	_, ok := s.Settle(0, false)
	is.True(!ok)
	s.Report(0, "c", Estimate{Estimated, then - 9*time.Second, then})
	at, ok := s.Settle(0, false)
	is.True(ok)
	is.Equal(at, then)
}

func TestTheClusterTimeIsNotBelowAnyFloor(t *testing.T) {
	is := is.New(t)
	s := NewSettlement([]string{"a", "b"})
	s.Report(0, "a", Estimate{Estimated, then, then + time.Second})
	s.Report(0, "b", Estimate{Estimated, then - time.Minute, then - time.Minute})
	at, ok := s.Settle(0, false)
	is.True(ok)
	is.Equal(at, then)
}

func TestWithoutAnEstimateNothingIsSettled(t *testing.T) {
	is := is.New(t)
	s := NewSettlement([]string{"a"})
	s.Report(0, "a", Estimate{})
	_, ok := s.Settle(0, true)
	is.True(!ok)
	s.Report(0, "b", Estimate{Estimated, then, then})
	_, ok = s.Settle(0, true)
	is.True(ok)
}

// TestOneRightClockPreventsAJumpAhead: if one report is no higher than the true time, the result is not either, and no floor is undercut.
func TestOneRightClockPreventsAJumpAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "processes")
		right := rapid.IntRange(0, count-1).Draw(t, "right")
		processes := make([]string, count)
		for i := range processes {
			processes[i] = fmt.Sprint(i)
		}
		s := NewSettlement(processes)
		highest := time.Duration(0)
		for i := range count {
			floor := then - time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age"))
			estimate := floor + time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "advance"))
			if i == right {
				estimate = min(estimate, then)
			}
			highest = max(highest, floor)
			s.Report(0, processes[i], Estimate{Estimated, floor, estimate})
		}
		at, ok := s.Settle(0, false)
		if !ok || at > then || at < highest {
			t.Fatalf("settled at %v of %v", at-then, highest-then)
		}
	})
}

// TestARunningClockIsNotMovedByAHigherCheckpoint guards against a jump ahead where a machine comes back that was down while the others settled on
// less than its checkpoint: messages accepted since would end early.
func TestARunningClockIsNotMovedByAHigherCheckpoint(t *testing.T) {
	is := is.New(t)
	s := NewSettlement([]string{"back", "running"})
	s.Report(0, "back", Estimate{Estimated, then + 5*time.Second, then + 9*time.Second})
	s.Report(0, "running", certain(then))
	at, ok := s.Settle(0, false)
	is.True(ok)
	is.Equal(at, then)
}
