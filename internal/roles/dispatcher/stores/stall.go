package stores

import (
	"sync"
	"time"
)

const (
	// watchEvery is the pace at which this process looks whether it stood still.
	stallCheckInterval = 500 * time.Millisecond
	// pauseLimit is how long it may have stood still before what has come meanwhile is no longer run: stores give out again what a silent
	// dispatcher had, but take it for silent only after two seconds.
	stallLimit = 1500 * time.Millisecond
)

// pauseWatch notices that the process stood still: that it was frozen, or got no processor.
type stallDetector struct {
	mu        sync.Mutex
	lastCheck time.Time
}

// look tells whether the process stood still since the last look.
func (w *stallDetector) stalled(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	stalled := !w.lastCheck.IsZero() && now.Sub(w.lastCheck) > stallLimit
	w.lastCheck = now
	return stalled
}

// watch looks for pauses until the end.
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

// checkPause tells whether the process has stood still. Then it leaves all connections: deliveries that waited in them are old, and the
// Hello on a new connection tells stores that they never arrived.
func (l *Links) checkStall() bool {
	now := l.options.Now()
	if !l.stalls.stalled(now) {
		return false
	}
	l.options.Logger.Warn("this process stood still; deliveries that waited meanwhile are given out anew")
	for _, conn := range l.held.deactivateAll() {
		conn.Close()
	}
	return true
}
