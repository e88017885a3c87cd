package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// receivedRequest is one request that a fake received.
type receivedRequest struct{ method, host, path, body string }

// fake is a transport that responds to requests without a network.
type fake struct {
	received []receivedRequest
	respond  func(n int, r receivedRequest) (status int, header, body string, err error)
}

func (f *fake) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	request := receivedRequest{r.Method, r.URL.Host, r.URL.RequestURI(), string(body)}
	f.received = append(f.received, request)
	status, location, text, err := f.respond(len(f.received), request)
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	if location != "" {
		header.Set("Location", location)
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(text)), Request: r}, nil
}

var errDown = errors.New("connection refused")

// runWithClient runs a test in a synctest bubble with a client of the addresses a:1 and b:1.
func runWithClient(t *testing.T, respond func(n int, r receivedRequest) (int, string, string, error),
	f func(ctx context.Context, c *Client, is *is.I, received *[]receivedRequest)) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fake{respond: respond}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f(ctx, New([]string{"a:1", "b:1"}, transport), is.New(t), &transport.received)
	})
}

func TestDescribeFollowsRedirectToPrimary(t *testing.T) {
	runWithClient(t, func(n int, a receivedRequest) (int, string, string, error) {
		if a.host == "p:1" {
			return 200, "", `{"Revision":7}`, nil
		}
		return 307, "http://p:1" + a.path, "", nil
	}, func(ctx context.Context, c *Client, is *is.I, all *[]receivedRequest) {
		body, err := c.Describe(ctx)
		is.NoErr(err)
		is.Equal(string(body), `{"Revision":7}`)
		is.Equal(*all, []receivedRequest{{"GET", "a:1", "/config/describe", ""}, {"GET", "p:1", "/config/describe", ""}})
	})
}

// TestInconclusiveResponseTriesNextAddress covers a process that is down, one that responds with 503, and a redirect loop.
func TestInconclusiveResponseTriesNextAddress(t *testing.T) {
	runWithClient(t, func(n int, a receivedRequest) (int, string, string, error) {
		switch n {
		case 1:
			return 0, "", "", errDown
		case 2:
			return 503, "", "no primary", nil
		case 3, 4, 5:
			return 307, "http://a:1" + a.path, "", nil
		}
		return 200, "", "{}", nil
	}, func(ctx context.Context, c *Client, is *is.I, all *[]receivedRequest) {
		start := time.Now()
		_, err := c.Describe(ctx)
		is.NoErr(err)
		is.Equal(len(*all), 6)
		is.Equal((*all)[5].host, "b:1")
		is.Equal(time.Since(start), initialPause)
	})
}

func TestNoResponseErrorNamesLastFailure(t *testing.T) {
	runWithClient(t, func(int, receivedRequest) (int, string, string, error) { return 503, "", "no primary", nil },
		func(ctx context.Context, c *Client, is *is.I, _ *[]receivedRequest) {
			_, err := c.Describe(ctx)
			var none *NoResponseError
			is.True(errors.As(err, &none))
			is.Equal(err.Error(), "no control process gave a clear answer (the last: b:1 answered 503: no primary); "+
				"check the addresses, and that most control processes run")
			is.True(ctx.Err() != nil)
		})
}

func TestCallWithoutAddressFails(t *testing.T) {
	is := is.New(t)
	_, err := New(nil, nil).Describe(t.Context())
	is.Equal(err.Error(), "no control process is named: give --control HOST:PORT, or a settings file with SeedNodes")
}

func TestRetirement(t *testing.T) {
	runWithClient(t, func(n int, a receivedRequest) (int, string, string, error) {
		switch {
		case a.method == "POST" && a.host == "a:1":
			return 307, "http://p:1" + a.path, "", nil // the redirect keeps the body
		case a.method == "POST":
			return 200, "", "", nil
		case n < 6:
			return 200, "", `{"State":"running"}`, nil
		}
		return 200, "", `{"State":"succeeded"}`, nil
	}, func(ctx context.Context, c *Client, is *is.I, all *[]receivedRequest) {
		is.NoErr(c.StartRetirement(ctx, "storage/1", 10*time.Second))
		is.Equal((*all)[1], receivedRequest{"POST", "p:1", "/retire/storage%2F1/start", `{"DurationS":10}`})
		is.NoErr(c.AwaitRetirement(ctx, "storage/1"))
		is.Equal(len(*all), 6)
	})
}

// TestConflictAfterRetryOfRetirementIsSuccess loses the response to the first attempt: the second attempt is rejected with 409 because the
// first has started the retirement, which counts as success.
func TestConflictAfterRetryOfRetirementIsSuccess(t *testing.T) {
	runWithClient(t, func(n int, a receivedRequest) (int, string, string, error) {
		if n == 1 {
			return 0, "", "", errDown
		}
		return 409, "", "under way", nil
	}, func(ctx context.Context, c *Client, is *is.I, _ *[]receivedRequest) {
		is.NoErr(c.StartRetirement(ctx, "s1", time.Second))
		err := c.StartRetirement(ctx, "s1", time.Second) // the first attempt is rejected: too few machines would remain
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(err.Error(), "refused with 409: under way")
	})
}

func TestAwaitRetirementEndsWithItsContext(t *testing.T) {
	runWithClient(t, func(int, receivedRequest) (int, string, string, error) { return 200, "", `{"State":"running"}`, nil },
		func(ctx context.Context, c *Client, is *is.I, _ *[]receivedRequest) {
			err := c.AwaitRetirement(ctx, "s1")
			is.True(err != nil)
		})
}

func TestStatusPrefersThePrimary(t *testing.T) {
	for _, primaryUp := range []bool{true, false} {
		runWithClient(t, func(n int, a receivedRequest) (int, string, string, error) {
			switch {
			case a.host == "a:1":
				return 200, "", `{"Node":"edge-1/control","PrimaryPlane":"p:1","Primary":"edge-2/d"}`, nil
			case primaryUp:
				return 200, "", `{"Node":"edge-2/control","Active":true}`, nil
			}
			return 0, "", "", errDown
		}, func(ctx context.Context, c *Client, is *is.I, _ *[]receivedRequest) {
			s, err := c.Status(ctx)
			is.NoErr(err)
			is.Equal(s.Active, primaryUp)
		})
	}
}
