package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"liftgauge/configuration"
	"liftgauge/internal/config"
	"liftgauge/internal/nodeconfig"
)

// nodeSuffix is the file name extension of the settings files of dispatchers, control processes and stores.
const nodeSuffix = ".toml"

// checkOptions are the command-line options of check.
type checkOptions struct {
	options
	node          string // settings file of a dispatcher, control process or store
	configuration string // configuration file in the form that operators send
}

func checkCommand() *cobra.Command {
	var o checkOptions
	cmd := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Validate a configuration or a settings file: FILE, or what LB_CONFIG or LIFTGAUGE_CONFIG names",
		Long: "Validate a configuration of serve: FILE, or the one that LB_CONFIG names; with --settings those settings too.\n" +
			"A FILE that ends with " + nodeSuffix + ", or the one that LIFTGAUGE_CONFIG names where LB_CONFIG is not set, is the settings file of a\n" +
			"dispatcher, control process or store.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return o.check(cmd, args) },
	}
	cmd.Flags().StringVar(&o.settings, "settings", "", "settings file of serve to validate with its configuration")
	cmd.Flags().StringVar(&o.node, "node", "", "settings file of a dispatcher, control process or store to validate")
	cmd.Flags().StringVar(&o.configuration, "operator", "", "whole configuration as the operator sends it to validate")
	return cmd
}

func (o *checkOptions) check(cmd *cobra.Command, args []string) error {
	if o.configuration != "" {
		return checkConfiguration(cmd.OutOrStdout(), o.configuration)
	}
	node := o.node
	switch {
	case node != "":
	case len(args) == 1 && filepath.Ext(args[0]) == nodeSuffix:
		node = args[0]
	case len(args) == 0 && os.Getenv("LB_CONFIG") == "":
		node = os.Getenv(nodeconfig.EnvironmentVariable)
	}
	if node != "" {
		return checkNode(cmd.OutOrStdout(), node)
	}
	return o.checkServe(cmd, args)
}

// checkServe validates a configuration of serve, and its settings file if one is given.
func (o *checkOptions) checkServe(cmd *cobra.Command, args []string) error {
	getenv := os.Getenv
	if len(args) == 1 { // only the file counts: variables of this shell do not override it
		getenv = func(key string) string {
			if key == "LB_CONFIG" {
				return args[0]
			}
			return ""
		}
	}
	c, err := config.Load(getenv)
	if err != nil {
		return err
	}
	known, err := initialInventory(c)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: listens on %s, %d classes, %d hosts known, %d MB, %d sockets\n",
		c.Name, c.Listen, len(c.Classes), len(known.Hosts), c.Memory>>20, c.Sockets)
	if o.settings == "" {
		return nil
	}
	loaded, err := o.load(cmd.Context(), c)
	if err != nil {
		return err
	}
	if g := loaded.Gearman; g == nil {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: gearman off\n", o.settings)
	} else {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: gearman on %s, %d functions\n", o.settings, g.Listen, len(loaded.table.Functions()))
	}
	return nil
}

// checkNode validates the settings file of a dispatcher, control process or store.
func checkNode(out io.Writer, path string) error {
	s, err := nodeconfig.Load(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: serves %s, zone %s, internal ports %s:%d-%d, %d seeds, %d copies, %d MB, disk %s\n", s.NodeName,
		strings.Join(s.Serves, " and "), s.Zone, s.Ip, s.InternalPortRange[0], s.InternalPortRange[1], len(s.SeedNodes), s.Copies(),
		s.Limits.MemoryMb, cmp.Or(s.DataDir, "none"))
	return nil
}

// checkConfiguration validates a complete configuration as operators send it.
func checkConfiguration(out io.Writer, path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	c, err := configuration.Parse(body)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(out, "%s: revision %d, %d routes, %d services\n", path, c.Revision, len(c.Routes), len(c.Services))
	return nil
}
