// Package workerlist reads the platform's list of workers.
//
// The package does no I/O: a Reader decides which page to request and when, and processes the responses; the caller makes the calls.
package workerlist

import (
	"cmp"
	"slices"
	"time"
)

// Worker is one entry of the list.
type Worker struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Revision string
	Capacity int
	// Draining is set if the worker is about to terminate or its state is unknown.
	Draining bool
	// ColdRemaining is the rest of the worker's cold-start time, as of the response. ParsePage sets it.
	ColdRemaining time.Duration
	// ColdUntil is when the worker's cold start ends, on the clock of the Reader, which sets it instead of ColdRemaining; 0
	// if the worker is warm.
	ColdUntil time.Duration
}

// List is the most recent state of the list, ordered by ID.
type List struct {
	// Number counts the changes of Workers.
	Number uint64
	// ReadAt is when the page was requested that has not been read for the longest time.
	ReadAt  time.Duration
	Workers []Worker
}

// contains reports whether a worker is on the list.
func (l *List) contains(id string) bool {
	_, found := slices.BinarySearchFunc(l.Workers, id, func(w Worker, id string) int { return cmp.Compare(w.ID, id) })
	return found
}

// coldTolerance is the difference in a worker's ColdUntil between two responses that does not count as a change.
const coldTolerance = 500 * time.Millisecond

// equivalent reports whether two entries describe the same state at the given time.
func equivalent(a, b Worker, at time.Duration) bool {
	cold := max(0, a.ColdUntil-at) - max(0, b.ColdUntil-at)
	a.ColdUntil, a.ColdRemaining = b.ColdUntil, b.ColdRemaining
	return a == b && cold.Abs() <= coldTolerance
}
