package store

import (
	"context"
	"time"
)

const (
	// handoverTimeout is how long a store that ends waits for control to make others primary.
	handoverTimeout = 3 * time.Second
	// leaveTimeout bounds the last words to control and to other stores, and how long this store still takes writes of others after that.
	leaveTimeout = 500 * time.Millisecond
)

// shutdown is the state of a planned end.
type shutdown struct {
	started      bool
	deadline     time.Duration // no longer than that for the phase that lasts
	leaving      bool          // this store leads nothing any more, and its session is being ended
	sessionEnded bool          // the session has ended; others still need to learn not to wait for this store
	finished     bool
	done         chan struct{} // closed when the loop may end
}

// beginShutdown announces the end: control makes other stores primary of what this one leads.
func (s *store) beginShutdown() {
	now := s.now()
	wait := min(handoverTimeout, max(0, s.settings.Bounds.Grace()-2*leaveTimeout))
	s.shutdown.started, s.shutdown.deadline = true, now+wait
	s.logger.Info("ending: partitions are handed over")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		_ = s.agent.Leave(ctx, false) // without control the time decides
		s.loop.post(func() { s.advanceShutdown(s.now()) })
	}()
}

// advanceShutdown goes on with a planned end as far as it can.
func (s *store) advanceShutdown(now time.Duration) {
	switch {
	case !s.shutdown.started || s.shutdown.finished:
	case !s.shutdown.leaving:
		if !s.leadsAny() || now >= s.shutdown.deadline {
			s.leaveCluster()
		}
	case s.shutdown.sessionEnded && (!s.inAnyView() || now >= s.shutdown.deadline):
		s.shutdown.finished = true
		close(s.shutdown.done)
	}
}

// leaveCluster stops what this store still leads, gives back its leases and ends its session.
func (s *store) leaveCluster() {
	s.shutdown.leaving = true
	for _, p := range s.sortedPartitions() {
		if p.leading {
			p.replica.Close()
			p.Deposed(p.epoch)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	s.releaseLeases(ctx)
	go func() {
		defer cancel()
		_ = s.agent.Leave(ctx, true) // otherwise the session expires by itself
		s.loop.post(func() {
			s.shutdown.sessionEnded, s.shutdown.deadline = true, s.now()+leaveTimeout
			s.advanceShutdown(s.now())
		})
	}()
}

// inAnyView reports whether the partition table still names this store as a member or learner of anything.
func (s *store) inAnyView() bool {
	for _, p := range s.partitions {
		if p.replica.View().Includes(s.member) {
			return true
		}
	}
	return false
}
