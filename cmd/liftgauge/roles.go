package main

import (
	"cmp"
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
)

// roleCommand is a subcommand that runs one role of the system until SIGTERM.
type roleCommand struct {
	role  protocol.Role
	short string
	run   func(ctx context.Context, settings *nodeconfig.Settings, logger *zap.Logger) error
}

// roleOptions are the command-line options of a role.
type roleOptions struct{ config, level string }

func (r roleCommand) command() *cobra.Command {
	var o roleOptions
	return flagCommand{
		use:   r.role.String() + " [options]",
		short: r.short,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&o.config, "config", "", configUsage)
			f.StringVar(&o.level, "log-level", "info", "debug, info, warn or error")
		},
		run: func(cmd *cobra.Command, _ []string) error { return r.start(cmd.Context(), o, cmd.ErrOrStderr()) },
	}.command()
}

const configUsage = "settings `file` of the process; " + nodeconfig.EnvironmentVariable + " where it is not given"

// start runs the role until SIGTERM or SIGINT and the planned shutdown that follows. An invalid settings file is reported before anything
// else starts.
func (r roleCommand) start(ctx context.Context, o roleOptions, errorOutput io.Writer) error {
	// Without this handler SIGHUP would kill the process before the role starts listening for it, and after it stops.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings, err := loadSettings(o.config)
	if err != nil {
		return err
	}
	if err := settings.CheckRole(r.role); err != nil {
		return err
	}
	logger, err := newLogger(errorOutput, o.level)
	if err != nil {
		return err
	}
	limitMemory(settings.Limits.MemoryMb)
	logger = logger.With(zap.String("node", settings.NodeName), zap.Stringer("role", r.role))
	logger.Info("process starts", zap.String("settings", settings.File), zap.String("zone", settings.Zone),
		zap.String("internal", settings.InternalAddress(r.role)), zap.Bool("bootstrap", settings.Bootstrap),
		zap.Int("copies", settings.Copies()), zap.String("version", version()))
	if err := r.run(ctx, settings, logger); err != nil {
		logger.Error("process failed", zap.String("error", err.Error()))
		return err
	}
	logger.Info("process ends as planned")
	return nil
}

// loadSettings reads the settings file at the path, or the one named by the environment if the path is empty.
func loadSettings(path string) (*nodeconfig.Settings, error) {
	return nodeconfig.Load(cmp.Or(path, os.Getenv(nodeconfig.EnvironmentVariable)))
}
