package dispatcher

import (
	"net/http"
	"time"
)

const readinessIdleTimeout = 30 * time.Second // of a connection from the platform

// serveReadiness answers the platform's check whether clients should be routed here.
func (d *dispatcher) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether messages can be accepted: the directory is complete and a store is connected. Control need not be reachable.
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
