package engine

import (
	"slices"
	"time"

	"liftgauge/balance"
)

// The list of hosts.

// Reroute says that Config.HostRuns says something else from now on.
func (o *Engine) SetHostClasses(hostRuns func(kind int) []bool) {
	o.post(func(now time.Duration) {
		o.HostClasses = hostRuns
		var all []Host
		for _, h := range o.hosts {
			if h.listed && h.Backend == nil {
				all = append(all, h.Host)
			}
		}
		o.list(now, balance.ListChanges, all)
	})
}

// List hands in the inventory, or changes to it. Hosts that came by themselves say nothing of what discovery has.
func (o *Engine) UpdateHosts(kind balance.ListKind, hosts []Host) {
	o.post(func(now time.Duration) {
		o.list(now, kind, hosts)
		if kind != balance.ListFailed && !slices.ContainsFunc(hosts, func(h Host) bool { return h.Backend != nil }) {
			o.module.ListComplete(now)
		}
	})
}

// Sees says whether messages are sent by the list that is held: see balance.Dispatcher.Heard.
func (o *Engine) HasHostList() bool { return o.sees.Load() }

func (o *Engine) list(now time.Duration, kind balance.ListKind, hosts []Host) {
	entries := make([]balance.Worker, 0, len(hosts))
	listed := map[balance.WorkerID]bool{}
	var unheard []string
	for _, h := range hosts {
		if !o.ever[h.Name] {
			o.ever[h.Name] = true
			if h.Backend == nil {
				unheard = append(unheard, h.Name)
			}
		}
		w := h.Worker
		if w.ID = o.ids.id(h.Name); h.Backend == nil && o.HostClasses != nil {
			w.Runs = o.HostClasses(w.Kind)
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
			if h.Backend != nil { // the inventory's lists say nothing of it, and to the module this one is all there is
				if h.listed && !listed[id] {
					entries = append(entries, h.Worker)
				}
				continue
			}
			h.listed = h.listed && listed[id]
			if !listed[id] && !h.shut.Load() {
				h.shut.Store(true)
				o.Backend.Forget(h.Host)
			}
		}
	}
	if len(unheard) > 0 && o.OnNewHosts != nil {
		o.OnNewHosts(unheard)
	}
	o.module.List(now, kind, entries)
	for _, h := range hosts {
		if h.Backend != nil && h.Worker.State == balance.Removed {
			o.forget(h.Name)
		}
	}
	o.show(now)
}

// forget drops all that is known of a host that came by itself and has gone: there may be any number of names. An
// operator's word stays.
func (o *Engine) forget(name string) {
	id := o.ids.id(name)
	if h := o.hosts[id]; h != nil && h.Worker.State == balance.Removed && !h.offline.Load() { // else it is back already
		delete(o.hosts, id)
		delete(o.ever, name)
		delete(o.ids, id)
	}
}

// south is the side that carries attempts to a host.
func (o *Engine) south(h Host) Backend {
	if h.Backend != nil {
		return h.Backend
	}
	return o.Backend
}
