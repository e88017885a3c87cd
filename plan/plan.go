package plan

import (
	"context"
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"liftgauge/internal/budget"
	"liftgauge/sim"
)

// Limit is the use of a resource that may be exhausted.
type Limit struct {
	Resource string  `json:"resource"`
	Where    string  `json:"where"`     // a station, or "all"
	Use      float64 `json:"use"`       // share used at load factor 1; over 1 means overload
	At       float64 `json:"at_factor"` // load factor at which it is exhausted; 0: never
	Hard     bool    `json:"hard"`      // no other resource takes over when it is exhausted
}

// Bounds computes analytically how much of each resource the load uses, highest use first.
func (f *Fleet) Bounds() []Limit {
	var all []Limit
	add := func(resource, where string, use float64, hard bool) {
		l := Limit{Resource: resource, Where: where, Use: use, Hard: hard}
		if use > 0 {
			l.At = 1 / use
		}
		all = append(all, l)
	}
	work := f.Load.Rate * f.work()
	add("boxes' cores", "all", work/max(f.capacity(""), 1e-12), true)
	stations, _, classes := f.Names()
	mix := 0.0
	for _, c := range f.Classes {
		mix += c.Mix
	}
	for _, name := range classes {
		c := f.Classes[name]
		add("boxes' cores", name+" alone", f.Load.Rate*c.Mix/max(mix, 1e-12)*time.Duration(c.Work.Mean).Seconds()/max(f.capacity(""), 1e-12), false)
	}
	dispatchers, withoutDispatcher := 0, 0.0
	for _, s := range stations {
		if n := f.Stations[s].Dispatchers; n > 0 {
			dispatchers += n
		} else {
			withoutDispatcher += f.loadShare(s) // clients without a local dispatcher use all dispatchers equally
		}
	}
	speed := f.capacity("") / max(f.cores(), 1)
	for _, s := range stations {
		share := f.loadShare(s)
		if own := f.capacity(s); own > 0 || share > 0 {
			add("the station's own boxes", s, work*share/max(own, 1e-12), false)
		}
		d := f.Stations[s].Dispatchers
		rate := f.Load.Rate * share
		if d == 0 {
			continue
		}
		rate = rate/float64(d) + f.Load.Rate*withoutDispatcher/float64(dispatchers)
		add("a dispatcher's CPU", s, rate*time.Duration(f.Dispatcher.CPUPerJob).Seconds()/f.Dispatcher.Cores, true)
		// A client holds its connection while its job is open; a quarter of the descriptors is reserved for boxes.
		open := rate * (f.work()/max(speed, 1e-12) + 2*time.Duration(f.Network.Crossing).Seconds())
		// A job causes about five events, and a pause of the process can queue up a quarter of a second of them.
		add("a dispatcher's queue", s, rate*5/4/float64(f.Dispatcher.Queue), true)
		memory := budget.SplitMemory(int64(f.Dispatcher.MemoryMB) << 20).Messages
		add("a dispatcher's memory", s, open*float64(budget.MessageCost+f.Dispatcher.Body)/float64(memory), true)
		add("a dispatcher's descriptors", s, open/(float64(f.Dispatcher.Sockets-32)*3/4), true)
	}
	// Each dispatcher keeps one connection to a box for each of its jobs there, and at least one.
	for _, name := range slices.Sorted(maps.Keys(f.Kinds)) {
		if k := f.Kinds[name]; k.Connections > 0 {
			add("a box's connections", name, float64(max(dispatchers, k.Slots))/float64(k.Connections), true)
		}
	}
	// All dispatchers call at once when discovery returns after an outage. The limit is reached when serving all of them takes longer
	// than a dispatcher waits for its list.
	add("discovery's calls", "all", float64(dispatchers)*time.Duration(f.Discovery.Call).Seconds()/2.5, true)
	slices.SortStableFunc(all, func(a, b Limit) int { return cmpFloat(b.Use, a.Use) })
	return all
}

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (f *Fleet) cores() float64 {
	n := 0
	for _, s := range f.Stations {
		for k, m := range s.Boxes {
			n += m * min(f.Kinds[k].Cores, f.Kinds[k].Slots)
		}
	}
	return float64(n)
}

