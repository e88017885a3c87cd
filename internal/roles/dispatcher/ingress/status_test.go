package ingress

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

func found(reply protocol.LookupReply) func(call) {
	return func(c call) { c.reply(reply.Append(nil), nil) }
}

func TestStatusResponses(t *testing.T) {
	r, s := newHarness(t), newFakeStore(t, nil)
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	for name, c := range map[string]struct {
		reply  protocol.LookupReply
		path   string
		status int
		body   string
		kind   string
	}{
		"queued":             {protocol.LookupReply{Found: true, State: protocol.StateQueued}, "/message/0000-x", 200, `{"State":"queued"}`, "application/json"},
		"succeeded":          {protocol.LookupReply{Found: true, State: protocol.StateSucceeded, Signature: `a"b`}, "/message/0000-x", 200, `{"State":"succeeded","Signature":"a\"b"}`, "application/json"},
		"dead letter":        {protocol.LookupReply{Found: true, State: protocol.StateDeadLetter}, "/message/0000-x", 200, `{"State":"dead_letter"}`, "application/json"},
		"unknown":            {protocol.LookupReply{}, "/message/0000-x", 404, "", ""},
		"body":               {protocol.LookupReply{Found: true, HasBody: true, Body: []byte{0, 1, 2}}, "/message-body/0000-x", 200, "\x00\x01\x02", "application/octet-stream"},
		"empty body":         {protocol.LookupReply{Found: true, HasBody: true}, "/message-body/0000-x", 200, "", "application/octet-stream"},
		"no body":            {protocol.LookupReply{Found: true}, "/message-body/0000-x", 404, "", ""},
		"no partition":       {protocol.LookupReply{Found: true}, "/message/0fff-x", 404, "", ""},
		"malformed id":       {protocol.LookupReply{Found: true}, "/message/abc", 404, "", ""},
		"body, malformed id": {protocol.LookupReply{}, "/message-body/abc", 404, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s.mu.Lock()
			s.answer = found(c.reply)
			s.mu.Unlock()
			response := r.do("GET", c.path, nil)
			is.Equal(response.StatusCode, c.status)
			is.Equal(bodyText(response), c.body)
			is.Equal(response.Header.Get("Content-Type"), c.kind)
		})
	}
}

func TestLookupIsRepeated(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t, nil)
	calls := 0
	s.answer = func(c call) {
		switch calls++; calls {
		case 1:
			c.reply(nil, rpc.Errorf(protocol.CodeNotPrimary, "no"))
		case 2:
			c.conn.Close()
		case 3:
			c.reply([]byte{0xff, 0xff}, nil)
		default:
			found(protocol.LookupReply{Found: true, State: protocol.StateQueued})(c)
		}
	}
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	is.Equal(r.do("GET", "/message/0000-x", nil).StatusCode, 200)
	is.Equal(calls, 4)
}

// The time to answer ends before any primary has replied: the message may exist, so the response is 503 rather than 404.
func TestUnansweredLookupIsNotReportedAsNotFound(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t, found(protocol.LookupReply{}))
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, path := range []string{"/message/0000-x", "/message-body/0000-x"} {
		recorder := httptest.NewRecorder()
		r.ingress.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil))
		is.Equal(recorder.Code, http.StatusServiceUnavailable)
		is.True(recorder.Header().Get("Retry-After") != "")
	}
}

func TestLookupWaitsForAPrimary(t *testing.T) {
	is := is.New(t)
	r, other := newHarness(t), newFakeStore(t, always(protocol.AcceptStored))
	s := newFakeStore(t, found(protocol.LookupReply{Found: true, State: protocol.StateQueued}))
	r.configure(1)
	r.publishTable(storeAt{nil, ""}, storeAt{other, "a"})
	changed := make(chan struct{})
	go func() {
		r.publishTable(storeAt{s, "b"}, storeAt{other, "a"})
		close(changed)
	}()
	is.Equal(r.do("GET", "/message/0000-x", nil).StatusCode, 200)
	<-changed
	is.Equal(other.count(), 0)
}

// Connections are closed with their next response, and requests that were read are answered.
func TestShutdownAnswersRequestsThatWereRead(t *testing.T) {
	is := is.New(t)
	taken := make(chan call, 1)
	r, s := newHarness(t), newFakeStore(t, func(c call) { taken <- c })
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	idle, idleAnswers := r.sendRaw("GET /message/zzz HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	readStatus(t, idleAnswers, 404)
	_, answers := r.sendRaw("POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1\r\n\r\nx")
	one := <-taken
	r.ingress.CloseConnections()
	if _, err := io.WriteString(idle, "GET /message/zzz HTTP/1.1\r\nHost: shop.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	is.True(readStatus(t, idleAnswers, 404).Close) // announced
	done := make(chan error, 1)
	go func() { done <- r.server.Shutdown(context.Background()) }()
	one.answer(protocol.AcceptStored)
	readStatus(t, answers, 202)
	is.NoErr(<-done)
}

func readStatus(t *testing.T, answers *bufio.Reader, status int) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)
	equal(t, response.StatusCode, status)
	return response
}

// A change of the time limits applies to new connections and closes none that is open.
func TestChangedLimitsApplyToNewConnections(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t, always(protocol.AcceptStored))
	c, answers := r.sendRaw("GET /message/zzz HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	readStatus(t, answers, 503)
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	r.server.mu.Lock()
	limits := r.server.limits
	limits.IdleTimeout++
	r.server.limits = limits
	r.server.startServer()
	r.server.mu.Unlock()
	_, err := io.WriteString(c, "GET /message/zzz HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	is.NoErr(err)
	readStatus(t, answers, 404)
	is.Equal(r.post("/plain/", "x").StatusCode, 202)
	is.NoErr(r.server.Shutdown(context.Background()))
}
