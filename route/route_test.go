package route

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/settings"
)

var (
	names   = []string{"gauge-reading", "send-warning"}
	classes = []balance.Class{
		{Limit: 5 * time.Second, Effect: balance.Keyed, Window: 7500 * time.Millisecond, Kind: -1},
		{Limit: 3 * time.Second, Kind: 1},
	}
)

func function(change func(*settings.Function)) settings.Function {
	f := settings.DefaultFunction()
	change(&f)
	return f
}

func TestWithoutGearman(t *testing.T) {
	table, err := New(names, classes, nil)
	if err != nil || !reflect.DeepEqual(table.Classes(), classes) || table.HostClasses(0) != nil || len(table.Functions()) != 0 {
		t.Errorf("%v, %+v", err, table)
	}
}

// TestDefaultFunctions checks that without settings each class is a function, with separate foreground and background classes, and each
// client id is a cell.
func TestDefaultFunctions(t *testing.T) {
	table, err := New(names, classes, &settings.Gearman{})
	if err != nil {
		t.Fatal(err)
	}
	all := table.Classes()
	f, ok := table.Function("send-warning")
	if !ok || f.Class != "send-warning" || f.Timeouts != [2]time.Duration{3 * time.Second, time.Hour} || !f.RunsOnHosts() {
		t.Fatalf("%+v", f)
	}
	fg, bg := all[f.Foreground], all[f.Background]
	if fg.Lane == 0 || fg.Lane != bg.Lane || fg.Kind != -1 || fg.Limit != 3*time.Second || bg.Limit != time.Hour || fg.Effect != balance.Unsafe {
		t.Errorf("%+v, %+v", fg, bg)
	}
	if all[0].Lane != 0 || all[1].Lane != 0 {
		t.Error("the lane of HTTP jobs that only hosts serve changed")
	}
	one := table.WorkerClasses("x", func(f string) bool { return f == "send-warning" })
	for i, runs := range one {
		if runs != (i == f.Foreground || i == f.Background) {
			t.Errorf("class %d: %v", i, runs)
		}
	}
	if runs := table.HostClasses(0); runs[1] || runs[f.Foreground] || !runs[0] {
		t.Errorf("a host of another kind: %v", runs)
	}
	if runs := table.HostClasses(1); !runs[1] || !runs[f.Foreground] {
		t.Errorf("a host of the kind: %v", runs)
	}
	if table.Cell("a", 1) != table.Cell("a", 2) || table.Cell("a", 1) == table.Cell("b", 1) || table.Cell("", 1) == table.Cell("", 2) {
		t.Error("cells do not depend on the client id alone, or on the number where there is none")
	}
}

func TestPools(t *testing.T) {
	g := &settings.Gearman{
		Functions: map[string]settings.Function{
			"rain":  function(func(f *settings.Function) { f.Class, f.Pools, f.Priority = "gauge-reading", []string{"wet"}, "high" }),
			"siren": function(func(f *settings.Function) { f.Class, f.CostPerKiB, f.CostField = "send-warning", 1024, "us" }),
		},
		Classes: map[string]settings.Class{"gauge-reading": {Pools: []string{"hosts", "wet"}, Function: "rain"}},
		Pools:   []settings.ClientGroup{{Name: "wet", Clients: "rain-*"}},
		Cells:   []settings.ClientGroup{{Name: "north", Clients: "rain-n*"}},
	}
	table, err := New(names, classes, g)
	if err != nil {
		t.Fatal(err)
	}
	rain, _ := table.Function("rain")
	siren, _ := table.Function("siren")
	all := func(string) bool { return true }
	for _, c := range []struct {
		client string
		want   []int
	}{{"rain-n1", []int{0, rain.Foreground, rain.Background}}, {"other", []int{siren.Foreground, siren.Background}}} {
		for i, runs := range table.WorkerClasses(c.client, all) {
			want := false
			for _, w := range c.want {
				want = want || w == i
			}
			if runs != want {
				t.Errorf("%s, class %d: %v", c.client, i, runs)
			}
		}
	}
	if runs := table.HostClasses(1); runs[rain.Foreground] || !runs[siren.Foreground] || !runs[0] {
		t.Errorf("hosts: %v", runs)
	}
	if c := table.Classes(); c[0].Lane == 0 || c[1].Lane != 0 || c[0].Lane == c[rain.Foreground].Lane {
		t.Error("lanes of classes that run on different workers are not separate")
	}
	if table.FunctionOf(0) != "rain" || table.FunctionOf(1) != "send-warning" || table.FunctionOf(7) != "" {
		t.Error("FunctionOf returns wrong functions")
	}
	if table.Cell("rain-n1", 1) != table.Cell("rain-n2", 2) || table.Cell("rain-s1", 1) == table.Cell("rain-n2", 2) || table.Kind("rain-s") == table.Kind("x") {
		t.Error("cells and kinds do not follow the configured groups")
	}
	if rain.Priority(Low) != High || siren.Priority(Low) != Low {
		t.Error("a configured priority must override that of the packet, and only then")
	}
	if h := siren.Hint([]byte(`{"us":250}`)); h != 250*time.Microsecond+10 {
		t.Errorf("hint %v", h)
	}
	if h := siren.Hint(make([]byte, 2048)); h != 2048 {
		t.Errorf("hint of data that is not JSON: %v", h)
	}
	other := *g
	other.Functions = map[string]settings.Function{"rain": g.Functions["rain"], "siren": function(func(f *settings.Function) { f.Class, f.Patience = "send-warning", 1 })}
	changed, err := New(names, classes, &other)
	if err != nil || !reflect.DeepEqual(table.RestartRequired(changed), []string{"gearman.functions.siren"}) {
		t.Errorf("%v, %v", table.RestartRequired(changed), err)
	}
}

func TestInvalidSettings(t *testing.T) {
	for want, g := range map[string]*settings.Gearman{
		"gearman.functions.f.class: want a class": {Functions: map[string]settings.Function{"f": settings.DefaultFunction()}},
		"gearman.functions.send-warning.pools: want the name of a pool, have \"x\"": {Functions: map[string]settings.Function{
			"send-warning": function(func(f *settings.Function) { f.Pools = []string{"x"} })}},
		"gearman.classes.x: want a class": {Classes: map[string]settings.Class{"x": {}}},
		"at most a day": {Functions: map[string]settings.Function{
			"send-warning": function(func(f *settings.Function) { f.Background = settings.Duration(25 * time.Hour) })}},
	} {
		if _, err := New(names, classes, g); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}