// Estimate is a mean over days with half the width of its 95% confidence interval.
type Estimate struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half"`
}

func estimate(all []float64) Estimate {
	if len(all) < 2 {
		return Estimate{Mean: stat.Mean(all, nil)}
	}
	mean, sd := stat.MeanStdDev(all, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(all) - 1)}.Quantile(0.975)
	return Estimate{mean, t * sd / math.Sqrt(float64(len(all)))}
}

// Verdict says whether a goal is met.
type Verdict string

// The possible verdicts.
const (
	Met       Verdict = "kept"
	Missed    Verdict = "missed"
	Undecided Verdict = "can't tell"
)

// verdict compares an estimate with a minimum value.
func (e Estimate) verdict(goal float64) Verdict {
	switch {
	case e.Mean-e.Half >= goal:
		return Met
	case e.Mean+e.Half < goal:
		return Missed
	}
	return Undecided
}

// Outcome is the result of the simulated days of one scenario.
type Outcome struct {
	Name     string              `json:"name"`
	Factor   float64             `json:"load_factor"`
	Days     int                 `json:"days"`
	Service  Estimate            `json:"service"`
	Worst10s Estimate            `json:"worst_10s"`
	InTime   map[string]Estimate `json:"in_time"`
	P99      map[string]float64  `json:"p99_ms"`
	Use      map[string]float64  `json:"utilisation"` // by station and kind
	Stations map[string]float64  `json:"by_station"`  // service of the jobs of each station's clients
	Boxes    int                 `json:"boxes"`
	Lost     int64               `json:"lost"`
	Broken   int64               `json:"rules_broken"` // cold boxes that crashed under overload, and repeated runs of unsafe jobs
	Tries    float64             `json:"tries"`        // client tries per job
	Verdict  Verdict             `json:"verdict"`
	Why      string              `json:"why"` // the goal that is missed or undecided
}

// Planner answers questions about one fleet.
type Planner struct {
	Fleet   *Fleet
	Seed    uint64
	MinDays int // number of days at first; doubled while a goal is undecided,
	MaxDays int // up to this number
	// OnOutcome, if set, is called with each outcome.
	OnOutcome func(Outcome)
}

// worldChange modifies a world for a scenario, such as the loss of a station.
type worldChange func(w *sim.World)

