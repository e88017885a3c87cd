package plan

import (
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"liftgauge/balance"
	"liftgauge/internal/capture"
	"liftgauge/sim"
)

// Fitted is what was learnt from captured load, and from how much.
type Fitted struct {
	Class   string   `json:"class"`
	Records int      `json:"records"`
	Runs    int      `json:"runs"` // with a known start and end
	Work    Estimate `json:"work_s"`
	Skipped int      `json:"skipped"` // of classes or kinds that the fleet lacks
}

// UseCaptured takes captured records in place of the fleet file's load. A job's work is its running time where it was served,
// times the speed of the kind that ran it, else its hint, else the mean of its class. Clients are taken to be at the station of
// the dispatcher that they came to. Clients' retries are left out: the emulator's clients make their own.
func (f *Fleet) UseCaptured(h capture.Header, records []capture.Record) ([]Fitted, error) {
	stations, _, classes := f.Names()
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b capture.Record) int { return int(min(max(a.Arrived-b.Arrived, -1), 1)) })
	name := func(list []string, i int) string {
		if i >= 0 && i < len(list) {
			return list[i]
		}
		return ""
	}
	works := map[string][]float64{}
	fits := map[string]*Fitted{}
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
		fit := fits[class]
		if fit == nil {
			fit = &Fitted{Class: class}
			fits[class] = fit
		}
		fit.Records++
		if w := work(r); w > 0 {
			works[class] = append(works[class], w)
		}
	}
	var all []sim.Arrival
	for _, r := range records {
		class := name(h.Classes, r.Class)
		c, fit := slices.Index(classes, class), fits[class]
		station := max(slices.Index(stations, name(h.Zones, r.Zone)), 0)
		if c < 0 || r.Again {
			fit.Skipped++
			continue
		}
		w := work(r)
		if w == 0 {
			w = time.Duration(r.Hint).Seconds()
		}
		if w == 0 && len(works[class]) > 0 {
			w = stat.Mean(works[class], nil)
		}
		if w == 0 {
			w = time.Duration(f.Classes[class].Work.Mean).Seconds()
		}
		all = append(all, sim.Arrival{At: time.Duration(r.Arrived - records[0].Arrived), Class: c, Station: station, Work: w,
			Hint: time.Duration(r.Hint), Left: time.Duration(r.Patience)})
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("none of the %d records is of a class that the fleet has", len(records))
	}
	f.captured = all
	span := max(all[len(all)-1].At, time.Second)
	f.Load.Rate, f.Load.Length, f.Load.Bursts = float64(len(all))/span.Seconds(), Duration(span), nil
	var fitted []Fitted
	for _, class := range classes {
		fit := fits[class]
		if fit == nil {
			continue
		}
		if fit.Runs = len(works[class]); fit.Runs > 1 {
			fit.Work = estimate(works[class])
			c := f.Classes[class]
			c.Work.Mean = Duration(fit.Work.Mean * float64(time.Second))
			c.Mix = float64(fit.Records - fit.Skipped)
			f.Classes[class] = c
		}
		fitted = append(fitted, *fit)
	}
	return fitted, nil
}
