package recordlog

import (
	"bytes"
	"io"
	"testing"
)

// FuzzScanner feeds a segment's bytes to the scanner: it must terminate, stay within
// the input, and return only records that encode to the same bytes.
func FuzzScanner(f *testing.F) {
	var segment []byte
	for i, r := range []diskRecord{
		{kind: kindPut, position: 1, group: 3, version: 9, key: []byte("key"), value: []byte("value")},
		{kind: kindDelete, position: 2, continued: true, group: 3, key: []byte("key")},
		{kind: kindGeneration, position: 3, value: generationHeader{Number: 1, Salt: 5}.append(nil)},
	} {
		salt := uint64(7)
		if i == 2 {
			salt = 0
		}
		encoded := r.appendTo(nil, salt)
		segment = append(append(segment, byte(len(encoded))), encoded...)
	}
	f.Add(segment)
	f.Add(segment[:50])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newScanner(bytes.NewReader(b), int64(len(b)), &generation{salt: 7}, 1, nil)
		for range len(b) + 1 {
			r, err := s.read()
			if err == io.EOF {
				return
			}
			if err != nil {
				if !s.skip() {
					return
				}
				continue
			}
			if again := r.appendTo(nil, s.saltFor(r.kind)); !bytes.Equal(again, r.raw) {
				t.Fatalf("%x encodes to %x", r.raw, again)
			}
			var header generationHeader
			_ = header.decode(r.value)
		}
		t.Fatal("the scanner does not terminate")
	})
}
