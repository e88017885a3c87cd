package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
	"liftgauge/internal/roles/dispatcher/directory"
	"liftgauge/internal/rpc"
)

const testTimeout = 10 * time.Second // not reached by a test that passes

// call is one call that reached a fake store.
type call struct {
	accept protocol.Accept
	lookup protocol.Lookup
	conn   *rpc.Conn
	reply  func(body []byte, err error)
}

func (c call) answer(status protocol.AcceptStatus) {
	c.reply((&protocol.AcceptReply{Status: status}).Append(nil), nil)
}

// fakeStore answers calls with its answer function.
type fakeStore struct {
	server *rpc.Server
	member string

	mu     sync.Mutex
	answer func(c call)
	calls  []call
}

func newFakeStore(t *testing.T, answer func(c call)) *fakeStore {
	s := &fakeStore{answer: answer}
	server, err := rpc.Listen("127.0.0.1:0", rpc.HandlerFunc(s.handle), rpc.Options{})
	if err != nil {
		t.Fatal(err)
	}
	s.server, s.member = server, "m"+server.Addr()
	t.Cleanup(func() { server.Close() })
	return s
}

func (s *fakeStore) handle(conn *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
	c := call{conn: conn, reply: reply}
	var err error
	switch kind {
	case protocol.KindAccept:
		err = c.accept.Decode(body)
	case protocol.KindLookup:
		err = c.lookup.Decode(body)
	}
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.calls = append(s.calls, c)
	answer := s.answer
	s.mu.Unlock()
	answer(c)
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *fakeStore) firstAccept() protocol.Accept {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[0].accept
}

func always(status protocol.AcceptStatus) func(call) { return func(c call) { c.answer(status) } }

const testConfiguration = `{"Revision":%d,"Routes":[
 {"Name":"plain","Hostname":"shop.example","PathPrefix":"/plain/","Type":"async","TimeoutMs":500,"TargetLatencyMs":80,"Backend":"b","MaxAttempts":3,"Fifo":false,"RetentionS":90,"TargetStartMs":500},
 {"Name":"keyed","Hostname":"shop.example","PathPrefix":"/keyed/","Type":"async","TimeoutMs":500,"TargetLatencyMs":80,"Backend":"b","MaxAttempts":3,"Fifo":true,"RetentionS":90,"TargetStartMs":500}],
 "Services":[{"Name":"b","HealthCheckPath":"/health","MaxConnections":10,"RatePerS":0,"Static":null}],
 "Limits":{"MaxHeaderBytes":2000,"MaxBodyBytes":1000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// harness is an ingress that listens on the loopback interface, with stores whose partition table is set by the test.
type harness struct {
	t         *testing.T
	directory *directory.Directory
	ingress   *Ingress
	server    *Server
	pool      *rpc.Pool
	view      agent.View
}

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, directory: directory.New(directory.Self{Key: "edge/dispatcher", Zone: "a", Region: "r"}, zap.NewNop())}
	r.pool = rpc.NewPool(rpc.HandlerFunc(func(*rpc.Conn, rpc.Kind, []byte, func([]byte, error)) {}), rpc.Options{})
	r.ingress = New(Options{Directory: r.directory, Connections: r.pool})
	server, err := Listen(nil, "127.0.0.1:0", r.ingress, r.directory, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	r.server = server
	t.Cleanup(func() { server.Close(); r.pool.Close() })
	return r
}

// configure publishes the configuration of a revision, with the routes of the given prefixes moved to another prefix.
func (r *harness) configure(revision int, without ...string) {
	body := fmt.Sprintf(testConfiguration, revision)
	for _, prefix := range without {
		body = strings.Replace(body, prefix, "/elsewhere"+prefix, 1)
	}
	r.follow(revision, body)
}

func (r *harness) follow(revision int, body string) {
	r.view.Configuration, r.view.ConfigurationVersion = []byte(body), protocol.ItemVersion{Number: uint64(revision)}
	view := r.view
	r.directory.Update(&view)
}

// configureLongTarget is configure with a target latency of 40 s, so that a message waits for a newer table however slow the machine is.
func (r *harness) configureLongTarget(revision int) {
	r.follow(revision, strings.ReplaceAll(fmt.Sprintf(testConfiguration, revision), `"TargetLatencyMs":80`, `"TargetLatencyMs":40000`))
}

// storeAt is a store in a zone.
type storeAt struct {
	store *fakeStore
	zone  string
}

// publishTable publishes a table in which the given stores are the primaries of the partitions; a nil store means no live primary.
func (r *harness) publishTable(primaries ...storeAt) {
	view := r.view
	view.Nodes, view.Partitions = nil, protocol.PartitionTable{}
	seen := map[*fakeStore]bool{}
	for i, p := range primaries {
		entry := protocol.PartitionView{Partition: uint32(i), Epoch: 1}
		if p.store != nil {
			entry.Primary = p.store.member
			if address := p.store.server.Addr(); !seen[p.store] {
				seen[p.store] = true
				view.Nodes = append(view.Nodes, protocol.Node{Key: address, Role: protocol.RoleStore, Member: entry.Primary, Zone: p.zone, Region: "r", Address: address})
			}
		}
		view.Partitions.Partitions = append(view.Partitions.Partitions, entry)
	}
	for s := range seen {
		r.connect(s)
	}
	view.PartitionsVersion.Number++
	view.NodesVersion.Number++
	r.view = view
	r.directory.Update(&view)
}

// connect opens the connection to a store, as the links to stores do; it may be one that does not listen.
func (r *harness) connect(s *fakeStore) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, _ = r.pool.Get(ctx, s.server.Addr())
}

// post sends a message and returns the response with its body read.
func (r *harness) post(path, body string, fields ...string) *http.Response {
	r.t.Helper()
	return r.do("POST", path, strings.NewReader(body), fields...)
}

func (r *harness) do(method, path string, body io.Reader, fields ...string) *http.Response {
	r.t.Helper()
	request, err := http.NewRequest(method, "http://"+r.server.Address()+path, body)
	if err != nil {
		r.t.Fatal(err)
	}
	request.Host = "shop.example"
	request.Header.Set("X-Deadline-Ms", "3000")
	for i := 0; i < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	response.Body = io.NopCloser(bytes.NewReader(content))
	return response
}

func bodyText(response *http.Response) string {
	b, _ := io.ReadAll(response.Body)
	return string(b)
}

// sendRaw opens a connection and writes the given bytes to it.
func (r *harness) sendRaw(bytes string) (net.Conn, *bufio.Reader) {
	r.t.Helper()
	c, err := net.Dial("tcp", r.server.Address())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, bytes); err != nil {
		r.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func equal(t *testing.T, got, want any) {
	t.Helper()
	is.New(t).Equal(got, want)
}
