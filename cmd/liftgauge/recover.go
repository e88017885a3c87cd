package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/internal/operator"
	"liftgauge/internal/recovery"
	"liftgauge/internal/snapshot"
)

// recoverTimeout bounds a recovery, in which the state is written and a process is restarted.
const recoverTimeout = time.Minute

func snapshotCommand() *cobra.Command {
	var o operatorOptions
	return flagCommand{
		use:   "snapshot [options] > FILE",
		short: "Print a copy of control's state, for liftgauge recover --from FILE",
		flags: o.register,
		run: func(cmd *cobra.Command, _ []string) error {
			client, ctx, cancel, err := o.client(cmd)
			if err != nil {
				return err
			}
			defer cancel()
			file, err := client.Snapshot(ctx)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(file)
			return err
		},
	}.command()
}

// recoverOptions are the command-line options of recover.
type recoverOptions struct {
	operatorOptions
	lost, at, from string
	found          bool
}

func recoverCommand() *cobra.Command {
	var o recoverOptions
	return flagCommand{
		use:   "recover [options]",
		short: "Found control anew after a majority of its disks is lost; without --found only show how",
		flags: func(f *flag.FlagSet) {
			o.register(f)
			f.StringVar(&o.lost, "lost", "", "`machines` whose disks are gone for good, with commas between; one that came back with an empty disk need not be named")
			f.StringVar(&o.at, "at", "", "`machine` to found on; the one with the most complete records where it is not given")
			f.StringVar(&o.from, "from", "", "snapshot `file` to begin with, instead of the survivors' records")
			f.BoolVar(&o.found, "found", false, "do it: control of before is given up")
		},
		run: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}.command()
}

func (o *recoverOptions) run(cmd *cobra.Command) error {
	if o.timeout == defaultOperatorTimeout {
		o.timeout = recoverTimeout
	}
	client, ctx, cancel, err := o.client(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	choice := recovery.Options{Lost: strings.FieldsFunc(o.lost, func(r rune) bool { return r == ',' || r == ' ' }), At: o.at}
	var file []byte
	if o.from != "" {
		if file, err = os.ReadFile(o.from); err != nil {
			return err
		}
		if choice.From, err = snapshot.Decode(file); err != nil {
			return fmt.Errorf("%s: %w", o.from, err)
		}
	}
	accounts, err := client.Accounts(ctx)
	if err != nil {
		return err
	}
	plan, err := recovery.NewPlan(accounts, choice)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if err := printPlan(out, plan); err != nil {
		return err
	}
	if !o.found {
		_, err := fmt.Fprintln(out, "nothing was done; to found control in this way, give --found as well")
		return err
	}
	if err := client.Found(ctx, plan, file); err != nil {
		return err
	}
	return o.awaitFounded(cmd, client, plan)
}

// awaitFounded waits until the new generation of control has a primary.
func (o *recoverOptions) awaitFounded(cmd *cobra.Command, client *operator.Client, plan *recovery.Plan) error {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "%s has written the state and ends, to be started again\n", plan.Founder.Node)
	ctx, cancel := contextFor(cmd, o.timeout)
	defer cancel()
	primary, err := client.AwaitFounded(ctx, plan)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "control is founded anew: generation %d, primary %s in epoch %d\n", plan.View.Generation, primary.Node, primary.Installed.Epoch)
	return err
}

func printPlan(out io.Writer, p *recovery.Plan) error {
	fmt.Fprintf(out, "control is to be founded anew on %s (%s), generation %d, epoch %d\n", p.Founder.Node, p.Founder.Member, p.View.Generation, p.View.Epoch)
	for _, other := range p.Join {
		fmt.Fprintf(out, "  %s (%s) joins\n", other.Node, other.Member)
	}
	for _, finding := range p.Findings {
		if _, err := fmt.Fprintf(out, "  %s\n", finding); err != nil {
			return err
		}
	}
	return nil
}
