package store

import "sync"

// eventLoop is the queue of functions that the goroutine that owns the state has to run. Its methods may be called from any goroutine.
type eventLoop struct {
	mu      sync.Mutex
	pending []func()
	signal  chan struct{}
}

func newEventLoop() *eventLoop { return &eventLoop{signal: make(chan struct{}, 1)} }

// post queues a function to be run on the loop, in order.
func (l *eventLoop) post(f func()) {
	l.mu.Lock()
	l.pending = append(l.pending, f)
	l.mu.Unlock()
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// runPending runs the functions that have been posted so far.
func (l *eventLoop) runPending() {
	l.mu.Lock()
	batch := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, f := range batch {
		f()
	}
}
