package lab

import (
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"testing"
)

// build compiles the daemon and its helper into a temporary folder.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "../cmd/liftgauge", "../cmd/liftgauge-cue").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return filepath.Join(dir, "liftgauge")
}

// TestMixedClientsAndHosts runs Gearman and HTTP on both sides of one daemon, with workers that close their connection during jobs and
// clients that disconnect early. No warning runs twice, no reading runs outside its cell, no job is lost or answered twice. It only counts,
// so that the speed of the machine does not matter.
func TestMixedClientsAndHosts(t *testing.T) {
	c := GearmanConfig{Daemon: build(t), Seed: 7, Jobs: 1500, Clients: 16, Workers: 12, Hosts: 6, Drops: 0.03, DisconnectShare: 0.05, Memory: 64, Stderr: io.Discard}
	var report GearmanReport
	if err := c.runMixed(context.Background(), &report); err != nil {
		t.Fatal(err)
	}
	if report.Duplicates != 0 || report.Lost != 0 || report.Twice != 0 || report.Served == 0 || report.Drops == 0 {
		t.Errorf("%+v", report)
	}
}
