package stores

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
	"liftgauge/internal/roles/dispatcher/delivery"
	"liftgauge/internal/roles/dispatcher/directory"
	"liftgauge/internal/rpc"
)

// fakeStore is a store that sends the deliveries of a test and passes the frames that it receives to it.
type fakeStore struct {
	disk    string // part of its member
	server  *rpc.Server
	hellos  chan receivedHello
	pauses  chan *rpc.Conn
	results chan receivedResult
}

type receivedHello struct {
	conn  *rpc.Conn
	hello protocol.Hello
}

type receivedResult struct {
	result protocol.Result
	reply  func(body []byte, err error)
}

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{hellos: make(chan receivedHello, 100), pauses: make(chan *rpc.Conn, 100), results: make(chan receivedResult, 100)}
	server, err := rpc.Listen("127.0.0.1:0", rpc.HandlerFunc(s.handle), rpc.Options{})
	if err != nil {
		t.Fatal(err)
	}
	s.server = server
	t.Cleanup(func() { server.Close() })
	return s
}

func (s *fakeStore) handle(c *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
	switch kind {
	case protocol.KindHello:
		g := receivedHello{conn: c}
		if err := g.hello.Decode(body); err != nil {
			panic(err)
		}
		s.hellos <- g
	case protocol.KindPause:
		s.pauses <- c
	case protocol.KindResult:
		r := receivedResult{reply: reply}
		if err := r.result.Decode(body); err != nil {
			panic(err)
		}
		s.results <- r
	}
}

// fakeRuns receives the deliveries that Links started.
type fakeRuns chan run

type run struct {
	message *protocol.Deliver
	done    func(delivery.Result)
}

// harness is Links with stores whose partition table is set by the test.
type harness struct {
	t         *testing.T
	directory *directory.Directory
	links     *Links
	runs      fakeRuns
	view      agent.View

	mu      sync.Mutex
	windows []protocol.ServiceWindow
	clock   time.Duration // of the process
}

func (r *harness) now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Unix(0, 0).Add(r.clock)
}

// advanceClock advances the clock of the process at once, as a stall does.
func (r *harness) advanceClock(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock += d
}

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, runs: make(fakeRuns, 100), windows: []protocol.ServiceWindow{{Service: "orders", Slots: 5}}}
	r.directory = directory.New(directory.Self{Key: "edge/dispatcher", Zone: "a", Region: "r"}, zap.NewNop())
	var links *Links
	pool := rpc.NewPool(rpc.HandlerFunc(func(c *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
		if kind == protocol.KindDeliver {
			links.Deliver(c, body)
		} else {
			reply(nil, nil)
		}
	}), rpc.Options{})
	links = New(Options{
		Node: protocol.Node{Key: "edge/dispatcher", Incarnation: 7, Zone: "a", Region: "r"}, Directory: r.directory, Connections: pool,
		Run: func(m *protocol.Deliver, done func(delivery.Result)) { r.runs <- run{m, done} }, Now: r.now,
	})
	r.links = links
	r.directory.Subscribe(func(before, after *directory.Snapshot) {
		r.mu.Lock()
		defer r.mu.Unlock()
		links.Update(before, after, r.windows)
	})
	t.Cleanup(func() { links.Close(); pool.Close() })
	return r
}

func (s *fakeStore) member() string { return "m" + s.server.Addr() + s.disk }

// publishTable publishes a table in which the given stores are the primaries of the partitions, all with the same epoch.
func (r *harness) publishTable(epoch uint64, primaries ...*fakeStore) {
	r.publish(r.tableView(epoch, primaries...))
}

func (r *harness) publish(view agent.View) {
	r.view = view
	r.directory.Update(&view)
}

// tableView returns the view that publishTable publishes.
func (r *harness) tableView(epoch uint64, primaries ...*fakeStore) agent.View {
	view := r.view
	view.Nodes, view.Partitions = nil, protocol.PartitionTable{}
	seen := map[*fakeStore]bool{}
	for i, s := range primaries {
		address := s.server.Addr()
		view.Partitions.Partitions = append(view.Partitions.Partitions, protocol.PartitionView{Partition: uint32(i), Epoch: epoch, Primary: s.member()})
		if !seen[s] {
			seen[s] = true
			view.Nodes = append(view.Nodes, protocol.Node{Key: address, Role: protocol.RoleStore, Member: s.member(), Zone: "a", Region: "r", Address: address})
		}
	}
	view.PartitionsVersion.Number++
	view.NodesVersion.Number++
	return view
}

const testTimeout = 10 * time.Second // not reached by a test that passes

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

// helloForTable receives Hellos until one carries the given table version.
func (s *fakeStore) helloForTable(t *testing.T, table uint64) receivedHello {
	t.Helper()
	for {
		if g := receive(t, s.hellos); g.hello.Table.Number == table {
			return g
		}
	}
}

func (g receivedHello) deliver(t *testing.T, m protocol.Deliver) {
	t.Helper()
	if err := g.conn.Notify(protocol.KindDeliver, m.Append(nil)); err != nil {
		t.Fatal(err)
	}
}

// flush returns once all earlier frames have been handled, by making a call that comes after them.
func (g receivedHello) flush(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := g.conn.Call(ctx, 999, nil); err != nil {
		t.Fatal(err)
	}
}

func equal(t *testing.T, got, want any) {
	t.Helper()
	is.New(t).Equal(got, want)
}
