package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"liftgauge/internal/nodeconfig"
	"liftgauge/internal/protocol"
	"liftgauge/replication"
)

// TestDeployedControlToleratesTwoLossesInThreeZones checks that the deployment file runs control on enough machines in three zones to tolerate
// F = 2 losses.
func TestDeployedControlToleratesTwoLossesInThreeZones(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile(filepath.Join("..", "..", "deploy", "system.toml"))
	is.NoErr(err)
	var deploy struct {
		Roles map[string]struct {
			Count  int
			Serves []string
		}
	}
	is.NoErr(toml.Unmarshal(content, &deploy))
	const zones, losses = 3, 2
	is.True(zones*deploy.Roles["control"].Count >= replication.WitnessesFor(losses))
	is.Equal(deploy.Roles["control"].Serves, []string{"control"})
}

const nodeSettings = `NodeName = "s1"
Serves = ["storage"]
Ip = "127.0.0.1"
Zone = "a"
Region = "r"
InternalPortRange = [7240,7255]
SeedNodes = ["127.0.0.1:8046"]
DataDir = "/data"
[Limits]
MemoryMb = 200
[FaultTolerance]
Machines = 1
`

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "node.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

// restoreMemorySettings restores the garbage collector's settings when the test ends.
func restoreMemorySettings(t *testing.T) {
	limit, percent := debug.SetMemoryLimit(-1), debug.SetGCPercent(100)
	debug.SetGCPercent(percent)
	t.Cleanup(func() { debug.SetMemoryLimit(limit); debug.SetGCPercent(percent) })
}

// execute runs one command with the arguments.
func execute(cmd *cobra.Command, args ...string) (stdout, stderr string, err error) {
	var out, errorOut bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&errorOut)
	cmd.SetArgs(append([]string{}, args...))
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	err = cmd.Execute()
	return out.String(), errorOut.String(), err
}

func storeRole(run func(ctx context.Context, s *nodeconfig.Settings, logger *zap.Logger) error) *cobra.Command {
	return roleCommand{protocol.RoleStore, "Run a store", run}.command()
}

func TestRoleRunsUntilSIGTERM(t *testing.T) {
	is := is.New(t)
	restoreMemorySettings(t)
	t.Setenv(nodeconfig.EnvironmentVariable, writeSettings(t, nodeSettings))
	_, logs, err := execute(storeRole(func(ctx context.Context, s *nodeconfig.Settings, logger *zap.Logger) error {
		is.Equal(s.NodeName, "s1")
		is.Equal(debug.SetMemoryLimit(-1), int64(120<<20))  // 60% of MemoryMb
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) // the role does not listen for it: it must not end the process
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
		<-ctx.Done()
		logger.Debug("not shown")
		return nil
	}))
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(logs), "\n")
	is.Equal(len(lines), 2)
	var first map[string]any
	is.NoErr(json.Unmarshal([]byte(lines[0]), &first))
	is.Equal(first["msg"], "process starts")
	is.Equal(first["node"], "s1")
	is.Equal(first["role"], "store")
	is.Equal(first["internal"], "127.0.0.1:7242")
	is.True(strings.Contains(lines[1], "process ends as planned"))
}

func TestRoleReportsItsError(t *testing.T) {
	is := is.New(t)
	restoreMemorySettings(t)
	broken := errors.New("the disk is gone")
	_, logs, err := execute(storeRole(func(context.Context, *nodeconfig.Settings, *zap.Logger) error { return broken }),
		"--config", writeSettings(t, nodeSettings), "--log-level=error")
	is.True(errors.Is(err, broken))
	is.True(strings.Contains(logs, `"error":"the disk is gone"`))
	is.Equal(strings.Count(logs, "\n"), 1) // only the error, and without a stack
}

func TestRoleRejectsInvalidArguments(t *testing.T) {
	t.Setenv(nodeconfig.EnvironmentVariable, "")
	path := writeSettings(t, nodeSettings)
	controlSettings := writeSettings(t, strings.Replace(nodeSettings, `"storage"`, `"control"`, 1))
	for _, c := range []struct{ args, want string }{
		{"", "no settings file named: set LIFTGAUGE_CONFIG or give --config FILE"},
		{"--config " + controlSettings, "field BindAddresses.ControlPlane: found nothing, wanted an address as IP:PORT, since Serves holds control"},
		{"--config " + path + " --log-level loud", `log-level: found "loud", wanted debug, info, warn or error`},
		{"--conf x", "store: flag provided but not defined: -conf; see liftgauge store --help"},
		{"x", "store: 1 arguments: want liftgauge store [options]"},
	} {
		_, logs, err := execute(storeRole(func(context.Context, *nodeconfig.Settings, *zap.Logger) error {
			t.Error("it runs")
			return nil
		}), strings.Fields(c.args)...)
		if err == nil || !strings.HasSuffix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") || logs != "" {
			t.Errorf("%s: %v, logs %q", c.args, err, logs)
		}
	}
}

func TestRoleRefusesAnotherRolesSettings(t *testing.T) {
	is := is.New(t)
	path := writeSettings(t, nodeSettings)
	_, _, err := execute(roleCommand{protocol.RoleDispatcher, "", nil}.command(), "--config", path)
	is.Equal(err.Error(), path+`: field Serves: found ["storage"], wanted a list with edge for the role dispatcher`)
}

func TestHelp(t *testing.T) {
	is := is.New(t)
	out, err := run("--help")
	is.NoErr(err)
	for _, command := range []string{"serve", "check", "version", "members", "dispatcher", "control", "store", "status", "describe", "retire"} {
		is.True(strings.Contains(out, "\n  "+command+" "))
	}
	out, err = run("store", "--help")
	is.NoErr(err)
	is.True(strings.Contains(out, "Usage: liftgauge store [options]"))
	is.True(strings.Contains(out, "-config file"))
	is.True(strings.Contains(out, "-log-level"))
}

func TestCheckNodeSettings(t *testing.T) {
	is := is.New(t)
	t.Setenv("LB_CONFIG", "")
	path := writeSettings(t, nodeSettings)
	const want = "s1: serves storage, zone a, internal ports 127.0.0.1:7240-7255, 1 seeds, 2 copies, 200 MB, disk /data\n"
	for _, args := range [][]string{{"check", path}, {"check", "--node", path}} {
		out, err := run(args...)
		is.NoErr(err)
		is.Equal(out, want)
	}
	t.Setenv(nodeconfig.EnvironmentVariable, path)
	out, err := run("check")
	is.NoErr(err)
	is.Equal(out, want)
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(nodeSettings, "[7240,7255]", `"7240"`, 1)), 0o600))
	_, err = run("check", path)
	is.Equal(err.Error(), path+`: field InternalPortRange: found "7240", wanted the first and the last of at least 3 ports, as in [7240, 7255]`)
}

func TestCheckOperatorConfiguration(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "configuration.json")
	is.NoErr(os.WriteFile(path, []byte(`{"Revision":7,"Routes":[],"Services":[{"Name":"s"}]}`), 0o600))
	out, err := run("check", "--operator", path)
	is.NoErr(err)
	is.Equal(out, path+": revision 7, 0 routes, 1 services\n")
	is.NoErr(os.WriteFile(path, []byte(`{"Revision":7,"Routes":[]}`), 0o600))
	_, err = run("check", "--operator", path)
	is.Equal(err.Error(), path+": the configuration has no field Services: send a list")
}
