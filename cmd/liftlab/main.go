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
	cmd.AddCommand(demoCommand(), overheadCommand(), gearmanCommand(), captureCommand(), checkCommand(), planCommand(), fleetCommand(), fleetLogCommand(), membersCommand(), clusterCommand(), memberCostCommand(), proxyCommand(), siteVariantCommand(), trialDayCommand(), systemCommand(), systemDemoCommand(), upgradeTrialCommand(), mutantsCommand(), ablateCommand())
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

// lastLine prints a report as the last line.
func lastLine(cmd *cobra.Command, report any) error {
	text, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s\n", text)
	return nil
}

func demoCommand() *cobra.Command {
	c := lab.DemoConfig{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Start hosts, workers, discovery, load and the daemon on loopback, and watch",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if c.Hosts < 1 || c.Workers < 0 || c.Clients < 1 {
				return fmt.Errorf("want a host and a client at least")
			}
			c.Out, c.Stderr, c.Live = cmd.OutOrStdout(), cmd.ErrOrStderr(), lab.Terminal(os.Stdout)
			return lab.Demo(cmd.Context(), c)
		},
	}
	f := cmd.Flags()
	f.StringVar(&c.Daemon, "daemon", beside(), "the daemon's binary")
	f.IntVar(&c.Hosts, "hosts", 8, "HTTP hosts")
	f.IntVar(&c.Workers, "workers", 8, "Gearman workers")
	f.IntVar(&c.Clients, "clients", 8, "clients of each kind")
	f.StringVar(&c.Capture, "capture", "", "a folder into which the daemon captures the load")
	f.DurationVar(&c.Duration, "for", 0, "how long; 0 until Ctrl-C")
	return cmd
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
			return lastLine(cmd, report)
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
	f.DurationVar(&c.Timeout, "patience", 5*time.Second, "how long a client waits")
	f.DurationVar(&c.Warm, "warm", time.Second, "load before each measurement")
	f.DurationVar(&c.Length, "length", 5*time.Second, "length of each measurement")
	f.BoolVar(&c.Capture, "capture", false, "measure the daemon with capture on as well")
	f.IntVar(&c.Rounds, "rounds", 1, "how often all is measured")
	return cmd
}

func gearmanCommand() *cobra.Command {
	c := lab.GearmanConfig{}
	cmd := &cobra.Command{
		Use:   "gearman",
		Short: "Mix Gearman and HTTP clients, workers and hosts that fail, count runs and answers, and measure",
		Long: "First clients of both kinds hand in jobs to hosts and workers, while workers drop their connections and clients\n" +
			"leave; every run and every answer is counted. Then each of the four ways from client to host is measured by\n" +
			"itself, and at last many idle workers with many queued jobs. The last line is JSON.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Stderr = cmd.ErrOrStderr()
			if c.Jobs < 0 || c.JobsPerPair < 1 || c.Clients < 2 || c.Workers < 1 || c.Hosts < 1 {
				return fmt.Errorf("want two clients, a worker, a host and a job at least")
			}
			report, err := lab.Gearman(cmd.Context(), c)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%d jobs, %d served, %d failed, %d left by their clients; %d drops; %d duplicates, %d lost, %d answered twice\n", report.Jobs,
				report.Served, report.Failed, report.Left, report.Drops, report.Duplicates, report.Lost, report.Twice)
			for _, p := range report.Pairs {
				fmt.Fprintf(out, "%-18s %7.0f jobs/s %8.1f us/job  p50 %6.2f ms  p99 %6.2f ms  %d of %d served\n", p.Name, p.Rate, p.CPUMicros, p.P50, p.P99,
					p.Served, p.Jobs)
			}
			if l := report.Large; l != nil {
				fmt.Fprintf(out, "%d workers and %d queued jobs (%d taken): peak %.1f MB of %d, %.1f MB with the workers alone\n", l.Workers, l.Queued,
					l.Accepted, l.PeakMB, c.Memory, l.IdleMB)
			}
			return lastLine(cmd, report)
		},
	}
	f := cmd.Flags()
	f.StringVar(&c.Daemon, "daemon", beside(), "the daemon's binary")
	f.Uint64Var(&c.Seed, "seed", 1, "of clients, drops and leaves")
	f.IntVar(&c.Jobs, "jobs", 20000, "jobs of the mixed part")
	f.IntVar(&c.JobsPerPair, "each", 20000, "jobs of each way in the measured part")
	f.IntVar(&c.Clients, "clients", 32, "clients; in the mixed part half of them speak Gearman")
	f.IntVar(&c.Workers, "workers", 32, "Gearman workers")
	f.IntVar(&c.Hosts, "hosts", 16, "HTTP hosts")
	f.Float64Var(&c.Drops, "drops", 0.01, "share of runs at which a worker drops its connection")
	f.Float64Var(&c.DisconnectShare, "leaves", 0.02, "share of Gearman clients' jobs whose client leaves early")
	f.IntVar(&c.Memory, "memory", 64, "the daemon's limit of memory, in MB")
	f.IntVar(&c.Idle, "idle", 1000, "workers of the large part; 0 leaves it out")
	f.IntVar(&c.Queued, "queued", 10000, "queued jobs of 1 KiB of the large part")
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
