package system

import (
	"fmt"
	"net/http"
	"time"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualnet"
)

// This part of rule CONFIG checks that no incarnation of a dispatcher goes back to a version before one whose effect was observed. Where each
// configuration adds a route of its own and none removes one, a dispatcher that has accepted a message for a route has that version, and must not
// answer 404 for the route any more.

// observedVersion is a version that an incarnation of a dispatcher was observed to have.
type observedVersion struct {
	dispatcher  string
	incarnation int
	revision    int
}

// versionRoute returns the route that a revision adds.
func versionRoute(revision int) Route {
	return Route{Name: fmt.Sprintf("r-version-%d", revision), PathPrefix: fmt.Sprintf("/version-%d/", revision), Backend: "svc-b"}
}

// checkProbe checks the response of a dispatcher to a message for the route of a revision.
func (ch *Checker) checkProbe(seen observedVersion, sent time.Time, status int) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	switch status {
	case http.StatusAccepted:
		if ch.versions == nil {
			ch.versions = map[observedVersion]time.Time{}
		}
		if _, known := ch.versions[seen]; !known {
			ch.versions[seen] = time.Now()
		}
	case http.StatusNotFound:
		slack := time.Duration(bounds.RollbackSlackMs * float64(time.Millisecond))
		for known, at := range ch.versions {
			if known.dispatcher == seen.dispatcher && known.incarnation == seen.incarnation && known.revision >= seen.revision && sent.After(at.Add(slack)) {
				ch.addViolation("CONFIG", "%s#%d goes back: it had version %d, and %v later it does not have the route of version %d",
					seen.dispatcher, seen.incarnation, known.revision, sent.Sub(at), seen.revision)
				return
			}
		}
	}
}

// probeVersions periodically sends messages for the routes of the newest revisions to every running dispatcher, until end is closed. Revisions up
// to base have no routes of their own.
func (w *World) probeVersions(base int, newest func() int, every time.Duration, end <-chan struct{}) {
	host := w.Net.Host(clientIP)
	for n := 0; ; n++ {
		for _, p := range w.ByRole(protocol.RoleDispatcher) {
			for revision := newest(); revision > max(base, newest()-3); revision-- {
				seen := observedVersion{dispatcher: p.Name, incarnation: int(p.incarnation.Load()), revision: revision}
				if !p.Up() {
					continue
				}
				w.running.Go(func() { w.probe(host, p, seen, n) })
			}
		}
		select {
		case <-end:
			return
		case <-time.After(every):
		}
	}
}

// probe sends one message for the route of a revision.
func (w *World) probe(host *virtualnet.Host, p *Process, seen observedVersion, n int) {
	route := versionRoute(seen.revision)
	m := &message{
		id: fmt.Sprintf("probe-%s-%d-%d-%d", p.Name, seen.incarnation, seen.revision, n), service: route.Backend, prefix: route.PathPrefix,
		maxAttempts: 4, timeout: time.Second,
	}
	m.body = m.id
	sent := time.Now()
	response := w.submit(host, p, m, http.Header{})
	if response != nil && int(p.incarnation.Load()) == seen.incarnation {
		w.Checker.checkProbe(seen, sent, response.StatusCode)
	}
}
