package dispatcher

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
)

func TestMessageFromClientToWorker(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	r := newHarness(t, func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		got <- fmt.Sprint(q.Method, " ", q.Host, q.RequestURI, " ", string(body), " ", q.Header.Get("X-Expect-Instance"), " ", q.Header.Get("X-Deadline-Ms"))
		succeed(w, q)
	}, nil)
	is.Equal(r.readyStatus(), 503)
	r.configure(1)
	is.Equal(r.readyStatus(), 503)
	r.publishNodes()
	g := receive(t, r.store.hellos)
	is.Equal(r.readyStatus(), 200)
	m := r.accept("/plain/x?y=1")
	is.Equal(m.ID, "0000-q")
	r.sendDelivery(g, deliveryOf(m, 1))
	is.Equal(receive(t, got), "POST shop.example/plain/x?y=1 body w1 2000")
	result := receive(t, r.store.results)
	is.Equal(result.result.Outcome, protocol.OutcomeSucceeded)
	is.Equal(result.result.Signature, "sig")
	result.reply(nil, nil)
}

func TestRemovedRouteIsReportedAsNoRoute(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, func(http.ResponseWriter, *http.Request) { t.Error("sent although the route was removed") }, nil)
	r.configure(1)
	r.publishNodes()
	g := receive(t, r.store.hellos)
	m := r.accept("/plain/")
	r.configure(2, "/plain/")
	r.sendDelivery(g, deliveryOf(m, 1))
	is.Equal(receive(t, r.store.results).result.Outcome, protocol.OutcomeNoRoute)
}

// The store has a newer configuration than the dispatcher: by the dispatcher's own configuration, the message would end without a route.
func TestDeliveryWaitsForItsConfiguration(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, succeed, nil)
	r.configure(1, "/plain/")
	r.publishNodes()
	g := receive(t, r.store.hellos)
	m := &protocol.Accept{ID: "0000-q", RequestID: "q", Method: "POST", Host: "shop.example", URI: "/plain/"}
	r.sendDelivery(g, deliveryOf(m, 2))
	r.configure(2)
	is.Equal(receive(t, r.store.results).result.Outcome, protocol.OutcomeSucceeded)

	m.ID = "0000-r"
	r.sendDelivery(g, deliveryOf(m, 3)) // which is never published
	is.Equal(receive(t, r.store.results).result.Outcome, protocol.OutcomeNotRun)
}

func TestOnlyOwnersSendToRateLimitedServices(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, succeed, nil)
	r.configure(1)
	r.publishNodes()
	g := receive(t, r.store.hellos)
	m := &protocol.Accept{ID: "0000-q", RequestID: "q", Method: "POST", Host: "shop.example", URI: "/paced/"}
	r.sendDelivery(g, deliveryOf(m, 1))
	result := receive(t, r.store.results)
	is.Equal(result.result.Outcome, protocol.OutcomeSucceeded) // the only dispatcher is an owner
	result.reply(nil, nil)

	r.agent.sessionAge.Store(int64(2 * time.Second)) // control may have assigned the service to another
	m.ID = "0000-old"
	r.sendDelivery(g, deliveryOf(m, 1))
	is.Equal(receive(t, r.store.results).result.Outcome, protocol.OutcomeNotRun)
	r.agent.sessionAge.Store(0)

	others := []protocol.Node{}
	for i := range 50 {
		others = append(others, protocol.Node{Key: fmt.Sprint("edge", i), Role: protocol.RoleDispatcher, Zone: "b"})
	}
	r.publishNodes(others...)
	m.ID = "0000-no"
	r.sendDelivery(g, deliveryOf(m, 1))
	is.Equal(receive(t, r.store.results).result.Outcome, protocol.OutcomeNotRun)
}

