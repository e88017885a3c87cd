package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// message is one try of a client.
type message struct {
	id, name, host, uri, key string
	delay                    time.Duration
	body                     []byte
	sent, answered           time.Time
	status                   int
	front                    string
}

// clients hand in messages and keep what was answered.
type clients struct {
	fleet  *fleet
	record *record
	client *http.Client

	mu       sync.Mutex
	messages []*message
	ready    []string
}

func newClients(f *fleet) *clients {
	return &clients{fleet: f, record: f.record, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// watch asks each second which dispatchers are ready, as the platform does.
func (c *clients) watch(ctx context.Context) {
	misses := map[string]int{}
	for ctx.Err() == nil {
		fronts, readiness := c.fleet.fronts()
		var ready []string
		for i := range fronts {
			one, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			request, _ := http.NewRequestWithContext(one, http.MethodGet, "http://"+readiness[i]+"/readiness", nil)
			response, err := c.client.Do(request)
			misses[fronts[i]]++
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					misses[fronts[i]] = 0
				}
			}
			cancel()
			if misses[fronts[i]] < 2 {
				ready = append(ready, fronts[i])
			}
		}
		c.mu.Lock()
		c.ready = ready
		c.mu.Unlock()
		sleep(ctx, time.Second)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// front picks a ready dispatcher.
func (c *clients) front(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return ""
	}
	return c.ready[n%len(c.ready)]
}

// send hands in one message at a dispatcher.
func (c *clients) send(m *message, front string, deadline time.Duration) {
	m.id, m.front = newID(), front
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+m.uri, bytes.NewReader(m.body))
	if err != nil {
		return
	}
	request.Host = m.host
	request.Header.Set("X-Request-Id", m.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if m.key != "" {
		request.Header.Set("X-Ordering-Key", m.key)
	}
	if m.delay > 0 {
		request.Header.Set("X-Delay-Ms", fmt.Sprint(m.delay.Milliseconds()))
	}
	m.sent = time.Now()
	c.record.note("client sends %s %s key %q delay %v, %d bytes, to %s", m.id, m.uri, m.key, m.delay, len(m.body), front)
	response, err := c.client.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		m.status, m.name = response.StatusCode, response.Header.Get("X-Message-Id")
		if m.name == "" {
			m.name = m.id
		}
	}
	m.answered = time.Now()
	c.record.note("client gets %d for %s (%v), named %q", m.status, m.id, err, m.name)
	c.mu.Lock()
	c.messages = append(c.messages, m)
	c.mu.Unlock()
}

// accepted lists the messages with a 202.
func (c *clients) accepted() (all []*message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.messages {
		if m.status == http.StatusAccepted {
			all = append(all, m)
		}
	}
	return all
}

// statuses counts the answers to messages sent from a moment on.
func (c *clients) statuses(from time.Time) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, m := range c.messages {
		if !m.sent.Before(from) {
			counts[m.status]++
		}
	}
	return counts
}

// ask asks dispatchers for a state or a body until one answers with another status than 503.
func (c *clients) ask(path, host string, tries int) (status int, body []byte) {
	fronts, _ := c.fleet.fronts()
	for try := range tries {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fronts[try%len(fronts)]+path, nil)
		request.Host = host
		response, err := c.client.Do(request)
		if err == nil {
			status = response.StatusCode
			body, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		cancel()
		if err == nil && status != http.StatusServiceUnavailable {
			return status, body
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, nil
}

// operator gives an order to control until it is answered clearly.
func (c *clients) operator(method, path string, base int, body string, within time.Duration) (status int, answer []byte, err error) {
	until := time.Now().Add(within)
	targets := c.fleet.controls()
	for try := 0; time.Now().Before(until); try++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, e := http.NewRequestWithContext(ctx, method, "http://"+targets[try%len(targets)]+path, bytes.NewReader([]byte(body)))
		if e != nil {
			cancel()
			return 0, nil, e
		}
		request.Header.Set("Content-Type", "application/json")
		if base >= 0 {
			request.Header.Set("X-Base-Version", fmt.Sprint(base))
		}
		response, e := c.client.Do(request)
		if e == nil {
			answer, _ = io.ReadAll(response.Body)
			response.Body.Close()
			status = response.StatusCode
		}
		cancel()
		c.record.note("operator %s %s base %d at %s: %d %v", method, path, base, targets[try%len(targets)], status, e)
		if e == nil && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return status, answer, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, nil, errors.New("no clear answer to the operator")
}

// awaitReady waits until all dispatchers are ready.
func (c *clients) awaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	fronts, _ := c.fleet.fronts()
	for time.Now().Before(until) {
		c.mu.Lock()
		n := len(c.ready)
		c.mu.Unlock()
		if n == len(fronts) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the dispatchers are not ready")
}
