package main

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"liftgauge/internal/operator"
)

// abandonCommand gives up the disks of a storage machine that will not return.
func abandonCommand() *cobra.Command {
	var o operatorOptions
	var confirmed bool
	return flagCommand{
		use:   "abandon [options] NODE",
		short: "Give up the disks of a storage machine that never comes back; without --confirm only show what is lost",
		flags: func(f *flag.FlagSet) {
			o.register(f)
			f.BoolVar(&confirmed, "confirm", false, "do it: partitions go on without these disks")
		},
		minArgs: 1, maxArgs: 1,
		run: func(cmd *cobra.Command, args []string) error {
			client, ctx, cancel, err := o.client(cmd)
			if err != nil {
				return err
			}
			defer cancel()
			call := client.Abandonment
			if confirmed {
				call = client.Abandon
			}
			page, err := call(ctx, args[0])
			if err != nil {
				return err
			}
			return printAbandonment(cmd.OutOrStdout(), page, confirmed)
		},
	}.command()
}

func printAbandonment(out io.Writer, a *operator.Abandonment, confirmed bool) error {
	fmt.Fprintf(out, "disks: %s\n", strings.Join(a.Stores, ", "))
	for _, line := range []struct {
		count int
		text  string
	}{
		{a.Kept, "go on from a member that has everything"},
		{a.Merged, "are put together from what other stores hold: all that was acknowledged"},
		{a.Incomplete, "are put together from what other stores hold: what only lost disks had is gone"},
		{a.Emptied, "have no disk left: all of their messages are gone, and they begin anew"},
		{a.Waiting, "wait for yet another disk: see liftgauge status"},
	} {
		if line.count > 0 {
			fmt.Fprintf(out, "%d partitions %s\n", line.count, line.text)
		}
	}
	closing := "given up"
	if !confirmed {
		closing = "nothing was done; to give these disks up, give --confirm as well"
	}
	_, err := fmt.Fprintln(out, closing)
	return err
}
