// Package plan is the capacity planner: for a fleet it finds the resource that is exhausted first, the number of boxes that the goals
// need, and the effect of losing a station.
//
// It computes analytical bounds first, and then simulates days (package sim).
package plan

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/settings/cuefile"
	"liftgauge/sim"
)

//go:embed fleet.cue
var schema string

// Duration is a duration that is written as a string in JSON.
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Fleet is a fleet file. The schema, fleet.cue, defines each field.
type Fleet struct {
	Stations   map[string]Station `json:"stations"`
	Network    Network            `json:"network"`
	Kinds      map[string]Kind    `json:"kinds"`
	Classes    map[string]Class   `json:"classes"`
	Load       Load               `json:"load"`
	Rules      Rules              `json:"rules"`
	Retry      Retry              `json:"retry"`
	Discovery  Discovery          `json:"discovery"`
	Dispatcher Dispatcher         `json:"dispatcher"`
	Goals      Goals              `json:"goals"`

	captured []sim.Arrival // replaces Load if not nil
	willFit  bool          // UseCaptured will follow, so speeds may be missing
}

// The parts of a Fleet.
type (
	Station struct {
		Boxes       map[string]int `json:"boxes"`
		Dispatchers int            `json:"dispatchers"`
		Load        float64        `json:"load"`
	}
	Network struct {
		Local    Duration `json:"local"`
		Crossing Duration `json:"crossing"`
		Jitter   float64  `json:"jitter"`
		Ways     []struct {
			From   string   `json:"from"`
			To     string   `json:"to"`
			OneWay Duration `json:"oneWay"`
		} `json:"ways"`
	}
	Kind struct {
		Cores    int     `json:"cores"`
		Slots    int     `json:"slots"`
		Queue    int     `json:"queue"`
		Speed    float64 `json:"speed"`
		Spread   float64 `json:"spread"`
		Crowding float64 `json:"crowding"`

		Connections int `json:"connections"`
	}
	Class struct {
		Aim       Duration `json:"aim"`
		Stretch   float64  `json:"stretch"`
		Worth     float64  `json:"worth"`
		LateWorth float64  `json:"lateWorth"`
		Patience  Duration `json:"patience"`
		Effect    string   `json:"effect"`
		Window    Duration `json:"window"`
		Mix       float64  `json:"mix"`
		Work      struct {
			Mean   Duration `json:"mean"`
			Shape  string   `json:"shape"`
			Spread float64  `json:"spread"`
		} `json:"work"`
		HintSpread float64 `json:"hintSpread"`
	}
	Load struct {
		Rate   float64  `json:"rate"`
		Length Duration `json:"length"`

		Busiest float64 `json:"busiest"`
		Bursts  []struct {
			At     Duration `json:"at"`
			For    Duration `json:"for"`
			Factor float64  `json:"factor"`
		} `json:"bursts"`
	}
	Rules struct {
		DrainGrace     Duration `json:"drainGrace"`
		StartCapacity  float64  `json:"startCapacity"`
		WarmWithin     Duration `json:"warmWithin"`
		OverloadFactor float64  `json:"overloadFactor"`
		FallTime       Duration `json:"fallTime"`
		RestartAfter   Duration `json:"restartAfter"`
		Attempts       int      `json:"attempts"`
	}
	Retry struct {
		Most   int      `json:"most"`
		Pause  Duration `json:"pause"`
		Advice bool     `json:"advice"`
		Each   Duration `json:"each"`
	}
	Discovery struct {
		Lag  Duration `json:"lag"`
		Call Duration `json:"call"`
	}
	Dispatcher struct {
		CPUPerJob Duration `json:"cpuPerJob"`
		Cores     float64  `json:"cores"`
		Sockets   int      `json:"sockets"`
		Queue     int      `json:"queue"`
		MemoryMB  int      `json:"memoryMB"`
		Body      int      `json:"body"`
	}
	Goals struct {
		Service  float64            `json:"service"`
		Worst10s float64            `json:"worst10s"`
		InTime   map[string]float64 `json:"inTime"`
	}
)

