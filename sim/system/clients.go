package system

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"liftgauge/internal/protocol"
	"liftgauge/sim/system/virtualnet"
)

const (
	clientTimeout  = 2 * time.Second // of one attempt, and of one query about a message
	clientAttempts = 3
)

// Traffic describes a stream of messages.
type Traffic struct {
	Route Route
	Every time.Duration // between messages
	Keys  int           // number of ordering keys that messages are spread over, for a Fifo route
	Bytes int           // of padding in each body; at least 200
	Delay time.Duration // X-Delay-Ms of every fourth message, or of all
	// AllDelayed gives all messages the delay.
	AllDelayed bool
}

// Send sends traffic for a span. It returns when every client has a response or has given up.
func (w *World) Send(t Traffic, span time.Duration, name string) {
	host := w.Net.Host(clientIP)
	random := rand.New(rand.NewPCG(w.options.Seed, hash(name)))
	ended := make(chan struct{})
	sending := 0
	limit := time.Now().Add(span)
	for i := 0; time.Now().Before(limit) && w.ctx.Err() == nil; i++ {
		c := &client{world: w, host: host, traffic: t, name: fmt.Sprintf("%s-%d", name, i), firstDispatcher: random.IntN(1 << 20)}
		if t.Keys > 0 {
			c.key = fmt.Sprintf("%s-key-%d", name, random.IntN(t.Keys))
		}
		if t.Delay > 0 && (i%4 == 3 || t.AllDelayed) && t.Keys == 0 {
			c.delay = t.Delay
		}
		sending++
		w.running.Go(func() {
			c.send()
			ended <- struct{}{}
		})
		time.Sleep(t.Every/2 + time.Duration(random.Int64N(int64(t.Every)+1)))
	}
	for ; sending > 0; sending-- {
		<-ended
	}
}

// client sends one message, in up to clientAttempts attempts. The checker treats each attempt as a message of its own.
type client struct {
	world           *World
	host            *virtualnet.Host
	traffic         Traffic
	name            string
	key             string
	delay           time.Duration
	firstDispatcher int
}

func (c *client) send() {
	for attempt := range clientAttempts {
		status, pause := c.attempt(attempt)
		if !isRefusal(status) {
			return
		}
		time.Sleep(min(pause, time.Second))
	}
}

func (c *client) attempt(n int) (status int, pause time.Duration) {
	t := &c.traffic
	m := &message{
		id: fmt.Sprintf("%s-%d", c.name, n), key: c.key, service: t.Route.Backend, prefix: t.Route.PathPrefix, fifo: t.Route.Fifo && c.key != "",
		maxAttempts: t.Route.MaxAttempts, delay: c.delay, timeout: time.Duration(t.Route.TimeoutMs) * time.Millisecond,
		retention: seconds(cmp.Or(t.Route.RetentionS, defaultRetentionS)),
	}
	setDefault(&m.maxAttempts, 4)
	setDefault(&m.timeout, time.Second)
	m.body = m.id + strings.Repeat("x", max(t.Bytes, 200))
	dispatchers := c.world.ByRole(protocol.RoleDispatcher)
	header := http.Header{}
	if m.key != "" {
		header.Set("X-Ordering-Key", m.key)
	}
	if c.delay > 0 {
		header.Set("X-Delay-Ms", fmt.Sprint(c.delay.Milliseconds()))
	}
	response := c.world.submit(c.host, dispatchers[(c.firstDispatcher+n)%len(dispatchers)], m, header)
	if response == nil {
		return 0, 0
	}
	return response.StatusCode, retryAfter(response)
}

