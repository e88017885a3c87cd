// Package operator is the client side of the operator's API: it asks any control process, follows it to the primary, and goes on to
// another when there is no clear answer.
package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// How calls are repeated. The pause grows from the first to the last by doubling, each time that every address was asked in vain.
const (
	mostRedirects  = 2
	callTimeout    = 2 * time.Second
	slowTimeout    = 30 * time.Second
	firstPause     = 100 * time.Millisecond
	lastPause      = time.Second
	mostAnswer     = 64 << 20
	mostErrorBytes = 300
)

// Client asks control processes. It may be used by several goroutines.
type Client struct {
	addresses []string
	http      http.Client
	slow      http.Client // for calls that write or read the whole state
}

// New returns a client of the control processes with these ControlPlane addresses. A nil transport is one of the client's own.
func New(addresses []string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{ResponseHeaderTimeout: slowTimeout}
	}
	return &Client{
		addresses: addresses,
		http:      http.Client{Transport: transport, Timeout: callTimeout, CheckRedirect: checkRedirect},
		slow:      http.Client{Transport: transport, Timeout: slowTimeout, CheckRedirect: checkRedirect},
	}
}

func checkRedirect(_ *http.Request, via []*http.Request) error {
	if len(via) > mostRedirects {
		return errors.Newf("redirected more than %d times", mostRedirects)
	}
	return nil
}

// RefusedError is a clear no to a call.
type RefusedError struct {
	Status int
	Text   string // what the process said
}

// Error returns the status and what the process said.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused with %d: %s", e.Status, e.Text) }

// NoResponseError tells that no control process gave a clear answer in time.
type NoResponseError struct{ Last error }

// Error names the last failure and the remedy.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no control process gave a clear answer (the last: %v); check the addresses, and that most control processes run", e.Last)
}

// Unwrap returns the last failure.
func (e *NoResponseError) Unwrap() error { return e.Last }

// unclear tells whether an answer says neither yes nor no.
func unclear(status int) bool {
	return status >= 500 || status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status < 200 ||
		status >= 300 && status < 400
}

// call sends a request to the addresses in turn until one gives a clear answer or the context ends. It also tells whether the call was sent more
// than once.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (answer []byte, repeated bool, err error) {
	if len(c.addresses) == 0 {
		return nil, false, errors.New("no control process is named: give --control HOST:PORT, or a settings file with SeedNodes")
	}
	last := errors.New("none was asked")
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		for _, address := range c.addresses {
			if ctx.Err() != nil {
				return nil, repeated, &NoResponseError{Last: last}
			}
			answer, err := c.callOne(ctx, method, address, path, body)
			var refused *RefusedError
			if err == nil || errors.As(err, &refused) {
				return answer, repeated, err
			}
			last, repeated = err, true
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// callOne sends a request to one address. The error is a *RefusedError if the answer is a clear no.
func (c *Client) callOne(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	return callWith(ctx, &c.http, method, address, path, body)
}

func callWith(ctx context.Context, client *http.Client, method, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer))
	if err != nil {
		return nil, err
	}
	if unclear(response.StatusCode) {
		return nil, errors.Newf("%s answered %d: %s", address, response.StatusCode, firstBytes(answer))
	}
	if response.StatusCode >= 400 {
		return nil, &RefusedError{Status: response.StatusCode, Text: firstBytes(answer)}
	}
	return answer, nil
}

func firstBytes(answer []byte) string {
	return strings.Join(strings.Fields(string(answer[:min(len(answer), mostErrorBytes)])), " ")
}