// LoadFleet reads a fleet file. A cuefile.Error lists the mistakes in it, one per line. With willFit, UseCaptured is to follow and
// speeds may be missing.
func LoadFleet(path string, willFit bool) (*Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, willFit)
}

// Parse parses a fleet file; name is the file name used in errors.
func Parse(name string, text []byte, willFit bool) (*Fleet, error) {
	out, err := cuefile.CompileWith(schema, "#Fleet", name, text)
	if err != nil {
		return nil, err
	}
	f := &Fleet{willFit: willFit}
	if err := json.Unmarshal(out, f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f, f.check(name, text)
}

// check checks what the schema cannot express.
func (f *Fleet) check(name string, text []byte) error {
	var mistakes cuefile.Error
	add := func(field []string, format string, args ...any) {
		at := filepath.Base(name)
		if line := cuefile.Line(text, field...); line > 0 {
			at += fmt.Sprint(":", line)
		}
		mistakes = append(mistakes, fmt.Sprintf("%s: %s: %s", at, strings.Join(field, "."), fmt.Sprintf(format, args...)))
	}
	at := func(field ...string) []string { return field }
	if len(f.Stations) == 0 {
		add(at("stations"), "want at least one")
	}
	if len(f.Classes) == 0 {
		add(at("classes"), "want at least one")
	}
	boxes, dispatchers := 0, 0
	for _, s := range slices.Sorted(maps.Keys(f.Stations)) {
		dispatchers += f.Stations[s].Dispatchers
		for _, k := range slices.Sorted(maps.Keys(f.Stations[s].Boxes)) {
			if _, ok := f.Kinds[k]; !ok {
				add(at("stations", s, "boxes", k), "want a kind that kinds has")
			}
			boxes += f.Stations[s].Boxes[k]
		}
	}
	if boxes == 0 && len(f.Stations) > 0 {
		add(at("stations"), "want at least one box")
	}
	if dispatchers == 0 && len(f.Stations) > 0 {
		add(at("stations"), "want at least one dispatcher")
	}
	if f.captured == nil && !f.willFit {
		for _, k := range slices.Sorted(maps.Keys(f.Kinds)) {
			if f.Kinds[k].Speed == 0 {
				add(at("kinds", k, "speed"), "want a number, as no captured load is there to fit it from")
			}
		}
	}
	for i, w := range f.Network.Ways {
		for _, s := range []string{w.From, w.To} {
			if _, ok := f.Stations[s]; !ok {
				add(at("network", "ways", strconv.Itoa(i)), "want a station, have %q", s)
			}
		}
	}
	for _, c := range slices.Sorted(maps.Keys(f.Goals.InTime)) {
		if _, ok := f.Classes[c]; !ok {
			add(at("goals", "inTime", c), "want a class that classes has")
		}
	}
	if len(mistakes) > 0 {
		return mistakes
	}
	return nil
}

// Names returns the names of the stations, kinds and classes, in the order of their indices in a World.
func (f *Fleet) Names() (stations, kinds, classes []string) {
	return slices.Sorted(maps.Keys(f.Stations)), slices.Sorted(maps.Keys(f.Kinds)), slices.Sorted(maps.Keys(f.Classes))
}

// Boxes returns the number of boxes.
func (f *Fleet) Boxes() (n int) {
	for _, s := range f.Stations {
		for _, k := range s.Boxes {
			n += k
		}
	}
	return n
}

// capacity returns the work that all boxes of a station can do in a second, or those of all stations if the name is empty.
func (f *Fleet) capacity(station string) (sum float64) {
	for name, s := range f.Stations {
		if station == "" || name == station {
			for kind, n := range s.Boxes {
				k := f.Kinds[kind]
				sum += float64(n*min(k.Cores, k.Slots)) * k.Speed
			}
		}
	}
	return sum
}

// work returns the mean work of a job, in seconds at speed 1.
func (f *Fleet) work() float64 {
	sum, mix := 0.0, 0.0
	for _, c := range f.Classes {
		sum += c.Mix * time.Duration(c.Work.Mean).Seconds()
		mix += c.Mix
	}
	return sum / max(mix, 1e-12)
}

// loadShare returns the share of the load that a station's clients send.
func (f *Fleet) loadShare(station string) float64 {
	sum := 0.0
	for _, s := range f.Stations {
		sum += s.Load
	}
	return f.Stations[station].Load / max(sum, 1e-12)
}

// Scaled returns the fleet with n boxes in all, in the same proportions. It uses the largest remainder method, with ties in the
// order of names, so that with more boxes in all, the number of any station and kind never falls by much.
func (f *Fleet) Scaled(n int) *Fleet {
	type boxGroup struct {
		station, kind string
		exact         float64
		n             int
	}
	var all []boxGroup
	total := f.Boxes()
	stations, kinds, _ := f.Names()
	remaining := n
	for _, s := range stations {
		for _, k := range kinds {
			if have := f.Stations[s].Boxes[k]; have > 0 {
				x := boxGroup{s, k, float64(have) * float64(n) / float64(total), 0}
				x.n = int(x.exact)
				remaining -= x.n
				all = append(all, x)
			}
		}
	}
	order := slices.Clone(all)
	slices.SortStableFunc(order, func(a, b boxGroup) int {
		ra, rb := a.exact-float64(a.n), b.exact-float64(b.n)
		switch {
		case ra > rb+1e-12:
			return -1
		case rb > ra+1e-12:
			return 1
		}
		return 0
	})
	for i := range order {
		if i < remaining {
			order[i].n++
		}
	}
	g := *f
	g.Stations = map[string]Station{}
	for name, s := range f.Stations {
		s.Boxes = map[string]int{}
		for _, x := range order {
			if x.station == name {
				s.Boxes[x.kind] = x.n
			}
		}
		g.Stations[name] = s
	}
	return &g
}

// World returns the fleet as input of the simulator, at a load factor, with the arrivals of a seed. For one seed and factor the
// jobs are the same whatever the boxes are.
func (f *Fleet) World(seed uint64, factor float64) *sim.World {
	stations, kinds, classes := f.Names()
	w := &sim.World{Stations: len(stations), Jitter: f.Network.Jitter, ConnectTimeout: 250 * time.Millisecond, MaxAttempts: f.Rules.Attempts,
		Lag: time.Duration(f.Discovery.Lag), ListTime: time.Duration(f.Discovery.Call),
		Rules: sim.Rules{DrainGrace: time.Duration(f.Rules.DrainGrace), StartCapacity: f.Rules.StartCapacity, WarmWithin: time.Duration(f.Rules.WarmWithin),
			OverloadFactor: f.Rules.OverloadFactor, OverloadTime: time.Duration(f.Rules.FallTime), RestartAfter: time.Duration(f.Rules.RestartAfter)},
		Retry: sim.Retry{MaxRetries: f.Retry.Most, Pause: time.Duration(f.Retry.Pause), HonorsRetryAfter: f.Retry.Advice, TryTimeout: time.Duration(f.Retry.Each)},
		Settings: balance.Settings{CrossZoneFee: 0.019, WasteFee: 0.08, ProbeFee: 0.0059, LateFee: 0.026, ValuePerWork: true, Tick: 2 * time.Millisecond,
			SecondCopies: true, MaxRetryAfter: time.Second}}
	for i, from := range stations {
		w.OneWay = append(w.OneWay, make([]time.Duration, len(stations)))
		for j, to := range stations {
			w.OneWay[i][j] = time.Duration(f.Network.Crossing)
			if i == j {
				w.OneWay[i][j] = time.Duration(f.Network.Local)
			}
			for _, way := range f.Network.Ways {
				if way.From == from && way.To == to || way.From == to && way.To == from {
					w.OneWay[i][j] = time.Duration(way.OneWay)
				}
			}
		}
	}
	for _, name := range kinds {
		k := f.Kinds[name]
		w.Kinds = append(w.Kinds, sim.Kind{Name: name, Cores: k.Cores, Slots: k.Slots, Queue: k.Queue, Speed: k.Speed, Spread: k.Spread, Crowding: k.Crowding,
			Connections: k.Connections})
	}
	for s, name := range stations {
		st := f.Stations[name]
		for k, kind := range kinds {
			for i := range st.Boxes[kind] {
				w.Boxes = append(w.Boxes, sim.Box{Name: fmt.Sprintf("%s/%s%d", name, kind, i), Station: s, Kind: k, Cell: s})
			}
		}
		for range st.Dispatchers {
			w.Dispatchers = append(w.Dispatchers, s)
		}
	}
	shapes := map[string]sim.Shape{"fixed": sim.Fixed, "exponential": sim.Exponential, "lognormal": sim.Lognormal, "pareto": sim.Pareto}
	effects := map[string]balance.Effect{"unsafe": balance.Unsafe, "keyed": balance.Keyed, "safe": balance.Safe}
	for _, name := range classes {
		c := f.Classes[name]
		w.Classes = append(w.Classes, sim.Class{Name: name, HintSpread: c.HintSpread,
			Work: sim.Dist{Mean: time.Duration(c.Work.Mean).Seconds(), Shape: shapes[c.Work.Shape], Spread: c.Work.Spread},
			Class: balance.Class{TargetLatency: time.Duration(c.Aim), RuntimeFactor: c.Stretch, Value: c.Worth, LateValue: c.LateWorth, Limit: time.Duration(c.Patience),
				Effect: effects[c.Effect], Window: time.Duration(c.Window), Kind: -1}})
	}
	w.Arrivals = f.arrivals(w, seed, factor)
	w.End = f.dayLength() + 30*time.Second
	return w
}

func (f *Fleet) dayLength() time.Duration { return time.Duration(f.Load.Length) }

// arrivals draws a day's jobs. Bursts and the load factor move the same jobs closer together.
func (f *Fleet) arrivals(w *sim.World, seed uint64, factor float64) []sim.Arrival {
	if f.captured != nil { // the load factor scales the times
		all := slices.Clone(f.captured)
		for i := range all {
			all[i].At = time.Duration(float64(all[i].At) / factor)
		}
		return all
	}
	if f.Load.Rate*factor <= 0 {
		return nil
	}
	stations, _, classes := f.Names()
	pick := func(rng interface{ Float64() float64 }, weights []float64) int {
		sum := 0.0
		for _, x := range weights {
			sum += x
		}
		x := rng.Float64() * sum
		for i, y := range weights {
			if x -= y; x < 0 {
				return i
			}
		}
		return len(weights) - 1
	}
	var mix, load []float64
	for _, c := range classes {
		mix = append(mix, f.Classes[c].Mix)
	}
	for _, s := range stations {
		load = append(load, f.Stations[s].Load)
	}
	times, jobs := sim.Stream(seed, "plan/arrivals"), sim.Stream(seed, "plan/jobs")
	var all []sim.Arrival
	for at := 0.0; ; {
		rate := f.Load.Rate * factor
		for _, b := range f.Load.Bursts {
			if from := time.Duration(b.At).Seconds(); at >= from && at < from+time.Duration(b.For).Seconds() {
				rate *= b.Factor
			}
		}
		at += times.ExpFloat64() / rate
		if at >= f.dayLength().Seconds() || len(all) >= 5_000_000 {
			return all
		}
		c := pick(jobs, mix)
		class := w.Classes[c]
		work := class.Work.Draw(jobs)
		a := sim.Arrival{At: time.Duration(at * 1e9), Class: c, Station: pick(jobs, load), Work: work, Timeout: class.Limit}
		if off := jobs.NormFloat64(); class.HintSpread >= 0 {
			a.Hint = time.Duration(work * math.Exp(class.HintSpread*off) * 1e9)
		}
		all = append(all, a)
	}
}
