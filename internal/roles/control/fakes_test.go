package control

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"liftgauge/internal/agent"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// fakeStore is a store that has a session and reports every learner as caught up.
type fakeStore struct {
	*agent.Agent
	name, member string

	mutex       sync.Mutex
	offers      []protocol.PromotionOffer
	unreachable []string
	stalled     bool
}

// setFaults sets which stores this store reports as unreachable, and whether it reports its disk as stalled.
func (s *fakeStore) setFaults(stalled bool, unreachable ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unreachable, s.stalled = unreachable, stalled
}

// startStore starts a store on a separate host.
func (c *cluster) startStore(host int, disk string) *fakeStore {
	c.t.Helper()
	name := fmt.Sprintf("storage-%d", host)
	s := &fakeStore{name: name, member: name + "/" + disk}
	a, err := agent.Start(agent.Options{
		Settings: c.settings(host, name), Role: protocol.RoleStore, Member: s.member, Logger: zap.NewNop(), Handle: refuseFrames,
		Report: func(h *protocol.Heartbeat) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			h.Offers, h.UnreachablePeers, h.DiskStalled = s.offers, s.unreachable, s.stalled
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	a.Subscribe(func(v *agent.View, _ []protocol.ItemKind) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.offers = nil
		for _, p := range v.Partitions.Partitions {
			for _, learner := range p.Learners {
				if p.Primary == s.member {
					s.offers = append(s.offers, protocol.PromotionOffer{Partition: p.Partition, Epoch: p.Epoch, Learner: learner})
				}
			}
		}
	})
	c.t.Cleanup(a.Close)
	s.Agent = a
	return s
}

// startDispatcher starts a dispatcher that only has a session.
func (c *cluster) startDispatcher(host int) *agent.Agent {
	c.t.Helper()
	a, err := agent.Start(agent.Options{
		Settings: c.settings(host, fmt.Sprintf("edge-%d", host)), Role: protocol.RoleDispatcher, Logger: zap.NewNop(), Handle: refuseFrames,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(a.Close)
	return a
}

func refuseFrames(_ *rpc.Conn, _ rpc.Kind, _ []byte, reply func([]byte, error)) {
	if reply != nil {
		reply(nil, rpc.Errorf(protocol.CodeUnknownKind, "no handler"))
	}
}

// platform serves a list of workers in pages of one entry. Each page has an address, which the worker on it uses.
type platform struct {
	mutex    sync.Mutex
	workers  []string
	draining string // a worker that the list shows as draining; empty for none
}

func startPlatform(t *testing.T, workers ...string) (*platform, string) {
	p := &platform{workers: workers}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server.Listener.Addr().String()
}

func (p *platform) set(workers ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.workers = workers
}

func (p *platform) drain(worker string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.draining = worker
}

// ServeHTTP answers GET /instances.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	page := 0
	_, _ = fmt.Sscanf(r.URL.Query().Get("PageToken"), "p-%d", &page)
	if page >= len(p.workers) {
		fmt.Fprint(w, `{"Instances":[],"NextPageToken":null}`)
		return
	}
	next := "null"
	if page+1 < len(p.workers) {
		next = fmt.Sprintf(`"p-%d"`, page+1)
	}
	state := "ready"
	if p.workers[page] == p.draining {
		state = "draining"
	}
	fmt.Fprintf(w, `{"Instances":[{"Backend":"svc","Address":"127.0.0.1:%d","Zone":"zone-1","Revision":"v1","Capacity":6,"State":%q,`+
		`"ColdRemainingMs":0,"Id":%q}],"NextPageToken":%s}`, page+1, state, p.workers[page], next)
}

// testWriter drops log entries after the end of the test.
type testWriter struct {
	t     *testing.T
	mutex sync.Mutex
	over  bool
}

func (w *testWriter) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.over = true
}

func (w *testWriter) wrap(core zapcore.Core) zapcore.Core { return &endingCore{Core: core, writer: w} }

// endingCore writes entries only until the end of the test.
type endingCore struct {
	zapcore.Core
	writer *testWriter
}

// With returns a core with the fields that is wrapped as well.
func (c *endingCore) With(fields []zapcore.Field) zapcore.Core {
	return &endingCore{Core: c.Core.With(fields), writer: c.writer}
}

// Check adds this core if the level is enabled.
func (c *endingCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes the entry unless the test has ended.
func (c *endingCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	c.writer.mutex.Lock()
	defer c.writer.mutex.Unlock()
	if c.writer.over {
		return nil
	}
	return c.Core.Write(e, fields)
}
