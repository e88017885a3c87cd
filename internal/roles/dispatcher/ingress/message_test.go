package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

func TestMessageIsStoredAsItArrived(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t, always(protocol.AcceptStored))
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	response := r.post("/plain/x%20y?q=1&r=%2F", "the body", "X-Request-Id", "abc.1", "X-Delay-Ms", "1500", "Content-Type", "x/y",
		"X-Deadline-Ms", "900", "X-Expect-Instance", "i", "Connection", "close, X-Hop", "X-Hop", "1", "X-Ordering-Key", "k")
	is.Equal(response.StatusCode, 202)
	is.Equal(response.Header.Get("X-Message-Id"), "0000-abc.1")
	is.Equal(bodyText(response), "")
	got := s.firstAccept()
	is.Equal(got.ID, "0000-abc.1")
	is.Equal(got.RequestID, "abc.1")
	is.Equal(got.Method, "POST")
	is.Equal(got.Host, "shop.example")
	is.Equal(got.URI, "/plain/x%20y?q=1&r=%2F")
	is.Equal(got.Key, "k")
	is.Equal(string(got.Body), "the body")
	is.True(got.Delay > 1000*time.Millisecond && got.Delay <= 1500*time.Millisecond)
	names := map[string]string{}
	for _, h := range got.Headers {
		names[h.Name] = h.Value
	}
	is.Equal(names["Content-Type"], "x/y")
	for _, name := range []string{"X-Hop", "Connection", "X-Deadline-Ms", "X-Expect-Instance", "X-Delay-Ms", "X-Request-Id", "X-Ordering-Key", "Content-Length"} {
		_, kept := names[name]
		is.True(!kept)
	}
}

func TestChunkedBody(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t, always(protocol.AcceptStored))
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	_, answer := r.sendRaw("POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n3\r\n of\r\n0\r\n\r\n")
	response, err := http.ReadResponse(answer, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 202)
	is.Equal(string(s.firstAccept().Body), "body of")
	is.Equal(len(s.firstAccept().RequestID), 16) // random
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	r, s := newHarness(t), newFakeStore(t, always(protocol.AcceptStored))
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	long := strings.Repeat("x", 1001)
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"no route":       {"POST /other/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1\r\n\r\nx", 404},
		"unknown host":   {"POST /plain/ HTTP/1.1\r\nHost: other.example\r\nContent-Length: 1\r\n\r\nx", 404},
		"delay":          {"POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nX-Delay-Ms: soon\r\nContent-Length: 1\r\n\r\nx", 400},
		"negative delay": {"POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nX-Delay-Ms: -5\r\nContent-Length: 1\r\n\r\nx", 400},
		"two delays":     {"POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nX-Delay-Ms: 5\r\nX-Delay-Ms: 6\r\nContent-Length: 1\r\n\r\nx", 400},
		"long by length": {"POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1001\r\n\r\n" + long, 413},
		"long in chunks": {"POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + long + "\r\n0\r\n\r\n", 413},
		"long head":      {"POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nX-Long: " + strings.Repeat("x", 2000) + "\r\nContent-Length: 1\r\n\r\nx", 431},
		"very long head": {"POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nX-Long: " + strings.Repeat("x", 300<<10) + "\r\n", 431},
		"invalid chunk":  {"POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"not HTTP":       {"nonsense\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, answer := r.sendRaw(c.request)
			response, err := http.ReadResponse(answer, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
		})
	}
	equal(t, s.count(), 0)
}

func TestTruncatedBodyIsNotStored(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t, always(protocol.AcceptStored))
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	c, answer := r.sendRaw("POST /plain/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 10\r\n\r\nhalf")
	is.NoErr(c.(interface{ CloseWrite() error }).CloseWrite())
	if response, err := http.ReadResponse(answer, nil); err == nil {
		is.Equal(response.StatusCode, 400)
	}
	is.Equal(s.count(), 0)
}

