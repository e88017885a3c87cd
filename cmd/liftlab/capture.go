package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"liftgauge/balance"
	"liftgauge/internal/capture"
)

func captureCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "capture", Short: "Look at captured load, cut it and put it together; files are never changed"}
	cmd.AddCommand(captureShow(), captureStats(), captureCut(), captureMerge())
	return cmd
}

// readCapture hands every record of a file that can be read to a function.
func readCapture(path string, each func(*capture.Reader, capture.Record) error) (*capture.Reader, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r, err := capture.NewReader(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer r.Close()
	for {
		rec, err := r.Next()
		if err == io.EOF {
			return r, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if err := each(r, rec); err != nil {
			return nil, err
		}
	}
}

// faults says what of a file could not be read, or was never written.
func faults(path string, r *capture.Reader) string {
	var all []string
	if r.Dropped > 0 {
		all = append(all, fmt.Sprint(r.Dropped, " records were dropped when it was written"))
	}
	if r.Damaged > 0 {
		all = append(all, fmt.Sprint(r.Damaged, " damaged blocks passed by"))
	}
	if r.Truncated {
		all = append(all, "it is cut off inside a block")
	}
	if len(all) == 0 {
		return ""
	}
	return path + ": " + strings.Join(all, "; ")
}

var ends = [...]string{capture.Failed: "failed", capture.Served: "served", capture.BackOff: "back-off", capture.ClientLeft: "left"}

func endOf(e uint8) string {
	if int(e) < len(ends) {
		return ends[e]
	}
	return fmt.Sprint("end ", e)
}

func captureShow() *cobra.Command {
	most := 0
	cmd := &cobra.Command{
		Use: "show FILE", Short: "Print the records, a line of JSON each", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := bufio.NewWriter(cmd.OutOrStdout())
			defer out.Flush()
			enough, n := errors.New("enough"), 0
			r, err := readCapture(args[0], func(r *capture.Reader, rec capture.Record) error {
				class := fmt.Sprint(rec.Class)
				if rec.Class >= 0 && rec.Class < len(r.Header.Classes) {
					class = r.Header.Classes[rec.Class]
				}
				text, err := json.Marshal(map[string]any{"arrived": time.Unix(0, rec.Arrived).UTC(), "class": class, "key": fmt.Sprintf("%016x", rec.Key),
					"hint_ms": float64(rec.Hint) / 1e6, "slots": rec.Slots, "zone": rec.Zone, "tenant": rec.Tenant, "patience_ms": float64(rec.Timeout) / 1e6,
					"again": rec.Retry, "end": endOf(rec.Outcome), "took_ms": float64(rec.Duration) / 1e6, "attempts": rec.Attempts})
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s\n", text)
				if n++; most > 0 && n >= most {
					return enough
				}
				return nil
			})
			if errors.Is(err, enough) {
				return nil
			}
			if err == nil && faults(args[0], r) != "" {
				fmt.Fprintln(cmd.ErrOrStderr(), faults(args[0], r))
			}
			return err
		},
	}
	cmd.Flags().IntVar(&most, "most", 0, "records to print; 0 for all")
	return cmd
}

// classStats is a line of liftlab capture stats.
type classStats struct {
	Class    string  `json:"class"`
	Records  int64   `json:"records"`
	Served   int64   `json:"served"`
	Rate     float64 `json:"per_s"`
	P50      float64 `json:"p50_ms"` // of the answer
	P99      float64 `json:"p99_ms"`
	RunP50   float64 `json:"run_p50_ms"` // of served attempts, from start to end
	RunP99   float64 `json:"run_p99_ms"`
	Attempts float64 `json:"attempts"` // for each message
}

func captureStats() *cobra.Command {
	return &cobra.Command{
		Use: "stats FILE...", Short: "Count and time what files hold, by class; the last line is JSON", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			type sums struct {
				classStats
				took, run *hdrhistogram.Histogram
				attempts  int64
			}
			all := map[string]*sums{}
			first, last := int64(1<<62), int64(0)
			dropped, damaged, cut := int64(0), 0, 0
			for _, path := range args {
				r, err := readCapture(path, func(r *capture.Reader, rec capture.Record) error {
					class := fmt.Sprint(rec.Class)
					if rec.Class >= 0 && rec.Class < len(r.Header.Classes) {
						class = r.Header.Classes[rec.Class]
					}
					s := all[class]
					if s == nil {
						s = &sums{took: hdrhistogram.New(1, 3600_000_000, 3), run: hdrhistogram.New(1, 3600_000_000, 3)}
						s.Class, all[class] = class, s
					}
					s.Records++
					first, last = min(first, rec.Arrived), max(last, rec.Arrived)
					s.attempts += int64(len(rec.Attempts))
					if rec.Outcome == capture.Served {
						s.Served++
						s.took.RecordValue(max(1, rec.Duration/1000))
					}
					for _, a := range rec.Attempts {
						if a.Status == uint8(balance.OK) && a.Began >= 0 && a.Ended >= a.Began {
							s.run.RecordValue(max(1, (a.Ended-a.Began)/1000))
						}
					}
					return nil
				})
				if err != nil {
					return err
				}
				if text := faults(path, r); text != "" {
					fmt.Fprintln(cmd.ErrOrStderr(), text)
				}
				dropped, damaged = dropped+r.Dropped, damaged+r.Damaged
				if r.Truncated {
					cut++
				}
			}
			var lines []classStats
			for _, s := range all {
				s.Rate = float64(s.Records) / max(float64(last-first)/1e9, 1)
				s.P50, s.P99 = float64(s.took.ValueAtPercentile(50))/1000, float64(s.took.ValueAtPercentile(99))/1000
				s.RunP50, s.RunP99 = float64(s.run.ValueAtPercentile(50))/1000, float64(s.run.ValueAtPercentile(99))/1000
				s.Attempts = float64(s.attempts) / float64(max(s.Records, 1))
				lines = append(lines, s.classStats)
			}
			slices.SortFunc(lines, func(a, b classStats) int { return strings.Compare(a.Class, b.Class) })
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-28s %9s %9s %8s %9s %9s %9s %9s %8s\n", "class", "records", "served", "per s", "p50 ms", "p99 ms", "run p50", "run p99", "attempts")
			for _, l := range lines {
				fmt.Fprintf(out, "%-28s %9d %9d %8.1f %9.1f %9.1f %9.1f %9.1f %8.2f\n", l.Class, l.Records, l.Served, l.Rate, l.P50, l.P99, l.RunP50, l.RunP99, l.Attempts)
			}
			return lastLine(cmd, map[string]any{"classes": lines, "dropped": dropped, "damaged_blocks": damaged, "cut_files": cut})
		},
	}
}

