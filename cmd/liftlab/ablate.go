package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"liftgauge/lab/ablation"
)

func ablateCommand() *cobra.Command {
	var root, folder string
	cmd := &cobra.Command{
		Use:   "ablate [MECHANISM --to FOLDER]",
		Short: "Write a copy of the sources with one mechanism of the service switched off, to measure what it is worth",
		Long: "Without a name it lists the mechanisms. With one it copies the sources into a folder, which is made, and switches the mechanism off there:\n" +
			"play the copy against the sources on the same days and seeds.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return listMechanisms(cmd)
			}
			return ablate(args[0], root, folder)
		},
	}
	cmd.Flags().StringVar(&root, "root", ".", "folder of the sources")
	cmd.Flags().StringVar(&folder, "to", "", "folder for the copy; it must not exist yet")
	return cmd
}

func listMechanisms(cmd *cobra.Command) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 0, 2, ' ', 0)
	for _, mechanism := range ablation.Mechanisms {
		fmt.Fprintf(table, "%s\t%s\n", mechanism.Name, mechanism.Purpose)
	}
	return table.Flush()
}

func ablate(name, root, folder string) error {
	mechanism, err := ablation.Find(name)
	if err != nil {
		return err
	}
	if folder == "" {
		return errors.New("--to is missing: name a folder for the copy")
	}
	if err := os.Mkdir(folder, 0o755); err != nil {
		return errors.Wrap(err, "create the folder for the copy: it must not exist yet, and its parent must exist")
	}
	return mechanism.Write(root, folder)
}
