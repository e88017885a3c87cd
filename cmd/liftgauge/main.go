// Command liftgauge is a job dispatcher: it takes clients' jobs over HTTP/1.1 and pushes them to hosts that run them.
package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"liftgauge/internal/config"
	"liftgauge/internal/settings"
	"liftgauge/route"
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
	cmd.AddCommand(serveCommand(), checkCommand(), versionCommand(), membersCommand())
	cmd.AddCommand(roleCommands()...)
	cmd.AddCommand(operatorCommands()...)
	return cmd
}

func serveCommand() *cobra.Command {
	var o options
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
			log, err := o.logger(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			loaded, err := o.load(cmd.Context(), c)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), c, loaded, o, log)
		},
	}
	cmd.Flags().StringVar(&o.level, "log-level", "info", "debug, info, warn or error")
	cmd.Flags().StringVar(&o.format, "log-format", "text", "text or json")
	cmd.Flags().StringVar(&o.settings, "settings", "", "settings file in CUE; LB_SETTINGS where it is not given")
	return cmd
}

// options are the command-line options of serve.
type options struct{ level, format, settings string }

func (o options) logger(w io.Writer) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(o.level)); err != nil {
		return nil, fmt.Errorf("log-level: %w", err)
	}
	handlerOptions := &slog.HandlerOptions{Level: minLevel}
	switch o.format {
	case "text":
		return slog.New(slog.NewTextHandler(w, handlerOptions)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, handlerOptions)), nil
	}
	return nil, fmt.Errorf("log-format: want text or json, have %q", o.format)
}

// serveSettings is the settings file, with its routes checked against the classes of the configuration.
type serveSettings struct {
	*settings.Settings
	table *route.Table
}

// load reads the settings file named on the command line or in LB_SETTINGS and checks it against the configuration.
func (o options) load(ctx context.Context, c *config.Config) (*serveSettings, error) {
	folder, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s, err := settings.Load(ctx, cmp.Or(o.settings, os.Getenv("LB_SETTINGS")), filepath.Dir(folder))
	if err != nil {
		return nil, err
	}
	table, err := route.New(c.Classes, c.Settings.Classes, s.Gearman)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Base(cmp.Or(o.settings, os.Getenv("LB_SETTINGS"))), err)
	}
	return &serveSettings{s, table}, nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintf(cmd.OutOrStdout(), "liftgauge %s (%s)\n", version(), runtime.Version())
		},
	}
}

// version returns the version of the module as recorded in the build information.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