func TestNotReadyBeforeConfigurationAndTable(t *testing.T) {
	is := is.New(t)
	r, s := newHarness(t), newFakeStore(t, always(protocol.AcceptStored))
	response := r.post("/plain/", "x")
	is.Equal(response.StatusCode, 503)
	is.Equal(response.Header.Get("Retry-After"), "0.2")
	r.configure(1)
	is.Equal(r.post("/plain/", "x").StatusCode, 503)
	is.Equal(r.post("/other/", "x").StatusCode, 503)
	r.publishTable(storeAt{s, "a"})
	is.Equal(r.post("/plain/", "x").StatusCode, 202)
}

func TestUnkeyedMessagesRotateWithinTheZone(t *testing.T) {
	is := is.New(t)
	near, far := newFakeStore(t, always(protocol.AcceptStored)), newFakeStore(t, always(protocol.AcceptStored))
	r := newHarness(t)
	r.configure(1)
	r.publishTable(storeAt{far, "b"}, storeAt{near, "a"}, storeAt{far, "b"}, storeAt{near, "a"})
	seen := map[string]int{}
	for range 10 {
		id := r.post("/plain/", "x").Header.Get("X-Message-Id")
		seen[id[:5]]++
	}
	is.Equal(seen, map[string]int{"0001-": 5, "0003-": 5})
	is.Equal(far.count(), 0)
}

func TestMessagesOfAKeyGoToOnePartition(t *testing.T) {
	is := is.New(t)
	s := newFakeStore(t, always(protocol.AcceptStored))
	r := newHarness(t)
	r.configure(1)
	r.publishTable(storeAt{s, "a"}, storeAt{s, "a"}, storeAt{s, "a"}, storeAt{s, "a"}, storeAt{s, "a"}, storeAt{s, "a"}, storeAt{s, "a"}, storeAt{s, "a"})
	partitions := map[string]bool{}
	for key := range 20 {
		first := ""
		for range 3 {
			id := r.post("/keyed/", "x", "X-Ordering-Key", fmt.Sprint("key", key)).Header.Get("X-Message-Id")[:5]
			is.True(first == "" || first == id)
			first = id
		}
		partitions[first] = true
	}
	is.True(len(partitions) > 3)
}

// Nothing was written, so the message is sent to another partition under another id.
func TestUnkeyedMessageGoesToAnotherPartitionIfNothingWasWritten(t *testing.T) {
	for name, answer := range map[string]func(call){
		"not primary": always(protocol.AcceptNotPrimary),
		"full":        always(protocol.AcceptFull),
		"no route":    always(protocol.AcceptNoRoute),
		"unavailable": func(c call) { c.reply(nil, rpc.Errorf(protocol.CodeUnavailable, "no")) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bad, good := newFakeStore(t, answer), newFakeStore(t, always(protocol.AcceptStored))
			r := newHarness(t)
			r.configure(1)
			r.publishTable(storeAt{bad, "a"}, storeAt{good, "b"})
			response := r.post("/plain/", "x", "X-Request-Id", "q")
			is.Equal(response.StatusCode, 202)
			is.Equal(response.Header.Get("X-Message-Id"), "0001-q")
			is.Equal(bad.count(), 1)
		})
	}
}

func TestUnreachableStoreIsAvoided(t *testing.T) {
	is := is.New(t)
	unreachable, good := newFakeStore(t, always(protocol.AcceptStored)), newFakeStore(t, always(protocol.AcceptStored))
	unreachable.server.Close()
	r := newHarness(t)
	r.configure(1)
	r.publishTable(storeAt{unreachable, "a"}, storeAt{unreachable, "a"}, storeAt{unreachable, "a"}, storeAt{unreachable, "a"}, storeAt{unreachable, "a"}, storeAt{good, "b"})
	is.Equal(r.post("/plain/", "x").StatusCode, 202)
}

func TestMessageIsRefusedIfNothingWasWritten(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		answer func(call)
	}{
		"unkeyed, not primary": {"/plain/", always(protocol.AcceptNotPrimary)},
		"unkeyed, full":        {"/plain/", always(protocol.AcceptFull)},
		"keyed, not primary":   {"/keyed/", always(protocol.AcceptNotPrimary)},
		"keyed, full":          {"/keyed/", always(protocol.AcceptFull)},
		"keyed, store lags":    {"/keyed/", always(protocol.AcceptNoRoute)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeStore(t, c.answer)
			r := newHarness(t)
			r.configure(1)
			r.publishTable(storeAt{s, "a"}, storeAt{s, "a"})
			response := r.post(c.path, "x", "X-Ordering-Key", "k")
			is.Equal(response.StatusCode, 503)
			is.Equal(response.Header.Get("Retry-After"), "0.2")
		})
	}
}

