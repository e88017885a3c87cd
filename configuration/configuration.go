// Package configuration models the operator's configuration: the routes that clients' messages come on, the services that they go to,
// and limits on requests.
//
// [Parse] reads a whole configuration and [Configuration.Update] applies a change to one; both return a configuration that is valid as
// a whole, or an [Error]. [Configuration.Match] finds the route of a request. [Orders] is the state machine of the operator's orders: which of them
// are taken, and in which order.
//
// The package does no I/O, reads no clock and starts no goroutine. A Configuration is not changed once it was returned, so it may be
// shared.
package configuration

import "time"

// Configuration is one valid configuration.
type Configuration struct {
	Revision uint64 // its version; higher than that of the configuration before
	Routes   []Route
	Services []Service
	Limits   Limits
	Raw      []byte // the whole as JSON, with fields that this package does not know

	services map[string]*Service
	hosts    map[string]*hostRoutes

	routeTexts, serviceTexts [][]byte // of Routes and Services, in Raw
}

// Route says where messages with a host and a path go, and on which terms.
type Route struct {
	Name          string
	Hostname      string // in lower case, without a port
	PathPrefix    string
	Type          string // "async" for messages
	Service       string // name of the service, "Backend" in JSON
	Priority      int    // 0 is the highest
	Fifo          bool   // messages with the same ordering key run one after the other
	MaxAttempts   int    // answers with 500 that end a message
	Timeout       time.Duration
	TargetLatency time.Duration // objective for the 202
	TargetStart   time.Duration // objective for the start of a run
	Retention     time.Duration // a message ends so long after its first send
}

// Service is a group of workers, or a single endpoint.
type Service struct {
	Name            string
	HealthCheckPath string
	MaxConnections  int     // that each worker accepts from all callers together
	RatePerS        float64 // deliveries a second from all dispatchers together; 0 for no ceiling
	Idempotent      bool    // workers share a table of ids
	Static          string  // address of the single endpoint; empty for a service on the platform's list
}

// Limits bound clients' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // for the head of a request to arrive
	IdleTimeout    time.Duration // of a connection without a request
}

// What is taken for a field that a configuration does not give, or gives as 0 where that means nothing.
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
