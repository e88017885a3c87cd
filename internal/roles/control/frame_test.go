package control

import (
	"testing"

	"github.com/matryer/is"
)

func TestFrameRoundTrip(t *testing.T) {
	is := is.New(t)
	f := frame{kind: frameDuty, from: "a/1", to: "b/2", address: "127.0.0.1:1", controlPlane: "127.0.0.1:2", body: []byte("body")}
	decoded, err := decodeFrame(f.append(nil))
	is.NoErr(err)
	is.Equal(decoded, f)
	n := dutyNotice{name: dutyReader, term: 7, incarnation: 1 << 60}
	notice, err := decodeDutyNotice(n.append(nil))
	is.NoErr(err)
	is.Equal(notice, n)
}

func FuzzDecodeFrame(f *testing.F) {
	complete := frame{kind: frameElection, from: "a", to: "b", address: "c", controlPlane: "d", body: []byte("e")}
	f.Add(complete.append(nil))
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if decoded, err := decodeFrame(b); err == nil {
			if again, err := decodeFrame(decoded.append(nil)); err != nil || again.from != decoded.from || string(again.body) != string(decoded.body) {
				t.Fatalf("%+v became %+v (%v)", decoded, again, err)
			}
		}
		_, _ = decodeDutyNotice(b)
		_, _ = decodeStore("a", b)
		_, _ = decodeAward(b)
		_, _ = decodeVersion(b)
	})
}
