// Package route says which pools serve a message, and what a Gearman function is to the decision module.
//
// It decides before balance does, and only this: a message's class and lane, its patience, weight and hint, and which
// workers run that class at all. Which of them gets it, when, and whether again is balance's alone. There is no input or
// output here, no clock and no state: a Table is made once from settings and is safe for concurrent use.
//
// Every class of the configuration stays as it is, under its number. Every function adds two classes of its own, one for
// jobs that somebody waits for and one for background jobs, as the module takes all jobs of a class to have the same
// patience at first. They share a lane: they run on the same workers. docs/design-gearman.md weighs that against a module a
// pool and against kinds inside one.
package route

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"liftgauge/balance"
	"liftgauge/internal/settings"
)

// Priority is how urgent a job is said to be.
type Priority uint8

// The priorities.
const (
	Normal Priority = iota
	High
	Low
)

// Weight is how many times its class's worth a job of a priority has.
func (p Priority) Weight() float64 { return [...]float64{Normal: 1, High: 4, Low: 0.25}[p%3] }

// Function is what a Gearman function is here.
type Function struct {
	Name       string
	Class      string // whose rules hold
	Foreground int    // the module's number of the class of jobs that a client waits for
	Background int    // and of those that nobody waits for
	Timeouts   [2]time.Duration
	MaxQueue   int // jobs that may wait; 0 for no bound

	settings settings.Function
	hosts    bool
}

// RunsOnHosts says whether the inventory's hosts serve it too.
func (f *Function) RunsOnHosts() bool { return f.hosts }

// Priority is a job's, where its packet says one.
func (f *Function) Priority(packet Priority) Priority {
	switch f.settings.Priority {
	case "high":
		return High
	case "normal":
		return Normal
	case "low":
		return Low
	}
	return packet
}

// Hint is how much work a job with this data is thought to be; 0: not known.
func (f *Function) Hint(data []byte) time.Duration {
	s := f.settings
	hint := time.Duration(s.Cost) + time.Duration(float64(s.CostPerKiB)*float64(len(data))/1024)
	if s.CostField != "" {
		if v, err := fastjson.ParseBytes(data); err == nil { // what is no JSON has no such field
			if us := v.GetFloat64(s.CostField); us > 0 && us < 1e12 {
				hint += time.Duration(us * float64(time.Microsecond))
			}
		}
	}
	return hint
}

// Table is all that is routed.
type Table struct {
	names     []string // of the configuration's classes
	classes   []balance.Class
	functions map[string]*Function
	order     []*Function // by number
	g         settings.Gearman
	byClass   []string // the function by which workers know an HTTP job's class
}

// New makes a table of the configuration's classes and the settings; g nil means that Gearman is off.
func New(names []string, classes []balance.Class, g *settings.Gearman) (*Table, error) {
	t := &Table{names: names, classes: slices.Clone(classes), functions: map[string]*Function{}}
	if g == nil {
		return t, nil
	}
	t.g = *g
	known := map[string]bool{settings.Hosts: true, settings.Workers: true}
	for _, p := range g.Pools {
		known[p.Name] = true
	}
	check := func(field string, pools []string) error {
		for _, p := range pools {
			if !known[p] {
				return fmt.Errorf("settings: %s: want the name of a pool, have %q", field, p)
			}
		}
		return nil
	}
	functions := g.Functions
	if len(functions) == 0 {
		functions = map[string]settings.Function{}
		for _, name := range names {
			functions[name] = settings.DefaultFunction()
		}
	}
	for lane, name := range slices.Sorted(maps.Keys(functions)) {
		s := functions[name]
		f := &Function{Name: name, Class: s.Class, MaxQueue: s.MaxQueue, settings: s, hosts: slices.Contains(s.Pools, settings.Hosts)}
		if f.Class == "" {
			f.Class = name
		}
		field := "gearman.functions." + name
		i := slices.Index(names, f.Class)
		if i < 0 {
			return nil, fmt.Errorf("settings: %s.class: want a class of the configuration, have %q", field, f.Class)
		}
		if err := check(field+".pools", s.Pools); err != nil {
			return nil, err
		}
		class := classes[i]
		f.Timeouts = [2]time.Duration{time.Duration(s.Patience), time.Duration(s.Background)}
		if class.Limit > 0 { // a client waits no longer than its class lets it
			f.Timeouts[0] = min(f.Timeouts[0], class.Limit)
		}
		if f.Timeouts[0] <= 0 || f.Timeouts[1] <= 0 || f.Timeouts[1] > 24*time.Hour {
			return nil, fmt.Errorf("settings: %s: want a patience over 0 and a background time of at most a day", field)
		}
		class.Lane, class.Kind = lane+1, -1
		if s.Window > 0 {
			class.Window = time.Duration(s.Window)
		}
		f.Foreground, f.Background = len(t.classes), len(t.classes)+1
		for _, patience := range f.Timeouts {
			class.Limit = patience
			t.classes = append(t.classes, class)
		}
		t.functions[name] = f
		t.order = append(t.order, f)
	}
	for name, c := range g.Classes {
		if !slices.Contains(names, name) {
			return nil, fmt.Errorf("settings: gearman.classes.%s: want a class of the configuration", name)
		}
		if err := check("gearman.classes."+name+".pools", c.Pools); err != nil {
			return nil, err
		}
	}
	for i, name := range names {
		f := t.g.Classes[name].Function
		if f == "" {
			f = name
		}
		t.byClass = append(t.byClass, f)
		if c := t.class(name); slices.ContainsFunc(c.Pools, func(p string) bool { return p != settings.Hosts }) {
			// Jobs of this class no longer run on the same workers as others'.
			t.classes[i].Lane = len(t.order) + 1 + i
		}
	}
	return t, nil
}