func TestPlannedShutdownServesClientsAndReportsRunningAttempts(t *testing.T) {
	is := is.New(t)
	running, release := make(chan struct{}), make(chan struct{})
	r := newHarness(t, func(w http.ResponseWriter, q *http.Request) {
		close(running)
		<-release
		succeed(w, q)
	}, nil)
	r.configure(1)
	r.publishNodes()
	g := receive(t, r.store.hellos)
	r.sendDelivery(g, deliveryOf(r.accept("/plain/"), 1))
	<-running
	client := &http.Client{Transport: &http.Transport{}}
	send := func() *http.Response {
		t.Helper()
		go func() { receive(t, r.store.accepts).stored() }()
		response, err := r.post(client, "/plain/")
		is.NoErr(err)
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		is.Equal(response.StatusCode, 202)
		return response
	}
	is.True(!send().Close)

	ended := make(chan struct{})
	go func() { r.shutDown(); close(ended) }()
	is.Equal(receive(t, r.agent.leaves), false) // announced
	receive(t, r.store.pauses)
	is.Equal(r.readyStatus(), 503)
	is.True(!send().Close) // clients are still served on their connections
	late := &protocol.Accept{ID: "0000-late", RequestID: "late", Method: "POST", Host: "shop.example", URI: "/plain/"}
	r.sendDelivery(g, deliveryOf(late, 1)) // sent before the pause arrived
	back := receive(t, r.store.results)
	is.Equal(back.result.ID, "0000-late")
	is.Equal(back.result.Outcome, protocol.OutcomeNotRun)
	is.Equal(back.result.RetryAfter, time.Duration(0))
	back.reply(nil, nil)

	for refused := false; !refused; { // until it no longer listens
		c, err := net.Dial("tcp", r.frontend.Address())
		if refused = err != nil; !refused {
			c.Close()
		}
	}
	close(release) // the running attempt ends and is reported
	result := receive(t, r.store.results)
	is.Equal(result.result.Outcome, protocol.OutcomeSucceeded)
	result.reply(nil, nil)
	is.Equal(receive(t, r.agent.leaves), true)
	receive(t, ended)
}

func TestStaleWorkerListIsReadLocally(t *testing.T) {
	is := is.New(t)
	requests := make(chan string, 100)
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		requests <- q.URL.Path
		io.WriteString(w, `{"Instances":[{"Id":"w2","Backend":"b","Address":"10.0.0.1:80","Zone":"a","Revision":"v","Capacity":3,"State":"ready","ColdRemainingMs":0}],"NextPageToken":null}`)
	}))
	defer platform.Close()
	r := newHarness(t, succeed, func(s *nodeconfig.Settings) {
		s.CloudApi.Address, s.CloudApi.RatePerS = strings.TrimPrefix(platform.URL, "http://"), 40
	})
	r.configure(1)
	r.publishNodes()
	changed := r.directory.Changed()
	r.agent.steady.Store(int64(time.Minute))
	is.Equal(receive(t, requests), "/instances")
	<-changed
	s := r.directory.Current()
	is.Equal(len(s.Workers), 1)
	is.Equal(s.Workers[0], protocol.Worker{ID: "w2", Service: "b", Address: "10.0.0.1:80", Zone: "a", Revision: "v", Capacity: 3})
	r.agent.publish(func(v *agent.View) { v.WorkersReadAt = 2 * time.Minute }) // control reads the list again
	is.Equal(r.directory.Current().Workers[0].ID, "w1")
}

// TestPagesOfABrokenOffLocalReadingTakeEffect guards against a dispatcher that reads the list itself and goes on sending to a worker that drains,
// as a later page cannot be read.
func TestPagesOfABrokenOffLocalReadingTakeEffect(t *testing.T) {
	is := is.New(t)
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Get("PageToken") != "" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		io.WriteString(w, `{"Instances":[{"Id":"w1","Backend":"b","Address":"10.0.0.1:80","State":"draining"}],"NextPageToken":"p-1"}`)
	}))
	defer platform.Close()
	r := newHarness(t, succeed, func(s *nodeconfig.Settings) {
		s.CloudApi.Address, s.CloudApi.RatePerS = strings.TrimPrefix(platform.URL, "http://"), 40
	})
	r.configure(1)
	r.publishNodes()
	before := r.directory.Current()
	is.Equal(before.Workers[0].ID, "w1")
	is.True(!before.Workers[0].Draining)
	changed := r.directory.Changed()
	r.agent.steady.Store(int64(time.Minute))
	select {
	case <-changed:
	case <-time.After(testTimeout):
		t.Fatal("the page that was read has no effect")
	}
	s := r.directory.Current()
	is.True(s.Workers[0].Draining)
	is.Equal(s.WorkersReadAt, before.WorkersReadAt) // the rest of the list is as old as before
}
