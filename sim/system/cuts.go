package system

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync/atomic"
	"time"
)

// LOST judges requests that a dispatcher read whole and whose connection closed without a complete answer, around planned work and in calm.

const (
	// shutdownSlack is how much longer than GraceS a planned end counts, and than ConfigApplyMs a configuration.
	shutdownSlack = time.Second
	// abortFactor is how many times as often as otherwise a dispatcher must cut requests beside a configuration for that to count.
	abortFactor = 3
	// lateShareTenths is the share of its time after which a request no longer counts beside a configuration, in tenths.
	lateShareTenths = 7
)

// plannedShutdown is a SIGTERM of a dispatcher.
type plannedShutdown struct {
	dispatcher string
	at         time.Time
}

// cut is a request that was sent whole and got no complete answer.
type abortedRequest struct {
	id, dispatcher  string
	sent, wrote, at time.Time
}

// abortCount counts the tries that a dispatcher read, and those that it cut.
type abortCount struct{ attempts, aborted int }

// requestWatch notes when the last byte of a request was written.
type requestWatch struct{ wrote atomic.Int64 }

// watch has a request tell when it was written.
func (w *requestWatch) watch(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			w.wrote.Store(time.Now().UnixNano())
		}
	}}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

// written is when the last byte was written; ok is false if it was not.
func (w *requestWatch) written() (at time.Time, ok bool) {
	nanos := w.wrote.Load()
	return time.Unix(0, nanos), nanos != 0
}

// plannedShutdown notes that a dispatcher is ended as planned.
func (ch *Checker) recordPlannedShutdown(dispatcher string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.shutdowns = append(ch.shutdowns, plannedShutdown{dispatcher, time.Now()})
}

// orderSent notes that a configuration is sent, and from then on may be in force.
func (ch *Checker) recordConfigurationSent() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.configSentAt = append(ch.configSentAt, time.Now())
}

// tried notes the end of a try at a dispatcher: cutOff tells whether the connection closed without an answer.
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
			ch.addViolation("LOST", "%s was read by %s and cut %v after its SIGTERM without an answer", c.id, c.dispatcher, c.at.Sub(end.at))
			return
		}
	}
	if ch.duringConfigChange(c.sent, c.at) && c.at.Sub(c.sent)*10 < clientTimeout*lateShareTenths {
		ch.aborted = append(ch.aborted, c)
	}
}

// duringConfigChange tells whether a configuration might come into force in a span. The caller holds the lock.
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

// checkAborted judges what was cut beside configurations: it counts where the dispatcher cuts far more often then than otherwise.
func (ch *Checker) checkAborted() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, c := range ch.aborted {
		in, out := ch.duringConfig[c.dispatcher], ch.outsideConfig[c.dispatcher]
		if in.aborted*max(out.attempts, 1) > abortFactor*out.aborted*in.attempts {
			ch.addViolation("LOST", "%s was read by %s and cut beside a configuration without an answer: %d of %d there, %d of %d otherwise",
				c.id, c.dispatcher, in.aborted, in.attempts, out.aborted, out.attempts)
		}
	}
	ch.aborted = nil
}

// isTimeout tells whether it was the client that gave up.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