// class is how HTTP jobs of a class are routed.
func (t *Table) class(name string) settings.Class {
	c, ok := t.g.Classes[name]
	if !ok || len(c.Pools) == 0 {
		c.Pools = []string{settings.Hosts}
	}
	return c
}

// Classes are the module's classes: the configuration's and then the functions'.
func (t *Table) Classes() []balance.Class { return slices.Clone(t.classes) }

// Function finds a function.
func (t *Table) Function(name string) (*Function, bool) {
	f, ok := t.functions[name]
	return f, ok
}

// Functions are all of them by name.
func (t *Table) Functions() []*Function { return t.order }

// FunctionOf is by which function workers know HTTP jobs of a class.
func (t *Table) FunctionOf(class int) string {
	if class >= 0 && class < len(t.byClass) {
		return t.byClass[class]
	}
	return ""
}

// runs fills in by class whether the members of a pool run it.
func (t *Table) runs(pool string, can func(function string) bool, kind func(class int) bool) []bool {
	runs := make([]bool, len(t.classes)+1) // one more: what is outside of all classes
	for i, name := range t.names {
		runs[i] = slices.Contains(t.class(name).Pools, pool) && can(t.byClass[i]) && kind(i)
	}
	for _, f := range t.order {
		ok := slices.Contains(f.settings.Pools, pool) && can(f.Name) && kind(slices.Index(t.names, f.Class))
		runs[f.Foreground], runs[f.Background] = ok, ok
	}
	return runs
}

// HostClasses says which classes an inventory's host of a kind runs; nil: all that its kind lets it.
func (t *Table) HostClasses(kind int) []bool {
	if len(t.order) == 0 {
		return nil
	}
	return t.runs(settings.Hosts, func(string) bool { return true }, func(class int) bool {
		k := t.classes[class].Kind
		return k < 0 || k == kind
	})
}

// WorkerClasses says which classes a worker runs, by its client id and the functions that it can do.
func (t *Table) WorkerClasses(client string, can func(function string) bool) []bool {
	return t.runs(t.Pool(client), can, func(int) bool { return true })
}

// Pool is where a worker with a client id belongs.
func (t *Table) Pool(client string) string {
	for _, p := range t.g.Pools {
		if p.Fits(client) {
			return p.Name
		}
	}
	return settings.Workers
}

// Kind is the module's number of a pool's workers, counted from 0.
func (t *Table) Kind(client string) int {
	return slices.IndexFunc(t.g.Pools, func(p settings.Group) bool { return p.Fits(client) }) + 1
}

// Cell is the module's number of the cell in which a worker drops repeats, by its client id; alone is the number of one
// that belongs to none. A client id is the same cell however often its worker connects.
func (t *Table) Cell(client string, alone uint64) int {
	const cells, clients = 1 << 32, 1 << 33 // the inventory's numbers are far below
	for i, c := range t.g.Cells {
		if c.Fits(client) {
			return cells + i
		}
	}
	if client == "" {
		return int(math.MaxInt64 - alone%(1<<40))
	}
	h := uint64(14695981039346656037) // FNV-1a
	for i := range len(client) {
		h = (h ^ uint64(client[i])) * 1099511628211
	}
	return clients + int(h>>16)
}

// RestartRequired names what in other differs from this table and takes a restart: the module is made of it once.
func (t *Table) RestartRequired(other *Table) []string {
	var fields []string
	if !slices.EqualFunc(t.order, other.order, func(a, b *Function) bool { return a.Name == b.Name }) {
		return []string{"gearman.functions"}
	}
	for i, f := range t.order {
		g := other.order[i]
		if f.Class != g.Class || f.Timeouts != g.Timeouts || f.settings.Window != g.settings.Window {
			fields = append(fields, "gearman.functions."+f.Name)
		}
	}
	for i, name := range t.names {
		if t.classes[i].Lane != other.classes[i].Lane {
			fields = append(fields, "gearman.classes."+name)
		}
	}
	return fields
}
