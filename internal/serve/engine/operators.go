package engine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"
)

// Operators' requests: hosts set offline manually, the list of hosts, shutdown.

// AnswerOpenMessages answers all open messages: the process may be killed soon, and nobody else would answer them. A message
// that cannot have run gets a back-off answer, any other fails. For the scheduler the clients have disconnected.
func (e *Engine) AnswerOpenMessages() {
	e.enqueue(func(now time.Duration) {
		n := 0
		for _, id := range slices.Sorted(maps.Keys(e.jobs)) { // in order of arrival
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
			e.Log.Info("answered open messages before shutdown", "messages", n)
		}
	})
}

// SetOffline sets a host offline, or online again, on an operator's request. It returns once that is applied. Known reports
// whether the host was ever listed; one that was not is left as it is, unless listed says that another process has listed it.
func (e *Engine) SetOffline(ctx context.Context, name string, offline, listed bool) (known bool, err error) {
	err = e.runPriority(ctx, func(now time.Duration) {
		if listed {
			e.everListed[name] = true
		}
		if known = e.everListed[name]; known {
			e.setOffline(now, name, offline)
		}
	})
	return known, err
}

// Hosts returns the hosts of the inventory, without hosts that registered themselves: a successor that received those would
// try to connect to them.
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

// runPriority has the event loop run an event ahead of the queue, and returns when it is done.
func (e *Engine) runPriority(ctx context.Context, ev event) error {
	done := make(chan struct{})
	select {
	case e.priority <- func(now time.Duration) { defer close(done); ev(now) }:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.stopped:
		return errors.New("engine stopped")
	}
}

func (e *Engine) setOffline(now time.Duration, name string, offline bool) {
	id := e.workerIDs.id(name)
	h := e.hosts[id]
	if h == nil { // not listed now: the setting is kept for when it is
		h = &host{Host: Host{Name: name}}
		h.notReady.Store(true)
		e.hosts[id] = h
	}
	if h.offline.Swap(offline) != offline {
		e.backendFor(h.Host).Forget(h.Host) // its connections may belong to a process that is restarted meanwhile
	}
	e.dispatcher.SetOffline(now, id, offline)
	e.publishHostCounts(now)
}
