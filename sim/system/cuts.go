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
	// plannedAfter is how much longer than GraceS a planned end counts, and than ConfigApplyMs a configuration.
	plannedAfter = time.Second
	// cutFactor is how many times as often as otherwise a dispatcher must cut requests beside a configuration for that to count.
	cutFactor = 3
	// spentShare is the share of its time after which a request no longer counts beside a configuration, in tenths.
	spentShare = 7
)

// plannedEnd is a SIGTERM of a dispatcher.
type plannedEnd struct {
	dispatcher string
	at         time.Time
}

// cut is a request that was sent whole and got no complete answer.
type cut struct {
	id, dispatcher  string
	sent, wrote, at time.Time
}

// cutCount counts the tries that a dispatcher read, and those that it cut.
type cutCount struct{ tries, cuts int }

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

// plannedEnd notes that a dispatcher is ended as planned.
func (j *Judge) plannedEnd(dispatcher string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ends = append(j.ends, plannedEnd{dispatcher, time.Now()})
}

// orderSent notes that a configuration is sent, and from then on may be in force.
func (j *Judge) orderSent() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sentAt = append(j.sentAt, time.Now())
}

// tried notes the end of a try at a dispatcher: cutOff tells whether the connection closed without an answer.
func (j *Judge) tried(c cut, cutOff bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := &j.beside
	if !j.besideConfiguration(c.sent, c.at) {
		count = &j.otherwise
	}
	at := (*count)[c.dispatcher]
	at.tries++
	if cutOff {
		at.cuts++
	}
	(*count)[c.dispatcher] = at
	if !cutOff || c.at.Sub(c.wrote) <= time.Duration(bounds.LossSlackMs*float64(time.Millisecond)) || !j.calm(c.sent.Add(-bounds.Contact()), c.at) {
		return
	}
	for _, end := range j.ends {
		if end.dispatcher == c.dispatcher && !c.at.Before(end.at) && c.at.Before(end.at.Add(bounds.Grace()+plannedAfter)) {
			j.breach("LOST", "%s was read by %s and cut %v after its SIGTERM without an answer", c.id, c.dispatcher, c.at.Sub(end.at))
			return
		}
	}
	if j.besideConfiguration(c.sent, c.at) && c.at.Sub(c.sent)*10 < clientPatience*spentShare {
		j.cuts = append(j.cuts, c)
	}
}

// besideConfiguration tells whether a configuration might come into force in a span. The caller holds the lock.
func (j *Judge) besideConfiguration(from, to time.Time) bool {
	for i, sent := range j.sentAt {
		until := sent.Add(bounds.ConfigApply() + plannedAfter)
		if i < len(j.ackedAt) {
			until = j.ackedAt[i].Add(bounds.ConfigApply() + plannedAfter)
		}
		if !to.Before(sent) && from.Before(until) {
			return true
		}
	}
	return false
}

// judgeCuts judges what was cut beside configurations: it counts where the dispatcher cuts far more often then than otherwise.
func (j *Judge) judgeCuts() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.cuts {
		in, out := j.beside[c.dispatcher], j.otherwise[c.dispatcher]
		if in.cuts*max(out.tries, 1) > cutFactor*out.cuts*in.tries {
			j.breach("LOST", "%s was read by %s and cut beside a configuration without an answer: %d of %d there, %d of %d otherwise",
				c.id, c.dispatcher, in.cuts, in.tries, out.cuts, out.tries)
		}
	}
	j.cuts = nil
}

// isTimeout tells whether it was the client that gave up.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
