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
	yes, other, invalid, unclear := orderResponse{200}, orderResponse{412}, orderResponse{400}, orderResponse{}
	for name, c := range map[string]struct {
		calls []any
		fits  bool
	}{
		"one after another":             {[]any{first, yes, second, yes, readCall{}, readResponse{2, "second"}}, true},
		"taken is taken for good":       {[]any{first, yes, second, yes, first, yes}, true},
		"one of two wins":               {[]any{first, yes, second, yes, rival, other}, true},
		"unclear, in force":             {[]any{first, yes, second, unclear, readCall{}, readResponse{2, "second"}}, true},
		"unclear, not in force":         {[]any{first, yes, second, unclear, rival, yes, readCall{}, readResponse{2, "rival"}}, true},
		"not higher":                    {[]any{first, yes, orderCall{1, 1, "again"}, invalid}, true},
		"both of two win":               {[]any{first, yes, second, yes, rival, yes}, false},
		"an acknowledged one is lost":   {[]any{first, yes, second, yes, readCall{}, readResponse{1, "first"}}, false},
		"a refused one is in force":     {[]any{first, yes, second, other, readCall{}, readResponse{2, "second"}}, false},
		"a taken one is refused":        {[]any{first, yes, second, yes, first, other}, false},
		"an unclear one comes and goes": {[]any{first, yes, second, unclear, readCall{}, readResponse{2, "second"}, readCall{}, readResponse{1, "first"}}, false},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(historyOf(c.calls...).Linearizable(), c.fits) })
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

// raceOrders starts three concurrent operators and two readers, which stop once goesOn returns false.
func raceOrders(w *World, goesOn func() bool) {
	controls := w.ByRole(protocol.RoleControl)
	for operator := range 3 {
		w.running.Go(func() {
			for round := 0; goesOn(); round++ {
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
			for i := reader; goesOn(); i++ {
				w.Operator.Read(hostPort(controls[i%len(controls)].IP, controlPort))
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
}
