package main

import (
	"cmp"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"liftgauge/sim"
	"liftgauge/sim/site"
)

// fleetReport holds the results of one simulated day of a fleet.
type fleetReport struct {
	Site        string  `json:"site"`
	Day         string  `json:"day"`
	Policy      string  `json:"policy"`
	Seed        uint64  `json:"seed"`
	Dispatchers int     `json:"dispatchers"`
	Workers     int     `json:"workers"`
	Jobs        int     `json:"jobs"`
	Service     float64 `json:"service"`      // value earned over value offered; late answers earn their late value
	Worst       float64 `json:"worst_window"` // service of the worst window; a window is 5 s on days of many dispatchers, else 10 s
	G           float64 `json:"g"`            // the site's score of a day: its weighted parts less the costs
	Wasted      float64 `json:"wasted"`       // work whose result nobody received, over offered work

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
	Breaches    int     `json:"of_these_breaches"` // crashes where two thirds of the work came from dispatchers that had been notified of the start
	Margin      float64 `json:"cold_rule_margin"`  // smallest remaining share of the rule's budget; 1: none was used
	Duplicates  int64   `json:"unsafe_jobs_run_twice"`

	zones   [][]sim.ZoneSecond
	boxes   []sim.BoxResult
	elapsed time.Duration
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

// membershipDelay is the time from a crash until the surviving dispatchers have a view without the crashed ones, according to "liftlab members"
// with seven in ten of 300 dispatchers killed at once.
const membershipDelay = 7 * time.Second

// fleetTotal summarizes the runs of one kind of day and one policy over all seeds.
type fleetTotal struct {
	Day      string  `json:"day"`
	Policy   string  `json:"policy"`
	Seeds    int     `json:"seeds"`
	Service  float64 `json:"service"` // mean over the seeds
	Lowest   float64 `json:"lowest"`
	G        float64 `json:"g"` // mean over the seeds
	Crossed  float64 `json:"crossings_per_job"`
	Breaches int     `json:"breaches"`
	Falls    int     `json:"cold_workers_pushed_over"`
	Margin   float64 `json:"cold_rule_margin"` // smallest of all seeds
	// BelowRandom lists the seeds on which service was lower than under the "random" policy, if that policy was run too.
	BelowRandom []uint64 `json:"seeds_below_random,omitempty"`
}

// fleetRuns is the set of simulations to run: each combination of day, policy and seed.
type fleetRuns struct {
	site                 *site.Site
	days, policies       []string
	dispatchers, workers int
	seeds                []uint64
}

func fleetCommand() *cobra.Command {
	var set fleetRuns
	var seed uint64
	var seeds int
	var day, policy string
	var zones bool
	var siteName string
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Play days of many dispatchers and workers in virtual time, and count",
		Long: "The real decision module runs in each simulated dispatcher. Days: calm (traffic shifts and a burst), roll (workers replaced,\n" +
			"dispatchers restarted), herd (most dispatchers are killed during a release), zone (a zone is lost and returns cold), split (a\n" +
			"zone is cut off, answers are lost), join (six in ten workers are replaced within 7 s), kill (seven in ten dispatchers are\n" +
			"killed and stay away, then workers are released in batches); all plays each. A site's own days, at\n" +
			"its own size where none is given: quiet, trouble, overload, big; own plays each. Policies: module, members\n" +
			"(the same, told who of the dispatchers lives 7 s after a change) and to compare with random, rounds, two-choices and late-truth (it sees the state of all workers half a second late). Several days,\n" +
			"policies and seeds are played side by side and make a table. The last line is JSON.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 || seeds > 10000 {
				return fmt.Errorf("--seeds %d: want 1 to 10000", seeds)
			}
			var err error
			if set.site, err = site.Load(siteName); err != nil {
				return err
			}
			switch set.days = strings.Split(day, ","); day {
			case "all":
				set.days = site.FleetDays
			case "own":
				set.days = site.SiteDays
			}
			for _, d := range set.days { // fleet days, unlike a site's days, define no size
				if slices.Contains(site.FleetDays, d) {
					set.dispatchers, set.workers = cmp.Or(set.dispatchers, 80), cmp.Or(set.workers, 60)
				}
			}
			if set.policies = strings.Split(policy, ","); policy == "all" {
				set.policies = sim.PolicyNames
			}
			for _, p := range set.policies {
				if sim.PolicyByName(p) == nil {
					return fmt.Errorf("policy %q: want all or some of %s", p, strings.Join(sim.PolicyNames, ", "))
				}
			}
			for i := range seeds {
				set.seeds = append(set.seeds, seed+uint64(i))
			}
			reports, err := set.playAll()
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if len(reports) == 1 {
				reports[0].print(out)
				if zones {
					reports[0].printZones(out)
				}
				return printReport(cmd, reports[0])
			}
			if zones {
				for i := range reports {
					fmt.Fprintf(out, "%s, %s, seed %d\n", reports[i].Day, reports[i].Policy, reports[i].Seed)
					reports[i].printZones(out)
				}
			}
			return printReport(cmd, map[string]any{"dispatchers": set.dispatchers, "workers": set.workers, "days": set.table(out, reports), "runs": reports})
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&seed, "seed", 1, "of the draw; the first of several")
	flags.IntVar(&seeds, "seeds", 1, "how many seeds to play")
	flags.StringVar(&siteName, "site", "trinidad", "a site file, or one of "+strings.Join(site.Names, ", "))
	flags.IntVar(&set.dispatchers, "dispatchers", 0, fmt.Sprintf("dispatchers, 1 to %d; 0: 80, on a site's own days as its file says", site.MaxDispatchers))
	flags.IntVar(&set.workers, "workers", 0, fmt.Sprintf("workers, as many as zones to %d; 0: 60, or as the site's file says", site.MaxBoxes))
	flags.StringVar(&day, "day", "zone", "all, own, or some of "+strings.Join(slices.Concat(site.FleetDays, site.SiteDays), ", "))
	flags.StringVar(&policy, "policy", "module", "all, or some of "+strings.Join(sim.PolicyNames, ", "))
	flags.BoolVar(&zones, "zones", false, "show what happened by zone and second")
	return cmd
}

