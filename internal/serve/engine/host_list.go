package engine

import (
	"slices"
	"time"

	"liftgauge/balance"
)

// The list of hosts.

// Reroute says that Config.HostRuns says something else from now on.
func (e *Engine) SetHostClasses(hostRuns func(kind int) []bool) {
	e.enqueue(func(now time.Duration) {
		e.HostClasses = hostRuns
		var all []Host
		for _, h := range e.hosts {
			if h.listed && h.Backend == nil {
				all = append(all, h.Host)
			}
		}
		e.updateHosts(now, balance.ListChanges, all)
	})
}

// List hands in the inventory, or changes to it. Hosts that came by themselves say nothing of what discovery has.
func (e *Engine) UpdateHosts(kind balance.ListKind, hosts []Host) {
	e.enqueue(func(now time.Duration) {
		e.updateHosts(now, kind, hosts)
		if kind != balance.ListFailed && !slices.ContainsFunc(hosts, func(h Host) bool { return h.Backend != nil }) {
			e.dispatcher.ListComplete(now)
		}
	})
}

// Sees says whether messages are sent by the list that is held: see balance.Dispatcher.Heard.
func (e *Engine) HasHostList() bool { return e.hasHostList.Load() }

func (e *Engine) updateHosts(now time.Duration, kind balance.ListKind, hosts []Host) {
	entries := make([]balance.Worker, 0, len(hosts))
	listed := map[balance.WorkerID]bool{}
	var newNames []string
	for _, h := range hosts {
		if !e.everListed[h.Name] {
			e.everListed[h.Name] = true
			if h.Backend == nil {
				newNames = append(newNames, h.Name)
			}
		}
		w := h.Worker
		if w.ID = e.workerIDs.id(h.Name); h.Backend == nil && e.HostClasses != nil {
			w.Runs = e.HostClasses(w.Kind)
		}
		h.Worker = w
		listed[w.ID] = true
		entries = append(entries, w)
		old := e.hosts[w.ID]
		if old == nil {
			old = &host{}
			e.hosts[w.ID] = old
		} else if old.Worker.Up != w.Up || old.Address != h.Address || w.State == balance.Removed {
			e.backendFor(old.Host).Forget(old.Host)
		}
		if w.State == balance.Removed { // a change may carry the id alone
			h.Address = old.Address
		}
		old.Host, old.listed = h, w.State != balance.Removed
		old.notReady.Store(w.State != balance.Ready)
	}
	if kind == balance.ListFull || kind == balance.ListCached {
		for id, h := range e.hosts {
			if h.Backend != nil { // the inventory's lists say nothing of it, and to the module this one is all there is
				if h.listed && !listed[id] {
					entries = append(entries, h.Worker)
				}
				continue
			}
			h.listed = h.listed && listed[id]
			if !listed[id] && !h.notReady.Load() {
				h.notReady.Store(true)
				e.Backend.Forget(h.Host)
			}
		}
	}
	if len(newNames) > 0 && e.OnNewHosts != nil {
		e.OnNewHosts(newNames)
	}
	e.dispatcher.List(now, kind, entries)
	for _, h := range hosts {
		if h.Backend != nil && h.Worker.State == balance.Removed {
			e.removeHost(h.Name)
		}
	}
	e.publishHostCounts(now)
}

// forget drops all that is known of a host that came by itself and has gone: there may be any number of names. An
// operator's word stays.
func (e *Engine) removeHost(name string) {
	id := e.workerIDs.id(name)
	if h := e.hosts[id]; h != nil && h.Worker.State == balance.Removed && !h.offline.Load() { // else it is back already
		delete(e.hosts, id)
		delete(e.everListed, name)
		delete(e.workerIDs, id)
	}
}

// south is the side that carries attempts to a host.
func (e *Engine) backendFor(h Host) Backend {
	if h.Backend != nil {
		return h.Backend
	}
	return e.Backend
}
