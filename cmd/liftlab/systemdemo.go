package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"liftgauge/lab"
	"liftgauge/lab/systemdemo"
)

func systemDemoCommand() *cobra.Command {
	options := systemdemo.Options{}
	cmd := &cobra.Command{
		Use:   "system-demo",
		Short: "Start the whole system on loopback with stand-ins and traffic, kill processes, and watch; a line of JSON last",
		Long: "Nine real processes (a dispatcher, a control process and a store in each of three zones) on addresses 127.18.*.*, workers, the platform's list of\n" +
			"them (two on a page) and clients in this process. Workers drain, crash and come back. A store, a control process and a dispatcher are killed in turn and come back after two seconds.\n" +
			"It fails if a message that was accepted has not run in the end.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.PerSecond < 1 {
				return fmt.Errorf("--rate is %d: want 1 or more messages a second", options.PerSecond)
			}
			if options.Pages < 1 {
				return fmt.Errorf("--pages is %d: want 1 or more pages of the worker list", options.Pages)
			}
			options.Out, options.Live = cmd.OutOrStdout(), lab.Terminal(os.Stdout)
			summary, err := systemdemo.Run(cmd.Context(), options)
			if summary == nil {
				return err
			}
			if printErr := printReport(cmd, summary); printErr != nil {
				return printErr
			}
			return err
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Binary, "binary", defaultDaemonPath(), "the liftgauge program")
	flags.IntVar(&options.PerSecond, "rate", 100, "messages a second")
	flags.DurationVar(&options.For, "for", 0, "how long; 0 until Ctrl-C")
	flags.BoolVar(&options.Faults, "faults", true, "kill processes")
	flags.IntVar(&options.Pages, "pages", 3, "pages of the worker list, two workers on each")
	flags.BoolVar(&options.WorkerChanges, "worker-changes", true, "workers drain, crash, restart with new IDs and move in the list")
	flags.StringVar(&options.Folder, "folder", "", "keep settings, data and logs in this folder")
	return cmd
}
