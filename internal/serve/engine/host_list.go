package engine

import (
	"slices"
	"time"

	"liftgauge/balance"
)

// The list of hosts.

// SetHostClasses replaces Config.HostClasses.
func (e *Engine) SetHostClasses(hostClasses func(kind int) []bool) {
	e.enqueue(func(now time.Duration) {
		e.HostClasses = hostClasses
		var all []Host
		for _, h := range e.hosts {
			if h.listed && h.Backend == nil {
				all = append(all, h.Host)
			}
		}
		e.updateHosts(now, balance.ListChanges, all)
	})
}

// UpdateHosts applies the inventory, or changes to it. Hosts that registered themselves do not make the list complete.
func (e *Engine) UpdateHosts(kind balance.ListKind, hosts []Host) {
	e.enqueue(func(now time.Duration) {
		e.updateHosts(now, kind, hosts)
		if kind != balance.ListFailed && !slices.ContainsFunc(hosts, func(h Host) bool { return h.Backend != nil }) {
			e.dispatcher.ListComplete(now)
		}
	})
}

// HasHostList reports whether the scheduler has a list of hosts to send messages by: see balance.Dispatcher.HasList.
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
		if w.State == balance.Removed { // a change may contain the id only
			h.Address = old.Address
		}
		old.Host, old.listed = h, w.State != balance.Removed
		old.notReady.Store(w.State != balance.Ready)
	}
	if kind == balance.ListFull || kind == balance.ListCached {
		for id, h := range e.hosts {
			if h.Backend != nil { // not in the inventory's lists, but the scheduler takes the list as complete
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

// removeHost drops the state of a removed host that had registered itself: there may be any number of names. One that an
// operator has set offline stays.
func (e *Engine) removeHost(name string) {
	id := e.workerIDs.id(name)
	if h := e.hosts[id]; h != nil && h.Worker.State == balance.Removed && !h.offline.Load() { // else it has registered again
		delete(e.hosts, id)
		delete(e.everListed, name)
		delete(e.workerIDs, id)
	}
}

// backendFor returns the backend that carries attempts to a host.
func (e *Engine) backendFor(h Host) Backend {
	if h.Backend != nil {
		return h.Backend
	}
	return e.Backend
}
