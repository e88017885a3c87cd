package delivery

import "time"

// burstShare is the part of a second's messages that may be sent together after an idle time.
const burstShare = 0.05

// minWait compensates for rounding, so that a wait for a token is never too short.
const minWait = time.Microsecond

// pacer is a token bucket that starts empty.
type pacer struct {
	rate     float64 // tokens per second
	burst    float64 // the maximum number of tokens
	tokens   float64
	filledAt time.Duration // when tokens was last updated
}

func newPacer(now time.Duration, rate float64) *pacer {
	p := &pacer{filledAt: now}
	p.setRate(now, rate)
	return p
}

// setRate changes the rate as of now.
func (p *pacer) setRate(now time.Duration, rate float64) {
	if p.rate > 0 {
		p.fill(now)
	}
	p.filledAt, p.rate, p.burst = now, rate, max(1, rate*burstShare)
	p.tokens = min(p.tokens, p.burst)
}

func (p *pacer) fill(now time.Duration) {
	p.tokens = min(p.burst, p.tokens+(now-p.filledAt).Seconds()*p.rate)
	p.filledAt = now
}

// take takes a token, or returns how long to wait for one.
func (p *pacer) take(now time.Duration) (wait time.Duration, ok bool) {
	p.fill(now)
	if p.tokens >= 1 {
		p.tokens--
		return 0, true
	}
	return time.Duration((1-p.tokens)/p.rate*float64(time.Second)) + minWait, false
}

// refund returns a token that was not used.
func (p *pacer) refund() { p.tokens = min(p.burst, p.tokens+1) }
