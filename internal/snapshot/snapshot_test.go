package snapshot

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/replication"
)

func testSnapshot() *Snapshot {
	return &Snapshot{Node: "edge-1/control", TakenAt: time.UnixMilli(1_764_000_000_000), Epoch: 7, Generation: 2, Confirmed: true,
		Records: []replication.Record{{Key: "config/current", Version: 9, Value: []byte(`{"Revision":1}`)}, {Key: "founded", Version: 3, Value: []byte{64}}}}
}

func TestSnapshotRoundTrip(t *testing.T) {
	is := is.New(t)
	read, err := Read(bytes.NewReader(testSnapshot().Encode()))
	is.NoErr(err)
	is.Equal(read, testSnapshot())
}

func TestDamagedSnapshotsAreRefused(t *testing.T) {
	is := is.New(t)
	file := testSnapshot().Encode()
	for at := range file {
		damaged := bytes.Clone(file)
		damaged[at] ^= 0x10
		_, err := Decode(damaged)
		is.True(errors.Is(err, ErrDamaged) || at < len(magic) && errors.Is(err, ErrNotASnapshot))
		_, err = Decode(file[:at])
		is.True(errors.Is(err, ErrDamaged) || at < len(magic) && errors.Is(err, ErrNotASnapshot))
	}
	_, err := Decode([]byte("hello"))
	is.True(errors.Is(err, ErrNotASnapshot))
}

func TestNewerFormatIsRefused(t *testing.T) {
	is := is.New(t)
	body := append([]byte(magic), format+1)
	_, err := Decode(appendChecksum(body))
	is.True(errors.Is(err, ErrNewerFormat))
}

func FuzzDecode(f *testing.F) {
	f.Add(testSnapshot().Encode()[len(magic):])
	f.Add([]byte{format, 0, 0, 0, 0, 0, 200, 1})
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Decode(appendChecksum(append([]byte(magic), body...)))
		if err != nil {
			return
		}
		again, err := Decode(s.Encode())
		if err != nil || len(again.Records) != len(s.Records) {
			t.Fatalf("%v, %d records of %d", err, len(again.Records), len(s.Records))
		}
	})
}
