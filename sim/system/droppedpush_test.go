package system

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// itemsDatagram reports whether a datagram is a push of items. Its kind follows magic and checksum.
func itemsDatagram(datagram []byte) bool {
	const kindAt = 8
	return rpc.Kind(binary.LittleEndian.Uint16(datagram[kindAt:])) == protocol.KindItems
}

// TestPrimaryLearnsItsViewsWithoutPushes drops all pushes to one store, as the random choice of push targets occasionally does, and all digests to
// it but those of other stores. Another store is killed and returns, and joins partitions that the first one leads. The first one must learn their
// views from the stores that share them, or its clients wait for a store that has been removed from the partition.
func TestPrimaryLearnsItsViewsWithoutPushes(t *testing.T) {
	const (
		missed         = "10.0.3.2"
		ordinaryAccept = 30 * time.Millisecond // five times the usual time here
	)
	stores := map[string]bool{"10.0.1.2": true, "10.0.2.2": true}
	o := Options{Seed: 22}
	o.Net.DropDatagram = func(from, to string, datagram []byte) bool {
		return to == missed && (itemsDatagram(datagram) || !stores[from])
	}
	play(t, o, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		var back time.Time
		runWithFaults(w, 11*time.Second, func() {
			is.NoErr(backAfter(2*time.Second, (*Process).Kill, w.ByRole(protocol.RoleStore)[1]))
			back = time.Now()
		})
		slowest := w.Checker.slowestAccept(back)
		t.Logf("slowest 202 after the store was back: %v", slowest)
		is.True(slowest < ordinaryAccept)
	})
}
