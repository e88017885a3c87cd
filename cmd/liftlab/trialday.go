package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"liftgauge/lab/trialday"
)

func trialDayCommand() *cobra.Command {
	var o trialday.Options
	var seed uint64
	var count int
	var folder string
	var known []string
	cmd := &cobra.Command{
		Use:   "trial-day",
		Short: "Draw days of trouble for the bench of the system: of all kinds, or of those named",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if count < 1 || o.Troubles < 1 {
				return fmt.Errorf("--count %d, --troubles %d: want one at least", count, o.Troubles)
			}
			site := map[string]bool{}
			for _, kind := range known {
				site[kind] = true
			}
			o.Supported = func(kind string) bool { return site[kind] }
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return err
			}
			for n := range uint64(count) {
				day := trialday.Draw(seed+n, o)
				path := filepath.Join(folder, day.Name+".toml")
				if err := os.WriteFile(path, []byte(day.TOML()), 0o644); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), path)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.Only, "kinds", nil, "kinds of trouble, each of which comes at least once; all where it is not given")
	f.StringSliceVar(&known, "known", nil, "kinds that only some sites know: retire, add_nodes, srv_grey, srv_lying_health, srv_flap, burst")
	f.IntVar(&o.Troubles, "troubles", 5, "troubles a day")
	f.Float64Var(&o.LengthS, "length", 34, "seconds of traffic")
	f.BoolVar(&o.Closing, "closing", true, "half of the days end with a final fault")
	f.Uint64Var(&seed, "seed", 1, "of the first day")
	f.IntVar(&count, "count", 10, "days")
	f.StringVar(&folder, "out", "found/days", "folder to write to")
	return cmd
}