// playAll simulates all combinations, as many in parallel as there are cores. The runs are independent, so their order does not affect the results.
func (set *fleetRuns) playAll() ([]fleetReport, error) {
	reports := make([]fleetReport, len(set.days)*len(set.policies)*len(set.seeds))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	i := 0
	for _, day := range set.days {
		if _, err := set.site.Day(day, set.dispatchers, set.workers, 1); err != nil {
			return nil, err
		}
		for _, policy := range set.policies {
			for _, seed := range set.seeds {
				report := &reports[i]
				i++
				group.Go(func() (err error) {
					*report, err = playDay(set.site, day, policy, set.dispatchers, set.workers, seed)
					return err
				})
			}
		}
	}
	return reports, group.Wait()
}

func playDay(deployment *site.Site, day, policy string, dispatchers, workers int, seed uint64) (fleetReport, error) {
	world, err := deployment.Day(day, dispatchers, workers, seed)
	if err != nil {
		return fleetReport{}, err
	}
	if world.Policy = sim.PolicyByName(policy); policy == "members" {
		world.MembershipDelay = membershipDelay
	}
	started := time.Now()
	result := sim.Run(world, seed)
	report := fleetReport{Site: deployment.Name, Day: day, Policy: policy, Seed: seed, Dispatchers: len(world.Dispatchers),
		Workers: len(result.Boxes), G: result.G, Wasted: result.Wasted, Jobs: len(world.Arrivals), Service: result.Service,
		Worst: result.Worst, Attempts: result.Attempts * 100 / int64(max(len(world.Arrivals), 1)), Crossings: result.Crossings, Connections: result.Connections,
		MostConns: result.MostConnects, Probes: result.Probes, MostProbes: result.MostProbes, Lists: result.Lists, ListsLate: result.ListsLate,
		MostLists: result.MostLists, Unlisted: result.Unlisted.Seconds(), Falls: result.Falls, Breaches: result.Breaches, Margin: result.Margin, Duplicates: result.Duplicates,
		zones: result.Zones, boxes: result.Boxes, elapsed: time.Since(started)}
	for i, c := range result.Classes {
		report.Classes = append(report.Classes, fleetClass{world.Classes[i].Name, c.Offered, c.InTime, c.Late, c.Refused, c.Failed, c.Lost})
	}
	return report, nil
}

