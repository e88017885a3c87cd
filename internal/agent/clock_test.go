package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var day = time.Date(2026, 12, 2, 5, 0, 0, 0, time.UTC)

func at(d time.Duration) int64 { return day.Add(d).UnixNano() }

func TestClockStartsAtWallTime(t *testing.T) {
	is := is.New(t)
	c := newClock(time.Minute, day)
	is.True(c.now(time.Minute + time.Second).Equal(day.Add(time.Second)))
	is.True(!c.isSynchronized())
}

func TestClockThatIsBehindAppliesTheFirstSampleAtOnce(t *testing.T) {
	is := is.New(t)
	c := newClock(0, day)
	c.sample(0, 2*time.Millisecond, at(time.Hour))
	is.True(c.isSynchronized())
	is.True(c.now(2 * time.Millisecond).Equal(day.Add(time.Hour + time.Millisecond)))
}

func TestClockThatIsAheadSlowsDown(t *testing.T) {
	is := is.New(t)
	c := newClock(0, day.Add(10*time.Second))
	c.sample(0, 0, at(0))
	is.True(c.now(10 * time.Second).Equal(day.Add(15 * time.Second)))
	is.True(c.now(20 * time.Second).Equal(day.Add(20 * time.Second)))
	is.True(c.now(30 * time.Second).Equal(day.Add(30 * time.Second)))
}

func TestClockSlewsAtALimitedRate(t *testing.T) {
	is := is.New(t)
	c := newClock(0, day)
	c.sample(0, 0, at(0))
	c.now(1)
	c.sample(1, 1, at(time.Second))
	is.Equal(c.now(time.Second).Sub(day).Round(time.Millisecond), 1050*time.Millisecond)
	c.set(time.Second, time.Duration(at(0)))
	is.Equal(c.now(2*time.Second).Sub(day).Round(time.Millisecond), 2*time.Second)
}

func TestSlowSamplesAreDiscarded(t *testing.T) {
	is := is.New(t)
	c := newClock(0, day)
	c.sample(0, time.Millisecond, at(0))
	c.sample(time.Second, time.Second+100*time.Millisecond, at(time.Minute))
	is.Equal(c.target, time.Duration(at(0))-time.Millisecond/2)
	for range 1000 { // the round trip is permanently longer
		c.sample(time.Second, time.Second+100*time.Millisecond, at(time.Minute))
	}
	is.Equal(c.target, time.Duration(at(time.Minute))-time.Second-50*time.Millisecond)
}

func TestClockNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		c := newClock(0, day)
		steady, last := time.Duration(0), day
		step := rapid.Int64Range(0, int64(10*time.Second))
		far := rapid.Int64Range(int64(-time.Minute), int64(time.Minute))
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { steady += time.Duration(step.Draw(t, "time")) },
			"sample": func(t *rapid.T) {
				sent := steady
				steady += time.Duration(step.Draw(t, "trip"))
				c.sample(sent, steady, at(time.Duration(far.Draw(t, "cluster"))))
			},
			"set": func(t *rapid.T) { c.set(steady, time.Duration(at(time.Duration(far.Draw(t, "offset"))))) },
			"": func(t *rapid.T) {
				now := c.now(steady - time.Duration(rapid.Int64Range(0, 10).Draw(t, "behind")))
				is.True(!now.Before(last))
				last = now
			},
		})
	})
}
