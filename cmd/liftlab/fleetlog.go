package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/internal/fleetlog"
)

func fleetLogCommand() *cobra.Command {
	var message string
	var warmWithin, step time.Duration
	cmd := &cobra.Command{
		Use:   "fleet-log DIR",
		Short: "Count the debug logs of many dispatchers, or follow one message through them",
		Long: "DIR holds a log a dispatcher (*.log) as `liftgauge serve --log-level debug` writes it, as text or JSON. What is no such line, a log\n" +
			"that ends in the middle of one, and logs of other programs are counted and passed over. The last line is JSON.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			out, dir := cmd.OutOrStdout(), args[0]
			if info, err := os.Stat(dir); err != nil {
				return err
			} else if !info.IsDir() {
				return fmt.Errorf("%s is not a folder", dir)
			}
			if warmWithin < 0 || step < 100*time.Millisecond {
				return fmt.Errorf("--warm-within %v, --step %v: want at least 0 and 100ms", warmWithin, step)
			}
			if message != "" {
				return follow(out, dir, message)
			}
			counts, err := fleetlog.Count(os.DirFS(dir), warmWithin, step)
			if err != nil {
				return fmt.Errorf("%s: %w", dir, err)
			}
			printCounts(out, counts)
			return printReport(cmd, counts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&message, "message", "", "show all lines about the message with this id, in the order of time")
	flags.DurationVar(&warmWithin, "warm-within", 8*time.Second, "how long a host is cold after its start")
	flags.DurationVar(&step, "step", 2*time.Second, "length of a row of the table")
	return cmd
}

func follow(out io.Writer, dir, message string) error {
	lines, _, err := fleetlog.Follow(os.DirFS(dir), message)
	if err != nil {
		return fmt.Errorf("%s: %w", dir, err)
	}
	if len(lines) == 0 {
		return fmt.Errorf("%s: no line about message %q", dir, message)
	}
	for _, l := range lines {
		fmt.Fprintf(out, "%s\t%s\n", l.Dispatcher, l.Text)
	}
	return nil
}

func printCounts(out io.Writer, counts *fleetlog.Counts) {
	fmt.Fprintf(out, "%d attempts of %d dispatchers in %v, %d waited over %v; hosts used by zone %v\n", counts.Attempts, counts.Dispatchers,
		counts.Span.Round(time.Millisecond), counts.Late, fleetlog.LateStartThreshold, counts.HostsByZone)
	fmt.Fprintf(out, "attempts ended:")
	for _, s := range slices.SortedFunc(maps.Keys(counts.Statuses), func(a, b string) int { return counts.Statuses[b] - counts.Statuses[a] }) {
		fmt.Fprintf(out, " %s %d", s, counts.Statuses[s])
	}
	fmt.Fprintf(out, "\nmessages by attempts: %v, without an answer %d\n", counts.MessagesByAttempts, counts.Unanswered)
	outcomeNames := []string{"failed", "served", "back-off answer"}
	for _, outcome := range counts.Outcomes {
		if outcome.Kind >= 0 && outcome.Kind < len(outcomeNames) {
			fmt.Fprintf(out, "class %d %s: %d\n", outcome.Class, outcomeNames[outcome.Kind], outcome.Messages)
		}
	}
	fmt.Fprintf(out, "to cold hosts: %d attempts, %d at one within 2 s at most\n", counts.Cold, counts.MaxColdPerHost)
	fmt.Fprintf(out, "by time and zone %v: sent, waited, running a host\n", counts.Zones)
	for i, row := range counts.Times {
		fmt.Fprintf(out, "%6v", time.Duration(i)*counts.Step)
		for _, z := range row {
			fmt.Fprintf(out, " | %4d %3d%% %4.2f", z.Sent, 100*z.Waited/max(z.Sent, 1), z.Running)
		}
		fmt.Fprintln(out)
	}
	for _, s := range counts.Spreads {
		fmt.Fprintf(out, "zone %d kind %d: %d hosts, attempts a host %d / %d / %d (least, median, most)\n", s.Zone, s.Kind, s.Hosts, s.Least, s.Median, s.Most)
	}
	fmt.Fprintf(out, "dispatchers by most used zone %v, sent outside it %.3f\n", counts.HomeZones, counts.OutsideHomeZone)
	if counts.Unrecognized+counts.Orphans+len(counts.Truncated)+len(counts.Foreign) > 0 {
		fmt.Fprintf(out, "passed over: %d lines of other kinds, %d starts and ends without a send", counts.Unrecognized, counts.Orphans)
		for _, skipped := range []struct {
			reason string
			files  []string
		}{{"cut off", counts.Truncated}, {"of other programs", counts.Foreign}} {
			if len(skipped.files) > 0 {
				fmt.Fprintf(out, ", %d files %s (%s)", len(skipped.files), skipped.reason, strings.Join(skipped.files[:min(3, len(skipped.files))], " "))
			}
		}
		fmt.Fprintln(out)
	}
}