// submit sends a message to a dispatcher and reports the outcome to the checker. It returns nil if there is no complete response.
func (w *World) submit(host *virtualnet.Host, to *Process, m *message, header http.Header) *http.Response {
	request, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+hostPort(to.IP, frontendPort)+m.prefix+"m", strings.NewReader(m.body))
	if err != nil {
		return nil
	}
	request.Host = hostname
	request.Header = header
	request.Header.Set("X-Request-Id", m.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	watch := &requestWatch{}
	w.Checker.recordSend(m)
	response, body, err := exchange(newClient(host, clientTimeout), watch.watch(request))
	if wrote, complete := watch.written(); complete && w.ctx.Err() == nil {
		w.Checker.recordAttempt(abortedRequest{id: m.id, dispatcher: to.Name, sent: m.sent, wrote: wrote, at: time.Now()}, err != nil && !isTimeout(err))
	}
	if err != nil {
		return nil
	}
	if response.StatusCode == http.StatusAccepted {
		if assigned := response.Header.Get("X-Message-Id"); assigned != "" {
			m.assignedID = assigned
		} else {
			m.assignedID = m.id
		}
	}
	if echoedID := response.Header.Get("X-Request-Id"); echoedID != "" && echoedID != m.id {
		w.Checker.reportViolation("MIXED", "%s got the response to %s: %s", m.id, echoedID, body)
	}
	w.Checker.recordResponse(m, response.StatusCode, string(body))
	return response
}

// exchange sends a request and reads the whole response.
func exchange(client *http.Client, request *http.Request) (*http.Response, []byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func retryAfter(r *http.Response) time.Duration {
	seconds, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	return max(time.Duration(seconds*float64(time.Second)), 50*time.Millisecond)
}

// Check queries the state of accepted messages and the bodies of those that have not ended, for up to most messages of each kind, and passes the
// responses to the checker. Failed queries are retried.
func (w *World) Check(most int) {
	w.Checker.checkAborted()
	open, ended := w.Checker.acceptedMessages()
	for _, m := range open[:min(most, len(open))] {
		if !w.ended(m) {
			status, body := w.query(m, "/message-body/")
			w.Checker.checkBody(m, status, body)
		}
		w.checkState(m)
	}
	for _, m := range ended[:min(most, len(ended))] {
		w.checkState(m)
	}
}

func (w *World) ended(m *message) bool {
	w.Checker.mu.Lock()
	defer w.Checker.mu.Unlock()
	return m.ended
}

func (w *World) checkState(m *message) {
	status, state, signature := w.stateOf(m)
	w.Checker.checkState(m, status, state, signature)
	if state == "queued" && w.Platform.hasReadyWorker(m.service) {
		w.Checker.checkForgotten(m)
	}
}

// stateOf queries the state of a message; status is 0 without a response.
func (w *World) stateOf(m *message) (status int, state, signature string) {
	status, body := w.query(m, statePath)
	var answer struct{ State, Signature string }
	if status == http.StatusOK {
		if err := json.Unmarshal([]byte(body), &answer); err != nil {
			w.Checker.reportViolation("MIXED", "the state of %s cannot be read: %q", m.id, body)
			return
		}
	}
	return status, answer.State, answer.Signature
}

// statePath is the path prefix under which dispatchers return the state of a message.
const statePath = "/message/"

// query asks one dispatcher after another until one returns 200, a limited number of times.
func (w *World) query(m *message, path string) (status int, body string) {
	host := w.Net.Host(clientIP)
	for attempt := range 12 {
		dispatchers := w.ByRole(protocol.RoleDispatcher)
		address := hostPort(dispatchers[attempt%len(dispatchers)].IP, frontendPort)
		status, body = w.get(host, "http://"+address+path+m.assignedID)
		switch status {
		case http.StatusOK:
			return status, body
		case http.StatusNotFound, http.StatusGone:
			if path == statePath {
				w.Checker.checkNotFound(m)
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, body
}

func (w *World) get(host *virtualnet.Host, url string) (int, string) {
	ctx, cancel := context.WithTimeout(w.ctx, clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, ""
	}
	request.Host = hostname
	response, err := newClient(host, clientTimeout).Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}
