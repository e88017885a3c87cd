package main

import (
	"github.com/spf13/cobra"

	"liftgauge/internal/protocol"
	"liftgauge/internal/roles/control"
	"liftgauge/internal/roles/dispatcher"
	"liftgauge/internal/roles/store"
)

// roleCommands returns the subcommands that run the roles of the system.
func roleCommands() []*cobra.Command {
	roles := []roleCommand{
		{protocol.RoleDispatcher, "Run a dispatcher: take clients' messages and deliver kept ones to workers, until SIGTERM", dispatcher.Run},
		{protocol.RoleControl, "Run a control process: keep configuration, sessions and partition table, until SIGTERM", control.Run},
		{protocol.RoleStore, "Run a store: keep messages on disk and hand out their deliveries, until SIGTERM", store.Run},
	}
	commands := make([]*cobra.Command, len(roles))
	for i, r := range roles {
		commands[i] = r.command()
	}
	return commands
}
