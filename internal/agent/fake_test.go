package agent

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

var networks atomic.Uint32

// uniqueLoopback returns a loopback address that no other test uses at the same time.
func uniqueLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/250%64, 1+pid%250, 1+networks.Add(1)%250)
}

// fakeControl is a control process whose replies to heartbeats a test can set.
type fakeControl struct {
	server       *rpc.Server
	mutex        sync.Mutex
	answer       func(h *protocol.Heartbeat) protocol.HeartbeatReply
	heartbeats   chan protocol.Heartbeat
	leaves       chan protocol.Leave
	unresponsive bool
}

func startControl(t *testing.T, ip string) *fakeControl {
	t.Helper()
	c := &fakeControl{heartbeats: make(chan protocol.Heartbeat, 10_000), leaves: make(chan protocol.Leave, 100)}
	c.accept()
	var err error
	c.server, err = rpc.Listen(net.JoinHostPort(ip, "0"), rpc.HandlerFunc(c.handle), rpc.Options{})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.server.Close() })
	return c
}

func (c *fakeControl) handle(_ *rpc.Conn, kind rpc.Kind, body []byte, reply func([]byte, error)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.unresponsive:
	case kind == protocol.KindHeartbeat:
		var h protocol.Heartbeat
		if err := h.Decode(body); err != nil {
			panic(err)
		}
		r := c.answer(&h)
		reply(r.Append(nil), nil)
		c.heartbeats <- h
	case kind == protocol.KindLeave:
		var l protocol.Leave
		if err := l.Decode(body); err != nil {
			panic(err)
		}
		c.leaves <- l
		reply(nil, nil)
	case reply != nil:
		reply(nil, rpc.Errorf(protocol.CodeUnknownKind, "fake"))
	}
}

func (c *fakeControl) setAnswer(f func(h *protocol.Heartbeat) protocol.HeartbeatReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answer = f
}

func (c *fakeControl) accept() {
	c.setAnswer(func(*protocol.Heartbeat) protocol.HeartbeatReply { return protocol.HeartbeatReply{Accepted: true} })
}

func (c *fakeControl) refuse(primary string) {
	c.setAnswer(func(*protocol.Heartbeat) protocol.HeartbeatReply { return protocol.HeartbeatReply{Primary: primary} })
}

func (c *fakeControl) stopAnswering() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unresponsive = true
}

// settingsFor returns settings by which the internal control address of the seeds is the given address.
func settingsFor(t *testing.T, name, control string) *nodeconfig.Settings {
	t.Helper()
	host, port, err := net.SplitHostPort(control)
	is.New(t).NoErr(err)
	first, err := strconv.Atoi(port)
	is.New(t).NoErr(err)
	return &nodeconfig.Settings{
		NodeName: name, Ip: host, Zone: "z", Region: "r", CountsForQuorum: true, SeedNodes: []string{net.JoinHostPort(host, "1")},
		InternalPortRange: [2]int{first, first + 2},
	}
}

func start(t *testing.T, o Options) *Agent {
	t.Helper()
	if o.Role == 0 {
		o.Role = protocol.RoleStore
	}
	if o.ListenAddress == "" {
		o.ListenAddress = net.JoinHostPort(o.Settings.Ip, "0")
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = 5 * time.Millisecond
	}
	if o.GossipInterval == 0 {
		o.GossipInterval = 5 * time.Millisecond
	}
	a, err := Start(o)
	is.New(t).NoErr(err)
	t.Cleanup(a.Close)
	return a
}

// await returns once the view of the agent satisfies a condition.
func await(a *Agent, holds func(v *View) bool) {
	held := make(chan struct{})
	var once sync.Once
	a.Subscribe(func(v *View, _ []protocol.ItemKind) {
		if holds(v) {
			once.Do(func() { close(held) })
		}
	})
	<-held
}

func hasConfiguration(body string) func(v *View) bool {
	return func(v *View) bool { return string(v.Configuration) == body }
}

func configuration(number uint64, body string) protocol.Item {
	return protocol.Item{Kind: protocol.ItemConfiguration, Version: version(1, number), Body: []byte(body)}
}

// awaitAccepted returns once the agent has processed the acceptance of a heartbeat.
func awaitAccepted(a *Agent, c *fakeControl) {
	first := <-c.heartbeats
	for h := range c.heartbeats {
		// The next heartbeat is sent only after the reply to the previous one was processed.
		if h.Node.Incarnation == first.Node.Incarnation && h.Node.Key == a.Node().Key {
			return
		}
	}
}
