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

// membersReport is the last line of the output of "liftlab members".
type membersReport struct {
	Runs []members.Result `json:"runs"`
}

func membersCommand() *cobra.Command {
	var sizes, faults, policies string
	var seed uint64
	var seeds, parallel int
	var length time.Duration
	describe := func(entries []struct{ Name, Means string }) (text string) {
		for _, n := range entries {
			text += fmt.Sprintf("  %-13s %s\n", n.Name, n.Means)
		}
		return text
	}
	cmd := &cobra.Command{
		Use:   "members",
		Short: "play the membership of fleets of up to 1,000 dispatchers in virtual time, under faults",
		Long: "The real membership module runs in each simulated dispatcher; only the net and the processes are played. Runs go side by side and\n" +
			"make a table; the last line is JSON.\n\nFaults:\n" + describe(members.Faults) + "\nPolicies:\n" + describe(members.Policies),
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var configs []members.Config
			selected := func(text string, entries []struct{ Name, Means string }) (list []string) {
				if text != "all" {
					return strings.Split(text, ",")
				}
				for _, n := range entries {
					list = append(list, n.Name)
				}
				return list
			}
			for _, size := range strings.Split(sizes, ",") {
				n, err := strconv.Atoi(size)
				if err != nil {
					return fmt.Errorf("--sizes: want numbers, have %q", size)
				}
				for _, fault := range selected(faults, members.Faults) {
					for _, policy := range selected(policies, members.Policies) {
						for s := range seeds {
							configs = append(configs, members.Config{Members: n, Seed: seed + uint64(s), Fault: fault, Policy: policy, Length: length})
						}
					}
				}
			}
			results := make([]members.Result, len(configs))
			errs := make([]error, len(configs))
			slots := make(chan struct{}, max(1, parallel))
			var group sync.WaitGroup
			for i, c := range configs {
				group.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					results[i], errs[i] = members.Run(c)
				})
			}
			group.Wait()
			if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
				return errs[i]
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(table, "members\tfault\tpolicy\tseed\tfalse\tknown ms\tworst\tmissed\tviews\tsettled ms\tB/s\tmost\tout\tagreed\tout of touch\t")
			for _, r := range results {
				fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%d\t%.0f\t%.0f\t%d\t%d\t%.0f\t%.0f\t%.0f\t%d\t%v\t%d\t\n", r.Members, r.Fault, r.Policy, r.Seed, r.False, r.KnownMedianMS, r.KnownWorstMS,
					r.Undetected, r.Views, r.SettledMS, r.BytesMean, r.BytesWorst, r.InAndOut, r.Agreed, r.NotInTouch)
			}
			table.Flush()
			return json.NewEncoder(cmd.OutOrStdout()).Encode(membersReport{results})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&sizes, "sizes", "10,100", "how many members, with commas between")
	flags.StringVar(&faults, "fault", "all", "all, or some of those above")
	flags.StringVar(&policies, "policy", "member", "all, or some of those above")
	flags.Uint64Var(&seed, "seed", 1, "of the draw; the first of several")
	flags.IntVar(&seeds, "seeds", 1, "how many seeds to play")
	flags.DurationVar(&length, "length", time.Minute, "from the fault on")
	flags.IntVar(&parallel, "jobs", runtime.NumCPU(), "runs side by side")
	return cmd
}
