package system

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync/atomic"
	"time"
)

// This part of rule LOST covers requests that a dispatcher received completely and whose connection closed without a complete response, during
// planned shutdowns and configuration changes while there are no faults.

const (
	// shutdownSlack extends GraceS after a planned shutdown, and ConfigApplyMs after a configuration change.
	shutdownSlack = time.Second
	// abortFactor is how many times more often than otherwise a dispatcher must abort requests during configuration changes to violate the rule.
	abortFactor = 3
	// lateShareTenths is the share of clientTimeout, in tenths, after which an aborted request is not attributed to a configuration change.
	lateShareTenths = 7
)

// plannedShutdown is a SIGTERM of a dispatcher.
type plannedShutdown struct {
	dispatcher string
	at         time.Time
}

// abortedRequest is a request that was sent completely and got no complete response.
type abortedRequest struct {
	id, dispatcher  string
	sent, wrote, at time.Time
}

// abortCount counts the attempts that a dispatcher received, and those that it aborted.
type abortCount struct{ attempts, aborted int }

// requestWatch records when the last byte of a request was written.
type requestWatch struct{ wrote atomic.Int64 }

// watch returns the request with a trace that records when it was written.
func (w *requestWatch) watch(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			w.wrote.Store(time.Now().UnixNano())
		}
	}}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

// written returns when the last byte was written; ok is false if it was not.
func (w *requestWatch) written() (at time.Time, ok bool) {
	nanos := w.wrote.Load()
	return time.Unix(0, nanos), nanos != 0
}

// recordPlannedShutdown records that a dispatcher gets a SIGTERM.
func (ch *Checker) recordPlannedShutdown(dispatcher string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.shutdowns = append(ch.shutdowns, plannedShutdown{dispatcher, time.Now()})
}

// recordConfigurationSent records that a configuration is sent, and may be in force from then on.
func (ch *Checker) recordConfigurationSent() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.configSentAt = append(ch.configSentAt, time.Now())
}

// recordAttempt records the end of an attempt at a dispatcher; aborted is set if the connection closed without a response.
func (ch *Checker) recordAttempt(c abortedRequest, aborted bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	count := &ch.duringConfig
	if !ch.duringConfigChange(c.sent, c.at) {
		count = &ch.outsideConfig
	}
	at := (*count)[c.dispatcher]
	at.attempts++
	if aborted {
		at.aborted++
	}
	(*count)[c.dispatcher] = at
	if !aborted || c.at.Sub(c.wrote) <= time.Duration(bounds.LossSlackMs*float64(time.Millisecond)) || !ch.noFaultBetween(c.sent.Add(-bounds.Contact()), c.at) {
		return
	}
	for _, end := range ch.shutdowns {
		if end.dispatcher == c.dispatcher && !c.at.Before(end.at) && c.at.Before(end.at.Add(bounds.Grace()+shutdownSlack)) {
			ch.addViolation("LOST", "%s was received by %s and aborted %v after its SIGTERM without a response", c.id, c.dispatcher, c.at.Sub(end.at))
			return
		}
	}
	if ch.duringConfigChange(c.sent, c.at) && c.at.Sub(c.sent)*10 < clientTimeout*lateShareTenths {
		ch.aborted = append(ch.aborted, c)
	}
}

// duringConfigChange reports whether a configuration might come into force in a span. The caller holds the lock.
func (ch *Checker) duringConfigChange(from, to time.Time) bool {
	for i, sent := range ch.configSentAt {
		until := sent.Add(bounds.ConfigApply() + shutdownSlack)
		if i < len(ch.configAckedAt) {
			until = ch.configAckedAt[i].Add(bounds.ConfigApply() + shutdownSlack)
		}
		if !to.Before(sent) && from.Before(until) {
			return true
		}
	}
	return false
}

// checkAborted reports requests that were aborted during configuration changes, if the dispatcher aborts far more often then than otherwise.
func (ch *Checker) checkAborted() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, c := range ch.aborted {
		in, out := ch.duringConfig[c.dispatcher], ch.outsideConfig[c.dispatcher]
		if in.aborted*max(out.attempts, 1) > abortFactor*out.aborted*in.attempts {
			ch.addViolation("LOST", "%s was received by %s and aborted during a configuration change without a response: %d of %d then, %d of %d otherwise",
				c.id, c.dispatcher, in.aborted, in.attempts, out.aborted, out.attempts)
		}
	}
	ch.aborted = nil
}

// isTimeout reports whether the request failed because the client timed out.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
