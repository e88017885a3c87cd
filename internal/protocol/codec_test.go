package protocol

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// messageTypes has generators of an empty and an arbitrary message of each type.
var messageTypes = []struct {
	empty     func() Message
	arbitrary func(t *rapid.T) Message
}{
	messageType[Node](), messageType[NodeTable](), messageType[Heartbeat](), messageType[PromotionOffer](),
	messageType[HeartbeatReply](), messageType[Leave](), messageType[ItemVersion](), messageType[Item](), messageType[ItemDigest](),
	messageType[Digest](), messageType[Fetch](), messageType[Items](), messageType[MemberAddress](), messageType[ControlView](),
	messageType[PartitionView](), messageType[PartitionTable](), messageType[Worker](), messageType[Workers](),
	messageType[WorkersFreshness](), messageType[ReplicationFrame](), messageType[LeaseRequest](), messageType[LeaseReply](),
	messageType[Header](), messageType[Accept](), messageType[AcceptReply](), messageType[Lookup](), messageType[LookupReply](),
	messageType[HeldDelivery](), messageType[ServiceWindow](), messageType[Hello](), messageType[Deliver](), messageType[Result](),
}

func messageType[T any, P interface {
	*T
	Message
}]() struct {
	empty     func() Message
	arbitrary func(t *rapid.T) Message
} {
	generator := rapid.Make[T]()
	return struct {
		empty     func() Message
		arbitrary func(t *rapid.T) Message
	}{
		empty:     func() Message { return P(new(T)) },
		arbitrary: func(t *rapid.T) Message { m := generator.Draw(t, "message"); return P(&m) },
	}
}

// withoutEmptySlices replaces empty slices with nil, since the encoding does not distinguish them.
func withoutEmptySlices(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		withoutEmptySlices(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			withoutEmptySlices(v.Field(i))
		}
	case reflect.Slice:
		if v.Len() == 0 {
			v.SetZero()
		}
		for i := range v.Len() {
			withoutEmptySlices(v.Index(i))
		}
	}
}

func TestRoundTrip(t *testing.T) {
	for _, k := range messageTypes {
		t.Run(reflect.TypeOf(k.empty()).Elem().Name(), rapid.MakeCheck(func(t *rapid.T) {
			is := is.New(t)
			m := k.arbitrary(t)
			withoutEmptySlices(reflect.ValueOf(m))
			encoded := m.Append([]byte("before"))
			is.Equal(string(encoded[:6]), "before")
			encoded = encoded[6:]

			decoded := k.arbitrary(t) // decoding replaces its previous content
			is.NoErr(decoded.Decode(encoded))
			is.Equal(decoded, m)

			longer := append(bytes.Clone(encoded), rapid.SliceOf(rapid.Byte()).Draw(t, "later fields")...)
			is.NoErr(decoded.Decode(longer))
			is.Equal(decoded, m)

			// A truncated message either is malformed or decodes like one of an older version; it never causes a panic.
			cut := rapid.IntRange(0, len(encoded)).Draw(t, "cut")
			if err := decoded.Decode(encoded[:cut]); err != nil {
				is.True(errors.Is(err, ErrMalformed))
			}
		}))
	}
}

func TestEmptyMessageIsZero(t *testing.T) {
	is := is.New(t)
	for _, k := range messageTypes {
		m := k.empty()
		is.NoErr(m.Decode(nil))
		is.Equal(m, k.empty())
	}
}

// olderNode and olderHeartbeat are messages of an earlier version, newerNode and newerHeartbeat those of a later one.
type (
	olderNode      struct{ Node }
	olderHeartbeat struct{ Node olderNode }
	newerNode      struct {
		Node
		Cores uint32
	}
	newerHeartbeat struct {
		Heartbeat
		Node  newerNode
		Notes []string
	}
)

func (m *olderNode) fields(c *coder) {
	c.string(&m.Key)
	c.string(&m.Name)
	byteEnum(c, &m.Role)
}

func (m *olderHeartbeat) fields(c *coder) { c.nested(&m.Node) }

func (m *newerNode) fields(c *coder) {
	m.Node.fields(c)
	c.uint32(&m.Cores)
}

func (m *newerHeartbeat) fields(c *coder) {
	c.nested(&m.Node)
	c.nested(&m.Digest)
	messages(c, &m.Offers)
	c.uint32(&m.PartitionsLed)
	c.bool(&m.DiskFull)
	c.strings(&m.UnreachablePeers)
	c.bool(&m.DiskStalled)
	c.bool(&m.WorkerListStale)
	c.nested(&m.Time)
	c.strings(&m.Notes)
}

var fullNode = Node{
	Key: "edge-1/control", Name: "edge-1", Role: RoleControl, Incarnation: 1 << 60, Member: "edge-1/ab", Zone: "z", Region: "r",
	Address: "10.0.0.1:7240", ControlPlane: "10.0.0.1:8046", Leaving: true, CountsForQuorum: true,
}

func TestDecodesMessageOfOlderVersion(t *testing.T) {
	is := is.New(t)
	older := olderHeartbeat{Node: olderNode{fullNode}}
	var m Heartbeat
	is.NoErr(m.Decode(encode(&older, nil)))
	is.Equal(m, Heartbeat{Node: Node{Key: "edge-1/control", Name: "edge-1", Role: RoleControl}})
}

