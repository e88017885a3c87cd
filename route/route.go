// Package route maps messages and Gearman functions to the classes of package balance, and to the pools that serve them.
//
// It sets only the class and lane of a message, its timeout, weight and hint, and which workers run that class at all.
// Package balance alone decides which of them gets it, when, and whether it is sent again. A Table does no input or
// output, has no clock and no mutable state: it is built once from settings and is safe for concurrent use.
//
// The classes of the configuration keep their numbers. Each function adds two classes, one for foreground jobs, for
// which a client waits, and one for background jobs, as balance assumes the same initial timeout for all jobs of a
// class. Both have the same lane, as they run on the same workers. docs/design-gearman.md compares this with one
// Dispatcher for each pool, and with worker kinds inside one.
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

// Priority is the urgency of a job.
type Priority uint8

// The priorities.
const (
	Normal Priority = iota
	High
	Low
)

// Weight is the factor that a priority applies to the value of the class.
func (p Priority) Weight() float64 { return [...]float64{Normal: 1, High: 4, Low: 0.25}[p%3] }

// Function maps a Gearman function to classes and pools.
type Function struct {
	Name       string
	Class      string           // the class of the configuration whose rules apply
	Foreground int              // number of the class for foreground jobs
	Background int              // number of the class for background jobs
	Timeouts   [2]time.Duration // of foreground and background jobs
	MaxQueue   int              // number of jobs that may wait; 0 for no bound

	settings settings.Function
	hosts    bool
}

// RunsOnHosts reports whether the hosts of the inventory serve the function too.
func (f *Function) RunsOnHosts() bool { return f.hosts }

// Priority returns the configured priority, or else that of the packet.
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

// Hint returns the estimated running time of a job with the given data; 0 if unknown.
func (f *Function) Hint(data []byte) time.Duration {
	s := f.settings
	hint := time.Duration(s.Cost) + time.Duration(float64(s.CostPerKiB)*float64(len(data))/1024)
	if s.CostField != "" {
		if v, err := fastjson.ParseBytes(data); err == nil { // data that is not JSON has no such field
			if us := v.GetFloat64(s.CostField); us > 0 && us < 1e12 {
				hint += time.Duration(us * float64(time.Microsecond))
			}
		}
	}
	return hint
}

// Table holds the routes of all classes and functions.
type Table struct {
	classNames      []string // of the classes of the configuration
	classes         []balance.Class
	functions       map[string]*Function
	ordered         []*Function // in the order of their class numbers
	gearman         settings.Gearman
	workerFunctions []string // by class of the configuration: the function name that workers use for its HTTP jobs
}

