package dispatcher

import (
	"net/http"
	"time"
)

const readinessIdleTimeout = 30 * time.Second // of a connection of the platform's

// serveReadiness tells the platform whether clients should come here.
func (d *dispatcher) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready tells whether messages can be taken: all that is needed is known, and a store is connected. Control may be away.
func (d *dispatcher) ready() bool {
	s := d.directory.Current()
	if d.shuttingDown.Load() || !s.Ready() {
		return false
	}
	for _, store := range s.Stores {
		if d.agent.Pool().Peek(store.Address) != nil {
			return true
		}
	}
	return false
}
