package workerlist

import "time"

// roundingSlack is the fraction of a token that may be missing because of floating-point rounding.
const roundingSlack = 1e-6

// bucket is a token bucket with one token per call.
type bucket struct {
	// perSecond is the refill rate; 0 means unlimited.
	perSecond, size, tokens float64
	filledAt                time.Duration
	started                 bool
}

func newBucket(perSecond float64) bucket {
	size := bucketSize(perSecond)
	return bucket{perSecond: perSecond, size: size, tokens: size}
}

func bucketSize(perSecond float64) float64 { return max(1, perSecond*burstTime.Seconds()) }

// setRate changes the refill rate from now on. The tokens that have accrued stay, up to the new size.
func (b *bucket) setRate(now time.Duration, perSecond float64) {
	if perSecond == b.perSecond {
		return
	}
	b.fill(now)
	b.perSecond, b.size = perSecond, bucketSize(perSecond)
	b.tokens = min(b.tokens, b.size)
}

func (b *bucket) fill(now time.Duration) {
	if b.started && now > b.filledAt {
		b.tokens = min(b.size, b.tokens+(now-b.filledAt).Seconds()*b.perSecond)
	}
	b.filledAt, b.started = max(b.filledAt, now), true
}

// wait returns the time until a token is available.
func (b *bucket) wait(now time.Duration) time.Duration {
	if b.perSecond <= 0 {
		return 0
	}
	b.fill(now)
	if b.tokens >= 1-roundingSlack {
		return 0
	}
	return time.Duration((1-b.tokens)/b.perSecond*float64(time.Second)) + 1
}

func (b *bucket) take(now time.Duration) {
	if b.perSecond > 0 {
		b.fill(now)
		b.tokens--
	}
}
