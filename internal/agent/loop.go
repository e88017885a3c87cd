package agent

import (
	"sync"
	"time"
)

// loop is a queue of functions that one goroutine executes.
type loop struct {
	mutex  sync.Mutex
	queue  []func()
	wake   chan struct{} // holds one token while the queue is not empty
	ending chan struct{}
	ended  chan struct{}
}

func newLoop() *loop {
	return &loop{wake: make(chan struct{}, 1), ending: make(chan struct{}), ended: make(chan struct{})}
}

// post queues f; it is dropped if the loop has ended.
func (l *loop) post(f func()) {
	l.mutex.Lock()
	l.queue = append(l.queue, f)
	l.mutex.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// postAndWait runs f on the loop and waits until it is done; it returns false if the loop ended first.
func (l *loop) postAndWait(f func()) bool {
	done := make(chan struct{})
	l.post(func() { f(); close(done) })
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

func (l *loop) end() {
	close(l.ending)
	<-l.ended
}

func (l *loop) take() []func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	taken := l.queue
	l.queue = nil
	return taken
}

// run is the body of the agent's goroutine.
func (a *Agent) run() {
	defer close(a.loop.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.loop.ending:
			return
		case <-a.loop.wake:
		case <-timer.C:
		}
		for _, f := range a.loop.take() {
			f()
		}
		now := a.Steady()
		a.tickItems(now)
		a.tickSession(now)
		a.tickCheckpoint(now)
		timer.Reset(max(a.nextWake()-a.Steady(), 0))
	}
}

// nextWake returns when the next action is due.
func (a *Agent) nextWake() time.Duration {
	next := a.items.nextWake()
	if due, ok := a.session.next(); ok {
		next = min(next, due)
	}
	if a.timekeeper.storage != nil {
		next = min(next, a.timekeeper.due)
	}
	return next
}
