package replication

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"liftgauge/reconcile"
)

func drawStrings(t *rapid.T, label string) []string {
	list := rapid.SliceOfN(rapid.String(), 0, 4).Draw(t, label)
	if len(list) == 0 {
		return nil
	}
	return list
}

func drawView(t *rapid.T) View {
	return View{
		Epoch: rapid.Uint64Max(EpochLimit-1).Draw(t, "epoch"), Primary: rapid.String().Draw(t, "primary"),
		Members: drawStrings(t, "members"), Learners: drawStrings(t, "learners"), Sources: drawStrings(t, "sources"),
	}
}

func drawControlView(t *rapid.T) ControlView {
	v := ControlView{View: drawView(t), Witnesses: drawStrings(t, "witnesses")}
	for range rapid.IntRange(0, 3).Draw(t, "peers") {
		v.Peers = append(v.Peers, drawPeer(t))
	}
	v.Generation = rapid.Uint64().Draw(t, "generation")
	return v
}

func drawPeer(t *rapid.T) Peer {
	return Peer{Member: rapid.String().Draw(t, "member"), Address: rapid.String().Draw(t, "address")}
}

func drawRange(t *rapid.T) reconcile.Range {
	r := reconcile.All()
	for range rapid.IntRange(0, 16).Draw(t, "splits") {
		r = r.Split()[rapid.IntRange(0, reconcile.Fanout-1).Draw(t, "part")]
	}
	return r
}

func drawDigest(t *rapid.T) reconcile.Digest {
	return reconcile.Digest{Count: rapid.Uint64().Draw(t, "count"), Sum: rapid.Uint64().Draw(t, "sum")}
}

func drawRanges(t *rapid.T) []reconcile.Range {
	var list []reconcile.Range
	for range rapid.IntRange(0, 3).Draw(t, "ranges") {
		list = append(list, drawRange(t))
	}
	return list
}

func drawRecords(t *rapid.T) []Record {
	var records []Record
	for _, key := range drawStrings(t, "keys") {
		records = append(records, Record{
			Key: key, Version: rapid.Uint64().Draw(t, "version"), Deleted: rapid.Bool().Draw(t, "deleted"),
			Value: append([]byte{}, rapid.String().Draw(t, "value")...),
		})
	}
	return records
}

func drawMessage(t *rapid.T) Message {
	n, e := rapid.Uint64(), rapid.Uint64Max(EpochLimit-1)
	epoch, stream := e.Draw(t, "epoch"), n.Draw(t, "stream")
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return &Join{Epoch: epoch, Stream: stream, View: drawView(t)}
	case 1:
		return &JoinReply{Epoch: epoch, Stream: stream, OK: rapid.Bool().Draw(t, "ok"), Joined: e.Draw(t, "joined"), Digest: drawDigest(t)}
	case 2:
		return &RangeQuery{Epoch: epoch, Stream: stream, Digests: drawRanges(t), Items: drawRanges(t)}
	case 3:
		m := &RangeReply{Epoch: epoch, Stream: stream}
		for _, r := range drawRanges(t) {
			m.Digests = append(m.Digests, RangeDigest{Range: r, Digest: drawDigest(t)})
		}
		for _, r := range drawRanges(t) {
			list := RangeItems{Range: r}
			for _, key := range drawStrings(t, "keys") {
				list.Items = append(list.Items, reconcile.Item{Key: key, Version: n.Draw(t, "version")})
			}
			m.Items = append(m.Items, list)
		}
		return m
	case 4:
		return &Append{Epoch: epoch, Stream: stream, Seq: n.Draw(t, "seq"), Records: drawRecords(t)}
	case 5:
		return &RecordQuery{Epoch: epoch, Stream: stream, Keys: drawStrings(t, "keys")}
	case 6:
		return &RecordReply{Epoch: epoch, Stream: stream, Covered: n.Draw(t, "covered"), Records: drawRecords(t)}
	}
	return &AppendAck{Epoch: epoch, Stream: stream, Seq: n.Draw(t, "seq"), Joined: e.Draw(t, "joined"), Failed: rapid.Bool().Draw(t, "failed")}
}

