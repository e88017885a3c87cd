package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// systemFigures summarize the simulated days.
type systemFigures struct {
	Seed                                                     uint64
	Days, Sent, Accepted, Refused, Unanswered, Open, Repeats int
	Broken                                                   map[string]int // by rule
	BrokenSeeds                                              []uint64
	Passed                                                   bool
	Seconds                                                  float64
}

func systemCommand() *cobra.Command {
	var seed uint64
	var days int
	cmd := &cobra.Command{
		Use:   "system",
		Short: "Play days drawn by seeds on the project's own model of the system, and print a line of JSON last",
		Long: "Plays the real code of the roles on virtual network, disks and clock (package sim/system), one day for each seed from --seed on.\n" +
			"It runs the package's test in the checkout that it is called in, as the virtual clock belongs to Go's testing. A day takes about\n" +
			"two seconds of a core.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return playSystem(cmd, seed, days) },
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the first day")
	cmd.Flags().IntVar(&days, "days", 30, "number of days")
	return cmd
}

func playSystem(cmd *cobra.Command, seed uint64, days int) error {
	const timeoutPerDay = time.Minute
	started := time.Now()
	test := exec.CommandContext(cmd.Context(), "go", "test", "./sim/system", "-run", "^TestDays$", "-count", "1", "-v",
		"-timeout", (time.Duration(days) * timeoutPerDay).String(), "-args", fmt.Sprintf("-system.seed=%d", seed), fmt.Sprintf("-system.days=%d", days))
	output, err := test.StdoutPipe()
	if err != nil {
		return err
	}
	test.Stderr = cmd.ErrOrStderr()
	if err := test.Start(); err != nil {
		return errors.Wrap(err, "run go test: call this in a checkout, with go in PATH")
	}
	figures := systemFigures{Seed: seed, Broken: map[string]int{}}
	readErr := figures.read(output, cmd.ErrOrStderr())
	testErr := test.Wait()
	figures.Passed = testErr == nil && readErr == nil && figures.Days == days
	figures.Seconds = time.Since(started).Seconds()
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(figures); err != nil {
		return err
	}
	if !figures.Passed {
		return errors.Newf("not passed: %d of %d days were completed; failures and broken rules are listed above", figures.Days, days)
	}
	return readErr
}

// read sums up the days in a test's output, and copies the test's other log lines and panics to log.
func (f *systemFigures) read(output io.Reader, log io.Writer) error {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, day, found := strings.Cut(lines.Text(), " DAY ")
		if !found {
			if strings.Contains(lines.Text(), "_test.go:") || strings.HasPrefix(lines.Text(), "panic") {
				fmt.Fprintln(log, lines.Text())
			}
			continue
		}
		var entry struct {
			Seed                                               uint64
			Sent, Accepted, Refused, Unanswered, Open, Repeats int
			Breaches                                           []struct{ Rule string }
		}
		if err := json.Unmarshal([]byte(day), &entry); err != nil {
			return errors.Wrap(err, "decode the result of a day")
		}
		f.Days++
		f.Sent, f.Accepted, f.Refused = f.Sent+entry.Sent, f.Accepted+entry.Accepted, f.Refused+entry.Refused
		f.Unanswered, f.Open, f.Repeats = f.Unanswered+entry.Unanswered, f.Open+entry.Open, f.Repeats+entry.Repeats
		for _, b := range entry.Breaches {
			f.Broken[b.Rule]++
		}
		if len(entry.Breaches) > 0 {
			f.BrokenSeeds = append(f.BrokenSeeds, entry.Seed)
		}
	}
	return lines.Err()
}
