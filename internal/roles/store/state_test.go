package store

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"liftgauge/internal/protocol"
)

func TestStateRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 60, 200)
		state := messageState{
			State:    protocol.MessageState(rapid.IntRange(1, 3).Draw(t, "state")),
			Sequence: rapid.Uint64().Draw(t, "sequence"), AcceptedAt: rapid.Int64().Draw(t, "accepted"),
			DueAt: rapid.Int64().Draw(t, "due"), ExpiresAt: rapid.Int64().Draw(t, "expires"), EndedAt: rapid.Int64().Draw(t, "ended"),
			Attempts:      rapid.Uint64().Draw(t, "attempts"),
			Configuration: protocol.ItemVersion{Term: rapid.Uint64().Draw(t, "term"), Number: rapid.Uint64().Draw(t, "number")},
			Host:          text.Draw(t, "host"), URI: text.Draw(t, "uri"), Key: text.Draw(t, "key"), Signature: text.Draw(t, "signature"),
			CountedDeliveries: rapid.SliceOfN(rapid.Uint32(), 1, maxCountedDeliveries).Draw(t, "counted"),
		}
		encoded := state.append(nil)
		var got messageState
		if err := got.decode(append(encoded, 7)); err != nil || !reflect.DeepEqual(got, state) {
			t.Fatalf("%+v decoded as %+v (%v)", state, got, err)
		}
		earlier := state
		earlier.CountedDeliveries = nil
		whole := len(earlier.append(nil)) - 1 // a record of a version without CountedDeliveries: valid, without them
		if err := got.decode(encoded[:whole]); err != nil || !reflect.DeepEqual(got, earlier) {
			t.Fatalf("the earlier form of %+v decoded as %+v (%v)", state, got, err)
		}
		cut := rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")
		if cut != whole && new(messageState).decode(encoded[:cut]) == nil {
			t.Fatalf("a record truncated to %d of %d bytes was decoded without an error", cut, len(encoded))
		}
	})
}

func TestCountedDeliveriesAreBounded(t *testing.T) {
	is := is.New(t)
	var state messageState
	for attempt := range uint32(maxCountedDeliveries + 3) {
		state.countFailure(attempt)
	}
	is.Equal(len(state.CountedDeliveries), maxCountedDeliveries)
	is.Equal(state.CountedDeliveries[maxCountedDeliveries-1], uint32(maxCountedDeliveries+2)) // the most recent ones are kept
}

func FuzzStateRecord(f *testing.F) {
	f.Add((&messageState{State: protocol.StateQueued, Host: "host", URI: "/path"}).append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		var state messageState
		if state.decode(b) != nil {
			return
		}
		var again messageState
		is.New(t).NoErr(again.decode(state.append(nil)))
		is.New(t).Equal(again, state)
	})
}

func TestBodyCacheIsBounded(t *testing.T) {
	is := is.New(t)
	c := newBodyCache(10)
	c.put(messageKey{1, "a"}, make([]byte, 6))
	c.put(messageKey{1, "b"}, make([]byte, 6))
	c.put(messageKey{2, "c"}, make([]byte, 4))
	_, found := c.take(messageKey{1, "b"})
	is.True(!found)
	c.drop(1)
	_, found = c.take(messageKey{1, "a"})
	is.True(!found)
	_, found = c.take(messageKey{2, "c"})
	is.True(found)
	is.Equal(c.bytes, 0)
}
