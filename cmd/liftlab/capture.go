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
	cmd.AddCommand(captureShowCommand(), captureStatsCommand(), captureCutCommand(), captureMergeCommand())
	return cmd
}

// readCapture calls handle for each readable record of a capture file. The returned reader holds the file's header and its counts of dropped and
// damaged data.
func readCapture(path string, handle func(*capture.Reader, capture.Record) error) (*capture.Reader, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	reader, err := capture.NewReader(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer reader.Close()
	for {
		record, err := reader.Next()
		if err == io.EOF {
			return reader, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if err := handle(reader, record); err != nil {
			return nil, err
		}
	}
}

// readProblems describes the records of a file that could not be read or were never written; it is empty if there are none.
func readProblems(path string, reader *capture.Reader) string {
	var problems []string
	if reader.Dropped > 0 {
		problems = append(problems, fmt.Sprint(reader.Dropped, " records were dropped when it was written"))
	}
	if reader.Damaged > 0 {
		problems = append(problems, fmt.Sprint(reader.Damaged, " damaged blocks passed by"))
	}
	if reader.Truncated {
		problems = append(problems, "it is cut off inside a block")
	}
	if len(problems) == 0 {
		return ""
	}
	return path + ": " + strings.Join(problems, "; ")
}

// outcomeNames are the values of "end" in the output of "liftlab capture show".
var outcomeNames = [...]string{capture.Failed: "failed", capture.Served: "served", capture.BackOff: "back-off", capture.ClientLeft: "left"}

func outcomeName(outcome uint8) string {
	if int(outcome) < len(outcomeNames) {
		return outcomeNames[outcome]
	}
	return fmt.Sprint("end ", outcome)
}

func captureShowCommand() *cobra.Command {
	limit := 0
	cmd := &cobra.Command{
		Use: "show FILE", Short: "Print the records, a line of JSON each", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := bufio.NewWriter(cmd.OutOrStdout())
			defer out.Flush()
			errLimitReached, printed := errors.New("record limit reached"), 0
			reader, err := readCapture(args[0], func(reader *capture.Reader, record capture.Record) error {
				class := fmt.Sprint(record.Class)
				if record.Class >= 0 && record.Class < len(reader.Header.Classes) {
					class = reader.Header.Classes[record.Class]
				}
				line, err := json.Marshal(map[string]any{"arrived": time.Unix(0, record.Arrived).UTC(), "class": class, "key": fmt.Sprintf("%016x", record.Key),
					"hint_ms": float64(record.Hint) / 1e6, "slots": record.Slots, "zone": record.Zone, "tenant": record.Tenant, "patience_ms": float64(record.Timeout) / 1e6,
					"again": record.Retry, "end": outcomeName(record.Outcome), "took_ms": float64(record.Duration) / 1e6, "attempts": record.Attempts})
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s\n", line)
				if printed++; limit > 0 && printed >= limit {
					return errLimitReached
				}
				return nil
			})
			if errors.Is(err, errLimitReached) {
				return nil
			}
			if err == nil && readProblems(args[0], reader) != "" {
				fmt.Fprintln(cmd.ErrOrStderr(), readProblems(args[0], reader))
			}
			return err
		},
	}
	cmd.Flags().IntVar(&limit, "most", 0, "records to print; 0 for all")
	return cmd
}

// classStats is a line of the output of "liftlab capture stats".
type classStats struct {
	Class    string  `json:"class"`
	Records  int64   `json:"records"`
	Served   int64   `json:"served"`
	Rate     float64 `json:"per_s"`
	P50      float64 `json:"p50_ms"` // time to answer, of served messages
	P99      float64 `json:"p99_ms"`
	RunP50   float64 `json:"run_p50_ms"` // run time of successful attempts, from start to end
	RunP99   float64 `json:"run_p99_ms"`
	Attempts float64 `json:"attempts"` // mean number per message
}

func captureStatsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "stats FILE...", Short: "Count and time what files hold, by class; the last line is JSON", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			type classTotals struct {
				classStats
				latency, runTime *hdrhistogram.Histogram
				attempts         int64
			}
			byClass := map[string]*classTotals{}
			first, last := int64(1<<62), int64(0)
			dropped, damaged, truncated := int64(0), 0, 0
			for _, path := range args {
				reader, err := readCapture(path, func(reader *capture.Reader, record capture.Record) error {
					class := fmt.Sprint(record.Class)
					if record.Class >= 0 && record.Class < len(reader.Header.Classes) {
						class = reader.Header.Classes[record.Class]
					}
					totals := byClass[class]
					if totals == nil {
						totals = &classTotals{latency: hdrhistogram.New(1, 3600_000_000, 3), runTime: hdrhistogram.New(1, 3600_000_000, 3)}
						totals.Class, byClass[class] = class, totals
					}
					totals.Records++
					first, last = min(first, record.Arrived), max(last, record.Arrived)
					totals.attempts += int64(len(record.Attempts))
					if record.Outcome == capture.Served {
						totals.Served++
						totals.latency.RecordValue(max(1, record.Duration/1000))
					}
					for _, attempt := range record.Attempts {
						if attempt.Status == uint8(balance.OK) && attempt.Began >= 0 && attempt.Ended >= attempt.Began {
							totals.runTime.RecordValue(max(1, (attempt.Ended-attempt.Began)/1000))
						}
					}
					return nil
				})
				if err != nil {
					return err
				}
				if text := readProblems(path, reader); text != "" {
					fmt.Fprintln(cmd.ErrOrStderr(), text)
				}
				dropped, damaged = dropped+reader.Dropped, damaged+reader.Damaged
				if reader.Truncated {
					truncated++
				}
			}
			var lines []classStats
			for _, totals := range byClass {
				totals.Rate = float64(totals.Records) / max(float64(last-first)/1e9, 1)
				totals.P50, totals.P99 = float64(totals.latency.ValueAtPercentile(50))/1000, float64(totals.latency.ValueAtPercentile(99))/1000
				totals.RunP50, totals.RunP99 = float64(totals.runTime.ValueAtPercentile(50))/1000, float64(totals.runTime.ValueAtPercentile(99))/1000
				totals.Attempts = float64(totals.attempts) / float64(max(totals.Records, 1))
				lines = append(lines, totals.classStats)
			}
			slices.SortFunc(lines, func(a, b classStats) int { return strings.Compare(a.Class, b.Class) })
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-28s %9s %9s %8s %9s %9s %9s %9s %8s\n", "class", "records", "served", "per s", "p50 ms", "p99 ms", "run p50", "run p99", "attempts")
			for _, line := range lines {
				fmt.Fprintf(out, "%-28s %9d %9d %8.1f %9.1f %9.1f %9.1f %9.1f %8.2f\n", line.Class, line.Records, line.Served, line.Rate, line.P50, line.P99, line.RunP50, line.RunP99, line.Attempts)
			}
			return printReport(cmd, map[string]any{"classes": lines, "dropped": dropped, "damaged_blocks": damaged, "cut_files": truncated})
		},
	}
}

