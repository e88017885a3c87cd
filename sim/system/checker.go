package system

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Checker records what clients, workers and the operator observe, and which rules were violated. It names rules as RULES does.
type Checker struct {
	mu            sync.Mutex
	start         time.Time
	violations    []Violation
	messages      map[string]*message
	keys          map[string][]*message // messages of Fifo routes by ordering key
	arrivals      map[string][]time.Time
	faultTimes    []time.Time
	workerTrouble []time.Time          // when workers crashed, and when the list stopped showing them
	reachedWorker map[string]time.Time // by message: when it last reached a worker
	lastSuccess   time.Time            // of any message
	faultLog      []string
	refusedOrLate []string // attempts: when each was sent, its status, its response time and the reason
	acked         []order  // acknowledged configurations, in the order of their acknowledgement
	configAckedAt []time.Time
	sent          map[string]bool
	dropped       map[string]time.Time // removed routes by prefix: when the removal was acknowledged
	versions      map[observedVersion]time.Time

	shutdowns                   []plannedShutdown
	configSentAt                []time.Time           // when configurations were sent
	duringConfig, outsideConfig map[string]abortCount // by dispatcher: attempts during configuration changes, and all others
	aborted                     []abortedRequest
}

// Violation is one violation of a rule.
type Violation struct {
	Rule string
	Text string
	At   time.Duration // since the start of the run
}

// message is one attempt of a client and what was observed of it.
type message struct {
	id, key, service, prefix string
	assignedID               string // message ID given by the system
	fifo                     bool
	maxAttempts              int
	timeout, delay           time.Duration
	retention                time.Duration // the message ends so long after it was sent
	body                     string
	sent, accepted, began    time.Time // began: start of the first run
	status                   int       // 0 without a response
	ended                    bool
	runs                     int
	failed                   int // number of runs answered with 500
	succeeded                time.Time
	signatures               []string
}

type order struct {
	base, revision int
	body           string
}

func newChecker() *Checker {
	return &Checker{start: time.Now(), messages: map[string]*message{}, keys: map[string][]*message{}, arrivals: map[string][]time.Time{},
		sent: map[string]bool{}, dropped: map[string]time.Time{},
		reachedWorker: map[string]time.Time{}, duringConfig: map[string]abortCount{}, outsideConfig: map[string]abortCount{}}
}

// reportViolation records a violation.
func (ch *Checker) reportViolation(rule, format string, arguments ...any) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.addViolation(rule, format, arguments...)
}

func (ch *Checker) addViolation(rule, format string, arguments ...any) {
	ch.violations = append(ch.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, arguments...), At: time.Since(ch.start)})
}

// Violations returns the violations so far.
func (ch *Checker) Violations() []Violation {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return slices.Clone(ch.violations)
}

// recordFault records that an unplanned fault begins or ends now.
func (ch *Checker) recordFault(what string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.faultTimes = append(ch.faultTimes, time.Now())
	ch.faultLog = append(ch.faultLog, fmt.Sprintf("%v %s", time.Since(ch.start), what))
}

// recordWorkerTrouble records that unplanned trouble of a worker begins or ends now.
func (ch *Checker) recordWorkerTrouble() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.workerTrouble = append(ch.workerTrouble, time.Now())
}

// noWorkerTroubleSince reports whether no worker was in trouble since a moment. The caller holds the lock.
func (ch *Checker) noWorkerTroubleSince(from time.Time) bool {
	return !slices.ContainsFunc(ch.workerTrouble, func(t time.Time) bool { return !t.Before(from) })
}

// recordReached records that a message reached a worker, whether it runs or not.
func (ch *Checker) recordReached(id string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.reachedWorker[id] = time.Now()
}

// noFaultBetween reports whether no fault was recorded in a span. The caller holds the lock.
func (ch *Checker) noFaultBetween(from, to time.Time) bool {
	return !slices.ContainsFunc(ch.faultTimes, func(t time.Time) bool { return !t.Before(from) && !t.After(to) })
}

