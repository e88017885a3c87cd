package systemdemo

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	hostname      = "demo.example"
	clientTimeout = 2 * time.Second
	bodyBytes     = 2000
	orderingKeys  = 20
)

// configurationBody is the configuration that the operator submits: a route that delivers the messages of a key in order and one that
// does not.
var configurationBody = fmt.Appendf(nil, `{"Revision":1,"Routes":[
{"Name":"orders","Hostname":%[1]q,"PathPrefix":"/orders/","Type":"async","TimeoutMs":2000,"TargetLatencyMs":80,"Backend":%[2]q,"MaxAttempts":6,"Fifo":true,"RetentionS":600,"TargetStartMs":600},
{"Name":"readings","Hostname":%[1]q,"PathPrefix":"/readings/","Type":"async","TimeoutMs":2000,"TargetLatencyMs":80,"Backend":%[2]q,"MaxAttempts":6,"Fifo":false,"RetentionS":600,"TargetStartMs":600}],
"Services":[{"Name":%[2]q,"HealthCheckPath":"/health","MaxConnections":64,"RatePerS":0,"Static":null}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, hostname, workersService)

// clients sends messages and records which were accepted.
type clients struct {
	targets []string // Frontend addresses
	client  *http.Client

	mutex    sync.Mutex
	sent     int
	refused  int // responses that guarantee that the message was not accepted
	unknown  int // no response, or one that leaves the outcome open
	accepted []string
}

func newClients(dispatchers []*machine) *clients {
	c := &clients{client: &http.Client{Timeout: clientTimeout}}
	for _, m := range dispatchers {
		c.targets = append(c.targets, hostPort(m.ip, frontendPort))
	}
	return c
}

// run sends messages at a rate until the context ends, and returns when each has a response or has failed.
func (c *clients) run(ctx context.Context, perSecond int) {
	var pending sync.WaitGroup
	defer pending.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pending.Go(func() { c.send(n) })
		}
	}
}

// send sends a message to the first dispatcher that accepts the connection. A refused connection, as from a dispatcher that was killed, is
// safe to retry elsewhere, since nothing was sent.
func (c *clients) send(n int) {
	id := fmt.Sprintf("demo-%d", n)
	status := 0
	for i := range c.targets {
		var err error
		if status, err = c.sendTo(n, id, c.targets[(n+i)%len(c.targets)]); !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	c.recordResponse(id, status)
}

// sendTo sends a message to one dispatcher. Every second message has an ordering key.
func (c *clients) sendTo(n int, id, target string) (status int, err error) {
	keyed := n%2 == 0
	path := "/readings/"
	if keyed {
		path = "/orders/"
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+target+path+"x", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return 0, err
	}
	request.Host = hostname
	request.Header.Set("X-Request-Id", id)
	if keyed {
		request.Header.Set("X-Ordering-Key", fmt.Sprint(n/2%orderingKeys))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func (c *clients) recordResponse(id string, status int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent++
	switch status {
	case http.StatusAccepted:
		c.accepted = append(c.accepted, id)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.refused++
	default:
		c.unknown++
	}
}

// counts returns the numbers of messages so far.
func (c *clients) counts() (sent, accepted, refused, unknown int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sent, len(c.accepted), c.refused, c.unknown
}

// countMissing counts the accepted messages that have not run.
func (c *clients) countMissing(p *fakePlatform) (count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, id := range c.accepted {
		if !p.hasRun(id) {
			count++
		}
	}
	return count
}
