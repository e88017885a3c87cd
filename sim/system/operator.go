package system

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualnet"
)

// Route is a route of the operator's configuration.
type Route struct {
	Name, Hostname, PathPrefix, Type string
	TimeoutMs, TargetLatencyMs       int
	Priority                         int
	Backend                          string
	MaxAttempts                      int
	Fifo                             bool
	RetentionS                       float64
	CallbackUrl                      bool
	TargetStartMs                    int
}

type serviceEntry struct {
	Name, HealthCheckPath string
	MaxConnections        int
	Protocol              string
	Tls                   bool
	RatePerS              float64
	Idempotent, Pull      bool
	Static                *string
}

type limitsEntry struct{ MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int }

// Document is a complete configuration.
type Document struct {
	Revision int
	Routes   []Route
	Services []serviceEntry
	Limits   limitsEntry
}

// Operator applies configurations and reads them back.
type Operator struct {
	world   *World
	client  *http.Client
	History History
	// LoseResponse, if set, decides for each response to an order whether it is lost in transit. It is called from many goroutines.
	LoseResponse func() bool
	mu           sync.Mutex
	newest       Document // newest acknowledged configuration
}

func newOperator(w *World) *Operator {
	return &Operator{world: w, client: newClient(w.Net.Host(operatorIP), time.Second)}
}

func newClient(host *virtualnet.Host, timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: host.DialContext, DisableKeepAlives: true}}
}

// Newest returns the acknowledged configuration with the highest revision.
func (o *Operator) Newest() Document {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest
}

// Document returns a configuration with the given revision and routes, and with all services that were added to the platform.
func (o *Operator) Document(revision int, routes ...Route) Document {
	d := Document{Revision: revision, Limits: limitsEntry{16384, 262144, 3000, 15000}}
	for _, s := range o.world.Platform.services() {
		entry := serviceEntry{Name: s.Name, HealthCheckPath: "/health", MaxConnections: 100, Protocol: "h1", RatePerS: s.Rate}
		if s.Rate > 0 {
			entry.Static = &s.address
		}
		d.Services = append(d.Services, entry)
	}
	for _, r := range routes {
		r.Type, r.Hostname = "async", hostname
		setDefault(&r.TimeoutMs, 1000)
		setDefault(&r.TargetLatencyMs, 200)
		setDefault(&r.MaxAttempts, 4)
		setDefault(&r.RetentionS, defaultRetentionS)
		setDefault(&r.TargetStartMs, 800)
		d.Routes = append(d.Routes, r)
	}
	return d
}

// defaultRetentionS is the RetentionS of a route that names none.
const defaultRetentionS = 90

// hostname is the Hostname of all routes.
const hostname = "lode17.example"

// Replace sends a configuration based on a version to one control process after another, until it gets a definite response or time is up.
func (o *Operator) Replace(base int, d Document, within time.Duration) (status int, err error) {
	body, err := json.Marshal(d)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	defer func() {
		o.History.order(began, orderCall{base: base, revision: d.Revision, body: string(body)}, orderResponse{status: status})
	}()
	o.world.Checker.recordConfigurationSent()
	limit := began.Add(within)
	pause := 50 * time.Millisecond
	for i := 0; time.Now().Before(limit); i++ {
		controls := o.world.ByRole(protocol.RoleControl)
		address := hostPort(controls[(d.Revision+i)%len(controls)].IP, controlPort)
		status, _ = o.order(address, base, body)
		switch {
		case status == http.StatusOK:
			o.world.Checker.recordAcknowledged(order{base: base, revision: d.Revision, body: string(body)})
			o.mu.Lock()
			if d.Revision > o.newest.Revision {
				o.newest = d
			}
			o.mu.Unlock()
			return status, nil
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return status, nil
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, errors.Newf("no definite response to version %d within %v", d.Revision, within)
}

func (o *Operator) order(address string, base int, body []byte) (int, error) {
	request, err := http.NewRequestWithContext(o.world.ctx, http.MethodPost, "http://"+address+"/config/replace", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Base-Version", strconv.Itoa(base))
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if o.LoseResponse != nil && o.LoseResponse() {
		return 0, errResponseLost
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

var errResponseLost = errors.New("response lost in transit")

// ReadBack requests the configuration until it gets it or time is up, and passes it to the checker.
func (o *Operator) ReadBack(within time.Duration) {
	limit := time.Now().Add(within)
	for i := 0; time.Now().Before(limit); i++ {
		controls := o.world.ByRole(protocol.RoleControl)
		body, err := o.describe(hostPort(controls[i%len(controls)].IP, controlPort))
		if err == nil {
			if revision, encoded, ok := o.decode(body); ok {
				o.world.Checker.checkReadBack(revision, encoded)
			}
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	o.world.Checker.checkReadBack(0, "")
}

// Read requests the configuration once from one control process, and records the response.
func (o *Operator) Read(address string) {
	began := time.Now()
	body, err := o.describe(address)
	if err != nil {
		return
	}
	if revision, encoded, ok := o.decode(body); ok {
		o.History.read(began, readResponse{revision: revision, body: encoded})
		o.world.Checker.checkRead(began, revision)
	}
}

// decode parses a configuration that was read, and encodes it as the operator does.
func (o *Operator) decode(body []byte) (revision int, encoded string, ok bool) {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		o.world.Checker.reportViolation("CONFIG", "the configuration that was read cannot be decoded: %v", err)
		return 0, "", false
	}
	written, _ := json.Marshal(d)
	return d.Revision, string(written), true
}

func (o *Operator) describe(address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(o.world.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/config/describe", nil)
	if err != nil {
		return nil, err
	}
	response, err := o.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("describe: %d", response.StatusCode)
	}
	return io.ReadAll(response.Body)
}

// Drop records that the newest acknowledged configuration no longer has the route with this prefix.
func (o *Operator) Drop(prefix string) {
	ch := o.world.Checker
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.dropped[prefix] = time.Now()
}

func splitAddress(address string) (host, port string, err error) { return net.SplitHostPort(address) }
