package configuration

import (
	"cmp"
	"slices"
)

// hostRoutes are the routes of one host. A path is looked up by each length of prefix that the host has, the longest first.
type hostRoutes struct {
	prefixes map[string]*Route
	lengths  []int // of the prefixes, each once, falling
}

// index enters a route; its address stays that of the element of Routes.
func (c *Configuration) index(r *Route) error {
	h, ok := c.hosts[r.Hostname]
	if !ok {
		h = &hostRoutes{prefixes: make(map[string]*Route)}
		c.hosts[r.Hostname] = h
	}
	if other, ok := h.prefixes[r.PathPrefix]; ok {
		return refuse(KindDuplicatePrefix, "routes %q and %q have the same host %q and prefix %q: change or remove one",
			other.Name, r.Name, r.Hostname, r.PathPrefix)
	}
	h.prefixes[r.PathPrefix] = r
	if !slices.Contains(h.lengths, len(r.PathPrefix)) {
		h.lengths = append(h.lengths, len(r.PathPrefix))
	}
	return nil
}

func (c *Configuration) sortPrefixLengths() {
	for _, h := range c.hosts {
		slices.SortFunc(h.lengths, func(a, b int) int { return cmp.Compare(b, a) })
	}
}

// Match returns the route for a request: the one of its host whose PathPrefix is the longest at the start of the path. The host may be
// in any case and may have a port. A nil Configuration has no routes.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	if c == nil {
		return nil, false
	}
	h, ok := c.hosts[normalHost(host)]
	if !ok {
		return nil, false
	}
	for _, length := range h.lengths {
		if length > len(path) {
			continue
		}
		if r, ok := h.prefixes[path[:length]]; ok {
			return r, true
		}
	}
	return nil, false
}
