package system

import (
	"errors"
	"math/rand/v2"
	"time"
)

var (
	fifoRoute  = Route{Name: "r-fifo", PathPrefix: "/fifo/", Backend: "svc-a", Fifo: true, TimeoutMs: 800}
	plainRoute = Route{Name: "r-plain", PathPrefix: "/plain/", Backend: "svc-b"}
	pacedRoute = Route{Name: "r-paced", PathPrefix: "/paced/", Backend: "svc-c"}
)

// listedServices returns the services whose workers are on the list.
func (w *World) listedServices() []Service {
	listed := w.options.listed()
	return []Service{
		{Name: "svc-a", Workers: listed / 2, Run: 20 * time.Millisecond, FailEvery: 23, DuplicateEvery: 11},
		{Name: "svc-b", Workers: listed - listed/2, Run: 30 * time.Millisecond, DuplicateEvery: 7},
	}
}

// startConfigured starts all workers and processes and applies the first configuration.
func startConfigured(w *World) error {
	for _, s := range append(w.listedServices(), Service{Name: "svc-c", Rate: 12, Run: 10 * time.Millisecond, DuplicateEvery: 5}) {
		if err := w.Platform.Add(s); err != nil {
			return err
		}
	}
	if err := w.StartAll(); err != nil {
		return err
	}
	time.Sleep(700 * time.Millisecond)
	if status, err := w.Operator.Replace(0, w.Operator.Document(5, fifoRoute, plainRoute, pacedRoute), 10*time.Second); err != nil || status != 200 {
		return errors.Join(err, errors.New("the first configuration was rejected"))
	}
	w.bootstrap = false
	time.Sleep(2 * time.Second)
	return nil
}

// traffic sends messages on all routes for a span and returns once they have had time to complete.
func traffic(w *World, span time.Duration) {
	done := make(chan struct{})
	streams := []Traffic{
		{Route: fifoRoute, Every: 40 * time.Millisecond, Keys: 12},
		{Route: plainRoute, Every: 40 * time.Millisecond, Delay: time.Second},
		{Route: pacedRoute, Every: 150 * time.Millisecond},
	}
	for _, s := range streams {
		w.running.Go(func() {
			w.Send(s, span, s.Route.Name)
			done <- struct{}{}
		})
	}
	for range streams {
		<-done
	}
	time.Sleep(bounds.Grace() + 4*time.Second)
}

// runWithFaults runs traffic for a span while faults are injected, and returns after both have ended and ContactMs has passed.
func runWithFaults(w *World, span time.Duration, faults func()) {
	done := make(chan struct{})
	w.running.Go(func() {
		time.Sleep(2 * time.Second)
		faults()
		close(done)
	})
	traffic(w, span)
	<-done
	time.Sleep(bounds.Contact())
}

// Day plays a random scenario determined by the seed: traffic on all routes with a few faults, at most as many at a time as FaultTolerance
// allows machines to be lost, then sometimes a power loss of all machines. It returns after the final checks.
func Day(w *World) error {
	if err := startConfigured(w); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(w.options.Seed, 0x646179))
	var failed error
	runWithFaults(w, 14*time.Second, func() {
		count := max(1, w.options.Machines)
		rows := make(chan error, count)
		for row := range count {
			w.running.Go(func() { rows <- w.faultSequence(rand.New(rand.NewPCG(w.options.Seed, uint64(row)))) })
		}
		for range count {
			failed = errors.Join(failed, <-rows)
		}
		if random.IntN(3) == 0 {
			failed = errors.Join(failed, w.losePowerEverywhere())
		}
	})
	w.Operator.ReadBack(15 * time.Second)
	w.Check(100)
	return failed
}

// faultSequence injects a few random faults one after another.
func (w *World) faultSequence(random *rand.Rand) (failed error) {
	for range 2 + random.IntN(3) {
		failed = errors.Join(failed, faults[random.IntN(len(faults))].play(w, random))
		time.Sleep(bounds.Contact()/4 + time.Duration(random.Int64N(int64(bounds.Contact()))))
	}
	return failed
}

// losePowerEverywhere makes all processes lose power at once and starts them again 500 ms later.
func (w *World) losePowerEverywhere() (err error) {
	for _, p := range w.Processes {
		err = errors.Join(err, p.LosePower())
	}
	time.Sleep(500 * time.Millisecond)
	return errors.Join(err, w.StartAll())
}

// cutPair cuts the link between two machines for a span, in one direction or both, silently or with resets.
func (w *World) cutPair(a, b string, both, reset bool, span time.Duration) {
	w.Checker.recordFault("cut between " + a + " and " + b)
	w.Net.Cut(a, b, reset)
	if both {
		w.Net.Cut(b, a, reset)
	}
	time.Sleep(span)
	w.Checker.recordFault("joined " + a + " and " + b)
	w.Net.Heal(a, b)
	w.Net.Heal(b, a)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
