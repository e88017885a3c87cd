package ingress

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"liftgauge/configuration"
	"liftgauge/internal/protocol"
)

const (
	defaultDeadline = 500 * time.Millisecond // of a client that sets none
	maxDeadline     = 3 * time.Second
	maxDelay        = 365 * 24 * time.Hour
	bodyTimeout     = 10 * time.Second // to receive a body
	maxHostLength   = 255
)

// droppedHeaders are header fields that belong to the connection, or are carried by other fields of protocol.Accept.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
	headerRequestID: true, headerOrderingKey: true, headerDelay: true, headerDeadline: true, headerInstance: true,
}

// forwardedHeaders returns the header fields that are forwarded to the worker.
func forwardedHeaders(header http.Header) []protocol.Header {
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var kept []protocol.Header
	for name, values := range header {
		if droppedHeaders[name] || named[name] {
			continue
		}
		for _, value := range values {
			kept = append(kept, protocol.Header{Name: name, Value: value})
		}
	}
	return kept
}

// headerBytes returns the approximate size of a request's head as it arrived.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// readMilliseconds parses a header field; ok is false if it is not a number of milliseconds.
func readMilliseconds(header http.Header, name string, limit time.Duration) (d time.Duration, present, ok bool) {
	values, present := header[name]
	if !present {
		return 0, false, true
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if len(values) > 1 || err != nil || math.IsNaN(ms) || ms < 0 {
		return 0, true, false
	}
	if ms >= float64(limit.Milliseconds()) {
		return limit, true, true
	}
	return time.Duration(ms * float64(time.Millisecond)), true, true
}

// deadlineOf returns how long the client waits.
func deadlineOf(header http.Header) time.Duration {
	d, present, ok := readMilliseconds(header, headerDeadline, maxDeadline)
	if !present || !ok || d == 0 {
		return defaultDeadline
	}
	return d
}

// readBody reads the whole body. status is the response status if that is not possible, else 0.
func readBody(w http.ResponseWriter, r *http.Request, limits *configuration.Limits) (body []byte, status int) {
	limit := int64(limits.MaxBodyBytes)
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	// The server sets another deadline for the next request.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, http.StatusBadRequest
		}
		return body, 0
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case int64(len(body)) > limit:
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// formatRetryAfter returns a value for Retry-After in seconds, rounded up to tenths: the clients' protocol allows whole and decimal values,
// and most waits here are shorter than a second, as are the clients' deadlines.
func formatRetryAfter(wait time.Duration) string {
	const tenth = time.Second / 10
	tenths := max(1, (wait+tenth-1)/tenth)
	return strconv.FormatFloat((tenths * tenth).Seconds(), 'f', -1, 64)
}
