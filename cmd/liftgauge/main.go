// Command liftgauge is a job dispatcher: it takes clients' jobs over HTTP/1.1 and pushes them to hosts that run them.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"liftgauge/internal/config"
)

func main() {
	if err := root().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "liftgauge:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "liftgauge",
		Short:         "A job dispatcher that pushes each job to the host where it ends in time",
		SilenceUsage:  true,
		SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{
			DisableDefaultCmd: true,
		},
	}
	cmd.AddCommand(serveCommand(), checkCommand(), versionCommand())
	return cmd
}

func serveCommand() *cobra.Command {
	var level string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Serve jobs until SIGTERM; reload on SIGHUP",
		Long: "Serve jobs until SIGTERM. The configuration is the JSON file named by LB_CONFIG; LB_NAME, LB_LISTEN and\n" +
			"LB_DISCOVERY go before what it says. On SIGHUP it is read anew, and its discovery counts.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := config.Load(os.Getenv)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), c, level, cmd.ErrOrStderr())
		},
	}
	cmd.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	return cmd
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check [FILE]",
		Short: "Validate a configuration: FILE, or the one that LB_CONFIG names",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			getenv := os.Getenv
			if len(args) == 1 { // the file alone, whatever this shell's environment says
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
			known, err := knownList(c)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: listens on %s, %d classes, %d hosts known, %d MB, %d sockets\n",
				c.Name, c.Listen, len(c.Classes), len(known.Hosts), c.Memory>>20, c.Sockets)
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version, goVersion := "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version, goVersion = info.Main.Version, info.GoVersion
			}
			fmt.Fprintf(cmd.OutOrStdout(), "liftgauge %s (%s)\n", version, goVersion)
		},
	}
}
