// Package site draws days for the simulator from the description of a deployment: a site file in CUE with ranges for its sizes, load,
// boxes and classes, the reports that its dispatchers receive, its troubles, and the score of a day.
//
// Some sites are embedded in the program, named after the deployment that their figures describe; others are read from files. The
// schema, schema.cue, defines each field.
package site

import (
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/settings/cuefile"
	"liftgauge/sim"
)

//go:embed schema.cue trinidad.cue lensbrug.cue
var files embed.FS

// Names are the sites that are embedded in the program.
var Names = []string{"trinidad", "lensbrug"}

// Range is the range from which a value is drawn, both ends included.
type Range [2]float64

// draw returns a value from the range. It does not use the random source if the range is a single value.
func (r Range) draw(rng *rand.Rand) float64 {
	if r[0] == r[1] {
		return r[0]
	}
	return r[0] + (r[1]-r[0])*rng.Float64()
}

// drawInt returns an integer from the range.
func (r Range) drawInt(rng *rand.Rand) int {
	if r[0] == r[1] {
		return int(r[0])
	}
	return int(r[0]) + rng.IntN(int(r[1])-int(r[0])+1)
}

// Site is a site file. Times are in seconds.
type Site struct {
	Name string `json:"-"`

	Zones          int              `json:"zones"`
	Boxes          Range            `json:"boxes"`
	Dispatchers    Range            `json:"dispatchers"`
	BigBoxes       Range            `json:"bigBoxes"`
	BigDispatchers Range            `json:"bigDispatchers"`
	Length         Range            `json:"length"`
	Load           map[string]Range `json:"load"`
	ZoneSkew       Range            `json:"zoneSkew"`
	BoxSkew        Range            `json:"boxSkew"`
	StreamCV       Range            `json:"streamCV"`
	Network        struct {
		Local     Range   `json:"local"`
		Crossing  Range   `json:"crossing"`
		Jitter    Range   `json:"jitter"`
		Handshake Range   `json:"handshake"`
		Connect   float64 `json:"connect"`
	} `json:"network"`
	Discovery struct {
		Pushed    bool    `json:"pushed"`
		Lag       Range   `json:"lag"`
		Silent    Range   `json:"silent"`
		Calls     Range   `json:"calls"`
		AskWithin float64 `json:"askWithin"`
	} `json:"discovery"`
	Cell  Range `json:"cell"`
	Retry struct {
		Most       Range   `json:"most"`
		Pause      Range   `json:"pause"`
		Advice     bool    `json:"advice"`
		Marks      bool    `json:"marks"`
		AdviceMost float64 `json:"adviceMost"`
	} `json:"retry"`
	Leaves     Range   `json:"leaves"`
	Kinds      []Kind  `json:"kinds"`
	RunsOn     bool    `json:"runsOn"`
	Classes    []Class `json:"classes"`
	TellsStart bool    `json:"tellsStart"`
	Progress   float64 `json:"progress"`
	Report     struct {
		Fields []string `json:"fields"`
		Every  Range    `json:"every"`
		Delay  Range    `json:"delay"`
		Noise  Range    `json:"noise"`
	} `json:"report"`
	Tenants []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
		Usage Range   `json:"usage"`
	} `json:"tenants"`
	Quota Range `json:"quota"`
	Rules struct {
		DrainGrace     float64 `json:"drainGrace"`
		StartCapacity  float64 `json:"startCapacity"`
		WarmWithin     float64 `json:"warmWithin"`
		OverloadFactor float64 `json:"overloadFactor"`
		FallTime       float64 `json:"fallTime"`
		RestartAfter   float64 `json:"restartAfter"`
		Attempts       int     `json:"attempts"`
	} `json:"rules"`
	Tick     float64   `json:"tick"`
	Troubles []Trouble `json:"troubles"`
	Goal     struct {
		Whole, Window, Class, Tenant          float64
		Cross, Waste, Late, Probe, Connection float64
		OverShare                             float64
	} `json:"goal"`
}

// Kind is a kind of box.
type Kind struct {
	Name        string `json:"name"`
	Share       Range  `json:"share"`
	Cores       int    `json:"cores"`
	Slots       int    `json:"slots"`
	Queue       Range  `json:"queue"`
	Speed       Range  `json:"speed"`
	Spread      Range  `json:"spread"`
	Connections int    `json:"connections"`
	ColdFrom    Range  `json:"coldFrom"`
	ColdFor     Range  `json:"coldFor"`
	StallEvery  Range  `json:"stallEvery"`
	StallFor    Range  `json:"stallFor"`
	Errors      Range  `json:"errors"`
}

// Class is a class of jobs.
type Class struct {
	Name       string    `json:"name"`
	Share      Range     `json:"share"`
	Work       Range     `json:"work"`
	Shape      string    `json:"shape"`
	Spread     Range     `json:"spread"`
	HintSpread float64   `json:"hintSpread"`
	Attempts   Range     `json:"attempts"`
	Slots      []float64 `json:"slots"`
	Aim        float64   `json:"aim"`
	Stretch    float64   `json:"stretch"`
	Worth      float64   `json:"worth"`
	LateWorth  float64   `json:"lateWorth"`
	Patience   float64   `json:"patience"`
	Effect     string    `json:"effect"`
	Group      string    `json:"group"`
	Window     float64   `json:"window"`
}

