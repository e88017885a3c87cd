package system

import (
	"fmt"
	"net/http"
	"time"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualnet"
)

// CONFIG judges that no incarnation of a dispatcher goes back behind a version whose effect was seen. In a history of configurations that each add a
// route of their own, and drop none, a dispatcher that has taken a message for a route has that version, and has no 404 for it any more.

// observedVersion is a version that an incarnation of a dispatcher was seen to have.
type observedVersion struct {
	dispatcher  string
	incarnation int
	revision    int
}

// versionRoute is the route that a revision adds.
func versionRoute(revision int) Route {
	return Route{Name: fmt.Sprintf("r-version-%d", revision), PathPrefix: fmt.Sprintf("/version-%d/", revision), Backend: "svc-b"}
}

// probed judges the answer of a dispatcher to a message for the route of a revision, which was sent at a time.
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
				ch.addViolation("CONFIG", "%s#%d goes back: it had version %d, and %v later it does not know the route of version %d",
					seen.dispatcher, seen.incarnation, known.revision, sent.Sub(at), seen.revision)
				return
			}
		}
	}
}

// probeVersions asks every dispatcher that runs for the routes of the newest revisions, again and again until it is told to end. Those up to a
// base have no routes of their own.
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
