// Command liftlab is the workbench beside the dispatcher: it starts daemons among stand-ins on loopback, loads them and
// measures. It needs nothing but the two binaries.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/lab"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "liftlab:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:               "liftlab",
		Short:             "The workbench of liftgauge: demonstrations and measurements on loopback",
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	cmd.AddCommand(overheadCommand(), proxyCommand())
	return cmd
}

// beside is the daemon's binary where it is built together with this one.
func beside() string {
	self, err := os.Executable()
	if err != nil {
		return "liftgauge"
	}
	return filepath.Join(filepath.Dir(self), "liftgauge")
}

// last prints a report as the last line.
func last(cmd *cobra.Command, report any) error {
	text, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s\n", text)
	return nil
}

func overheadCommand() *cobra.Command {
	c := lab.OverheadConfig{}
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Measure CPU, latency and memory of the daemon under full load, beside a plain reverse proxy",
		Long: "Stand-in hosts run short jobs, and clients always have the next one ready. Each body size is measured with\n" +
			"net/http/httputil.ReverseProxy and with the daemon at each limit of memory, one after another before the same\n" +
			"hosts. The last line is JSON.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Stderr = cmd.ErrOrStderr()
			if len(c.Memory) == 0 || len(c.Bodies) == 0 || c.Hosts < 1 || c.Clients < 1 || c.Rounds < 1 {
				return fmt.Errorf("want at least one of each of limits, body sizes, hosts, clients and rounds")
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-14s %6s %7s %8s %8s %7s %8s %8s %8s %8s %8s\n", "program", "MB", "body", "jobs/s", "us/job", "p50 ms", "p99 ms",
				"peak MB", "served", "refused", "failed")
			report, err := lab.Overhead(cmd.Context(), c, func(m lab.Measured) {
				fmt.Fprintf(out, "%-14s %6d %7d %8.0f %8.1f %7.2f %8.2f %8.1f %8d %8d %8d\n", m.Program, m.MemoryMB, m.Body, m.Rate, m.CPUMicros,
					m.P50, m.P99, m.PeakMB, m.Served, m.Refused, m.Failed+m.Broken)
			})
			if err != nil {
				return err
			}
			return last(cmd, report)
		},
	}
	f := cmd.Flags()
	f.StringVar(&c.Daemon, "daemon", beside(), "the daemon's binary")
	f.IntSliceVar(&c.Memory, "memory", []int{24, 64, 192}, "limits of the daemon's memory, in MB")
	f.IntSliceVar(&c.Bodies, "bodies", []int{200, 60000}, "sizes of the jobs' bodies, in bytes")
	f.IntVar(&c.Result, "result", 200, "size of the results, in bytes; -1 sends the body back")
	f.IntVar(&c.Hosts, "hosts", 64, "stand-in hosts")
	f.DurationVar(&c.Job, "job", 2*time.Millisecond, "how long a job runs")
	f.IntVar(&c.Clients, "clients", 64, "clients that always have the next job ready")
	f.IntVar(&c.Sockets, "sockets", 1024, "the daemon's limit of descriptors")
	f.DurationVar(&c.Patience, "patience", 5*time.Second, "how long a client waits")
	f.DurationVar(&c.Warm, "warm", time.Second, "load before each measurement")
	f.DurationVar(&c.Length, "length", 5*time.Second, "length of each measurement")
	f.IntVar(&c.Rounds, "rounds", 1, "how often all is measured")
	return cmd
}

func proxyCommand() *cobra.Command {
	var listen string
	var hosts []string
	cmd := &cobra.Command{
		Use:    "proxy",
		Short:  "Serve as a plain reverse proxy, to measure against",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(cmd *cobra.Command, _ []string) error { return lab.Proxy(cmd.Context(), listen, hosts) },
	}
	cmd.Flags().StringVar(&listen, "listen", "", "address")
	cmd.Flags().StringSliceVar(&hosts, "hosts", nil, "addresses")
	return cmd
}