func drawElectionMessage(t *rapid.T) ElectionMessage {
	n, e, b := rapid.Uint64(), rapid.Uint64Max(EpochLimit-1), rapid.Bool()
	switch codePrepareEpoch + byte(rapid.IntRange(0, 8).Draw(t, "kind")) {
	case codePrepareEpoch:
		return &PrepareEpoch{Epoch: e.Draw(t, "epoch"), Forced: b.Draw(t, "forced"), Founding: b.Draw(t, "founding")}
	case codePrepareAnswer:
		return &PrepareAnswer{
			Epoch: e.Draw(t, "epoch"), Granted: b.Draw(t, "granted"), Busy: b.Draw(t, "busy"), Promised: e.Draw(t, "promised"),
			Installed: drawControlView(t), Leaving: b.Draw(t, "leaving"),
		}
	case codeInstallEpoch:
		return &InstallEpoch{View: drawControlView(t)}
	case codeInstallAnswer:
		return &InstallAnswer{Epoch: e.Draw(t, "epoch"), Accepted: b.Draw(t, "accepted"), Promised: e.Draw(t, "promised")}
	case codeHeartbeat:
		return &Heartbeat{Epoch: e.Draw(t, "epoch"), Round: n.Draw(t, "round"), View: drawControlView(t)}
	case codeHeartbeatAnswer:
		return &HeartbeatAnswer{
			Epoch: e.Draw(t, "epoch"), Round: n.Draw(t, "round"), StillPrimary: b.Draw(t, "stands"), Promised: e.Draw(t, "promised"),
			PromisedElsewhere: b.Draw(t, "foreign"), Installed: e.Draw(t, "installed"), Leaving: b.Draw(t, "leaving"),
		}
	case codeIntroduce:
		return &Introduce{Founder: b.Draw(t, "founder")}
	case codeIntroduceAnswer:
		return &IntroduceAnswer{Founder: b.Draw(t, "founder"), Installed: drawControlView(t)}
	}
	return &Campaign{Epoch: e.Draw(t, "epoch")}
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		encoded := m.Append(nil)
		got, err := DecodeMessage(encoded)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, %v for %+v", got, err, m)
		}
		if got, err := DecodeMessage(append(encoded, "fields of a later version"...)); err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("with trailing fields: got %+v, %v for %+v", got, err, m)
		}
	})
}

func TestElectionFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := ElectionFrame{From: drawPeer(t), Message: drawElectionMessage(t)}
		encoded := f.Append(nil)
		var got ElectionFrame
		if err := got.Decode(append(encoded, "fields of a later version"...)); err != nil || !reflect.DeepEqual(got, f) {
			t.Fatalf("got %+v, %v for %+v", got, err, f)
		}
	})
}

// An epoch at or above the limit can only come from a corrupted message. It must not exhaust the epochs.
func TestEpochsBeyondTheLimitAreMalformed(t *testing.T) {
	is := is.New(t)
	view := ControlView{View: View{Epoch: EpochLimit}}
	for _, m := range []ElectionMessage{
		&PrepareEpoch{Epoch: EpochLimit}, &PrepareAnswer{Promised: EpochLimit}, &PrepareAnswer{Installed: view}, &InstallEpoch{View: view},
		&InstallAnswer{Promised: EpochLimit}, &Heartbeat{Epoch: EpochLimit}, &HeartbeatAnswer{Promised: EpochLimit}, &IntroduceAnswer{Installed: view}, &Campaign{Epoch: EpochLimit},
	} {
		f := ElectionFrame{Message: m}
		is.True(errors.Is(new(ElectionFrame).Decode(f.Append(nil)), ErrMalformed))
	}
	for _, m := range []Message{&Join{Epoch: EpochLimit}, &JoinReply{Joined: EpochLimit}, &Append{Epoch: EpochLimit}, &AppendAck{Joined: EpochLimit}} {
		_, err := DecodeMessage(m.Append(nil))
		is.True(errors.Is(err, ErrMalformed))
	}
}

