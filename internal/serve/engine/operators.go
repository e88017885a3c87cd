package engine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"
)

// What operators ask of the owner: hosts out by hand, the hosts as they stand, the end of the work.

// Conclude answers all that is open: the program may be killed soon, and what it has not answered by then nobody ever answers. A message
// of which nothing can have run gets a back-off answer, any other fails. The module hears that the client is done with.
func (e *Engine) AnswerOpenMessages() {
	e.enqueue(func(now time.Duration) {
		n := 0
		for _, id := range slices.Sorted(maps.Keys(e.jobs)) { // in the order in which they came
			msg := e.jobs[id]
			if msg == nil || msg.answered {
				continue
			}
			n++
			a := Answer{Kind: Failed}
			if msg.outstanding == 0 && !msg.mayHaveRun {
				a.Kind = BackOff
			}
			msg.disconnected = true
			e.answer(msg, a)
			e.dispatcher.Disconnected(now, msg.jobID)
		}
		if n > 0 {
			e.Log.Info("concluded", "messages", n)
		}
	})
}

// SetOffline leaves a host out, or lets it serve again, at an operator's word. It returns once that holds. Known says
// whether the host was ever listed; one that was not is left as it is, unless it is sure that it was.
func (e *Engine) SetOffline(ctx context.Context, name string, out, sure bool) (known bool, err error) {
	err = e.runPriority(ctx, func(now time.Duration) {
		if sure {
			e.everListed[name] = true
		}
		if known = e.everListed[name]; known {
			e.setOffline(now, name, out)
		}
	})
	return known, err
}

// Hosts returns what the inventory lists, without hosts that came by themselves: a successor that took those for its own
// would call them.
func (e *Engine) Hosts(ctx context.Context) (all []Host, err error) {
	err = e.runPriority(ctx, func(time.Duration) {
		for _, h := range e.hosts {
			if h.listed && h.Backend == nil {
				all = append(all, h.Host)
			}
		}
	})
	return all, err
}

// ask has the owner do something before all that waits in the queue, and returns when it is done.
func (e *Engine) runPriority(ctx context.Context, do event) error {
	done := make(chan struct{})
	select {
	case e.priority <- func(now time.Duration) { defer close(done); do(now) }:
		<-done // it runs
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.stopped:
		return errors.New("the program ends")
	}
}

func (e *Engine) setOffline(now time.Duration, name string, out bool) {
	id := e.workerIDs.id(name)
	h := e.hosts[id]
	if h == nil { // not on the list now; what is kept of it waits for the day
		h = &host{Host: Host{Name: name}}
		h.notReady.Store(true)
		e.hosts[id] = h
	}
	if h.offline.Swap(out) != out {
		e.backendFor(h.Host).Forget(h.Host) // a process started anew must not be taken for the one before
	}
	e.dispatcher.SetOffline(now, id, out)
	e.publishHostCounts(now)
}
