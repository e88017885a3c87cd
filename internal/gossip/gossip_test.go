package gossip

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"liftgauge/member"
)

func newTestCodec(t testing.TB, cluster string) *Codec {
	t.Helper()
	c, err := NewCodec(cluster)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// fullMessage returns a message with all fields set.
func fullMessage() *member.Message {
	p := member.Peer{ID: member.ID{Name: "n01", Incarnation: 1 << 50}, Address: "127.0.0.1:7946", Zone: 3, Number: 17}
	v := &member.ViewChange{Removed: member.Bits{5, 0}, Joined: []member.Peer{p}}
	return &member.Message{Kind: member.Heartbeat, From: p.ID, Lineage: 1 << 60, View: 9, Hash: 77, Size: 12, Digest: 1 << 30, Reports: []member.Report{{Subject: 900, Generation: 3, TimedOut: 1023, Refused: 9, Left: true}},
		Dead: member.Bits{1, 2}, Rejoining: member.Bits{3, 4}, Peers: []member.Peer{p}, Decisions: []member.Decision{{From: 8, Change: *v}}, Peer: &p, Token: 5, SeedRank: 2, Chunk: &member.Chunk{Index: 1, Count: 2, LargestSize: 12, Members: []member.Peer{p}},
		Round: &member.Round{Ballot: 13, Failed: member.Bits{1, 0}, Promises: member.Bits{7, 0}, AcceptedBallot: 1, AcceptedValue: v, Value: v, Votes: member.Bits{1, 1}, HasValue: true}}
}

// A message survives encoding and decoding and takes no more bytes than EncodedSize; datagrams that are foreign, newer, truncated,
// too long or malformed are told apart.
func TestCodecRoundTripsAndRejectsInvalidDatagrams(t *testing.T) {
	c := newTestCodec(t, "lab")
	for _, m := range []*member.Message{fullMessage(), {Kind: member.Ping, From: member.ID{Name: "dispatcher-0001", Incarnation: 1 << 41}, Lineage: 1 << 63, View: 12, Size: 1000, Digest: 1 << 31}} {
		b, err := c.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := c.Decode(b); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%v\n%+v\n%+v", err, got, m)
		}
		if len(b) > m.EncodedSize() {
			t.Errorf("%d bytes, EncodedSize %d", len(b), m.EncodedSize())
		}
		for i := range b {
			if _, err := c.Decode(b[:i]); !errors.Is(err, ErrMalformed) {
				t.Errorf("truncated at %d: %v", i, err)
			}
		}
		if _, err := newTestCodec(t, "other").Decode(b); !errors.Is(err, ErrForeign) {
			t.Errorf("of another cluster: %v", err)
		}
	}
	newer, _ := cbor.Marshal([]any{FormatVersion + 1, 1, []byte{}, 5})
	for want, b := range map[error][]byte{ErrNewer: newer, ErrTooLong: make([]byte, member.MaxBytes+1), ErrMalformed: {0xff, 1}} {
		if _, err := c.Decode(b); !errors.Is(err, want) {
			t.Errorf("want %v, have %v", want, err)
		}
	}
	long := fullMessage()
	long.Peers = make([]member.Peer, 40)
	for i := range long.Peers {
		long.Peers[i] = member.Peer{ID: member.ID{Name: strings.Repeat("n", 30)}, Address: "127.0.0.1:7946"}
	}
	if _, err := c.Encode(long); !errors.Is(err, ErrTooLong) {
		t.Errorf("long message: %v", err)
	}
}

// FuzzDatagram feeds arbitrary datagrams to members inside and outside of a view: they must not panic.
func FuzzDatagram(f *testing.F) {
	c := newTestCodec(f, "lab")
	for kind := member.Heartbeat; kind <= member.Redirect; kind++ {
		m := fullMessage()
		m.Kind, m.From = kind, member.ID{Name: "n1", Incarnation: 1}
		for _, lineage := range []uint64{1, 2} {
			m.Lineage, m.View = lineage, 1
			b, err := c.Encode(m)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := c.Decode(b)
		if err != nil {
			return
		}
		peers := []member.Peer{{ID: member.ID{Name: "n0", Incarnation: 1}, Address: "a0"}, {ID: member.ID{Name: "n1", Incarnation: 1}, Address: "a1"}, {ID: member.ID{Name: "n2", Incarnation: 1}, Address: "a2"}}
		for _, inside := range []bool{true, false} {
			receiver := member.New(member.Config{Self: peers[0], Seeds: []string{"a1", "a2"}}, time.Hour, 1)
			if inside {
				receiver.Bootstrap(&member.View{Lineage: 1, Number: 1, LargestSize: 3, Members: peers})
			}
			for i := range 4 {
				receiver.Receive(time.Hour, "a1", m)
				receiver.Tick(time.Hour + time.Duration(i)*700*time.Millisecond)
			}
			receiver.Drain()
			receiver.Members()
		}
	})
}

