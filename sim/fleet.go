package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"liftgauge/balance"
)

// FleetDays are the days that Fleet knows.
var FleetDays = []string{"herd", "zone", "join"}

// fleetDay is the length of such a day.
const fleetDay = 25 * time.Second

// Fleet makes a day of many dispatchers and boxes after the operators' pages, with figures from the middle of the ranges
// that they name for the warning service: five zones with uneven traffic, two kinds of boxes, keyed readings and unsafe
// warnings, and a discovery that deals with a few calls a second.
//
//   - herd: boxes are released in batches, and in the midst of it seven in ten dispatchers are killed at once, and are back
//     after a second;
//   - zone: the boxes of a zone vanish and return cold; some boxes are bad;
//   - join: six in ten boxes drain and new ones take their place within 7 s; some of those that stay are bad.
func Fleet(day string, dispatchers, boxes int, seed uint64) (*World, error) {
	const zones = 5
	if dispatchers < 1 || dispatchers > 200 || boxes < zones || boxes > 1000 {
		return nil, fmt.Errorf("want 1 to 200 dispatchers and %d to 1000 workers, not %d and %d", zones, dispatchers, boxes)
	}
	ms := time.Millisecond
	w := &World{
		Stations: zones, Jitter: 0.19, Lag: 740 * ms, ListTime: time.Second * 10 / 45, ListWithin: time.Second, Connect: 250 * ms,
		Attempts: 4, Window: 5 * time.Second, End: fleetDay + 10*time.Second,
		Kinds: []Kind{
			{Name: "full-box", Cores: 2, Slots: 2, Queue: 26, Speed: 0.98, Spread: 0.13, Connections: 1500, Crowding: 0.09},
			{Name: "slow-box", Cores: 2, Slots: 2, Queue: 14, Speed: 0.6, Spread: 0.15, Connections: 1500, Crowding: 0.09},
		},
		Classes: []Class{
			{Name: "gauge-reading", Work: Dist{Mean: 0.445, Shape: Pareto, Spread: 2.2}, HintSpread: 0.3, Class: balance.Class{Aim: 200 * ms,
				Stretch: 2.5, Worth: 2, LateWorth: 0.25, Limit: 5 * time.Second, Effect: balance.Keyed, Group: balance.GroupCell, Window: 7500 * ms, Kind: -1}},
			{Name: "send-warning", Work: Dist{Mean: 0.22, Shape: Lognormal, Spread: 1.9}, HintSpread: 0.3, Class: balance.Class{Aim: 200 * ms,
				Stretch: 2.5, Worth: 10, LateWorth: 0.2, Limit: 5 * time.Second, Effect: balance.Unsafe, Kind: -1}},
		},
		Rules: Rules{DrainGrace: 500 * ms, StartCapacity: 0.3, WarmWithin: 8 * time.Second, OverloadFactor: 2.5, FallTime: 2 * time.Second,
			RestartAfter: 5 * time.Second},
		Settings: balance.Settings{Tick: 2 * ms, WorthByWork: true, SecondCopies: true, CrossZoneFee: 0.019, ProbeFee: 0.0059, AskWithin: 10 * time.Second},
		Retry:    Retry{Most: 3, Pause: 27 * ms},
	}
	for i := range zones {
		w.OneWay = append(w.OneWay, make([]time.Duration, zones))
		for j := range zones {
			if w.OneWay[i][j] = 15 * ms; i == j {
				w.OneWay[i][j] = 190 * time.Microsecond
			}
		}
	}
	speed := 0.0
	for i := range boxes {
		b := Box{Name: fmt.Sprint("w", i), Station: i % zones, Cell: i % zones}
		if i/zones%5 > 1 { // three in five, in each zone
			b.Kind = 1
		}
		w.Boxes = append(w.Boxes, b)
		speed += w.Kinds[b.Kind].Speed * float64(w.Kinds[b.Kind].Cores)
	}
	for i := range dispatchers {
		w.Dispatchers = append(w.Dispatchers, i%zones)
	}
	w.arrivals(stream(seed, "fleet-arrivals"), 0.6*speed)
	rng := stream(seed, "fleet-faults")
	bad := func(b *Box) { b.Speed, b.Errs = w.Kinds[b.Kind].Speed/3, 0.3 }
	switch day {
	case "herd":
		for i := range boxes / 2 {
			at := 8*time.Second + time.Duration(i)*9*time.Second/time.Duration(boxes/2)
			w.Faults = append(w.Faults, Fault{At: at, Effect: BoxDrains, Target: i, For: time.Second})
		}
		for _, n := range rng.Perm(dispatchers)[:(7*dispatchers+9)/10] {
			w.Faults = append(w.Faults, Fault{At: 11 * time.Second, Effect: Dispatcher, Target: n, For: time.Second})
		}
	case "zone":
		w.Faults = append(w.Faults, Fault{At: 7 * time.Second, Effect: StationBoxes, Target: rng.IntN(zones), For: 6 * time.Second})
		for _, n := range rng.Perm(boxes)[:max(1, boxes/20)] {
			bad(&w.Boxes[n])
		}
	case "join":
		order := rng.Perm(boxes)
		for i, n := range order[:6*boxes/10] {
			at := 6*time.Second + time.Duration(i)*5*time.Second/time.Duration(boxes*6/10)
			w.Faults = append(w.Faults, Fault{At: at, Effect: BoxDrains, Target: n})
			fresh := w.Boxes[n]
			fresh.Name, fresh.Joins = fresh.Name+"-new", at+2*time.Second
			w.Boxes = append(w.Boxes, fresh)
		}
		for _, n := range order[boxes-max(1, boxes/20):] {
			bad(&w.Boxes[n])
		}
	default:
		return nil, fmt.Errorf("day %q: want one of %v", day, FleetDays)
	}
	return w, nil
}

// arrivals fills the day with so much work a second. A zone's share of it grows with its number: the last has twice the
// first's.
func (w *World) arrivals(rng *rand.Rand, work float64) {
	const readings = 0.57 // of the jobs
	mean := readings*w.Classes[0].Work.Mean + (1-readings)*w.Classes[1].Work.Mean
	for at := 0.0; ; {
		if at += rng.ExpFloat64() * mean / work; at >= fleetDay.Seconds() {
			return
		}
		a := Arrival{At: time.Duration(at * 1e9), Station: int(float64(w.Stations) * (math.Sqrt(1+3*rng.Float64()) - 1)), Left: 5 * time.Second}
		if rng.Float64() > readings {
			a.Class = 1
		}
		c := &w.Classes[a.Class]
		a.Work = c.Work.Draw(rng)
		a.Hint = time.Duration(a.Work * lognormal(rng, c.HintSpread) * 1e9)
		w.Arrivals = append(w.Arrivals, a)
	}
}
