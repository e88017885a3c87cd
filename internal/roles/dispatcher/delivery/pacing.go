package delivery

import (
	"time"

	"liftgauge/internal/protocol"
)

// rateShare returns this dispatcher's part of the service's rate.
func (s *service) rateShare() float64 { return s.RatePerS / float64(max(1, s.Owners)) }

// serveQueue sends queued messages as far as there are tokens, and returns those that have waited too long.
func (s *service) serveQueue() {
	now := s.engine.loop.now()
	for len(s.queue) > 0 {
		j := s.queue[0]
		if now >= j.tokenDeadline || s.pacer == nil || !s.engine.rateLimitedAllowed() {
			s.queue = s.queue[1:]
			s.finish(j, Result{Outcome: protocol.OutcomeNotRun, Pause: pauseUnreachable})
			continue
		}
		wait, ok := s.pacer.take(now)
		if !ok {
			s.awaitToken(min(wait, j.tokenDeadline-now))
			return
		}
		s.queue = s.queue[1:]
		s.offer(j)
		if !j.ended && !j.inFlight { // it must not wait with its token: tokens would accumulate
			s.balance.Release(now, j.id)
			s.pacer.refund()
			s.finish(j, Result{Outcome: protocol.OutcomeNotRun, Pause: pauseUnreachable})
		}
	}
}

func (s *service) awaitToken(wait time.Duration) {
	if s.queueTimer {
		return
	}
	s.queueTimer = true
	s.engine.loop.after(wait, func() {
		s.queueTimer = false
		s.serveQueue()
	}, nil)
}
