package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"liftgauge/internal/agent"
	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// fakeControl answers heartbeats, and publishes tables on request of the test. Sessions never expire.
type fakeControl struct {
	t     *testing.T
	agent *agent.Agent

	mu         sync.Mutex
	changed    *sync.Cond
	nodes      map[string]protocol.Node
	heartbeats map[string]protocol.Heartbeat
	leaves     []protocol.Leave
	// timeUnsettled makes replies tell no cluster time.
	timeUnsettled bool
	number        map[protocol.ItemKind]uint64
}

func startControl(t *testing.T) *fakeControl {
	c := &fakeControl{t: t, nodes: map[string]protocol.Node{}, heartbeats: map[string]protocol.Heartbeat{}, number: map[protocol.ItemKind]uint64{}}
	c.changed = sync.NewCond(&c.mu)
	settings := &nodeconfig.Settings{NodeName: "control-1", Ip: "127.0.0.1", Zone: "a", Region: "r"}
	a, err := agent.Start(agent.Options{
		Settings: settings, Role: protocol.RoleControl, Member: "control-1/0", Logger: zap.NewNop(), ListenAddress: "127.0.0.1:0",
		Handle: c.handle,
	})
	is.New(t).NoErr(err)
	t.Cleanup(a.Close)
	c.mu.Lock()
	c.agent = a
	c.nodes[a.Node().Key] = a.Node()
	c.mu.Unlock()
	return c
}

func (c *fakeControl) handle(_ *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
	if reply == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch kind {
	case protocol.KindHeartbeat:
		var m protocol.Heartbeat
		if m.Decode(body) == nil && c.agent != nil {
			c.nodes[m.Node.Key] = m.Node
			c.heartbeats[m.Node.Key] = m
		}
		answer := protocol.HeartbeatReply{Accepted: true}
		if !c.timeUnsettled {
			answer.ClusterTime = time.Now().UnixNano()
		}
		reply(answer.Append(nil), nil)
	case protocol.KindLeave:
		var m protocol.Leave
		if m.Decode(body) == nil {
			c.leaves = append(c.leaves, m)
		}
		reply(nil, nil)
	default:
		reply(nil, rpc.Errorf(protocol.CodeUnknownKind, "kind %d", kind))
	}
	c.changed.Broadcast()
}

// await waits for a condition on the received messages.
func (c *fakeControl) await(condition func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !condition() {
		c.changed.Wait()
	}
}

func (c *fakeControl) publish(kind protocol.ItemKind, body []byte) protocol.ItemVersion {
	c.mu.Lock()
	c.number[kind]++
	version := protocol.ItemVersion{Term: 1, Number: c.number[kind]}
	c.mu.Unlock()
	c.agent.Publish(protocol.Item{Kind: kind, Version: version, Body: body})
	return version
}

func (c *fakeControl) publishNodes() {
	c.mu.Lock()
	var table protocol.NodeTable
	for _, node := range c.nodes {
		table.Nodes = append(table.Nodes, node)
	}
	c.mu.Unlock()
	c.publish(protocol.ItemNodes, table.Append(nil))
}

func (c *fakeControl) addNode(node protocol.Node) {
	c.mu.Lock()
	c.nodes[node.Key] = node
	c.mu.Unlock()
	c.publishNodes()
}

func (c *fakeControl) publishViews(views ...protocol.PartitionView) protocol.ItemVersion {
	table := protocol.PartitionTable{Partitions: views}
	return c.publish(protocol.ItemPartitions, table.Append(nil))
}

func (c *fakeControl) publishConfiguration(revision int, routes ...map[string]any) {
	body, err := json.Marshal(map[string]any{
		"Revision": revision, "Routes": routes, "Limits": map[string]any{},
		"Services": []any{map[string]any{"Name": "work", "HealthCheckPath": "/health", "MaxConnections": 100}},
	})
	is.New(c.t).NoErr(err)
	c.publish(protocol.ItemConfiguration, body)
}

func route(name string, fifo bool, change map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Hostname": name + ".example", "PathPrefix": "/", "Type": "async", "TimeoutMs": 500, "TargetLatencyMs": 80,
		"TargetStartMs": 500, "Priority": 1, "Backend": "work", "MaxAttempts": 2, "Fifo": fifo, "RetentionS": 90.0,
	}
	for name, value := range change {
		r[name] = value
	}
	return r
}

// testStore runs one real store process in the test.
type testStore struct {
	t        *testing.T
	name     string
	settings *nodeconfig.Settings
	store    *store
	cancel   context.CancelFunc
	ended    chan error

	mu        sync.Mutex
	observers []func()
}

func startStore(t *testing.T, c *fakeControl, name string) *testStore {
	return startStoreOn(t, c, name, t.TempDir())
}

