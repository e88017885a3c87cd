package delivery

import "time"

// burstShare is the part of a second's messages that may go out together after a lull.
const burstShare = 0.05

// leastWait makes up for rounding: a wait for a token is never too short.
const minWait = time.Microsecond

// pacer is a token bucket that starts empty.
type pacer struct {
	rate     float64 // tokens a second
	burst    float64 // the most that it holds
	tokens   float64
	filledAt time.Duration // when tokens was true
}

func newPacer(now time.Duration, rate float64) *pacer {
	p := &pacer{filledAt: now}
	p.setRate(now, rate)
	return p
}

// setRate changes the rate from now on.
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

// take takes a token, or tells how long to wait for one.
func (p *pacer) take(now time.Duration) (wait time.Duration, ok bool) {
	p.fill(now)
	if p.tokens >= 1 {
		p.tokens--
		return 0, true
	}
	return time.Duration((1-p.tokens)/p.rate*float64(time.Second)) + minWait, false
}

// giveBack returns a token that was not used.
func (p *pacer) refund() { p.tokens = min(p.burst, p.tokens+1) }
