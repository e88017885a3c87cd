package load

import (
	"bytes"
	"log/slog"
	"reflect"
	"strings"
	"testing"

	"liftgauge/internal/jsonval"
)

var columns = []string{"latency_ms", "eps", "util", "x0"}

// TestReports covers reports in any order, with additional values, and unreadable ones. Each unreadable report is counted, the first one is
// logged, and an error in the member does not become an error of the object that contains it.
func TestReports(t *testing.T) {
	full := []float32{12.5, 0, 0.75, 3}
	for _, c := range []struct {
		text, json string
		want       []float32
	}{
		{"latency_ms=12.5,eps=0,util=0.75,x0=3", `{"latency_ms":12.5,"eps":0,"util":0.75,"x0":3}`, full},
		{" x0=3 , util=0.75,mood=9,eps=0,latency_ms=12.5", `{"x0":3,"mood":"good","util":0.75,"eps":0,"latency_ms":12.5}`, full},
		{"latency_ms=12.5,eps=0,util=0.75", `{"latency_ms":12.5,"eps":0,"util":0.75}`, nil},
		{"latency_ms=12.5,eps=0,util=0.75,x0=-3", `{"latency_ms":12.5,"eps":0,"util":0.75,"x0":-3}`, nil},
		{"latency_ms=12.5,eps=0,util=0.75,x0=Inf", `{"latency_ms":12.5,"eps":0,"util":0.75,"x0":1e400}`, nil},
		{"latency_ms=12.5,eps=NaN,util=0.75,x0=3", `{"latency_ms":12.5,"eps":NaN,"util":0.75,"x0":3}`, nil},
		{"latency_ms=12.5,eps=0,util=0.75,x0=3,x0=4", `[3]`, nil},
		{"free", `"free"`, nil},
		{strings.Repeat("x", 1<<20), `{"x0":{}}`, nil},
	} {
		var log bytes.Buffer
		r := New(columns, slog.New(slog.NewTextHandler(&log, nil)))
		var p jsonval.Parser
		o, err := p.Parse([]byte(`{"id":"a","load":` + c.json + `}`))
		if err != nil {
			t.Fatal(err)
		}
		text, member := r.ParseText("s-1", c.text), r.ParseMember("s-1", o, "load")
		unreadable := int64(0)
		if c.want == nil {
			unreadable = 2
		}
		if !reflect.DeepEqual(text, c.want) || !reflect.DeepEqual(member, c.want) || r.Unreadable() != unreadable || o.Err() != nil {
			t.Errorf("%.60s: %v, %v, %d unreadable, %v", c.text, text, member, r.Unreadable(), o.Err())
		}
		if n := strings.Count(log.String(), "load report"); n != min(int(unreadable), 1) {
			t.Errorf("%.60s: %d lines", c.text, n)
		}
	}
	var none *Reader
	if New(nil, nil) != nil || none.ParseText("s-1", "x0=3") != nil || none.Unreadable() != 0 {
		t.Error("a deployment without reports reads some")
	}
}

// FuzzParseText checks that no text causes a panic, and that a report has a valid number for each name.
func FuzzParseText(f *testing.F) {
	f.Add("latency_ms=1,eps=0,util=0,x0=4")
	f.Add("x0==,=,x0=1e39")
	f.Fuzz(func(t *testing.T, in string) {
		r := New(columns, slog.New(slog.DiscardHandler))
		if v := r.ParseText("h", in); v != nil && len(v) != len(columns) {
			t.Error(v)
		} else {
			for _, x := range v {
				if !valid(float64(x)) {
					t.Error(x)
				}
			}
		}
	})
}
