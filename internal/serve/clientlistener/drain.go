package clientlistener

import (
	"sync/atomic"
	"time"
)

// The stages of a drain, from its start. The front end sends clients elsewhere, and until then they use their open
// connections. At drainLimit no connection may be idle, or carry a message that arrived in the last 2 s; the other times keep
// a margin from it.
const (
	drainLimit          = 4 * time.Second
	drainShortenAfter   = drainLimit - 2*time.Second - 50*time.Millisecond // messages that arrive after this must be answered by drainAnswerBy
	drainAnswerBy       = drainLimit - 150*time.Millisecond
	drainRefuseAfter    = 2600 * time.Millisecond // after this the time left is too short for a message: a back-off answer sends it elsewhere
	drainCloseIdleAfter = 3500 * time.Millisecond // idle connections close; late, since one may be the client's only connection

	refusingIdleTimeout = 200 * time.Millisecond // of a connection without a request, in phase Ending
)

// drain holds the start of the current drain; its stages follow from that. Ending the drain reverts them all.
type drain struct {
	since atomic.Int64 // on the server's clock; 0: none
	timer *time.Timer  // closes the idle connections; guarded by the server's mu
}

// Drain starts or ends a drain. It is idempotent.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &s.drain
	switch {
	case on == (d.since.Load() != 0):
		return
	case !on:
		d.since.Store(0)
		d.timer.Stop()
		s.Log.Info("in service")
		return
	}
	since := int64(s.Now())
	d.since.Store(since)
	d.timer = time.AfterFunc(drainCloseIdleAfter, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if d.since.Load() == since { // else the drain ended while this waited for the lock
			s.shutDownIdle()
		}
	})
	s.Log.Info("out of service", "open", s.Open())
}

// phase returns the phase that corresponds to the drain's stage.
func (d *drain) phase(now time.Duration) Phase {
	switch since := time.Duration(d.since.Load()); {
	case since == 0:
		return Serving
	case now-since < drainRefuseAfter:
		return Closing
	}
	return Ending
}

// limitTimeLeft limits the time of a message that arrives late in a drain.
func (d *drain) limitTimeLeft(now, left time.Duration) time.Duration {
	if since := time.Duration(d.since.Load()); since != 0 && now-since >= drainShortenAfter {
		return min(left, max(0, since+drainAnswerBy-now))
	}
	return left
}
