// Package budget bounds the memory that the program holds for requests, so that no load makes it exceed its memory limit: a process that
// does is killed, and loses all messages that it has accepted.
//
// There are two accounts. Messages reserve memory from the first on arrival, and are rejected if it is exhausted. Callbacks, in which hosts
// report on jobs that are already held, must be admitted however full the first account is: they wait in order for the second.
//
// All sizes are in bytes.
package budget

import (
	"context"
	"math/bits"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"liftgauge/internal/invariant"
)

// Memory costs in addition to the payload: stacks, tables, buffers, timers.
const (
	ConnectionCost = 14 << 10 // a client's connection with its buffers and goroutines
	MessageCost    = 12 << 10 // a message with its header and a running attempt, each with a goroutine
	JobCost        = 3 << 8   // a job that needs no goroutine
	CallbackCost   = 2 << 10  // a callback
)

// Shares is the division of a memory limit.
type Shares struct {
	Runtime     int64 // limit for the Go runtime; the rest is for the binary and kernel buffers
	Connections int   // maximum number of client connections
	Messages    int64 // memory that messages may hold
	Calls       int64 // memory that callbacks in progress may hold
}

// SplitMemory divides a memory limit. Three quarters go to the Go runtime. Of these, some memory is in use when idle, and a fifth is left for
// garbage: without it the garbage collector would run continuously.
func SplitMemory(memory int64) Shares {
	s := Shares{Runtime: memory * 3 / 4}
	free := max(s.Runtime-idleMemory, s.Runtime/8)
	s.Connections = int(max(free/5/ConnectionCost, 16))
	s.Messages = max(free/2, 2*maxBody)
	s.Calls = max(free/10, 8*maxBody)
	return s
}

const (
	idleMemory = 6 << 20
	maxBody    = 64 << 10 // maximum size of a body
)

// Budget holds the two accounts. It is safe for concurrent use.
type Budget struct {
	Check *invariant.Checker // may be nil

	limit, held, peak atomic.Int64
	rejected          atomic.Int64
	calls             *semaphore.Weighted
	maxCall           int64
}

// New returns a Budget with these limits for messages and for callbacks.
func New(messages, calls int64) *Budget {
	b := &Budget{calls: semaphore.NewWeighted(calls), maxCall: calls}
	b.limit.Store(messages)
	return b
}

// SetLimit changes the limit for messages. Existing reservations stay.
func (b *Budget) SetLimit(messages int64) { b.limit.Store(messages) }

// Held returns the memory that messages hold, Peak its maximum so far, and Rejected the number of messages that were rejected.
func (b *Budget) Held() int64     { return b.held.Load() }
func (b *Budget) Peak() int64     { return b.peak.Load() }
func (b *Budget) Rejected() int64 { return b.rejected.Load() }

// take reserves n bytes of the messages' account if the limit allows it.
func (b *Budget) take(n int64) bool {
	for {
		held := b.held.Load()
		if held+n > b.limit.Load() {
			b.rejected.Add(1)
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			b.updatePeak(held + n)
			return true
		}
	}
}

func (b *Budget) updatePeak(held int64) {
	for {
		peak := b.peak.Load()
		if held <= peak || b.peak.CompareAndSwap(peak, held) {
			return
		}
	}
}

// ReserveCallback returns a Reservation with one reference for a callback with a body of the given size. The cost includes two more copies
// of the body, one in the parser and one as the result. It waits for free memory, in the order of calls, until the context ends.
func (b *Budget) ReserveCallback(ctx context.Context, body int) (*Reservation, error) {
	n := min(CallbackCost+int64(BufferSize(body)+2*body), b.maxCall)
	if err := b.calls.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return newReservation(b, n, body, true), nil
}

// Reservation is the memory that one message or callback holds. It is reference-counted: each user of it or its buffer has a reference, and
// when the last one is released the bytes are returned to the account and the buffer may be reused for another message.
type Reservation struct {
	budget     *Budget
	size       atomic.Int64
	references atomic.Int32
	callback   bool
	buffer     []byte
}

func newReservation(b *Budget, n int64, body int, callback bool) *Reservation {
	r := &Reservation{budget: b, callback: callback, buffer: GetBuffer(body)}
	r.size.Store(n)
	r.references.Store(1)
	return r
}

// TryReserve returns a Reservation with one reference for a message with a body of the given size and additional cost, or nil if the limit
// would be exceeded.
func (b *Budget) TryReserve(body int, cost int64) *Reservation {
	n := cost + int64(BufferSize(body))
	if !b.take(n) {
		return nil
	}
	return newReservation(b, n, body, false)
}

// Buffer returns the buffer for the body.
func (r *Reservation) Buffer() []byte { return r.buffer }

// Retain adds a reference. The caller must hold one, or ensure that another one is not released meanwhile. On a nil Reservation it does
// nothing.
func (r *Reservation) Retain() {
	if r != nil {
		r.references.Add(1)
	}
}

// Grow adds n bytes to the Reservation of a message even if that exceeds the limit, because the memory is already in use. A negative n returns
// bytes.
func (r *Reservation) Grow(n int64) {
	if r != nil && n != 0 {
		r.size.Add(n)
		r.budget.updatePeak(r.budget.held.Add(n))
	}
}

// Release drops a reference.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	switch remaining := r.references.Add(-1); {
	case remaining < 0:
		r.references.Add(1)
		r.budget.Check.Check(false, "a reference to a memory reservation was released twice")
	case remaining == 0:
		if r.callback {
			r.budget.calls.Release(r.size.Load())
		} else {
			r.budget.held.Add(-r.size.Load())
		}
		PutBuffer(r.buffer)
		r.buffer = nil
	}
}

// Buffers are pooled by size, in powers of two; pooling smaller ones does not pay.
const (
	minBits = 12
	maxBits = 16
)

// pools is shared by all Budgets: pooled buffers hold no state.
var pools [maxBits - minBits + 1]sync.Pool

// class returns the index of the pool for buffers of a size, or -1.
func class(n int) int {
	if n <= 1<<(minBits-1) || n > 1<<maxBits {
		return -1
	}
	return max(bits.Len(uint(n-1)), minBits) - minBits
}

// BufferSize returns the memory that a buffer of length n takes.
func BufferSize(n int) int {
	if c := class(n); c >= 0 {
		return 1 << (c + minBits)
	}
	return n
}

// GetBuffer returns a buffer of length n. Its content is undefined.
func GetBuffer(n int) []byte {
	c := class(n)
	if c < 0 {
		return make([]byte, n)
	}
	if p, ok := pools[c].Get().(*[]byte); ok {
		return (*p)[:n]
	}
	return make([]byte, n, 1<<(c+minBits))
}

// PutBuffer returns a buffer that is no longer used to its pool. Buffers that do not come from GetBuffer are discarded.
func PutBuffer(b []byte) {
	if c := class(cap(b)); c >= 0 && cap(b) == 1<<(c+minBits) {
		b = b[:0]
		pools[c].Put(&b)
	}
}

// ReserveEmpty returns a Reservation of 0 bytes, to be extended with Grow.
func (b *Budget) ReserveEmpty() *Reservation { return newReservation(b, 0, 0, false) }
