package clustertime

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	day  = 24 * time.Hour
	then = 20_000 * day // since 1970
)

// checkpoint is one that was written an hour after the boot.
var checkpoint = Checkpoint{Cluster: then, Reading: Reading{Boot: "first", Steady: time.Hour, Wall: then + time.Minute}}

func TestResume(t *testing.T) {
	for name, c := range map[string]struct {
		now  Reading
		want Estimate
	}{
		"the steady clock has run since": {
			Reading{"first", time.Hour + 3*time.Second, then + time.Minute + 3*time.Second}, certain(then + 3*time.Second),
		},
		"the time of day has jumped ahead": {
			Reading{"first", time.Hour + 3*time.Second, then + time.Minute + 11*time.Second}, certain(then + 3*time.Second),
		},
		"the time of day has jumped back": {
			Reading{"first", time.Hour + 3*time.Second, then + time.Minute - 5*time.Second}, certain(then + 3*time.Second),
		},
		"another boot": {
			Reading{"second", 20 * time.Second, then + 2*time.Minute}, Estimate{Estimated, then, then + time.Minute},
		},
		"another boot, whose time of day is behind": {
			Reading{"second", 20 * time.Second, then}, Estimate{Estimated, then, then},
		},
		"the steady clock went back in a boot of the same name": {
			Reading{"first", 20 * time.Second, then + 2*time.Minute}, Estimate{Estimated, then, then + time.Minute},
		},
		"the steady clock is elsewhere in a boot of the same name": {
			Reading{"first", 20 * time.Hour, then + 2*time.Minute}, Estimate{Estimated, then, then + time.Minute},
		},
		"the time of day jumped by more than can be told from another boot": {
			Reading{"first", time.Hour + 3*time.Second, then + time.Hour}, Estimate{Estimated, then, then + 3*time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(checkpoint.Resume(c.now), c.want) })
	}
}

func certain(at time.Duration) Estimate { return Estimate{Certain, at, at} }

// TestResumeIsNeverAheadInTheSameBoot: whatever the time of day does, a checkpoint promises no more than has passed.
func TestResumeIsNeverAheadInTheSameBoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		passed := time.Duration(rapid.Int64Range(0, int64(30*day)).Draw(t, "passed"))
		step := time.Duration(rapid.Int64Range(-int64(day), int64(day)).Draw(t, "step"))
		e := checkpoint.Resume(Reading{"first", time.Hour + passed, checkpoint.Reading.Wall + passed + step})
		if e.Time > then+passed || e.Floor > e.Time || e.Floor < then {
			t.Fatalf("%+v after %v", e, passed)
		}
	})
}

// TestResumeAfterAnotherBootIsAheadByTheStepAtMost: without a steady clock the error is that of the time of day.
func TestResumeAfterAnotherBootIsAheadByTheStepAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		passed := time.Duration(rapid.Int64Range(0, int64(30*day)).Draw(t, "passed"))
		step := time.Duration(rapid.Int64Range(-int64(day), int64(day)).Draw(t, "step"))
		steady := time.Duration(rapid.Int64Range(0, int64(30*day)).Draw(t, "steady"))
		e := checkpoint.Resume(Reading{"second", steady, checkpoint.Reading.Wall + passed + step})
		if e.Certainty != Estimated || e.Floor != then || e.Time > then+passed+max(step, 0) || e.Time < then {
			t.Fatalf("%+v after %v", e, passed)
		}
	})
}

func TestEstimateAdvancesWithTheSteadyClock(t *testing.T) {
	is := is.New(t)
	is.Equal(Estimate{Estimated, 5, 8}.After(2), Estimate{Estimated, 7, 10})
	is.Equal(Estimate{}.After(2), Estimate{})
}

func TestCheckpointSurvivesItsEncoding(t *testing.T) {
	is := is.New(t)
	var decoded Checkpoint
	is.NoErr(decoded.Decode(append(checkpoint.Append(nil), "a later field"...)))
	is.Equal(decoded, checkpoint)
	for length := range checkpoint.Append(nil) {
		is.Equal(new(Checkpoint).Decode(checkpoint.Append(nil)[:length]), ErrCheckpoint)
	}
}

func FuzzCheckpoint(f *testing.F) {
	f.Add(checkpoint.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		var c, again Checkpoint
		if c.Decode(b) != nil {
			return
		}
		if err := again.Decode(c.Append(nil)); err != nil || again != c {
			t.Fatalf("%+v, %+v, %v", c, again, err)
		}
	})
}
