package inventory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/http1"
	"liftgauge/internal/serve/engine"
)

const entry = `{"id":"s-5be2a07c","host_port":"10.1.0.18:8443","locality":"b","flavor":"m2","cell":3,"phase":"%s","size":1.5,"up_since_ms":%d,"new":{}}`

func line(revision int, complete bool, phase string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[`+entry+`]}`+"\n", revision, complete, phase, 1000)
}

// fakeDiscovery is a fake discovery service, with a pipe for each connection, that records requests and lists.
type fakeDiscovery struct {
	t         *testing.T
	calls     chan net.Conn // the service's ends
	targets   []string      // targets
	lists     []string
	dials     int
	addresses []string // addresses dialled
	down      atomic.Bool
}

func (s *fakeDiscovery) dial(_ context.Context, address string) (net.Conn, error) {
	s.addresses = append(s.addresses, address)
	if s.dials++; s.down.Load() {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	s.calls <- far
	return near, nil
}

func (s *fakeDiscovery) UpdateHosts(kind balance.ListKind, hosts []engine.Host) {
	text := fmt.Sprint("kind ", kind)
	for _, h := range hosts {
		text += fmt.Sprintf(" %s state %d zone %d kind %d up %v", h.Name, h.Worker.State, h.Worker.Zone, h.Worker.Kind, h.Worker.Up)
	}
	s.lists = append(s.lists, text)
}

// accept accepts the next request and sends the head of the response.
func (s *fakeDiscovery) accept() net.Conn {
	conn := <-s.calls
	q, err := http1.NewReader(conn).ReadRequest()
	if err != nil {
		s.t.Fatal(err)
	}
	s.targets = append(s.targets, q.Target)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	return conn
}

func chunk(conn net.Conn, text string) {
	fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	synctest.Wait()
}

func runInBubble(t *testing.T, test func(*fakeDiscovery, *Client)) {
	t.Helper()
	runClient(t, false, test)
}

// runClient runs a Client whose watch the scheduler requests, or, if pushed, one that watches an agent without a request.
func runClient(t *testing.T, pushed bool, test func(*fakeDiscovery, *Client)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeDiscovery{t: t, calls: make(chan net.Conn, 8)}
		c := New("discovery:1", 41, []string{"a", "b"}, []string{"m1", "m2"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		c.Random = func() float64 { return 0.5 }
		c.Sink, c.Dial, c.Pushed = s, s.dial, pushed
		ctx, stop := context.WithCancel(t.Context())
		go c.Run(ctx)
		if !pushed {
			c.Watch()
		}
		test(s, c)
		stop()
		synctest.Wait()
	})
}

// TestIndentedList checks that a list may have many lines, also empty ones, and that a watch whose list never ends is broken, though
// heartbeats are received.
func TestIndentedList(t *testing.T) {
	runInBubble(t, func(s *fakeDiscovery, c *Client) {
		conn := s.accept()
		text := strings.ReplaceAll(line(43, true, "SERVING"), ",", ",\n\n  ")
		text = strings.ReplaceAll(strings.ReplaceAll(text, "[", "[\n"), "}", "\n}")
		chunk(conn, text[:len(text)/2])
		chunk(conn, text[len(text)/2:])
		chunk(conn, "\n")
		chunk(conn, line(44, false, "DRAINING"))
		want := []string{"kind 0 s-5be2a07c state 0 zone 1 kind 1 up 1s", "kind 1 s-5be2a07c state 1 zone 1 kind 1 up 1s"}
		if !reflect.DeepEqual(s.lists, want) {
			t.Errorf("lists %q, bad lines %d", s.lists, c.BadLines())
		}
		chunk(conn, "{\"revision\":45,\n")
		for range 2 {
			time.Sleep(2 * time.Second)
			chunk(conn, "\n")
		}
		again := s.accept() // after 2.6 s, from the revision held
		if got := s.targets[len(s.targets)-1]; got != "/api/targets?follow=1&since=44" {
			t.Errorf("requested %s", got)
		}
		again.Close()
	})
}

func TestFollow(t *testing.T) {
	runInBubble(t, func(s *fakeDiscovery, c *Client) {
		conn := s.accept()
		chunk(conn, line(43, true, "SERVING"))
		text := line(44, false, "DRAINING")
		chunk(conn, text[:20]) // a line over two chunks
		chunk(conn, text[20:])
		for range 3 {
			time.Sleep(2 * time.Second)
			chunk(conn, "\n")
		}
		chunk(conn, line(45, false, "DELETED"))
		want := []string{"kind 0 s-5be2a07c state 0 zone 1 kind 1 up 1s", "kind 1 s-5be2a07c state 1 zone 1 kind 1 up 1s",
			"kind 1 s-5be2a07c state 2 zone 1 kind 1 up 1s"}
		if strings.Join(s.lists, "\n") != strings.Join(want, "\n") || s.dials != 1 {
			t.Errorf("%d dials, lists\n%s", s.dials, strings.Join(s.lists, "\n"))
		}
	})
}

// TestBrokenWatch guards against a watch whose network connection is dead: it would stay open without receiving anything.
func TestBrokenWatch(t *testing.T) {
	runInBubble(t, func(s *fakeDiscovery, c *Client) {
		conn := s.accept()
		chunk(conn, line(43, true, "SERVING"))
		s.down.Store(true)
		time.Sleep(silenceTimeout + time.Millisecond)
		synctest.Wait()
		if s.dials != 2 || len(s.lists) != 2 || s.lists[1] != "kind 3" {
			t.Fatalf("%d dials, lists %q", s.dials, s.lists)
		}
		s.down.Store(false)
		c.Watch() // the scheduler retries
		s.accept()
		if s.targets[1] != "/api/targets?follow=1&since=43" {
			t.Errorf("requested %q", s.targets)
		}
	})
}

// TestBadLine checks that a malformed line does not change the last good list, and ends the watch.
func TestBadLine(t *testing.T) {
	for _, bad := range []string{"{\n", "[]\n", `{"revision":9}` + "\n", line(44, true, "HAPPY"), strings.Replace(line(44, true, "SERVING"), "18:8443", "18", 1)} {
		runInBubble(t, func(s *fakeDiscovery, c *Client) {
			conn := s.accept()
			chunk(conn, line(43, true, "SERVING"))
			time.Sleep(stableAfter)
			chunk(conn, bad)
			s.accept()
			if len(s.lists) != 1 || c.BadLines() != 1 || s.targets[1] != "/api/targets?follow=1&since=43" {
				t.Errorf("%q: lists %q, %d bad lines, requested %q", bad, s.lists, c.BadLines(), s.targets)
			}
		})
	}
}

// TestShortWatch guards against a tight loop of watches that break as soon as they are opened.
func TestShortWatch(t *testing.T) {
	runInBubble(t, func(s *fakeDiscovery, c *Client) {
		conn := s.accept()
		chunk(conn, line(43, true, "SERVING"))
		conn.Close()
		began := time.Now()
		for range 10 {
			fmt.Fprint(s.accept(), "3\r\n{\"r\r\n0\r\n\r\n") // an incomplete list
		}
		if took := time.Since(began); took < 5*maxRetryPause || took > 8*maxRetryPause {
			t.Errorf("ten tries in %v", took)
		}
		conn = s.accept() // this one is stable
		chunk(conn, line(44, false, "DRAINING"))
		time.Sleep(stableAfter)
		conn.Close()
		began = time.Now()
		conn = s.accept()
		conn.Close() // and the next one is not: its changes must not wait for seconds
		s.accept()
		if took := time.Since(began); took > minRetryPause || len(s.lists) != 2 {
			t.Errorf("two tries in %v, lists %q", took, s.lists)
		}
	})
}

// TestReconnectSpread checks that a stable watch that breaks is reopened after a random delay. Without it all dispatchers reconnected
// at once.
func TestReconnectSpread(t *testing.T) {
	runInBubble(t, func(s *fakeDiscovery, c *Client) {
		c.ReconnectSpread = 700 * time.Millisecond
		conn := s.accept()
		chunk(conn, line(43, true, "SERVING"))
		time.Sleep(stableAfter)
		conn.Close()
		began := time.Now()
		if s.accept(); time.Since(began) != c.ReconnectSpread/2 || s.targets[1] != "/api/targets?follow=1&since=43" {
			t.Errorf("reopened after %v, requested %q", time.Since(began), s.targets)
		}
	})
}

// TestPushedLists guards against lists that are pushed to an agent and never fetched from it, so that no drain was received. The agent
// is watched without a request from the scheduler, the watch is reopened whatever ends it, and an agent that does not respond, repeats
// a list or sends an older revision does no harm.
func TestPushedLists(t *testing.T) {
	runClient(t, true, func(s *fakeDiscovery, c *Client) {
		conn := s.accept()
		chunk(conn, line(43, true, "SERVING"))
		chunk(conn, line(44, false, "DRAINING"))
		chunk(conn, line(44, false, "DRAINING")) // repeated
		chunk(conn, line(42, false, "SERVING"))  // older revision
		chunk(conn, line(42, true, "SERVING"))
		if want := "kind 1 s-5be2a07c state 1 zone 1 kind 1 up 1s"; len(s.lists) != 3 || s.lists[1] != want || s.lists[2] != want {
			t.Fatalf("lists %q", s.lists)
		}
		began := time.Now()
		s.down.Store(true)
		time.Sleep(silenceTimeout) // discovery is down: the agent sends nothing, then refuses connections
		s.down.Store(false)
		for range 8 {
			defer (<-s.calls).Close() // accepts the connection and does not respond
		}
		conn = s.accept()
		if took := time.Since(began); took > silenceTimeout+10*2*agentTimeout || s.targets[1] != "/api/targets?follow=1&since=44" {
			t.Errorf("reopened after %v, requested %q", took, s.targets)
		}
		chunk(conn, line(45, false, "DELETED"))
		for _, l := range s.lists {
			if strings.HasPrefix(l, fmt.Sprint("kind ", balance.ListFailed)) {
				t.Errorf("lists %q: the scheduler cannot retry an agent", s.lists)
			}
		}
		if len(s.lists) != 4 {
			t.Errorf("lists %q", s.lists)
		}
	})
}

// TestRejectedRequest checks that a failed request is reported, and not repeated before the scheduler requests it.
func TestRejectedRequest(t *testing.T) {
	runInBubble(t, func(s *fakeDiscovery, c *Client) {
		conn := <-s.calls
		http1.NewReader(conn).ReadRequest()
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Minute)
		synctest.Wait()
		if s.dials != 1 || len(s.lists) != 1 || s.lists[0] != "kind 3" {
			t.Errorf("%d dials, lists %q", s.dials, s.lists)
		}
		c.Watch()
		<-s.calls // no response
		time.Sleep(discoveryTimeout + time.Millisecond)
		synctest.Wait()
		if s.dials != 2 || len(s.lists) != 2 {
			t.Errorf("%d dials, lists %q", s.dials, s.lists)
		}
	})
}

// TestAddressChange checks that a new address is retried until it works, and that until then the old watch is used and no change lost.
func TestAddressChange(t *testing.T) {
	runInBubble(t, func(s *fakeDiscovery, c *Client) {
		old := s.accept()
		chunk(old, line(43, true, "SERVING"))
		s.down.Store(true)
		began := time.Now()
		c.SetAddress("discovery:2")
		time.Sleep(minRetryPause / 2)
		c.SetAddress("discovery:3") // SIGHUP again while the first move is under way
		c.SetAddress("discovery:3")
		time.Sleep(minRetryPause * 2)
		chunk(old, line(45, false, "DRAINING"))
		c.Watch()           // the scheduler requests a watch, too
		old.Close()         // as the old address does soon
		s.down.Store(false) // the next connection is accepted,
		call := <-s.calls   // and gets no response: another is opened
		conn := s.accept()
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("tried again only after %v", took)
		}
		call.Close()
		chunk(conn, line(44, false, "SERVING")) // older than what the old one sent
		chunk(conn, line(46, false, "DELETED"))
		want := "kind 0 s-5be2a07c state 0 zone 1 kind 1 up 1s, kind 1 s-5be2a07c state 1 zone 1 kind 1 up 1s, " +
			"kind 1 s-5be2a07c state 2 zone 1 kind 1 up 1s"
		if got := strings.Join(s.lists, ", "); got != want || s.targets[1] != "/api/targets?follow=1&since=45" {
			t.Errorf("requested %q, lists %s", s.targets, got)
		}
		if last := len(s.addresses) - 1; s.addresses[0] != "discovery:1" || s.addresses[1] != "discovery:2" || s.addresses[2] != "discovery:3" || s.addresses[last] != "discovery:3" {
			t.Errorf("dialled %q", s.addresses)
		}
	})
}

// TestHeartbeatCompletesAddressChange checks that without changes a heartbeat establishes the watch at the new address, and ends the
// old watch.
func TestHeartbeatCompletesAddressChange(t *testing.T) {
	runInBubble(t, func(s *fakeDiscovery, c *Client) {
		old := s.accept()
		chunk(old, line(43, true, "SERVING"))
		c.SetAddress("discovery:2")
		conn := s.accept()
		synctest.Wait()
		chunk(old, line(44, false, "DRAINING"))
		chunk(conn, "\n")
		if _, err := old.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the old watch: %v", err)
		}
		chunk(conn, line(45, false, "SERVING"))
		if len(s.lists) != 3 || s.dials != 2 {
			t.Errorf("%d dials, lists %q", s.dials, s.lists)
		}
	})
}

// FuzzDecode checks that decoding never panics, and that accepted lists have what the engine needs.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(line(43, true, "SERVING")))
	f.Add([]byte(`{"revision":1e3,"complete":null,"members":[{"id":"x","phase":"DELETED","up_since_ms":-5}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		l, err := (&Decoder{Zones: []string{"a"}}).Decode(in)
		if err != nil {
			return
		}
		for _, h := range l.Hosts {
			if h.Name == "" || h.Worker.Up < 0 || h.Worker.Zone > 1 || h.Address == "" && h.Worker.State != balance.Removed {
				t.Errorf("host %+v", h)
			}
		}
	})
}

