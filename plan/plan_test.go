package plan

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"liftgauge/internal/capture"
	"liftgauge/sim"
)

const base = `
stations: {
	a: {boxes: {fast: 3}, load: 1}
	b: {boxes: {fast: 1, slow: 2}, dispatchers: 0, load: 1}
}
kinds: {fast: {cores: 2, speed: 1}, slow: {cores: 2, speed: 0.7}}
classes: {
	reading: {aim: "200ms", stretch: 2.5, worth: 2, lateWorth: 0.25, effect: "keyed", mix: 9, work: mean: "200ms"}
	warning: {aim: "200ms", stretch: 2.5, worth: 10, lateWorth: 0.2, effect: "unsafe", mix: 1, work: mean: "200ms"}
}
load: {rate: 20, length: "20s"}
goals: {service: 0.9, worst10s: 0.5}
`

func fleet(t *testing.T, more string) *Fleet {
	t.Helper()
	f, err := Parse("f.cue", []byte(base+more), false)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func judge(t *testing.T, f *Fleet, factor float64, with worldChange) Outcome {
	t.Helper()
	p := Planner{Fleet: f, Seed: 1, MinDays: 4, MaxDays: 8}
	o, err := p.Evaluate(context.Background(), "day", f, factor, with)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func TestFleetMistakesAreReportedByLineAndField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`speed: 0.7`, `speed: -1`, "f.cue:6: kinds.slow.speed: invalid value -1"},
		{`slow: 2}, disp`, `odd: 2}, disp`, "f.cue:4: stations.b.boxes.odd: want a kind"},
		{`"200ms", stretch`, `200, stretch`, "f.cue:8: classes.reading.aim: conflicting values 200"},
		{`load: {rate`, `lode: {rate`, "f.cue:11: lode: field not allowed"},
		{`goals: {`, `goals: {inTime: other: 0.5, `, "f.cue:12: goals.inTime.other: want a class"},
		{`kinds: {`, `network: ways: [{from: "a", to: "z", oneWay: "1ms"}]` + "\nkinds: {", "f.cue:6: network.ways.0: want a station, have \"z\""},
		{`boxes: {fast: 3}`, `boxes: {fast: 3, x: x}`, "stations.a.boxes.x: "},
		{`{cores: 2, speed: 0.7}`, `{cores: 2}`, "f.cue:6: kinds.slow.speed: want a number"},
		{"\nstations", "\nimport \"f.cue\"\nstations", "f.cue:2: "},
		{`effect: "unsafe"`, `effect: "sometimes"`, "f.cue:9: classes.warning.effect: "},
	} {
		text := strings.Replace(base, c.old, c.new, 1)
		if text == base {
			t.Fatalf("nothing replaced for %s", c.want)
		}
		if _, err := Parse("f.cue", []byte(text), false); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
	if _, err := Parse("f.cue", []byte(strings.Replace(base, "boxes: {fast: 1, slow: 2}", "boxes: {}", 1)), false); err != nil {
		t.Errorf("a station without boxes: %v", err)
	}
}

func TestBoundsMatchHandComputedUse(t *testing.T) {
	f := fleet(t, "")
	for _, l := range f.Bounds() {
		want := map[string]float64{"boxes' cores/all": 4 / 10.8, "the station's own boxes/a": 2 / 6., "the station's own boxes/b": 2 / 4.8, "a dispatcher's CPU/a": 0.002}[l.Resource+"/"+l.Where]
		if want > 0 && (l.Use < want*0.999 || l.Use > want*1.001 || l.At < 0.999/want || l.At > 1.001/want) {
			t.Errorf("%+v, want %.3f", l, want)
		}
	}
}

// TestScaledFleetHasRequestedSize: a scaled fleet has exactly the requested number of boxes, and today's number gives today's fleet.
func TestScaledFleetHasRequestedSize(t *testing.T) {
	f := fleet(t, "")
	if g := f.Scaled(f.Boxes()); !reflect.DeepEqual(g.Stations["b"].Boxes, f.Stations["b"].Boxes) {
		t.Errorf("%+v", g.Stations)
	}
	for n := range 40 {
		if got := f.Scaled(n).Boxes(); got != n {
			t.Errorf("%d boxes, want %d", got, n)
		}
	}
}

