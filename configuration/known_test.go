package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// editable is a configuration that a test modifies.
type editable struct {
	Revision int
	Routes   []map[string]any
	Services []map[string]any
}

func (e *editable) route(name string, timeout int) map[string]any {
	return map[string]any{"Name": name, "Hostname": "h", "PathPrefix": "/" + name, "Backend": e.Services[0]["Name"], "TimeoutMs": timeout}
}

func (e *editable) nextRevision() []byte {
	e.Revision++
	b, _ := json.Marshal(e)
	return b
}

func drawEdit(t *rapid.T, e *editable, step int) {
	place := rapid.IntRange(0, max(0, len(e.Routes)-1)).Draw(t, "place")
	switch edit := rapid.SampledFrom([]string{"add", "change", "remove", "swap", "duplicate", "service"}).Draw(t, "edit"); {
	case edit == "add" || len(e.Routes) == 0:
		e.Routes = slices.Insert(e.Routes, min(place, len(e.Routes)), e.route(fmt.Sprint("added", step), 5))
	case edit == "change":
		e.Routes[place]["TimeoutMs"] = rapid.IntRange(0, 3).Draw(t, "timeout") // 0 is rejected
	case edit == "remove":
		e.Routes = slices.Delete(e.Routes, place, min(place+rapid.IntRange(1, 5).Draw(t, "count"), len(e.Routes)))
	case edit == "swap":
		e.Routes[0], e.Routes[place] = e.Routes[place], e.Routes[0]
	case edit == "duplicate": // is rejected
		e.Routes = append(e.Routes, e.Routes[place])
	case edit == "service":
		e.Services[0]["MaxConnections"] = step
	}
}

// TestParseAfterEqualsParse checks that reusing items of the previous configuration changes neither results nor errors.
func TestParseAfterEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &editable{Services: []map[string]any{{"Name": "s"}, {"Name": "other"}}}
		for n := range rapid.IntRange(0, 12).Draw(t, "routes") {
			e.Routes = append(e.Routes, e.route(fmt.Sprint("r", n), 7))
		}
		var previous *Configuration
		for step := range rapid.IntRange(1, 10).Draw(t, "steps") {
			drawEdit(t, e, step)
			body := e.nextRevision()
			want, wantErr := Parse(body)
			got, err := ParseAfter(previous, body)
			if fmt.Sprint(wantErr) != fmt.Sprint(err) || !reflect.DeepEqual(want, got) {
				t.Fatalf("%s after %+v: %+v, %v; without it %+v, %v", body, previous, got, err, want, wantErr)
			}
			if err == nil {
				previous = got
			}
		}
	})
}

// TestUnchangedItemsAreNotDecodedAgain compares the allocations of Parse and ParseAfter: decoding an item allocates the strings of its fields.
func TestUnchangedItemsAreNotDecodedAgain(t *testing.T) {
	is := is.New(t)
	e := &editable{Services: []map[string]any{{"Name": "s"}}}
	for n := range 1000 {
		e.Routes = append(e.Routes, e.route(fmt.Sprint("r", n), 7))
	}
	previous, err := Parse(e.nextRevision())
	is.NoErr(err)
	e.Routes = slices.Delete(e.Routes, 300, 303)
	e.Routes[500]["TimeoutMs"] = 8
	body := e.nextRevision()
	full := testing.AllocsPerRun(5, func() { _, err = Parse(body) })
	is.NoErr(err)
	after := testing.AllocsPerRun(5, func() { _, err = ParseAfter(previous, body) })
	is.NoErr(err)
	t.Logf("%v allocations, %v with the previous configuration", full, after)
	is.True(after < full/2)
}

func BenchmarkParseAfter(b *testing.B) {
	previous := parse(b, largeConfiguration(1400))
	next, err := previous.Update([]byte(`{"Revision":2,"Remove":{"Routes":["r-700"]}}`))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseAfter(previous, next.Raw); err != nil {
			b.Fatal(err)
		}
	}
}
