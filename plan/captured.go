package plan

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"liftgauge/balance"
	"liftgauge/internal/capture"
	"liftgauge/sim"
)

// Fitted is the work of a class as fitted from captured load, with the number of records behind it.
type Fitted struct {
	Class   string   `json:"class"`
	Records int      `json:"records"`
	Runs    int      `json:"runs"` // runs with a known start and end
	Work    Estimate `json:"work_s"`
	Skipped int      `json:"skipped"` // retries, and records of classes that the fleet lacks
}

// Speed is the speed of a kind of box as fitted from captured load.
type Speed struct {
	Kind  string   `json:"kind"`
	Runs  int      `json:"runs"`  // on warm boxes
	Speed Estimate `json:"speed"` // work done in a second by a core, relative to the kind whose speed is known
	Fresh int      `json:"fresh"` // runs on boxes in the first eighth of their warm-up
	Cold  Estimate `json:"cold"`  // share of their full speed that these boxes have
}

func (s Speed) String() string {
	text := fmt.Sprintf("speed %.3f ± %.3f", s.Speed.Mean, s.Speed.Half)
	if s.Fresh > 1 {
		text += fmt.Sprintf("; %.2f ± %.2f of it just after a start, from %d runs", s.Cold.Mean, s.Cold.Half, s.Fresh)
	}
	return text
}

// ratio returns how many times as long one set of runs takes as another, from the means of the logarithms of their times.
func ratio(long, short []float64) Estimate {
	if len(long) < 2 || len(short) < 2 {
		return Estimate{Mean: 1}
	}
	ml, sl := stat.MeanStdDev(long, nil)
	ms, ss := stat.MeanStdDev(short, nil)
	half := 1.96 * math.Sqrt(sl*sl/float64(len(long))+ss*ss/float64(len(short)))
	mean := math.Exp(ml - ms)
	return Estimate{mean, mean * half}
}

// fitSpeeds fits the speed of each kind, and the speed of boxes just after a start. It assumes that all kinds run the same mix of
// jobs. A kind without a speed in the fleet file gets the fitted one, relative to the first kind by name that has a speed, or else to
// the fastest.
func (f *Fleet) fitSpeeds(h capture.Header, records []capture.Record) []Speed {
	warm, fresh := map[string][]float64{}, map[string][]float64{}
	for _, r := range records {
		for _, a := range r.Attempts {
			if a.Status != uint8(balance.OK) || a.Began < 0 || a.Ended <= a.Began || a.Kind < 0 || a.Kind >= len(h.Kinds) {
				continue
			}
			kind, x := h.Kinds[a.Kind], math.Log(float64(a.Ended-a.Began))
			switch warming := time.Duration(f.Rules.WarmWithin); {
			case a.Age < 0 || time.Duration(a.Age) >= warming:
				warm[kind] = append(warm[kind], x)
			case time.Duration(a.Age) < warming/8:
				fresh[kind] = append(fresh[kind], x)
			}
		}
	}
	_, kinds, _ := f.Names()
	reference, known := "", 1.0
	for _, k := range kinds {
		switch {
		case len(warm[k]) < 2:
		case f.Kinds[k].Speed > 0 && (reference == "" || f.Kinds[reference].Speed == 0):
			reference, known = k, f.Kinds[k].Speed
		case reference == "" || f.Kinds[reference].Speed == 0 && stat.Mean(warm[k], nil) < stat.Mean(warm[reference], nil):
			reference = k
		}
	}
	var all []Speed
	for _, k := range kinds {
		if len(warm[k]) < 2 {
			continue
		}
		s := Speed{Kind: k, Runs: len(warm[k]), Speed: Estimate{Mean: known}, Fresh: len(fresh[k]), Cold: ratio(warm[k], fresh[k])}
		if k != reference {
			s.Speed = ratio(warm[reference], warm[k])
			s.Speed.Mean, s.Speed.Half = s.Speed.Mean*known, s.Speed.Half*known
		}
		all = append(all, s)
	}
	for _, s := range all {
		if kind := f.Kinds[s.Kind]; kind.Speed == 0 {
			kind.Speed = s.Speed.Mean
			f.Kinds[s.Kind] = kind
		}
	}
	return all
}

