package rpc

import (
	"context"
	"time"
)

// call is one outgoing call that is waiting for its answer.
type call struct {
	id    uint64
	done  func(body []byte, err error)
	timer *time.Timer
	// The fields below are guarded by the connection's mutex.
	batch     *batch // the batch that holds its frame; nil while it is queued
	offset    int    // start of its frame in the batch
	cancelled bool   // finished before its frame left the queue
}

// Call sends a request and waits for its answer. The error is a *RemoteError if the peer refused the call, and otherwise wraps
// ErrNotSent or ErrResponseLost. body must not be modified afterwards.
func (c *Conn) Call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	type answer struct {
		body []byte
		err  error
	}
	answers := make(chan answer, 1)
	waiting := c.startCall(kind, body, 0, func(body []byte, err error) { answers <- answer{body, err} })
	select {
	case a := <-answers:
		return a.body, a.err
	case <-ctx.Done():
		if waiting != nil {
			c.abandon(waiting, ctx.Err())
		}
		a := <-answers
		return a.body, a.err
	}
}

// CallAsync sends a request and returns immediately. done is called exactly once, with the results of Call, on another goroutine
// (usually the connection's read goroutine) or, if the connection is already closed, on the caller's; it must not block. With a timeout
// of 0 it waits until the connection is closed.
func (c *Conn) CallAsync(kind Kind, body []byte, timeout time.Duration, done func(body []byte, err error)) {
	c.startCall(kind, body, timeout, done)
}

// startCall queues a call; it returns nil if queueing failed, in which case done was called.
func (c *Conn) startCall(kind Kind, body []byte, timeout time.Duration, done func(body []byte, err error)) *call {
	waiting := &call{done: done}
	c.mutex.Lock()
	if c.closed {
		cause := c.closeErr
		c.mutex.Unlock()
		done(nil, notSent(cause))
		return nil
	}
	c.lastID++
	waiting.id = c.lastID
	c.calls[waiting.id] = waiting
	if timeout > 0 {
		waiting.timer = time.AfterFunc(timeout, func() { c.abandon(waiting, ErrTimeout) })
	}
	c.mutex.Unlock()
	// If send fails, either the connection has been closed, which finishes the call, or the body is too long.
	err := c.send(outgoingFrame{header: header{frameType: frameCall, kind: uint16(kind), id: waiting.id}, body: body, call: waiting})
	if err != nil {
		c.abandon(waiting, err)
		return nil
	}
	return waiting
}

// abandon finishes a call without an answer, unless it has finished already.
func (c *Conn) abandon(waiting *call, cause error) {
	c.mutex.Lock()
	_, open := c.calls[waiting.id]
	delete(c.calls, waiting.id)
	if waiting.batch == nil {
		waiting.cancelled = true
	}
	c.mutex.Unlock()
	if open {
		waiting.finish(c, nil, cause)
	}
}

// removeCall removes and returns the call with this id.
func (c *Conn) removeCall(id uint64) *call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := c.calls[id]
	delete(c.calls, id)
	return waiting
}

// finish reports the result to the caller; the call must have been removed from the connection's calls before.
func (w *call) finish(c *Conn, body []byte, cause error) {
	if w.timer != nil {
		w.timer.Stop()
	}
	switch refusal, refused := cause.(*RemoteError); {
	case cause == nil:
		w.done(body, nil)
	case refused:
		w.done(nil, refusal)
	case c.maybeSent(w):
		w.done(nil, responseLost(cause))
	default:
		w.done(nil, notSent(cause))
	}
}

// maybeSent reports whether a byte of the call's frame may have been written to the socket.
func (c *Conn) maybeSent(w *call) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return w.batch != nil && (!w.batch.failed || w.offset < w.batch.written)
}
