package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/internal/operator"
)

// Defaults of the operator commands' options.
const (
	defaultOperatorTimeout = 10 * time.Second
	defaultRetireWithin    = 10 * time.Second
)

// operatorOptions select the control processes that an operator command calls, and its timeout.
type operatorOptions struct {
	control, config string
	timeout         time.Duration
}

func (o *operatorOptions) register(f *flag.FlagSet) {
	f.StringVar(&o.control, "control", "", "ControlPlane `addresses` of control processes, with commas between; the seeds of the settings file where it is not given")
	f.StringVar(&o.config, "config", "", configUsage)
	f.DurationVar(&o.timeout, "timeout", defaultOperatorTimeout, "how long to try")
}

// client returns a client of the control processes, and the context for its calls.
func (o *operatorOptions) client(cmd *cobra.Command) (*operator.Client, context.Context, context.CancelFunc, error) {
	addresses := strings.FieldsFunc(o.control, func(r rune) bool { return r == ',' || r == ' ' })
	if len(addresses) == 0 {
		settings, err := loadSettings(o.config)
		if err != nil {
			return nil, nil, nil, fmt.Errorf("no --control address: %w", err)
		}
		addresses = settings.SeedNodes
	}
	ctx, cancel := contextFor(cmd, o.timeout)
	return operator.New(addresses, nil), ctx, cancel, nil
}

func contextFor(cmd *cobra.Command, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), timeout)
}

// operatorCommands returns the subcommands that call a running system.
func operatorCommands() []*cobra.Command {
	return []*cobra.Command{statusCommand(), describeCommand(), retireCommand(), abandonCommand(), snapshotCommand(), recoverCommand()}
}

func statusCommand() *cobra.Command {
	var o operatorOptions
	var asJSON bool
	return flagCommand{
		use:   "status [options]",
		short: "Show what control knows of the running system: processes, stores, partitions",
		flags: func(f *flag.FlagSet) {
			o.register(f)
			f.BoolVar(&asJSON, "json", false, "as JSON")
		},
		run: func(cmd *cobra.Command, _ []string) error {
			client, ctx, cancel, err := o.client(cmd)
			if err != nil {
				return err
			}
			defer cancel()
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(status)
			}
			return status.Print(cmd.OutOrStdout())
		},
	}.command()
}

func describeCommand() *cobra.Command {
	var o operatorOptions
	return flagCommand{
		use:   "describe [options]",
		short: "Print the newest configuration of the running system, as JSON",
		flags: o.register,
		run: func(cmd *cobra.Command, _ []string) error {
			client, ctx, cancel, err := o.client(cmd)
			if err != nil {
				return err
			}
			defer cancel()
			configuration, err := client.Describe(ctx)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSpace(string(configuration)))
			return err
		},
	}.command()
}

func retireCommand() *cobra.Command {
	var o operatorOptions
	var within time.Duration
	var describeOnly, wait bool
	return flagCommand{
		use:   "retire [options] NODE",
		short: "Empty a storage machine, so that it can be removed; print how far that is",
		flags: func(f *flag.FlagSet) {
			o.register(f)
			f.DurationVar(&within, "within", defaultRetireWithin, "how long the emptying should take")
			f.BoolVar(&describeOnly, "describe", false, "do not begin, only print how far it is")
			f.BoolVar(&wait, "wait", false, "wait until the machine is empty, or --timeout is over")
		},
		minArgs: 1, maxArgs: 1,
		run: func(cmd *cobra.Command, args []string) error {
			client, ctx, cancel, err := o.client(cmd)
			if err != nil {
				return err
			}
			defer cancel()
			node := args[0]
			if !describeOnly {
				if err := client.StartRetirement(ctx, node, within); err != nil {
					return err
				}
			}
			if wait {
				if err := client.AwaitRetirement(ctx, node); err != nil {
					return err
				}
			}
			state, err := client.Retirement(ctx, node)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", node, state)
			return err
		},
	}.command()
}
