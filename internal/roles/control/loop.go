package control

import (
	"context"
	"sync"
	"time"
)

// eventLoop runs functions sequentially on one goroutine. Its queue is unbounded, so that post never blocks.
type eventLoop struct {
	mutex sync.Mutex
	queue []func()
	ended bool
	wake  chan struct{}
}

func newEventLoop() *eventLoop { return &eventLoop{wake: make(chan struct{}, 1)} }

// post queues a function; it is dropped once the loop has ended.
func (l *eventLoop) post(f func()) {
	l.mutex.Lock()
	if !l.ended {
		l.queue = append(l.queue, f)
	}
	l.mutex.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// after posts a function once the duration has elapsed.
func (l *eventLoop) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() { l.post(f) })
}

// run executes posted functions, and tick at the interval, each followed by afterEvent, until the context ends.
func (l *eventLoop) run(ctx context.Context, interval time.Duration, tick, afterEvent func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.end()
			return
		case <-ticker.C:
			tick()
			afterEvent()
		case <-l.wake:
			for _, f := range l.take() {
				f()
				afterEvent()
			}
		}
	}
}

func (l *eventLoop) take() []func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	functions := l.queue
	l.queue = nil
	return functions
}

func (l *eventLoop) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended, l.queue = true, nil
}