// recordSend records that a client sends a message.
func (ch *Checker) recordSend(m *message) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	m.sent = time.Now()
	ch.messages[m.id] = m
	if m.fifo {
		ch.keys[m.key] = append(ch.keys[m.key], m)
	}
}

// recordResponse records the response that a client got, and checks it.
func (ch *Checker) recordResponse(m *message, status int, text string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	m.status = status
	if took := time.Since(m.sent); isRefusal(status) || took > acceptWithin {
		ch.refusedOrLate = append(ch.refusedOrLate, fmt.Sprintf("%v %s: %d after %v %s", m.sent.Sub(ch.start), m.id, status, took, strings.TrimSpace(text)))
	}
	if status == http.StatusAccepted {
		m.accepted = time.Now()
	}
	if isRefusal(status) && m.runs > 0 {
		ch.addViolation("REFUSED", "%s was answered %d and had run", m.id, status)
	}
	if at, dropped := ch.dropped[m.prefix]; status == http.StatusAccepted && dropped && m.sent.After(at.Add(bounds.ConfigApply())) {
		ch.addViolation("CONFIG", "%s was accepted %v after its route was dropped", m.id, m.sent.Sub(at))
	}
}

func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordArrival records that a request reached a service, whether it runs or not, and checks the rate.
func (ch *Checker) recordArrival(service string, rate float64) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := time.Now()
	window := time.Duration(bounds.CeilingWindowS * float64(time.Second))
	list := append(ch.arrivals[service], now)
	for now.Sub(list[0]) > window {
		list = list[1:]
	}
	ch.arrivals[service] = list
	if most := rate*bounds.CeilingWindowS*bounds.OriginOverage + 5; rate > 0 && float64(len(list)) > most {
		ch.addViolation("CEILING", "%s got %d requests in %v, at most %.0f are allowed", service, len(list), window, most)
	}
}

// Limits of the checks of a run's start: a message must not run again after so many failures, and may start so long before its delay has passed.
const (
	budgetFactor = 3 // times MaxAttempts
	earlySlack   = 200 * time.Millisecond
)

// recordStart records that a worker starts to run a message, and checks the run. It returns nil for a message that no client sent.
func (ch *Checker) recordStart(id, service, uri, key, body string) *message {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	m := ch.messages[id]
	if m == nil {
		ch.addViolation("UNASKED", "%s ran a request %q that nobody sent", service, id)
		return nil
	}
	now := time.Now()
	switch {
	case service != m.service:
		ch.addViolation("ROUTE", "%s belongs to %s and ran at %s", id, m.service, service)
	case body != m.body || !strings.HasPrefix(uri, m.prefix):
		ch.addViolation("UNASKED", "%s ran with another body or path", id)
	case key != m.key:
		ch.addViolation("UNASKED", "%s ran with the ordering key %q, not %q", id, key, m.key)
	case now.Before(m.sent.Add(m.delay - bounds.Earliest() - earlySlack)):
		ch.addViolation("ORDER", "%s begins %v before its delay is over", id, m.sent.Add(m.delay).Sub(now))
	case m.failed >= budgetFactor*m.maxAttempts:
		ch.addViolation("BUDGET", "%s runs again after it has failed %d times", id, m.failed)
	}
	if isRefusal(m.status) {
		ch.addViolation("REFUSED", "%s was answered %d and runs", id, m.status)
	}
	if since := m.succeeded.Add(-bounds.Contact()); !m.succeeded.IsZero() && ch.noFaultBetween(since, now) && ch.noWorkerTroubleSince(since) {
		ch.addViolation("TWICE", "%s runs again %v after its success", id, now.Sub(m.succeeded))
	}
	if at, dropped := ch.dropped[m.prefix]; dropped && now.After(at.Add(bounds.ConfigApply())) {
		ch.addViolation("CONFIG", "%s runs %v after its route was dropped", id, now.Sub(at))
	}
	if m.runs++; m.runs == 1 {
		m.began = now
	}
	if m.fifo {
		for _, other := range ch.keys[m.key] {
			if other != m && !other.accepted.IsZero() && other.accepted.Before(m.sent) && !other.ended {
				ch.addViolation("ORDER", "%s of key %s begins, and %s, accepted %v before it was sent, has not ended", id, m.key, other.id, m.sent.Sub(other.accepted))
			}
		}
	}
	return m
}

