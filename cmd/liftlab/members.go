package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/sim/members"
)

// membersReport is what liftlab members prints last.
type membersReport struct {
	Runs []members.Result `json:"runs"`
}

func membersCommand() *cobra.Command {
	var sizes, faults, policies string
	var seed uint64
	var seeds, jobs int
	var length time.Duration
	names := func(all []struct{ Name, Means string }) (text string) {
		for _, n := range all {
			text += fmt.Sprintf("  %-13s %s\n", n.Name, n.Means)
		}
		return text
	}
	cmd := &cobra.Command{
		Use:   "members",
		Short: "play the membership of fleets of up to 1,000 dispatchers in virtual time, under faults",
		Long: "The real membership module runs in each simulated dispatcher; only the net and the processes are played. Runs go side by side and\n" +
			"make a table; the last line is JSON.\n\nFaults:\n" + names(members.Faults) + "\nPolicies:\n" + names(members.Policies),
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var configs []members.Config
			pick := func(text string, all []struct{ Name, Means string }) (list []string) {
				if text != "all" {
					return strings.Split(text, ",")
				}
				for _, n := range all {
					list = append(list, n.Name)
				}
				return list
			}
			for _, size := range strings.Split(sizes, ",") {
				n, err := strconv.Atoi(size)
				if err != nil {
					return fmt.Errorf("--sizes: want numbers, have %q", size)
				}
				for _, f := range pick(faults, members.Faults) {
					for _, p := range pick(policies, members.Policies) {
						for s := range seeds {
							configs = append(configs, members.Config{Members: n, Seed: seed + uint64(s), Fault: f, Policy: p, Length: length})
						}
					}
				}
			}
			results := make([]members.Result, len(configs))
			errs := make([]error, len(configs))
			room := make(chan struct{}, max(1, jobs))
			var all sync.WaitGroup
			for i, c := range configs {
				all.Go(func() {
					room <- struct{}{}
					defer func() { <-room }()
					results[i], errs[i] = members.Run(c)
				})
			}
			all.Wait()
			if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
				return errs[i]
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "members\tfault\tpolicy\tseed\tfalse\tknown ms\tworst\tmissed\tviews\tsettled ms\tB/s\tmost\tout\tagreed\tout of touch\t")
			for _, r := range results {
				fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%.0f\t%.0f\t%d\t%d\t%.0f\t%.0f\t%.0f\t%d\t%v\t%d\t\n", r.Members, r.Fault, r.Policy, r.Seed, r.False, r.KnownMedianMS, r.KnownWorstMS,
					r.Undetected, r.Views, r.SettledMS, r.BytesMean, r.BytesWorst, r.InAndOut, r.Agreed, r.NotInTouch)
			}
			w.Flush()
			return json.NewEncoder(cmd.OutOrStdout()).Encode(membersReport{results})
		},
	}
	f := cmd.Flags()
	f.StringVar(&sizes, "sizes", "10,100", "how many members, with commas between")
	f.StringVar(&faults, "fault", "all", "all, or some of those above")
	f.StringVar(&policies, "policy", "member", "all, or some of those above")
	f.Uint64Var(&seed, "seed", 1, "of the draw; the first of several")
	f.IntVar(&seeds, "seeds", 1, "how many seeds to play")
	f.DurationVar(&length, "length", time.Minute, "from the fault on")
	f.IntVar(&jobs, "jobs", runtime.NumCPU(), "runs side by side")
	return cmd
}