func TestDecodesMessageOfNewerVersion(t *testing.T) {
	is := is.New(t)
	newer := newerHeartbeat{
		Heartbeat: Heartbeat{
			Offers: []PromotionOffer{{Partition: 5, Epoch: 7, Learner: "s/1"}}, PartitionsLed: 3, DiskFull: true, Time: TimeReport{Floor: 8, Time: 9},
		},
		Node:  newerNode{Node: fullNode, Cores: 4},
		Notes: []string{"new", "field"},
	}
	var m Heartbeat
	is.NoErr(m.Decode(encode(&newer, nil)))
	is.Equal(m, Heartbeat{Node: fullNode, Offers: newer.Offers, PartitionsLed: 3, DiskFull: true, Time: newer.Time})
}

// TestEncodingIsStable compares the exact bytes, to detect changes of the field order or encoding.
func TestEncodingIsStable(t *testing.T) {
	is := is.New(t)
	m := Accept{
		Partition: 300, ID: "012c-7", RequestID: "7", Method: "POST", Host: "h", URI: "/p?q", Key: "k",
		Headers: []Header{{Name: "A", Value: "b"}}, Delay: -time.Nanosecond, Age: time.Microsecond,
		Table: ItemVersion{Term: 2, Number: 3}, Body: []byte("body"),
	}
	is.Equal(hex.EncodeToString(m.Append(nil)), "ac02"+"06303132632d37"+"0137"+"04504f5354"+"0168"+"042f703f71"+"016b"+
		"01"+"04"+"0141"+"0162"+"01"+"d00f"+"02"+"0203"+"04626f6479")
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	is := is.New(t)
	for _, encoded := range []string{
		"ff",                     // a truncated integer
		"ffffffffffffffffffffff", // an integer over 64 bits
		"ffffffffff01",           // a partition over 32 bits
		"0105",                   // a string longer than the remaining bytes
	} {
		b, err := hex.DecodeString(encoded)
		is.NoErr(err)
		is.True(errors.Is((&Lookup{}).Decode(b), ErrMalformed))
	}
	is.True(errors.Is((&NodeTable{}).Decode([]byte{200}), ErrMalformed))
	is.True(errors.Is((&NodeTable{}).Decode([]byte{2, 0}), ErrMalformed)) // fewer elements than counted
}

func TestLongListRoundTrip(t *testing.T) {
	is := is.New(t)
	table := PartitionTable{}
	for n := range uint32(3 * initialListCapacity) {
		table.Partitions = append(table.Partitions, PartitionView{Partition: n, Epoch: 1, Primary: "a", Members: []string{"a", "b"}})
	}
	var decoded PartitionTable
	is.NoErr(decoded.Decode(table.Append(nil)))
	is.Equal(decoded, table)
}

func TestVersionsAreOrdered(t *testing.T) {
	is := is.New(t)
	ascending := []ItemVersion{{}, {0, 1}, {1, 0}, {1, 7}, {2, 3}}
	for i, v := range ascending {
		for j, w := range ascending {
			is.Equal(v.Less(w), i < j)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(uint8(0), (&fullNode).Append(nil))
	f.Add(uint8(2), (&Heartbeat{Node: fullNode, Offers: []PromotionOffer{{1, 2, "x"}}}).Append(nil))
	f.Add(uint8(9), (&Digest{Key: "k", Versions: []ItemDigest{{ItemNodes, ItemVersion{1, 2}}}}).Append(nil))
	f.Fuzz(func(t *testing.T, which uint8, b []byte) {
		k := messageTypes[int(which)%len(messageTypes)]
		m := k.empty()
		if m.Decode(b) != nil {
			return
		}
		again := k.empty()
		if err := again.Decode(m.Append(nil)); err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("%+v became %+v: %v", m, again, err)
		}
	})
}

func BenchmarkAcceptAndDecode(b *testing.B) {
	m := Accept{
		Partition: 300, ID: "012c-9c41d07be2a35f68", RequestID: "9c41d07be2a35f68", Method: "POST", Host: "lode17.example",
		URI: "/vobo680/2f", Headers: []Header{{"Content-Type", "application/json"}}, Body: make([]byte, 1000),
	}
	var buffer []byte
	var decoded Accept
	b.ReportAllocs()
	for b.Loop() {
		buffer = m.Append(buffer[:0])
		if err := decoded.Decode(buffer); err != nil {
			b.Fatal(err)
		}
	}
}

// TestPartitionTableIsSmall limits the size of the table, which is sent to every process at each change.
func TestPartitionTableIsSmall(t *testing.T) {
	is := is.New(t)
	member := func(n uint32) string { return fmt.Sprintf("store-sangre-grande-hall-%02d/%016x", n%17, n%17) }
	table := PartitionTable{}
	for n := range uint32(512) {
		table.Partitions = append(table.Partitions, PartitionView{
			Partition: n, Epoch: 300, Primary: member(n), Members: []string{member(n), member(n + 1), member(n + 5)}, Learners: []string{member(n + 2)},
		})
	}
	encoded := table.Append(nil)
	is.True(len(encoded) < 8_000) // writing out each name took 140 bytes per partition
	var decoded PartitionTable
	is.NoErr(decoded.Decode(encoded))
	is.Equal(decoded, table)
}

func TestPartitionTableRejectsUnknownNamePosition(t *testing.T) {
	is := is.New(t)
	table := PartitionTable{Partitions: []PartitionView{{Partition: 1, Epoch: 2, Primary: "a", Members: []string{"a"}}}}
	encoded := table.Append(nil)
	encoded[len(encoded)-2] = 2 // position of the last member; the table has only one name
	var decoded PartitionTable
	is.True(errors.Is(decoded.Decode(encoded), ErrMalformed))
}
