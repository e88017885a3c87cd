package delivery

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cockroachdb/errors"

	"liftgauge/balance"
	"liftgauge/internal/protocol"
)

var errJobTooOld = errors.New("delivery: the message is too old and may have been delivered again: return it to its store")

var errTokenExpired = errors.New("delivery: the rate-limit token of the message has expired: wait for another")

// Engine delivers messages. Its methods may be called from any goroutine.
type Engine struct {
	options  Options
	loop     *loop
	attempts sync.WaitGroup // in flight

	// Owned by the loop.
	state    State
	zone     int
	zones    map[string]int
	services map[string]*service
	lastJob  balance.JobID
	draining bool
}

// New starts an Engine without services; Update adds them.
func New(o Options) *Engine {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	e := &Engine{options: o, loop: newLoop(), zones: map[string]int{}, services: map[string]*service{}}
	names := slices.Sorted(slices.Values(o.Zones))
	for i, name := range names {
		e.zones[name] = i
	}
	e.zone = e.zones[o.Zone]
	go e.loop.run()
	return e
}

func (e *Engine) rateLimitedAllowed() bool {
	return e.options.AllowRateLimited == nil || e.options.AllowRateLimited()
}

// sameExceptSlices reports whether all fields but the slices are equal.
func (s *State) sameExceptSlices(other *State) bool {
	return s.ListVersion == other.ListVersion && s.Number == other.Number && s.Dispatchers == other.Dispatchers && s.InZone == other.InZone
}

// Update applies a new state of configuration, workers and dispatchers.
func (e *Engine) Update(state State) { e.loop.post(func() { e.update(state) }) }

func (e *Engine) update(state State) {
	e.state = state
	byService := map[string][]protocol.Worker{}
	for _, w := range state.Workers {
		byService[w.Service] = append(byService[w.Service], w)
	}
	configured := make(map[string]bool, len(state.Services))
	for _, settings := range state.Services {
		configured[settings.Name] = true
		s := e.services[settings.Name]
		if s == nil {
			s = newService(e, settings)
			e.services[settings.Name] = s
		}
		s.update(settings, byService[settings.Name], &e.state)
	}
	for name, s := range e.services {
		if !configured[name] {
			e.remove(name, s)
		}
	}
}

// remove returns the waiting messages of a removed service to their stores; attempts in flight continue to their end.
func (e *Engine) remove(name string, s *service) {
	delete(e.services, name)
	s.removed = true
	s.returnWaiting(pauseNotOwner)
	s.refreshWorkers()
	s.client.close()
}

// Submit starts a job.
func (e *Engine) Submit(j Job) {
	received := time.Now()
	e.loop.post(func() {
		switch s := e.services[j.Service]; {
		case e.draining:
			j.Done(Result{Outcome: protocol.OutcomeNotRun})
		case s == nil:
			j.Done(Result{Outcome: protocol.OutcomeNotRun, Pause: pauseNotOwner})
		default:
			s.start(&job{Job: j, received: received})
		}
	})
}

// Drain returns all messages that are not in flight, and from then on each new job at once. Attempts in flight continue to their end.
func (e *Engine) Drain() {
	e.loop.post(func() {
		e.draining = true
		for _, s := range e.services {
			s.returnWaiting(0)
		}
	})
}

// Close stops the loop; the outcomes of attempts that are still in flight are not reported.
func (e *Engine) Close() {
	e.loop.close()
	for _, s := range e.services {
		s.client.close()
	}
}
