package clientlistener

import (
	"sync/atomic"
	"time"
)

// How a drain goes, counted from the call. Clients are sent elsewhere by the front, and until they have gone they use
// the connections that they have. drainLimit is when none may be idle, nor carry a message that came in the last 2 s;
// the other times keep a distance from it.
const (
	drainLimit          = 4 * time.Second
	drainShortenAfter   = drainLimit - 2*time.Second - 50*time.Millisecond // what comes from here on must end by
	drainAnswerBy       = drainLimit - 150*time.Millisecond
	drainRefuseAfter    = 2600 * time.Millisecond // from here on that is too short for a message: a back-off answer sends it elsewhere
	drainCloseIdleAfter = 3500 * time.Millisecond // idle connections close; late, as one may be all that a client has

	refusingIdleTimeout = 200 * time.Millisecond // of a connection without a request where idle ones are closed
)

// drain is when the drain that lasts was called for; its stages follow from that. To end it undoes them all.
type drain struct {
	since atomic.Int64 // on the server's clock; 0: none
	timer *time.Timer  // closes the idle connections; guarded by the server's lock
}

// Drain sends clients away, or ends that. To say either again changes nothing.
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
		if d.since.Load() == since { // else it ended while this waited for the lock
			s.shutDownIdle()
		}
	})
	s.Log.Info("out of service", "open", s.Open())
}

// at is the phase that the drain amounts to.
func (d *drain) phase(now time.Duration) Phase {
	switch since := time.Duration(d.since.Load()); {
	case since == 0:
		return Serving
	case now-since < drainRefuseAfter:
		return Closing
	}
	return Ending
}

// left bounds the time of a message that comes late in a drain.
func (d *drain) limitTimeLeft(now, left time.Duration) time.Duration {
	if since := time.Duration(d.since.Load()); since != 0 && now-since >= drainShortenAfter {
		return min(left, max(0, since+drainAnswerBy-now))
	}
	return left
}
