package store

import (
	"time"

	"go.uber.org/zap"

	"liftgauge/queue"
)

// lossKey groups the presumed losses that are logged together.
type lossKey struct {
	dispatcher string
	cause      queue.LossCause
}

// lossGroup summarizes presumed losses with the same key.
type lossGroup struct {
	count   int
	foreign int // of deliveries that another store made
	example string
	attempt uint32        // of the example
	oldest  time.Duration // age of the oldest delivery
}

// lossLog collects the deliveries that the queue presumes lost within one step of the loop, and logs a line for each dispatcher and cause: the
// messages are delivered again, and run twice if a presumption is wrong.
type lossLog struct {
	groups map[lossKey]*lossGroup
}

// add records one delivery.
func (l *lossLog) add(lost queue.LostDelivery) {
	if l.groups == nil {
		l.groups = map[lossKey]*lossGroup{}
	}
	key := lossKey{lost.Dispatcher, lost.Cause}
	group := l.groups[key]
	if group == nil {
		group = &lossGroup{example: lost.ID, attempt: lost.Attempt}
		l.groups[key] = group
	}
	group.count++
	if lost.Foreign {
		group.foreign++
	}
	group.oldest = max(group.oldest, lost.Age)
}

// write logs and forgets what was recorded.
func (l *lossLog) write(logger *zap.Logger) {
	for key, group := range l.groups {
		logger.Info("deliveries are presumed lost", zap.String("dispatcher", key.dispatcher), zap.Stringer("cause", key.cause),
			zap.Int("count", group.count), zap.Int("of_other_stores", group.foreign), zap.Duration("oldest", group.oldest),
			zap.String("example", group.example), zap.Uint32("attempt", group.attempt))
	}
	l.groups = nil
}
