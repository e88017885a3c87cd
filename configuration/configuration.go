// Package configuration models the operators' configuration: the routes on which clients' messages arrive, the services that they are
// delivered to, and limits on requests.
//
// [Parse] reads a complete configuration and [Configuration.Update] applies a change to one; both return a configuration that is valid as
// a whole, or an [Error]. [Configuration.Match] finds the route of a request. [Orders] is the state machine for orders, the configuration
// changes that operators submit: it decides which of them are applied, and in which order.
//
// The package does no I/O, reads no clock and starts no goroutines. A Configuration is immutable once it has been returned, so it may be
// shared.
package configuration

import "time"

// Configuration is one valid configuration.
type Configuration struct {
	Revision uint64 // version; higher than that of the previous configuration
	Routes   []Route
	Services []Service
	Limits   Limits
	Raw      []byte // the complete configuration as JSON, including fields unknown to this package

	services map[string]*Service
	hosts    map[string]*hostRoutes

	routeTexts, serviceTexts [][]byte // JSON of each element of Routes and Services, slices of Raw
}

// Route defines where messages for a host and a path are delivered, and with which limits.
type Route struct {
	Name          string
	Hostname      string // in lower case, without a port
	PathPrefix    string
	Type          string // "async" for messages
	Service       string // name of the service, "Backend" in JSON
	Priority      int    // 0 is the highest
	Fifo          bool   // messages with the same ordering key run one after the other
	MaxAttempts   int    // number of responses with status 500 after which a message fails
	Timeout       time.Duration
	TargetLatency time.Duration // objective for the time until the 202 response
	TargetStart   time.Duration // objective for the time until a worker starts the message
	Retention     time.Duration // a message expires this long after it was first sent
}

// Service is a group of workers, or a single endpoint.
type Service struct {
	Name            string
	HealthCheckPath string
	MaxConnections  int     // connections that each worker accepts from all callers together
	RatePerS        float64 // deliveries per second from all dispatchers together; 0 for no limit
	Idempotent      bool    // workers share a table of message ids
	Static          string  // address of the single endpoint; empty for a service whose workers the platform lists
}

// Limits bound clients' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // for the complete header of a request to arrive
	IdleTimeout    time.Duration // after which a connection without a request is closed
}

// Defaults for fields that are absent from a configuration, or 0 where 0 has no meaning.
const (
	defaultMaxAttempts     = 3
	defaultRetention       = time.Hour
	defaultTargetLatency   = 100 * time.Millisecond
	defaultTargetStart     = 500 * time.Millisecond
	defaultHealthCheckPath = "/"
	defaultMaxConnections  = 16
	defaultMaxHeaderBytes  = 16 << 10
	defaultMaxBodyBytes    = 256 << 10
	defaultHeaderTimeout   = 3 * time.Second
	defaultIdleTimeout     = 15 * time.Second
)

// Service returns the service of that name. A nil Configuration has none.
func (c *Configuration) Service(name string) (*Service, bool) {
	if c == nil {
		return nil, false
	}
	s, ok := c.services[name]
	return s, ok
}
