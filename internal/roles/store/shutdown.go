package store

import (
	"context"
	"time"
)

const (
	// handoverTimeout is how long a store that shuts down waits for control to make other stores primary.
	handoverTimeout = 3 * time.Second
	// leaveTimeout limits the final calls to control and to other stores, and how long this store accepts replicated writes after that.
	leaveTimeout = 500 * time.Millisecond
)

// shutdown is the state of a planned shutdown.
type shutdown struct {
	started      bool
	deadline     time.Duration // the present phase ends at this time at the latest
	leaving      bool          // this store leads no partition any more, and its session is being ended
	sessionEnded bool          // the session has ended; the other stores still have to receive views without this store
	finished     bool
	done         chan struct{} // closed when the loop may return
}

// beginShutdown announces the shutdown: control makes other stores primary of the partitions that this one leads.
func (s *store) beginShutdown() {
	now := s.now()
	wait := min(handoverTimeout, max(0, s.settings.Bounds.Grace()-2*leaveTimeout))
	s.shutdown.started, s.shutdown.deadline = true, now+wait
	s.logger.Info("shutting down: handing partitions over")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		_ = s.agent.Leave(ctx, false) // without control the deadline ends this phase
		s.loop.post(func() { s.advanceShutdown(s.now()) })
	}()
}

// advanceShutdown moves a planned shutdown to its next phase if the present one is complete or has reached its deadline.
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

// leaveCluster stops leading the remaining partitions, releases the leases of this store and ends its session.
func (s *store) leaveCluster() {
	s.shutdown.leaving = true
	for _, p := range s.sortedPartitions() {
		if p.leading || p.awaitsTime {
			p.replica.Close()
			p.Deposed(p.epoch)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	s.releaseLeases(ctx)
	go func() {
		defer cancel()
		_ = s.agent.Leave(ctx, true) // if this fails, the session expires
		s.loop.post(func() {
			s.shutdown.sessionEnded, s.shutdown.deadline = true, s.now()+leaveTimeout
			s.advanceShutdown(s.now())
		})
	}()
}

// inAnyView reports whether this store is still a member or learner in the view of any of its partitions.
func (s *store) inAnyView() bool {
	for _, p := range s.partitions {
		if p.replica.View().Includes(s.member) {
			return true
		}
	}
	return false
}
