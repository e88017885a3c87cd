package main

import (
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// flagCommand is a subcommand whose options are parsed by package flag. Its cobra command only lists it with the others.
type flagCommand struct {
	use     string // name and arguments
	short   string
	flags   func(f *flag.FlagSet)
	maxArgs int // number of arguments that are not options
	minArgs int
	run     func(cmd *cobra.Command, args []string) error
}

func (c flagCommand) command() *cobra.Command {
	cmd := &cobra.Command{Use: c.use, Short: c.short, DisableFlagParsing: true}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		f := flag.NewFlagSet(cmd.Name(), flag.ContinueOnError)
		f.SetOutput(io.Discard)
		c.flags(f)
		positional, err := parseMixed(f, args)
		switch {
		case errors.Is(err, flag.ErrHelp):
			c.help(cmd, f)
			return nil
		case err != nil:
			return fmt.Errorf("%s: %w; see liftgauge %[1]s --help", cmd.Name(), err)
		case len(positional) < c.minArgs || len(positional) > c.maxArgs:
			return fmt.Errorf("%s: %d arguments: want liftgauge %s", cmd.Name(), len(positional), c.use)
		}
		return c.run(cmd, positional)
	}
	return cmd
}

// parseMixed parses options before, between and after the positional arguments, which it returns.
func parseMixed(f *flag.FlagSet, args []string) (positional []string, err error) {
	for {
		if err := f.Parse(args); err != nil {
			return nil, err
		}
		if f.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, f.Arg(0))
		args = f.Args()[1:]
	}
}

func (c flagCommand) help(cmd *cobra.Command, f *flag.FlagSet) {
	fmt.Fprintf(cmd.OutOrStdout(), "%s\n\nUsage: liftgauge %s\n\nOptions:\n", c.short, c.use)
	f.SetOutput(cmd.OutOrStdout())
	f.PrintDefaults()
}
