// Package timerwheel implements a hashed timer wheel with coarse ticks. Adding and stopping a timer takes constant time, and so
// does finding the next tick with a timer, so an idle program need not wake at every tick. It is not safe for concurrent use.
package timerwheel

import (
	"math/bits"
	"time"
)

const (
	slotCount   = 1 << 12
	bitmapWords = slotCount / 64
	maxFree     = 1 << 12 // entries kept for reuse, so that a busy program does not allocate
)

// entry is a timer in a list: its slot's, or that of the tick being run.
type entry[T any] struct {
	tick       int64
	value      T
	list       *list[T] // nil: has run or was stopped
	prev, next *entry[T]
	generation uint64 // incremented for each timer that uses this entry
}

// list is a linked list in the order of the calls to Add.
type list[T any] struct{ first, last *entry[T] }

func (l *list[T]) push(e *entry[T]) {
	e.list, e.prev, e.next = l, l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
}

func (l *list[T]) remove(e *entry[T]) {
	if e.prev == nil {
		l.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.list, e.prev, e.next = nil, nil, nil
}

// Timer identifies a value on a wheel. The zero Timer identifies none.
type Timer[T any] struct {
	entry      *entry[T]
	generation uint64
}

// Wheel holds values until their time, which is on the caller's clock.
type Wheel[T any] struct {
	step     time.Duration
	lastTick int64 // the last tick that has run
	count    int
	slots    [slotCount]list[T]
	used     [bitmapWords]uint64
	running  list[T] // due in the tick being run
	free     []*entry[T]
}

// New returns a wheel with ticks of length step that starts at time now.
func New[T any](step, now time.Duration) *Wheel[T] {
	step = max(step, time.Millisecond)
	return &Wheel[T]{step: step, lastTick: int64(now / step)}
}

// Len returns the number of values on the wheel.
func (w *Wheel[T]) Len() int { return w.count }

// Add schedules a value for the first tick at or after a time, but never for the tick being run.
func (w *Wheel[T]) Add(at time.Duration, value T) Timer[T] {
	var e *entry[T]
	if n := len(w.free); n > 0 {
		e, w.free = w.free[n-1], w.free[:n-1]
	} else {
		e = &entry[T]{}
	}
	e.tick, e.value = max(int64((at+w.step-1)/w.step), w.lastTick+1), value
	e.generation++
	i := e.tick & (slotCount - 1)
	w.slots[i].push(e)
	w.used[i/64] |= 1 << (i % 64)
	w.count++
	return Timer[T]{e, e.generation}
}

// Stop removes a value before its time. False: it has run or was stopped.
func (w *Wheel[T]) Stop(t Timer[T]) bool {
	if t.entry == nil || t.entry.generation != t.generation || t.entry.list == nil {
		return false
	}
	w.remove(t.entry)
	return true
}

// remove removes an entry and returns its value. The wheel keeps no reference to the value, which may hold much memory.
func (w *Wheel[T]) remove(e *entry[T]) T {
	in, i := e.list, e.tick&(slotCount-1)
	in.remove(e)
	if in == &w.slots[i] && in.first == nil {
		w.used[i/64] &^= 1 << (i % 64)
	}
	w.count--
	value := e.value
	var none T
	if e.value = none; len(w.free) < maxFree {
		w.free = append(w.free, e)
	}
	return value
}

// Next returns the time by which Advance should be called, at most one turn of the wheel from now.
func (w *Wheel[T]) Next() (at time.Duration, any bool) {
	if w.count == 0 {
		return 0, false
	}
	from := w.lastTick + 1
	for n := int64(0); n < slotCount; {
		i := (from + n) & (slotCount - 1)
		if word := w.used[i/64] >> (i % 64); word != 0 {
			return time.Duration(from+n+int64(bits.TrailingZeros64(word))) * w.step, true
		}
		n += 64 - i%64
	}
	return time.Duration(from+slotCount) * w.step, true
}

// Advance runs the timers that are due, in the order of ticks, and within a tick in the order of the calls to Add. A timer
// that is stopped meanwhile does not run.
func (w *Wheel[T]) Advance(now time.Duration, run func(T)) {
	last := int64(now / w.step)
	for w.lastTick < last {
		at, any := w.Next()
		if !any || int64(at/w.step) > last {
			w.lastTick = last
			return
		}
		w.lastTick = int64(at / w.step)
		w.runTick(w.lastTick, run)
	}
}

func (w *Wheel[T]) runTick(tick int64, run func(T)) {
	i := tick & (slotCount - 1)
	all := &w.slots[i]
	for e := all.first; e != nil; {
		next := e.next
		if e.tick <= tick { // else it is due in a later turn of the wheel
			all.remove(e)
			w.running.push(e)
		}
		e = next
	}
	if all.first == nil {
		w.used[i/64] &^= 1 << (i % 64)
	}
	for w.running.first != nil {
		run(w.remove(w.running.first))
	}
}
