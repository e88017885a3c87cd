package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/lab"
)

func clusterCommand() *cobra.Command {
	var c lab.ClusterConfig
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
					s, err := lab.LoadScenario(name)
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%-16s %s\n", name, s.Means)
				}
				return nil
			}
			s, err := lab.LoadScenario(args[0])
			if err != nil {
				return err
			}
			c.Scenario, c.Output = s, cmd.OutOrStdout()
			r, err := lab.RunCluster(cmd.Context(), c)
			if err != nil {
				return err
			}
			if err := lastLine(cmd, r); err != nil {
				return err
			}
			if !r.Held {
				return fmt.Errorf("%d breaches, the first at %s", len(r.Breaches), r.Breaches[0])
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.BoolVar(&list, "list", false, "list the scenarios that come with the program")
	f.IntVar(&c.Processes, "processes", 0, "how many dispatchers, 2 to 60; 0: as the scenario says")
	f.Uint64Var(&c.Seed, "seed", 1, "of who is meant, and of what gets lost")
	f.StringVar(&c.Logs, "logs", "", "a folder for the dispatchers' logs")
	f.StringVar(&c.Daemon, "daemon", beside(), "the daemon's binary")
	return cmd
}

func memberCostCommand() *cobra.Command {
	c := lab.MemberCostConfig{}
	cmd := &cobra.Command{
		Use:   "member-cost",
		Short: "Measure what membership costs one daemon in a fleet: memory, CPU, latency, also while spoilt datagrams come",
		Long: "Measures a real daemon without membership, then one in a fleet whose other members run in this process, idle and under load, and at last while\n" +
			"datagrams come that are none of the protocol's. The last line is JSON. Compare within one run.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Output = cmd.OutOrStdout()
			r, err := lab.RunMemberCost(cmd.Context(), c)
			if err != nil {
				return err
			}
			return lastLine(cmd, r)
		},
	}
	f := cmd.Flags()
	f.IntVar(&c.Members, "members", 300, "of the fleet, 2 to 1000")
	f.DurationVar(&c.Length, "length", 15*time.Second, "of each part")
	f.IntVar(&c.Flood, "flood", 10000, "spoilt datagrams a second; 0: none")
	f.Uint64Var(&c.Seed, "seed", 1, "of what is sent")
	f.StringVar(&c.Daemon, "daemon", beside(), "the daemon's binary")
	return cmd
}
