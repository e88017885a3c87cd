package configuration

import (
	"cmp"
	"slices"
)

// hostRoutes holds the routes of one host. A path is looked up by each prefix length that occurs for the host, longest first.
type hostRoutes struct {
	prefixes map[string]*Route
	lengths  []int // distinct lengths of the prefixes, in descending order
}

// addRoute adds a route to the lookup table. The pointer must refer to the element of Routes.
func (c *Configuration) addRoute(r *Route) error {
	h, ok := c.hosts[r.Hostname]
	if !ok {
		h = &hostRoutes{prefixes: make(map[string]*Route)}
		c.hosts[r.Hostname] = h
	}
	if other, ok := h.prefixes[r.PathPrefix]; ok {
		return newError(KindDuplicatePrefix, "routes %q and %q have the same host %q and prefix %q: change or remove one",
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

// Match returns the route for a request: the one of its host with the longest PathPrefix that the path starts with. The host is matched
// regardless of case and may have a port. A nil Configuration has no routes.
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
