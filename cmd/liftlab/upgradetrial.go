package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/lab"
	"liftgauge/lab/systemdemo"
)

// upgradeTrafficDuration is the default duration of the traffic. It is long enough to upgrade nine processes and to replace a disk.
const upgradeTrafficDuration = 45 * time.Second

func upgradeTrialCommand() *cobra.Command {
	options, upgrade := systemdemo.Options{}, systemdemo.Upgrade{}
	var order string
	cmd := &cobra.Command{
		Use:   "upgrade-trial --from OLD [options]",
		Short: "Roll the whole system on loopback from one version to another under traffic; a line of JSON last",
		Long: "Starts the nine processes of system-demo with the program OLD and ends each as planned, one after the other, to start it with --to: all of a zone and\n" +
			"then the next, or by role in the order that is given. It fails if a message that was accepted has not run in the end, or a process does not end as planned.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Binary == "" {
				return fmt.Errorf("--from is missing: name the liftgauge program of the version to upgrade from")
			}
			upgrade.Order = strings.FieldsFunc(order, func(r rune) bool { return r == ',' })
			options.Upgrade, options.Out, options.Live = &upgrade, cmd.OutOrStdout(), lab.Terminal(os.Stdout)
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
	flags.StringVar(&options.Binary, "from", "", "the liftgauge program to begin with")
	flags.StringVar(&upgrade.Binary, "to", defaultDaemonPath(), "the liftgauge program to roll to")
	flags.StringVar(&order, "order", "", "roles in the order in which they are rolled, as control,store,dispatcher; zone by zone where it is not given")
	flags.BoolVar(&upgrade.LoseDisk, "lose-disk", false, "have a store lose its disk half way")
	flags.IntVar(&options.PerSecond, "rate", 100, "messages a second")
	flags.DurationVar(&options.For, "for", upgradeTrafficDuration, "how long traffic goes on")
	flags.StringVar(&options.Folder, "folder", "", "keep settings, data and logs in this folder")
	return cmd
}
