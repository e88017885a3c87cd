package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"liftgauge/internal/capture"
	"liftgauge/lab"
	"liftgauge/plan"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FLEET.cue", Short: "Validate a fleet file and say what it holds", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := plan.LoadFleet(args[0])
			if err != nil {
				return err
			}
			stations, kinds, classes := f.Names()
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d stations, %d boxes of %d kinds, %d classes, %.1f jobs a second\n", args[0], len(stations), f.Boxes(),
				len(kinds), len(classes), f.Load.Rate)
			return nil
		},
	}
}

func planCommand() *cobra.Command {
	p := plan.Planner{}
	var html string
	var captured []string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "plan FLEET.cue",
		Short: "Say what gives way first, how many boxes a goal needs, and what the loss of a station does",
		Long: "Bounds are worked out by hand; then days are played in virtual time on all cores, as many as each goal needs to be\n" +
			"decided. The last line is JSON with --json. Ctrl-C prints what is known so far, as partial.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := plan.LoadFleet(args[0])
			if err != nil {
				return err
			}
			if p.Least < 2 || p.Most < p.Least {
				return errors.New("want two days at least, and no fewer at most")
			}
			out := cmd.OutOrStdout()
			if len(captured) > 0 {
				if err := useCaptured(cmd, f, captured); err != nil {
					return err
				}
			}
			p.Fleet = f
			var bar *mpb.Bar
			progress := mpb.NewWithContext(context.WithoutCancel(cmd.Context()), mpb.WithOutput(io.Discard))
			if lab.Terminal(os.Stderr) {
				progress = mpb.New(mpb.WithOutput(os.Stderr))
			}
			bar = progress.AddSpinner(0, mpb.PrependDecorators(decor.Name("planning "), decor.CurrentNoUnit("%d questions answered")))
			p.Done = func(plan.Outcome) { bar.Increment() }
			a, err := p.Plan(cmd.Context())
			bar.SetTotal(-1, true)
			progress.Wait()
			if err != nil {
				return err
			}
			a.Text(out, f)
			if html != "" {
				file, err := os.Create(html)
				if err != nil {
					return err
				}
				if err := errors.Join(a.HTML(file, f), file.Close()); err != nil {
					return err
				}
			}
			if asJSON {
				return lastLine(cmd, a)
			}
			return nil
		},
	}
	fl := cmd.Flags()
	fl.Uint64Var(&p.Seed, "seed", 1, "of the days; the same seed gives the same plan")
	fl.IntVar(&p.Least, "least", 8, "days for each question at first")
	fl.IntVar(&p.Most, "most", 64, "and at most")
	fl.StringVar(&html, "html", "", "write the plan as a page to this file")
	fl.StringSliceVar(&captured, "captured", nil, "capture files in place of the fleet file's load")
	fl.BoolVar(&asJSON, "json", false, "print the plan as JSON, as the last line")
	return cmd
}

// useCaptured reads capture files and says what was fitted from them.
func useCaptured(cmd *cobra.Command, f *plan.Fleet, files []string) error {
	var all []capture.Record
	var head capture.Header
	for i, path := range files {
		r, err := readCapture(path, func(_ *capture.Reader, rec capture.Record) error {
			all = append(all, rec)
			return nil
		})
		if err != nil {
			return err
		}
		if i > 0 && !(slices.Equal(head.Classes, r.Header.Classes) && slices.Equal(head.Zones, r.Header.Zones) && slices.Equal(head.Kinds, r.Header.Kinds)) {
			return fmt.Errorf("%s: its classes, stations or kinds are not those of %s", path, files[0])
		}
		head = r.Header
		if text := faults(path, r); text != "" {
			fmt.Fprintln(cmd.OutOrStdout(), text)
		}
	}
	fitted, err := f.UseCaptured(head, all)
	if err != nil {
		return err
	}
	for _, x := range fitted {
		fmt.Fprintf(cmd.OutOrStdout(), "fitted from %d of %d records of %s: work %.4f ± %.4f s; %d left out\n", x.Runs, x.Records, x.Class, x.Work.Mean, x.Work.Half, x.Skipped)
	}
	return nil
}
