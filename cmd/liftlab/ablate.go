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
	var root, to string
	cmd := &cobra.Command{
		Use:   "ablate [MECHANISM --to FOLDER]",
		Short: "Write a copy of the sources with one mechanism of the service switched off, to measure what it is worth",
		Long: "Without a name it lists the mechanisms. With one it copies the sources into a folder, which is made, and switches the mechanism off there:\n" +
			"play the copy against the sources on the same days and seeds.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error {
			if len(names) == 0 {
				return listMechanisms(cmd)
			}
			return ablate(names[0], root, to)
		},
	}
	cmd.Flags().StringVar(&root, "root", ".", "folder of the sources")
	cmd.Flags().StringVar(&to, "to", "", "folder for the copy; it must not exist yet")
	return cmd
}

func listMechanisms(cmd *cobra.Command) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 0, 2, ' ', 0)
	for _, m := range ablation.Mechanisms {
		fmt.Fprintf(w, "%s\t%s\n", m.Name, m.Purpose)
	}
	return w.Flush()
}

func ablate(name, root, to string) error {
	m, err := ablation.Find(name)
	if err != nil {
		return err
	}
	if to == "" {
		return errors.New("--to is missing: name a folder for the copy")
	}
	if err := os.Mkdir(to, 0o755); err != nil {
		return errors.Wrap(err, "making the folder for the copy: name one that does not exist yet, in one that does")
	}
	return m.Write(root, to)
}