// recordCompletion records a worker's response.
func (ch *Checker) recordCompletion(m *message, status int, signature string, took time.Duration) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	switch status {
	case http.StatusOK:
		m.ended = true
		ch.lastSuccess = time.Now()
		m.signatures = append(m.signatures, signature)
		if m.succeeded.IsZero() && took < m.timeout-50*time.Millisecond {
			m.succeeded = time.Now()
		}
	case http.StatusUnprocessableEntity:
		m.ended = true
	case http.StatusInternalServerError:
		if m.failed++; m.failed >= m.maxAttempts {
			m.ended = true
		}
	}
}

// recordAcknowledged records that a configuration was acknowledged.
func (ch *Checker) recordAcknowledged(o order) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, before := range ch.acked {
		if before == o {
			return
		}
		if before.base == o.base {
			ch.addViolation("CONFIG", "two changes on top of version %d were acknowledged: %d and %d", o.base, before.revision, o.revision)
		}
	}
	ch.acked = append(ch.acked, o)
	ch.configAckedAt = append(ch.configAckedAt, time.Now())
}

// checkRead checks a configuration that was read during a run: whichever process answers, isolated or not, must have every version that was
// acknowledged more than ConfigApplyMs before.
func (ch *Checker) checkRead(asked time.Time, revision int) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for i, o := range ch.acked {
		if age := asked.Sub(ch.configAckedAt[i]); age > bounds.ConfigApply() && o.revision > revision {
			ch.addViolation("CONFIG", "version %d is read %v after version %d was acknowledged", revision, age, o.revision)
			return
		}
	}
}

// checkRecovered checks the messages that were sent later than RecoveryS after all machines were back: a quarter of them must be accepted.
func (ch *Checker) checkRecovered(back time.Time) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	sent, accepted := 0, 0
	for _, m := range ch.messages {
		if m.sent.After(back.Add(seconds(bounds.RecoveryS))) {
			sent++
			if !m.accepted.IsZero() {
				accepted++
			}
		}
	}
	if sent == 0 || 4*accepted < sent {
		ch.addViolation("RECOVER", "%d of %d messages sent later than %v s after the machines were back were accepted", accepted, sent, bounds.RecoveryS)
	}
}

// checkReadBack checks the configuration that the operator reads at the end; body is empty if it could not be read.
func (ch *Checker) checkReadBack(revision int, body string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if len(ch.acked) == 0 {
		return
	}
	newest := slices.MaxFunc(ch.acked, func(a, b order) int { return a.revision - b.revision })
	switch {
	case body == "":
		ch.addViolation("CONFIG", "the configuration cannot be read back")
	case revision < newest.revision:
		ch.addViolation("LOST", "version %d was acknowledged, and %d is in place", newest.revision, revision)
	case revision == newest.revision && body != newest.body:
		ch.addViolation("CONFIG", "version %d is not what was sent under its number", revision)
	}
}

// acceptedMessages returns the accepted messages of routes that still exist: those that have not ended, and those that have.
func (ch *Checker) acceptedMessages() (open, ended []*message) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, m := range ch.messages {
		switch {
		case m.accepted.IsZero() || !ch.dropped[m.prefix].IsZero():
		case m.ended:
			ended = append(ended, m)
		default:
			open = append(open, m)
		}
	}
	return open, ended
}

