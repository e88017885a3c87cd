package system

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"liftgauge/internal/standin/instancelist"
)

const (
	crashedListedFor = 3 * time.Second // how long the list shows a worker that has crashed
	servesAfterDrain = 2 * time.Second // how long a worker serves after DrainMs
	minListLag       = 50 * time.Millisecond
	maxListLag       = 800 * time.Millisecond // MaxLagMs
	listRatePerS     = 47                     // RatePerS of CloudApi
)

// start starts the worker at its address.
func (w *Worker) start() error {
	w.slots = make(chan struct{}, workerCapacity)
	server, err := w.platform.serve(w.Address, w)
	if err != nil {
		return err
	}
	w.server = server
	p := w.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = append(p.workers, w)
	return nil
}

func (w *Worker) entry() instancelist.Entry {
	return instancelist.Entry{Id: w.ID, Backend: w.Service, Address: w.Address, Zone: w.zone, Revision: "v1", State: instancelist.Ready,
		Capacity: workerCapacity}
}

// end ends the worker; its connections are closed.
func (w *Worker) end() {
	p := w.platform
	p.mu.Lock()
	p.workers = slices.DeleteFunc(slices.Clone(p.workers), func(other *Worker) bool { return other == w })
	p.mu.Unlock()
	_ = w.server.Close()
}

// listLag waits until the list shows what has just happened.
func (p *Platform) listLag() {
	p.mu.Lock()
	lag := minListLag + time.Duration(p.random.Int64N(int64(maxListLag-minListLag)))
	p.mu.Unlock()
	time.Sleep(lag)
}

// Restart starts the worker that was at an address again, as a new incarnation, and returns once the list shows it.
func (w *Worker) Restart() (*Worker, error) {
	p := w.platform
	next := &Worker{ID: fmt.Sprintf("i-%s-%x", w.Service, hash(fmt.Sprint(w.ID, w.incarnation+1))), Service: w.Service, Address: w.Address, zone: w.zone,
		platform: p, service: w.service, incarnation: w.incarnation + 1}
	if err := next.start(); err != nil {
		return nil, err
	}
	p.listLag()
	p.list.Insert(next.entry())
	return next, nil
}

// Crash ends a worker without notice. It returns once the list does not show it any more.
func (w *Worker) Crash() {
	w.platform.world.Checker.recordWorkerTrouble()
	w.end()
	time.Sleep(crashedListedFor)
	w.platform.list.Remove(w.ID)
	w.platform.world.Checker.recordWorkerTrouble()
}

// Leave drains and then ends a worker as planned, and removes it from the list.
func (w *Worker) Leave() {
	w.platform.listLag()
	w.platform.Drain(w)
	time.Sleep(bounds.Drain() + servesAfterDrain)
	w.end()
	w.platform.listLag()
	w.platform.list.Remove(w.ID)
}

// Join starts another worker of a service at an address of its own, and returns once the list shows it.
func (p *Platform) Join(s Service) (*Worker, error) {
	p.mu.Lock()
	p.joined++
	w := &Worker{ID: fmt.Sprintf("i-%s-%x", s.Name, hash(fmt.Sprint("joined", p.joined))), Service: s.Name,
		Address: hostPort(fmt.Sprintf("10.7.%d.%d", p.joined/250, p.joined%250+1), 8080), zone: fmt.Sprintf("zone-%d", p.joined%3+1), platform: p, service: s}
	p.mu.Unlock()
	if err := w.start(); err != nil {
		return nil, err
	}
	p.listLag()
	p.list.Insert(w.entry())
	return w, nil
}

// Move moves a worker to another place in the list.
func (p *Platform) Move(w *Worker) { p.list.Move(w.ID) }

// SetListFailure sets how calls for the list fail; the zero value ends the trouble.
func (p *Platform) SetListFailure(f instancelist.Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble.set(f != instancelist.Failure{})
	p.list.SetFailure(f)
}

// SetDown sets whether requests for the worker list fail with 500.
func (p *Platform) SetDown(down bool) {
	failure := instancelist.Failure{}
	if down {
		failure.Every = 1
	}
	p.SetListFailure(failure)
}

// listTrouble records the spans in which the platform was down or slow.
type listTrouble struct {
	spans []troubleSpan
}

type troubleSpan struct{ from, to time.Time } // to is zero while the trouble lasts

func (t *listTrouble) set(trouble bool) {
	last := len(t.spans) - 1
	inTrouble := last >= 0 && t.spans[last].to.IsZero()
	switch {
	case trouble && !inTrouble:
		t.spans = append(t.spans, troubleSpan{from: time.Now()})
	case !trouble && inTrouble:
		t.spans[last].to = time.Now()
	}
}

// since returns for how much of the time since a moment the platform was in trouble.
func (t *listTrouble) since(moment time.Time) (total time.Duration) {
	for _, s := range t.spans {
		to := s.to
		if to.IsZero() {
			to = time.Now()
		}
		from := s.from
		if from.Before(moment) {
			from = moment
		}
		total += max(0, to.Sub(from))
	}
	return total
}

// readyWorkers returns the workers of a service that run and are not draining.
func (p *Platform) readyWorkers(service string) []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.workers), func(w *Worker) bool { return w.Service != service || !w.draining.IsZero() })
}

func (p *Platform) hasReadyWorker(service string) bool { return len(p.readyWorkers(service)) > 0 }

// claimWorker returns a random worker that is ready, and marks it so that no other fault acts on it; nil if no more than so many of its service
// are ready and not claimed.
func (p *Platform) claimWorker(random *rand.Rand, service string, keep int) *Worker {
	ready := p.readyWorkers(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	free := slices.DeleteFunc(ready, func(w *Worker) bool { return w.claimed })
	if len(free) <= keep {
		return nil
	}
	w := free[random.IntN(len(free))]
	w.claimed = true
	return w
}
