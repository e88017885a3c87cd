package dispatcher

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"liftgauge/internal/nodeconfig"
)

// watchSettings reloads the settings file when it changes: new seeds are adopted without interrupting running work.
func (d *dispatcher) watchSettings(ctx context.Context) {
	if d.settings.File == "" {
		return
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	nodeconfig.Watch(ctx, d.settings.File, d.settings, hangup, func(s *nodeconfig.Settings, err error) {
		if err != nil {
			d.logger.Error("settings file is not valid; the previous settings stay in force", zap.Error(err))
			return
		}
		d.logger.Info("settings file was read again")
		d.agent.Reload(s)
	})
}
