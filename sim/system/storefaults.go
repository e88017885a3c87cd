package system

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"liftgauge/internal/protocol"
)

// storeFaults are the worst faults for the stores. Unlike in faults, lost disks coincide with other losses.
var storeFaults = []fault{
	{"halves", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		half := len(stores) / 2
		w.cutBetween(stores[:half], stores[half:], 4*time.Second)
		return nil
	}},
	{"behind", (*World).leaveStoreStale},
	{"power, then the disks of others", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		failed := stores[0].LosePower()
		time.Sleep(randomDelay(random))
		failed = errors.Join(failed, w.restartWithEmptyDisks(stores[1:1+w.options.Machines]))
		time.Sleep(time.Second)
		return errors.Join(failed, stores[0].Start())
	}},
	{"disks, then the power of others", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		lost, unpowered := stores[:w.options.Machines], stores[w.options.Machines:]
		failed := w.restartWithEmptyDisks(lost)
		time.Sleep(randomDelay(random))
		for _, p := range unpowered {
			failed = errors.Join(failed, p.LosePower())
		}
		time.Sleep(time.Second)
		return errors.Join(failed, w.StartAll())
	}},
	{"disks replaced as soon as all is whole", func(w *World, random *rand.Rand) error {
		for range 2 {
			for _, p := range w.shuffled(protocol.RoleStore, random) {
				if err := w.restartWithEmptyDisk(p); err != nil {
					return err
				}
				time.Sleep(time.Second) // until its session expires, the partition table still lists the lost disk
				if !w.awaitFullyReplicated(seconds(bounds.CatchUpS)) {
					return errors.New("partitions still lack copies after CatchUpS")
				}
			}
		}
		return nil
	}},
	{"retired while others lose their disks and their power", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		if err := w.retire(stores[0], 5*time.Second); err != nil {
			return err
		}
		time.Sleep(randomDelay(random))
		failed := w.restartWithEmptyDisk(stores[1])
		time.Sleep(randomDelay(random))
		failed = errors.Join(failed, stores[2].LosePower())
		time.Sleep(time.Second)
		return errors.Join(failed, stores[2].Start())
	}},
	{"disks lost while all others are dark", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		time.Sleep(randomDelay(random)) // at a random moment relative to the messages
		var failed error
		for _, p := range w.Processes {
			failed = errors.Join(failed, p.LosePower())
		}
		for _, p := range stores[:w.options.Machines] {
			p.Wipe()
		}
		time.Sleep(randomDelay(random))
		return errors.Join(failed, w.StartAll())
	}},
	{"power in turn, then disks at once", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		var failed error
		for _, p := range stores {
			failed = errors.Join(failed, p.LosePower())
			time.Sleep(randomDelay(random) / 2)
		}
		for _, p := range stores[len(stores)-w.options.Machines:] { // those that ran the longest
			p.Wipe()
		}
		return errors.Join(failed, w.StartAll())
	}},
}

// randomDelay returns a random delay between two events, which mostly falls within the time of a failover and a repair.
func randomDelay(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(1300 * time.Millisecond)))
}

// leaveStoreStale cuts a store off from the others, then empties the disks of some and takes the power of the rest, and heals the cut, so that
// the stale store is among the first that are available again.
func (w *World) leaveStoreStale(random *rand.Rand) error {
	stores := w.shuffled(protocol.RoleStore, random)
	lost, unpowered := stores[1:1+w.options.Machines], stores[1+w.options.Machines:]
	cut := make(chan struct{})
	w.running.Go(func() {
		w.cutBetween(stores[:1], stores[1:], 4*time.Second)
		close(cut)
	})
	time.Sleep(4*time.Second - randomDelay(random))
	var failed error
	for _, p := range unpowered {
		failed = errors.Join(failed, p.LosePower())
	}
	failed = errors.Join(failed, w.restartWithEmptyDisks(lost))
	<-cut
	time.Sleep(time.Second)
	return errors.Join(failed, w.StartAll())
}

// restartWithEmptyDisks makes some processes lose power and disk at once, and starts them with empty disks.
func (w *World) restartWithEmptyDisks(processes []*Process) (failed error) {
	for _, p := range processes {
		failed = errors.Join(failed, p.LosePower())
		p.Wipe()
	}
	time.Sleep(500 * time.Millisecond)
	for _, p := range processes {
		failed = errors.Join(failed, p.Start())
	}
	return failed
}

// awaitFullyReplicated waits until every partition has all its copies, and reports whether that happened in time.
func (w *World) awaitFullyReplicated(within time.Duration) bool {
	host := w.Net.Host(operatorIP)
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(replicationPoll) {
		if w.fullyReplicated(host) {
			return true
		}
	}
	return false
}

// retire requests the retirement of a machine until a control process confirms it.
func (w *World) retire(p *Process, within time.Duration) error {
	host := w.Net.Host(operatorIP)
	client := newClient(host, time.Second)
	defer client.CloseIdleConnections()
	status := 0
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		address := hostPort(w.controlPrimary().IP, controlPort)
		request, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+address+"/retire/"+p.Name+"/start", bytes.NewReader([]byte(`{"DurationS":10}`)))
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		status = response.StatusCode
		_ = response.Body.Close()
		if status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("retirement of %s was not confirmed, last status %d", p.Name, status)
}
