package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

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
			f, err := plan.LoadFleet(args[0], true)
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
	planner := plan.Planner{}
	var html string
	var captureFiles []string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "plan FLEET.cue",
		Short: "Say what gives way first, how many boxes a goal needs, and what the loss of a station does",
		Long: "Bounds are worked out by hand; then days are played in virtual time on all cores, as many as each goal needs to be\n" +
			"decided. The last line is JSON with --json. Ctrl-C prints what is known so far, as partial.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			fleet, err := plan.LoadFleet(args[0], len(captureFiles) > 0)
			if err != nil {
				return err
			}
			if planner.MinDays < 2 || planner.MaxDays < planner.MinDays {
				return errors.New("want --least of at least 2 and --most no lower than --least")
			}
			out := cmd.OutOrStdout()
			var notes []string
			if len(captureFiles) > 0 {
				if notes, err = fitCapturedLoad(fleet, captureFiles); err != nil {
					return err
				}
			}
			planner.Fleet = fleet
			var bar *mpb.Bar
			progress := mpb.NewWithContext(context.WithoutCancel(cmd.Context()), mpb.WithOutput(io.Discard))
			if lab.Terminal(os.Stderr) {
				progress = mpb.New(mpb.WithOutput(os.Stderr))
			}
			bar = progress.AddSpinner(0, mpb.PrependDecorators(decor.Name("planning "), decor.CurrentNoUnit("%d questions answered")))
			planner.OnOutcome = func(plan.Outcome) { bar.Increment() }
			answer, err := planner.Plan(cmd.Context())
			bar.SetTotal(-1, true)
			progress.Wait()
			if err != nil {
				return err
			}
			answer.Fitted = notes
			answer.Text(out, fleet)
			if html != "" {
				file, err := os.Create(html)
				if err != nil {
					return err
				}
				if err := errors.Join(answer.HTML(file, fleet), file.Close()); err != nil {
					return err
				}
			}
			if asJSON {
				return printReport(cmd, answer)
			}
			return nil
		},
	}
	cmd.AddCommand(verifyCommand(), speedCommand())
	flags := cmd.Flags()
	flags.Uint64Var(&planner.Seed, "seed", 1, "of the days; the same seed gives the same plan")
	flags.IntVar(&planner.MinDays, "least", 8, "days for each question at first")
	flags.IntVar(&planner.MaxDays, "most", 64, "and at most")
	flags.StringVar(&html, "html", "", "write the plan as a page to this file")
	flags.StringSliceVar(&captureFiles, "captured", nil, "capture files in place of the fleet file's load")
	flags.BoolVar(&asJSON, "json", false, "print the plan as JSON, as the last line")
	return cmd
}

func verifyCommand() *cobra.Command {
	config := lab.VerifyConfig{}
	cmd := &cobra.Command{
		Use:   "verify",
		Short: "Draw fleets and loads, forecast each, play it on loopback, and compare; the last line is JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config.Stderr = cmd.ErrOrStderr()
			if config.Cases < 1 || config.Length < time.Second {
				return errors.New("want at least one case and a length of at least one second")
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%4s %5s %8s %6s %17s %17s %19s %19s %15s %7s  %s\n", "case", "boxes", "jobs/s", "load", "reading in time", "warning in time", "p50 ms", "p99 ms",
				"utilisation", "error", "largest of")
			report, err := lab.Verify(cmd.Context(), config, func(x lab.Case) {
				f, s := x.Forecast, x.Seen
				fmt.Fprintf(out, "%4d %5d %8.1f %6.2f %8.3f %8.3f %8.3f %8.3f %9.1f %9.1f %9.1f %9.1f %7.3f %7.3f %6.1f%%  %s\n", x.Number, x.Boxes, x.Rate, x.Load,
					f.InTime["gauge-reading"], s.InTime["gauge-reading"], f.InTime["send-warning"], s.InTime["send-warning"], f.P50, s.P50, f.P99, s.P99,
					f.Utilisation, s.Utilisation, 100*x.Error, x.Of)
				if config.Ramp {
					fmt.Fprintf(out, "%4s gives way at %.2f of its cores, seen at %.2f\n", "", x.Tip, x.TipSeen)
				}
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%d of %d within 10%%, %d within 20%%; p99 within 20%% in %d\n", report.Within10, report.Count, report.Within20, report.P99In20)
			return printReport(cmd, report)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&config.Daemon, "daemon", defaultDaemonPath(), "the daemon's binary")
	flags.Uint64Var(&config.Seed, "seed", 1, "of what is drawn")
	flags.IntVar(&config.Cases, "cases", 20, "fleets and loads to draw")
	flags.IntVar(&config.Parallel, "beside", 4, "cases to play at a time")
	flags.DurationVar(&config.Length, "length", 20*time.Second, "of each case's load")
	flags.BoolVar(&config.Ramp, "ramp", false, "raise the load of each case until it gives way, too")
	flags.IntVar(&config.Days, "days", 5, "emulated runs of each forecast")
	return cmd
}

func speedCommand() *cobra.Command {
	var boxes, dispatchers []int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "speed",
		Short: "Measure how fast the emulator plays worlds of several sizes on one core; the last line is JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%6s %12s %9s %12s %10s %12s %9s\n", "boxes", "dispatchers", "jobs/s", "sim s per s", "events", "allocated MB", "service")
			all, err := lab.Speeds(cmd.Context(), boxes, dispatchers, length, func(s lab.Speed) {
				fmt.Fprintf(out, "%6d %12d %9.0f %12.1f %10d %12.1f %9.3f\n", s.Boxes, s.Dispatchers, s.Rate, s.Ratio, s.Events, s.HeapMB, s.Service)
			})
			if err != nil {
				return err
			}
			return printReport(cmd, map[string]any{"runs": all})
		},
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&boxes, "boxes", []int{20, 200, 2000}, "numbers of boxes")
	flags.IntSliceVar(&dispatchers, "dispatchers", []int{3, 30, 300}, "numbers of dispatchers")
	flags.DurationVar(&length, "length", 20*time.Second, "of each day")
	return cmd
}

// fitCapturedLoad replaces the fleet's load by that of capture files, and returns notes on what was fitted and what could not be read.
func fitCapturedLoad(fleet *plan.Fleet, files []string) (notes []string, err error) {
	var records []capture.Record
	var header capture.Header
	dropped := int64(0)
	for i, path := range files {
		reader, err := readCapture(path, func(_ *capture.Reader, record capture.Record) error {
			records = append(records, record)
			return nil
		})
		if err != nil {
			return nil, err
		}
		if i > 0 && !(slices.Equal(header.Classes, reader.Header.Classes) && slices.Equal(header.Zones, reader.Header.Zones) && slices.Equal(header.Kinds, reader.Header.Kinds)) {
			return nil, fmt.Errorf("%s: its classes, stations or kinds are not those of %s", path, files[0])
		}
		header = reader.Header
		dropped += reader.Dropped
		if text := readProblems(path, reader); text != "" {
			notes = append(notes, text)
		}
	}
	fitted, speeds, err := fleet.UseCaptured(header, records, dropped)
	if err != nil {
		return nil, err
	}
	for _, x := range speeds {
		notes = append(notes, fmt.Sprintf("%s, from %d warm runs: %s", x.Kind, x.Runs, x))
	}
	for _, x := range fitted {
		notes = append(notes, fmt.Sprintf("%s, from %d of %d records: work %.4f ± %.4f s; %d left out", x.Class, x.Runs, x.Records, x.Work.Mean, x.Work.Half, x.Skipped))
	}
	return notes, nil
}
