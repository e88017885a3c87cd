// Package operator implements the client of the operators' HTTP API: it sends requests to any control process, follows redirects to the
// primary, and tries the next process if there is no conclusive response.
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

// Limits of calls and retries. The pause between retries doubles from initialPause to maxPause, each time that all addresses have failed.
const (
	maxRedirects     = 2
	callTimeout      = 2 * time.Second
	slowTimeout      = 30 * time.Second
	initialPause     = 100 * time.Millisecond
	maxPause         = time.Second
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 300
)

// Client calls control processes. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      http.Client
	slow      http.Client // for calls that write or read the complete state
}

// New returns a client of the control processes with these ControlPlane addresses. If the transport is nil, the client creates one.
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
	if len(via) > maxRedirects {
		return errors.Newf("redirected more than %d times", maxRedirects)
	}
	return nil
}

// RefusedError reports that a control process rejected a call.
type RefusedError struct {
	Status int
	Text   string // start of the response body
}

// Error returns the status and the text of the response.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused with %d: %s", e.Status, e.Text) }

// NoResponseError reports that no control process gave a conclusive response in time.
type NoResponseError struct{ Last error }

// Error names the last failure and tells the operator what to check.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no control process gave a clear answer (the last: %v); check the addresses, and that most control processes run", e.Last)
}

// Unwrap returns the last failure.
func (e *NoResponseError) Unwrap() error { return e.Last }

// inconclusive reports whether a response with the status neither confirms nor rejects the call.
func inconclusive(status int) bool {
	return status >= 500 || status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status < 200 ||
		status >= 300 && status < 400
}

// call sends a request to the addresses in turn until one gives a conclusive response or the context ends. It also reports whether the call
// was sent more than once.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (response []byte, repeated bool, err error) {
	if len(c.addresses) == 0 {
		return nil, false, errors.New("no control process is named: give --control HOST:PORT, or a settings file with SeedNodes")
	}
	last := errors.New("no request was sent")
	for pause := initialPause; ; pause = min(2*pause, maxPause) {
		for _, address := range c.addresses {
			if ctx.Err() != nil {
				return nil, repeated, &NoResponseError{Last: last}
			}
			response, err := c.callOne(ctx, method, address, path, body)
			var refused *RefusedError
			if err == nil || errors.As(err, &refused) {
				return response, repeated, err
			}
			last, repeated = err, true
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// callOne sends a request to one address. The error is a *RefusedError if the process rejects the call.
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if inconclusive(response.StatusCode) {
		return nil, errors.Newf("%s answered %d: %s", address, response.StatusCode, firstBytes(content))
	}
	if response.StatusCode >= 400 {
		return nil, &RefusedError{Status: response.StatusCode, Text: firstBytes(content)}
	}
	return content, nil
}

func firstBytes(content []byte) string {
	return strings.Join(strings.Fields(string(content[:min(len(content), maxErrorBytes)])), " ")
}
