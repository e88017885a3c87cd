// Package invariant states what must always hold. Built with the tag debug a breach panics; otherwise it is counted
// and logged, and the caller goes on with the careful choice.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Checker counts breaches. The zero value is ready for use, as is a nil pointer, which counts nothing.
type Checker struct {
	Log      *slog.Logger
	breaches atomic.Int64
}

// Check reports whether the condition holds, and raises or counts it if not.
func (c *Checker) Check(holds bool, what string, args ...any) bool {
	if holds {
		return true
	}
	if panics {
		panic("invariant broken: " + what)
	}
	if c != nil {
		c.breaches.Add(1)
		if c.Log != nil {
			c.Log.Error("invariant broken: "+what, args...)
		}
	}
	return false
}

// Violations returns how many were counted.
func (c *Checker) Violations() int64 {
	if c == nil {
		return 0
	}
	return c.breaches.Load()
}