// The directory is older than a change of primary: updates are requested from the former primary, and the message waits for them.
func TestMessageWaitsForANewerTable(t *testing.T) {
	for _, path := range []string{"/plain/", "/keyed/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			before, after := newFakeStore(t, always(protocol.AcceptNotPrimary)), newFakeStore(t, always(protocol.AcceptStored))
			r := newHarness(t)
			r.configureLongTarget(1)
			r.publishTable(storeAt{before, "a"}, storeAt{before, "a"})
			requested := make(chan string, 100)
			r.ingress.options.RequestUpdates = func(address string) {
				requested <- address
				if len(requested) == 1 {
					r.publishTable(storeAt{after, "a"}, storeAt{after, "a"})
				}
			}
			is.Equal(r.post(path, "x", "X-Ordering-Key", "k").StatusCode, 202)
			is.Equal(<-requested, before.server.Addr())
			is.Equal(after.count(), 1)
		})
	}
}

func TestLookupRequestsUpdates(t *testing.T) {
	is := is.New(t)
	before := newFakeStore(t, func(c call) { c.reply(nil, rpc.Errorf(protocol.CodeNotPrimary, "no")) })
	after := newFakeStore(t, func(c call) {
		c.reply((&protocol.LookupReply{Found: true, State: protocol.StateQueued}).Append(nil), nil)
	})
	r := newHarness(t)
	r.configure(1)
	r.publishTable(storeAt{before, "a"})
	r.ingress.options.RequestUpdates = func(string) { r.publishTable(storeAt{after, "a"}) }
	is.Equal(r.do("GET", "/message/0000-q", nil).StatusCode, 200)
	is.Equal(after.count(), 1)
}

func TestRouteRemovedWhileStoring(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	s := newFakeStore(t, func(c call) {
		r.configure(2, "/plain/")
		c.answer(protocol.AcceptNoRoute)
	})
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	is.Equal(r.post("/plain/", "x").StatusCode, 404)
}

// The outcome is unknown: the message is sent again to the same partition under the same id, and to no other.
func TestUnknownOutcomeIsRetriedAtTheSamePartition(t *testing.T) {
	for name, first := range map[string]func(call){
		"connection lost":  func(c call) { c.conn.Close() },
		"unknown status":   always(protocol.AcceptUnknown),
		"unknown by code":  func(c call) { c.reply(nil, rpc.Errorf(protocol.CodeOutcomeUnknown, "no")) },
		"garbled reply":    func(c call) { c.reply([]byte{0xff, 0xff, 0xff}, nil) },
		"then not primary": always(protocol.AcceptUnknown),
	} {
		for _, path := range []string{"/plain/", "/keyed/"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				other := newFakeStore(t, always(protocol.AcceptStored))
				calls := 0
				s := newFakeStore(t, nil)
				s.answer = func(c call) {
					calls++
					switch {
					case calls == 1:
						first(c)
					case calls == 2 && name == "then not primary":
						c.answer(protocol.AcceptNotPrimary) // guarantees nothing after an unknown outcome
					default:
						c.answer(protocol.AcceptStored)
					}
				}
				r := newHarness(t)
				r.configure(1)
				r.publishTable(storeAt{s, "a"}, storeAt{other, "b"}, storeAt{s, "a"})
				fields := []string{"X-Request-Id", "q", "X-Deadline-Ms", "3000"}
				if path == "/keyed/" {
					fields = append(fields, "X-Ordering-Key", keyForPartition(t, 0, 3))
				}
				response := r.post(path, "x", fields...)
				is.Equal(response.StatusCode, 202)
				is.True(calls >= 2)
				is.Equal(other.count(), 0)
				ids := map[string]bool{}
				for _, c := range s.calls {
					ids[c.accept.ID] = true
				}
				is.Equal(len(ids), 1)
			})
		}
	}
}

// keyOf finds a key of a partition.
func keyForPartition(t *testing.T, partition uint32, partitions int) string {
	t.Helper()
	for i := range 1000 {
		if key := fmt.Sprint("k", i); partitionOfKey("keyed", key, partitions) == partition {
			return key
		}
	}
	t.Fatal("no key found")
	return ""
}

