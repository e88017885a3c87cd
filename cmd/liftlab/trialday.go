package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"liftgauge/lab/trialday"
)

func trialDayCommand() *cobra.Command {
	var options trialday.Options
	var seed uint64
	var count int
	var folder string
	var knownKinds []string
	cmd := &cobra.Command{
		Use:   "trial-day",
		Short: "Draw days of trouble for the bench of the system: of all kinds, or of those named",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if count < 1 || options.Troubles < 1 {
				return fmt.Errorf("--count %d, --troubles %d: want at least 1", count, options.Troubles)
			}
			known := map[string]bool{}
			for _, kind := range knownKinds {
				known[kind] = true
			}
			options.Supported = func(kind string) bool { return known[kind] }
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return err
			}
			for n := range uint64(count) {
				day := trialday.Draw(seed+n, options)
				path := filepath.Join(folder, day.Name+".toml")
				if err := os.WriteFile(path, []byte(day.TOML()), 0o644); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), path)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&options.Only, "kinds", nil, "kinds of trouble, each of which comes at least once; all where it is not given")
	flags.StringSliceVar(&knownKinds, "known", nil, "kinds that only some sites know: retire, add_nodes, srv_grey, srv_lying_health, srv_flap, burst")
	flags.IntVar(&options.Troubles, "troubles", 5, "troubles a day")
	flags.Float64Var(&options.LengthS, "length", 34, "seconds of traffic")
	flags.BoolVar(&options.Closing, "closing", true, "half of the days end with a final fault")
	flags.Uint64Var(&seed, "seed", 1, "of the first day")
	flags.IntVar(&count, "count", 10, "days")
	flags.StringVar(&folder, "out", "found/days", "folder to write to")
	return cmd
}
