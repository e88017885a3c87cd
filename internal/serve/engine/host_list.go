package engine

import (
	"slices"
	"time"

	"liftgauge/balance"
)

// The list of hosts.

// Reroute says that Config.HostRuns says something else from now on.
func (o *Owner) Reroute(hostRuns func(kind int) []bool) {
	o.post(func(now time.Duration) {
		o.HostRuns = hostRuns
		var all []Host
		for _, h := range o.hosts {
			if h.listed && h.Via == nil {
				all = append(all, h.Host)
			}
		}
		o.list(now, balance.ListChanges, all)
	})
}

// List hands in the inventory, or changes to it. Hosts that came by themselves say nothing of what discovery has.
func (o *Owner) List(kind balance.ListKind, hosts []Host) {
	o.post(func(now time.Duration) {
		o.list(now, kind, hosts)
		if kind != balance.ListFailed && !slices.ContainsFunc(hosts, func(h Host) bool { return h.Via != nil }) {
			o.module.ListComplete(now)
		}
	})
}

// Sees says whether messages are sent by the list that is held: see balance.Dispatcher.Heard.
func (o *Owner) Sees() bool { return o.sees.Load() }

func (o *Owner) list(now time.Duration, kind balance.ListKind, hosts []Host) {
	entries := make([]balance.Worker, 0, len(hosts))
	listed := map[balance.WorkerID]bool{}
	var unheard []string
	for _, h := range hosts {
		if !o.ever[h.Name] {
			o.ever[h.Name] = true
			if h.Via == nil {
				unheard = append(unheard, h.Name)
			}
		}
		w := h.Worker
		if w.ID = o.ids.id(h.Name); h.Via == nil && o.HostRuns != nil {
			w.Runs = o.HostRuns(w.Kind)
		}
		h.Worker = w
		listed[w.ID] = true
		entries = append(entries, w)
		old := o.hosts[w.ID]
		if old == nil {
			old = &host{}
			o.hosts[w.ID] = old
		} else if old.Worker.Up != w.Up || old.Address != h.Address || w.State == balance.Removed {
			o.south(old.Host).Forget(old.Host)
		}
		if w.State == balance.Removed { // a change may carry the id alone
			h.Address = old.Address
		}
		old.Host, old.listed = h, w.State != balance.Removed
		old.shut.Store(w.State != balance.Ready)
	}
	if kind == balance.ListFull || kind == balance.ListCached {
		for id, h := range o.hosts {
			if h.Via != nil { // the inventory's lists say nothing of it, and to the module this one is all there is
				if h.listed && !listed[id] {
					entries = append(entries, h.Worker)
				}
				continue
			}
			h.listed = h.listed && listed[id]
			if !listed[id] && !h.shut.Load() {
				h.shut.Store(true)
				o.South.Forget(h.Host)
			}
		}
	}
	if len(unheard) > 0 && o.Listed != nil {
		o.Listed(unheard)
	}
	o.module.List(now, kind, entries)
	for _, h := range hosts {
		if h.Via != nil && h.Worker.State == balance.Removed {
			o.forget(h.Name)
		}
	}
	o.show(now)
}

// forget drops all that is known of a host that came by itself and has gone: there may be any number of names. An
// operator's word stays.
func (o *Owner) forget(name string) {
	id := o.ids.id(name)
	if h := o.hosts[id]; h != nil && h.Worker.State == balance.Removed && !h.offline.Load() { // else it is back already
		delete(o.hosts, id)
		delete(o.ever, name)
		delete(o.ids, id)
	}
}

// south is the side that carries attempts to a host.
func (o *Owner) south(h Host) South {
	if h.Via != nil {
		return h.Via
	}
	return o.South
}
