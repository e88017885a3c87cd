// Package standin provides stand-ins for the daemon's environment on loopback addresses: hosts, discovery, Gearman
// clients and workers. It is for tests, the lab and demonstrations; the daemon never uses it.
//
// HTTP is implemented with net/http and not with the daemon's own parser, so that an error there is not repeated here.
package standin

import "sync"

// Run is one start of a job.
type Run struct {
	Host string // or the client id of a worker
	Cell int    // -1: determined by the client id
}

// Ledger records which jobs ran where. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]Run
	all  int
}

// Record records that a job was started.
func (l *Ledger) Record(id string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]Run{}
	}
	l.runs[id] = append(l.runs[id], r)
	l.all++
}

// Runs returns the starts of a job, in order.
func (l *Ledger) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[id]...)
}

// Total returns the number of starts of all jobs.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all
}

// Forget removes a job that is not looked up again, so that the ledger stays small under long loads.
func (l *Ledger) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, id)
}
