package wire_test

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"
	"time"

	"liftgauge/balance"
	. "liftgauge/internal/wire"
)

// frame encodes a batch of records, given in hex with spaces.
func frame(t *testing.T, records ...string) []byte {
	t.Helper()
	body := unhex(t, strings.Join(records, ""))
	n := len(body) + 12
	head := []byte{byte(len(records)), 0, 0, 0, byte(n), byte(n >> 8), 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 7, 0, 0, 0}
	return append(head, body...)
}

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestEvents(t *testing.T) {
	in := frame(t,
		"2e04 03000000 c4913a5d75dd0700 00 0000 640ad2557c3bf091 001c4e0e00000000 001bb70000000000 00000040 00000000 01",
		"2404 03000000 c4913a5d75dd0700 00 a0491a0100000000 00000000 0100 074a1203 01 03 cdcccc3e0000003f52b81e3f",
		"1004 03000000 c4913a5d75dd0700 00 074a1203 01 0000003f",
		"3804 00000000 01000000 f211902c 01 01 0000c03f 0200 0300 009d966b01000000",
		"0604 03000000 04 29000000 00000000",
		"1a04 03000000 f211902c 0100 c05c150000000000 00",
		"fc03 03000000 4d00000000000000", "4c04 05000000 192b6f0e8f990900", "4204 03000000",
		"e803 03000000 0200 0400 68692037")
	b, err := NewReader(bytes.NewReader(in)).Read()
	if err != nil {
		t.Fatal(err)
	}
	if b.Seq != 7 || b.Now != 256 || len(b.Events) != 10 {
		t.Fatalf("batch %d at %d with %d events", b.Seq, b.Now, len(b.Events))
	}
	j := b.Events[0].Job
	if j.ID != 0x7dd755d3a91c4 || j.Left != 240*time.Millisecond || j.Hint != 12*time.Millisecond || j.Slots != 2 {
		t.Errorf("job %+v", j)
	}
	o := b.Events[1].Outcome
	if o.Status != balance.OK || o.Worker != 0x03124a07 || !o.Closed || len(o.Report) != 3 || o.Report[1] != 0.5 {
		t.Errorf("outcome %+v", o)
	}
	if e := b.Events[2]; e.Note != 1 || e.Amount != 0.5 {
		t.Errorf("note %+v", e)
	}
	w := b.Events[3].Entries[0]
	if w.ID != 0x2c9011f2 || w.Zone != 1 || w.State != balance.Draining || w.Weight != 1.5 || w.Kind != 2 || w.Cell != 3 {
		t.Errorf("worker %+v", w)
	}
	if b.Events[4].ListKind != balance.ListCached || b.Events[6].Seed != 0x4d || string(b.Events[9].Data) != "hi 7" {
		t.Error("list form, timer token or message")
	}
}

func TestBadInput(t *testing.T) {
	good := frame(t, "fc03 03000000 4d00000000000000")
	huge := bytes.Clone(good)
	copy(huge[4:], []byte{0xff, 0xff, 0xff, 0xff})
	count := bytes.Clone(good)
	count[0] = 9
	for name, in := range map[string][]byte{
		"truncated header":       good[:11],
		"truncated frame":        good[:len(good)-3],
		"length never sent":      huge,
		"more records declared":  count,
		"unknown event":          frame(t, "0100 03000000"),
		"record too short":       frame(t, "fc03 03000000 4d00"),
		"list longer than frame": frame(t, "3804 00000000 ffffffff"),
		"unknown state":          frame(t, "3804 00000000 01000000 f211902c 01 07 0000c03f 0200 0300 009d966b01000000"),
		"bytes left over":        frame(t, "fc03 03000000 4d00000000000000 00"),
	} {
		if _, err := NewReader(bytes.NewReader(in)).Read(); err == nil || err == io.EOF || !strings.Contains(err.Error(), "batch") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestActions(t *testing.T) {
	var r Reply
	r.Reset(12)
	p := Port{Reply: &r, Instance: 3}
	p.Send(0x7dd755d3a91c4, 0x03124a07, 80*time.Millisecond)
	p.Timer(500*time.Millisecond, 0x4d)
	Port{Reply: &r, Instance: 5}.Log("two servers known")
	p.Cancel(0x7dd755d3a91c4, 0)
	p.Watch()
	p.Fetch()
	p.Fail(0x9998f0e6f2b19)
	p.Refuse(0x9998f0e6f2b19, 250*time.Millisecond)
	p.Fault("index out of range")
	p.Probe(0x2c9011f2)
	p.CloseIdle(0x2c9011f2)
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, "1a04 03000000 c4913a5d75dd0700 074a1203 00b4c40400000000"+
		"5604 03000000 0065cd1d00000000 4d00000000000000 2e04 05000000 1100 74776f2073657276657273206b6e6f776e"+
		"e803 03000000 c4913a5d75dd0700 00 f203 03000000 01 fc03 03000000 0604 03000000 192b6f0e8f990900"+
		"1004 03000000 192b6f0e8f990900 80b2e60e00000000 3804 03000000 1200 696e646578206f7574206f662072616e6765"+
		"4c04 03000000 f211902c 2404 03000000 f211902c")
	if got := out.Bytes(); !bytes.Equal(got[12:], want) || got[0] != 11 || got[8] != 12 || int(got[4]) != (len(got)-8)&255 {
		t.Errorf("reply\n%x, want\n%x", got, want)
	}
}
