package agent

import (
	"sync"
	"time"

	"liftgauge/clustertime"
)

const (
	// slewPerMille bounds how much faster or slower than the steady clock the cluster time may run to approach its target.
	slewPerMille = 50
	// initialSlowPerMille is how much slower it runs after a start with a clock that is ahead, until it has reached the target once.
	initialSlowPerMille = 500
	// Samples with a round trip longer than twice the best one plus roundTripSlack are discarded; the best round trip decays upwards, so
	// that a permanently longer path is accepted in the end.
	roundTripSlack = time.Millisecond
	bestTripDecay  = 8 // each discarded sample makes the best round trip an eighth longer
)

// clock computes the cluster time: the steady clock plus an offset that is slewed towards its target. It never goes back.
type clock struct {
	mutex         sync.Mutex
	at            time.Duration // steady time at which offset was last updated
	offset        time.Duration // cluster time since 1970 minus steady time
	target        time.Duration // value that offset approaches
	bestRoundTrip time.Duration // of the samples; 0 before the first one
	sampled       bool
	synchronized  bool
	converged     bool // a sampled target has been reached once
}

// newClock returns a clock that starts at a time that the cluster time has reached.
func newClock(steady time.Duration, start time.Time) *clock {
	offset := time.Duration(start.UnixNano()) - steady
	return &clock{at: steady, offset: offset, target: offset}
}

// startClock returns the clock of a process that starts with an estimate. Unless it is certain, the clock is not synchronized and starts at
// the estimate's floor, so that it is not ahead when the first sample arrives.
func startClock(steady time.Duration, e clustertime.Estimate) *clock {
	c := newClock(steady, time.Unix(0, int64(e.Floor)))
	if e.Certainty == clustertime.Certain {
		c.synchronized = true
	}
	return c
}

// now returns the cluster time at a steady time.
func (c *clock) now(steady time.Duration) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.advance(steady)
	// Steady times read by other goroutines may be slightly older; the result must still not go back.
	return time.Unix(0, int64(max(steady, c.at)+c.offset))
}

// advance moves the offset towards its target as far as the slew rate allows for the time since the last call.
func (c *clock) advance(steady time.Duration) {
	elapsed := steady - c.at
	if elapsed <= 0 {
		return
	}
	c.at = steady
	rate := time.Duration(slewPerMille)
	if !c.converged && c.target < c.offset {
		rate = initialSlowPerMille
	}
	step := elapsed * rate / 1000
	switch missing := c.target - c.offset; {
	case missing > step:
		c.offset += step
	case missing < -step:
		c.offset -= step
	default:
		c.offset = c.target
		c.converged = c.converged || c.sampled
	}
}

// sample processes a reply that contains the cluster time, in nanoseconds since 1970. sent and received are the steady times of the
// request and the reply.
func (c *clock) sample(sent, received time.Duration, clusterTime int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	trip := received - sent
	if c.sampled && trip > 2*c.bestRoundTrip+roundTripSlack {
		c.bestRoundTrip += c.bestRoundTrip/bestTripDecay + roundTripSlack/bestTripDecay
		return
	}
	if !c.sampled || trip < c.bestRoundTrip {
		c.bestRoundTrip = trip
	}
	c.sampled = true
	c.setTarget(received, time.Duration(clusterTime)-(sent+trip/2))
}

// set makes offset the new target.
func (c *clock) set(steady, offset time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setTarget(steady, offset)
}

// setTarget sets the target. The first target takes effect at once if that does not make time go back.
func (c *clock) setTarget(steady, target time.Duration) {
	c.advance(steady)
	c.target = target
	if !c.synchronized && target >= c.offset {
		c.offset = target
		c.converged = true
	}
	c.synchronized = true
}

func (c *clock) isSynchronized() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.synchronized
}

// agreed returns the cluster time as far as control knows it: while the clock is ahead of its target, the target counts.
func (c *clock) agreed(steady time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.advance(steady)
	return max(steady, c.at) + min(c.offset, c.target)
}

// isAhead reports whether the clock is ahead of its target by more than a tolerance.
func (c *clock) isAhead(steady, tolerance time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.advance(steady)
	return c.offset-c.target > tolerance
}

// steadyAt converts a cluster time to steady time, by the current target.
func (c *clock) steadyAt(clusterTime int64) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Duration(clusterTime) - c.target
}
