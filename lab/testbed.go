package lab

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"liftgauge/internal/standin"
)

// WorldConfig is a fleet of stand-ins.
type WorldConfig struct {
	Hosts  int
	Slots  int
	Queue  int
	Job    time.Duration
	Result func([]byte) []byte
	// Each changes what a host is like, by its number; may be nil.
	Each func(i int, h *standin.HostConfig)
	// Links leads the dispatcher's connections to hosts and discovery over links that can be broken.
	Links bool
	// Listen is where the dispatcher is to listen; empty: any free address.
	Listen string
	ID     func([]byte) string // finds the ledger's name of a job in its data; nil for its id
}

// World is a fleet of stand-in hosts with discovery, for one dispatcher.
type World struct {
	Hosts     []*standin.Host
	Discovery *standin.Discovery
	Ledger    standin.Ledger
	Listen    string     // where the dispatcher is to listen
	HostLinks []*TCPLink // by host, where there are links
	ListLink  *TCPLink   // to discovery
	callbacks *http.Transport
}

// StartWorld starts hosts and discovery on loopback.
func StartWorld(c WorldConfig) (*World, error) {
	w := &World{callbacks: &http.Transport{MaxIdleConnsPerHost: 128, MaxConnsPerHost: 128}}
	var err error
	if w.Listen = c.Listen; w.Listen == "" {
		if w.Listen, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if w.Discovery, err = standin.StartDiscovery(); err != nil {
		return nil, err
	}
	if c.Links {
		if w.ListLink, err = NewTCPLink(w.Discovery.Address); err != nil {
			w.Close()
			return nil, err
		}
	}
	for i := range c.Hosts {
		if _, err := w.Add(c, fmt.Sprintf("s-%08x", 0x5be20000+i), i); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// Add starts one more host and lists it.
func (w *World) Add(c WorldConfig, name string, i int) (*standin.Host, error) {
	like := standin.HostConfig{Name: name, Zone: Zones[0], Kind: Kinds[0], Cell: i / 4, Slots: c.Slots, Queue: c.Queue,
		JobDuration: c.Job, Result: c.Result, ReportsStarts: true, Ledger: &w.Ledger, ID: c.ID, Dispatcher: w.Listen, Callbacks: &http.Client{Transport: w.callbacks}}
	if c.Each != nil {
		c.Each(i, &like)
	}
	h, err := standin.StartHost(like)
	if err != nil {
		return nil, err
	}
	w.Hosts = append(w.Hosts, h)
	m := h.Member()
	if c.Links {
		link, err := NewTCPLink(h.Address)
		if err != nil {
			return nil, err
		}
		w.HostLinks = append(w.HostLinks, link)
		m.HostPort = link.Address
	}
	w.Discovery.Set(m)
	return h, nil
}

// Say lists the host of that number in another phase, and as a process that started at another time.
func (w *World) Say(i int, phase string, upSince time.Time) {
	m := w.Hosts[i].Member()
	if i < len(w.HostLinks) {
		m.HostPort = w.HostLinks[i].Address
	}
	m.Phase = phase
	if !upSince.IsZero() {
		m.UpSince = upSince.UnixMilli()
	}
	w.Discovery.Set(m)
}

// Close ends all stand-ins.
func (w *World) Close() {
	for _, l := range append(w.HostLinks, w.ListLink) {
		if l != nil {
			l.Close()
		}
	}
	for _, h := range w.Hosts {
		h.Close()
	}
	w.Discovery.Close()
	w.callbacks.CloseIdleConnections()
}

// Daemon starts a dispatcher for this world.
func (w *World) Daemon(ctx context.Context, c DaemonConfig) (*Process, error) {
	c.Known = w.Discovery.List()
	list := w.Discovery.Address
	if w.ListLink != nil {
		list = w.ListLink.Address
	}
	return StartDaemon(ctx, c, w.Listen, list)
}