// TestEncode checks that an encoded list decodes to the same list.
func TestEncode(t *testing.T) {
	d := Decoder{Zones: []string{"caroni", "couva"}, Kinds: []string{"full-box", "slow-box"}}
	const text = `{"revision":43,"complete":true,"members":[` +
		`{"id":"s-1","host_port":"10.1.0.18:8443","locality":"couva","flavor":"slow-box","cell":3,"phase":"DRAINING","size":0.6,"up_since_ms":1796130000123},` +
		`{"id":"s-\"2","host_port":"10.1.0.19:8443","locality":"elsewhere","flavor":"full-box","cell":0,"phase":"SERVING","size":1,"up_since_ms":0}]}`
	want, err := d.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	got, err := d.Decode(d.Encode(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
}

// TestLargeList checks that a list of thousands of entries, also repeated ones, is accepted; that a line over the limit is ignored and
// uses no more memory than the limit; and that the watch is reopened from the revision held.
func TestLargeList(t *testing.T) {
	runInBubble(t, func(s *fakeDiscovery, c *Client) {
		conn := s.accept()
		entries := make([]string, 0, 6000)
		for i := range 6000 {
			entries = append(entries, strings.Replace(fmt.Sprintf(entry, "SERVING", 0), "s-5be2a07c", fmt.Sprint("s-", i/2), 1))
		}
		text := `{"revision":%d,"complete":true,"members":[` + strings.Join(entries, ",") + "]}\n"
		chunk(conn, fmt.Sprintf(text, 43))
		if len(s.lists) != 1 || strings.Count(s.lists[0], " s-") != 6000 {
			t.Fatalf("%d lists", len(s.lists))
		}
		time.Sleep(stableAfter)
		go func() {
			for range maxLine/len(text) + 2 { // without a line end
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text)-1, text[:len(text)-1])
			}
		}()
		s.accept()
		if len(s.lists) != 1 || s.targets[1] != "/api/targets?follow=1&since=43" {
			t.Errorf("%d lists, requested %q", len(s.lists), s.targets)
		}
		conn.Close()
	})
}
