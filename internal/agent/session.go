package agent

import (
	"slices"
	"time"
)

const (
	initialPause = 50 * time.Millisecond
	// maxRedirects is how many times in a row a redirect to another process is followed without a pause.
	maxRedirects = 3
	// timeRetry is the time until the next heartbeat while a process waits for the primary to settle the cluster time.
	timeRetry = 50 * time.Millisecond
	// unresponsiveFor is how long redirects to a process that did not answer are ignored.
	unresponsiveFor = time.Second
)

// session decides where and when to send the next heartbeat. It does no I/O, and callers pass the time.
type session struct {
	interval time.Duration
	primary  string // address that accepted the last heartbeat, or was named as primary since; empty if unknown

	candidates        []string // addresses still to try, in this order
	findCandidates    func() []string
	due               time.Duration
	waiting           bool // a heartbeat awaits its reply
	pause             time.Duration
	redirects         int           // redirects followed in a row
	failures          int           // heartbeats in a row without a reply
	unresponsive      string        // address that did not answer last
	unresponsiveUntil time.Duration // redirects to unresponsive are ignored until then
	open              bool
	stopped           bool
}

func newSession(interval, now time.Duration) *session { return &session{interval: interval, due: now} }

// next returns when the next heartbeat is due; it returns false while a heartbeat awaits its reply, and after stop.
func (s *session) next() (time.Duration, bool) { return s.due, !s.waiting && !s.stopped }

// begin returns the address to send a heartbeat to now; ok is false if none is due.
func (s *session) begin(now time.Duration) (address string, ok bool) {
	if due, ready := s.next(); !ready || now < due {
		return "", false
	}
	if s.primary == "" {
		if len(s.candidates) == 0 && s.findCandidates != nil {
			s.candidates = s.findCandidates()
			if len(s.candidates) > 1 && s.candidates[0] == s.unresponsive && now < s.unresponsiveUntil {
				s.candidates = append(s.candidates[1:len(s.candidates):len(s.candidates)], s.unresponsive)
			}
		}
		if len(s.candidates) == 0 {
			s.retry(now)
			return "", false
		}
		address, s.candidates = s.candidates[0], s.candidates[1:]
	} else {
		address = s.primary
	}
	s.waiting = true
	return address, true
}

// accept processes the primary's acceptance of a heartbeat sent at the given time. If another primary has been reported meanwhile, the
// next heartbeat goes there at once.
func (s *session) accept(address string, sent, now time.Duration) {
	s.waiting, s.open = false, true
	s.candidates = nil
	s.pause, s.redirects, s.failures = 0, 0, 0
	s.unresponsive = ""
	if s.primary != "" && s.primary != address {
		s.due = now
		return
	}
	s.primary = address
	s.due = max(sent+s.interval, now)
}

// awaitTime makes the next heartbeat follow soon on one that was sent at the given time, as its reply told no cluster time.
func (s *session) awaitTime(sent time.Duration) { s.due = min(s.due, sent+min(timeRetry, s.interval)) }

// refuse processes the reply of a process that is not the primary, or is not yet ready to accept. primary is the address that it names
// as the primary, empty if it names none.
func (s *session) refuse(address, primary string, now time.Duration) {
	s.waiting, s.failures = false, 0
	switch {
	case primary == "", primary == s.unresponsive && primary != address && now < s.unresponsiveUntil:
		s.clearPrimary(address)
		s.retry(now)
	case primary == address:
		s.primary = address
		s.retry(now)
	default:
		s.primary = primary
		if s.redirects++; s.redirects > maxRedirects {
			s.retry(now)
			return
		}
		s.due = now
	}
}

// fail processes a heartbeat without a reply. A primary whose connection broke is tried once more; one that timed out, or failed again,
// is abandoned.
func (s *session) fail(address string, timedOut bool, now time.Duration) {
	s.waiting = false
	s.failures++
	if timedOut || s.failures > 1 || !s.open {
		s.clearPrimary(address)
		s.unresponsive, s.unresponsiveUntil = address, now+unresponsiveFor
	}
	s.retry(now)
}

// setPrimary records that the process at an address was reported as the primary.
func (s *session) setPrimary(primary string, now time.Duration) {
	if primary == "" || primary == s.primary {
		return
	}
	s.primary = primary
	if !s.waiting {
		s.due = min(s.due, now)
	}
}

// resetCandidates discards the candidates, so that they are looked up again.
func (s *session) resetCandidates() { s.candidates = nil }

// stop ends the sending of heartbeats.
func (s *session) stop() { s.stopped = true }

func (s *session) clearPrimary(address string) {
	if s.primary == address {
		s.primary = ""
	}
}

// retry schedules the next attempt after a growing pause. The first attempts follow quickly, so that a change of primary is found soon.
func (s *session) retry(now time.Duration) {
	s.open = false
	s.pause = min(max(s.pause+s.pause/2, initialPause), max(s.interval, initialPause))
	s.due = now + s.pause
	if s.primary == "" {
		s.redirects = 0
	}
}

// distinct removes empty and duplicate addresses and keeps the order of the others.
func distinct(addresses []string) []string {
	kept := addresses[:0:0]
	for _, address := range addresses {
		if address != "" && !slices.Contains(kept, address) {
			kept = append(kept, address)
		}
	}
	return kept
}
