package delivery

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var errWaitOver = errors.New("delivery: no connection to the worker was free in time: send the message to another")

// exchangeTimer cancels an exchange that takes too long: at first in getting a connection, from the first byte on in getting the response.
type exchangeTimer struct {
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	wait    int // the number of the present wait
	expired bool
}

// newExchangeTimer starts the wait for a connection.
func newExchangeTimer(cancel context.CancelFunc) *exchangeTimer {
	t := &exchangeTimer{cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start(ConnectTimeout + responseGrace)
	return t
}

// awaitResponse starts the wait for the response in place of the present one. If that is over already, the request must not be sent.
func (t *exchangeTimer) awaitResponse(timeout time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expired {
		return errWaitOver
	}
	t.start(timeout + responseGrace)
	return nil
}

// stop ends the wait.
func (t *exchangeTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wait++
	t.timer.Stop()
}

// start starts a wait, which is followed by readGrace. The caller holds the lock.
func (t *exchangeTimer) start(after time.Duration) {
	t.wait++
	if t.timer != nil {
		t.timer.Stop()
	}
	wait := t.wait
	t.timer = time.AfterFunc(after, func() { t.due(wait) })
}

// due starts readGrace after a wait.
func (t *exchangeTimer) due(wait int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait == t.wait {
		t.timer = time.AfterFunc(readGrace, func() { t.expire(wait) })
	}
}

func (t *exchangeTimer) expire(wait int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait == t.wait {
		t.expired = true
		t.cancel()
	}
}