// New returns a table for the classes of the configuration and the settings. If gearman is nil, Gearman is off.
func New(names []string, classes []balance.Class, gearman *settings.Gearman) (*Table, error) {
	t := &Table{classNames: names, classes: slices.Clone(classes), functions: map[string]*Function{}}
	if gearman == nil {
		return t, nil
	}
	t.gearman = *gearman
	knownPools := map[string]bool{settings.HostPool: true, settings.WorkerPool: true}
	for _, p := range gearman.Pools {
		knownPools[p.Name] = true
	}
	checkPools := func(field string, pools []string) error {
		for _, p := range pools {
			if !knownPools[p] {
				return fmt.Errorf("settings: %s: want the name of a pool, have %q", field, p)
			}
		}
		return nil
	}
	functions := gearman.Functions
	if len(functions) == 0 {
		functions = map[string]settings.Function{}
		for _, name := range names {
			functions[name] = settings.DefaultFunction()
		}
	}
	for lane, name := range slices.Sorted(maps.Keys(functions)) {
		s := functions[name]
		f := &Function{Name: name, Class: s.Class, MaxQueue: s.MaxQueue, settings: s, hosts: slices.Contains(s.Pools, settings.HostPool)}
		if f.Class == "" {
			f.Class = name
		}
		field := "gearman.functions." + name
		i := slices.Index(names, f.Class)
		if i < 0 {
			return nil, fmt.Errorf("settings: %s.class: want a class of the configuration, have %q", field, f.Class)
		}
		if err := checkPools(field+".pools", s.Pools); err != nil {
			return nil, err
		}
		class := classes[i]
		f.Timeouts = [2]time.Duration{time.Duration(s.Patience), time.Duration(s.Background)}
		if class.Limit > 0 { // a client waits no longer than its class allows
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
		for _, timeout := range f.Timeouts {
			class.Limit = timeout
			t.classes = append(t.classes, class)
		}
		t.functions[name] = f
		t.ordered = append(t.ordered, f)
	}
	for name, c := range gearman.Classes {
		if !slices.Contains(names, name) {
			return nil, fmt.Errorf("settings: gearman.classes.%s: want a class of the configuration", name)
		}
		if err := checkPools("gearman.classes."+name+".pools", c.Pools); err != nil {
			return nil, err
		}
	}
	for i, name := range names {
		f := t.gearman.Classes[name].Function
		if f == "" {
			f = name
		}
		t.workerFunctions = append(t.workerFunctions, f)
		if c := t.classSettings(name); slices.ContainsFunc(c.Pools, func(p string) bool { return p != settings.HostPool }) {
			// Jobs of this class no longer run on the same workers as those of other classes.
			t.classes[i].Lane = len(t.ordered) + 1 + i
		}
	}
	return t, nil
}

// classSettings returns how HTTP jobs of a class are routed: by default to the hosts.
func (t *Table) classSettings(name string) settings.Class {
	c, ok := t.gearman.Classes[name]
	if !ok || len(c.Pools) == 0 {
		c.Pools = []string{settings.HostPool}
	}
	return c
}

// Classes returns the classes for balance: those of the configuration, then those of the functions.
func (t *Table) Classes() []balance.Class { return slices.Clone(t.classes) }

// Function returns the function with the given name.
func (t *Table) Function(name string) (*Function, bool) {
	f, ok := t.functions[name]
	return f, ok
}

// Functions returns all functions, ordered by name.
func (t *Table) Functions() []*Function { return t.ordered }

// FunctionOf returns the function name that workers use for HTTP jobs of a class.
func (t *Table) FunctionOf(class int) string {
	if class >= 0 && class < len(t.workerFunctions) {
		return t.workerFunctions[class]
	}
	return ""
}

// runnable returns, by class, whether the members of a pool run it.
func (t *Table) runnable(pool string, can func(function string) bool, kind func(class int) bool) []bool {
	runs := make([]bool, len(t.classes)+1) // the last one is for unconfigured classes
	for i, name := range t.classNames {
		runs[i] = slices.Contains(t.classSettings(name).Pools, pool) && can(t.workerFunctions[i]) && kind(i)
	}
	for _, f := range t.ordered {
		ok := slices.Contains(f.settings.Pools, pool) && can(f.Name) && kind(slices.Index(t.classNames, f.Class))
		runs[f.Foreground], runs[f.Background] = ok, ok
	}
	return runs
}

// HostClasses returns, by class, whether an inventory host of the given kind runs it; nil if only the kind decides.
func (t *Table) HostClasses(kind int) []bool {
	if len(t.ordered) == 0 {
		return nil
	}
	return t.runnable(settings.HostPool, func(string) bool { return true }, func(class int) bool {
		k := t.classes[class].Kind
		return k < 0 || k == kind
	})
}

// WorkerClasses returns, by class, whether a worker runs it, from its client id and the functions that it registered.
func (t *Table) WorkerClasses(client string, can func(function string) bool) []bool {
	return t.runnable(t.Pool(client), can, func(int) bool { return true })
}

// Pool returns the name of the pool to which a client id belongs.
func (t *Table) Pool(client string) string {
	for _, p := range t.gearman.Pools {
		if p.Matches(client) {
			return p.Name
		}
	}
	return settings.WorkerPool
}

// Kind returns the number of the pool to which a client id belongs: 0 for the default one.
func (t *Table) Kind(client string) int {
	return slices.IndexFunc(t.gearman.Pools, func(p settings.ClientGroup) bool { return p.Matches(client) }) + 1
}

// Cell returns the number of the cell in which a worker drops repeats, from its client id, so that it stays the same
// when the worker reconnects. uniqueID stands in for the client id of a worker that has none and belongs to no cell.
func (t *Table) Cell(client string, uniqueID uint64) int {
	const cells, clients = 1 << 32, 1 << 33 // the cell numbers of the inventory are far below
	for i, c := range t.gearman.Cells {
		if c.Matches(client) {
			return cells + i
		}
	}
	if client == "" {
		return int(math.MaxInt64 - uniqueID%(1<<40))
	}
	hash := uint64(14695981039346656037) // FNV-1a
	for i := range len(client) {
		hash = (hash ^ uint64(client[i])) * 1099511628211
	}
	return clients + int(hash>>16)
}

// RestartRequired returns the settings fields that differ in other and need a restart, as balance reads them only once.
func (t *Table) RestartRequired(other *Table) []string {
	var fields []string
	if !slices.EqualFunc(t.ordered, other.ordered, func(a, b *Function) bool { return a.Name == b.Name }) {
		return []string{"gearman.functions"}
	}
	for i, f := range t.ordered {
		counterpart := other.ordered[i]
		if f.Class != counterpart.Class || f.Timeouts != counterpart.Timeouts || f.settings.Window != counterpart.settings.Window {
			fields = append(fields, "gearman.functions."+f.Name)
		}
	}
	for i, name := range t.classNames {
		if t.classes[i].Lane != other.classes[i].Lane {
			fields = append(fields, "gearman.classes."+name)
		}
	}
	return fields
}
