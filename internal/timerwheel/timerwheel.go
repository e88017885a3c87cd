// Package wheel keeps timers as coarse ticks on a hashed wheel. Adding one and stopping one is constant work, and so is
// finding when the next tick with a timer is due, so an idle program need not wake at every tick. It is not safe for
// concurrent use.
package timerwheel

import (
	"math/bits"
	"time"
)

const (
	slotCount   = 1 << 12
	bitmapWords = slotCount / 64
	maxFree     = 1 << 12 // entries kept for the next timers: a busy program allocates none
)

// entry is a timer in a list: that of its slot, or that of the tick which is being run.
type entry[T any] struct {
	tick       int64
	value      T
	list       *list[T] // nil: run or stopped
	prev, next *entry[T]
	generation uint64 // of this entry, by one timer after another
}

// list is in the order of the calls of Add.
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

// Timer names a value on a wheel. The zero value names none.
type Timer[T any] struct {
	entry      *entry[T]
	generation uint64
}

// Wheel holds values until their time. Times are those of the caller's clock.
type Wheel[T any] struct {
	step     time.Duration
	lastTick int64 // the last tick that was run
	count    int
	slots    [slotCount]list[T]
	used     [bitmapWords]uint64
	running  list[T] // what is due in the tick that is being run
	free     []*entry[T]
}

// New returns a wheel of ticks of the given length that starts at a time.
func New[T any](step, now time.Duration) *Wheel[T] {
	step = max(step, time.Millisecond)
	return &Wheel[T]{step: step, lastTick: int64(now / step)}
}

// Len is the number of values held.
func (w *Wheel[T]) Len() int { return w.count }

// Add keeps a value until the first tick at or after the time, and never for the tick that is being run.
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

// Stop takes a value off before its time, and lets go of it. False: it has run, or was stopped.
func (w *Wheel[T]) Stop(t Timer[T]) bool {
	if t.entry == nil || t.entry.generation != t.generation || t.entry.list == nil {
		return false
	}
	w.remove(t.entry)
	return true
}

// take removes an entry and returns its value. The wheel keeps nothing of the value: it may hold much.
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

// Next returns a time by which Advance should be called, at the latest one turn of the wheel from now.
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

// Advance runs what has fallen due, in the order of ticks, and within one in the order of the calls of Add. What is
// stopped meanwhile does not run.
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
		if e.tick <= tick { // else it is for a later turn of the wheel
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
