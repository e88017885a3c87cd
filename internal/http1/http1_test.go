package http1

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func read(text string) (*Request, []byte, error) {
	r := NewReader(iotest.OneByteReader(strings.NewReader(text)))
	q, err := r.ReadRequest()
	if err != nil {
		return nil, nil, err
	}
	body, err := r.ReadBody(&q.Head, MaxBody)
	return q, body, err
}

func TestRequests(t *testing.T) {
	long := strings.Repeat("x", MaxBody+1)
	for name, c := range map[string]struct {
		text   string
		status int // 0: accepted, -1: truncated
		body   string
	}{
		"plain":              {"POST /a?b=c HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 3\r\n\r\nabc", 0, "abc"},
		"no body":            {"GET /-/ready HTTP/1.1\r\n\r\n", 0, ""},
		"bare line ends":     {"GET / HTTP/1.1\nA: b\n\n", 0, ""},
		"chunks":             {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\n", 0, "abc"},
		"no version":         {"GET /\r\n\r\n", 400, ""},
		"other version":      {"GET / HTTP/2.0\r\n\r\n", 400, ""},
		"no path":            {"GET http://x/ HTTP/1.1\r\n\r\n", 400, ""},
		"two blanks":         {"GET  / HTTP/1.1\r\n\r\n", 400, ""},
		"blank before colon": {"GET / HTTP/1.1\r\nA : b\r\n\r\n", 400, ""},
		"folded":             {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400, ""},
		"no colon":           {"GET / HTTP/1.1\r\nAb\r\n\r\n", 400, ""},
		"control byte":       {"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", 400, ""},
		"two lengths":        {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400, ""},
		"signed length":      {"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", 400, ""},
		"huge length":        {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\nabc", 400, ""},
		"length and chunks":  {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		"other coding":       {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400, ""},
		"bad chunk":          {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", 400, ""},
		"chunk without end":  {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", 400, ""},
		"long body":          {"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n" + long, 413, ""},
		"long chunks":        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + long + "\r\n0\r\n\r\n", 413, ""},
		"long head":          {"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", MaxHead) + "\r\n\r\n", 431, ""},
		"endless line":       {"GET /" + strings.Repeat("b", 2*MaxHead), 431, ""},
		"many fields":        {"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxFields+1) + "\r\n", 431, ""},
		"cut head":           {"GET / HTTP/1.1\r\nA: b\r\n", -1, ""},
		"cut body":           {"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", -1, ""},
		"cut chunk":          {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", -1, ""},
	} {
		_, body, err := read(c.text)
		var e *Error
		errors.As(err, &e)
		switch {
		case c.status == 0 && (err != nil || string(body) != c.body):
			t.Errorf("%s: body %q, error %v", name, body, err)
		case c.status > 0 && (e == nil || e.Status != c.status):
			t.Errorf("%s: error %v, want status %d", name, err, c.status)
		case c.status < 0 && !errors.Is(err, io.ErrUnexpectedEOF):
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, _, err := read(""); err != io.EOF {
		t.Errorf("between requests: %v", err)
	}
}

func TestResponses(t *testing.T) {
	text := "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n" +
		"HTTP/1.0 200 OK\r\n\r\nto the end"
	r := NewReader(strings.NewReader(text))
	for i, want := range []struct {
		status int
		close  bool
		body   string
	}{{202, false, ""}, {204, false, ""}, {200, true, "to the end"}} {
		p, err := r.ReadResponse()
		if err != nil {
			t.Fatal(err)
		}
		body, err := r.ReadBody(&p.Head, MaxBody)
		if err != nil || p.Status != want.status || p.Close != want.close || string(body) != want.body {
			t.Errorf("response %d: %+v, body %q, error %v", i, p, body, err)
		}
	}
	for _, text := range []string{"HTTP/1.1 2x2 OK\r\n\r\n", "HTTP/1.1 099 No\r\n\r\n", "SMTP 200 OK\r\n\r\n", "HTTP/1.1\r\n\r\n"} {
		if _, err := NewReader(strings.NewReader(text)).ReadResponse(); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

// FuzzRequest checks that no input panics, that what is read stays within the limits, and that an accepted request is
// parsed the same when it is encoded again: nothing in it can be interpreted in two ways.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /send-warning/x?y=z HTTP/1.1\r\nReq-Id: 9b1f03aa\r\nContent-Length: 2\r\n\r\nhiGET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.0\r\nConnection: keep-alive, x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		for {
			q, err := r.ReadRequest()
			if err != nil {
				return
			}
			body, err := r.ReadBody(&q.Head, MaxBody)
			if err != nil {
				return
			}
			if len(q.Fields) > MaxFields || len(body) > MaxBody {
				t.Fatalf("%d fields, %d bytes", len(q.Fields), len(body))
			}
			var kept Fields
			for _, x := range q.Fields {
				if !equalFold(x.Name, "Content-Length") && !equalFold(x.Name, "Transfer-Encoding") {
					kept = append(kept, x)
				}
			}
			again, againBody, err := read(string(AppendRequest(nil, q.Method, q.Target, kept, body)))
			if err != nil || again.Method != q.Method || again.Target != q.Target || !bytes.Equal(body, againBody) {
				t.Fatalf("%+v %q encoded again: %+v %q, %v", q, body, again, againBody, err)
			}
		}
	})
}

// FuzzResponse checks that no response panics and that its body stays within the limits.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}\r\n\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		for {
			p, err := r.ReadResponse()
			if err != nil {
				return
			}
			body, err := r.ReadBody(&p.Head, 1<<10)
			if err != nil || p.Close {
				return
			}
			if len(body) > 1<<10 || p.Status < 100 || p.Status > 999 {
				t.Fatalf("status %d, %d bytes", p.Status, len(body))
			}
		}
	})
}
