package system

import (
	"encoding/json"
	"net/http"
	"time"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualnet"
)

// Recovery is how long a loss had effects, in seconds since the loss.
type Recovery struct {
	Loss       string
	Accepting  float64 // until the last attempt was sent that got a response, but no 202 within acceptWithin
	Delivering float64 // until the last message was sent whose run started later than deliverWithin after its 202 and delay
	Whole      float64 // until the last moment at which a partition lacked copies
}

// Response times that count as unaffected, and the interval of polling the partition table.
const (
	acceptWithin    = 100 * time.Millisecond
	deliverWithin   = 500 * time.Millisecond
	replicationPoll = 20 * time.Millisecond
)

// MeasureRecovery causes a loss during traffic, and measures what clients and the partition table show for a span after it. traffic calls its
// argument to cause the loss, and returns when all its messages have had time to end.
func (w *World) MeasureRecovery(name string, span time.Duration, traffic func(loss func()), loss func() error) (r Recovery, err error) {
	var lossAt, lastIncomplete time.Time
	traffic(func() {
		lossAt = time.Now()
		polled := make(chan time.Time)
		w.running.Go(func() { polled <- w.lastUnderReplicated(lossAt.Add(span)) })
		err = loss()
		lastIncomplete = <-polled
	})
	r = w.Checker.measureRecovery(lossAt, lossAt.Add(span))
	r.Loss = name
	if !lastIncomplete.IsZero() {
		r.Whole = lastIncomplete.Sub(lossAt).Seconds()
	}
	return r, err
}

// lastUnderReplicated polls control until a time, and returns the last moment at which copies were missing or no primary answered.
func (w *World) lastUnderReplicated(until time.Time) (last time.Time) {
	host := w.Net.Host(operatorIP)
	for time.Now().Before(until) {
		if !w.fullyReplicated(host) {
			last = time.Now()
		}
		time.Sleep(replicationPoll)
	}
	return last
}

// fullyReplicated reports whether all partitions have all copies according to the active primary.
func (w *World) fullyReplicated(host *virtualnet.Host) bool {
	for _, p := range w.ByRole(protocol.RoleControl) {
		if !p.Up() {
			continue
		}
		status, body := w.get(host, "http://"+hostPort(p.IP, controlPort)+"/status")
		var page struct {
			Active     bool
			Partitions struct{ Count, Short int }
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &page) != nil || !page.Active {
			continue
		}
		return page.Partitions.Count > 0 && page.Partitions.Short == 0
	}
	return false
}

// measureRecovery evaluates the messages that were sent in a span.
func (ch *Checker) measureRecovery(from, to time.Time) (r Recovery) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, m := range ch.messages {
		if m.sent.Before(from) || m.sent.After(to) {
			continue
		}
		at := m.sent.Sub(from).Seconds()
		if m.status != 0 && (m.accepted.IsZero() || m.accepted.Sub(m.sent) > acceptWithin) {
			r.Accepting = max(r.Accepting, at)
		}
		due := m.accepted.Add(m.delay)
		if !m.accepted.IsZero() && (m.began.IsZero() || m.began.Sub(due) > deliverWithin) {
			r.Delivering = max(r.Delivering, at)
		}
	}
	return r
}

// awaitUnderReplicated waits until a partition lacks copies or time is up.
func (w *World) awaitUnderReplicated(within time.Duration) {
	host := w.Net.Host(operatorIP)
	for limit := time.Now().Add(within); time.Now().Before(limit) && w.fullyReplicated(host); {
		time.Sleep(replicationPoll / 2)
	}
}

// slowestAccept returns the longest time to a 202 among the messages that were sent after a moment.
func (ch *Checker) slowestAccept(after time.Time) (slowest time.Duration) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, m := range ch.messages {
		if m.sent.After(after) && !m.accepted.IsZero() {
			slowest = max(slowest, m.accepted.Sub(m.sent))
		}
	}
	return slowest
}
