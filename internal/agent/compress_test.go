package agent

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"liftgauge/internal/protocol"
)

func TestCompressedBodiesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		body := bytes.Repeat(rapid.SliceOf(rapid.Byte()).Draw(t, "body"), rapid.IntRange(1, 100).Draw(t, "times"))
		compressed := compress(body)
		is.True(len(compressed) <= len(body)+1)
		got, err := decompress(compressed)
		is.NoErr(err)
		is.True(bytes.Equal(got, body))
	})
}

func TestUnknownEncodingIsRejected(t *testing.T) {
	is := is.New(t)
	complete := compress(bytes.Repeat([]byte("store-chaguanas-hall-1/4f2a"), 100))
	for _, compressed := range [][]byte{nil, {9, 1, 2}, complete[:len(complete)/2]} {
		_, err := decompress(compressed)
		is.True(errors.Is(err, errCompression))
	}
}

// TestNodeTableCompressesWell bounds the bytes that each change of a session costs per process.
func TestNodeTableCompressesWell(t *testing.T) {
	is := is.New(t)
	body := manyNodes(91).Append(nil)
	is.True(len(body) > 10_000)
	is.True(len(compress(body)) < 4_000)
}

func manyNodes(count int) *protocol.NodeTable {
	table := &protocol.NodeTable{}
	for i := range count {
		name := "edge-sangre-grande-hall-" + string(rune('0'+i/10)) + string(rune('0'+i%10))
		table.Nodes = append(table.Nodes, protocol.Node{
			Key: protocol.NodeKey(name, protocol.RoleDispatcher), Name: name, Role: protocol.RoleDispatcher,
			Incarnation: uint64(i+1) * 0x9e3779b97f4a7c15, Zone: "sangre-grande-hall", Region: "caroni", Address: "10.5.0.1" + name[len(name)-2:] + ":7461",
		})
	}
	return table
}