func captureCut() *cobra.Command {
	var from, to time.Duration
	cmd := &cobra.Command{
		Use: "cut IN OUT", Short: "Copy the records that arrived within a time, counted from the first", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return rewrite(cmd, args[:1], args[1], nil, from, to)
		},
	}
	cmd.Flags().DurationVar(&from, "from", 0, "from here on")
	cmd.Flags().DurationVar(&to, "to", 1<<62, "up to here")
	return cmd
}

func captureMerge() *cobra.Command {
	var shifts []string
	cmd := &cobra.Command{
		Use: "merge OUT IN...", Short: "Put several dispatchers' files together, in the order of arrivals",
		Long: "The files' classes and stations must be the same. Clocks that differ are set right by --shift NAME=TIME, which is added\n" +
			"to the times of that dispatcher.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			by := map[string]time.Duration{}
			for _, s := range shifts {
				name, value, ok := strings.Cut(s, "=")
				d, err := time.ParseDuration(value)
				if !ok || err != nil {
					return fmt.Errorf("--shift %s: want NAME=TIME, such as n1=-300ms", s)
				}
				by[name] = d
			}
			return rewrite(cmd, args[1:], args[0], by, 0, 1<<62)
		},
	}
	cmd.Flags().StringArrayVar(&shifts, "shift", nil, "NAME=TIME, added to the times of a dispatcher")
	return cmd
}

// rewrite reads files and writes what arrived within a time to a new one.
func rewrite(cmd *cobra.Command, in []string, out string, shift map[string]time.Duration, from, to time.Duration) error {
	var all []capture.Record
	var head capture.Header
	for i, path := range in {
		same := true
		r, err := readCapture(path, func(r *capture.Reader, rec capture.Record) error {
			rec.Arrived += int64(shift[r.Header.Name])
			all = append(all, rec)
			return nil
		})
		if err != nil {
			return err
		}
		if text := faults(path, r); text != "" {
			fmt.Fprintln(cmd.ErrOrStderr(), text)
		}
		if i == 0 {
			head = r.Header
		} else {
			same = slices.Equal(head.Classes, r.Header.Classes) && slices.Equal(head.Zones, r.Header.Zones) && slices.Equal(head.Kinds, r.Header.Kinds)
			head.Name, head.Boot = "merged", ""
		}
		if !same {
			return fmt.Errorf("%s: its classes, stations or kinds are not those of %s", path, in[0])
		}
	}
	slices.SortStableFunc(all, func(a, b capture.Record) int { return int(min(max(a.Arrived-b.Arrived, -1), 1)) })
	if len(all) > 0 {
		first := all[0].Arrived
		all = slices.DeleteFunc(all, func(r capture.Record) bool {
			at := time.Duration(r.Arrived - first)
			return at < from || at >= to
		})
	}
	f, err := os.OpenFile(out, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640) // never over a file that is there
	if err != nil {
		return err
	}
	if err := errors.Join(capture.Create(f, head, all), f.Close()); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: %d records\n", out, len(all))
	return nil
}