// Evaluate simulates days of a fleet at a load factor until each goal is decided or MaxDays is reached. All fleets use days of the
// same seeds, so that the outcomes of two fleets differ only because of the fleets.
func (p *Planner) Evaluate(ctx context.Context, name string, f *Fleet, factor float64, with worldChange) (Outcome, error) {
	o := Outcome{Name: name, Factor: factor, Boxes: f.Boxes()}
	var days []*sim.Result
	for n := max(p.MinDays, 2); ; n = min(2*n, p.MaxDays) {
		more := make([]*sim.Result, n-len(days))
		group, inner := errgroup.WithContext(ctx)
		group.SetLimit(runtime.GOMAXPROCS(0))
		for i := range more {
			group.Go(func() error {
				if inner.Err() != nil {
					return inner.Err()
				}
				seed := p.Seed<<20 + uint64(len(days)+i)
				w := f.World(seed, factor)
				if with != nil {
					with(w)
				}
				more[i] = sim.Run(w, seed)
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return o, err
		}
		days = append(days, more...)
		p.summarize(&o, f, days)
		if o.Verdict != Undecided || n >= p.MaxDays {
			if p.OnOutcome != nil {
				p.OnOutcome(o)
			}
			return o, nil
		}
	}
}

// summarize computes the outcome of days.
func (p *Planner) summarize(o *Outcome, f *Fleet, days []*sim.Result) {
	stations, kinds, classes := f.Names()
	var service, worst []float64
	inTime := make([][]float64, len(classes))
	o.InTime, o.P99, o.Use, o.Stations = map[string]Estimate{}, map[string]float64{}, map[string]float64{}, map[string]float64{}
	asked, earned := make([]float64, len(stations)), make([]float64, len(stations))
	o.Days, o.Lost, o.Broken, o.Tries = len(days), 0, 0, 0
	type sum struct{ use, n float64 }
	use := map[string]sum{}
	offered := int64(0)
	for _, d := range days {
		service, worst = append(service, d.Service), append(worst, d.Worst)
		o.Broken += int64(d.Falls) + d.Duplicates
		o.Tries += float64(d.Tries)
		for c := range classes {
			x := d.Classes[c]
			share := 1.0
			if x.Offered > 0 {
				share = float64(x.InTime) / float64(x.Offered)
			}
			inTime[c] = append(inTime[c], share)
			o.Lost += x.Lost
			offered += x.Offered
			o.P99[classes[c]] += float64(x.Latency.ValueAtPercentile(99)) / 1000 / float64(len(days))
		}
		for _, w := range d.Windows {
			for s, x := range w.ByStation {
				asked[s] += x.Asked
				earned[s] += x.Earned
			}
		}
		for _, b := range d.Boxes {
			key := stations[b.Station] + "/" + kinds[b.Kind]
			s := use[key]
			use[key] = sum{s.use + b.Utilisation, s.n + 1}
		}
	}
	o.Tries /= float64(max(offered, 1))
	for s, name := range stations {
		if asked[s] > 0 {
			o.Stations[name] = earned[s] / asked[s]
		}
	}
	for key, s := range use {
		o.Use[key] = s.use / s.n
	}
	o.Service, o.Worst10s = estimate(service), estimate(worst)
	o.Verdict, o.Why = Met, "all goals are kept"
	checkGoal := func(what string, e Estimate, goal float64) {
		if goal <= 0 {
			return
		}
		v := e.verdict(goal)
		if v == Met || o.Verdict == Missed || o.Verdict == v {
			return
		}
		o.Verdict, o.Why = v, fmt.Sprintf("%s %.3f ± %.3f, wanted %.3f", what, e.Mean, e.Half, goal)
	}
	checkGoal("service", o.Service, f.Goals.Service)
	checkGoal("the worst 10 s", o.Worst10s, f.Goals.Worst10s)
	for c, name := range classes {
		o.InTime[name] = estimate(inTime[c])
		checkGoal(name+" in time", o.InTime[name], f.Goals.InTime[name])
	}
	if o.Broken > 0 {
		o.Verdict, o.Why = Missed, fmt.Sprint(o.Broken, " times a box was pushed over or a job ran twice")
	}
}

// Answer is the complete result of a plan.
type Answer struct {
	Seed     uint64    `json:"seed"`
	Boxes    int       `json:"boxes"`
	Bounds   []Limit   `json:"bounds"`
	Today    Outcome   `json:"today"`
	Tip      float64   `json:"tip"` // the highest load factor found at which the goals are met; 0: none
	Next     float64   `json:"tip_missed"`
	First    []Limit   `json:"first_to_give_way"` // at the tip, highest use first
	Fewest   int       `json:"fewest_boxes"`      // smallest number that meets the goals at load factor 1; 0: not known
	Fleet    string    `json:"fewest_why"`
	Fleets   []Outcome `json:"fleets"` // the numbers of boxes that were simulated
	Curve    []Outcome `json:"curve"`
	WhatIf   []Outcome `json:"what_if"`
	Partial  bool      `json:"partial"`
	Fitted   []string  `json:"fitted"` // values fitted from captured load, if that was used, with their sample sizes
	Timeline []sim.Window
	Lost     string  `json:"timeline_of"`
	Seconds  float64 `json:"seconds"`
}

// Plan computes the complete answer. If the context ends, it returns what is known so far and marks it as partial.
func (p *Planner) Plan(ctx context.Context) (*Answer, error) {
	start := time.Now()
	a := &Answer{Seed: p.Seed, Boxes: p.Fleet.Boxes(), Bounds: p.Fleet.Bounds()}
	steps := []func(context.Context, *Answer) error{p.today, p.curve, p.tippingPoint, p.fewest, p.whatIf}
	for _, step := range steps {
		if err := step(ctx, a); err != nil {
			if ctx.Err() == nil {
				return nil, err
			}
			a.Partial = true
			break
		}
	}
	a.Seconds = time.Since(start).Seconds()
	return a, nil
}

func (p *Planner) today(ctx context.Context, a *Answer) (err error) {
	a.Today, err = p.Evaluate(ctx, "today", p.Fleet, 1, nil)
	return err
}

func (p *Planner) curve(ctx context.Context, a *Answer) error {
	for _, x := range []float64{0.5, 0.75, 1.25, 1.5, 2, 2.5, 3} {
		o, err := p.Evaluate(ctx, fmt.Sprintf("load x %.2f", x), p.Fleet, x, nil)
		if err != nil {
			return err
		}
		a.Curve = append(a.Curve, o)
	}
	a.Curve = append(a.Curve, a.Today)
	slices.SortFunc(a.Curve, func(x, y Outcome) int { return cmpFloat(x.Factor, y.Factor) })
	return nil
}

// tippingPoint finds the lowest load factor at which the goals are missed, and the resources with the highest use there.
func (p *Planner) tippingPoint(ctx context.Context, a *Answer) error {
	if p.Fleet.Load.Rate <= 0 {
		return nil
	}
	low, high := 0.0, math.Inf(1)
	for _, o := range a.Curve {
		switch {
		case o.Verdict == Met && o.Factor < high:
			low = max(low, o.Factor)
		case o.Verdict != Met:
			high = min(high, o.Factor)
		}
	}
	if math.IsInf(high, 1) {
		a.Tip, a.Next = low, 0
	} else {
		for range 6 {
			if high-low <= 0.03*high {
				break
			}
			mid := (low + high) / 2
			o, err := p.Evaluate(ctx, fmt.Sprintf("load x %.2f", mid), p.Fleet, mid, nil)
			if err != nil {
				return err
			}
			if o.Verdict == Met {
				low = mid
			} else {
				high = mid
			}
		}
		a.Tip, a.Next = low, high
	}
	at := a.Next
	if at == 0 {
		at = a.Tip
	}
	for _, l := range a.Bounds {
		l.Use *= at
		a.First = append(a.First, l)
	}
	slices.SortStableFunc(a.First, func(x, y Limit) int {
		if x.Hard != y.Hard { // a limit that other resources take over for does not stop the fleet
			if x.Hard {
				return -1
			}
			return 1
		}
		return cmpFloat(y.Use, x.Use)
	})
	a.First = a.First[:min(3, len(a.First))]
	return nil
}

// fewest finds the smallest fleet in today's proportions that meets the goals, by bisection.
func (p *Planner) fewest(ctx context.Context, a *Answer) error {
	if p.Fleet.Load.Rate <= 0 {
		a.Fewest, a.Fleet = 1, "there is no load"
		return nil
	}
	// With fewer boxes than this no policy can do the work.
	low := int(float64(a.Boxes) * a.Bounds[slices.IndexFunc(a.Bounds, func(l Limit) bool { return l.Resource == "boxes' cores" && l.Hard })].Use)
	low = max(low, 1) - 1
	high, last := 0, Outcome{}
	most := 8 * max(a.Boxes, low+1)
	for n := max(a.Boxes, low+1); n <= most; n += max(n/2, 1) {
		o, err := p.Evaluate(ctx, fmt.Sprint(n, " boxes"), p.Fleet.Scaled(n), 1, nil)
		if err != nil {
			return err
		}
		a.Fleets = append(a.Fleets, o)
		if last = o; o.Verdict == Met {
			high = n
			break
		}
		low = n
	}
	if high == 0 {
		a.Fleet = "no fleet in these proportions keeps the goals: " + last.Why + a.limitBeyondBoxes()
		return nil
	}
	unknown := false
	for high-low > 1 {
		mid := (low + high) / 2
		o, err := p.Evaluate(ctx, fmt.Sprint(mid, " boxes"), p.Fleet.Scaled(mid), 1, nil)
		if err != nil {
			return err
		}
		a.Fleets = append(a.Fleets, o)
		if o.Verdict == Met {
			high = mid
		} else {
			low, unknown = mid, o.Verdict == Undecided
		}
	}
	slices.SortFunc(a.Fleets, func(x, y Outcome) int { return x.Boxes - y.Boxes })
	a.Fewest, a.Fleet = high, fmt.Sprint(high, " boxes keep the goals with 95% confidence")
	if unknown {
		a.Fleet += fmt.Sprint("; whether ", low, " do can't be told from ", p.MaxDays, " days")
	}
	return nil
}

// limitBeyondBoxes describes a limit that more boxes do not raise.
func (a *Answer) limitBeyondBoxes() string {
	for _, l := range a.Bounds {
		if l.Hard && l.Resource != "boxes' cores" && l.Use >= 0.9 {
			return fmt.Sprintf("; %s in %s is %.0f%% used", l.Resource, l.Where, 100*l.Use)
		}
	}
	return "; even where boxes are idle"
}

// whatIf simulates the loss of each station and of the largest boxes, and a rolling deploy.
func (p *Planner) whatIf(ctx context.Context, a *Answer) error {
	stations, _, _ := p.Fleet.Names()
	third := p.Fleet.dayLength() / 3
	factor := 1.0
	evaluate := func(name string, faults func(w *sim.World) []sim.Fault) error {
		o, err := p.Evaluate(ctx, name, p.Fleet, factor, func(w *sim.World) { w.Faults = faults(w) })
		if err == nil {
			a.WhatIf = append(a.WhatIf, o)
		}
		return err
	}
	worst := 2.0
	for i, s := range stations {
		for _, kind := range []struct {
			name    string
			effects []sim.Effect
		}{{"boxes", []sim.Effect{sim.StationBoxes}}, {"clients", []sim.Effect{sim.StationClients}}, {"links", []sim.Effect{sim.StationPartition}}, {"boxes and clients", []sim.Effect{sim.StationBoxes, sim.StationClients}}} {
			faults := func(*sim.World) (all []sim.Fault) {
				for _, e := range kind.effects {
					all = append(all, sim.Fault{At: third, Effect: e, Target: i, For: third})
				}
				return all
			}
			if err := evaluate(fmt.Sprintf("%s goes dark: %s", s, kind.name), faults); err != nil {
				return err
			}
			if o := a.WhatIf[len(a.WhatIf)-1]; kind.name == "boxes" && o.Service.Mean < worst {
				worst = o.Service.Mean
				w := p.Fleet.World(p.Seed<<20, 1)
				w.Faults, w.Window = faults(w), 2*time.Second
				a.Timeline, a.Lost = sim.Run(w, p.Seed<<20).Windows, s
			}
		}
	}
	for k := 1; k <= min(3, a.Boxes-1); k++ {
		if err := evaluate(fmt.Sprintf("the %d largest boxes vanish", k), func(w *sim.World) (all []sim.Fault) {
			order := make([]int, len(w.Boxes))
			for i := range order {
				order[i] = i
			}
			slices.SortStableFunc(order, func(x, y int) int {
				kx, ky := w.Kinds[w.Boxes[x].Kind], w.Kinds[w.Boxes[y].Kind]
				return cmpFloat(ky.Speed*float64(ky.Cores), kx.Speed*float64(kx.Cores))
			})
			for _, i := range order[:k] {
				all = append(all, sim.Fault{At: third, Effect: sim.BoxVanishes, Target: i, For: third})
			}
			return all
		}); err != nil {
			return err
		}
	}
	name := "a rolling deploy of all boxes"
	if factor = max(1, p.Fleet.Load.Busiest); factor > 1 {
		name += fmt.Sprintf(" at load x %.2f", factor)
	}
	return evaluate(name, func(w *sim.World) (all []sim.Fault) {
		for i := range w.Boxes {
			all = append(all, sim.Fault{At: third/2 + 2*third*time.Duration(i)/time.Duration(len(w.Boxes)), Effect: sim.BoxDrains, Target: i, For: time.Second})
		}
		return all
	})
}
