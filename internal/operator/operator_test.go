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

// asked is one request that a fake got.
type asked struct{ method, host, path, body string }

// fake answers requests without a network.
type fake struct {
	asked  []asked
	answer func(n int, a asked) (status int, header, body string, err error)
}

func (f *fake) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	a := asked{r.Method, r.URL.Host, r.URL.RequestURI(), string(body)}
	f.asked = append(f.asked, a)
	status, location, text, err := f.answer(len(f.asked), a)
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

// play runs a test with a client of the addresses a:1 and b:1, on a clock of its own.
func play(t *testing.T, answer func(n int, a asked) (int, string, string, error), f func(ctx context.Context, c *Client, is *is.I, asked *[]asked)) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fake{answer: answer}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f(ctx, New([]string{"a:1", "b:1"}, transport), is.New(t), &transport.asked)
	})
}

func TestDescribeFollowsThePrimary(t *testing.T) {
	play(t, func(n int, a asked) (int, string, string, error) {
		if a.host == "p:1" {
			return 200, "", `{"Revision":7}`, nil
		}
		return 307, "http://p:1" + a.path, "", nil
	}, func(ctx context.Context, c *Client, is *is.I, all *[]asked) {
		body, err := c.Describe(ctx)
		is.NoErr(err)
		is.Equal(string(body), `{"Revision":7}`)
		is.Equal(*all, []asked{{"GET", "a:1", "/config/describe", ""}, {"GET", "p:1", "/config/describe", ""}})
	})
}

// TestGoesOnWithoutClearAnswer has a process that is down, one that is busy, and one that sends in a circle.
func TestGoesOnWithoutClearAnswer(t *testing.T) {
	play(t, func(n int, a asked) (int, string, string, error) {
		switch n {
		case 1:
			return 0, "", "", errDown
		case 2:
			return 503, "", "no primary", nil
		case 3, 4, 5:
			return 307, "http://a:1" + a.path, "", nil
		}
		return 200, "", "{}", nil
	}, func(ctx context.Context, c *Client, is *is.I, all *[]asked) {
		start := time.Now()
		_, err := c.Describe(ctx)
		is.NoErr(err)
		is.Equal(len(*all), 6)
		is.Equal((*all)[5].host, "b:1")
		is.Equal(time.Since(start), firstPause)
	})
}

func TestNoAnswerNamesTheLastFailure(t *testing.T) {
	play(t, func(int, asked) (int, string, string, error) { return 503, "", "no primary", nil },
		func(ctx context.Context, c *Client, is *is.I, _ *[]asked) {
			_, err := c.Describe(ctx)
			var none *NoResponseError
			is.True(errors.As(err, &none))
			is.Equal(err.Error(), "no control process gave a clear answer (the last: b:1 answered 503: no primary); "+
				"check the addresses, and that most control processes run")
			is.True(ctx.Err() != nil)
		})
}

func TestNoAddress(t *testing.T) {
	is := is.New(t)
	_, err := New(nil, nil).Describe(t.Context())
	is.Equal(err.Error(), "no control process is named: give --control HOST:PORT, or a settings file with SeedNodes")
}

func TestRetirement(t *testing.T) {
	play(t, func(n int, a asked) (int, string, string, error) {
		switch {
		case a.method == "POST" && a.host == "a:1":
			return 307, "http://p:1" + a.path, "", nil // with its body
		case a.method == "POST":
			return 200, "", "", nil
		case n < 6:
			return 200, "", `{"State":"running"}`, nil
		}
		return 200, "", `{"State":"succeeded"}`, nil
	}, func(ctx context.Context, c *Client, is *is.I, all *[]asked) {
		is.NoErr(c.StartRetirement(ctx, "storage/1", 10*time.Second))
		is.Equal((*all)[1], asked{"POST", "p:1", "/retire/storage%2F1/start", `{"DurationS":10}`})
		is.NoErr(c.AwaitRetirement(ctx, "storage/1"))
		is.Equal(len(*all), 6)
	})
}

// TestRepeatedRetirement has an answer that is lost: the process says to the second try that the first is under way.
func TestRepeatedRetirement(t *testing.T) {
	play(t, func(n int, a asked) (int, string, string, error) {
		if n == 1 {
			return 0, "", "", errDown
		}
		return 409, "", "under way", nil
	}, func(ctx context.Context, c *Client, is *is.I, _ *[]asked) {
		is.NoErr(c.StartRetirement(ctx, "s1", time.Second))
		err := c.StartRetirement(ctx, "s1", time.Second) // the first try is refused: too few would remain
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(err.Error(), "refused with 409: under way")
	})
}

func TestAwaitRetirementEndsWithItsContext(t *testing.T) {
	play(t, func(int, asked) (int, string, string, error) { return 200, "", `{"State":"running"}`, nil },
		func(ctx context.Context, c *Client, is *is.I, _ *[]asked) {
			err := c.AwaitRetirement(ctx, "s1")
			is.True(err != nil)
		})
}

func TestStatusPrefersThePrimary(t *testing.T) {
	for _, primaryUp := range []bool{true, false} {
		play(t, func(n int, a asked) (int, string, string, error) {
			switch {
			case a.host == "a:1":
				return 200, "", `{"Node":"edge-1/control","PrimaryPlane":"p:1","Primary":"edge-2/d"}`, nil
			case primaryUp:
				return 200, "", `{"Node":"edge-2/control","Active":true}`, nil
			}
			return 0, "", "", errDown
		}, func(ctx context.Context, c *Client, is *is.I, _ *[]asked) {
			s, err := c.Status(ctx)
			is.NoErr(err)
			is.Equal(s.Active, primaryUp)
		})
	}
}
