// Command liftlab is the test and measurement tool for liftgauge: it starts daemons on loopback with simulated hosts and clients,
// generates load and measures. Most commands need only the two binaries.
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
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "liftlab:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:               "liftlab",
		Short:             "The workbench of liftgauge: demonstrations and measurements on loopback",
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	cmd.AddCommand(demoCommand(), overheadCommand(), gearmanCommand(), captureCommand(), checkCommand(), planCommand(), fleetCommand(), fleetLogCommand(),
		membersCommand(), clusterCommand(), memberCostCommand(), proxyCommand(),
		siteVariantCommand(), trialDayCommand(), systemCommand(), systemDemoCommand(), upgradeTrialCommand(), mutantsCommand(), ablateCommand())
	return cmd
}

// defaultDaemonPath returns the path of the liftgauge binary in the folder of this binary.
func defaultDaemonPath() string {
	executable, err := os.Executable()
	if err != nil {
		return "liftgauge"
	}
	return filepath.Join(filepath.Dir(executable), "liftgauge")
}

// printReport prints a report as a line of JSON; commands print it as their last line.
func printReport(cmd *cobra.Command, report any) error {
	text, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s\n", text)
	return nil
}

func demoCommand() *cobra.Command {
	config := lab.DemoConfig{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Start hosts, workers, discovery, load and the daemon on loopback, and watch",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config.Hosts < 1 || config.Workers < 0 || config.Clients < 1 {
				return fmt.Errorf("want at least one host and one client")
			}
			config.Out, config.Stderr, config.Live = cmd.OutOrStdout(), cmd.ErrOrStderr(), lab.Terminal(os.Stdout)
			return lab.Demo(cmd.Context(), config)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&config.Daemon, "daemon", defaultDaemonPath(), "the daemon's binary")
	flags.IntVar(&config.Hosts, "hosts", 8, "HTTP hosts")
	flags.IntVar(&config.Workers, "workers", 8, "Gearman workers")
	flags.IntVar(&config.Clients, "clients", 8, "clients of each kind")
	flags.StringVar(&config.Capture, "capture", "", "a folder into which the daemon captures the load")
	flags.DurationVar(&config.Duration, "for", 0, "how long; 0 until Ctrl-C")
	return cmd
}

func overheadCommand() *cobra.Command {
	config := lab.OverheadConfig{}
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Measure CPU, latency and memory of the daemon under full load, beside a plain reverse proxy",
		Long: "Stand-in hosts run short jobs, and clients always have the next one ready. Each body size is measured with\n" +
			"net/http/httputil.ReverseProxy and with the daemon at each limit of memory, one after another before the same\n" +
			"hosts. The last line is JSON.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config.Stderr = cmd.ErrOrStderr()
			if len(config.Memory) == 0 || len(config.Bodies) == 0 || config.Hosts < 1 || config.Clients < 1 || config.Rounds < 1 {
				return fmt.Errorf("want at least one memory limit, body size, host, client and round")
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-14s %6s %7s %8s %8s %7s %8s %8s %8s %8s %8s\n", "program", "MB", "body", "jobs/s", "us/job", "p50 ms", "p99 ms",
				"peak MB", "served", "refused", "failed")
			report, err := lab.Overhead(cmd.Context(), config, func(m lab.Measured) {
				fmt.Fprintf(out, "%-14s %6d %7d %8.0f %8.1f %7.2f %8.2f %8.1f %8d %8d %8d\n", m.Program, m.MemoryMB, m.Body, m.Rate, m.CPUMicros,
					m.P50, m.P99, m.PeakMB, m.Served, m.Refused, m.Failed+m.Broken)
			})
			if err != nil {
				return err
			}
			return printReport(cmd, report)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&config.Daemon, "daemon", defaultDaemonPath(), "the daemon's binary")
	flags.IntSliceVar(&config.Memory, "memory", []int{24, 64, 192}, "limits of the daemon's memory, in MB")
	flags.IntSliceVar(&config.Bodies, "bodies", []int{200, 60000}, "sizes of the jobs' bodies, in bytes")
	flags.IntVar(&config.Result, "result", 200, "size of the results, in bytes; -1 sends the body back")
	flags.IntVar(&config.Hosts, "hosts", 64, "stand-in hosts")
	flags.DurationVar(&config.Job, "job", 2*time.Millisecond, "how long a job runs")
	flags.IntVar(&config.Clients, "clients", 64, "clients that always have the next job ready")
	flags.IntVar(&config.Sockets, "sockets", 1024, "the daemon's limit of descriptors")
	flags.DurationVar(&config.Timeout, "patience", 5*time.Second, "how long a client waits")
	flags.DurationVar(&config.Warm, "warm", time.Second, "load before each measurement")
	flags.DurationVar(&config.Length, "length", 5*time.Second, "length of each measurement")
	flags.BoolVar(&config.Capture, "capture", false, "measure the daemon with capture on as well")
	flags.IntVar(&config.Rounds, "rounds", 1, "how often all is measured")
	return cmd
}

