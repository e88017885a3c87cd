package system

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Judge holds what clients, workers and the operator have seen, and says which rules were broken. The names are those of RULES.
type Checker struct {
	mu            sync.Mutex
	start         time.Time
	violations    []Violation
	messages      map[string]*message
	keys          map[string][]*message // of Fifo routes
	arrivals      map[string][]time.Time
	faultTimes    []time.Time
	faultLog      []string
	refusedOrLate []string // tries: when each was sent, after what time it was answered, and why
	acked         []order  // acknowledged configurations in order
	configAckedAt []time.Time
	sent          map[string]bool
	dropped       map[string]time.Time // routes by prefix: when the drop was acknowledged
	versions      map[observedVersion]time.Time

	shutdowns                   []plannedShutdown
	configSentAt                []time.Time           // configurations
	duringConfig, outsideConfig map[string]abortCount // by dispatcher: beside a configuration, and all others
	aborted                     []abortedRequest
}

// Breach is one broken rule.
type Violation struct {
	Rule string
	Text string
	At   time.Duration // since the start of the run
}

// message is one try of a client and all that became of it.
type message struct {
	id, key, service, prefix string
	name                     string // that the system gave it
	fifo                     bool
	maxAttempts              int
	timeout, delay           time.Duration
	body                     string
	sent, accepted, began    time.Time // began: its first run
	status                   int       // 0 without an answer
	ended                    bool
	runs                     int
	failed                   int // answers of 500
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
		duringConfig: map[string]abortCount{}, outsideConfig: map[string]abortCount{}}
}

// broken notes a breach.
func (ch *Checker) reportViolation(rule, format string, arguments ...any) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.addViolation(rule, format, arguments...)
}

func (ch *Checker) addViolation(rule, format string, arguments ...any) {
	ch.violations = append(ch.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, arguments...), At: time.Since(ch.start)})
}

// Breaches are the broken rules so far.
func (ch *Checker) Violations() []Violation {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return slices.Clone(ch.violations)
}

// trouble notes an unplanned fault now.
func (ch *Checker) recordFault(what string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.faultTimes = append(ch.faultTimes, time.Now())
	ch.faultLog = append(ch.faultLog, fmt.Sprintf("%v %s", time.Since(ch.start), what))
}

// calm tells whether no trouble was noted in a span. The caller holds the lock.
func (ch *Checker) noFaultBetween(from, to time.Time) bool {
	return !slices.ContainsFunc(ch.faultTimes, func(t time.Time) bool { return !t.Before(from) && !t.After(to) })
}

// send notes that a client sends a message.
func (ch *Checker) recordSend(m *message) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	m.sent = time.Now()
	ch.messages[m.id] = m
	if m.fifo {
		ch.keys[m.key] = append(ch.keys[m.key], m)
	}
}

// answered notes the answer that a client got.
func (ch *Checker) recordResponse(m *message, status int, text string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	m.status = status
	if took := time.Since(m.sent); refusal(status) || took > acceptWithin {
		ch.refusedOrLate = append(ch.refusedOrLate, fmt.Sprintf("%v %s: %d after %v %s", m.sent.Sub(ch.start), m.id, status, took, strings.TrimSpace(text)))
	}
	if status == http.StatusAccepted {
		m.accepted = time.Now()
	}
	if refusal(status) && m.runs > 0 {
		ch.addViolation("REFUSED", "%s was answered %d and had run", m.id, status)
	}
	if at, dropped := ch.dropped[m.prefix]; status == http.StatusAccepted && dropped && m.sent.After(at.Add(bounds.ConfigApply())) {
		ch.addViolation("CONFIG", "%s was accepted %v after its route was dropped", m.id, m.sent.Sub(at))
	}
}

func refusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// arrive notes that a request reached a service, run or not.
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

// Messages that fail at each run are not to reach a worker again after so many answers, and a message may begin so long before its delay is over.
const (
	failuresOfBudget = 3 // times MaxAttempts
	earlySlack       = 200 * time.Millisecond
)

// begin notes that a worker begins to work on a message. It returns nil for one that no client sent.
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
	case m.failed >= failuresOfBudget*m.maxAttempts:
		ch.addViolation("BUDGET", "%s runs again after it has failed %d times", id, m.failed)
	}
	if refusal(m.status) {
		ch.addViolation("REFUSED", "%s was answered %d and runs", id, m.status)
	}
	if !m.succeeded.IsZero() && ch.noFaultBetween(m.succeeded.Add(-bounds.Contact()), now) {
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

// finish notes a worker's answer.
func (ch *Checker) recordCompletion(m *message, status int, signature string, took time.Duration) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	switch status {
	case http.StatusOK:
		m.ended = true
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

// acknowledged notes that a configuration was acknowledged.
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

// read judges a configuration that was asked for during the day: whoever answers, in touch or not, knows what was acknowledged so long before.
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

// recovered judges what was sent since all machines have been back for so long as a recovery may take: a quarter is to be accepted.
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

// readBack judges the configuration that the operator reads at the end; empty if none came.
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

// open lists the accepted messages that have not ended, and ended those that have.
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

// state judges what a dispatcher says of a message; status 0 stands for no answer.
func (ch *Checker) checkState(m *message, status int, state, signature string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	switch {
	case status != http.StatusOK:
		if !m.ended {
			ch.addViolation("LOST", "%s was accepted at %v and has not ended; its state is answered %d", m.id, m.accepted.Sub(ch.start), status)
		}
	case state == "succeeded" && !slices.Contains(m.signatures, signature):
		ch.addViolation("MIXED", "%s is said to have succeeded with %q, the stamps are %q", m.id, signature, m.signatures)
	case state == "dead_letter" && !m.ended:
		ch.addViolation("MIXED", "%s is said to be dead and has not ended", m.id)
	}
}

// missing judges that a dispatcher says of a message that there is none.
func (ch *Checker) checkNotFound(m *message) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if age := time.Since(m.accepted); !m.accepted.IsZero() && age > missingAfter && age < bounds.Status() {
		ch.addViolation("LOST", "%s is answered not found %v after it was accepted", m.id, age)
	}
}

// missingAfter is the age from which on an accepted message must be known, or the answer must say that the dispatcher can't be sure.
const missingAfter = 2 * time.Second

// body judges the bytes that a dispatcher gives back of a message that has not ended.
func (ch *Checker) checkBody(m *message, status int, body string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	switch {
	case m.ended:
	case status != http.StatusOK:
		ch.addViolation("LOST", "%s was accepted at %v and has not ended; its body is answered %d", m.id, m.accepted.Sub(ch.start), status)
	case body != m.body:
		ch.addViolation("MIXED", "%s comes back with other bytes", m.id)
	}
}

// repeated lists the messages that succeeded more than once.
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
