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
func (o *Engine) AnswerOpenMessages() {
	o.post(func(now time.Duration) {
		n := 0
		for _, id := range slices.Sorted(maps.Keys(o.jobs)) { // in the order in which they came
			p := o.jobs[id]
			if p == nil || p.answered {
				continue
			}
			n++
			a := Answer{Kind: Failed}
			if p.out == 0 && !p.mayHave {
				a.Kind = BackOff
			}
			p.gone = true
			o.answer(p, a)
			o.module.Disconnected(now, p.id)
		}
		if n > 0 {
			o.Log.Info("concluded", "messages", n)
		}
	})
}

// SetOffline leaves a host out, or lets it serve again, at an operator's word. It returns once that holds. Known says
// whether the host was ever listed; one that was not is left as it is, unless it is sure that it was.
func (o *Engine) SetOffline(ctx context.Context, name string, out, sure bool) (known bool, err error) {
	err = o.ask(ctx, func(now time.Duration) {
		if sure {
			o.ever[name] = true
		}
		if known = o.ever[name]; known {
			o.setOffline(now, name, out)
		}
	})
	return known, err
}

// Hosts returns what the inventory lists, without hosts that came by themselves: a successor that took those for its own
// would call them.
func (o *Engine) Hosts(ctx context.Context) (all []Host, err error) {
	err = o.ask(ctx, func(time.Duration) {
		for _, h := range o.hosts {
			if h.listed && h.Backend == nil {
				all = append(all, h.Host)
			}
		}
	})
	return all, err
}

// ask has the owner do something before all that waits in the queue, and returns when it is done.
func (o *Engine) ask(ctx context.Context, do event) error {
	done := make(chan struct{})
	select {
	case o.lane <- func(now time.Duration) { defer close(done); do(now) }:
		<-done // it runs
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.stopped:
		return errors.New("the program ends")
	}
}

func (o *Engine) setOffline(now time.Duration, name string, out bool) {
	id := o.ids.id(name)
	h := o.hosts[id]
	if h == nil { // not on the list now; what is kept of it waits for the day
		h = &host{Host: Host{Name: name}}
		h.shut.Store(true)
		o.hosts[id] = h
	}
	if h.offline.Swap(out) != out {
		o.south(h.Host).Forget(h.Host) // a process started anew must not be taken for the one before
	}
	o.module.SetOffline(now, id, out)
	o.show(now)
}