func gearmanCommand() *cobra.Command {
	config := lab.GearmanConfig{}
	cmd := &cobra.Command{
		Use:   "gearman",
		Short: "Mix Gearman and HTTP clients, workers and hosts that fail, count runs and answers, and measure",
		Long: "First clients of both kinds hand in jobs to hosts and workers, while workers drop their connections and clients\n" +
			"leave; every run and every answer is counted. Then each of the four ways from client to host is measured by\n" +
			"itself, and at last many idle workers with many queued jobs. The last line is JSON.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config.Stderr = cmd.ErrOrStderr()
			if config.Jobs < 0 || config.JobsPerPair < 1 || config.Clients < 2 || config.Workers < 1 || config.Hosts < 1 {
				return fmt.Errorf("want at least two clients, one worker, one host and one job")
			}
			report, err := lab.Gearman(cmd.Context(), config)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%d jobs, %d served, %d failed, %d left by their clients; %d drops; %d duplicates, %d lost, %d answered twice\n", report.Jobs,
				report.Served, report.Failed, report.Left, report.Drops, report.Duplicates, report.Lost, report.Twice)
			for _, pair := range report.Pairs {
				fmt.Fprintf(out, "%-18s %7.0f jobs/s %8.1f us/job  p50 %6.2f ms  p99 %6.2f ms  %d of %d served\n", pair.Name, pair.Rate, pair.CPUMicros, pair.P50, pair.P99,
					pair.Served, pair.Jobs)
			}
			if large := report.Large; large != nil {
				fmt.Fprintf(out, "%d workers and %d queued jobs (%d taken): peak %.1f MB of %d, %.1f MB with the workers alone\n", large.Workers, large.Queued,
					large.Accepted, large.PeakMB, config.Memory, large.IdleMB)
			}
			return printReport(cmd, report)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&config.Daemon, "daemon", defaultDaemonPath(), "the daemon's binary")
	flags.Uint64Var(&config.Seed, "seed", 1, "of clients, drops and leaves")
	flags.IntVar(&config.Jobs, "jobs", 20000, "jobs of the mixed part")
	flags.IntVar(&config.JobsPerPair, "each", 20000, "jobs of each way in the measured part")
	flags.IntVar(&config.Clients, "clients", 32, "clients; in the mixed part half of them speak Gearman")
	flags.IntVar(&config.Workers, "workers", 32, "Gearman workers")
	flags.IntVar(&config.Hosts, "hosts", 16, "HTTP hosts")
	flags.Float64Var(&config.Drops, "drops", 0.01, "share of runs at which a worker drops its connection")
	flags.Float64Var(&config.DisconnectShare, "leaves", 0.02, "share of Gearman clients' jobs whose client leaves early")
	flags.IntVar(&config.Memory, "memory", 64, "the daemon's limit of memory, in MB")
	flags.IntVar(&config.Idle, "idle", 1000, "workers of the large part; 0 leaves it out")
	flags.IntVar(&config.Queued, "queued", 10000, "queued jobs of 1 KiB of the large part")
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
