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

// TestReports: reports in any order, with more than is named, and those that nobody can go by. Each of the latter is counted, the first
// one logged, and the member's mistake does not become one of the object that it came in.
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
		bad := int64(0)
		if c.want == nil {
			bad = 2
		}
		if !reflect.DeepEqual(text, c.want) || !reflect.DeepEqual(member, c.want) || r.Unreadable() != bad || o.Err() != nil {
			t.Errorf("%.60s: %v, %v, %d bad, %v", c.text, text, member, r.Unreadable(), o.Err())
		}
		if n := strings.Count(log.String(), "load report"); n != min(int(bad), 1) {
			t.Errorf("%.60s: %d lines", c.text, n)
		}
	}
	var none *Reader
	if New(nil, nil) != nil || none.ParseText("s-1", "x0=3") != nil || none.Unreadable() != 0 {
		t.Error("a deployment without reports reads some")
	}
}

// FuzzText: no text panics, and what is read has a sound number for each name.
func FuzzText(f *testing.F) {
	f.Add("latency_ms=1,eps=0,util=0,x0=4")
	f.Add("x0==,=,x0=1e39")
	f.Fuzz(func(t *testing.T, in string) {
		r := New(columns, slog.New(slog.DiscardHandler))
		if v := r.ParseText("h", in); v != nil && len(v) != len(columns) {
			t.Error(v)
		} else {
			for _, x := range v {
				if !sound(float64(x)) {
					t.Error(x)
				}
			}
		}
	})
}