func captureCutCommand() *cobra.Command {
	var from, to time.Duration
	cmd := &cobra.Command{
		Use: "cut IN OUT", Short: "Copy the records that arrived within a time, counted from the first", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return copyRecords(cmd, args[:1], args[1], nil, from, to)
		},
	}
	cmd.Flags().DurationVar(&from, "from", 0, "from here on")
	cmd.Flags().DurationVar(&to, "to", 1<<62, "up to here")
	return cmd
}

func captureMergeCommand() *cobra.Command {
	var shifts []string
	cmd := &cobra.Command{
		Use: "merge OUT IN...", Short: "Put several dispatchers' files together, in the order of arrivals",
		Long: "The files' classes and stations must be the same. Clocks that differ are set right by --shift NAME=TIME, which is added\n" +
			"to the times of that dispatcher.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			shiftByDispatcher := map[string]time.Duration{}
			for _, argument := range shifts {
				name, value, ok := strings.Cut(argument, "=")
				shift, err := time.ParseDuration(value)
				if !ok || err != nil {
					return fmt.Errorf("--shift %s: want NAME=TIME, such as n1=-300ms", argument)
				}
				shiftByDispatcher[name] = shift
			}
			return copyRecords(cmd, args[1:], args[0], shiftByDispatcher, 0, 1<<62)
		},
	}
	cmd.Flags().StringArrayVar(&shifts, "shift", nil, "NAME=TIME, added to the times of a dispatcher")
	return cmd
}

// copyRecords writes the records of all inputs that arrived within [from, to) after the first one to a new file, in order of arrival.
// shiftByDispatcher is added to the arrival times of each dispatcher, to correct for differing clocks.
func copyRecords(cmd *cobra.Command, inputs []string, output string, shiftByDispatcher map[string]time.Duration, from, to time.Duration) error {
	var records []capture.Record
	var header capture.Header
	for i, path := range inputs {
		compatible := true
		reader, err := readCapture(path, func(reader *capture.Reader, record capture.Record) error {
			record.Arrived += int64(shiftByDispatcher[reader.Header.Name])
			records = append(records, record)
			return nil
		})
		if err != nil {
			return err
		}
		if text := readProblems(path, reader); text != "" {
			fmt.Fprintln(cmd.ErrOrStderr(), text)
		}
		if i == 0 {
			header = reader.Header
		} else {
			compatible = slices.Equal(header.Classes, reader.Header.Classes) && slices.Equal(header.Zones, reader.Header.Zones) && slices.Equal(header.Kinds, reader.Header.Kinds)
			header.Name, header.Boot = "merged", ""
		}
		if !compatible {
			return fmt.Errorf("%s: its classes, stations or kinds are not those of %s", path, inputs[0])
		}
	}
	slices.SortStableFunc(records, func(a, b capture.Record) int { return int(min(max(a.Arrived-b.Arrived, -1), 1)) })
	if len(records) > 0 {
		first := records[0].Arrived
		records = slices.DeleteFunc(records, func(r capture.Record) bool {
			offset := time.Duration(r.Arrived - first)
			return offset < from || offset >= to
		})
	}
	file, err := os.OpenFile(output, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640) // O_EXCL: never overwrites an existing file
	if err != nil {
		return err
	}
	if err := errors.Join(capture.Create(file, header, records), file.Close()); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: %d records\n", output, len(records))
	return nil
}
