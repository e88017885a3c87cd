// Package config decodes the start-up configuration of a dispatcher.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/jsonval"
)

// Config is the decoded configuration.
type Config struct {
	Name             string
	Listen           string
	Discovery        string
	Control          string // address of the operator interface; empty for none
	Seed             uint64
	Memory           int64 // bytes
	Sockets          int
	AvailableSockets int // descriptors available, of which the program uses Sockets unless its settings say otherwise
	Settings         balance.Settings
	Classes          []string // names, by class number
	Zones            []string
	Kinds            []string
	Keepalive        time.Duration // after which a host closes an idle connection
	LoadColumns      []string      // names of the values in load reports of hosts, in order; none: hosts report no load
	LastInventory    []byte        // the inventory that this dispatcher last had, as the inventory service encodes it

	fileDiscovery string // discovery address in the file
}

// Upper limits of what the program uses, whatever the machine offers, and the minimum that it can serve with.
const (
	maxMemoryMB = 192
	minMemoryMB = 16
	maxSockets  = 1024
	minSockets  = 32
)

// Load reads the configuration file named by the environment.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	return Parse(text, getenv)
}

// Reload reads the configuration again while the program runs. The environment dates from the start of the process and
// the file is newer, so the discovery address in the file takes precedence over LB_DISCOVERY.
func Reload(getenv func(string) string) (*Config, error) {
	c, err := Load(getenv)
	if err != nil || c.fileDiscovery == "" {
		return c, err
	}
	c.Discovery = c.fileDiscovery
	return c, c.check()
}

// RestartOnlyChanges names the fields in which a new configuration differs from the current one and that only a restart
// applies: the listener, the decision module and the limits are created from them once.
func (c *Config) RestartOnlyChanges(next *Config) []string {
	var fields []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"control", c.Control == next.Control},
		{"seed", c.Seed == next.Seed},
		{"limits", c.Memory == next.Memory && c.Sockets == next.Sockets},
		{"settings", c.Keepalive == next.Keepalive && slices.Equal(c.LoadColumns, next.LoadColumns) && slices.Equal(c.Classes, next.Classes) &&
			slices.Equal(c.Zones, next.Zones) && slices.Equal(c.Kinds, next.Kinds) && reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}

// Parse decodes a configuration. The environment takes precedence over the file for the name and the addresses. An error
// is one line that names the field.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var p jsonval.Parser
	root, err := p.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c := &Config{
		Name:          cmp.Or(getenv("LB_NAME"), root.Text("name")),
		Listen:        cmp.Or(getenv("LB_LISTEN"), root.Text("listen")),
		Discovery:     cmp.Or(getenv("LB_DISCOVERY"), root.Text("discovery")),
		Control:       cmp.Or(getenv("LB_CONTROL"), root.Text("control")),
		fileDiscovery: root.Text("discovery"),
		LastInventory: root.Raw("known"),
	}
	limits := root.Object("limits")
	mb, sockets := limits.Int64("memory_mb"), limits.Int64("sockets")
	if limits.Has("memory_mb") && mb < minMemoryMB {
		limits.Fail("memory_mb", fmt.Sprint(minMemoryMB, " or more"))
	}
	if limits.Has("sockets") && sockets < minSockets {
		limits.Fail("sockets", fmt.Sprint(minSockets, " or more"))
	}
	c.Memory = min(cmp.Or(mb, maxMemoryMB), maxMemoryMB) << 20
	c.AvailableSockets = int(min(cmp.Or(sockets, maxSockets), 1<<20))
	c.Sockets = min(c.AvailableSockets, maxSockets)
	if seed := root.Text("seed"); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			root.Fail("seed", "at most 16 hex digits")
		}
	}
	if !root.Has("settings") {
		root.Fail("settings", "an object")
	}
	f := root.Object("settings")
	c.Settings, c.Classes = settings(f)
	c.Zones, c.Kinds = f.Texts("dcs"), f.Texts("kinds")
	c.Keepalive = f.Object("limits").Duration("keepaliveNs")
	if reports := f.Object("loadReport"); reports.Text("how") != "none" {
		c.LoadColumns = reports.Texts("columns")
	}
	if err := root.Err(); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) check() error {
	for _, a := range []struct{ field, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"control", c.Control}} {
		if a.field == "control" && a.value == "" {
			continue // the operator interface is optional
		}
		host, port, err := net.SplitHostPort(a.value)
		if _, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || host == "" {
			return fmt.Errorf("%s: want host:port, have %q", a.field, a.value)
		}
	}
	if len(c.Settings.Classes) == 0 {
		return errors.New("settings.classes: want at least one class")
	}
	for i, k := range c.Settings.Classes {
		switch name := c.Classes[i]; {
		case name == "" || strings.ContainsAny(name, "/? \t\r\n") || name == "callback" || name == "-":
			return fmt.Errorf("settings.classes[%d].name: want a name that can lead a path", i)
		case k.TargetLatency < 0:
			return fmt.Errorf("settings.classes[%d].aimNs: want no negative time", i)
		case k.Limit <= 0 || k.Limit > time.Hour:
			return fmt.Errorf("settings.classes[%d].hardLimitNs: want a time of at most an hour", i)
		}
	}
	s := &c.Settings
	switch {
	case s.Dispatchers < 0 || s.Dispatchers > 1<<16:
		return errors.New("settings.replicasOfMe: want a number of dispatchers")
	case s.Tick < 0 || s.Tick > time.Second:
		return errors.New("settings.stepNs: want at most a second")
	case s.MaxAttempts < 0 || s.MaxAttempts > 255:
		return errors.New("settings.limits.maxAttempts: want at most 255")
	case s.ConnectTimeout < 0 || s.ConnectTimeout > time.Minute:
		return errors.New("settings.limits.connectTimeoutNs: want at most a minute")
	case c.Keepalive < 0:
		return errors.New("settings.limits.keepaliveNs: want no negative time")
	case s.AskWithin < 0 || s.DrainGrace < 0 || s.WarmWithin < 0 || s.OverloadTime < 0:
		return errors.New("settings.rules: want no negative time")
	}
	s.Tick = max(s.Tick, time.Millisecond) // minimum of the decision module
	s.MaxAttempts = max(s.MaxAttempts, 1)
	s.ConnectTimeout = cmp.Or(s.ConnectTimeout, 250*time.Millisecond)
	c.Keepalive = cmp.Or(c.Keepalive, 10*time.Second)
	return nil
}
