package system

import (
	"errors"
	"math/rand/v2"
	"time"

	"liftgauge/internal/standin/instancelist"
)

const (
	workerDowntime    = 8 * time.Second // of a crashed worker
	minReadyWorkers   = 2               // of each service, while others leave
	longestRestart    = 2 * time.Second // from the end of a worker to its next start
	slowPage          = 250 * time.Millisecond
	failingPageEvery  = 4
	workerChangePause = 800 * time.Millisecond
)

// listLengths are the numbers of pages of the platform's list that days and tests play.
var listLengths = []int{1, 2, 3, 5, 15}

// workerChange changes one worker of a service, or none if too few are ready.
type workerChange struct {
	name string
	play func(w *World, random *rand.Rand, service Service) error
}

var workerChanges = []workerChange{
	{"worker joins", func(w *World, _ *rand.Rand, service Service) error {
		_, err := w.Platform.Join(service)
		return err
	}},
	{"worker leaves for good", func(w *World, random *rand.Rand, service Service) error {
		if worker := w.Platform.claimWorker(random, service.Name, minReadyWorkers); worker != nil {
			worker.Leave()
		}
		return nil
	}},
	{"worker restarts", func(w *World, random *rand.Rand, service Service) error {
		worker := w.Platform.claimWorker(random, service.Name, minReadyWorkers)
		if worker == nil {
			return nil
		}
		worker.Leave()
		time.Sleep(time.Duration(random.Int64N(int64(longestRestart))))
		_, err := worker.Restart()
		return err
	}},
	{"worker crashes", func(w *World, random *rand.Rand, service Service) error {
		worker := w.Platform.claimWorker(random, service.Name, minReadyWorkers)
		if worker == nil {
			return nil
		}
		return w.crashWorkers([]*Worker{worker}, workerDowntime)
	}},
	{"worker moves in the list", func(w *World, random *rand.Rand, service Service) error {
		if ready := w.Platform.readyWorkers(service.Name); len(ready) > 0 {
			w.Platform.Move(ready[random.IntN(len(ready))])
		}
		return nil
	}},
	{"list slow", func(w *World, random *rand.Rand, _ Service) error {
		w.failList(instancelist.Failure{Delay: slowPage}, faultDuration(random))
		return nil
	}},
	{"list fails now and then", func(w *World, random *rand.Rand, _ Service) error {
		w.failList(instancelist.Failure{Every: failingPageEvery}, faultDuration(random))
		return nil
	}},
}

// workerFaults returns the changes as faults of a day.
func workerFaults() []fault {
	var found []fault
	for _, change := range workerChanges {
		found = append(found, fault{change.name, func(w *World, random *rand.Rand) error {
			services := w.listedServices()
			return change.play(w, random, services[random.IntN(len(services))])
		}})
	}
	return found
}

// crashWorkers crashes workers at once and starts them again after a time, at their addresses with new IDs. It returns once the list shows them.
func (w *World) crashWorkers(workers []*Worker, down time.Duration) (err error) {
	done := make(chan error)
	for _, worker := range workers {
		w.running.Go(func() {
			begin := time.Now()
			worker.Crash()
			time.Sleep(down - time.Since(begin))
			_, err := worker.Restart()
			done <- err
		})
	}
	for range workers {
		err = errors.Join(err, <-done)
	}
	w.Checker.recordWorkerTrouble()
	return err
}

// failList makes calls for the list fail for a span.
func (w *World) failList(f instancelist.Failure, span time.Duration) {
	w.Platform.SetListFailure(f)
	time.Sleep(span)
	w.Platform.SetListFailure(instancelist.Failure{})
}

// changeWorkers plays random changes of the workers of some services for a span, which overlap. It returns when all have ended.
func (w *World) changeWorkers(random *rand.Rand, services []Service, span time.Duration) (err error) {
	done, playing := make(chan error), 0
	for limit := time.Now().Add(span); time.Now().Before(limit); playing++ {
		change := workerChanges[random.IntN(len(workerChanges))]
		service := services[random.IntN(len(services))]
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		w.running.Go(func() { done <- change.play(w, own, service) })
		time.Sleep(time.Duration(random.Int64N(int64(2 * workerChangePause))))
	}
	for range playing {
		err = errors.Join(err, <-done)
	}
	return err
}
