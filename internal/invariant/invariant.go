// Package invariant checks conditions that must always hold. In builds with the tag debug a violation panics; otherwise it is counted and
// logged, and the caller continues with the safe alternative.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Checker counts violations. The zero value is ready for use, as is a nil pointer, which counts nothing.
type Checker struct {
	Log        *slog.Logger
	violations atomic.Int64
}

// Check reports whether the condition holds, and panics or counts a violation if not.
func (c *Checker) Check(holds bool, what string, args ...any) bool {
	if holds {
		return true
	}
	if panics {
		panic("invariant broken: " + what)
	}
	if c != nil {
		c.violations.Add(1)
		if c.Log != nil {
			c.Log.Error("invariant broken: "+what, args...)
		}
	}
	return false
}

// Violations returns the number of violations counted.
func (c *Checker) Violations() int64 {
	if c == nil {
		return 0
	}
	return c.violations.Load()
}
