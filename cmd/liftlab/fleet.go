package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/sim"
)

// fleetReport is a day of a fleet in counts.
type fleetReport struct {
	Day         string  `json:"day"`
	Seed        uint64  `json:"seed"`
	Dispatchers int     `json:"dispatchers"`
	Workers     int     `json:"workers"`
	Jobs        int     `json:"jobs"`
	Service     float64 `json:"service"` // worth answered in time over worth asked for
	Worst       float64 `json:"worst_5s"`

	Classes []fleetClass `json:"classes"`

	Attempts    int64   `json:"attempts_per_job_x100"`
	Crossings   int64   `json:"crossings"`
	Connections int64   `json:"connections"`
	MostConns   int     `json:"most_connections_a_worker_and_second"`
	Probes      int64   `json:"probes"`
	MostProbes  int     `json:"most_probes_a_worker_and_second"`
	Lists       int64   `json:"discovery_calls"`
	ListsLate   int64   `json:"discovery_calls_too_late"`
	MostLists   int     `json:"most_discovery_calls_a_second"`
	Unlisted    float64 `json:"longest_without_list_s"`
	Falls       int     `json:"cold_workers_pushed_over"`
	Breaches    int     `json:"of_these_breaches"` // two thirds of the work came from dispatchers that knew of the start
	Margin      float64 `json:"cold_rule_margin"`  // what was left of the rule's budget where it was nearest; 1: all of it
	Duplicates  int64   `json:"unsafe_jobs_run_twice"`
}

type fleetClass struct {
	Name    string `json:"name"`
	Offered int64  `json:"offered"`
	InTime  int64  `json:"in_time"`
	Late    int64  `json:"late"`
	Refused int64  `json:"refused"`
	Failed  int64  `json:"failed"`
	Lost    int64  `json:"lost"`
}

func fleetCommand() *cobra.Command {
	var seed uint64
	var dispatchers, workers int
	var day string
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Play a day of many dispatchers and workers in virtual time, and count",
		Long: "The real decision module runs in each simulated dispatcher. Days: herd (most dispatchers are killed during a release),\n" +
			"zone (a zone is lost and returns cold), join (six in ten workers are replaced within 7 s). The last line is JSON.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w, err := sim.Fleet(day, dispatchers, workers, seed)
			if err != nil {
				return err
			}
			began := time.Now()
			r := sim.Run(w, seed)
			f := fleetReport{Day: day, Seed: seed, Dispatchers: dispatchers, Workers: workers, Jobs: len(w.Arrivals), Service: r.Service,
				Worst: r.Worst, Attempts: r.Attempts * 100 / int64(max(len(w.Arrivals), 1)), Crossings: r.Crossings, Connections: r.Connections,
				MostConns: r.MostConnects, Probes: r.Probes, MostProbes: r.MostProbes, Lists: r.Lists, ListsLate: r.ListsLate,
				MostLists: r.MostLists, Unlisted: r.Unlisted.Seconds(), Falls: r.Falls, Breaches: r.Breaches, Margin: r.Margin, Duplicates: r.Duplicates}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%s, %d dispatchers, %d workers, seed %d: %d jobs in %v\n", day, dispatchers, workers, seed, f.Jobs,
				time.Since(began).Round(time.Millisecond))
			fmt.Fprintf(out, "service %.3f, worst 5 s %.3f, attempts a job %.2f, to other zones %d\n", f.Service, f.Worst, float64(f.Attempts)/100, f.Crossings)
			for i, c := range r.Classes {
				fc := fleetClass{w.Classes[i].Name, c.Offered, c.InTime, c.Late, c.Refused, c.Failed, c.Lost}
				f.Classes = append(f.Classes, fc)
				fmt.Fprintf(out, "%-14s %5d offered, %5d in time, %4d late, %4d refused, %4d failed, %4d lost\n", fc.Name, fc.Offered, fc.InTime, fc.Late,
					fc.Refused, fc.Failed, fc.Lost)
			}
			fmt.Fprintf(out, "discovery: %d calls (%d too late), %d in a second at most, longest without a list %.1f s\n", f.Lists, f.ListsLate, f.MostLists, f.Unlisted)
			fmt.Fprintf(out, "workers: %d connections (%d at one in a second at most), %d probes (%d)\n", f.Connections, f.MostConns, f.Probes, f.MostProbes)
			fmt.Fprintf(out, "rules: %d cold workers pushed over, %d of them a breach, margin %.2f, %d unsafe jobs run twice\n", f.Falls, f.Breaches, f.Margin, f.Duplicates)
			return lastLine(cmd, f)
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&seed, "seed", 1, "of arrivals, network and faults")
	f.IntVar(&dispatchers, "dispatchers", 80, "dispatchers, 1 to 200")
	f.IntVar(&workers, "workers", 60, "workers, 5 to 1000")
	f.StringVar(&day, "day", "zone", strings.Join(sim.FleetDays, ", "))
	return cmd
}
