package system

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
)

// historyOf returns a history of consecutive calls, one second each, from pairs of a call and its response.
func historyOf(calls ...any) *History {
	h := &History{}
	now := time.Now()
	for i := 0; i+1 < len(calls); i += 2 {
		switch call := calls[i].(type) {
		case orderCall:
			h.order(now.Add(time.Duration(i-len(calls))*time.Second), call, calls[i+1].(orderResponse))
		case readCall:
			h.read(now.Add(time.Duration(i-len(calls))*time.Second), calls[i+1].(readResponse))
		}
	}
	for i := range h.calls { // each call ends before the next begins
		if h.calls[i].Output != (orderResponse{}) {
			h.calls[i].Return = h.calls[i].Call + int64(time.Second)
		}
	}
	return h
}

// TestHistoryModel checks histories that keep the guarantees of the configuration, and histories that violate one of them.
func TestHistoryModel(t *testing.T) {
	first, second := orderCall{0, 1, "first"}, orderCall{1, 2, "second"}
	rival := orderCall{1, 2, "rival"}
	acknowledged, preconditionFailed, badRequest, noResponse := orderResponse{200}, orderResponse{412}, orderResponse{400}, orderResponse{}
	for name, c := range map[string]struct {
		calls        []any
		linearizable bool
	}{
		"consecutive orders":                         {[]any{first, acknowledged, second, acknowledged, readCall{}, readResponse{2, "second"}}, true},
		"an applied order stays acknowledged":        {[]any{first, acknowledged, second, acknowledged, first, acknowledged}, true},
		"one of two rivals wins":                     {[]any{first, acknowledged, second, acknowledged, rival, preconditionFailed}, true},
		"no response, in force":                      {[]any{first, acknowledged, second, noResponse, readCall{}, readResponse{2, "second"}}, true},
		"no response, not in force":                  {[]any{first, acknowledged, second, noResponse, rival, acknowledged, readCall{}, readResponse{2, "rival"}}, true},
		"revision not higher":                        {[]any{first, acknowledged, orderCall{1, 1, "again"}, badRequest}, true},
		"both rivals win":                            {[]any{first, acknowledged, second, acknowledged, rival, acknowledged}, false},
		"an acknowledged order is lost":              {[]any{first, acknowledged, second, acknowledged, readCall{}, readResponse{1, "first"}}, false},
		"a rejected order is in force":               {[]any{first, acknowledged, second, preconditionFailed, readCall{}, readResponse{2, "second"}}, false},
		"an applied order is rejected":               {[]any{first, acknowledged, second, acknowledged, first, preconditionFailed}, false},
		"an order without a response is rolled back": {[]any{first, acknowledged, second, noResponse, readCall{}, readResponse{2, "second"}, readCall{}, readResponse{1, "first"}}, false},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(historyOf(c.calls...).Linearizable(), c.linearizable) })
	}
}

// TestOrdersAreLinearizable runs three concurrent operators and two readers while control processes are isolated and killed.
func TestOrdersAreLinearizable(t *testing.T) {
	for seed := range uint64(seeds) {
		var history *History
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, Options{Seed: seed}, func(t *testing.T, w *World) {
				history = &w.Operator.History
				race(t, w, 30*time.Second)
			})
		})
		t.Logf("seed %d: %d calls", seed, history.Len())
		is := is.New(t)
		is.True(history.Len() > 60)
		is.True(history.Linearizable())
	}
}

// race runs operators, readers and faults for a span.
func race(t *testing.T, w *World, lasting time.Duration) {
	end := time.Now().Add(lasting)
	controls := w.ByRole(protocol.RoleControl)
	raceOrders(w, func() bool { return time.Now().Before(end) })
	for i := 0; time.Now().Before(end); i++ {
		p := controls[i%len(controls)]
		if i%2 == 0 {
			w.SetIsolated(p.IP, true)
			time.Sleep(1500 * time.Millisecond)
			w.SetIsolated(p.IP, false)
		} else {
			kill(t, p, 300*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(5 * time.Second) // the last calls complete
}

// raceOrders starts three concurrent operators and two readers, which stop once running returns false.
func raceOrders(w *World, running func() bool) {
	controls := w.ByRole(protocol.RoleControl)
	for operator := range 3 {
		w.running.Go(func() {
			for round := 0; running(); round++ {
				base := w.Operator.Newest().Revision
				next := w.Operator.Document(base+1+(operator+round)%3, fifoRoute, plainRoute, pacedRoute)
				next.Limits.IdleTimeoutMs += 1000*operator + round // no two documents are equal
				_, _ = w.Operator.Replace(base, next, 4*time.Second)
				time.Sleep(time.Duration(100+70*operator) * time.Millisecond)
			}
		})
	}
	for reader := range 2 {
		w.running.Go(func() {
			for i := reader; running(); i++ {
				w.Operator.Read(hostPort(controls[i%len(controls)].IP, controlPort))
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
}