func startStoreOn(t *testing.T, c *fakeControl, name, dir string) *testStore {
	_, port, err := net.SplitHostPort(c.agent.Node().Address)
	is.New(t).NoErr(err)
	number, err := strconv.Atoi(port)
	is.New(t).NoErr(err)
	settings := &nodeconfig.Settings{
		NodeName: name, Ip: "127.0.0.1", Zone: "a", Region: "r", DataDir: dir,
		InternalPortRange: [2]int{number, number + 15}, SeedNodes: []string{"127.0.0.1:1"},
		FaultTolerance: nodeconfig.FaultTolerance{Machines: 1}, CountsForQuorum: true,
		Limits: nodeconfig.Limits{DiskMb: 64}, Bounds: nodeconfig.Bounds{GraceS: 6, StatusS: 120},
	}
	s := &testStore{t: t, name: name, settings: settings, ended: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	running := make(chan struct{})
	go func() {
		s.ended <- run(ctx, options{
			settings: settings, logger: zap.NewNop(), listenAddress: "127.0.0.1:0", afterStep: s.observe,
			started: func(store *store) { s.store = store; close(running) },
		})
	}()
	<-running
	t.Cleanup(s.kill)
	return s
}

// observe runs the checks of pending calls of await.
func (s *testStore) observe() {
	s.mu.Lock()
	observers := s.observers
	s.observers = nil
	s.mu.Unlock()
	for _, f := range observers {
		f()
	}
}

// await waits, on the store's loop, for a condition on its state.
func (s *testStore) await(condition func(*store) bool) {
	s.t.Helper()
	met := make(chan struct{})
	var check func()
	check = func() {
		if condition(s.store) {
			close(met)
			return
		}
		s.mu.Lock()
		s.observers = append(s.observers, check)
		s.mu.Unlock()
	}
	s.store.loop.post(check)
	<-met
}

// on runs a function on the store's loop.
func (s *testStore) on(f func(*store)) {
	done := make(chan struct{})
	s.store.loop.post(func() { f(s.store); close(done) })
	<-done
}

// freeze stops the loop until the returned function is called.
func (s *testStore) freeze() (thaw func()) {
	frozen, release := make(chan struct{}), make(chan struct{})
	s.store.loop.post(func() { close(frozen); <-release })
	<-frozen
	return sync.OnceFunc(func() { close(release) })
}

// kill stops the store without a planned shutdown.
func (s *testStore) kill() {
	s.store.loop.post(func() {
		if !s.store.shutdown.finished {
			s.store.shutdown.finished = true
			close(s.store.shutdown.done)
		}
	})
	s.cancel()
	s.ended <- <-s.ended
}

func (s *testStore) node() protocol.Node { return s.store.agent.Node() }
func (s *testStore) member() string      { return s.store.member }

func (s *testStore) awaitLeading(partition uint32) {
	s.t.Helper()
	s.await(func(s *store) bool {
		p := s.partitions[partition]
		return p != nil && p.leading && p.mayDeliver(s.now())
	})
}

// awaitTakeover waits until the store leads partition 0 and holds its leases, and may wait for Hellos without end.
func (s *testStore) awaitTakeover() {
	s.t.Helper()
	s.await(func(s *store) bool {
		p := s.partitions[0]
		p.helloDeadline = s.now() + time.Hour // never reached, even on a slow machine
		return p.leading && p.mayAct(s.now())
	})
}

// fakeDispatcher is a dispatcher that the test controls, on plain connections.
type fakeDispatcher struct {
	t          *testing.T
	node       protocol.Node
	conns      map[string]*rpc.Conn // by the store's address
	deliveries chan protocol.Deliver
}

// testTimeout is not reached by a test that passes.
const testTimeout = 30 * time.Second

// next returns the next delivery.
func (d *fakeDispatcher) next() protocol.Deliver {
	d.t.Helper()
	select {
	case m := <-d.deliveries:
		return m
	case <-time.After(testTimeout):
		d.t.Fatal("no delivery arrived")
		return protocol.Deliver{}
	}
}

// startDispatcher returns a dispatcher that is in the node table.
func startDispatcher(t *testing.T, c *fakeControl, name string) *fakeDispatcher {
	d := newDispatcher(t, name)
	c.addNode(d.node)
	return d
}

// newDispatcher returns a dispatcher that is not in the node table.
func newDispatcher(t *testing.T, name string) *fakeDispatcher {
	d := &fakeDispatcher{t: t, conns: map[string]*rpc.Conn{}, deliveries: make(chan protocol.Deliver, 1000)}
	d.node = protocol.Node{
		Key: protocol.NodeKey(name, protocol.RoleDispatcher), Name: name, Role: protocol.RoleDispatcher, Incarnation: 77, Zone: "a",
	}
	t.Cleanup(func() {
		for _, conn := range d.conns {
			conn.Close()
		}
	})
	return d
}

func (d *fakeDispatcher) conn(s *testStore) *rpc.Conn {
	d.t.Helper()
	address := s.node().Address
	if conn := d.conns[address]; conn != nil {
		return conn
	}
	conn, err := rpc.Dial(d.t.Context(), address, rpc.HandlerFunc(d.handle), rpc.Options{})
	is.New(d.t).NoErr(err)
	d.conns[address] = conn
	return conn
}

// disconnect closes the connection to a store.
func (d *fakeDispatcher) disconnect(s *testStore) {
	d.conn(s).Close()
	delete(d.conns, s.node().Address)
}

func (d *fakeDispatcher) handle(_ *rpc.Conn, kind rpc.Kind, body []byte, _ func([]byte, error)) {
	var m protocol.Deliver
	if kind == protocol.KindDeliver && m.Decode(body) == nil {
		d.deliveries <- m
	}
}

func (d *fakeDispatcher) hello(s *testStore, table protocol.ItemVersion, held ...protocol.HeldDelivery) {
	d.t.Helper()
	m := protocol.Hello{Dispatcher: d.node.Key, Incarnation: d.node.Incarnation, Zone: d.node.Zone, Table: table, Held: held}
	is.New(d.t).NoErr(d.conn(s).Notify(protocol.KindHello, m.Append(nil)))
}

func (d *fakeDispatcher) call(s *testStore, kind rpc.Kind, body []byte) ([]byte, error) {
	return d.conn(s).Call(d.t.Context(), kind, body)
}

func (d *fakeDispatcher) accept(s *testStore, m protocol.Accept) protocol.AcceptStatus {
	d.t.Helper()
	answer, err := d.call(s, protocol.KindAccept, m.Append(nil))
	is.New(d.t).NoErr(err)
	var reply protocol.AcceptReply
	is.New(d.t).NoErr(reply.Decode(answer))
	return reply.Status
}

func (d *fakeDispatcher) result(s *testStore, m *protocol.Deliver, outcome protocol.Outcome) error {
	result := protocol.Result{
		Partition: m.Partition, ID: m.ID, Attempt: m.Attempt, Dispatcher: d.node.Key, Outcome: outcome, Signature: "signature of " + m.ID,
	}
	_, err := d.call(s, protocol.KindResult, result.Append(nil))
	return err
}

func (d *fakeDispatcher) lookup(s *testStore, partition uint32, id string) (protocol.LookupReply, error) {
	m := protocol.Lookup{Partition: partition, ID: id, WantBody: true}
	var reply protocol.LookupReply
	answer, err := d.call(s, protocol.KindLookup, m.Append(nil))
	if err == nil {
		err = reply.Decode(answer)
	}
	return reply, err
}

func held(m *protocol.Deliver) protocol.HeldDelivery {
	return protocol.HeldDelivery{Partition: m.Partition, ID: m.ID, Attempt: m.Attempt}
}

func message(id, host, key string) protocol.Accept {
	return protocol.Accept{
		ID: id, RequestID: "request-" + id, Method: "POST", Host: host + ".example", URI: "/path?query", Key: key,
		Headers: []protocol.Header{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte(fmt.Sprint("body of ", id)),
	}
}

// cluster has a control process, some stores and a dispatcher, with one partition whose primary is the first store and whose backup is the second.
type cluster struct {
	control    *fakeControl
	stores     []*testStore
	dispatcher *fakeDispatcher
	epoch      uint64
}

func startCluster(t *testing.T, stores int) *cluster {
	c := &cluster{control: startControl(t)}
	for n := range stores {
		c.stores = append(c.stores, startStore(t, c.control, fmt.Sprint("storage-", n+1)))
	}
	c.awaitNodes()
	c.dispatcher = startDispatcher(t, c.control, "edge-1")
	c.control.publishConfiguration(1, route("plain", false, nil), route("fifo", true, nil))
	table := c.view(0, 0, 1)
	for _, s := range c.stores {
		c.dispatcher.hello(s, table)
	}
	c.stores[0].awaitLeading(0)
	return c
}

// awaitNodes waits until control has received a heartbeat of the present process of each store, and publishes the node table.
func (c *cluster) awaitNodes() {
	c.control.await(func() bool {
		for _, s := range c.stores {
			if c.control.nodes[s.node().Key].Incarnation != s.node().Incarnation {
				return false
			}
		}
		return true
	})
	c.control.publishNodes()
}

// view publishes the next view of partition 0: the primary and the other members, by index.
func (c *cluster) view(primary int, others ...int) protocol.ItemVersion {
	c.epoch++
	view := protocol.PartitionView{Epoch: c.epoch, Primary: c.stores[primary].member(), Members: []string{c.stores[primary].member()}}
	for _, other := range others {
		view.Members = append(view.Members, c.stores[other].member())
	}
	return c.control.publishViews(view)
}
