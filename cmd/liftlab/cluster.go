package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/lab"
)

func clusterCommand() *cobra.Command {
	var config lab.ClusterConfig
	var list bool
	cmd := &cobra.Command{
		Use:   "cluster SCENARIO|FILE.cue",
		Short: "Start many real dispatchers on loopback, break their links and processes, and judge what they agree on",
		Long: "Starts dispatchers with membership on, each with hosts, discovery and clients of its own, leads their datagrams over links that the scenario breaks, and pauses,\n" +
			"kills and starts their processes. It asks each of them five times a second what it believes and names the first breach of a promise. Exit code 1 where one\n" +
			"was broken. The last line is JSON; Ctrl-C leaves no process.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if list || len(args) == 0 {
				for _, name := range lab.Scenarios() {
					scenario, err := lab.LoadScenario(name)
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%-16s %s\n", name, scenario.Means)
				}
				return nil
			}
			scenario, err := lab.LoadScenario(args[0])
			if err != nil {
				return err
			}
			config.Scenario, config.Output = scenario, cmd.OutOrStdout()
			report, err := lab.RunCluster(cmd.Context(), config)
			if err != nil {
				return err
			}
			if err := printReport(cmd, report); err != nil {
				return err
			}
			if !report.Held {
				return fmt.Errorf("%d breaches, the first at %s", len(report.Breaches), report.Breaches[0])
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.BoolVar(&list, "list", false, "list the scenarios that come with the program")
	flags.IntVar(&config.Processes, "processes", 0, "how many dispatchers, 2 to 60; 0: as the scenario says")
	flags.Uint64Var(&config.Seed, "seed", 1, "of who is meant, and of what gets lost")
	flags.StringVar(&config.Logs, "logs", "", "a folder for the dispatchers' logs")
	flags.StringVar(&config.Daemon, "daemon", defaultDaemonPath(), "the daemon's binary")
	return cmd
}

func memberCostCommand() *cobra.Command {
	config := lab.MemberCostConfig{}
	cmd := &cobra.Command{
		Use:   "member-cost",
		Short: "Measure what membership costs one daemon in a fleet: memory, CPU, latency, also while spoilt datagrams come",
		Long: "Measures a real daemon without membership, then one in a fleet whose other members run in this process, idle and under load, and at last while\n" +
			"datagrams come that are none of the protocol's. The last line is JSON. Compare within one run.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config.Output = cmd.OutOrStdout()
			report, err := lab.RunMemberCost(cmd.Context(), config)
			if err != nil {
				return err
			}
			return printReport(cmd, report)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&config.Members, "members", 300, "of the fleet, 2 to 1000")
	flags.DurationVar(&config.Length, "length", 15*time.Second, "of each part")
	flags.IntVar(&config.Flood, "flood", 10000, "spoilt datagrams a second; 0: none")
	flags.Uint64Var(&config.Seed, "seed", 1, "of what is sent")
	flags.StringVar(&config.Daemon, "daemon", defaultDaemonPath(), "the daemon's binary")
	return cmd
}
