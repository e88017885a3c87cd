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

// storeFaults are the worst things for the stores. Other losses overlap with those of disks.
var storeFaults = []fault{
	{"halves", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		half := len(stores) / 2
		w.separate(stores[:half], stores[half:], 4*time.Second)
		return nil
	}},
	{"behind", (*World).leaveStoreBehind},
	{"power, then the disks of others", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		failed := stores[0].LosePower()
		time.Sleep(drawnMoment(random))
		failed = errors.Join(failed, w.emptyDisks(stores[1:1+w.options.Machines]))
		time.Sleep(time.Second)
		return errors.Join(failed, stores[0].Start())
	}},
	{"disks, then the power of others", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		lost, dark := stores[:w.options.Machines], stores[w.options.Machines:]
		failed := w.emptyDisks(lost)
		time.Sleep(drawnMoment(random))
		for _, p := range dark {
			failed = errors.Join(failed, p.LosePower())
		}
		time.Sleep(time.Second)
		return errors.Join(failed, w.StartAll())
	}},
	{"disks replaced as soon as all is whole", func(w *World, random *rand.Rand) error {
		for range 2 {
			for _, p := range w.shuffled(protocol.RoleStore, random) {
				if err := w.emptyDisk(p); err != nil {
					return err
				}
				time.Sleep(time.Second) // before its session is over, the table shows the disk that is gone
				if !w.awaitWhole(seconds(bounds.CatchUpS)) {
					return errors.New("not whole in time")
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
		time.Sleep(drawnMoment(random))
		failed := w.emptyDisk(stores[1])
		time.Sleep(drawnMoment(random))
		failed = errors.Join(failed, stores[2].LosePower())
		time.Sleep(time.Second)
		return errors.Join(failed, stores[2].Start())
	}},
	{"disks lost while all others are dark", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		time.Sleep(drawnMoment(random)) // after some message
		var failed error
		for _, p := range w.Processes {
			failed = errors.Join(failed, p.LosePower())
		}
		for _, p := range stores[:w.options.Machines] {
			p.Wipe()
		}
		time.Sleep(drawnMoment(random))
		return errors.Join(failed, w.StartAll())
	}},
	{"power in turn, then disks at once", func(w *World, random *rand.Rand) error {
		stores := w.shuffled(protocol.RoleStore, random)
		var failed error
		for _, p := range stores {
			failed = errors.Join(failed, p.LosePower())
			time.Sleep(drawnMoment(random) / 2)
		}
		for _, p := range stores[len(stores)-w.options.Machines:] { // those that went on the longest
			p.Wipe()
		}
		return errors.Join(failed, w.StartAll())
	}},
}

// drawnMoment draws how long after an event another one comes: within the time of a failover and a repair, mostly.
func drawnMoment(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(1300 * time.Millisecond)))
}

// leaveStoreBehind cuts a store off from the others, then takes the disks of some and the power of the rest, and joins the cut: the one that is
// behind is among the first that come back.
func (w *World) leaveStoreBehind(random *rand.Rand) error {
	stores := w.shuffled(protocol.RoleStore, random)
	lost, dark := stores[1:1+w.options.Machines], stores[1+w.options.Machines:]
	cut := make(chan struct{})
	w.running.Go(func() {
		w.separate(stores[:1], stores[1:], 4*time.Second)
		close(cut)
	})
	time.Sleep(4*time.Second - drawnMoment(random))
	var failed error
	for _, p := range dark {
		failed = errors.Join(failed, p.LosePower())
	}
	failed = errors.Join(failed, w.emptyDisks(lost))
	<-cut
	time.Sleep(time.Second)
	return errors.Join(failed, w.StartAll())
}

// emptyDisks takes the disks of some processes at once, and starts them with empty ones.
func (w *World) emptyDisks(processes []*Process) (failed error) {
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

// awaitWhole waits until every partition has all its copies, and tells whether that came in time.
func (w *World) awaitWhole(within time.Duration) bool {
	host := w.Net.Host(operatorIP)
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(wholePoll) {
		if w.whole(host) {
			return true
		}
	}
	return false
}

// retire asks for a machine to be emptied until the answer is clear.
func (w *World) retire(p *Process, within time.Duration) error {
	host := w.Net.Host(operatorIP)
	client := newClient(host, time.Second)
	defer client.CloseIdleConnections()
	status := 0
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		address := at(w.controlPrimary().IP, controlPort)
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
	return fmt.Errorf("no clear answer to the retirement of %s, the last one was %d", p.Name, status)
}
