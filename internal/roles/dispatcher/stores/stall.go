package stores

import (
	"sync"
	"time"
)

const (
	// stallCheckInterval is the interval at which this process checks whether it was stalled.
	stallCheckInterval = 500 * time.Millisecond
	// stallLimit is how long the process may have been stalled before the deliveries that arrived meanwhile are no longer run: stores deliver
	// again what an unresponsive dispatcher held, but consider it unresponsive only after two seconds.
	stallLimit = 1500 * time.Millisecond
)

// stallDetector detects that the process was stalled: frozen, or without CPU time.
type stallDetector struct {
	mu        sync.Mutex
	lastCheck time.Time
}

// stalled reports whether the process was stalled since the previous call.
func (w *stallDetector) stalled(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	stalled := !w.lastCheck.IsZero() && now.Sub(w.lastCheck) > stallLimit
	w.lastCheck = now
	return stalled
}

// watchStalls checks for stalls, and confirms held deliveries, until Links is closed.
func (l *Links) watchStalls() {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		if !l.checkStall() {
			l.confirmHeld(l.options.Now())
		}
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkStall reports whether the process was stalled. If so, it closes all connections: deliveries that are buffered in them are old, and the
// Hello on a new connection tells stores that they never arrived.
func (l *Links) checkStall() bool {
	now := l.options.Now()
	if !l.stalls.stalled(now) {
		return false
	}
	l.options.Logger.Warn("process was stalled; closing store connections so that buffered deliveries are sent again")
	for _, conn := range l.held.deactivateAll() {
		conn.Close()
	}
	return true
}
