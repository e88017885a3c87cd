package fleetlog

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/fstest"
	"time"
)

// log writes lines in the format of a dispatcher. Each is a time in milliseconds, a message and its fields.
func log(json bool, lines ...[]any) []byte {
	var b bytes.Buffer
	o := &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			a.Value = slog.TimeValue(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(now))
		}
		return a
	}}
	var h slog.Handler = slog.NewTextHandler(&b, o)
	if json {
		h = slog.NewJSONHandler(&b, o)
	}
	for _, l := range lines {
		now = time.Duration(l[0].(int)) * time.Millisecond
		slog.New(h).Debug(l[1].(string), l[2:]...)
	}
	return b.Bytes()
}

var now time.Duration // time of the line that log is writing

func send(at int, message, host string, zone int, more ...any) []any {
	return append([]any{at, "attempt", "message", message, "host", host, "kind", 1, "zone", zone, "cell", 7, "waited", time.Millisecond}, more...)
}

func started(at int, message, host string) []any {
	return []any{at, "attempt started", "message", message, "host", host, "took", time.Millisecond}
}

func ended(at int, message, host string, status int) []any {
	return []any{at, "attempt ended", "message", message, "host", host, "status", status, "took", time.Millisecond}
}

func answered(at int, message string, class, kind int) []any {
	return []any{at, "answered", "message", message, "class", class, "kind", kind}
}

// TestCount counts the logs of dispatchers, one of which logs JSON with numbers put before its lines, among files that are not logs of a
// dispatcher or end in the middle of a line: these are reported and don't affect the counts.
func TestCount(t *testing.T) {
	n1 := log(true, send(500, "c", "s-1", 0), started(1500, "c", "s-1"), ended(2500, "c", "s-1", 1), answered(2500, "c", 1, 1),
		ended(2600, "x", "s-9", 1), []any{2700, "late report", "message", "c"})
	n1 = []byte("0.5 " + strings.ReplaceAll(strings.TrimSpace(string(n1)), "\n", "\n2.7 ") + "\n")
	dir := fstest.MapFS{
		"n0.log": {Data: append(log(false, send(0, "a", "s-1", 0, "age", 2*time.Second), started(10, "a", "s-1"), ended(1010, "a", "s-1", 1), answered(1010, "a", 0, 1),
			send(1020, "b", "s-2", 3, "age", 9*time.Second), ended(1320, "b", "s-2", 7), send(1330, "b", "s-1", 0, "age", 3*time.Second),
			[]any{1400, "it's a \"quoted\" text", "why", "a b=c"}), "panic: what is this\n"...)},
		"n1.log":    {Data: n1},
		"n2.log":    {Data: []byte("2026 something else\nof another program\n")},
		"n3.log":    {Data: append(log(false, send(3000, "d", "s-3", 3)), `time=2026-01-02T03:04:09Z level=DEBUG msg="att`...)},
		"n4.log":    {Data: append(bytes.Repeat([]byte("x"), 3*maxLine), '\n')},
		"n5.log":    {Data: nil},
		"notes.txt": {Data: []byte("not a log")},
	}
	c, err := Count(dir, 8*time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(c.Attempts, c.Dispatchers, c.Late, c.Statuses, c.HostsByZone, c.MessagesByAttempts, c.Outcomes, c.Unanswered, c.Cold, c.MaxColdPerHost, c.HomeZones)
	// Attempts: a, b, b again, c, d. Late: b (never started), b again and c. d is open until the end of the logs, which is its send time.
	want := "5 3 3 map[none:2 ok:2 withdrawn:1] map[0:1 3:2] map[1:3 2:1] [{0 1 1} {1 1 1}] 2 2 2 map[0:2 3:1]"
	if got != want {
		t.Errorf("%s\nwant %s", got, want)
	}
	if c.Unrecognized != 4 || fmt.Sprint(c.Truncated, c.Foreign) != "[n3.log] [n2.log n4.log n5.log]" || c.Orphans != 1 {
		t.Errorf("%d unrecognized lines, truncated %v, foreign %v, %d orphans", c.Unrecognized, c.Truncated, c.Foreign, c.Orphans)
	}
	// s-1, the only host of zone 0, runs a from 10 to 1010 ms and c from 1500 to 2500 ms.
	if r := c.Times; len(r) != 4 || fmt.Sprintf("%.2f %.2f %.2f", r[0][0].Running, r[1][0].Running, r[2][0].Running) != "0.99 0.51 0.50" || r[0][0].Sent != 2 || r[0][0].Waited != 1 {
		t.Errorf("%+v", r)
	}
	if c.OutsideHomeZone != 0.2 || c.Span != 3*time.Second || fmt.Sprint(c.Spreads) != "[{0 1 1 3 3 3} {3 1 2 1 1 1}]" {
		t.Error(c.OutsideHomeZone, c.Span, c.Spreads)
	}
	lines, _, err := Follow(dir, "b")
	if err != nil || len(lines) != 3 || lines[0].Dispatcher != "n0" || lines[2].At.Before(lines[0].At) {
		t.Error(lines, err)
	}
}

// TestCountWithoutUsableLogsFails checks that a directory without debug logs of a dispatcher is an error rather than empty counts.
func TestCountWithoutUsableLogsFails(t *testing.T) {
	for name, dir := range map[string]fstest.MapFS{"empty": {}, "foreign": {"a.log": {Data: []byte("hello\n")}},
		"info only": {"n0.log": {Data: log(false, []any{0, "serving", "name", "n0"})}}} {
		if _, err := Count(dir, time.Second, time.Second); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// FuzzRead checks that reading any file terminates, and that each line is parsed, unrecognized, or truncated.
func FuzzRead(f *testing.F) {
	f.Add(log(false, send(0, "a", "s-1", 0)))
	f.Add(log(true, send(0, "a", "s-1", 0)))
	f.Add([]byte("1.5 time=2026-01-02T03:04:05Z msg=\"x\\\"\" a=\n{\"time\":\"\"}\n\n= =\nmsg"))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := 0
		noise, err := Read(fstest.MapFS{"n.log": {Data: data}}, func(l Line) {
			if n++; l.Message == "" || l.At.IsZero() && l.Fields["time"] == "" {
				t.Errorf("%+v", l)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		if lines := bytes.Count(data, []byte("\n")); n+noise.Unrecognized > lines+1 {
			t.Errorf("%d lines and %d unrecognized ones of %d", n, noise.Unrecognized, lines)
		}
		_, _ = Count(fstest.MapFS{"n.log": {Data: data}}, time.Second, time.Second)
	})
}
