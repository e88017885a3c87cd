package delivery

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"liftgauge/internal/protocol"
)

func TestPacerStartsEmpty(t *testing.T) {
	is := is.New(t)
	p := newPacer(time.Second, 10)
	wait, ok := p.take(time.Second)
	is.True(!ok)
	is.Equal(wait, 100*time.Millisecond+minWait)
	_, ok = p.take(time.Second + wait)
	is.True(ok)
}

// No time window has more tokens than the rate allows plus one burst.
func TestPacerKeepsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 200).Draw(t, "rate")
		p := newPacer(time.Second, rate)
		now := time.Second
		var taken []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond
			if _, ok := p.take(now); ok {
				taken = append(taken, now)
			}
		}
		for i := range taken {
			for j := i; j < len(taken); j++ {
				span := (taken[j] - taken[i]).Seconds()
				if n, most := float64(j-i+1), rate*span+max(1, rate*burstShare)+1e-6; n > most {
					t.Fatalf("%v tokens in %v s at %v a second", n, span, rate)
				}
			}
		}
	})
}

// arrivals records when a worker receives requests.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

func (a *arrivals) maxWithin(d time.Duration) (most int) {
	for i := range a.at {
		n := 0
		for _, t := range a.at[i:] {
			if t.Sub(a.at[i]) < d {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func rateLimitedService(rate float64) Service {
	return Service{Name: "orders", RatePerS: rate, Static: "gw", MaxConnections: 20, Owners: 1}
}

func TestRateIsKept(t *testing.T) {
	inBubble(t, func(t *testing.T, b *harness) {
		is := is.New(t)
		var got arrivals
		b.serve(t, "gw", func(w http.ResponseWriter, r *http.Request) {
			got.record()
			if r.Header.Get("X-Expect-Instance") != "" {
				t.Error("a single endpoint has no instance")
			}
			succeed(w, r)
		})
		b.state.Services = []Service{rateLimitedService(40)}
		b.publishWorkers()
		for i := range 600 { // 60 a second for ten seconds
			b.submit(message(fmt.Sprint("m", i)))
			time.Sleep(time.Second / 60)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(len(b.results), 600)
		succeeded := 0
		for _, r := range b.results {
			if r.Outcome == protocol.OutcomeSucceeded {
				succeeded++
			} else {
				is.Equal(r.Outcome, protocol.OutcomeNotRun)
			}
		}
		is.Equal(succeeded, len(got.at))
		is.True(succeeded >= 390)                         // the rate is used
		is.True(got.maxWithin(5*time.Second) <= 40*5+2+1) // and not exceeded
	})
}

// While the endpoint is stuck, no messages accumulate that would be sent at once afterwards.
func TestStuckEndpointGetsNoBurst(t *testing.T) {
	inBubble(t, func(t *testing.T, b *harness) {
		is := is.New(t)
		var got arrivals
		stuck := make(chan struct{})
		b.serve(t, "gw", func(w http.ResponseWriter, r *http.Request) {
			got.record()
			<-stuck
			succeed(w, r)
		})
		b.state.Services = []Service{rateLimitedService(40)}
		b.publishWorkers()
		for i := range 400 {
			b.submit(message(fmt.Sprint("m", i)))
			if time.Sleep(time.Second / 60); i == 200 {
				close(stuck)
			}
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(len(b.results), 400)
		is.True(got.maxWithin(time.Second) <= 40+2+12) // 12: the slots, which become free at once
		is.True(got.maxWithin(5*time.Second) <= 40*5+2+1)
	})
}

func TestOldSessionStopsRateLimitedServices(t *testing.T) {
	inBubble(t, func(t *testing.T, b *harness) {
		is := is.New(t)
		b.serve(t, "gw", succeed)
		b.state.Services = []Service{rateLimitedService(40)}
		b.publishWorkers()
		time.Sleep(time.Second)
		b.allowRateLimited.Store(false)
		is.Equal(b.deliver(message("m1")).Outcome, protocol.OutcomeNotRun)
		b.allowRateLimited.Store(true)
		is.Equal(b.deliver(message("m2")).Outcome, protocol.OutcomeSucceeded)
	})
}

func TestRefusalByARateLimitedServiceIsReturned(t *testing.T) {
	inBubble(t, func(t *testing.T, b *harness) {
		is := is.New(t)
		calls := 0
		b.serve(t, "gw", func(w http.ResponseWriter, r *http.Request) { calls++; refuse(429)(w, r) })
		b.state.Services = []Service{rateLimitedService(40)}
		b.publishWorkers()
		is.Equal(b.deliver(message("m1")).Outcome, protocol.OutcomeNotRun)
		is.Equal(calls, 1) // another attempt needs another token
	})
}

func TestWindows(t *testing.T) {
	is := is.New(t)
	state := &State{Dispatchers: 4, Services: []Service{{Name: "b"}, {Name: "a"}, rateLimitedService(40), {Name: "static", Static: "x", MaxConnections: 10, Owners: 2}},
		Workers: []protocol.Worker{{Service: "b", Capacity: 9}, {Service: "b", Capacity: 9}, {Service: "b", Capacity: 9, Draining: true}}}
	is.Equal(Windows(state), []protocol.ServiceWindow{{Service: "a", Slots: 4}, {Service: "b", Slots: 9}, {Service: "orders", Slots: 8}, {Service: "static", Slots: 4}})
}

func TestConnectionLimitIsKeptWhileSufficient(t *testing.T) {
	is := is.New(t)
	s := &Service{MaxConnections: 130}
	listed := []protocol.Worker{{Capacity: 9}}
	is.Equal(adjustLimit(s, 0, listed, 12), 9)
	is.Equal(adjustLimit(s, 9, listed, 11), 9)  // the target is 10, but 9 are enough
	is.Equal(adjustLimit(s, 9, listed, 13), 9)  // 117 of 130
	is.Equal(adjustLimit(s, 9, listed, 15), 7)  // 135 would be too many
	is.Equal(adjustLimit(s, 5, listed, 11), 10) // too few for the slots
	is.Equal(adjustLimit(&Service{}, 9, listed, 12), 0)
}