// Trouble is a disturbance that can happen at the site.
type Trouble struct {
	Effect string `json:"effect"`
	Len    Range  `json:"len"`
	Part   Range  `json:"part"`
	Size   Range  `json:"size"`
	Every  Range  `json:"every"`
}

// Load reads an embedded site by its name, or a site file. A cuefile.Error lists the mistakes in it, one per line.
func Load(name string) (*Site, error) {
	if slices.Contains(Names, name) {
		text, err := files.ReadFile(name + ".cue")
		if err != nil {
			return nil, err
		}
		return Parse(name+".cue", text)
	}
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) && !strings.ContainsAny(name, "./\\") {
		return nil, fmt.Errorf("site %q: want a file, or one of %s", name, strings.Join(Names, ", "))
	}
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse parses a site; name is the file name used in errors.
func Parse(name string, text []byte) (*Site, error) {
	schema, err := files.ReadFile("schema.cue")
	if err != nil {
		return nil, err
	}
	out, err := cuefile.CompileWith(string(schema), "#Site", name, text)
	if err != nil {
		return nil, err
	}
	s := &Site{Name: strings.TrimSuffix(filepath.Base(name), ".cue")}
	if err := json.Unmarshal(out, s); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, s.check(name, text)
}

// check checks what the schema cannot express.
func (s *Site) check(name string, text []byte) error {
	var mistakes cuefile.Error
	add := func(format string, field ...string) {
		at := filepath.Base(name)
		if line := cuefile.Line(text, field...); line > 0 {
			at += fmt.Sprint(":", line)
		}
		mistakes = append(mistakes, fmt.Sprintf("%s: %s: %s", at, strings.Join(field, "."), format))
	}
	for _, r := range []struct {
		field string
		Range
		least float64
	}{{"boxes", s.Boxes, float64(s.Zones)}, {"bigBoxes", s.BigBoxes, float64(s.Zones)}, {"dispatchers", s.Dispatchers, 1}, {"bigDispatchers", s.BigDispatchers, 1},
		{"length", s.Length, 1}, {"streamCV", s.StreamCV, 0}, {"cell", s.Cell, 1}, {"quota", s.Quota, 0.01}} {
		if r.Range[0] < r.least || r.Range[1] < r.Range[0] {
			add(fmt.Sprintf("want a range from %v on, have %v", r.least, r.Range), r.field)
		}
	}
	for day, r := range s.Load {
		if r[0] <= 0 || r[1] < r[0] {
			add(fmt.Sprintf("want a range above 0, have %v", r), "load", day)
		}
	}
	if len(s.Kinds) == 0 {
		add("want at least one", "kinds")
	}
	if len(s.Classes) == 0 {
		add("want at least one", "classes")
	}
	for i, k := range s.Kinds {
		if k.Speed[0] <= 0 || k.Speed[1] < k.Speed[0] {
			add(fmt.Sprintf("want a range above 0, have %v", k.Speed), "kinds", fmt.Sprint(i), "speed")
		}
	}
	for i, c := range s.Classes {
		if c.Work[0] <= 0 || c.Work[1] < c.Work[0] {
			add(fmt.Sprintf("want a range above 0, have %v", c.Work), "classes", fmt.Sprint(i), "work")
		}
	}
	if len(mistakes) > 0 {
		return mistakes
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * 1e9) }

func (s *Site) goal() sim.Goal {
	g := &s.Goal
	return sim.Goal{Whole: g.Whole, Window: g.Window, Class: g.Class, Tenant: g.Tenant, Cross: g.Cross, Waste: g.Waste, Late: g.Late, Probe: g.Probe,
		Connection: g.Connection, OverShare: g.OverShare}
}

func (c *Class) shape() sim.Shape {
	if c.Shape == "pareto" {
		return sim.Pareto
	}
	return sim.Lognormal
}

// settings returns the class's settings for the decision module.
func (c *Class) settings() balance.Class {
	p := balance.Class{TargetLatency: seconds(c.Aim), RuntimeFactor: c.Stretch, Value: c.Worth, LateValue: c.LateWorth, Limit: seconds(c.Patience), Window: seconds(c.Window),
		Effect:     map[string]balance.Effect{"unsafe": balance.Unsafe, "keyed": balance.Keyed, "safe": balance.Safe}[c.Effect],
		DedupScope: map[string]balance.DedupScope{"cell": balance.DedupCell, "zone": balance.DedupZone, "all": balance.DedupAll}[c.Group], Kind: -1}
	if p.Effect != balance.Keyed {
		p.DedupScope = balance.DedupCell // has no meaning for other effects
	}
	return p
}