// TestSameSeedGivesSamePlan: the same seed gives the same answer, byte for byte, on one core and on four.
func TestSameSeedGivesSamePlan(t *testing.T) {
	answer := func(procs int) []byte {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(procs))
		f := fleet(t, "")
		f.Load.Length = Duration(8 * time.Second)
		a, err := (&Planner{Fleet: f, Seed: 5, MinDays: 2, MaxDays: 4}).Plan(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		a.Seconds = 0
		text, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		var page bytes.Buffer
		if err := a.HTML(&page, f); err != nil {
			t.Fatal(err)
		}
		if s := page.String(); strings.Contains(s, "http://") && !strings.Contains(s, "www.w3.org") || strings.Count(s, "<svg") < 3 {
			t.Errorf("%d plots", strings.Count(s, "<svg"))
		}
		return append(text, page.Bytes()...)
	}
	if one, four := answer(1), answer(4); !bytes.Equal(one, four) {
		t.Error("one core and four give different plans")
	}
}

// TestEdgeCases: a single box, no load, load far over capacity, an unreachable goal, a goal that is easily met.
func TestEdgeCases(t *testing.T) {
	plan := func(f *Fleet) *Answer {
		t.Helper()
		a, err := (&Planner{Fleet: f, Seed: 1, MinDays: 2, MaxDays: 4}).Plan(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		a.Text(&bytes.Buffer{}, f)
		return a
	}
	short := func(f *Fleet) *Fleet { f.Load.Length = Duration(6 * time.Second); return f }
	one := short(fleet(t, ""))
	one.Stations = map[string]Station{"a": {Boxes: map[string]int{"fast": 1}, Dispatchers: 1, Load: 1}}
	one.Load.Rate = 2
	if a := plan(one); a.Boxes != 1 || a.Fewest == 0 {
		t.Errorf("one box: %d of %d, %s", a.Fewest, a.Boxes, a.Fleet)
	}
	none := short(fleet(t, ""))
	none.Load.Rate = 0
	if a := plan(none); a.Today.Verdict != Met || a.Tip != 0 || a.Fewest != 1 {
		t.Errorf("no load: %+v", a.Today)
	}
	overloaded := short(fleet(t, ""))
	overloaded.Load.Rate = 400
	if a := plan(overloaded); a.Today.Verdict != Missed || a.First[0].Resource != "boxes' cores" || a.Fewest <= a.Boxes {
		t.Errorf("load far over capacity: %s, first %+v, %d boxes", a.Today.Verdict, a.First, a.Fewest)
	}
	unreachable := short(fleet(t, ""))
	unreachable.Dispatcher.CPUPerJob = Duration(48 * time.Millisecond)
	unreachable.Goals.Service = 1
	for name, c := range unreachable.Classes {
		c.Aim, c.Stretch = Duration(time.Millisecond), 0
		unreachable.Classes[name] = c
	}
	if a := plan(unreachable); a.Fewest != 0 || !strings.Contains(a.Fleet, "no fleet") || !strings.Contains(a.Fleet, "a dispatcher's CPU in a") {
		t.Errorf("unreachable goal: %d, %s", a.Fewest, a.Fleet)
	}
	easy := short(fleet(t, ""))
	easy.Load.Rate = 3
	if a := plan(easy); a.Fewest >= a.Boxes || a.Fewest == 0 {
		t.Errorf("easily met goal: %d of %d boxes", a.Fewest, a.Boxes)
	}
}

// TestCancelledPlanIsPartial: a plan whose context is cancelled returns what is known and is marked as partial.
func TestCancelledPlanIsPartial(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	p := Planner{Fleet: fleet(t, ""), Seed: 1, MinDays: 2, MaxDays: 2, OnOutcome: func(Outcome) { stop() }}
	a, err := p.Plan(ctx)
	if err != nil || !a.Partial || a.Today.Days == 0 {
		t.Fatalf("%v, %+v", err, a)
	}
	var out bytes.Buffer
	if a.Text(&out, p.Fleet); !strings.HasPrefix(out.String(), "PARTIAL") {
		t.Error(out.String())
	}
}

// TestLossOfStationCostsMoreAtPeak: losing a station's boxes costs more service at peak load than at low load, and boxes that return
// cold all at once do not crash under overload.
func TestLossOfStationCostsMoreAtPeak(t *testing.T) {
	f := fleet(t, "")
	f.Load.Rate = 38
	loseStation := func(e sim.Effect) worldChange {
		return func(w *sim.World) {
			w.Faults = []sim.Fault{{At: 7 * time.Second, Effect: e, Target: 0, For: 6 * time.Second}}
		}
	}
	peak, low, noFault := judge(t, f, 1, loseStation(sim.StationBoxes)), judge(t, f, 0.3, loseStation(sim.StationBoxes)), judge(t, f, 1, nil)
	if !(peak.Service.Mean < noFault.Service.Mean-0.05 && low.Service.Mean > peak.Service.Mean+0.05) {
		t.Errorf("station lost at peak load %.3f, at low load %.3f, no fault %.3f", peak.Service.Mean, low.Service.Mean, noFault.Service.Mean)
	}
	if peak.Broken+low.Broken > 0 {
		t.Errorf("%d and %d rules broken", peak.Broken, low.Broken)
	}
}

// TestRetriesAmplifyOverload: retries do not harm service below the tipping point, and add to the load above it.
func TestRetriesAmplifyOverload(t *testing.T) {
	calm, storm := fleet(t, "retry: most: 0\n"), fleet(t, "retry: {most: 3, pause: \"20ms\", advice: false, each: \"1500ms\"}\n")
	if a, b := judge(t, calm, 0.5, nil), judge(t, storm, 0.5, nil); b.Service.Mean < a.Service.Mean-0.02 {
		t.Errorf("below the tipping point: %.3f without retries, %.3f with", a.Service.Mean, b.Service.Mean)
	}
	if b := judge(t, storm, 5, nil); b.Tries < 1.5 {
		t.Errorf("above the tipping point: %.2f tries per job", b.Tries)
	}
}

// TestCapturedLoadIsFitted: captured records reproduce the load, and the fitted work has the right sample sizes.
func TestCapturedLoadIsFitted(t *testing.T) {
	h := capture.Header{Classes: []string{"reading", "warning", "gone"}, Zones: []string{"a", "b"}, Kinds: []string{"slow", "fast"}}
	var records []capture.Record
	for i := range 600 {
		r := capture.Record{Arrived: int64(i) * 5e7, Class: i % 3, Zone: i % 2, Timeout: 5e9, Retry: i%60 == 1, Outcome: capture.Served}
		if i%2 == 0 { // half of them have a known run on the slow kind, so their work is 0.7 of the running time
			r.Attempts = []capture.Attempt{{Kind: 0, Sent: 0, Began: 1e6, Ended: 1e6 + 1e8, Status: 1, Age: -1}}
		}
		records = append(records, r)
	}
	f := fleet(t, "")
	fitted, speeds, err := f.UseCaptured(h, records, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(fitted) != 2 || fitted[0].Class != "reading" || fitted[0].Records != 200 || fitted[0].Runs != 100 || fmt.Sprintf("%.3f", fitted[0].Work.Mean) != "0.070" {
		t.Errorf("%+v", fitted)
	}
	if len(speeds) != 1 || speeds[0].Kind != "slow" {
		t.Errorf("%+v", speeds)
	}
	w := f.World(1, 1)
	if n := len(w.Arrivals); n != 390 || f.Load.Rate < 12.5 || f.Load.Rate > 13.5 {
		t.Errorf("%d arrivals, %.1f a second", n, f.Load.Rate)
	}
	if _, _, err := fleet(t, "").UseCaptured(capture.Header{Classes: []string{"x"}}, records, 0); err == nil {
		t.Error("records without a known class were accepted")
	}
}

// TestDocumentedExampleIsValid: the example fleet in the documentation is a valid fleet file.
func TestDocumentedExampleIsValid(t *testing.T) {
	text, err := os.ReadFile("../docs/fleet.cue")
	if err != nil {
		t.Fatal(err)
	}
	if f, err := Parse("fleet.cue", text, false); err != nil || f.Boxes() != 18 {
		t.Error(err)
	}
}

// TestDroppedRecordsAreMadeUpFor: if a capture states that half of the records were dropped, the fitted load has the full rate.
func TestDroppedRecordsAreMadeUpFor(t *testing.T) {
	h := capture.Header{Classes: []string{"reading", "warning"}, Kinds: []string{"fast"}}
	var whole, half []capture.Record
	rng := sim.Stream(9, "drops")
	for i := range 4000 {
		r := capture.Record{Arrived: int64(i) * 1e7, Class: i % 2, Timeout: 5e9, Hint: 1e8}
		if whole = append(whole, r); rng.IntN(2) == 0 {
			half = append(half, r)
		}
	}
	a, b := fleet(t, ""), fleet(t, "")
	_, _, err1 := a.UseCaptured(h, whole, 0)
	_, _, err2 := b.UseCaptured(h, half, int64(len(whole)-len(half)))
	if err1 != nil || err2 != nil || a.Load.Rate < 95 || b.Load.Rate < 0.98*a.Load.Rate || b.Load.Rate > 1.02*a.Load.Rate {
		t.Errorf("%v, %v: %.1f jobs per second, %.1f from half of the records", err1, err2, a.Load.Rate, b.Load.Rate)
	}
}

// TestBusyFleet: with 21 boxes at 0.76 of capacity and two kinds whose speeds overlap, no rule is broken and service stays high.
func TestBusyFleet(t *testing.T) {
	f, err := Parse("f.cue", []byte(`
stations: {a: {boxes: {fast: 6, slow: 4}, load: 4}, b: {boxes: {fast: 3, slow: 3}, load: 1}, c: {boxes: {fast: 2, slow: 3}, load: 1}}
kinds: {fast: {cores: 2, slots: 3, speed: 1, spread: 0.2, crowding: 0.3}, slow: {cores: 2, slots: 3, speed: 0.8, spread: 0.2, crowding: 0.3, connections: 40}}
classes: {
	reading: {aim: "200ms", stretch: 2.5, worth: 2, lateWorth: 0.25, effect: "keyed", mix: 9, work: {mean: "400ms", spread: 0.8}}
	warning: {aim: "200ms", stretch: 2.5, worth: 10, lateWorth: 0.2, effect: "unsafe", mix: 1, work: {mean: "400ms", spread: 0.8}}
}
load: {rate: 72, length: "30s"}
goals: service: 0.7
`), false)
	if err != nil {
		t.Fatal(err)
	}
	if l := f.Bounds(); f.Boxes() != 21 || l[0].Resource != "the station's own boxes" || l[0].Use < 1 {
		t.Errorf("%d boxes, %+v", f.Boxes(), l[0])
	}
	o := judge(t, f, 1, func(w *sim.World) {
		w.Faults = []sim.Fault{{At: 10 * time.Second, Effect: sim.StationBoxes, Target: 1, For: 5 * time.Second}}
	})
	if o.Broken != 0 || o.Service.Mean < 0.6 {
		t.Errorf("%+v", o)
	}
}

// TestFittedSpeeds: the speeds by kind and the cold speed that the records were drawn with lie inside the fitted intervals.
func TestFittedSpeeds(t *testing.T) {
	rng := sim.Stream(4, "records")
	h := capture.Header{Classes: []string{"reading", "warning"}, Zones: []string{"a", "b"}, Kinds: []string{"fast", "slow"}}
	dist := sim.Dist{Mean: 0.1, Shape: sim.Lognormal, Spread: 0.5}
	var records []capture.Record
	for i := range 6000 {
		kind, age, run := rng.IntN(2), int64(-1), dist.Draw(rng)
		if kind == 1 {
			run /= 0.6
		}
		if rng.IntN(4) == 0 { // the box has just started, at 0.3 of its speed
			age = 5e8
			run /= 0.3 + 0.7*0.5/8
		}
		records = append(records, capture.Record{Arrived: int64(i) * 1e7, Class: i % 2, Timeout: 5e9, Outcome: capture.Served,
			Attempts: []capture.Attempt{{Kind: kind, Began: 1, Ended: 1 + int64(run*1e9), Status: 1, Age: age}}})
	}
	f, err := Parse("f.cue", []byte(strings.Replace(base, ", speed: 0.7", "", 1)), true)
	if err != nil {
		t.Fatal(err)
	}
	_, speeds, err := f.UseCaptured(h, records, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range speeds {
		want := map[string]float64{"fast": 1, "slow": 0.6}[s.Kind]
		if s.Speed.Mean-2*s.Speed.Half > want || s.Speed.Mean+2*s.Speed.Half < want || s.Speed.Half > 0.05 {
			t.Errorf("%s, want %.2f", s, want)
		}
		if s.Cold.Mean-2*s.Cold.Half > 0.34 || s.Cold.Mean+2*s.Cold.Half < 0.34 || s.Cold.Half > 0.05 {
			t.Errorf("%s, want 0.34 while cold", s)
		}
	}
	if len(speeds) != 2 || f.Kinds["slow"].Speed < 0.55 || f.Kinds["slow"].Speed > 0.65 {
		t.Errorf("%+v, %+v", speeds, f.Kinds)
	}
	if _, _, err := f.UseCaptured(capture.Header{Classes: h.Classes, Zones: h.Zones, Kinds: []string{"x", "y"}}, records, 0); err != nil {
		t.Errorf("records of unknown kinds: %v", err)
	}
}
