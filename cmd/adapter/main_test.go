package main

import (
	"bytes"
	"strings"
	"testing"

	"liftgauge/balance"
	"liftgauge/internal/wire"
)

func TestRunAnswersBatchesAndReportsErrors(t *testing.T) {
	empty := []byte{0, 0, 0, 0, 12, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 5, 0, 0, 0}
	var out bytes.Buffer
	if err := run(bytes.NewReader(empty), &out); err != nil {
		t.Errorf("clean end of input: %v", err)
	}
	if want := []byte{0, 0, 0, 0, 4, 0, 0, 0, 5, 0, 0, 0}; !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply %x, want %x", out.Bytes(), want)
	}
	up := append([]byte{1, 0, 0, 0, 31, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 6, 0, 0, 0},
		0xf2, 3, 3, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, '{')
	err := run(bytes.NewReader(up), &out)
	if err == nil || !strings.Contains(err.Error(), "batch 6") || strings.Contains(err.Error(), "\n") {
		t.Errorf("settings that are not JSON: error %v", err)
	}
}

func TestPanicIsReportedAsFault(t *testing.T) {
	h := host{dispatchers: map[uint32]*balance.Dispatcher{3: {}}} // not created by New: its first timer panics
	h.reply.Reset(1)
	if err := h.handle(&wire.Batch{Seq: 1}, &wire.Event{Code: wire.EventTimer, Instance: 3}); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if _, err := h.reply.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	if b := out.Bytes(); b[0] != 1 || b[12] != 0x38 || b[13] != 4 || !strings.Contains(out.String(), "nil pointer") {
		t.Errorf("reply %q", b)
	}
}
