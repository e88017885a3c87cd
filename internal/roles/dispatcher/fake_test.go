package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/roles"
	"liftgauge/internal/roles/dispatcher/stores"
	"liftgauge/internal/rpc"
)

const testTimeout = 10 * time.Second // not reached by a test that passes

// fakeAgent is an agent whose view is set by the test.
type fakeAgent struct {
	pool       *rpc.Pool
	sessionAge atomic.Int64
	steady     atomic.Int64
	leaves     chan bool

	mu          sync.Mutex
	view        *agent.View
	subscribers []func(*agent.View, []protocol.ItemKind)
}

func (a *fakeAgent) Node() protocol.Node {
	return protocol.Node{Key: "edge/dispatcher", Role: protocol.RoleDispatcher, Incarnation: 7, Zone: "a", Region: "r"}
}
func (a *fakeAgent) View() *agent.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}
func (a *fakeAgent) Subscribe(f func(*agent.View, []protocol.ItemKind)) {
	a.mu.Lock()
	a.subscribers = append(a.subscribers, f)
	v := a.view
	a.mu.Unlock()
	f(v, nil)
}
func (a *fakeAgent) Pool() *rpc.Pool           { return a.pool }
func (a *fakeAgent) Steady() time.Duration     { return time.Duration(a.steady.Load()) }
func (a *fakeAgent) SessionAge() time.Duration { return time.Duration(a.sessionAge.Load()) }
func (a *fakeAgent) Leave(_ context.Context, endSession bool) error {
	a.leaves <- endSession
	return nil
}
func (a *fakeAgent) RequestUpdates(string)       {}
func (a *fakeAgent) Reload(*nodeconfig.Settings) {}
func (a *fakeAgent) Close()                      { a.pool.Close() }
func (a *fakeAgent) publish(change func(v *agent.View)) {
	a.mu.Lock()
	v := *a.view
	change(&v)
	a.view = &v
	subscribers := a.subscribers
	a.mu.Unlock()
	for _, f := range subscribers {
		f(&v, nil)
	}
}

// fakeStore passes the frames that it receives to the test, which answers them.
type fakeStore struct {
	server  *rpc.Server
	accepts chan acceptCall
	hellos  chan receivedHello
	pauses  chan struct{}
	results chan receivedResult
}

type acceptCall struct {
	accept protocol.Accept
	reply  func([]byte, error)
}

type receivedHello struct {
	conn  *rpc.Conn
	hello protocol.Hello
}

type receivedResult struct {
	result protocol.Result
	reply  func([]byte, error)
}

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{accepts: make(chan acceptCall, 100), hellos: make(chan receivedHello, 100), pauses: make(chan struct{}, 100), results: make(chan receivedResult, 100)}
	server, err := rpc.Listen("127.0.0.1:0", rpc.HandlerFunc(func(c *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
		var err error
		switch kind {
		case protocol.KindAccept:
			one := acceptCall{reply: reply}
			err = one.accept.Decode(body)
			s.accepts <- one
		case protocol.KindHello:
			one := receivedHello{conn: c}
			err = one.hello.Decode(body)
			s.hellos <- one
		case protocol.KindPause:
			s.pauses <- struct{}{}
		case protocol.KindResult:
			one := receivedResult{reply: reply}
			err = one.result.Decode(body)
			s.results <- one
		}
		if err != nil {
			panic(err)
		}
	}), rpc.Options{})
	if err != nil {
		t.Fatal(err)
	}
	s.server = server
	t.Cleanup(func() { server.Close() })
	return s
}

func (a acceptCall) stored() {
	a.reply((&protocol.AcceptReply{Status: protocol.AcceptStored}).Append(nil), nil)
}

// deliveryOf returns the delivery that the store sends for an accepted message.
func deliveryOf(m *protocol.Accept, configuration uint64) *protocol.Deliver {
	return &protocol.Deliver{Partition: m.Partition, Epoch: 1, ID: m.ID, Attempt: 1, RequestID: m.RequestID, Method: m.Method, Host: m.Host,
		URI: m.URI, Key: m.Key, Headers: m.Headers, Body: m.Body, Configuration: protocol.ItemVersion{Number: configuration}}
}