// testNetwork carries datagrams in memory: a datagram to an address without a transport is reported as refused.
type testNetwork struct {
	mu         sync.Mutex
	transports map[string]chan testPacket
	cut        map[[2]string]bool
}

type testPacket struct {
	data    []byte
	from    string
	refused bool
}

type testTransport struct {
	*testNetwork
	address string
	in      chan testPacket
}

func (w *testNetwork) open(address string) *testTransport {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &testTransport{w, address, make(chan testPacket, 512)}
	w.transports[address] = e.in
	return e
}

func (e *testTransport) Send(to string, b []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := testPacket{append([]byte(nil), b...), e.address, false}
	in := e.transports[to]
	if in == nil {
		p, in = testPacket{from: to, refused: true}, e.in
	}
	if e.cut[[2]string{e.address, to}] || e.transports[e.address] == nil {
		return
	}
	select {
	case in <- p:
	default:
	}
}

func (e *testTransport) Receive(b []byte) (int, string, bool, error) {
	p, ok := <-e.in
	if !ok {
		return 0, "", false, net.ErrClosed
	}
	return copy(b, p.data), p.from, p.refused, nil
}

func (e *testTransport) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.transports[e.address] != nil {
		delete(e.transports, e.address)
		close(e.in)
	}
	return nil
}

// Three nodes find each other and agree on their positions; a departing one is removed and the others move up; malformed datagrams
// are counted.
func TestNodesAgreeOnPositions(t *testing.T) {
	network := &testNetwork{transports: map[string]chan testPacket{}, cut: map[[2]string]bool{}}
	var mu sync.Mutex
	positions := map[int]FleetPosition{}
	var nodes []*Node
	var stops []context.CancelFunc
	var running sync.WaitGroup
	for i := range 3 {
		address := []string{"a0", "a1", "a2"}[i]
		n := New(Config{Member: member.Config{Self: member.Peer{ID: member.ID{Name: address, Incarnation: 1}, Address: address, Number: i, Zone: i % 2}, Seeds: []string{"a0", "a1"}, FleetSize: 3,
			TickInterval: 2 * time.Millisecond, HeartbeatInterval: 10 * time.Millisecond, PingAfter: 200 * time.Millisecond, SuspicionTimeout: 5 * time.Second, ProposalDelay: 10 * time.Millisecond, FoundingDelay: 30 * time.Millisecond, BytesPerSecond: 1 << 20},
			Codec: newTestCodec(t, "lab"), Transport: network.open(address), Seed: uint64(i), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
			OnPositionChange: func(p FleetPosition) { mu.Lock(); positions[i] = p; mu.Unlock() }})
		ctx, stop := context.WithCancel(t.Context())
		stops, nodes = append(stops, stop), append(nodes, n)
		running.Go(func() { n.Run(ctx) })
	}
	await := func(what string, condition func() bool) {
		t.Helper()
		for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
			if time.Since(start) > time.Minute {
				t.Fatalf("%s: not within a minute: %+v", what, positions)
			}
		}
	}
	positionsAre := func(want map[int]FleetPosition) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return reflect.DeepEqual(positions, want)
		}
	}
	await("all three", positionsAre(map[int]FleetPosition{0: {true, 0, 3, 2}, 1: {true, 1, 3, 1}, 2: {true, 2, 3, 2}}))
	network.open("a9").Send("a0", []byte("garbage"))
	await("garbage counted", func() bool { return nodes[0].Counts().Malformed == 1 })
	if s, err := nodes[1].Status(t.Context()); err != nil || s.State != "inside" || len(s.Members) != 3 || s.Number != 1 || !s.InTouch {
		t.Errorf("%v, %+v", err, s)
	}
	stops[0]()
	await("two left", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return positions[1] == FleetPosition{true, 0, 2, 1} && positions[2] == FleetPosition{true, 1, 2, 1}
	})
	stops[1]()
	stops[2]()
	running.Wait()
	if _, err := nodes[1].Status(t.Context()); err == nil {
		t.Error("a stopped node still answers")
	}
}

// A datagram to a closed port is reported with its address, and the next datagram is sent nevertheless.
func TestUDPReportsRefusedAddress(t *testing.T) {
	a, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := b.Address()
	b.Close()
	c, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	a.Send(dead, []byte("x"))
	buf := make([]byte, 16)
	if _, to, refused, err := a.Receive(buf); err != nil || !refused || to != dead {
		t.Errorf("%q refused %v, %v; want %q", to, refused, err, dead)
	}
	a.Send(dead, []byte("x"))
	a.Send(c.Address(), []byte("hi"))
	if n, from, refused, err := c.Receive(buf); err != nil || refused || string(buf[:n]) != "hi" || from != a.Address() {
		t.Errorf("%q from %q, refused %v, %v", buf[:n], from, refused, err)
	}
}
