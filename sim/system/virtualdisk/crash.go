package virtualdisk

import "sync/atomic"

// Crash stops a disk at one of its crash points. There is one before and one after each operation, counted from 1. The operation at the
// crash point does not return until the disk is off, so that its process cannot act on the result: the caller that waits for Reached must
// cut the power immediately.
type Crash struct {
	at      int64
	passed  atomic.Int64
	reached chan struct{}
}

// NewCrash returns a Crash at one crash point; with 0 it only counts them. A Crash that is used in a synctest bubble must be created there.
func NewCrash(at int) *Crash { return &Crash{at: int64(at), reached: make(chan struct{})} }

// Reached is closed at the crash point.
func (c *Crash) Reached() <-chan struct{} { return c.reached }

// Points returns how many crash points were passed.
func (c *Crash) Points() int { return int(c.passed.Load()) }

// pass counts a crash point, and reports whether it is the one to stop at.
func (c *Crash) pass() bool {
	if c.passed.Add(1) != c.at {
		return false
	}
	close(c.reached)
	return true
}
