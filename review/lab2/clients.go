package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sent is one try of a client: a message of its own id.
type sent struct {
	id, name   string // the id of the request; the name that the system gave the message
	path, key  string
	body       string // hash
	at         time.Duration
	answeredAt time.Duration
	status     int // 0 without an answer
}

// accepted reports whether the message is the system's to keep.
func (s *sent) accepted() bool { return s.status == http.StatusAccepted }

// clients send messages and ask for their states.
type clients struct {
	record *record
	http   *http.Client
	host   string

	mu   sync.Mutex
	sent []*sent
}

func newClients(r *record, host string) *clients {
	return &clients{record: r, host: host, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// send sends a message, once.
func (c *clients) send(ctx context.Context, to, path, key string, body []byte, header map[string]string) *sent {
	s := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, key: key, body: hashOf(body), at: c.record.since()}
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return s
	}
	request.Host = c.host
	request.Header.Set("X-Request-Id", s.id)
	request.Header.Set("X-Deadline-Ms", "500")
	if key != "" {
		request.Header.Set("X-Ordering-Key", key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		s.name = response.Header.Get("X-Message-Id")
		if s.name == "" {
			s.name = s.id
		}
		s.status = response.StatusCode
	}
	s.answeredAt = c.record.since()
	c.record.add("client", fmt.Sprintf("%s %s key %q to %s: %d", s.id, path, key, to, s.status))
	return s
}

// stream sends messages at a steady rate until the context ends; after a promise a message is sent again under a new id, twice at most.
func (c *clients) stream(ctx context.Context, wait *sync.WaitGroup, frontends []string, path string, perSecond int, keys int) {
	wait.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			key := ""
			if keys > 0 {
				key = "thing-" + strconv.Itoa(n%keys)
			}
			wait.Go(func() {
				for try := range 3 {
					s := c.send(context.Background(), frontends[(n+try)%len(frontends)], path, key, []byte("message "+strconv.Itoa(n)), nil)
					if s.status != http.StatusTooManyRequests && s.status != http.StatusServiceUnavailable {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	})
}

// all returns a copy of what was sent.
func (c *clients) all() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.sent...)
}

// hashOf returns a short hash of a body.
func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:6])
}

// state asks for the state of a message, again after each failure.
func (c *clients) state(frontends []string, s *sent) (state, signature string, status int) {
	for try := range 20 {
		request, err := http.NewRequest(http.MethodGet, "http://"+frontends[try%len(frontends)]+"/message/"+s.name, nil)
		if err != nil {
			return "", "", 0
		}
		request.Host = c.host
		response, err := c.http.Do(request)
		if err != nil {
			continue
		}
		var answer struct{ State, Signature string }
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		status = response.StatusCode
		if status == http.StatusOK && err == nil {
			return answer.State, answer.Signature, status
		}
		if status == http.StatusNotFound {
			return "", "", status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", "", status
}
