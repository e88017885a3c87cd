package lab

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"liftgauge/internal/standin"
)

// TestbedConfig configures a Testbed.
type TestbedConfig struct {
	Hosts  int
	Slots  int
	Queue  int
	Job    time.Duration
	Result func([]byte) []byte
	// Each adjusts the configuration of host i; may be nil.
	Each func(i int, h *standin.HostConfig)
	// Links puts fault-injecting links between the dispatcher and its hosts and discovery.
	Links bool
	// Listen is where the dispatcher is to listen; empty: any free address.
	Listen string
	ID     func([]byte) string // returns the id under which the ledger lists a job, from its data; nil: the request's id
}

// Testbed is a fleet of stand-in hosts with discovery, for one dispatcher.
type Testbed struct {
	Hosts         []*standin.Host
	Discovery     *standin.Discovery
	Ledger        standin.Ledger
	Listen        string     // where the dispatcher is to listen
	HostLinks     []*TCPLink // by host, if TestbedConfig.Links is set
	DiscoveryLink *TCPLink   // likewise, to discovery
	callbacks     *http.Transport
}

// StartTestbed starts hosts and discovery on loopback.
func StartTestbed(c TestbedConfig) (*Testbed, error) {
	t := &Testbed{callbacks: &http.Transport{MaxIdleConnsPerHost: 128, MaxConnsPerHost: 128}}
	var err error
	if t.Listen = c.Listen; t.Listen == "" {
		if t.Listen, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if t.Discovery, err = standin.StartDiscovery(); err != nil {
		return nil, err
	}
	if c.Links {
		if t.DiscoveryLink, err = NewTCPLink(t.Discovery.Address); err != nil {
			t.Close()
			return nil, err
		}
	}
	for i := range c.Hosts {
		if _, err := t.AddHost(c, fmt.Sprintf("s-%08x", 0x5be20000+i), i); err != nil {
			t.Close()
			return nil, err
		}
	}
	return t, nil
}

// AddHost starts one more host and lists it in discovery.
func (t *Testbed) AddHost(c TestbedConfig, name string, i int) (*standin.Host, error) {
	config := standin.HostConfig{Name: name, Zone: Zones[0], Kind: Kinds[0], Cell: i / 4, Slots: c.Slots, Queue: c.Queue,
		JobDuration: c.Job, Result: c.Result, ReportsStarts: true, Ledger: &t.Ledger, ID: c.ID, Dispatcher: t.Listen, Callbacks: &http.Client{Transport: t.callbacks}}
	if c.Each != nil {
		c.Each(i, &config)
	}
	h, err := standin.StartHost(config)
	if err != nil {
		return nil, err
	}
	t.Hosts = append(t.Hosts, h)
	m := h.Member()
	if c.Links {
		link, err := NewTCPLink(h.Address)
		if err != nil {
			return nil, err
		}
		t.HostLinks = append(t.HostLinks, link)
		m.HostPort = link.Address
	}
	t.Discovery.Set(m)
	return h, nil
}

// SetHostState lists host i in the given phase and, if upSince is not zero, as a process that started then.
func (t *Testbed) SetHostState(i int, phase string, upSince time.Time) {
	m := t.Hosts[i].Member()
	if i < len(t.HostLinks) {
		m.HostPort = t.HostLinks[i].Address
	}
	m.Phase = phase
	if !upSince.IsZero() {
		m.UpSince = upSince.UnixMilli()
	}
	t.Discovery.Set(m)
}

// Close stops all links and stand-ins.
func (t *Testbed) Close() {
	for _, l := range append(t.HostLinks, t.DiscoveryLink) {
		if l != nil {
			l.Close()
		}
	}
	for _, h := range t.Hosts {
		h.Close()
	}
	t.Discovery.Close()
	t.callbacks.CloseIdleConnections()
}

// Daemon starts a dispatcher for this testbed.
func (t *Testbed) Daemon(ctx context.Context, c DaemonConfig) (*Process, error) {
	c.Known = t.Discovery.List()
	list := t.Discovery.Address
	if t.DiscoveryLink != nil {
		list = t.DiscoveryLink.Address
	}
	return StartDaemon(ctx, c, t.Listen, list)
}
