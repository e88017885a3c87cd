package lab

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"liftgauge/plan"
	"liftgauge/sim"
)

// Speed is the measured speed of the simulator for a fleet of one size, on one core.
type Speed struct {
	Boxes       int     `json:"boxes"`
	Dispatchers int     `json:"dispatchers"`
	Rate        float64 `json:"jobs_per_s"`
	Simulated   float64 `json:"simulated_s"`
	Took        float64 `json:"took_s"`
	Ratio       float64 `json:"simulated_per_s"`
	Events      int64   `json:"events"`
	HeapMB      float64 `json:"allocated_mb"` // total over the run
	Service     float64 `json:"service"`
}

// Speeds measures fleets of several sizes at 60% load, each in one run.
func Speeds(ctx context.Context, boxes, dispatchers []int, length time.Duration, report func(Speed)) (all []Speed, err error) {
	const stations = 5
	for _, n := range boxes {
		for _, d := range dispatchers {
			if ctx.Err() != nil {
				return all, ctx.Err()
			}
			text := "stations: {\n"
			for s := range stations {
				text += fmt.Sprintf("s%d: {boxes: {full: %d, slow: %d}, dispatchers: %d}\n", s, (n/2+s)/stations, ((n+1)/2+s)/stations, (d+s)/stations)
			}
			rate := 0.6 * float64(n) * 2 * 0.85 / 0.4
			text += fmt.Sprintf(`}
kinds: {full: {cores: 2, slots: 3, speed: 1, spread: 0.1, crowding: 0.3}, slow: {cores: 2, slots: 3, speed: 0.7, spread: 0.1, crowding: 0.3}}
classes: {
	reading: {aim: "200ms", stretch: 2.5, worth: 2, lateWorth: 0.25, effect: "keyed", mix: 9, work: {mean: "400ms", spread: 0.8}}
	warning: {aim: "200ms", stretch: 2.5, worth: 10, lateWorth: 0.2, effect: "unsafe", mix: 1, work: {mean: "400ms", spread: 0.8}}
}
load: {rate: %g, length: %q}
`, rate, length)
			f, err := plan.Parse("drawn", []byte(text), false)
			if err != nil {
				return all, err
			}
			w := f.World(1, 1)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			r := sim.Run(w, 1)
			took := time.Since(start).Seconds()
			runtime.ReadMemStats(&after)
			s := Speed{Boxes: len(w.Boxes), Dispatchers: len(w.Dispatchers), Rate: rate, Simulated: length.Seconds(), Took: took, Ratio: length.Seconds() / took,
				Events: r.Events, HeapMB: float64(after.TotalAlloc-before.TotalAlloc) / (1 << 20), Service: r.Service}
			all = append(all, s)
			report(s)
		}
	}
	return all, nil
}
