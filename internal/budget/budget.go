// Package budget bounds the bytes that the program holds for others, so that no load makes it use more memory than it
// may: one that does is killed, and loses all that it has taken.
//
// There are two accounts. Messages take from the first when they come in, and are turned away where it has no room. What
// must get in however full that one is, the hosts' words on jobs that are held already, waits its turn at the second.
//
// All sizes are bytes.
package budget

import (
	"context"
	"math/bits"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"liftgauge/internal/invariant"
)

// What things cost beside the bytes that they carry: stacks, tables, buffers, timers.
const (
	ConnectionCost = 14 << 10 // a client's connection with its buffers and goroutines
	MessageCost    = 12 << 10 // a message with its head and an attempt under way, each with a goroutine
	JobCost        = 3 << 8   // a job that needs none
	CallbackCost   = 2 << 10  // a call-back
)

// Shares are how a limit of memory is shared out.
type Shares struct {
	Runtime     int64 // the limit for the Go runtime; the rest is for the binary and the kernel's buffers
	Connections int   // of clients, at most
	Messages    int64 // what messages may hold
	Calls       int64 // what call-backs under way may hold
}

// SplitMemory shares out a limit of memory. Three quarters are the runtime's. Of these some are in use at rest, and a fifth is
// left to garbage: without that the collector would run without end.
func SplitMemory(memory int64) Shares {
	s := Shares{Runtime: memory * 3 / 4}
	free := max(s.Runtime-atRest, s.Runtime/8)
	s.Connections = int(max(free/5/ConnectionCost, 16))
	s.Messages = max(free/2, 2*largest)
	s.Calls = max(free/10, 8*largest)
	return s
}

const (
	atRest  = 6 << 20
	largest = 64 << 10 // the largest body
)

// Budget is the two accounts. It is safe for concurrent use.
type Budget struct {
	Check *invariant.Checker // may be nil

	limit, held, peak atomic.Int64
	turned            atomic.Int64
	calls             *semaphore.Weighted
	mostCall          int64
}

// New returns a Budget with so much for messages and for call-backs.
func New(messages, calls int64) *Budget {
	b := &Budget{calls: semaphore.NewWeighted(calls), mostCall: calls}
	b.limit.Store(messages)
	return b
}

// SetLimit changes what messages may hold. What is held stays.
func (b *Budget) SetLimit(messages int64) { b.limit.Store(messages) }

// Held is what messages hold, Peak the most that they ever held, and Turned how many found no room.
func (b *Budget) Held() int64     { return b.held.Load() }
func (b *Budget) Peak() int64     { return b.peak.Load() }
func (b *Budget) Rejected() int64 { return b.turned.Load() }

// take adds to what is held if there is room.
func (b *Budget) take(n int64) bool {
	for {
		held := b.held.Load()
		if held+n > b.limit.Load() {
			b.turned.Add(1)
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			b.top(held + n)
			return true
		}
	}
}

func (b *Budget) top(held int64) {
	for {
		peak := b.peak.Load()
		if held <= peak || b.peak.CompareAndSwap(peak, held) {
			return
		}
	}
}

// ReserveCallback returns a Hold of a call-back with a body of so many bytes, which becomes a text of the parser's and a result, and
// one share in it. It waits for room in the order of calls, until the context ends.
func (b *Budget) ReserveCallback(ctx context.Context, body int) (*Reservation, error) {
	n := min(CallbackCost+int64(BufferSize(body)+2*body), b.mostCall)
	if err := b.calls.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return newHold(b, n, body, true), nil
}

// Reservation is what one message or call-back holds. Everybody who uses it or its buffer has a share in it; when the last lets go the bytes
// are given back and the buffer may be another message's.
type Reservation struct {
	b      *Budget
	n      atomic.Int64
	shares atomic.Int32
	call   bool
	buf    []byte
}

func newHold(b *Budget, n int64, body int, call bool) *Reservation {
	h := &Reservation{b: b, call: call, buf: GetBuffer(body)}
	h.n.Store(n)
	h.shares.Store(1)
	return h
}

// TryReserve returns a Hold of a message that costs so much beside its body of so many bytes, and one share in it. Nil: no room.
func (b *Budget) TryReserve(body int, cost int64) *Reservation {
	n := cost + int64(BufferSize(body))
	if !b.take(n) {
		return nil
	}
	return newHold(b, n, body, false)
}

// Buffer is room for the body.
func (h *Reservation) Buffer() []byte { return h.buf }

// Retain adds a share. The caller must have one, or know of one that cannot end meanwhile. A nil Hold has no shares.
func (h *Reservation) Retain() {
	if h != nil {
		h.shares.Add(1)
	}
}

// Grow makes a message's Hold hold more, whether there is room or not: what it is for is here already. Less than 0 gives
// some of it back.
func (h *Reservation) Grow(n int64) {
	if h != nil && n != 0 {
		h.n.Add(n)
		h.b.top(h.b.held.Add(n))
	}
}

// Release ends a share.
func (h *Reservation) Release() {
	if h == nil {
		return
	}
	switch left := h.shares.Add(-1); {
	case left < 0:
		h.shares.Add(1)
		h.b.Check.Check(false, "a share of held bytes was dropped twice")
	case left == 0:
		if h.call {
			h.b.calls.Release(h.n.Load())
		} else {
			h.b.held.Add(-h.n.Load())
		}
		PutBuffer(h.buf)
		h.buf = nil
	}
}

// Buffers are kept by size, in powers of two; small ones are not worth it.
const (
	leastBits = 12
	mostBits  = 16
)

// Shared by all: they hold nothing that anybody counts on.
var pools [mostBits - leastBits + 1]sync.Pool

// class is the index of the pool for buffers of a size, or -1.
func class(n int) int {
	if n <= 1<<(leastBits-1) || n > 1<<mostBits {
		return -1
	}
	return max(bits.Len(uint(n-1)), leastBits) - leastBits
}

// BufferSize is what a buffer of a length takes up.
func BufferSize(n int) int {
	if c := class(n); c >= 0 {
		return 1 << (c + leastBits)
	}
	return n
}

// GetBuffer returns a buffer of a length. Its bytes are whatever was there before.
func GetBuffer(n int) []byte {
	c := class(n)
	if c < 0 {
		return make([]byte, n)
	}
	if p, ok := pools[c].Get().(*[]byte); ok {
		return (*p)[:n]
	}
	return make([]byte, n, 1<<(c+leastBits))
}

// PutBuffer takes back a buffer that nobody uses any more. Those that are not of Get are dropped.
func PutBuffer(b []byte) {
	if c := class(cap(b)); c >= 0 && cap(b) == 1<<(c+leastBits) {
		b = b[:0]
		pools[c].Put(&b)
	}
}

// ReserveEmpty returns a Hold of nothing yet, which Grow is to be used on.
func (b *Budget) ReserveEmpty() *Reservation { return newHold(b, 0, 0, false) }