// After an unknown outcome the response must not guarantee anything, whatever stores reply later.
func TestUnknownOutcomeEndsWith504(t *testing.T) {
	for name, later := range map[string]protocol.AcceptStatus{"not primary": protocol.AcceptNotPrimary, "full": protocol.AcceptFull,
		"no route": protocol.AcceptNoRoute, "unknown": protocol.AcceptUnknown} {
		for _, path := range []string{"/plain/", "/keyed/"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				calls := 0
				s := newFakeStore(t, nil)
				s.answer = func(c call) {
					if calls++; calls == 1 {
						c.conn.Close()
						return
					}
					c.answer(later)
				}
				r := newHarness(t)
				r.configure(1)
				r.publishTable(storeAt{s, "a"})
				response := r.post(path, "x", "X-Ordering-Key", "k", "X-Deadline-Ms", "200")
				is.Equal(response.StatusCode, 504)
				is.True(calls >= 2)
			})
		}
	}
}

// The store that was called does not respond; its partition gets another primary, which is called at once.
func TestNewPrimaryIsCalledWhenTheTableChanges(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	newPrimary := newFakeStore(t, always(protocol.AcceptStored))
	unresponsive := newFakeStore(t, nil)
	unresponsive.answer = func(call) { go r.publishTable(storeAt{newPrimary, "b"}) } // never answers
	r.configure(1)
	r.publishTable(storeAt{unresponsive, "a"})
	began := time.Now()
	response := r.post("/plain/", "x", "X-Request-Id", "q", "X-Deadline-Ms", "3000")
	is.Equal(response.StatusCode, 202)
	is.Equal(response.Header.Get("X-Message-Id"), "0000-q")
	is.Equal(newPrimary.firstAccept().ID, "0000-q")
	is.True(time.Since(began) < storeCallTimeout) // without waiting for the time-out of the call
}

func TestUnresponsiveStoreIsDetected(t *testing.T) {
	is := is.New(t)
	h := newHealth()
	now := time.Now()
	h.callBegan("s", now)
	is.True(!h.unresponsive("s", now.Add(unresponsiveAfter)))
	is.True(h.unresponsive("s", now.Add(unresponsiveAfter+1)))
	h.callBegan("s", now.Add(unresponsiveAfter))
	h.callEnded("s", true, now.Add(unresponsiveAfter)) // it answers one call
	is.True(!h.unresponsive("s", now.Add(unresponsiveAfter+1)))
	h.callEnded("s", false, now.Add(3*unresponsiveAfter))
	is.True(!h.reachable("s", now.Add(3*unresponsiveAfter)))
	is.True(h.reachable("s", now.Add(3*unresponsiveAfter+unreachableFor)))
}

func TestMessageOfADisconnectedClientIsStored(t *testing.T) {
	is := is.New(t)
	s := newFakeStore(t, always(protocol.AcceptStored))
	r := newHarness(t)
	r.configure(1)
	r.publishTable(storeAt{s, "a"})
	ctx, disconnect := context.WithCancel(context.Background())
	disconnect()
	request := httptest.NewRequestWithContext(ctx, "POST", "/plain/", strings.NewReader("x"))
	request.Host = "shop.example"
	recorder := httptest.NewRecorder()
	r.ingress.ServeHTTP(recorder, request)
	is.Equal(recorder.Code, 202)
	is.Equal(s.count(), 1)
}

func TestMessageIDs(t *testing.T) {
	is := is.New(t)
	is.Equal(messageID(0x1a, "abc-_.9"), "001a-abc-_.9")
	is.Equal(len(messageID(1, strings.Repeat("x", 59))), 64)
	for _, bad := range []string{"", "a b", "ü", strings.Repeat("x", 60), "a/b"} {
		id := messageID(1, bad)
		is.Equal(len(id), 5+16)
		p, ok := partitionOfID(id)
		is.True(ok && p == 1)
	}
	for _, bad := range []string{"", "0001", "0001-", "001-x", "00001-x", "zzzz-x", "00A1-x", "0001-a/b", "+001-x"} {
		_, ok := partitionOfID(bad)
		is.True(!ok)
	}
}
