package delivery

import (
	"container/heap"
	"sync"
	"time"
)

// timer is a call at a given time; it is dropped without a wake-up if needed returns false.
type timer struct {
	at     time.Duration
	call   func()
	needed func() bool // nil for always
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = timer{}
	*t = (*t)[:len(*t)-1]
	return last
}

// loop runs posted calls one after the other on one goroutine, and timers when they are due.
type loop struct {
	started time.Time
	timers  timers // owned by the goroutine

	mu      sync.Mutex
	posted  []func()
	wake    chan struct{}
	closing chan struct{}
	closed  sync.Once
	done    chan struct{}
}

func newLoop() *loop {
	// The clock starts at one second, because its readers take zero for never.
	return &loop{started: time.Now().Add(-time.Second), wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
}

func (l *loop) now() time.Duration { return time.Since(l.started) }

// post queues f to be called on the loop. It may be called from any goroutine, and never blocks.
func (l *loop) post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// after schedules f to be called after a delay. It may be called only on the loop itself.
func (l *loop) after(wait time.Duration, f func(), needed func() bool) {
	heap.Push(&l.timers, timer{at: l.now() + wait, call: f, needed: needed})
}

func (l *loop) close() {
	l.closed.Do(func() { close(l.closing) })
	<-l.done
}

func (l *loop) run() {
	defer close(l.done)
	clock := time.NewTimer(0)
	defer clock.Stop()
	for {
		select {
		case <-l.closing:
			return
		case <-l.wake:
		case <-clock.C:
		}
		for l.runPosted() || l.runDue() {
		}
		if wait, ok := l.next(); ok {
			clock.Reset(wait)
		} else {
			clock.Stop()
		}
	}
}

func (l *loop) runPosted() bool {
	l.mu.Lock()
	calls := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, f := range calls {
		f()
	}
	return len(calls) > 0
}

func (l *loop) runDue() bool {
	if len(l.timers) == 0 || l.timers[0].at > l.now() {
		return false
	}
	if t := heap.Pop(&l.timers).(timer); t.needed == nil || t.needed() {
		t.call()
	}
	return true
}

// next returns the time until the first timer that is still needed.
func (l *loop) next() (time.Duration, bool) {
	for len(l.timers) > 0 && l.timers[0].needed != nil && !l.timers[0].needed() {
		heap.Pop(&l.timers)
	}
	if len(l.timers) == 0 {
		return 0, false
	}
	return max(0, l.timers[0].at-l.now()), true
}
