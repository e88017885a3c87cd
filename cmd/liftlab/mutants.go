package main

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"liftgauge/lab/mutants"
)

func mutantsCommand() *cobra.Command {
	var root string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "mutants [PROMISE...]",
		Short: "Take the system's promises out of a copy of the sources, one at a time, and tell which test notices",
		Long: "Changes a copy of the sources so that one promise of the system does not hold, and runs the tests that are to notice, those of\n" +
			"sim/system or of the part that owns the promise, for each promise or for those that are named. Prints a line of JSON a promise. It\n" +
			"fails if a promise is missed.",
		RunE: func(cmd *cobra.Command, names []string) error { return runMutants(cmd, root, timeout, names) },
	}
	cmd.Flags().StringVar(&root, "root", ".", "folder of the sources")
	cmd.Flags().DurationVar(&timeout, "patience", 3*time.Minute, "longest run of the tests on one mutant")
	return cmd
}

func runMutants(cmd *cobra.Command, root string, timeout time.Duration, names []string) error {
	chosen, err := mutants.Select(mutants.System, names)
	if err != nil {
		return err
	}
	missed := 0
	for _, mutant := range chosen {
		result, err := mutants.Run(cmd.Context(), root, timeout, mutant)
		if err != nil {
			return err
		}
		if !result.Caught {
			missed++
		}
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(result); err != nil {
			return err
		}
	}
	if missed > 0 {
		return errors.Newf("%d of %d mutants were not caught by any test: see the lines with Caught false", missed, len(chosen))
	}
	return nil
}
