// Package standin holds what stands in for the world around the daemon on loopback: hosts, discovery and what they note.
// It is for tests, the laboratory and demonstrations; the daemon never uses it.
//
// It speaks HTTP by net/http, not by the daemon's own parser, so that a mistake there is not made twice.
package standin

import "sync"

// Run is one time that a job was begun somewhere.
type Run struct {
	Host string // or a worker's client id
	Cell int    // -1: that of the client id
}

// Ledger notes which jobs ran where. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]Run
	all  int
}

// Record notes that a job was begun.
func (l *Ledger) Record(id string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]Run{}
	}
	l.runs[id] = append(l.runs[id], r)
	l.all++
}

// Runs returns where a job was begun, in that order.
func (l *Ledger) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[id]...)
}

// Total is how often any job was begun.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all
}

// Forget drops a job that nobody will ask for again, so that long loads keep a short ledger.
func (l *Ledger) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, id)
}
