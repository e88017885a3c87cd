// Package http1 reads and writes the subset of HTTP/1.1 that the dispatcher uses. Whatever a peer sends, the memory kept
// for it is bounded: for a head by MaxHead, for a body by the caller.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"liftgauge/internal/budget"
)

// Limits of what is read.
const (
	MaxHead    = 8 << 10 // bytes of a head: its start line and all fields
	MaxFields  = 64
	MaxTrailer = 1 << 10
	MaxBody    = 64 << 10 // maximum size in bytes of a body in this protocol
)

// Error is a violation of the protocol, with the status to answer it with.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, StatusText(e.Status), e.Reason)
}

func protocolError(reason string) error { return &Error{400, reason} }

// Errors that callers distinguish.
var (
	ErrTooLarge     = &Error{413, "body too large"}
	ErrHeadTooLarge = &Error{431, "head too large"}
)

// Field is one header field.
type Field struct{ Name, Value string }

// Fields are header fields in their order.
type Fields []Field

// Get returns the first value of a field and how often the field occurs. Names are case-insensitive.
func (f Fields) Get(name string) (value string, n int) {
	for i := range f {
		if equalFold(f[i].Name, name) {
			if n++; n == 1 {
				value = f[i].Value
			}
		}
	}
	return value, n
}

// Has reports whether a comma-separated field contains the token.
func (f Fields) Has(name, token string) bool {
	for i := range f {
		if !equalFold(f[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f[i].Value, ",") {
			if equalFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

func equalFold(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range len(a) {
		if lower(a[i]) != lower(b[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// Head is the part that the heads of requests and responses share.
type Head struct {
	Fields  Fields
	Length  int64 // of the body; -1 if it is chunked or, in a response, ends with the connection
	Chunked bool
	Close   bool // the connection ends after this message
}

// Request is the head of a request.
type Request struct {
	Head
	Method, Target, Path string // Path is the target without its query
}

// Response is the head of a response.
type Response struct {
	Head
	Status int
}

// Reader reads messages from one connection.
type Reader struct {
	*bufio.Reader
	line []byte
}

// NewReader returns a Reader of r. A head may be longer than its buffer, up to MaxHead.
func NewReader(r io.Reader) *Reader { return &Reader{Reader: bufio.NewReaderSize(r, 4<<10)} }

// readLine returns a line without its line ending and subtracts its size from the remaining bytes.
func (r *Reader) readLine(remaining *int) ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.ReadSlice('\n')
		if *remaining -= len(part); *remaining < 0 {
			return nil, ErrHeadTooLarge
		}
		r.line = append(r.line, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			if err == io.EOF && len(r.line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		line := r.line[:len(r.line)-1]
		if n := len(line); n > 0 && line[n-1] == '\r' {
			line = line[:n-1]
		}
		if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
			return nil, protocolError("control byte in a line")
		}
		return line, nil
	}
}

// ReadRequest reads the head of a request. It returns io.EOF if the connection ended between requests.
func (r *Reader) ReadRequest() (*Request, error) {
	remaining := MaxHead
	line, err := r.readLine(&remaining)
	for blank := 0; err == nil && len(line) == 0 && blank < 2; blank++ { // an extra line ending after a body
		line, err = r.readLine(&remaining)
	}
	if err != nil {
		return nil, err
	}
	method, rest, ok1 := bytes.Cut(line, []byte{' '})
	target, version, ok2 := bytes.Cut(rest, []byte{' '})
	if !ok1 || !ok2 || !isToken(method) || !isTarget(target) {
		return nil, protocolError("malformed request line")
	}
	q := &Request{Method: string(method), Target: string(target)}
	path, _, _ := bytes.Cut([]byte(q.Target), []byte{'?'})
	q.Path = string(path)
	minor, err := minorVersion(version)
	if err != nil {
		return nil, err
	}
	if err := r.readFields(&q.Head, &remaining, minor); err != nil {
		return nil, err
	}
	if q.Length < 0 && !q.Chunked {
		q.Length = 0
	}
	return q, nil
}

// ReadResponse reads the head of a response.
func (r *Reader) ReadResponse() (*Response, error) {
	remaining := MaxHead
	line, err := r.readLine(&remaining)
	if err != nil {
		return nil, err
	}
	version, rest, _ := bytes.Cut(line, []byte{' '})
	minor, err := minorVersion(version)
	if err != nil {
		return nil, err
	}
	code, _, _ := bytes.Cut(rest, []byte{' '})
	p := &Response{}
	if p.Status, err = strconv.Atoi(string(code)); err != nil || len(code) != 3 || p.Status < 100 {
		return nil, protocolError("malformed status line")
	}
	if err := r.readFields(&p.Head, &remaining, minor); err != nil {
		return nil, err
	}
	switch {
	case p.Status < 200 || p.Status == 204 || p.Status == 304:
		p.Length, p.Chunked = 0, false
	case p.Length < 0 && !p.Chunked:
		p.Close = true // the body ends with the connection
	}
	return p, nil
}

func minorVersion(version []byte) (int, error) {
	switch string(version) {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	return 0, protocolError("unknown version")
}

// readFields reads the header fields and determines the framing of the body. Anything that two readers might interpret
// differently is rejected: it could smuggle a second request in the body of the first.
func (r *Reader) readFields(h *Head, remaining *int, minor int) error {
	h.Length = -1
	for {
		line, err := r.readLine(remaining)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || !isToken(name) { // also rejects a folded line, which starts with a blank
			return protocolError("malformed field")
		}
		if len(h.Fields) == MaxFields {
			return ErrHeadTooLarge
		}
		h.Fields = append(h.Fields, Field{string(name), string(bytes.Trim(value, " \t"))})
	}
	coding, codings := h.Fields.Get("Transfer-Encoding")
	length, lengths := h.Fields.Get("Content-Length")
	switch {
	case codings > 0 && (lengths > 0 || codings > 1 || !equalFold(coding, "chunked") || minor == 0):
		return protocolError("conflicting or unknown framing")
	case codings > 0:
		h.Chunked = true
	case lengths > 1:
		return protocolError("more than one Content-Length")
	case lengths == 1:
		n, err := parseDigits(length)
		if err != nil {
			return protocolError("bad Content-Length")
		}
		h.Length = n
	}
	h.Close = h.Fields.Has("Connection", "close") || minor == 0 && !h.Fields.Has("Connection", "keep-alive")
	return nil
}

func parseDigits(s string) (int64, error) {
	if s == "" || len(s) > 18 {
		return 0, errors.New("length is empty or has more than 18 digits")
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' { // a sign is rejected too
			return 0, errors.New("length has a character that is not a digit")
		}
	}
	return strconv.ParseInt(s, 10, 64)
}

func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

func isTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0 && b[0] == '/'
}

// BodySize returns the size of the body: the declared length, or the given maximum if none is declared.
func (h *Head) BodySize(limit int) (int, error) {
	if h.Length > int64(limit) {
		return 0, ErrTooLarge
	}
	if h.Length < 0 {
		return limit, nil
	}
	return int(h.Length), nil
}

// ReadBodyInto reads the whole body of a message into a buffer of at least BodySize bytes.
func (r *Reader) ReadBodyInto(h *Head, buf []byte) ([]byte, error) {
	if h.Length >= 0 {
		body := buf[:h.Length]
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, unexpected(err)
		}
		return body, nil
	}
	stream, n := r.Body(h), 0
	for n < len(buf) {
		m, err := stream.Read(buf[n:])
		if n += m; err == io.EOF {
			return buf[:n], nil
		} else if err != nil {
			return nil, err
		}
	}
	if n, err := stream.Read(make([]byte, 1)); n > 0 {
		return nil, ErrTooLarge
	} else if err != io.EOF {
		return nil, err
	}
	return buf, nil
}

// SkipBody reads and discards the body of a message.
func (r *Reader) SkipBody(h *Head, limit int) error {
	if h.Length > int64(limit) {
		return ErrTooLarge
	}
	if h.Length >= 0 {
		_, err := r.Discard(int(h.Length))
		return unexpected(err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body(h), int64(limit)+1))
	if err == nil && n > int64(limit) {
		return ErrTooLarge
	}
	return err
}

// ReadBody reads the whole body of a message, up to a maximum size. It allocates memory for what arrives, not for the
// declared length.
func (r *Reader) ReadBody(h *Head, limit int) ([]byte, error) {
	if h.Length > int64(limit) {
		return nil, ErrTooLarge
	}
	if h.Length == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body(h), int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, ErrTooLarge
	}
	if h.Length > int64(len(body)) {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Body returns a stream of a message's body.
func (r *Reader) Body(h *Head) io.Reader {
	switch {
	case h.Chunked:
		return &chunkedReader{r: r}
	case h.Length >= 0:
		return io.LimitReader(r, h.Length)
	}
	return r
}

// chunkedReader decodes a chunked body.
type chunkedReader struct {
	r         *Reader
	remaining int64
	chunkOpen bool // a chunk has been started and its line ending is still to be read
	err       error
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.err == nil && c.remaining == 0 {
		c.err = c.next()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.remaining)])
	if c.remaining -= int64(n); err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

// next reads the size line of a chunk, and after the last chunk the trailer.
func (c *chunkedReader) next() error {
	remaining := MaxTrailer
	if c.chunkOpen {
		if line, err := c.line(&remaining); err != nil || len(line) > 0 {
			return errorOr(err, "chunk without an end")
		}
	}
	c.chunkOpen = true
	line, err := c.line(&remaining)
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte{';'})
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > 8 {
		return protocolError("bad length of a chunk")
	}
	for _, d := range size {
		v := strings.IndexByte("0123456789abcdef", lower(d))
		if v < 0 {
			return protocolError("bad length of a chunk")
		}
		c.remaining = c.remaining<<4 | int64(v)
	}
	if c.remaining > 0 {
		return nil
	}
	for {
		if line, err := c.line(&remaining); err != nil {
			return err
		} else if len(line) == 0 {
			return io.EOF
		}
	}
}

func (c *chunkedReader) line(remaining *int) ([]byte, error) {
	line, err := c.r.readLine(remaining)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return line, err
}

func errorOr(err error, reason string) error {
	if err != nil {
		return err
	}
	return protocolError(reason)
}

// AppendRequest appends a request with its body. Fields are written unchanged.
func AppendRequest(b []byte, method, target string, fields Fields, body []byte) []byte {
	return append(AppendRequestHead(b, method, target, fields, len(body)), body...)
}

// AppendResponse appends a response with its body.
func AppendResponse(b []byte, status int, fields Fields, body []byte) []byte {
	return append(AppendResponseHead(b, status, fields, len(body)), body...)
}

// AppendRequestHead appends the head of a request; its body must follow.
func AppendRequestHead(b []byte, method, target string, fields Fields, body int) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	return finishHead(b, fields, body, body > 0 || method == "POST")
}

// AppendResponseHead appends the head of a response; its body must follow.
func AppendResponseHead(b []byte, status int, fields Fields, body int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, StatusText(status)...)
	b = append(b, "\r\n"...)
	return finishHead(b, fields, body, status >= 200 && status != 204)
}

func finishHead(b []byte, fields Fields, body int, length bool) []byte {
	for _, f := range fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if length {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(body), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// StatusText returns the reason phrase of a status that the dispatcher uses.
func StatusText(status int) string {
	switch status {
	case 100:
		return "Continue"
	case 200:
		return "OK"
	case 204:
		return "No Content"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 409:
		return "Conflict"
	case 413:
		return "Content Too Large"
	case 431:
		return "Request Header Fields Too Large"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	}
	return "Status"
}

// Call is a request to be forwarded: everything that must reach the other side byte for byte.
type Call struct {
	ID             string
	Method, Target string
	Fields         Fields
	Body           []byte
	Reservation    *budget.Reservation // memory accounted for Body, shared by the users of the call; may be nil
}