// checkState checks the state that a dispatcher returns for a message; status is 0 without a response.
func (ch *Checker) checkState(m *message, status int, state, signature string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	switch {
	case status != http.StatusOK:
		if !m.ended {
			ch.addViolation("LOST", "%s was accepted at %v and has not ended; its state is answered %d", m.id, m.accepted.Sub(ch.start), status)
		}
	case state == "succeeded" && !slices.Contains(m.signatures, signature):
		ch.addViolation("MIXED", "%s is reported as succeeded with signature %q, the workers sent %q", m.id, signature, m.signatures)
	case state == "dead_letter" && !m.ended && time.Since(m.sent) < m.retention:
		ch.addViolation("MIXED", "%s is reported as a dead letter %v after it was sent but has not ended", m.id, time.Since(m.sent))
	}
}

// Times of the rule about messages that are queued at the end: no worker had them for so long, and no message has succeeded for so long.
const (
	forgottenAfter = 6 * time.Second
	quietAfter     = 3 * time.Second
)

// checkForgotten checks a message that is queued at the end although a worker of its service is ready.
func (ch *Checker) checkForgotten(m *message) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now := time.Now()
	calmSince := m.sent.Add(m.delay)
	if at := ch.reachedWorker[m.id]; at.After(calmSince) {
		calmSince = at
	}
	failed := m.failed > 0 || slices.ContainsFunc(ch.keys[m.key], func(other *message) bool { return other.failed > 0 })
	if m.ended || failed || now.Sub(calmSince) <= forgottenAfter || now.Sub(ch.lastSuccess) <= quietAfter {
		return
	}
	if ch.noFaultBetween(m.sent, now) && ch.noWorkerTroubleSince(m.sent) {
		ch.addViolation("LOST", "%s was accepted at %v and is queued at the end; no worker has had it for %v", m.id, m.accepted.Sub(ch.start), now.Sub(calmSince))
	}
}

// checkNotFound checks a response of 404 or 410 to a query for the state of a message.
func (ch *Checker) checkNotFound(m *message) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if age := time.Since(m.accepted); !m.accepted.IsZero() && age > missingAfter && age < bounds.Status() {
		ch.addViolation("LOST", "%s is answered not found %v after it was accepted", m.id, age)
	}
}

// missingAfter is the age from which on an accepted message must be found, or the response must say that its state is unknown.
const missingAfter = 2 * time.Second

// checkBody checks the body that a dispatcher returns for a message that has not ended.
func (ch *Checker) checkBody(m *message, status int, body string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	switch {
	case m.ended:
	case status != http.StatusOK:
		ch.addViolation("LOST", "%s was accepted at %v and has not ended; its body is answered %d", m.id, m.accepted.Sub(ch.start), status)
	case body != m.body:
		ch.addViolation("MIXED", "%s is returned with a different body", m.id)
	}
}

// repeatedSuccesses returns the messages that succeeded more than once.
func (ch *Checker) repeatedSuccesses() []*message {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	var found []*message
	for _, m := range ch.messages {
		if len(m.signatures) > 1 {
			found = append(found, m)
		}
	}
	return found
}

// Figures are the counts of a run.
type Figures struct {
	Sent, Accepted, Refused, Unanswered, Ended, Open, Runs, Repeats int
	Troubles, RefusedOrLate                                         []string
}

// Figures counts what happened so far.
func (ch *Checker) Figures() Figures {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	f := Figures{Troubles: slices.Clone(ch.faultLog), RefusedOrLate: slices.Clone(ch.refusedOrLate)}
	for _, m := range ch.messages {
		f.Sent++
		f.Runs += m.runs
		f.Repeats += max(0, len(m.signatures)-1)
		switch {
		case m.status == http.StatusAccepted:
			f.Accepted++
		case m.status == 0:
			f.Unanswered++
		default:
			f.Refused++
		}
		if m.ended {
			f.Ended++
		} else if !m.accepted.IsZero() {
			f.Open++
		}
	}
	return f
}