// The last epoch below the limit is the last one that a process campaigns for.
func TestNoCandidacyBeyondTheEpochLimit(t *testing.T) {
	is := is.New(t)
	for promised, campaigns := range map[uint64]bool{EpochLimit - 1: false, EpochLimit - 2: true} {
		self := Peer{Member: "a/1", Address: "a"}
		g := Register{Promised: promised, Candidate: "a/1", Installed: FirstViewOfGeneration(self, promised, 0)}
		e := NewElector(ElectorOptions{Self: self, Register: &g, Random: func(int64) int64 { return 0 }})
		prepares := false
		for now := time.Second; now < 3*time.Second; now += 50 * time.Millisecond {
			for _, a := range e.Tick(now) {
				if register, ok := a.(PersistRegister); ok {
					e.Persisted(register.Token, nil, now)
					prepares = prepares || register.Register.Promised > promised
				}
			}
		}
		is.Equal(prepares, campaigns)
	}
}

func TestRegisterRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Register{
			Promised: rapid.Uint64Max(EpochLimit-1).Draw(t, "promised"), Candidate: rapid.String().Draw(t, "candidate"),
			Installed: drawControlView(t), Founder: rapid.Bool().Draw(t, "founder"), Seeds: drawStrings(t, "seeds"),
		}
		s := newMemoryStorage()
		s.Append(LocalGroup, []Record{RegisterRecord(g)}, nil)
		got, found, err := LoadRegister(s)
		if err != nil || !found || !reflect.DeepEqual(got, g) {
			t.Fatalf("got %+v, %v, %v for %+v", got, found, err, g)
		}
	})
}

func TestMalformedBytesAreRejected(t *testing.T) {
	is := is.New(t)
	for _, bytes := range []string{"", "\x00", "\xff", "\x05\x01\x01\x01\x7f", "\x01\x01\x01\xff\xff\xff\xff\x0f"} {
		_, err := DecodeMessage([]byte(bytes))
		is.True(errors.Is(err, ErrMalformed))
	}
	var f ElectionFrame
	is.True(errors.Is(f.Decode(nil), ErrMalformed))
	is.True(errors.Is(f.Decode([]byte{99}), ErrMalformed))
	is.True(errors.Is(f.Decode([]byte{codeHeartbeat, 200}), ErrMalformed))
}

// Every message that decodes without an error survives another round of encoding and decoding.
func FuzzDecodeMessage(f *testing.F) {
	f.Add((&Join{Epoch: 1, Stream: 2, View: View{Epoch: 1, Primary: "a", Members: []MemberID{"a", "b"}}}).Append(nil))
	f.Add((&Append{Epoch: 1, Stream: 2, Seq: 3, Records: []Record{{Key: "k", Version: 4, Value: []byte("v")}}}).Append(nil))
	f.Add((&RangeReply{Epoch: 1, Stream: 2, Digests: []RangeDigest{{}}, Items: []RangeItems{{Items: []reconcile.Item{{Key: "k"}}}}}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		again, err := DecodeMessage(m.Append(nil))
		if err != nil || string(again.Append(nil)) != string(m.Append(nil)) {
			t.Fatalf("%+v decoded again as %+v, %v", m, again, err)
		}
	})
}

func FuzzDecodeElectionFrame(f *testing.F) {
	v := ControlView{View: View{Epoch: 1, Primary: "a", Members: []MemberID{"a"}}, Witnesses: []MemberID{"a"}, Peers: []Peer{{"a", "m"}}}
	for _, m := range []ElectionMessage{&PrepareAnswer{Epoch: 1, Installed: v}, &Heartbeat{Epoch: 1, View: v}, &IntroduceAnswer{Installed: v}, &Campaign{Epoch: 3}} {
		frame := ElectionFrame{From: Peer{"a", "m"}, Message: m}
		f.Add(frame.Append(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame, again ElectionFrame
		if frame.Decode(b) != nil {
			return
		}
		if err := again.Decode(frame.Append(nil)); err != nil || string(again.Append(nil)) != string(frame.Append(nil)) {
			t.Fatalf("%+v decoded again as %+v, %v", frame, again, err)
		}
	})
}
