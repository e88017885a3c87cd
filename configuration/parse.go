package configuration

import (
	"strings"
	"time"
)

// Names of JSON fields that are used more than once.
const (
	fieldName     = "Name"
	fieldRevision = "Revision"
	fieldRoutes   = "Routes"
	fieldServices = "Services"
	fieldLimits   = "Limits"
)

var (
	routeFields = []string{fieldName, "Hostname", "PathPrefix", "Type", "Backend", "Priority", "Fifo", "MaxAttempts", "TimeoutMs",
		"TargetLatencyMs", "TargetStartMs", "RetentionS"}
	serviceFields = []string{fieldName, "HealthCheckPath", "MaxConnections", "RatePerS", "Idempotent", "Static"}
	limitsFields  = []string{"MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs"}
)

// Parse reads a complete configuration. The error is an *Error if the configuration is invalid.
func Parse(body []byte) (*Configuration, error) {
	return ParseAfter(nil, append([]byte(nil), body...))
}

// ParseAfter reads a complete configuration that follows a previous one, which may be nil. It keeps the body, which must not be modified
// afterwards. The result is the same as that of Parse: routes and services whose text is unchanged are validated again, but not decoded again.
func ParseAfter(previous *Configuration, body []byte) (*Configuration, error) {
	d, err := readDocument("the configuration", body)
	if err != nil {
		return nil, err
	}
	if err := d.checkOnce(fieldRevision, fieldRoutes, fieldServices, fieldLimits); err != nil {
		return nil, err
	}
	c := &Configuration{Raw: body}
	if c.Revision, err = d.revision(); err != nil {
		return nil, err
	}
	routes, err := d.list(fieldRoutes)
	if err != nil {
		return nil, err
	}
	services, err := d.list(fieldServices)
	if err != nil {
		return nil, err
	}
	if c.Limits, err = readLimits(d.find(fieldLimits)); err != nil {
		return nil, err
	}
	if previous == nil {
		previous = &Configuration{}
	}
	if err := c.readServices(previous, services); err != nil {
		return nil, err
	}
	if err := c.readRoutes(previous, routes); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Configuration) readServices(previous *Configuration, items [][]byte) error {
	c.serviceTexts = items
	c.Services = make([]Service, len(items))
	c.services = make(map[string]*Service, len(items))
	f := newFields("service", serviceFields)
	known := knownTexts{texts: previous.serviceTexts}
	for i, item := range items {
		s := &c.Services[i]
		if at, ok := known.find(item); ok {
			f.skip()
			*s = previous.Services[at]
		} else {
			f.read(item)
			*s = readService(f)
		}
		if f.err != nil {
			return f.err
		}
		if _, ok := c.services[s.Name]; ok {
			return newError(KindDuplicateName, "two services have the name %q: give each its own", s.Name)
		}
		c.services[s.Name] = s
	}
	return nil
}

func readService(f *fields) Service {
	s := Service{
		Name:            f.requiredText(fieldName),
		HealthCheckPath: f.text("HealthCheckPath"),
		MaxConnections:  f.integer("MaxConnections", defaultMaxConnections),
		RatePerS:        f.number("RatePerS"),
		Idempotent:      f.flag("Idempotent"),
		Static:          f.text("Static"),
	}
	if s.HealthCheckPath == "" {
		s.HealthCheckPath = defaultHealthCheckPath
	}
	return s
}

func (c *Configuration) readRoutes(previous *Configuration, items [][]byte) error {
	c.routeTexts = items
	c.Routes = make([]Route, len(items))
	c.hosts = make(map[string]*hostRoutes)
	names := make(map[string]struct{}, len(items))
	f := newFields("route", routeFields)
	known := knownTexts{texts: previous.routeTexts}
	for i, item := range items {
		r := &c.Routes[i]
		if at, ok := known.find(item); ok {
			f.skip()
			*r = previous.Routes[at]
		} else {
			f.read(item)
			*r = readRoute(f)
		}
		if f.err != nil {
			return f.err
		}
		if _, ok := names[r.Name]; ok {
			return newError(KindDuplicateName, "two routes have the name %q: give each its own", r.Name)
		}
		names[r.Name] = struct{}{}
		service, ok := c.services[r.Service]
		if !ok {
			return newError(KindUnknownService, "route %q names the service %q, which is not there: add the service or change the route's Backend",
				r.Name, r.Service)
		}
		r.Service = service.Name // share one copy of the string
		if err := c.addRoute(r); err != nil {
			return err
		}
	}
	c.sortPrefixLengths()
	return nil
}

func readRoute(f *fields) Route {
	r := Route{
		Name:          f.requiredText(fieldName),
		Hostname:      normalHost(f.requiredText("Hostname")),
		PathPrefix:    f.text("PathPrefix"),
		Type:          f.text("Type"),
		Service:       f.text("Backend"),
		Priority:      f.integer("Priority", 0),
		Fifo:          f.flag("Fifo"),
		MaxAttempts:   f.integer("MaxAttempts", defaultMaxAttempts),
		TargetLatency: f.duration("TargetLatencyMs", time.Millisecond, defaultTargetLatency),
		TargetStart:   f.duration("TargetStartMs", time.Millisecond, defaultTargetStart),
		Retention:     f.duration("RetentionS", time.Second, defaultRetention),
	}
	if f.value("PathPrefix") == nil {
		f.wrong("PathPrefix", "the start of the paths that it takes")
	}
	r.Timeout = f.timeout("TimeoutMs", r.Name)
	return r
}

func readLimits(text []byte) (Limits, error) {
	l := Limits{defaultMaxHeaderBytes, defaultMaxBodyBytes, defaultHeaderTimeout, defaultIdleTimeout}
	if text == nil || isNull(text) {
		return l, nil
	}
	f := newFields(fieldLimits, limitsFields)
	f.read(text)
	return Limits{
		MaxHeaderBytes: f.integer("MaxHeaderBytes", l.MaxHeaderBytes),
		MaxBodyBytes:   f.integer("MaxBodyBytes", l.MaxBodyBytes),
		HeaderTimeout:  f.duration("HeaderTimeoutMs", time.Millisecond, l.HeaderTimeout),
		IdleTimeout:    f.duration("IdleTimeoutMs", time.Millisecond, l.IdleTimeout),
	}, f.err
}

// normalHost returns a host in lower case, without port and trailing dot.
func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