// print writes the results of one day as text.
func (f *fleetReport) print(out io.Writer) {
	fmt.Fprintf(out, "%s, %s, %d dispatchers, %d workers, seed %d: %d jobs in %v\n", f.Day, f.Policy, f.Dispatchers, f.Workers, f.Seed, f.Jobs,
		f.elapsed.Round(time.Millisecond))
	fmt.Fprintf(out, "G %.3f, service %.3f, worst window %.3f, wasted %.3f, attempts a job %.2f, to other zones %d\n", f.G, f.Service, f.Worst, f.Wasted, float64(f.Attempts)/100, f.Crossings)
	for _, c := range f.Classes {
		fmt.Fprintf(out, "%-14s %5d offered, %5d in time, %4d late, %4d refused, %4d failed, %4d lost\n", c.Name, c.Offered, c.InTime, c.Late,
			c.Refused, c.Failed, c.Lost)
	}
	fmt.Fprintf(out, "discovery: %d calls (%d too late), %d in a second at most, longest without a list %.1f s\n", f.Lists, f.ListsLate, f.MostLists, f.Unlisted)
	fmt.Fprintf(out, "workers: %d connections (%d at one in a second at most), %d probes (%d)\n", f.Connections, f.MostConns, f.Probes, f.MostProbes)
	fmt.Fprintf(out, "rules: %d cold workers pushed over, %d of them a breach, margin %.2f, %d unsafe jobs run twice\n", f.Falls, f.Breaches, f.Margin, f.Duplicates)
}

// printZones writes a table by second and zone: attempts sent to the zone's workers, the share of them that waited, the mean number running on
// each worker, and attempts that the zone's dispatchers sent to other zones.
func (f *fleetReport) printZones(out io.Writer) {
	if len(f.zones) == 0 {
		return
	}
	workersInZone := make([]int, len(f.zones[0]))
	for _, b := range f.boxes {
		workersInZone[b.Station]++
	}
	fmt.Fprintf(out, "by second and zone (%v workers): sent, waited over 0.2 s, running a worker, left\n", workersInZone)
	for t, row := range f.zones {
		fmt.Fprintf(out, "%3d s", t)
		for z, c := range row {
			fmt.Fprintf(out, " | %4d %3d%% %4.2f %3d", c.Sent, 100*c.Waited/max(c.Sent, 1), c.Running/float64(max(workersInZone[z], 1)), c.Left)
		}
		fmt.Fprintln(out)
	}
}

// table prints and returns the totals of each day and policy over all seeds.
func (set *fleetRuns) table(out io.Writer, reports []fleetReport) []fleetTotal {
	randomService := map[string]float64{}
	key := func(f *fleetReport) string { return fmt.Sprint(f.Day, " ", f.Seed) }
	for i := range reports {
		if reports[i].Policy == "random" {
			randomService[key(&reports[i])] = reports[i].Service
		}
	}
	size := fmt.Sprintf("%d dispatchers, %d workers", set.dispatchers, set.workers)
	if set.dispatchers == 0 {
		size = "dispatchers and workers as the site has them"
	}
	fmt.Fprintf(out, "%s: %s, seeds %d to %d\n", set.site.Name, size, set.seeds[0], set.seeds[len(set.seeds)-1])
	fmt.Fprintf(out, "%-8s %-12s %8s %8s %8s %10s %7s %9s %7s  %s\n", "day", "policy", "G", "service", "lowest", "crossings", "pushed", "breaches", "margin", "seeds below random")
	var totals []fleetTotal
	for _, day := range set.days {
		for _, policy := range set.policies {
			total := fleetTotal{Day: day, Policy: policy, Lowest: 1, Margin: 1}
			for i := range reports {
				report := &reports[i]
				if report.Day != day || report.Policy != policy {
					continue
				}
				total.Seeds++
				total.Service += report.Service
				total.G += report.G
				total.Crossed += float64(report.Crossings) / float64(max(report.Jobs, 1))
				total.Breaches += report.Breaches
				total.Falls += report.Falls
				total.Lowest, total.Margin = min(total.Lowest, report.Service), min(total.Margin, report.Margin)
				if service, ok := randomService[key(report)]; ok && report.Service < service {
					total.BelowRandom = append(total.BelowRandom, report.Seed)
				}
			}
			total.Service /= float64(max(total.Seeds, 1))
			total.G /= float64(max(total.Seeds, 1))
			total.Crossed /= float64(max(total.Seeds, 1))
			below := "-"
			if len(total.BelowRandom) > 0 {
				below = strings.Trim(fmt.Sprint(total.BelowRandom), "[]")
			} else if slices.Contains(set.policies, "random") {
				below = "none"
			}
			fmt.Fprintf(out, "%-8s %-12s %8.3f %8.3f %8.3f %10.3f %7d %9d %7.2f  %s\n", total.Day, total.Policy, total.G, total.Service, total.Lowest, total.Crossed, total.Falls, total.Breaches, total.Margin, below)
			totals = append(totals, total)
		}
	}
	return totals
}