// UseCaptured replaces the fleet file's load by captured records. A job's work is its running time times the speed of the kind
// that ran it, if it was served, else its hint, else the mean of its class. Clients are assumed to be at the station of the
// dispatcher that they used. If the capture dropped records, the times of the remaining ones are compressed in proportion, so that
// the rate is right. Clients' retries are left out, as the simulator's clients make their own.
func (f *Fleet) UseCaptured(h capture.Header, records []capture.Record, dropped int64) ([]Fitted, []Speed, error) {
	stations, _, classes := f.Names()
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b capture.Record) int { return int(min(max(a.Arrived-b.Arrived, -1), 1)) })
	name := func(list []string, i int) string {
		if i >= 0 && i < len(list) {
			return list[i]
		}
		return ""
	}
	speeds := f.fitSpeeds(h, records)
	for _, k := range slices.Sorted(maps.Keys(f.Kinds)) {
		if f.Kinds[k].Speed == 0 {
			return nil, nil, fmt.Errorf("kinds.%s.speed: not given, and no runs on that kind were captured to fit it from", k)
		}
	}
	workByClass := map[string][]float64{}
	fitByClass := map[string]*Fitted{}
	work := func(r capture.Record) float64 {
		for _, a := range r.Attempts {
			if k, ok := f.Kinds[name(h.Kinds, a.Kind)]; ok && a.Status == uint8(balance.OK) && a.Began >= 0 && a.Ended > a.Began {
				return time.Duration(a.Ended-a.Began).Seconds() * k.Speed
			}
		}
		return 0
	}
	for _, r := range records {
		class := name(h.Classes, r.Class)
		fit := fitByClass[class]
		if fit == nil {
			fit = &Fitted{Class: class}
			fitByClass[class] = fit
		}
		fit.Records++
		if w := work(r); w > 0 {
			workByClass[class] = append(workByClass[class], w)
		}
	}
	var all []sim.Arrival
	for _, r := range records {
		class := name(h.Classes, r.Class)
		c, fit := slices.Index(classes, class), fitByClass[class]
		station := max(slices.Index(stations, name(h.Zones, r.Zone)), 0)
		if c < 0 || r.Retry {
			fit.Skipped++
			continue
		}
		w := work(r)
		if w == 0 {
			w = time.Duration(r.Hint).Seconds()
		}
		if w == 0 && len(workByClass[class]) > 0 {
			w = stat.Mean(workByClass[class], nil)
		}
		if w == 0 {
			w = time.Duration(f.Classes[class].Work.Mean).Seconds()
		}
		all = append(all, sim.Arrival{At: time.Duration(r.Arrived - records[0].Arrived), Class: c, Station: station, Work: w,
			Hint: time.Duration(r.Hint), Timeout: time.Duration(r.Timeout)})
	}
	if len(all) == 0 {
		return nil, nil, fmt.Errorf("none of the %d records is of a class that the fleet has", len(records))
	}
	compression := float64(len(records)) / float64(int64(len(records))+dropped)
	for i := range all {
		all[i].At = time.Duration(float64(all[i].At) * compression)
	}
	f.captured = all
	span := max(all[len(all)-1].At, time.Second)
	f.Load.Rate, f.Load.Length, f.Load.Bursts = float64(len(all))/span.Seconds(), Duration(span), nil
	var fitted []Fitted
	for _, class := range classes {
		fit := fitByClass[class]
		if fit == nil {
			continue
		}
		if fit.Runs = len(workByClass[class]); fit.Runs > 1 {
			fit.Work = estimate(workByClass[class])
			c := f.Classes[class]
			c.Work.Mean = Duration(fit.Work.Mean * float64(time.Second))
			c.Mix = float64(fit.Records - fit.Skipped)
			f.Classes[class] = c
		}
		fitted = append(fitted, *fit)
	}
	return fitted, speeds, nil
}
