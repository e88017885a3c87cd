package delivery

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	maxResponseBytes       = 16 << 20 // a longer response body is treated as truncated
	maxResponseHeaderBytes = 64 << 10
	// maxDroppedResponses limits the responses to other requests that are dropped in a row: a worker repeats one or two.
	maxDroppedResponses = 16
)

var (
	errResponseTooLong    = errors.New("delivery: the worker's response is too long: have the service send a shorter one")
	errIncompleteResponse = errors.New("delivery: the connection ended within a response: the message may have run")
)

// responseReader reads the responses on a connection, each to its end.
type responseReader struct {
	source   io.LimitedReader // the connection; limits the length of a head
	buffered *bufio.Reader    // over source
}

func newResponseReader(connection io.Reader) *responseReader {
	r := &responseReader{source: io.LimitedReader{R: connection}}
	r.buffered = bufio.NewReaderSize(&r.source, readBuffer)
	return r
}

// next waits for a response and reads it. Nobody needs its body, which is discarded. requestMethod returns the method of the current request, on
// which the response's length depends.
func (r *responseReader) next(requestMethod func() string) (*http.Response, error) {
	r.source.N = maxResponseHeaderBytes
	if _, err := r.buffered.Peek(1); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(r.buffered, &http.Request{Method: requestMethod()})
	if err != nil {
		return nil, errors.Mark(err, errIncompleteResponse)
	}
	r.source.N = math.MaxInt64
	if err := discard(response.Body); err != nil {
		return nil, errors.Mark(err, errIncompleteResponse)
	}
	return response, nil
}

func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxResponseBytes+1))
	if err == nil && n > maxResponseBytes {
		return errResponseTooLong
	}
	return err
}

// encodeHead encodes a response whose body was discarded.
func encodeHead(response *http.Response) ([]byte, error) {
	response.Body, response.ContentLength, response.TransferEncoding, response.Trailer = http.NoBody, 0, nil, nil
	var head bytes.Buffer
	if err := response.Write(&head); err != nil {
		return nil, err
	}
	return head.Bytes(), nil
}
