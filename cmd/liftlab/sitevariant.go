package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"liftgauge/lab/sitevariant"
)

func siteVariantCommand() *cobra.Command {
	var name, folder string
	cmd := &cobra.Command{
		Use:   "site-variant SITE.toml",
		Short: "Make another deployment of a site file of the system's bench; without --variant list what there is",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if name == "" || len(args) == 0 {
				for _, v := range sitevariant.All() {
					fmt.Fprintf(cmd.OutOrStdout(), "%-18s %s\n", v.Name, v.Description)
				}
				return nil
			}
			v, err := sitevariant.Find(name)
			if err != nil {
				return err
			}
			path, err := sitevariant.Write(args[0], v, folder)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), path)
			return nil
		},
	}
	cmd.Flags().StringVar(&name, "variant", "", "which change")
	cmd.Flags().StringVar(&folder, "out", "found/sites", "folder to write to")
	return cmd
}