const testConfiguration = `{"Revision":%d,"Routes":[
 {"Name":"plain","Hostname":"shop.example","PathPrefix":"/plain/","Type":"async","TimeoutMs":2000,"TargetLatencyMs":80,"Backend":"b","MaxAttempts":3,"Fifo":false,"RetentionS":90,"TargetStartMs":500},
 {"Name":"paced","Hostname":"shop.example","PathPrefix":"/paced/","Type":"async","TimeoutMs":2000,"TargetLatencyMs":80,"Backend":"g","MaxAttempts":3,"Fifo":false,"RetentionS":90,"TargetStartMs":500}],
 "Services":[{"Name":"b","HealthCheckPath":"/health","MaxConnections":10,"RatePerS":0,"Static":null},
 {"Name":"g","HealthCheckPath":"/health","MaxConnections":10,"RatePerS":50,"Static":"%s"}],
 "Limits":{"MaxHeaderBytes":2000,"MaxBodyBytes":1000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// harness is a dispatcher with one store and one worker.
type harness struct {
	*dispatcher
	t      *testing.T
	agent  *fakeAgent
	store  *fakeStore
	worker *httptest.Server
}

// newHarness starts a dispatcher with an empty view.
func newHarness(t *testing.T, worker http.HandlerFunc, change func(s *nodeconfig.Settings)) *harness {
	settings := &nodeconfig.Settings{NodeName: "edge", Zone: "a", Region: "r", Zones: map[string]string{"a": "r", "b": "r"},
		BindAddresses: nodeconfig.BindAddresses{Frontend: "127.0.0.1:0", Readiness: "127.0.0.1:0"}}
	settings.Bounds.GraceS, settings.Bounds.DrainMs = 3, 3000
	if change != nil {
		change(settings)
	}
	r := &harness{t: t, agent: &fakeAgent{view: &agent.View{}, leaves: make(chan bool, 100)}, store: newFakeStore(t)}
	r.worker = httptest.NewServer(worker)
	t.Cleanup(r.worker.Close)
	var links atomic.Pointer[stores.Links]
	r.agent.pool = rpc.NewPool(handler(&links), rpc.Options{})
	d, err := start(roles.Environment{}, settings, zap.NewNop(), r.agent, &links)
	if err != nil {
		t.Fatal(err)
	}
	r.dispatcher = d
	t.Cleanup(d.close)
	return r
}

func (r *harness) workerAddress() string { return strings.TrimPrefix(r.worker.URL, "http://") }

// configure publishes a configuration; routes with the given prefixes are moved to another prefix.
func (r *harness) configure(revision int, without ...string) {
	body := fmt.Sprintf(testConfiguration, revision, r.workerAddress())
	for _, prefix := range without {
		body = strings.Replace(body, prefix, "/elsewhere"+prefix, 1)
	}
	r.agent.publish(func(v *agent.View) {
		v.Configuration, v.ConfigurationVersion = []byte(body), protocol.ItemVersion{Number: uint64(revision)}
	})
}

// publishNodes publishes nodes, a table of one partition, and a list of one worker.
func (r *harness) publishNodes(others ...protocol.Node) {
	address := r.store.server.Addr()
	r.agent.publish(func(v *agent.View) {
		v.Nodes = append([]protocol.Node{{Key: "s/store", Role: protocol.RoleStore, Member: "s", Zone: "a", Region: "r", Address: address}, r.agent.Node()}, others...)
		v.NodesVersion.Number++
		v.Partitions.Partitions = []protocol.PartitionView{{Epoch: 1, Primary: "s"}}
		v.PartitionsVersion.Number++
		v.Workers.Workers = []protocol.Worker{{ID: "w1", Service: "b", Address: r.workerAddress(), Zone: "a", Capacity: 2}}
		v.WorkersVersion.Number++
	})
}

// receive receives from a channel, or fails the test after testTimeout.
func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("nothing received within the test timeout")
	}
	return v
}

// post sends a message with the given client.
func (r *harness) post(client *http.Client, path string) (*http.Response, error) {
	request, err := http.NewRequest("POST", "http://"+r.frontend.Address()+path, strings.NewReader("body"))
	if err != nil {
		r.t.Fatal(err)
	}
	request.Host = "shop.example"
	request.Header.Set("X-Request-Id", "q")
	request.Header.Set("X-Deadline-Ms", "3000")
	return client.Do(request)
}

func (r *harness) readyStatus() int {
	response, err := http.Get("http://" + r.readinessAddress.String() + "/readiness")
	if err != nil {
		r.t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// accept has a client send a message and the store accept it.
func (r *harness) accept(path string) *protocol.Accept {
	r.t.Helper()
	status := make(chan int, 1)
	go func() {
		response, err := r.post(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, path)
		if err != nil {
			status <- 0
			return
		}
		response.Body.Close()
		status <- response.StatusCode
	}()
	one := receive(r.t, r.store.accepts)
	one.stored()
	if got := receive(r.t, status); got != http.StatusAccepted {
		r.t.Fatalf("status %d, want 202", got)
	}
	return &one.accept
}

func (r *harness) sendDelivery(g receivedHello, m *protocol.Deliver) {
	r.t.Helper()
	if err := g.conn.Notify(protocol.KindDeliver, m.Append(nil)); err != nil {
		r.t.Fatal(err)
	}
}

func succeed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "sig")
}
